//! The runs that an engine remembers, by request id.

use std::{
    collections::{BTreeMap, VecDeque},
    rc::Rc,
};

use crate::engine::{
    chat,
    run::{Run, State},
};

/// Runs that can be resumed.
const MAX_RUNS: usize = 10_000;

/// The latest run of each request id; the oldest ids are forgotten.
#[derive(Default)]
pub(crate) struct Runs {
    by_request_id: BTreeMap<String, Rc<Run>>,
    order: VecDeque<String>,
}

impl Runs {
    pub(crate) fn get(&self, request_id: &str) -> Option<Rc<Run>> {
        self.by_request_id.get(request_id).cloned()
    }

    /// The run, unless it was cancelled or lost.
    pub(crate) fn resumable(&self, request_id: &str) -> Option<Rc<Run>> {
        let run = self.get(request_id)?;
        matches!(run.state(), State::Active | State::Finished).then_some(run)
    }

    /// The run of another request, to be answered in place of `run`.
    pub(crate) fn other_than(&self, run: &Run) -> Rc<Run> {
        let mut others = self.by_request_id.values();
        others
            .find(|other| other.request_id != run.request_id)
            .cloned()
            .unwrap_or_else(|| Rc::new(unrelated_run(run)))
    }

    pub(crate) fn insert(&mut self, run: Rc<Run>) {
        let request_id = run.request_id.clone();
        if self.by_request_id.insert(request_id.clone(), run).is_some() {
            return;
        }
        self.order.push_back(request_id);
        if self.order.len() > MAX_RUNS
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_request_id.remove(&oldest);
        }
    }
}

/// A finished run of a request that nobody made, as long as `run`.
fn unrelated_run(run: &Run) -> Run {
    let request = chat::Request {
        model: run.model.clone(),
        messages: Vec::new(),
        max_tokens: Some(run.total_tokens),
        stream: false,
        stream_options: chat::StreamOptions {
            include_usage: true,
        },
        priority: 0,
    };
    let other = Run::new("crossed".to_owned(), 1, &request, None, None);
    other.advance(u64::MAX);
    other
}
