//! Transfers between holders, by totals since the start of each.

use peridotrack_types::{id, name};

use super::{
    Holder, Status,
    account::{Active, Call},
};
use crate::{
    action::{Action, Note},
    message::{Message, Reach, Reply},
};

/// Time after which the caller of a deferred call no longer waits.
const DEFERRED_US: u64 = 3_500_000;
const REPEAT_MAX_US: u64 = 60_000_000;

/// Call of another holder, as received.
struct Asked {
    need_tokens: u64,
    desired_tokens: u64,
    reach: Reach,
    member_version: u64,
    received_tokens: u64,
}

/// Messages
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
            } => {
                let asked = Asked {
                    need_tokens,
                    desired_tokens,
                    reach,
                    member_version,
                    received_tokens,
                };
                self.on_receipt(&budget, from, received_tokens);
                self.on_ask(now_us, from, &budget, &asked);
            }
            Message::Transfer {
                budget,
                sent_tokens,
                reply,
                is_scarce,
            } => {
                self.note_scarce(&budget, is_scarce);
                self.on_give(now_us, from, &budget, sent_tokens, reply);
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

    fn on_ask(&mut self, now_us: u64, from: id::Incarnation, budget: &name::Budget, asked: &Asked) {
        let Some(&index) = self.index.get(budget) else {
            return self.send_give(from, budget, 0, Reply::Exhausted);
        };
        self.activate(now_us, index);
        if !self.may_move(index, from) {
            return self.answer(index, from, Reply::Leaving);
        }
        let shard = self.accounts[index as usize].shard;
        let link = &mut self.links[shard as usize];
        if asked.member_version == 0 {
            link.joins.insert(from);
            if self.is_store_shut(now_us) {
                return self.answer(index, from, Reply::Unreachable);
            }
            self.defer(now_us, index, from, asked, true);
            self.settle_calls(now_us, index);
            return self.call_by(shard, now_us + self.options.urgent_merge_us);
        }
        // A body older than the caller's membership would show it as having closed.
        link.version = link.version.max(asked.member_version);
        let Some(active) = self.accounts[index as usize].active.as_mut() else {
            return;
        };
        let sent_tokens = active.transfers.get(&from).map_or(0, |t| t.sent_tokens);
        if sent_tokens > asked.received_tokens {
            // An earlier transfer is still under way, or was lost.
            return self.answer(index, from, Reply::Repeated);
        }
        active.calls.remove(&from);
        match asked.reach {
            Reach::Now | Reach::Holder => self.give_at_hand(now_us, index, from, asked),
            Reach::Domain => self.give_domain(now_us, index, from, asked),
            Reach::Fleet => self.give_fleet(now_us, index, from, asked),
        }
    }

    /// Gives what there is, as far as it was asked for.
    fn give_at_hand(&mut self, now_us: u64, index: u32, to: id::Incarnation, asked: &Asked) {
        let sharers = self.peers.len() as u64 + 1;
        let Some(active) = self.accounts[index as usize].active.as_mut() else {
            return;
        };
        if asked.reach != Reach::Fleet && asked.need_tokens > 0 {
            // Tokens are scarce: draw no more than is needed.
            active.low_water_tokens = 0;
        }
        let available_tokens = active.available_tokens();
        let shared_tokens = match active.search.is_running() || active.is_scarce {
            true => 0,
            false => {
                (asked.need_tokens + asked.desired_tokens).min(available_tokens / sharers.max(2))
            }
        };
        let tokens = asked.need_tokens.max(shared_tokens).min(available_tokens);
        let unmet_tokens = asked.need_tokens.saturating_sub(tokens);
        if unmet_tokens > 0 && asked.reach != Reach::Now {
            active
                .calls
                .insert(to, Call::unmet(now_us, unmet_tokens, asked.reach));
        }
        self.give(now_us, index, to, tokens, Reply::Final);
    }

    fn give_domain(&mut self, now_us: u64, index: u32, to: id::Incarnation, asked: &Asked) {
        let Some(active) = self.accounts[index as usize].active.as_mut() else {
            return;
        };
        let is_searching = active.search.is_running();
        let is_short = active.available_tokens() < asked.need_tokens;
        if is_searching && to > self.id {
            // The lower of two searching holders collects first, so that one of them succeeds.
            self.defer(now_us, index, to, asked, false);
        } else if is_short && !is_searching && !self.peers.is_empty() {
            self.defer(now_us, index, to, asked, false);
            self.search_domain(now_us, index);
        } else {
            self.give_at_hand(now_us, index, to, asked);
        }
    }

    fn give_fleet(&mut self, now_us: u64, index: u32, to: id::Incarnation, asked: &Asked) {
        let Some(active) = self.accounts[index as usize].active.as_mut() else {
            return;
        };
        if active.available_tokens() >= asked.need_tokens {
            return self.give_at_hand(now_us, index, to, asked);
        }
        if let Some(answer) = active.search.dry_answer(now_us) {
            let call = Call::unmet(now_us, asked.need_tokens, asked.reach);
            active.calls.insert(to, call);
            return self.answer(index, to, answer);
        }
        self.defer(now_us, index, to, asked, false);
        self.start_search(now_us, index);
    }

    /// Keeps a call until a search ends or the caller is a member.
    fn defer(
        &mut self,
        now_us: u64,
        index: u32,
        from: id::Incarnation,
        asked: &Asked,
        is_joining: bool,
    ) {
        if let Some(active) = self.accounts[index as usize].active.as_mut() {
            let call = Call {
                until_us: now_us + DEFERRED_US,
                is_deferred: true,
                is_joining,
                ..Call::unmet(now_us, asked.need_tokens, asked.reach)
            };
            active.calls.insert(from, call);
        }
        self.answer(index, from, Reply::Pending);
    }

    /// Takes over what a holder that reads the ledger says; one that reads it itself knows.
    fn note_scarce(&mut self, budget: &name::Budget, is_scarce: bool) {
        let Some(&index) = self.index.get(budget) else {
            return;
        };
        if let Some(active) = self.accounts[index as usize].active.as_mut()
            && active.status == Status::Unlisted
        {
            active.is_scarce = is_scarce;
        }
    }

    fn on_give(
        &mut self,
        now_us: u64,
        from: id::Incarnation,
        budget: &name::Budget,
        sent_tokens: u64,
        answer: Reply,
    ) {
        let Some(&index) = self.index.get(budget) else {
            return;
        };
        let mut tokens = 0;
        if sent_tokens > 0 {
            let shard = self.accounts[index as usize].shard;
            if !self.may_move(index, from) {
                return;
            }
            if !self.links[shard as usize].is_member() {
                // The message that told the membership was lost; the transfer comes again.
                self.activate(now_us, index);
                return self.call_by(shard, now_us + self.options.merge_us);
            }
            tokens = self.receive(now_us, index, from, sent_tokens);
        }
        let Some(active) = self.accounts[index as usize].active.as_mut() else {
            return;
        };
        if answer != Reply::Pending {
            let float_tokens = active.float_tokens(now_us, &self.options);
            if active.status == Status::Unlisted {
                active.low_water_tokens =
                    (float_tokens as f64 * self.options.low_water_part) as u64;
                active.has_asked_ahead = false;
            }
        }
        self.on_answer(now_us, index, from, answer, tokens);
        if tokens > 0 && answer == Reply::Unsolicited {
            self.serve_calls(now_us, index, Some(Reach::Fleet));
        }
    }

    /// Credits what a total exceeds the known one by, and acknowledges it.
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
        active.received_tokens += tokens;
        let received_tokens = transfer.received_tokens;
        if tokens > 0 {
            self.out.push(Action::Note(Note::Received {
                budget: budget.clone(),
                from,
                tokens,
            }));
        }
        let message = Message::Receipt {
            budget,
            received_tokens,
        };
        self.out.push(Action::Send { to: from, message });
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

    /// Returns whether tokens may move between this holder and another.
    fn may_move(&self, index: u32, other: id::Incarnation) -> bool {
        let account = &self.accounts[index as usize];
        let link = &self.links[account.shard as usize];
        let status = account.active.as_deref().map(|active| active.status);
        let is_open = !matches!(status, Some(Status::Stopped | Status::Closed));
        is_open && !link.is_gone && !link.gone.contains(&other) && !self.is_closing
    }
}

/// Sending
impl Holder {
    /// Deducts tokens and sends the new total; without tokens, the old one.
    pub(super) fn give(
        &mut self,
        now_us: u64,
        index: u32,
        to: id::Incarnation,
        tokens: u64,
        answer: Reply,
    ) {
        if !self.may_move(index, to) {
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
            transfer.repeat_delay_us = repeat_us;
            transfer.repeat_at_us = now_us + repeat_us;
            active.sent_tokens += tokens;
            active.last_use_us = now_us;
            active.given.add(now_us, half_life_us, tokens as f64);
            self.unacknowledged.insert(index);
            self.out
                .push(Action::Note(Note::Sent { budget, to, tokens }));
        }
        let is_low = active.available_tokens() < active.low_water_tokens;
        if tokens > 0 && is_low {
            self.draw_ahead(now_us, index);
        }
        self.answer(index, to, answer);
    }

    fn answer(&mut self, index: u32, to: id::Incarnation, answer: Reply) {
        let account = &self.accounts[index as usize];
        let transfers = account.active.as_deref().map(|active| &active.transfers);
        let transfer = transfers.and_then(|transfers| transfers.get(&to));
        let sent_tokens = transfer.map_or(0, |transfer| transfer.sent_tokens);
        let budget = account.budget.clone();
        self.send_give(to, &budget, sent_tokens, answer);
    }

    fn send_give(
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
        self.out.push(Action::Send { to, message });
    }

    /// Repeats transfers that were not acknowledged.
    pub(super) fn repeat_transfers(&mut self, now_us: u64) {
        let indexes: Vec<u32> = self.unacknowledged.iter().copied().collect();
        for index in indexes {
            let account = &mut self.accounts[index as usize];
            let budget = account.budget.clone();
            let gone = &self.links[account.shard as usize].gone;
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
                    transfer.repeat_delay_us = (transfer.repeat_delay_us * 2).min(REPEAT_MAX_US);
                    transfer.repeat_at_us = now_us + transfer.repeat_delay_us;
                    due.push((*to, transfer.sent_tokens));
                }
            }
            if !is_open || !active.is_open() {
                self.unacknowledged.remove(&index);
            }
            for (to, sent_tokens) in due {
                self.send_give(to, &budget, sent_tokens, Reply::Unsolicited);
            }
        }
    }
}

impl Active {
    pub(super) fn is_open(&self) -> bool {
        matches!(self.status, Status::Unlisted | Status::Listed)
    }
}
