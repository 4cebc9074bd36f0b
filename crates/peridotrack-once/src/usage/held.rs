//! Copies of records that this router holds for its peers.
//!
//! A copy is dropped when its origin reports that it is flushed. If the origin is lost, this router
//! flushes the copy itself.

use std::collections::{BTreeMap, BTreeSet};

use peridotrack_types::id;

use super::{Action, Copy, Message, Options, Record};

/// Copies held for peers, by origin.
#[derive(Debug, Default)]
pub(super) struct Held {
    peers: BTreeSet<id::Incarnation>,
    origins: BTreeMap<id::Incarnation, Origin>,
}

/// Copies of one origin, by sequence, and its last known state.
#[derive(Debug, Default)]
struct Origin {
    copies: BTreeMap<u64, Vec<Record>>,
    flushed_through: u64,
    /// Since when the origin is missing among the live peers; `None` if it is live.
    absent_since_us: Option<u64>,
    /// When the first copy arrived, or the origin was last notified of held copies.
    reported_us: u64,
}

/// Copied records that this router is to flush in place of their origin.
pub(super) struct Recovery {
    pub(super) origin: id::Incarnation,
    /// Sequences of the copies that contain the records.
    pub(super) sequences: Vec<u64>,
    pub(super) records: Vec<Record>,
}

impl Held {
    /// Returns whether no copies are held.
    pub(super) fn is_empty(&self) -> bool {
        self.origins.values().all(|origin| origin.copies.is_empty())
    }

    /// Returns the number of records in the held copies.
    pub(super) fn records(&self) -> usize {
        let copies = self
            .origins
            .values()
            .flat_map(|origin| origin.copies.values());
        copies.map(Vec::len).sum()
    }

    /// Returns when the next origin counts as lost or has to be notified.
    pub(super) fn next_tick_us(&self, options: &Options) -> Option<u64> {
        let origins = self
            .origins
            .values()
            .filter(|origin| !origin.copies.is_empty());
        let due_us = |origin: &Origin| match origin.absent_since_us {
            Some(since_us) => since_us + options.recover_after_us,
            None => origin.reported_us + options.held_report_us,
        };
        origins.map(due_us).min()
    }

    /// Notifies live origins of the oldest copy held for them when that is due.
    ///
    /// If the message that reported a flush was lost, the origin repeats it in reply.
    pub(super) fn report_held(&mut self, now_us: u64, options: &Options) -> Vec<Action> {
        let mut actions = Vec::new();
        for (id, origin) in &mut self.origins {
            let is_due = now_us >= origin.reported_us + options.held_report_us;
            let Some(sequence) = origin.copies.keys().next() else {
                continue;
            };
            if !is_due || origin.absent_since_us.is_some() {
                continue;
            }
            origin.reported_us = now_us;
            let message = Message::Held {
                origin: *id,
                sequence: *sequence,
            };
            actions.push(Action::Send { peer: *id, message });
        }
        actions
    }

    /// Stores a copy, unless it is known to be flushed.
    pub(super) fn hold(&mut self, now_us: u64, origin: id::Incarnation, copy: Copy) {
        let is_live = self.peers.contains(&origin);
        let origin = self.origins.entry(origin).or_default();
        if !is_live {
            origin.absent_since_us.get_or_insert(now_us);
        }
        if origin.copies.is_empty() {
            origin.reported_us = now_us;
        }
        if copy.sequence > origin.flushed_through {
            origin.copies.insert(copy.sequence, copy.records);
        }
    }

    /// Drops the copies of `origin` up to sequence `through`; a lower value than before has no
    /// effect.
    pub(super) fn mark_flushed(&mut self, origin: id::Incarnation, through: u64) {
        let origin = self.origins.entry(origin).or_default();
        origin.flushed_through = origin.flushed_through.max(through);
        let flushed_through = origin.flushed_through;
        origin
            .copies
            .retain(|sequence, _| *sequence > flushed_through);
    }

    /// Drops copies that this router has flushed.
    pub(super) fn drop_copies(&mut self, origin: id::Incarnation, sequences: &[u64]) {
        if let Some(origin) = self.origins.get_mut(&origin) {
            origin
                .copies
                .retain(|sequence, _| !sequences.contains(sequence));
        }
    }

    /// Records which peers are live, and since when other origins are absent.
    pub(super) fn set_peers(&mut self, now_us: u64, peers: &BTreeSet<id::Incarnation>) {
        self.peers.clone_from(peers);
        for (id, origin) in &mut self.origins {
            if peers.contains(id) {
                origin.absent_since_us = None;
            } else {
                origin.absent_since_us.get_or_insert(now_us);
            }
        }
        self.origins
            .retain(|_, origin| !origin.copies.is_empty() || origin.absent_since_us.is_none());
    }

    /// Returns records of an origin that has been absent for `recover_after_us`, or of any origin
    /// if `is_stopping`; at most `limit_records`, but at least one copy.
    pub(super) fn next_recovery(
        &self,
        now_us: u64,
        recover_after_us: u64,
        is_stopping: bool,
        limit_records: usize,
    ) -> Option<Recovery> {
        let is_lost = |origin: &Origin| {
            let since_us = origin.absent_since_us;
            is_stopping || since_us.is_some_and(|since_us| now_us >= since_us + recover_after_us)
        };
        let mut origins = self.origins.iter();
        let (id, origin) =
            origins.find(|(_, origin)| !origin.copies.is_empty() && is_lost(origin))?;
        let mut recovery = Recovery {
            origin: *id,
            sequences: Vec::new(),
            records: Vec::new(),
        };
        for (sequence, records) in &origin.copies {
            if !recovery.records.is_empty()
                && recovery.records.len() + records.len() > limit_records
            {
                break;
            }
            recovery.sequences.push(*sequence);
            recovery.records.extend_from_slice(records);
        }
        Some(recovery)
    }
}
