//! Runs the routing state machine and passes its decisions to the requests that wait for them.
//!
//! A request handler calls [`Route::offer`] and follows the [`Step`]s of its [`Ticket`],
//! reporting what happens on each attempt. [`Router`] of `peridotrack-route` makes the
//! decisions; this module adds the clock, addresses, ticks, the timeline and messages to peers.

mod step;

pub use step::{Destination, Refusal, Step};

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
use peridotrack_types::{collections, id, name, problem, register, rules, stream};

use crate::{member, peer};

/// Name of the routing service in the kernel's service registry.
pub const SERVICE: &str = "route";

/// Period of the router's ticks, in microseconds.
const TICK_US: u64 = 50 * clock::US_PER_MS;

/// Senders of the steps, by the request that waits for them.
type Waiting = collections::HashMap<id::Request, queue::Tx<Step>>;

/// Routing service of this process.
pub struct Route {
    kernel: Rc<Kernel>,
    router: RefCell<Router>,
    waiting: RefCell<Waiting>,
    addresses: RefCell<collections::HashMap<name::BackendServer, SocketAddr>>,
    subscription: RefCell<Option<timer::Subscription>>,
    /// Timeline sequence number of the last note, which is the cause of the next one.
    last_note: Cell<u64>,
    /// Whether the event being handled was reported by a peer, which notifies the other peers
    /// itself.
    is_reported_by_peer: Cell<bool>,
}

/// Handle to an offered request. Dropping it before the request has ended cancels the request.
pub struct Ticket {
    route: Rc<Route>,
    request_id: id::Request,
    steps: queue::Rx<Step>,
    /// Backend server of the last step that named one.
    backend_server: Option<name::BackendServer>,
    /// Whether the request has ended.
    is_done: bool,
}

impl Ticket {
    /// Waits for the next step.
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

    /// Returns where the stream of the request began, if that is known.
    pub fn origin(&self) -> Option<stream::Origin> {
        self.route.router.borrow().origin(self.request_id)
    }

    /// Returns whether the request may still be sent to the backend server of the last step.
    pub fn may_send(&self) -> bool {
        let router = self.route.router.borrow();
        router.may_send(self.route.kernel.now_us(), self.request_id)
    }

    /// Reports that the first byte of the request is about to be sent.
    pub fn sent(&self) {
        self.route.handle(Event::Sent {
            request_id: self.request_id,
        });
    }

    /// Reports that the first part of the response arrived.
    pub fn first_token(&self) {
        self.route.handle(Event::FirstToken {
            request_id: self.request_id,
        });
    }

    /// Reports that the backend server of the last step refused because it is about to stop.
    pub fn backend_server_leaving(&self) {
        if let Some(backend) = self.backend_server.clone() {
            self.route.handle(Event::Leaving { backend });
        }
    }

    /// Reports that the backend server of the last step states in its response that it leaves.
    pub fn leaving_stated(&self) {
        if let Some(backend) = self.backend_server.clone() {
            self.route.handle(Event::LeavingStated {
                backend,
                started_ms: None,
            });
        }
    }

    /// Reports that the backend server of the last step wants no request of this router for a time.
    pub fn pause_asked(&self, duration_us: u64) {
        if let Some(backend) = self.backend_server.clone() {
            self.route.handle(Event::Pause {
                backend,
                duration_us,
            });
        }
    }

    /// Reports how the attempt ended. Done and Cancelled end the request; after any other outcome
    /// the routing service sends another step.
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

/// Starts and stops the service.
impl Route {
    /// Starts the service and its ticks. `local_domain` is the failure domain of this process;
    /// equal seeds and events give equal decisions.
    pub fn spawn(
        kernel: &Rc<Kernel>,
        options: options::Options,
        local_domain: name::FailureDomain,
        seed: u64,
    ) -> Rc<Self> {
        let service = Rc::new(Self {
            kernel: Rc::clone(kernel),
            router: RefCell::new(Router::new(options, local_domain, seed, kernel.now_us())),
            waiting: RefCell::default(),
            addresses: RefCell::default(),
            subscription: RefCell::default(),
            last_note: Cell::new(0),
            is_reported_by_peer: Cell::new(false),
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

    /// Stops the ticks; events are still handled.
    pub fn stop(&self) {
        self.subscription.borrow_mut().take();
    }
}

/// Passes events to the state machine and reports its state.
impl Route {
    /// Applies the backend servers and rules of a configuration.
    ///
    /// Addresses of removed backend servers are kept.
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

    /// Offers a request to the state machine and returns its ticket.
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

    /// Handles a peer's report that a backend server is leaving.
    pub fn leaving_reported_by_peer(&self, backend_server: name::BackendServer) {
        self.handle_report_of_peer(Event::Leaving {
            backend: backend_server,
        });
    }

    /// Passes an event that a peer reports to the state machine. The peer has told the others.
    pub fn handle_report_of_peer(&self, event: Event) {
        self.is_reported_by_peer.set(true);
        self.handle(event);
        self.is_reported_by_peer.set(false);
    }

    /// Passes an event to the state machine and carries out the actions that it returns.
    pub fn handle(&self, event: Event) {
        let actions = self
            .router
            .borrow_mut()
            .on_event(self.kernel.now_us(), event);
        self.run(actions);
    }

    /// Returns the number of usable backend servers of a model or service of this name, and the
    /// number of this router's requests in flight there.
    pub fn load_of(&self, service: &name::Service) -> (u64, u64) {
        let now_us = self.kernel.now_us();
        self.router.borrow().load_of(now_us, &targets(service))
    }

    /// Returns a text that names the lasting reasons against the servers of a model or service of
    /// this name, with the number of servers and the time to the first end, for the log. The request
    /// continues the stream that began at `origin`, if there is one.
    pub fn ineligible_text(
        &self,
        service: &name::Service,
        origin: Option<&stream::Origin>,
    ) -> String {
        let now_us = self.kernel.now_us();
        let router = self.router.borrow();
        let summary = router.ineligible(now_us, &targets(service), origin);
        let texts = summary.into_iter().map(|(reason, (servers, first_us))| {
            let name = reason.name();
            match first_us {
                Some(first_us) => {
                    let left_ms = first_us.saturating_sub(now_us) / clock::US_PER_MS;
                    format!("{name}={servers} ({left_ms} ms)")
                }
                None => format!("{name}={servers}"),
            }
        });
        texts.collect::<Vec<_>>().join(", ")
    }

    /// Returns the state of every backend server as JSON, for the status that operators read.
    pub fn report(&self) -> serde_json::Value {
        serde_json::to_value(self.router.borrow().status(self.kernel.now_us())).unwrap_or_default()
    }
}

/// Carries out the actions of the state machine.
impl Route {
    /// Sends the steps and records the notes among the actions, in order.
    fn run(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch {
                    request_id,
                    backend,
                    attempt,
                } => {
                    self.send_step_to(request_id, &backend, |backend_server, address| {
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
                    self.send_step_to(request_id, &backend, |backend_server, address| {
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
                    self.send_step(
                        request_id,
                        Step::Refuse {
                            kind,
                            retry_after_ms,
                        },
                    );
                }
                Action::Note(note) => self.record_note(&note),
            }
        }
    }

    /// Sends a step that names a backend server, or a refusal if its address is unknown.
    fn send_step_to(
        &self,
        request_id: id::Request,
        backend: &name::BackendServer,
        step: impl FnOnce(name::BackendServer, SocketAddr) -> Step,
    ) {
        let address = self.addresses.borrow().get(backend).copied();
        self.send_step(
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

    /// Sends a step to the request's ticket; ignored if the ticket was dropped.
    fn send_step(&self, request_id: id::Request, step: Step) {
        if let Some(sender) = self.waiting.borrow().get(&request_id) {
            let _ = sender.send(step);
        }
    }

    /// Notifies live peers that a backend server is leaving, which they may otherwise detect only
    /// seconds later.
    fn notify_peers(&self, frame: &peer::Frame) {
        if self.is_reported_by_peer.get() {
            return;
        }
        if let Ok(members) = self
            .kernel
            .registry()
            .find::<member::Member>(member::SERVICE)
        {
            members.send_to_live(frame);
        }
    }

    /// Records a note on the timeline and notifies peers if a backend server is leaving.
    fn record_note(&self, note: &Note) {
        match note {
            Note::Leaving { backend } => self.notify_peers(&peer::Frame::Leaving {
                backend_server: backend.clone(),
            }),
            Note::LeavingStated {
                backend,
                started_ms,
            } => self.notify_peers(&peer::Frame::LeavingStated {
                backend_server: backend.clone(),
                started_ms: *started_ms,
            }),
            Note::Ended {
                backend,
                started_ms,
            } => self.notify_peers(&peer::Frame::ServerEnded {
                backend_server: backend.clone(),
                started_ms: *started_ms,
            }),
            _ => {}
        }
        let kind = match note {
            Note::Leaving { .. } | Note::LeavingStated { .. } => event::Kind::BackendServerLeaving,
            _ => event::Kind::RouteNote,
        };
        let text = serde_json::to_string(note).unwrap_or_default();
        let event = event::Event::new(kind)
            .cause(self.last_note.get())
            .with("note", text);
        self.last_note.set(self.kernel.note(event));
    }
}

/// Returns the targets that a name may stand for.
fn targets(service: &name::Service) -> [Target; 2] {
    [
        Target::Model(service.as_str().into()),
        Target::Service(service.clone()),
    ]
}
