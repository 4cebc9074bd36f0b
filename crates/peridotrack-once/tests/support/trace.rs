//! Requests and their results as callers see them, and the invariants on them.

use std::collections::BTreeMap;

use peridotrack_types::problem;

use super::fleet::{Attempt, Fleet};

/// The result that a caller received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Received {
    Response(Vec<u8>),
    Replay(Vec<u8>),
    Refused(problem::Kind),
    NotRun,
    Unknown,
}

/// The observed course of one request.
#[derive(Debug)]
pub struct Trace {
    pub attempt: Attempt,
    pub decisions: u32,
    pub received: Option<Received>,
    pub runs: u32,
    pub begun_us: u64,
    pub decided_us: u64,
}

impl Fleet {
    /// Checks the invariants that hold under all faults: a key runs at most once, a request is
    /// decided at most once, a refusal as not run is true, and a replay equals the first response.
    pub fn check(&self) {
        let mut runs = BTreeMap::<u32, u32>::new();
        for (request_id, trace) in &self.traces {
            *runs.entry(trace.attempt.key).or_default() += trace.runs;
            assert!(
                trace.decisions <= 1,
                "{request_id} was decided twice: {trace:?}"
            );
            let says_not_run = match &trace.received {
                Some(Received::Refused(kind)) => kind.ran() == problem::Ran::No,
                Some(Received::NotRun) => true,
                _ => false,
            };
            assert!(
                !says_not_run || trace.runs == 0,
                "{request_id} ran: {trace:?}"
            );
            if let Some(Received::Replay(body)) = &trace.received {
                let first = self
                    .responses
                    .get(&(trace.attempt.key, trace.attempt.content));
                assert_eq!(Some(body), first, "{request_id} received another response");
            }
        }
        for (key, runs) in runs {
            assert!(runs <= 1, "key {key} ran {runs} times");
        }
    }
}
