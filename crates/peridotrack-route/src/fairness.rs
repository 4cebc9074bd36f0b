//! Fair share of client accounts by start-time fair queueing.

use peridotrack_types::{collections::HashMap, name};

/// Accounts kept before those without debt are dropped.
const PRUNE_THRESHOLD_ACCOUNTS: usize = 4_096;

/// Virtual times of client accounts, in tokens dispatched.
///
/// The account that was given least goes first. An account that was away joins at the present
/// virtual time: it neither saves up a claim nor pays for others.
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

    /// Charges a dispatch to `account`, with `waiting_tokens` the least virtual time of the accounts
    /// that still wait.
    ///
    /// Virtual time never passes an account that waits, so that it keeps its claim when another
    /// account overtakes it.
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
