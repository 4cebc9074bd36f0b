//! The path of new connections, by the results of earlier ones.

use std::collections::BTreeSet;

use peridotrack_reach::{
    event::{Action, Change, Event, Path},
    options::Options,
    reach::Reach,
};
use peridotrack_types::name;
use proptest::prelude::*;
use rstest::rstest;

/// Time-out of a connection, in microseconds.
const CONNECT_TIMEOUT_US: u64 = 250_000;
/// Period of the ticks, in microseconds.
const TICK_US: u64 = 50_000;

fn server(number: usize) -> name::BackendServer {
    format!("i-{number}").as_str().into()
}

/// A connection whose result follows.
#[derive(Clone, Copy)]
struct Connecting {
    began_us: u64,
    due_us: u64,
    server: usize,
}

/// A router that carries out the probes, and servers that accept connections or not.
struct World {
    now_us: u64,
    reach: Reach,
    /// Whether each server can be connected to.
    is_up: Vec<bool>,
    /// Whether failures take the whole time-out; otherwise connections are refused.
    is_hanging: bool,
    /// Connections whose result is not reported yet.
    due: Vec<Connecting>,
    changes: Vec<Change>,
    probes: usize,
}

impl World {
    fn new(servers: usize, seed: u64) -> Self {
        let mut world = Self {
            now_us: 0,
            reach: Reach::new(Options::default(), seed),
            is_up: vec![true; servers],
            is_hanging: false,
            due: Vec::new(),
            changes: Vec::new(),
            probes: 0,
        };
        world.handle(Event::Servers((0..servers).map(server).collect()));
        world
    }

    fn handle(&mut self, event: Event) {
        for action in self.reach.on_event(self.now_us, event) {
            match action {
                Action::Probe { backend_server } => {
                    let numbers = 0..self.is_up.len();
                    let number = numbers
                        .into_iter()
                        .find(|number| server(*number) == backend_server);
                    self.probes += 1;
                    self.connect(number.unwrap());
                }
                Action::Changed(change) => self.changes.push(change),
            }
        }
    }

    /// Connects to a server; the result follows.
    fn connect(&mut self, number: usize) {
        let wait_us = match self.is_hanging && !self.is_up[number] {
            true => CONNECT_TIMEOUT_US,
            false => 1_000,
        };
        self.due.push(Connecting {
            began_us: self.now_us,
            due_us: self.now_us + wait_us,
            server: number,
        });
    }

    fn run_for(&mut self, duration_us: u64, awaited_responses: usize) {
        let end_us = self.now_us + duration_us;
        while self.now_us < end_us {
            self.now_us += 1_000;
            let is_due = |connecting: &Connecting| connecting.due_us <= self.now_us;
            let (due, later): (Vec<_>, Vec<_>) = self.due.drain(..).partition(is_due);
            self.due = later;
            for connecting in due {
                let backend_server = server(connecting.server);
                self.handle(match self.is_up[connecting.server] {
                    true => Event::Connected { backend_server },
                    false => Event::Failed {
                        backend_server,
                        began_us: connecting.began_us,
                    },
                });
            }
            if self.now_us.is_multiple_of(TICK_US) {
                self.handle(Event::Tick { awaited_responses });
            }
        }
    }
}

#[rstest]
#[case::refused(false, 20_000)]
#[case::hanging(true, 2 * CONNECT_TIMEOUT_US + 20_000)]
fn a_partition_is_concluded_after_one_round_of_probes(
    #[case] is_hanging: bool,
    #[case] limit_us: u64,
    #[values(2, 3, 12, 800)] servers: usize,
) {
    let mut world = World::new(servers, 7);
    world.is_hanging = is_hanging;
    world.is_up.fill(false);
    world.connect(0);
    world.run_for(limit_us, 0);
    assert_eq!(world.reach.path(), Path::ThroughPeers);
    assert_eq!(world.changes.len(), 1);
    assert!(world.changes[0].evidence.len() >= servers.min(3));
}

#[rstest]
fn silence_has_servers_probed_and_shows_a_partition(#[values(false, true)] is_cut: bool) {
    let mut world = World::new(12, 7);
    world.is_hanging = true;
    world.is_up.fill(!is_cut);
    world.run_for(1_200_000, 1);
    assert!(world.probes > 0);
    let expected = if is_cut {
        Path::ThroughPeers
    } else {
        Path::Direct
    };
    assert_eq!(world.reach.path(), expected);
}

#[test]
fn an_idle_router_probes_nothing() {
    let mut world = World::new(12, 7);
    world.run_for(5_000_000, 0);
    assert_eq!(world.probes, 0);
}

#[test]
fn received_bytes_keep_servers_from_being_probed() {
    let mut world = World::new(12, 7);
    for _ in 0..20 {
        world.run_for(300_000, 1);
        world.handle(Event::Received);
    }
    assert_eq!(world.probes, 0);
}

#[test]
fn one_connection_returns_the_path_within_two_probe_intervals() {
    let mut world = World::new(12, 7);
    world.is_hanging = true;
    world.is_up.fill(false);
    world.connect(0);
    world.run_for(3_000_000, 0);
    assert_eq!(world.reach.path(), Path::ThroughPeers);
    let failed_us = world.changes[0].since_us;
    assert!(world.probes < 25, "{}", world.probes);
    world.is_up.fill(true);
    world.run_for(500_000, 0);
    assert_eq!(world.reach.path(), Path::Direct);
    assert_eq!(world.changes[1].since_us, failed_us);
}

#[rstest]
#[case::one_server_down(&[0])]
#[case::one_server_left(&[0, 1, 2, 3, 4, 5])]
fn servers_that_are_down_do_not_change_the_path(
    #[case] down: &[usize],
    #[values(false, true)] is_hanging: bool,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let mut world = World::new(7, seed);
    world.is_hanging = is_hanging;
    for number in down {
        world.is_up[*number] = false;
    }
    for _ in 0..10 {
        for number in down {
            world.connect(*number);
        }
        world.run_for(150_000, 3);
    }
    assert_eq!(world.changes, []);
}

#[rstest]
#[case::the_only_one(1, 10, |_| false)]
#[case::flapping(8, 40, |round| round % 2 == 0)]
fn one_failing_server_does_not_change_the_path(
    #[case] servers: usize,
    #[case] rounds: usize,
    #[case] is_up: fn(usize) -> bool,
) {
    let mut world = World::new(servers, 7);
    for round in 0..rounds {
        world.is_up[0] = is_up(round);
        world.connect(0);
        world.run_for(100_000, 1);
    }
    assert_eq!(world.changes, []);
}

/// Servers start again one after another, each under a new name.
#[test]
fn a_release_does_not_change_the_path() {
    let mut world = World::new(6, 7);
    for number in 0..6 {
        world.is_up[number] = false;
        world.connect(number);
        world.run_for(100_000, 1);
        let known = (0..6).filter(|known| *known != number).map(server);
        world.handle(Event::Servers(known.collect()));
        world.run_for(400_000, 1);
        world.is_up[number] = true;
        world.handle(Event::Servers((0..6).map(server).collect()));
    }
    assert_eq!(world.changes, []);
}

#[test]
fn without_servers_there_is_no_partition() {
    let mut world = World::new(4, 7);
    world.is_up.fill(false);
    world.connect(0);
    world.run_for(20_000, 0);
    assert_eq!(world.reach.path(), Path::ThroughPeers);
    world.handle(Event::Servers(BTreeSet::new()));
    assert_eq!(world.reach.path(), Path::Direct);
}

proptest! {
    /// While any server can be connected to the path is direct, if no more are known than are
    /// probed at once; once none can be, it leads through peers soon, and returns soon after.
    #[test]
    fn the_path_follows_the_partition(
        seed in any::<u64>(),
        is_hanging in any::<bool>(),
        steps in prop::collection::vec((0usize..7, any::<bool>(), 0u64..200_000), 1..60),
    ) {
        let mut world = World::new(7, seed);
        world.is_hanging = is_hanging;
        for (number, is_up, wait_us) in steps {
            world.is_up[number] = is_up;
            // One server stays up.
            world.is_up[6] = true;
            world.connect(number);
            world.run_for(wait_us, 1);
        }
        world.run_for(CONNECT_TIMEOUT_US, 0);
        prop_assert_eq!(&world.changes, &[]);
        world.is_up.fill(false);
        world.connect(0);
        world.run_for(3 * CONNECT_TIMEOUT_US, 0);
        prop_assert_eq!(world.reach.path(), Path::ThroughPeers);
        world.is_up.fill(true);
        world.run_for(2 * CONNECT_TIMEOUT_US + 2 * TICK_US, 0);
        prop_assert_eq!(world.reach.path(), Path::Direct);
        prop_assert_eq!(world.changes.len(), 2);
    }
}
