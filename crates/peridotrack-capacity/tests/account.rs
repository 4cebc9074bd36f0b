//! The account of memory without a network: holders arrive, grow, wait and end at random.

use std::collections::BTreeMap;

use peridotrack_capacity::account::{Account, Id, Kind, Options, State};

const SEEDS: u64 = 64;
const STEPS: usize = 4_000;
const TICK_US: u64 = 20_000;
const OPTIONS: Options = Options {
    bound_bytes: 1_000_000,
    response_reserve_bytes: 250_000,
    small_reserve_bytes: 125_000,
    small_bytes: 10_000,
    drop_after_us: 200_000,
    min_age_us: 500_000,
    max_wait_us: 5_000_000,
    calm_us: 2_000_000,
};

/// What the test knows of a holder.
struct Peer {
    kind: Kind,
    held_bytes: usize,
    asked_bytes: usize,
    is_waiting: bool,
    waiting_since_us: u64,
    is_complete: bool,
}

/// An account with its holders, checked after each step.
struct Fixture {
    account: Account,
    peers: BTreeMap<Id, Peer>,
    now_us: u64,
}

impl Fixture {
    fn new() -> Self {
        Self {
            account: Account::new(OPTIONS),
            peers: BTreeMap::new(),
            now_us: 0,
        }
    }

    fn open(&mut self, kind: Kind) -> Id {
        let id = self.account.open(kind, self.now_us);
        let peer = Peer {
            kind,
            held_bytes: 0,
            asked_bytes: 0,
            is_waiting: false,
            waiting_since_us: 0,
            is_complete: false,
        };
        self.peers.insert(id, peer);
        id
    }

    fn ask(&mut self, id: Id, bytes: usize) -> State {
        let state = self.account.ask(id, bytes, self.now_us);
        let peer = self.peers.get_mut(&id).unwrap();
        match state {
            State::Granted => peer.held_bytes += bytes,
            State::Waiting => {
                peer.asked_bytes = bytes;
                peer.is_waiting = true;
                peer.waiting_since_us = self.now_us;
            }
            State::Dropped => {}
        }
        self.check();
        state
    }

    fn release(&mut self, id: Id) {
        self.peers.remove(&id);
        self.account.release(id, self.now_us);
        self.follow();
    }

    fn tick(&mut self) {
        self.now_us += TICK_US;
        self.account.on_time(self.now_us);
        self.follow();
    }

    /// Applies what the account decided to the holders: granted ones hold more, dropped ones end.
    fn follow(&mut self) {
        let mut dropped = Vec::new();
        for (id, peer) in &mut self.peers {
            match self.account.state(*id) {
                State::Granted if peer.is_waiting => {
                    peer.is_waiting = false;
                    peer.held_bytes += peer.asked_bytes;
                }
                State::Dropped => dropped.push(*id),
                _ => {}
            }
        }
        self.check();
        for id in dropped {
            // The release of another one may have ended it already.
            let Some(peer) = self.peers.get(&id) else {
                continue;
            };
            assert!(!peer.is_complete, "a complete message was dropped");
            self.release(id);
        }
    }

    fn check(&self) {
        let usage = self.account.usage();
        let held = |kind| -> usize {
            let peers = self.peers.values().filter(|peer| peer.kind == kind);
            peers.map(|peer| peer.held_bytes).sum()
        };
        assert_eq!(usage.request_bytes, held(Kind::Request));
        assert_eq!(usage.response_bytes, held(Kind::Response));
        let total_bytes = usage.request_bytes + usage.response_bytes;
        assert!(total_bytes <= OPTIONS.bound_bytes, "{total_bytes} bytes");
        for peer in self.peers.values().filter(|peer| peer.is_waiting) {
            let waited_us = self.now_us - peer.waiting_since_us;
            assert!(waited_us <= OPTIONS.max_wait_us, "waited {waited_us} us");
        }
    }
}

/// Guards against holders that exceed the bound together, and against a wait without end.
#[test]
fn random_holders_stay_within_the_bound_and_no_wait_lasts() {
    for seed in 0..SEEDS {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut fixture = Fixture::new();
        for _ in 0..STEPS {
            let ids: Vec<_> = fixture.peers.keys().copied().collect();
            let chosen = random.choice(&ids).copied();
            match (random.u8(..10), chosen) {
                (0..=1, _) => {
                    let kind = match random.bool() {
                        true => Kind::Request,
                        false => Kind::Response,
                    };
                    let id = fixture.open(kind);
                    fixture.ask(id, random.usize(..300_000));
                }
                (2..=5, Some(id)) => {
                    let peer = &fixture.peers[&id];
                    if !peer.is_waiting && !peer.is_complete {
                        fixture.account.received(id, random.usize(..10_000));
                        fixture.ask(id, random.usize(..100_000));
                    }
                }
                (6, Some(id)) => {
                    let peer = fixture.peers.get_mut(&id).unwrap();
                    if !peer.is_waiting && !peer.is_complete {
                        peer.is_complete = true;
                        peer.held_bytes /= 2;
                        let held_bytes = peer.held_bytes;
                        let now_us = fixture.now_us;
                        fixture.account.complete(id, held_bytes, now_us);
                        fixture.follow();
                    }
                }
                (7, Some(id)) => fixture.release(id),
                _ => fixture.tick(),
            }
        }
        let ids: Vec<_> = fixture.peers.keys().copied().collect();
        for id in ids {
            if fixture.peers.contains_key(&id) {
                fixture.release(id);
            }
        }
        assert_eq!(fixture.account.usage().request_bytes, 0);
        assert_eq!(fixture.account.usage().response_bytes, 0);
        assert_eq!(fixture.account.usage().waiting, 0);
    }
}

/// Guards against a process that serves nobody because all clients are silent just short of the end
/// of their bodies.
#[test]
fn silent_bodies_are_dropped_for_a_new_one() {
    let mut fixture = Fixture::new();
    for _ in 0..40 {
        let id = fixture.open(Kind::Request);
        if fixture.ask(id, 100_000) == State::Granted {
            fixture.account.received(id, 99_000);
        }
    }
    let small = fixture.open(Kind::Request);
    assert_eq!(fixture.ask(small, 5_000), State::Granted);
    for _ in 0..300 {
        fixture.tick();
    }
    let id = fixture.open(Kind::Request);
    fixture.ask(id, 100_000);
    while fixture.account.state(id) == State::Waiting {
        fixture.tick();
    }
    assert_eq!(fixture.account.state(id), State::Granted);
}

/// Guards against holders that wait for each other: none can grow, and none ends by itself.
#[test]
fn bodies_that_wait_for_each_other_go_on() {
    let mut fixture = Fixture::new();
    let ids: Vec<_> = (0..6).map(|_| fixture.open(Kind::Request)).collect();
    for id in &ids {
        assert_eq!(fixture.ask(*id, 100_000), State::Granted);
    }
    for id in &ids {
        assert_eq!(fixture.ask(*id, 200_000), State::Waiting);
    }
    for _ in 0..15 {
        fixture.tick();
    }
    let is_granted = |id: &&Id| fixture.account.state(**id) == State::Granted;
    assert!(ids.iter().filter(is_granted).count() >= 1);
}

/// Guards against dropping a body that makes progress while another one is silent.
#[test]
fn the_slowest_body_is_dropped_first() {
    let mut fixture = Fixture::new();
    let [silent, busy] = [(); 2].map(|()| fixture.open(Kind::Request));
    fixture.ask(silent, 300_000);
    fixture.ask(busy, 300_000);
    for _ in 0..50 {
        fixture.account.received(busy, 1_000);
        fixture.tick();
    }
    let next = fixture.open(Kind::Request);
    fixture.ask(next, 300_000);
    for _ in 0..15 {
        fixture.account.received(busy, 1_000);
        fixture.tick();
    }
    assert_eq!(fixture.account.state(silent), State::Dropped);
    assert_eq!(fixture.account.state(busy), State::Granted);
    assert_eq!(fixture.account.state(next), State::Granted);
}
