//! Counts of runs and tokens by name, bounded to the names seen last.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

/// Names that one table remembers.
const MAX_NAMES: usize = 100_000;

/// What was done under one name.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tally {
    /// Times that work was begun.
    pub runs: u64,
    /// Tokens generated; 0 for plain services.
    pub tokens: u64,
}

/// Tallies by name.
#[derive(Debug, Default)]
pub(crate) struct Table {
    tallies: BTreeMap<String, Tally>,
    order: VecDeque<String>,
}

impl Table {
    /// The tally of `name`, made if missing; the oldest name is forgotten for it.
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

    /// All tallies.
    pub(crate) fn snapshot(&self) -> BTreeMap<String, Tally> {
        self.tallies.clone()
    }
}
