//! Rows of the ledger.

use std::collections::BTreeMap;

use peridotrack_types::id;
use serde::{Deserialize, Serialize};

use super::signed;

/// Transfer totals by counterparty, in tokens.
pub type Transfers = BTreeMap<id::Incarnation, u64>;

/// Transfer totals with one counterparty.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Total sent to the counterparty.
    pub sent_tokens: u64,
    /// Total received from the counterparty.
    pub received_tokens: u64,
}

/// What one holder incarnation counts for in a budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Row {
    /// The holder may spend.
    Open {
        /// Total granted.
        granted_tokens: u64,
        /// Total returned.
        returned_tokens: u64,
        /// Total settled, as last reported.
        settled_tokens: u64,
        /// Reserved, as last reported.
        reserved_tokens: u64,
    },
    /// An operator declared the holder gone; its counterparties have yet to confirm theirs.
    Released {
        /// Exposure of the open row; negative if it returned what it had received.
        exposed_tokens: i64,
        /// Spend that the operator stated.
        spent_tokens: u64,
    },
    /// The holder spends no more; its totals are final.
    Closed {
        /// Total settled.
        settled_tokens: u64,
        /// Totals sent.
        #[serde(default, skip_serializing_if = "Transfers::is_empty")]
        sent_tokens: Transfers,
        /// Totals received.
        #[serde(default, skip_serializing_if = "Transfers::is_empty")]
        received_tokens: Transfers,
    },
}

/// Access
impl Row {
    /// Returns the tokens that the row counts for; negative if it mostly spent from transfers.
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

    /// Returns whether the holder may spend.
    pub fn is_open(&self) -> bool {
        matches!(self, Self::Open { .. })
    }

    /// Returns the settled total, as last reported.
    pub fn settled_tokens(&self) -> u64 {
        match self {
            Self::Open { settled_tokens, .. } | Self::Closed { settled_tokens, .. } => {
                *settled_tokens
            }
            Self::Released { spent_tokens, .. } => *spent_tokens,
        }
    }

    /// Returns the granted total of an open row.
    pub fn granted_tokens(&self) -> u64 {
        match self {
            Self::Open { granted_tokens, .. } => *granted_tokens,
            Self::Released { .. } | Self::Closed { .. } => 0,
        }
    }

    /// Returns the returned total of an open row.
    pub fn returned_tokens(&self) -> u64 {
        match self {
            Self::Open {
                returned_tokens, ..
            } => *returned_tokens,
            Self::Released { .. } | Self::Closed { .. } => 0,
        }
    }

    /// Returns the reserved tokens, as last reported.
    pub fn reserved_tokens(&self) -> u64 {
        match self {
            Self::Open {
                reserved_tokens, ..
            } => *reserved_tokens,
            Self::Released { .. } | Self::Closed { .. } => 0,
        }
    }

    /// Returns the final totals of a closed row with one counterparty.
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

    /// Returns the tokens that were idle when the row was last written.
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
