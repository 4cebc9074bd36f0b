//! Messages between holders.
//!
//! Every counter is a total since the start of the incarnation, so that a repeated, late,
//! lost or reordered message does no harm.

use std::collections::BTreeSet;

use peridotrack_types::{id, name};
use serde::{Deserialize, Serialize};

/// A message from one holder to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Asks another holder for tokens.
    #[serde(rename = "ask")]
    TokenRequest {
        /// Budget.
        budget: name::Budget,
        /// Tokens that waiting requests lack.
        need_tokens: u64,
        /// Tokens that would be useful beyond them.
        #[serde(rename = "wish_tokens")]
        desired_tokens: u64,
        /// How far the receiver may search for what it lacks itself.
        reach: Reach,
        /// Version of the shard object in which the sender is a member; 0 if it is none.
        member_version: u64,
        /// Total that the sender has received from the receiver.
        received_tokens: u64,
    },
    /// Transfers tokens, or says that there are none.
    #[serde(rename = "give")]
    Transfer {
        /// Budget.
        budget: name::Budget,
        /// Total that the sender has sent to the receiver.
        sent_tokens: u64,
        /// What the receiver may expect beyond them.
        #[serde(rename = "answer")]
        reply: Reply,
        /// Whether the sender takes the budget for scarce.
        is_scarce: bool,
    },
    /// Acknowledges a transfer.
    Receipt {
        /// Budget.
        budget: name::Budget,
        /// Total that the sender has received from the receiver.
        received_tokens: u64,
    },
    /// Reports that the receiver is a member of a shard.
    Joined {
        /// Shard number.
        shard: u32,
        /// Version of the shard object that holds the membership.
        version: u64,
        /// Holders that were declared gone before.
        gone: BTreeSet<id::Incarnation>,
    },
}

/// How far a holder searches on behalf of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reach {
    /// Only what the holder has at hand now.
    Now,
    /// Also what the holder is given back later.
    Holder,
    /// Also what its peers in the failure domain have.
    Domain,
    /// Also the ledger and the other failure domains.
    Fleet,
}

/// What follows a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// A repetition or an unasked transfer.
    #[serde(rename = "unasked")]
    Unsolicited,
    /// A search is under way; another answer follows.
    Pending,
    /// A repetition of a transfer that was not yet acknowledged; ask again for more.
    Repeated,
    /// What was asked for, as far as there was any.
    Final,
    /// Ledger and holders have too little.
    Exhausted,
    /// The sender moves tokens of this budget no more.
    Leaving,
    /// The store cannot be reached, and the holders have too little.
    Unreachable,
}

/// Picks the drawer of a shard: the candidate with the highest rendezvous weight.
pub fn coordinator(
    shard: u32,
    candidates: impl IntoIterator<Item = id::Incarnation>,
) -> Option<id::Incarnation> {
    candidates
        .into_iter()
        .max_by_key(|candidate| (weight(shard, candidate.0), *candidate))
}

/// Mixes shard and incarnation with the finalizer of splitmix64.
fn weight(shard: u32, incarnation: u64) -> u64 {
    let mut mixed = incarnation ^ (u64::from(shard) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
