//! Control settings and counters of the plain service.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{settings::merge, tally::Tally};

/// Settings to change; absent fields stay as they are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// Delay between a run and its answer, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Next calls that run and then get no answer.
    pub die_before_answer: Option<u64>,
    /// Next calls that are answered as another request.
    pub cross_answers: Option<u64>,
    /// Whether every call is refused as not run.
    pub refuse: Option<bool>,
    /// Whether every call is refused as not run and its connection closed.
    pub leaving: Option<bool>,
}

impl Control {
    /// Takes over the fields that `other` sets.
    pub(crate) fn merge(&mut self, other: Self) {
        merge(&mut self.delay_ms, other.delay_ms);
        merge(&mut self.die_before_answer, other.die_before_answer);
        merge(&mut self.cross_answers, other.cross_answers);
        merge(&mut self.refuse, other.refuse);
        merge(&mut self.leaving, other.leaving);
    }
}

/// Calls since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counters {
    /// All runs.
    pub runs: u64,
    /// Calls refused as not run.
    pub refused: u64,
    /// Runs without an answer.
    pub unanswered: u64,
    /// Runs by `Idempotency-Key`.
    pub by_key: BTreeMap<String, Tally>,
    /// Runs by `Peridotrack-Request-Id`.
    pub by_request_id: BTreeMap<String, Tally>,
}
