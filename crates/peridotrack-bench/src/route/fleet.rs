//! A small event loop: routers, fake engines, late load reports.

use std::{cmp::Reverse, collections::BinaryHeap};

use peridotrack_route::event::Event;
use peridotrack_types::name;

use crate::route::{
    case::{Case, DOMAINS, Fault, Run, Trace, register},
    engine::{Engine, Output},
    policy::Chooser,
    workload::Arrival,
};

mod caller;

/// One way between a router and an engine in the same failure domain.
const NEAR_US: u64 = 200;
/// One way between failure domains.
const FAR_US: u64 = 1_500;
/// Time between ticks.
const TICK_US: u64 = 100_000;
/// Time between load reports of an engine.
const REPORT_US: u64 = 500_000;
/// Time until the other routers hear what one of them passes on.
const PEER_US: u64 = 1_000_000;
/// Share of load reports that are lost.
const REPORT_LOSS: f64 = 0.1;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrive(usize),
    Deliver {
        request: usize,
        attempt: u32,
    },
    StepEnd {
        engine: usize,
    },
    First {
        request: usize,
        attempt: u32,
    },
    Finish {
        request: usize,
        attempt: u32,
        how: How,
    },
    Deadline(usize),
    Measure {
        engine: usize,
    },
    Report {
        engine: usize,
        running: u32,
        queued: u32,
        leaving: bool,
    },
    Told {
        engine: usize,
    },
    Tick,
    Fault,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum How {
    Done,
    Refused,
    ConnectFailed,
    Broken { events_seen: u64 },
}

struct Fleet<'a> {
    case: &'a Case,
    now_us: u64,
    sequence: u64,
    agenda: BinaryHeap<Reverse<(u64, u64, Happening)>>,
    routers: Vec<Chooser>,
    engines: Vec<Engine>,
    names: Vec<name::BackendServer>,
    rng: fastrand::Rng,
    outputs: Vec<Output>,
    run: Run,
}

/// Runs a case on `arrivals`, to the end of its last request.
pub fn run(case: &Case, arrivals: &[Arrival]) -> Run {
    let mut fleet = Fleet::new(case, arrivals);
    let end_us = case.mix.duration_us + case.deadline_us;
    while let Some(Reverse((time_us, _, happening))) = fleet.agenda.pop() {
        if time_us > end_us {
            break;
        }
        fleet.now_us = time_us;
        fleet.happen(happening);
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
            .map(|number| Chooser::new(case.policy, number, &register, &case.options, case.seed))
            .collect();
        let mut fleet = Self {
            case,
            now_us: 0,
            sequence: 0,
            agenda: BinaryHeap::new(),
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
            fleet.after(arrival.arrival_us, Happening::Arrive(request));
        }
        for engine in 0..case.speeds.len() {
            let offset_us = REPORT_US * engine as u64 / case.speeds.len() as u64;
            fleet.after(offset_us, Happening::Measure { engine });
        }
        fleet.after(TICK_US, Happening::Tick);
        match case.fault {
            Fault::None => {}
            Fault::Vanish { at_us, .. } | Fault::Leave { at_us } => {
                fleet.after(at_us, Happening::Fault);
            }
        }
        fleet
    }

    fn after(&mut self, delay_us: u64, happening: Happening) {
        self.sequence += 1;
        let entry = (self.now_us + delay_us, self.sequence, happening);
        self.agenda.push(Reverse(entry));
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrive(request) => self.arrive(request),
            Happening::Deliver { request, attempt } => self.deliver(request, attempt),
            Happening::StepEnd { engine } => self.end_step(engine),
            Happening::First { request, attempt } => self.first(request, attempt),
            Happening::Finish {
                request,
                attempt,
                how,
            } => self.finish(request, attempt, how),
            Happening::Deadline(request) => self.deadline(request),
            Happening::Measure { engine } => self.measure(engine),
            Happening::Report {
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
                    age_us: self.case.report_late_us,
                    leaving,
                };
                self.tell_all(&event);
            }
            Happening::Tick => {
                self.tell_all(&Event::Tick);
                self.after(TICK_US, Happening::Tick);
            }
            Happening::Told { engine } => {
                let backend = self.names[engine].clone();
                self.tell_all(&Event::Leaving { backend });
            }
            Happening::Fault => self.fault(),
        }
    }

    fn begin_step(&mut self, number: usize) {
        let engine = &mut self.engines[number];
        if engine.stepping || !engine.alive || engine.is_idle() {
            return;
        }
        engine.stepping = true;
        let step_us = engine.begin_step();
        self.after(step_us, Happening::StepEnd { engine: number });
    }

    fn end_step(&mut self, number: usize) {
        let mut outputs = std::mem::take(&mut self.outputs);
        self.engines[number].stepping = false;
        if self.engines[number].alive {
            self.engines[number].end_step(&mut outputs);
        }
        for output in outputs.drain(..) {
            let (Output::First { request, .. } | Output::Last { request, .. }) = output;
            let back_us = way_us(self.run.traces[request].arrival.router, number);
            let happening = match output {
                Output::First { request, attempt } => Happening::First { request, attempt },
                Output::Last { request, attempt } => {
                    let how = How::Done;
                    Happening::Finish {
                        request,
                        attempt,
                        how,
                    }
                }
            };
            self.after(back_us, happening);
        }
        self.outputs = outputs;
        self.begin_step(number);
    }

    fn measure(&mut self, number: usize) {
        self.after(REPORT_US, Happening::Measure { engine: number });
        let engine = &self.engines[number];
        if !engine.alive || self.rng.f64() < REPORT_LOSS {
            return;
        }
        let report = Happening::Report {
            engine: number,
            running: engine.running() as u32,
            queued: engine.queued() as u32,
            leaving: engine.leaving,
        };
        self.after(self.case.report_late_us, report);
    }

    fn fault(&mut self) {
        match self.case.fault {
            Fault::None => {}
            Fault::Leave { .. } => self.engines[0].leaving = true,
            Fault::Vanish { engines, .. } => {
                for engine in 0..engines {
                    self.engines[engine].alive = false;
                    for (request, attempt, started) in self.engines[engine].clear() {
                        let events_seen = u64::from(started);
                        let how = How::Broken { events_seen };
                        self.after(
                            FAR_US,
                            Happening::Finish {
                                request,
                                attempt,
                                how,
                            },
                        );
                    }
                }
            }
        }
    }

    fn engine(&self, name: &name::BackendServer) -> usize {
        let position = self.names.iter().position(|engine| engine == name);
        position.expect("dispatches go to engines of the register")
    }

    fn tell_all(&mut self, event: &Event) {
        for router in 0..self.routers.len() {
            self.tell(router, event.clone());
        }
    }

    fn tell(&mut self, router: usize, event: Event) {
        if let Chooser::Peridotrack(router) = &mut self.routers[router] {
            let actions = router.on_event(self.now_us, event);
            self.act(actions);
        }
    }
}

fn way_us(router: usize, engine: usize) -> u64 {
    match router % DOMAINS == engine % DOMAINS {
        true => NEAR_US,
        false => FAR_US,
    }
}
