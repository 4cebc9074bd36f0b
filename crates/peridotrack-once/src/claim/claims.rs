//! Claims of one router.

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

/// Claims of one router incarnation.
///
/// A request goes from waiting to granted to sent and leaves with its outcome. Only the router
/// that made a claim, in the same incarnation, is ever granted it; no passage of time and no
/// other router's word makes a claimed key free again.
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
    /// Absent for a request without key.
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
    /// Sent, and permission to send again was asked for and refused.
    ResendRefused,
}

// Construction and access.
impl Claims {
    /// Creates the claims of `incarnation`.
    ///
    /// `rng_seed` must differ between routers, so that their retries spread.
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

    /// Returns whether no request waits for a claim and every outcome is recorded.
    pub fn is_settled(&self) -> bool {
        self.shards.values().all(Shard::is_settled)
    }

    /// Returns when the next [`Event::Tick`] is needed, in microseconds.
    pub fn next_tick_us(&self, now_us: u64) -> Option<u64> {
        let shards = self.shards.values();
        shards
            .filter_map(|shard| shard.next_tick_us(now_us, &self.store, &self.options))
            .min()
    }
}

// Requests.
impl Claims {
    /// Asks for a claim; exactly one [`Action::Decide`] answers, now or later.
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

    /// Registers a request without key: it needs no claim and may be sent once.
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

    /// Returns whether the first byte may be sent now, and uses up the permission.
    ///
    /// Ask immediately before the first byte. The answer is `true` at most once per request, only
    /// after [`Decision::Granted`] and only before the deadline. After `false` nothing may be
    /// sent; call [`Claims::finish`] with [`Outcome::NotRun`].
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

    /// Records how a request ended, or that its caller no longer waits for the decision.
    ///
    /// A request that was never permitted to send is recorded as not run, whatever `outcome` is.
    /// When a caller leaves, [`Outcome::Unknown`] is therefore right at every moment. A request
    /// that asked for permission again after it was sent is never recorded as not run.
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
            // A refused second permission says nothing of the first byte.
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

    /// Returns the state to record; `None` removes the row.
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

// Events.
impl Claims {
    /// Takes in what happened outside.
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

    /// Refuses every waiting request if the store has just gone down.
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

    /// Takes in the decisions among `actions` and passes all on.
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

// Parts.
impl Claims {
    /// Returns the bytes of bodies that wait to be recorded.
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
