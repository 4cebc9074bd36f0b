//! Handling of requests in the simulation, from arrival to the final outcome.

use peridotrack_route::event::{Action, Continuation, Event, Note, Offer, Outcome, Target};

use super::{
    AttemptResult, CROSS_DOMAIN_LATENCY_US, Fleet, GOSSIP_DELAY_US, Scheduled, one_way_latency_us,
};
use crate::route::{
    case::{MODEL, hash_prefix, request_id},
    engine::Job,
    policy::{self, PolicyRouter},
};

/// Output tokens assumed in the estimated size of a request.
const EXPECTED_OUTPUT_TOKENS: u64 = 256;

impl Fleet<'_> {
    pub(super) fn arrive(&mut self, request: usize) {
        self.schedule(self.case.deadline_us, Scheduled::Deadline(request));
        let trace = &self.run.traces[request];
        let arrival = &trace.arrival;
        let number = arrival.router;
        let offer = Offer {
            request_id: request_id(request),
            target: Target::Model(MODEL.into()),
            account: format!("account-{}", arrival.account).into(),
            priority: arrival.priority,
            prefix_hash: arrival.prefix.map(hash_prefix),
            size_tokens: arrival.prefix_tokens + arrival.prompt_tokens + EXPECTED_OUTPUT_TOKENS,
            deadline_us: self.now_us + self.case.deadline_us,
            idempotent: arrival.idempotent,
            continuation: Continuation::default(),
            max_dispatches: None,
            origin: None,
            prompt: None,
        };
        match &mut self.routers[number] {
            PolicyRouter::Peridotrack(router) => {
                let actions = router.offer(self.now_us, offer);
                self.perform(actions);
            }
            PolicyRouter::Baseline {
                policy,
                in_flight,
                last_chosen,
                rng,
            } => {
                let engine = policy::choose_engine(*policy, in_flight, last_chosen, rng);
                in_flight[engine] += 1;
                self.dispatch(request, engine);
            }
        }
    }

    pub(super) fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch {
                    request_id,
                    backend,
                    ..
                } => {
                    let engine = self.engine_index(&backend);
                    self.dispatch(request_id.sequence as usize, engine);
                }
                Action::Resume { request_id, .. } => {
                    // Only engines that vanish break streams, so a resume fails to connect.
                    let request = request_id.sequence as usize;
                    let trace = &mut self.run.traces[request];
                    trace.attempts += 1;
                    let attempt = trace.attempts;
                    trace.open_attempt = Some((0, attempt));
                    let result = AttemptResult::ConnectFailed;
                    self.schedule(
                        CROSS_DOMAIN_LATENCY_US,
                        Scheduled::AttemptEnd {
                            request,
                            attempt,
                            result,
                        },
                    );
                }
                Action::Refuse {
                    request_id, kind, ..
                } => {
                    let trace = &mut self.run.traces[request_id.sequence as usize];
                    trace.refusal = Some(kind);
                    trace.ended = true;
                }
                Action::Note(Note::Leaving { backend }) if self.case.has_gossip => {
                    let engine = self.engine_index(&backend);
                    self.schedule(GOSSIP_DELAY_US, Scheduled::LeavingNotice { engine });
                }
                Action::Note(_) => {}
            }
        }
    }

    pub(super) fn dispatch(&mut self, request: usize, engine: usize) {
        let trace = &mut self.run.traces[request];
        trace.attempts += 1;
        let attempt = trace.attempts;
        trace.open_attempt = Some((engine, attempt));
        let delay_us = one_way_latency_us(trace.arrival.router, engine);
        self.schedule(delay_us, Scheduled::Deliver { request, attempt });
    }

    pub(super) fn deliver(&mut self, request: usize, attempt: u32) {
        let trace = &mut self.run.traces[request];
        let Some((engine, _)) = trace.open_attempt.filter(|&(_, open)| open == attempt) else {
            return;
        };
        if self.engines[engine].leaving {
            self.run.last_to_leaving_us = Some(self.now_us);
        }
        let return_latency_us = one_way_latency_us(trace.arrival.router, engine);
        let result = match &self.engines[engine] {
            engine if !engine.alive => Some(AttemptResult::ConnectFailed),
            engine if engine.leaving => Some(AttemptResult::Refused),
            _ => None,
        };
        if let Some(result) = result {
            return self.schedule(
                return_latency_us,
                Scheduled::AttemptEnd {
                    request,
                    attempt,
                    result,
                },
            );
        }
        trace.executions += 1;
        let arrival = &trace.arrival;
        self.engines[engine].push(Job::new(request, attempt, arrival));
        let router = arrival.router;
        let request_id = request_id(request);
        self.notify(router, Event::Sent { request_id });
        self.begin_step(engine);
    }

    pub(super) fn on_first_token(&mut self, request: usize, attempt: u32) {
        let now_us = self.now_us;
        let trace = &mut self.run.traces[request];
        if trace.open_attempt.is_none_or(|(_, open)| open != attempt) {
            return;
        }
        let waited_us = now_us - trace.arrival.arrival_us;
        trace.first_token_us.get_or_insert(waited_us);
        let router = trace.arrival.router;
        let request_id = request_id(request);
        self.notify(router, Event::FirstToken { request_id });
    }

    pub(super) fn end_attempt(&mut self, request: usize, attempt: u32, result: AttemptResult) {
        let trace = &mut self.run.traces[request];
        let Some((engine, _)) = trace.open_attempt.filter(|&(_, open)| open == attempt) else {
            return;
        };
        trace.open_attempt = None;
        let router = trace.arrival.router;
        let outcome = match result {
            AttemptResult::Done => {
                trace.done_us = Some(self.now_us);
                trace.ended = true;
                Outcome::Done
            }
            AttemptResult::Refused => Outcome::RefusedNotRun,
            AttemptResult::ConnectFailed => Outcome::ConnectFailed,
            AttemptResult::Broken { events_seen } => Outcome::Broken {
                sent: true,
                events_seen,
            },
        };
        if let PolicyRouter::Baseline { in_flight, .. } = &mut self.routers[router] {
            in_flight[engine] -= 1;
            trace.ended = true;
        }
        if result == AttemptResult::Refused {
            let backend = self.names[engine].clone();
            self.notify(router, Event::Leaving { backend });
        }
        let request_id = request_id(request);
        let event = Event::Finished {
            request_id,
            outcome,
        };
        self.notify(router, event);
    }

    pub(super) fn on_deadline(&mut self, request: usize) {
        let trace = &mut self.run.traces[request];
        if trace.ended {
            return;
        }
        trace.ended = true;
        let open_attempt = trace.open_attempt.take();
        let router = trace.arrival.router;
        if let Some((engine, _)) = open_attempt {
            self.engines[engine].cancel(request);
        }
        match &mut self.routers[router] {
            PolicyRouter::Peridotrack(router) => {
                let actions = router.cancel(self.now_us, request_id(request));
                self.perform(actions);
            }
            PolicyRouter::Baseline { in_flight, .. } => {
                if let Some((engine, _)) = open_attempt {
                    in_flight[engine] -= 1;
                }
            }
        }
    }
}
