//! A fleet of routers and the servers of one service in simulated time.

use std::collections::BTreeMap;

use fastrand::Rng;
use peridotrack_quarantine::{
    event::{Action, Event, Now, Trial},
    options::Options,
    quarantine::Quarantine,
    recheck::{Claims, Outcome},
    signature::Signature,
    statement::Statement,
};

use crate::scenario::{Arrivals, Fault, Scenario};

pub const MS: u64 = 1_000;
const STEP_US: u64 = 5 * MS;
/// End of a run.
const END_US: u64 = 30_000 * MS;
/// Time within which the fleet must have stopped after the crashes that count.
const CONTACT_US: u64 = 3_000 * MS;
/// Time after the return of servers that ended in series within which requests must be served again.
const SETTLE_US: u64 = 10_000 * MS;
/// Time for which a request waits for a server.
const DEADLINE_US: u64 = 1_000 * MS;
/// Time after the end of a server in which a router may still send on a kept connection.
const STALE_US: u64 = 20 * MS;

/// A request of a client.
#[derive(Clone)]
struct Request {
    router: usize,
    signatures: Vec<Signature>,
    arrived_us: u64,
    attempts: u32,
}

/// A request at a server.
struct Running {
    request: Request,
    trial: Trial,
    /// When the server begins to run it.
    begins_us: u64,
    /// When the response is complete, or the server ends.
    ends_us: u64,
}

struct Server {
    name: String,
    requests: Vec<Running>,
    /// When it ended and when it returns.
    ended_us: Option<(u64, u64)>,
}

/// A statement on its way to a router or to the store.
struct Message {
    arrives_us: u64,
    to: Receiver,
    author: usize,
    statement: Statement,
}

#[derive(Clone, Copy)]
enum Receiver {
    Router(usize),
    Store,
}

pub struct Fleet {
    rng: Rng,
    now_us: u64,
    scenario: Scenario,
    routers: Vec<Quarantine>,
    clock_steps_ms: Vec<u64>,
    is_peers_cut: bool,
    servers: Vec<Server>,
    /// Requests that wait for a server.
    waiting: Vec<Request>,
    messages: Vec<Message>,
    stored: BTreeMap<usize, Statement>,
    /// Claims of rechecks in the store, by the name of their object.
    claims: BTreeMap<String, Claims>,
    started: usize,
    pub crashes_us: Vec<u64>,
    fatal_sent_us: Vec<u64>,
    pub sound: usize,
    pub sound_refused: usize,
    /// When requests must be served again after servers ended in series.
    settled_us: u64,
    pub settled: usize,
    pub settled_refused: usize,
}

impl Fleet {
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let mut fleet = Self {
            rng: Rng::with_seed(seed),
            now_us: 0,
            routers: (0..scenario.routers).map(quarantine).collect(),
            clock_steps_ms: vec![0; scenario.routers],
            is_peers_cut: scenario.fault == Fault::PeersCut,
            servers: Vec::new(),
            waiting: Vec::new(),
            messages: Vec::new(),
            stored: BTreeMap::new(),
            claims: BTreeMap::new(),
            started: 0,
            crashes_us: Vec::new(),
            fatal_sent_us: Vec::new(),
            sound: 0,
            sound_refused: 0,
            settled_us: u64::MAX,
            settled: 0,
            settled_refused: 0,
            scenario,
        };
        for _ in 0..fleet.scenario.servers {
            let server = fleet.new_server();
            fleet.servers.push(server);
        }
        fleet
    }

    fn new_server(&mut self) -> Server {
        self.started += 1;
        Server {
            name: format!("s-{}", self.started),
            requests: Vec::new(),
            ended_us: None,
        }
    }

    fn now(&self, router: usize) -> Now {
        Now {
            monotonic_us: self.now_us,
            wall_ms: 10_000_000 + self.now_us / MS - self.clock_steps_ms[router],
        }
    }

    fn handle(&mut self, router: usize, event: Event) {
        let now = self.now(router);
        for action in self.routers[router].on_event(now, event) {
            match action {
                Action::Send(statement) => self.broadcast(router, &statement),
                Action::Write(statement) => self.post(Receiver::Store, router, statement, 5..20),
                Action::Note(_) => {}
            }
        }
    }

    fn broadcast(&mut self, author: usize, statement: &Statement) {
        if self.is_peers_cut {
            return;
        }
        for router in (0..self.routers.len()).filter(|router| *router != author) {
            self.post(Receiver::Router(router), author, statement.clone(), 1..10);
        }
    }

    fn post(
        &mut self,
        to: Receiver,
        author: usize,
        statement: Statement,
        delay_ms: std::ops::Range<u64>,
    ) {
        self.messages.push(Message {
            arrives_us: self.now_us + self.rng.u64(delay_ms) * MS,
            to,
            author,
            statement,
        });
    }

    fn deliver(&mut self) {
        let now_us = self.now_us;
        let due: Vec<Message> = self
            .messages
            .extract_if(.., |message| message.arrives_us <= now_us)
            .collect();
        for message in due {
            let Message {
                author, statement, ..
            } = message;
            match message.to {
                Receiver::Router(router) => self.handle(router, stated(author, statement)),
                Receiver::Store => {
                    self.stored.insert(author, statement.clone());
                    self.handle(author, Event::Written);
                    // Watches of the store, directly or through a relay.
                    for router in 0..self.routers.len() {
                        self.post(Receiver::Router(router), author, statement.clone(), 5..50);
                    }
                }
            }
        }
    }

    /// Receives a request of a client at a router.
    fn receive(&mut self, router: usize, signatures: Vec<Signature>) {
        let request = Request {
            router,
            signatures,
            arrived_us: self.now_us,
            attempts: 0,
        };
        let is_sound = !self.scenario.is_fatal(&request.signatures);
        self.sound += usize::from(is_sound);
        let is_settled = self.now_us >= self.settled_us;
        self.settled += usize::from(is_settled);
        match self.admit(router, &request.signatures) {
            true => self.dispatch(request),
            false => {
                self.sound_refused += usize::from(is_sound);
                self.settled_refused += usize::from(is_settled);
            }
        }
    }

    /// Returns whether a request may be sent, after the claims that are due.
    fn admit(&mut self, router: usize, signatures: &[Signature]) -> bool {
        let now = self.now(router);
        while let Err(refusal) = self.routers[router].check(now, signatures) {
            let Some(claim) = self.routers[router].claim(now, &refusal.block) else {
                return false;
            };
            let name = claim.object_name();
            let outcome = match claim.next(self.claims.get(&name)) {
                Ok(next) => {
                    let count = next.count;
                    self.claims.insert(name, next);
                    Outcome::Granted { count }
                }
                Err(taken) => taken,
            };
            self.handle(router, Event::Claimed { claim, outcome });
        }
        true
    }

    /// Sends a request to a random server, or has it wait for one. A router does not know which
    /// servers have ended, but they refuse its new connections.
    fn dispatch(&mut self, mut request: Request) {
        let now_us = self.now_us;
        let is_running = |server: &&usize| self.servers[**server].ended_us.is_none();
        let numbers: Vec<usize> = (0..self.servers.len()).collect();
        let running: Vec<usize> = numbers.iter().filter(is_running).copied().collect();
        let is_stale = |server: &&usize| {
            let ended = self.servers[**server].ended_us;
            ended.is_some_and(|(ended_us, _)| now_us < ended_us + STALE_US)
        };
        let stale: Vec<usize> = numbers.iter().filter(is_stale).copied().collect();
        if running.is_empty() && stale.is_empty() {
            self.waiting.push(request);
            return;
        }
        let now = self.now(request.router);
        let begun = self.routers[request.router].begin(now, &request.signatures);
        let is_fatal = self.scenario.is_fatal(&request.signatures);
        let trial = match begun {
            Ok(trial) => trial,
            Err(_) => {
                self.sound_refused += usize::from(!is_fatal && request.attempts == 0);
                return;
            }
        };
        request.attempts += 1;
        // Requests in sequence are sent on new connections, which show that the server runs.
        if trial.depth() == 1 && !stale.is_empty() && (running.is_empty() || self.rng.bool()) {
            let name = self.servers[stale[0]].name.clone();
            self.break_attempt(request, trial, &name);
            return;
        }
        if running.is_empty() {
            self.routers[request.router].withdraw(&trial);
            request.attempts -= 1;
            self.waiting.push(request);
            return;
        }
        if is_fatal {
            self.fatal_sent_us.push(now_us);
        }
        let server = running[self.rng.usize(..running.len())];
        let begins_us = now_us + self.rng.u64(self.scenario.queue_ms.clone()) * MS;
        let run_ms = match is_fatal {
            true => self.scenario.crash_ms..self.scenario.crash_ms + 10,
            false => self.scenario.run_ms.clone(),
        };
        let ends_us = begins_us + self.rng.u64(run_ms) * MS;
        self.servers[server].requests.push(Running {
            request,
            trial,
            begins_us,
            ends_us,
        });
    }

    /// Reports an attempt whose server ended, and sends the request again if it may.
    fn break_attempt(&mut self, request: Request, trial: Trial, server: &str) {
        let router = request.router;
        let broken = Event::Broken {
            trial,
            backend_server: server.into(),
        };
        self.handle(router, broken);
        let backend_server = server.into();
        self.handle(router, Event::ServerEnded { backend_server });
        let is_left = request.attempts < self.scenario.max_attempts;
        if is_left && self.routers[router].may_retry(&request.signatures) {
            self.dispatch(request);
        }
    }

    fn run_servers(&mut self) {
        for number in 0..self.servers.len() {
            let now_us = self.now_us;
            if let Some((_, returns_us)) = self.servers[number].ended_us {
                if now_us >= returns_us {
                    self.servers[number] = self.new_server();
                }
                continue;
            }
            let done: Vec<Running> = self.servers[number]
                .requests
                .extract_if(.., |running| running.ends_us <= now_us)
                .collect();
            let is_fatal = |running: &Running| self.scenario.is_fatal(&running.request.signatures);
            if done.iter().any(is_fatal) {
                self.crashes_us.push(now_us);
                self.servers[number].requests.extend(done);
                self.end_servers(number..=number);
                continue;
            }
            for running in done {
                let Request {
                    router, signatures, ..
                } = running.request;
                self.handle(router, Event::Completed { signatures });
            }
        }
    }

    /// Ends servers at the same moment, after which no request is sent to any of them.
    fn end_servers(&mut self, numbers: impl Iterator<Item = usize>) {
        let now_us = self.now_us;
        let mut broken = Vec::new();
        for number in numbers {
            let return_ms = self.rng.u64(self.scenario.return_ms.clone());
            let server = &mut self.servers[number];
            if server.ended_us.is_none() {
                server.ended_us = Some((now_us, now_us + return_ms * MS));
                let requests = std::mem::take(&mut server.requests);
                let name = server.name.clone();
                broken.extend(requests.into_iter().map(|running| (name.clone(), running)));
            }
        }
        for (name, running) in broken {
            // Of a stream that has begun, the first event takes some more time; after it the end of
            // the server is no crash.
            let is_streaming = self.scenario.is_stream && running.begins_us + 100 * MS < now_us;
            if !is_streaming {
                self.break_attempt(running.request, running.trial, &name);
            }
        }
    }

    fn inject(&mut self) {
        let is = |fault| self.scenario.fault == fault || self.scenario.fault == Fault::All;
        let (loses_power, restarts) = (is(Fault::PowerLoss), is(Fault::Restart));
        let (steps_clocks, cuts_peers) = (is(Fault::ClockStep), is(Fault::All));
        let count = self.servers.len();
        if loses_power {
            self.end_servers(0..count / 2);
        }
        if self.scenario.fault == Fault::AllServers {
            self.end_servers(0..count);
        }
        self.is_peers_cut |= cuts_peers;
        for number in (0..self.routers.len()).step_by(3) {
            if restarts {
                self.routers[number] = quarantine(number);
                for (author, statement) in self.stored.clone() {
                    self.handle(number, stated(author, statement));
                }
            }
            if steps_clocks {
                self.clock_steps_ms[number] = 5_000;
            }
        }
    }

    /// Ends each server once, the next one after each gap.
    fn end_in_series(&mut self, begin_us: u64, gap_us: u64) {
        let count = self.servers.len();
        for number in 0..count {
            let end_us = begin_us + number as u64 * gap_us;
            if (end_us..end_us + STEP_US).contains(&self.now_us) {
                self.end_servers(number..=number);
            }
        }
        let returned_us = begin_us + count as u64 * gap_us + self.scenario.return_ms.end * MS;
        self.settled_us = returned_us + SETTLE_US;
    }

    fn send_waiting(&mut self) {
        let oldest_us = self.now_us.saturating_sub(DEADLINE_US);
        for request in std::mem::take(&mut self.waiting) {
            if request.arrived_us >= oldest_us {
                self.dispatch(request);
            }
        }
    }

    /// Sends the fatal requests that are due, and returns when the next are.
    fn send_fatal(&mut self) -> u64 {
        let signatures = self.scenario.fatal_request(&mut self.rng);
        match self.scenario.arrivals {
            Arrivals::Steady { interval_ms } => {
                let router = self.rng.usize(..self.routers.len());
                self.receive(router, signatures);
                self.now_us + self.rng.u64(interval_ms / 4..interval_ms * 7 / 4) * MS
            }
            Arrivals::Waves { interval_ms, size } => {
                let first = self.rng.usize(..self.routers.len());
                for number in first..first + size {
                    self.receive(number % self.routers.len(), signatures.clone());
                }
                self.now_us + interval_ms * MS
            }
            Arrivals::None => u64::MAX,
        }
    }

    pub fn run(&mut self) {
        let mut fatal_us = 1_000 * MS;
        let mut sound_us = 0;
        let fault_us = self.rng.u64(2_000..8_000) * MS;
        while self.now_us < END_US {
            if self.now_us >= sound_us {
                sound_us += 25 * MS;
                let router = self.rng.usize(..self.routers.len());
                let signatures = self.scenario.sound_request(&mut self.rng);
                self.receive(router, signatures);
            }
            if self.now_us >= fatal_us {
                fatal_us = self.send_fatal();
            }
            if (fault_us..fault_us + STEP_US).contains(&self.now_us) {
                self.inject();
            }
            if let Fault::ServersInSeries { gap_ms } = self.scenario.fault {
                self.end_in_series(fault_us, gap_ms * MS);
            }
            self.send_waiting();
            self.run_servers();
            self.deliver();
            for router in 0..self.routers.len() {
                self.handle(router, Event::Tick);
            }
            self.now_us += STEP_US;
        }
    }

    /// Returns how many fatal requests reached servers too late.
    pub fn late(&self) -> usize {
        let Some(last_us) = self.crashes_us.get(self.scenario.counted_crashes - 1) else {
            return 0;
        };
        let is_late = |sent_us: &&u64| **sent_us > last_us + CONTACT_US;
        self.fatal_sent_us.iter().filter(is_late).count()
    }
}

fn quarantine(number: usize) -> Quarantine {
    Quarantine::new(format!("vm-{number}").as_str().into(), Options::default())
}

fn stated(author: usize, statement: Statement) -> Event {
    Event::Stated {
        author: format!("vm-{author}").as_str().into(),
        statement,
    }
}
