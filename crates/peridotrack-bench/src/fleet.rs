//! A fleet of budget holders in simulated time, with a simulated store and network.
//!
//! The measures and the tests of `peridotrack-budget` start holders, send requests and change the
//! faults in force between calls of [`Fleet::run_until`]. The fleet also counts the spend of each
//! budget independently of the holders, as the provider does, to detect overspend and false
//! refusals. A seed makes a run reproducible.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};

use peridotrack_budget::{
    action::Action, event::Event, holder::Holder, ledger, refusal, reservation,
};
use peridotrack_types::{collections::HashMap, id, name};

mod audit;
mod network;
mod options;
mod store;

pub use audit::{Counts, Spend};
pub use options::{Faults, Options};
pub use store::Store;

/// State of a holder's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The process runs and handles events as they arrive.
    Running,
    /// The process is paused; events that arrive are deferred until it resumes.
    Paused,
    /// The process was killed; its rows stay in the ledger.
    Dead,
    /// The process closed its rows in the ledger and ended.
    Closed,
}

/// A holder, the state of its process, its waiting requests and its deferred events.
#[derive(Debug)]
pub struct Node {
    /// The holder's state machine.
    pub holder: Holder,
    /// Index of its failure domain.
    pub domain: usize,
    /// State of its process.
    pub state: State,
    /// Tokens that the provider counted for this holder, by index of the budget.
    pub spent_tokens: BTreeMap<usize, u64>,
    /// Requests that wait for tokens.
    waiting: Vec<Request>,
    /// Events that arrived while the process was paused.
    deferred: Vec<Scheduled>,
}

/// A request of a caller.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Index of the budget.
    pub budget: usize,
    /// Upper bound of the spend, in tokens.
    pub bound_tokens: u64,
    /// Tokens that the provider will count; at most the bound.
    pub spent_tokens: u64,
    /// Time from dispatch to the end of the response, in microseconds.
    pub service_us: u64,
    deadline_us: u64,
}

impl Request {
    /// Creates a request; [`Fleet::request`] sets the deadline of its wait for tokens.
    pub fn new(budget: usize, bound_tokens: u64, spent_tokens: u64, service_us: u64) -> Self {
        Self {
            budget,
            bound_tokens,
            spent_tokens,
            service_us,
            deadline_us: 0,
        }
    }
}

/// An event of the simulation that is scheduled for a node.
#[derive(Debug, Clone)]
enum Scheduled {
    /// A store response, a timeout or a message from a peer reaches the holder.
    Event(Event),
    /// A read of the holder arrives at the store.
    Read { shard: u32 },
    /// A write of the holder arrives at the store.
    Write {
        shard: u32,
        expected: Option<u64>,
        body: ledger::Shard,
        /// Whether the holder gave up on the write before it arrived.
        is_timed_out: bool,
    },
    /// A reserved request is dispatched to a backend server, which counts its spend.
    Dispatch {
        reservation: reservation::Id,
        request: Request,
    },
    /// The response of a request ends.
    Finish {
        reservation: reservation::Id,
        request: Request,
    },
    /// Requests that still wait for tokens at their deadline are refused.
    WaitDeadline,
}

/// A simulated fleet: holders, their store and network, and the spend that the provider counts.
#[derive(Debug)]
pub struct Fleet {
    options: Options,
    /// Simulated time, in microseconds.
    pub now_us: u64,
    /// Faults in force; they may change at any time.
    pub faults: Faults,
    /// The ledger shards in the platform's store.
    pub store: Store,
    /// Every holder ever started, by index; ended ones stay.
    pub nodes: Vec<Node>,
    /// Names of the budgets, by index.
    pub budgets: Vec<name::Budget>,
    /// Spend as the provider counts it, by index of the budget.
    pub spends: Vec<Spend>,
    /// Outcomes of all calls of [`Fleet::release`], one for each call and budget.
    pub releases: Vec<Result<(), ledger::ReleaseError>>,
    /// Counts since the fleet was created.
    pub counts: Counts,
    config_version: u64,
    /// Due times and sequence numbers of the events in `scheduled`, earliest first.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// Scheduled events, each with the index of its node, by sequence number.
    scheduled: HashMap<u64, (usize, Scheduled)>,
    sequence: u64,
    next_tick_us: u64,
    nodes_by_id: BTreeMap<id::Incarnation, usize>,
    rng: fastrand::Rng,
}

/// Creation of the fleet and its holders
impl Fleet {
    /// Creates a fleet without holders, with the purchased total of each budget.
    pub fn new(options: Options, purchased_tokens: &[u64]) -> Self {
        let budgets = (0..purchased_tokens.len())
            .map(|index| name::Budget::from(format!("budget-{index}")))
            .collect();
        let spends = purchased_tokens
            .iter()
            .map(|tokens| Spend {
                ceiling_tokens: *tokens,
                purchased_tokens: *tokens,
                ..Spend::default()
            })
            .collect();
        Self {
            rng: fastrand::Rng::with_seed(options.seed),
            options,
            now_us: 0,
            faults: Faults::default(),
            store: Store::default(),
            nodes: Vec::new(),
            budgets,
            spends,
            releases: Vec::new(),
            counts: Counts::default(),
            config_version: 1,
            queue: BinaryHeap::new(),
            scheduled: HashMap::default(),
            sequence: 0,
            next_tick_us: 0,
            nodes_by_id: BTreeMap::new(),
        }
    }

    /// Starts a holder in a failure domain, configures it and returns its index.
    ///
    /// It and the other holders know each other only after [`Fleet::update_peers`].
    pub fn spawn(&mut self, domain: usize) -> usize {
        let id = id::Incarnation(self.rng.u64(1..));
        let node = self.nodes.len();
        self.nodes.push(Node {
            holder: Holder::new(id, self.options.holder.clone(), self.now_us),
            domain,
            state: State::Running,
            spent_tokens: BTreeMap::new(),
            waiting: Vec::new(),
            deferred: Vec::new(),
        });
        self.nodes_by_id.insert(id, node);
        self.configure(node);
        node
    }
}

/// Control by tests and measures: configuration, process states, requests and time
impl Fleet {
    /// Changes the purchased total of a budget; [`Fleet::configure`] sends it to a holder.
    pub fn set_purchased(&mut self, budget: usize, purchased_tokens: u64) {
        self.config_version += 1;
        let spend = &mut self.spends[budget];
        spend.purchased_tokens = purchased_tokens;
        spend.ceiling_tokens = spend.ceiling_tokens.max(purchased_tokens);
    }

    /// Sends the current configuration to a holder, if it is running.
    pub fn configure(&mut self, node: usize) {
        if self.nodes[node].state != State::Running {
            return;
        }
        let totals = self.spends.iter().map(|spend| spend.purchased_tokens);
        let config: Vec<(name::Budget, u64)> = self.budgets.iter().cloned().zip(totals).collect();
        let (now_us, version) = (self.now_us, self.config_version);
        let actions = self.nodes[node].holder.configure(now_us, version, config);
        self.perform(node, actions);
    }

    /// Sends the current configuration to every running holder.
    pub fn configure_all(&mut self) {
        for node in 0..self.nodes.len() {
            self.configure(node);
        }
    }

    /// Sets the peers of every running holder to the running holders of its failure domain.
    pub fn update_peers(&mut self) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].state != State::Running {
                continue;
            }
            let domain = self.nodes[node].domain;
            let is_peer = |other: &&Node| other.domain == domain && other.state == State::Running;
            let peers: Vec<id::Incarnation> = self
                .nodes
                .iter()
                .filter(is_peer)
                .map(|other| other.holder.id())
                .collect();
            let actions = self.nodes[node].holder.set_peers(self.now_us, &peers);
            self.perform(node, actions);
        }
    }

    /// Kills a holder's process and drops its waiting requests and deferred events.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].state = State::Dead;
        self.nodes[node].waiting.clear();
        for item in std::mem::take(&mut self.nodes[node].deferred) {
            self.handle(node, item);
        }
    }

    /// Pauses a holder's process, if it is running.
    pub fn pause(&mut self, node: usize) {
        if self.nodes[node].state == State::Running {
            self.nodes[node].state = State::Paused;
        }
    }

    /// Resumes a paused holder, which then handles the events that arrived meanwhile.
    pub fn resume(&mut self, node: usize) {
        if self.nodes[node].state == State::Paused {
            self.nodes[node].state = State::Running;
            for item in std::mem::take(&mut self.nodes[node].deferred) {
                self.handle(node, item);
            }
        }
    }

    /// Starts the graceful shutdown of a holder, if it is running.
    pub fn close(&mut self, node: usize) {
        if self.nodes[node].state == State::Running {
            let actions = self.nodes[node].holder.close(self.now_us);
            self.perform(node, actions);
        }
    }

    /// Releases an ended holder's rows with its true spend, as an operator would.
    ///
    /// All running holders then refresh their shards.
    pub fn release(&mut self, node: usize) {
        let holder = self.nodes[node].holder.id();
        for (index, budget) in self.budgets.iter().enumerate() {
            let shard = ledger::shard_of(budget, self.options.holder.shard_count);
            let spent = self.nodes[node].spent_tokens.get(&index);
            let spent_tokens = spent.copied().unwrap_or(0);
            let outcome = self
                .store
                .edit(shard, |body| body.release(budget, holder, spent_tokens));
            self.releases.push(outcome);
        }
        let shards = 0..self.options.holder.shard_count;
        for other in 0..self.nodes.len() {
            if self.nodes[other].state == State::Running {
                shards
                    .clone()
                    .for_each(|shard| self.deliver(other, Event::Refresh { shard }));
            }
        }
    }

    /// Sends a request to a holder, if it is running.
    pub fn request(&mut self, node: usize, mut request: Request) {
        if self.nodes[node].state != State::Running {
            return;
        }
        self.counts.requests += 1;
        request.deadline_us = self.now_us + self.options.max_wait_us;
        self.attempt(node, request);
        self.poll(node);
    }

    /// Advances simulated time to `until_us`, handling all events that are due.
    pub fn run_until(&mut self, until_us: u64) {
        loop {
            let next_us = self
                .queue
                .peek()
                .map_or(u64::MAX, |Reverse((at_us, _))| *at_us);
            let at_us = next_us.min(self.next_tick_us);
            if at_us > until_us {
                break;
            }
            self.now_us = self.now_us.max(at_us);
            if self.next_tick_us <= next_us {
                self.tick();
            } else if let Some(Reverse((_, sequence))) = self.queue.pop()
                && let Some((node, item)) = self.scheduled.remove(&sequence)
            {
                self.handle(node, item);
            }
        }
        self.now_us = self.now_us.max(until_us);
    }
}

/// Event loop: delivery to holders, and execution of their actions
impl Fleet {
    fn tick(&mut self) {
        self.next_tick_us += self.options.tick_us;
        for node in 0..self.nodes.len() {
            if self.nodes[node].state == State::Running {
                self.deliver(node, Event::Tick);
                if self.nodes[node].holder.is_closed() {
                    self.nodes[node].state = State::Closed;
                }
            }
        }
    }

    fn schedule(&mut self, at_us: u64, node: usize, item: Scheduled) {
        self.sequence += 1;
        self.queue.push(Reverse((at_us, self.sequence)));
        self.scheduled.insert(self.sequence, (node, item));
    }

    fn handle(&mut self, node: usize, item: Scheduled) {
        match item {
            // A call that was sent reaches the store even if its holder is paused or has ended.
            Scheduled::Read { shard } => return self.process_read(node, shard),
            Scheduled::Write {
                shard,
                expected,
                body,
                is_timed_out,
            } => return self.process_write(node, shard, expected, body, is_timed_out),
            Scheduled::Event(_)
            | Scheduled::Dispatch { .. }
            | Scheduled::Finish { .. }
            | Scheduled::WaitDeadline => {}
        }
        match self.nodes[node].state {
            State::Dead | State::Closed => {
                if let Scheduled::Finish { request, .. } | Scheduled::Dispatch { request, .. } =
                    item
                {
                    self.spends[request.budget].open_tokens -= request.bound_tokens;
                }
            }
            State::Paused => self.nodes[node].deferred.push(item),
            State::Running => self.handle_running(node, item),
        }
    }

    fn handle_running(&mut self, node: usize, item: Scheduled) {
        match item {
            Scheduled::Event(event) => self.deliver(node, event),
            Scheduled::Dispatch {
                reservation,
                request,
            } => {
                self.counts.dispatched += 1;
                *self.nodes[node]
                    .spent_tokens
                    .entry(request.budget)
                    .or_default() += request.spent_tokens;
                self.spends[request.budget].spent_tokens += request.spent_tokens;
                self.spends[request.budget].open_tokens -= request.spent_tokens;
                let remainder = Request {
                    bound_tokens: request.bound_tokens - request.spent_tokens,
                    ..request
                };
                let at_us = self.now_us + request.service_us;
                let item = Scheduled::Finish {
                    reservation,
                    request: remainder,
                };
                self.schedule(at_us, node, item);
            }
            Scheduled::Finish {
                reservation,
                request,
            } => {
                self.spends[request.budget].open_tokens -= request.bound_tokens;
                let holder = &mut self.nodes[node].holder;
                holder.settle(self.now_us, reservation, request.spent_tokens);
                self.poll(node);
            }
            Scheduled::WaitDeadline => self.expire_waiting(node),
            Scheduled::Read { .. } | Scheduled::Write { .. } => {}
        }
    }

    fn deliver(&mut self, node: usize, event: Event) {
        let actions = self.nodes[node].holder.on_event(self.now_us, event);
        self.perform(node, actions);
    }

    fn poll(&mut self, node: usize) {
        let actions = self.nodes[node].holder.poll(self.now_us);
        self.perform(node, actions);
    }

    fn perform(&mut self, node: usize, actions: Vec<Action>) {
        let mut retries_waiting = false;
        for action in actions {
            match action {
                Action::Read { shard } => self.send_read(node, shard),
                Action::Write {
                    shard,
                    expected,
                    body,
                } => self.send_write(node, shard, expected, body),
                Action::Send { to, message } => self.send_message(node, to, &message),
                Action::Wake => retries_waiting = true,
                Action::Note(_) => {}
            }
        }
        if retries_waiting && !self.nodes[node].waiting.is_empty() {
            for request in std::mem::take(&mut self.nodes[node].waiting) {
                self.attempt(node, request);
            }
            self.poll(node);
        }
    }
}

/// Reservation of requests, and their wait for tokens
impl Fleet {
    fn attempt(&mut self, node: usize, request: Request) {
        let now_us = self.now_us;
        let budget = &self.budgets[request.budget];
        let holder = &mut self.nodes[node].holder;
        match holder.reserve(now_us, budget, request.bound_tokens) {
            Ok(reservation) => {
                self.spends[request.budget].open_tokens += request.bound_tokens;
                let at_us = now_us + self.rng.u64(0..1_000);
                let item = Scheduled::Dispatch {
                    reservation,
                    request,
                };
                self.schedule(at_us, node, item);
            }
            Err(refusal) if refusal.kind == refusal::Kind::Waiting => {
                self.schedule(request.deadline_us, node, Scheduled::WaitDeadline);
                self.nodes[node].waiting.push(request);
            }
            Err(refusal) => {
                self.record_refusal(node, request.budget, request.bound_tokens, refusal.kind);
            }
        }
    }

    fn expire_waiting(&mut self, node: usize) {
        let now_us = self.now_us;
        let waiting = std::mem::take(&mut self.nodes[node].waiting);
        let (expired, remaining) = waiting.into_iter().partition(|r| r.deadline_us <= now_us);
        self.nodes[node].waiting = remaining;
        let expired: Vec<Request> = expired;
        for request in expired {
            let kind = refusal::Kind::Waiting;
            self.record_refusal(node, request.budget, request.bound_tokens, kind);
        }
    }
}
