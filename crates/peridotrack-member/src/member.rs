//! The membership of one router: its peers, and the configuration version that it holds.
//!
//! [`Members::on_event`] takes each [`Event`] and returns the [`Action`]s to carry out. Times are
//! microseconds of a monotonic clock that the driver reads, unless noted otherwise.

use std::net::SocketAddr;

use peridotrack_types::{id, name};

use crate::{
    action::{Action, Event, ListedVm, Note},
    config,
    contacts::Contacts,
    gossip::Gossip,
    message::{Message, Record, Report, State},
    peer::{Bounds, Peer, Reason},
    table::{Capacity, Merge, Table},
};

/// Maximum time between two events, in microseconds. A longer gap counts as a pause of the process.
pub const MAX_TICK_US: u64 = 1_500_000;

/// Properties of the local router that are fixed at its start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Local {
    /// Name of the VM on which it runs.
    pub vm: name::Vm,
    /// Incarnation of this router: identifies one run of the process.
    pub incarnation: id::Incarnation,
    /// When this process started, in milliseconds since the Unix epoch. Orders the incarnations of
    /// one VM.
    pub started_wall_ms: u64,
    /// Failure domain in which the VM runs.
    pub failure_domain: name::FailureDomain,
    /// Address at which it accepts other routers.
    pub peer_address: SocketAddr,
    /// Address at which it accepts callers.
    pub caller_address: SocketAddr,
}

/// Periods, timeouts and bounds of the membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Time between heartbeats, in microseconds.
    pub heartbeat_period_us: u64,
    /// Time between heartbeats within [`Options::startup_us`] of the start, while the router
    /// discovers its peers, in microseconds.
    pub startup_heartbeat_period_us: u64,
    /// Time after the start for which [`Options::startup_heartbeat_period_us`] applies, in
    /// microseconds.
    pub startup_us: u64,
    /// Time without an advance of the heartbeat sequence after which a peer of the local failure
    /// domain is silent, in microseconds.
    pub silent_after_us: u64,
    /// Time without an advance of the heartbeat sequence after which a peer of another failure
    /// domain is silent, in microseconds.
    pub foreign_silent_after_us: u64,
    /// Time since the last advance after which a peer that is not live is removed, in microseconds.
    pub forget_after_us: u64,
    /// Heartbeats to a peer without a message from it after which it is unreachable.
    pub unanswered_heartbeats: u32,
    /// Maximum number of peers kept of the local failure domain.
    pub max_domain_peers: usize,
    /// Maximum number of peers kept of each other failure domain.
    pub max_foreign_peers: usize,
    /// Maximum number of heartbeat sequences in one message.
    pub sequences_per_message: usize,
    /// Maximum number of records of other routers in one message. A heartbeat may carry one
    /// additional record from another failure domain.
    pub records_per_message: usize,
    /// Maximum number of records of other routers in all messages of one heartbeat period.
    pub records_per_period: usize,
    /// Maximum number of records in a reply to a router of another failure domain that describe
    /// peers in that domain, if that router knows fewer of them than this one.
    pub sender_domain_records_per_reply: usize,
    /// Maximum number of full replies in one heartbeat period; further replies carry at most one
    /// record of another router.
    pub replies_per_period: u32,
    /// Number of routers in a failure domain that watch the platform's configuration for the
    /// others.
    pub watchers_per_domain: usize,
    /// Time between polls of the platform by a watching router, in microseconds.
    pub watcher_poll_period_us: u64,
    /// Time between polls of the platform by any other router, in microseconds.
    pub poll_period_us: u64,
    /// Times after which the fetch of a configuration is repeated.
    pub fetch_timeouts: config::Timeouts,
}

/// The membership of one router: a deterministic state machine without I/O.
#[derive(Debug, Clone)]
pub struct Members {
    pub(crate) local: Record,
    pub(crate) options: Options,
    pub(crate) table: Table,
    pub(crate) contacts: Contacts,
    pub(crate) gossip: Gossip,
    held: config::HeldVersion,
    next_poll_us: u64,
    /// Polls and watches that failed since the last successful one.
    poll_failures: u32,
    started_us: u64,
    last_event_us: u64,
    /// When this process started or last resumed after a pause; the silence of peers counts from
    /// then at the earliest.
    resumed_us: u64,
    /// Whether [`Note::Superseded`] was returned.
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
            fetch_timeouts: config::Timeouts {
                same_advertiser_us: 2_000_000,
                other_advertiser_us: 500_000,
            },
        }
    }
}

/// Constructors.
impl Members {
    /// Returns the membership of a router without peers.
    ///
    /// `seeds` are the peer addresses to contact first; `seed` initializes the random generator.
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

/// Queries of the state.
impl Members {
    /// Returns the record that this router sends to its peers.
    pub fn local(&self) -> &Record {
        &self.local
    }

    /// Returns the configuration version that this router holds; 0 if there is none.
    pub fn config_version(&self) -> u64 {
        self.held.version()
    }

    /// Returns all known peers, also those that are not live, in the order of their VM names.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.table.iter()
    }

    /// Returns the peers that are live at `now_us`, in the order of their VM names.
    pub fn live(&self, now_us: u64) -> impl Iterator<Item = &Peer> {
        self.table.iter().filter(move |peer| {
            peer.is_live() && peer.leave_reason(now_us, self.bounds(peer)).is_none()
        })
    }

    /// Returns the live peers of a failure domain, in the order of their VM names.
    pub fn live_in<'a>(
        &'a self,
        now_us: u64,
        domain: &'a name::FailureDomain,
    ) -> impl Iterator<Item = &'a Peer> + 'a {
        self.live(now_us)
            .filter(move |peer| &peer.record.failure_domain == domain)
    }

    /// Returns the records of the routers that serve callers, this one included if it does.
    ///
    /// A peer whose heartbeats stopped counts until it is silent, whether or not messages reach it,
    /// so that the routers which lose sight of each other for a short time have the same list.
    pub fn serving(&self, now_us: u64) -> impl Iterator<Item = &Record> {
        let is_heard = move |peer: &&Peer| {
            let reason = peer.leave_reason(now_us, self.bounds(peer));
            !matches!(reason, Some(Reason::Silent | Reason::Stopped))
        };
        let peers = self.table.iter().filter(is_heard).map(|peer| &peer.record);
        let all = std::iter::once(&self.local).chain(peers);
        all.filter(|record| record.state == State::Serving)
    }

    /// Returns whether this router is one of those that watch the platform's configuration.
    ///
    /// The routers of a failure domain with the lowest incarnations watch; the others receive new
    /// versions from them.
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

    /// Returns the time between heartbeats at `now_us`, in microseconds.
    pub(crate) fn period_us(&self, now_us: u64) -> u64 {
        match now_us < self.started_us + self.options.startup_us {
            true => self.options.startup_heartbeat_period_us,
            false => self.options.heartbeat_period_us,
        }
    }

    /// Returns the bounds beyond which a peer is not live.
    fn bounds(&self, peer: &Peer) -> Bounds {
        let silence_us = if self.is_same_domain(&peer.record) {
            self.options.silent_after_us
        } else {
            self.options.foreign_silent_after_us
        };
        Bounds {
            silence_us,
            unanswered: self.options.unanswered_heartbeats,
            resumed_us: self.resumed_us,
        }
    }
}

/// Handling of events, and changes of the local state.
impl Members {
    /// Handles an event and returns the actions to carry out.
    pub fn on_event(&mut self, now_us: u64, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.detect_pause(now_us, &mut actions);
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

    /// Records that the configuration of a version has been read completely.
    ///
    /// The driver applies the configuration only if the outcome is
    /// [`config::Outcome::Accepted`]. Then this router advertises the version to its peers with the
    /// next heartbeats.
    pub fn configure(&mut self, now_us: u64, config_version: u64) -> config::Outcome {
        let outcome = self.held.on_fetched(config_version);
        if let config::Outcome::Accepted { .. } = outcome {
            self.local.config_version = config_version;
            self.gossip.expedite(now_us);
        }
        outcome
    }

    /// Sets the state that this router reports to its peers. A change is sent at the next tick.
    pub fn set_state(&mut self, now_us: u64, state: State) {
        if self.local.state != state {
            self.local.state = state;
            self.gossip.expedite(now_us);
        }
    }

    /// Sets the state to stopped and returns the leave notices to some live peers, which gossip it
    /// to the others.
    pub fn stop(&mut self, now_us: u64) -> Vec<Action> {
        self.local.state = State::Stopped;
        self.local.heartbeat_sequence += 1;
        self.leave_notices(now_us)
    }

    /// Reports a pause of this process and restarts the silence timeout of all peers.
    fn detect_pause(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let gap_us = now_us.saturating_sub(self.last_event_us);
        if gap_us > MAX_TICK_US {
            self.resumed_us = now_us;
            actions.push(Action::Note(Note::Resumed { gap_us }));
        }
        self.last_event_us = self.last_event_us.max(now_us);
    }

    fn on_tick(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        for vm in self.table.names() {
            self.update_status(&vm, now_us, actions);
        }
        self.remove_expired(now_us);
        if now_us >= self.next_poll_us {
            self.next_poll_us = now_us + self.gossip.jitter(self.poll_period_us(now_us));
            actions.push(Action::PollPlatform);
        }
        self.send_heartbeats(now_us, actions);
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
            peer.on_contact();
            self.update_status(&report.from.vm, now_us, actions);
        }
        self.merge_report(now_us, report, actions);
        self.on_peer_config(now_us, &report.from, actions);
        if let Message::Heartbeat(_) = message {
            self.reply(now_us, report, actions);
        }
    }

    /// Merges the records and heartbeat sequences of a report, at most
    /// [`Options::max_domain_peers`] of each.
    fn merge_report(&mut self, now_us: u64, report: &Report, actions: &mut Vec<Action>) {
        for record in report.records.iter().take(self.options.max_domain_peers) {
            self.merge(now_us, record, false, actions);
        }
        for entry in report
            .heartbeat_sequences
            .iter()
            .take(self.options.max_domain_peers)
        {
            if let Some(vm) = self.table.advance_sequence(now_us, *entry) {
                self.update_status(&vm, now_us, actions);
            }
        }
    }

    /// Merges a record that its router sent itself (`is_direct`) or that another router gossiped.
    ///
    /// Only a direct record may evict a peer, and only changes in the local failure domain are
    /// gossiped further.
    fn merge(&mut self, now_us: u64, record: &Record, is_direct: bool, actions: &mut Vec<Action>) {
        if record.vm == self.local.vm {
            self.detect_newer_incarnation(record, actions);
            return;
        }
        let is_same_domain = self.is_same_domain(record);
        let capacity = Capacity {
            max_peers: if is_same_domain {
                self.options.max_domain_peers
            } else {
                self.options.max_foreign_peers
            },
            may_evict: is_direct,
        };
        let merge = self.table.merge(now_us, record, capacity);
        if is_same_domain && merge != Merge::Unchanged {
            self.gossip.add_update(record.vm.clone());
        }
        match merge {
            Merge::Unchanged | Merge::Changed => {}
            Merge::Replaced(peer) => {
                if peer.is_live() {
                    actions.push(Action::Left {
                        peer: *peer,
                        reason: Reason::Replaced,
                    });
                }
            }
        }
        self.update_status(&record.vm, now_us, actions);
    }

    /// Reports once if a record of this router's VM describes a newer incarnation.
    fn detect_newer_incarnation(&mut self, record: &Record, actions: &mut Vec<Action>) {
        if record.generation() > self.local.generation() && !self.is_superseded {
            self.is_superseded = true;
            actions.push(Action::Note(Note::Superseded {
                by: record.incarnation,
            }));
        }
    }

    /// Evaluates the status of a peer and reports a change between live and not live.
    fn update_status(&mut self, vm: &name::Vm, now_us: u64, actions: &mut Vec<Action>) {
        let Some(bounds) = self.table.get(vm).map(|peer| self.bounds(peer)) else {
            return;
        };
        if let Some(peer) = self.table.update_status(vm, now_us, bounds) {
            let peer = peer.clone();
            actions.push(match peer.status.reason() {
                None => Action::Joined { peer },
                Some(reason) => Action::Left { peer, reason },
            });
        }
    }

    /// Removes peers that are not live and whose heartbeat sequence has not advanced for
    /// [`Options::forget_after_us`]. The addresses of those that haven't stopped are kept as
    /// contacts.
    fn remove_expired(&mut self, now_us: u64) {
        let forget_after_us = self.options.forget_after_us;
        let expired: Vec<_> = self
            .table
            .iter()
            .filter(|peer| !peer.is_live())
            .filter(|peer| now_us.saturating_sub(peer.last_heartbeat_us) > forget_after_us)
            .map(|peer| peer.record.vm.clone())
            .collect();
        for vm in expired {
            let Some(peer) = self.table.remove(&vm) else {
                continue;
            };
            if peer.record.state != State::Stopped {
                self.contacts.add(peer.record.peer_address);
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
            self.update_status(&vm, now_us, actions);
        }
    }

    fn on_vm_list(&mut self, vms: &[ListedVm]) {
        for listed in vms {
            if let Some(peer) = self.table.get_mut(&listed.vm) {
                peer.is_listed_leaving = listed.is_leaving;
                continue;
            }
            match listed.peer_address {
                Some(address) if listed.is_leaving => self.contacts.remove(address),
                Some(address) if address != self.local.peer_address => {
                    self.contacts.add(address);
                }
                _ => {}
            }
        }
    }
}

/// Convergence of the configuration version.
impl Members {
    /// Fetches the configuration from a peer that advertises a higher version.
    fn on_peer_config(&mut self, now_us: u64, from: &Record, actions: &mut Vec<Action>) {
        let decision = self.held.on_advertised(
            now_us,
            from.config_version,
            config::Advertiser::Peer(from.peer_address),
            &self.options.fetch_timeouts,
        );
        if decision == config::Decision::Fetch {
            actions.push(Action::FetchConfigFrom {
                address: from.peer_address,
                version: from.config_version,
            });
        }
    }

    fn on_platform_config(&mut self, now_us: u64, version: u64, actions: &mut Vec<Action>) {
        self.poll_failures = 0;
        let from = config::Advertiser::Platform;
        let timeouts = &self.options.fetch_timeouts;
        match self.held.on_advertised(now_us, version, from, timeouts) {
            config::Decision::Fetch => actions.push(Action::FetchConfigFromPlatform { version }),
            config::Decision::Stale { held_version } => {
                actions.push(Action::Note(Note::StalePlatformConfig {
                    version,
                    held_version,
                }));
            }
            config::Decision::Fetching | config::Decision::Current => {}
        }
    }

    /// Returns the time between polls of the platform, in microseconds.
    fn poll_period_us(&self, now_us: u64) -> u64 {
        if self.is_watcher(now_us) {
            self.options.watcher_poll_period_us
        } else {
            self.options.poll_period_us
        }
    }

    /// Schedules the next poll with exponential backoff, up to the regular period.
    fn on_platform_unreachable(&mut self, now_us: u64) {
        let wait_us = (self.options.heartbeat_period_us << self.poll_failures.min(8))
            .min(self.poll_period_us(now_us));
        self.poll_failures += 1;
        self.next_poll_us = now_us + self.gossip.jitter(wait_us);
    }
}
