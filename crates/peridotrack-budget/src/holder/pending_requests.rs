//! Token requests of other holders that could not be satisfied at once.

use super::{Holder, account::PendingRequest};
use crate::{
    message::{Reach, Reply},
    options::Options,
};

impl Holder {
    /// Serves pending requests, and searches for what fleet-wide requests still lack.
    pub(super) fn handle_requests(&mut self, now_us: u64, index: u32) {
        let Some(active) = self.accounts[index as usize].active.as_ref() else {
            return;
        };
        let is_waiting =
            |pending: &PendingRequest| pending.is_deferred && pending.reach == Reach::Fleet;
        let waiting = active
            .pending_requests
            .values()
            .filter(|pending| is_waiting(pending));
        let waiting_tokens: u64 = waiting.map(|pending| pending.need_tokens).sum();
        let is_short = waiting_tokens > active.available_tokens();
        let may_search = active.search.exhausted_reply(now_us).is_none() && active.is_open();
        if is_short && may_search && !self.is_closing {
            self.start_search(now_us, index);
        }
        self.serve_requests(now_us, index, None);
    }

    /// Serves pending requests as far as tokens are available.
    ///
    /// While a search runs, only requests that can be satisfied in full are served. `only` limits
    /// this to requests of one reach: if unsolicited tokens served every request, holders would
    /// send them back and forth.
    pub(super) fn serve_requests(&mut self, now_us: u64, index: u32, only: Option<Reach>) {
        if self.is_closing {
            return;
        }
        let Some(active) = self.accounts[index as usize].active.as_mut() else {
            return;
        };
        active
            .pending_requests
            .retain(|_, pending| pending.until_us > now_us);
        let exhausted_reply = active.search.exhausted_reply(now_us);
        let is_searching = active.search.is_running();
        // Tokens for local waiting reservations are kept back, unless the last search failed
        // recently.
        let local_tokens = match exhausted_reply {
            Some(_) => 0,
            None => active.demand_tokens,
        };
        let mut available_tokens = active.available_tokens().saturating_sub(local_tokens);
        let mut outgoing = Vec::new();
        let mut pending_requests: Vec<_> = active.pending_requests.iter_mut().collect();
        pending_requests.sort_by_key(|(_, pending)| !pending.is_deferred);
        for (to, pending) in pending_requests {
            if only.is_some_and(|reach| reach != pending.reach) {
                continue;
            }
            let Some(tokens) = pending.share(available_tokens, is_searching) else {
                continue;
            };
            pending.need_tokens -= tokens;
            available_tokens -= tokens;
            let reply = match (pending.is_deferred, pending.need_tokens, exhausted_reply) {
                (false, _, _) => Reply::Unsolicited,
                (true, 1.., Some(reply)) if pending.reach == Reach::Fleet => reply,
                (true, _, _) => Reply::Final,
            };
            pending.is_deferred = false;
            outgoing.push((*to, tokens, reply));
        }
        active
            .pending_requests
            .retain(|_, pending| pending.need_tokens > 0);
        for (to, tokens, reply) in outgoing {
            self.transfer_tokens(now_us, index, to, tokens, reply);
        }
    }
}

impl PendingRequest {
    /// Creates the record of an unmet request whose requester does not wait for another reply.
    pub(super) fn unmet(now_us: u64, need_tokens: u64, reach: Reach, options: &Options) -> Self {
        Self {
            need_tokens,
            reach,
            until_us: now_us + options.unmet_request_us,
            is_deferred: false,
            is_joining: false,
        }
    }

    /// Returns the tokens to send now, or `None` if the request has to wait.
    fn share(&self, available_tokens: u64, is_searching: bool) -> Option<u64> {
        let is_met = available_tokens >= self.need_tokens;
        match (self.is_joining, is_met, self.reach) {
            (true, _, _) => None,
            (false, true, _) => Some(self.need_tokens),
            (false, false, _) if is_searching => None,
            // A fleet-wide requester can use only the full amount.
            (false, false, Reach::Fleet) => self.is_deferred.then_some(0),
            (false, false, Reach::Domain | Reach::Holder | Reach::Now) => {
                let tokens = self.need_tokens.min(available_tokens);
                (tokens > 0 || self.is_deferred).then_some(tokens)
            }
        }
    }
}
