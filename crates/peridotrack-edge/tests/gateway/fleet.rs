//! Gateways and backend servers that share a store, all on the event loop of the test.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use peridotrack_edge::gateway::Gateway;
use peridotrack_kernel::log;
use peridotrack_standin::{
    harness::{http::fetch, wait},
    hosted::{
        backend, client,
        deployment::{self, Kind, bounds},
        store,
    },
};
use peridotrack_types::gateway::Settings;

use crate::fixture::{LIMIT, settings};

/// Part under which servers crash.
pub const FATAL_PART: u64 = 0xbad;
/// Time after which a crashed server returns with a new name.
const RETURN_DELAY: Duration = Duration::from_secs(3);
/// Number of crashes after which the time to stop is counted.
pub const COUNTED_CRASHES: usize = 5;

/// A backend server through all its incarnations.
struct Server {
    handle: RefCell<Option<backend::Handle>>,
    name: RefCell<String>,
}

/// Gateways and backend servers that share a store.
pub struct Fleet {
    store: store::Handle,
    gateways: Vec<Gateway>,
    servers: Vec<Server>,
    /// Requests with the fatal part that reached servers that have crashed, by time of arrival.
    arrivals: RefCell<Vec<Instant>>,
    pub crashes: RefCell<Vec<Instant>>,
    next_id: Cell<u64>,
}

impl Fleet {
    /// Starts the fleet and waits until each gateway is ready.
    pub async fn spawn(gateways: usize, servers: usize) -> Rc<Self> {
        let store = store::spawn().unwrap();
        store.put("config", "main", deployment::config(1, 100_000_000));
        let servers = (0..servers).map(|_| Server {
            handle: RefCell::default(),
            name: RefCell::default(),
        });
        let mut fleet = Self {
            servers: servers.collect(),
            gateways: Vec::new(),
            arrivals: RefCell::default(),
            crashes: RefCell::default(),
            next_id: Cell::new(0),
            store,
        };
        for number in 0..fleet.servers.len() {
            fleet.start_server(number);
        }
        let mut seeds: Vec<SocketAddr> = Vec::new();
        for number in 0..gateways {
            let settings = Settings {
                vm: format!("vm-{number}").as_str().into(),
                seed_addresses: seeds.clone(),
                ..settings(&fleet.store)
            };
            let gateway = Gateway::spawn(settings, log::Output::Off).unwrap();
            seeds.push(gateway.peer_address());
            fleet.gateways.push(gateway);
        }
        for gateway in &fleet.gateways {
            let address = gateway.readiness_address();
            let ready = async || {
                let request = http::Request::get("/").body(bytes::Bytes::new()).unwrap();
                let response = fetch(address, request).await.ok()?;
                (response.status() == 200).then_some(())
            };
            wait::poll(LIMIT, "readiness", ready).await.unwrap();
        }
        Rc::new(fleet)
    }

    /// Starts a server and replaces its entry in the store.
    fn start_server(&self, number: usize) {
        let server = &self.servers[number];
        let handle = backend::spawn().unwrap();
        handle.set_fatal_part(Some(FATAL_PART));
        self.store.remove("servers", &server.name.borrow());
        let name = format!("i-{number}-{}", handle.address().port());
        let entry = deployment::entry(handle.address(), "a", "ready");
        self.store.put("servers", &name, entry);
        server.name.replace(name);
        server.handle.replace(Some(handle));
    }

    /// Calls a function with the handle of a server that runs.
    pub fn with_server<T>(&self, number: usize, call: impl FnOnce(&backend::Handle) -> T) -> T {
        call(self.servers[number].handle.borrow().as_ref().unwrap())
    }

    /// Ends the servers that have crashed and starts them again.
    pub async fn run_servers(self: Rc<Self>) {
        loop {
            for number in 0..self.servers.len() {
                let handle = &self.servers[number].handle;
                if handle
                    .borrow()
                    .as_ref()
                    .is_some_and(backend::Handle::has_crashed)
                {
                    self.crash(number);
                }
            }
            monoio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    fn crash(self: &Rc<Self>, number: usize) {
        self.collect_arrivals(number);
        self.servers[number].handle.take();
        self.crashes.borrow_mut().push(Instant::now());
        let fleet = Rc::clone(self);
        monoio::spawn(async move {
            monoio::time::sleep(RETURN_DELAY).await;
            fleet.start_server(number);
        });
    }

    fn collect_arrivals(&self, number: usize) {
        if let Some(handle) = &*self.servers[number].handle.borrow() {
            let runs = handle.take_runs();
            let fatal = runs.iter().filter(|run| run.shares_part(FATAL_PART));
            self.arrivals.borrow_mut().extend(fatal.map(|run| run.at));
        }
    }

    /// Returns the requests with the fatal part that reached servers later than the time in which
    /// gateways must be consistent after the fifth crash.
    pub fn late_arrivals(&self) -> usize {
        for number in 0..self.servers.len() {
            self.collect_arrivals(number);
        }
        let crashes = self.crashes.borrow();
        let Some(fifth) = crashes.get(COUNTED_CRASHES - 1) else {
            return 0;
        };
        let end = *fifth + Duration::from_millis(bounds::CONTACT_MS);
        let arrivals = self.arrivals.borrow();
        arrivals.iter().filter(|at| **at > end).count()
    }

    /// Sends one request to a random gateway; returns whether a complete response arrived.
    async fn send(&self, parts: &[u64]) -> bool {
        let number = self.next_id.get();
        self.next_id.set(number + 1);
        let mut prompt_parts = parts.to_vec();
        prompt_parts.push(1 << 32 | number);
        let request = client::Request {
            id: format!("r-{number}"),
            kind: Kind::Stream,
            account: 0,
            prompt_tokens: 40,
            prompt_parts,
            version: 1,
        };
        let gateway = &self.gateways[fastrand::usize(..self.gateways.len())];
        let exchange = client::send(gateway.client_address(), &mut None, &request).await;
        assert!(
            !matches!(exchange.outcome, client::Outcome::Wrong(_)),
            "{exchange:?}"
        );
        exchange.outcome == client::Outcome::Status(200)
    }

    /// Sends requests at a steady rate for a time; returns the share with complete responses.
    pub async fn send_for(
        self: &Rc<Self>,
        duration: Duration,
        interval: Duration,
        parts: &[u64],
    ) -> f64 {
        let end = Instant::now() + duration;
        let mut requests = Vec::new();
        while Instant::now() < end {
            let (fleet, parts) = (Rc::clone(self), parts.to_vec());
            requests.push(monoio::spawn(async move { fleet.send(&parts).await }));
            monoio::time::sleep(interval).await;
        }
        let count = requests.len();
        let mut served = 0;
        for request in requests {
            served += usize::from(request.await);
        }
        served as f64 / count as f64
    }
}
