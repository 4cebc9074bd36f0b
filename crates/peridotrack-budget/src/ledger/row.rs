//! Rows of the ledger: the share of one holder in one budget.
//!
//! The exposure of a row is the number of tokens that it counts against the purchased total.

use std::collections::BTreeMap;

use peridotrack_types::id;
use serde::{Deserialize, Serialize};

use super::signed;

/// Transferred tokens by counterparty: totals since the start of the holder's incarnation.
pub type Transfers = BTreeMap<id::Incarnation, u64>;

/// Tokens transferred between a holder and one counterparty.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Total that the holder sent to the counterparty.
    pub sent_tokens: u64,
    /// Total that the holder received from the counterparty.
    pub received_tokens: u64,
}

/// State of one holder incarnation in a budget. Counts are totals since its start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Row {
    /// The holder may spend from its grant.
    Open {
        /// Total granted by the ledger.
        granted_tokens: u64,
        /// Total returned to the ledger.
        returned_tokens: u64,
        /// Total settled when the holder last wrote the row.
        settled_tokens: u64,
        /// Reserved when the holder last wrote the row.
        reserved_tokens: u64,
    },
    /// An operator declared the holder gone; the row waits for the final totals of its
    /// counterparties.
    Released {
        /// Exposure that the open row had; negative if the holder returned tokens that others
        /// sent it.
        exposed_tokens: i64,
        /// Spend that the operator stated for the holder.
        spent_tokens: u64,
    },
    /// The holder no longer spends; its totals are final.
    Closed {
        /// Final settled total.
        settled_tokens: u64,
        /// Final totals sent, without counterparties whose totals are final too.
        #[serde(default, skip_serializing_if = "Transfers::is_empty")]
        sent_tokens: Transfers,
        /// Final totals received, without counterparties whose totals are final too.
        #[serde(default, skip_serializing_if = "Transfers::is_empty")]
        received_tokens: Transfers,
    },
}

/// Exposure, totals and state.
impl Row {
    /// Returns the tokens that the row counts against the purchased total; negative if the holder
    /// mostly spent or returned received tokens.
    pub fn exposed_tokens(&self) -> i64 {
        match self {
            Self::Open {
                granted_tokens,
                returned_tokens,
                ..
            } => signed(*granted_tokens) - signed(*returned_tokens),
            Self::Released { exposed_tokens, .. } => *exposed_tokens,
            Self::Closed {
                settled_tokens,
                sent_tokens,
                received_tokens,
            } => signed(*settled_tokens) + sum(sent_tokens) - sum(received_tokens),
        }
    }

    /// Returns whether the holder may still spend.
    pub fn is_open(&self) -> bool {
        matches!(self, Self::Open { .. })
    }

    /// Returns the settled total as last reported, or the stated spend of a released row.
    pub fn settled_tokens(&self) -> u64 {
        match self {
            Self::Open { settled_tokens, .. } | Self::Closed { settled_tokens, .. } => {
                *settled_tokens
            }
            Self::Released { spent_tokens, .. } => *spent_tokens,
        }
    }

    /// Returns the granted total of an open row; 0 for other rows.
    pub fn granted_tokens(&self) -> u64 {
        match self {
            Self::Open { granted_tokens, .. } => *granted_tokens,
            Self::Released { .. } | Self::Closed { .. } => 0,
        }
    }

    /// Returns the returned total of an open row; 0 for other rows.
    pub fn returned_tokens(&self) -> u64 {
        match self {
            Self::Open {
                returned_tokens, ..
            } => *returned_tokens,
            Self::Released { .. } | Self::Closed { .. } => 0,
        }
    }

    /// Returns the reserved tokens of an open row, as last reported; 0 for other rows.
    pub fn reserved_tokens(&self) -> u64 {
        match self {
            Self::Open {
                reserved_tokens, ..
            } => *reserved_tokens,
            Self::Released { .. } | Self::Closed { .. } => 0,
        }
    }

    /// Returns the final totals of a closed row with one counterparty; zero for other rows.
    pub fn totals_with(&self, counterparty: id::Incarnation) -> Totals {
        let of = |transfers: &Transfers| transfers.get(&counterparty).copied().unwrap_or(0);
        match self {
            Self::Closed {
                sent_tokens,
                received_tokens,
                ..
            } => Totals {
                sent_tokens: of(sent_tokens),
                received_tokens: of(received_tokens),
            },
            Self::Open { .. } | Self::Released { .. } => Totals::default(),
        }
    }

    /// Returns the tokens of an open row that were neither settled nor reserved when it was last
    /// written; 0 for other rows.
    pub fn idle_tokens(&self) -> u64 {
        match self {
            Self::Open {
                granted_tokens,
                returned_tokens,
                settled_tokens,
                reserved_tokens,
            } => granted_tokens
                .saturating_sub(*returned_tokens)
                .saturating_sub(*settled_tokens)
                .saturating_sub(*reserved_tokens),
            Self::Released { .. } | Self::Closed { .. } => 0,
        }
    }
}

fn sum(transfers: &Transfers) -> i64 {
    transfers.values().copied().map(signed).sum()
}
