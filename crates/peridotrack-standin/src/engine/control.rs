//! Control settings, counters and load report of the engine.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{settings::merge, tally::Tally};

/// Settings to change; absent fields stay as they are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// Time between two tokens, in milliseconds; 0 generates all at once.
    pub token_delay_ms: Option<u64>,
    /// Time from a request's slot to its first token, in milliseconds.
    pub first_token_ms: Option<u64>,
    /// Requests that run at once; further ones queue by priority.
    pub slots: Option<u32>,
    /// Tokens after which answers end by themselves, if `max_tokens` allows that many.
    pub natural_tokens: Option<u64>,
    /// Whether each run of a request id after its first generates another text.
    pub vary_runs: Option<bool>,
    /// Delay before the first byte of each answer, in milliseconds.
    pub late_ms: Option<u64>,
    /// Age up to which a load report is given out again, in milliseconds.
    pub load_lag_ms: Option<u64>,
    /// Whether nothing is generated or answered.
    pub freeze: Option<bool>,
    /// Whether every new request is refused as not run.
    pub refuse: Option<bool>,
    /// Whether new requests are refused as not run while running ones end.
    pub leaving: Option<bool>,
    /// The next request's run is lost after this many tokens, and its connection cut.
    pub die_after_tokens: Option<u64>,
    /// The next request's connection is cut after this many tokens; its run goes on.
    pub cut_after_tokens: Option<u64>,
    /// Next requests that are answered as another request.
    pub cross_answers: Option<u64>,
    /// Next requests whose answer has no usage.
    pub omit_usage: Option<u64>,
    /// Next requests whose answer lacks its second half but ends properly in HTTP.
    pub truncate: Option<u64>,
}

impl Control {
    /// Takes over the fields that `other` sets.
    pub(crate) fn merge(&mut self, other: Self) {
        merge(&mut self.token_delay_ms, other.token_delay_ms);
        merge(&mut self.first_token_ms, other.first_token_ms);
        merge(&mut self.slots, other.slots);
        merge(&mut self.natural_tokens, other.natural_tokens);
        merge(&mut self.vary_runs, other.vary_runs);
        merge(&mut self.late_ms, other.late_ms);
        merge(&mut self.load_lag_ms, other.load_lag_ms);
        merge(&mut self.freeze, other.freeze);
        merge(&mut self.refuse, other.refuse);
        merge(&mut self.leaving, other.leaving);
        merge(&mut self.die_after_tokens, other.die_after_tokens);
        merge(&mut self.cut_after_tokens, other.cut_after_tokens);
        merge(&mut self.cross_answers, other.cross_answers);
        merge(&mut self.omit_usage, other.omit_usage);
        merge(&mut self.truncate, other.truncate);
    }
}

/// Requests since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counters {
    /// All runs.
    pub runs: u64,
    /// All tokens generated.
    pub tokens: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Runs that were cancelled.
    pub cancelled: u64,
    /// Streams resumed.
    pub resumed: u64,
    /// Runs and tokens by request id.
    pub by_request_id: BTreeMap<String, Tally>,
}

/// A load report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests that hold a slot.
    pub running: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// Whether new requests are taken.
    pub state: LoadState,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
}

/// Whether an engine takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadState {
    /// New requests are taken.
    Serving,
    /// New requests are refused.
    Leaving,
}
