//! Selection of the receivers of heartbeats, and the content of heartbeats and replies.
//!
//! Each period [`Members::send_heartbeats`] sends one heartbeat to a peer of the local failure
//! domain, one to a peer of another, and in some periods one to an address of
//! [`crate::contacts::Contacts`]. The number of entries in a message and of records in a period
//! is bounded by the options. A foreign peer or failure domain is one other than the local one.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
};

use peridotrack_types::{collections::HashMap, name};

use crate::{
    action::Action,
    member::Members,
    message::{HeartbeatSequence, Message, Record, Report, State},
    peer::{Peer, Reason, Status},
};

/// Contacts that are sent a heartbeat each period while no peer of the local failure domain is
/// live.
const CONTACTS_WHEN_ALONE: usize = 3;
/// With `n` live peers, a contact is sent a heartbeat in one of `1 + n / CONTACT_DIVISOR` periods
/// on average.
const CONTACT_DIVISOR: usize = 2;
/// Maximum number of records of the local failure domain in a reply to a router of another one.
const FOREIGN_REPLY_RECORDS: usize = 2;
/// Maximum number of peers to which a stopping router sends its leave notice.
const MAX_LEAVE_NOTICES: usize = 8;
/// One in this many heartbeats within the failure domain carries a record of another domain, on
/// average.
const HEARTBEATS_PER_FOREIGN_RECORD: u32 = 4;
/// One in this many replies to another failure domain carries a record of that domain, on average,
/// even if the receiver knows as many peers there as this router.
const REPLIES_PER_SENDER_DOMAIN_RECORD: u32 = 32;
/// An updated record is carried by this many messages plus the binary logarithm of the number of
/// routers.
const UPDATE_BASE_MESSAGES: u32 = 2;

/// State of a router's heartbeats: schedule, order of receivers, and records to gossip.
#[derive(Debug, Clone)]
pub(crate) struct Gossip {
    rng: fastrand::Rng,
    /// When the next heartbeats are due.
    next_us: u64,
    /// Peers of the local failure domain that haven't been sent a heartbeat in this round; a round
    /// sends one to each live peer.
    round: Vec<name::Vm>,
    /// Foreign failure domain to which the last heartbeat was sent.
    last_domain: Option<name::FailureDomain>,
    /// Replies sent in this period.
    replies: u32,
    /// Records sent in this period.
    records: usize,
    /// Peers with an updated record, and the number of messages that have carried it.
    updates: VecDeque<(name::Vm, u32)>,
}

impl Gossip {
    pub fn new(seed: u64, now_us: u64) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(seed),
            next_us: now_us,
            round: Vec::new(),
            last_domain: None,
            replies: 0,
            records: 0,
            updates: VecDeque::new(),
        }
    }

    /// Returns `period_us` with random jitter of at most a tenth in either direction.
    pub fn jitter(&mut self, period_us: u64) -> u64 {
        let tenth_us = period_us / 10;
        period_us - tenth_us + self.rng.u64(0..=2 * tenth_us)
    }

    /// Makes the next heartbeats due at the next tick.
    pub fn expedite(&mut self, now_us: u64) {
        self.next_us = self.next_us.min(now_us);
    }

    /// Adds a peer whose updated record the next heartbeats carry.
    pub fn add_update(&mut self, vm: name::Vm) {
        self.updates.retain(|(known, _)| *known != vm);
        self.updates.push_back((vm, 0));
    }
}

/// Sending of heartbeats, replies and leave notices.
impl Members {
    /// Sends the heartbeats of a period once it is due.
    pub(crate) fn send_heartbeats(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if now_us < self.gossip.next_us {
            return;
        }
        self.gossip.next_us = now_us + self.gossip.jitter(self.period_us(now_us));
        self.gossip.replies = 0;
        self.gossip.records = 0;
        self.local.heartbeat_sequence += 1;
        let domain_peer = self.next_in_domain();
        let foreign_peer = self.next_foreign();
        for vm in domain_peer.into_iter().chain(foreign_peer) {
            self.send_heartbeat_to(now_us, &vm, actions);
        }
        for address in self.contacts_due() {
            let report = self.report(now_us, &self.local.failure_domain.clone(), true);
            actions.push(Action::Send {
                address,
                message: Message::Heartbeat(report),
            });
        }
    }

    /// Replies to a heartbeat with updates that its sender lacks.
    ///
    /// Beyond [`Options::replies_per_period`](crate::member::Options::replies_per_period) the reply
    /// is a short one, which bounds what this router sends.
    pub(crate) fn reply(&mut self, now_us: u64, to: &Report, actions: &mut Vec<Action>) {
        self.gossip.replies += 1;
        let report = if self.gossip.replies > self.options.replies_per_period {
            self.short_report(now_us, to)
        } else {
            self.reply_report(now_us, to)
        };
        actions.push(Action::Send {
            address: to.from.peer_address,
            message: Message::Reply(report),
        });
    }

    /// Returns the leave notices: heartbeats with the state `Stopped` to some live peers of the
    /// local failure domain, which gossip it to the others.
    pub(crate) fn leave_notices(&mut self, now_us: u64) -> Vec<Action> {
        let mut addresses: Vec<_> = self
            .live_in(now_us, &self.local.failure_domain)
            .map(|peer| peer.record.peer_address)
            .collect();
        self.gossip.rng.shuffle(&mut addresses);
        addresses.truncate(MAX_LEAVE_NOTICES);
        let message = Message::Heartbeat(self.empty_report());
        addresses
            .into_iter()
            .map(|address| Action::Send {
                address,
                message: message.clone(),
            })
            .collect()
    }

    fn send_heartbeat_to(&mut self, now_us: u64, vm: &name::Vm, actions: &mut Vec<Action>) {
        let Some(peer) = self.table.get_mut(vm) else {
            return;
        };
        peer.unanswered += 1;
        let address = peer.record.peer_address;
        let domain = peer.record.failure_domain.clone();
        let is_same_domain = domain == self.local.failure_domain;
        let report = self.report(now_us, &domain, is_same_domain);
        actions.push(Action::Send {
            address,
            message: Message::Heartbeat(report),
        });
    }
}

/// Selection of receivers.
impl Members {
    /// Returns the next live peer of the local failure domain. Each comes once in a round of random
    /// order.
    fn next_in_domain(&mut self) -> Option<name::Vm> {
        for _ in 0..2 {
            while let Some(vm) = self.gossip.round.pop() {
                if self.table.get(&vm).is_some_and(Peer::is_live) {
                    return Some(vm);
                }
            }
            self.gossip.round = self
                .table
                .in_domain(&self.local.failure_domain)
                .map(|peer| peer.record.vm.clone())
                .collect();
            self.gossip.rng.shuffle(&mut self.gossip.round);
        }
        None
    }

    /// Returns a random live peer of the next other failure domain, in the order of their names.
    fn next_foreign(&mut self) -> Option<name::Vm> {
        let mut by_domain: BTreeMap<&name::FailureDomain, Vec<&name::Vm>> = BTreeMap::new();
        for peer in self.table.iter().filter(|peer| peer.is_live()) {
            if !self.is_same_domain(&peer.record) {
                let domain = by_domain.entry(&peer.record.failure_domain).or_default();
                domain.push(&peer.record.vm);
            }
        }
        let last = self.gossip.last_domain.as_ref();
        let (domain, vms) = by_domain
            .iter()
            .find(|(domain, _)| last.is_none_or(|last| **domain > last))
            .or_else(|| by_domain.iter().next())?;
        let vm = vms[self.gossip.rng.usize(..vms.len())].clone();
        self.gossip.last_domain = Some((*domain).clone());
        Some(vm)
    }

    /// Returns the number of live peers of the local failure domain, at most 255.
    fn domain_peers(&self) -> u8 {
        let peers = self.table.in_domain(&self.local.failure_domain);
        u8::try_from(peers.filter(|peer| peer.is_live()).count()).unwrap_or(u8::MAX)
    }

    /// Returns the addresses without a live peer that are sent a heartbeat in this period:
    /// contacts, and silent or unreachable peers.
    fn contacts_due(&mut self) -> Vec<SocketAddr> {
        let live: BTreeSet<_> = self
            .table
            .iter()
            .filter(|peer| peer.is_live())
            .map(|peer| peer.record.peer_address)
            .collect();
        let count = if self.domain_peers() == 0 {
            CONTACTS_WHEN_ALONE
        } else {
            usize::from(self.gossip.rng.usize(..=live.len() / CONTACT_DIVISOR) == 0)
        };
        if count == 0 {
            return Vec::new();
        }
        let lost = self.table.iter().filter(|peer| may_return(peer));
        let mut addresses: Vec<_> = lost
            .map(|peer| peer.record.peer_address)
            .chain(self.contacts.iter())
            .filter(|address| !live.contains(address))
            .collect();
        addresses.sort_unstable();
        addresses.dedup();
        self.gossip.rng.shuffle(&mut addresses);
        addresses.truncate(count);
        addresses
    }
}

/// Content of heartbeats and replies.
impl Members {
    /// Returns the report of a heartbeat to a router of `domain`, with updated records if
    /// `with_updates`.
    fn report(&mut self, now_us: u64, domain: &name::FailureDomain, with_updates: bool) -> Report {
        let mut heartbeat_sequences: Vec<_> =
            self.recently_advanced(now_us, domain).map(pair).collect();
        self.sample(&mut heartbeat_sequences, self.options.sequences_per_message);
        let mut records = Vec::new();
        if with_updates {
            records = self.take_updates();
            records.extend(self.foreign_record(now_us));
        }
        let wanted_records = if *domain == self.local.failure_domain {
            self.options.records_per_message
        } else {
            let known = self.table.in_domain(domain).count();
            let free = self.options.max_foreign_peers.saturating_sub(known);
            free.min(self.options.records_per_message)
        };
        Report {
            from: self.local.clone(),
            heartbeat_sequences,
            records,
            wanted_records: u8::try_from(wanted_records).unwrap_or(u8::MAX),
            domain_peers: self.domain_peers(),
        }
    }

    /// Returns a full reply: heartbeat sequences higher than those in `to`, and records missing
    /// from it.
    fn reply_report(&mut self, now_us: u64, to: &Report) -> Report {
        let known: HashMap<_, _> = to
            .heartbeat_sequences
            .iter()
            .map(|entry| (entry.incarnation, entry.sequence))
            .collect();
        let mut heartbeat_sequences = Vec::new();
        let mut unknown = Vec::new();
        for peer in self.recently_advanced(now_us, &self.local.failure_domain) {
            let record = &peer.record;
            match known.get(&record.incarnation) {
                Some(old) if peer.heartbeat_sequence > *old => heartbeat_sequences.push(pair(peer)),
                Some(_) => {}
                None if record.incarnation == to.from.incarnation => {}
                None => unknown.push(record.clone()),
            }
        }
        self.sample(&mut heartbeat_sequences, self.options.sequences_per_message);
        let wanted = usize::from(to.wanted_records).min(self.records_left());
        let wanted = if self.is_same_domain(&to.from) {
            wanted
        } else {
            wanted.min(FOREIGN_REPLY_RECORDS)
        };
        self.sample(&mut unknown, wanted);
        unknown.extend(self.sender_domain_records(now_us, to));
        self.gossip.records += unknown.len();
        Report {
            heartbeat_sequences,
            records: unknown,
            ..self.empty_report()
        }
    }

    /// Returns records of peers in the failure domain of `to`'s sender, if it is not the local one.
    ///
    /// With them, a router whose seeds are all in other failure domains discovers the peers of its
    /// failure domain. A sender that knows fewer of these peers than this router always receives
    /// records. Other senders receive one in some replies, so that separated groups of a failure
    /// domain discover each other.
    fn sender_domain_records(&mut self, now_us: u64, to: &Report) -> Vec<Record> {
        if self.is_same_domain(&to.from) || self.records_left() == 0 {
            return Vec::new();
        }
        let mut records: Vec<_> = self
            .recently_advanced(now_us, &to.from.failure_domain)
            .filter(|peer| peer.record.vm != to.from.vm)
            .map(|peer| peer.record.clone())
            .collect();
        let knows_fewer = usize::from(to.domain_peers) < records.len();
        let count = match knows_fewer {
            true => self
                .options
                .sender_domain_records_per_reply
                .min(self.records_left()),
            false => usize::from(self.gossip.rng.u32(..REPLIES_PER_SENDER_DOMAIN_RECORD) == 0),
        };
        self.sample(&mut records, count);
        records
    }

    /// Returns a short reply: at most one random record, for a sender of the local failure domain
    /// that requests some. That router can provide further records, which spreads the load.
    fn short_report(&mut self, now_us: u64, to: &Report) -> Report {
        let mut records = Vec::new();
        if to.wanted_records > 0 && self.is_same_domain(&to.from) {
            records = self
                .recently_advanced(now_us, &self.local.failure_domain)
                .filter(|peer| peer.record.vm != to.from.vm)
                .map(|peer| peer.record.clone())
                .collect();
            self.sample(&mut records, 1);
        }
        Report {
            records,
            ..self.empty_report()
        }
    }

    /// Returns a report with the local record alone.
    fn empty_report(&self) -> Report {
        Report {
            from: self.local.clone(),
            heartbeat_sequences: Vec::new(),
            records: Vec::new(),
            wanted_records: 0,
            domain_peers: self.domain_peers(),
        }
    }

    /// Returns the peers in `domain` whose heartbeat sequence advanced within the timeout.
    ///
    /// Only these are gossiped. After a pause of this process, a dead peer still counts as live
    /// until its restarted silence timeout ends; gossiping it would make it seem live to other
    /// routers.
    fn recently_advanced<'a>(
        &'a self,
        now_us: u64,
        domain: &'a name::FailureDomain,
    ) -> impl Iterator<Item = &'a Peer> + 'a {
        let silence_us = if *domain == self.local.failure_domain {
            self.options.silent_after_us
        } else {
            self.options.foreign_silent_after_us
        };
        self.table
            .in_domain(domain)
            .filter(|peer| peer.record.state != State::Stopped)
            .filter(move |peer| now_us.saturating_sub(peer.last_heartbeat_us) <= silence_us)
    }

    /// Returns updated records for one message and counts them as carried once more. A record that
    /// enough messages have carried is dropped from the updates.
    fn take_updates(&mut self) -> Vec<Record> {
        let peers = self.table.iter().count();
        let messages = UPDATE_BASE_MESSAGES + (peers + 1).ilog2();
        let mut records = Vec::new();
        for _ in 0..self.gossip.updates.len().min(self.records_left()) {
            let Some((vm, carried)) = self.gossip.updates.pop_front() else {
                break;
            };
            let Some(peer) = self.table.get(&vm).filter(|peer| is_worth_gossiping(peer)) else {
                continue;
            };
            records.push(peer.record.clone());
            if carried + 1 < messages {
                self.gossip.updates.push_back((vm, carried + 1));
            }
        }
        self.gossip.records += records.len();
        records
    }

    /// Returns the number of records that the next message may carry in this period.
    fn records_left(&self) -> usize {
        let left = self
            .options
            .records_per_period
            .saturating_sub(self.gossip.records);
        left.min(self.options.records_per_message)
    }

    /// Returns the record of a live peer of another failure domain in one of
    /// [`HEARTBEATS_PER_FOREIGN_RECORD`] calls, for receivers that know no such peer.
    fn foreign_record(&mut self, now_us: u64) -> Option<Record> {
        if self.gossip.rng.u32(..HEARTBEATS_PER_FOREIGN_RECORD) != 0 {
            return None;
        }
        let silence_us = self.options.foreign_silent_after_us;
        let mut foreign: Vec<_> = self
            .live(now_us)
            .filter(|peer| !self.is_same_domain(&peer.record))
            .filter(|peer| now_us.saturating_sub(peer.last_heartbeat_us) <= silence_us)
            .map(|peer| peer.record.clone())
            .collect();
        self.sample(&mut foreign, 1);
        foreign.pop()
    }

    /// Reduces `elements` to a random sample of at most `count`.
    fn sample<T>(&mut self, elements: &mut Vec<T>, count: usize) {
        if elements.len() > count {
            self.gossip.rng.shuffle(elements);
            elements.truncate(count);
        }
    }
}

/// Returns the incarnation of a peer and its highest known heartbeat sequence, as sent in reports.
fn pair(peer: &Peer) -> HeartbeatSequence {
    HeartbeatSequence {
        incarnation: peer.record.incarnation,
        sequence: peer.heartbeat_sequence,
    }
}

/// Returns whether the record of a peer is gossiped: those of live and of stopped ones are.
fn is_worth_gossiping(peer: &Peer) -> bool {
    peer.is_live() || peer.record.state == State::Stopped
}

/// Returns whether a peer that is not live may come back at the same address.
fn may_return(peer: &Peer) -> bool {
    matches!(
        peer.status,
        Status::Left(Reason::Silent | Reason::Unreachable)
    )
}
