//! Seeded search over a fleet of followers with random partitions, crashes, hangs and delays.
//!
//! A router in contact with the store must know each change in time, and the number of calls of
//! an idle fleet must not grow with the number of routers.

use std::collections::BTreeMap;

use peridotrack_follow::{
    event::{Action, Event},
    follower::{Follower, Options},
    message::{Change, Message, Snapshot},
};
use peridotrack_types::id;
use rstest::rstest;

const MS: u64 = 1_000;
const STEP_US: u64 = 10 * MS;
const TICK_US: u64 = 100 * MS;
/// Time after which a call that cannot connect to the store fails.
const CONNECT_TIMEOUT_US: u64 = 400 * MS;
/// Time after which a call in progress fails when the store becomes unreachable.
const CUT_TIMEOUT_US: u64 = 1_000 * MS;
/// Time after the end of its wait at which a call without a response fails.
const RESPONSE_TIMEOUT_US: u64 = 1_000 * MS;
/// Time after which a router that reaches the store again must have caught up.
const CATCH_UP_US: u64 = 3_000 * MS;
/// Time for which watches report no changes while the store compacts its history.
const SILENCE_US: u64 = 1_000 * MS;
/// Revision of a store before it begins its revisions anew: no run makes up for it.
const FORMER_REVISION: u64 = 100_000;
/// Time within which a router in contact must know a change.
const PROPAGATION_US: u64 = 2_000 * MS;

enum Call {
    List,
    Watch { revision: u64, until_us: u64 },
    Failing { at_us: u64 },
}

/// A router and its state in the simulation.
struct Node {
    follower: Option<Follower>,
    call: Option<Call>,
    /// Identifiers of the changes that were listed or applied.
    known: Vec<u64>,
    /// Number of starts of this router; each has a new incarnation.
    starts: u64,
    /// Until when this router cannot reach the store.
    store_cut_until_us: u64,
    /// Until when this router and its peers cannot exchange messages.
    peers_cut_until_us: u64,
    /// Whether this router runs an earlier release, which knows no dated subscriptions.
    is_earlier: bool,
    /// The queue in which the messages of this router wait.
    queue: Queue,
    /// Until when the store accepts this router's calls without a response.
    hung_until_us: u64,
    /// Since when the router runs and the store responds to it; may be in the future.
    contact_since_us: u64,
}

/// A queue that grows for a while, and is emptied at its end.
#[derive(Default)]
struct Queue {
    since_us: u64,
    until_us: u64,
    /// Time in which the delay reaches its maximum.
    growth_us: u64,
    max_delay_us: u64,
}

impl Queue {
    fn delay_us(&self, now_us: u64) -> u64 {
        if now_us >= self.until_us {
            return 0;
        }
        let age_us = now_us - self.since_us;
        self.max_delay_us * age_us.min(self.growth_us) / self.growth_us
    }
}

/// A change of an object, which has the identifier of the change as its name.
struct Commit {
    id: u64,
    revision: u64,
    at_us: u64,
}

struct Fleet {
    rng: fastrand::Rng,
    now_us: u64,
    nodes: Vec<Node>,
    commits: Vec<Commit>,
    revision: u64,
    /// Revision after which the store keeps the changes.
    history_from: u64,
    /// Until when watches report no changes, `None` if they do.
    silent_until_us: Option<u64>,
    /// Messages in flight: arrival time, index of the sender's node, sender, receiver, message.
    messages: Vec<(u64, usize, id::Incarnation, id::Incarnation, Message)>,
    /// Whether the messages of a router arrive in the order in which they were sent.
    keeps_order: bool,
    calls: usize,
    /// Number of messages sent.
    sent: usize,
    /// Whether some routers run an earlier release.
    is_mixed: bool,
}

impl Fleet {
    fn new(seed: u64, nodes: usize) -> Self {
        let mut fleet = Self {
            rng: fastrand::Rng::with_seed(seed),
            now_us: 0,
            nodes: Vec::new(),
            commits: Vec::new(),
            revision: 1,
            history_from: 0,
            silent_until_us: None,
            messages: Vec::new(),
            keeps_order: false,
            calls: 0,
            sent: 0,
            is_mixed: false,
        };
        for _ in 0..nodes {
            fleet.nodes.push(Node {
                follower: None,
                call: None,
                known: Vec::new(),
                starts: 0,
                store_cut_until_us: 0,
                peers_cut_until_us: 0,
                is_earlier: false,
                queue: Queue::default(),
                hung_until_us: 0,
                contact_since_us: 0,
            });
        }
        for node in 0..nodes {
            fleet.start(node);
        }
        fleet
    }

    fn id(&self, node: usize) -> id::Incarnation {
        id::Incarnation(self.nodes[node].starts * 100 + node as u64 + 1)
    }

    fn start(&mut self, node: usize) {
        self.nodes[node].starts += 1;
        let options = Options {
            seed: self.rng.u64(..),
            ..Options::default()
        };
        let follower = Follower::new(self.id(node), options, self.now_us);
        let started = &mut self.nodes[node];
        started.follower = Some(follower);
        started.call = None;
        started.known.clear();
        started.is_earlier = self.is_mixed && self.rng.bool();
        started.contact_since_us = self
            .now_us
            .max(started.store_cut_until_us)
            .max(started.hung_until_us);
        self.announce_peers();
    }

    fn kill(&mut self, node: usize) {
        self.nodes[node].follower = None;
    }

    /// Gives each router the list of running routers.
    fn announce_peers(&mut self) {
        let running: Vec<_> = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].follower.is_some())
            .map(|node| self.id(node))
            .collect();
        for node in 0..self.nodes.len() {
            self.event(node, Event::Peers(running.clone()));
            self.event(node, Event::AllPeers(running.clone()));
        }
    }

    fn event(&mut self, node: usize, event: Event) {
        let now_us = self.now_us;
        let Some(follower) = &mut self.nodes[node].follower else {
            return;
        };
        for action in follower.on_event(now_us, event) {
            match action {
                Action::List => self.call(node, Call::List),
                Action::Watch { revision, wait_ms } => {
                    let until_us = now_us + wait_ms * MS;
                    self.call(node, Call::Watch { revision, until_us });
                }
                Action::Apply { changes, .. } => {
                    let ids = changes.iter().map(|change| change.name.parse().unwrap());
                    self.nodes[node].known.extend(ids.collect::<Vec<u64>>());
                }
                Action::Replace(snapshot) => {
                    let ids = snapshot.objects.iter().map(|(name, _)| name.parse());
                    self.nodes[node].known = ids.collect::<Result<_, _>>().unwrap();
                }
                Action::SendSnapshot { to, revision } => {
                    let known = self.nodes[node].known.iter();
                    let objects = known.map(|id| (id.to_string(), Vec::new()));
                    let snapshot = Snapshot {
                        is_complete: true,
                        revision,
                        objects: objects.collect(),
                    };
                    self.send(node, to, Message::Snapshot(snapshot));
                }
                Action::Send { to, message } => self.send(node, to, message),
            }
        }
    }

    fn send(&mut self, node: usize, to: id::Incarnation, message: Message) {
        self.sent += 1;
        let mut at_us = self.now_us + self.rng.u64(MS..30 * MS);
        let from = self.id(node);
        at_us += self.nodes[node].queue.delay_us(self.now_us);
        if self.keeps_order {
            let in_flight = self.messages.iter().filter(|message| message.1 == node);
            let last_us = in_flight.map(|message| message.0).max();
            at_us = at_us.max(last_us.unwrap_or(0));
        }
        self.messages.push((at_us, node, from, to, message));
    }

    fn call(&mut self, node: usize, call: Call) {
        self.calls += 1;
        let is_cut = self.now_us < self.nodes[node].store_cut_until_us;
        let at_us = self.now_us + CONNECT_TIMEOUT_US;
        self.nodes[node].call = Some(match is_cut {
            true => Call::Failing { at_us },
            false => call,
        });
        self.hang_call(node);
    }

    /// Lets the call of a router time out while the store does not respond to it.
    fn hang_call(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        if self.now_us >= node.hung_until_us {
            return;
        }
        let wait_until_us = match node.call {
            Some(Call::List) => self.now_us,
            Some(Call::Watch { until_us, .. }) => until_us,
            Some(Call::Failing { .. }) | None => return,
        };
        let at_us = wait_until_us + RESPONSE_TIMEOUT_US;
        node.call = Some(Call::Failing { at_us });
    }

    /// Leaves the calls of all routers without a response, as when the store hangs.
    fn hang_store(&mut self, for_us: u64) {
        for node in 0..self.nodes.len() {
            let until_us = self.now_us + for_us;
            let hung = &mut self.nodes[node];
            hung.hung_until_us = hung.hung_until_us.max(until_us);
            hung.contact_since_us = hung.contact_since_us.max(until_us);
            self.hang_call(node);
        }
    }

    fn commit(&mut self) {
        self.revision += self.rng.u64(1..4);
        self.commits.push(Commit {
            id: self.commits.len() as u64,
            revision: self.revision,
            at_us: self.now_us,
        });
    }

    /// Gives the objects new revisions, counted from 1. Watches that wait go on waiting and hear nothing
    /// until their end, which disturbs the contact of all routers.
    fn restart_revisions(&mut self) {
        let until_us = self.now_us + Options::default().wait_us;
        for node in &mut self.nodes {
            node.contact_since_us = node.contact_since_us.max(until_us);
        }
        self.history_from = 0;
        self.revision = 1;
        for commit in &mut self.commits {
            self.revision += 1;
            commit.revision = self.revision;
        }
    }

    /// Delays the messages of a router by up to 1 to 5 s, at once or more and more.
    fn slow(&mut self, node: usize) {
        let growth_us = match self.rng.bool() {
            true => self.rng.u64(1_000 * MS..=8_000 * MS),
            false => 1,
        };
        self.nodes[node].queue = Queue {
            since_us: self.now_us,
            until_us: self.now_us + growth_us + self.rng.u64(1_000 * MS..=10_000 * MS),
            growth_us,
            max_delay_us: self.rng.u64(1_000 * MS..=5_000 * MS),
        };
    }

    /// Lets watches report no changes for [`SILENCE_US`], which disturbs the contact of all routers. Then
    /// the history is discarded and those that still wait are cut off.
    fn compact(&mut self) {
        let until_us = self.now_us + SILENCE_US;
        let until_us = *self.silent_until_us.get_or_insert(until_us);
        for node in &mut self.nodes {
            node.contact_since_us = node.contact_since_us.max(until_us);
        }
    }

    fn end_silence(&mut self) {
        if self
            .silent_until_us
            .take_if(|until_us| *until_us <= self.now_us)
            .is_none()
        {
            return;
        }
        self.history_from = self.revision;
        for node in 0..self.nodes.len() {
            if let Some(Call::Watch { .. }) = self.nodes[node].call {
                self.nodes[node].call = None;
                self.event(node, Event::WatchCut);
            }
        }
    }

    fn cut_store(&mut self, node: usize, for_us: u64) {
        let at_us = self.now_us + CUT_TIMEOUT_US;
        let node = &mut self.nodes[node];
        node.store_cut_until_us = node.store_cut_until_us.max(self.now_us + for_us);
        node.contact_since_us = node.contact_since_us.max(node.store_cut_until_us);
        if node.call.is_some() {
            node.call = Some(Call::Failing { at_us });
        }
    }

    fn changes_after(&self, revision: u64) -> Vec<Change> {
        let after = self
            .commits
            .iter()
            .filter(|commit| commit.revision > revision);
        let change = |commit: &Commit| Change {
            name: commit.id.to_string(),
            content: Vec::new(),
            is_removed: false,
        };
        after.map(change).collect()
    }

    /// Ends the call of a router if its result is due.
    fn respond(&mut self, node: usize) {
        let now_us = self.now_us;
        let event = match &self.nodes[node].call {
            Some(Call::List) => {
                let follower = self.nodes[node].follower.as_ref();
                if follower.is_some_and(|follower| follower.accepts_list(self.revision)) {
                    let known = self.commits.iter().map(|commit| commit.id);
                    self.nodes[node].known = known.collect();
                }
                Event::Listed {
                    revision: self.revision,
                }
            }
            Some(Call::Watch { revision, until_us }) => {
                let is_kept = *revision >= self.history_from;
                let changes = match self.silent_until_us {
                    None => self.changes_after(*revision),
                    Some(_) => Vec::new(),
                };
                if is_kept && changes.is_empty() && now_us < *until_us {
                    return;
                }
                match is_kept {
                    true => Event::Watched {
                        last_change: match changes.is_empty() {
                            true => None,
                            false => self.commits.last().map(|commit| commit.revision),
                        },
                        changes,
                        revision: self.revision,
                        since_loss_us: None,
                    },
                    false => Event::HistoryLost,
                }
            }
            Some(Call::Failing { at_us }) if now_us >= *at_us => Event::CallFailed,
            _ => return,
        };
        self.nodes[node].call = None;
        self.event(node, event);
    }

    fn deliver(&mut self) {
        let due = self
            .messages
            .extract_if(.., |message| message.0 <= self.now_us);
        for (_, sender, from, to, message) in due.collect::<Vec<_>>() {
            let receiver = (0..self.nodes.len()).find(|node| self.id(*node) == to);
            let Some(receiver) = receiver else { continue };
            let ends = [sender, receiver].map(|node| &self.nodes[node]);
            let is_cut = ends
                .iter()
                .any(|node| self.now_us < node.peers_cut_until_us);
            let is_unknown = matches!(message, Message::DatedSubscribe { .. })
                && ends.iter().any(|node| node.is_earlier);
            if !is_cut && !is_unknown {
                self.event(receiver, Event::Peer { from, message });
            }
        }
    }

    fn step(&mut self) {
        self.now_us += STEP_US;
        self.deliver();
        self.end_silence();
        for node in 0..self.nodes.len() {
            if self.nodes[node].follower.is_none() {
                continue;
            }
            self.respond(node);
            if self.now_us.is_multiple_of(TICK_US) {
                self.event(node, Event::Tick);
            }
        }
    }

    /// Fails if a router that has been in contact for long enough lacks a change that is due.
    fn check(&self) -> Result<(), String> {
        for (number, node) in self.nodes.iter().enumerate() {
            let is_checked = self.now_us >= node.contact_since_us + CATCH_UP_US;
            if node.follower.is_none() || !is_checked {
                continue;
            }
            let due = self
                .commits
                .iter()
                .filter(|commit| commit.at_us + PROPAGATION_US <= self.now_us);
            for Commit { id, at_us, .. } in due {
                if !node.known.contains(id) {
                    return Err(format!(
                        "router {number} lacks change {id} of {at_us} at {}",
                        self.now_us
                    ));
                }
            }
        }
        Ok(())
    }
}

/// Disturbances of a fleet beside those of every run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disturbance {
    None,
    /// The store compacts its history now and then.
    Compactions,
    /// The messages of a router are late now and then, without any loss.
    LateMessages,
    /// Some routers run an earlier release; each start may change it.
    Upgrades,
    /// The store begins its revisions anew, once.
    Restart,
}

fn run(seed: u64, disturbance: Disturbance) -> Result<(), String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let count = rng.usize(1..7);
    let mut fleet = Fleet::new(seed, count);
    fleet.keeps_order = disturbance == Disturbance::LateMessages;
    fleet.is_mixed = disturbance == Disturbance::Upgrades;
    for node in 0..count {
        fleet.nodes[node].is_earlier = fleet.is_mixed && rng.bool();
    }
    if disturbance == Disturbance::Restart {
        fleet.revision = FORMER_REVISION;
    }
    let restart_us = rng.u64(5_000 * MS..35_000 * MS) / STEP_US * STEP_US;
    let mut dead: BTreeMap<usize, u64> = BTreeMap::new();
    while fleet.now_us < 40_000 * MS {
        fleet.step();
        let node = rng.usize(..count);
        let for_us = rng.u64(200 * MS..6_000 * MS);
        match rng.u32(..600) {
            0..=5 => fleet.commit(),
            6 => fleet.cut_store(node, for_us),
            7 => fleet.nodes[node].peers_cut_until_us = fleet.now_us + for_us,
            8 => {
                for node in &mut fleet.nodes {
                    node.peers_cut_until_us = fleet.now_us + for_us;
                }
            }
            9 if !dead.contains_key(&node) => {
                fleet.kill(node);
                dead.insert(node, fleet.now_us + for_us);
            }
            10 => fleet.announce_peers(),
            11 => fleet.hang_store(for_us),
            12 | 13 if disturbance == Disturbance::Compactions => fleet.compact(),
            12..=14 if disturbance == Disturbance::LateMessages => fleet.slow(node),
            _ => {}
        }
        if disturbance == Disturbance::Restart && fleet.now_us == restart_us {
            fleet.restart_revisions();
        }
        let now_us = fleet.now_us;
        for (node, _) in dead
            .extract_if(.., |_, restart_us| *restart_us <= now_us)
            .collect::<Vec<_>>()
        {
            fleet.start(node);
        }
        fleet.check()?;
    }
    Ok(())
}

#[rstest]
fn each_router_in_contact_knows_every_change_in_time(#[values(0, 1, 2, 3)] part: u64) {
    run_part(part, Disturbance::None);
}

/// Guards against routers that missed a change for good, because a watch without changes stated a
/// revision beyond it.
#[rstest]
fn each_router_knows_every_change_in_time_while_the_store_compacts(
    #[values(0, 1, 2, 3)] part: u64,
) {
    run_part(part, Disturbance::Compactions);
}

/// Guards against routers that lag behind by as much as the messages of their relay, which never falls
/// silent.
#[rstest]
fn each_router_knows_every_change_in_time_while_messages_are_late(#[values(0, 1, 2, 3)] part: u64) {
    run_part(part, Disturbance::LateMessages);
}

/// Guards against routers that do not understand those of an earlier release during an upgrade.
#[rstest]
fn each_router_knows_every_change_in_time_during_upgrades(#[values(0, 1, 2, 3)] part: u64) {
    run_part(part, Disturbance::Upgrades);
}

/// Guards against routers that keep their view for ever, because it states a revision beyond that of the
/// store.
#[rstest]
fn each_router_knows_every_change_in_time_after_revisions_began_anew(
    #[values(0, 1, 2, 3)] part: u64,
) {
    run_part(part, Disturbance::Restart);
}

fn run_part(part: u64, disturbance: Disturbance) {
    let failures: Vec<String> = (0..250)
        .map(|run| run * 4 + part)
        .filter_map(|seed| {
            let result = run(seed, disturbance);
            result.err().map(|error| format!("seed {seed}: {error}"))
        })
        .collect();
    assert!(
        failures.is_empty(),
        "{} failed: {:#?}",
        failures.len(),
        &failures[..failures.len().min(5)]
    );
}

/// Guards against routers that know no change for as long as the store turns them away, although it
/// serves others.
#[rstest]
fn routers_that_the_store_turns_away_know_changes_through_the_others(
    #[values(1, 3, 7)] turned_away: usize,
    #[values(false, true)] is_started_meanwhile: bool,
) {
    const ROUTERS: usize = 8;
    const OUTAGE_US: u64 = 30_000 * MS;
    /// Longest time from a change to its arrival: a failed call, and requests to peers of which
    /// only one may be served.
    const ARRIVAL_US: u64 = 7_000 * MS;
    for seed in 0..40 {
        let mut fleet = Fleet::new(seed, ROUTERS);
        while fleet.now_us < 5_000 * MS {
            fleet.step();
        }
        let mut nodes: Vec<usize> = (0..ROUTERS).collect();
        fleet.rng.shuffle(&mut nodes);
        let nodes = &nodes[..turned_away];
        let end_us = fleet.now_us + OUTAGE_US;
        for node in nodes {
            fleet.cut_store(*node, OUTAGE_US);
            if is_started_meanwhile {
                fleet.kill(*node);
                fleet.start(*node);
            }
        }
        let mut commit_at_us = fleet.now_us + 100 * MS;
        while fleet.now_us < end_us {
            fleet.step();
            if fleet.now_us >= commit_at_us {
                commit_at_us += 3_000 * MS;
                fleet.commit();
            }
            let due = fleet.now_us.saturating_sub(ARRIVAL_US);
            for commit in fleet.commits.iter().filter(|commit| commit.at_us <= due) {
                for node in nodes {
                    let known = &fleet.nodes[*node].known;
                    assert!(known.contains(&commit.id), "seed {seed}: router {node}");
                }
            }
        }
    }
}

/// After startup only the relay may call the store, however many routers there are.
#[rstest]
#[case::few(4)]
#[case::many(40)]
fn only_the_relay_of_an_idle_fleet_calls_the_store(#[case] routers: usize) {
    let mut fleet = Fleet::new(1, routers);
    while fleet.now_us < 10_000 * MS {
        fleet.step();
    }
    let before = fleet.calls;
    while fleet.now_us < 70_000 * MS {
        fleet.step();
    }
    let relay_calls = 60_000 * MS / Options::default().relay_wait_us;
    let calls = (fleet.calls - before) as u64;
    assert!(calls <= relay_calls, "{calls} calls of {routers} routers");
}

/// Guards against a relay that gets more messages than one subscription a period of each subscriber, to
/// which it sends one update for each watch.
#[rstest]
#[case::few(4)]
#[case::many(101)]
fn the_messages_of_an_idle_fleet_are_subscriptions_and_updates(#[case] routers: usize) {
    const SPAN_US: u64 = 60_000 * MS;
    let options = Options::default();
    let mut fleet = Fleet::new(1, routers);
    while fleet.now_us < 10_000 * MS {
        fleet.step();
    }
    let before = fleet.sent;
    while fleet.now_us < 10_000 * MS + SPAN_US {
        fleet.step();
    }
    let a_subscriber = SPAN_US / options.subscribe_us + SPAN_US / options.relay_wait_us + 2;
    let sent = (fleet.sent - before) as u64;
    let subscribers = routers as u64 - 1;
    assert!(
        sent <= subscribers * a_subscriber,
        "{sent} messages of {routers} routers"
    );
}
