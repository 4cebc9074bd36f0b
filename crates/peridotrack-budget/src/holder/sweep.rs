//! Slow inspection of all budgets in use: draws ahead, returns of idle grants, refreshes.

use super::{Holder, Status};

/// Position of the inspection.
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
        for index in std::mem::take(&mut self.calls_due) {
            self.serve_calls(now_us, index);
        }
        self.repeat_transfers(now_us);
        self.sweep(now_us);
    }

    /// Inspects as many budgets as the time since the last call covers.
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

    fn inspect(&mut self, now_us: u64, index: u32) {
        let options = &self.options;
        let account = &mut self.accounts[index as usize];
        let shard = account.shard;
        let Some(active) = account.active.as_mut() else {
            return;
        };
        if active.status != Status::Listed || self.is_closing {
            return;
        }
        let available_tokens = active.available_tokens();
        let target = active.target_tokens(now_us, options);
        let surplus_tokens = available_tokens.saturating_sub(2 * target);
        let is_idle = now_us.saturating_sub(active.last_use_us) > options.return_after_us;
        let is_large = surplus_tokens > 2 * options.draw_floor_tokens;
        if surplus_tokens > 0 && (is_idle || is_large) {
            active.give_back(surplus_tokens);
        }
        let has_returns = active.returned_tokens > active.returned_written_tokens;
        let is_low = available_tokens < active.low_water_tokens;
        let is_excess = active.is_over_exposed && available_tokens > 0;
        let due_us = now_us + options.merge_us;
        let fresh_at_us = self.links[shard as usize].fresh_at_us;
        let is_old = now_us.saturating_sub(fresh_at_us) > self.options.refresh_us;
        if is_low {
            active.is_wanting = true;
        }
        if is_old || is_excess {
            self.links[shard as usize].is_direct = true;
        }
        if has_returns || is_low || is_excess || is_old {
            self.call_by(shard, due_us);
        }
    }
}
