//! Asking other holders, in waves that grow.

use peridotrack_types::id;

use super::{Asking, FIRST_WAVE, ROUNDS_MAX, Scope, Search, WAVE_FACTOR};
use crate::{
    action::Action,
    holder::Holder,
    message::{Message, Reach, Reply},
};

/// Waves
impl Holder {
    pub(super) fn ask(
        &mut self,
        now_us: u64,
        index: u32,
        scope: Scope,
        mut queue: Vec<(Reach, id::Incarnation)>,
    ) {
        let account = &mut self.accounts[index as usize];
        let link = &self.links[account.shard as usize];
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
        queue.retain(|(_, id)| *id != self.id && !link.gone.contains(id));
        queue.reverse();
        queue.sort_by_key(is_trusted);
        active.search = Search::Asking(Box::new(Asking {
            since_us,
            queue,
            outstanding: Vec::new(),
            until_us: now_us,
            wave: FIRST_WAVE,
            rounds: 0,
            givers: Vec::new(),
            scope,
            store_unreachable: scope == Scope::Cut,
        }));
        self.next_wave(now_us, index);
    }

    /// Asks the next holders, or ends the search after the last.
    pub(super) fn next_wave(&mut self, now_us: u64, index: u32) {
        let Some(active) = self.accounts[index as usize].active.as_mut() else {
            return;
        };
        let Search::Asking(asking) = &mut active.search else {
            return;
        };
        // What was given to others meanwhile is lacking again.
        let may_ask_again = !asking.givers.is_empty() && asking.rounds < ROUNDS_MAX;
        if asking.queue.is_empty() && may_ask_again {
            asking.rounds += 1;
            let givers = std::mem::take(&mut asking.givers);
            asking
                .queue
                .extend(givers.into_iter().map(|id| (Reach::Holder, id)));
        }
        let rest = asking.queue.len().saturating_sub(asking.wave);
        let wave = asking.queue.split_off(rest);
        asking.outstanding = wave.iter().map(|(_, id)| *id).collect();
        asking.wave *= WAVE_FACTOR;
        asking.until_us = now_us + self.options.ask_timeout_us;
        if wave.is_empty() {
            return self.end_search(now_us, index);
        }
        for (reach, to) in wave {
            self.send_ask(now_us, index, reach, to);
        }
    }

    /// Notes what a holder answered.
    pub(in crate::holder) fn on_answer(
        &mut self,
        now_us: u64,
        index: u32,
        from: id::Incarnation,
        answer: Reply,
        tokens: u64,
    ) {
        let Some(active) = self.accounts[index as usize].active.as_mut() else {
            return;
        };
        let needs_more = active.need_tokens() > 0;
        let Search::Asking(asking) = &mut active.search else {
            return;
        };
        if !needs_more {
            return self.end_search(now_us, index);
        }
        if !asking.outstanding.contains(&from) {
            return;
        }
        match answer {
            Reply::Unsolicited => return,
            Reply::Pending => {
                asking.until_us = now_us + self.options.pending_timeout_us;
                return;
            }
            Reply::Leaving if asking.scope == Scope::Drawer => {
                return self.pass_over(now_us, index, from);
            }
            Reply::Unreachable => asking.store_unreachable = true,
            Reply::Repeated | Reply::Final | Reply::Exhausted | Reply::Leaving => {}
        }
        if answer == Reply::Final && tokens > 0 {
            asking.givers.push(from);
        }
        let is_drawer = asking.scope == Scope::Drawer;
        let is_more = is_drawer && answer == Reply::Final && tokens > 0;
        if (is_more || answer == Reply::Repeated) && asking.rounds < ROUNDS_MAX {
            asking.rounds += 1;
            asking.until_us = now_us + self.options.ask_timeout_us;
            let reach = match is_drawer {
                true => Reach::Fleet,
                false => Reach::Holder,
            };
            return self.send_ask(now_us, index, reach, from);
        }
        asking.outstanding.retain(|id| *id != from);
        if asking.outstanding.is_empty() {
            self.next_wave(now_us, index);
        }
    }

    pub(super) fn send_ask(&mut self, now_us: u64, index: u32, reach: Reach, to: id::Incarnation) {
        let account = &self.accounts[index as usize];
        let Some(active) = account.active.as_deref() else {
            return;
        };
        let link = &self.links[account.shard as usize];
        let received_tokens = active.transfers.get(&to).map_or(0, |t| t.received_tokens);
        let message = Message::TokenRequest {
            budget: account.budget.clone(),
            need_tokens: active.need_tokens(),
            desired_tokens: active.float_tokens(now_us, &self.options),
            reach,
            member_version: match link.is_member() {
                true => link.member_version,
                false => 0,
            },
            received_tokens,
        };
        self.out.push(Action::Send { to, message });
    }
}
