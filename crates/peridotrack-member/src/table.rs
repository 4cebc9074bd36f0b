//! The peers that a router knows, at most one incarnation of each VM.

use std::collections::{BTreeMap, btree_map::Entry};

use peridotrack_types::{collections::HashMap, id, name};

use crate::{
    message::{HeartbeatSequence, Record, State},
    peer::{Bounds, Peer, Reason, Status},
};

/// Peers by the name of their VM.
#[derive(Debug, Clone, Default)]
pub(crate) struct Table {
    peers: BTreeMap<name::Vm, Peer>,
    by_incarnation: HashMap<id::Incarnation, name::Vm>,
}

/// Room for one more peer in a failure domain.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Room {
    /// Most peers of the failure domain.
    pub peers: usize,
    /// Whether a peer that is left out may give way.
    pub may_evict: bool,
}

/// What a record told.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Merge {
    /// No more than was known, or an incarnation older than the one known.
    Nothing,
    /// A new peer, or a new state of a known one.
    News,
    /// A newer incarnation in place of this peer.
    Replaced(Box<Peer>),
}

impl Table {
    pub fn get(&self, vm: &name::Vm) -> Option<&Peer> {
        self.peers.get(vm)
    }

    pub fn get_mut(&mut self, vm: &name::Vm) -> Option<&mut Peer> {
        self.peers.get_mut(vm)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    pub fn names(&self) -> Vec<name::Vm> {
        self.peers.keys().cloned().collect()
    }

    pub fn in_domain<'a>(
        &'a self,
        domain: &'a name::FailureDomain,
    ) -> impl Iterator<Item = &'a Peer> + 'a {
        self.iter()
            .filter(move |peer| &peer.record.failure_domain == domain)
    }

    /// Takes a record in.
    pub fn merge(&mut self, now_us: u64, record: &Record, room: Room) -> Merge {
        if !self.peers.contains_key(&record.vm) && !self.make_room(record, room) {
            return Merge::Nothing;
        }
        match self.peers.entry(record.vm.clone()) {
            Entry::Vacant(entry) => {
                entry.insert(Peer::new(record.clone(), now_us));
                self.by_incarnation
                    .insert(record.incarnation, record.vm.clone());
                Merge::News
            }
            Entry::Occupied(mut entry) => {
                let known = &entry.get().record;
                if known.incarnation == record.incarnation {
                    return update(entry.get_mut(), now_us, record);
                }
                if known.generation() > record.generation() {
                    return Merge::Nothing;
                }
                let old = entry.insert(Peer::new(record.clone(), now_us));
                self.by_incarnation.remove(&old.record.incarnation);
                self.by_incarnation
                    .insert(record.incarnation, record.vm.clone());
                Merge::Replaced(Box::new(old))
            }
        }
    }

    /// Takes a beat in. Returns the peer whose beat has risen.
    pub fn advance_sequence(&mut self, now_us: u64, entry: HeartbeatSequence) -> Option<name::Vm> {
        let vm = self.by_incarnation.get(&entry.incarnation)?;
        let peer = self.peers.get_mut(vm)?;
        peer.advance_sequence(now_us, entry.sequence)
            .then(|| vm.clone())
    }

    /// Brings a peer's status up to date. Returns the peer if the status has changed.
    pub fn settle(&mut self, vm: &name::Vm, now_us: u64, bounds: Bounds) -> Option<&Peer> {
        let peer = self.peers.get_mut(vm)?;
        let status = match peer.fault(now_us, bounds) {
            None => Status::Live,
            Some(reason) => Status::Left(reason),
        };
        let was_live = peer.is_live();
        peer.status = status;
        (was_live != peer.is_live()).then_some(&*peer)
    }

    pub fn remove(&mut self, vm: &name::Vm) -> Option<Peer> {
        let peer = self.peers.remove(vm)?;
        self.by_incarnation.remove(&peer.record.incarnation);
        Some(peer)
    }

    /// Makes room for one more peer in the failure domain of `record`.
    fn make_room(&mut self, record: &Record, room: Room) -> bool {
        let domain = &record.failure_domain;
        if self.in_domain(domain).count() < room.peers {
            return true;
        }
        if !room.may_evict {
            return false;
        }
        let left = self
            .in_domain(domain)
            .filter(|peer| !peer.is_live())
            .min_by_key(|peer| peer.last_heartbeat_us)
            .map(|peer| peer.record.vm.clone());
        left.and_then(|vm| self.remove(&vm)).is_some()
    }
}

/// Takes a record of the same incarnation in.
fn update(peer: &mut Peer, now_us: u64, record: &Record) -> Merge {
    let is_news = record.state != peer.record.state;
    peer.advance_sequence(now_us, record.heartbeat_sequence);
    if record.heartbeat_sequence <= peer.record.heartbeat_sequence
        || peer.record.state == State::Stopped
    {
        return Merge::Nothing;
    }
    peer.record = record.clone();
    if is_news { Merge::News } else { Merge::Nothing }
}

impl Status {
    /// Returns why the peer is left out.
    pub(crate) fn reason(self) -> Option<Reason> {
        match self {
            Self::Live => None,
            Self::Left(reason) => Some(reason),
        }
    }
}
