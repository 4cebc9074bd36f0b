//! Throttle service: runs the distribution of stated rates of `peridotrack-route`.
//!
//! It exchanges news about limits with the other routers and passes this router's rates to the
//! routing service.

use std::{cell::RefCell, rc::Rc};

use peridotrack_kernel::{Kernel, clock, event, timer};
use peridotrack_route::{
    event::Event as RouteEvent,
    throttle::{Action, Event, News, Options, Throttle as State},
};
use peridotrack_types::{collections, name};

use crate::{member, peer, route};

/// Period of the state machine's ticks, in microseconds.
const TICK_US: u64 = 200 * clock::US_PER_MS;

/// Throttle of this router.
pub struct Throttle {
    kernel: Rc<Kernel>,
    member: Rc<member::Member>,
    route: Rc<route::Route>,
    failure_domain: name::FailureDomain,
    state: RefCell<State>,
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

    /// Sets the servers of the directory, with their failure domains.
    pub fn set_servers(
        &self,
        servers: collections::HashMap<name::BackendServer, name::FailureDomain>,
    ) {
        self.handle(Event::Servers(servers));
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
