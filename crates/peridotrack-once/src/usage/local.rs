//! Usage records of this router that are not flushed yet.
//!
//! New records are batched and sealed into a copy, which is sent to peers. The responses of its
//! records are released when a peer acknowledges the copy, when it is flushed, or after
//! [`Options::safe_timeout_us`].

use std::collections::{BTreeMap, BTreeSet};

use peridotrack_types::id;

use super::{Action, Copy, Message, Note, Options, Record};

/// Records of this router: unsealed ones, and sealed copies by sequence.
#[derive(Debug)]
pub(super) struct Local {
    incarnation: id::Incarnation,
    peers: BTreeSet<id::Incarnation>,
    /// Peers to which any copy was sent, including those that are no longer live.
    receivers: BTreeSet<id::Incarnation>,
    /// Records that are in no copy yet.
    unsealed: Vec<Record>,
    /// When the first unsealed record was added.
    unsealed_since_us: u64,
    copies: BTreeMap<u64, SealedCopy>,
    last_sequence: u64,
    flushed_through: u64,
}

/// A copy whose content no longer changes.
#[derive(Debug)]
struct SealedCopy {
    records: Vec<Record>,
    /// When its first record was added.
    since_us: u64,
    /// When the copy was last sent.
    sent_us: u64,
    /// Peers to which the copy was sent.
    receivers: BTreeSet<id::Incarnation>,
    /// Peers that acknowledged the copy.
    holders: BTreeSet<id::Incarnation>,
    /// Whether the responses of its records were released.
    is_released: bool,
}

/// Records to flush next, with the sequence of the last copy among them.
pub(super) struct Pending {
    pub(super) records: Vec<Record>,
    pub(super) through: u64,
}

/// Constructors and queries.
impl Local {
    pub(super) fn new(incarnation: id::Incarnation) -> Self {
        Self {
            incarnation,
            peers: BTreeSet::new(),
            receivers: BTreeSet::new(),
            unsealed: Vec::new(),
            unsealed_since_us: 0,
            copies: BTreeMap::new(),
            last_sequence: 0,
            flushed_through: 0,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.unsealed.is_empty() && self.copies.is_empty()
    }

    /// Returns the number of records that are not flushed.
    pub(super) fn records(&self) -> usize {
        let copies = self.copies.values().map(|copy| copy.records.len());
        self.unsealed.len() + copies.sum::<usize>()
    }

    /// Returns the number of unflushed records that no live peer is known to hold.
    pub(super) fn unprotected_records(&self) -> usize {
        let copies = self.copies.values();
        let unprotected = copies.filter(|copy| copy.holders.is_disjoint(&self.peers));
        self.unsealed.len() + unprotected.map(|copy| copy.records.len()).sum::<usize>()
    }

    /// Returns when the next flush is due, `None` if there is no copy; 0 if the records fill a
    /// batch.
    pub(super) fn flush_due_us(&self, options: &Options) -> Option<u64> {
        if self.records() >= options.batch_records {
            return Some(0);
        }
        let copies = self.copies.values();
        let due_us = copies.map(|copy| copy.flush_due_us(options));
        due_us.min()
    }

    /// Returns when a copy is to be sealed or sent again, or responses are to be released.
    pub(super) fn next_tick_us(&self, options: &Options) -> Option<u64> {
        let release_us = self
            .copies
            .values()
            .filter_map(|copy| copy.release_us(options));
        let resend_us = self.copies.values();
        let resend_us = resend_us.filter_map(|copy| copy.resend_us(&self.peers, options));
        let seal_us = self.unsealed_since_us + options.copy_retry_us;
        let seal_us = (!self.unsealed.is_empty()).then_some(seal_us);
        release_us.chain(resend_us).chain(seal_us).min()
    }

    /// Returns the oldest sealed records; at most `limit_records`, but at least one copy.
    pub(super) fn pending(&self, limit_records: usize) -> Option<Pending> {
        let mut pending = Pending {
            records: Vec::new(),
            through: self.flushed_through,
        };
        for (sequence, copy) in &self.copies {
            let len = pending.records.len() + copy.records.len();
            if !pending.records.is_empty() && len > limit_records {
                break;
            }
            pending.records.extend_from_slice(&copy.records);
            pending.through = *sequence;
        }
        (!pending.records.is_empty()).then_some(pending)
    }
}

/// Adding records; sealing, sending and releasing copies.
impl Local {
    /// Adds a record, and seals and sends a copy if one is due.
    pub(super) fn add(&mut self, now_us: u64, record: Record, options: &Options) -> Vec<Action> {
        if self.unsealed.is_empty() {
            self.unsealed_since_us = now_us;
        }
        self.unsealed.push(record);
        self.seal_if_due(now_us, options)
    }

    /// Seals the unsealed records into a copy and sends it.
    pub(super) fn seal(&mut self, now_us: u64, options: &Options) -> Vec<Action> {
        if self.unsealed.is_empty() {
            return Vec::new();
        }
        self.last_sequence += 1;
        let sealed = SealedCopy {
            records: std::mem::take(&mut self.unsealed),
            since_us: self.unsealed_since_us,
            sent_us: now_us,
            receivers: BTreeSet::new(),
            holders: BTreeSet::new(),
            is_released: false,
        };
        self.copies.insert(self.last_sequence, sealed);
        self.send(now_us, self.last_sequence, options.copies)
    }

    /// Seals the unsealed records, resends copies and releases responses if that is due.
    pub(super) fn tick(&mut self, now_us: u64, options: &Options) -> Vec<Action> {
        let mut actions = self.seal_if_due(now_us, options);
        let sequences: Vec<_> = self.copies.keys().copied().collect();
        for sequence in sequences {
            let copy = &self.copies[&sequence];
            let is_due = |due_us: Option<u64>| due_us.is_some_and(|due_us| now_us >= due_us);
            if is_due(copy.release_us(options)) {
                actions.extend(self.release_unprotected(sequence));
            } else if is_due(copy.resend_us(&self.peers, options)) {
                // Adds one receiver, because the previous ones may have died or be stopping.
                let receivers = copy.receivers.len() + 1;
                actions.extend(self.send(now_us, sequence, receivers));
            }
        }
        actions
    }

    /// Records which peers are live.
    ///
    /// Returning peers are notified of flushes, and copies that no live peer holds are sent again.
    pub(super) fn set_peers(
        &mut self,
        now_us: u64,
        peers: &BTreeSet<id::Incarnation>,
        options: &Options,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let through = self.flushed_through;
        let returned = peers.difference(&self.peers);
        for peer in returned.filter(|peer| self.receivers.contains(peer)) {
            actions.push(self.flushed_message(*peer, through));
        }
        self.peers.clone_from(peers);
        let unheld = self.copies.iter();
        let unheld = unheld.filter(|(_, copy)| copy.holders.is_disjoint(&self.peers));
        let sequences: Vec<_> = unheld.map(|(sequence, _)| *sequence).collect();
        for sequence in sequences {
            actions.extend(self.send(now_us, sequence, options.copies));
        }
        actions
    }

    /// Records that `peer` holds a copy, and releases its responses.
    pub(super) fn on_held(
        &mut self,
        now_us: u64,
        peer: id::Incarnation,
        sequence: u64,
        options: &Options,
    ) -> Vec<Action> {
        let Some(copy) = self.copies.get_mut(&sequence) else {
            return vec![self.flushed_message(peer, self.flushed_through)];
        };
        copy.holders.insert(peer);
        let mut actions = copy.release();
        actions.extend(self.seal_if_due(now_us, options));
        actions
    }

    /// Records that every copy up to `through` is flushed, and notifies the live peers to which
    /// copies were sent.
    pub(super) fn on_flushed(&mut self, through: u64) -> Vec<Action> {
        self.flushed_through = through;
        let unflushed = self.copies.split_off(&(through + 1));
        let flushed = std::mem::replace(&mut self.copies, unflushed);
        let mut actions: Vec<_> = flushed
            .into_values()
            .flat_map(|mut copy| copy.release())
            .collect();
        let receivers = self.receivers.intersection(&self.peers);
        actions.extend(receivers.map(|peer| self.flushed_message(*peer, through)));
        actions
    }

    /// Seals the unsealed records. While another copy awaits acknowledgement, they are sealed when
    /// that arrives, but after `copy_retry_us` at the latest.
    fn seal_if_due(&mut self, now_us: u64, options: &Options) -> Vec<Action> {
        let is_sending = self.copies.values().any(|copy| !copy.is_released);
        let is_late = now_us >= self.unsealed_since_us + options.copy_retry_us;
        if is_sending && !is_late {
            return Vec::new();
        }
        self.seal(now_us, options)
    }

    /// Sends a copy to up to `receivers` live peers, except those that acknowledged it.
    fn send(&mut self, now_us: u64, sequence: u64, receivers: usize) -> Vec<Action> {
        let receivers = self.choose_peers(receivers);
        let Some(copy) = self.copies.get_mut(&sequence) else {
            return Vec::new();
        };
        copy.sent_us = now_us;
        copy.receivers.extend(&receivers);
        self.receivers.extend(&receivers);
        let message = Message::Copy {
            origin: self.incarnation,
            copy: Copy {
                sequence,
                records: copy.records.clone(),
            },
            flushed_through: self.flushed_through,
        };
        let unacknowledged = receivers.iter().filter(|peer| !copy.holders.contains(peer));
        let send = |peer: &id::Incarnation| Action::Send {
            peer: *peer,
            message: message.clone(),
        };
        unacknowledged.map(send).collect()
    }

    /// Selects up to `count` live peers by rendezvous hashing, which spreads the load of copies.
    fn choose_peers(&self, count: usize) -> Vec<id::Incarnation> {
        let mut peers: Vec<_> = self.peers.iter().copied().collect();
        peers.sort_by_key(|peer| mix(self.incarnation.0 ^ mix(peer.0)));
        peers.truncate(count);
        peers
    }

    /// Releases the responses of a copy that neither a peer nor the platform is known to hold, and
    /// reports each as [`Note::Unprotected`].
    fn release_unprotected(&mut self, sequence: u64) -> Vec<Action> {
        let Some(copy) = self.copies.get_mut(&sequence) else {
            return Vec::new();
        };
        let notes = copy.records.iter().map(|record| {
            Action::Note(Note::Unprotected {
                request_id: record.request_id,
            })
        });
        let mut actions: Vec<_> = notes.collect();
        actions.extend(copy.release());
        actions
    }

    fn flushed_message(&self, peer: id::Incarnation, through: u64) -> Action {
        Action::Send {
            peer,
            message: Message::Flushed {
                origin: self.incarnation,
                through,
            },
        }
    }
}

impl SealedCopy {
    /// Returns when the copy is to be flushed, which is earlier while its responses are not
    /// released.
    fn flush_due_us(&self, options: &Options) -> u64 {
        if self.is_released {
            self.since_us + options.flush_us
        } else {
            self.since_us + options.copy_timeout_us
        }
    }

    /// Returns when the copy is to be sent again; `None` if it is released and a live peer holds
    /// it, or there is no live peer.
    fn resend_us(&self, peers: &BTreeSet<id::Incarnation>, options: &Options) -> Option<u64> {
        if !self.is_released {
            return Some(self.sent_us + options.copy_retry_us);
        }
        let is_held = peers.is_empty() || !self.holders.is_disjoint(peers);
        (!is_held).then_some(self.sent_us + options.recopy_us)
    }

    /// Returns when the responses are released even if neither a peer nor the platform is known to
    /// hold the records; `None` after their release.
    fn release_us(&self, options: &Options) -> Option<u64> {
        (!self.is_released).then_some(self.since_us + options.safe_timeout_us)
    }

    /// Releases the responses of the copy, once.
    fn release(&mut self) -> Vec<Action> {
        if std::mem::replace(&mut self.is_released, true) {
            return Vec::new();
        }
        let request_ids = self.records.iter().map(|record| record.request_id);
        request_ids
            .map(|request_id| Action::ReleaseResponse { request_id })
            .collect()
    }
}

/// Hashes `value` with the finalizer of SplitMix64.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
