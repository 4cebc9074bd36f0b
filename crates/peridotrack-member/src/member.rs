//! The membership of one router: its peers and the configuration that it holds.

use std::net::SocketAddr;

use peridotrack_types::{id, name};

use crate::{
    action::{Action, Event, ListedVm, Note},
    config,
    contacts::Contacts,
    gossip::Gossip,
    message::{Message, Record, Report, State},
    peer::{Bounds, Peer, Reason},
    table::{Merge, Room, Table},
};

/// Longest time between two [`Event::Tick`], in microseconds. A longer gap is taken as a pause.
pub const MAX_TICK_US: u64 = 1_500_000;

/// What a router says of itself at its start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Local {
    /// Name of its VM.
    pub vm: name::Vm,
    /// Life of this process.
    pub incarnation: id::Incarnation,
    /// When this process started, in milliseconds since 1970.
    pub started_wall_ms: u64,
    /// Failure domain of its VM.
    pub failure_domain: name::FailureDomain,
    /// Where other routers connect.
    pub peer_address: SocketAddr,
    /// Where callers connect.
    pub caller_address: SocketAddr,
}

/// Periods and bounds of the membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Time between heartbeats, in microseconds.
    pub heartbeat_period_us: u64,
    /// The same in the first [`Options::startup_us`] of a router, which has its peers to find.
    pub startup_heartbeat_period_us: u64,
    /// Time for which a router counts as starting, in microseconds.
    pub startup_us: u64,
    /// Time without news of a peer in the same failure domain until it is left out.
    pub silent_after_us: u64,
    /// Time without news of a peer in another failure domain until it is left out.
    pub foreign_silent_after_us: u64,
    /// Time for which a peer that is left out is remembered.
    pub forget_after_us: u64,
    /// Heartbeats without an answer after which a peer is left out.
    pub unanswered_heartbeats: u32,
    /// Most peers known in the same failure domain.
    pub max_domain_peers: usize,
    /// Most peers known in each other failure domain.
    pub max_foreign_peers: usize,
    /// Most beats in one message.
    pub sequences_per_message: usize,
    /// Most records in one message, besides the sender's own.
    pub records_per_message: usize,
    /// Most records in all messages of one heartbeat period.
    pub records_per_period: usize,
    /// Peers of its own failure domain that a sender from another one is told of in one reply,
    /// while it knows few of them.
    pub sender_domain_records_per_reply: usize,
    /// Most full replies in one heartbeat period.
    pub replies_per_period: u32,
    /// Routers of a failure domain that watch the platform's configuration.
    pub watchers_per_domain: usize,
    /// Time between polls of the platform by a router that watches it, in microseconds.
    pub watcher_poll_period_us: u64,
    /// Time between polls of the platform by any other router, in microseconds.
    pub poll_period_us: u64,
    /// Time after which the fetch of a configuration counts as failed, in microseconds.
    pub fetch_timeout_us: u64,
}

/// The membership of one router.
#[derive(Debug, Clone)]
pub struct Members {
    pub(crate) local: Record,
    pub(crate) options: Options,
    pub(crate) table: Table,
    pub(crate) contacts: Contacts,
    pub(crate) gossip: Gossip,
    held: config::HeldVersion,
    next_poll_us: u64,
    poll_failures: u32,
    started_us: u64,
    last_event_us: u64,
    resumed_us: u64,
    is_superseded: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            heartbeat_period_us: 1_000_000,
            startup_heartbeat_period_us: 1_000_000,
            startup_us: 0,
            silent_after_us: 10_000_000,
            foreign_silent_after_us: 30_000_000,
            forget_after_us: 60_000_000,
            unanswered_heartbeats: 5,
            max_domain_peers: 256,
            max_foreign_peers: 8,
            sequences_per_message: 64,
            records_per_message: 16,
            records_per_period: 24,
            sender_domain_records_per_reply: 1,
            replies_per_period: 5,
            watchers_per_domain: 2,
            watcher_poll_period_us: 5_000_000,
            poll_period_us: 30_000_000,
            fetch_timeout_us: 2_000_000,
        }
    }
}

/// Construction.
impl Members {
    /// Returns the membership of a router that knows no peer yet.
    pub fn new(
        local: Local,
        seeds: Vec<SocketAddr>,
        options: Options,
        seed: u64,
        now_us: u64,
    ) -> Self {
        Self {
            contacts: Contacts::new(local.peer_address, seeds),
            gossip: Gossip::new(seed, now_us),
            local: Record {
                vm: local.vm,
                incarnation: local.incarnation,
                started_wall_ms: local.started_wall_ms,
                failure_domain: local.failure_domain,
                peer_address: local.peer_address,
                caller_address: local.caller_address,
                heartbeat_sequence: 0,
                config_version: 0,
                state: State::Starting,
            },
            options,
            table: Table::default(),
            held: config::HeldVersion::default(),
            next_poll_us: now_us,
            poll_failures: 0,
            started_us: now_us,
            last_event_us: now_us,
            resumed_us: now_us,
            is_superseded: false,
        }
    }
}

/// Access.
impl Members {
    /// Returns what this router says of itself.
    pub fn local(&self) -> &Record {
        &self.local
    }

    /// Returns the configuration version that this router holds; 0 means none.
    pub fn config_version(&self) -> u64 {
        self.held.version()
    }

    /// Returns every known peer, also those left out, by name.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.table.iter()
    }

    /// Returns the usable peers by name.
    pub fn live(&self, now_us: u64) -> impl Iterator<Item = &Peer> {
        self.table
            .iter()
            .filter(move |peer| peer.is_live() && peer.fault(now_us, self.bounds(peer)).is_none())
    }

    /// Returns the usable peers in a failure domain by name.
    pub fn live_in<'a>(
        &'a self,
        now_us: u64,
        domain: &'a name::FailureDomain,
    ) -> impl Iterator<Item = &'a Peer> + 'a {
        self.live(now_us)
            .filter(move |peer| &peer.record.failure_domain == domain)
    }

    /// Returns whether this router is one of those that watch the platform's configuration.
    ///
    /// A few routers of a failure domain watch; the others learn of changes from them.
    pub fn is_watcher(&self, now_us: u64) -> bool {
        let lower = self
            .live_in(now_us, &self.local.failure_domain)
            .filter(|peer| peer.record.incarnation < self.local.incarnation)
            .count();
        lower < self.options.watchers_per_domain
    }

    pub(crate) fn is_same_domain(&self, record: &Record) -> bool {
        record.failure_domain == self.local.failure_domain
    }

    /// Returns the present time between heartbeats.
    pub(crate) fn period_us(&self, now_us: u64) -> u64 {
        match now_us < self.started_us + self.options.startup_us {
            true => self.options.startup_heartbeat_period_us,
            false => self.options.heartbeat_period_us,
        }
    }

    fn bounds(&self, peer: &Peer) -> Bounds {
        let silent_us = if self.is_same_domain(&peer.record) {
            self.options.silent_after_us
        } else {
            self.options.foreign_silent_after_us
        };
        Bounds {
            silent_us,
            unanswered: self.options.unanswered_heartbeats,
            resumed_us: self.resumed_us,
        }
    }
}

/// Mutation.
impl Members {
    /// Takes an event in and returns what is to be done.
    pub fn on_event(&mut self, now_us: u64, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.notice_pause(now_us, &mut actions);
        match event {
            Event::Tick => self.on_tick(now_us, &mut actions),
            Event::Message { message, .. } => self.on_message(now_us, &message, &mut actions),
            Event::SendFailed { address } => self.on_send_failed(now_us, address, &mut actions),
            Event::PlatformConfig { version } => {
                self.on_platform_config(now_us, version, &mut actions);
            }
            Event::PlatformUnreachable => self.on_platform_unreachable(now_us),
            Event::VmList(vms) => self.on_vm_list(&vms),
        }
        actions
    }

    /// Takes note that the configuration of a version has been read as a whole.
    ///
    /// The caller puts it in force only if the outcome is [`config::Outcome::Accepted`].
    pub fn configure(&mut self, now_us: u64, config_version: u64) -> config::Outcome {
        let outcome = self.held.on_fetched(config_version);
        if let config::Outcome::Accepted { .. } = outcome {
            self.local.config_version = config_version;
            self.gossip.hasten(now_us);
        }
        outcome
    }

    /// Sets the state that this router tells its peers.
    pub fn set_state(&mut self, now_us: u64, state: State) {
        if self.local.state != state {
            self.local.state = state;
            self.gossip.hasten(now_us);
        }
    }

    /// Says that this router has ended. The actions tell some peers, who tell the others.
    pub fn stop(&mut self, now_us: u64) -> Vec<Action> {
        self.local.state = State::Stopped;
        self.local.heartbeat_sequence += 1;
        self.farewells(now_us)
    }

    fn notice_pause(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let gap_us = now_us.saturating_sub(self.last_event_us);
        if gap_us > MAX_TICK_US {
            self.resumed_us = now_us;
            actions.push(Action::Note(Note::Resumed { gap_us }));
        }
        self.last_event_us = self.last_event_us.max(now_us);
    }

    fn on_tick(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        for vm in self.table.names() {
            self.settle(&vm, now_us, actions);
        }
        self.forget(now_us);
        if now_us >= self.next_poll_us {
            self.next_poll_us = now_us + self.gossip.jitter(self.poll_period_us(now_us));
            actions.push(Action::PollPlatform);
        }
        self.heartbeats(now_us, actions);
    }

    fn on_message(&mut self, now_us: u64, message: &Message, actions: &mut Vec<Action>) {
        let report = message.report();
        if report.from.incarnation == self.local.incarnation {
            return;
        }
        self.merge(now_us, &report.from, true, actions);
        let sender = self.table.get_mut(&report.from.vm);
        if let Some(peer) = sender.filter(|peer| peer.record.incarnation == report.from.incarnation)
        {
            peer.reached();
            self.settle(&report.from.vm, now_us, actions);
        }
        self.take_report(now_us, report, actions);
        self.on_peer_config(now_us, &report.from, actions);
        if let Message::Heartbeat(_) = message {
            self.reply(now_us, report, actions);
        }
    }

    fn take_report(&mut self, now_us: u64, report: &Report, actions: &mut Vec<Action>) {
        for record in report.records.iter().take(self.options.max_domain_peers) {
            self.merge(now_us, record, false, actions);
        }
        for entry in report
            .heartbeat_sequences
            .iter()
            .take(self.options.max_domain_peers)
        {
            if let Some(vm) = self.table.advance_sequence(now_us, *entry) {
                self.settle(&vm, now_us, actions);
            }
        }
    }

    /// Takes a record in that its subject sent, or that another router passed on.
    fn merge(&mut self, now_us: u64, record: &Record, is_direct: bool, actions: &mut Vec<Action>) {
        if record.vm == self.local.vm {
            self.notice_namesake(record, actions);
            return;
        }
        let is_same_domain = self.is_same_domain(record);
        let room = Room {
            peers: if is_same_domain {
                self.options.max_domain_peers
            } else {
                self.options.max_foreign_peers
            },
            may_evict: is_direct,
        };
        let merge = self.table.merge(now_us, record, room);
        if is_same_domain && merge != Merge::Nothing {
            self.gossip.add_news(record.vm.clone());
        }
        match merge {
            Merge::Nothing | Merge::News => {}
            Merge::Replaced(peer) => {
                if peer.is_live() {
                    actions.push(Action::Left {
                        peer: *peer,
                        reason: Reason::Replaced,
                    });
                }
            }
        }
        self.settle(&record.vm, now_us, actions);
    }

    fn notice_namesake(&mut self, record: &Record, actions: &mut Vec<Action>) {
        if record.generation() > self.local.generation() && !self.is_superseded {
            self.is_superseded = true;
            actions.push(Action::Note(Note::Superseded {
                by: record.incarnation,
            }));
        }
    }

    fn settle(&mut self, vm: &name::Vm, now_us: u64, actions: &mut Vec<Action>) {
        let Some(bounds) = self.table.get(vm).map(|peer| self.bounds(peer)) else {
            return;
        };
        if let Some(peer) = self.table.settle(vm, now_us, bounds) {
            let peer = peer.clone();
            actions.push(match peer.status.reason() {
                None => Action::Joined { peer },
                Some(reason) => Action::Left { peer, reason },
            });
        }
    }

    /// Drops peers that were left out long ago. Their addresses are still tried at times.
    fn forget(&mut self, now_us: u64) {
        let forget_after_us = self.options.forget_after_us;
        let old: Vec<_> = self
            .table
            .iter()
            .filter(|peer| !peer.is_live())
            .filter(|peer| now_us.saturating_sub(peer.last_heartbeat_us) > forget_after_us)
            .map(|peer| peer.record.vm.clone())
            .collect();
        for vm in old {
            let Some(peer) = self.table.remove(&vm) else {
                continue;
            };
            if peer.record.state != State::Stopped {
                self.contacts.learn(peer.record.peer_address);
            }
        }
    }

    fn on_send_failed(&mut self, now_us: u64, address: SocketAddr, actions: &mut Vec<Action>) {
        let failed: Vec<_> = self
            .table
            .iter()
            .filter(|peer| peer.record.peer_address == address)
            .map(|peer| peer.record.vm.clone())
            .collect();
        for vm in failed {
            if let Some(peer) = self.table.get_mut(&vm) {
                peer.is_send_failed = true;
            }
            self.settle(&vm, now_us, actions);
        }
    }

    fn on_vm_list(&mut self, vms: &[ListedVm]) {
        for listed in vms {
            if let Some(peer) = self.table.get_mut(&listed.vm) {
                peer.is_listed_leaving = listed.is_leaving;
                continue;
            }
            match listed.peer_address {
                Some(address) if listed.is_leaving => self.contacts.forget(address),
                Some(address) if address != self.local.peer_address => {
                    self.contacts.learn(address);
                }
                _ => {}
            }
        }
    }
}

/// Configuration.
impl Members {
    fn on_peer_config(&mut self, now_us: u64, from: &Record, actions: &mut Vec<Action>) {
        let timeout_us = self.options.fetch_timeout_us;
        let decision = self
            .held
            .on_advertised(now_us, from.config_version, timeout_us);
        if decision == config::FetchDecision::Fetch {
            actions.push(Action::FetchConfigFrom {
                address: from.peer_address,
                version: from.config_version,
            });
        }
    }

    fn on_platform_config(&mut self, now_us: u64, version: u64, actions: &mut Vec<Action>) {
        self.poll_failures = 0;
        match self
            .held
            .on_advertised(now_us, version, self.options.fetch_timeout_us)
        {
            config::FetchDecision::Fetch => {
                actions.push(Action::FetchConfigFromPlatform { version })
            }
            config::FetchDecision::Stale { held_version } => {
                actions.push(Action::Note(Note::StalePlatformConfig {
                    version,
                    held_version,
                }));
            }
            config::FetchDecision::Fetching | config::FetchDecision::Current => {}
        }
    }

    fn poll_period_us(&self, now_us: u64) -> u64 {
        if self.is_watcher(now_us) {
            self.options.watcher_poll_period_us
        } else {
            self.options.poll_period_us
        }
    }

    /// Polls soon again after a first failure, then less and less often.
    fn on_platform_unreachable(&mut self, now_us: u64) {
        let wait_us = (self.options.heartbeat_period_us << self.poll_failures.min(8))
            .min(self.poll_period_us(now_us));
        self.poll_failures += 1;
        self.next_poll_us = now_us + self.gossip.jitter(wait_us);
    }
}
