//! Router daemon: starts and stops the services of one router.
//!
//! [`Daemon::spawn`] starts them on the current event loop; [`Daemon::stop`] drains requests,
//! records the outcomes of claims, flushes usage records, returns grants and sends leave notices,
//! in this order.

use std::{net::SocketAddr, rc::Rc};

use peridotrack_budget::options as budget_options;
use peridotrack_kernel::{Kernel, clock, event, log, registry};
use peridotrack_member::message::State;
use peridotrack_once::{claim, usage as usage_log};
use peridotrack_route::options as route_options;
use peridotrack_types::{id, settings};

use crate::{budget, caller, claims, config, load, member, operator, peer, platform, route, usage};

/// Time for the leave notices to reach peers before the process ends, and polling period of
/// [`Daemon::ready`], in microseconds.
const LEAVE_NOTICE_US: u64 = 50 * clock::US_PER_MS;
/// Time in which the first request on a connection that was just accepted arrives, in microseconds.
const FIRST_REQUEST_US: u64 = 100 * clock::US_PER_MS;
/// Maximum time for recording the outcomes of claims, flushing usage records and closing the budget
/// together, in microseconds.
const CLOSE_US: u64 = 10 * clock::US_PER_S;

/// Failure to start a router.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The kernel could not be opened.
    #[error("open the kernel: {0}")]
    Kernel(#[from] peridotrack_kernel::Error),
    /// Listening on an address failed.
    #[error("listen for {step} on {address}: {detail}")]
    Listen {
        /// Who connects to the address: `callers`, `operators` or `peers`.
        step: &'static str,
        /// Address from the settings.
        address: SocketAddr,
        /// Failure of the socket.
        detail: String,
    },
    /// A service could not be registered.
    #[error("start the services: {0}")]
    Registry(#[from] registry::Error),
}

/// Result of stopping a router: which requests were cut and which shutdown steps were completed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Requests that were cut: still open at the deadline of [`Daemon::stop`], or at
    /// [`Daemon::cut`].
    pub cut_requests: usize,
    /// Whether every grant was returned to the ledger.
    pub is_budget_closed: bool,
    /// Whether every usage record was flushed to the platform.
    pub is_usage_flushed: bool,
    /// Whether the outcome of every claim was recorded in the platform.
    pub are_claims_settled: bool,
}

impl Outcome {
    /// Returns whether everything was completed and nothing was cut.
    pub fn is_clean(&self) -> bool {
        self.cut_requests == 0
            && self.is_budget_closed
            && self.is_usage_flushed
            && self.are_claims_settled
    }
}

/// A running router.
pub struct Daemon {
    kernel: Rc<Kernel>,
    incarnation: id::Incarnation,
    link: Rc<peer::Link>,
    callers: Rc<caller::Server>,
    operator: Rc<operator::Operator>,
    services: Services,
}

/// Starts the router.
impl Daemon {
    /// Starts a router with these settings on the current event loop.
    pub fn spawn(settings: settings::Settings, log: log::Output) -> Result<Self, Error> {
        let kernel = Kernel::open(peridotrack_kernel::Options {
            process: settings.vm.as_str().into(),
            timeline_events: settings.limits.timeline_events,
            log,
        })?;
        kernel.spawn_timer();
        let incarnation = id::Incarnation(fastrand::u64(1..));
        let link = peer::Link::bind(
            Rc::clone(&kernel),
            incarnation,
            settings.peer_address,
            &settings.peer_key,
        )
        .map_err(|error| listen("peers", settings.peer_address, &error))?;
        let platform = platform::Platform::open(
            Rc::clone(&kernel),
            settings.platform_address,
            platform::Dialect::Native,
            0,
        );
        let services = Services::spawn(&kernel, &platform, &link, &settings, incarnation)?;
        let (caller_address, limits) = (settings.caller_address, settings.limits.clone());
        let failure_domain = settings.failure_domain.clone();
        let operator_address = settings.operator_address;
        let operator = operator::Operator::bind(&kernel, incarnation, settings)
            .map_err(|error| listen("operators", operator_address, &error))?;
        kernel
            .registry()
            .register(operator::SERVICE, Rc::clone(&operator))?;
        let callers = caller::Server::bind(&kernel, incarnation, caller_address, limits)
            .map_err(|error| listen("callers", caller_address, &*error))?;
        kernel
            .registry()
            .register(caller::SERVICE, Rc::clone(&callers))?;
        let event = event::Event::new(event::Kind::RouterStarted)
            .with("incarnation", incarnation.to_string())
            .with("failure_domain", failure_domain.as_str())
            .with("caller_address", callers.address().to_string())
            .with("operator_address", operator.address().to_string())
            .with("peer_address", link.address().to_string());
        kernel.note(event);
        Ok(Self {
            kernel,
            incarnation,
            link,
            callers,
            operator,
            services,
        })
    }
}

/// Returns the router's identity, addresses and services.
impl Daemon {
    /// Returns the incarnation of this router, chosen at random at its start.
    pub fn incarnation(&self) -> id::Incarnation {
        self.incarnation
    }

    /// Returns the address that callers connect to.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address that operators connect to.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator.address()
    }

    /// Returns the address that other routers connect to.
    pub fn peer_address(&self) -> SocketAddr {
        self.link.address()
    }

    /// Returns the budget service, for reports on the budgets.
    pub fn budget(&self) -> &Rc<budget::Budget> {
        &self.services.budget
    }

    /// Returns the kernel: clock, timer, timeline and metrics of the router.
    pub fn kernel(&self) -> &Rc<Kernel> {
        &self.kernel
    }
}

/// Controls readiness and stops the router.
impl Daemon {
    /// Waits for the first configuration, then turns readiness on.
    pub async fn ready(&self) {
        let Ok(config) = self
            .kernel
            .registry()
            .find::<config::Configuration>(config::SERVICE)
        else {
            return;
        };
        while config.current().version == 0 {
            self.kernel.timer().sleep_us(LEAVE_NOTICE_US).await;
        }
        self.set_state(State::Serving);
    }

    /// Turns readiness off. From now on a request is begun only if it is expected to end within the
    /// shutdown timeout.
    pub fn begin_stop(&self) {
        self.callers.begin_stop();
        self.set_state(State::Stopping);
        let event = event::Event::new(event::Kind::RouterStopping)
            .with("open_requests", self.callers.open_requests() as u64);
        self.kernel.note(event);
    }

    /// Drains open requests, records the outcomes of claims, flushes usage records, returns grants
    /// and sends leave notices. Each step is bounded in time; requests open at the shutdown timeout
    /// are cut.
    pub async fn stop(&self) -> Outcome {
        let stop = self.callers.begin_stop().stop;
        let leave_us = stop.leave_us.saturating_sub(self.kernel.now_us());
        self.kernel.timer().sleep_us(leave_us).await;
        let cut_requests = self.callers.drain(stop.finish_us).await;
        self.callers.stop();
        let first_request_us = self.kernel.now_us() + FIRST_REQUEST_US;
        let close_us = self.kernel.now_us() + CLOSE_US;
        let mut outcome = Outcome {
            cut_requests,
            are_claims_settled: self.services.claims.settle(close_us).await,
            is_usage_flushed: self.services.usage.flush(close_us).await,
            is_budget_closed: self.services.budget.close(close_us).await,
        };
        let wait_us = first_request_us.saturating_sub(self.kernel.now_us());
        self.kernel.timer().sleep_us(wait_us).await;
        self.callers.close_idle();
        // Requests that arrived since the first drain are refused.
        let drain_us = close_us.min(stop.finish_us);
        outcome.cut_requests = cut_requests.max(self.callers.drain(drain_us).await);
        self.services.member.stop();
        self.kernel.timer().sleep_us(LEAVE_NOTICE_US).await;
        self.end(outcome);
        outcome
    }

    /// Stops at once: answers the requests that have no response yet, and returns how many others
    /// were cut. Sends leave notices, but does not record outcomes of claims, flush usage records or
    /// return grants.
    pub async fn cut(&self) -> Outcome {
        let cut_requests = self.callers.cut().await;
        self.callers.kill();
        self.services.member.stop();
        let outcome = Outcome {
            cut_requests,
            ..Outcome::default()
        };
        self.end(outcome);
        outcome
    }

    /// Stops without any cleanup, as a crash does, while the event loop keeps running.
    pub fn kill(&self) {
        self.callers.kill();
        self.halt();
    }

    fn end(&self, outcome: Outcome) {
        let kind = if outcome.is_clean() {
            event::Kind::RouterStopped
        } else {
            event::Kind::RouterCut
        };
        let event = event::Event::new(kind)
            .with("cut_requests", outcome.cut_requests as u64)
            .with("is_budget_closed", outcome.is_budget_closed)
            .with("is_usage_flushed", outcome.is_usage_flushed)
            .with("are_claims_settled", outcome.are_claims_settled);
        self.kernel.note(event);
        self.halt();
    }

    fn halt(&self) {
        self.operator.stop();
        self.services.load.stop();
        self.services.budget.stop();
        self.services.usage.stop();
        self.services.claims.stop();
        self.services.route.stop();
        self.link.stop();
        self.kernel.stop();
    }

    fn set_state(&self, state: State) {
        self.operator.set_state(state);
        self.services.member.set_state(state);
    }
}

/// Services that the daemon uses after their start.
struct Services {
    budget: Rc<budget::Budget>,
    claims: Rc<claims::Service>,
    load: Rc<load::Poller>,
    member: Rc<member::Member>,
    route: Rc<route::Route>,
    usage: Rc<usage::Usage>,
}

impl Services {
    fn spawn(
        kernel: &Rc<Kernel>,
        platform: &Rc<platform::Platform>,
        link: &Rc<peer::Link>,
        settings: &settings::Settings,
        incarnation: id::Incarnation,
    ) -> Result<Self, Error> {
        let domain = settings.failure_domain.clone();
        let budget_options = budget_options::Options {
            seed: fastrand::u64(..),
            ..Default::default()
        };
        let budget = budget::Budget::spawn(kernel, platform, incarnation, budget_options);
        let usage =
            usage::Usage::spawn(kernel, platform, incarnation, usage_log::Options::default());
        let claims = claims::Service::spawn(
            kernel,
            platform,
            incarnation,
            claim::Options::default(),
            fastrand::u64(..),
        );
        let route = route::Route::spawn(
            kernel,
            route_options::Options::default(),
            domain.clone(),
            fastrand::u64(..),
        );
        let local = member::Local {
            vm: settings.vm.clone(),
            incarnation,
            started_wall_ms: kernel.clock().wall_us() / clock::US_PER_MS,
            failure_domain: domain,
            peer_address: link.address(),
            caller_address: settings.caller_address,
        };
        let seeds = settings.seed_addresses.clone();
        let options = member::Options::default();
        let member = member::Member::spawn(kernel, link, platform, local, seeds, options);
        let config = config::Configuration::spawn(kernel, platform, link, &member, &route, &budget);
        let load = load::Poller::spawn(kernel, &config, &route);
        let registry = kernel.registry();
        registry.register(platform::SERVICE, Rc::clone(platform))?;
        registry.register(peer::SERVICE, Rc::clone(link))?;
        registry.register(budget::SERVICE, Rc::clone(&budget))?;
        registry.register(usage::SERVICE, Rc::clone(&usage))?;
        registry.register(claims::SERVICE, Rc::clone(&claims))?;
        registry.register(route::SERVICE, Rc::clone(&route))?;
        registry.register(member::SERVICE, Rc::clone(&member))?;
        registry.register(config::SERVICE, Rc::clone(&config))?;
        registry.register(load::SERVICE, Rc::clone(&load))?;
        subscribe(link, &member, &budget, &usage, &config, &route);
        Ok(Self {
            budget,
            claims,
            load,
            member,
            route,
            usage,
        })
    }
}

/// Passes each frame from a peer to the service that handles it.
fn subscribe(
    link: &Rc<peer::Link>,
    member: &Rc<member::Member>,
    budget: &Rc<budget::Budget>,
    usage: &Rc<usage::Usage>,
    config: &Rc<config::Configuration>,
    route: &Rc<route::Route>,
) {
    let (members, budget) = (Rc::clone(member), Rc::clone(budget));
    let (usage, config, route) = (Rc::clone(usage), Rc::clone(config), Rc::clone(route));
    let on_frame = move |sender: peer::Sender, frame: peer::Frame| match frame {
        // Only gateways send the others: they relay changes of store objects, know the parts of
        // prompts and the versions of servers, and read what servers state about themselves.
        peer::Frame::Hello(_)
        | peer::Frame::Follow { .. }
        | peer::Frame::Quarantine { .. }
        | peer::Frame::LeavingStated { .. }
        | peer::Frame::Origin(_)
        | peer::Frame::Tunnel { .. }
        | peer::Frame::ServerEnded { .. }
        | peer::Frame::RateLimit { .. } => {}
        peer::Frame::Member(message) => members.receive(sender.address, message),
        peer::Frame::Budget { message, .. } => budget.receive(sender.incarnation, message),
        peer::Frame::Usage { message, .. } => usage.receive(sender.incarnation, message),
        peer::Frame::Leaving { backend_server } => route.leaving_reported_by_peer(backend_server),
        peer::Frame::ConfigRequest { above_version } => {
            config.send_object(sender.address, above_version);
        }
        peer::Frame::Config { content } => config.receive(sender.address, content),
        peer::Frame::ConfigPartRequest { key } => config.send_part(sender.address, &key),
        peer::Frame::ConfigPart { key, content } => config.receive_part(&key, content),
    };
    let members = Rc::clone(member);
    link.subscribe(on_frame, move |address| {
        members.handle(peridotrack_member::action::Event::SendFailed { address });
    });
}

fn listen(step: &'static str, address: SocketAddr, error: &dyn std::error::Error) -> Error {
    Error::Listen {
        step,
        address,
        detail: error.to_string(),
    }
}
