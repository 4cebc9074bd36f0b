//! The gateway: forwards requests to the services of a site without reading their bodies.
//!
//! The routes of the site determine the service by host and path, the routing service chooses the
//! backend server, and the budget holder reserves tokens for prepaid client accounts. The wire
//! names are those of the users' platform; `peridotrack-platform` encodes and decodes them.

mod attempt;
mod capacity;
mod crash;
mod directory;
mod evacuation;
mod exchange;
mod identity;
mod liveness;
mod options;
mod probe;
mod reach;
mod request;
mod reservation;
mod response;
mod resumption;
mod server;
mod site;
mod stream;
mod tunnel;

use std::{cell::Cell, net::SocketAddr, rc::Rc, sync::Arc};

use peridotrack_http::{client, memory};
use peridotrack_kernel::{Kernel, clock, event, log, registry};
use peridotrack_member::message::State;
use peridotrack_quarantine::{event as quarantine_event, options as quarantine_options};
use peridotrack_route::event as route_event;
use peridotrack_types::{gateway::Settings, id};

use crate::{
    budget, follow, member, metric, origin, peer, platform, quarantine, route, stopping, throttle,
};

/// Time in which the first request on a connection that was just accepted arrives, in microseconds.
const FIRST_REQUEST_US: u64 = 100 * clock::US_PER_MS;
/// Time in which requests are answered when the process ends at once, in microseconds.
const CUT_ANSWER_US: u64 = 100 * clock::US_PER_MS;
/// Time for sending leave notices to peers before the process ends, in microseconds.
const LEAVE_NOTICE_US: u64 = 20 * clock::US_PER_MS;
/// Reason why a gateway cannot start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The kernel, with its clock and log output, could not be opened.
    #[error("open the kernel: {0}")]
    Kernel(#[from] peridotrack_kernel::Error),
    /// A service could not be registered.
    #[error("start the services: {0}")]
    Registry(#[from] registry::Error),
    /// A listener could not be bound.
    #[error("listen for {step} on {address}: {detail}")]
    Listen {
        /// Who connects to the address: `peers`, `clients` or `probes`.
        step: &'static str,
        /// Address of the listener, from the settings.
        address: SocketAddr,
        /// Error that binding it returned.
        detail: String,
    },
}

/// Result of stopping a gateway: what was left unfinished.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outcome {
    /// Number of requests still open at the end; their clients see the connection close.
    pub cut_requests: usize,
    /// Whether all grants were returned to the ledger; tokens that are not returned cannot be spent
    /// any more. `false` after [`Gateway::cut`].
    pub is_budget_closed: bool,
}

/// State shared by the listeners and requests of a gateway.
struct Shared {
    kernel: Rc<Kernel>,
    settings: Settings,
    incarnation: id::Incarnation,
    platform: Rc<platform::Platform>,
    budget: Rc<budget::Budget>,
    member: Rc<member::Member>,
    link: Rc<peer::Link>,
    route: Rc<route::Route>,
    follow: Rc<follow::Follow>,
    quarantine: Rc<quarantine::Quarantine>,
    throttle: Rc<throttle::Throttle>,
    origins: Rc<origin::Origins>,
    pool: client::Pool,
    memory: memory::Memory,
    metrics: metric::Requests,
    site: site::Current,
    directory: directory::Directory,
    evacuations: evacuation::Evacuations,
    checks: liveness::Checks,
    tunnels: tunnel::Tunnels,
    reach: reach::Reach,
    stopping: Rc<stopping::Stopping<Arc<str>>>,
    sequence: Cell<u64>,
}

/// A running gateway with its listeners for clients, peers and probes.
pub struct Gateway {
    shared: Rc<Shared>,
    clients: Rc<server::Server>,
    probes: Rc<probe::Probe>,
}

/// Starts the gateway.
impl Gateway {
    /// Starts a gateway with these settings on the current event loop.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener cannot be bound or a service cannot be registered.
    pub fn spawn(settings: Settings, log: log::Output) -> Result<Self, Error> {
        let kernel = Kernel::open(peridotrack_kernel::Options {
            process: settings.vm.as_str().into(),
            log,
            ..peridotrack_kernel::Options::default()
        })?;
        kernel.spawn_timer();
        let incarnation = id::Incarnation(fastrand::u64(1..));
        let platform = platform::Platform::open(
            Rc::clone(&kernel),
            settings.store_address,
            platform::Dialect::Hosted,
            options::min_outage_us(&settings.bounds),
        );
        let budget =
            budget::Budget::spawn(&kernel, &platform, incarnation, options::ledger(&settings));
        let link = peer::Link::bind(
            Rc::clone(&kernel),
            incarnation,
            settings.peer_address,
            &settings.peer_key,
        )
        .map_err(|error| listen_error("peers", settings.peer_address, &error))?;
        let member = spawn_member(&kernel, &link, &platform, &settings, incarnation);
        let registry = kernel.registry();
        registry.register(budget::SERVICE, Rc::clone(&budget))?;
        registry.register(member::SERVICE, Rc::clone(&member))?;
        let follow = Rc::new(follow::Follow::default());
        registry.register(follow::SERVICE, Rc::clone(&follow))?;
        let quarantine = quarantine::Quarantine::spawn(
            &kernel,
            &platform,
            settings.vm.clone(),
            quarantine_options::Options::default(),
        );
        let route = route::Route::spawn(
            &kernel,
            options::route(&settings),
            settings.failure_domain.clone(),
            fastrand::u64(..),
        );
        let throttle = throttle::Throttle::spawn(
            &kernel,
            &member,
            &route,
            settings.vm.clone(),
            settings.failure_domain.clone(),
            options::throttle(&settings.bounds),
        );
        let origins = origin::Origins::spawn(
            &kernel,
            &member,
            settings.vm.clone(),
            options::region(&settings),
            options::origins(),
        );
        let memory = memory::Memory::new(options::account(&settings));
        let shared = Rc::new(Shared {
            incarnation,
            platform,
            budget,
            member,
            link,
            route,
            follow,
            quarantine,
            throttle,
            origins,
            pool: client::Pool::new(options::backend(), options::MAX_IDLE_CONNECTIONS)
                .with_memory(memory.clone()),
            memory,
            metrics: metric::Requests::register(kernel.meter()),
            site: site::Current::default(),
            directory: directory::Directory::default(),
            evacuations: evacuation::Evacuations::default(),
            checks: liveness::Checks::default(),
            tunnels: tunnel::Tunnels::new(&kernel),
            reach: reach::Reach::default(),
            stopping: Rc::new(stopping::Stopping::new(&kernel)),
            sequence: Cell::new(0),
            settings,
            kernel,
        });
        subscribe(&shared);
        tunnel::subscribe(&shared);
        reach::spawn(&shared);
        let clients = server::Server::bind(&shared)
            .map_err(|error| listen_error("clients", shared.settings.client_address, &error))?;
        capacity::observe(&shared, &clients);
        let probes = probe::Probe::bind(&shared)
            .map_err(|error| listen_error("probes", shared.settings.readiness_address, &error))?;
        follow_store(&shared);
        let event = event::Event::new(event::Kind::RouterStarted)
            .with("incarnation", incarnation.to_string())
            .with("failure_domain", shared.settings.failure_domain.as_str())
            .with("client_address", shared.settings.client_address.to_string())
            .with("store_address", shared.settings.store_address.to_string());
        shared.kernel.note(event);
        Ok(Self {
            shared,
            clients,
            probes,
        })
    }
}

/// Returns the gateway's identity, addresses and services.
impl Gateway {
    /// Returns the address that clients connect to.
    pub fn client_address(&self) -> SocketAddr {
        self.clients.address()
    }

    /// Returns the address that serves readiness probes.
    pub fn readiness_address(&self) -> SocketAddr {
        self.probes.address()
    }

    /// Returns the address that other routers connect to.
    pub fn peer_address(&self) -> SocketAddr {
        self.shared.link.address()
    }

    /// Returns the incarnation of this gateway, chosen at random when it starts.
    pub fn incarnation(&self) -> id::Incarnation {
        self.shared.incarnation
    }

    /// Returns the budget service, which holds the grants of this gateway.
    pub fn budget(&self) -> &Rc<budget::Budget> {
        &self.shared.budget
    }

    /// Returns whether a peer relays the changes of a kind of objects, so that this gateway does
    /// not watch the store for it.
    pub fn is_relayed(&self, kind: &str) -> bool {
        self.shared.follow.is_relayed(kind)
    }

    /// Returns the kernel, which holds the clock, the timeline and the metrics.
    pub fn kernel(&self) -> &Rc<Kernel> {
        &self.shared.kernel
    }
}

/// Compares reloaded settings and stops the gateway.
impl Gateway {
    /// Reports the gateway as not ready. From now on a request is begun only if it is expected to
    /// end within the operators' grace period.
    pub fn begin_stop(&self) {
        self.begin();
    }

    fn begin(&self) -> stopping::Times {
        let Shared {
            kernel,
            settings,
            stopping,
            member,
            ..
        } = &*self.shared;
        if !stopping.has_begun() {
            member.set_state(State::Stopping);
            let event = event::Event::new(event::Kind::RouterStopping)
                .with("open_requests", self.clients.open_requests() as u64);
            kernel.note(event);
        }
        stopping.begin(|begun_us| options::stop_times(begun_us, &settings.bounds))
    }

    /// Records whether settings that were read again differ from the active ones, or that they are
    /// invalid. They take effect only at the next start.
    pub fn reload(&self, settings: &Result<Settings, String>) {
        self.shared.kernel.note(match settings {
            Ok(new) => event::Event::new(event::Kind::SettingsRead)
                .with("is_changed", *new != self.shared.settings),
            Err(error) => {
                event::Event::new(event::Kind::SettingsRefused).with("error", error.as_str())
            }
        });
    }

    /// Stops accepting connections at once, answers the requests that have no response yet, and
    /// reports those that are still open, which are cut off when the process ends.
    pub async fn cut(&self) -> Outcome {
        let kernel = &self.shared.kernel;
        self.shared.stopping.finish();
        self.clients.stop();
        self.clients.close_idle();
        self.probes.stop();
        let outcome = Outcome {
            cut_requests: self.clients.drain(kernel.now_us() + CUT_ANSWER_US).await,
            is_budget_closed: false,
        };
        let event = event::Event::new(event::Kind::RouterCut);
        kernel.note(event.with("cut_requests", outcome.cut_requests as u64));
        outcome
    }

    /// Waits for open requests and returns all grants to the ledger, within the operators' grace
    /// period.
    pub async fn stop(&self) -> Outcome {
        let kernel = &self.shared.kernel;
        let times = self.begin();
        let close_us = options::close_us(times.stop.begun_us, &self.shared.settings.bounds);
        let leave_us = times.stop.leave_us.saturating_sub(kernel.now_us());
        kernel.timer().sleep_us(leave_us).await;
        self.clients.drain(times.stop.finish_us).await;
        self.clients.stop();
        kernel.timer().sleep_us(FIRST_REQUEST_US).await;
        self.clients.close_idle();
        // Tokens of grants that are not returned cannot be spent any more, so closing the budget
        // may use all the remaining time.
        let is_budget_closed = self.shared.budget.close(close_us).await;
        // Requests in tunnels are charged by the routers that opened them.
        let tunnels = &self.shared.tunnels;
        tunnels.drain(kernel, times.stop.finish_us).await;
        let outcome = Outcome {
            cut_requests: self.clients.drain(close_us).await,
            is_budget_closed,
        };
        self.probes.stop();
        self.shared.member.stop();
        kernel.timer().sleep_us(LEAVE_NOTICE_US).await;
        self.shared.link.stop();
        tunnels.cut();
        let kind = match outcome.cut_requests {
            0 => event::Kind::RouterStopped,
            _ => event::Kind::RouterCut,
        };
        let event = event::Event::new(kind)
            .with("cut_requests", outcome.cut_requests as u64)
            .with("is_budget_closed", outcome.is_budget_closed);
        kernel.note(event);
        outcome
    }
}

/// Starts the membership, which advertises this gateway as serving.
fn spawn_member(
    kernel: &Rc<Kernel>,
    link: &Rc<peer::Link>,
    platform: &Rc<platform::Platform>,
    settings: &Settings,
    incarnation: id::Incarnation,
) -> Rc<member::Member> {
    let local = member::Local {
        vm: settings.vm.clone(),
        incarnation,
        started_wall_ms: kernel.clock().wall_us() / clock::US_PER_MS,
        failure_domain: settings.failure_domain.clone(),
        peer_address: link.address(),
        caller_address: settings.client_address,
    };
    let seeds = settings.seed_addresses.clone();
    let member = member::Member::spawn(kernel, link, platform, local, seeds, options::member());
    member.set_state(State::Serving);
    member
}

/// Follows the configuration, the directory of backend servers, the evacuations and the statements about
/// crashes in the store.
fn follow_store(shared: &Rc<Shared>) {
    let Shared {
        kernel,
        platform,
        follow,
        incarnation,
        ..
    } = &**shared;
    let bounds = &shared.settings.bounds;
    let site = Rc::clone(shared);
    let target = site::target(bounds);
    follow.add(kernel, platform, *incarnation, target, move |update| {
        site::apply_update(&site, update);
    });
    let directory = Rc::clone(shared);
    let target = directory::target(bounds);
    follow.add(kernel, platform, *incarnation, target, move |update| {
        directory::apply_update(&directory, update);
    });
    if let Some(evacuation_ms) = bounds.evacuation_ms {
        let evacuation = Rc::clone(shared);
        let target = evacuation::target(bounds, evacuation_ms);
        follow.add(kernel, platform, *incarnation, target, move |update| {
            evacuation::apply_update(&evacuation, update);
        });
    }
    let quarantine = Rc::clone(&shared.quarantine);
    let target = quarantine::target(options::follow_quarantine(bounds));
    follow.add(kernel, platform, *incarnation, target, move |update| {
        quarantine.apply_update(update);
    });
}

/// Passes each frame of a peer to the service that handles it, and send failures to the membership.
fn subscribe(shared: &Rc<Shared>) {
    let Shared {
        member,
        budget,
        follow,
        quarantine,
        throttle,
        origins,
        route,
        ..
    } = &**shared;
    let (route, origins) = (Rc::clone(route), Rc::clone(origins));
    let (members, budget, follow) = (Rc::clone(member), Rc::clone(budget), Rc::clone(follow));
    let (quarantine, throttle) = (Rc::clone(quarantine), Rc::clone(throttle));
    let weak = Rc::downgrade(shared);
    let on_frame = move |sender: peer::Sender, frame: peer::Frame| match frame {
        peer::Frame::Member(message) => members.receive(sender.address, message),
        peer::Frame::Budget { message, .. } => budget.receive(sender.incarnation, message),
        peer::Frame::Follow { kind, message, .. } => {
            follow.receive(sender, &kind, message);
        }
        peer::Frame::Quarantine { author, statement } => {
            quarantine.handle(quarantine_event::Event::Stated { author, statement });
        }
        peer::Frame::RateLimit {
            failure_domain,
            news,
        } => throttle.receive(&failure_domain, news),
        peer::Frame::Origin(message) => origins.receive(sender, message),
        peer::Frame::ConfigRequest { above_version } => {
            if let Some(shared) = weak.upgrade() {
                site::send(&shared, sender.address, above_version);
            }
        }
        peer::Frame::Config { content } => {
            if let Some(shared) = weak.upgrade() {
                site::receive(&shared, content);
            }
        }
        peer::Frame::LeavingStated {
            backend_server: backend,
            started_ms,
        } => route.handle_report_of_peer(route_event::Event::LeavingStated {
            backend,
            started_ms,
        }),
        peer::Frame::ServerEnded {
            backend_server: backend,
            started_ms,
        } => {
            throttle.server_ended(&backend, started_ms);
            route.handle_report_of_peer(route_event::Event::Ended {
                backend,
                started_ms,
            });
        }
        _ => {}
    };
    let members = Rc::clone(member);
    shared.link.subscribe(on_frame, move |address| {
        members.handle(peridotrack_member::action::Event::SendFailed { address });
    });
}

fn listen_error(step: &'static str, address: SocketAddr, error: &dyn std::error::Error) -> Error {
    Error::Listen {
        step,
        address,
        detail: error.to_string(),
    }
}
