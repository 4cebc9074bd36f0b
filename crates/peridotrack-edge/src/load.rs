//! Asks engines for their load.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use peridotrack_http::client;
use peridotrack_kernel::{Kernel, clock, timer};
use peridotrack_route::event::Event;
use peridotrack_types::name;

use crate::{config, engine, route};

/// Name of this service in the registry.
pub const SERVICE: &str = "load";

/// Time between two questions to one engine, in microseconds.
const PERIOD_US: u64 = clock::US_PER_S;
/// Longest wait for a report, in milliseconds.
const TIMEOUT_MS: u64 = 500;

/// Asks each engine of the configuration in force for its load.
pub struct Poller {
    kernel: Rc<Kernel>,
    config: Rc<config::Configuration>,
    route: Rc<route::Route>,
    pool: client::Pool,
    subscription: RefCell<Option<timer::Subscription>>,
}

impl Poller {
    /// Starts asking.
    pub fn spawn(
        kernel: &Rc<Kernel>,
        config: &Rc<config::Configuration>,
        route: &Rc<route::Route>,
    ) -> Rc<Self> {
        let service = Rc::new(Self {
            kernel: Rc::clone(kernel),
            config: Rc::clone(config),
            route: Rc::clone(route),
            pool: client::Pool::new(engine::client_options(TIMEOUT_MS), 1),
            subscription: RefCell::default(),
        });
        let weak = Rc::downgrade(&service);
        let subscription = kernel.timer().subscribe(PERIOD_US, move |_| {
            if let Some(service) = weak.upgrade() {
                service.poll_all();
            }
        });
        *service.subscription.borrow_mut() = Some(subscription);
        service
    }

    /// Ends the questions.
    pub fn stop(&self) {
        self.subscription.borrow_mut().take();
    }

    fn poll_all(self: &Rc<Self>) {
        let config = self.config.current();
        for engine in &config.register.engines {
            monoio::spawn(Rc::clone(self).poll(engine.name.clone(), engine.address));
        }
    }

    async fn poll(self: Rc<Self>, backend: name::BackendServer, address: SocketAddr) {
        let timeout = Duration::from_millis(TIMEOUT_MS);
        let fetch = self.pool.fetch(address, engine::load_request(address));
        let asked_us = self.kernel.now_us();
        let Ok(Ok(response)) = monoio::time::timeout(timeout, fetch).await else {
            return;
        };
        let Ok(load) = serde_json::from_slice::<engine::Load>(response.body()) else {
            return;
        };
        let transit_us = self.kernel.now_us() - asked_us;
        self.route.handle(Event::LoadReport {
            backend,
            running: load.running,
            queued: load.queued,
            slots: load.slots,
            age_us: load.age_ms * clock::US_PER_MS + transit_us,
            leaving: load.state == engine::State::Leaving,
        });
    }
}
