//! Latest runs of an engine by request id, for resuming and cancelling streams.

use std::{
    collections::{BTreeMap, VecDeque},
    rc::Rc,
};

use crate::engine::{
    chat,
    run::{Run, State},
};

/// Maximum number of request ids whose run is kept.
const MAX_RUNS: usize = 10_000;

/// Latest run of each request id; the oldest ids are evicted.
#[derive(Default)]
pub(crate) struct Runs {
    by_request_id: BTreeMap<String, Rc<Run>>,
    order: VecDeque<String>,
}

impl Runs {
    pub(crate) fn get(&self, request_id: &str) -> Option<Rc<Run>> {
        self.by_request_id.get(request_id).cloned()
    }

    /// Returns the run of a request id, unless it was cancelled or lost.
    pub(crate) fn resumable(&self, request_id: &str) -> Option<Rc<Run>> {
        let run = self.get(request_id)?;
        matches!(run.state(), State::Active | State::Finished).then_some(run)
    }

    /// Returns the run of a different request, whose response is sent in place of that of `run`.
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

/// Creates a finished run of a request that no client sent, with the length of `run`.
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
