//! Runs the router machine: hands its decisions to the requests that wait for them.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use local_sync::mpsc::unbounded as queue;
use peridotrack_kernel::{Kernel, clock, event, timer};
use peridotrack_route::{
    event::{Action, Event, Note, Offer, Outcome, Target},
    options,
    router::Router,
};
use peridotrack_types::{collections, id, name, problem, register, rules};

use crate::{member, peer};

/// Name of this service in the registry.
pub const SERVICE: &str = "route";

/// Period of the router's ticks, in microseconds.
const TICK_US: u64 = 50 * clock::US_PER_MS;

/// What a request is to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Send the request.
    Dispatch {
        /// Backend server to send it to.
        backend_server: name::BackendServer,
        /// Its address.
        address: SocketAddr,
        /// Number of the attempt, from 1.
        attempt: u32,
    },
    /// Continue the request's stream.
    Resume {
        /// Engine that holds the stream.
        backend_server: name::BackendServer,
        /// Its address.
        address: SocketAddr,
        /// Events received so far.
        offset_events: u64,
    },
    /// Refuse the request.
    Refuse {
        /// Why.
        kind: problem::Kind,
        /// When to try again, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Where a request is to be sent.
#[derive(Debug, Clone)]
pub struct Destination {
    /// The backend server.
    pub backend_server: name::BackendServer,
    /// Its address.
    pub address: SocketAddr,
}

/// Why a request is not sent any more.
#[derive(Debug, Clone, Copy)]
pub struct Refusal {
    /// Why.
    pub kind: problem::Kind,
    /// When to try again, in milliseconds.
    pub retry_after_ms: u64,
}

impl Step {
    /// Returns where to send the request, for callers to whom going on is sending again.
    ///
    /// # Errors
    ///
    /// Returns why it is refused instead.
    pub fn into_destination(self) -> Result<Destination, Refusal> {
        match self {
            Self::Dispatch {
                backend_server,
                address,
                ..
            }
            | Self::Resume {
                backend_server,
                address,
                ..
            } => Ok(Destination {
                backend_server,
                address,
            }),
            Self::Refuse {
                kind,
                retry_after_ms,
            } => Err(Refusal {
                kind,
                retry_after_ms,
            }),
        }
    }
}

type Waiting = collections::HashMap<id::Request, queue::Tx<Step>>;

/// Runs the router machine of this process.
pub struct Route {
    kernel: Rc<Kernel>,
    router: RefCell<Router>,
    waiting: RefCell<Waiting>,
    addresses: RefCell<collections::HashMap<name::BackendServer, SocketAddr>>,
    subscription: RefCell<Option<timer::Subscription>>,
    last_note: Cell<u64>,
    /// Whether the event that is being handled came from a peer, which told the others itself.
    is_told_by_peer: Cell<bool>,
}

/// A request in the router's hands, which is cancelled when this is dropped early.
pub struct Ticket {
    route: Rc<Route>,
    request_id: id::Request,
    steps: queue::Rx<Step>,
    backend_server: Option<name::BackendServer>,
    is_done: bool,
}

impl Ticket {
    /// Waits for what to do next.
    pub async fn next(&mut self) -> Step {
        let step = self.steps.recv().await.unwrap_or(Step::Refuse {
            kind: problem::Kind::Stopping,
            retry_after_ms: clock::US_PER_S / clock::US_PER_MS,
        });
        match &step {
            Step::Dispatch { backend_server, .. } | Step::Resume { backend_server, .. } => {
                self.backend_server = Some(backend_server.clone());
            }
            Step::Refuse { .. } => self.is_done = true,
        }
        step
    }

    /// Says that the first byte is about to be sent.
    pub fn sent(&self) {
        self.route.handle(Event::Sent {
            request_id: self.request_id,
        });
    }

    /// Says that the first part of the answer arrived.
    pub fn first_token(&self) {
        self.route.handle(Event::FirstToken {
            request_id: self.request_id,
        });
    }

    /// Says that the backend server of the newest dispatch refused because it is about to stop.
    pub fn backend_server_leaving(&self) {
        if let Some(backend) = self.backend_server.clone() {
            self.route.handle(Event::Leaving { backend });
        }
    }

    /// Says how the attempt ended.
    pub fn finished(&mut self, outcome: Outcome) {
        self.is_done = matches!(outcome, Outcome::Done | Outcome::Cancelled);
        self.route.handle(Event::Finished {
            request_id: self.request_id,
            outcome,
        });
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.route.waiting.borrow_mut().remove(&self.request_id);
        if !self.is_done {
            let now_us = self.route.kernel.now_us();
            let actions = self
                .route
                .router
                .borrow_mut()
                .cancel(now_us, self.request_id);
            self.route.run(actions);
        }
    }
}

/// Construction and end.
impl Route {
    /// Starts the router machine.
    pub fn spawn(
        kernel: &Rc<Kernel>,
        options: options::Options,
        own: name::FailureDomain,
        seed: u64,
    ) -> Rc<Self> {
        let service = Rc::new(Self {
            kernel: Rc::clone(kernel),
            router: RefCell::new(Router::new(options, own, seed, kernel.now_us())),
            waiting: RefCell::default(),
            addresses: RefCell::default(),
            subscription: RefCell::default(),
            last_note: Cell::new(0),
            is_told_by_peer: Cell::new(false),
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

    /// Ends the ticks.
    pub fn stop(&self) {
        self.subscription.borrow_mut().take();
    }
}

/// Inputs.
impl Route {
    /// Takes the backend servers and rules of a configuration.
    pub fn configure(&self, register: &register::Register, rules: &rules::Rules) {
        let engines = register
            .engines
            .iter()
            .map(|engine| (&engine.name, engine.address));
        let services = register
            .services
            .iter()
            .map(|server| (&server.name, server.address));
        self.addresses.borrow_mut().extend(
            engines
                .chain(services)
                .map(|(name, address)| (name.clone(), address)),
        );
        let now_us = self.kernel.now_us();
        let actions = self.router.borrow_mut().configure(now_us, register, rules);
        self.run(actions);
    }

    /// Offers a request and returns its ticket.
    pub fn offer(self: &Rc<Self>, offer: Offer) -> Ticket {
        let (sender, steps) = queue::channel();
        let request_id = offer.request_id;
        self.waiting.borrow_mut().insert(request_id, sender);
        let ticket = Ticket {
            route: Rc::clone(self),
            request_id,
            steps,
            backend_server: None,
            is_done: false,
        };
        let actions = self.router.borrow_mut().offer(self.kernel.now_us(), offer);
        self.run(actions);
        ticket
    }

    /// Takes a sign that a backend server is leaving, which a peer saw.
    pub fn leaving_reported_by_peer(&self, backend_server: name::BackendServer) {
        self.is_told_by_peer.set(true);
        self.handle(Event::Leaving {
            backend: backend_server,
        });
        self.is_told_by_peer.set(false);
    }

    /// Takes an event about a backend server.
    pub fn handle(&self, event: Event) {
        let actions = self
            .router
            .borrow_mut()
            .on_event(self.kernel.now_us(), event);
        self.run(actions);
    }

    /// Returns the usable backend servers of a service, and the own requests in flight there.
    pub fn load_of(&self, service: &name::Service) -> (u64, u64) {
        let targets = [
            Target::Model(service.as_str().into()),
            Target::Service(service.clone()),
        ];
        let now_us = self.kernel.now_us();
        self.router.borrow().load_of(now_us, &targets)
    }

    /// Returns the state of every backend server as JSON.
    pub fn report(&self) -> serde_json::Value {
        serde_json::to_value(self.router.borrow().status(self.kernel.now_us())).unwrap_or_default()
    }
}

/// Actions.
impl Route {
    fn run(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch {
                    request_id,
                    backend,
                    attempt,
                } => {
                    self.step(request_id, &backend, |backend_server, address| {
                        Step::Dispatch {
                            backend_server,
                            address,
                            attempt,
                        }
                    });
                }
                Action::Resume {
                    request_id,
                    backend,
                    offset,
                } => {
                    self.step(request_id, &backend, |backend_server, address| {
                        Step::Resume {
                            backend_server,
                            address,
                            offset_events: offset,
                        }
                    });
                }
                Action::Refuse {
                    request_id,
                    kind,
                    retry_after_ms,
                } => {
                    self.give(
                        request_id,
                        Step::Refuse {
                            kind,
                            retry_after_ms,
                        },
                    );
                }
                Action::Note(note) => self.note(&note),
            }
        }
    }

    fn step(
        &self,
        request_id: id::Request,
        backend: &name::BackendServer,
        step: impl FnOnce(name::BackendServer, SocketAddr) -> Step,
    ) {
        let address = self.addresses.borrow().get(backend).copied();
        self.give(
            request_id,
            match address {
                Some(address) => step(backend.clone(), address),
                None => Step::Refuse {
                    kind: problem::Kind::NoBackendServer,
                    retry_after_ms: 0,
                },
            },
        );
    }

    fn give(&self, request_id: id::Request, step: Step) {
        if let Some(sender) = self.waiting.borrow().get(&request_id) {
            let _ = sender.send(step);
        }
    }

    /// Tells peers of a leaving backend server, whose own signs may reach them seconds later.
    fn tell_peers(&self, backend_server: &name::BackendServer) {
        if self.is_told_by_peer.get() {
            return;
        }
        if let Ok(members) = self
            .kernel
            .registry()
            .find::<member::Member>(member::SERVICE)
        {
            members.send_to_live(&peer::Frame::Leaving {
                backend_server: backend_server.clone(),
            });
        }
    }

    fn note(&self, note: &Note) {
        if let Note::Leaving { backend } = note {
            self.tell_peers(backend);
        }
        let kind = match note {
            Note::Leaving { .. } => event::Kind::BackendServerLeaving,
            _ => event::Kind::RouteNote,
        };
        let text = serde_json::to_string(note).unwrap_or_default();
        let event = event::Event::new(kind)
            .cause(self.last_note.get())
            .with("note", text);
        self.last_note.set(self.kernel.note(event));
    }
}
