//! Fair sharing among client accounts by start-time fair queueing.
//!
//! [`Shares`] tracks a virtual time for each account, measured in dispatched tokens. The queue
//! dispatches the account with the lowest virtual start time first and charges it for the request.

use peridotrack_types::{collections::HashMap, name};

/// Number of accounts at which those at or before the current virtual time are pruned; they would
/// start at that time anyway.
const PRUNE_THRESHOLD_ACCOUNTS: usize = 4_096;

/// Virtual times of client accounts, in dispatched tokens.
///
/// The account with the lowest virtual time goes first. An account that was idle starts at the
/// current virtual time: it neither gains credit for the idle time nor is charged for the requests
/// of others.
#[derive(Debug, Clone, Default)]
pub struct Shares {
    virtual_now_tokens: u64,
    finish_tokens: HashMap<name::ClientAccount, u64>,
}

impl Shares {
    /// Returns the virtual time at which the next request of `account` starts.
    pub fn start_tokens(&self, account: &name::ClientAccount) -> u64 {
        let finish = self.finish_tokens.get(account).copied().unwrap_or(0);
        finish.max(self.virtual_now_tokens)
    }

    /// Charges a dispatched request to `account`.
    ///
    /// `least_waiting_tokens` is the lowest virtual time of the accounts that still have queued
    /// requests. The current virtual time never passes it, so that a waiting account keeps its
    /// precedence when another account overtakes it.
    pub fn charge(
        &mut self,
        account: &name::ClientAccount,
        size_tokens: u64,
        least_waiting_tokens: Option<u64>,
    ) {
        let start = self.start_tokens(account);
        let least = least_waiting_tokens.map_or(start, |waiting| waiting.min(start));
        self.virtual_now_tokens = self.virtual_now_tokens.max(least);
        let finish = start.saturating_add(size_tokens.max(1));
        match self.finish_tokens.get_mut(account) {
            Some(known) => *known = finish,
            None => self.insert(account.clone(), finish),
        }
    }

    fn insert(&mut self, account: name::ClientAccount, finish: u64) {
        if self.finish_tokens.len() >= PRUNE_THRESHOLD_ACCOUNTS {
            let now = self.virtual_now_tokens;
            self.finish_tokens.retain(|_, finish| *finish > now);
        }
        self.finish_tokens.insert(account, finish);
    }
}
