//! A simulated failure domain: routers with usage logs, one store, and lossy links.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
};

use peridotrack_once::{bill, usage};
use peridotrack_types::id;

use super::{records, store::chance};

/// Number of routers in the domain.
pub const ROUTERS: usize = 4;
/// Limit on the steps of one run; a run that exceeds it ticks endlessly.
const MAX_STEPS: u64 = 200_000;

/// Frequencies of faults, in 1,000 steps, messages or writes. No router is killed once `max_kills`
/// routers have ended.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    pub lost_messages: u32,
    pub lost_writes: u32,
    pub lost_replies: u32,
    pub killed: u32,
    pub max_kills: usize,
    pub paused: u32,
    pub stopped: u32,
    pub partitioned: u32,
}

enum Step {
    Arrive,
    Tick,
    Event(usage::Event),
    SetPeers,
}

struct Router {
    log: usage::Log,
    incarnation: id::Incarnation,
    requests: u64,
    paused_until_us: u64,
    tick_us: u64,
    is_stopping: bool,
}

/// The observed course of one record.
pub struct Trace {
    record: usage::Record,
    releases: u32,
    /// Peers to which a copy was sent in a message that is not lost.
    holders: BTreeSet<id::Incarnation>,
    is_unprotected: bool,
}

/// Counts of records that are in no batch.
#[derive(Debug, Default)]
pub struct Lost {
    /// The response was not released: the caller never received the last byte.
    pub unreleased: usize,
    /// Released because neither a peer nor the store replied in time; then the origin died.
    pub unprotected: usize,
    /// Origin and every holder died before the flush.
    pub with_all_holders: usize,
}

pub struct Domain {
    now_us: u64,
    pub rng: fastrand::Rng,
    pub faults: Faults,
    routers: Vec<Router>,
    pub dead: BTreeSet<id::Incarnation>,
    batches: BTreeMap<String, usage::Batch>,
    pub traces: BTreeMap<id::Request, Trace>,
    /// The partitioned router, whether it is cut off from its peers and from the store, and the
    /// end time.
    partition: (usize, bool, bool, u64),
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    steps: BTreeMap<u64, (usize, id::Incarnation, Step)>,
    sequence: u64,
    incarnations: u64,
}

impl Domain {
    pub fn new(seed: u64, faults: Faults) -> Self {
        let mut domain = Self {
            now_us: 0,
            rng: fastrand::Rng::with_seed(seed),
            faults,
            routers: Vec::new(),
            dead: BTreeSet::new(),
            batches: BTreeMap::new(),
            traces: BTreeMap::new(),
            partition: (0, false, false, 0),
            queue: BinaryHeap::new(),
            steps: BTreeMap::new(),
            sequence: 0,
            incarnations: 0,
        };
        for _ in 0..ROUTERS {
            let router = domain.start_router();
            domain.routers.push(router);
        }
        domain.announce(0);
        domain
    }

    fn start_router(&mut self) -> Router {
        self.incarnations += 1;
        let incarnation = id::Incarnation(self.incarnations);
        let options = usage::Options {
            copies: 1 + (self.incarnations % 2) as usize,
            flush_us: 300_000,
            batch_records: 20,
            recover_after_us: 300_000,
            held_report_us: 500_000,
            retry_max_us: 500_000,
            ..usage::Options::default()
        };
        Router {
            log: usage::Log::new(incarnation, options, self.now_us),
            incarnation,
            requests: 0,
            paused_until_us: 0,
            tick_us: u64::MAX,
            is_stopping: false,
        }
    }

    fn push(&mut self, delay_us: u64, router: usize, step: Step) {
        self.sequence += 1;
        self.queue
            .push(Reverse((self.now_us + delay_us, self.sequence)));
        let incarnation = self.routers[router].incarnation;
        self.steps
            .insert(self.sequence, (router, incarnation, step));
    }

    /// Schedules the end of a request, which adds a usage record.
    pub fn arrive_at(&mut self, at_us: u64, router: usize) {
        self.push(at_us - self.now_us, router, Step::Arrive);
    }

    /// Ends all faults and restores the live peers of all routers.
    pub fn heal(&mut self) {
        self.faults = Faults::default();
        self.partition.3 = 0;
        self.announce(1);
    }

    /// Returns the unflushed records of each router: its local ones and those held for peers.
    pub fn remaining_records(&self) -> Vec<(usize, usize)> {
        let logs = self.routers.iter().map(|router| &router.log);
        logs.map(|log| (log.backlog_records(), log.held_records()))
            .collect()
    }

    /// Schedules an update of the live peers of every router.
    fn announce(&mut self, delay_us: u64) {
        for router in 0..ROUTERS {
            self.push(delay_us, router, Step::SetPeers);
        }
    }

    pub fn run(&mut self, end_us: u64) {
        while let Some(Reverse((at_us, sequence))) = self.queue.pop() {
            assert!(sequence < MAX_STEPS, "the routers tick without end");
            if at_us > end_us {
                self.queue.push(Reverse((at_us, sequence)));
                break;
            }
            self.now_us = at_us;
            let (router, incarnation, step) = self.steps.remove(&sequence).expect("queued");
            match step {
                Step::Arrive => self.step(router, Step::Arrive),
                step if incarnation == self.routers[router].incarnation => self.step(router, step),
                _ => {}
            }
        }
        self.now_us = end_us;
    }

    fn step(&mut self, index: usize, step: Step) {
        let paused_until_us = self.routers[index].paused_until_us;
        if self.now_us < paused_until_us {
            return self.push(paused_until_us - self.now_us, index, step);
        }
        if self.dead.len() < self.faults.max_kills && chance(&mut self.rng, self.faults.killed) {
            return self.replace(index);
        } else if chance(&mut self.rng, self.faults.paused) {
            self.routers[index].paused_until_us = self.now_us + self.rng.u64(1_000..2_000_000);
        } else if chance(&mut self.rng, self.faults.stopped) {
            self.routers[index].is_stopping = true;
            let actions = self.routers[index].log.stop(self.now_us);
            self.perform(index, actions);
        } else if chance(&mut self.rng, self.faults.partitioned) {
            let until_us = self.now_us + self.rng.u64(10_000..2_000_000);
            self.partition = (index, self.rng.bool(), self.rng.bool(), until_us);
            self.announce(100_000);
            self.announce(until_us - self.now_us + 100_000);
        }
        let now_us = self.now_us;
        let log = &mut self.routers[index].log;
        let actions = match step {
            Step::Arrive => self.arrive(index),
            Step::Event(event) => log.on_event(now_us, event),
            Step::Tick => {
                self.routers[index].tick_us = u64::MAX;
                self.routers[index].log.on_event(now_us, usage::Event::Tick)
            }
            Step::SetPeers => {
                let peers = self.live_peers(index);
                self.routers[index].log.set_peers(now_us, &peers)
            }
        };
        self.perform(index, actions);
        if self.routers[index].is_stopping && self.routers[index].log.is_flushed() {
            self.replace(index);
        }
    }

    fn replace(&mut self, index: usize) {
        self.dead.insert(self.routers[index].incarnation);
        let router = self.start_router();
        self.routers[index] = router;
        self.announce(200_000);
    }

    fn is_partitioned_from_peers(&self, index: usize) -> bool {
        self.partition.0 == index && self.partition.1 && self.now_us < self.partition.3
    }

    fn live_peers(&self, index: usize) -> Vec<id::Incarnation> {
        let is_live = |peer: &usize| {
            *peer != index
                && !self.is_partitioned_from_peers(index)
                && !self.is_partitioned_from_peers(*peer)
        };
        let peers = (0..ROUTERS).filter(is_live);
        peers.map(|peer| self.routers[peer].incarnation).collect()
    }

    fn arrive(&mut self, index: usize) -> Vec<usage::Action> {
        let router = &mut self.routers[index];
        router.requests += 1;
        let request_id = id::Request {
            incarnation: router.incarnation,
            sequence: router.requests,
        };
        let key = self.rng.u32(0..40);
        let record = records::record(&format!("key-{key}"), request_id, self.rng.u64(1..500));
        self.traces.insert(
            request_id,
            Trace {
                record: record.clone(),
                releases: 0,
                holders: BTreeSet::new(),
                is_unprotected: false,
            },
        );
        self.routers[index].log.record(self.now_us, record)
    }

    fn perform(&mut self, index: usize, actions: Vec<usage::Action>) {
        for action in actions {
            match action {
                usage::Action::Send { peer, message } => self.send(index, peer, &message),
                usage::Action::Write { object, body } => self.write(index, object, &body),
                usage::Action::ReleaseResponse { request_id } => {
                    self.traces.get_mut(&request_id).expect("recorded").releases += 1;
                }
                usage::Action::Note(usage::Note::Unprotected { request_id }) => {
                    let trace = self.traces.get_mut(&request_id).expect("recorded");
                    trace.is_unprotected = true;
                }
                usage::Action::Note(usage::Note::Rescue { .. }) => {}
            }
        }
        let router = &mut self.routers[index];
        let tick_us = router
            .log
            .next_tick_us()
            .map(|tick_us| tick_us.max(self.now_us + 1));
        if let Some(tick_us) = tick_us.filter(|tick_us| *tick_us < router.tick_us) {
            router.tick_us = tick_us;
            self.push(tick_us - self.now_us, index, Step::Tick);
        }
    }

    fn send(&mut self, index: usize, peer: id::Incarnation, message: &usage::Message) {
        let sender = self.routers[index].incarnation;
        let receiver = self
            .routers
            .iter()
            .position(|router| router.incarnation == peer);
        let Some(receiver) = receiver else { return };
        let is_partitioned =
            self.is_partitioned_from_peers(index) || self.is_partitioned_from_peers(receiver);
        // Each message may be lost, repeated or reordered.
        for _ in 0..self.rng.u32(1..3) {
            if is_partitioned || chance(&mut self.rng, self.faults.lost_messages) {
                continue;
            }
            if let usage::Message::Copy { copy, .. } = message {
                for record in &copy.records {
                    let trace = self.traces.get_mut(&record.request_id).expect("recorded");
                    trace.holders.insert(peer);
                }
            }
            let delay_us = self.rng.u64(300..5_000);
            let received = usage::Event::Received {
                peer: sender,
                message: message.clone(),
            };
            self.push(delay_us, receiver, Step::Event(received));
        }
    }

    fn write(&mut self, index: usize, object: String, body: &usage::Batch) {
        let is_partitioned =
            self.partition.0 == index && self.partition.2 && self.now_us < self.partition.3;
        let unknown = usage::Event::FlushUnknown {
            object: object.clone(),
        };
        if is_partitioned || chance(&mut self.rng, self.faults.lost_writes) {
            return self.push(40_000, index, Step::Event(unknown));
        }
        let stored = self
            .batches
            .entry(object.clone())
            .or_insert_with(|| body.clone());
        assert_eq!(stored, body, "{object} names two different batches");
        let event = if chance(&mut self.rng, self.faults.lost_replies) {
            unknown
        } else {
            usage::Event::Flushed { object }
        };
        let delay_us = self.rng.u64(2_000..6_000);
        self.push(delay_us, index, Step::Event(event));
    }

    /// Checks the bill and counts the lost records; each must be a loss that [`usage`] documents.
    pub fn check(&self, lost: &mut Lost) {
        let batches = || self.batches.values().cloned();
        let bill = bill::Bill::from_batches(batches());
        let mut reversed: Vec<_> = batches().chain(batches()).collect();
        reversed.reverse();
        let reversed = bill::Bill::from_batches(reversed);
        assert!(
            bill.lines().eq(reversed.lines()),
            "the bill depends on order or repetition"
        );

        for (request_id, trace) in &self.traces {
            assert!(trace.releases <= 1, "{request_id} was released twice");
            let line = bill.line(&trace.record.account, &trace.record.key);
            if line.is_some_and(|line| line.request_ids.contains(request_id)) {
                continue;
            }
            let is_origin_dead = self.dead.contains(&request_id.incarnation);
            let are_holders_dead = trace.holders.is_subset(&self.dead);
            assert!(
                is_origin_dead && are_holders_dead,
                "{request_id} is missing"
            );
            match (trace.releases, trace.is_unprotected) {
                (0, _) => lost.unreleased += 1,
                (_, true) => lost.unprotected += 1,
                (_, false) => {
                    assert!(
                        !trace.holders.is_empty(),
                        "{request_id} was released without a holder"
                    );
                    lost.with_all_holders += 1;
                }
            }
        }
    }
}
