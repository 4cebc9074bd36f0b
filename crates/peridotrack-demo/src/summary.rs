//! What the demonstration counted.

use serde::{Deserialize, Serialize};

/// Counts of one run; a kept promise is a zero in every field that counts breaches.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Requests that callers made, each with its retries counted once.
    pub requests: u64,
    /// Requests that were answered whole.
    pub completed: u64,
    /// Requests that were refused and did not run.
    pub refused_not_run: u64,
    /// Requests whose outcome the caller does not know.
    pub outcome_unknown: u64,
    /// Answers that were cut and looked cut; the caller tried again.
    pub cut_visibly: u64,
    /// Tokens that the provider counted beyond what was purchased.
    pub overspend_tokens: u64,
    /// Refusals for lack of tokens while the caller's domain could reach enough of them.
    pub false_refusals: u64,
    /// Non-idempotent requests that ran more than once.
    pub duplicate_runs: u64,
    /// Completed requests with more than one bill line.
    pub billed_twice: u64,
    /// Completed requests without a bill line.
    pub unbilled: u64,
    /// Answers that looked whole and were not the request's own whole answer.
    pub wrong_or_cut_answers: u64,
    /// Refusals that said "not run" of requests that ran.
    pub false_not_run: u64,
    /// Requests that a graceful shutdown cut.
    pub cut_by_shutdown: u64,
    /// Tokens that the killed router held and that stay counted as spent.
    pub held_after_crash_tokens: u64,
}

impl Summary {
    /// Returns whether every promise was kept.
    pub fn all_promises_kept(&self) -> bool {
        let breaches = [
            self.overspend_tokens,
            self.duplicate_runs,
            self.billed_twice,
            self.unbilled,
            self.wrong_or_cut_answers,
            self.false_not_run,
            self.cut_by_shutdown,
        ];
        self.completed > 0 && breaches.iter().all(|count| *count == 0)
    }
}
