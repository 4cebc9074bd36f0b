//! The state machine: collects the results of direct connections and concludes the path.

use std::collections::{BTreeMap, BTreeSet};

use fastrand::Rng;
use peridotrack_types::name;

use crate::{
    event::{Action, Change, Event, Path},
    options::Options,
};

/// Minimum number of servers that must have failed: a single one may be down.
const MIN_DISTINCT_SERVERS: usize = 2;

/// Probes that follow a failed connection. A connection that succeeds ends the round.
#[derive(Debug)]
struct Round {
    began_us: u64,
    /// Servers whose result is not known yet.
    pending: BTreeSet<name::BackendServer>,
}

/// Whether this router reaches the backend servers directly.
#[derive(Debug)]
pub struct Reach {
    options: Options,
    rng: Rng,
    servers: BTreeSet<name::BackendServer>,
    path: Path,
    /// When connections to servers last failed, since one succeeded.
    failed_us: BTreeMap<name::BackendServer, u64>,
    /// When a connection last succeeded.
    connected_us: Option<u64>,
    /// Since when responses are awaited and no byte was received.
    silent_since_us: u64,
    round: Option<Round>,
    /// When the next probe is due during a partition or because of silence.
    next_probe_us: u64,
    /// Beginning of the evidence of the current partition.
    partitioned_since_us: u64,
}

/// Creates the state and reports it.
impl Reach {
    /// Returns the state before the first connection; equal seeds and events give equal actions.
    pub fn new(options: Options, seed: u64) -> Self {
        Self {
            options,
            rng: Rng::with_seed(seed),
            servers: BTreeSet::new(),
            path: Path::Direct,
            failed_us: BTreeMap::new(),
            connected_us: None,
            silent_since_us: 0,
            round: None,
            next_probe_us: 0,
            partitioned_since_us: 0,
        }
    }

    /// Returns the path that new connections take.
    pub fn path(&self) -> Path {
        self.path
    }

    /// Returns whether servers are being probed because a connection failed, so that the path may
    /// change.
    pub fn is_checking(&self) -> bool {
        self.round.is_some()
    }

    /// Returns whether a direct connection was established after `since_us` (monotonic microseconds).
    pub fn has_connected_since(&self, since_us: u64) -> bool {
        self.connected_us.is_some_and(|at_us| at_us > since_us)
    }
}

/// Handles events.
impl Reach {
    /// Handles an event at `now_us` (monotonic microseconds) and returns the actions that follow.
    pub fn on_event(&mut self, now_us: u64, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Servers(servers) => self.on_servers(now_us, servers, &mut actions),
            Event::Connected { backend_server } => {
                self.on_connected(now_us, backend_server, &mut actions);
            }
            Event::Failed {
                backend_server,
                began_us,
            } => {
                // A connection that succeeded meanwhile shows that the server is the reason.
                if !self.has_connected_since(began_us) {
                    self.on_failed(now_us, &backend_server, &mut actions);
                }
            }
            Event::Received => self.silent_since_us = now_us,
            Event::Tick { awaited_responses } => {
                self.on_tick(now_us, awaited_responses, &mut actions);
            }
        }
        actions
    }

    fn on_servers(
        &mut self,
        now_us: u64,
        servers: BTreeSet<name::BackendServer>,
        actions: &mut Vec<Action>,
    ) {
        self.servers = servers;
        self.failed_us.retain(|name, _| self.servers.contains(name));
        if let Some(round) = &mut self.round {
            round.pending.retain(|name| self.servers.contains(name));
        }
        match self.path {
            Path::ThroughPeers if self.servers.is_empty() => self.return_direct(None, actions),
            Path::ThroughPeers => {}
            Path::Direct => self.conclude(now_us, actions),
        }
    }

    fn on_connected(
        &mut self,
        now_us: u64,
        backend_server: name::BackendServer,
        actions: &mut Vec<Action>,
    ) {
        self.connected_us = Some(now_us);
        self.silent_since_us = now_us;
        self.failed_us.clear();
        self.round = None;
        if self.path == Path::ThroughPeers {
            self.return_direct(Some(backend_server), actions);
        }
    }

    fn on_failed(
        &mut self,
        now_us: u64,
        backend_server: &name::BackendServer,
        actions: &mut Vec<Action>,
    ) {
        if self.path == Path::ThroughPeers {
            return;
        }
        self.expire(now_us);
        if self.servers.contains(backend_server) {
            self.failed_us.insert(backend_server.clone(), now_us);
        }
        match &mut self.round {
            Some(round) => {
                round.pending.remove(backend_server);
            }
            None => {
                let pending = self.draw(self.options.probed_servers, actions);
                self.round = Some(Round {
                    began_us: now_us,
                    pending,
                });
            }
        }
        self.conclude(now_us, actions);
    }

    fn on_tick(&mut self, now_us: u64, awaited_responses: usize, actions: &mut Vec<Action>) {
        if awaited_responses == 0 {
            self.silent_since_us = now_us;
        }
        let timeout_us = self.options.round_timeout_us;
        let is_over = |round: &Round| now_us.saturating_sub(round.began_us) >= timeout_us;
        if self.round.as_ref().is_some_and(is_over) {
            self.round = None;
        }
        let is_silent = now_us.saturating_sub(self.silent_since_us) >= self.options.silence_us;
        if now_us < self.next_probe_us {
            return;
        }
        match self.path {
            Path::ThroughPeers => {
                self.next_probe_us = now_us + self.options.probe_interval_us;
                self.draw(1, actions);
            }
            Path::Direct if is_silent && self.round.is_none() => {
                self.next_probe_us = now_us + self.options.silence_interval_us;
                self.draw(self.options.probed_at_silence, actions);
            }
            Path::Direct => {}
        }
    }
}

/// Draws servers to probe and concludes the path.
impl Reach {
    /// Has up to `count` random servers probed that have not failed, or any during a partition.
    fn draw(&mut self, count: usize, actions: &mut Vec<Action>) -> BTreeSet<name::BackendServer> {
        let candidates = self
            .servers
            .iter()
            .filter(|name| !self.failed_us.contains_key(*name));
        let drawn = self.rng.choose_multiple(candidates, count);
        let drawn: BTreeSet<_> = drawn.into_iter().cloned().collect();
        actions.extend(drawn.iter().map(|name| Action::Probe {
            backend_server: name.clone(),
        }));
        drawn
    }

    fn expire(&mut self, now_us: u64) {
        let evidence_us = self.options.evidence_us;
        self.failed_us
            .retain(|_, at_us| now_us.saturating_sub(*at_us) <= evidence_us);
    }

    /// Ends a round whose results are all known: all of its servers have failed.
    fn conclude(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if !self
            .round
            .as_ref()
            .is_some_and(|round| round.pending.is_empty())
        {
            return;
        }
        self.round = None;
        self.expire(now_us);
        let min_servers = self.options.min_failed_servers.min(self.servers.len());
        if self.failed_us.len() < min_servers.max(MIN_DISTINCT_SERVERS) {
            return;
        }
        let failed_us = std::mem::take(&mut self.failed_us);
        self.path = Path::ThroughPeers;
        self.partitioned_since_us = failed_us.values().copied().min().unwrap_or(now_us);
        self.next_probe_us = now_us + self.options.probe_interval_us;
        actions.push(Action::Changed(Change {
            path: self.path,
            since_us: self.partitioned_since_us,
            evidence: failed_us.into_keys().collect(),
        }));
    }

    fn return_direct(
        &mut self,
        connected_to: Option<name::BackendServer>,
        actions: &mut Vec<Action>,
    ) {
        self.path = Path::Direct;
        actions.push(Action::Changed(Change {
            path: self.path,
            since_us: self.partitioned_since_us,
            evidence: connected_to.into_iter().collect(),
        }));
    }
}
