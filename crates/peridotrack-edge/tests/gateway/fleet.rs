//! Gateways and backend servers that share a store, all on the event loop of the test.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use peridotrack_edge::gateway::Gateway;
use peridotrack_kernel::{event, log};
use peridotrack_standin::{
    harness::{http::fetch, router::fresh_loopback_ip, wait},
    hosted::{
        backend, client,
        deployment::{self, Kind, bounds},
        store,
    },
};
use peridotrack_types::{
    gateway::Settings,
    problem::{Problem, Ran},
};
use serde_json::Value;

use crate::fixture::{LIMIT, settings};

/// Part under which servers crash.
pub const FATAL_PART: u64 = 0xbad;
/// Prepaid tokens of each client account, more than a test consumes.
pub const PREPAID_TOKENS: u64 = 100_000_000;
/// Time after which the entry of a server that has crashed disappears from the store.
const ENTRY_LIFETIME: Duration = Duration::from_secs(3);
/// Times after which servers that crash one after another start again at their address.
const RETURN_DELAYS: [Duration; 3] = [
    Duration::from_secs(1),
    Duration::from_secs(2),
    Duration::from_secs(3),
];
/// Port of the servers that keep their address; each has a loopback address of its own.
const SERVER_PORT: u16 = 8666;

/// What servers crash under.
pub enum Fatal {
    /// A prompt part; they crash after the head of the response.
    Part(u64),
    /// A whole request; they crash before the head of the response.
    Request(backend::Content),
    Nothing,
}

/// How a server that has crashed starts again.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Return {
    NewAddress,
    NewName,
    SameName,
}

/// Parameters of a fleet.
pub struct Options {
    pub gateways: usize,
    pub servers: usize,
    pub config: Value,
    pub fatal: Fatal,
    pub returns: Return,
    /// Time that requests run before the head of the response.
    pub run_time: Duration,
}

/// A backend server through all its incarnations.
#[derive(Default)]
struct Server {
    handle: RefCell<Option<backend::Handle>>,
    name: RefCell<String>,
    /// Address that it keeps; it has a new one at each start if there is none.
    address: Option<SocketAddr>,
    starts: Cell<u64>,
}

/// Gateways and backend servers that share a store.
pub struct Fleet {
    store: store::Handle,
    gateways: Vec<Gateway>,
    servers: Vec<Server>,
    fatal: Fatal,
    returns: Return,
    run_time: Duration,
    /// When fatal requests reached servers that have crashed.
    arrivals: RefCell<Vec<Instant>>,
    /// Requests that ran at servers that have crashed.
    runs: RefCell<BTreeSet<String>>,
    pub crashes: RefCell<Vec<Instant>>,
    next_id: Cell<u64>,
}

/// What a client received for a request.
#[derive(Debug)]
pub struct Answer {
    pub id: String,
    pub sent: Instant,
    pub elapsed: Duration,
    /// Status and body of a complete response.
    pub response: Option<(u16, Bytes)>,
}

impl Answer {
    /// Returns the status of the response, 0 if none arrived.
    pub fn status(&self) -> u16 {
        self.response.as_ref().map_or(0, |(status, _)| *status)
    }

    /// Returns whether it is a refusal that states that the request did not run.
    pub fn is_refusal(&self) -> bool {
        let problem = |body: &Bytes| serde_json::from_slice::<Problem>(body).ok();
        self.response.as_ref().is_some_and(|(status, body)| {
            *status == 503 && problem(body).is_some_and(|problem| problem.ran == Ran::No)
        })
    }
}

impl Fleet {
    /// Starts a fleet whose servers are model engines that crash under [`FATAL_PART`].
    pub async fn spawn(gateways: usize, servers: usize) -> Rc<Self> {
        let options = Options {
            gateways,
            servers,
            config: deployment::config(1, PREPAID_TOKENS),
            fatal: Fatal::Part(FATAL_PART),
            returns: Return::NewAddress,
            run_time: Duration::ZERO,
        };
        Self::spawn_with(options).await
    }

    /// Starts the fleet and waits until each gateway is ready.
    pub async fn spawn_with(options: Options) -> Rc<Self> {
        let store = store::spawn().unwrap();
        store.put("config", "main", options.config);
        let server = |_| Server {
            address: (options.returns != Return::NewAddress)
                .then(|| SocketAddr::new(fresh_loopback_ip(), SERVER_PORT)),
            ..Server::default()
        };
        let mut fleet = Self {
            servers: (0..options.servers).map(server).collect(),
            gateways: Vec::new(),
            fatal: options.fatal,
            returns: options.returns,
            run_time: options.run_time,
            arrivals: RefCell::default(),
            runs: RefCell::default(),
            crashes: RefCell::default(),
            next_id: Cell::new(0),
            store,
        };
        for number in 0..fleet.servers.len() {
            fleet.start_server(number);
        }
        let mut seeds: Vec<SocketAddr> = Vec::new();
        for number in 0..options.gateways {
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
                let request = http::Request::get("/").body(Bytes::new()).unwrap();
                let response = fetch(address, request).await.ok()?;
                (response.status() == 200).then_some(())
            };
            wait::poll(LIMIT, "readiness", ready).await.unwrap();
        }
        Rc::new(fleet)
    }

    /// Starts a server and writes its entry.
    fn start_server(&self, number: usize) {
        let server = &self.servers[number];
        let handle = match server.address {
            Some(address) => backend::spawn_at(address).unwrap(),
            None => backend::spawn().unwrap(),
        };
        match &self.fatal {
            Fatal::Part(part) => handle.set_fatal_part(Some(*part)),
            Fatal::Request(content) => handle.set_fatal_request(Some(content.clone())),
            Fatal::Nothing => {}
        }
        handle.set_response_delay(self.run_time);
        let starts = match self.returns {
            Return::SameName => 0,
            Return::NewAddress | Return::NewName => server.starts.replace(server.starts.get() + 1),
        };
        let name = format!("i-{number}-{starts}");
        handle.set_name(Some(&name));
        let born_ms = deployment::wall_ms();
        let entry = deployment::entry_since(handle.address(), "a", "ready", born_ms);
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

    /// Ends a server, whose connections break, and starts it again some time later.
    pub fn crash(self: &Rc<Self>, number: usize) {
        self.collect(number);
        let server = &self.servers[number];
        server.handle.take();
        let delay = match self.returns {
            Return::NewAddress => ENTRY_LIFETIME,
            Return::NewName | Return::SameName => {
                RETURN_DELAYS[self.crashes.borrow().len() % RETURN_DELAYS.len()]
            }
        };
        self.crashes.borrow_mut().push(Instant::now());
        let (fleet, name) = (Rc::clone(self), server.name.borrow().clone());
        monoio::spawn(async move {
            monoio::time::sleep(delay).await;
            fleet.start_server(number);
            monoio::time::sleep(ENTRY_LIFETIME - delay).await;
            if *fleet.servers[number].name.borrow() != name {
                fleet.store.remove("servers", &name);
            }
        });
    }

    fn collect(&self, number: usize) {
        if let Some(handle) = &*self.servers[number].handle.borrow() {
            let arrivals = handle.take_fatal_arrivals();
            self.arrivals.borrow_mut().extend(arrivals);
            let runs = handle.take_runs();
            let ids = runs.iter().map(|run| run.request_id().to_owned());
            self.runs.borrow_mut().extend(ids);
        }
    }

    /// Returns the number of fatal requests that reached servers later than the time in which
    /// gateways must be consistent after so many crashes.
    pub fn late_arrivals(&self, counted_crashes: usize) -> usize {
        for number in 0..self.servers.len() {
            self.collect(number);
        }
        let crashes = self.crashes.borrow();
        let Some(last_counted) = crashes.get(counted_crashes - 1) else {
            return 0;
        };
        let end = *last_counted + Duration::from_millis(bounds::CONTACT_MS);
        let arrivals = self.arrivals.borrow();
        arrivals.iter().filter(|at| **at > end).count()
    }

    /// Returns whether a gateway was granted the recheck of a block and sent one of its requests.
    pub fn has_rechecked(&self) -> bool {
        let name = event::Kind::SignatureRechecked.name();
        let mut timelines = self
            .gateways
            .iter()
            .map(|gateway| gateway.kernel().timeline());
        timelines.any(|timeline| timeline.after(0).iter().any(|event| &*event.name == name))
    }

    /// Returns whether a server ran the request.
    pub fn has_run(&self, id: &str) -> bool {
        for number in 0..self.servers.len() {
            self.collect(number);
        }
        self.runs.borrow().contains(id)
    }

    /// Sends a request to a random gateway.
    pub async fn request(&self, content: &backend::Content, parts: &[u64]) -> Answer {
        let number = self.next_id.get();
        self.next_id.set(number + 1);
        let id = format!("r-{number}");
        let mut accounts = deployment::ACCOUNTS.iter();
        let account = accounts.find(|(name, _)| *name == content.account);
        let mut request = http::Request::builder()
            .method(content.method.clone())
            .uri(&*content.target)
            .header("host", "a.example")
            .header("peridotrack-request-id", &id)
            .header("peridotrack-deadline-ms", "2000")
            .header("peridotrack-credential", account.unwrap().1);
        if !parts.is_empty() {
            let parts: Vec<_> = parts.iter().map(|part| format!("{part:x}:20")).collect();
            request = request.header("peridotrack-prompt-prefix", parts.join(","));
        }
        let gateway = &self.gateways[fastrand::usize(..self.gateways.len())];
        let request = request.body(content.body.clone()).unwrap();
        let sent = Instant::now();
        let response = fetch(gateway.client_address(), request).await.ok();
        Answer {
            id,
            sent,
            elapsed: sent.elapsed(),
            response: response.map(|response| (response.status().as_u16(), response.into_body())),
        }
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
            event_interval_ms: None,
            repeated: None,
            resumed: None,
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
