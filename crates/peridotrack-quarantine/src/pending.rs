//! Attempts that broke, by the end of their server or for another reason.

use std::collections::VecDeque;

use peridotrack_types::name;

use crate::{event::Trial, run::Run};

/// An attempt whose connection broke.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) trial: Trial,
    pub(crate) backend_server: Run,
    pub(crate) broken_us: u64,
}

/// Broken attempts that wait for the news whether their server has ended, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    attempts: VecDeque<Attempt>,
}

impl Pending {
    pub(crate) fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Adds an attempt, in place of the oldest if there are `limit` of them: a server that has ended
    /// is mostly noticed at once.
    pub(crate) fn push(&mut self, attempt: Attempt, limit: usize) {
        while self.attempts.len() >= limit.max(1) {
            self.attempts.pop_front();
        }
        self.attempts.push_back(attempt);
    }

    /// Removes the attempts that broke before `oldest_us`.
    pub(crate) fn expire(&mut self, oldest_us: u64) {
        self.attempts
            .retain(|attempt| attempt.broken_us >= oldest_us);
    }

    /// Removes the attempts at a server that responded to a request sent at `sent_us`.
    pub(crate) fn clear(&mut self, backend_server: &name::BackendServer, sent_us: u64) {
        self.attempts.retain(|attempt| {
            attempt.backend_server.backend_server != *backend_server || attempt.broken_us >= sent_us
        });
    }

    /// Removes and returns the attempts at a server that has ended.
    pub(crate) fn take(&mut self, backend_server: &Run) -> Vec<Attempt> {
        let is_of_server = |attempt: &Attempt| attempt.backend_server.may_be(backend_server);
        let attempts = std::mem::take(&mut self.attempts);
        let (ended, others) = attempts.into_iter().partition(is_of_server);
        self.attempts = others;
        Vec::from(ended)
    }
}
