//! A fleet of routers in simulated time, with servers of unequal speed that state slow spells.

mod support;

use std::{cmp::Reverse, collections::BinaryHeap};

use peridotrack_route::{
    event::{Action, Event, Offer, Outcome},
    options::Options,
    prefill::{Part, Prompt},
    router::Router,
};
use support::SECOND_US;

const ROUTERS: usize = 78;
const DOMAINS: usize = 3;
const SERVERS: usize = 60;
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];
const SLOTS: u32 = 32;
/// Mean time between two requests of one router, for 16 per second.
const ARRIVAL_US: u64 = SECOND_US / 16;
const PREFILL_US_PER_TOKEN: f64 = 12.0;
/// Mean time from the first event to the end of a response at speed 1.
const STREAM_US: f64 = 300_000.0;
/// Mean length of a slow spell, and of the time between two, for 15% of the time.
const SPELL_US: f64 = 90_000.0;
const BETWEEN_SPELLS_US: f64 = 510_000.0;
const SPELL_FACTOR: f64 = 2.5;
/// Time to the first event from which on it is late.
const LATE_US: u64 = 250_000;
/// Time in which the routers learn, and the end of the run.
const WARM_UP_US: u64 = 8 * SECOND_US;
const END_US: u64 = 16 * SECOND_US;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive { router: usize },
    Tick { router: usize },
    FirstEvent { sequence: usize },
    End { sequence: usize },
    Spell { server: usize },
}

#[derive(Debug, Default, Clone, Copy)]
struct Server {
    in_flight: u32,
    is_slow: bool,
    /// When the prompts that were sent are prefilled.
    busy_until_us: u64,
}

struct Request {
    router: usize,
    server: usize,
    tokens: u64,
    arrived_us: u64,
}

struct Fleet {
    rng: fastrand::Rng,
    now_us: u64,
    steps: BinaryHeap<Reverse<(u64, u64, Step)>>,
    number: u64,
    routers: Vec<Router>,
    servers: Vec<Server>,
    requests: Vec<Request>,
    states_duration: bool,
    offered: usize,
    late: usize,
}

impl Fleet {
    fn new(states_duration: bool, seed: u64) -> Self {
        let mut register = support::register(SERVERS, 0, SLOTS);
        for (number, engine) in register.engines.iter_mut().enumerate() {
            engine.failure_domain = format!("domain-{}", number % DOMAINS).as_str().into();
        }
        let router = |number: usize| {
            let domain = format!("domain-{}", number % DOMAINS);
            let seed = seed * 1_000 + number as u64;
            let mut router = Router::new(Options::default(), domain.as_str().into(), seed, 0);
            router.configure(0, &register, &support::rules(64));
            router
        };
        let mut fleet = Self {
            rng: fastrand::Rng::with_seed(seed),
            now_us: 0,
            steps: BinaryHeap::new(),
            number: 0,
            routers: (0..ROUTERS).map(router).collect(),
            servers: vec![Server::default(); SERVERS],
            requests: Vec::new(),
            states_duration,
            offered: 0,
            late: 0,
        };
        for router in 0..ROUTERS {
            let arrival_us = fleet.rng.u64(..2 * ARRIVAL_US);
            fleet.schedule(arrival_us, Step::Arrive { router });
            fleet.schedule(router as u64 * 600, Step::Tick { router });
        }
        for server in 0..SERVERS {
            fleet.schedule(0, Step::Spell { server });
        }
        fleet
    }

    fn schedule(&mut self, after_us: u64, step: Step) {
        self.number += 1;
        let at_us = self.now_us + after_us;
        self.steps.push(Reverse((at_us, self.number, step)));
    }

    fn exponential_us(&mut self, mean_us: f64) -> u64 {
        (-mean_us * (1.0 - self.rng.f64()).ln()) as u64
    }

    fn run(&mut self) {
        while let Some(Reverse((at_us, _, step))) = self.steps.pop() {
            if at_us > END_US {
                return;
            }
            self.now_us = at_us;
            self.step(step);
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive { router } => {
                let after_us = self.exponential_us(ARRIVAL_US as f64);
                self.schedule(after_us, step);
                self.arrive(router);
            }
            Step::Tick { router } => {
                self.handle(router, Event::Tick);
                self.schedule(SECOND_US / 20, step);
            }
            Step::FirstEvent { sequence } => self.first_event(sequence),
            Step::End { sequence } => self.end(sequence),
            Step::Spell { server } => {
                let is_slow = !self.servers[server].is_slow;
                self.servers[server].is_slow = is_slow;
                let mean_us = if is_slow { SPELL_US } else { BETWEEN_SPELLS_US };
                let after_us = self.exponential_us(mean_us);
                self.schedule(after_us, step);
            }
        }
    }

    fn arrive(&mut self, router: usize) {
        let sequence = self.requests.len();
        let tokens = self.rng.u64(500..4_500);
        self.requests.push(Request {
            router,
            server: 0,
            tokens,
            arrived_us: self.now_us,
        });
        self.offered += usize::from(self.now_us > WARM_UP_US);
        let id = sequence as u64;
        let offer = Offer {
            size_tokens: tokens,
            deadline_us: self.now_us + 30 * SECOND_US,
            prompt: Some(Prompt {
                parts: [Part { id, tokens }].into(),
                tokens,
            }),
            ..support::offer(id)
        };
        let actions = self.routers[router].offer(self.now_us, offer);
        self.send(actions);
    }

    fn handle(&mut self, router: usize, event: Event) {
        let actions = self.routers[router].on_event(self.now_us, event);
        self.send(actions);
    }

    fn send(&mut self, actions: Vec<Action>) {
        for action in actions {
            let Action::Dispatch {
                request_id,
                backend,
                ..
            } = action
            else {
                continue;
            };
            let number = backend.as_str().strip_prefix("engine-").unwrap();
            let sequence = request_id.sequence as usize;
            let index = number.parse().unwrap();
            self.requests[sequence].server = index;
            let work = self.requests[sequence].tokens as f64 * PREFILL_US_PER_TOKEN;
            let factor = self.factor(index);
            let server = &mut self.servers[index];
            server.in_flight += 1;
            server.busy_until_us = server.busy_until_us.max(self.now_us) + (work * factor) as u64;
            let after_us = server.busy_until_us - self.now_us;
            self.schedule(after_us, Step::FirstEvent { sequence });
        }
    }

    fn spell_factor(&self, server: usize) -> f64 {
        match self.servers[server].is_slow {
            true => SPELL_FACTOR,
            false => 1.0,
        }
    }

    fn factor(&self, server: usize) -> f64 {
        self.spell_factor(server) / SPEEDS[server % SPEEDS.len()]
    }

    fn first_event(&mut self, sequence: usize) {
        let Request {
            router,
            server,
            arrived_us,
            ..
        } = self.requests[sequence];
        if arrived_us > WARM_UP_US {
            self.late += usize::from(self.now_us > arrived_us + LATE_US);
        }
        let in_flight = self.servers[server].in_flight;
        let percent = (self.spell_factor(server) * 100.0) as u32;
        let report = Event::LoadReport {
            backend: support::engine(server, SLOTS).name,
            running: in_flight.min(SLOTS),
            queued: in_flight.saturating_sub(SLOTS),
            slots: SLOTS,
            duration_percent: self.states_duration.then_some(percent),
            age_us: 0,
            leaving: false,
        };
        self.handle(router, report);
        let request_id = support::request(sequence as u64);
        self.handle(router, Event::FirstToken { request_id });
        let stream_us = STREAM_US * self.factor(server);
        let after_us = self.exponential_us(stream_us);
        self.schedule(after_us, Step::End { sequence });
    }

    fn end(&mut self, sequence: usize) {
        let Request { router, server, .. } = self.requests[sequence];
        self.servers[server].in_flight -= 1;
        let request_id = support::request(sequence as u64);
        let outcome = Outcome::Done;
        self.handle(
            router,
            Event::Finished {
                request_id,
                outcome,
            },
        );
    }
}

/// Returns the share of late first events over several seeds.
fn late_share(states_duration: bool) -> f64 {
    let fleets = (1..=12).map(|seed| {
        let mut fleet = Fleet::new(states_duration, seed);
        fleet.run();
        (fleet.late, fleet.offered)
    });
    let (late, offered) = fleets.fold((0, 0), |(a, b), (c, d)| (a + c, b + d));
    late as f64 / offered as f64
}

/// Guards against ignoring the stated durations, or sending many routers' requests to the server
/// that was fast a moment ago.
#[test]
fn stated_durations_reduce_late_first_events() {
    let without = late_share(false);
    let with = late_share(true);
    eprintln!("late: {without:.4} without the statement, {with:.4} with it");
    assert!(with < 0.95 * without, "{with} of {without}");
}
