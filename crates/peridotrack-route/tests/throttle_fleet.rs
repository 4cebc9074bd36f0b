//! Distribution of a stated rate in fleets in simulated time, with faults of and between routers.

use fastrand::Rng;
use peridotrack_route::{
    cold,
    pace::Pace,
    throttle::{Action, Event, News, Options, Routers, Throttle},
};
use rstest::rstest;

const MS: u64 = 1_000;
const SERVER: &str = "engine-1";
/// Failure domains of the simulated fleets.
const DOMAINS: usize = 4;
/// Peers that a router knows of each other failure domain.
const KNOWN_FOREIGN: usize = 8;
/// Time for which a router that is not heard of stays in the list.
const SILENCE_US: u64 = 10_000 * MS;
const LIMITED_US: std::ops::Range<u64> = 2_000 * MS..22_000 * MS;
const END_US: u64 = 30_000 * MS;
/// Time after which the server is owed that its limit is kept.
const CONTACT_US: u64 = 3_000 * MS;
const WINDOW_US: u64 = 4_000 * MS;
/// Time after which a router that has been told of the limit must keep to it.
const TOLD_US: u64 = 500 * MS;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Two halves of the fleet lose sight of each other for good.
    Cut,
    /// The routers that send most are killed, one after the other.
    Kill,
    /// Half of the routers restart.
    Restart,
    /// A third of the messages between routers are lost.
    Loss,
}

struct Node {
    throttle: Throttle,
    pace: Option<Pace>,
    is_up: bool,
    /// When it last changed between up and down.
    changed_us: u64,
    sent: usize,
    /// When a response first stated the limit to it.
    told_us: Option<u64>,
}

struct Fleet {
    rng: Rng,
    now_us: u64,
    fault: Fault,
    nodes: Vec<Node>,
    /// Time of arrival, receiver and news of each message.
    messages: Vec<(u64, usize, usize, News, bool)>,
    /// Time of arrival, router and stated limit of each response.
    answers: Vec<(u64, usize, Option<f64>, u64)>,
    /// Time of each request, and whether its router had been told of the limit.
    arrivals: Vec<(u64, bool)>,
    limit_per_s: f64,
}

impl Fleet {
    fn new(nodes: usize, fault: Fault, limit_per_s: f64, seed: u64) -> Self {
        let mut fleet = Self {
            rng: Rng::with_seed(seed),
            now_us: 0,
            fault,
            nodes: Vec::new(),
            messages: Vec::new(),
            answers: Vec::new(),
            arrivals: Vec::new(),
            limit_per_s,
        };
        for number in 0..nodes {
            let node = fleet.new_node(number, 0);
            fleet.nodes.push(node);
        }
        fleet
    }

    fn new_node(&mut self, number: usize, startup_us: u64) -> Node {
        let options = Options {
            startup_us,
            ..Options::default()
        };
        let vm = vm(number);
        let mut throttle =
            Throttle::new(vm.as_str().into(), options, self.rng.u64(..), self.now_us);
        let server = cold::Server {
            failure_domain: domain(0).as_str().into(),
            limit: None,
        };
        let servers = [(SERVER.into(), server)];
        throttle.on_event(
            self.now_us,
            0,
            Event::Servers(servers.into_iter().collect()),
        );
        Node {
            throttle,
            pace: None,
            is_up: true,
            changed_us: 0,
            sent: 0,
            told_us: None,
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_cut = self.fault == Fault::Cut && self.now_us >= 6_000 * MS;
        !is_cut || from % 2 == to % 2 || from == to
    }

    /// Returns the routers that a router believes to serve.
    fn view(&self, of: usize) -> Routers {
        let mut view = Routers::new();
        for number in 0..self.nodes.len() {
            let node = &self.nodes[number];
            let silent_us = if !node.is_up {
                self.now_us - node.changed_us
            } else if !self.reaches(number, of) {
                self.now_us - 6_000 * MS
            } else {
                0
            };
            let is_known = number % DOMAINS == of % DOMAINS || number / DOMAINS < KNOWN_FOREIGN;
            if is_known && silent_us < SILENCE_US {
                let vms = view.entry(domain(number % DOMAINS).as_str().into());
                vms.or_default().insert(vm(number).as_str().into());
            }
        }
        view
    }

    fn handle(&mut self, number: usize, event: Event) {
        let (now_us, wall_ms) = (self.now_us, 1_000_000 + self.now_us / MS);
        let actions = self.nodes[number].throttle.on_event(now_us, wall_ms, event);
        for action in actions {
            match action {
                Action::SetRate { per_s, .. } => {
                    self.nodes[number].pace = per_s.map(|per_s| Pace::new(now_us, per_s));
                }
                Action::Send(news) => self.post(number, &news, false),
                Action::Forward(news) => self.post(number, &news, true),
                Action::Note { .. } => {}
            }
        }
    }

    fn post(&mut self, from: usize, news: &News, is_domain_only: bool) {
        for to in (0..self.nodes.len()).filter(|to| *to != from) {
            let is_foreign = from % DOMAINS != to % DOMAINS;
            let is_lost = self.fault == Fault::Loss && self.rng.u32(..3) == 0;
            if is_lost || is_foreign && (is_domain_only || to / DOMAINS >= KNOWN_FOREIGN) {
                continue;
            }
            if self.reaches(from, to) {
                let arrives_us = self.now_us + self.rng.u64(1..10) * MS;
                self.messages
                    .push((arrives_us, to, from, news.clone(), is_foreign));
            }
        }
    }

    /// Sends a request from each router that may.
    fn send(&mut self) {
        for number in 0..self.nodes.len() {
            let now_us = self.now_us;
            let node = &mut self.nodes[number];
            if !node.is_up || node.pace.is_some_and(|pace| !pace.allows(now_us)) {
                continue;
            }
            if let Some(pace) = &mut node.pace {
                pace.on_dispatch(now_us);
            }
            node.sent += 1;
            let told_us = node.told_us.map(|told_us| told_us + TOLD_US);
            let is_told = told_us.is_some_and(|told_us| told_us <= now_us);
            self.arrivals.push((now_us, is_told));
            let limit = LIMITED_US.contains(&now_us).then_some(self.limit_per_s);
            let answer_us = now_us + self.rng.u64(5..200) * MS;
            self.answers.push((answer_us, number, limit, now_us));
        }
    }

    fn deliver(&mut self) {
        let now_us = self.now_us;
        let messages: Vec<_> = self
            .messages
            .extract_if(.., |message| message.0 <= now_us)
            .collect();
        for (_, to, _, news, is_foreign) in messages {
            if self.nodes[to].is_up {
                self.handle(to, Event::Heard { news, is_foreign });
            }
        }
        let answers: Vec<_> = self
            .answers
            .extract_if(.., |answer| answer.0 <= now_us)
            .collect();
        for (_, number, limit_per_s, sent_us) in answers {
            if self.nodes[number].is_up {
                if limit_per_s.is_some() {
                    self.nodes[number].told_us.get_or_insert(now_us);
                }
                let answered = Event::Answered {
                    backend_server: SERVER.into(),
                    limit_per_s,
                    sent_us,
                };
                self.handle(number, answered);
            }
        }
    }

    fn inject(&mut self) {
        let now_us = self.now_us;
        let is_at = |ms: u64| now_us == ms * MS;
        match self.fault {
            Fault::Kill if is_at(8_000) || is_at(14_000) => {
                let up = (0..self.nodes.len()).filter(|number| self.nodes[*number].is_up);
                let busiest = up.max_by_key(|number| self.nodes[*number].sent);
                if let Some(busiest) = busiest {
                    self.nodes[busiest].is_up = false;
                    self.nodes[busiest].changed_us = self.now_us;
                }
            }
            Fault::Restart if is_at(8_000) => {
                for number in (0..self.nodes.len()).step_by(2) {
                    self.nodes[number] = self.new_node(number, CONTACT_US);
                }
            }
            _ => {}
        }
        if is_at(7_000) {
            self.nodes.iter_mut().for_each(|node| node.sent = 0);
        }
    }

    fn run(&mut self) {
        while self.now_us < END_US {
            self.inject();
            // Without a limit each router sends ten requests per second.
            if self.now_us.is_multiple_of(100 * MS) {
                for number in 0..self.nodes.len() {
                    let view = self.view(number);
                    self.handle(number, Event::Routers(view));
                    self.handle(number, Event::Tick);
                }
                self.send();
            }
            self.deliver();
            self.now_us += 5 * MS;
        }
    }

    /// Returns the most requests in a window of the span in which the limit must be kept, from routers
    /// that had been told of it.
    fn most(&self) -> usize {
        let from_us = LIMITED_US.start + CONTACT_US;
        let told = self.arrivals.iter().filter(|(_, is_told)| *is_told);
        let counted: Vec<u64> = told
            .map(|(at_us, _)| *at_us)
            .filter(|at_us| (from_us..LIMITED_US.end).contains(at_us))
            .collect();
        let windows = counted.iter().map(|first_us| {
            let window = *first_us..first_us + WINDOW_US;
            counted
                .iter()
                .filter(|at_us| window.contains(at_us))
                .count()
        });
        windows.max().unwrap_or(0)
    }

    fn count(&self, from_us: u64, to_us: u64) -> usize {
        let arrivals = self.arrivals.iter();
        arrivals
            .filter(|(at_us, _)| (from_us..to_us).contains(at_us))
            .count()
    }
}

fn vm(number: usize) -> String {
    format!("vm-{number}")
}

fn domain(number: usize) -> String {
    format!("domain-{number}")
}

/// Guards against a fleet that sends a server more than one and a half times what its stated limit
/// allows in 4 s, plus 5, and against one that stops to use the server.
#[rstest]
fn a_fleet_keeps_to_a_stated_limit_together(
    #[values(6, 54)] nodes: usize,
    #[values(1.2, 1.6, 30.0)] limit_per_s: f64,
    #[values(Fault::None, Fault::Cut, Fault::Kill, Fault::Restart, Fault::Loss)] fault: Fault,
) {
    let allowed = 1.5 * limit_per_s * 4.0 + 5.0;
    let (mut most, mut least) = (0, usize::MAX);
    for seed in 0..20 {
        let mut fleet = Fleet::new(nodes, fault, limit_per_s, seed);
        fleet.run();
        most = most.max(fleet.most());
        assert!(
            fleet.most() as f64 <= allowed,
            "seed {seed}: {}",
            fleet.most()
        );
        let during = fleet.count(LIMITED_US.start + CONTACT_US, LIMITED_US.end);
        least = least.min(during);
        assert!(during > 0, "seed {seed}: the server is not used");
        let after = fleet.count(LIMITED_US.end + 3_000 * MS, END_US);
        let (after_per_s, during_per_s) = (after as f64 / 5.0, during as f64 / 17.0);
        assert!(
            after_per_s > during_per_s,
            "seed {seed}: {after_per_s}/s after the end"
        );
    }
    println!(
        "{nodes} routers, {limit_per_s}/s, {fault:?}: at most {most} of {allowed:.1}, at least {least} in 17 s"
    );
}
