//! One shard's head and pages: at most one call to the store at a time.

use std::collections::BTreeMap;

use peridotrack_types::{id, problem};

use super::{
    Action, Decision, Note, Options,
    plan::{self, Change, Plan, Waiting},
    store::Store,
    watch::Watch,
};
use crate::shard_object;

/// Doublings of the wait between failed calls.
const MAX_DOUBLINGS: u32 = 20;
/// Doublings of the wait between lost races.
const MAX_RACE_DOUBLINGS: u32 = 4;

/// What the shards of one router share.
pub(super) struct Context<'a> {
    pub(super) now_us: u64,
    pub(super) options: &'a Options,
    pub(super) rng: &'a mut fastrand::Rng,
    pub(super) store: &'a mut Store,
    pub(super) actions: Vec<Action>,
}

impl Context<'_> {
    /// Returns when a refused claim may succeed: at the next probe of a store that is down, or
    /// after the longest back-off.
    pub(super) fn retry_after_ms(&self) -> u64 {
        let wait_us = if self.store.is_down() {
            self.store.next_call_us(self.now_us) - self.now_us
        } else {
            self.options.retry_max_us
        };
        wait_us.div_ceil(1_000).max(1)
    }
}

/// Claims and outcomes of one shard.
pub(super) struct Shard {
    pub(super) object: String,
    pub(super) waiting: Vec<Waiting>,
    pub(super) changes: BTreeMap<id::Request, Change>,
    pub(super) known: Option<Known>,
    pub(super) highest_version: u64,
    pub(super) call: Call,
    pub(super) watch: Watch,
    /// Page that is known to stand in the store although the head does not list it yet.
    pub(super) sealed: Option<u64>,
    pub(super) claims_due_us: u64,
    pub(super) changes_due_us: u64,
    retry_us: u64,
    pub(super) attempts: u32,
}

/// The head as last read or written.
pub(super) struct Known {
    /// 0 if the head does not exist.
    pub(super) version: u64,
    pub(super) head: shard_object::ShardObject,
    pub(super) since_us: u64,
}

/// The call that is under way.
pub(super) enum Call {
    Idle,
    ReadHead,
    ReadPage { sequence: u64 },
    CreatePage { sequence: u64 },
    WriteHead(HeadWrite),
}

/// A write of the head that is under way.
pub(super) struct HeadWrite {
    pub(super) expected_version: u64,
    pub(super) head: shard_object::ShardObject,
    /// Requests whose rows the write adds.
    pub(super) claimed: Vec<id::Request>,
    /// Changes that the write records.
    pub(super) applied: Vec<id::Request>,
    /// Pages that the write takes off the list.
    pub(super) dropped_pages: Vec<u64>,
}

// Construction and access.
impl Shard {
    pub(super) fn new(object: String) -> Self {
        Self {
            object,
            waiting: Vec::new(),
            changes: BTreeMap::new(),
            known: None,
            highest_version: 0,
            call: Call::Idle,
            watch: Watch::default(),
            sealed: None,
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

    /// Returns the bytes of answers that wait to be recorded.
    pub(super) fn backlog_bytes(&self) -> usize {
        self.changes.values().map(Change::kept_bytes).sum()
    }

    /// Returns when the shard needs a tick.
    pub(super) fn next_tick_us(
        &self,
        now_us: u64,
        store: &Store,
        options: &Options,
    ) -> Option<u64> {
        let deadline_us = self.waiting.iter().map(|request| request.deadline_us).min();
        if !matches!(self.call, Call::Idle) {
            return deadline_us;
        }
        if !self.has_work() {
            // The head is dropped when it is stale, so that idle shards take no memory.
            let known = self.known.as_ref();
            return known.map(|known| known.since_us + options.head_lifetime_us() + 1);
        }
        let call_us = self.due_us().max(self.retry_us);
        let call_us = call_us.max(store.next_call_us(now_us));
        Some(deadline_us.unwrap_or(u64::MAX).min(call_us))
    }

    fn has_work(&self) -> bool {
        !self.is_settled() || self.seal().is_some()
    }

    fn seal(&self) -> Option<shard_object::Seal> {
        self.known.as_ref().and_then(|known| known.head.seal)
    }

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

// Requests.
impl Shard {
    pub(super) fn wait(&mut self, context: &mut Context<'_>, request: Waiting) {
        if self.waiting.is_empty() {
            self.claims_due_us = context.now_us + context.options.claim_window_us;
        }
        self.waiting.push(request);
    }

    pub(super) fn change(&mut self, context: &mut Context<'_>, id: id::Request, change: Change) {
        if self.changes.is_empty() {
            self.changes_due_us = context.now_us + context.options.outcome_window_us;
        }
        self.changes.insert(id, change);
    }

    /// Stops waiting for a claim; if its row may exist, or may yet come to exist, it is removed.
    pub(super) fn abandon(&mut self, context: &mut Context<'_>, request_id: id::Request) {
        let position = self.waiting.iter().position(|w| w.request_id == request_id);
        let Some(position) = position else { return };
        let request = self.waiting.remove(position);
        let in_write = self.version_written_for(request_id);
        let doubtful_version = in_write.max(request.doubtful_version);
        if doubtful_version.is_some() {
            context
                .actions
                .push(Action::Note(Note::Abandoned { request_id }));
            self.change(context, request_id, request.removal(doubtful_version));
        }
    }

    /// Refuses the waiting requests that `is_refused` selects.
    pub(super) fn refuse(
        &mut self,
        context: &mut Context<'_>,
        is_refused: impl Fn(&Waiting) -> bool,
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

    fn version_written_for(&self, request_id: id::Request) -> Option<u64> {
        match &self.call {
            Call::WriteHead(write) if write.claimed.contains(&request_id) => {
                Some(write.expected_version)
            }
            _ => None,
        }
    }

    pub(super) fn decide(
        &mut self,
        context: &mut Context<'_>,
        id: id::Request,
        decision: Decision,
    ) {
        // A refused row that a doubtful write may still put in place has to be removed.
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

// Calls.
impl Shard {
    /// Makes the next call, if one is due.
    pub(super) fn advance(&mut self, context: &mut Context<'_>) {
        if !matches!(self.call, Call::Idle) {
            return;
        }
        let is_fresh = self.is_fresh(context);
        if !self.has_work() {
            self.attempts = 0;
            self.known.take_if(|_| !is_fresh);
            return;
        }
        // Reading ahead of the window costs no time: the window passes meanwhile.
        let is_due = context.now_us >= self.due_us() || (!is_fresh && !self.waiting.is_empty());
        if !is_due || context.now_us < self.retry_us {
            return;
        }
        match self.known.take_if(|_| is_fresh) {
            Some(known) => self.advance_from(context, known),
            None => self.read(context, Call::ReadHead, self.object.clone()),
        }
    }

    fn is_fresh(&self, context: &Context<'_>) -> bool {
        let limit_us = context.options.head_lifetime_us();
        let age_us = |known: &Known| context.now_us.saturating_sub(known.since_us);
        self.known
            .as_ref()
            .is_some_and(|known| age_us(known) <= limit_us)
    }

    fn advance_from(&mut self, context: &mut Context<'_>, known: Known) {
        let Some(seal) = known.head.seal else {
            let head = known.head.clone();
            return self.write_plan(context, known, head, false);
        };
        if self.sealed == Some(known.head.sequence) {
            let head = known.head.after_seal(seal, context.options.retained_epochs);
            return self.write_plan(context, known, head, true);
        }
        let sequence = known.head.sequence;
        let (object, body) = (self.page_object(sequence), known.head.sealed_page());
        self.known = Some(known);
        self.write(context, Call::CreatePage { sequence }, object, None, body);
    }

    fn write_plan(
        &mut self,
        context: &mut Context<'_>,
        known: Known,
        head: shard_object::ShardObject,
        is_changed: bool,
    ) {
        let basis = plan::Basis {
            now_us: context.now_us,
            options: context.options,
            watch: &self.watch,
            version: known.version,
        };
        let plan = Plan::new(&basis, head, is_changed, &self.waiting, &self.changes);
        let expected_version = known.version;
        let dropped_pages = dropped_pages(&known.head, &plan.head);
        self.known = Some(known);
        self.settle(context, &plan);
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
        } else if let Some(sequence) = plan.page {
            let object = self.page_object(sequence);
            self.read(context, Call::ReadPage { sequence }, object);
        }
    }

    /// Takes in what a plan decides without a write.
    fn settle(&mut self, context: &mut Context<'_>, plan: &Plan) {
        for request_id in &plan.obsolete {
            self.changes.remove(request_id);
        }
        for request_id in &plan.too_late {
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
        if context.store.take_call(context.now_us, context.options) {
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
        if context.store.take_call(context.now_us, context.options) {
            self.call = call;
            context.actions.push(Action::Write {
                object,
                expected,
                body,
            });
        }
    }

    /// Waits after a failed call, longer after each, and at least `wait_us`.
    pub(super) fn back_off(&mut self, context: &mut Context<'_>, wait_us: u64) {
        let limit_us = self.retry_limit_us(context.options, MAX_DOUBLINGS);
        let jitter_us = context.rng.u64(limit_us / 2..=limit_us);
        self.retry_after(context, jitter_us.max(wait_us));
    }

    /// Waits after a lost race; the whole wait is random, so that rivals spread.
    pub(super) fn back_off_race(&mut self, context: &mut Context<'_>) {
        let limit_us = self.retry_limit_us(context.options, MAX_RACE_DOUBLINGS);
        let jitter_us = context.rng.u64(0..=limit_us);
        self.retry_after(context, jitter_us);
    }

    fn retry_limit_us(&self, options: &Options, max_doublings: u32) -> u64 {
        let limit_us = options.retry_min_us << self.attempts.min(max_doublings);
        limit_us.clamp(options.retry_min_us, options.retry_max_us)
    }

    fn retry_after(&mut self, context: &mut Context<'_>, wait_us: u64) {
        self.attempts += 1;
        let retry_us = context.now_us + wait_us;
        self.retry_us = retry_us;
        self.refuse(context, |request| request.deadline_us <= retry_us);
    }
}

fn dropped_pages(
    before: &shard_object::ShardObject,
    after: &shard_object::ShardObject,
) -> Vec<u64> {
    let is_listed = |sequence| after.pages.iter().any(|page| page.sequence == sequence);
    let sequences = before.pages.iter().map(|page| page.sequence);
    sequences.filter(|sequence| !is_listed(*sequence)).collect()
}
