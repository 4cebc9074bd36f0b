//! Ages of epochs and unsettled claims, as observed by this router.
//!
//! Routers share no clock. An age is the time since this router first read the epoch or claim,
//! on its own monotonic clock. It is a lower bound of the true age, even if the read was stale.

use std::collections::BTreeMap;

use peridotrack_types::id;

use super::Options;
use crate::shard_object;

/// Times at which one shard's epoch and unsettled claims were first read.
#[derive(Debug, Default)]
pub(super) struct Ages {
    epoch: Option<FirstSeen>,
    claims_seen_us: BTreeMap<id::Request, u64>,
}

#[derive(Debug, Clone, Copy)]
struct FirstSeen {
    epoch: u64,
    seen_us: u64,
}

impl Ages {
    /// Records the head that was read from or written to the store.
    pub(super) fn observe(&mut self, head: &shard_object::ShardObject, now_us: u64) {
        if self.epoch.is_none_or(|first| first.epoch != head.epoch) {
            self.epoch = Some(FirstSeen {
                epoch: head.epoch,
                seen_us: now_us,
            });
        }
        let unsettled = head.rows.values().filter(|row| !row.state.is_settled());
        let first_seen_us = |id| self.claims_seen_us.get(id).copied().unwrap_or(now_us);
        let claims_seen_us = unsettled.map(|row| (row.request_id, first_seen_us(&row.request_id)));
        self.claims_seen_us = claims_seen_us.collect();
    }

    /// Returns the age of `epoch`, or `None` if it is not the epoch observed last.
    pub(super) fn epoch_age_us(&self, epoch: u64, now_us: u64) -> Option<u64> {
        let first = self.epoch.filter(|first| first.epoch == epoch)?;
        Some(now_us.saturating_sub(first.seen_us))
    }

    /// Returns the time until the claimant's deadline has certainly passed; 0 if it has.
    pub(super) fn remaining_us(&self, row: &shard_object::Row, now_us: u64) -> u64 {
        let age_us = self.age_us(row, now_us);
        row.timeout_ms.saturating_mul(1_000).saturating_sub(age_us)
    }

    /// Returns whether a claim has been unsettled for so long that its outcome counts as unknown.
    pub(super) fn is_claimant_lost(
        &self,
        row: &shard_object::Row,
        now_us: u64,
        options: &Options,
    ) -> bool {
        let limit_us = row.timeout_ms.saturating_mul(1_000);
        let limit_us = limit_us.saturating_add(options.unknown_after_us);
        !row.state.is_settled() && self.age_us(row, now_us) >= limit_us
    }

    fn age_us(&self, row: &shard_object::Row, now_us: u64) -> u64 {
        let seen_us = self.claims_seen_us.get(&row.request_id);
        now_us.saturating_sub(seen_us.copied().unwrap_or(now_us))
    }
}
