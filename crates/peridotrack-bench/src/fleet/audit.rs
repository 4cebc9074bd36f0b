//! Accounting outside the holders: spend as the provider counts it, and false refusals.

use peridotrack_budget::{ledger, refusal};

use super::{Fleet, State};

/// Counts since the fleet was created.
#[derive(Debug, Clone, Default)]
pub struct Counts {
    /// Requests that arrived at a running holder.
    pub requests: u64,
    /// Requests dispatched to a backend server.
    pub dispatched: u64,
    /// Requests refused, for any reason.
    pub refused: u64,
    /// Refusals of requests that waited for tokens until their deadline.
    pub refused_waiting: u64,
    /// Refusals while the holder's failure domain could reach enough tokens.
    pub strict_false_refusals: u64,
    /// Refusals while enough tokens were unspent and unreserved anywhere in the fleet.
    pub loose_false_refusals: u64,
    /// Messages that holders sent to each other, lost ones included.
    pub messages: u64,
    /// Encoded bytes of these messages, if [`super::Options::counts_bytes`] is set.
    pub message_bytes: u64,
}

/// Spend of one budget as the provider counts it.
#[derive(Debug, Clone, Default)]
pub struct Spend {
    /// Tokens spent over all holders, ended ones included.
    pub spent_tokens: u64,
    /// Tokens that unfinished requests reserved and have not spent.
    pub open_tokens: u64,
    /// Highest purchased total ever configured, which spend must not exceed.
    pub ceiling_tokens: u64,
    /// Purchased total of the current configuration.
    pub purchased_tokens: u64,
}

impl Fleet {
    /// Returns the tokens spent beyond the highest purchased totals, summed over all budgets.
    pub fn overspend_tokens(&self) -> u64 {
        let over = |spend: &Spend| spend.spent_tokens.saturating_sub(spend.ceiling_tokens);
        self.spends.iter().map(over).sum()
    }

    /// Returns the tokens that the ledger counts for killed holders beyond their spend.
    pub fn held_by_dead_tokens(&self) -> u64 {
        let mut tokens = 0;
        for node in self.nodes.iter().filter(|node| node.state == State::Dead) {
            for (index, budget) in self.budgets.iter().enumerate() {
                let shard = ledger::shard_of(budget, self.options.holder.shard_count);
                let entries = self.store.peek(shard).map(|shard| &shard.entries);
                let entry = entries.and_then(|entries| entries.get(budget));
                let row = entry.and_then(|entry| entry.rows.get(&node.holder.id()));
                let report = node.holder.report(budget);
                let (Some(row), Some(report)) = (row, report) else {
                    continue;
                };
                let net_received =
                    i128::from(report.received_tokens) - i128::from(report.sent_tokens);
                let spent = node.spent_tokens.get(&index).copied().unwrap_or(0);
                let held_back = i128::from(row.exposed_tokens()) + net_received - i128::from(spent);
                tokens += u64::try_from(held_back).unwrap_or(0);
            }
        }
        tokens
    }

    /// Returns the tokens of a budget that are unspent and unreserved anywhere in the fleet.
    pub fn free_anywhere_tokens(&self, budget: usize) -> u64 {
        let spend = &self.spends[budget];
        spend
            .purchased_tokens
            .saturating_sub(spend.spent_tokens + spend.open_tokens)
    }

    /// Returns the free tokens of a budget that a holder's failure domain can reach.
    ///
    /// These are the tokens of reachable holders; if the domain reaches the store, also those left
    /// in the ledger and those granted to reachable holders that have not recorded the grant; and,
    /// if every unreachable holder is closed, those in transfer between holders.
    pub fn free_reachable_tokens(&self, node: usize, budget: usize) -> u64 {
        let domain = self.nodes[node].domain;
        let name = &self.budgets[budget];
        let shard = ledger::shard_of(name, self.options.holder.shard_count);
        let has_store = self.faults.reaches_store(domain);
        let entry = self
            .store
            .peek(shard)
            .and_then(|shard| shard.entries.get(name));
        let purchased_tokens = self.spends[budget].purchased_tokens;
        let mut tokens = match (has_store, entry) {
            (true, Some(entry)) => {
                let exposed = u64::try_from(entry.exposed_tokens()).unwrap_or(0);
                purchased_tokens.saturating_sub(exposed)
            }
            (true, None) => purchased_tokens,
            (false, _) => 0,
        };
        let (mut sent, mut received) = (0, 0);
        let mut is_fully_connected = true;
        for other in &self.nodes {
            if other.state != State::Running || !self.faults.reaches(domain, other.domain) {
                is_fully_connected &= other.state == State::Closed;
                continue;
            }
            let Some(report) = other.holder.report(name) else {
                continue;
            };
            tokens += report.available_tokens;
            sent += report.sent_tokens;
            received += report.received_tokens;
            let row = entry.and_then(|entry| entry.rows.get(&other.holder.id()));
            if let (true, Some(row)) = (has_store, row) {
                let known = i128::from(report.granted_tokens) - i128::from(report.returned_tokens);
                let unknown = i128::from(row.exposed_tokens()) - known;
                tokens += u64::try_from(unknown).unwrap_or(0);
            }
        }
        match is_fully_connected {
            true => tokens + u64::saturating_sub(sent, received),
            false => tokens,
        }
    }

    /// Counts a refusal, and whether it was false.
    pub(super) fn record_refusal(
        &mut self,
        node: usize,
        budget: usize,
        bound_tokens: u64,
        kind: refusal::Kind,
    ) {
        self.counts.refused += 1;
        if kind == refusal::Kind::Waiting {
            self.counts.refused_waiting += 1;
        }
        if self.free_anywhere_tokens(budget) >= bound_tokens {
            self.counts.loose_false_refusals += 1;
            if self.free_reachable_tokens(node, budget) >= bound_tokens {
                self.counts.strict_false_refusals += 1;
            }
        }
    }
}
