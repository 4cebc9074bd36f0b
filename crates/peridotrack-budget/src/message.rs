//! Messages between holders, and the choice of a coordinator.
//!
//! Every token counter is a total since the start of the incarnation, so that a duplicated, late,
//! lost or reordered message does no harm.

use std::collections::BTreeSet;

use peridotrack_types::{id, name};
use serde::{Deserialize, Deserializer, Serialize};

/// A message from one holder to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Requests tokens from another holder.
    #[serde(rename = "ask")]
    TokenRequest {
        /// Budget of the requested tokens.
        budget: name::Budget,
        /// Tokens that waiting reservations and token requests lack at the sender.
        need_tokens: u64,
        /// Tokens that the sender would like to hold beyond `need_tokens`.
        #[serde(rename = "wish_tokens")]
        desired_tokens: u64,
        /// How far the receiver searches for tokens that it lacks itself.
        reach: Reach,
        /// Version of the shard object in which the sender is a member; 0 if it is not a member.
        member_version: u64,
        /// Total that the sender has received from the receiver.
        received_tokens: u64,
        /// Tokens that the sender holds and could reserve now. The last field, because releases
        /// before it was added end the message without it; it then counts as 0.
        #[serde(default, deserialize_with = "zero_if_absent")]
        available_tokens: u64,
    },
    /// Transfers tokens, replies to a token request, or both.
    #[serde(rename = "give")]
    Transfer {
        /// Budget of the transferred tokens.
        budget: name::Budget,
        /// Total that the sender has sent to the receiver.
        sent_tokens: u64,
        /// What the receiver can expect beyond this transfer.
        #[serde(rename = "answer")]
        reply: Reply,
        /// Whether the sender regards the budget as scarce, see
        /// [`crate::options::Options::scarce_part`].
        is_scarce: bool,
    },
    /// Acknowledges a transfer.
    Receipt {
        /// Budget of the acknowledged tokens.
        budget: name::Budget,
        /// Total that the sender has received from the receiver.
        received_tokens: u64,
    },
    /// Reports that the sender has made the receiver a member of a shard.
    Joined {
        /// Number of the shard object, see [`crate::ledger::shard_of`].
        shard: u32,
        /// Version of the shard object from which on the receiver is a member.
        version: u64,
        /// Holders declared gone so far, with which the receiver exchanges no tokens.
        gone: BTreeSet<id::Incarnation>,
    },
}

/// Decodes a number that ends the message, or 0 if the message has ended before it.
fn zero_if_absent<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    Ok(u64::deserialize(deserializer).unwrap_or_default())
}

/// How far a holder searches on behalf of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reach {
    /// Only tokens that are available at the holder now.
    Now,
    /// Also tokens that become available at the holder later.
    Holder,
    /// Also tokens of the holder's peers in its failure domain.
    Domain,
    /// Also the ledger and the other failure domains.
    Fleet,
}

/// Reply to a token request; every transfer carries one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// No reply: the transfer is retransmitted or was not requested.
    #[serde(rename = "unasked")]
    Unsolicited,
    /// A search is running; another reply follows.
    Pending,
    /// An earlier transfer was not acknowledged and is retransmitted; a further request may get
    /// more.
    Repeated,
    /// The transfer has what was requested, as far as tokens were available.
    Final,
    /// The ledger and the holders have too little.
    Exhausted,
    /// The sender no longer transfers tokens of this budget.
    Leaving,
    /// The store is unreachable, and the holders have too little.
    Unreachable,
}

/// Picks the coordinator of a shard: the candidate with the highest rendezvous weight.
///
/// Returns `None` without candidates.
pub fn coordinator(
    shard: u32,
    candidates: impl IntoIterator<Item = id::Incarnation>,
) -> Option<id::Incarnation> {
    candidates
        .into_iter()
        .max_by_key(|candidate| (weight(shard, candidate.0), *candidate))
}

/// Returns the rendezvous weight: shard and incarnation, mixed with the finalizer of splitmix64.
fn weight(shard: u32, incarnation: u64) -> u64 {
    let mut mixed = incarnation ^ (u64::from(shard) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
