//! A simulated fleet: routers with claims, one store, one backend server that counts runs, and
//! callers.

use std::{cmp::Reverse, collections::BTreeMap, collections::BinaryHeap};

use peridotrack_once::{claim, digest};
use peridotrack_types::{id, name};

use super::{
    store::{self, Effect, Store},
    trace::{Received, Trace},
};

/// Limit on the steps of one run; a run that exceeds it ticks endlessly.
const MAX_STEPS: u64 = 2_000_000;

/// Frequencies of faults outside the store, in 1,000.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    pub killed: u32,
    pub paused: u32,
    pub lost_responses: u32,
    pub refused_by_backend: u32,
    pub disconnected_callers: u32,
}

/// One request of a caller.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    pub router: usize,
    pub key: u32,
    /// Represents the method, path and body.
    pub content: u8,
    pub timeout_us: u64,
}

enum Step {
    Arrive(Attempt),
    Reply(claim::Event),
    Tick,
    /// The router requests permission to send the first byte.
    Send(id::Request),
    /// The first byte is sent to the backend server.
    FirstByte(id::Request),
    Outcome(id::Request, claim::Outcome),
    /// The caller closed its connection.
    Disconnect(id::Request),
    /// A write takes effect after its call timed out.
    LateWrite(store::Write),
}

struct Event {
    router: usize,
    /// The event is dropped unless the router still has this incarnation; 0 matches any.
    incarnation: u64,
    step: Step,
}

pub struct Router {
    pub claims: claim::Claims,
    incarnation: id::Incarnation,
    requests: u64,
    paused_until_us: u64,
    /// Offset of the router's clock; the monotonic clocks of VMs are unrelated.
    clock_offset_us: u64,
    tick_us: u64,
}

pub struct Fleet {
    pub now_us: u64,
    pub rng: fastrand::Rng,
    pub store: Store,
    pub faults: Faults,
    pub routers: Vec<Router>,
    pub traces: BTreeMap<id::Request, Trace>,
    /// First response by key and content.
    pub responses: BTreeMap<(u32, u8), Vec<u8>>,
    pub kills: u32,
    options: claim::Options,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    sequence: u64,
    incarnations: u64,
}

pub fn key_text(key: u32) -> String {
    format!("key-{key}")
}

impl Fleet {
    pub fn new(seed: u64, routers: usize, options: claim::Options) -> Self {
        let mut fleet = Self {
            now_us: 0,
            rng: fastrand::Rng::with_seed(seed),
            store: Store::default(),
            faults: Faults::default(),
            routers: Vec::new(),
            traces: BTreeMap::new(),
            responses: BTreeMap::new(),
            kills: 0,
            options,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            incarnations: 0,
        };
        for _ in 0..routers {
            let router = fleet.start_router();
            fleet.routers.push(router);
        }
        fleet
    }

    /// Schedules a caller's request.
    pub fn arrive(&mut self, at_us: u64, attempt: Attempt) {
        self.push(at_us, attempt.router, 0, Step::Arrive(attempt));
    }

    /// Runs the scheduled events up to `end_us`.
    pub fn run(&mut self, end_us: u64) {
        while let Some(Reverse((at_us, sequence))) = self.queue.pop() {
            assert!(sequence < MAX_STEPS, "the routers tick without end");
            if at_us > end_us {
                self.queue.push(Reverse((at_us, sequence)));
                break;
            }
            let event = self.events.remove(&sequence).expect("queued");
            self.now_us = at_us;
            self.step(event);
        }
        self.now_us = self.now_us.max(end_us);
    }

    pub fn is_settled(&self) -> bool {
        self.routers.iter().all(|router| router.claims.is_settled())
    }

    pub fn kill(&mut self, index: usize) {
        self.kills += 1;
        let router = self.start_router();
        self.routers[index] = router;
    }

    pub fn pause(&mut self, index: usize, until_us: u64) {
        self.routers[index].paused_until_us = until_us;
    }

    fn start_router(&mut self) -> Router {
        self.incarnations += 1;
        let incarnation = id::Incarnation(self.incarnations);
        let clock_offset_us = self.rng.u64(0..1_000_000_000_000);
        let seed = self.rng.u64(..);
        let now_us = self.now_us + clock_offset_us;
        Router {
            claims: claim::Claims::new(incarnation, self.options.clone(), seed, now_us),
            incarnation,
            requests: 0,
            paused_until_us: 0,
            clock_offset_us,
            tick_us: u64::MAX,
        }
    }

    fn push(&mut self, at_us: u64, router: usize, incarnation: u64, step: Step) {
        self.sequence += 1;
        self.queue.push(Reverse((at_us, self.sequence)));
        self.events.insert(
            self.sequence,
            Event {
                router,
                incarnation,
                step,
            },
        );
    }

    /// Schedules a step that is dropped if the router is killed before.
    fn push_current(&mut self, delay_us: u64, router: usize, step: Step) {
        let incarnation = self.routers[router].incarnation.0;
        self.push(self.now_us + delay_us, router, incarnation, step);
    }

    fn step(&mut self, event: Event) {
        if let Step::LateWrite(write) = &event.step {
            self.store.apply(write);
            return;
        }
        let index = event.router;
        if event.incarnation != 0 && event.incarnation != self.routers[index].incarnation.0 {
            return;
        }
        let paused_until_us = self.routers[index].paused_until_us;
        if self.now_us < paused_until_us {
            self.push(paused_until_us, index, event.incarnation, event.step);
            return;
        }
        if store::chance(&mut self.rng, self.faults.killed) {
            return self.kill(index);
        }
        if store::chance(&mut self.rng, self.faults.paused) {
            let until_us = self.now_us + self.rng.u64(1_000..1_500_000);
            self.pause(index, until_us);
            self.push(until_us, index, event.incarnation, event.step);
            return;
        }
        self.run_step(index, event.step);
    }

    fn run_step(&mut self, index: usize, step: Step) {
        let now_us = self.now_us + self.routers[index].clock_offset_us;
        let claims = &mut self.routers[index].claims;
        let actions = match step {
            Step::Arrive(attempt) => return self.begin(index, attempt),
            Step::Reply(event) => claims.on_event(now_us, event),
            Step::Tick => {
                self.routers[index].tick_us = u64::MAX;
                self.routers[index]
                    .claims
                    .on_event(now_us, claim::Event::Tick)
            }
            Step::Send(request_id) => {
                if claims.may_send(now_us, request_id) {
                    // The first byte is a separate step, so that the router may pause before it.
                    return self.push_current(0, index, Step::FirstByte(request_id));
                }
                self.reply(request_id, Received::NotRun);
                claims_finish(
                    &mut self.routers[index],
                    now_us,
                    request_id,
                    claim::Outcome::NotRun,
                )
            }
            Step::FirstByte(request_id) => return self.run_backend(index, request_id),
            Step::Outcome(request_id, outcome) => {
                // Requests permission a second time; if it were granted, the key would run twice.
                if outcome != claim::Outcome::NotRun && claims.may_send(now_us, request_id) {
                    self.push_current(0, index, Step::FirstByte(request_id));
                }
                self.reply(
                    request_id,
                    match &outcome {
                        claim::Outcome::Responded { body, .. } => Received::Response(body.clone()),
                        claim::Outcome::NotRun => Received::NotRun,
                        claim::Outcome::Unknown => Received::Unknown,
                    },
                );
                claims_finish(&mut self.routers[index], now_us, request_id, outcome)
            }
            Step::Disconnect(request_id) => {
                let outcome = claim::Outcome::Unknown;
                claims_finish(&mut self.routers[index], now_us, request_id, outcome)
            }
            Step::LateWrite(_) => Vec::new(),
        };
        self.perform(index, actions);
    }

    fn begin(&mut self, index: usize, attempt: Attempt) {
        let router = &mut self.routers[index];
        router.requests += 1;
        let request_id = id::Request {
            incarnation: router.incarnation,
            sequence: router.requests,
        };
        let now_us = self.now_us + router.clock_offset_us;
        let actions = router.claims.begin(
            now_us,
            claim::Request {
                request_id,
                account: name::ClientAccount::from("gramedia"),
                key: &key_text(attempt.key),
                request_digest: digest::of_request("POST", "/isbn", &[attempt.content]).0,
                deadline_us: now_us + attempt.timeout_us,
            },
        );
        self.traces.insert(
            request_id,
            Trace {
                attempt,
                decisions: 0,
                received: None,
                runs: 0,
                begun_us: self.now_us,
                decided_us: 0,
            },
        );
        self.perform(index, actions);
        if store::chance(&mut self.rng, self.faults.disconnected_callers) {
            let delay_us = self.rng.u64(0..20_000);
            self.push_current(delay_us, index, Step::Disconnect(request_id));
        }
    }

    fn run_backend(&mut self, index: usize, request_id: id::Request) {
        let outcome = if store::chance(&mut self.rng, self.faults.refused_by_backend) {
            claim::Outcome::NotRun
        } else {
            let trace = self.traces.get_mut(&request_id).expect("begun");
            trace.runs += 1;
            let body = format!("number for {request_id}").into_bytes();
            let key = (trace.attempt.key, trace.attempt.content);
            self.responses.entry(key).or_insert_with(|| body.clone());
            if store::chance(&mut self.rng, self.faults.lost_responses) {
                claim::Outcome::Unknown
            } else {
                claim::Outcome::Responded {
                    status: 201,
                    content_type: "application/json".to_owned(),
                    body,
                }
            }
        };
        let delay_us = self.rng.u64(500..30_000);
        self.push_current(delay_us, index, Step::Outcome(request_id, outcome));
    }

    fn perform(&mut self, index: usize, actions: Vec<claim::Action>) {
        for action in actions {
            match action {
                claim::Action::Read { object } => {
                    let effect = self.store.read(self.now_us, &mut self.rng, object);
                    self.schedule_effect(index, effect);
                }
                claim::Action::Write {
                    object,
                    expected,
                    body,
                } => {
                    let write = store::Write {
                        object,
                        expected,
                        body,
                    };
                    let effect = self.store.write(self.now_us, &mut self.rng, write);
                    self.schedule_effect(index, effect);
                }
                claim::Action::Remove { object } => self.store.remove(&object),
                claim::Action::Decide {
                    request_id,
                    decision,
                } => self.decide(index, request_id, decision),
                claim::Action::Note(_) => {}
            }
        }
        self.schedule_tick(index);
    }

    fn schedule_effect(&mut self, index: usize, effect: Effect) {
        let delay_us = effect.reply_us - self.now_us;
        self.push_current(delay_us, index, Step::Reply(effect.event));
        if let Some((late_us, write)) = effect.late_write {
            self.push(late_us, index, 0, Step::LateWrite(write));
        }
    }

    fn decide(&mut self, index: usize, request_id: id::Request, decision: claim::Decision) {
        let trace = self.traces.get_mut(&request_id).expect("begun");
        trace.decisions += 1;
        trace.decided_us = self.now_us;
        match decision {
            claim::Decision::Granted => {
                let delay_us = self.rng.u64(0..2_000);
                self.push_current(delay_us, index, Step::Send(request_id));
            }
            claim::Decision::Replay { body, .. } => self.reply(request_id, Received::Replay(body)),
            claim::Decision::Refuse { kind, .. } => self.reply(request_id, Received::Refused(kind)),
        }
    }

    fn reply(&mut self, request_id: id::Request, received: Received) {
        let trace = self.traces.get_mut(&request_id).expect("begun");
        trace.received.get_or_insert(received);
    }

    fn schedule_tick(&mut self, index: usize) {
        let router = &self.routers[index];
        let local_us = self.now_us + router.clock_offset_us;
        let Some(tick_us) = router.claims.next_tick_us(local_us) else {
            return;
        };
        let at_us = tick_us.max(local_us + 1) - router.clock_offset_us;
        if at_us < router.tick_us {
            self.routers[index].tick_us = at_us;
            self.push_current(at_us - self.now_us, index, Step::Tick);
        }
    }
}

fn claims_finish(
    router: &mut Router,
    now_us: u64,
    request_id: id::Request,
    outcome: claim::Outcome,
) -> Vec<claim::Action> {
    router.claims.finish(now_us, request_id, outcome)
}
