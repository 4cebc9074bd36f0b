//! Backend servers of two software versions in one service: a stream goes on only at the version that
//! began it, within one response and over a client's attempts.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use peridotrack_edge::gateway::Gateway;
use peridotrack_http::client;
use peridotrack_kernel::log;
use peridotrack_standin::{
    harness::{
        http::{block_on, fetch},
        wait,
    },
    hosted::{
        backend::{self, Mode},
        store,
    },
};
use peridotrack_types::{
    gateway::Settings,
    problem::{Problem, Ran},
};
use rstest::rstest;
use serde_json::json;

use crate::fixture::{self, LIMIT, request, settings};

/// Streams of one test.
const STREAMS: usize = 60;
/// Number of first parts, which requests are placed by.
const PARTS: usize = 31;
/// Time between the starts of two streams.
const INTERVAL: Duration = Duration::from_millis(10);
/// Path of a route whose streams may be resumed.
const PATH: &str = "/stream/resumable/x";

/// Gateways in front of backend servers of several versions.
struct Fleet {
    store: store::Handle,
    gateways: RefCell<Vec<Gateway>>,
    /// Servers with their versions.
    servers: Vec<(backend::Handle, &'static str)>,
    next_id: Cell<usize>,
}

impl Fleet {
    async fn spawn(gateways: usize, versions: &[&'static str]) -> Rc<Self> {
        let store = store::spawn().unwrap();
        store.put("config", "main", fixture::config(4, 100_000_000));
        let servers: Vec<_> = versions
            .iter()
            .map(|version| (backend::spawn().unwrap(), *version))
            .collect();
        let fleet = Rc::new(Self {
            store,
            gateways: RefCell::default(),
            servers,
            next_id: Cell::new(0),
        });
        for number in 0..versions.len() {
            fleet.register(number);
        }
        fleet.start_gateways(gateways).await;
        fleet
    }

    fn register(&self, number: usize) {
        let (server, version) = &self.servers[number];
        server.set_event_interval(INTERVAL);
        let mut entry = fixture::entry(server);
        entry["version"] = json!(version);
        self.store.put("servers", &format!("i-{number}"), entry);
    }

    /// Starts gateways in two failure domains, and ends those that run.
    async fn start_gateways(&self, count: usize) {
        self.gateways.take();
        let mut seeds: Vec<SocketAddr> = Vec::new();
        for number in 0..count {
            let domain = if number.is_multiple_of(2) { "a" } else { "b" };
            let regions = ["a", "b"].map(|domain| (domain.into(), "r".to_owned()));
            let settings = Settings {
                vm: format!("vm-{number}").as_str().into(),
                failure_domain: domain.into(),
                regions: regions.into_iter().collect(),
                seed_addresses: seeds.clone(),
                ..settings(&self.store)
            };
            let gateway = Gateway::spawn(settings, log::Output::Off).unwrap();
            seeds.push(gateway.peer_address());
            self.gateways.borrow_mut().push(gateway);
        }
        for number in 0..count {
            let address = self.gateways.borrow()[number].readiness_address();
            let ready = async || {
                let request = http::Request::get("/").body(Bytes::new()).unwrap();
                let response = fetch(address, request).await.ok()?;
                (response.status() == 200).then_some(())
            };
            wait::poll(LIMIT, "readiness", ready).await.unwrap();
        }
        // The routers learn of each other by heartbeats.
        monoio::time::sleep(Duration::from_secs(1)).await;
    }

    fn address(&self, gateway: usize) -> SocketAddr {
        let gateways = self.gateways.borrow();
        gateways[gateway % gateways.len()].client_address()
    }

    /// Returns a request with an identifier of its own, and the identifier.
    fn request(&self, headers: &[(&str, &str)]) -> (String, http::Request<Bytes>) {
        let number = self.next_id.get();
        self.next_id.set(number + 1);
        let id = format!("r-{number}");
        let parts = format!("{:x}:10,{:x}:10", number % PARTS, number + 1_000);
        let mut request = request(PATH, headers);
        let fields = request.headers_mut();
        fields.insert("peridotrack-request-id", id.parse().unwrap());
        fields.insert("peridotrack-prompt-prefix", parts.parse().unwrap());
        (id, request)
    }

    /// Begins a stream at a gateway and disconnects after its second event; returns its identifier.
    async fn begin(&self, gateway: usize) -> Option<String> {
        let (id, request) = self.request(&[]);
        let options = client::Options::default();
        let connection = client::Connection::connect(self.address(gateway), options).await;
        let mut connection = connection.ok()?;
        let head = connection.send(request).await.ok()?;
        let mut text = Vec::new();
        while head.status == 200 && !text.windows(5).any(|bytes| bytes == b"id: 1") {
            text.extend(connection.next_chunk().await.ok()??);
        }
        (head.status == 200).then_some(id)
    }

    /// Takes up a stream after its second event; returns the status of the complete response.
    async fn take_up(&self, gateway: usize, first_attempt: &str) -> http::Response<Bytes> {
        let headers = [("last-event-id", "1"), ("resumes", first_attempt)];
        let (_, request) = self.request(&headers);
        let response = fetch(self.address(gateway), request).await;
        response.unwrap_or_else(|_| http::Response::new(Bytes::new()))
    }

    /// Returns the versions that ran each stream, by the identifier of its first attempt.
    fn versions(&self) -> BTreeMap<String, BTreeSet<&'static str>> {
        let mut versions: BTreeMap<String, BTreeSet<&'static str>> = BTreeMap::new();
        for (server, version) in &self.servers {
            for run in server.runs() {
                let first = run.headers.get("resumes");
                let id = match run.headers.contains_key("last-event-id") {
                    true => first.map_or(run.request_id(), |id| id.to_str().unwrap()),
                    false => run.request_id(),
                };
                versions.entry(id.to_owned()).or_default().insert(version);
            }
        }
        versions
    }

    fn assert_not_joined(&self) {
        let versions = self.versions();
        let joined: Vec<_> = versions.iter().filter(|(_, set)| set.len() > 1).collect();
        let count = joined.len();
        assert_eq!(count, 0, "of {} streams: {joined:?}", versions.len());
    }
}

/// Guards against a router that continues a stream at any server of the service.
#[test]
fn a_stream_goes_on_at_another_version_within_one_response() {
    block_on(async {
        let fleet = Fleet::spawn(1, &["v1", "v1", "v2"]).await;
        fleet.servers[0].0.set_mode(Mode::CutStream);
        let mut streams = Vec::new();
        for _ in 0..STREAMS {
            let (_, request) = fleet.request(&[]);
            let address = fleet.address(0);
            streams.push(monoio::spawn(async move {
                fetch(address, request).await.is_ok()
            }));
            monoio::time::sleep(INTERVAL).await;
        }
        for stream in streams {
            stream.await;
        }
        fleet.assert_not_joined();
        let goes_on = |run: &backend::Run| run.headers.contains_key("last-event-id");
        let runs = fleet.servers[..2]
            .iter()
            .flat_map(|(server, _)| server.runs());
        let goes_on = runs.filter(goes_on).count();
        assert!(goes_on > 0, "streams go on at a server of their version");
    });
}

/// Guards against a router that places a take-up like a new stream.
#[test]
fn a_client_takes_a_stream_up_at_another_version() {
    block_on(async {
        let fleet = Fleet::spawn(6, &["v1", "v1", "v2", "v2"]).await;
        let mut taken_up = 0;
        for number in 0..STREAMS {
            let first = fleet.begin(number).await.expect("a stream begins");
            let response = fleet.take_up(number + 1 + number % 5, &first).await;
            taken_up += usize::from(response.status() == 200);
            // The record outlives the first take-up.
            if number.is_multiple_of(4) {
                fleet.take_up(number + 2, &first).await;
            }
        }
        fleet.assert_not_joined();
        let share = taken_up as f64 / STREAMS as f64;
        assert!(share >= 0.95, "{share} of the take-ups go on");
    });
}

/// Guards against a router that continues a stream of which it knows nothing, as after a restart.
#[test]
fn a_stream_goes_on_at_another_version_after_all_routers_were_restarted() {
    block_on(async {
        let fleet = Fleet::spawn(3, &["v1", "v1", "v2"]).await;
        let mut begun = Vec::new();
        for number in 0..STREAMS {
            begun.extend(fleet.begin(number).await);
        }
        fleet.start_gateways(3).await;
        for (number, first) in begun.iter().enumerate() {
            let response = fleet.take_up(number, first).await;
            assert!([200, 503].contains(&response.status().as_u16()));
        }
        fleet.assert_not_joined();
    });
}

/// Guards against the loss of all records with most routers.
#[test]
fn a_take_up_is_refused_because_the_routers_that_knew_the_stream_were_lost() {
    block_on(async {
        let fleet = Fleet::spawn(6, &["v1", "v1", "v2", "v2"]).await;
        let mut begun = Vec::new();
        for number in 0..STREAMS {
            begun.extend(fleet.begin(number).await);
        }
        let lost: Vec<_> = fleet.gateways.borrow_mut().drain(1..).collect();
        let stops = lost
            .into_iter()
            .map(|gateway| monoio::spawn(async move { gateway.stop().await }));
        for stop in stops.collect::<Vec<_>>() {
            stop.await;
        }
        let mut taken_up = 0;
        for first in &begun {
            let response = fleet.take_up(0, first).await;
            taken_up += usize::from(response.status() == 200);
        }
        fleet.assert_not_joined();
        let share = taken_up as f64 / begun.len() as f64;
        assert!(share >= 0.95, "{share} of the take-ups go on");
    });
}

/// What cannot be shown to go on at the version that began it is refused, truly.
#[rstest]
#[case::without_a_name(&[("last-event-id", "1")])]
#[case::of_no_stream(&[("last-event-id", "1"), ("resumes", "r-x")])]
#[case::given_twice(&[("last-event-id", "1"), ("resumes", "r-0"), ("resumes", "r-0")])]
#[case::without_a_number(&[("last-event-id", "one"), ("resumes", "r-0")])]
#[case::of_another_account(&[("last-event-id", "1"), ("resumes", "r-0"), ("peridotrack-credential", "key-2")])]
fn a_take_up_of_an_unknown_stream_is_run(#[case] headers: &[(&str, &str)]) {
    block_on(async {
        let fleet = Fleet::spawn(1, &["v1"]).await;
        let mut config = fixture::config(5, 1_000_000);
        let second = json!({"name": "t-2", "apiKeys": ["key-2"], "prepaid": 1_000_000});
        config["tenants"].as_array_mut().unwrap().push(second);
        fleet.store.put("config", "main", config);
        monoio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(fleet.begin(0).await.as_deref(), Some("r-0"));
        let runs = fleet.servers[0].0.runs().len();
        let (_, mut request) = fleet.request(&[]);
        request.headers_mut().remove("peridotrack-credential");
        for (name, value) in headers {
            let name = http::HeaderName::from_bytes(name.as_bytes()).unwrap();
            request.headers_mut().append(name, value.parse().unwrap());
        }
        let fields = request.headers_mut();
        if !fields.contains_key("peridotrack-credential") {
            fields.insert("peridotrack-credential", fixture::KEY.parse().unwrap());
        }
        let response = fetch(fleet.address(0), request).await.unwrap();
        assert_eq!(response.status(), 503);
        let problem: Problem = serde_json::from_slice(response.body()).unwrap();
        assert_eq!(problem.ran, Ran::No);
        assert_eq!(fleet.servers[0].0.runs().len(), runs);
    });
}

/// Guards against waiting for a version that no server has any more.
#[test]
fn a_take_up_goes_on_or_waits_although_its_version_has_left() {
    block_on(async {
        let fleet = Fleet::spawn(1, &["v1"]).await;
        let first = fleet.begin(0).await.expect("a stream begins");
        let fleet = Rc::new(Fleet {
            servers: vec![(backend::spawn().unwrap(), "v2")],
            ..Rc::into_inner(fleet).unwrap()
        });
        fleet.store.remove("servers", "i-0");
        let mut entry = fixture::entry(&fleet.servers[0].0);
        entry["version"] = json!("v2");
        fleet.store.put("servers", "i-9", entry);
        monoio::time::sleep(Duration::from_secs(1)).await;
        let started = std::time::Instant::now();
        let response = fleet.take_up(0, &first).await;
        assert_eq!(response.status(), 503);
        assert!(!response.headers().contains_key("retry-after"));
        assert!(started.elapsed() < Duration::from_millis(100));
        assert_eq!(fleet.servers[0].0.runs().len(), 0);
        assert!(fleet.begin(0).await.is_some(), "new streams are served");
    });
}
