//! One shard's cached head, waiting requests and pending row changes.
//!
//! A shard makes at most one call to the store at a time. The cached head determines the next one:
//! a read of the head or a page, a step of a seal, or a write that [`super::plan`] computes.
//! [`super::reply`] handles the replies.

use std::collections::BTreeMap;

use peridotrack_types::{id, problem};

use super::{
    Action, Decision, Note, Options,
    ages::Ages,
    plan::{self, Plan, RowChange, WaitingRequest},
    store_health::StoreHealth,
};
use crate::shard_object;

/// Maximum number of doublings of the backoff after failed calls.
const MAX_DOUBLINGS: u32 = 20;
/// Maximum number of doublings of the backoff after conflicts.
const MAX_CONFLICT_DOUBLINGS: u32 = 4;

/// State shared by the shards of one router, passed to each call.
pub(super) struct Context<'a> {
    pub(super) now_us: u64,
    pub(super) options: &'a Options,
    pub(super) rng: &'a mut fastrand::Rng,
    pub(super) store: &'a mut StoreHealth,
    pub(super) actions: Vec<Action>,
}

impl Context<'_> {
    /// Returns the time until a refused claim may succeed, in milliseconds: until the next probe
    /// if the store is unavailable, otherwise the maximum backoff.
    pub(super) fn retry_after_ms(&self) -> u64 {
        let wait_us = if self.store.is_unavailable() {
            self.store.next_call_us(self.now_us) - self.now_us
        } else {
            self.options.retry_max_us
        };
        wait_us.div_ceil(1_000).max(1)
    }
}

/// Claims and row changes of one shard.
pub(super) struct Shard {
    /// Name of the head.
    pub(super) object: String,
    pub(super) waiting: Vec<WaitingRequest>,
    /// Row changes that are not recorded yet, by the request that owns the row.
    pub(super) changes: BTreeMap<id::Request, RowChange>,
    pub(super) cached: Option<CachedHead>,
    /// Highest version of the head read or written; a read of a lower one is stale.
    pub(super) highest_version: u64,
    pub(super) call: Call,
    pub(super) ages: Ages,
    /// Sequence of a page that is known to exist although the head does not list it yet.
    pub(super) created_page: Option<u64>,
    /// End of the current claim window.
    pub(super) claims_due_us: u64,
    /// End of the current outcome window.
    pub(super) changes_due_us: u64,
    /// Earliest time of the next call after a failure or conflict.
    retry_us: u64,
    /// Number of failures and conflicts since the last success, which sets the backoff.
    pub(super) attempts: u32,
}

/// The head as last read or written by this router.
pub(super) struct CachedHead {
    /// Version in the store; 0 if the head does not exist.
    pub(super) version: u64,
    pub(super) head: shard_object::ShardObject,
    /// When it was read or written.
    pub(super) since_us: u64,
}

/// The pending call to the store.
pub(super) enum Call {
    Idle,
    ReadHead,
    ReadPage { sequence: u64 },
    CreatePage { sequence: u64 },
    WriteHead(HeadWrite),
}

/// A pending write of the head.
pub(super) struct HeadWrite {
    pub(super) expected_version: u64,
    pub(super) head: shard_object::ShardObject,
    /// Requests whose rows the write adds.
    pub(super) claimed: Vec<id::Request>,
    /// Requests whose row changes the write records.
    pub(super) applied: Vec<id::Request>,
    /// Sequences of the pages that the write removes from the head's list.
    pub(super) dropped_pages: Vec<u64>,
}

/// Constructors and queries.
impl Shard {
    pub(super) fn new(object: String) -> Self {
        Self {
            object,
            waiting: Vec::new(),
            changes: BTreeMap::new(),
            cached: None,
            highest_version: 0,
            call: Call::Idle,
            ages: Ages::default(),
            created_page: None,
            claims_due_us: 0,
            changes_due_us: 0,
            retry_us: 0,
            attempts: 0,
        }
    }

    pub(super) fn waiting_claims(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn is_settled(&self) -> bool {
        self.waiting.is_empty() && self.changes.is_empty()
    }

    /// Returns the size of the response bodies that wait to be recorded, in bytes.
    pub(super) fn backlog_bytes(&self) -> usize {
        self.changes.values().map(RowChange::kept_bytes).sum()
    }

    /// Returns when the shard needs a tick: at a deadline, for its next call, or to drop its cached
    /// head.
    pub(super) fn next_tick_us(
        &self,
        now_us: u64,
        store: &StoreHealth,
        options: &Options,
    ) -> Option<u64> {
        let deadline_us = self.waiting.iter().map(|request| request.deadline_us).min();
        if !matches!(self.call, Call::Idle) {
            return deadline_us;
        }
        if !self.has_work() {
            // A stale head is dropped, so that idle shards use no memory.
            let cached = self.cached.as_ref();
            return cached.map(|cached| cached.since_us + options.head_lifetime_us() + 1);
        }
        let call_us = self.due_us().max(self.retry_us);
        let call_us = call_us.max(store.next_call_us(now_us));
        Some(deadline_us.unwrap_or(u64::MAX).min(call_us))
    }

    fn has_work(&self) -> bool {
        !self.is_settled() || self.seal().is_some()
    }

    fn seal(&self) -> Option<shard_object::Seal> {
        self.cached.as_ref().and_then(|cached| cached.head.seal)
    }

    /// Returns when the next call is due without regard to backoff; 0 if it is due at once.
    fn due_us(&self) -> u64 {
        if self.seal().is_some() {
            return 0;
        }
        let claims_us = (!self.waiting.is_empty()).then_some(self.claims_due_us);
        let changes_us = (!self.changes.is_empty()).then_some(self.changes_due_us);
        claims_us.into_iter().chain(changes_us).min().unwrap_or(0)
    }

    pub(super) fn page_object(&self, sequence: u64) -> String {
        format!("{}/{sequence}", self.object)
    }
}

/// Waiting requests and row changes.
impl Shard {
    /// Adds a waiting request; the first one opens the claim window.
    pub(super) fn enqueue(&mut self, context: &mut Context<'_>, request: WaitingRequest) {
        if self.waiting.is_empty() {
            self.claims_due_us = context.now_us + context.options.claim_window_us;
        }
        self.waiting.push(request);
    }

    /// Adds a row change; the first one opens the outcome window.
    pub(super) fn add_change(
        &mut self,
        context: &mut Context<'_>,
        id: id::Request,
        change: RowChange,
    ) {
        if self.changes.is_empty() {
            self.changes_due_us = context.now_us + context.options.outcome_window_us;
        }
        self.changes.insert(id, change);
    }

    /// Drops a waiting request. If its row is possibly stored, or a pending write may still store
    /// it, its removal is added to the row changes.
    pub(super) fn abandon(&mut self, context: &mut Context<'_>, request_id: id::Request) {
        let position = self.waiting.iter().position(|w| w.request_id == request_id);
        let Some(position) = position else { return };
        let request = self.waiting.remove(position);
        let current_write_version = self.version_written_for(request_id);
        let unknown_write_version = current_write_version.max(request.unknown_write_version);
        if unknown_write_version.is_some() {
            context
                .actions
                .push(Action::Note(Note::Abandoned { request_id }));
            self.add_change(context, request_id, request.removal(unknown_write_version));
        }
    }

    /// Refuses the waiting requests for which `is_refused` returns true.
    pub(super) fn refuse(
        &mut self,
        context: &mut Context<'_>,
        is_refused: impl Fn(&WaitingRequest) -> bool,
    ) {
        let refused = self.waiting.iter().filter(|request| is_refused(request));
        let refused: Vec<_> = refused.map(|request| request.request_id).collect();
        let retry_after_ms = context.retry_after_ms();
        for request_id in refused {
            self.abandon(context, request_id);
            let decision = Decision::Refuse {
                kind: problem::Kind::ClaimUnavailable,
                retry_after_ms: Some(retry_after_ms),
            };
            context.actions.push(Action::Decide {
                request_id,
                decision,
            });
        }
    }

    /// Returns the version that the pending write expects, if it adds the row of `request_id`.
    fn version_written_for(&self, request_id: id::Request) -> Option<u64> {
        match &self.call {
            Call::WriteHead(write) if write.claimed.contains(&request_id) => {
                Some(write.expected_version)
            }
            _ => None,
        }
    }

    /// Delivers the decision on a waiting request and drops the request.
    pub(super) fn decide(
        &mut self,
        context: &mut Context<'_>,
        id: id::Request,
        decision: Decision,
    ) {
        // A write with unknown outcome may have stored the row of a refused request, or may still
        // do so; the row has to be removed.
        if matches!(decision, Decision::Refuse { .. }) {
            self.abandon(context, id);
        }
        self.waiting.retain(|request| request.request_id != id);
        context.actions.push(Action::Decide {
            request_id: id,
            decision,
        });
    }
}

/// Calls to the store.
impl Shard {
    /// Makes the next call to the store, if one is due.
    pub(super) fn advance(&mut self, context: &mut Context<'_>) {
        if !matches!(self.call, Call::Idle) {
            return;
        }
        let is_fresh = self.is_fresh(context);
        if !self.has_work() {
            self.attempts = 0;
            self.cached.take_if(|_| !is_fresh);
            return;
        }
        // The head is read while the claim window passes, so the read does not add to the latency.
        let is_due = context.now_us >= self.due_us() || (!is_fresh && !self.waiting.is_empty());
        if !is_due || context.now_us < self.retry_us {
            return;
        }
        match self.cached.take_if(|_| is_fresh) {
            Some(cached) => self.advance_from(context, cached),
            None => self.read(context, Call::ReadHead, self.object.clone()),
        }
    }

    fn is_fresh(&self, context: &Context<'_>) -> bool {
        let limit_us = context.options.head_lifetime_us();
        let age_us = |cached: &CachedHead| context.now_us.saturating_sub(cached.since_us);
        self.cached
            .as_ref()
            .is_some_and(|cached| age_us(cached) <= limit_us)
    }

    /// Makes the next call based on a fresh head: the next step of a seal, or the shard's plan.
    fn advance_from(&mut self, context: &mut Context<'_>, cached: CachedHead) {
        let Some(seal) = cached.head.seal else {
            let head = cached.head.clone();
            return self.write_plan(context, cached, head, false);
        };
        if self.created_page == Some(cached.head.sequence) {
            let head = cached
                .head
                .after_seal(seal, context.options.retained_epochs);
            return self.write_plan(context, cached, head, true);
        }
        let sequence = cached.head.sequence;
        let (object, body) = (self.page_object(sequence), cached.head.sealed_page());
        self.cached = Some(cached);
        self.write(context, Call::CreatePage { sequence }, object, None, body);
    }

    /// Computes a plan from `head`, carries out its decisions and writes the head or reads a page.
    fn write_plan(
        &mut self,
        context: &mut Context<'_>,
        cached: CachedHead,
        head: shard_object::ShardObject,
        is_changed: bool,
    ) {
        let inputs = plan::Inputs {
            now_us: context.now_us,
            options: context.options,
            ages: &self.ages,
            version: cached.version,
        };
        let plan = Plan::new(&inputs, head, is_changed, &self.waiting, &self.changes);
        let expected_version = cached.version;
        let dropped_pages = dropped_pages(&cached.head, &plan.head);
        self.cached = Some(cached);
        self.apply_decisions(context, &plan);
        if plan.is_changed {
            let expected = (expected_version > 0).then_some(expected_version);
            let call = Call::WriteHead(HeadWrite {
                expected_version,
                head: plan.head.clone(),
                claimed: plan.claimed,
                applied: plan.applied,
                dropped_pages,
            });
            self.write(context, call, self.object.clone(), expected, plan.head);
        } else if let Some(sequence) = plan.page_to_read {
            let object = self.page_object(sequence);
            self.read(context, Call::ReadPage { sequence }, object);
        }
    }

    /// Carries out the decisions of a plan that need no write.
    fn apply_decisions(&mut self, context: &mut Context<'_>, plan: &Plan) {
        for request_id in &plan.obsolete {
            self.changes.remove(request_id);
        }
        for request_id in &plan.late_outcomes {
            let note = Note::OutcomeTooLate {
                request_id: *request_id,
            };
            context.actions.push(Action::Note(note));
        }
        for (request_id, decision) in &plan.decisions {
            self.decide(context, *request_id, decision.clone());
        }
    }

    fn read(&mut self, context: &mut Context<'_>, call: Call, object: String) {
        if context.store.acquire_call(context.now_us, context.options) {
            self.call = call;
            context.actions.push(Action::Read { object });
        }
    }

    fn write(
        &mut self,
        context: &mut Context<'_>,
        call: Call,
        object: String,
        expected: Option<u64>,
        body: shard_object::ShardObject,
    ) {
        if context.store.acquire_call(context.now_us, context.options) {
            self.call = call;
            context.actions.push(Action::Write {
                object,
                expected,
                body,
            });
        }
    }

    /// Backs off after a failed call, exponentially and for at least `wait_us`.
    pub(super) fn back_off(&mut self, context: &mut Context<'_>, wait_us: u64) {
        let limit_us = self.retry_limit_us(context.options, MAX_DOUBLINGS);
        let jitter_us = context.rng.u64(limit_us / 2..=limit_us);
        self.retry_after(context, jitter_us.max(wait_us));
    }

    /// Backs off after a conflict; the delay is fully random, so that competing routers spread.
    pub(super) fn back_off_conflict(&mut self, context: &mut Context<'_>) {
        let limit_us = self.retry_limit_us(context.options, MAX_CONFLICT_DOUBLINGS);
        let jitter_us = context.rng.u64(0..=limit_us);
        self.retry_after(context, jitter_us);
    }

    fn retry_limit_us(&self, options: &Options, max_doublings: u32) -> u64 {
        let limit_us = options.retry_min_us << self.attempts.min(max_doublings);
        limit_us.clamp(options.retry_min_us, options.retry_max_us)
    }

    /// Delays the next call and refuses the requests whose deadline comes first.
    fn retry_after(&mut self, context: &mut Context<'_>, wait_us: u64) {
        self.attempts += 1;
        let retry_us = context.now_us + wait_us;
        self.retry_us = retry_us;
        self.refuse(context, |request| request.deadline_us <= retry_us);
    }
}

/// Returns the sequences of the pages that `before` lists and `after` does not.
fn dropped_pages(
    before: &shard_object::ShardObject,
    after: &shard_object::ShardObject,
) -> Vec<u64> {
    let is_listed = |sequence| after.pages.iter().any(|page| page.sequence == sequence);
    let sequences = before.pages.iter().map(|page| page.sequence);
    sequences.filter(|sequence| !is_listed(*sequence)).collect()
}
