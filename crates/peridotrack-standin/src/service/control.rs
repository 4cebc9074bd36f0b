//! Control settings and counters of the plain service, as `/control` reads and writes them in
//! JSON.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{settings::merge, tally::Tally};

/// Settings to change; absent fields keep their value.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// Latency between the run of a call and its response, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Number of upcoming calls that run and whose connection is closed without a response.
    pub die_before_answer: Option<u64>,
    /// Number of upcoming calls that get a response with the identifiers of a different request.
    pub cross_answers: Option<u64>,
    /// Whether every call is refused with 503 and a guarantee that it did not run.
    pub refuse: Option<bool>,
    /// Whether the service drains: it refuses calls as with [`Control::refuse`] and closes their
    /// connections.
    pub leaving: Option<bool>,
}

impl Control {
    /// Overwrites the fields that are set in `other`.
    pub(crate) fn merge(&mut self, other: Self) {
        merge(&mut self.delay_ms, other.delay_ms);
        merge(&mut self.die_before_answer, other.die_before_answer);
        merge(&mut self.cross_answers, other.cross_answers);
        merge(&mut self.refuse, other.refuse);
        merge(&mut self.leaving, other.leaving);
    }
}

/// Counts of calls since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counters {
    /// Calls that ran.
    pub runs: u64,
    /// Calls refused without a run.
    pub refused: u64,
    /// Calls that ran and got no response because of `die_before_answer`.
    pub unanswered: u64,
    /// Runs by `Idempotency-Key`; the oldest keys are evicted.
    pub by_key: BTreeMap<String, Tally>,
    /// Runs by `Peridotrack-Request-Id`; the oldest ids are evicted.
    pub by_request_id: BTreeMap<String, Tally>,
}
