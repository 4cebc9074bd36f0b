//! Backend servers that are cold, and so take only a few requests per second.
//!
//! [`ColdServers`] determines from the directory, from the ends of processes and from the return of
//! failure domains which servers count as cold. [`crate::throttle`] distributes what they take among
//! the routers.

use std::collections::BTreeMap;

use peridotrack_types::{collections::HashMap, name};

/// Limit of the servers of one service while they are cold, and what one server states about it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Requests per second that a cold server takes from all routers together.
    pub per_s: f64,
    /// Time for which a server is cold after its start, in microseconds.
    pub start_us: u64,
    /// Until when the server is cold according to its entry, in microseconds on the clock of the
    /// events.
    pub until_us: u64,
    /// When the server's process started, in milliseconds since the Unix epoch, if known.
    pub started_ms: Option<u64>,
}

/// A backend server of the directory.
#[derive(Debug, Clone, PartialEq)]
pub struct Server {
    /// Failure domain that it runs in.
    pub failure_domain: name::FailureDomain,
    /// Its limit while it is cold; `None` if its service has none.
    pub limit: Option<Limit>,
}

/// Servers of the directory, by name.
pub type Servers = HashMap<name::BackendServer, Server>;

/// Until when a server counts as cold for other reasons than its entry.
#[derive(Debug, Clone, Copy, Default)]
struct State {
    /// Because it is new in the directory, or its process started again.
    new_until_us: u64,
    /// Because its process has ended and the next one may not be in the directory yet.
    ended_until_us: u64,
}

/// Determines which servers of services with a limit count as cold.
#[derive(Debug, Default)]
pub struct ColdServers {
    servers: Servers,
    states: HashMap<name::BackendServer, State>,
    /// When failure domains were taken back into service.
    returned_us: BTreeMap<name::FailureDomain, u64>,
    /// Whether the directory is known; the servers of its first list are not new.
    is_listed: bool,
}

/// Queries.
impl ColdServers {
    /// Returns the servers of the directory.
    pub fn servers(&self) -> &Servers {
        &self.servers
    }

    /// Returns whether any server has a limit while it is cold.
    pub fn has_limits(&self) -> bool {
        self.servers.values().any(|server| server.limit.is_some())
    }

    /// Returns the servers that count as cold, with the requests per second that each takes.
    pub fn limits(&self, now_us: u64) -> impl Iterator<Item = (&name::BackendServer, f64)> {
        self.servers.iter().filter_map(move |(name, server)| {
            let limit = server.limit?;
            let until_us = self.until_us(name, server, &limit);
            (now_us < until_us).then_some((name, limit.per_s))
        })
    }

    fn until_us(&self, name: &name::BackendServer, server: &Server, limit: &Limit) -> u64 {
        let state = self.states.get(name).copied().unwrap_or_default();
        let returned_us = self.returned_us.get(&server.failure_domain);
        let returned_until_us = returned_us.map_or(0, |at_us| at_us.saturating_add(limit.start_us));
        limit
            .until_us
            .max(state.new_until_us)
            .max(state.ended_until_us)
            .max(returned_until_us)
    }
}

/// Changes.
impl ColdServers {
    /// Applies the servers of the directory. One that is new, or whose process started again, counts
    /// as cold for the time of a start, because its entry may have been written a while ago. One whose
    /// service gains a limit is not new.
    pub fn set_servers(&mut self, now_us: u64, servers: Servers) {
        for (name, server) in &servers {
            let Some(limit) = server.limit else { continue };
            let is_new = match self.servers.get(name) {
                None => self.is_listed,
                Some(known) => known.limit.is_some_and(|known| {
                    known.started_ms.is_some() && known.started_ms < limit.started_ms
                }),
            };
            if is_new {
                let state = State {
                    new_until_us: now_us.saturating_add(limit.start_us),
                    ended_until_us: 0,
                };
                self.states.insert(name.clone(), state);
            }
        }
        self.states.retain(|name, _| servers.contains_key(name));
        self.is_listed = true;
        self.servers = servers;
    }

    /// Records that a failure domain was taken back into service; its servers may have become cold
    /// meanwhile.
    pub fn domain_returned(&mut self, now_us: u64, failure_domain: name::FailureDomain) {
        self.returned_us.insert(failure_domain, now_us);
    }

    /// Records that the process of a server has ended. Until the directory names a later one, the
    /// server counts as cold for the time of a start and `lag_us`, the lag of the directory.
    pub fn ended(
        &mut self,
        now_us: u64,
        name: &name::BackendServer,
        started_ms: Option<u64>,
        lag_us: u64,
    ) {
        let limit = self.servers.get(name).and_then(|server| server.limit);
        let Some(limit) = limit.filter(|limit| limit.started_ms <= started_ms) else {
            return;
        };
        let state = self.states.entry(name.clone()).or_default();
        state.ended_until_us = now_us.saturating_add(limit.start_us).saturating_add(lag_us);
    }
}
