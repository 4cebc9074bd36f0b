//! Messages between holders.
//!
//! Every counter is a total since the start of the incarnation, so that a repeated, late,
//! lost or reordered message does no harm.

use peridotrack_types::{id, name};
use serde::{Deserialize, Serialize};

/// A message from one holder to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Asks the drawer of a shard to raise grants.
    Draw {
        /// Shard number.
        shard: u32,
        /// Wanted totals.
        wants: Vec<Want>,
    },
    /// Reports grants that are in force in the ledger.
    Drawn {
        /// Shard number.
        shard: u32,
        /// Version of the shard object that holds them.
        version: u64,
        /// Rows of the receiver.
        grants: Vec<Grant>,
    },
    /// Asks another holder for tokens.
    Ask {
        /// Budget.
        budget: name::Budget,
        /// Tokens that waiting requests lack; 0 withdraws an earlier call.
        need_tokens: u64,
        /// Tokens that would be useful beyond them.
        wish_tokens: u64,
        /// Total that the sender has received from the receiver.
        received_tokens: u64,
    },
    /// Transfers tokens, or says that there are none.
    Give {
        /// Budget.
        budget: name::Budget,
        /// Total that the sender has sent to the receiver.
        sent_tokens: u64,
    },
    /// Acknowledges a transfer.
    Receipt {
        /// Budget.
        budget: name::Budget,
        /// Total that the sender has received from the receiver.
        received_tokens: u64,
    },
}

/// One wanted grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// Budget.
    pub budget: name::Budget,
    /// Wanted total of the grant.
    pub want_granted_tokens: u64,
    /// Part of the wanted total that waiting requests need at once.
    pub need_tokens: u64,
    /// Total returned.
    pub returned_tokens: u64,
    /// Total settled.
    pub settled_tokens: u64,
    /// Tokens reserved at present.
    pub reserved_tokens: u64,
}

/// One grant in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Budget.
    pub budget: name::Budget,
    /// Total granted.
    pub granted_tokens: u64,
    /// Total returned, as the ledger has it.
    pub returned_tokens: u64,
    /// Tokens that nobody holds.
    pub left_tokens: u64,
    /// Holders with an open row.
    pub holders: u32,
}

impl Message {
    /// Returns the budget of a transfer message.
    pub fn budget(&self) -> Option<&name::Budget> {
        match self {
            Self::Draw { .. } | Self::Drawn { .. } => None,
            Self::Ask { budget, .. } | Self::Give { budget, .. } | Self::Receipt { budget, .. } => {
                Some(budget)
            }
        }
    }
}

/// Picks the drawer of a shard: the candidate with the highest rendezvous weight.
pub fn drawer(shard: u32, candidates: &[id::Incarnation]) -> Option<id::Incarnation> {
    candidates
        .iter()
        .copied()
        .max_by_key(|candidate| (weight(shard, candidate.0), *candidate))
}

/// Mixes shard and incarnation with the finalizer of splitmix64.
fn weight(shard: u32, incarnation: u64) -> u64 {
    let mut mixed = incarnation ^ (u64::from(shard) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
