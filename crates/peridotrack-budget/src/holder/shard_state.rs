//! Reads and writes of shard objects, with at most one store call per shard at a time.
//!
//! Calls are scheduled, updates that are due together are merged, and calls are retried after
//! conflicts, unknown outcomes and failures of the store.

use std::collections::BTreeSet;

use peridotrack_types::id;

use super::{Holder, plan::Plan};
use crate::{action::Action, ledger, options::Options};

const CONFLICT_BACKOFF_MIN_US: u64 = 2_000;
const CONFLICT_BACKOFF_MAX_US: u64 = 250_000;

/// State of one shard at a holder.
#[derive(Debug, Default)]
pub(super) struct ShardState {
    /// Indexes of the accounts in use whose budgets are in the shard.
    pub(super) accounts: Vec<u32>,
    /// Highest known version of the object; 0 if none is known.
    pub(super) version: u64,
    /// Time of the last successful read or write, in microseconds.
    pub(super) fresh_at_us: u64,
    pub(super) phase: Phase,
    /// Contents after a store call, kept for [`Options::keep_us`]; version 0 until the write of
    /// them has taken effect.
    kept: Option<ledger::Versioned>,
    /// Time at which the next store call is due, in microseconds.
    pub(super) due_us: Option<u64>,
    /// Version in which this holder was last seen as a member; 0 if it is none.
    pub(super) member_version: u64,
    /// An operator declared this holder gone, or its membership has vanished.
    pub(super) is_gone: bool,
    /// Holders declared gone, with which no tokens are exchanged any more.
    pub(super) gone: BTreeSet<id::Incarnation>,
    /// Peers that the next write makes members.
    pub(super) joins: BTreeSet<id::Incarnation>,
    conflict_delay_us: u64,
    /// The write in progress is the first retry after a conflict, made at once from the contents
    /// that the conflict returned.
    is_immediate_retry: bool,
}

/// State of the store call of a shard.
#[derive(Debug, Default)]
pub(super) enum Phase {
    #[default]
    Idle,
    Reading,
    Writing(Plan),
    Backoff {
        until_us: u64,
    },
}

/// Backoff that holds for all shards while the store fails.
#[derive(Debug, Default)]
pub(super) struct StoreBackoff {
    /// Time of the next probe, in microseconds; store calls wait until then.
    pub(super) until_us: u64,
    /// Current delay in microseconds; 0 while the store responds.
    pub(super) delay_us: u64,
}

impl ShardState {
    pub(super) fn is_quiescent(&self) -> bool {
        matches!(self.phase, Phase::Idle) && self.due_us.is_none()
    }

    fn keep(&mut self, contents: ledger::Versioned, options: &Options) {
        if options.keep_us > 0 {
            self.kept = Some(contents);
        }
    }

    /// Returns whether this holder may take part in transfers.
    pub(super) fn is_member(&self) -> bool {
        self.member_version > 0 && !self.is_gone
    }
}

/// Scheduling and start of store calls.
impl Holder {
    /// Schedules a store call no later than a time.
    pub(super) fn schedule_call(&mut self, shard: u32, due_us: u64) {
        let state = &mut self.shards[shard as usize];
        state.due_us = Some(state.due_us.map_or(due_us, |due| due.min(due_us)));
        self.busy.insert(shard);
    }

    /// Returns whether the store failed recently and is not called for now.
    pub(super) fn is_store_backing_off(&self, now_us: u64) -> bool {
        self.store_backoff.until_us > now_us
    }

    /// Starts every store call that is due.
    pub(super) fn advance_shards(&mut self, now_us: u64) {
        let busy: Vec<u32> = self.busy.iter().copied().collect();
        for shard in busy {
            self.advance_shard(now_us, shard);
            if self.shards[shard as usize].is_quiescent() {
                self.busy.remove(&shard);
            }
        }
    }

    fn advance_shard(&mut self, now_us: u64, shard: u32) {
        let state = &mut self.shards[shard as usize];
        if matches!(state.phase, Phase::Backoff { until_us } if until_us <= now_us) {
            state.phase = Phase::Idle;
        }
        let is_due = state.due_us.is_some_and(|due_us| due_us <= now_us);
        if is_due && matches!(state.phase, Phase::Idle) {
            self.start_call(now_us, shard);
        }
    }

    /// Updates the shard from the kept contents if they are recent, or reads it first.
    fn start_call(&mut self, now_us: u64, shard: u32) {
        let state = &mut self.shards[shard as usize];
        let kept = state.kept.take();
        if self.store_backoff.delay_us == 0
            && now_us.saturating_sub(state.fresh_at_us) <= self.options.keep_us
            && let Some(ledger::Versioned { version, mut body }) = kept
            && version == state.version
        {
            let mut plan = Plan::default();
            self.plan(now_us, shard, &mut body, &mut plan);
            // If the conditional write takes effect, the contents were current.
            if plan.is_changed {
                self.shards[shard as usize].due_us = None;
                return self.write(shard, Some(version), body, plan);
            }
            self.restore(shard, plan);
        }
        self.read(now_us, shard);
    }

    fn write(&mut self, shard: u32, expected: Option<u64>, body: ledger::Shard, plan: Plan) {
        let state = &mut self.shards[shard as usize];
        state.phase = Phase::Writing(plan);
        if self.options.keep_us > 0 {
            let body = body.clone();
            state.kept = Some(ledger::Versioned { version: 0, body });
        }
        self.actions.push(Action::Write {
            shard,
            expected,
            body,
        });
    }

    fn read(&mut self, now_us: u64, shard: u32) {
        if self.is_store_backing_off(now_us) {
            return;
        }
        if self.store_backoff.delay_us > 0 {
            // While the store fails, one probe is made at a time.
            self.store_backoff.until_us = now_us + self.store_backoff.delay_us;
        }
        let state = &mut self.shards[shard as usize];
        state.phase = Phase::Reading;
        state.due_us = None;
        self.actions.push(Action::Read { shard });
    }
}

/// Outcomes of store calls.
impl Holder {
    pub(super) fn on_read(&mut self, now_us: u64, shard: u32, version: u64, body: ledger::Shard) {
        self.on_body(now_us, shard, Some(version), body);
    }

    pub(super) fn on_absent(&mut self, now_us: u64, shard: u32) {
        self.on_body(now_us, shard, None, ledger::Shard::empty());
    }

    fn on_body(&mut self, now_us: u64, shard: u32, version: Option<u64>, mut body: ledger::Shard) {
        let state = &mut self.shards[shard as usize];
        if !matches!(state.phase, Phase::Reading) {
            return;
        }
        self.store_backoff = StoreBackoff::default();
        if version.unwrap_or(0) < state.version {
            // A stale read is ignored and repeated after the shortest backoff.
            let until_us = now_us + self.options.backoff_min_us;
            return self.back_off(shard, until_us);
        }
        state.version = version.unwrap_or(0);
        state.fresh_at_us = now_us;
        state.due_us = None;
        state.phase = Phase::Idle;
        let mut plan = Plan::default();
        self.plan(now_us, shard, &mut body, &mut plan);
        if plan.is_changed {
            return self.write(shard, version, body, plan);
        }
        if let Some(version) = version {
            let contents = ledger::Versioned { version, body };
            self.shards[shard as usize].keep(contents, &self.options);
        }
        self.complete(now_us, shard, plan);
    }

    pub(super) fn on_read_failed(&mut self, now_us: u64, shard: u32) {
        if matches!(self.shards[shard as usize].phase, Phase::Reading) {
            self.back_off_store(now_us);
            let until_us = self.store_backoff.until_us;
            self.back_off(shard, until_us);
        }
    }

    pub(super) fn on_written(&mut self, now_us: u64, shard: u32, version: u64) {
        let state = &mut self.shards[shard as usize];
        match std::mem::take(&mut state.phase) {
            Phase::Writing(plan) => {
                self.store_backoff = StoreBackoff::default();
                state.conflict_delay_us = 0;
                state.is_immediate_retry = false;
                state.version = state.version.max(version);
                state.fresh_at_us = now_us;
                if let Some(kept) = &mut state.kept {
                    kept.version = version;
                }
                self.complete(now_us, shard, plan);
            }
            other => state.phase = other,
        }
    }

    pub(super) fn on_conflict(
        &mut self,
        now_us: u64,
        shard: u32,
        current: Option<ledger::Versioned>,
    ) {
        let state = &mut self.shards[shard as usize];
        if !matches!(state.phase, Phase::Writing(_)) {
            return;
        }
        // The contents returned with a conflict are current, so the first retry does not wait.
        let may_retry_now =
            current.is_some() && !state.is_immediate_retry && self.options.keep_us > 0;
        let mut until_us = now_us;
        if !may_retry_now {
            state.conflict_delay_us = (state.conflict_delay_us * 2)
                .clamp(CONFLICT_BACKOFF_MIN_US, CONFLICT_BACKOFF_MAX_US);
            until_us += self.rng.u64(0..=state.conflict_delay_us);
        }
        state.is_immediate_retry = may_retry_now;
        self.retry_plan(shard, until_us);
        let state = &mut self.shards[shard as usize];
        if let Some(contents) = current
            && contents.version > state.version
        {
            state.version = contents.version;
            state.fresh_at_us = now_us;
            state.keep(contents, &self.options);
        }
    }

    pub(super) fn on_unknown(&mut self, now_us: u64, shard: u32) {
        let until_us = now_us + self.rng.u64(0..=self.options.backoff_min_us);
        self.retry_plan(shard, until_us);
    }

    pub(super) fn on_write_refused(&mut self, now_us: u64, shard: u32, retry_after_ms: u64) {
        let jitter_us = self.rng.u64(0..=self.options.backoff_min_us);
        let until_us = now_us + retry_after_ms * 1_000 + jitter_us;
        self.retry_plan(shard, until_us);
    }

    /// Restores the plan for another attempt after a write that had, or may have had, no effect.
    fn retry_plan(&mut self, shard: u32, until_us: u64) {
        let state = &mut self.shards[shard as usize];
        match std::mem::take(&mut state.phase) {
            Phase::Writing(plan) => {
                state.kept = None;
                self.restore(shard, plan);
                self.back_off(shard, until_us);
            }
            other => state.phase = other,
        }
    }

    fn back_off(&mut self, shard: u32, until_us: u64) {
        self.shards[shard as usize].phase = Phase::Backoff { until_us };
        self.schedule_call(shard, until_us);
    }

    fn back_off_store(&mut self, now_us: u64) {
        let delay_us = (self.store_backoff.delay_us * 2)
            .clamp(self.options.backoff_min_us, self.options.backoff_max_us);
        self.store_backoff.delay_us = delay_us;
        self.store_backoff.until_us = now_us + delay_us / 2 + self.rng.u64(0..=delay_us / 2);
    }
}
