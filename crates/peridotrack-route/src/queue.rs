//! Bounded queue of one pool: priorities with ageing, fair share within a priority.

use std::collections::{BTreeMap, VecDeque};

use peridotrack_types::{id, name, rules};

use crate::fairness;

const CLASSES: usize = 3;

/// A queued request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The request.
    pub request_id: id::Request,
    /// Its client account.
    pub account: name::ClientAccount,
    /// Its priority.
    pub priority: rules::Priority,
    /// When it was queued.
    pub queued_us: u64,
}

/// What became of a request that asked to be queued.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It is queued.
    Queued,
    /// It is queued, and this request lost its place to it.
    Displaced(id::Request),
    /// The queue is full.
    Full,
}

type Class = BTreeMap<name::ClientAccount, VecDeque<Entry>>;

/// Bounded queue of one pool.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    classes: [Class; CLASSES],
    len_requests: usize,
}

impl Queue {
    /// Returns the queued requests.
    pub fn len(&self) -> usize {
        self.len_requests
    }

    /// Returns whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.len_requests == 0
    }

    /// Returns how many requests would be dispatched before a new one.
    ///
    /// Fair share bounds this by the account's own requests times the accounts that wait.
    pub fn ahead(&self, account: &name::ClientAccount, priority: rules::Priority) -> usize {
        let class = &self.classes[priority as usize];
        let same: usize = class.values().map(VecDeque::len).sum();
        let own = class.get(account).map_or(0, VecDeque::len);
        let accounts = class.len() + usize::from(own == 0);
        let fair = own * accounts + (accounts - 1);
        let higher: usize = self.classes[priority as usize + 1..]
            .iter()
            .flat_map(BTreeMap::values)
            .map(VecDeque::len)
            .sum();
        higher + same.min(fair)
    }

    /// Returns every queued request, oldest first within an account.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.classes
            .iter()
            .flat_map(|class| class.values().flatten())
    }
}

impl Queue {
    /// Queues a request. A full queue gives it the place of a request of lower priority that has
    /// not aged, or of an account that holds more of the queue.
    pub fn push(&mut self, entry: Entry, bound_requests: usize, ageing_us: u64) -> Outcome {
        let displaced = if self.len_requests < bound_requests {
            None
        } else {
            match self.victim(&entry, ageing_us) {
                None => return Outcome::Full,
                victim => victim,
            }
        };
        if let Some(request_id) = displaced {
            self.remove(request_id);
        }
        self.len_requests += 1;
        self.classes[entry.priority as usize]
            .entry(entry.account.clone())
            .or_default()
            .push_back(entry);
        displaced.map_or(Outcome::Queued, Outcome::Displaced)
    }

    /// Returns the request to dispatch next, and leaves it queued.
    pub fn peek(&self, now_us: u64, ageing_us: u64, shares: &fairness::Shares) -> Option<&Entry> {
        let mut best: Option<(u64, &Entry)> = None;
        for (rank, class) in self.classes.iter().enumerate().rev() {
            let Some(oldest_us) = class.values().filter_map(head_us).min() else {
                continue;
            };
            let aged_us = rank as u64 * ageing_us + now_us.saturating_sub(oldest_us);
            if best.is_none_or(|(best_us, _)| aged_us > best_us) {
                best = fairest(class, shares).map(|entry| (aged_us, entry));
            }
        }
        best.map(|(_, entry)| entry)
    }

    /// Takes a request out; returns it if it was queued.
    pub fn remove(&mut self, request_id: id::Request) -> Option<Entry> {
        for class in &mut self.classes {
            let found = class.iter().find_map(|(account, entries)| {
                let position = entries.iter().position(|e| e.request_id == request_id)?;
                Some((account.clone(), position))
            });
            let Some((account, position)) = found else {
                continue;
            };
            let entries = class.get_mut(&account)?;
            let entry = entries.remove(position);
            if entries.is_empty() {
                class.remove(&account);
            }
            self.len_requests -= 1;
            return entry;
        }
        None
    }

    fn victim(&self, entry: &Entry, ageing_us: u64) -> Option<id::Request> {
        let rank = entry.priority as usize;
        let lower = self.classes[..rank]
            .iter()
            .filter_map(|class| largest(class).and_then(VecDeque::back))
            .find(|last| entry.queued_us.saturating_sub(last.queued_us) < ageing_us);
        if let Some(last) = lower {
            return Some(last.request_id);
        }
        let class = &self.classes[rank];
        let own = class.get(&entry.account).map_or(0, VecDeque::len);
        let most = largest(class)?;
        (most.len() > own + 1).then(|| most.back().map(|last| last.request_id))?
    }
}

fn head_us(entries: &VecDeque<Entry>) -> Option<u64> {
    entries.front().map(|entry| entry.queued_us)
}

fn largest(class: &Class) -> Option<&VecDeque<Entry>> {
    class.values().max_by_key(|entries| entries.len())
}

fn fairest<'a>(class: &'a Class, shares: &fairness::Shares) -> Option<&'a Entry> {
    class
        .iter()
        .min_by_key(|(account, _)| shares.start_tokens(account))
        .and_then(|(_, entries)| entries.front())
}
