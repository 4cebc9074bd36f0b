//! Requests: from arrival to their final outcome.

use peridotrack_route::event::{Action, Continuation, Event, Note, Offer, Outcome, Target};

use super::{FAR_US, Fleet, Happening, How, PEER_US, way_us};
use crate::route::{
    case::{MODEL, request_id, spread},
    engine::Job,
    policy::{self, Chooser},
};

/// Output that the router takes for granted when it estimates a request's size.
const EXPECTED_OUTPUT_TOKENS: u64 = 256;

impl Fleet<'_> {
    pub(super) fn arrive(&mut self, request: usize) {
        self.after(self.case.deadline_us, Happening::Deadline(request));
        let trace = &self.run.traces[request];
        let arrival = &trace.arrival;
        let number = arrival.router;
        let offer = Offer {
            request_id: request_id(request),
            target: Target::Model(MODEL.into()),
            account: format!("account-{}", arrival.account).into(),
            priority: arrival.priority,
            prefix_hash: arrival.prefix.map(spread),
            size_tokens: arrival.prefix_tokens + arrival.prompt_tokens + EXPECTED_OUTPUT_TOKENS,
            deadline_us: self.now_us + self.case.deadline_us,
            idempotent: arrival.idempotent,
            continuation: Continuation::default(),
            max_dispatches: None,
            prompt: None,
        };
        match &mut self.routers[number] {
            Chooser::Peridotrack(router) => {
                let actions = router.offer(self.now_us, offer);
                self.act(actions);
            }
            Chooser::Baseline {
                policy,
                in_flight,
                next,
                rng,
            } => {
                let engine = policy::choose(*policy, in_flight, next, rng);
                in_flight[engine] += 1;
                self.dispatch(request, engine);
            }
        }
    }

    pub(super) fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch {
                    request_id,
                    backend,
                    ..
                } => {
                    let engine = self.engine(&backend);
                    self.dispatch(request_id.sequence as usize, engine);
                }
                Action::Resume { request_id, .. } => {
                    // Fake engines that broke a stream are gone, so a resume fails.
                    let request = request_id.sequence as usize;
                    let trace = &mut self.run.traces[request];
                    trace.attempts += 1;
                    let attempt = trace.attempts;
                    trace.at = Some((0, attempt));
                    let how = How::ConnectFailed;
                    self.after(
                        FAR_US,
                        Happening::Finish {
                            request,
                            attempt,
                            how,
                        },
                    );
                }
                Action::Refuse {
                    request_id, kind, ..
                } => {
                    let trace = &mut self.run.traces[request_id.sequence as usize];
                    trace.refused = Some(kind);
                    trace.ended = true;
                }
                Action::Note(Note::Leaving { backend }) if self.case.peers => {
                    let engine = self.engine(&backend);
                    self.after(PEER_US, Happening::Told { engine });
                }
                Action::Note(_) => {}
            }
        }
    }

    pub(super) fn dispatch(&mut self, request: usize, engine: usize) {
        let trace = &mut self.run.traces[request];
        trace.attempts += 1;
        let attempt = trace.attempts;
        trace.at = Some((engine, attempt));
        let delay_us = way_us(trace.arrival.router, engine);
        self.after(delay_us, Happening::Deliver { request, attempt });
    }

    pub(super) fn deliver(&mut self, request: usize, attempt: u32) {
        let trace = &mut self.run.traces[request];
        let Some((engine, _)) = trace.at.filter(|&(_, open)| open == attempt) else {
            return;
        };
        if self.engines[engine].leaving {
            self.run.last_to_leaving_us = Some(self.now_us);
        }
        let back_us = way_us(trace.arrival.router, engine);
        let how = match &self.engines[engine] {
            engine if !engine.alive => Some(How::ConnectFailed),
            engine if engine.leaving => Some(How::Refused),
            _ => None,
        };
        if let Some(how) = how {
            return self.after(
                back_us,
                Happening::Finish {
                    request,
                    attempt,
                    how,
                },
            );
        }
        trace.runs += 1;
        let arrival = &trace.arrival;
        self.engines[engine].push(Job::new(request, attempt, arrival));
        let router = arrival.router;
        let request_id = request_id(request);
        self.tell(router, Event::Sent { request_id });
        self.begin_step(engine);
    }

    pub(super) fn first(&mut self, request: usize, attempt: u32) {
        let now_us = self.now_us;
        let trace = &mut self.run.traces[request];
        if trace.at.is_none_or(|(_, open)| open != attempt) {
            return;
        }
        let waited_us = now_us - trace.arrival.arrival_us;
        trace.first_token_us.get_or_insert(waited_us);
        let router = trace.arrival.router;
        let request_id = request_id(request);
        self.tell(router, Event::FirstToken { request_id });
    }

    pub(super) fn finish(&mut self, request: usize, attempt: u32, how: How) {
        let trace = &mut self.run.traces[request];
        let Some((engine, _)) = trace.at.filter(|&(_, open)| open == attempt) else {
            return;
        };
        trace.at = None;
        let router = trace.arrival.router;
        let outcome = match how {
            How::Done => {
                trace.done_us = Some(self.now_us);
                trace.ended = true;
                Outcome::Done
            }
            How::Refused => Outcome::RefusedNotRun,
            How::ConnectFailed => Outcome::ConnectFailed,
            How::Broken { events_seen } => Outcome::Broken {
                sent: true,
                events_seen,
            },
        };
        if let Chooser::Baseline { in_flight, .. } = &mut self.routers[router] {
            in_flight[engine] -= 1;
            trace.ended = true;
        }
        if how == How::Refused {
            let backend = self.names[engine].clone();
            self.tell(router, Event::Leaving { backend });
        }
        let request_id = request_id(request);
        let event = Event::Finished {
            request_id,
            outcome,
        };
        self.tell(router, event);
    }

    pub(super) fn deadline(&mut self, request: usize) {
        let trace = &mut self.run.traces[request];
        if trace.ended {
            return;
        }
        trace.ended = true;
        let at = trace.at.take();
        let router = trace.arrival.router;
        if let Some((engine, _)) = at {
            self.engines[engine].cancel(request);
        }
        match &mut self.routers[router] {
            Chooser::Peridotrack(router) => {
                let actions = router.cancel(self.now_us, request_id(request));
                self.act(actions);
            }
            Chooser::Baseline { in_flight, .. } => {
                if let Some((engine, _)) = at {
                    in_flight[engine] -= 1;
                }
            }
        }
    }
}
