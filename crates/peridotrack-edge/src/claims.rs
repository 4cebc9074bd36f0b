//! Claims service: runs the claim state machine of `peridotrack-once` for non-idempotent requests.
//!
//! It reads and writes the claim shards in the platform and passes each decision to the request
//! that waits for it.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use bytes::Bytes;
use local_sync::oneshot;
use peridotrack_kernel::{Kernel, clock, event};
use peridotrack_once::{
    claim::{self, Action, Claims, Decision, Event},
    shard_object,
};
use peridotrack_types::{collections, id, problem};

use crate::platform;

/// Name of this service in the registry.
pub const SERVICE: &str = "claims";

/// Polling period while the outcomes of open claims are being recorded, in microseconds.
const SETTLE_POLL_US: u64 = 5 * clock::US_PER_MS;
/// Minimum delay of a tick, in microseconds.
const MIN_TICK_US: u64 = clock::US_PER_MS;

/// Claims of this router.
pub struct Service {
    kernel: Rc<Kernel>,
    platform: Rc<platform::Platform>,
    claims: RefCell<Claims>,
    waiting: RefCell<collections::HashMap<id::Request, oneshot::Sender<Decision>>>,
    /// Monotonic time of the scheduled tick, in microseconds; `u64::MAX` if none is scheduled.
    tick_us: Cell<u64>,
    is_stopped: Cell<bool>,
}

/// Starts and stops the service.
impl Service {
    /// Starts the claims of `incarnation`; `seed` determines nonces and jitter.
    pub fn spawn(
        kernel: &Rc<Kernel>,
        platform: &Rc<platform::Platform>,
        incarnation: id::Incarnation,
        options: claim::Options,
        seed: u64,
    ) -> Rc<Self> {
        Rc::new(Self {
            kernel: Rc::clone(kernel),
            platform: Rc::clone(platform),
            claims: RefCell::new(Claims::new(incarnation, options, seed, kernel.now_us())),
            waiting: RefCell::default(),
            tick_us: Cell::new(u64::MAX),
            is_stopped: Cell::new(false),
        })
    }

    /// Waits until every outcome is recorded, at most until `deadline_us`. Returns whether all are.
    pub async fn settle(&self, deadline_us: u64) -> bool {
        while !self.claims.borrow().is_settled() && self.kernel.now_us() < deadline_us {
            self.kernel.timer().sleep_us(SETTLE_POLL_US).await;
        }
        self.claims.borrow().is_settled()
    }

    /// Stops the ticks.
    pub fn stop(&self) {
        self.is_stopped.set(true);
    }
}

/// Makes claims for requests and records their outcomes.
impl Service {
    /// Claims the idempotency key of a request and returns the decision on the request.
    pub async fn begin(self: &Rc<Self>, request: claim::Request<'_>) -> Decision {
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(request.request_id, sender);
        let actions = self
            .claims
            .borrow_mut()
            .begin(self.kernel.now_us(), request);
        self.run(actions);
        receiver.await.unwrap_or(Decision::Refuse {
            kind: problem::Kind::ClaimUnavailable,
            retry_after_ms: None,
        })
    }

    /// Registers a request without an idempotency key, which may be sent once.
    pub fn begin_without_key(&self, request_id: id::Request, deadline_us: u64) {
        self.claims
            .borrow_mut()
            .begin_without_key(request_id, deadline_us);
    }

    /// Returns whether the first byte may be sent now. A request gets this permission at most
    /// once.
    pub fn may_send(&self, request_id: id::Request) -> bool {
        self.claims
            .borrow_mut()
            .may_send(self.kernel.now_us(), request_id)
    }

    /// Starts to record the outcome of a granted request, or abandons one that waits for its claim.
    pub fn finish(self: &Rc<Self>, request_id: id::Request, outcome: claim::Outcome) {
        self.waiting.borrow_mut().remove(&request_id);
        let now_us = self.kernel.now_us();
        let actions = self.claims.borrow_mut().finish(now_us, request_id, outcome);
        self.run(actions);
    }
}

/// Passes events to the state machine and carries out its actions.
impl Service {
    /// Schedules the state machine's next tick. Ticks are not periodic, so that an idle router is
    /// not woken.
    fn schedule(self: &Rc<Self>) {
        let now_us = self.kernel.now_us();
        let Some(due_us) = self.claims.borrow().next_tick_us(now_us) else {
            return;
        };
        if due_us >= self.tick_us.get() || self.is_stopped.get() {
            return;
        }
        self.tick_us.set(due_us);
        let service = Rc::clone(self);
        monoio::spawn(async move {
            let wait_us = due_us.saturating_sub(now_us).max(MIN_TICK_US);
            service.kernel.timer().sleep_us(wait_us).await;
            if service.tick_us.get() == due_us && !service.is_stopped.get() {
                service.tick_us.set(u64::MAX);
                service.handle(Event::Tick);
            }
        });
    }

    fn handle(self: &Rc<Self>, event: Event) {
        let actions = self
            .claims
            .borrow_mut()
            .on_event(self.kernel.now_us(), event);
        self.run(actions);
    }

    fn run(self: &Rc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Read { object } => drop(monoio::spawn(Rc::clone(self).read(object))),
                Action::Write {
                    object,
                    expected,
                    body,
                } => {
                    drop(monoio::spawn(Rc::clone(self).write(object, expected, body)));
                }
                Action::Remove { object } => {
                    drop(monoio::spawn(Rc::clone(self).remove(object)));
                }
                Action::Decide {
                    request_id,
                    decision,
                } => self.decide(request_id, decision),
                Action::Note(note) => {
                    let event = event::Event::new(event::Kind::ClaimNote);
                    self.kernel.note(event.with("note", format!("{note:?}")));
                }
            }
        }
        self.schedule();
    }

    fn decide(&self, request_id: id::Request, decision: Decision) {
        let text = match &decision {
            Decision::Granted => "granted",
            Decision::Replay { .. } => "replay",
            Decision::Refuse { kind, .. } => kind.slug(),
        };
        let event = event::Event::new(event::Kind::ClaimDecided).request(request_id);
        self.kernel.note(event.with("decision", text));
        if let Some(sender) = self.waiting.borrow_mut().remove(&request_id) {
            let _ = sender.send(decision);
        }
    }

    async fn read(self: Rc<Self>, object: String) {
        let event = match self.platform.read(&object).await {
            Ok(None) => Event::Absent { object },
            Ok(Some(found)) => {
                match serde_json::from_slice::<shard_object::ShardObject>(&found.body) {
                    Ok(body) => Event::Read {
                        object,
                        version: found.version,
                        body,
                    },
                    Err(_) => Event::ReadFailed { object },
                }
            }
            Err(_) => Event::ReadFailed { object },
        };
        self.handle(event);
    }

    async fn write(
        self: Rc<Self>,
        object: String,
        expected: Option<u64>,
        body: shard_object::ShardObject,
    ) {
        let bytes =
            Bytes::from(serde_json::to_vec(&body).expect("a shard object has only string keys"));
        let result = self.platform.write(&object, expected, bytes).await;
        let event = match platform::WriteOutcome::from(result) {
            platform::WriteOutcome::Done { version } => Event::Written { object, version },
            platform::WriteOutcome::Conflict { .. } => Event::Conflict { object },
            platform::WriteOutcome::Refused { retry_after_ms } => Event::WriteRefused {
                object,
                retry_after_ms,
            },
            platform::WriteOutcome::Unknown => Event::WriteUnknown { object },
        };
        self.handle(event);
    }

    async fn remove(self: Rc<Self>, object: String) {
        if let Ok(Some(found)) = self.platform.read(&object).await {
            let _ = self.platform.remove(&object, found.version).await;
        }
    }
}
