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
const SLOTS: u32 = 32;
/// Mean time between two requests of one router, for 16 per second.
const ARRIVAL_US: u64 = SECOND_US / 16;
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

/// What a run replays.
#[derive(Debug, Clone, Copy)]
struct Load {
    /// Relative speeds of the servers.
    speeds: [f64; 3],
    /// Mean tokens of a prompt, and the most.
    mean_tokens: f64,
    max_tokens: f64,
    prefill_us_per_token: f64,
    /// Mean time from the first event to the end of a response at speed 1.
    stream_us: f64,
    states_duration: bool,
    memory_tokens: Option<u64>,
}

const UNEVEN: Load = Load {
    speeds: [0.6, 1.0, 1.6],
    mean_tokens: 2_500.0,
    max_tokens: 4_500.0,
    prefill_us_per_token: 12.0,
    stream_us: 300_000.0,
    states_duration: false,
    memory_tokens: None,
};

/// Memory of a server in the runs in which it is scarce.
const MEMORY_TOKENS: u64 = 394_227;
const LARGE_PROMPTS: Load = Load {
    speeds: [1.0; 3],
    mean_tokens: 12_000.0,
    max_tokens: 54_600.0,
    prefill_us_per_token: 2.0,
    stream_us: 700_000.0,
    states_duration: false,
    memory_tokens: None,
};

#[derive(Debug, Default, Clone, Copy)]
struct Server {
    in_flight: u32,
    held_tokens: u64,
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
    load: Load,
    offered: usize,
    late: usize,
    /// Tokens of the requests that were served.
    served_tokens: u64,
    /// Requests with which a server held more than its memory.
    exceeding: usize,
    most_tokens: u64,
}

impl Fleet {
    fn new(load: Load, seed: u64) -> Self {
        let mut register = support::register(SERVERS, 0, SLOTS);
        for (number, engine) in register.engines.iter_mut().enumerate() {
            engine.failure_domain = format!("domain-{}", number % DOMAINS).as_str().into();
        }
        let memory = load
            .memory_tokens
            .map(|tokens| (support::MODEL.into(), tokens));
        register.memory_tokens = memory.into_iter().collect();
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
            load,
            offered: 0,
            late: 0,
            served_tokens: 0,
            exceeding: 0,
            most_tokens: 0,
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

    /// Returns a size between 500 and the most, exponential if the mean is far below the middle.
    fn prompt_tokens(&mut self) -> u64 {
        let Load {
            mean_tokens,
            max_tokens,
            ..
        } = self.load;
        match 2.0 * mean_tokens < max_tokens {
            true => self
                .exponential_us(mean_tokens)
                .clamp(500, max_tokens as u64),
            false => self.rng.u64(500..max_tokens as u64),
        }
    }

    fn arrive(&mut self, router: usize) {
        let sequence = self.requests.len();
        let tokens = self.prompt_tokens();
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
            let work = self.requests[sequence].tokens as f64 * self.load.prefill_us_per_token;
            let factor = self.factor(index);
            let server = &mut self.servers[index];
            server.in_flight += 1;
            server.held_tokens += self.requests[sequence].tokens;
            self.most_tokens = self.most_tokens.max(server.held_tokens);
            self.exceeding += usize::from(server.held_tokens > MEMORY_TOKENS);
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
        self.spell_factor(server) / self.load.speeds[server % self.load.speeds.len()]
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
            duration_percent: self.load.states_duration.then_some(percent),
            age_us: 0,
            leaving: false,
        };
        self.handle(router, report);
        let request_id = support::request(sequence as u64);
        self.handle(router, Event::FirstToken { request_id });
        let stream_us = self.load.stream_us * self.factor(server);
        let after_us = self.exponential_us(stream_us);
        self.schedule(after_us, Step::End { sequence });
    }

    fn end(&mut self, sequence: usize) {
        let Request { router, server, .. } = self.requests[sequence];
        let tokens = self.requests[sequence].tokens;
        self.servers[server].in_flight -= 1;
        self.servers[server].held_tokens -= tokens;
        self.served_tokens += tokens;
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
        let load = Load {
            states_duration,
            ..UNEVEN
        };
        let mut fleet = Fleet::new(load, seed);
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

fn large_prompts(memory_tokens: Option<u64>, seed: u64) -> Fleet {
    let load = Load {
        memory_tokens,
        ..LARGE_PROMPTS
    };
    let mut fleet = Fleet::new(load, seed);
    fleet.run();
    fleet
}

/// Guards against a bound on memory that has no effect, or that leaves memory unused.
#[test]
fn the_bound_on_memory_reduces_excess_and_serves_as_much() {
    let (mut free, mut bound) = ((0, 0), (0, 0));
    for seed in 1..=6 {
        for (memory_tokens, sum) in [(None, &mut free), (Some(MEMORY_TOKENS), &mut bound)] {
            let fleet = large_prompts(memory_tokens, seed);
            *sum = (sum.0 + fleet.exceeding, sum.1 + fleet.served_tokens);
        }
    }
    eprintln!(
        "exceeding requests and served tokens: {free:?} without the bound, {bound:?} with it"
    );
    assert!(5 * bound.0 < 4 * free.0, "{bound:?} of {free:?}");
    assert!(100 * bound.1 >= 99 * free.1, "{bound:?} of {free:?}");
}

/// Guards against requests that make a server crash because they exceed its memory.
#[test]
fn no_server_holds_more_than_its_memory() {
    for seed in 1..=3 {
        let fleet = large_prompts(Some(MEMORY_TOKENS), seed);
        assert!(
            fleet.most_tokens <= MEMORY_TOKENS,
            "seed {seed}: {} tokens, {} requests over the memory",
            fleet.most_tokens,
            fleet.exceeding
        );
    }
}
