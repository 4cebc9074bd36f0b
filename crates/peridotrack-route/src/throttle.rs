//! Distribution of the rates that backend servers state, or take while they are cold, among the routers.
//!
//! A server in need states in its responses how many requests per second it takes from all routers
//! together. [`Throttle`] exchanges what routers were told, and determines which of them may send
//! there: a few routers of the server's failure domain, chosen by rendezvous hashing of the names
//! of server and VMs, so that routers with the same view agree without coordination. Only the
//! senders see how long the server states its limit, and tell the others.
//!
//! Which servers are cold, each router derives from the directory and from what it sees; no message is
//! exchanged about it. The limit of a cold server holds also if many parts of the fleet do not hear of
//! each other: a sender reduces its rate to the part of the known routers of its failure domain that it
//! still hears of, so that all parts of a domain together send no more than the whole domain would.
//!
//! A router that was heard of in the last seconds stays a sender, so that routers which lose sight of
//! each other for a short time keep to the same choice. If views differ for longer, each part of the
//! fleet has senders of its own.

use std::collections::{BTreeMap, BTreeSet};

use peridotrack_types::{collections::HashMap, name};
use serde::{Deserialize, Serialize};

use crate::{
    cold::{ColdServers, Servers},
    prefix,
};

/// Largest part by which a router that hears of few others reduces its rate at random.
const MAX_SPREAD: f64 = 0.5;

/// Tunable parameters of the distribution.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Part of a stated rate that is used, so that two parts of a fleet with different views
    /// together send at most one and a half times as much.
    pub rate_part: f64,
    /// Stated rate for each sender; a rate below has one sender.
    pub per_sender_s: f64,
    /// Time after the start in which this router is no sender, because it does not know the others
    /// yet.
    pub startup_us: u64,
    /// Period at which a sender tells the others that a limit is still stated.
    pub refresh_us: u64,
    /// Time without such news after which a limit is taken as ended; jittered up to its double.
    pub expiry_us: u64,
    /// Relative difference below which two stated rates count as equal.
    pub tolerance: f64,
    /// Time for which a router that is not heard of any more counts as one of the known routers of its
    /// failure domain.
    pub known_us: u64,
    /// Part of its rate that a router of another failure domain sends to a cold server. Three other
    /// domains that each see none of the server's routers send, with these, at most
    /// 0.7 x (1 + 3 x 0.25) = 1.2 times what the server takes.
    pub foreign_part: f64,
    /// Time that may pass until the directory names the next process of a server.
    pub directory_lag_us: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            rate_part: 0.7,
            per_sender_s: 8.0,
            startup_us: 3_000_000,
            refresh_us: 5_000_000,
            expiry_us: 60_000_000,
            tolerance: 0.05,
            known_us: 60_000_000,
            foreign_part: 0.25,
            directory_lag_us: 5_000_000,
        }
    }
}

/// Routers that may send requests, by failure domain.
pub type Routers = BTreeMap<name::FailureDomain, BTreeSet<name::Vm>>;

/// What a router knows about the limit of a server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// Name of the server.
    pub backend_server: name::BackendServer,
    /// Requests per second that it takes from all routers; `None` if it states no limit any more.
    pub limit_per_s: Option<f64>,
    /// Orders the news about one server; later news has a greater one.
    pub epoch: u64,
}

/// An occurrence that the driver reports.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Time passed; expected several times per second.
    Tick,
    /// The head of a response arrived.
    Answered {
        /// Server that responded.
        backend_server: name::BackendServer,
        /// Limit that the response states.
        limit_per_s: Option<f64>,
        /// When the request was sent.
        sent_us: u64,
    },
    /// News of another router arrived.
    Heard {
        /// The news.
        news: News,
        /// Whether it was sent from another failure domain.
        is_foreign: bool,
    },
    /// The servers of the directory.
    Servers(Servers),
    /// A failure domain that was evacuated is back in service.
    DomainReturned(name::FailureDomain),
    /// The process of a server has ended.
    Ended {
        /// Name of the server.
        backend_server: name::BackendServer,
        /// When the process started, in milliseconds since the Unix epoch, if known.
        started_ms: Option<u64>,
    },
    /// The routers that run, this one included if it serves.
    Routers(Routers),
}

/// An operation that the driver carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Limit the requests of this router to a server; `None` ends the limit.
    SetRate {
        /// Name of the server.
        backend_server: name::BackendServer,
        /// Requests per second that this router may send; 0 if it is no sender.
        per_s: Option<f64>,
    },
    /// Send the news to all live peers.
    Send(News),
    /// Send the news to the live peers of the local failure domain.
    Forward(News),
    /// Record on the timeline that the limit of a server changed.
    Note {
        /// The change.
        news: News,
        /// Whether a response to this router stated it, not a peer.
        is_own: bool,
    },
}

/// The latest known limit of one server.
#[derive(Debug, Clone)]
struct Entry {
    limit_per_s: Option<f64>,
    epoch: u64,
    /// When this router learned of the limit.
    since_us: u64,
    /// When the limit is taken as ended unless there is news.
    expires_us: u64,
    /// When this router last sent the news.
    sent_us: u64,
}

/// Keeps this router to its part of the rates that servers state.
#[derive(Debug)]
pub struct Throttle {
    options: Options,
    vm: name::Vm,
    rng: fastrand::Rng,
    /// Until when this router is no sender.
    startup_until_us: u64,
    /// Part of its rate that this router uses if it hears of a part of its failure domain only. It is
    /// random, so that routers which become senders at the same time do not send at the same times.
    spread_part: f64,
    entries: HashMap<name::BackendServer, Entry>,
    cold: ColdServers,
    /// Requests per second that servers which count as cold take, as of the last tick or change.
    cold_limits: HashMap<name::BackendServer, f64>,
    /// Rates of the last [`Action::SetRate`] of each server.
    rates: HashMap<name::BackendServer, f64>,
    routers: Routers,
    /// When each router of the local failure domain was last heard of.
    known: HashMap<name::Vm, u64>,
}

/// Constructors and queries.
impl Throttle {
    /// Returns a throttle that knows no limits, for the router on `vm` that starts at `now_us`.
    pub fn new(vm: name::Vm, options: Options, seed: u64, now_us: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        Self {
            startup_until_us: now_us + options.startup_us,
            spread_part: 1.0 - MAX_SPREAD * rng.f64(),
            options,
            vm,
            rng,
            entries: HashMap::default(),
            cold: ColdServers::default(),
            cold_limits: HashMap::default(),
            rates: HashMap::default(),
            routers: Routers::new(),
            known: HashMap::default(),
        }
    }

    /// Returns whether any server states a limit or has one while it is cold, so that
    /// [`Event::Routers`] matters.
    pub fn is_active(&self) -> bool {
        let is_stated = |entry: &Entry| entry.limit_per_s.is_some();
        self.cold.has_limits() || self.entries.values().any(is_stated)
    }

    /// Returns the servers that are limited because they count as cold.
    pub fn cold_servers(&self) -> impl Iterator<Item = &name::BackendServer> {
        self.cold_limits.keys()
    }
}

/// Handling of events.
impl Throttle {
    /// Handles an event and returns the actions to carry out. `wall_ms` is the time of day in
    /// milliseconds since the Unix epoch.
    pub fn on_event(&mut self, now_us: u64, wall_ms: u64, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => {
                self.on_tick(now_us, &mut actions);
                self.update_cold_limits(now_us);
            }
            Event::Answered {
                backend_server,
                limit_per_s,
                sent_us,
            } => {
                let is_known = self.entries.contains_key(&backend_server);
                // Most responses change nothing, and rates are costly to compute in a large fleet.
                if limit_per_s.is_none() && !is_known {
                    return actions;
                }
                let answer = (backend_server, limit_per_s, sent_us);
                self.on_answered(now_us, wall_ms, answer, &mut actions);
            }
            Event::Heard { news, is_foreign } => {
                self.on_heard(now_us, news, is_foreign, &mut actions);
            }
            Event::Servers(servers) => {
                self.entries.retain(|name, _| servers.contains_key(name));
                self.cold.set_servers(now_us, servers);
                self.update_cold_limits(now_us);
            }
            Event::DomainReturned(failure_domain) => {
                self.cold.domain_returned(now_us, failure_domain);
                self.update_cold_limits(now_us);
            }
            Event::Ended {
                backend_server,
                started_ms,
            } => {
                let lag_us = self.options.directory_lag_us;
                self.cold.ended(now_us, &backend_server, started_ms, lag_us);
                self.update_cold_limits(now_us);
            }
            Event::Routers(routers) => self.on_routers(now_us, routers),
        }
        self.update_rates(now_us, &mut actions);
        actions
    }

    fn on_tick(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        for (backend_server, entry) in &mut self.entries {
            if entry.limit_per_s.is_some() && now_us >= entry.expires_us {
                entry.limit_per_s = None;
                let news = news(backend_server, entry);
                actions.push(Action::Note {
                    news,
                    is_own: false,
                });
            }
        }
    }

    fn on_answered(
        &mut self,
        now_us: u64,
        wall_ms: u64,
        (backend_server, limit_per_s, sent_us): (name::BackendServer, Option<f64>, u64),
        actions: &mut Vec<Action>,
    ) {
        let expires_us = self.expires_us(now_us);
        let entry = self
            .entries
            .entry(backend_server.clone())
            .or_insert(UNKNOWN);
        // A request that was sent before the limit was known may have been answered before it was
        // stated.
        if limit_per_s.is_none() && sent_us < entry.since_us {
            return;
        }
        let is_changed = !is_equal(entry.limit_per_s, limit_per_s, self.options.tolerance);
        if is_changed {
            entry.limit_per_s = limit_per_s;
            // The clock keeps the epoch above those of earlier incarnations.
            entry.epoch = (entry.epoch + 1).max(wall_ms);
            entry.since_us = now_us;
        }
        entry.expires_us = expires_us;
        let is_due = limit_per_s.is_some() && now_us >= entry.sent_us + self.options.refresh_us;
        if is_changed || is_due {
            entry.sent_us = now_us;
            actions.push(Action::Send(news(&backend_server, entry)));
        }
        if is_changed {
            let news = news(&backend_server, entry);
            actions.push(Action::Note { news, is_own: true });
        }
    }

    fn on_heard(&mut self, now_us: u64, heard: News, is_foreign: bool, actions: &mut Vec<Action>) {
        let expires_us = self.expires_us(now_us);
        let entry = self
            .entries
            .entry(heard.backend_server.clone())
            .or_insert(UNKNOWN);
        let is_same_epoch = heard.epoch == entry.epoch;
        // Of news with the same epoch, that of a limit counts.
        let is_newer = heard.epoch > entry.epoch
            || is_same_epoch && heard.limit_per_s.is_some() && entry.limit_per_s.is_none();
        if !is_newer {
            if is_same_epoch {
                entry.expires_us = expires_us;
            }
            return;
        }
        let is_changed = !is_equal(entry.limit_per_s, heard.limit_per_s, self.options.tolerance);
        entry.limit_per_s = heard.limit_per_s;
        entry.epoch = heard.epoch;
        entry.expires_us = expires_us;
        if is_changed {
            entry.since_us = now_us;
            actions.push(Action::Note {
                news: heard.clone(),
                is_own: false,
            });
        }
        if is_foreign {
            actions.push(Action::Forward(heard));
        }
    }

    fn on_routers(&mut self, now_us: u64, routers: Routers) {
        let local = routers.values().find(|vms| vms.contains(&self.vm));
        for vm in local.into_iter().flatten() {
            self.known.insert(vm.clone(), now_us);
        }
        let known_us = self.options.known_us;
        self.known
            .retain(|_, heard_us| now_us < *heard_us + known_us);
        self.routers = routers;
    }

    fn update_cold_limits(&mut self, now_us: u64) {
        let limits = self.cold.limits(now_us);
        self.cold_limits = limits.map(|(name, per_s)| (name.clone(), per_s)).collect();
    }
}

/// The rates of this router.
impl Throttle {
    fn expires_us(&mut self, now_us: u64) -> u64 {
        let jitter = 1.0 + self.rng.f64();
        now_us + (self.options.expiry_us as f64 * jitter) as u64
    }

    fn update_rates(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let mut rates = HashMap::default();
        for (name, entry) in &self.entries {
            if let Some(limit_per_s) = entry.limit_per_s {
                rates.insert(name.clone(), self.rate_of(now_us, name, limit_per_s));
            }
        }
        for (name, limit_per_s) in &self.cold_limits {
            let cold_per_s = self.cold_rate_of(now_us, name, *limit_per_s);
            let rate = rates.entry(name.clone()).or_insert(cold_per_s);
            *rate = rate.min(cold_per_s);
        }
        let ended = self.rates.keys().filter(|name| !rates.contains_key(*name));
        actions.extend(ended.map(|name| Action::SetRate {
            backend_server: name.clone(),
            per_s: None,
        }));
        let is_changed =
            |(name, rate): &(&name::BackendServer, &f64)| self.rates.get(*name) != Some(*rate);
        actions.extend(
            rates
                .iter()
                .filter(is_changed)
                .map(|(name, rate)| Action::SetRate {
                    backend_server: name.clone(),
                    per_s: Some(*rate),
                }),
        );
        self.rates = rates;
    }

    /// Returns the requests per second that this router may send to a server with a limit.
    fn rate_of(&self, now_us: u64, backend_server: &name::BackendServer, limit_per_s: f64) -> f64 {
        let senders = self.senders(backend_server, limit_per_s);
        if now_us < self.startup_until_us || !senders.contains(&&self.vm) {
            return 0.0;
        }
        limit_per_s * self.options.rate_part / senders.len() as f64
    }

    /// Does the same as [`Self::rate_of`] for a cold server, whose limit holds also if parts of the
    /// fleet do not hear of each other.
    fn cold_rate_of(
        &self,
        now_us: u64,
        backend_server: &name::BackendServer,
        limit_per_s: f64,
    ) -> f64 {
        let rate = self.rate_of(now_us, backend_server, limit_per_s);
        let Some((domain, heard_of)) = self.routers.iter().find(|(_, vms)| vms.contains(&self.vm))
        else {
            return 0.0;
        };
        let heard_part = heard_of.len() as f64 / self.known.len().max(1) as f64;
        let server = self.cold.servers().get(backend_server);
        let is_local = server.is_some_and(|server| server.failure_domain == *domain);
        let domain_part = match is_local {
            true => 1.0,
            false => self.options.foreign_part,
        };
        match heard_part < 1.0 {
            true => rate * heard_part * domain_part * self.spread_part,
            false => rate * domain_part,
        }
    }

    /// Returns the routers that may send to a server: of its failure domain, or of another one if
    /// that has no router.
    fn senders(&self, backend_server: &name::BackendServer, limit_per_s: f64) -> Vec<&name::Vm> {
        let hash = prefix::seed(backend_server.as_str());
        let weight = |name: &str| prefix::weight(hash, prefix::seed(name));
        let home = self.cold.servers().get(backend_server);
        let domain = home
            .and_then(|server| self.routers.get(&server.failure_domain))
            .filter(|routers| !routers.is_empty())
            .or_else(|| {
                let domains = self.routers.iter();
                let used = domains.filter(|(_, routers)| !routers.is_empty());
                let best = used.max_by_key(|(domain, _)| weight(domain.as_str()));
                best.map(|(_, routers)| routers)
            });
        let mut routers: Vec<&name::Vm> = domain.into_iter().flatten().collect();
        routers.sort_by_cached_key(|vm| std::cmp::Reverse(weight(vm.as_str())));
        let senders = (limit_per_s / self.options.per_sender_s) as usize;
        routers.truncate(senders.max(1));
        routers
    }
}

/// Entry of a server without news.
const UNKNOWN: Entry = Entry {
    limit_per_s: None,
    epoch: 0,
    since_us: 0,
    expires_us: 0,
    sent_us: 0,
};

fn news(backend_server: &name::BackendServer, entry: &Entry) -> News {
    News {
        backend_server: backend_server.clone(),
        limit_per_s: entry.limit_per_s,
        epoch: entry.epoch,
    }
}

fn is_equal(a: Option<f64>, b: Option<f64>, tolerance: f64) -> bool {
    match (a, b) {
        (Some(a), Some(b)) => (a - b).abs() <= tolerance * a.max(b),
        (None, None) => true,
        _ => false,
    }
}
