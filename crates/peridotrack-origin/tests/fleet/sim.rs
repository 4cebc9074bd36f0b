//! A fleet of routers in simulated time, with servers that are replaced by other versions while
//! clients take up streams that broke off.

mod routers;
mod servers;
mod streams;

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
