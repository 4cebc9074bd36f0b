//! Polls the engines' load reports and passes them to the routing service.
//!
//! A failed poll is skipped without retry; the next one follows after the poll period.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use peridotrack_http::client;
use peridotrack_kernel::{Kernel, clock, timer};
use peridotrack_route::event::Event;
use peridotrack_types::name;

use crate::{config, engine, route};

/// Name of the load poller in the kernel's service registry.
pub const SERVICE: &str = "load";

/// Time between two polls of one engine, in microseconds.
const POLL_PERIOD_US: u64 = clock::US_PER_S;
/// Maximum wait for a load report, in milliseconds.
const POLL_TIMEOUT_MS: u64 = 500;

/// Polls the load of every engine of the active configuration.
pub struct Poller {
    kernel: Rc<Kernel>,
    config: Rc<config::Configuration>,
    route: Rc<route::Route>,
    pool: client::Pool,
    subscription: RefCell<Option<timer::Subscription>>,
}

impl Poller {
    /// Starts polling; the engines are read from `config` at each poll, and `route` receives
    /// their reports.
    pub fn spawn(
        kernel: &Rc<Kernel>,
        config: &Rc<config::Configuration>,
        route: &Rc<route::Route>,
    ) -> Rc<Self> {
        let service = Rc::new(Self {
            kernel: Rc::clone(kernel),
            config: Rc::clone(config),
            route: Rc::clone(route),
            pool: client::Pool::new(engine::client_options(POLL_TIMEOUT_MS), 1),
            subscription: RefCell::default(),
        });
        let weak = Rc::downgrade(&service);
        let subscription = kernel.timer().subscribe(POLL_PERIOD_US, move |_| {
            if let Some(service) = weak.upgrade() {
                service.poll_all();
            }
        });
        *service.subscription.borrow_mut() = Some(subscription);
        service
    }

    /// Stops polling; polls in progress still complete.
    pub fn stop(&self) {
        self.subscription.borrow_mut().take();
    }

    fn poll_all(self: &Rc<Self>) {
        let config = self.config.current();
        for engine in &config.register.engines {
            monoio::spawn(Rc::clone(self).poll(engine.name.clone(), engine.address));
        }
    }

    /// Requests one engine's load and adds the time of the exchange to the report's age.
    async fn poll(self: Rc<Self>, backend: name::BackendServer, address: SocketAddr) {
        let timeout = Duration::from_millis(POLL_TIMEOUT_MS);
        let fetch = self.pool.fetch(address, engine::load_request(address));
        let sent_us = self.kernel.now_us();
        let Ok(Ok(response)) = monoio::time::timeout(timeout, fetch).await else {
            return;
        };
        let Ok(load) = serde_json::from_slice::<engine::Load>(response.body()) else {
            return;
        };
        let round_trip_us = self.kernel.now_us() - sent_us;
        self.route.handle(Event::LoadReport {
            backend,
            running: load.running,
            queued: load.queued,
            slots: load.slots,
            duration_percent: None,
            age_us: load.age_ms * clock::US_PER_MS + round_trip_us,
            leaving: load.state == engine::State::Leaving,
        });
    }
}
