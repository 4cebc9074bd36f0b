//! Counts of runs and tokens by name, bounded to the most recently added names.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

/// Maximum number of names in one table.
const MAX_NAMES: usize = 100_000;

/// Runs and generated tokens under one name, such as a request id.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tally {
    /// Number of runs started.
    pub runs: u64,
    /// Tokens generated; 0 for plain services.
    pub tokens: u64,
}

/// Tallies by name; the oldest name is evicted when the table is full.
#[derive(Debug, Default)]
pub(crate) struct Table {
    tallies: BTreeMap<String, Tally>,
    order: VecDeque<String>,
}

impl Table {
    /// Returns the tally of `name`. Inserts it if missing, which may evict the oldest name.
    pub(crate) fn entry(&mut self, name: &str) -> &mut Tally {
        if !self.tallies.contains_key(name) {
            self.order.push_back(name.to_owned());
            if self.order.len() > MAX_NAMES
                && let Some(oldest) = self.order.pop_front()
            {
                self.tallies.remove(&oldest);
            }
        }
        self.tallies.entry(name.to_owned()).or_default()
    }

    /// Returns a copy of all tallies.
    pub(crate) fn snapshot(&self) -> BTreeMap<String, Tally> {
        self.tallies.clone()
    }
}
