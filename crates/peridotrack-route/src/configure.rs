//! Application of the asset register and the rules to the router.
//!
//! [`Router::configure`] updates backend servers and pools in place, so that load estimates,
//! breakers and requests in flight survive a change of the configuration.

use peridotrack_types::{
    collections::{HashMap, HashSet},
    name, register, rules,
};

use crate::{
    backend::Backend,
    event::{Action, Note, Target},
    pace,
    pool::{Member, Pool},
    router::Router,
};

/// Entry of a backend server in the register.
struct Declared<'a> {
    name: &'a name::BackendServer,
    failure_domain: &'a name::FailureDomain,
    lifetime: &'a register::Lifetime,
    slots: u32,
    targets: Vec<Target>,
}

impl Router {
    /// Adds, updates and removes backend servers according to `register`.
    ///
    /// A removed server receives no new work and finishes its requests. The servers of the first
    /// configuration receive their full share at once; those added later begin with a slow start.
    pub fn configure(
        &mut self,
        now_us: u64,
        register: &register::Register,
        rules: &rules::Rules,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        self.queue_requests = rules.limits.queue_requests as usize;
        let regions: HashMap<_, _> = register
            .failure_domains
            .iter()
            .map(|domain| (domain.name.clone(), domain.region.as_str()))
            .collect();
        let declared = declared(register);
        self.mark_removed(now_us, &declared);
        for pool in &mut self.pools {
            pool.near.clear();
            pool.far.clear();
        }
        let mut new_servers = Vec::new();
        for server in &declared {
            let distance_us = self.distance_us(&regions, server.failure_domain);
            let (index, is_new) = self.upsert(now_us, server, distance_us);
            self.add_to_pools(index, &server.targets);
            if is_new && self.configured {
                new_servers.push(index);
            }
        }
        for pool in &mut self.pools {
            pool.near.sort_by_key(|member| member.seed);
            pool.far.sort_by_key(|member| member.seed);
        }
        for index in new_servers {
            self.begin_slow_start(now_us, index);
        }
        self.configured = true;
        self.free_drained(now_us, &mut actions);
        for pool in 0..self.pools.len() {
            self.refuse_if_unserved(now_us, pool, &mut actions);
            self.dispatch_queued(now_us, pool, &mut actions);
        }
        actions
    }

    /// Begins a server's slow start if each of its pools has another usable server, not in slow
    /// start itself, that can take the work meanwhile. Otherwise one that runs goes on.
    pub(crate) fn begin_slow_start(&mut self, now_us: u64, index: usize) {
        let is_alternative = |other: usize| {
            let backend = &self.backends[other];
            other != index
                && backend.slow_start_us.is_none()
                && backend.is_usable(now_us, &self.options)
        };
        let mut pools = self.backends[index].pools.iter();
        let has_alternatives = pools.all(|&pool| {
            let mut members = self.pools[pool].members();
            members.any(|member| is_alternative(member.index))
        });
        let backend = &mut self.backends[index];
        if !backend.is_paused(now_us) {
            let start_us = has_alternatives.then_some(now_us);
            backend.slow_start_us = start_us.or(backend.slow_start_us);
        }
    }

    /// Frees the index of a removed server that has no request in flight.
    pub(crate) fn free_if_drained(&mut self, now_us: u64, index: usize, actions: &mut Vec<Action>) {
        let backend = &self.backends[index];
        if !backend.may_forget(now_us, &self.options) {
            return;
        }
        let name = backend.name.clone();
        if self.by_name.get(&name) == Some(&index) {
            self.by_name.remove(&name);
            self.free_indices.push(index);
            actions.push(Action::Note(Note::Drained { backend: name }));
        }
    }

    pub(crate) fn free_drained(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        for index in 0..self.backends.len() {
            self.free_if_drained(now_us, index, actions);
        }
    }

    fn mark_removed(&mut self, now_us: u64, declared: &[Declared<'_>]) {
        let names: HashSet<_> = declared.iter().map(|server| server.name).collect();
        for backend in &mut self.backends {
            backend.pools.clear();
            if !names.contains(&backend.name) {
                backend.drain.set_removed(now_us, true);
            }
        }
    }

    /// Adds or updates a declared server. Returns its index and whether it is new or was removed
    /// before.
    fn upsert(&mut self, now_us: u64, server: &Declared<'_>, distance_us: u64) -> (usize, bool) {
        if let Some(&index) = self.by_name.get(server.name) {
            let backend = &mut self.backends[index];
            backend.failure_domain = server.failure_domain.clone();
            backend.is_evacuated = self.evacuated.contains(server.failure_domain);
            backend.distance_us = distance_us;
            if backend.slots != server.slots {
                backend.slots = server.slots;
                backend.limit.set_slots(server.slots);
            }
            let was_removed = backend.drain.set_removed(now_us, false);
            if was_removed {
                backend.breaker.on_flap(now_us, &self.options);
            }
            let has_restarted = backend.set_lifetime(server.lifetime);
            if has_restarted {
                backend.drain.on_restarted(server.lifetime.started_ms);
            }
            return (index, was_removed || has_restarted);
        }
        let mut backend = Backend::new(
            server.name.clone(),
            server.failure_domain.clone(),
            server.lifetime.clone(),
            server.slots,
            distance_us,
        );
        backend.is_evacuated = self.evacuated.contains(server.failure_domain);
        let rate = self.rates.get(server.name);
        backend.pace = rate.map(|per_s| pace::Pace::new(now_us, *per_s));
        let index = match self.free_indices.pop() {
            Some(index) => {
                self.backends[index] = backend;
                index
            }
            None => {
                self.backends.push(backend);
                self.backends.len() - 1
            }
        };
        self.by_name.insert(server.name.clone(), index);
        (index, true)
    }

    fn add_to_pools(&mut self, index: usize, targets: &[Target]) {
        for target in targets {
            let pool = match self.by_target.get(target) {
                Some(&pool) => pool,
                None => {
                    self.pools.push(Pool::new(target.clone(), &self.options));
                    self.by_target.insert(target.clone(), self.pools.len() - 1);
                    self.pools.len() - 1
                }
            };
            let backend = &mut self.backends[index];
            backend.pools.push(pool);
            let member = Member {
                seed: backend.seed,
                index,
            };
            if backend.distance_us < self.options.cross_region_cost_us {
                self.pools[pool].near.push(member);
            } else {
                self.pools[pool].far.push(member);
            }
        }
    }

    fn distance_us(
        &self,
        regions: &HashMap<name::FailureDomain, &str>,
        failure_domain: &name::FailureDomain,
    ) -> u64 {
        if failure_domain == &self.local_domain {
            0
        } else if regions.get(failure_domain) == regions.get(&self.local_domain) {
            self.options.cross_domain_cost_us
        } else {
            self.options.cross_region_cost_us
        }
    }
}

fn declared(register: &register::Register) -> Vec<Declared<'_>> {
    let engines = register.engines.iter().map(|engine| Declared {
        name: &engine.name,
        failure_domain: &engine.failure_domain,
        lifetime: &engine.lifetime,
        slots: engine.slots,
        targets: engine.models.iter().cloned().map(Target::Model).collect(),
    });
    let services = register.services.iter().map(|server| Declared {
        name: &server.name,
        failure_domain: &server.failure_domain,
        lifetime: &server.lifetime,
        slots: server.slots,
        targets: vec![Target::Service(server.service.clone())],
    });
    engines.chain(services).collect()
}
