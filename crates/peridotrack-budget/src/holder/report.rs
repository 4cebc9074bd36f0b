//! Reports of a holder.

use peridotrack_types::name;
use serde::{Deserialize, Serialize};

use super::{
    Holder, Status,
    account::{Account, Active},
};

/// What a holder has of one budget in use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Budget.
    pub budget: name::Budget,
    /// Standing of the own row in the ledger.
    pub status: Status,
    /// Total purchased, as configured.
    pub purchased_tokens: u64,
    /// Total granted.
    pub granted_tokens: u64,
    /// Total returned.
    pub returned_tokens: u64,
    /// Total sent to other holders.
    pub sent_tokens: u64,
    /// Total received from other holders.
    pub received_tokens: u64,
    /// Total settled.
    pub settled_tokens: u64,
    /// Reserved at present.
    pub reserved_tokens: u64,
    /// Free to reserve.
    pub available_tokens: u64,
    /// Left to draw when the ledger was last seen.
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
