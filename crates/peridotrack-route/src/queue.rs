//! Bounded request queue of one pool.
//!
//! Priorities with ageing choose the class of the next request; within a class, fair sharing
//! chooses the client account. Requests whose prefix is cached on the available server may overtake
//! others within bounds.

use std::collections::{BTreeMap, VecDeque};

use peridotrack_types::{id, name, rules};

use crate::fairness;

/// Number of classes of queued requests, one for each [`rules::Priority`].
const PRIORITIES: usize = 3;
/// Number of an account's oldest requests of which one may overtake the first.
const AFFINITY_WINDOW_REQUESTS: usize = 16;
/// Maximum time between the arrivals of the first request of an account and of one that overtakes
/// it, in microseconds.
const MAX_OVERTAKE_US: u64 = 1_000_000;

/// A queued request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Identifier of the request, unique in the queue.
    pub request_id: id::Request,
    /// Client account, among which the queue shares fairly.
    pub account: name::ClientAccount,
    /// Priority, which selects the class.
    pub priority: rules::Priority,
    /// Time at which it was queued, from which it ages.
    pub queued_us: u64,
    /// Index of the backend server that is expected to have its prefix cached.
    pub preferred: Option<usize>,
    /// Requests of its account and class that were ahead of it when it was queued; set by
    /// [`Queue::push`].
    pub ahead_requests: usize,
}

/// Result of [`Queue::push`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The request is queued.
    Queued,
    /// The request is queued, and the named one was removed for it.
    Displaced(id::Request),
    /// The queue is full, and no queued request may be displaced.
    Full,
}

/// Parameters of the choice of the next request.
#[derive(Debug)]
pub struct Query<'a> {
    /// Current time, in microseconds on the clock of the events.
    pub now_us: u64,
    /// Wait that counts as much as one level of priority, in microseconds.
    pub ageing_us: u64,
    /// Tokens by which an account may exceed its fair share to use a cached prefix.
    pub overtake_tokens: u64,
    /// Virtual times of the accounts.
    pub shares: &'a fairness::Shares,
    /// Index of the available server, if the request is chosen for a certain one.
    pub backend: Option<usize>,
}

/// Queued requests of one priority, by account and in the order of arrival.
type Class = BTreeMap<name::ClientAccount, VecDeque<Entry>>;

/// Bounded request queue of one pool.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    classes: [Class; PRIORITIES],
    len_requests: usize,
}

impl Queue {
    /// Returns the number of queued requests of all classes.
    pub fn len(&self) -> usize {
        self.len_requests
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len_requests == 0
    }

    /// Returns the estimated number of requests that are dispatched before a new one.
    ///
    /// Within its class, fair sharing bounds this by the requests of the account times the number
    /// of accounts that wait.
    pub fn requests_ahead(
        &self,
        account: &name::ClientAccount,
        priority: rules::Priority,
    ) -> usize {
        let class = &self.classes[priority as usize];
        let class_requests: usize = class.values().map(VecDeque::len).sum();
        let account_requests = class.get(account).map_or(0, VecDeque::len);
        let accounts = class.len() + usize::from(account_requests == 0);
        let fair_bound = account_requests * accounts + (accounts - 1);
        let higher_requests: usize = self.classes[priority as usize + 1..]
            .iter()
            .flat_map(BTreeMap::values)
            .map(VecDeque::len)
            .sum();
        higher_requests + class_requests.min(fair_bound)
    }

    /// Returns the expected wait of a new request, extrapolated from that of the account's first
    /// request, in microseconds.
    ///
    /// While the first request waited, all requests of the account that were ahead of it have been
    /// dispatched. Unlike the length of the queue, this rate includes the effect of competing
    /// requests that arrive and leave between these dispatches.
    pub fn paced_wait_us(
        &self,
        now_us: u64,
        account: &name::ClientAccount,
        priority: rules::Priority,
    ) -> u64 {
        let Some(entries) = self.classes[priority as usize].get(account) else {
            return 0;
        };
        let Some(head) = entries.front() else {
            return 0;
        };
        let waited_us = now_us.saturating_sub(head.queued_us);
        waited_us * (entries.len() as u64 + 1) / (head.ahead_requests as u64 + 1)
    }

    /// Returns the lowest virtual time of the accounts with queued requests.
    pub fn start_tokens(&self, shares: &fairness::Shares) -> Option<u64> {
        let accounts = self.classes.iter().flat_map(BTreeMap::keys);
        accounts.map(|account| shares.start_tokens(account)).min()
    }

    /// Returns every queued request, by class and account, oldest first within an account.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.classes
            .iter()
            .flat_map(|class| class.values().flatten())
    }
}

impl Queue {
    /// Queues a request.
    ///
    /// A full queue first displaces a request of lower priority that has not aged by a level, or
    /// else one of the same priority whose account has at least two more queued requests.
    pub fn push(&mut self, mut entry: Entry, bound_requests: usize, ageing_us: u64) -> Outcome {
        let displaced = if self.len_requests < bound_requests {
            None
        } else {
            match self.request_to_displace(&entry, ageing_us) {
                None => return Outcome::Full,
                chosen => chosen,
            }
        };
        if let Some(request_id) = displaced {
            self.remove(request_id);
        }
        self.len_requests += 1;
        let entries = self.classes[entry.priority as usize]
            .entry(entry.account.clone())
            .or_default();
        entry.ahead_requests = entries.len();
        entries.push_back(entry);
        displaced.map_or(Outcome::Queued, Outcome::Displaced)
    }

    /// Returns the request to dispatch next and leaves it queued.
    ///
    /// Priority with ageing chooses the class. Within it, the account with the lowest virtual time
    /// goes first, unless an account within the overtaking bound has a request whose prefix is
    /// cached on [`Query::backend`].
    pub fn peek(&self, query: &Query<'_>) -> Option<&Entry> {
        let mut best: Option<(u64, &Class)> = None;
        for (rank, class) in self.classes.iter().enumerate().rev() {
            let Some(oldest_us) = class.values().filter_map(head_us).min() else {
                continue;
            };
            let waited_us = query.now_us.saturating_sub(oldest_us);
            let aged_us = rank as u64 * query.ageing_us + waited_us;
            if best.is_none_or(|(best_us, _)| aged_us > best_us) {
                best = Some((aged_us, class));
            }
        }
        best.and_then(|(_, class)| choose(class, query))
    }

    /// Removes a request; returns it if it was queued.
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

    /// Returns the request that `entry` may displace from a full queue; see [`Self::push`].
    fn request_to_displace(&self, entry: &Entry, ageing_us: u64) -> Option<id::Request> {
        let rank = entry.priority as usize;
        let lower = self.classes[..rank]
            .iter()
            .filter_map(|class| largest(class).and_then(VecDeque::back))
            .find(|last| entry.queued_us.saturating_sub(last.queued_us) < ageing_us);
        if let Some(last) = lower {
            return Some(last.request_id);
        }
        let class = &self.classes[rank];
        let account_requests = class.get(&entry.account).map_or(0, VecDeque::len);
        let most = largest(class)?;
        (most.len() > account_requests + 1).then(|| most.back().map(|last| last.request_id))?
    }
}

/// Returns when the first request was queued.
fn head_us(entries: &VecDeque<Entry>) -> Option<u64> {
    entries.front().map(|entry| entry.queued_us)
}

/// Returns the queued requests of the account that has the most in `class`.
fn largest(class: &Class) -> Option<&VecDeque<Entry>> {
    class.values().max_by_key(|entries| entries.len())
}

/// Chooses within a class: a request whose prefix is cached on the server, else one without a
/// preferred server of the account with the lowest virtual time, else the first of that account.
fn choose<'a>(class: &'a Class, query: &Query<'_>) -> Option<&'a Entry> {
    let start_tokens = |account| query.shares.start_tokens(account);
    let (fairest, entries) = class
        .iter()
        .min_by_key(|(account, _)| start_tokens(account))?;
    let latest_tokens = start_tokens(fairest).saturating_add(query.overtake_tokens);
    let with_affinity = query.backend.and_then(|backend| {
        class
            .iter()
            .filter(|(account, _)| start_tokens(account) <= latest_tokens)
            .flat_map(|(_, entries)| overtaking(entries))
            .filter(|entry| entry.preferred == Some(backend))
            .min_by_key(|entry| start_tokens(&entry.account))
    });
    with_affinity
        .or_else(|| overtaking(entries).find(|entry| entry.preferred.is_none()))
        .or_else(|| entries.front())
}

/// Returns the requests of one account that may overtake its first one, including that one.
fn overtaking(entries: &VecDeque<Entry>) -> impl Iterator<Item = &Entry> {
    let latest_us = head_us(entries).unwrap_or(0) + MAX_OVERTAKE_US;
    entries
        .iter()
        .take(AFFINITY_WINDOW_REQUESTS)
        .take_while(move |entry| entry.queued_us <= latest_us)
}
