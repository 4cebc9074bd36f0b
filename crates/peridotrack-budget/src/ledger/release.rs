//! Release of holders whose VM is gone, as declared by an operator.
//!
//! A holder that died cannot close its rows. The operator states its spend instead, and the row
//! closes once every live member has recorded its final totals with the holder.

use peridotrack_types::{id, name};
use serde::{Deserialize, Serialize};

use super::{Entry, Member, Row, Shard};

/// Reason why an operator's release was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReleaseError {
    /// The budget has no entry.
    #[error("budget {budget:?} has no entry in the ledger")]
    UnknownBudget {
        /// Budget named in the release.
        budget: name::Budget,
    },
    /// The holder has no row in the budget and is no member of the shard.
    #[error("holder {holder} has no row for the budget")]
    UnknownHolder {
        /// Holder named in the release.
        holder: id::Incarnation,
    },
    /// The row is already closed or released.
    #[error("the row of holder {holder} is already closed or released")]
    NotOpen {
        /// Holder named in the release.
        holder: id::Incarnation,
    },
    /// The stated spend is below what the holder has reported as settled.
    #[error("stated spend of {spent_tokens} tokens is below the {settled_tokens} tokens settled")]
    BelowSettled {
        /// Spend that the operator stated.
        spent_tokens: u64,
        /// Settled total of the holder, as last reported.
        settled_tokens: u64,
    },
    /// The stated spend is above the exposure of all rows of the budget.
    ///
    /// The exposure of the holder's own row is no bound, since the holder may have spent tokens
    /// that others transferred to it.
    #[error(
        "stated spend of {spent_tokens} tokens exceeds the budget's exposure of {exposed_tokens}"
    )]
    AboveExposure {
        /// Spend that the operator stated.
        spent_tokens: u64,
        /// Exposure of all rows, including closed spend.
        exposed_tokens: u64,
    },
}

impl Shard {
    /// Releases the row of a holder whose VM is gone and which spent `spent_tokens` in all.
    ///
    /// The caller checks that the VM is gone. Unspent tokens become available once
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

    /// Returns the holders that a released row of a budget waits for: live members that have not
    /// acknowledged the released holder, and gone holders that are not released for this budget.
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
    /// Replaces the open row of a holder with a released one, if the stated spend is possible.
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
            // A member may have spent received tokens without having drawn.
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
