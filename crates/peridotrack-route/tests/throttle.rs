//! Distribution of a stated rate: event by event, and in fleets in simulated time.

use std::collections::BTreeSet;

use fastrand::Rng;
use peridotrack_route::{
    pace::Pace,
    throttle::{Action, Event, News, Options, Routers, Throttle},
};
use rstest::rstest;

const MS: u64 = 1_000;
const SERVER: &str = "engine-1";

fn throttle(vm: &str) -> Throttle {
    let options = Options {
        startup_us: 0,
        ..Options::default()
    };
    let mut throttle = Throttle::new(vm.into(), options, 1, 0);
    let servers = [(SERVER.into(), "a".into())].into_iter().collect();
    throttle.on_event(0, 0, Event::Servers(servers));
    throttle
}

fn routers(domains: &[(&str, &[&str])]) -> Routers {
    let routers = domains.iter().map(|(domain, vms)| {
        let vms: BTreeSet<_> = vms.iter().map(|vm| (*vm).into()).collect();
        ((*domain).into(), vms)
    });
    routers.collect()
}

fn answered(limit_per_s: Option<f64>, sent_us: u64) -> Event {
    Event::Answered {
        backend_server: SERVER.into(),
        limit_per_s,
        sent_us,
    }
}

fn heard(limit_per_s: Option<f64>, epoch: u64) -> Event {
    let news = News {
        backend_server: SERVER.into(),
        limit_per_s,
        epoch,
    };
    Event::Heard {
        news,
        is_foreign: false,
    }
}

/// Returns the rate that the actions set last; `None` if they set none.
fn rate(actions: &[Action]) -> Option<Option<f64>> {
    actions.iter().rev().find_map(|action| match action {
        Action::SetRate { per_s, .. } => Some(*per_s),
        _ => None,
    })
}

#[test]
fn one_router_of_the_servers_failure_domain_sends() {
    let all = routers(&[("a", &["a-1", "a-2", "a-3"]), ("b", &["b-1", "b-2"])]);
    let mut senders = Vec::new();
    for vm in ["a-1", "a-2", "a-3", "b-1", "b-2"] {
        let mut throttle = throttle(vm);
        throttle.on_event(0, 0, Event::Routers(all.clone()));
        let actions = throttle.on_event(0, 0, answered(Some(1.6), 0));
        let rate = rate(&actions).unwrap().unwrap();
        if rate > 0.0 {
            assert!((rate - 1.12).abs() < 1e-9, "{rate}");
            senders.push(vm);
        }
    }
    assert_eq!(senders.len(), 1);
    assert!(senders[0].starts_with("a-"));
}

#[test]
fn a_higher_rate_is_split_among_more_senders() {
    let all = routers(&[("a", &["a-1", "a-2", "a-3"])]);
    let rates = ["a-1", "a-2", "a-3"].map(|vm| {
        let mut throttle = throttle(vm);
        throttle.on_event(0, 0, Event::Routers(all.clone()));
        rate(&throttle.on_event(0, 0, answered(Some(60.0), 0)))
    });
    assert!(
        rates.iter().all(|rate| *rate == Some(Some(14.0))),
        "{rates:?}"
    );
}

#[test]
fn routers_of_another_failure_domain_send_if_the_servers_has_none() {
    let all = routers(&[("b", &["b-1"])]);
    let mut throttle = throttle("b-1");
    throttle.on_event(0, 0, Event::Routers(all));
    let actions = throttle.on_event(0, 0, answered(Some(1.6), 0));
    assert_eq!(rate(&actions), Some(Some(1.6 * 0.7)));
}

/// Guards against a router that sends the whole rate because it does not know the others yet.
#[test]
fn a_router_that_has_just_started_is_no_sender() {
    let mut throttle = Throttle::new("a-1".into(), Options::default(), 1, 0);
    throttle.on_event(0, 0, Event::Routers(routers(&[("a", &["a-1"])])));
    let actions = throttle.on_event(0, 0, answered(Some(1.6), 0));
    assert_eq!(rate(&actions), Some(Some(0.0)));
    let started_us = Options::default().startup_us;
    let actions = throttle.on_event(started_us, 0, Event::Tick);
    assert_eq!(rate(&actions), Some(Some(1.6 * 0.7)));
}

#[test]
fn a_response_without_the_limit_ends_it_and_the_others_are_told() {
    let mut throttle = throttle("a-1");
    throttle.on_event(0, 0, Event::Routers(routers(&[("a", &["a-1"])])));
    throttle.on_event(100, 0, answered(Some(1.6), 0));
    // It was sent before the limit was known, and may have been answered before it was stated.
    assert_eq!(throttle.on_event(200, 0, answered(None, 50)), []);
    let actions = throttle.on_event(300, 0, answered(None, 150));
    assert_eq!(rate(&actions), Some(None));
    let is_end = |action: &Action| matches!(action, Action::Send(news) if news.limit_per_s.is_none() && news.epoch == 2);
    assert!(actions.iter().any(is_end), "{actions:?}");
}

#[test]
fn later_news_replaces_earlier_news_only() {
    let mut throttle = throttle("a-1");
    throttle.on_event(0, 0, Event::Routers(routers(&[("a", &["a-2"])])));
    let actions = throttle.on_event(0, 0, heard(Some(1.6), 5));
    assert_eq!(rate(&actions), Some(Some(0.0)));
    assert_eq!(rate(&throttle.on_event(0, 0, heard(None, 4))), None);
    assert_eq!(rate(&throttle.on_event(0, 0, heard(None, 6))), Some(None));
    assert_eq!(rate(&throttle.on_event(0, 0, heard(Some(1.6), 5))), None);
}

#[test]
fn news_from_another_failure_domain_is_forwarded_once() {
    let mut throttle = throttle("a-1");
    let news = News {
        backend_server: SERVER.into(),
        limit_per_s: Some(1.6),
        epoch: 5,
    };
    let foreign = Event::Heard {
        news: news.clone(),
        is_foreign: true,
    };
    let actions = throttle.on_event(0, 0, foreign.clone());
    assert!(actions.contains(&Action::Forward(news)));
    assert_eq!(throttle.on_event(0, 0, foreign), []);
}

#[test]
fn a_limit_without_news_expires() {
    let mut throttle = throttle("a-1");
    throttle.on_event(0, 0, Event::Routers(routers(&[("a", &["a-2"])])));
    throttle.on_event(0, 0, heard(Some(1.6), 5));
    let expiry_us = Options::default().expiry_us;
    assert_eq!(
        rate(&throttle.on_event(expiry_us - 1, 0, Event::Tick)),
        None
    );
    let actions = throttle.on_event(2 * expiry_us, 0, Event::Tick);
    assert_eq!(rate(&actions), Some(None));
    assert!(!throttle.is_active());
}

#[test]
fn the_limit_of_a_server_that_is_gone_is_dropped() {
    let mut throttle = throttle("a-1");
    throttle.on_event(0, 0, answered(Some(1.6), 0));
    let actions = throttle.on_event(0, 0, Event::Servers([].into_iter().collect()));
    assert_eq!(rate(&actions), Some(None));
    assert!(!throttle.is_active());
}

#[test]
fn a_pace_spaces_requests_evenly() {
    let mut pace = Pace::new(0, 2.0);
    let mut sent = Vec::new();
    for now_ms in 0..3_000 {
        if pace.allows(now_ms * MS) {
            pace.on_dispatch(now_ms * MS);
            sent.push(now_ms);
        }
    }
    assert_eq!(sent, [500, 1_000, 1_500, 2_000, 2_500]);
}

#[test]
fn a_pace_of_rate_0_allows_nothing() {
    let pace = Pace::new(0, 0.0);
    assert!(!pace.allows(u64::MAX));
    assert_eq!(pace.wait_us(0), None);
}

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
        let servers = [(SERVER.into(), domain(0).as_str().into())];
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
                self.handle(number, answered(limit_per_s, sent_us));
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
