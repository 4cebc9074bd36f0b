//! The directory of backend servers, kept current from the entries in the store.
//!
//! An entry whose backend server does not renew it disappears from the store. Because an outage of
//! the store prevents renewal, an entry that disappears during or shortly after one is kept until
//! the server has had time to renew it. The usable servers are passed to the routing service.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
};

use peridotrack_kernel::{clock, event};
use peridotrack_platform::{directory as wire, response as response_wire};
use peridotrack_quarantine::run::Run;
use peridotrack_route::cold;
use peridotrack_types::{gateway::Bounds, name, register, rules, site};

use super::{Shared, liveness, options, reach};
use crate::follow::{self, Update};

/// Time after an outage of the store in which backend servers renew entries that expired, in
/// microseconds.
const RENEWAL_GRACE_US: u64 = 2_200 * clock::US_PER_MS;

/// Period at which missing entries are checked again, in microseconds.
const MISSING_CHECK_US: u64 = 150 * clock::US_PER_MS;
/// Time before the end of that in which a leaving server must get no request any more, in microseconds:
/// the period of the check and the way of a request to the server.
const WITHHOLD_MARGIN_US: u64 = 400 * clock::US_PER_MS;

/// One known backend server, as its entry describes it.
#[derive(Debug, Clone)]
struct Entry {
    server: site::BackendServer,
    /// Until when it is cold, in monotonic microseconds, counted from when the entry was received.
    cold_until_us: u64,
    /// When the entry disappeared from the store, in monotonic microseconds.
    missing_since_us: Option<u64>,
    /// Whether the server gets no new requests, because its entry has been missing for long.
    is_withheld: bool,
}

/// The known backend servers, by name.
#[derive(Default)]
pub(super) struct Directory {
    entries: RefCell<BTreeMap<name::BackendServer, Entry>>,
    /// Names of entries that cannot be decoded, so that each is logged once.
    ignored: RefCell<BTreeSet<String>>,
    /// Servers whose statements in responses have no proper value, so that each is logged once.
    improper: RefCell<BTreeSet<(name::BackendServer, response_wire::Improper)>>,
    is_listed: Cell<bool>,
    /// When the store was last unavailable to the peer that relays changes, in monotonic
    /// microseconds.
    peer_last_outage_us: Cell<Option<u64>>,
    /// Whether a task waits for the end of the time in which missing entries are kept.
    is_checking_missing: Cell<bool>,
}

impl Directory {
    /// Returns whether the store has been listed at least once.
    pub(super) fn is_listed(&self) -> bool {
        self.is_listed.get()
    }

    /// Returns the address of a server, `None` if it has no entry.
    pub(super) fn address(&self, name: &name::BackendServer) -> Option<SocketAddr> {
        let entries = self.entries.borrow();
        entries.get(name).map(|entry| entry.server.address)
    }

    /// Returns the service of a server, empty if it has no entry.
    pub(super) fn service(&self, name: &name::BackendServer) -> name::Service {
        let entries = self.entries.borrow();
        let entry = entries.get(name);
        entry.map_or_else(|| "".into(), |entry| entry.server.service.clone())
    }

    /// Returns the software version of a server, empty if it has no entry.
    pub(super) fn software_version(&self, name: &name::BackendServer) -> name::SoftwareVersion {
        let entries = self.entries.borrow();
        let entry = entries.get(name);
        entry.map_or_else(|| "".into(), |entry| entry.server.software_version.clone())
    }

    /// Returns the software versions of the servers of a service.
    pub(super) fn software_versions(
        &self,
        service: &name::Service,
    ) -> BTreeSet<name::SoftwareVersion> {
        let entries = self.entries.borrow();
        let servers = entries.values().map(|entry| &entry.server);
        let of_service = servers.filter(|server| server.service == *service);
        of_service
            .map(|server| server.software_version.clone())
            .collect()
    }

    /// Returns the run of the server that its entry describes.
    pub(super) fn run(&self, name: &name::BackendServer) -> Run {
        let entries = self.entries.borrow();
        let entry = entries.get(name);
        entry.map_or_else(|| name.clone().into(), |entry| run(&entry.server))
    }

    /// Records that a response of a server contains a statement without a proper value, once for
    /// each server.
    pub(super) fn note_improper(
        &self,
        shared: &Shared,
        server: &name::BackendServer,
        metadata: &response_wire::Metadata,
    ) {
        let Some(improper) = metadata.improper else {
            return;
        };
        if self
            .improper
            .borrow_mut()
            .insert((server.clone(), improper))
        {
            let event = event::Event::new(event::Kind::StatementImproper)
                .with("backend_server", server.as_str())
                .with("detail", improper.to_string());
            shared.kernel.note(event);
        }
    }

    /// Passes the backend servers of known services that are not draining to the routing service.
    ///
    /// Does nothing until a configuration is known.
    pub(super) fn apply(&self, shared: &Rc<Shared>) {
        let Some(config) = shared.site.get() else {
            return;
        };
        let mut register = register::Register::default();
        for (domain, region) in &shared.settings.regions {
            register.failure_domains.push(register::FailureDomain {
                name: domain.clone(),
                region: region.clone(),
            });
        }
        let mut services = reach::Services::new();
        let entries = self.entries.borrow();
        for Entry {
            server,
            is_withheld,
            ..
        } in entries.values()
        {
            if server.is_draining || *is_withheld {
                continue;
            }
            let mut configured = config.site.services.iter();
            let Some(service) = configured.find(|service| service.name == server.service) else {
                continue;
            };
            let servers = services.entry(service.name.clone()).or_default();
            servers.insert(server.name.clone(), server.address);
            match service.engine {
                Some(_) => register.engines.push(engine(server)),
                None => register.services.push(service_server(server)),
            }
        }
        let servers = entries.values().map(|entry| {
            let server = &entry.server;
            let mut services = config.site.services.iter();
            let service = services.find(|service| service.name == server.service);
            let limited = service.filter(|service| service.cold_per_s > 0.0);
            let limit = limited.map(|service| cold::Limit {
                per_s: service.cold_per_s,
                start_us: service.cold_start_ms.saturating_mul(clock::US_PER_MS),
                until_us: entry.cold_until_us,
                started_ms: server.born_ms,
            });
            let failure_domain = server.failure_domain.clone();
            (
                server.name.clone(),
                cold::Server {
                    failure_domain,
                    limit,
                },
            )
        });
        // Before the first listing nothing shows which servers are new.
        if self.is_listed.get() {
            shared.throttle.set_servers(servers.collect());
        }
        drop(entries);
        reach::set_servers(shared, services);
        shared.route.configure(&register, &rules::Rules::default());
    }

    /// Inserts or replaces the entry with this name; one that cannot be decoded is removed.
    fn upsert(&self, shared: &Shared, name: &str, content: &[u8]) {
        match wire::decode(name, content) {
            Ok(server) => {
                if server.is_draining {
                    note_leaving(shared, &server.name, "draining");
                }
                self.ignored.borrow_mut().remove(name);
                let (name, born_ms) = (server.name.clone(), server.born_ms);
                // Anybody may write an entry, with any time.
                let cold_us = server.cold_remaining_ms.saturating_mul(clock::US_PER_MS);
                let entry = Entry {
                    cold_until_us: shared.kernel.now_us().saturating_add(cold_us),
                    server,
                    missing_since_us: None,
                    is_withheld: false,
                };
                let version = entry.server.software_version.clone();
                let former = self.entries.borrow_mut().insert(name.clone(), entry);
                let former_version = former.as_ref().map(|entry| &entry.server.software_version);
                if former_version != Some(&version) {
                    shared.origins.set_version(name, version);
                }
                let has_restarted =
                    |former: &Run| former.born_ms.is_some() && former.born_ms < born_ms;
                let former = former.map(|entry| run(&entry.server));
                if let Some(former) = former.filter(has_restarted) {
                    liveness::report_end(shared, &former);
                }
            }
            // Other writers store entries too, which describe no usable backend server.
            Err(error) => {
                self.entries.borrow_mut().remove(name);
                if self.ignored.borrow_mut().insert(name.to_owned()) {
                    let event = event::Event::new(event::Kind::ObjectIgnored)
                        .with("kind", wire::KIND)
                        .with("object", name)
                        .with("error", error.to_string());
                    shared.kernel.note(event);
                }
            }
        }
    }

    /// Marks an entry that is no longer in the store.
    fn mark_missing(&self, now_us: u64, name: &str) {
        self.ignored.borrow_mut().remove(name);
        if let Some(entry) = self.entries.borrow_mut().get_mut(name) {
            entry.missing_since_us.get_or_insert(now_us);
        }
    }

    /// Withholds new requests from servers whose entries have been missing for about as long as a leaving
    /// server may get any, whatever the reason: further outages of the store do not put it off.
    ///
    /// Returns whether there is another such server.
    fn withhold_missing(&self, shared: &Shared) -> bool {
        let now_us = shared.kernel.now_us();
        let drain_us = shared.settings.bounds.drain_ms * clock::US_PER_MS;
        let limit_us = drain_us.saturating_sub(WITHHOLD_MARGIN_US);
        let is_due = |entry: &Entry| {
            let since_us = entry.missing_since_us;
            !entry.is_withheld && since_us.is_some_and(|since_us| now_us >= since_us + limit_us)
        };
        let mut entries = self.entries.borrow_mut();
        let mut is_any = false;
        for (name, entry) in entries.iter_mut().filter(|(_, entry)| is_due(entry)) {
            entry.is_withheld = true;
            is_any = true;
            note_leaving(shared, name, "missing");
        }
        is_any
    }

    /// Removes missing entries, unless an outage of the store may be the reason.
    ///
    /// Returns whether any missing entry was kept for that reason.
    fn remove_missing(&self, shared: &Shared) -> bool {
        let now_us = shared.kernel.now_us();
        let last_outage_us = shared
            .platform
            .last_outage_us()
            .max(self.peer_last_outage_us.get());
        let may_return = |outage_us| now_us < outage_us + RENEWAL_GRACE_US;
        if last_outage_us.is_some_and(may_return) {
            return self
                .entries
                .borrow()
                .values()
                .any(|entry| entry.missing_since_us.is_some());
        }
        let mut ended = Vec::new();
        self.entries.borrow_mut().retain(|name, entry| {
            if entry.missing_since_us.is_some() {
                note_leaving(shared, name, "removed");
                if !entry.server.is_draining {
                    ended.push(run(&entry.server));
                }
            }
            entry.missing_since_us.is_none()
        });
        let entries = self.entries.borrow();
        let mut improper = self.improper.borrow_mut();
        improper.retain(|(name, _)| entries.contains_key(name));
        drop((entries, improper));
        for server in ended {
            liveness::report_end(shared, &server);
        }
        false
    }
}

/// Returns how the entries are followed.
pub(super) fn target(bounds: &Bounds) -> follow::Target {
    follow::Target {
        kind: wire::KIND,
        options: options::follow_servers(bounds),
        is_content_used: |name, content| wire::decode(name, content).is_ok(),
    }
}

/// Applies a listing or changes of the entries.
pub(super) fn apply_update(shared: &Rc<Shared>, update: Update<'_>) {
    let directory = &shared.directory;
    let now_us = shared.kernel.now_us();
    match update {
        Update::Listing {
            objects,
            is_complete,
        } => {
            let known: Vec<_> = directory.entries.borrow().keys().cloned().collect();
            let is_listed = |name: &name::BackendServer| {
                !is_complete || objects.iter().any(|object| object.name == name.as_str())
            };
            for name in known.iter().filter(|name| !is_listed(name)) {
                directory.mark_missing(now_us, name.as_str());
            }
            for object in objects {
                directory.upsert(shared, &object.name, &object.content);
            }
            directory.is_listed.set(true);
        }
        Update::Changes {
            changes,
            since_loss_us,
        } => {
            if let Some(since_us) = since_loss_us {
                directory
                    .peer_last_outage_us
                    .set(Some(now_us.saturating_sub(since_us)));
            }
            for change in changes {
                if change.is_removed {
                    directory.mark_missing(now_us, &change.name);
                } else {
                    directory.upsert(shared, &change.name, &change.content);
                }
            }
        }
    }
    remove_missing_and_apply(shared);
}

/// Removes missing entries and applies the others. If missing ones are kept because of an outage,
/// applies again once they are removed or renewed.
fn remove_missing_and_apply(shared: &Rc<Shared>) {
    let is_waiting = shared.directory.remove_missing(shared);
    shared.directory.apply(shared);
    if is_waiting && !shared.directory.is_checking_missing.replace(true) {
        let shared = Rc::clone(shared);
        monoio::spawn(async move {
            while shared.directory.remove_missing(&shared) {
                shared.kernel.timer().sleep_us(MISSING_CHECK_US).await;
                if shared.directory.withhold_missing(&shared) {
                    shared.directory.apply(&shared);
                }
            }
            shared.directory.is_checking_missing.set(false);
            shared.directory.apply(&shared);
        });
    }
}

fn run(server: &site::BackendServer) -> Run {
    Run {
        backend_server: server.name.clone(),
        born_ms: server.born_ms,
    }
}

fn lifetime(server: &site::BackendServer) -> register::Lifetime {
    register::Lifetime {
        started_ms: server.born_ms,
        software_version: Some(server.software_version.clone()),
    }
}

/// Describes a model engine to the routing service, which selects it by the name of its service.
fn engine(server: &site::BackendServer) -> register::Engine {
    register::Engine {
        name: server.name.clone(),
        failure_domain: server.failure_domain.clone(),
        address: server.address,
        models: vec![server.service.as_str().into()],
        slots: server.slots,
        fencing: register::Fencing::default(),
        lifetime: lifetime(server),
    }
}

/// Describes a backend server of a plain service to the routing service.
fn service_server(server: &site::BackendServer) -> register::ServiceServer {
    register::ServiceServer {
        name: server.name.clone(),
        service: server.service.clone(),
        failure_domain: server.failure_domain.clone(),
        address: server.address,
        slots: server.slots,
        lifetime: lifetime(server),
    }
}

/// Records that a backend server gets no new requests; `sign` is `draining`, `missing` or `removed`.
fn note_leaving(shared: &Shared, name: &name::BackendServer, sign: &str) {
    let event = event::Event::new(event::Kind::BackendServerLeaving)
        .with("backend_server", name.as_str())
        .with("sign", sign);
    shared.kernel.note(event);
}
