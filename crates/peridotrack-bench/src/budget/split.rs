//! Baseline: an even split of every budget over the holders, fixed at the start.

use std::{cmp::Reverse, collections::BinaryHeap};

use crate::fleet::Request;

/// Shares of an even split, and the requests in progress.
#[derive(Debug)]
pub struct EvenSplit {
    /// Unreserved tokens by holder, then by budget.
    shares: Vec<Vec<u64>>,
    /// Requests in progress: end time, holder, budget, and tokens that return to the share.
    completions: BinaryHeap<Reverse<(u64, usize, usize, u64)>>,
    /// Refusals while the shares of all holders together had enough tokens.
    pub loose_false_refusals: u64,
    /// Refusals of requests whose bound exceeded the share of their holder.
    pub refused: u64,
}

impl EvenSplit {
    /// Splits each budget evenly over the holders; the remainder of the division is left out.
    pub fn new(purchased_tokens: &[u64], holders: usize) -> Self {
        let share = |tokens: &u64| tokens / holders.max(1) as u64;
        let shares: Vec<u64> = purchased_tokens.iter().map(share).collect();
        Self {
            shares: vec![shares; holders],
            completions: BinaryHeap::new(),
            loose_false_refusals: 0,
            refused: 0,
        }
    }

    /// Spends `tokens` of a budget, an equal part from every holder's share.
    pub fn spend_evenly(&mut self, budget: usize, tokens: u64) {
        let holders = self.shares.len().max(1) as u64;
        for shares in &mut self.shares {
            shares[budget] = shares[budget].saturating_sub(tokens / holders);
        }
    }

    /// Reserves a request's bound in the share of its holder, or counts a refusal.
    pub fn request(&mut self, now_us: u64, holder: usize, request: &Request) {
        self.release_completed(now_us);
        let budget = request.budget;
        if self.shares[holder][budget] >= request.bound_tokens {
            self.shares[holder][budget] -= request.bound_tokens;
            let end_us = now_us + request.service_us;
            let freed_tokens = request.bound_tokens - request.spent_tokens;
            self.completions
                .push(Reverse((end_us, holder, budget, freed_tokens)));
            return;
        }
        self.refused += 1;
        let total_tokens: u64 = self.shares.iter().map(|shares| shares[budget]).sum();
        if total_tokens >= request.bound_tokens {
            self.loose_false_refusals += 1;
        }
    }

    fn release_completed(&mut self, now_us: u64) {
        while let Some(Reverse((end_us, ..))) = self.completions.peek()
            && *end_us <= now_us
        {
            if let Some(Reverse((_, holder, budget, freed_tokens))) = self.completions.pop() {
                self.shares[holder][budget] += freed_tokens;
            }
        }
    }
}
