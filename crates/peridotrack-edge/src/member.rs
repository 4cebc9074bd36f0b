//! Membership service: runs the state machine of `peridotrack-member`.
//!
//! It feeds the state machine with ticks, messages from peers and the platform's list of VMs, and
//! carries out its actions: it sends messages, reports changes of the live peers to the services
//! that work with peers, and starts fetches of the configuration.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use peridotrack_kernel::{Kernel, clock, event, timer};
use peridotrack_member::{
    action::{Action, Event, ListedVm},
    config as member_config,
    member::Members,
    message::{Message, Record, State},
    peer as member_peer,
};
use peridotrack_platform::site;
use peridotrack_route::throttle;
use peridotrack_types::{id, name};

use crate::{budget, config, follow, peer, platform, usage};

pub use peridotrack_member::member::{Local, Options};

/// Name of this service in the registry.
pub const SERVICE: &str = "member";

/// Period of the state machine's ticks, in microseconds.
const TICK_US: u64 = 100 * clock::US_PER_MS;
/// Minimum period between two reads of the platform's list of VMs, in microseconds.
const LIST_PERIOD_US: u64 = clock::US_PER_S;
/// Age of the view up to which a configuration is expected from the store or a relay, in microseconds:
/// longer than the wait of a watch.
const MAX_CONFIG_AGE_US: u64 = 2 * clock::US_PER_S;
/// Time after which an expected configuration is requested from a peer, in microseconds: several round
/// trips, and short within the time in which it must be applied.
const EXPECTED_CONFIG_US: u64 = 300 * clock::US_PER_MS;
/// Approximate size of an entry in the platform's list of VMs, in bytes.
const LIST_ENTRY_BYTES: u64 = 66;
/// Average bandwidth for reads of the list, in bytes per second; a long list is read less often.
const LIST_BYTES_PER_S: u64 = 2_048;

/// Membership of this router.
pub struct Member {
    kernel: Rc<Kernel>,
    link: Rc<peer::Link>,
    platform: Rc<platform::Platform>,
    members: RefCell<Members>,
    subscriptions: RefCell<Vec<timer::Subscription>>,
    next_list_us: Cell<u64>,
}

/// Starts and stops the service.
impl Member {
    /// Starts the membership of `local`, which finds its peers through `seeds`.
    pub fn spawn(
        kernel: &Rc<Kernel>,
        link: &Rc<peer::Link>,
        platform: &Rc<platform::Platform>,
        local: Local,
        seeds: Vec<SocketAddr>,
        options: Options,
    ) -> Rc<Self> {
        let seed = fastrand::u64(..);
        let members = Members::new(local, seeds, options, seed, kernel.now_us());
        let service = Rc::new(Self {
            kernel: Rc::clone(kernel),
            link: Rc::clone(link),
            platform: Rc::clone(platform),
            members: RefCell::new(members),
            subscriptions: RefCell::default(),
            next_list_us: Cell::new(0),
        });
        let weak = Rc::downgrade(&service);
        let subscription = kernel.timer().subscribe(TICK_US, move |_| {
            if let Some(service) = weak.upgrade() {
                service.handle(Event::Tick);
            }
        });
        let weak = Rc::downgrade(&service);
        let list_subscription = kernel.timer().subscribe(LIST_PERIOD_US, move |now_us| {
            // Only the few watchers of a failure domain read the list; the other routers receive
            // the changes from them.
            let reads = |service: &Rc<Self>| {
                service.platform.dialect() == platform::Dialect::Native
                    && service.is_watcher()
                    && now_us >= service.next_list_us.get()
            };
            if let Some(service) = weak.upgrade().filter(reads) {
                monoio::spawn(service.list_vms());
            }
        });
        service
            .subscriptions
            .borrow_mut()
            .extend([subscription, list_subscription]);
        service
    }

    /// Sends leave notices to some peers, which forward them, and stops the ticks.
    pub fn stop(self: &Rc<Self>) {
        self.subscriptions.borrow_mut().clear();
        let actions = self.members.borrow_mut().stop(self.kernel.now_us());
        self.run(actions);
    }
}

/// Reports the state of the membership.
impl Member {
    /// Returns the address on which a router listens for peers; `None` if the router is unknown.
    pub fn address_of(&self, incarnation: id::Incarnation) -> Option<SocketAddr> {
        self.members
            .borrow()
            .peers()
            .find(|peer| peer.record.incarnation == incarnation)
            .map(|peer| peer.record.peer_address)
    }

    /// Returns whether this router watches the platform on behalf of its failure domain. A few
    /// routers of each do; the others receive changes from them.
    pub fn is_watcher(&self) -> bool {
        self.members.borrow().is_watcher(self.kernel.now_us())
    }

    /// Returns the VMs of the routers that serve callers, by failure domain.
    pub fn serving(&self) -> throttle::Routers {
        let mut routers = throttle::Routers::new();
        for record in self.members.borrow().serving(self.kernel.now_us()) {
            let domain = routers.entry(record.failure_domain.clone()).or_default();
            domain.insert(record.vm.clone());
        }
        routers
    }

    /// Returns the records of the live peers, of all failure domains.
    pub fn live(&self) -> Vec<Record> {
        let members = self.members.borrow();
        let live = members.live(self.kernel.now_us());
        live.map(|peer| peer.record.clone()).collect()
    }

    /// Returns the known peers as a JSON array, for the operator API.
    pub fn report(&self) -> serde_json::Value {
        let peer_report = |peer: &member_peer::Peer| {
            serde_json::json!({
                "vm": peer.record.vm,
                "incarnation": peer.record.incarnation,
                "failure_domain": peer.record.failure_domain,
                "peer_address": peer.record.peer_address,
                "config_version": peer.record.config_version,
                "state": peer.record.state,
                "is_live": peer.is_live(),
            })
        };
        self.members.borrow().peers().map(peer_report).collect()
    }
}

/// Sends a frame to the router of an incarnation, if its address is known.
///
/// Returns whether the address is known; if not, no reply can be expected.
pub fn send(kernel: &Kernel, to: id::Incarnation, frame: &peer::Frame) -> bool {
    let Ok(members) = kernel.registry().find::<Member>(SERVICE) else {
        return false;
    };
    let address = members.address_of(to);
    if let Some(address) = address {
        members.link.send(address, frame);
    }
    address.is_some()
}

/// Sends frames to peers.
impl Member {
    /// Sends a frame to every live peer of the local failure domain.
    pub fn send_to_domain(&self, frame: &peer::Frame) {
        let members = self.members.borrow();
        let live = members.live_in(self.kernel.now_us(), &members.local().failure_domain);
        for peer in live {
            self.link.send(peer.record.peer_address, frame);
        }
    }

    /// Sends a frame to the live peer on a VM, if there is one.
    pub fn send_to_vm(&self, vm: &name::Vm, frame: &peer::Frame) {
        let members = self.members.borrow();
        let mut live = members.live(self.kernel.now_us());
        if let Some(peer) = live.find(|peer| peer.record.vm == *vm) {
            self.link.send(peer.record.peer_address, frame);
        }
    }

    /// Sends a frame to the live peer on a VM, if there is one, on a new connection.
    pub fn send_to_vm_anew(&self, vm: &name::Vm, frame: &peer::Frame) {
        let members = self.members.borrow();
        let mut live = members.live(self.kernel.now_us());
        if let Some(peer) = live.find(|peer| peer.record.vm == *vm) {
            self.link.renew(peer.record.peer_address);
            self.link.send(peer.record.peer_address, frame);
        }
    }

    /// Sends a frame to the router that listens for peers at an address, on a new connection if
    /// `is_anew`.
    pub fn reply(&self, address: SocketAddr, frame: &peer::Frame, is_anew: bool) {
        if is_anew {
            self.link.renew(address);
        }
        self.link.send(address, frame);
    }

    /// Sends a frame to every live peer, of all failure domains.
    pub fn send_to_live(&self, frame: &peer::Frame) {
        let members = self.members.borrow();
        let live = members
            .live(self.kernel.now_us())
            .map(|peer| peer.record.peer_address);
        self.link.send_to_all(live, frame);
    }
}

/// Passes events to the state machine.
impl Member {
    /// Passes an event to the state machine and carries out the actions that it returns.
    pub fn handle(self: &Rc<Self>, event: Event) {
        let actions = self
            .members
            .borrow_mut()
            .on_event(self.kernel.now_us(), event);
        self.run(actions);
    }

    /// Handles a membership message from the router at `from_address`.
    pub fn receive(self: &Rc<Self>, from_address: SocketAddr, message: Message) {
        self.handle(Event::Message {
            from_address,
            message,
        });
    }

    /// Sets the state that heartbeats report to the peers.
    pub fn set_state(&self, state: State) {
        self.members
            .borrow_mut()
            .set_state(self.kernel.now_us(), state);
    }

    /// Records that the configuration `version` was read in full. The caller may apply it only
    /// if the outcome is `Accepted`.
    pub fn configure(&self, version: u64) -> member_config::Outcome {
        self.members
            .borrow_mut()
            .configure(self.kernel.now_us(), version)
    }
}

/// Carries out the actions of the state machine.
impl Member {
    fn run(self: &Rc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { address, message } => {
                    self.link.send(address, &peer::Frame::Member(message));
                }
                Action::Joined { peer } => self.on_peer_change(event::Kind::PeerJoined, &peer, ""),
                Action::Left { peer, reason } => {
                    self.on_peer_change(event::Kind::PeerLeft, &peer, &format!("{reason:?}"));
                    if let Ok(budget) = self.find_service::<budget::Budget>(budget::SERVICE) {
                        budget.peer_lost(peer.record.incarnation);
                    }
                }
                Action::FetchConfigFrom { address, version } => {
                    drop(monoio::spawn(
                        Rc::clone(self).fetch_config(address, version),
                    ));
                }
                Action::FetchConfigFromPlatform { .. } => self.with_config(config::fetch),
                Action::PollPlatform => self.with_config(config::fetch),
                Action::Note(note) => {
                    let event = event::Event::new(event::Kind::MemberNote);
                    self.kernel.note(event.with("note", format!("{note:?}")));
                }
            }
        }
    }

    /// Requests the configuration from the peer that advertises a higher version. While the store or a
    /// relay keeps the view of it current, that version is most likely on its way, and is waited for.
    async fn fetch_config(self: Rc<Self>, address: SocketAddr, version: u64) {
        let age_us = || {
            let follow = self.find_service::<follow::Follow>(follow::SERVICE);
            follow.ok().and_then(|follow| follow.age_us(site::KIND))
        };
        if age_us().is_some_and(|age_us| age_us < MAX_CONFIG_AGE_US) {
            self.kernel.timer().sleep_us(EXPECTED_CONFIG_US).await;
        }
        let above_version = self.members.borrow().config_version();
        if above_version >= version {
            return;
        }
        let event = event::Event::new(event::Kind::ConfigAdvertised)
            .with("version", version)
            .with("config_version", above_version)
            .with("peer", address.to_string());
        self.kernel.note(match age_us() {
            Some(age_us) => event.with("config_age_us", age_us),
            None => event,
        });
        self.link
            .send(address, &peer::Frame::ConfigRequest { above_version });
    }

    fn with_config(&self, call: impl FnOnce(Rc<config::Configuration>)) {
        if let Ok(config) = self.find_service::<config::Configuration>(config::SERVICE) {
            call(config);
        }
    }

    fn find_service<T: 'static>(
        &self,
        name: &'static str,
    ) -> Result<Rc<T>, peridotrack_kernel::registry::Error> {
        self.kernel.registry().find::<T>(name)
    }

    /// Logs a change of the live peers and notifies the services that work with peers.
    fn on_peer_change(&self, kind: event::Kind, peer: &member_peer::Peer, reason: &str) {
        let event = event::Event::new(kind)
            .with("vm", peer.record.vm.as_str())
            .with("incarnation", peer.record.incarnation.to_string())
            .with("failure_domain", peer.record.failure_domain.as_str())
            .with("why", reason);
        self.kernel.note(event);
        let members = self.members.borrow();
        let domain = members.local().failure_domain.clone();
        let live: Vec<id::Incarnation> = members
            .live_in(self.kernel.now_us(), &domain)
            .map(|peer| peer.record.incarnation)
            .collect();
        let all: Vec<id::Incarnation> = members
            .live(self.kernel.now_us())
            .map(|peer| peer.record.incarnation)
            .collect();
        drop(members);
        if let Ok(budget) = self.find_service::<budget::Budget>(budget::SERVICE) {
            budget.set_peers(&live);
        }
        if let Ok(usage) = self.find_service::<usage::Usage>(usage::SERVICE) {
            usage.set_peers(&live);
        }
        if let Ok(follow) = self.find_service::<follow::Follow>(follow::SERVICE) {
            follow.set_peers(&live, &all);
        }
    }

    /// Reads the platform's list of VMs, which names routers not yet known through gossip, and
    /// routers and backend servers that are leaving.
    async fn list_vms(self: Rc<Self>) {
        let Ok(entries) = self.platform.vms().await else {
            return;
        };
        let list_bytes = entries.len() as u64 * LIST_ENTRY_BYTES;
        let delay_us = list_bytes * clock::US_PER_S / LIST_BYTES_PER_S;
        self.next_list_us.set(self.kernel.now_us() + delay_us);
        let config = self.find_service::<config::Configuration>(config::SERVICE);
        let current = config.map(|config| config.current()).unwrap_or_default();
        let listed = entries
            .iter()
            .filter(|entry| !current.register.has_backend_server(entry.name.as_str()))
            .map(|entry| ListedVm {
                vm: entry.name.clone(),
                peer_address: Some(entry.address),
                is_leaving: entry.state == platform::VmState::Leaving,
            })
            .collect();
        self.handle(Event::VmList(listed));
        self.with_config(|config| config.backend_servers_leaving(&entries));
    }
}
