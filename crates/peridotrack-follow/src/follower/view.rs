//! What a follower knows of the driver's copy of the objects: the state of the store that the copy
//! shows, and how recently the store, directly or through a relay, confirmed it.

use crate::message::Update;

/// State of the store that the driver's copy of the objects shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct View {
    /// Revision up to which all changes are applied.
    pub(super) revision: u64,
    /// Revision of the last known change, or of the list if there was no change since.
    pub(super) unchanged_since: u64,
    /// When the store or the relay last confirmed the view; `None` if a peer sent it since there was
    /// none.
    pub(super) confirmed_us: Option<u64>,
    /// Revision that the store has stated without a change up to it, and when.
    stated: Option<(u64, u64)>,
}

impl View {
    /// Returns the view after all objects were read at a revision.
    pub(super) fn of_all(revision: u64, confirmed_us: Option<u64>) -> Self {
        Self {
            revision,
            unchanged_since: revision,
            confirmed_us,
            stated: None,
        }
    }

    /// Returns the revision up to which a watch without changes, sent at `sent_us`, shows that there were
    /// none. The store may report a change late, although it states a later revision. Only a revision
    /// that it stated `settle_us` before the watch was sent is therefore taken as proven by it.
    pub(super) fn proven(
        &mut self,
        now_us: u64,
        sent_us: u64,
        stated_revision: u64,
        settle_us: u64,
    ) -> u64 {
        let (revision, since_us) = *self.stated.get_or_insert((stated_revision, now_us));
        if sent_us < since_us + settle_us {
            return self.revision;
        }
        self.stated = Some((stated_revision, now_us));
        revision.max(self.revision)
    }

    /// Returns whether the store or the relay has confirmed the view within the last `age_us`.
    pub(super) fn is_confirmed_within(&self, now_us: u64, age_us: u64) -> bool {
        self.confirmed_us
            .is_some_and(|confirmed_us| now_us < confirmed_us + age_us)
    }

    /// Returns the time since the view was last confirmed, in microseconds.
    pub(super) fn age_us(&self, now_us: u64) -> u64 {
        now_us.saturating_sub(self.confirmed_us.unwrap_or(0))
    }

    /// Returns whether changes are missing between the view and an update.
    pub(super) fn is_before(&self, update: &Update) -> bool {
        update.from_revision > self.revision
    }

    /// Moves the view to the revision of an update that continues it. The revision must not be
    /// lower than that of the view.
    pub(super) fn advance(&mut self, update: &Update) {
        if update.revision > self.revision && !update.changes.is_empty() {
            self.unchanged_since = update.revision;
        }
        self.revision = update.revision;
        self.stated = self.stated.filter(|(stated, _)| *stated > self.revision);
    }
}
