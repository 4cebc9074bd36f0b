//! The peers that receive updates from this router, which is their relay.

use std::collections::BTreeMap;

use peridotrack_types::id;

use crate::{
    event::Action,
    message::{Message, Update},
};

/// Peers whose subscriptions have not expired.
#[derive(Debug, Default)]
pub(super) struct Subscribers {
    /// When the subscription of each peer expires.
    until_us: BTreeMap<id::Incarnation, u64>,
}

impl Subscribers {
    /// Adds a peer or renews its subscription. Returns whether the peer is new.
    pub(super) fn renew(&mut self, peer: id::Incarnation, until_us: u64) -> bool {
        self.until_us.insert(peer, until_us).is_none()
    }

    /// Returns whether there is any subscription.
    pub(super) fn any(&self, now_us: u64) -> bool {
        self.until_us.values().any(|until_us| *until_us > now_us)
    }

    /// Sends an update to the subscribers, without its changes if they exceed `max_bytes`. The
    /// last known change before the end of the update is that of `unchanged_since`.
    pub(super) fn notify(
        &mut self,
        now_us: u64,
        update: &Update,
        unchanged_since: u64,
        max_bytes: usize,
        actions: &mut Vec<Action>,
    ) {
        self.until_us.retain(|_, until_us| *until_us > now_us);
        if self.until_us.is_empty() {
            return;
        }
        let bytes: usize = update
            .changes
            .iter()
            .map(|change| change.content.len())
            .sum();
        let mut update = update.clone();
        if update.changes.is_empty() || bytes > max_bytes {
            update.changes.clear();
            update.from_revision = unchanged_since;
        }
        for to in self.until_us.keys() {
            actions.push(Action::Send {
                to: *to,
                message: Message::Update(update.clone()),
            });
        }
    }
}
