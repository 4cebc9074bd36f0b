//! To whom a router sends heartbeats, and what they carry.

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

/// Messages to contacts in one period while no peer of the same failure domain is usable.
const CONTACTS_WHEN_ALONE: usize = 3;
/// With `n` usable peers, a contact is tried in one of `1 + n / CONTACT_SHARE` periods.
const CONTACT_SHARE: usize = 2;
/// Most records in a reply to a router of another failure domain.
const FOREIGN_REPLY_RECORDS: usize = 2;
/// Peers that are told directly that this router has ended.
const FAREWELLS: usize = 8;
/// One in this many heartbeats carries the record of a peer in another failure domain.
const FOREIGN_RECORD_SHARE: u32 = 4;
/// One in this many replies to another failure domain carries a peer of that domain.
const NEIGHBOUR_SHARE: u32 = 32;
/// Messages that carry a piece of news, beyond the binary logarithm of the peers.
const NEWS_BASE_MESSAGES: u32 = 2;

/// The state of a router's heartbeats.
#[derive(Debug, Clone)]
pub(crate) struct Gossip {
    rng: fastrand::Rng,
    next_us: u64,
    /// Peers of the same failure domain that have yet to get a heartbeat in this round.
    round: Vec<name::Vm>,
    /// Failure domain that got the last heartbeat to another one.
    last_domain: Option<name::FailureDomain>,
    /// Replies in this period.
    replies: u32,
    /// Records sent in this period.
    records: usize,
    /// Peers whose record is news, and the messages that have carried it.
    news: VecDeque<(name::Vm, u32)>,
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
            news: VecDeque::new(),
        }
    }

    /// Returns `period_us` changed by at most a tenth.
    pub fn jitter(&mut self, period_us: u64) -> u64 {
        let tenth_us = period_us / 10;
        period_us - tenth_us + self.rng.u64(0..=2 * tenth_us)
    }

    /// Makes the next heartbeat due at once.
    pub fn hasten(&mut self, now_us: u64) {
        self.next_us = self.next_us.min(now_us);
    }

    pub fn add_news(&mut self, vm: name::Vm) {
        self.news.retain(|(known, _)| *known != vm);
        self.news.push_back((vm, 0));
    }
}

/// Sending.
impl Members {
    /// Sends the heartbeats that are due.
    pub(crate) fn heartbeats(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if now_us < self.gossip.next_us {
            return;
        }
        self.gossip.next_us = now_us + self.gossip.jitter(self.period_us(now_us));
        self.gossip.replies = 0;
        self.gossip.records = 0;
        self.local.heartbeat_sequence += 1;
        let near = self.next_in_domain();
        let far = self.next_foreign();
        for vm in near.into_iter().chain(far) {
            self.heartbeat_to_peer(now_us, &vm, actions);
        }
        for address in self.contacts_due() {
            let report = self.report(now_us, &self.local.failure_domain.clone(), true);
            actions.push(Action::Send {
                address,
                message: Message::Heartbeat(report),
            });
        }
    }

    /// Answers a heartbeat with what its sender lacks.
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

    /// Tells some peers that this router has ended.
    pub(crate) fn farewells(&mut self, now_us: u64) -> Vec<Action> {
        let mut addresses: Vec<_> = self
            .live_in(now_us, &self.local.failure_domain)
            .map(|peer| peer.record.peer_address)
            .collect();
        self.gossip.rng.shuffle(&mut addresses);
        addresses.truncate(FAREWELLS);
        let message = Message::Heartbeat(self.empty_report());
        addresses
            .into_iter()
            .map(|address| Action::Send {
                address,
                message: message.clone(),
            })
            .collect()
    }

    fn heartbeat_to_peer(&mut self, now_us: u64, vm: &name::Vm, actions: &mut Vec<Action>) {
        let Some(peer) = self.table.get_mut(vm) else {
            return;
        };
        peer.unanswered += 1;
        let address = peer.record.peer_address;
        let domain = peer.record.failure_domain.clone();
        let is_near = domain == self.local.failure_domain;
        let report = self.report(now_us, &domain, is_near);
        actions.push(Action::Send {
            address,
            message: Message::Heartbeat(report),
        });
    }
}

/// Choice of receivers.
impl Members {
    /// Returns the next usable peer of the same failure domain, each once in a round.
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

    /// Returns a usable peer of the next other failure domain.
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

    /// Returns how many other routers of the same failure domain are usable, at most 255.
    fn domain_peers(&self) -> u8 {
        let peers = self.table.in_domain(&self.local.failure_domain);
        u8::try_from(peers.filter(|peer| peer.is_live()).count()).unwrap_or(u8::MAX)
    }

    /// Returns addresses to try where a router may be found that is not a usable peer.
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
            usize::from(self.gossip.rng.usize(..=live.len() / CONTACT_SHARE) == 0)
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

/// Contents of messages.
impl Members {
    /// Returns what is known of the peers in `domain`.
    fn report(&mut self, now_us: u64, domain: &name::FailureDomain, with_news: bool) -> Report {
        let mut heartbeat_sequences: Vec<_> = self.heard(now_us, domain).map(sequence_of).collect();
        self.sample(&mut heartbeat_sequences, self.options.sequences_per_message);
        let mut records = Vec::new();
        if with_news {
            records = self.take_news();
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

    /// Returns beats higher than those in `to`, and records that it lacks.
    fn reply_report(&mut self, now_us: u64, to: &Report) -> Report {
        let known: HashMap<_, _> = to
            .heartbeat_sequences
            .iter()
            .map(|entry| (entry.incarnation, entry.sequence))
            .collect();
        let mut heartbeat_sequences = Vec::new();
        let mut unknown = Vec::new();
        for peer in self.heard(now_us, &self.local.failure_domain) {
            let record = &peer.record;
            match known.get(&record.incarnation) {
                Some(known) if peer.heartbeat_sequence > *known => {
                    heartbeat_sequences.push(sequence_of(peer))
                }
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
        unknown.extend(self.neighbours(now_us, to));
        self.gossip.records += unknown.len();
        Report {
            heartbeat_sequences,
            records: unknown,
            ..self.empty_report()
        }
    }

    /// Returns peers in the failure domain of a sender from another one.
    ///
    /// Routers whose seeds are all in other failure domains find those of their own this way.
    /// A sender that knows fewer of them than this router always gets some; others get one at
    /// times, so that groups that do not know of each other meet.
    fn neighbours(&mut self, now_us: u64, to: &Report) -> Vec<Record> {
        if self.is_same_domain(&to.from) || self.records_left() == 0 {
            return Vec::new();
        }
        let mut neighbours: Vec<_> = self
            .heard(now_us, &to.from.failure_domain)
            .filter(|peer| peer.record.vm != to.from.vm)
            .map(|peer| peer.record.clone())
            .collect();
        let knows_fewer = usize::from(to.domain_peers) < neighbours.len();
        let count = match knows_fewer {
            true => self
                .options
                .sender_domain_records_per_reply
                .min(self.records_left()),
            false => usize::from(self.gossip.rng.u32(..NEIGHBOUR_SHARE) == 0),
        };
        self.sample(&mut neighbours, count);
        neighbours
    }

    /// Returns one other peer for a router that lacks some, to spread the load.
    fn short_report(&mut self, now_us: u64, to: &Report) -> Report {
        let mut records = Vec::new();
        if to.wanted_records > 0 && self.is_same_domain(&to.from) {
            records = self
                .heard(now_us, &self.local.failure_domain)
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

    fn empty_report(&self) -> Report {
        Report {
            from: self.local.clone(),
            heartbeat_sequences: Vec::new(),
            records: Vec::new(),
            wanted_records: 0,
            domain_peers: self.domain_peers(),
        }
    }

    /// Returns the peers in `domain` whose beat has risen lately.
    ///
    /// Only these are told to others: a peer that merely is not left out yet,
    /// because this process was paused, would seem alive to them.
    fn heard<'a>(
        &'a self,
        now_us: u64,
        domain: &'a name::FailureDomain,
    ) -> impl Iterator<Item = &'a Peer> + 'a {
        let silent_us = if *domain == self.local.failure_domain {
            self.options.silent_after_us
        } else {
            self.options.foreign_silent_after_us
        };
        self.table
            .in_domain(domain)
            .filter(|peer| peer.record.state != State::Stopped)
            .filter(move |peer| now_us.saturating_sub(peer.last_heartbeat_us) <= silent_us)
    }

    /// Returns the records that are news, and counts them as carried once more.
    fn take_news(&mut self) -> Vec<Record> {
        let peers = self.table.iter().count();
        let messages = NEWS_BASE_MESSAGES + (peers + 1).ilog2();
        let mut records = Vec::new();
        for _ in 0..self.gossip.news.len().min(self.records_left()) {
            let Some((vm, carried)) = self.gossip.news.pop_front() else {
                break;
            };
            let Some(peer) = self.table.get(&vm).filter(|peer| is_worth_telling(peer)) else {
                continue;
            };
            records.push(peer.record.clone());
            if carried + 1 < messages {
                self.gossip.news.push_back((vm, carried + 1));
            }
        }
        self.gossip.records += records.len();
        records
    }

    /// Returns how many records the next message may carry.
    fn records_left(&self) -> usize {
        let left = self
            .options
            .records_per_period
            .saturating_sub(self.gossip.records);
        left.min(self.options.records_per_message)
    }

    /// Returns at times a peer of another failure domain, for routers that know none.
    fn foreign_record(&mut self, now_us: u64) -> Option<Record> {
        if self.gossip.rng.u32(..FOREIGN_RECORD_SHARE) != 0 {
            return None;
        }
        let silent_us = self.options.foreign_silent_after_us;
        let mut foreign: Vec<_> = self
            .live(now_us)
            .filter(|peer| !self.is_same_domain(&peer.record))
            .filter(|peer| now_us.saturating_sub(peer.last_heartbeat_us) <= silent_us)
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

fn sequence_of(peer: &Peer) -> HeartbeatSequence {
    HeartbeatSequence {
        incarnation: peer.record.incarnation,
        sequence: peer.heartbeat_sequence,
    }
}

/// Returns whether the record of a peer is worth passing on.
fn is_worth_telling(peer: &Peer) -> bool {
    peer.is_live() || peer.record.state == State::Stopped
}

/// Returns whether a peer that is left out may come back under its address.
fn may_return(peer: &Peer) -> bool {
    matches!(
        peer.status,
        Status::Left(Reason::Silent | Reason::Unreachable)
    )
}
