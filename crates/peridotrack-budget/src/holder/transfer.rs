//! Transfers between holders, by totals since the start of each.

use peridotrack_types::{id, name};

use super::{Holder, Status, account::Call};
use crate::{
    action::{Action, Note},
    message::Message,
};

/// Time for which an unmet call is remembered.
const CALL_US: u64 = 60_000_000;
const REPEAT_MAX_US: u64 = 60_000_000;

/// Messages
impl Holder {
    pub(super) fn on_message(&mut self, now_us: u64, from: id::Incarnation, message: Message) {
        if from == self.id {
            return;
        }
        self.suspects.remove(&from);
        match message {
            Message::Draw { shard, wants } => self.on_draw(now_us, from, shard, wants),
            Message::Drawn {
                shard,
                version,
                grants,
            } => self.on_drawn(now_us, from, shard, version, grants),
            Message::Ask {
                budget,
                need_tokens,
                wish_tokens,
                received_tokens,
            } => {
                self.on_receipt(&budget, from, received_tokens);
                self.on_ask(
                    now_us,
                    from,
                    &budget,
                    need_tokens,
                    wish_tokens,
                    received_tokens,
                );
            }
            Message::Give {
                budget,
                sent_tokens,
            } => self.on_give(now_us, from, &budget, sent_tokens),
            Message::Receipt {
                budget,
                received_tokens,
            } => self.on_receipt(&budget, from, received_tokens),
        }
    }

    fn on_ask(
        &mut self,
        now_us: u64,
        from: id::Incarnation,
        budget: &name::Budget,
        need_tokens: u64,
        wish_tokens: u64,
        received_tokens: u64,
    ) {
        let Some(index) = self.listed_index(budget, from) else {
            return self.send_give(from, budget, 0);
        };
        let Some(active) = self.accounts[index as usize].active.as_mut() else {
            return;
        };
        let sent_tokens = active.transfers.get(&from).map_or(0, |t| t.sent_tokens);
        if sent_tokens > received_tokens {
            // An earlier transfer is still under way, or was lost.
            return self.send_give(from, budget, sent_tokens);
        }
        let is_searching = active.search.is_running() && active.demand_tokens > 0;
        let until_us = now_us + CALL_US;
        if is_searching && from > self.id {
            // The lower of two searching holders collects first, so that one of them succeeds.
            let call = Call {
                need_tokens,
                until_us,
                is_deferred: true,
            };
            active.calls.insert(from, call);
            return;
        }
        let available_tokens = active.available_tokens();
        let shared = match is_searching {
            true => 0,
            false => (need_tokens + wish_tokens).min(available_tokens / 2),
        };
        let tokens = need_tokens.max(shared).min(available_tokens);
        let unmet_tokens = need_tokens.saturating_sub(tokens);
        active.calls.remove(&from);
        if unmet_tokens > 0 {
            let call = Call {
                need_tokens: unmet_tokens,
                until_us,
                is_deferred: false,
            };
            active.calls.insert(from, call);
        }
        self.give(now_us, index, from, tokens);
    }

    fn on_give(
        &mut self,
        now_us: u64,
        from: id::Incarnation,
        budget: &name::Budget,
        sent_tokens: u64,
    ) {
        let Some(index) = self.listed_index(budget, from) else {
            return;
        };
        let Some(active) = self.accounts[index as usize].active.as_mut() else {
            return;
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
        if received_tokens > 0 {
            let message = Message::Receipt {
                budget: budget.clone(),
                received_tokens,
            };
            self.out.push(Action::Send { to: from, message });
        }
        self.on_answer(now_us, index, from);
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

    /// Returns the account through which tokens may move to or from another holder.
    fn listed_index(&self, budget: &name::Budget, other: id::Incarnation) -> Option<u32> {
        let index = *self.index.get(budget)?;
        let active = self.accounts[index as usize].active.as_deref()?;
        let is_final = active.transfers.get(&other).is_some_and(|t| t.is_final);
        let may_move = active.status == Status::Listed && !is_final && !self.is_closing;
        may_move.then_some(index)
    }
}

/// Sending
impl Holder {
    /// Deducts tokens and sends the new total; without tokens, the old one.
    fn give(&mut self, now_us: u64, index: u32, to: id::Incarnation, tokens: u64) {
        let repeat_us = self.options.repeat_us;
        let account = &mut self.accounts[index as usize];
        let budget = account.budget.clone();
        let Some(active) = account.active.as_mut() else {
            return;
        };
        let mut sent_tokens = active.transfers.get(&to).map_or(0, |t| t.sent_tokens);
        if tokens > 0 {
            let transfer = active.transfers.entry(to).or_default();
            transfer.sent_tokens += tokens;
            transfer.repeat_delay_us = repeat_us;
            transfer.repeat_at_us = now_us + repeat_us;
            sent_tokens = transfer.sent_tokens;
            active.sent_tokens += tokens;
            self.unacknowledged.insert(index);
            self.out.push(Action::Note(Note::Sent {
                budget: budget.clone(),
                to,
                tokens,
            }));
        }
        self.send_give(to, &budget, sent_tokens);
    }

    fn send_give(&mut self, to: id::Incarnation, budget: &name::Budget, sent_tokens: u64) {
        let message = Message::Give {
            budget: budget.clone(),
            sent_tokens,
        };
        self.out.push(Action::Send { to, message });
    }

    /// Serves calls that could not be met at once, unless requests wait here.
    pub(super) fn serve_calls(&mut self, now_us: u64, index: u32) {
        let is_closing = self.is_closing;
        let Some(active) = self.accounts[index as usize].active.as_mut() else {
            return;
        };
        if is_closing || active.status != Status::Listed || active.search.is_running() {
            return;
        }
        active.calls.retain(|_, call| call.until_us > now_us);
        let mut available_tokens = active.available_tokens();
        let mut gifts = Vec::new();
        for (to, call) in &mut active.calls {
            let tokens = call.need_tokens.min(available_tokens);
            if tokens > 0 || call.is_deferred {
                gifts.push((*to, tokens));
            }
            call.is_deferred = false;
            call.need_tokens -= tokens;
            available_tokens -= tokens;
        }
        active.calls.retain(|_, call| call.need_tokens > 0);
        for (to, tokens) in gifts {
            self.give(now_us, index, to, tokens);
        }
    }

    /// Repeats transfers that were not acknowledged.
    pub(super) fn repeat_transfers(&mut self, now_us: u64) {
        let indexes: Vec<u32> = self.unacknowledged.iter().copied().collect();
        for index in indexes {
            let budget = self.accounts[index as usize].budget.clone();
            let Some(active) = self.accounts[index as usize].active.as_mut() else {
                continue;
            };
            let mut is_open = false;
            let mut due = Vec::new();
            for (to, transfer) in &mut active.transfers {
                if transfer.acknowledged_tokens >= transfer.sent_tokens || transfer.is_final {
                    continue;
                }
                is_open = true;
                if transfer.repeat_at_us <= now_us {
                    transfer.repeat_delay_us = (transfer.repeat_delay_us * 2).min(REPEAT_MAX_US);
                    transfer.repeat_at_us = now_us + transfer.repeat_delay_us;
                    due.push((*to, transfer.sent_tokens));
                }
            }
            if !is_open || active.status != Status::Listed {
                self.unacknowledged.remove(&index);
            }
            for (to, sent_tokens) in due {
                self.send_give(to, &budget, sent_tokens);
            }
        }
    }
}
