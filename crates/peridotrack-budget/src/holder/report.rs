//! Snapshots of a holder's budgets, for status pages and tests.

use peridotrack_types::name;
use serde::{Deserialize, Serialize};

use super::{
    Holder, Status,
    account::{Account, Active},
};

/// State of one budget in use at a holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Budget that the counts are for.
    pub budget: name::Budget,
    /// State of the local row in the ledger.
    pub status: Status,
    /// Total purchased according to the applied configuration.
    pub purchased_tokens: u64,
    /// Total granted to this holder by the ledger.
    pub granted_tokens: u64,
    /// Total returned to the ledger, including returns that are not yet written.
    pub returned_tokens: u64,
    /// Total sent to other holders.
    pub sent_tokens: u64,
    /// Total received from other holders.
    pub received_tokens: u64,
    /// Total settled by this holder.
    pub settled_tokens: u64,
    /// Tokens of open reservations.
    pub reserved_tokens: u64,
    /// Tokens that can be reserved now.
    pub available_tokens: u64,
    /// Tokens left in the ledger when it was last read.
    pub left_tokens: u64,
}

impl Report {
    fn new(account: &Account, active: &Active) -> Self {
        Self {
            budget: account.budget.clone(),
            status: active.status,
            purchased_tokens: account.purchased_tokens,
            granted_tokens: active.granted_tokens,
            returned_tokens: active.returned_tokens,
            sent_tokens: active.sent_tokens,
            received_tokens: active.received_tokens,
            settled_tokens: active.settled_tokens,
            reserved_tokens: active.reserved_tokens,
            available_tokens: active.available_tokens(),
            left_tokens: active.left_tokens,
        }
    }
}

impl Holder {
    /// Returns a report on every budget in use, in the order of first use.
    pub fn snapshot(&self) -> Vec<Report> {
        self.active_accounts()
            .map(|(account, active)| Report::new(account, active))
            .collect()
    }

    /// Returns a report on one budget, if it is in use.
    pub fn report(&self, budget: &name::Budget) -> Option<Report> {
        let index = self.index.get(budget)?;
        let account = &self.accounts[*index as usize];
        Some(Report::new(account, account.active.as_deref()?))
    }
}
