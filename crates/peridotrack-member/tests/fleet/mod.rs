//! Fixture: a fleet of [`Members`] connected by a lossy network in simulated time.
#![allow(dead_code, reason = "each test file uses a part")]

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use peridotrack_member::{
    action::{Action, Event},
    config,
    member::{Local, Members, Options},
    message::Message,
};
use peridotrack_types::{id, name};

pub const SECOND_US: u64 = 1_000_000;
const TICK_US: u64 = 250_000;
const MAX_LATENCY_US: u64 = 5_000;

/// A VM and the router that runs on it.
pub struct Vm {
    pub members: Members,
    pub domain: usize,
    pub address: SocketAddr,
    pub is_up: bool,
    pub is_paused: bool,
    pub sent_bytes: u64,
    /// Versions that the present incarnation has applied, in order.
    pub applied: Vec<u64>,
}

/// An input that is due at a VM.
enum Arrival {
    Tick,
    Event(Event),
    Config(u64),
    FetchFrom(SocketAddr),
}

pub struct Fleet {
    pub vms: Vec<Vm>,
    pub now_us: u64,
    pub platform_version: u64,
    /// Failure domains whose routers reach the platform.
    pub platform_reaches: BTreeSet<usize>,
    /// Pairs of failure domains that cannot reach each other, the lower index first.
    pub cuts: BTreeSet<(usize, usize)>,
    pub loss_percent: u32,
    pub rng: fastrand::Rng,
    /// Inputs by due time and sequence number, each with the index of its VM.
    queue: BTreeMap<(u64, u64), (usize, Arrival)>,
    sequence: u64,
    by_address: BTreeMap<SocketAddr, usize>,
    seeds: Vec<SocketAddr>,
}

impl Fleet {
    /// Starts a fleet with the given number of VMs in each failure domain.
    pub fn start(vms_per_domain: &[usize], seed: u64) -> Self {
        let domains = vms_per_domain
            .iter()
            .enumerate()
            .flat_map(|(domain, count)| std::iter::repeat_n(domain, *count));
        let mut fleet = Self {
            vms: Vec::new(),
            now_us: 0,
            platform_version: 1,
            platform_reaches: (0..vms_per_domain.len()).collect(),
            cuts: BTreeSet::new(),
            loss_percent: 0,
            rng: fastrand::Rng::with_seed(seed),
            queue: BTreeMap::new(),
            sequence: 0,
            by_address: BTreeMap::new(),
            seeds: Vec::new(),
        };
        let domain_of_vm: Vec<_> = domains.collect();
        let mut last = None;
        for (index, domain) in domain_of_vm.iter().enumerate() {
            if last.replace(domain) != Some(domain) {
                fleet.seeds.push(address(index));
            }
        }
        for (index, domain) in domain_of_vm.into_iter().enumerate() {
            fleet.by_address.insert(address(index), index);
            let members = fleet.new_members(index, domain);
            fleet.vms.push(Vm {
                members,
                domain,
                address: address(index),
                is_up: true,
                is_paused: false,
                sent_bytes: 0,
                applied: Vec::new(),
            });
            fleet.push_tick(index);
        }
        fleet
    }

    pub fn local(&mut self, index: usize, domain: usize) -> Local {
        Local {
            vm: name::Vm::from(format!("entry-{index:04}")),
            incarnation: id::Incarnation(self.rng.u64(..)),
            started_wall_ms: 1_800_000_000_000 + self.now_us / 1_000,
            failure_domain: domain_name(domain),
            peer_address: address(index),
            caller_address: address(index),
        }
    }

    fn new_members(&mut self, index: usize, domain: usize) -> Members {
        let local = self.local(index, domain);
        let seed = self.rng.u64(..);
        let seeds = self.seeds.clone();
        Members::new(local, seeds, Options::default(), seed, self.now_us)
    }

    /// Starts a new incarnation on a VM, without state of the previous one.
    pub fn restart(&mut self, index: usize) {
        let domain = self.vms[index].domain;
        let members = self.new_members(index, domain);
        let vm = &mut self.vms[index];
        vm.members = members;
        vm.is_up = true;
        vm.is_paused = false;
        vm.applied.clear();
    }

    /// Restarts every router, with all seeds in one failure domain.
    pub fn restart_with_seeds_in(&mut self, domain: usize) {
        let of_domain = |vm: &&Vm| vm.domain == domain;
        self.seeds = self
            .vms
            .iter()
            .filter(of_domain)
            .map(|vm| vm.address)
            .take(2)
            .collect();
        for index in 0..self.vms.len() {
            self.restart(index);
        }
    }

    pub fn run_for(&mut self, duration_us: u64) {
        let end_us = self.now_us + duration_us;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end_us {
                break;
            }
            let ((at_us, _), (index, arrival)) = entry.remove_entry();
            self.now_us = at_us;
            self.deliver(index, arrival);
        }
        self.now_us = end_us;
    }

    /// Runs until the condition holds, for at most `limit_us`. Returns the time taken.
    pub fn run_until(&mut self, limit_us: u64, mut done: impl FnMut(&Self) -> bool) -> u64 {
        let start_us = self.now_us;
        while !done(self) && self.now_us - start_us < limit_us {
            self.run_for(TICK_US);
        }
        self.now_us - start_us
    }

    /// Returns whether every running router holds `version`.
    pub fn all_hold(&self, version: u64) -> bool {
        self.running()
            .all(|vm| vm.members.config_version() == version)
    }

    /// Returns whether the live peers of every running router in its failure domain are as many as
    /// the others that run there.
    pub fn all_live(&self) -> bool {
        self.running().all(|vm| {
            let domain = domain_name(vm.domain);
            let live = vm.members.live_in(self.now_us, &domain).count();
            live + 1
                == self
                    .running()
                    .filter(|other| other.domain == vm.domain)
                    .count()
        })
    }

    /// Returns the bytes that each router has sent since the last call.
    pub fn take_sent_bytes(&mut self) -> Vec<u64> {
        let take = |vm: &mut Vm| std::mem::take(&mut vm.sent_bytes);
        self.vms.iter_mut().map(take).collect()
    }

    pub fn running(&self) -> impl Iterator<Item = &Vm> {
        self.vms.iter().filter(|vm| vm.is_up && !vm.is_paused)
    }

    pub fn perform(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { address, message } => self.send(index, address, message),
                Action::PollPlatform => self.poll(index),
                Action::FetchConfigFromPlatform { version } => {
                    self.push_delayed(index, Arrival::Config(version));
                }
                Action::FetchConfigFrom { address, .. } => {
                    self.push_delayed(index, Arrival::FetchFrom(address));
                }
                Action::Joined { .. } | Action::Left { .. } | Action::Note(_) => {}
            }
        }
    }

    fn deliver(&mut self, index: usize, arrival: Arrival) {
        if let Arrival::Tick = arrival {
            self.push_tick(index);
        }
        if !self.vms[index].is_up || self.vms[index].is_paused {
            return;
        }
        let now_us = self.now_us;
        match arrival {
            Arrival::Tick => self.event(index, Event::Tick),
            Arrival::Event(event) => self.event(index, event),
            Arrival::Config(version) => {
                let vm = &mut self.vms[index];
                if let config::Outcome::Accepted { .. } = vm.members.configure(now_us, version) {
                    vm.applied.push(version);
                }
            }
            Arrival::FetchFrom(address) => {
                let peer = self.by_address[&address];
                if self.is_connected(index, peer)
                    && self.vms[peer].is_up
                    && !self.vms[peer].is_paused
                {
                    let version = self.vms[peer].members.config_version();
                    self.push_delayed(index, Arrival::Config(version));
                }
            }
        }
    }

    fn event(&mut self, index: usize, event: Event) {
        let actions = self.vms[index].members.on_event(self.now_us, event);
        self.perform(index, actions);
    }

    fn poll(&mut self, index: usize) {
        let event = if self.platform_reaches.contains(&self.vms[index].domain) {
            Event::PlatformConfig {
                version: self.platform_version,
            }
        } else {
            Event::PlatformUnreachable
        };
        self.push_delayed(index, Arrival::Event(event));
    }

    fn send(&mut self, from: usize, address: SocketAddr, message: Message) {
        self.vms[from].sent_bytes += postcard::to_stdvec(&message).unwrap().len() as u64;
        let to = self.by_address[&address];
        if self.is_connected(from, to) && !self.vms[to].is_up {
            self.push_delayed(from, Arrival::Event(Event::SendFailed { address }));
        } else if self.is_connected(from, to) && self.rng.u32(..100) >= self.loss_percent {
            let from_address = self.vms[from].address;
            let event = Event::Message {
                from_address,
                message,
            };
            self.push_delayed(to, Arrival::Event(event));
        }
    }

    /// Returns whether the network connects two VMs.
    fn is_connected(&self, a: usize, b: usize) -> bool {
        let (a, b) = (self.vms[a].domain, self.vms[b].domain);
        !self.cuts.contains(&(a.min(b), a.max(b)))
    }

    /// Queues an input with a random latency.
    fn push_delayed(&mut self, index: usize, arrival: Arrival) {
        let at_us = self.now_us + self.rng.u64(500..MAX_LATENCY_US);
        self.push(at_us, index, arrival);
    }

    fn push_tick(&mut self, index: usize) {
        let at_us = self.now_us + TICK_US - self.rng.u64(..TICK_US / 10);
        self.push(at_us, index, Arrival::Tick);
    }

    fn push(&mut self, at_us: u64, index: usize, arrival: Arrival) {
        self.sequence += 1;
        self.queue.insert((at_us, self.sequence), (index, arrival));
    }
}

pub fn domain_name(domain: usize) -> name::FailureDomain {
    name::FailureDomain::from(format!("region-zone-{domain}"))
}

fn address(index: usize) -> SocketAddr {
    let [high, low] = u16::try_from(index).unwrap().to_be_bytes();
    SocketAddr::from(([10, 1, high, low], 7_000))
}
