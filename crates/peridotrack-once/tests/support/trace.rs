//! What callers asked and were told, and what must hold of it.

use std::collections::BTreeMap;

use peridotrack_types::problem;

use super::fleet::{Attempt, Fleet};

/// What a caller was told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Told {
    Answer(Vec<u8>),
    Replay(Vec<u8>),
    Refused(problem::Kind),
    NotRun,
    Unknown,
}

/// A request as the checks see it.
#[derive(Debug)]
pub struct Trace {
    pub attempt: Attempt,
    pub decisions: u32,
    pub told: Option<Told>,
    pub runs: u32,
    pub begun_us: u64,
    pub decided_us: u64,
}

impl Fleet {
    /// Checks everything that must hold whatever went wrong.
    pub fn check(&self) {
        let mut runs = BTreeMap::<u32, u32>::new();
        for (request_id, trace) in &self.traces {
            *runs.entry(trace.attempt.key).or_default() += trace.runs;
            assert!(
                trace.decisions <= 1,
                "{request_id} was decided twice: {trace:?}"
            );
            let says_not_run = match &trace.told {
                Some(Told::Refused(kind)) => kind.ran() == problem::Ran::No,
                Some(Told::NotRun) => true,
                _ => false,
            };
            assert!(
                !says_not_run || trace.runs == 0,
                "{request_id} ran: {trace:?}"
            );
            if let Some(Told::Replay(body)) = &trace.told {
                let first = self
                    .answers
                    .get(&(trace.attempt.key, trace.attempt.content));
                assert_eq!(Some(body), first, "{request_id} got another answer");
            }
        }
        for (key, runs) in runs {
            assert!(runs <= 1, "key {key} ran {runs} times");
        }
    }
}
