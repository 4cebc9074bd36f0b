//! The ledger: objects in the platform's store that each hold many budgets.
//!
//! # Why spend cannot exceed what was purchased
//!
//! Holder `i` has the total grant `G`, less returns, and has received `R` from and sent `T` to
//! other holders. It deducts returns and transfers before it reports them, and credits grants
//! and receipts only once they are certain. Its spend is therefore at most `G + R - T`. Between
//! any two holders `R <= T`, so the sum of all spends is at most the sum of all `G`.
//!
//! A closed row has the final spend `S` and final transfers, and counts as `S + T - R`: tokens
//! that its counterparties hold from it are still counted with the closed row, and tokens that it
//! received are already counted with the sender. Every conditional update keeps
//! `closed + sum of exposures <= purchased`, or at least does not raise the sum.
//!
//! A holder that died without closing cannot report what it sent. Therefore only members of a
//! shard take part in its transfers, and a released row keeps its exposure until every live
//! member has acknowledged that the holder is gone. With the acknowledgement, a member accepts
//! nothing more from the holder and has written its final totals with it. These totals replace
//! the lost ones, and the row closes.

use std::collections::BTreeMap;

use peridotrack_types::{id, name};
use serde::{Deserialize, Serialize};

mod fold;
mod member;
mod release;
mod row;

pub use member::Member;
pub use release::ReleaseError;
pub use row::{Row, Totals as TransferTotals, Transfers};

/// Contents of one ledger object, which holds many budgets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Shard {
    /// Holders that may transfer tokens of the shard's budgets.
    pub members: BTreeMap<id::Incarnation, Member>,
    /// Most recent former members, the latest last. They cannot join again while they are listed.
    #[serde(rename = "left")]
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub departed: Vec<id::Incarnation>,
    /// Budgets of the shard that were ever drawn on.
    pub entries: BTreeMap<name::Budget, Entry>,
}

/// State of one budget.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Entry {
    /// Total purchased according to `config_version`.
    pub purchased_tokens: u64,
    /// Configuration version from which `purchased_tokens` comes.
    pub config_version: u64,
    /// Spend of closed rows that were folded and removed.
    pub closed_tokens: u64,
    /// One row for each holder that draws on the budget or has unfinished transfers.
    pub rows: BTreeMap<id::Incarnation, Row>,
    /// Final totals of members with holders that are gone: by gone holder, then by member.
    #[serde(rename = "finals")]
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub final_totals: BTreeMap<id::Incarnation, BTreeMap<id::Incarnation, TransferTotals>>,
}

/// Totals of a budget over all holders, for reports.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Total purchased, as last written to the ledger.
    pub purchased_tokens: u64,
    /// Settled by closed holders and, as last reported, by open ones.
    pub settled_tokens: u64,
    /// Reserved by open holders, as last reported.
    pub reserved_tokens: u64,
    /// Counted against the purchased total: closed spend plus the exposure of every row.
    pub exposed_tokens: u64,
    /// Purchased but not exposed, so that holders can still draw them.
    pub left_tokens: u64,
}

/// An update that would break the ledger's invariant.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[error("budget {budget:?}: update would expose {exposed_tokens} of {purchased_tokens} tokens")]
pub struct Violation {
    /// Budget whose update is invalid.
    pub budget: name::Budget,
    /// Exposure of all rows and closed spend after the update.
    pub exposed_tokens: i64,
    /// Purchased total after the update.
    pub purchased_tokens: u64,
}

/// Contents of a shard at a version of its object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned {
    /// Version of the object.
    pub version: u64,
    /// Contents at that version.
    pub body: Shard,
}

/// Returns the shard of a budget, from the 64-bit FNV-1a hash of its name.
pub fn shard_of(budget: &name::Budget, shard_count: u32) -> u32 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let hash = budget.as_str().bytes().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    });
    let folded = (hash ^ (hash >> 32)) % u64::from(shard_count.max(1));
    u32::try_from(folded).unwrap_or(0)
}

/// Constructors.
impl Shard {
    /// Returns a shard without members or budgets.
    pub fn empty() -> Self {
        Self::default()
    }
}

/// Checks of updates and totals of a budget.
impl Shard {
    /// Checks that an update from `before` to `self` keeps the invariant for every budget.
    pub fn check_update(&self, before: &Self) -> Result<(), Violation> {
        let none = Entry::default();
        for budget in before.entries.keys().chain(self.entries.keys()) {
            let earlier = before.entries.get(budget).unwrap_or(&none);
            let entry = self.entries.get(budget).unwrap_or(&none);
            entry.check_update(budget, earlier)?;
        }
        Ok(())
    }

    /// Returns the totals of one budget, or `None` if it was never drawn on.
    pub fn totals(&self, budget: &name::Budget) -> Option<Totals> {
        self.entries.get(budget).map(Entry::totals)
    }
}

/// Exposure, remaining tokens and checks of one budget.
impl Entry {
    /// Returns the closed spend plus the exposure of every row.
    pub fn exposed_tokens(&self) -> i64 {
        let rows: i64 = self.rows.values().map(Row::exposed_tokens).sum();
        signed(self.closed_tokens) + rows
    }

    /// Returns the tokens that may still be granted.
    pub fn left_tokens(&self) -> u64 {
        let left = signed(self.purchased_tokens) - self.exposed_tokens();
        u64::try_from(left).unwrap_or(0)
    }

    /// Returns the tokens exposed beyond the purchased total; above 0 only after that was
    /// lowered.
    pub fn excess_tokens(&self) -> u64 {
        let excess = self.exposed_tokens() - signed(self.purchased_tokens);
        u64::try_from(excess).unwrap_or(0)
    }

    /// Returns the number of open rows.
    pub fn holders(&self) -> u32 {
        let open = self.rows.values().filter(|row| row.is_open()).count();
        u32::try_from(open).unwrap_or(u32::MAX)
    }

    /// Returns the totals for reports.
    pub fn totals(&self) -> Totals {
        let mut totals = Totals {
            purchased_tokens: self.purchased_tokens,
            settled_tokens: self.closed_tokens,
            exposed_tokens: u64::try_from(self.exposed_tokens()).unwrap_or(0),
            left_tokens: self.left_tokens(),
            ..Totals::default()
        };
        for row in self.rows.values() {
            totals.settled_tokens += row.settled_tokens();
            totals.reserved_tokens += row.reserved_tokens();
        }
        totals
    }

    /// Checks that an update from `before` to `self` keeps the invariant: the exposure stays within
    /// the purchased total or does not rise, and the closed spend does not fall.
    pub fn check_update(&self, budget: &name::Budget, before: &Self) -> Result<(), Violation> {
        let exposed_tokens = self.exposed_tokens();
        let limit_tokens = before.exposed_tokens().max(signed(self.purchased_tokens));
        if exposed_tokens <= limit_tokens && self.closed_tokens >= before.closed_tokens {
            return Ok(());
        }
        Err(Violation {
            budget: budget.clone(),
            exposed_tokens,
            purchased_tokens: self.purchased_tokens,
        })
    }
}

/// Updates of an entry.
impl Entry {
    /// Applies the purchased total of a newer configuration; returns whether the total changed.
    pub fn configure(&mut self, config_version: u64, purchased_tokens: u64) -> bool {
        if config_version <= self.config_version {
            return false;
        }
        let changed = purchased_tokens != self.purchased_tokens;
        self.config_version = config_version;
        self.purchased_tokens = purchased_tokens;
        changed
    }

    /// Raises the grant in the open row of a holder towards a wanted total, by at most
    /// `limit_tokens` and the tokens that are left.
    ///
    /// Returns the total granted afterwards, or `None` if the holder has no open row.
    pub fn apply_draw(
        &mut self,
        holder: id::Incarnation,
        want_granted_tokens: u64,
        limit_tokens: u64,
    ) -> Option<u64> {
        let left_tokens = self.left_tokens().min(limit_tokens);
        match self.rows.get_mut(&holder) {
            Some(Row::Open { granted_tokens, .. }) => {
                let lacking = want_granted_tokens.saturating_sub(*granted_tokens);
                *granted_tokens += lacking.min(left_tokens);
                Some(*granted_tokens)
            }
            _ => None,
        }
    }
}

/// Converts a token count for sums with negative terms.
///
/// A count beyond `i64` becomes `i64::MAX / 4`, so that sums of a few such counts do not overflow.
pub(crate) fn signed(tokens: u64) -> i64 {
    i64::try_from(tokens).unwrap_or(i64::MAX / 4)
}
