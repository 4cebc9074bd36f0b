//! Fleets of routers in simulated time: servers crash under one prompt part while others end for
//! other reasons, routers are cut from each other or restarted, and sound requests go on.

use std::collections::BTreeMap;

use fastrand::Rng;
use peridotrack_quarantine::{
    event::{Action, Event, Now, Trial},
    options::Options,
    quarantine::Quarantine,
    statement::{Part, Statement},
};
use rstest::rstest;

const MS: u64 = 1_000;
const STEP_US: u64 = 5 * MS;
/// End of a run.
const END_US: u64 = 30_000 * MS;
/// Time within which the fleet must have stopped after the fifth crash.
const CONTACT_US: u64 = 3_000 * MS;
/// Time after which a server that ended returns under a new name.
const RETURN_US: u64 = 3_000 * MS;
const SERVERS: usize = 9;
/// First part of all prompts.
const FIRST: Part = Part(1);
/// Part under which servers crash.
const FATAL: Part = Part(0xbad);
/// Second parts, which requests with and without the fatal part have.
const SECOND_PARTS: u64 = 12;
/// Requests with the fatal part that may be sent later than [`CONTACT_US`] after the fifth crash.
const MAX_LATE: usize = 3;

/// Faults of a run beside the fatal part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Half of the servers lose power at once.
    PowerLoss,
    /// Routers reach the store, but not each other.
    PeersCut,
    /// A third of the routers restart.
    Restart,
    /// The clocks of some routers jump back.
    ClockStep,
}

/// A request at a server.
struct Request {
    router: usize,
    parts: Vec<Part>,
    trial: Trial,
    /// When the server begins to answer.
    begins_us: u64,
    /// When the response is complete.
    ends_us: u64,
}

struct Server {
    name: String,
    requests: Vec<Request>,
    /// When it returns, if it has ended.
    returns_us: Option<u64>,
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

struct Fleet {
    rng: Rng,
    now_us: u64,
    fault: Fault,
    routers: Vec<Quarantine>,
    clock_steps_ms: Vec<u64>,
    servers: Vec<Server>,
    messages: Vec<Message>,
    stored: BTreeMap<usize, Statement>,
    started: usize,
    crashes_us: Vec<u64>,
    fatal_sent_us: Vec<u64>,
    sound: usize,
    sound_refused: usize,
}

impl Fleet {
    fn new(routers: usize, fault: Fault, seed: u64) -> Self {
        let mut fleet = Self {
            rng: Rng::with_seed(seed),
            now_us: 0,
            fault,
            routers: (0..routers).map(quarantine).collect(),
            clock_steps_ms: vec![0; routers],
            servers: Vec::new(),
            messages: Vec::new(),
            stored: BTreeMap::new(),
            started: 0,
            crashes_us: Vec::new(),
            fatal_sent_us: Vec::new(),
            sound: 0,
            sound_refused: 0,
        };
        for _ in 0..SERVERS {
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
            returns_us: None,
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
        if self.fault == Fault::PeersCut {
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

    /// Sends a request to a random server; a router does not know which have ended, but they refuse
    /// its connection.
    fn send(&mut self, parts: Vec<Part>) {
        let router = self.rng.usize(..self.routers.len());
        let is_fatal = parts.contains(&FATAL);
        let running: Vec<usize> = (0..SERVERS)
            .filter(|server| self.servers[*server].returns_us.is_none())
            .collect();
        let trial = match self.routers[router].check(&parts) {
            Ok(trial) if !running.is_empty() => trial,
            Ok(_) => return,
            Err(_) => {
                self.sound_refused += usize::from(!is_fatal);
                return;
            }
        };
        if is_fatal {
            self.fatal_sent_us.push(self.now_us);
        }
        let server = running[self.rng.usize(..running.len())];
        let begins_us = self.now_us + self.rng.u64(50..400) * MS;
        let ends_us = begins_us + self.rng.u64(100..3_000) * MS;
        self.servers[server].requests.push(Request {
            router,
            parts,
            trial,
            begins_us,
            ends_us,
        });
    }

    fn run_servers(&mut self) {
        for number in 0..SERVERS {
            let now_us = self.now_us;
            let server = &mut self.servers[number];
            if let Some(returns_us) = server.returns_us {
                if now_us >= returns_us {
                    self.servers[number] = self.new_server();
                }
                continue;
            }
            let is_fatal =
                |request: &Request| request.begins_us <= now_us && request.parts.contains(&FATAL);
            if server.requests.iter().any(is_fatal) {
                self.crashes_us.push(now_us);
                self.end_server(number);
                continue;
            }
            let done: Vec<Request> = server
                .requests
                .extract_if(.., |request| request.ends_us <= now_us)
                .collect();
            for request in done {
                let parts = request.parts;
                self.handle(request.router, Event::Completed { parts });
            }
        }
    }

    fn end_server(&mut self, number: usize) {
        let now_us = self.now_us;
        let server = &mut self.servers[number];
        server.returns_us = Some(now_us + RETURN_US);
        let name = server.name.clone();
        for request in std::mem::take(&mut server.requests) {
            // The response has begun, but the first event takes some more time.
            let is_begun = (now_us.saturating_sub(100 * MS)..=now_us).contains(&request.begins_us);
            if is_begun {
                let broken = Event::Broken {
                    trial: request.trial,
                    backend_server: name.as_str().into(),
                };
                self.handle(request.router, broken);
                let backend_server = name.as_str().into();
                self.handle(request.router, Event::ServerEnded { backend_server });
            }
        }
    }

    fn inject(&mut self) {
        match self.fault {
            Fault::None | Fault::PeersCut => {}
            Fault::PowerLoss => {
                for number in 0..SERVERS / 2 {
                    if self.servers[number].returns_us.is_none() {
                        self.end_server(number);
                    }
                }
            }
            Fault::Restart => {
                for number in (0..self.routers.len()).step_by(3) {
                    self.routers[number] = quarantine(number);
                    for (author, statement) in self.stored.clone() {
                        self.handle(number, stated(author, statement));
                    }
                }
            }
            Fault::ClockStep => {
                for number in (0..self.routers.len()).step_by(3) {
                    self.clock_steps_ms[number] = 5_000;
                }
            }
        }
    }

    fn run(&mut self) {
        let mut fatal_us = 1_000 * MS;
        let mut sound_us = 0;
        let fault_us = self.rng.u64(2_000..8_000) * MS;
        while self.now_us < END_US {
            let second = Part(100 + self.rng.u64(..SECOND_PARTS));
            if self.now_us >= sound_us {
                sound_us += 25 * MS;
                self.sound += 1;
                self.send(vec![FIRST, second]);
            }
            if self.now_us >= fatal_us {
                fatal_us += self.rng.u64(50..400) * MS;
                self.send(vec![FIRST, second, FATAL]);
            }
            if (fault_us..fault_us + STEP_US).contains(&self.now_us) {
                self.inject();
            }
            self.run_servers();
            self.deliver();
            for router in 0..self.routers.len() {
                self.handle(router, Event::Tick);
            }
            self.now_us += STEP_US;
        }
    }

    fn late(&self) -> usize {
        let Some(fifth_us) = self.crashes_us.get(4) else {
            return 0;
        };
        let is_late = |sent_us: &&u64| **sent_us > fifth_us + CONTACT_US;
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

/// Guards against a fleet that keeps sending a part under which five servers have ended, and
/// against one that refuses sound requests that share the other parts.
#[rstest]
#[case::six_routers(6, 20)]
#[case::many_routers(54, 20)]
fn a_fleet_stops_sending_a_fatal_part_and_serves_the_others(
    #[case] routers: usize,
    #[case] seeds: u64,
    #[values(
        Fault::None,
        Fault::PowerLoss,
        Fault::PeersCut,
        Fault::Restart,
        Fault::ClockStep
    )]
    fault: Fault,
) {
    let mut worst = (0, 0, 0.0_f64);
    for seed in 0..seeds {
        let mut fleet = Fleet::new(routers, fault, seed);
        fleet.run();
        let refused = fleet.sound_refused as f64 / fleet.sound as f64;
        worst = (
            worst.0.max(fleet.crashes_us.len()),
            worst.1.max(fleet.late()),
            worst.2.max(refused),
        );
        assert!(
            fleet.late() <= MAX_LATE,
            "seed {seed}: {} late",
            fleet.late()
        );
        assert!(
            refused < 0.02,
            "seed {seed}: {refused} of the sound ones refused"
        );
        assert!(fleet.crashes_us.len() >= 3, "seed {seed}: no crash");
    }
    println!(
        "{routers} routers, {fault:?}: at most {} crashes, {} late, {:.4} of the sound refused",
        worst.0, worst.1, worst.2
    );
}
