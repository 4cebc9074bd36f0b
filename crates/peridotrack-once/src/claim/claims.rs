//! The claims of one router: tracks each request and routes events to the shards.

use std::collections::{BTreeMap, BTreeSet};

use peridotrack_types::{collections, id, problem};

use super::{
    Action, Decision, Event, Note, Options, Outcome, Request,
    plan::{RowChange, WaitingRequest},
    reply::{self, Reply},
    shard::{Context, Shard},
    store_health::StoreHealth,
};
use crate::{digest, shard_object};

/// State machine for the claims of one router incarnation.
///
/// A request is first waiting, then granted, then sent, and is removed with its outcome. Only the
/// incarnation that made a claim is ever granted it; neither a timeout nor another router frees a
/// claimed key.
pub struct Claims {
    incarnation: id::Incarnation,
    options: Options,
    rng: fastrand::Rng,
    store: StoreHealth,
    shards: BTreeMap<u32, Shard>,
    requests: collections::HashMap<id::Request, Entry>,
}

struct Entry {
    deadline_us: u64,
    phase: Phase,
    /// `None` for a request without key.
    claim: Option<Claim>,
}

#[derive(Clone, Copy)]
struct Claim {
    shard: u32,
    key: digest::Digest,
    nonce: u64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Waiting,
    Granted,
    Sent,
    /// Sent; permission to send was requested a second time and refused.
    ResendRefused,
}

/// Constructors and queries.
impl Claims {
    /// Creates the state machine for `incarnation`, without requests.
    ///
    /// `rng_seed` seeds nonces and backoff jitter; it must differ between routers.
    pub fn new(
        incarnation: id::Incarnation,
        options: Options,
        rng_seed: u64,
        _now_us: u64,
    ) -> Self {
        Self {
            incarnation,
            options,
            rng: fastrand::Rng::with_seed(rng_seed),
            store: StoreHealth::new(),
            shards: BTreeMap::new(),
            requests: collections::HashMap::default(),
        }
    }

    /// Returns whether no request waits for a claim and every outcome is stored.
    pub fn is_settled(&self) -> bool {
        self.shards.values().all(Shard::is_settled)
    }

    /// Returns the monotonic time at which the next [`Event::Tick`] is due, in microseconds.
    pub fn next_tick_us(&self, now_us: u64) -> Option<u64> {
        let shards = self.shards.values();
        shards
            .filter_map(|shard| shard.next_tick_us(now_us, &self.store, &self.options))
            .min()
    }
}

/// Requests: claim, permission to send, and outcome.
impl Claims {
    /// Requests a claim.
    ///
    /// Exactly one [`Action::Decide`] is returned for it, now or by a later call, unless
    /// [`Claims::finish`] is called first.
    pub fn begin(&mut self, now_us: u64, request: Request<'_>) -> Vec<Action> {
        let Request {
            request_id,
            account,
            key,
            request_digest,
            deadline_us,
        } = request;
        debug_assert_eq!(request_id.incarnation, self.incarnation);
        let key = digest::of_key(&account, key);
        let index = key.word(0) % self.options.shards.max(1);
        let nonce = self.rng.u64(..);
        let (shard, mut context) = self.shard(now_us, index);
        let is_refused = deadline_us <= now_us
            || !context.store.allows_call(now_us)
            || shard.waiting_claims() >= context.options.queue_claims;
        if is_refused {
            let retry_after_ms = context.retry_after_ms();
            return vec![refuse(request_id, retry_after_ms)];
        }
        shard.enqueue(
            &mut context,
            WaitingRequest {
                request_id,
                key,
                request_digest: digest::Digest(request_digest),
                nonce,
                deadline_us,
                timeout_ms: (deadline_us - now_us).div_ceil(1_000),
                searched_pages: BTreeSet::new(),
                unknown_write_version: None,
            },
        );
        shard.advance(&mut context);
        let actions = context.actions;
        self.requests.insert(
            request_id,
            Entry {
                deadline_us,
                phase: Phase::Waiting,
                claim: Some(Claim {
                    shard: index,
                    key,
                    nonce,
                }),
            },
        );
        self.record_decisions(actions)
    }

    /// Registers a request without idempotency key, which needs no claim and may be sent once.
    pub fn begin_without_key(&mut self, request_id: id::Request, deadline_us: u64) {
        self.requests.insert(
            request_id,
            Entry {
                deadline_us,
                phase: Phase::Granted,
                claim: None,
            },
        );
    }

    /// Returns whether the first byte may be sent now, and consumes the permission.
    ///
    /// Call this immediately before sending the first byte. It returns `true` at most once per
    /// request, only after [`Decision::Granted`] and only before the deadline. After `false`
    /// nothing may be sent; call [`Claims::finish`] with [`Outcome::NotRun`].
    pub fn may_send(&mut self, now_us: u64, request_id: id::Request) -> bool {
        let Some(entry) = self.requests.get_mut(&request_id) else {
            return false;
        };
        match entry.phase {
            Phase::Granted if now_us < entry.deadline_us => {
                entry.phase = Phase::Sent;
                true
            }
            Phase::Sent => {
                entry.phase = Phase::ResendRefused;
                false
            }
            Phase::Waiting | Phase::Granted | Phase::ResendRefused => false,
        }
    }

    /// Records the outcome of a request, or that its caller no longer waits for the decision.
    ///
    /// A request that never got permission to send is recorded as not run, whatever `outcome` is;
    /// [`Outcome::Unknown`] is therefore always correct when a caller disconnects. A request for
    /// which permission was requested again after it was sent is never recorded as not run.
    pub fn finish(
        &mut self,
        now_us: u64,
        request_id: id::Request,
        outcome: Outcome,
    ) -> Vec<Action> {
        let Some(entry) = self.requests.remove(&request_id) else {
            return Vec::new();
        };
        let Some(claim) = entry.claim else {
            return Vec::new();
        };
        let state = match entry.phase {
            Phase::Waiting | Phase::Granted => None,
            Phase::Sent => self.row_state(outcome),
            // The refusal of a second permission does not undo the first send.
            Phase::ResendRefused if outcome == Outcome::NotRun => {
                Some(shard_object::State::Unknown)
            }
            Phase::ResendRefused => self.row_state(outcome),
        };
        let (shard, mut context) = self.shard(now_us, claim.shard);
        if entry.phase == Phase::Waiting {
            shard.abandon(&mut context, request_id);
        } else {
            shard.add_change(
                &mut context,
                request_id,
                RowChange {
                    key: claim.key,
                    nonce: claim.nonce,
                    state,
                    unknown_write_version: None,
                },
            );
        }
        shard.advance(&mut context);
        let actions = context.actions;
        self.record_decisions(actions)
    }

    /// Returns the row state to record for `outcome`; `None` removes the row.
    fn row_state(&mut self, outcome: Outcome) -> Option<shard_object::State> {
        let (status, content_type, body) = match outcome {
            Outcome::Responded {
                status,
                content_type,
                body,
            } => (status, content_type, body),
            Outcome::Unknown => return Some(shard_object::State::Unknown),
            Outcome::NotRun => return None,
        };
        let available_bytes = self
            .options
            .backlog_bytes
            .saturating_sub(self.backlog_bytes());
        let limit_bytes = self.options.kept_body_bytes.min(available_bytes);
        Some(shard_object::State::Responded(shard_object::Response {
            status,
            content_type,
            body: shard_object::Body::from_bytes(body, limit_bytes),
        }))
    }
}

/// Ticks and results of store calls.
impl Claims {
    /// Handles a tick or the result of a store call.
    pub fn on_event(&mut self, now_us: u64, event: Event) -> Vec<Action> {
        let mut actions = self.refuse_expired(now_us);
        match event {
            Event::Tick => {
                let indices: Vec<_> = self.shards.keys().copied().collect();
                for index in indices {
                    let (shard, mut context) = self.shard(now_us, index);
                    shard.advance(&mut context);
                    actions.append(&mut context.actions);
                }
            }
            Event::Read {
                object,
                version,
                body,
            } => actions.extend(self.handle(now_us, &object, Reply::Read { version, body })),
            Event::Absent { object } => actions.extend(self.handle(now_us, &object, Reply::Absent)),
            Event::ReadFailed { object } => {
                actions.extend(self.handle(now_us, &object, Reply::ReadFailed));
            }
            Event::Written { object, version } => {
                actions.extend(self.handle(now_us, &object, Reply::Written { version }));
            }
            Event::Conflict { object } => {
                actions.extend(self.handle(now_us, &object, Reply::Conflict));
            }
            Event::WriteUnknown { object } => {
                actions.extend(self.handle(now_us, &object, Reply::WriteUnknown));
            }
            Event::WriteRefused {
                object,
                retry_after_ms,
            } => {
                let retry_after_us = retry_after_ms.saturating_mul(1_000);
                let reply = Reply::WriteRefused { retry_after_us };
                actions.extend(self.handle(now_us, &object, reply));
            }
        }
        self.record_decisions(actions)
    }

    /// Passes a reply to the shard of `object`, updates the availability of the store, and lets the
    /// shard make its next call.
    fn handle(&mut self, now_us: u64, object: &str, reply: Reply) -> Vec<Action> {
        let Some((index, page)) = reply::parse_object(object) else {
            return Vec::new();
        };
        let is_failure = matches!(
            reply,
            Reply::ReadFailed | Reply::WriteUnknown | Reply::WriteRefused { .. }
        );
        let (shard, mut context) = self.shard(now_us, index);
        shard.on_reply(&mut context, page, reply);
        let mut actions = context.actions;
        if is_failure {
            actions.extend(self.on_store_failure(now_us));
        } else if self.store.on_success() {
            actions.push(Action::Note(Note::StoreUp));
        }
        let (shard, mut context) = self.shard(now_us, index);
        shard.advance(&mut context);
        actions.append(&mut context.actions);
        actions
    }

    /// Records a failed call; refuses every waiting request while the store is unavailable.
    fn on_store_failure(&mut self, now_us: u64) -> Vec<Action> {
        let became_unavailable = self.store.on_failure(now_us, &self.options);
        if !self.store.is_unavailable() {
            return Vec::new();
        }
        let mut actions = Vec::new();
        if became_unavailable {
            actions.push(Action::Note(Note::StoreDown));
        }
        actions.extend(self.refuse_where(now_us, |_| true));
        actions
    }

    fn refuse_expired(&mut self, now_us: u64) -> Vec<Action> {
        self.refuse_where(now_us, |request| request.deadline_us <= now_us)
    }

    fn refuse_where(
        &mut self,
        now_us: u64,
        select: impl Fn(&WaitingRequest) -> bool,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let indices: Vec<_> = self.shards.keys().copied().collect();
        for index in indices {
            let (shard, mut context) = self.shard(now_us, index);
            shard.refuse(&mut context, &select);
            actions.append(&mut context.actions);
        }
        actions
    }

    /// Updates the phases of the requests that `actions` decide, and returns `actions`.
    fn record_decisions(&mut self, actions: Vec<Action>) -> Vec<Action> {
        for action in &actions {
            let Action::Decide {
                request_id,
                decision,
            } = action
            else {
                continue;
            };
            match decision {
                Decision::Granted => {
                    if let Some(entry) = self.requests.get_mut(request_id) {
                        entry.phase = Phase::Granted;
                    }
                }
                Decision::Replay { .. } | Decision::Refuse { .. } => {
                    self.requests.remove(request_id);
                }
            }
        }
        actions
    }
}

/// Access to the shards.
impl Claims {
    /// Returns the size of the response bodies that wait to be recorded, in bytes.
    fn backlog_bytes(&self) -> usize {
        self.shards.values().map(Shard::backlog_bytes).sum()
    }

    fn shard(&mut self, now_us: u64, index: u32) -> (&mut Shard, Context<'_>) {
        let shard = self.shards.entry(index);
        let shard = shard.or_insert_with(|| Shard::new(format!("claims/{index}")));
        let context = Context {
            now_us,
            options: &self.options,
            rng: &mut self.rng,
            store: &mut self.store,
            actions: Vec::new(),
        };
        (shard, context)
    }
}

fn refuse(request_id: id::Request, retry_after_ms: u64) -> Action {
    Action::Decide {
        request_id,
        decision: Decision::Refuse {
            kind: problem::Kind::ClaimUnavailable,
            retry_after_ms: Some(retry_after_ms),
        },
    }
}
