//! Throttle service: runs the distribution of stated rates of `peridotrack-route`.
//!
//! It exchanges news about limits with the other routers and passes this router's rates to the
//! routing service.

use std::{cell::RefCell, collections::BTreeSet, rc::Rc};

use metrics::Gauge;
use peridotrack_kernel::{Kernel, clock, event, timer};
use peridotrack_route::{
    cold,
    event::Event as RouteEvent,
    throttle::{Action, Event, News, Options, Throttle as State},
};
use peridotrack_types::name;

use crate::{member, metric, peer, route};

/// Period of the state machine's ticks, in microseconds.
const TICK_US: u64 = 200 * clock::US_PER_MS;
/// Maximum number of servers that one event names.
const MAX_LOGGED_SERVERS: usize = 16;

/// Throttle of this router.
pub struct Throttle {
    kernel: Rc<Kernel>,
    member: Rc<member::Member>,
    route: Rc<route::Route>,
    failure_domain: name::FailureDomain,
    state: RefCell<State>,
    /// Servers that were limited because they are cold when this was last recorded.
    cold: RefCell<BTreeSet<name::BackendServer>>,
    cold_gauge: Gauge,
    subscription: RefCell<Option<timer::Subscription>>,
}

/// Starts the service.
impl Throttle {
    /// Starts the throttle of the router on `vm`.
    pub fn spawn(
        kernel: &Rc<Kernel>,
        member: &Rc<member::Member>,
        route: &Rc<route::Route>,
        vm: name::Vm,
        failure_domain: name::FailureDomain,
        options: Options,
    ) -> Rc<Self> {
        let state = State::new(vm, options, fastrand::u64(..), kernel.now_us());
        let service = Rc::new(Self {
            kernel: Rc::clone(kernel),
            member: Rc::clone(member),
            route: Rc::clone(route),
            failure_domain,
            state: RefCell::new(state),
            cold: RefCell::default(),
            cold_gauge: kernel.meter().gauge(metric::COLD_SERVERS),
            subscription: RefCell::default(),
        });
        let weak = Rc::downgrade(&service);
        let subscription = kernel.timer().subscribe(TICK_US, move |_| {
            if let Some(service) = weak.upgrade() {
                service.tick();
            }
        });
        *service.subscription.borrow_mut() = Some(subscription);
        service
    }
}

/// Passes events to the state machine.
impl Throttle {
    fn tick(&self) {
        let is_active = self.state.borrow().is_active();
        if is_active {
            self.handle(Event::Routers(self.member.serving()));
            self.handle(Event::Tick);
            self.note_cold();
        }
    }

    /// Reports the head of a response to a request that was sent at `sent_us`.
    pub fn answered(
        &self,
        backend_server: &name::BackendServer,
        limit_per_s: Option<f64>,
        sent_us: u64,
    ) {
        let is_active = self.state.borrow().is_active();
        if limit_per_s.is_none() && !is_active {
            return;
        }
        if !is_active {
            self.handle(Event::Routers(self.member.serving()));
        }
        self.handle(Event::Answered {
            backend_server: backend_server.clone(),
            limit_per_s,
            sent_us,
        });
    }

    /// Handles news from a router of `failure_domain`.
    pub fn receive(&self, failure_domain: &name::FailureDomain, news: News) {
        if !self.state.borrow().is_active() {
            self.handle(Event::Routers(self.member.serving()));
        }
        self.handle(Event::Heard {
            news,
            is_foreign: *failure_domain != self.failure_domain,
        });
    }

    /// Sets the servers of the directory.
    pub fn set_servers(&self, servers: cold::Servers) {
        self.handle(Event::Servers(servers));
        self.note_cold();
    }

    /// Handles the return of a failure domain that was evacuated.
    pub fn domain_returned(&self, failure_domain: &name::FailureDomain) {
        self.handle(Event::DomainReturned(failure_domain.clone()));
        self.note_cold();
    }

    /// Handles the end of a server's process, which this router or a peer has noticed.
    pub fn server_ended(&self, backend_server: &name::BackendServer, started_ms: Option<u64>) {
        if !self.state.borrow().is_active() {
            return;
        }
        self.handle(Event::Ended {
            backend_server: backend_server.clone(),
            started_ms,
        });
        self.note_cold();
    }

    /// Records which servers are limited because they are cold, if that has changed.
    fn note_cold(&self) {
        let state = self.state.borrow();
        let servers: BTreeSet<_> = state.cold_servers().cloned().collect();
        if *self.cold.borrow() == servers {
            return;
        }
        let names: Vec<_> = servers
            .iter()
            .take(MAX_LOGGED_SERVERS)
            .map(name::BackendServer::as_str)
            .collect();
        let event = event::Event::new(event::Kind::ColdServersChanged)
            .with("count", servers.len() as u64)
            .with("backend_servers", names.join(","));
        self.cold_gauge.set(servers.len() as f64);
        drop(state);
        self.cold.replace(servers);
        self.kernel.note(event);
    }

    fn handle(&self, event: Event) {
        let now_us = self.kernel.now_us();
        let wall_ms = self.kernel.clock().wall_us() / clock::US_PER_MS;
        let actions = self.state.borrow_mut().on_event(now_us, wall_ms, event);
        for action in actions {
            match action {
                Action::SetRate {
                    backend_server,
                    per_s,
                } => self.route.handle(RouteEvent::Rate {
                    backend: backend_server,
                    per_s,
                }),
                Action::Send(news) => self.member.send_to_live(&self.frame(news)),
                Action::Forward(news) => self.member.send_to_domain(&self.frame(news)),
                Action::Note { news, is_own } => self.record(&news, is_own),
            }
        }
    }

    fn frame(&self, news: News) -> peer::Frame {
        peer::Frame::RateLimit {
            failure_domain: self.failure_domain.clone(),
            news,
        }
    }

    fn record(&self, news: &News, is_own: bool) {
        let event = event::Event::new(event::Kind::RateLimitChanged)
            .with("backend_server", news.backend_server.as_str())
            .with("is_stated_to_this_router", is_own);
        let event = match news.limit_per_s {
            Some(limit_per_s) => event.with("limit_per_s", limit_per_s.to_string()),
            None => event.with("limit_per_s", "none"),
        };
        self.kernel.note(event);
    }
}
