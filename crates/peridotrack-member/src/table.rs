//! The table of peers that a router knows, with at most one incarnation per VM.
//!
//! Received records and heartbeat sequences are merged into it. The number of peers in a failure
//! domain is bounded by [`Capacity`].

use std::collections::{BTreeMap, btree_map::Entry};

use peridotrack_types::{collections::HashMap, id, name};

use crate::{
    message::{HeartbeatSequence, Record, State},
    peer::{Bounds, Peer, Reason, Status},
};

/// The known peers, by the name of their VM.
#[derive(Debug, Clone, Default)]
pub(crate) struct Table {
    peers: BTreeMap<name::Vm, Peer>,
    /// VM of each incarnation in `peers`.
    by_incarnation: HashMap<id::Incarnation, name::Vm>,
}

/// Bound on the peers of a failure domain.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Capacity {
    /// Maximum number of peers kept of the failure domain.
    pub max_peers: usize,
    /// Whether a peer that is not live may be evicted for a new one.
    pub may_evict: bool,
}

/// Result of merging a record.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Merge {
    /// The record added no peer, no new state and no newer incarnation.
    Unchanged,
    /// A new peer, or a new state of a known one.
    Changed,
    /// A newer incarnation replaced this peer.
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

    /// Merges a record that was received.
    ///
    /// Records of older incarnations, and of new peers beyond the capacity, are ignored.
    pub fn merge(&mut self, now_us: u64, record: &Record, capacity: Capacity) -> Merge {
        if !self.peers.contains_key(&record.vm) && !self.ensure_capacity(record, capacity) {
            return Merge::Unchanged;
        }
        match self.peers.entry(record.vm.clone()) {
            Entry::Vacant(entry) => {
                entry.insert(Peer::new(record.clone(), now_us));
                self.by_incarnation
                    .insert(record.incarnation, record.vm.clone());
                Merge::Changed
            }
            Entry::Occupied(mut entry) => {
                let known = &entry.get().record;
                if known.incarnation == record.incarnation {
                    return update(entry.get_mut(), now_us, record);
                }
                if known.generation() > record.generation() {
                    return Merge::Unchanged;
                }
                let old = entry.insert(Peer::new(record.clone(), now_us));
                self.by_incarnation.remove(&old.record.incarnation);
                self.by_incarnation
                    .insert(record.incarnation, record.vm.clone());
                Merge::Replaced(Box::new(old))
            }
        }
    }

    /// Applies a heartbeat sequence. Returns the VM of the peer if the sequence advanced.
    pub fn advance_sequence(&mut self, now_us: u64, entry: HeartbeatSequence) -> Option<name::Vm> {
        let vm = self.by_incarnation.get(&entry.incarnation)?;
        let peer = self.peers.get_mut(vm)?;
        peer.advance_sequence(now_us, entry.sequence)
            .then(|| vm.clone())
    }

    /// Evaluates the status of a peer. Returns the peer if it became live or ceased to be.
    pub fn update_status(&mut self, vm: &name::Vm, now_us: u64, bounds: Bounds) -> Option<&Peer> {
        let peer = self.peers.get_mut(vm)?;
        let status = match peer.leave_reason(now_us, bounds) {
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

    /// Returns whether the table can hold one more peer of the failure domain of `record`.
    ///
    /// If the domain is at its capacity and eviction is allowed, evicts the peer that is not live
    /// and whose heartbeat sequence has not advanced for the longest time.
    fn ensure_capacity(&mut self, record: &Record, capacity: Capacity) -> bool {
        let domain = &record.failure_domain;
        if self.in_domain(domain).count() < capacity.max_peers {
            return true;
        }
        if !capacity.may_evict {
            return false;
        }
        let longest_silent = self
            .in_domain(domain)
            .filter(|peer| !peer.is_live())
            .min_by_key(|peer| peer.last_heartbeat_us)
            .map(|peer| peer.record.vm.clone());
        longest_silent.and_then(|vm| self.remove(&vm)).is_some()
    }
}

/// Merges a record of the peer's present incarnation. Only its state counts as a change.
fn update(peer: &mut Peer, now_us: u64, record: &Record) -> Merge {
    let is_changed = record.state != peer.record.state;
    peer.advance_sequence(now_us, record.heartbeat_sequence);
    if record.heartbeat_sequence <= peer.record.heartbeat_sequence
        || peer.record.state == State::Stopped
    {
        return Merge::Unchanged;
    }
    peer.record = record.clone();
    if is_changed {
        Merge::Changed
    } else {
        Merge::Unchanged
    }
}

impl Status {
    /// Returns the reason why the peer is not live, `None` if it is.
    pub(crate) fn reason(self) -> Option<Reason> {
        match self {
            Self::Live => None,
            Self::Left(reason) => Some(reason),
        }
    }
}
