//! Event loop of the simulation: routers, simulated engines, and load reports with a delay.
//!
//! [`run`] handles scheduled events in the order of simulated time; the module `requests` handles
//! those that concern a single request.

use std::{cmp::Reverse, collections::BinaryHeap};

use peridotrack_route::event::Event;
use peridotrack_types::name;

use crate::route::{
    case::{Case, DOMAINS, Fault, Run, Trace, register},
    engine::{Engine, Output},
    policy::PolicyRouter,
    workload::Arrival,
};

mod requests;

/// One-way latency between a router and an engine in the same failure domain.
const SAME_DOMAIN_LATENCY_US: u64 = 200;
/// One-way latency between failure domains.
const CROSS_DOMAIN_LATENCY_US: u64 = 1_500;
/// Time between ticks of the routers.
const TICK_PERIOD_US: u64 = 100_000;
/// Time between load reports of an engine.
const REPORT_PERIOD_US: u64 = 500_000;
/// Time until all routers receive a notice that one of them sends.
const GOSSIP_DELAY_US: u64 = 1_000_000;
/// Share of load reports that are lost.
const REPORT_LOSS_SHARE: f64 = 0.1;

/// An event of the simulation; events due at the same time are handled in the order of scheduling.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Scheduled {
    Arrive(usize),
    /// A dispatched attempt reaches its engine.
    Deliver {
        request: usize,
        attempt: u32,
    },
    /// A step of an engine ends.
    StepEnd {
        engine: usize,
    },
    /// The first token of an attempt reaches its router.
    FirstToken {
        request: usize,
        attempt: u32,
    },
    /// The end of an attempt reaches its router.
    AttemptEnd {
        request: usize,
        attempt: u32,
        result: AttemptResult,
    },
    /// The caller stops waiting for a request.
    Deadline(usize),
    /// An engine samples its load and sends a report.
    SampleLoad {
        engine: usize,
    },
    /// A load report reaches all routers.
    Report {
        engine: usize,
        running: u32,
        queued: u32,
        leaving: bool,
    },
    /// A notice that an engine is leaving reaches all routers.
    LeavingNotice {
        engine: usize,
    },
    Tick,
    Fault,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum AttemptResult {
    Done,
    Refused,
    ConnectFailed,
    Broken { events_seen: u64 },
}

struct Fleet<'a> {
    case: &'a Case,
    now_us: u64,
    sequence: u64,
    /// Scheduled events with their due times and sequence numbers, earliest first.
    queue: BinaryHeap<Reverse<(u64, u64, Scheduled)>>,
    routers: Vec<PolicyRouter>,
    engines: Vec<Engine>,
    names: Vec<name::BackendServer>,
    rng: fastrand::Rng,
    outputs: Vec<Output>,
    run: Run,
}

/// Runs a case on `arrivals` until the deadline of its last request.
pub fn run(case: &Case, arrivals: &[Arrival]) -> Run {
    let mut fleet = Fleet::new(case, arrivals);
    let end_us = case.mix.duration_us + case.deadline_us;
    while let Some(Reverse((time_us, _, scheduled))) = fleet.queue.pop() {
        if time_us > end_us {
            break;
        }
        fleet.now_us = time_us;
        fleet.handle(scheduled);
    }
    for engine in &fleet.engines {
        fleet.run.prefix_hits += engine.prefix_hits;
        fleet.run.prefix_lookups += engine.prefix_lookups;
    }
    fleet.run
}

impl<'a> Fleet<'a> {
    fn new(case: &'a Case, arrivals: &[Arrival]) -> Self {
        let register = register(case.speeds.len(), case.slots);
        let routers = (0..case.mix.routers)
            .map(|number| {
                PolicyRouter::new(case.policy, number, &register, &case.options, case.seed)
            })
            .collect();
        let mut fleet = Self {
            case,
            now_us: 0,
            sequence: 0,
            queue: BinaryHeap::new(),
            routers,
            engines: case
                .speeds
                .iter()
                .map(|&speed| Engine::new(case.slots, speed))
                .collect(),
            names: register.engines.iter().map(|e| e.name.clone()).collect(),
            rng: fastrand::Rng::with_seed(case.seed),
            outputs: Vec::new(),
            run: Run::default(),
        };
        for (request, arrival) in arrivals.iter().enumerate() {
            fleet.run.traces.push(Trace::new(arrival));
            fleet.schedule(arrival.arrival_us, Scheduled::Arrive(request));
        }
        for engine in 0..case.speeds.len() {
            let offset_us = REPORT_PERIOD_US * engine as u64 / case.speeds.len() as u64;
            fleet.schedule(offset_us, Scheduled::SampleLoad { engine });
        }
        fleet.schedule(TICK_PERIOD_US, Scheduled::Tick);
        match case.fault {
            Fault::None => {}
            Fault::Vanish { at_us, .. } | Fault::Leave { at_us } => {
                fleet.schedule(at_us, Scheduled::Fault);
            }
        }
        fleet
    }

    fn schedule(&mut self, delay_us: u64, scheduled: Scheduled) {
        self.sequence += 1;
        let entry = (self.now_us + delay_us, self.sequence, scheduled);
        self.queue.push(Reverse(entry));
    }

    fn handle(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Arrive(request) => self.arrive(request),
            Scheduled::Deliver { request, attempt } => self.deliver(request, attempt),
            Scheduled::StepEnd { engine } => self.end_step(engine),
            Scheduled::FirstToken { request, attempt } => self.on_first_token(request, attempt),
            Scheduled::AttemptEnd {
                request,
                attempt,
                result,
            } => self.end_attempt(request, attempt, result),
            Scheduled::Deadline(request) => self.on_deadline(request),
            Scheduled::SampleLoad { engine } => self.sample_load(engine),
            Scheduled::Report {
                engine,
                running,
                queued,
                leaving,
            } => {
                let event = Event::LoadReport {
                    backend: self.names[engine].clone(),
                    running,
                    queued,
                    slots: self.case.slots as u32,
                    duration_percent: None,
                    age_us: self.case.report_delay_us,
                    leaving,
                };
                self.broadcast(&event);
            }
            Scheduled::Tick => {
                self.broadcast(&Event::Tick);
                self.schedule(TICK_PERIOD_US, Scheduled::Tick);
            }
            Scheduled::LeavingNotice { engine } => {
                let backend = self.names[engine].clone();
                self.broadcast(&Event::Leaving { backend });
            }
            Scheduled::Fault => self.inject_fault(),
        }
    }

    fn begin_step(&mut self, number: usize) {
        let engine = &mut self.engines[number];
        if engine.stepping || !engine.alive || engine.is_idle() {
            return;
        }
        engine.stepping = true;
        let step_us = engine.begin_step();
        self.schedule(step_us, Scheduled::StepEnd { engine: number });
    }

    fn end_step(&mut self, number: usize) {
        let mut outputs = std::mem::take(&mut self.outputs);
        self.engines[number].stepping = false;
        if self.engines[number].alive {
            self.engines[number].end_step(&mut outputs);
        }
        for output in outputs.drain(..) {
            let (Output::FirstToken { request, .. } | Output::LastToken { request, .. }) = output;
            let return_latency_us =
                one_way_latency_us(self.run.traces[request].arrival.router, number);
            let scheduled = match output {
                Output::FirstToken { request, attempt } => {
                    Scheduled::FirstToken { request, attempt }
                }
                Output::LastToken { request, attempt } => {
                    let result = AttemptResult::Done;
                    Scheduled::AttemptEnd {
                        request,
                        attempt,
                        result,
                    }
                }
            };
            self.schedule(return_latency_us, scheduled);
        }
        self.outputs = outputs;
        self.begin_step(number);
    }

    fn sample_load(&mut self, number: usize) {
        self.schedule(REPORT_PERIOD_US, Scheduled::SampleLoad { engine: number });
        let engine = &self.engines[number];
        if !engine.alive || self.rng.f64() < REPORT_LOSS_SHARE {
            return;
        }
        let report = Scheduled::Report {
            engine: number,
            running: engine.running() as u32,
            queued: engine.queued() as u32,
            leaving: engine.leaving,
        };
        self.schedule(self.case.report_delay_us, report);
    }

    fn inject_fault(&mut self) {
        match self.case.fault {
            Fault::None => {}
            Fault::Leave { .. } => self.engines[0].leaving = true,
            Fault::Vanish { engines, .. } => {
                for engine in 0..engines {
                    self.engines[engine].alive = false;
                    for (request, attempt, started) in self.engines[engine].abort_all() {
                        let events_seen = u64::from(started);
                        let result = AttemptResult::Broken { events_seen };
                        self.schedule(
                            CROSS_DOMAIN_LATENCY_US,
                            Scheduled::AttemptEnd {
                                request,
                                attempt,
                                result,
                            },
                        );
                    }
                }
            }
        }
    }

    fn engine_index(&self, name: &name::BackendServer) -> usize {
        let position = self.names.iter().position(|engine| engine == name);
        position.expect("dispatches go to engines of the register")
    }

    fn broadcast(&mut self, event: &Event) {
        for router in 0..self.routers.len() {
            self.notify(router, event.clone());
        }
    }

    fn notify(&mut self, router: usize, event: Event) {
        if let PolicyRouter::Peridotrack(router) = &mut self.routers[router] {
            let actions = router.on_event(self.now_us, event);
            self.perform(actions);
        }
    }
}

fn one_way_latency_us(router: usize, engine: usize) -> u64 {
    match router % DOMAINS == engine % DOMAINS {
        true => SAME_DOMAIN_LATENCY_US,
        false => CROSS_DOMAIN_LATENCY_US,
    }
}
