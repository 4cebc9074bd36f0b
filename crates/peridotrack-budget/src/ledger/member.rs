//! Members of a shard: the holders that may take part in its transfers.
//!
//! Membership starts before a holder draws or transfers, and ends when all its rows are closed
//! or, after an operator's release, folded.

use std::collections::BTreeSet;

use peridotrack_types::id;
use serde::{Deserialize, Serialize};

use super::Shard;

/// Maximum number of former members that a shard lists as departed.
const MAX_DEPARTED: usize = 64;

/// Membership state of a holder in a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Member {
    /// The holder may take part in transfers, except with holders that it acknowledged as gone.
    Live {
        /// Holders that are gone and whose final totals with this one are in the ledger.
        acknowledged: BTreeSet<id::Incarnation>,
    },
    /// An operator declared that the holder's VM is gone; the holder takes part in nothing more.
    Gone,
}

impl Member {
    /// Returns whether the member is live and has not acknowledged that `gone` is gone.
    pub(super) fn is_awaited(&self, gone: id::Incarnation) -> bool {
        match self {
            Self::Live { acknowledged } => !acknowledged.contains(&gone),
            Self::Gone => false,
        }
    }
}

/// Changes and queries of the membership.
impl Shard {
    /// Adds a holder, which has taken part in no transfers so far.
    ///
    /// Returns `false` if it is a member already or was one before.
    pub fn join(&mut self, holder: id::Incarnation) -> bool {
        if self.members.contains_key(&holder) || self.departed.contains(&holder) {
            return false;
        }
        let acknowledged = self.gone();
        self.members.insert(holder, Member::Live { acknowledged });
        true
    }

    /// Removes a holder whose rows are closed.
    pub fn leave(&mut self, holder: id::Incarnation) {
        self.members.remove(&holder);
        self.add_departed(holder);
        self.fold();
    }

    /// Lists a former member as departed, so that a late message does not make it a member again.
    pub(super) fn add_departed(&mut self, holder: id::Incarnation) {
        self.departed.push(holder);
        let excess = self.departed.len().saturating_sub(MAX_DEPARTED);
        self.departed.drain(..excess);
    }

    /// Returns the holders that were declared gone.
    pub fn gone(&self) -> BTreeSet<id::Incarnation> {
        let is_gone = |member: &Member| matches!(member, Member::Gone);
        self.members
            .iter()
            .filter(|(_, member)| is_gone(member))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Returns the holders declared gone that a live member has yet to acknowledge.
    pub fn unacknowledged(&self, holder: id::Incarnation) -> BTreeSet<id::Incarnation> {
        match self.members.get(&holder) {
            Some(Member::Live { acknowledged }) => &self.gone() - acknowledged,
            Some(Member::Gone) | None => BTreeSet::new(),
        }
    }

    /// Records that the final totals of the member `holder` with `gone` are all in
    /// `final_totals`.
    pub fn acknowledge(&mut self, gone: id::Incarnation, holder: id::Incarnation) {
        if let Some(Member::Live { acknowledged }) = self.members.get_mut(&holder) {
            acknowledged.insert(gone);
        }
    }
}
