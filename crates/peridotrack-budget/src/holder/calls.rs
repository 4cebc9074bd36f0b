//! Calls of other holders that could not be met at once.

use super::{Holder, account::Call};
use crate::message::{Reach, Reply};

/// Time for which an unmet call is remembered.
const CALL_US: u64 = 60_000_000;

impl Holder {
    /// Serves calls, and searches for what those of the own peers still lack.
    pub(super) fn settle_calls(&mut self, now_us: u64, index: u32) {
        let Some(active) = self.accounts[index as usize].active.as_ref() else {
            return;
        };
        let is_waiting = |call: &Call| call.is_deferred && call.reach == Reach::Fleet;
        let waiting = active.calls.values().filter(|call| is_waiting(call));
        let waiting_tokens: u64 = waiting.map(|call| call.need_tokens).sum();
        let is_short = waiting_tokens > active.available_tokens();
        let may_search = active.search.dry_answer(now_us).is_none() && active.is_open();
        if is_short && may_search && !self.is_closing {
            self.start_search(now_us, index);
        }
        self.serve_calls(now_us, index, None);
    }

    /// Serves calls that could not be met at once.
    ///
    /// While a search runs, only those that can be met in full. With a reach, only calls of
    /// that reach: tokens that came unasked would otherwise go back and forth.
    pub(super) fn serve_calls(&mut self, now_us: u64, index: u32, only: Option<Reach>) {
        if self.is_closing {
            return;
        }
        let Some(active) = self.accounts[index as usize].active.as_mut() else {
            return;
        };
        active.calls.retain(|_, call| call.until_us > now_us);
        let dry_answer = active.search.dry_answer(now_us);
        let is_searching = active.search.is_running();
        // What the own waiting requests were just found is theirs.
        let own_tokens = match dry_answer {
            Some(_) => 0,
            None => active.demand_tokens,
        };
        let mut available_tokens = active.available_tokens().saturating_sub(own_tokens);
        let mut gifts = Vec::new();
        let mut calls: Vec<_> = active.calls.iter_mut().collect();
        calls.sort_by_key(|(_, call)| !call.is_deferred);
        for (to, call) in calls {
            if only.is_some_and(|reach| reach != call.reach) {
                continue;
            }
            let Some(tokens) = call.share(available_tokens, is_searching) else {
                continue;
            };
            call.need_tokens -= tokens;
            available_tokens -= tokens;
            let answer = match (call.is_deferred, call.need_tokens, dry_answer) {
                (false, _, _) => Reply::Unsolicited,
                (true, 1.., Some(answer)) if call.reach == Reach::Fleet => answer,
                (true, _, _) => Reply::Final,
            };
            call.is_deferred = false;
            gifts.push((*to, tokens, answer));
        }
        active.calls.retain(|_, call| call.need_tokens > 0);
        for (to, tokens, answer) in gifts {
            self.give(now_us, index, to, tokens, answer);
        }
    }
}

impl Call {
    pub(super) fn unmet(now_us: u64, need_tokens: u64, reach: Reach) -> Self {
        Self {
            need_tokens,
            reach,
            until_us: now_us + CALL_US,
            is_deferred: false,
            is_joining: false,
        }
    }

    /// Returns the tokens to give now, or `None` to let the call wait.
    fn share(&self, available_tokens: u64, is_searching: bool) -> Option<u64> {
        let is_met = available_tokens >= self.need_tokens;
        match (self.is_joining, is_met, self.reach) {
            (true, _, _) => None,
            (false, true, _) => Some(self.need_tokens),
            (false, false, _) if is_searching => None,
            // The caller can use only the whole.
            (false, false, Reach::Fleet) => self.is_deferred.then_some(0),
            (false, false, Reach::Domain | Reach::Holder | Reach::Now) => {
                let tokens = self.need_tokens.min(available_tokens);
                (tokens > 0 || self.is_deferred).then_some(tokens)
            }
        }
    }
}
