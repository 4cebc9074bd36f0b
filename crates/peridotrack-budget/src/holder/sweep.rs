//! Periodic inspection of all budgets in use: draws ahead, returns of idle grants and refreshes.
//!
//! Each tick inspects a few budgets, so that each is inspected once per [`Options::sweep_us`].

use peridotrack_types::id;

use super::{Holder, Status, account::Active};
use crate::{message::Reply, options::Options};

/// Position of the inspection in the list of active accounts, and its last time.
#[derive(Debug)]
pub(super) struct Cursor {
    next: usize,
    last_us: u64,
}

impl Cursor {
    pub(super) fn new(now_us: u64) -> Self {
        Self {
            next: 0,
            last_us: now_us,
        }
    }
}

impl Holder {
    pub(super) fn on_tick(&mut self, now_us: u64) {
        self.repeat_transfers(now_us);
        self.sweep(now_us);
    }

    /// Inspects as many budgets as the time since the last inspection covers.
    fn sweep(&mut self, now_us: u64) {
        let count = self.active.len() as u64;
        let elapsed_us = now_us.saturating_sub(self.sweep.last_us);
        let steps = (count * elapsed_us / self.options.sweep_us.max(1)).min(count);
        if steps == 0 {
            return;
        }
        self.sweep.last_us = now_us;
        for _ in 0..steps {
            let position = self.sweep.next % self.active.len();
            self.sweep.next = position + 1;
            self.inspect(now_us, self.active[position]);
        }
    }

    /// Inspects one budget, unless this holder is closing, is no member of the shard or has stopped
    /// spending from the budget.
    fn inspect(&mut self, now_us: u64, index: u32) {
        if self.is_closing {
            return;
        }
        let account = &self.accounts[index as usize];
        let (shard, coordinator) = (account.shard, self.coordinator(now_us, account.shard));
        let state = &self.shards[shard as usize];
        let status = account.active.as_deref().map(|active| active.status);
        if !state.is_member() || !matches!(status, Some(Status::Unlisted | Status::Listed)) {
            return;
        }
        if now_us.saturating_sub(state.fresh_at_us) > self.options.refresh_us {
            self.schedule_call(shard, now_us + self.options.merge_us);
        }
        match coordinator {
            Some(coordinator) if status == Some(Status::Unlisted) => {
                self.inspect_buffer(now_us, index, coordinator);
            }
            _ => self.inspect_grant(now_us, index, coordinator.is_none()),
        }
    }

    /// Sends the surplus of an idle holder back to the coordinator.
    fn inspect_buffer(&mut self, now_us: u64, index: u32, coordinator: id::Incarnation) {
        let Some(active) = self.accounts[index as usize].active.as_mut() else {
            return;
        };
        active.has_requested_ahead = false;
        active.is_coordinator = false;
        let surplus_tokens = active.surplus_tokens(now_us, &self.options);
        let is_known = active.transfers.contains_key(&coordinator);
        if surplus_tokens > 0 && is_known {
            self.transfer_tokens(
                now_us,
                index,
                coordinator,
                surplus_tokens,
                Reply::Unsolicited,
            );
        }
    }

    /// Draws ahead, or returns surplus tokens to the ledger.
    fn inspect_grant(&mut self, now_us: u64, index: u32, is_coordinator: bool) {
        let options = &self.options;
        let account = &mut self.accounts[index as usize];
        let shard = account.shard;
        let Some(active) = account.active.as_mut() else {
            return;
        };
        active.is_coordinator = is_coordinator;
        active.set_low_water(now_us, options);
        let has_returns = active.returned_tokens > active.returned_written_tokens
            || active.surplus_tokens(now_us, options) > 0;
        let available_tokens = active.available_tokens();
        let is_idle = active.is_idle(now_us, options);
        let is_low = is_coordinator && !is_idle && available_tokens < active.low_water_tokens;
        let is_excess = active.is_over_exposed && available_tokens > 0;
        active.is_draw_wanted |= is_low;
        let due_us = now_us + options.merge_us;
        if has_returns || is_low || is_excess {
            self.schedule_call(shard, due_us);
        }
    }
}

impl Active {
    /// Returns whether the budget was not used for [`Options::return_after_us`].
    fn is_idle(&self, now_us: u64, options: &Options) -> bool {
        now_us.saturating_sub(self.last_use_us) > options.return_after_us
    }

    /// Returns the available tokens that the current rate does not need.
    pub(super) fn surplus_tokens(&self, now_us: u64, options: &Options) -> u64 {
        if self.search.is_running() || self.need_tokens() > 0 {
            return 0;
        }
        if self.is_scarce {
            let kept_tokens = self.target_tokens(now_us, options);
            return self.available_tokens().saturating_sub(kept_tokens);
        }
        let (target, floor) = match self.is_coordinator {
            true => (
                self.target_tokens(now_us, options),
                options.draw_floor_tokens,
            ),
            false => (self.buffer_tokens(now_us, options), 0),
        };
        let surplus_tokens = self.available_tokens().saturating_sub(2 * target);
        let over_tokens = self.over_limit_tokens(now_us, options);
        if over_tokens > 0 {
            return over_tokens.max(surplus_tokens);
        }
        let is_large = self.is_coordinator && surplus_tokens > 2 * floor;
        // While the rate decays, an idle grant is returned in a few large steps.
        let is_half = 2 * surplus_tokens >= self.available_tokens();
        match is_large || is_half && self.is_idle(now_us, options) {
            true => surplus_tokens,
            false => 0,
        }
    }
}
