//! Release of holders whose VM is gone.

use peridotrack_types::{id, name};
use serde::{Deserialize, Serialize};

use super::{Entry, Member, Row, Shard};

/// An operator's release that was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReleaseError {
    /// The budget has no entry.
    #[error("budget {budget:?} has no entry in the ledger")]
    UnknownBudget {
        /// Budget.
        budget: name::Budget,
    },
    /// The holder has no row, and is no member of the shard.
    #[error("holder {holder} has no row for the budget")]
    UnknownHolder {
        /// Holder.
        holder: id::Incarnation,
    },
    /// The row was closed or released before.
    #[error("the row of holder {holder} is already closed or released")]
    NotOpen {
        /// Holder.
        holder: id::Incarnation,
    },
    /// The stated spend is below what the holder settled.
    #[error("spend {spent_tokens} is below the settled {settled_tokens}")]
    BelowSettled {
        /// Stated spend.
        spent_tokens: u64,
        /// Settled, as last reported.
        settled_tokens: u64,
    },
    /// The stated spend is above everything that the budget's holders could spend.
    ///
    /// The row's own exposure is no bound, since the holder may have spent transfers.
    #[error("spend {spent_tokens} exceeds the exposure {exposed_tokens} of the budget")]
    AboveExposure {
        /// Stated spend.
        spent_tokens: u64,
        /// Exposure of all rows.
        exposed_tokens: u64,
    },
}

impl Shard {
    /// Releases the row of a holder whose VM is gone, after it spent `spent_tokens` in all.
    ///
    /// The caller checks that the VM is gone. What is held comes free once
    /// [`Shard::awaited`] is empty.
    pub fn release(
        &mut self,
        budget: &name::Budget,
        holder: id::Incarnation,
        spent_tokens: u64,
    ) -> Result<(), ReleaseError> {
        let is_member = self.members.contains_key(&holder);
        self.entries
            .get_mut(budget)
            .ok_or_else(|| ReleaseError::UnknownBudget {
                budget: budget.clone(),
            })?
            .release(holder, spent_tokens, is_member)?;
        self.members.insert(holder, Member::Gone);
        self.fold();
        Ok(())
    }

    /// Returns the holders that a released row of a budget still waits for: live members that
    /// have not acknowledged it, and holders that are gone but not released for this budget.
    pub fn awaited(&self, budget: &name::Budget, holder: id::Incarnation) -> Vec<id::Incarnation> {
        let Some(entry) = self.entries.get(budget) else {
            return Vec::new();
        };
        self.members
            .keys()
            .copied()
            .filter(|member| *member != holder && entry.awaits(&self.members, holder, *member))
            .collect()
    }
}

impl Entry {
    fn release(
        &mut self,
        holder: id::Incarnation,
        spent_tokens: u64,
        is_member: bool,
    ) -> Result<(), ReleaseError> {
        let all_exposed_tokens = u64::try_from(self.exposed_tokens()).unwrap_or(0);
        let (exposed_tokens, settled_tokens) = match self.rows.get(&holder) {
            Some(row @ Row::Open { settled_tokens, .. }) => (row.exposed_tokens(), *settled_tokens),
            Some(_) => return Err(ReleaseError::NotOpen { holder }),
            // A member may have spent transfers without ever drawing.
            None if is_member => (0, 0),
            None => return Err(ReleaseError::UnknownHolder { holder }),
        };
        if spent_tokens < settled_tokens {
            return Err(ReleaseError::BelowSettled {
                spent_tokens,
                settled_tokens,
            });
        }
        if spent_tokens > all_exposed_tokens {
            return Err(ReleaseError::AboveExposure {
                spent_tokens,
                exposed_tokens: all_exposed_tokens,
            });
        }
        let released = Row::Released {
            exposed_tokens,
            spent_tokens,
        };
        self.rows.insert(holder, released);
        Ok(())
    }
}
