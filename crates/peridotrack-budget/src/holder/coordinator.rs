//! Coordinators: one holder of a failure domain draws a shard's budgets for all its peers.
//!
//! The peers request tokens from the coordinator, so that the ledger has a row for each failure
//! domain rather than for each holder. This only affects performance: if the coordinator does not
//! reply, a holder skips it, and the next candidate takes its place.

use std::collections::BTreeSet;

use peridotrack_types::id;

use super::Holder;
use crate::message;

impl Holder {
    /// Returns the coordinator of a shard, or `None` if it is this holder.
    pub(super) fn coordinator(&self, now_us: u64, shard: u32) -> Option<id::Incarnation> {
        let live = self
            .peers
            .iter()
            .copied()
            .filter(|peer| !self.is_suspect(now_us, *peer))
            .filter(|peer| !self.shards[shard as usize].gone.contains(peer));
        message::coordinator(shard, live.chain([self.id]))
            .filter(|coordinator| *coordinator != self.id)
    }

    /// Returns whether a holder is skipped because it did not reply or was lost recently.
    pub(super) fn is_suspect(&self, now_us: u64, holder: id::Incarnation) -> bool {
        let until_us = self.suspects.get(&holder);
        until_us.is_some_and(|until_us| *until_us > now_us)
    }

    /// Applies a membership that the coordinator wrote for this holder.
    pub(super) fn on_joined(
        &mut self,
        now_us: u64,
        shard: u32,
        version: u64,
        gone: BTreeSet<id::Incarnation>,
    ) {
        let Some(state) = self.shards.get_mut(shard as usize) else {
            return;
        };
        if state.is_member() || state.is_gone || version < state.version {
            return;
        }
        state.version = version;
        state.member_version = version;
        state.gone.extend(gone);
        if self.is_closing {
            self.schedule_call(shard, now_us);
        }
    }

    /// Serves the pending requests of a peer that has become a member.
    pub(super) fn serve_joined(&mut self, now_us: u64, shard: u32, peer: id::Incarnation) {
        for index in self.shards[shard as usize].accounts.clone() {
            let Some(active) = self.accounts[index as usize].active.as_mut() else {
                continue;
            };
            let Some(pending) = active.pending_requests.get_mut(&peer) else {
                continue;
            };
            pending.is_joining = false;
            self.handle_requests(now_us, index);
        }
    }
}
