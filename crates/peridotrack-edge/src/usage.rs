//! Usage service: runs the usage log of `peridotrack-once`.
//!
//! It exchanges copies of usage records with peers, flushes batches to the platform, and holds back
//! the last byte of a response until the log releases it.

use std::{cell::RefCell, rc::Rc};

use bytes::Bytes;
use local_sync::oneshot;
use peridotrack_kernel::{Kernel, clock, event, timer};
use peridotrack_once::usage::{self, Action, Event, Log};
use peridotrack_types::{collections, id};

use crate::{member, peer, platform};

/// Name of this service in the registry.
pub const SERVICE: &str = "usage";

/// Period of the log's ticks, in microseconds.
const TICK_US: u64 = 20 * clock::US_PER_MS;

/// Usage log of this router.
pub struct Usage {
    kernel: Rc<Kernel>,
    platform: Rc<platform::Platform>,
    log: RefCell<Log>,
    waiting: RefCell<collections::HashMap<id::Request, oneshot::Sender<()>>>,
    subscription: RefCell<Option<timer::Subscription>>,
}

/// Starts and stops the service.
impl Usage {
    /// Starts the usage log of `incarnation`.
    pub fn spawn(
        kernel: &Rc<Kernel>,
        platform: &Rc<platform::Platform>,
        incarnation: id::Incarnation,
        options: usage::Options,
    ) -> Rc<Self> {
        let service = Rc::new(Self {
            kernel: Rc::clone(kernel),
            platform: Rc::clone(platform),
            log: RefCell::new(Log::new(incarnation, options, kernel.now_us())),
            waiting: RefCell::default(),
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

    /// Flushes all records, copies held for peers included, at most until `deadline_us`. Returns
    /// whether none is left.
    pub async fn flush(self: &Rc<Self>, deadline_us: u64) -> bool {
        let actions = self.log.borrow_mut().stop(self.kernel.now_us());
        self.run(actions);
        while !self.log.borrow().is_flushed() && self.kernel.now_us() < deadline_us {
            self.kernel.timer().sleep_us(TICK_US).await;
        }
        self.log.borrow().is_flushed()
    }

    /// Stops the ticks.
    pub fn stop(&self) {
        self.subscription.borrow_mut().take();
    }
}

/// Adds the records of requests.
impl Usage {
    /// Adds a record and waits until the last byte of its response may be sent.
    pub async fn record(self: &Rc<Self>, record: usage::Record) {
        let (sender, receiver) = oneshot::channel();
        let request_id = record.request_id;
        self.waiting.borrow_mut().insert(request_id, sender);
        let actions = self.log.borrow_mut().record(self.kernel.now_us(), record);
        self.run(actions);
        // `usage::Options::safe_timeout_us` bounds this wait.
        let _ = receiver.await;
    }
}

/// Passes events to the log and reports its backlog.
impl Usage {
    /// Sets the live peers of the local failure domain.
    pub fn set_peers(self: &Rc<Self>, peers: &[id::Incarnation]) {
        let actions = self.log.borrow_mut().set_peers(self.kernel.now_us(), peers);
        self.run(actions);
    }

    /// Handles a message from the usage log of another router.
    pub fn receive(self: &Rc<Self>, peer: id::Incarnation, message: usage::Message) {
        self.handle(Event::Received { peer, message });
    }

    /// Returns how many records of local requests are not flushed yet.
    pub fn backlog_records(&self) -> usize {
        self.log.borrow().backlog_records()
    }

    fn handle(self: &Rc<Self>, event: Event) {
        let actions = self.log.borrow_mut().on_event(self.kernel.now_us(), event);
        self.run(actions);
    }
}

/// Carries out the actions of the log.
impl Usage {
    fn run(self: &Rc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { peer, message } => self.send(peer, message),
                Action::Write { object, body } => {
                    drop(monoio::spawn(Rc::clone(self).write(object, body)));
                }
                Action::ReleaseResponse { request_id } => {
                    if let Some(sender) = self.waiting.borrow_mut().remove(&request_id) {
                        let _ = sender.send(());
                    }
                }
                Action::Note(note) => {
                    let event = event::Event::new(event::Kind::UsageNote);
                    self.kernel.note(event.with("note", format!("{note:?}")));
                }
            }
        }
    }

    fn send(&self, to: id::Incarnation, message: usage::Message) {
        member::send(&self.kernel, to, &peer::Frame::Usage { to, message });
    }

    async fn write(self: Rc<Self>, object: String, batch: usage::Batch) {
        let bytes = Bytes::from(serde_json::to_vec(&batch).expect("a batch has only string keys"));
        let result = self.platform.write(&object, None, bytes).await;
        let event = match platform::WriteOutcome::from(result) {
            // On a conflict the object holds this batch from an earlier attempt: no other router
            // writes under its name.
            platform::WriteOutcome::Done { .. } | platform::WriteOutcome::Conflict { .. } => {
                Event::Flushed { object }
            }
            platform::WriteOutcome::Refused { retry_after_ms } => Event::FlushRefused {
                object,
                retry_after_ms,
            },
            platform::WriteOutcome::Unknown => Event::FlushUnknown { object },
        };
        self.handle(event);
    }
}
