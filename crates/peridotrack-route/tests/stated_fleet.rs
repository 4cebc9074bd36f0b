//! A fleet of routers in simulated time, with servers that state that they leave or ask for pauses.

mod support;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    ops::Range,
};

use peridotrack_route::{
    event::{Action, Event, Note, Offer, Outcome},
    options::Options,
    router::Router,
};
use peridotrack_types::{name, register};
use rstest::rstest;
use support::SECOND_US;

const MS_US: u64 = 1_000;
const SERVERS: usize = 12;
const SLOTS: u32 = 16;
/// Duration of a run.
const END_US: u64 = 40 * SECOND_US;
/// Period of the routers' ticks.
const TICK_US: u64 = 50 * MS_US;
/// Mean time between two requests of the fleet.
const ARRIVAL_US: u64 = 2 * MS_US;
/// Time after a statement in which requests may still reach the server.
const PAUSE_TOLERANCE_US: u64 = SECOND_US / 2;
/// Requests of one router that may reach a server within a pause.
const ALLOWED_IN_PAUSE: usize = 2;
/// Time after a statement of leaving after which a client's request must not reach the server.
const DRAIN_US: u64 = 2 * SECOND_US;

/// Faults of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Half of the routers get no news from others and no changes of the directory.
    Cut,
    /// A third of the routers stand still for a second, again and again.
    Freeze,
    /// Entries of servers lapse and return as ready.
    StoreAway,
    All,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Tick {
        router: usize,
    },
    Arrive,
    Send {
        router: usize,
        sequence: u64,
    },
    Reach {
        router: usize,
        sequence: u64,
    },
    Answer {
        router: usize,
        sequence: u64,
        answer: Answer,
    },
    News {
        router: usize,
        server: usize,
    },
    Pause {
        server: usize,
    },
    Leave {
        server: usize,
    },
    Lapse {
        server: usize,
    },
    Return {
        server: usize,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Answer {
    Done { is_leaving: bool },
    Refused { is_leaving: bool, pause_us: u64 },
}

#[derive(Debug, Default, Clone)]
struct Server {
    paused_until_us: u64,
    is_leaving: bool,
    is_lapsed: bool,
    in_flight: u32,
}

/// A pause after its tolerance.
struct Pause {
    span_us: Range<u64>,
    /// Requests of the router that reached the server in it.
    requests: usize,
}

struct Fleet {
    fault: Fault,
    rng: fastrand::Rng,
    now_us: u64,
    steps: BinaryHeap<Reverse<(u64, u64, Step)>>,
    number: u64,
    routers: Vec<Router>,
    servers: Vec<Server>,
    /// When each request arrived, and the server that it was dispatched to.
    requests: BTreeMap<u64, (u64, usize)>,
    /// Pauses that each router was told of, by router and server.
    pauses: BTreeMap<(usize, usize), Vec<Pause>>,
    /// When each router learned from a response that a server leaves.
    leaving_since: BTreeMap<(usize, usize), u64>,
    late: usize,
    served: usize,
    offered: usize,
}

impl Fleet {
    fn new(routers: usize, fault: Fault, seed: u64) -> Self {
        let mut fleet = Self {
            fault,
            rng: fastrand::Rng::with_seed(seed),
            now_us: 0,
            steps: BinaryHeap::new(),
            number: 0,
            routers: Vec::new(),
            servers: vec![Server::default(); SERVERS],
            requests: BTreeMap::new(),
            pauses: BTreeMap::new(),
            leaving_since: BTreeMap::new(),
            late: 0,
            served: 0,
            offered: 0,
        };
        for router in 0..routers {
            let domain = format!("domain-{}", router % 4);
            let options = Options {
                retry_proven_not_run: true,
                ..Options::default()
            };
            let mut state = Router::new(options, domain.as_str().into(), seed + router as u64, 0);
            state.configure(0, &fleet.register(), &support::rules(64));
            fleet.routers.push(state);
            fleet.schedule(fleet.number * 100, Step::Tick { router });
        }
        fleet.schedule(0, Step::Arrive);
        for server in 0..SERVERS / 2 {
            for _ in 0..2 {
                let at_us = fleet.rng.u64(SECOND_US..END_US);
                fleet.schedule(at_us, Step::Pause { server });
            }
        }
        for server in SERVERS / 2..SERVERS - 1 {
            let at_us = fleet.rng.u64(SECOND_US..END_US / 2);
            fleet.schedule(at_us, Step::Leave { server });
            if fleet.has(Fault::StoreAway) {
                fleet.schedule(at_us + 3 * SECOND_US, Step::Lapse { server });
            }
        }
        fleet
    }

    fn has(&self, fault: Fault) -> bool {
        self.fault == fault || self.fault == Fault::All
    }

    fn register(&self) -> register::Register {
        let mut register = support::register(SERVERS, 0, SLOTS);
        let mut servers = self.servers.iter();
        register
            .engines
            .retain(|_| !servers.next().unwrap().is_lapsed);
        register
    }

    fn schedule(&mut self, at_us: u64, step: Step) {
        self.number += 1;
        self.steps.push(Reverse((at_us, self.number, step)));
    }

    fn is_cut(&self, router: usize) -> bool {
        self.has(Fault::Cut) && router.is_multiple_of(2)
    }

    /// Returns until when a router stands still, if it does.
    fn frozen_until_us(&self, router: usize) -> Option<u64> {
        const PERIOD_US: u64 = 5 * SECOND_US;
        let phase_us = (self.now_us + router as u64 * 100 * MS_US) % PERIOD_US;
        let is_frozen = self.has(Fault::Freeze) && router.is_multiple_of(3) && phase_us < SECOND_US;
        is_frozen.then(|| self.now_us + SECOND_US - phase_us)
    }

    fn run(&mut self) {
        while let Some(Reverse((at_us, _, step))) = self.steps.pop() {
            if at_us > END_US {
                return;
            }
            self.now_us = at_us;
            let router = match step {
                Step::Tick { router }
                | Step::Send { router, .. }
                | Step::Answer { router, .. }
                | Step::News { router, .. } => Some(router),
                _ => None,
            };
            match router.and_then(|router| self.frozen_until_us(router)) {
                Some(until_us) => self.schedule(until_us, step),
                None => self.step(step),
            }
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Tick { router } => {
                self.handle(router, Event::Tick);
                self.schedule(self.now_us + TICK_US, step);
            }
            Step::Arrive => self.arrive(),
            Step::Send { router, sequence } => self.send(router, sequence),
            Step::Reach { router, sequence } => self.reach(router, sequence),
            Step::Answer {
                router,
                sequence,
                answer,
            } => self.answer(router, sequence, answer),
            Step::News { router, server } => self.handle(router, leaving(server)),
            Step::Pause { server } => {
                let duration_us = self.rng.u64(SECOND_US..5 * SECOND_US);
                self.servers[server].paused_until_us = self.now_us + duration_us;
            }
            Step::Leave { server } => self.servers[server].is_leaving = true,
            Step::Lapse { server } => {
                self.servers[server].is_lapsed = true;
                self.apply_register();
                self.schedule(self.now_us + 2 * SECOND_US, Step::Return { server });
            }
            Step::Return { server } => {
                self.servers[server].is_lapsed = false;
                self.apply_register();
            }
        }
    }

    fn apply_register(&mut self) {
        let register = self.register();
        for router in 0..self.routers.len() {
            if !self.is_cut(router) {
                let rules = support::rules(64);
                let actions = self.routers[router].configure(self.now_us, &register, &rules);
                self.run_actions(router, actions);
            }
        }
    }

    fn arrive(&mut self) {
        let next_us = self.now_us + self.rng.u64(1..2 * ARRIVAL_US);
        self.schedule(next_us, Step::Arrive);
        let router = self.rng.usize(..self.routers.len());
        self.offered += 1;
        let sequence = self.offered as u64;
        self.requests.insert(sequence, (self.now_us, 0));
        let offer = Offer {
            deadline_us: self.now_us + 2 * SECOND_US,
            prefix_hash: None,
            ..support::offer(sequence)
        };
        let actions = self.routers[router].offer(self.now_us, offer);
        self.run_actions(router, actions);
    }

    fn handle(&mut self, router: usize, event: Event) {
        let actions = self.routers[router].on_event(self.now_us, event);
        self.run_actions(router, actions);
    }

    fn run_actions(&mut self, router: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch {
                    request_id,
                    backend,
                    ..
                } => {
                    let sequence = request_id.sequence;
                    self.requests.get_mut(&sequence).unwrap().1 = number(&backend);
                    // Some connections take long to open.
                    let connect_us = match self.rng.u32(..20) {
                        0 => self.rng.u64(..SECOND_US),
                        _ => MS_US,
                    };
                    self.schedule(self.now_us + connect_us, Step::Send { router, sequence });
                }
                Action::Note(Note::LeavingStated { backend, .. }) => {
                    let server = number(&backend);
                    for other in (0..self.routers.len()).filter(|other| *other != router) {
                        if !self.is_cut(router) && !self.is_cut(other) {
                            let at_us = self.now_us + 2 * MS_US;
                            self.schedule(
                                at_us,
                                Step::News {
                                    router: other,
                                    server,
                                },
                            );
                        }
                    }
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, router: usize, sequence: u64) {
        if self.routers[router].may_send(self.now_us, support::request(sequence)) {
            self.handle(
                router,
                Event::Sent {
                    request_id: support::request(sequence),
                },
            );
            self.schedule(self.now_us + MS_US, Step::Reach { router, sequence });
        } else {
            self.finish(router, sequence, Outcome::Withdrawn);
        }
    }

    fn reach(&mut self, router: usize, sequence: u64) {
        let (arrived_us, server) = self.requests[&sequence];
        for pause in self.pauses.entry((router, server)).or_default() {
            pause.requests += usize::from(pause.span_us.contains(&self.now_us));
        }
        let since_us = self.leaving_since.get(&(router, server));
        if since_us.is_some_and(|since_us| arrived_us > since_us + DRAIN_US) {
            self.late += 1;
        }
        let state = &mut self.servers[server];
        let is_leaving = state.is_leaving;
        let pause_us = state.paused_until_us.saturating_sub(self.now_us);
        let is_refused = pause_us > 0 || state.in_flight >= SLOTS;
        let (answer, after_us) = if is_refused {
            let windows = self.pauses.get_mut(&(router, server)).unwrap();
            if pause_us > 0 {
                windows.push(Pause {
                    span_us: self.now_us + PAUSE_TOLERANCE_US..self.now_us + pause_us,
                    requests: 0,
                });
            }
            (
                Answer::Refused {
                    is_leaving,
                    pause_us,
                },
                MS_US,
            )
        } else {
            state.in_flight += 1;
            (Answer::Done { is_leaving }, self.rng.u64(30..80) * MS_US)
        };
        let step = Step::Answer {
            router,
            sequence,
            answer,
        };
        self.schedule(self.now_us + after_us, step);
    }

    fn answer(&mut self, router: usize, sequence: u64, answer: Answer) {
        let (_, server) = self.requests[&sequence];
        let backend = support::engine(server, SLOTS).name;
        let (Answer::Done { is_leaving } | Answer::Refused { is_leaving, .. }) = answer;
        if is_leaving {
            self.leaving_since
                .entry((router, server))
                .or_insert(self.now_us);
            self.handle(router, leaving(server));
        }
        match answer {
            Answer::Done { .. } => {
                self.servers[server].in_flight -= 1;
                self.served += 1;
                self.finish(router, sequence, Outcome::Done);
            }
            Answer::Refused { pause_us, .. } => {
                if pause_us > 0 {
                    let duration_us = pause_us;
                    self.handle(
                        router,
                        Event::Pause {
                            backend,
                            duration_us,
                        },
                    );
                }
                self.finish(router, sequence, Outcome::RefusedNotRun);
            }
        }
    }

    fn finish(&mut self, router: usize, sequence: u64, outcome: Outcome) {
        let request_id = support::request(sequence);
        self.handle(
            router,
            Event::Finished {
                request_id,
                outcome,
            },
        );
    }
}

fn leaving(server: usize) -> Event {
    Event::LeavingStated {
        backend: support::engine(server, SLOTS).name,
        started_ms: None,
    }
}

fn number(backend: &name::BackendServer) -> usize {
    backend
        .as_str()
        .strip_prefix("engine-")
        .unwrap()
        .parse()
        .unwrap()
}

#[rstest]
fn servers_that_pause_or_leave_are_left_alone(
    #[values(6, 54)] routers: usize,
    #[values(Fault::None, Fault::Cut, Fault::Freeze, Fault::StoreAway, Fault::All)] fault: Fault,
) {
    let mut most_in_pause = 0;
    let mut pauses = 0;
    let mut least_served = 1.0_f64;
    for seed in 0..20 {
        let mut fleet = Fleet::new(routers, fault, seed);
        fleet.run();
        let counts: Vec<_> = fleet
            .pauses
            .values()
            .flatten()
            .map(|pause| pause.requests)
            .collect();
        pauses += counts.len();
        most_in_pause = most_in_pause.max(counts.into_iter().max().unwrap_or(0));
        least_served = least_served.min(fleet.served as f64 / fleet.offered as f64);
        let told: BTreeSet<_> = fleet
            .leaving_since
            .keys()
            .map(|(_, server)| server)
            .collect();
        assert_eq!(fleet.late, 0, "seed {seed}");
        assert_eq!(told.len(), SERVERS / 2 - 1, "seed {seed}");
    }
    println!("{most_in_pause} requests in one of {pauses} pauses, {least_served:.3} served");
    assert!(pauses > 100);
    assert!(most_in_pause <= ALLOWED_IN_PAUSE);
    assert!(least_served > 0.9, "{least_served}");
}
