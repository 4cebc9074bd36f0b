//! Quarantine service: runs the state machine of `peridotrack-quarantine`.
//!
//! It exchanges statements with the other routers, directly and through the store, and answers
//! whether a request may be sent.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use bytes::Bytes;
use peridotrack_follow::follower;
use peridotrack_kernel::{Kernel, clock, event, timer};
use peridotrack_quarantine::{
    event::{Action, Event, Note, Now, Refusal, Trial},
    options, quarantine,
    recheck::{self, Claim, Claims, Outcome},
    signature::Signature,
    statement::{KIND, Statement},
    verdict::Block,
};
use peridotrack_types::name;

use crate::{
    follow::{self, Update},
    member, notify, peer, platform,
};

/// Period of the state machine's ticks, in microseconds.
const TICK_US: u64 = 20 * clock::US_PER_MS;

/// Time for which a request waits for the claim of a recheck, in microseconds: several calls to the
/// store.
const CLAIM_WAIT_US: u64 = 200 * clock::US_PER_MS;

/// Quarantine of this router.
pub struct Quarantine {
    kernel: Rc<Kernel>,
    platform: Rc<platform::Platform>,
    vm: name::Vm,
    state: RefCell<quarantine::Quarantine>,
    /// Revision of this router's object in the store; `None` if there is none.
    revision: Cell<Option<u64>>,
    is_listed: Cell<bool>,
    subscription: RefCell<Option<timer::Subscription>>,
}

/// Starts the service.
impl Quarantine {
    /// Starts the quarantine of the router on `vm`.
    pub fn spawn(
        kernel: &Rc<Kernel>,
        platform: &Rc<platform::Platform>,
        vm: name::Vm,
        options: options::Options,
    ) -> Rc<Self> {
        let service = Rc::new(Self {
            kernel: Rc::clone(kernel),
            platform: Rc::clone(platform),
            state: RefCell::new(quarantine::Quarantine::new(vm.clone(), options)),
            vm,
            revision: Cell::new(None),
            is_listed: Cell::new(false),
            subscription: RefCell::default(),
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
}

/// Answers whether requests may be sent.
impl Quarantine {
    /// Returns whether the statements in the store were read since the start.
    pub fn is_listed(&self) -> bool {
        self.is_listed.get()
    }

    /// Returns whether a request with these signatures may be sent now, after claiming the rechecks
    /// that are due.
    ///
    /// # Errors
    ///
    /// Returns the reason why it is not sent.
    pub async fn admit(self: &Rc<Self>, signatures: &[Signature]) -> Result<(), Refusal> {
        loop {
            let checked = self.state.borrow().check(self.now(), signatures);
            let Err(refusal) = checked else { return Ok(()) };
            let claim = self.state.borrow_mut().claim(self.now(), &refusal.block);
            let Some(claim) = claim else {
                return Err(refusal);
            };
            let done = Rc::new(notify::Notify::default());
            monoio::spawn(Rc::clone(self).claim(claim, Rc::clone(&done)));
            if !done.wait(CLAIM_WAIT_US).await {
                return Err(refusal);
            }
        }
    }

    /// Returns the trial of a request with these signatures that is sent now.
    ///
    /// # Errors
    ///
    /// Returns the reason why it is not sent.
    pub fn begin(&self, signatures: &[Signature]) -> Result<Trial, Refusal> {
        self.state.borrow_mut().begin(self.now(), signatures)
    }

    /// Takes a trial back whose request did not reach its server.
    pub fn withdraw(&self, trial: &Trial) {
        self.state.borrow_mut().withdraw(trial);
    }

    /// Returns whether a request with these signatures may be sent again after its server ended.
    pub fn may_retry(&self, signatures: &[Signature]) -> bool {
        self.state.borrow().may_retry(signatures)
    }

    fn now(&self) -> Now {
        Now {
            monotonic_us: self.kernel.now_us(),
            wall_ms: self.kernel.clock().wall_us() / clock::US_PER_MS,
        }
    }
}

/// Passes events to the state machine.
impl Quarantine {
    /// Reports that a server responded to a request that was sent at `sent_us`.
    pub fn answered(self: &Rc<Self>, backend_server: &name::BackendServer, sent_us: u64) {
        let is_waiting = self.state.borrow().is_waiting();
        if is_waiting {
            self.handle(Event::ServerAlive {
                backend_server: backend_server.clone(),
                sent_us,
            });
        }
    }

    /// Passes an event to the state machine and carries out the actions that it returns.
    pub fn handle(self: &Rc<Self>, event: Event) {
        let actions = self.state.borrow_mut().on_event(self.now(), event);
        for action in actions {
            match action {
                Action::Send(statement) => self.send(statement),
                Action::Write(statement) => drop(monoio::spawn(Rc::clone(self).write(statement))),
                Action::Note(note) => self.record_note(&note),
            }
        }
    }

    /// Applies a listing or changes of the statements in the store.
    pub fn apply_update(self: &Rc<Self>, update: Update<'_>) {
        match update {
            Update::Listing { objects, .. } => {
                for object in objects {
                    if object.name == self.vm.as_str() {
                        self.revision.set(Some(object.revision));
                    }
                    self.receive_stored(&object.name, &object.content);
                }
                self.is_listed.set(true);
            }
            Update::Changes { changes, .. } => {
                for change in changes.iter().filter(|change| !change.is_removed) {
                    self.receive_stored(&change.name, &Bytes::copy_from_slice(&change.content));
                }
            }
        }
    }

    fn receive_stored(self: &Rc<Self>, author: &str, content: &Bytes) {
        match decode(content) {
            Ok(statement) => self.handle(Event::Stated {
                author: author.into(),
                statement,
            }),
            Err(error) => {
                let event = event::Event::new(event::Kind::ObjectIgnored)
                    .with("kind", KIND)
                    .with("object", author)
                    .with("error", error);
                self.kernel.note(event);
            }
        }
    }
}

/// Carries out the actions of the state machine.
impl Quarantine {
    fn send(&self, statement: Statement) {
        let registry = self.kernel.registry();
        if let Ok(members) = registry.find::<member::Member>(member::SERVICE) {
            members.send_to_live(&peer::Frame::Quarantine {
                author: self.vm.clone(),
                statement,
            });
        }
    }

    async fn write(self: Rc<Self>, statement: Statement) {
        let key = format!("{KIND}/{}", self.vm);
        let content = serde_json::to_vec(&statement).expect("a statement has only text keys");
        let written = self
            .platform
            .write(&key, self.revision.get(), content.into())
            .await;
        let event = match written {
            Ok(revision) => {
                self.revision.set(Some(revision));
                Event::Written
            }
            Err(platform::Error::Conflict { current, .. }) => {
                let current = match current {
                    Some(object) => Ok(Some(object)),
                    None => self.platform.read(&key).await,
                };
                // After a failed read the next write conflicts again.
                if let Ok(current) = current {
                    self.adopt(current);
                }
                Event::WriteFailed
            }
            Err(_) => Event::WriteFailed,
        };
        self.handle(event);
    }

    /// Claims a recheck in the store and reports the result.
    async fn claim(self: Rc<Self>, claim: Claim, done: Rc<notify::Notify>) {
        let outcome = self.write_claim(&claim).await;
        self.handle(Event::Claimed { claim, outcome });
        done.notify_all();
    }

    async fn write_claim(&self, claim: &Claim) -> Outcome {
        let key = format!("{}/{}", recheck::KIND, claim.object_name());
        let Ok(stored) = self.platform.read(&key).await else {
            return Outcome::Failed;
        };
        // Content that cannot be decoded is replaced, as if there had been no claim.
        let claims = stored
            .as_ref()
            .and_then(|object| serde_json::from_slice::<Claims>(&object.body).ok());
        let next = match claim.next(claims.as_ref()) {
            Ok(next) => next,
            Err(taken) => return taken,
        };
        let content = serde_json::to_vec(&next).expect("claims have only text keys");
        let revision = stored.map(|object| object.version);
        match self.platform.write(&key, revision, content.into()).await {
            Ok(_) => Outcome::Granted { count: next.count },
            Err(platform::Error::Conflict { .. }) => Outcome::Taken { count: next.count },
            Err(_) => Outcome::Failed,
        }
    }

    /// Takes over the revision and the content of this router's object: an earlier incarnation may
    /// have written it, or a write of this one whose response was lost.
    fn adopt(self: &Rc<Self>, current: Option<platform::Object>) {
        self.revision
            .set(current.as_ref().map(|object| object.version));
        if let Some(object) = current {
            self.receive_stored(self.vm.as_str(), &object.body);
        }
    }

    fn record_note(&self, note: &Note) {
        let event = match note {
            Note::Crashed {
                backend_server,
                signatures,
                depth,
            } => event::Event::new(event::Kind::SignatureSuspected)
                .with("backend_server", backend_server.to_string())
                .with("signatures", join(signatures))
                .with("depth", u64::from(*depth)),
            Note::Blocked(block) => {
                describe_block(event::Event::new(event::Kind::SignatureBlocked), block)
            }
            Note::Rechecked { signatures, count } => {
                event::Event::new(event::Kind::SignatureRechecked)
                    .with("signatures", join(signatures))
                    .with("recheck", u64::from(*count))
            }
            Note::Released { signatures } => event::Event::new(event::Kind::SignatureReleased)
                .with("signatures", join(signatures)),
        };
        self.kernel.note(event);
    }
}

/// Adds to an event the signatures of a block, the servers that ended under them, which routers noticed
/// it and since when.
pub fn describe_block(event: event::Event, block: &Block) -> event::Event {
    let authors = block.crashes.values().flat_map(|crash| &crash.authors);
    let authors: std::collections::BTreeSet<_> = authors.collect();
    let since_ms = block.crashes.values().map(|crash| crash.at_wall_ms).min();
    event
        .with("signatures", join(&block.signatures))
        .with("ended_servers", join(block.crashes.keys()))
        .with("reported_by", join(authors))
        .with("since_wall_ms", since_ms.unwrap_or_default())
}

fn join<T: std::fmt::Display>(items: impl IntoIterator<Item = T>) -> String {
    let texts: Vec<_> = items.into_iter().map(|item| item.to_string()).collect();
    texts.join(",")
}

/// Returns how the statements in the store are followed.
pub fn target(options: follower::Options) -> follow::Target {
    follow::Target {
        kind: KIND,
        options,
        is_content_used: |_, content| decode(content).is_ok(),
    }
}

fn decode(content: &Bytes) -> Result<Statement, String> {
    let content = platform::unpack(content).map_err(|error| error.to_string())?;
    serde_json::from_slice(&content).map_err(|error| error.to_string())
}
