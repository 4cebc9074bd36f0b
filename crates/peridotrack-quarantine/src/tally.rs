//! The crashes that count, signature by signature.

use std::collections::BTreeMap;

use crate::{
    signature::Signature,
    verdict::{self, Crashes},
};

/// What is known of one signature.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Known {
    /// Number of crashes that count.
    pub(crate) crashes: usize,
    /// Greatest depth of them.
    pub(crate) depth: u32,
    /// When the last of them became known, in monotonic microseconds.
    pub(crate) crashed_us: u64,
}

/// Counts of all signatures, and the crashes of those that have enough of them to be judged.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    known: BTreeMap<Signature, Known>,
    suspects: BTreeMap<Signature, Crashes>,
}

impl Tally {
    pub(crate) fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns what is known of a signature; `None` if no crash under it counts.
    pub(crate) fn get(&self, signature: &Signature) -> Option<&Known> {
        self.known.get(signature)
    }

    /// Returns the signatures with enough crashes to be judged.
    pub(crate) fn suspects(&self) -> &BTreeMap<Signature, Crashes> {
        &self.suspects
    }

    /// Takes over the crashes that count under a signature, which is judged if there are
    /// `judged_servers` of them. Returns whether the suspects changed.
    pub(crate) fn update(
        &mut self,
        now_us: u64,
        signature: Signature,
        crashes: Crashes,
        judged_servers: usize,
    ) -> bool {
        if crashes.is_empty() {
            self.known.remove(&signature);
        } else {
            let known = self.known.entry(signature).or_insert(Known {
                crashes: 0,
                depth: 0,
                crashed_us: now_us,
            });
            if crashes.len() > known.crashes {
                known.crashed_us = now_us;
            }
            known.crashes = crashes.len();
            known.depth = verdict::max_depth(crashes.values());
        }
        if crashes.is_empty() || crashes.len() < judged_servers {
            return self.suspects.remove(&signature).is_some();
        }
        if self.suspects.get(&signature) == Some(&crashes) {
            return false;
        }
        self.suspects.insert(signature, crashes);
        true
    }
}
