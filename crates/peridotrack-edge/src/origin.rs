//! Service that keeps and looks up where streams began, with the state machine of
//! `peridotrack-origin`.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    net::SocketAddr,
    rc::Rc,
};

use local_sync::oneshot;
use peridotrack_kernel::{Kernel, clock, timer};
use peridotrack_origin::{
    key::Key,
    message::Message,
    origins::{Action, Event, Knowledge, Options, Origins as State},
    record::Record,
};
use peridotrack_types::{collections, name};

use crate::{member, peer};

/// Period of the state machine's ticks, in microseconds.
const TICK_US: u64 = 500 * clock::US_PER_MS;

/// Where streams began, as far as this router knows.
pub struct Origins {
    kernel: Rc<Kernel>,
    member: Rc<member::Member>,
    /// Failure domains of this router's region, among whose routers the homes are.
    failure_domains: BTreeSet<name::FailureDomain>,
    repeat_us: u64,
    timeout_us: u64,
    state: RefCell<State>,
    waiting: RefCell<collections::HashMap<u64, oneshot::Sender<Knowledge>>>,
    /// Number of the last query, random at the start, so that a late answer to an earlier process at
    /// the address matches none.
    last_query: Cell<u64>,
    subscription: RefCell<Option<timer::Subscription>>,
}

/// Starts the service.
impl Origins {
    /// Starts the service of the router on `vm`.
    pub fn spawn(
        kernel: &Rc<Kernel>,
        member: &Rc<member::Member>,
        vm: name::Vm,
        failure_domains: BTreeSet<name::FailureDomain>,
        options: Options,
    ) -> Rc<Self> {
        let service = Rc::new(Self {
            kernel: Rc::clone(kernel),
            member: Rc::clone(member),
            failure_domains,
            repeat_us: options.repeat_us,
            timeout_us: options.timeout_us,
            state: RefCell::new(State::new(vm, options)),
            waiting: RefCell::default(),
            last_query: Cell::new(fastrand::u64(..u64::MAX / 2)),
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

/// Passes events to the state machine.
impl Origins {
    /// Records where a stream began, and tells its homes.
    pub fn began(&self, key: Key, record: Record) {
        self.update_routers();
        self.handle(Event::Began { key, record });
    }

    /// Returns what is known of a stream, after the time in which its homes may answer at the latest.
    pub async fn resolve(&self, key: Key) -> Knowledge {
        let query = self.last_query.get() + 1;
        self.last_query.set(query);
        let (sender, mut receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(query, sender);
        self.update_routers();
        self.handle(Event::Wanted { query, key });
        let waits_us = [
            self.repeat_us,
            self.timeout_us.saturating_sub(self.repeat_us),
        ];
        for wait_us in waits_us {
            monoio::select! {
                biased;
                knowledge = &mut receiver => return resolved(knowledge.ok()),
                () = self.kernel.timer().sleep_us(wait_us) => {
                    self.update_routers();
                    self.handle(Event::Tick);
                }
            }
        }
        resolved(receiver.await.ok())
    }

    /// Handles a message of another router.
    pub fn receive(&self, sender: peer::Sender, message: Message) {
        let from = sender.incarnation;
        let event = Event::Heard { from, message };
        self.run(event, Some(sender.address));
    }

    /// Reports the software version of a server that the directory has added or changed.
    pub fn set_version(
        &self,
        backend_server: name::BackendServer,
        software_version: name::SoftwareVersion,
    ) {
        self.handle(Event::Version {
            backend_server,
            software_version,
        });
    }

    fn update_routers(&self) {
        let mut routers = self.member.serving();
        routers.retain(|domain, _| self.failure_domains.contains(domain));
        self.handle(Event::Routers(routers));
    }

    fn handle(&self, event: Event) {
        self.run(event, None);
    }

    /// Passes an event to the state machine and carries out the actions that it returns. Replies go to
    /// the address that the event came from: the membership may not know the sender yet.
    fn run(&self, event: Event, from: Option<SocketAddr>) {
        let now_us = self.kernel.now_us();
        let actions = self.state.borrow_mut().on_event(now_us, event);
        for action in actions {
            match action {
                Action::Send {
                    to,
                    message,
                    is_repeated,
                } => {
                    let frame = peer::Frame::Origin(message);
                    match is_repeated {
                        true => self.member.send_to_vm_anew(&to, &frame),
                        false => self.member.send_to_vm(&to, &frame),
                    }
                }
                Action::Reply {
                    message,
                    is_repeated,
                    ..
                } => {
                    if let Some(address) = from {
                        let frame = peer::Frame::Origin(message);
                        self.member.reply(address, &frame, is_repeated);
                    }
                }
                Action::Resolve { query, knowledge } => {
                    if let Some(sender) = self.waiting.borrow_mut().remove(&query) {
                        let _ = sender.send(knowledge);
                    }
                }
            }
        }
    }
}

fn resolved(knowledge: Option<Knowledge>) -> Knowledge {
    knowledge.unwrap_or(Knowledge::Unknown {
        asked: 0,
        silent: Vec::new(),
    })
}
