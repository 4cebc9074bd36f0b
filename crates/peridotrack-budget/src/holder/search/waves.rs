//! Sends token requests to other holders in growing waves.
//!
//! A wave ends when all its holders have replied or it times out. The search ends when enough was
//! found or nobody is left to ask.

use peridotrack_types::id;

use super::{FIRST_WAVE_HOLDERS, PeerSearch, ROUNDS_MAX, Scope, Search, WAVE_FACTOR};
use crate::{
    action::Action,
    holder::Holder,
    message::{Message, Reach, Reply},
};

/// Waves of token requests.
impl Holder {
    /// Starts a search that asks the queued holders in order, suspects last.
    pub(super) fn request_from(
        &mut self,
        now_us: u64,
        index: u32,
        scope: Scope,
        mut queue: Vec<(Reach, id::Incarnation)>,
    ) {
        let account = &mut self.accounts[index as usize];
        let state = &self.shards[account.shard as usize];
        let Some(active) = account.active.as_mut() else {
            return;
        };
        let since_us = match &active.search {
            Search::Drawing { since_us, .. } => *since_us,
            _ => now_us,
        };
        let suspects = &self.suspects;
        let is_trusted = |(_, id): &(Reach, id::Incarnation)| {
            suspects.get(id).is_none_or(|until_us| *until_us <= now_us)
        };
        queue.retain(|(_, id)| *id != self.id && !state.gone.contains(id));
        queue.reverse();
        queue.sort_by_key(is_trusted);
        active.search = Search::Peers(Box::new(PeerSearch {
            since_us,
            queue,
            outstanding: Vec::new(),
            until_us: now_us,
            wave: FIRST_WAVE_HOLDERS,
            rounds: 0,
            donors: Vec::new(),
            scope,
            store_unreachable: scope == Scope::StoreUnreachable,
        }));
        self.next_wave(now_us, index);
    }

    /// Asks the next wave of holders, or ends the search after the last.
    pub(super) fn next_wave(&mut self, now_us: u64, index: u32) {
        let Some(active) = self.accounts[index as usize].active.as_mut() else {
            return;
        };
        let Search::Peers(peer_search) = &mut active.search else {
            return;
        };
        // Tokens that were transferred away during the search are lacking again, so donors are
        // asked once more.
        let may_ask_again = !peer_search.donors.is_empty() && peer_search.rounds < ROUNDS_MAX;
        if peer_search.queue.is_empty() && may_ask_again {
            peer_search.rounds += 1;
            let donors = std::mem::take(&mut peer_search.donors);
            peer_search
                .queue
                .extend(donors.into_iter().map(|id| (Reach::Holder, id)));
        }
        let rest = peer_search.queue.len().saturating_sub(peer_search.wave);
        let wave = peer_search.queue.split_off(rest);
        peer_search.outstanding = wave.iter().map(|(_, id)| *id).collect();
        peer_search.wave *= WAVE_FACTOR;
        peer_search.until_us = now_us + self.options.ask_timeout_us;
        if wave.is_empty() {
            return self.end_search(now_us, index);
        }
        for (reach, to) in wave {
            self.send_token_request(now_us, index, reach, to);
        }
    }

    /// Records the reply of a holder and continues or ends the search.
    pub(in crate::holder) fn on_reply(
        &mut self,
        now_us: u64,
        index: u32,
        from: id::Incarnation,
        reply: Reply,
        tokens: u64,
    ) {
        let Some(active) = self.accounts[index as usize].active.as_mut() else {
            return;
        };
        let needs_more = active.need_tokens() > 0;
        let Search::Peers(peer_search) = &mut active.search else {
            return;
        };
        if !needs_more {
            return self.end_search(now_us, index);
        }
        if !peer_search.outstanding.contains(&from) {
            return;
        }
        match reply {
            Reply::Unsolicited => return,
            Reply::Pending => {
                peer_search.until_us = now_us + self.options.pending_timeout_us;
                return;
            }
            Reply::Leaving if peer_search.scope == Scope::Coordinator => {
                return self.skip_coordinator(now_us, index, from);
            }
            Reply::Unreachable => peer_search.store_unreachable = true,
            Reply::Repeated | Reply::Final | Reply::Exhausted | Reply::Leaving => {}
        }
        if reply == Reply::Final && tokens > 0 {
            peer_search.donors.push(from);
        }
        let is_coordinator = peer_search.scope == Scope::Coordinator;
        let may_have_more = is_coordinator && reply == Reply::Final && tokens > 0;
        if (may_have_more || reply == Reply::Repeated) && peer_search.rounds < ROUNDS_MAX {
            peer_search.rounds += 1;
            peer_search.until_us = now_us + self.options.ask_timeout_us;
            let reach = match is_coordinator {
                true => Reach::Fleet,
                false => Reach::Holder,
            };
            return self.send_token_request(now_us, index, reach, from);
        }
        peer_search.outstanding.retain(|id| *id != from);
        if peer_search.outstanding.is_empty() {
            self.next_wave(now_us, index);
        }
    }

    /// Requests what waiting reservations and token requests lack, and a refill of the buffer.
    pub(super) fn send_token_request(
        &mut self,
        now_us: u64,
        index: u32,
        reach: Reach,
        to: id::Incarnation,
    ) {
        let account = &self.accounts[index as usize];
        let Some(active) = account.active.as_deref() else {
            return;
        };
        let state = &self.shards[account.shard as usize];
        let received_tokens = active.transfers.get(&to).map_or(0, |t| t.received_tokens);
        let message = Message::TokenRequest {
            budget: account.budget.clone(),
            need_tokens: active.need_tokens(),
            desired_tokens: active.buffer_tokens(now_us, &self.options),
            reach,
            member_version: match state.is_member() {
                true => state.member_version,
                false => 0,
            },
            received_tokens,
            available_tokens: active.available_tokens(),
        };
        self.actions.push(Action::Send { to, message });
    }
}
