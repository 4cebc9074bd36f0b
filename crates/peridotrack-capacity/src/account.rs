//! Bounds the bytes that a process holds for messages that it reads whole.
//!
//! A holder asks before it grows and waits while there is no room. After a short wait, unfinished
//! request bodies with the least progress are dropped to make room. Every wait ends: a holder that
//! has waited for [`Options::max_wait_us`] is dropped itself.

use std::collections::{BTreeMap, VecDeque};

/// Limits and times of an [`Account`].
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Maximum of all held bytes.
    pub bound_bytes: usize,
    /// Part of the bound that only responses may use.
    pub response_reserve_bytes: usize,
    /// Part of the bound that large request bodies may not use.
    pub small_reserve_bytes: usize,
    /// Request bodies that hold at most this many bytes are small.
    pub small_bytes: usize,
    /// Wait after which unfinished bodies are dropped, in microseconds.
    pub drop_after_us: u64,
    /// Time for which a client may be slow before its body can be dropped, in microseconds.
    pub min_age_us: u64,
    /// Longest wait of a holder, in microseconds.
    pub max_wait_us: u64,
    /// Time without a wait after which the process no longer holds back, in microseconds.
    pub calm_us: u64,
}

/// What bytes are held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A request of a client, with its complete or unfinished body.
    Request,
    /// A response of a server that is read whole.
    Response,
}

/// Identifies a holder of an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Id(u64);

/// State of a holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It has what it asked for.
    Granted,
    /// It waits for room.
    Waiting,
    /// It must release what it holds.
    Dropped,
}

/// Held bytes by holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Usage {
    /// Bytes held for requests.
    pub request_bytes: usize,
    /// Bytes held for responses.
    pub response_bytes: usize,
    /// Number of holders that wait for room.
    pub waiting: usize,
    /// Number of holders dropped since the start.
    pub dropped: u64,
}

#[derive(Debug)]
struct Holder {
    kind: Kind,
    state: State,
    held_bytes: usize,
    asked_bytes: usize,
    received_bytes: usize,
    is_complete: bool,
    /// Since when the holder has waited, or else has read from its peer.
    since_us: u64,
    /// Time spent reading before `since_us`; waits for room do not count against a client.
    read_us: u64,
}

impl Holder {
    fn read_us(&self, now_us: u64) -> u64 {
        match self.state {
            State::Waiting => self.read_us,
            _ => self.read_us + now_us.saturating_sub(self.since_us),
        }
    }

    /// Received bytes per second of reading.
    fn rate_per_s(&self, now_us: u64) -> u64 {
        let bytes = self.received_bytes as u64;
        bytes.saturating_mul(1_000_000) / self.read_us(now_us).max(1)
    }
}

/// Bytes held for messages, with the holders that wait for room.
#[derive(Debug)]
pub struct Account {
    options: Options,
    holders: BTreeMap<Id, Holder>,
    waiting: VecDeque<Id>,
    usage: Usage,
    next_id: u64,
    last_wait_us: Option<u64>,
}

/// Opens an account and reports its state.
impl Account {
    /// Creates an account without holders.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            holders: BTreeMap::new(),
            waiting: VecDeque::new(),
            usage: Usage::default(),
            next_id: 0,
            last_wait_us: None,
        }
    }

    /// Returns the held bytes by holder.
    pub fn usage(&self) -> Usage {
        Usage {
            waiting: self.waiting.len(),
            ..self.usage
        }
    }

    /// Returns whether a holder waits or has waited recently.
    pub fn is_holding_back(&self, now_us: u64) -> bool {
        let is_recent = |last_us: u64| now_us.saturating_sub(last_us) < self.options.calm_us;
        !self.waiting.is_empty() || self.last_wait_us.is_some_and(is_recent)
    }

    /// Returns the state of a holder; a released one counts as dropped.
    pub fn state(&self, id: Id) -> State {
        self.holders
            .get(&id)
            .map_or(State::Dropped, |holder| holder.state)
    }
}

/// Takes requests of holders.
impl Account {
    /// Adds a holder that holds nothing yet.
    pub fn open(&mut self, kind: Kind, now_us: u64) -> Id {
        let id = Id(self.next_id);
        self.next_id += 1;
        let holder = Holder {
            kind,
            state: State::Granted,
            held_bytes: 0,
            asked_bytes: 0,
            received_bytes: 0,
            is_complete: false,
            since_us: now_us,
            read_us: 0,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Asks for more bytes and returns the state of the holder.
    pub fn ask(&mut self, id: Id, bytes: usize, now_us: u64) -> State {
        let Some(holder) = self.holders.get_mut(&id) else {
            return State::Dropped;
        };
        if holder.state != State::Granted {
            return holder.state;
        }
        holder.asked_bytes = bytes;
        if self.has_room(id) && !self.must_queue(id) {
            self.take(id);
            return State::Granted;
        }
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.read_us = holder.read_us(now_us);
            holder.state = State::Waiting;
            holder.since_us = now_us;
        }
        self.waiting.push_back(id);
        self.last_wait_us = Some(now_us);
        State::Waiting
    }

    /// Records that bytes of the holder's message have arrived.
    pub fn received(&mut self, id: Id, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.received_bytes += bytes;
        }
    }

    /// Records that the message is complete and holds `held_bytes`, at most what was granted. It is
    /// not dropped any more.
    pub fn complete(&mut self, id: Id, held_bytes: usize, now_us: u64) -> Vec<Id> {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.is_complete = true;
            let freed_bytes = holder.held_bytes.saturating_sub(held_bytes);
            holder.held_bytes -= freed_bytes;
            let kind = holder.kind;
            *self.held_mut(kind) -= freed_bytes;
        }
        self.grant(now_us)
    }

    /// Removes a holder and returns the waiting ones that now have room.
    pub fn release(&mut self, id: Id, now_us: u64) -> Vec<Id> {
        if let Some(holder) = self.holders.remove(&id) {
            *self.held_mut(holder.kind) -= holder.held_bytes;
            self.waiting.retain(|waiting| *waiting != id);
        }
        self.grant(now_us)
    }

    /// Drops holders whose time has come and returns the holders whose state has changed. Called
    /// periodically while any holder waits.
    pub fn on_time(&mut self, now_us: u64) -> Vec<Id> {
        let mut changed = self.grant(now_us);
        let expired: Vec<_> = self
            .waiting
            .iter()
            .copied()
            .filter(|id| self.waited_us(*id, now_us) >= self.options.max_wait_us)
            .collect();
        for id in expired {
            self.drop_holder(id);
            changed.push(id);
        }
        while let Some(first) = self.waiting.front().copied() {
            if self.waited_us(first, now_us) < self.options.drop_after_us {
                break;
            }
            let is_missing = self.missing_bytes(first) > self.released_soon_bytes();
            match self.victim(now_us).filter(|_| is_missing) {
                Some(id) => {
                    self.drop_holder(id);
                    changed.push(id);
                }
                None => break,
            }
        }
        if !self.waiting.is_empty() {
            self.last_wait_us = Some(now_us);
        }
        changed.extend(self.grant(now_us));
        changed
    }
}

/// Decides who gets room and who is dropped.
impl Account {
    fn held_mut(&mut self, kind: Kind) -> &mut usize {
        match kind {
            Kind::Request => &mut self.usage.request_bytes,
            Kind::Response => &mut self.usage.response_bytes,
        }
    }

    /// Returns whether the holder counts as large: small ones and responses need not queue.
    fn is_large(&self, holder: &Holder) -> bool {
        let bytes = holder.held_bytes + holder.asked_bytes;
        holder.kind == Kind::Request && bytes > self.options.small_bytes
    }

    /// Returns whether the holder must queue behind others; a large body must not overtake.
    fn must_queue(&self, id: Id) -> bool {
        self.holders
            .get(&id)
            .is_some_and(|holder| self.is_large(holder))
            && !self.waiting.is_empty()
    }

    /// Returns the number of bytes that the holder lacks.
    fn missing_bytes(&self, id: Id) -> usize {
        let Some(holder) = self.holders.get(&id) else {
            return 0;
        };
        let Options {
            bound_bytes,
            response_reserve_bytes,
            small_reserve_bytes,
            ..
        } = self.options;
        let reserve_bytes = match holder.kind {
            Kind::Response => 0,
            Kind::Request if self.is_large(holder) => response_reserve_bytes + small_reserve_bytes,
            Kind::Request => response_reserve_bytes,
        };
        let total_bytes = self.usage.request_bytes + self.usage.response_bytes;
        let wanted_bytes = total_bytes + holder.asked_bytes;
        // Responses use their reserve first, so that they do not displace requests.
        let reserve_bytes = reserve_bytes.saturating_sub(match holder.kind {
            Kind::Request => self.usage.response_bytes.min(response_reserve_bytes),
            Kind::Response => 0,
        });
        wanted_bytes.saturating_sub(bound_bytes.saturating_sub(reserve_bytes))
    }

    fn has_room(&self, id: Id) -> bool {
        self.missing_bytes(id) == 0
    }

    fn take(&mut self, id: Id) {
        if let Some(holder) = self.holders.get_mut(&id) {
            let asked_bytes = std::mem::take(&mut holder.asked_bytes);
            holder.held_bytes += asked_bytes;
            let kind = holder.kind;
            *self.held_mut(kind) += asked_bytes;
        }
    }

    /// Grants what the waiting holders asked for, in their order; only large bodies block those
    /// behind them.
    fn grant(&mut self, now_us: u64) -> Vec<Id> {
        let mut granted = Vec::new();
        let mut is_blocked = false;
        for id in self.waiting.clone() {
            let is_large = self
                .holders
                .get(&id)
                .is_some_and(|holder| self.is_large(holder));
            if (is_large && is_blocked) || !self.has_room(id) {
                is_blocked |= is_large;
                continue;
            }
            self.take(id);
            if let Some(holder) = self.holders.get_mut(&id) {
                holder.state = State::Granted;
                holder.since_us = now_us;
            }
            granted.push(id);
        }
        self.waiting.retain(|id| !granted.contains(id));
        granted
    }

    fn waited_us(&self, id: Id, now_us: u64) -> u64 {
        self.holders
            .get(&id)
            .map_or(0, |holder| now_us.saturating_sub(holder.since_us))
    }

    /// Returns the bytes of holders that were dropped and have not released them yet.
    fn released_soon_bytes(&self) -> usize {
        let dropped = self.holders.values();
        dropped
            .filter(|holder| holder.state == State::Dropped)
            .map(|holder| holder.held_bytes)
            .sum()
    }

    /// Returns the unfinished body with the least progress. Bodies that wait for room are chosen
    /// only if no other body can make room, since waiting ones may wait for each other.
    fn victim(&self, now_us: u64) -> Option<Id> {
        let unfinished = || {
            self.holders.iter().filter(|(_, holder)| {
                holder.kind == Kind::Request && !holder.is_complete && holder.held_bytes > 0
            })
        };
        let slowest = unfinished()
            .filter(|(_, holder)| {
                holder.state == State::Granted && holder.read_us(now_us) >= self.options.min_age_us
            })
            .min_by_key(|(_, holder)| holder.rate_per_s(now_us));
        if let Some((id, _)) = slowest {
            return Some(*id);
        }
        // Others that hold room finish or become old enough to be dropped.
        let may_end = self
            .holders
            .values()
            .any(|holder| holder.state != State::Waiting && holder.held_bytes > 0);
        if may_end {
            return None;
        }
        let waiting = unfinished().filter(|(_, holder)| holder.state == State::Waiting);
        waiting
            .min_by_key(|(id, holder)| (holder.received_bytes, std::cmp::Reverse(**id)))
            .map(|(id, _)| *id)
    }

    fn drop_holder(&mut self, id: Id) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.state = State::Dropped;
            self.usage.dropped += 1;
        }
        self.waiting.retain(|waiting| *waiting != id);
    }
}
