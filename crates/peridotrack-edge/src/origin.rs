//! Service that keeps and looks up where streams began, with the state machine of
//! `peridotrack-origin`.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
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
use peridotrack_types::{collections, id, name};

use crate::{member, peer};

/// Period of the state machine's ticks, in microseconds.
const TICK_US: u64 = 500 * clock::US_PER_MS;

/// Where streams began, as far as this router knows.
pub struct Origins {
    kernel: Rc<Kernel>,
    member: Rc<member::Member>,
    /// Failure domains of this router's region, among whose routers the homes are.
    failure_domains: BTreeSet<name::FailureDomain>,
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
        let knowledge = monoio::select! {
            knowledge = &mut receiver => knowledge,
            () = self.kernel.timer().sleep_us(self.timeout_us) => {
                self.handle(Event::Tick);
                receiver.await
            }
        };
        knowledge.unwrap_or(Knowledge::Unknown {
            asked: 0,
            answered: 0,
        })
    }

    /// Handles a message of another router.
    pub fn receive(&self, from: id::Incarnation, message: Message) {
        self.handle(Event::Heard { from, message });
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
        let now_us = self.kernel.now_us();
        let actions = self.state.borrow_mut().on_event(now_us, event);
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    self.member.send_to_vm(&to, &peer::Frame::Origin(message));
                }
                Action::Reply { to, message } => {
                    member::send(&self.kernel, to, &peer::Frame::Origin(message));
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
