//! A fleet of routers in simulated time, with servers that are replaced by other versions while
//! clients take up streams that broke off.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
};

use peridotrack_origin::{
    home::Routers,
    key::{self, Key},
    message::Message,
    origins::{Action, Event, Knowledge, Options, Origins},
    record::Record,
};
use peridotrack_route::{
    event::{self as route_event, Continuation, Offer, Outcome},
    options, router,
};
use peridotrack_types::{id, name, register, rules, stream};

pub const MS_US: u64 = 1_000;
pub const SECOND_US: u64 = 1_000_000;
const SERVERS: usize = 8;
const SLOTS: u32 = 64;
/// Duration of a run.
const END_US: u64 = 40 * SECOND_US;
/// Mean time between two streams of the fleet.
const ARRIVAL_US: u64 = 15 * MS_US;
const EVENT_US: u64 = 50 * MS_US;
/// Events of a complete stream.
const EVENTS: u64 = 30;
const TICK_US: u64 = 50 * MS_US;
/// Attempts of a client for one stream.
const ATTEMPTS: u32 = 4;
/// Time after a disturbance in which a router does not count as in touch.
const CONTACT_US: u64 = 3 * SECOND_US;
const SERVICE: &str = "lm";

/// Disturbances of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// All routers are killed twice, and return.
    KillAll,
    /// Routers of one failure domain and the others do not reach each other.
    Cut,
    /// Routers see changes of the directory up to 3 s late.
    SlowStore,
    /// Servers start again under their name as another version.
    SameName,
    All,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Tick(usize),
    /// A client begins a stream, or takes it up.
    Attempt {
        stream: usize,
    },
    Dispatched {
        router: usize,
        incarnation: u64,
        request: u64,
        server: String,
    },
    /// A server writes the next event of an attempt.
    Write {
        router: usize,
        incarnation: u64,
        request: u64,
        server: usize,
        start: u64,
    },
    Deliver {
        to: usize,
        incarnation: u64,
        from: usize,
        from_incarnation: u64,
        message: usize,
    },
    Timeout {
        router: usize,
        incarnation: u64,
    },
    View {
        router: usize,
    },
    Ended {
        router: usize,
        server: String,
        started_ms: Option<u64>,
    },
    Crash(usize),
    Start {
        server: usize,
        version: u64,
        keeps_name: bool,
    },
    Leave(usize),
    Kill(usize),
    Return(usize),
}

/// The process of a backend server.
#[derive(Debug, Clone)]
struct Server {
    name: String,
    version: u64,
    start: u64,
    is_up: bool,
    /// Whether its entry is in the directory.
    is_listed: bool,
}

struct Stream {
    key: Key,
    /// Request of the last attempt.
    attempts: u32,
    events: u64,
    versions: BTreeSet<u64>,
    is_done: bool,
}

/// An attempt that a router handles.
struct Attempt {
    stream: usize,
    is_take_up: bool,
    is_counted: bool,
    events_seen: u64,
}

struct Node {
    incarnation: u64,
    is_up: bool,
    since_us: u64,
    route: router::Router,
    origins: Origins,
    /// Starts of the servers' processes, as the router's directory has them.
    starts: BTreeMap<String, u64>,
    attempts: BTreeMap<u64, Attempt>,
    /// Attempts that wait for a lookup, by the number of the query.
    lookups: BTreeMap<u64, u64>,
}

/// Counts of a run.
#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
    pub joined: usize,
    pub take_ups: usize,
    pub take_ups_served: usize,
    pub new: usize,
    pub new_served: usize,
    /// Messages about streams.
    pub messages: usize,
}

pub struct Fleet {
    fault: Fault,
    rng: fastrand::Rng,
    now_us: u64,
    steps: BinaryHeap<Reverse<(u64, u64, Step)>>,
    number: u64,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    streams: Vec<Stream>,
    messages: Vec<Message>,
    cut_until_us: u64,
    slow_until_us: u64,
    next_request: u64,
    pub counts: Counts,
}

impl Fleet {
    pub fn new(routers: usize, fault: Fault, seed: u64) -> Self {
        let mut fleet = Self {
            fault,
            rng: fastrand::Rng::with_seed(seed),
            now_us: 0,
            steps: BinaryHeap::new(),
            number: 0,
            nodes: Vec::new(),
            servers: (0..SERVERS).map(|number| server(number, 1, 1)).collect(),
            streams: Vec::new(),
            messages: Vec::new(),
            cut_until_us: 0,
            slow_until_us: 0,
            next_request: 1,
            counts: Counts::default(),
        };
        for number in 0..routers {
            let node = fleet.node(number, 1);
            fleet.nodes.push(node);
            fleet.schedule(number as u64 * 100, Step::Tick(number));
        }
        fleet.schedule(0, Step::Attempt { stream: usize::MAX });
        fleet.plan();
        fleet
    }

    fn has(&self, fault: Fault) -> bool {
        self.fault == fault || self.fault == Fault::All
    }

    /// Plans releases, which replace servers one after the other, crashes and disturbances.
    fn plan(&mut self) {
        for (release, begin_s) in [4, 16, 28].into_iter().enumerate() {
            for server in 0..SERVERS {
                let at_us = begin_s * SECOND_US + server as u64 * 900 * MS_US;
                let version = release as u64 + 2;
                self.schedule(at_us, Step::Leave(server));
                self.schedule(
                    at_us + 500 * MS_US,
                    Step::Start {
                        server,
                        version,
                        keeps_name: false,
                    },
                );
            }
        }
        for _ in 0..30 {
            let at_us = self.rng.u64(2 * SECOND_US..END_US);
            let server = self.rng.usize(..SERVERS);
            self.schedule(at_us, Step::Crash(server));
        }
        if self.has(Fault::KillAll) {
            for at_s in [9, 30] {
                for router in 0..self.nodes.len() {
                    self.schedule(at_s * SECOND_US, Step::Kill(router));
                }
            }
        }
        for router in 0..self.nodes.len() / 3 {
            let at_us = self.rng.u64(10 * SECOND_US..END_US);
            self.schedule(at_us, Step::Kill(router));
        }
    }

    fn node(&self, number: usize, incarnation: u64) -> Node {
        let options = options::Options {
            retry_ratio: 0.5,
            min_retries: 20.0,
            ..Default::default()
        };
        let domain = domain(number);
        let seed = incarnation << 16 | number as u64;
        let mut route = router::Router::new(options, domain, seed, self.now_us);
        route.configure(self.now_us, &self.register(), &rules());
        let mut origins = Origins::new(vm(number), Options::default());
        origins.on_event(self.now_us, Event::Routers(self.routers()));
        Node {
            incarnation,
            is_up: true,
            since_us: self.now_us,
            route,
            origins,
            starts: self.starts(),
            attempts: BTreeMap::new(),
            lookups: BTreeMap::new(),
        }
    }

    /// Returns all routers as the members that are heard of: a killed one is missed 3 s later.
    fn routers(&self) -> Routers {
        let mut routers = Routers::new();
        let count = self.nodes.len().max(1);
        for number in 0..count {
            let is_heard = self
                .nodes
                .get(number)
                .is_none_or(|node| node.is_up || self.now_us < node.since_us + CONTACT_US);
            if is_heard {
                routers
                    .entry(domain(number))
                    .or_default()
                    .insert(vm(number));
            }
        }
        routers
    }

    fn register(&self) -> register::Register {
        let listed = self.servers.iter().filter(|server| server.is_listed);
        register::Register {
            failure_domains: (0..4)
                .map(|number| register::FailureDomain {
                    name: domain(number),
                    region: "r".to_owned(),
                })
                .collect(),
            engines: listed
                .map(|server| register::Engine {
                    name: server.name.as_str().into(),
                    failure_domain: domain(0),
                    address: ([127, 0, 0, 1], 8000).into(),
                    models: vec![SERVICE.into()],
                    slots: SLOTS,
                    fencing: register::Fencing::Ignored,
                    lifetime: register::Lifetime {
                        started_ms: Some(server.start),
                        software_version: Some(version(server.version)),
                    },
                })
                .collect(),
            ..Default::default()
        }
    }

    fn starts(&self) -> BTreeMap<String, u64> {
        let listed = self.servers.iter().filter(|server| server.is_listed);
        listed
            .map(|server| (server.name.clone(), server.start))
            .collect()
    }

    fn schedule(&mut self, at_us: u64, step: Step) {
        self.number += 1;
        self.steps.push(Reverse((at_us, self.number, step)));
    }

    pub fn run(&mut self) {
        while let Some(Reverse((at_us, _, step))) = self.steps.pop() {
            if at_us > END_US {
                break;
            }
            self.now_us = at_us;
            self.step(step);
        }
        let joined = |stream: &&Stream| stream.versions.len() > 1;
        self.counts.joined = self.streams.iter().filter(joined).count();
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Tick(router) => {
                self.schedule(self.now_us + TICK_US, Step::Tick(router));
                if self.nodes[router].is_up {
                    let routers = self.routers();
                    self.origin_event(router, Event::Routers(routers));
                    self.origin_event(router, Event::Tick);
                    self.route_event(router, route_event::Event::Tick);
                }
                if router == 0 {
                    self.disturb();
                }
            }
            Step::Attempt { stream } => self.attempt(stream),
            Step::Dispatched {
                router,
                incarnation,
                request,
                server,
            } => {
                if self.nodes[router].incarnation == incarnation && self.nodes[router].is_up {
                    self.send(router, request, &server);
                }
            }
            Step::Write {
                router,
                incarnation,
                request,
                server,
                start,
            } => {
                if self.nodes[router].incarnation == incarnation && self.nodes[router].is_up {
                    self.write(router, request, server, start);
                }
            }
            Step::Deliver {
                to,
                incarnation,
                from,
                from_incarnation,
                message,
            } => {
                let node = &self.nodes[to];
                if node.is_up && node.incarnation == incarnation && !self.is_cut(from, to) {
                    let message = self.messages[message].clone();
                    let from = sender(from, from_incarnation);
                    self.origin_event(to, Event::Heard { from, message });
                }
            }
            Step::Timeout {
                router,
                incarnation,
            } => {
                if self.nodes[router].is_up && self.nodes[router].incarnation == incarnation {
                    self.origin_event(router, Event::Tick);
                }
            }
            Step::View { router } => self.view(router),
            Step::Ended {
                router,
                server,
                started_ms,
            } => {
                if self.nodes[router].is_up {
                    let backend = server.as_str().into();
                    self.route_event(
                        router,
                        route_event::Event::Ended {
                            backend,
                            started_ms,
                        },
                    );
                }
            }
            Step::Crash(server) => self.crash(server),
            Step::Start {
                server,
                version,
                keeps_name,
            } => self.start(server, version, keeps_name),
            Step::Leave(server) => {
                // It is gone at once: its streams break off.
                self.servers[server].is_up = false;
                self.servers[server].is_listed = false;
                self.change_directory();
            }
            Step::Kill(router) => self.kill(router),
            Step::Return(router) => {
                let incarnation = self.nodes[router].incarnation + 1;
                self.nodes[router] = self.node(router, incarnation);
            }
        }
    }

    /// Begins cuts and spans in which the store is slow.
    fn disturb(&mut self) {
        if self.has(Fault::Cut) && self.rng.u32(..200) == 0 {
            self.cut_until_us = self.now_us + 4 * SECOND_US;
        }
        if self.has(Fault::SlowStore) && self.rng.u32(..150) == 0 {
            self.slow_until_us = self.now_us + 6 * SECOND_US;
        }
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.now_us < self.cut_until_us && a.is_multiple_of(4) != b.is_multiple_of(4)
    }

    fn change_directory(&mut self) {
        for router in 0..self.nodes.len() {
            let late_us = match self.now_us < self.slow_until_us {
                true => self.rng.u64(..3 * SECOND_US),
                false => self.rng.u64(MS_US..20 * MS_US),
            };
            self.schedule(self.now_us + late_us, Step::View { router });
        }
    }

    fn view(&mut self, router: usize) {
        if !self.nodes[router].is_up {
            return;
        }
        self.nodes[router].starts = self.starts();
        let register = self.register();
        for engine in &register.engines {
            let software_version = engine.lifetime.software_version.clone().unwrap();
            let backend_server = engine.name.clone();
            let version = Event::Version {
                backend_server,
                software_version,
            };
            self.origin_event(router, version);
        }
        let actions = self.nodes[router]
            .route
            .configure(self.now_us, &register, &rules());
        self.run_route(router, actions);
    }

    fn crash(&mut self, number: usize) {
        let server = &mut self.servers[number];
        if !server.is_up {
            return;
        }
        server.is_up = false;
        let keeps_name = self.has(Fault::SameName);
        let at_us = self.now_us + self.rng.u64(300 * MS_US..2 * SECOND_US);
        let newest = self
            .servers
            .iter()
            .map(|server| server.version)
            .max()
            .unwrap();
        let start = Step::Start {
            server: number,
            version: newest,
            keeps_name,
        };
        self.schedule(at_us, start);
        if !keeps_name {
            self.servers[number].is_listed = false;
            self.change_directory();
        }
    }

    fn start(&mut self, number: usize, version: u64, keeps_name: bool) {
        if keeps_name && self.servers[number].is_up {
            // A release has replaced it meanwhile.
            return;
        }
        let start = self.servers[number].start + 1;
        let name = self.servers[number].name.clone();
        self.servers[number] = server(number, version, start);
        if keeps_name {
            self.servers[number].name = name;
        }
        self.change_directory();
    }

    fn kill(&mut self, router: usize) {
        if !self.nodes[router].is_up {
            return;
        }
        self.nodes[router].is_up = false;
        self.nodes[router].since_us = self.now_us;
        for attempt in std::mem::take(&mut self.nodes[router].attempts).into_values() {
            self.retry(attempt.stream);
        }
        let at_us = self.now_us + self.rng.u64(500 * MS_US..2 * SECOND_US);
        self.schedule(at_us, Step::Return(router));
    }

    /// Lets the client take up its stream, or begin it again, some time later.
    fn retry(&mut self, stream: usize) {
        if !self.streams[stream].is_done && self.streams[stream].attempts < ATTEMPTS {
            let at_us = self.now_us + self.rng.u64(20 * MS_US..800 * MS_US);
            self.schedule(at_us, Step::Attempt { stream });
        }
    }

    fn attempt(&mut self, stream: usize) {
        let mut number = stream;
        if stream == usize::MAX {
            let next_us = self.now_us + self.rng.u64(1..2 * ARRIVAL_US);
            self.schedule(next_us, Step::Attempt { stream });
            number = self.streams.len();
            self.streams.push(Stream {
                key: key::of_stream(b"secret", "account", &format!("attempt-{number}")),
                attempts: 0,
                events: 0,
                versions: BTreeSet::new(),
                is_done: false,
            });
        }
        self.streams[number].attempts += 1;
        let up: Vec<usize> = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].is_up)
            .collect();
        if up.is_empty() {
            return self.retry(number);
        }
        let router = up[self.rng.usize(..up.len())];
        let request = self.next_request;
        self.next_request += 1;
        let is_take_up = self.streams[number].events > 0;
        let is_counted = self.is_in_touch(router) && self.has_two_servers(number);
        match (is_counted, is_take_up) {
            (true, true) => self.counts.take_ups += 1,
            (true, false) => self.counts.new += 1,
            (false, _) => {}
        }
        let attempt = Attempt {
            stream: number,
            is_take_up,
            is_counted,
            events_seen: 0,
        };
        self.nodes[router].attempts.insert(request, attempt);
        if is_take_up {
            self.nodes[router].lookups.insert(request, request);
            let key = self.streams[number].key;
            self.origin_event(
                router,
                Event::Wanted {
                    query: request,
                    key,
                },
            );
            let incarnation = self.nodes[router].incarnation;
            let timeout_us = Options::default().timeout_us;
            self.schedule(
                self.now_us + timeout_us,
                Step::Timeout {
                    router,
                    incarnation,
                },
            );
        } else {
            self.offer(router, request, None);
        }
    }

    fn is_in_touch(&self, router: usize) -> bool {
        let is_calm = |until_us: u64| until_us == 0 || self.now_us > until_us + CONTACT_US;
        self.now_us > self.nodes[router].since_us + CONTACT_US
            && is_calm(self.cut_until_us)
            && is_calm(self.slow_until_us)
    }

    /// Returns whether two servers of the version that began a stream run, if it has begun.
    fn has_two_servers(&self, stream: usize) -> bool {
        let up = self.servers.iter().filter(|server| server.is_up);
        let versions = &self.streams[stream].versions;
        versions.is_empty()
            || up
                .filter(|server| versions.contains(&server.version))
                .count()
                >= 2
    }

    fn offer(&mut self, router: usize, request: u64, origin: Option<stream::Origin>) {
        let offer = Offer {
            request_id: id::Request {
                incarnation: id::Incarnation(1),
                sequence: request,
            },
            target: route_event::Target::Model(SERVICE.into()),
            account: "account".into(),
            priority: rules::Priority::Normal,
            prefix_hash: None,
            prompt: None,
            size_tokens: 1,
            deadline_us: self.now_us + 12 * SECOND_US,
            idempotent: true,
            continuation: Continuation::AnyServer,
            max_dispatches: Some(3),
            origin,
        };
        let actions = self.nodes[router].route.offer(self.now_us, offer);
        self.run_route(router, actions);
    }

    fn route_event(&mut self, router: usize, event: route_event::Event) {
        let actions = self.nodes[router].route.on_event(self.now_us, event);
        self.run_route(router, actions);
    }

    fn run_route(&mut self, router: usize, actions: Vec<route_event::Action>) {
        for action in actions {
            match action {
                route_event::Action::Dispatch {
                    request_id,
                    backend,
                    ..
                } => {
                    let step = Step::Dispatched {
                        router,
                        incarnation: self.nodes[router].incarnation,
                        request: request_id.sequence,
                        server: backend.as_str().to_owned(),
                    };
                    self.schedule(self.now_us + MS_US, step);
                }
                route_event::Action::Note(route_event::Note::Ended {
                    backend,
                    started_ms,
                }) => {
                    for to in (0..self.nodes.len()).filter(|to| *to != router) {
                        if !self.is_cut(router, to) {
                            let server = backend.as_str().to_owned();
                            let step = Step::Ended {
                                router: to,
                                server,
                                started_ms,
                            };
                            self.schedule(self.now_us + 2 * MS_US, step);
                        }
                    }
                }
                route_event::Action::Refuse { request_id, .. } => {
                    self.end(router, request_id.sequence);
                }
                _ => {}
            }
        }
    }

    /// Ends an attempt without the end of its stream; the client may try again.
    fn end(&mut self, router: usize, request: u64) {
        if let Some(attempt) = self.nodes[router].attempts.remove(&request) {
            self.retry(attempt.stream);
        }
    }

    fn origin_event(&mut self, router: usize, event: Event) {
        let actions = self.nodes[router].origins.on_event(self.now_us, event);
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    let to: usize = to.as_str().strip_prefix("vm-").unwrap().parse().unwrap();
                    let incarnation = self.nodes[to].incarnation;
                    self.deliver(router, to, incarnation, message);
                }
                Action::Reply { to, message } => {
                    let (to, incarnation) = ((to.0 & 0xffff) as usize, to.0 >> 16);
                    self.deliver(router, to, incarnation, message);
                }
                Action::Resolve { query, knowledge } => self.resolve(router, query, knowledge),
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, incarnation: u64, message: Message) {
        self.counts.messages += 1;
        if self.rng.u32(..100) == 0 {
            return;
        }
        self.messages.push(message);
        let step = Step::Deliver {
            to,
            incarnation,
            from,
            from_incarnation: self.nodes[from].incarnation,
            message: self.messages.len() - 1,
        };
        let delay_us = self.rng.u64(MS_US..4 * MS_US);
        self.schedule(self.now_us + delay_us, step);
    }

    fn resolve(&mut self, router: usize, query: u64, knowledge: Knowledge) {
        let Some(request) = self.nodes[router].lookups.remove(&query) else {
            return;
        };
        match knowledge {
            Knowledge::Known { record, .. } => self.offer(router, request, Some(record.origin)),
            Knowledge::Unknown { .. } => self.end(router, request),
        }
    }

    fn request_id(request: u64) -> id::Request {
        id::Request {
            incarnation: id::Incarnation(1),
            sequence: request,
        }
    }

    fn finish(&mut self, router: usize, request: u64, outcome: Outcome) {
        let request_id = Self::request_id(request);
        self.route_event(
            router,
            route_event::Event::Finished {
                request_id,
                outcome,
            },
        );
    }

    fn send(&mut self, router: usize, request: u64, name: &str) {
        if !self.nodes[router].attempts.contains_key(&request) {
            return;
        }
        if !self.nodes[router]
            .route
            .may_send(self.now_us, Self::request_id(request))
        {
            return self.finish(router, request, Outcome::Withdrawn);
        }
        let server = self
            .servers
            .iter()
            .position(|server| server.name == name && server.is_up);
        let Some(server) = server else {
            self.report_end(router, name);
            return self.finish(router, request, Outcome::ConnectFailed);
        };
        let request_id = Self::request_id(request);
        self.route_event(router, route_event::Event::Sent { request_id });
        self.schedule_write(router, request, server);
    }

    /// Reports that the process of a server has ended, if the router knows it with the latest start.
    fn report_end(&mut self, router: usize, name: &str) {
        let start = self.nodes[router].starts.get(name).copied();
        let event = route_event::Event::Ended {
            backend: name.into(),
            started_ms: start,
        };
        self.route_event(router, event);
    }

    fn schedule_write(&mut self, router: usize, request: u64, server: usize) {
        let step = Step::Write {
            router,
            incarnation: self.nodes[router].incarnation,
            request,
            server,
            start: self.servers[server].start,
        };
        self.schedule(self.now_us + EVENT_US, step);
    }

    fn write(&mut self, router: usize, request: u64, number: usize, start: u64) {
        if !self.nodes[router].attempts.contains_key(&request) {
            return;
        }
        let server = &self.servers[number];
        let is_broken = !server.is_up || server.start != start || self.rng.u32(..100) == 0;
        if is_broken {
            // The router connects to the server to see whether it still listens.
            if !server.is_up {
                let name = server.name.clone();
                self.report_end(router, &name);
            }
            let attempt = &self.nodes[router].attempts[&request];
            // Some breaks reach the client, because the connection to it breaks too.
            if self.rng.u32(..3) == 0 {
                let request_id = Self::request_id(request);
                let outcome = Outcome::Cancelled;
                let event = route_event::Event::Finished {
                    request_id,
                    outcome,
                };
                self.route_event(router, event);
                return self.end(router, request);
            }
            let events_seen = attempt.events_seen;
            let outcome = Outcome::Broken {
                sent: true,
                events_seen,
            };
            return self.finish(router, request, outcome);
        }
        let version = server.version;
        let request_id = Self::request_id(request);
        self.route_event(router, route_event::Event::FirstToken { request_id });
        let attempt = self.nodes[router].attempts.get_mut(&request).unwrap();
        attempt.events_seen += 1;
        let is_first = attempt.events_seen == 1;
        let (stream, is_take_up, is_counted) =
            (attempt.stream, attempt.is_take_up, attempt.is_counted);
        if is_first && is_counted {
            match is_take_up {
                true => self.counts.take_ups_served += 1,
                false => self.counts.new_served += 1,
            }
        }
        if is_first && !is_take_up {
            let key = self.streams[stream].key;
            if let Some(origin) = self.nodes[router].route.origin(request_id) {
                let record = Record {
                    service: SERVICE.into(),
                    origin,
                };
                self.origin_event(router, Event::Began { key, record });
            }
        }
        let state = &mut self.streams[stream];
        state.events += 1;
        state.versions.insert(version);
        if state.events == EVENTS {
            state.is_done = true;
            self.finish(router, request, Outcome::Done);
            self.nodes[router].attempts.remove(&request);
        } else {
            self.schedule_write(router, request, number);
        }
    }
}

fn server(number: usize, version: u64, start: u64) -> Server {
    Server {
        name: format!("i-{number}-{start}"),
        version,
        start,
        is_up: true,
        is_listed: true,
    }
}

fn version(number: u64) -> name::SoftwareVersion {
    format!("v{number}").as_str().into()
}

fn vm(number: usize) -> name::Vm {
    format!("vm-{number}").as_str().into()
}

fn domain(number: usize) -> name::FailureDomain {
    format!("domain-{}", number % 4).as_str().into()
}

fn sender(number: usize, incarnation: u64) -> id::Incarnation {
    id::Incarnation(incarnation << 16 | number as u64)
}

fn rules() -> rules::Rules {
    rules::Rules::default()
}
