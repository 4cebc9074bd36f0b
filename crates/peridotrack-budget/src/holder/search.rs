//! Search for tokens that waiting requests lack: first the ledger, then other holders.

use peridotrack_types::id;

use super::{Holder, Status, exhausted, unavailable, waiting};
use crate::{
    action::{Action, Note},
    message::Message,
    refusal::Refusal,
};

const FIRST_WAVE: usize = 4;
const WAVE_FACTOR: usize = 4;
/// Longest wait for a store that neither answers nor fails.
const STORE_TIMEOUT_US: u64 = 3_000_000;
const DRY_DOUBLINGS_MAX: u32 = 5;
/// Wish beyond the need, as a part of the ride-out target.
const WISH_DIVISOR: u64 = 60;

/// Search of one account.
#[derive(Debug, Default)]
pub(super) enum Search {
    /// No search.
    #[default]
    None,
    /// A draw is under way.
    Drawing {
        since_us: u64,
        /// Peers were asked meanwhile, in vain.
        has_asked: bool,
    },
    /// Other holders are being asked.
    Asking(Box<Asking>),
    /// Nothing was found.
    Dry {
        until_us: u64,
        store_unreachable: bool,
    },
}

/// Calls to other holders, in waves.
#[derive(Debug)]
pub(super) struct Asking {
    since_us: u64,
    /// Still to be asked, the last first.
    queue: Vec<id::Incarnation>,
    outstanding: Vec<id::Incarnation>,
    until_us: u64,
    wave: usize,
    /// The ledger was read before and had too little.
    has_read: bool,
}

impl Search {
    pub(super) fn is_running(&self) -> bool {
        matches!(self, Self::Drawing { .. } | Self::Asking(_))
    }
}

impl Holder {
    /// Refuses a reservation, and starts a search unless one ended lately.
    pub(super) fn refuse(&mut self, now_us: u64, index: u32, tokens: u64) -> Refusal {
        let account = &mut self.accounts[index as usize];
        let shard = account.shard;
        if tokens > account.purchased_tokens {
            return exhausted();
        }
        let Some(active) = account.active.as_mut() else {
            return unavailable();
        };
        if matches!(active.status, Status::Stopped | Status::Closed) {
            return unavailable();
        }
        match active.search {
            Search::Dry {
                until_us,
                store_unreachable,
            } if until_us > now_us => {
                return match store_unreachable {
                    true => unavailable(),
                    false => exhausted(),
                };
            }
            Search::None | Search::Dry { .. } => {
                active.search = Search::Drawing {
                    since_us: now_us,
                    has_asked: false,
                };
            }
            Search::Drawing { .. } | Search::Asking(_) => {}
        }
        active.demand_tokens += tokens;
        active.largest_demand_tokens = active.largest_demand_tokens.max(tokens);
        if matches!(active.search, Search::Drawing { .. }) && !active.is_wanting {
            active.is_wanting = true;
        }
        self.searching.insert(index);
        self.call_by(shard, now_us);
        waiting()
    }

    /// Forgets the demand of waiting reservations, which are now tried again.
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

    /// Continues after the ledger was read: asks other holders for what is still lacking.
    pub(super) fn after_draw(&mut self, now_us: u64, index: u32, candidates: Vec<id::Incarnation>) {
        let Some(active) = self.accounts[index as usize].active.as_mut() else {
            return;
        };
        if active.need_tokens() == 0 || matches!(active.search, Search::Asking(_)) {
            return;
        }
        self.start_asking(now_us, index, candidates, true);
    }

    fn start_asking(
        &mut self,
        now_us: u64,
        index: u32,
        mut candidates: Vec<id::Incarnation>,
        has_read: bool,
    ) {
        let Some(active) = self.accounts[index as usize].active.as_mut() else {
            return;
        };
        let since_us = match &active.search {
            Search::Drawing { since_us, .. } => *since_us,
            _ => now_us,
        };
        let is_listed = active.status == Status::Listed;
        let transfers = &active.transfers;
        candidates.retain(|id| {
            let is_final = transfers.get(id).is_some_and(|t| t.is_final);
            is_listed && !is_final
        });
        candidates.reverse();
        let suspects = &self.suspects;
        let is_fresh = |id: &id::Incarnation| suspects.get(id).is_none_or(|until| *until <= now_us);
        candidates.sort_by_key(is_fresh);
        active.search = Search::Asking(Box::new(Asking {
            since_us,
            queue: candidates,
            outstanding: Vec::new(),
            until_us: now_us,
            wave: FIRST_WAVE,
            has_read,
        }));
        self.searching.insert(index);
        self.next_wave(now_us, index);
    }

    /// Asks the next holders, or ends the search after the last.
    fn next_wave(&mut self, now_us: u64, index: u32) {
        let options = &self.options;
        let account = &mut self.accounts[index as usize];
        let Some(active) = account.active.as_mut() else {
            return;
        };
        let need_tokens = active.need_tokens();
        let wish_tokens = active.target_tokens(now_us, options) / WISH_DIVISOR;
        let Search::Asking(asking) = &mut active.search else {
            return;
        };
        if asking.queue.is_empty() {
            return self.end_search(now_us, index);
        }
        let rest = asking.queue.len().saturating_sub(asking.wave);
        asking.outstanding = asking.queue.split_off(rest);
        asking.wave *= WAVE_FACTOR;
        asking.until_us = now_us + options.ask_timeout_us;
        for to in &asking.outstanding {
            let received_tokens = active.transfers.get(to).map_or(0, |t| t.received_tokens);
            let message = Message::Ask {
                budget: account.budget.clone(),
                need_tokens,
                wish_tokens,
                received_tokens,
            };
            self.out.push(Action::Send { to: *to, message });
        }
    }

    /// Notes that a holder answered a call, with or without tokens, or will not.
    pub(super) fn on_answer(&mut self, now_us: u64, index: u32, from: id::Incarnation) {
        let Some(active) = self.accounts[index as usize].active.as_mut() else {
            return;
        };
        let available_tokens = active.available_tokens();
        let (demand, largest) = (active.demand_tokens, active.largest_demand_tokens);
        let Search::Asking(asking) = &mut active.search else {
            return;
        };
        asking.outstanding.retain(|id| *id != from);
        let is_met = available_tokens >= demand;
        let is_wave_over = asking.outstanding.is_empty();
        if is_met || (is_wave_over && available_tokens >= largest) {
            self.end_search(now_us, index);
        } else if is_wave_over {
            self.next_wave(now_us, index);
        }
    }

    fn end_search(&mut self, now_us: u64, index: u32) {
        let is_shut = self.is_store_shut(now_us) || self.gate.delay_us > 0;
        let account = &mut self.accounts[index as usize];
        let Some(active) = account.active.as_mut() else {
            return;
        };
        let (since_us, has_read) = match &active.search {
            Search::Asking(asking) => (asking.since_us, asking.has_read),
            Search::Drawing { since_us, .. } => (*since_us, false),
            Search::None | Search::Dry { .. } => (now_us, true),
        };
        let is_met = active.available_tokens() >= active.largest_demand_tokens;
        let is_slow = now_us.saturating_sub(since_us) < STORE_TIMEOUT_US;
        if is_met {
            active.search = Search::None;
            active.dry_doublings = 0;
        } else if !has_read && !is_shut && is_slow {
            active.search = Search::Drawing {
                since_us,
                has_asked: true,
            };
            return;
        } else {
            let until_us = now_us + (self.options.dry_us << active.dry_doublings);
            active.dry_doublings = (active.dry_doublings + 1).min(DRY_DOUBLINGS_MAX);
            active.search = Search::Dry {
                until_us,
                store_unreachable: !has_read,
            };
            let budget = account.budget.clone();
            self.out.push(Action::Note(Note::Dry {
                budget,
                store_unreachable: !has_read,
            }));
        }
        self.wake = true;
        self.calls_due.insert(index);
    }

    /// Moves on searches whose time is up.
    pub(super) fn advance_searches(&mut self, now_us: u64) {
        let searching: Vec<u32> = self.searching.iter().copied().collect();
        for index in searching {
            self.advance_search(now_us, index);
        }
    }

    fn advance_search(&mut self, now_us: u64, index: u32) {
        let is_shut = self.is_store_shut(now_us);
        let Some(active) = self.accounts[index as usize].active.as_ref() else {
            return;
        };
        match &active.search {
            Search::Drawing {
                since_us,
                has_asked,
            } => {
                let waited_us = now_us.saturating_sub(*since_us);
                if *has_asked && (is_shut || waited_us >= STORE_TIMEOUT_US) {
                    self.end_search(now_us, index);
                } else if !*has_asked && (is_shut || waited_us >= self.options.store_patience_us) {
                    let peers = self.peers.clone();
                    self.start_asking(now_us, index, peers, false);
                }
            }
            Search::Asking(asking) if asking.until_us <= now_us => self.next_wave(now_us, index),
            Search::None | Search::Asking(_) | Search::Dry { .. } => {}
        }
    }

    /// Counts a lost holder as having answered.
    pub(super) fn on_peer_lost(&mut self, now_us: u64, peer: id::Incarnation) {
        let until_us = now_us + self.options.drawer_retry_us;
        self.suspects.insert(peer, until_us);
        let searching: Vec<u32> = self.searching.iter().copied().collect();
        for index in searching {
            self.on_answer(now_us, index, peer);
        }
        for shard in 0..self.links.len() {
            let link = &mut self.links[shard];
            if let Some(asked) = link.asked.take_if(|asked| asked.drawer == peer) {
                self.draw_directly(now_us, shard as u32, &asked);
            }
        }
    }
}
