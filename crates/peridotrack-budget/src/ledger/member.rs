//! Members of a shard: the holders that may take part in transfers.

use std::collections::BTreeSet;

use peridotrack_types::id;
use serde::{Deserialize, Serialize};

use super::Shard;

/// Former members that are remembered.
const TOMBSTONES_MAX: usize = 64;

/// Standing of a holder in a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Member {
    /// The holder may take part in transfers, except with those it acknowledged as gone.
    Live {
        /// Holders acknowledged as gone.
        acknowledged: BTreeSet<id::Incarnation>,
    },
    /// An operator declared the holder's VM gone.
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

/// Membership
impl Shard {
    /// Adds a holder, which has taken no part in transfers so far; returns whether it is new.
    pub fn join(&mut self, holder: id::Incarnation) -> bool {
        if self.members.contains_key(&holder) || self.tombstones.contains(&holder) {
            return false;
        }
        let acknowledged = self.gone();
        self.members.insert(holder, Member::Live { acknowledged });
        true
    }

    /// Removes a holder whose rows are closed.
    pub fn leave(&mut self, holder: id::Incarnation) {
        self.members.remove(&holder);
        self.add_tombstone(holder);
        self.fold();
    }

    /// Remembers a former member, so that a late message does not make it one again.
    pub(super) fn add_tombstone(&mut self, holder: id::Incarnation) {
        self.tombstones.push(holder);
        let excess = self.tombstones.len().saturating_sub(TOMBSTONES_MAX);
        self.tombstones.drain(..excess);
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

    /// Returns the holders declared gone that a member has yet to acknowledge.
    pub fn unacknowledged(&self, holder: id::Incarnation) -> BTreeSet<id::Incarnation> {
        match self.members.get(&holder) {
            Some(Member::Live { acknowledged }) => &self.gone() - acknowledged,
            Some(Member::Gone) | None => BTreeSet::new(),
        }
    }

    /// Records that a member's final totals with a holder that is gone are all in `final_totals`.
    pub fn acknowledge(&mut self, gone: id::Incarnation, holder: id::Incarnation) {
        if let Some(Member::Live { acknowledged }) = self.members.get_mut(&holder) {
            acknowledged.insert(gone);
        }
    }
}
