//! Searches for tokens that waiting reservations and token requests lack.
//!
//! A holder sends a token request to its coordinator. The coordinator draws from the ledger, then
//! sends requests to its peers and to the coordinators of other failure domains, each of which
//! asks its own peers.

use std::collections::BTreeSet;

use peridotrack_types::id;

use super::{Holder, Status, exhausted, waiting};
use crate::{
    action::{Action, Note},
    message::{Reach, Reply},
    refusal::Refusal,
};

/// Number of holders asked in the first wave of a search.
const FIRST_WAVE_HOLDERS: usize = 8;
/// Growth of each further wave.
const WAVE_FACTOR: usize = 4;
/// Maximum wait for a store that neither responds nor fails, in microseconds.
const SEARCH_TIMEOUT_US: u64 = 3_000_000;
/// Maximum number of doublings of the time for which a failed search is remembered.
const EXHAUSTED_DOUBLINGS_MAX: u32 = 10;
/// Maximum number of repeated token requests in one search, to holders that sent tokens or had a
/// transfer unacknowledged.
const ROUNDS_MAX: u32 = 8;

mod waves;

/// State of the search for tokens of one account.
#[derive(Debug, Default)]
pub(super) enum Search {
    /// No search is running or remembered.
    #[default]
    None,
    /// A draw from the ledger is in progress.
    Drawing {
        since_us: u64,
        /// Other holders were already asked, without success.
        has_asked: bool,
    },
    /// Token requests to other holders are in progress.
    Peers(Box<PeerSearch>),
    /// The last search found too little; the result is remembered until `until_us`.
    Exhausted {
        until_us: u64,
        store_unreachable: bool,
    },
}

/// Token requests to other holders, sent in waves.
#[derive(Debug)]
pub(super) struct PeerSearch {
    since_us: u64,
    /// Holders still to be asked, the next one last.
    queue: Vec<(Reach, id::Incarnation)>,
    outstanding: Vec<id::Incarnation>,
    until_us: u64,
    wave: usize,
    rounds: u32,
    /// Holders that sent tokens and may have more.
    donors: Vec<id::Incarnation>,
    scope: Scope,
    store_unreachable: bool,
}

/// Which holders are asked, and for whom.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope {
    /// This holder asks its coordinator.
    Coordinator,
    /// The coordinator asks everyone, after the ledger had too little.
    Fleet,
    /// The coordinator asks others while the store does not respond.
    StoreUnreachable,
    /// The coordinator asks its peers on behalf of the coordinator of another failure domain.
    Domain,
}

impl Search {
    pub(super) fn is_running(&self) -> bool {
        matches!(self, Self::Drawing { .. } | Self::Peers(_))
    }

    /// Returns the reply that reports a failed search, while it is remembered.
    pub(super) fn exhausted_reply(&self, now_us: u64) -> Option<Reply> {
        match *self {
            Self::Exhausted {
                until_us,
                store_unreachable,
            } if until_us > now_us => Some(match store_unreachable {
                true => Reply::Unreachable,
                false => Reply::Exhausted,
            }),
            _ => None,
        }
    }
}

/// Start of searches and draws.
impl Holder {
    /// Refuses a reservation, and starts a search unless one failed recently.
    pub(super) fn refuse(&mut self, now_us: u64, index: u32, tokens: u64) -> Refusal {
        let unavailable = self.unavailable();
        let account = &mut self.accounts[index as usize];
        let is_gone = self.shards[account.shard as usize].is_gone;
        if tokens > account.purchased_tokens {
            return exhausted();
        }
        let Some(active) = account.active.as_mut() else {
            return unavailable;
        };
        if is_gone || matches!(active.status, Status::Stopped | Status::Closed) {
            return unavailable;
        }
        match active.search.exhausted_reply(now_us) {
            Some(Reply::Unreachable) => return unavailable,
            Some(_) => return exhausted(),
            None => {}
        }
        active.demand_tokens += tokens;
        active.largest_demand_tokens = active.largest_demand_tokens.max(tokens);
        self.searching.insert(index);
        self.start_search(now_us, index);
        waiting()
    }

    /// Starts a search, unless one is running.
    pub(super) fn start_search(&mut self, now_us: u64, index: u32) {
        let account = &mut self.accounts[index as usize];
        let shard = account.shard;
        let Some(active) = account.active.as_mut() else {
            return;
        };
        active
            .pending_requests
            .retain(|_, pending| pending.until_us > now_us);
        if active.search.is_running() {
            // Demand that was added is drawn together with the rest.
            if matches!(active.search, Search::Drawing { .. }) {
                active.is_draw_wanted = true;
                self.schedule_call(shard, now_us + self.options.urgent_merge_us);
            }
            return;
        }
        self.searching.insert(index);
        if let Some(coordinator) = self.coordinator(now_us, shard) {
            return self.request_from(
                now_us,
                index,
                Scope::Coordinator,
                vec![(Reach::Fleet, coordinator)],
            );
        }
        let due_us = now_us + self.options.urgent_merge_us;
        if let Some(active) = self.accounts[index as usize].active.as_mut() {
            active.is_draw_wanted = true;
            active.search = Search::Drawing {
                since_us: now_us,
                has_asked: false,
            };
        }
        self.schedule_call(shard, due_us);
    }

    /// Asks the local peers on behalf of the coordinator of another failure domain.
    pub(super) fn search_domain(&mut self, now_us: u64, index: u32) {
        self.searching.insert(index);
        let peers = self.peers.iter().map(|peer| (Reach::Now, *peer));
        self.request_from(now_us, index, Scope::Domain, peers.collect());
    }

    /// Draws, or requests tokens from the coordinator, before the available tokens are used up.
    /// The next write of the shard may include the draw.
    pub(super) fn draw_ahead(&mut self, now_us: u64, index: u32) {
        let account = &mut self.accounts[index as usize];
        let shard = account.shard;
        let Some(active) = account.active.as_mut() else {
            return;
        };
        if active.has_requested_ahead || active.is_draw_wanted {
            return;
        }
        let coordinator = self.coordinator(now_us, shard);
        let Some(active) = self.accounts[index as usize].active.as_mut() else {
            return;
        };
        match coordinator {
            Some(coordinator) => {
                active.has_requested_ahead = true;
                self.send_token_request(now_us, index, Reach::Holder, coordinator);
            }
            None => {
                active.is_draw_wanted = true;
                self.schedule_call(shard, now_us + self.options.merge_us);
            }
        }
    }

    /// Continues a search after the ledger was read: asks other holders for what is still
    /// lacking.
    pub(super) fn after_draw(
        &mut self,
        now_us: u64,
        index: u32,
        rows: Vec<id::Incarnation>,
        others: BTreeSet<id::Incarnation>,
    ) {
        let Some(active) = self.accounts[index as usize].active.as_mut() else {
            return;
        };
        if !matches!(active.search, Search::Drawing { .. }) {
            return;
        }
        if active.need_tokens() == 0 {
            return self.end_search(now_us, index);
        }
        self.request_from_all(now_us, index, Scope::Fleet, rows, others);
    }

    /// Asks the coordinators of other failure domains and the local peers.
    fn request_from_all(
        &mut self,
        now_us: u64,
        index: u32,
        scope: Scope,
        rows: Vec<id::Incarnation>,
        others: BTreeSet<id::Incarnation>,
    ) {
        let Some(active) = self.accounts[index as usize].active.as_deref() else {
            return;
        };
        // Tokens of the first requester already count towards its own request, so it is not
        // asked. No requester is asked while the store is unreachable, since the ledger may
        // still have enough.
        let requesters = active
            .pending_requests
            .iter()
            .filter(|(_, pending)| pending.is_deferred);
        let mut excluded: Vec<id::Incarnation> = requesters.map(|(id, _)| *id).collect();
        if scope == Scope::Fleet {
            excluded.truncate(1);
        }
        let without_row = others.into_iter().chain(self.peers.iter().copied());
        let mut without_row: BTreeSet<id::Incarnation> = without_row.collect();
        without_row.retain(|id| !rows.contains(id));
        let mut queue: Vec<(Reach, id::Incarnation)> =
            rows.into_iter().map(|id| (Reach::Domain, id)).collect();
        queue.extend(without_row.into_iter().map(|id| (Reach::Holder, id)));
        queue.retain(|(_, id)| !excluded.contains(id));
        self.request_from(now_us, index, scope, queue);
    }
}

/// End of searches.
impl Holder {
    /// Ends a search: clears it if enough was found, keeps waiting for the store if it may still
    /// respond, and otherwise remembers the failure.
    fn end_search(&mut self, now_us: u64, index: u32) {
        let is_backing_off = self.is_store_backing_off(now_us) || self.store_backoff.delay_us > 0;
        let account = &mut self.accounts[index as usize];
        let Some(active) = account.active.as_mut() else {
            return;
        };
        let (since_us, scope, store_unreachable) = match &active.search {
            Search::Peers(peer_search) => (
                peer_search.since_us,
                peer_search.scope,
                peer_search.store_unreachable,
            ),
            Search::Drawing { since_us, .. } => (*since_us, Scope::StoreUnreachable, true),
            Search::None | Search::Exhausted { .. } => return,
        };
        let is_met = match scope {
            Scope::Domain => true,
            _ => active.need_tokens() == 0,
        };
        let is_early = now_us.saturating_sub(since_us) < SEARCH_TIMEOUT_US;
        if is_met {
            active.search = Search::None;
            active.exhausted_doublings = 0;
        } else if scope == Scope::StoreUnreachable && !is_backing_off && is_early {
            active.search = Search::Drawing {
                since_us,
                has_asked: true,
            };
            return;
        } else {
            if active.available_tokens() > 0 {
                // Some tokens were found, although too few.
                active.exhausted_doublings = 0;
            }
            let until_us = now_us + (self.options.exhausted_us << active.exhausted_doublings);
            active.exhausted_doublings =
                (active.exhausted_doublings + 1).min(EXHAUSTED_DOUBLINGS_MAX);
            active.search = Search::Exhausted {
                until_us,
                store_unreachable,
            };
            self.actions.push(Action::Note(Note::Dry {
                budget: account.budget.clone(),
                store_unreachable,
                ledger: active.ledger_totals.clone(),
            }));
        }
        self.wake = true;
        self.requests_due.insert(index);
    }

    /// Clears the demand of waiting reservations, which are now retried.
    pub(super) fn clear_demand(&mut self) {
        for index in &self.searching {
            if let Some(active) = self.accounts[*index as usize].active.as_mut() {
                active.demand_tokens = 0;
                active.largest_demand_tokens = 0;
            }
        }
        let accounts = &self.accounts;
        self.searching.retain(|index| {
            let active = accounts[*index as usize].active.as_deref();
            active.is_some_and(|active| active.search.is_running())
        });
    }
}

/// Timeouts and lost peers.
impl Holder {
    /// Advances every search that has reached a timeout.
    pub(super) fn advance_searches(&mut self, now_us: u64) {
        let searching: Vec<u32> = self.searching.iter().copied().collect();
        for index in searching {
            self.advance_search(now_us, index);
        }
    }

    fn advance_search(&mut self, now_us: u64, index: u32) {
        let is_backing_off = self.is_store_backing_off(now_us);
        let Some(active) = self.accounts[index as usize].active.as_ref() else {
            return;
        };
        match &active.search {
            Search::Drawing {
                since_us,
                has_asked,
            } => {
                let waited_us = now_us.saturating_sub(*since_us);
                if *has_asked && (is_backing_off || waited_us >= SEARCH_TIMEOUT_US) {
                    self.end_search(now_us, index);
                } else if !*has_asked && (is_backing_off || waited_us >= self.options.store_wait_us)
                {
                    let rows = active.rows.clone();
                    self.request_from_all(
                        now_us,
                        index,
                        Scope::StoreUnreachable,
                        rows,
                        BTreeSet::new(),
                    );
                }
            }
            Search::Peers(peer_search) if peer_search.until_us <= now_us => {
                match (peer_search.scope, peer_search.outstanding.first().copied()) {
                    (Scope::Coordinator, Some(peer)) => self.skip_coordinator(now_us, index, peer),
                    _ => self.next_wave(now_us, index),
                }
            }
            Search::None | Search::Peers(_) | Search::Exhausted { .. } => {}
        }
    }

    /// Skips a coordinator that does not reply, is leaving or was lost, and searches without it.
    fn skip_coordinator(&mut self, now_us: u64, index: u32, drawer: id::Incarnation) {
        let until_us = now_us + self.options.suspect_us;
        self.suspects.insert(drawer, until_us);
        let account = &mut self.accounts[index as usize];
        let budget = account.budget.clone();
        if let Some(active) = account.active.as_mut() {
            active.search = Search::None;
        }
        self.actions
            .push(Action::Note(Note::DrawerPassedOver { budget, drawer }));
        self.start_search(now_us, index);
    }

    /// Handles a lost holder as one that replied without tokens.
    pub(super) fn on_peer_lost(&mut self, now_us: u64, peer: id::Incarnation) {
        let until_us = now_us + self.options.suspect_us;
        self.suspects.insert(peer, until_us);
        let searching: Vec<u32> = self.searching.iter().copied().collect();
        for index in searching {
            let active = self.accounts[index as usize].active.as_deref();
            let Some(Search::Peers(peer_search)) = active.map(|active| &active.search) else {
                continue;
            };
            let is_asked = peer_search.outstanding.contains(&peer);
            match peer_search.scope {
                Scope::Coordinator if is_asked => self.skip_coordinator(now_us, index, peer),
                _ if is_asked => self.on_reply(now_us, index, peer, Reply::Final, 0),
                _ => {}
            }
        }
    }
}
