//! Randomized events with fixed seeds, with invariants checked after every action.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use peridotrack_route::{
    event::{self, Action, Event, Note, Offer, Outcome, Target},
    options::Options,
    router::Router,
};
use peridotrack_types::{name, problem, register, rules};
use rstest::rstest;
use support::{MODEL, SECOND_US, SERVICE, request, rules};

const QUEUE_REQUESTS: u32 = 12;

/// State of one request as the driver knows it.
#[derive(Debug, Clone, Default)]
struct RequestState {
    idempotent: bool,
    service: bool,
    backend: Option<name::BackendServer>,
    sent: bool,
    byte_sent: bool,
    may_have_run: bool,
    events_seen: u64,
    dispatches: u32,
    finals: u32,
}

/// Drives a router with random events and checks every action against the state that the
/// driver knows.
struct Simulation {
    rng: fastrand::Rng,
    now_us: u64,
    router: Router,
    requests: BTreeMap<u64, RequestState>,
    register: register::Register,
    leaving: BTreeSet<name::BackendServer>,
    open_until_us: BTreeMap<name::BackendServer, u64>,
    covered: BTreeSet<&'static str>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let register = support::register(4, 3, 2);
        // A large retry budget covers more of the decisions after a failure.
        let options = Options {
            retry_ratio: if seed.is_multiple_of(2) { 0.1 } else { 1.0 },
            ..Options::default()
        };
        let mut router = Router::new(options, "domain-0".into(), seed, 0);
        router.configure(0, &register, &rules(QUEUE_REQUESTS));
        Self {
            rng: fastrand::Rng::with_seed(seed),
            now_us: 0,
            router,
            requests: BTreeMap::new(),
            register,
            leaving: BTreeSet::new(),
            open_until_us: BTreeMap::new(),
            covered: BTreeSet::new(),
        }
    }

    fn step(&mut self) {
        self.now_us += self.rng.u64(0..200_000);
        match self.rng.u32(0..100) {
            0..=29 => self.offer(),
            30..=44 => self.progress(),
            45..=74 => self.finish(),
            75..=79 => self.cancel(),
            80..=86 => self.report(),
            87..=88 => self.leave(),
            89..=91 => self.reconfigure(),
            _ => self.apply(Event::Tick),
        }
        self.check_status();
    }

    fn offer(&mut self) {
        let sequence = self.requests.len() as u64 + 1;
        let service = self.rng.bool();
        let idempotent = self.rng.bool();
        let target = match service {
            true => Target::Service(SERVICE.into()),
            false => Target::Model(MODEL.into()),
        };
        let priorities = [
            rules::Priority::Low,
            rules::Priority::Normal,
            rules::Priority::High,
        ];
        let state = RequestState {
            idempotent,
            service,
            ..RequestState::default()
        };
        self.requests.insert(sequence, state);
        let offer = Offer {
            request_id: request(sequence),
            target,
            account: format!("account-{}", self.rng.u32(0..4)).as_str().into(),
            priority: priorities[self.rng.usize(0..3)],
            prefix_hash: self.rng.bool().then(|| self.rng.u64(0..8)),
            size_tokens: self.rng.u64(1..1_000),
            deadline_us: self.now_us + self.rng.u64(0..40 * SECOND_US),
            idempotent,
            continuation: event::Continuation::default(),
            max_dispatches: None,
            origin: None,
            prompt: None,
        };
        let actions = self.router.offer(self.now_us, offer);
        self.check(&actions);
    }

    fn progress(&mut self) {
        let Some(sequence) = self.pick() else { return };
        let first_token = self.rng.bool();
        let state = self.requests.get_mut(&sequence).expect("known");
        if state.backend.is_some() {
            state.sent = true;
            state.byte_sent = true;
            if first_token {
                state.events_seen = state.events_seen.max(1);
            }
        }
        let request_id = request(sequence);
        self.apply(match first_token {
            true => Event::FirstToken { request_id },
            false => Event::Sent { request_id },
        });
    }

    fn finish(&mut self) {
        let Some(sequence) = self.pick() else { return };
        let state = self.requests.get_mut(&sequence).expect("known");
        let sent = state.sent || self.rng.bool();
        let events_seen = match sent {
            true => state.events_seen + self.rng.u64(0..3),
            false => state.events_seen,
        };
        let outcome = match self.rng.u32(0..10) {
            0..=2 => Outcome::Done,
            3 => Outcome::RefusedNotRun,
            4 | 5 if !state.sent => Outcome::ConnectFailed,
            6 => Outcome::Timeout { sent },
            7 => Outcome::Cancelled,
            _ => Outcome::Broken { sent, events_seen },
        };
        if state.backend.take().is_some() {
            let proved_not_run = matches!(outcome, Outcome::RefusedNotRun | Outcome::ConnectFailed);
            let claims_sent = matches!(
                outcome,
                Outcome::Broken { sent: true, .. } | Outcome::Timeout { sent: true }
            );
            state.byte_sent |= claims_sent;
            state.may_have_run |= !proved_not_run && (state.sent || claims_sent);
            if matches!(outcome, Outcome::Broken { .. }) {
                state.events_seen = events_seen;
            }
            state.sent = false;
            if matches!(outcome, Outcome::Done | Outcome::Cancelled) {
                state.finals += 1;
            }
        }
        let request_id = request(sequence);
        self.apply(Event::Finished {
            request_id,
            outcome,
        });
    }

    fn cancel(&mut self) {
        let Some(sequence) = self.pick() else { return };
        let state = self.requests.get_mut(&sequence).expect("known");
        state.backend = None;
        if state.finals == 0 {
            state.finals = 1;
        }
        let actions = self.router.cancel(self.now_us, request(sequence));
        self.check(&actions);
    }

    fn report(&mut self) {
        let backend = self.any_server();
        let event = Event::LoadReport {
            backend,
            running: self.rng.u32(0..4),
            queued: self.rng.u32(0..4),
            slots: 2,
            duration_percent: None,
            age_us: self.rng.u64(0..8 * SECOND_US),
            leaving: false,
        };
        self.apply(event);
    }

    fn leave(&mut self) {
        let backend = self.any_server();
        let status = self.router.status(self.now_us);
        if status.backend_servers.iter().any(|s| s.name == backend) {
            self.leaving.insert(backend.clone());
        }
        self.apply(Event::Leaving { backend });
    }

    fn reconfigure(&mut self) {
        self.register = support::register(4, 3, 2);
        let removed = self.rng.u32(0..1 << 7) & self.rng.u32(0..1 << 7);
        let mut number = 0;
        let mut keeps = || {
            number += 1;
            removed & (1 << (number - 1)) == 0
        };
        self.register.engines.retain(|_| keeps());
        self.register.services.retain(|_| keeps());
        let rules = rules(QUEUE_REQUESTS);
        let actions = self.router.configure(self.now_us, &self.register, &rules);
        self.check_all(&actions, true);
    }

    fn apply(&mut self, event: Event) {
        let actions = self.router.on_event(self.now_us, event);
        self.check(&actions);
    }

    fn check(&mut self, actions: &[Action]) {
        self.check_all(actions, false);
    }

    fn check_all(&mut self, actions: &[Action], configured: bool) {
        for action in actions {
            match action {
                Action::Dispatch {
                    request_id,
                    backend,
                    attempt,
                } => self.check_dispatch(request_id.sequence, backend, *attempt),
                Action::Resume {
                    request_id,
                    backend,
                    offset,
                } => {
                    let state = self.requests.get_mut(&request_id.sequence).expect("known");
                    assert_eq!((state.finals, &state.backend), (0, &None));
                    assert!(state.idempotent && state.events_seen == *offset && *offset > 0);
                    state.backend = Some(backend.clone());
                    state.sent = true;
                    self.covered.insert("resumed");
                }
                Action::Refuse {
                    request_id,
                    kind,
                    retry_after_ms,
                } => {
                    let state = self.requests.get_mut(&request_id.sequence).expect("known");
                    assert_eq!((state.finals, &state.backend), (0, &None));
                    assert!(*retry_after_ms > 0);
                    let ran = match state.may_have_run {
                        true => problem::Ran::Unknown,
                        false => problem::Ran::No,
                    };
                    assert_eq!(kind.ran(), ran);
                    self.covered.insert(kind.slug());
                    state.finals += 1;
                }
                Action::Note(note) => self.check_note(note, configured),
            }
        }
    }

    fn check_dispatch(&mut self, sequence: u64, backend: &name::BackendServer, attempt: u32) {
        let state = self.requests.get_mut(&sequence).expect("known");
        assert_eq!(
            (state.finals, &state.backend),
            (0, &None),
            "already decided"
        );
        assert!(state.idempotent || !state.byte_sent, "sent twice");
        assert_eq!(state.events_seen, 0, "response started twice");
        state.dispatches += 1;
        assert_eq!(state.dispatches, attempt);
        self.covered.insert(match (attempt > 1, state.idempotent) {
            (false, _) => "dispatched",
            (true, true) => "retried",
            (true, false) => "retried non-idempotent",
        });
        state.backend = Some(backend.clone());
        let listed = match state.service {
            true => self.register.services.iter().any(|s| &s.name == backend),
            false => self.register.engines.iter().any(|e| &e.name == backend),
        };
        assert!(listed, "{backend} is removed or serves something else");
        assert!(!self.leaving.contains(backend), "{backend} is leaving");
        let open_until_us = self.open_until_us.get(backend).copied().unwrap_or(0);
        assert!(self.now_us >= open_until_us, "{backend} is open");
    }

    fn check_note(&mut self, note: &Note, configured: bool) {
        self.covered.insert(match note {
            Note::BreakerOpened { .. } => "opened",
            Note::BreakerClosed { .. } => "closed",
            Note::Leaving { .. } => "leaving",
            Note::LeavingStated { .. } => "leaving stated",
            Note::Paused { .. } => "paused",
            Note::Ended { .. } => "ended",
            Note::Returned { .. } => "returned",
            Note::Drained { .. } => "drained",
            Note::RetryDenied { .. } => "retry denied",
        });
        match note {
            Note::BreakerOpened { backend, open_us } => {
                let until_us = self.now_us + open_us;
                self.open_until_us.insert(backend.clone(), until_us);
            }
            Note::Returned { backend } => drop(self.leaving.remove(backend)),
            Note::Drained { backend } => {
                self.leaving.remove(backend);
                self.open_until_us.remove(backend);
                assert!(configured || !self.is_listed(backend));
            }
            _ => {}
        }
    }

    fn check_status(&self) {
        let status = self.router.status(self.now_us);
        let known = |name: &name::BackendServer| {
            let mut servers = status.backend_servers.iter();
            servers.any(|server| &server.name == name)
        };
        assert!(
            self.register
                .engines
                .iter()
                .all(|engine| known(&engine.name))
        );
        assert!(
            self.register
                .services
                .iter()
                .all(|service| known(&service.name))
        );
        for pool in &status.pools {
            assert!(pool.queued_requests <= QUEUE_REQUESTS as usize);
        }
        for server in &status.backend_servers {
            let at = |state: &&RequestState| state.backend.as_ref() == Some(&server.name);
            let in_flight = self.requests.values().filter(at).count();
            assert_eq!(server.in_flight_requests as usize, in_flight);
        }
        let open = self.requests.values().filter(|state| state.finals == 0);
        assert_eq!(open.count(), self.router.open_requests());
    }

    /// Ends all open requests and checks that each got exactly one final outcome.
    fn finish_all(&mut self) {
        for _ in 0..1_000 {
            self.now_us += SECOND_US;
            self.apply(Event::Tick);
            let open = |(&sequence, state): (&u64, &RequestState)| {
                state.backend.is_some().then_some(sequence)
            };
            for sequence in self.requests.iter().filter_map(open).collect::<Vec<_>>() {
                let state = self.requests.get_mut(&sequence).expect("known");
                state.backend = None;
                state.finals += 1;
                let request_id = request(sequence);
                let outcome = Outcome::Done;
                self.apply(Event::Finished {
                    request_id,
                    outcome,
                });
            }
        }
        for (sequence, state) in &self.requests {
            assert_eq!(state.finals, 1, "request {sequence}: {state:?}");
        }
        assert_eq!(self.router.open_requests(), 0);
    }

    /// Returns a recent request, which may have ended.
    fn pick(&mut self) -> Option<u64> {
        let count = self.requests.len() as u64;
        let back = self.rng.u64(0..30);
        (count > back).then(|| count - back)
    }

    fn any_server(&mut self) -> name::BackendServer {
        let register = support::register(4, 3, 2);
        match self.rng.usize(0..7) {
            number @ 0..4 => register.engines[number].name.clone(),
            number => register.services[number - 4].name.clone(),
        }
    }

    fn is_listed(&self, backend: &name::BackendServer) -> bool {
        self.register.engines.iter().any(|e| &e.name == backend)
            || self.register.services.iter().any(|s| &s.name == backend)
    }
}

/// Decisions and notes that the random events must cover for the search to be meaningful.
const REQUIRED_COVERAGE: [&str; 14] = [
    "backend-failed",
    "closed",
    "dispatched",
    "drained",
    "leaving",
    "no-backend-server",
    "opened",
    "outcome-unknown",
    "overloaded",
    "resumed",
    "retried",
    "retried non-idempotent",
    "retry denied",
    "returned",
];

#[rstest]
fn random_events_keep_the_invariants(#[values(1, 2, 3, 4, 5, 6, 7, 8)] block: u64) {
    let mut covered = BTreeSet::new();
    for seed in block * 1_000..block * 1_000 + 100 {
        let mut simulation = Simulation::new(seed);
        for _ in 0..800 {
            simulation.step();
        }
        simulation.finish_all();
        covered.append(&mut simulation.covered);
    }
    assert!(covered.iter().eq(&REQUIRED_COVERAGE), "{covered:?}");
}
