//! Budget service: runs the budget holder of `peridotrack-budget`.
//!
//! It reads and writes ledger shards in the platform, exchanges messages with the holders of other
//! routers, and lets requests wait while a draw or a transfer may still serve them.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use bytes::Bytes;
use peridotrack_budget::{
    action::{Action, Note},
    event::Event,
    holder::{Holder, Report},
    ledger, message, options, refusal, reservation,
};
use peridotrack_kernel::{Kernel, clock, event, timer};
use peridotrack_types::{id, name};

use crate::{member, notify, peer, platform};

/// Name of this service in the registry.
pub const SERVICE: &str = "budget";

/// Period of the holder's ticks, in microseconds.
const TICK_US: u64 = 20 * clock::US_PER_MS;
/// Maximum wait between two attempts of one reservation, in microseconds.
const RETRY_US: u64 = 50 * clock::US_PER_MS;

/// A reservation with the budget that pays for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// Identifies the reservation at the holder.
    pub id: reservation::Id,
    /// Budget that holds the reserved tokens.
    pub budget: name::Budget,
    /// Reserved tokens: an upper bound of the request's spend.
    pub bound_tokens: u64,
}

/// Budget holder of this router.
pub struct Budget {
    kernel: Rc<Kernel>,
    platform: Rc<platform::Platform>,
    holder: RefCell<Holder>,
    changed: notify::Notify,
    subscription: RefCell<Option<timer::Subscription>>,
    /// Number of the previous event, which the next one names as its cause.
    last_note: Cell<u64>,
}

/// Starts, closes and stops the service.
impl Budget {
    /// Starts the holder of `incarnation`.
    pub fn spawn(
        kernel: &Rc<Kernel>,
        platform: &Rc<platform::Platform>,
        incarnation: id::Incarnation,
        options: options::Options,
    ) -> Rc<Self> {
        let holder = Holder::new(incarnation, options, kernel.now_us());
        let service = Rc::new(Self {
            kernel: Rc::clone(kernel),
            platform: Rc::clone(platform),
            holder: RefCell::new(holder),
            changed: notify::Notify::default(),
            subscription: RefCell::default(),
            last_note: Cell::new(0),
        });
        let weak = Rc::downgrade(&service);
        let subscription = kernel.timer().subscribe(TICK_US, move |_| {
            if let Some(service) = weak.upgrade() {
                service.handle(Event::Tick);
            }
        });
        *service.subscription.borrow_mut() = Some(subscription);
        service
    }

    /// Returns every grant and waits until the ledger holds the closed rows, at most until
    /// `deadline_us`. Returns whether it does.
    pub async fn close(self: &Rc<Self>, deadline_us: u64) -> bool {
        let actions = self.holder.borrow_mut().close(self.kernel.now_us());
        self.run(actions);
        while !self.holder.borrow().is_closed() && self.kernel.now_us() < deadline_us {
            self.changed.wait(TICK_US).await;
        }
        self.holder.borrow().is_closed()
    }

    /// Stops the ticks.
    pub fn stop(&self) {
        self.subscription.borrow_mut().take();
    }
}

/// Makes, settles and cancels reservations.
impl Budget {
    /// Reserves `tokens` from the first of `budgets` that has them, waiting until `deadline_us` while
    /// a draw or a transfer may provide them.
    ///
    /// # Errors
    ///
    /// Returns the refusal that a retry is most likely to resolve. It is never
    /// [`refusal::Kind::Waiting`], which becomes [`refusal::Kind::Unavailable`] at the deadline.
    pub async fn reserve(
        self: &Rc<Self>,
        budgets: &[name::Budget],
        tokens: u64,
        deadline_us: u64,
    ) -> Result<Reservation, refusal::Refusal> {
        loop {
            let refusal = match self.try_reserve(budgets, tokens) {
                Ok(reservation) => return Ok(reservation),
                Err(refusal) => refusal,
            };
            let left_us = deadline_us.saturating_sub(self.kernel.now_us());
            match refusal.kind {
                refusal::Kind::Waiting if left_us > 0 => {
                    self.changed.wait(RETRY_US.min(left_us)).await;
                }
                refusal::Kind::Waiting => {
                    return Err(refusal::Refusal {
                        kind: refusal::Kind::Unavailable,
                        ..refusal
                    });
                }
                refusal::Kind::Exhausted | refusal::Kind::Unavailable => return Err(refusal),
            }
        }
    }

    /// Charges the tokens that the backend server spent and releases the rest of the reservation.
    pub fn settle(self: &Rc<Self>, reservation: &Reservation, spent_tokens: u64) {
        let now_us = self.kernel.now_us();
        let outcome = self
            .holder
            .borrow_mut()
            .settle(now_us, reservation.id, spent_tokens);
        if let reservation::Outcome::Clamped { excess_tokens } = outcome {
            let event = event::Event::new(event::Kind::BudgetNote)
                .with("note", "a backend server spent beyond the reserved bound")
                .with("budget", reservation.budget.as_str())
                .with("excess_tokens", excess_tokens);
            self.kernel.note(event);
        }
        self.poll();
    }

    /// Releases a reservation of which nothing was spent.
    pub fn cancel(self: &Rc<Self>, reservation: &Reservation) {
        self.holder
            .borrow_mut()
            .cancel(self.kernel.now_us(), reservation.id);
        self.poll();
    }

    /// Tries each budget once. If all refuse, returns the refusal that a retry is most likely to
    /// resolve.
    fn try_reserve(
        self: &Rc<Self>,
        budgets: &[name::Budget],
        tokens: u64,
    ) -> Result<Reservation, refusal::Refusal> {
        let mut refusal: Option<refusal::Refusal> = None;
        for budget in budgets {
            let now_us = self.kernel.now_us();
            let result = self.holder.borrow_mut().reserve(now_us, budget, tokens);
            match result {
                Ok(id) => {
                    self.poll();
                    let budget = budget.clone();
                    return Ok(Reservation {
                        id,
                        budget,
                        bound_tokens: tokens,
                    });
                }
                Err(next) => refusal = Some(refusal.map_or(next, |known| less_final(known, next))),
            }
        }
        self.poll();
        Err(refusal.unwrap_or(refusal::Refusal {
            kind: refusal::Kind::Exhausted,
            retry_after_ms: 0,
        }))
    }
}

/// Passes events to the holder and reports its state.
impl Budget {
    /// Applies the budgets of a configuration, each with its purchased tokens.
    pub fn configure(
        self: &Rc<Self>,
        config_version: u64,
        budgets: impl IntoIterator<Item = (name::Budget, u64)>,
    ) {
        let now_us = self.kernel.now_us();
        let actions = self
            .holder
            .borrow_mut()
            .configure(now_us, config_version, budgets);
        self.run(actions);
    }

    /// Sets the live peers of the local failure domain.
    pub fn set_peers(self: &Rc<Self>, peers: &[id::Incarnation]) {
        let now_us = self.kernel.now_us();
        let actions = self.holder.borrow_mut().set_peers(now_us, peers);
        self.run(actions);
    }

    /// Handles a message from the holder of another router.
    pub fn receive(self: &Rc<Self>, from: id::Incarnation, message: message::Message) {
        self.handle(Event::Peer { from, message });
    }

    /// Notifies the holder that a peer left the membership or has no known address.
    pub fn peer_lost(self: &Rc<Self>, peer: id::Incarnation) {
        self.handle(Event::PeerLost { peer });
    }

    /// Returns the holder's state of one budget, if it is in use.
    pub fn report(&self, budget: &name::Budget) -> Option<Report> {
        self.holder.borrow().report(budget)
    }

    /// Returns the holder's state, budget by budget.
    pub fn snapshot(&self) -> Vec<Report> {
        self.holder.borrow().snapshot()
    }

    fn handle(self: &Rc<Self>, event: Event) {
        let actions = self
            .holder
            .borrow_mut()
            .on_event(self.kernel.now_us(), event);
        self.run(actions);
    }

    fn poll(self: &Rc<Self>) {
        let actions = self.holder.borrow_mut().poll(self.kernel.now_us());
        self.run(actions);
    }
}

/// Carries out the actions of the holder.
impl Budget {
    fn run(self: &Rc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Read { shard } => drop(monoio::spawn(Rc::clone(self).read(shard))),
                Action::Write {
                    shard,
                    expected,
                    body,
                } => {
                    drop(monoio::spawn(Rc::clone(self).write(shard, expected, body)));
                }
                Action::Send { to, message } => self.send(to, message),
                Action::Wake => self.changed.notify_all(),
                Action::Note(note) => self.note(&note),
            }
        }
    }

    async fn read(self: Rc<Self>, shard: u32) {
        let event = match self.platform.read(&ledger_key(shard)).await {
            Ok(None) => Event::ShardAbsent { shard },
            Ok(Some(object)) => match self.decode(shard, &object) {
                Some(ledger::Versioned { version, body }) => Event::ShardRead {
                    shard,
                    version,
                    body,
                },
                None => Event::ReadFailed { shard },
            },
            // The store client has logged every failure but content that cannot be read.
            Err(platform::Error::Unreadable { detail, .. }) => {
                self.note_unreadable(shard, detail);
                Event::ReadFailed { shard }
            }
            Err(_) => Event::ReadFailed { shard },
        };
        self.handle(event);
    }

    async fn write(self: Rc<Self>, shard: u32, expected: Option<u64>, body: ledger::Shard) {
        let bytes = Bytes::from(serde_json::to_vec(&body).expect("a shard has only string keys"));
        let result = self
            .platform
            .write(&ledger_key(shard), expected, bytes)
            .await;
        if let Err(error) = &result {
            let event = event::Event::new(event::Kind::BudgetWriteFailed);
            self.kernel.note(event.with("error", error.to_string()));
        }
        self.handle(match platform::WriteOutcome::from(result) {
            platform::WriteOutcome::Done { version } => Event::Written { shard, version },
            platform::WriteOutcome::Conflict { current } => Event::WriteConflict {
                shard,
                current: current.and_then(|object| self.decode(shard, &object)),
            },
            platform::WriteOutcome::Refused { retry_after_ms } => Event::WriteRefused {
                shard,
                retry_after_ms,
            },
            platform::WriteOutcome::Unknown => Event::WriteUnknown { shard },
        });
    }

    /// Decodes a shard; logs one that cannot be decoded and returns `None`.
    fn decode(&self, shard: u32, object: &platform::Object) -> Option<ledger::Versioned> {
        match serde_json::from_slice(&object.body) {
            Ok(body) => Some(ledger::Versioned {
                version: object.version,
                body,
            }),
            Err(error) => {
                self.note_unreadable(shard, error.to_string());
                None
            }
        }
    }

    fn note_unreadable(&self, shard: u32, error: String) {
        let event = event::Event::new(event::Kind::ObjectIgnored);
        let event = event.with("object", ledger_key(shard)).with("error", error);
        self.kernel.note(event);
    }

    fn send(self: &Rc<Self>, to: id::Incarnation, message: message::Message) {
        if !member::send(&self.kernel, to, &peer::Frame::Budget { to, message }) {
            self.handle(Event::PeerLost { peer: to });
        }
    }

    fn note(&self, note: &Note) {
        let kind = match note {
            Note::Drawn { .. }
            | Note::Returned { .. }
            | Note::Sent { .. }
            | Note::Received { .. } => event::Kind::BudgetGrant,
            _ => event::Kind::BudgetNote,
        };
        let text = serde_json::to_string(note).unwrap_or_default();
        let event = event::Event::new(kind)
            .cause(self.last_note.get())
            .with("note", text);
        self.last_note.set(self.kernel.note(event));
    }
}

/// Returns the key of a ledger shard.
pub fn ledger_key(shard: u32) -> String {
    format!("ledger/{shard}")
}

/// Returns the refusal that is less final, which a retry is more likely to resolve.
fn less_final(first: refusal::Refusal, second: refusal::Refusal) -> refusal::Refusal {
    let rank = |refusal: &refusal::Refusal| match refusal.kind {
        refusal::Kind::Waiting => 0,
        refusal::Kind::Unavailable => 1,
        refusal::Kind::Exhausted => 2,
    };
    if rank(&second) < rank(&first) {
        second
    } else {
        first
    }
}
