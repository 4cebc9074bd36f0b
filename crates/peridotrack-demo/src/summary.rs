//! The counts that the demonstration reports.

use serde::{Deserialize, Serialize};

/// Counts of one run. [`Self::all_promises_kept`] states which fields count breaches of a promise and
/// must be zero.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Requests that callers made; a request and its retries count as one.
    pub requests: u64,
    /// Requests that received their complete and correct response.
    pub completed: u64,
    /// Requests that a router refused, reporting that they did not run.
    pub refused_not_run: u64,
    /// Requests whose outcome the caller does not know.
    pub outcome_unknown: u64,
    /// Attempts whose response was truncated in a way that the caller could detect.
    pub cut_visibly: u64,
    /// Tokens that the engines counted beyond what was purchased.
    pub overspend_tokens: u64,
    /// Refusals for lack of tokens while enough were available to the router's failure domain. The
    /// check comes shortly after the refusal, so the count is an estimate.
    pub false_refusals: u64,
    /// Runs of non-idempotent requests beyond the first.
    pub duplicate_runs: u64,
    /// Completed chat requests with more than one bill line.
    pub billed_twice: u64,
    /// Completed chat requests without a bill line.
    pub unbilled: u64,
    /// Responses that looked complete but were truncated, altered or those of another request.
    pub wrong_or_cut_answers: u64,
    /// Non-idempotent requests that ran although a router reported that they had not.
    pub false_not_run: u64,
    /// Requests that were still open at a router's shutdown timeout and were cut.
    pub cut_by_shutdown: u64,
    /// Tokens that the killed router held; they stay counted as spent.
    pub held_after_crash_tokens: u64,
}

impl Summary {
    /// Returns whether requests were completed and every count of breaches is zero. False refusals are
    /// an estimate and not considered.
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
