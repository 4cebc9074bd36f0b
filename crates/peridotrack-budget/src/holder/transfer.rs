//! Transfers between holders, by totals since the start of their incarnations.
//!
//! The sender deducts tokens before it reports its new total and retransmits the total until the
//! receiver acknowledges it. The receiver credits the difference to the total it knows.

use peridotrack_types::{id, name};

use super::{
    Holder, Status,
    account::{Active, PendingRequest},
};
use crate::{
    action::{Action, Note},
    message::{Message, Reach, Reply},
};

const REPEAT_DELAY_MAX_US: u64 = 60_000_000;

/// Token request of another holder, as received.
struct TokenRequest {
    need_tokens: u64,
    desired_tokens: u64,
    reach: Reach,
    member_version: u64,
    received_tokens: u64,
    available_tokens: u64,
}

/// Received messages.
impl Holder {
    pub(super) fn on_message(&mut self, now_us: u64, from: id::Incarnation, message: Message) {
        if from == self.id {
            return;
        }
        self.suspects.remove(&from);
        match message {
            Message::TokenRequest {
                budget,
                need_tokens,
                desired_tokens,
                reach,
                member_version,
                received_tokens,
                available_tokens,
            } => {
                let request = TokenRequest {
                    need_tokens,
                    desired_tokens,
                    reach,
                    member_version,
                    received_tokens,
                    available_tokens,
                };
                self.on_receipt(&budget, from, received_tokens);
                self.on_token_request(now_us, from, &budget, &request);
            }
            Message::Transfer {
                budget,
                sent_tokens,
                reply,
                is_scarce,
            } => {
                self.record_scarcity(&budget, is_scarce);
                self.on_transfer(now_us, from, &budget, sent_tokens, reply);
            }
            Message::Receipt {
                budget,
                received_tokens,
            } => self.on_receipt(&budget, from, received_tokens),
            Message::Joined {
                shard,
                version,
                gone,
            } => self.on_joined(now_us, shard, version, gone),
        }
    }

    fn on_token_request(
        &mut self,
        now_us: u64,
        from: id::Incarnation,
        budget: &name::Budget,
        request: &TokenRequest,
    ) {
        let Some(&index) = self.index.get(budget) else {
            return self.send_transfer(from, budget, 0, Reply::Exhausted);
        };
        self.activate(now_us, index);
        self.record_counterparty(index, from, request);
        if !self.may_transfer(index, from) {
            return self.send_reply(index, from, Reply::Leaving);
        }
        let shard = self.accounts[index as usize].shard;
        let state = &mut self.shards[shard as usize];
        if request.member_version == 0 {
            state.joins.insert(from);
            if self.is_store_backing_off(now_us) {
                return self.send_reply(index, from, Reply::Unreachable);
            }
            self.defer(now_us, index, from, request, true);
            self.handle_requests(now_us, index);
            return self.schedule_call(shard, now_us + self.options.urgent_merge_us);
        }
        // Contents older than the requester's membership would show the requester as closed.
        state.version = state.version.max(request.member_version);
        let Some(active) = self.accounts[index as usize].active.as_mut() else {
            return;
        };
        let sent_tokens = active.transfers.get(&from).map_or(0, |t| t.sent_tokens);
        if sent_tokens > request.received_tokens {
            // An earlier transfer was lost or is still in flight.
            return self.send_reply(index, from, Reply::Repeated);
        }
        active.pending_requests.remove(&from);
        match request.reach {
            Reach::Now | Reach::Holder => self.transfer_available(now_us, index, from, request),
            Reach::Domain => self.serve_domain_request(now_us, index, from, request),
            Reach::Fleet => self.serve_fleet_request(now_us, index, from, request),
        }
    }

    /// Records the tokens that a requester holds, those in transit to it included.
    fn record_counterparty(&mut self, index: u32, from: id::Incarnation, request: &TokenRequest) {
        let Some(active) = self.accounts[index as usize].active.as_mut() else {
            return;
        };
        let transfer = active.transfers.entry(from).or_default();
        let in_transit_tokens = transfer.sent_tokens.saturating_sub(request.received_tokens);
        transfer.counterparty_tokens = request.available_tokens.saturating_add(in_transit_tokens);
        active.count_peer_tokens(&self.peers);
    }

    /// Transfers the available tokens, as far as they were requested.
    fn transfer_available(
        &mut self,
        now_us: u64,
        index: u32,
        to: id::Incarnation,
        request: &TokenRequest,
    ) {
        let holders = self.peers.len() as u64 + 1;
        let Some(active) = self.accounts[index as usize].active.as_mut() else {
            return;
        };
        if request.reach != Reach::Fleet && request.need_tokens > 0 {
            // Tokens are scarce: stop drawing more than is needed.
            active.low_water_tokens = 0;
        }
        let available_tokens = active.available_tokens();
        let shared_tokens = match active.search.is_running() || active.is_scarce {
            true => 0,
            false => {
                let ahead_tokens = active.ahead_tokens(
                    now_us,
                    &self.options,
                    request.desired_tokens,
                    request.available_tokens,
                );
                (request.need_tokens + ahead_tokens).min(available_tokens / holders.max(2))
            }
        };
        let tokens = request.need_tokens.max(shared_tokens).min(available_tokens);
        let unmet_tokens = request.need_tokens.saturating_sub(tokens);
        if unmet_tokens > 0 && request.reach != Reach::Now {
            active.pending_requests.insert(
                to,
                PendingRequest::unmet(now_us, unmet_tokens, request.reach, &self.options),
            );
        }
        self.transfer_tokens(now_us, index, to, tokens, Reply::Final);
    }

    /// Transfers what a coordinator of another failure domain requested, after a search among the
    /// local peers if too few tokens are available.
    fn serve_domain_request(
        &mut self,
        now_us: u64,
        index: u32,
        to: id::Incarnation,
        request: &TokenRequest,
    ) {
        let Some(active) = self.accounts[index as usize].active.as_mut() else {
            return;
        };
        let is_searching = active.search.is_running();
        let is_short = active.available_tokens() < request.need_tokens;
        if is_searching && to > self.id {
            // Of two searching holders, the lower incarnation collects first, so that one of them
            // succeeds.
            self.defer(now_us, index, to, request, false);
        } else if is_short && !is_searching && !self.peers.is_empty() {
            self.defer(now_us, index, to, request, false);
            self.search_domain(now_us, index);
        } else {
            self.transfer_available(now_us, index, to, request);
        }
    }

    /// Transfers what was requested, after a search of the ledger and the other holders if too few
    /// tokens are available.
    fn serve_fleet_request(
        &mut self,
        now_us: u64,
        index: u32,
        to: id::Incarnation,
        request: &TokenRequest,
    ) {
        let Some(active) = self.accounts[index as usize].active.as_mut() else {
            return;
        };
        if active.available_tokens() >= request.need_tokens {
            return self.transfer_available(now_us, index, to, request);
        }
        if let Some(reply) = active.search.exhausted_reply(now_us) {
            let pending =
                PendingRequest::unmet(now_us, request.need_tokens, request.reach, &self.options);
            active.pending_requests.insert(to, pending);
            return self.send_reply(index, to, reply);
        }
        self.defer(now_us, index, to, request, false);
        self.start_search(now_us, index);
    }

    /// Keeps a request until a search ends or the requester is a member.
    fn defer(
        &mut self,
        now_us: u64,
        index: u32,
        from: id::Incarnation,
        request: &TokenRequest,
        is_joining: bool,
    ) {
        if let Some(active) = self.accounts[index as usize].active.as_mut() {
            let pending = PendingRequest {
                // The requester no longer waits then, and may not receive what is sent to it.
                until_us: now_us + self.options.pending_timeout_us + self.options.store_wait_us,
                is_deferred: true,
                is_joining,
                ..PendingRequest::unmet(now_us, request.need_tokens, request.reach, &self.options)
            };
            active.pending_requests.insert(from, pending);
        }
        self.send_reply(index, from, Reply::Pending);
    }

    /// Records whether another holder regards the budget as scarce, unless this holder has a row
    /// and so reads the ledger itself.
    fn record_scarcity(&mut self, budget: &name::Budget, is_scarce: bool) {
        let Some(&index) = self.index.get(budget) else {
            return;
        };
        if let Some(active) = self.accounts[index as usize].active.as_mut()
            && active.status == Status::Unlisted
        {
            active.is_scarce = is_scarce;
        }
    }

    fn on_transfer(
        &mut self,
        now_us: u64,
        from: id::Incarnation,
        budget: &name::Budget,
        sent_tokens: u64,
        reply: Reply,
    ) {
        let Some(&index) = self.index.get(budget) else {
            return;
        };
        let mut tokens = 0;
        if sent_tokens > 0 {
            let shard = self.accounts[index as usize].shard;
            if !self.may_transfer(index, from) {
                return;
            }
            if !self.shards[shard as usize].is_member() {
                // The message that reported the membership was lost; the transfer will be
                // retransmitted.
                self.activate(now_us, index);
                return self.schedule_call(shard, now_us + self.options.merge_us);
            }
            tokens = self.receive(now_us, index, from, sent_tokens);
        }
        let Some(active) = self.accounts[index as usize].active.as_mut() else {
            return;
        };
        if reply != Reply::Pending {
            let buffer_tokens = active.buffer_tokens(now_us, &self.options);
            if active.status == Status::Unlisted {
                active.low_water_tokens =
                    (buffer_tokens as f64 * self.options.low_water_part) as u64;
                active.has_requested_ahead = false;
            }
        }
        self.on_reply(now_us, index, from, reply, tokens);
        if tokens > 0 && reply == Reply::Unsolicited {
            self.serve_requests(now_us, index, Some(Reach::Fleet));
        }
    }

    /// Credits the difference between a reported total and the known one, and acknowledges the
    /// total.
    fn receive(&mut self, now_us: u64, index: u32, from: id::Incarnation, sent_tokens: u64) -> u64 {
        self.activate(now_us, index);
        let account = &mut self.accounts[index as usize];
        let budget = account.budget.clone();
        let Some(active) = account.active.as_mut() else {
            return 0;
        };
        let transfer = active.transfers.entry(from).or_default();
        let tokens = sent_tokens.saturating_sub(transfer.received_tokens);
        transfer.received_tokens += tokens;
        transfer.counterparty_tokens = transfer.counterparty_tokens.saturating_sub(tokens);
        let received_tokens = transfer.received_tokens;
        active.received_tokens += tokens;
        active.count_peer_tokens(&self.peers);
        if tokens > 0 {
            self.actions.push(Action::Note(Note::Received {
                budget: budget.clone(),
                from,
                tokens,
            }));
        }
        let message = Message::Receipt {
            budget,
            received_tokens,
        };
        self.actions.push(Action::Send { to: from, message });
        tokens
    }

    fn on_receipt(&mut self, budget: &name::Budget, from: id::Incarnation, received_tokens: u64) {
        let Some(&index) = self.index.get(budget) else {
            return;
        };
        let Some(active) = self.accounts[index as usize].active.as_mut() else {
            return;
        };
        if let Some(transfer) = active.transfers.get_mut(&from) {
            transfer.acknowledged_tokens = transfer.acknowledged_tokens.max(received_tokens);
        }
    }

    /// Returns whether tokens may be transferred between this holder and another.
    fn may_transfer(&self, index: u32, other: id::Incarnation) -> bool {
        let account = &self.accounts[index as usize];
        let state = &self.shards[account.shard as usize];
        let status = account.active.as_deref().map(|active| active.status);
        let is_open = !matches!(status, Some(Status::Stopped | Status::Closed));
        is_open && !state.is_gone && !state.gone.contains(&other) && !self.is_closing
    }
}

/// Sent messages.
impl Holder {
    /// Deducts tokens and sends the new total. With 0 tokens, sends the previous total.
    pub(super) fn transfer_tokens(
        &mut self,
        now_us: u64,
        index: u32,
        to: id::Incarnation,
        tokens: u64,
        reply: Reply,
    ) {
        if !self.may_transfer(index, to) {
            return;
        }
        let repeat_us = self.options.repeat_us;
        let half_life_us = self.options.rate_half_life_us;
        let account = &mut self.accounts[index as usize];
        let budget = account.budget.clone();
        let Some(active) = account.active.as_mut() else {
            return;
        };
        if tokens > 0 {
            let transfer = active.transfers.entry(to).or_default();
            transfer.sent_tokens += tokens;
            transfer.counterparty_tokens = transfer.counterparty_tokens.saturating_add(tokens);
            transfer.repeat_delay_us = repeat_us;
            transfer.repeat_at_us = now_us + repeat_us;
            active.sent_tokens += tokens;
            active.count_peer_tokens(&self.peers);
            active.last_use_us = now_us;
            active
                .transfer_rate
                .add(now_us, half_life_us, tokens as f64);
            self.unacknowledged.insert(index);
            self.actions
                .push(Action::Note(Note::Sent { budget, to, tokens }));
        }
        let is_low = active.available_tokens() < active.low_water_tokens;
        if tokens > 0 && is_low {
            self.draw_ahead(now_us, index);
        }
        self.send_reply(index, to, reply);
    }

    /// Sends a reply with the current total.
    fn send_reply(&mut self, index: u32, to: id::Incarnation, reply: Reply) {
        let account = &self.accounts[index as usize];
        let transfers = account.active.as_deref().map(|active| &active.transfers);
        let transfer = transfers.and_then(|transfers| transfers.get(&to));
        let sent_tokens = transfer.map_or(0, |transfer| transfer.sent_tokens);
        let budget = account.budget.clone();
        self.send_transfer(to, &budget, sent_tokens, reply);
    }

    fn send_transfer(
        &mut self,
        to: id::Incarnation,
        budget: &name::Budget,
        sent_tokens: u64,
        reply: Reply,
    ) {
        let index = self.index.get(budget);
        let active = index.and_then(|index| self.accounts[*index as usize].active.as_deref());
        let message = Message::Transfer {
            budget: budget.clone(),
            sent_tokens,
            reply,
            is_scarce: active.is_some_and(|active| active.is_scarce),
        };
        self.actions.push(Action::Send { to, message });
    }

    /// Retransmits transfers that were not acknowledged in time.
    pub(super) fn repeat_transfers(&mut self, now_us: u64) {
        let indexes: Vec<u32> = self.unacknowledged.iter().copied().collect();
        for index in indexes {
            let account = &mut self.accounts[index as usize];
            let budget = account.budget.clone();
            let gone = &self.shards[account.shard as usize].gone;
            let Some(active) = account.active.as_mut() else {
                continue;
            };
            let mut due = Vec::new();
            let mut is_open = false;
            for (to, transfer) in &mut active.transfers {
                if transfer.acknowledged_tokens >= transfer.sent_tokens || gone.contains(to) {
                    continue;
                }
                is_open = true;
                if transfer.repeat_at_us <= now_us {
                    transfer.repeat_delay_us =
                        (transfer.repeat_delay_us * 2).min(REPEAT_DELAY_MAX_US);
                    transfer.repeat_at_us = now_us + transfer.repeat_delay_us;
                    due.push((*to, transfer.sent_tokens));
                }
            }
            if !is_open || !active.is_open() {
                self.unacknowledged.remove(&index);
            }
            for (to, sent_tokens) in due {
                self.send_transfer(to, &budget, sent_tokens, Reply::Unsolicited);
            }
        }
    }
}

impl Active {
    pub(super) fn is_open(&self) -> bool {
        matches!(self.status, Status::Unlisted | Status::Listed)
    }
}
