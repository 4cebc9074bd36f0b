//! The peers that receive updates from this router, which is their relay.

use std::collections::BTreeMap;

use peridotrack_types::id;

use crate::{
    event::Action,
    message::{DatedUpdate, Message, Update},
};

/// The subscription of one peer.
#[derive(Debug, Clone, Copy)]
struct Subscriber {
    /// When it expires.
    until_us: u64,
    /// When the peer sent it, by the peer's clock; `None` if the peer takes no dated updates.
    sent_us: Option<u64>,
}

/// Peers whose subscriptions have not expired.
#[derive(Debug, Default)]
pub(super) struct Subscribers {
    peers: BTreeMap<id::Incarnation, Subscriber>,
}

impl Subscribers {
    /// Adds a peer or renews its subscription, which the peer sent at `sent_us` by its own clock.
    /// Returns whether the peer is new.
    pub(super) fn renew(
        &mut self,
        peer: id::Incarnation,
        sent_us: Option<u64>,
        until_us: u64,
    ) -> bool {
        let former = self.peers.get(&peer).copied();
        let sent_us = sent_us.max(former.and_then(|former| former.sent_us));
        self.peers.insert(peer, Subscriber { until_us, sent_us });
        former.is_none()
    }

    /// Returns whether there is any subscription.
    pub(super) fn any(&self, now_us: u64) -> bool {
        self.peers.values().any(|peer| peer.until_us > now_us)
    }

    /// Sends an update to the subscribers, without its changes if they exceed `max_bytes`. The
    /// last known change before the end of the update is that of `unchanged_since`, and the view was
    /// confirmed `age_us` ago.
    pub(super) fn notify(
        &mut self,
        now_us: u64,
        update: &Update,
        unchanged_since: u64,
        age_us: u64,
        max_bytes: usize,
        actions: &mut Vec<Action>,
    ) {
        self.peers.retain(|_, peer| peer.until_us > now_us);
        if self.peers.is_empty() {
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
        for to in self.peers.keys() {
            actions.push(self.update(*to, update.clone(), age_us));
        }
    }

    /// Returns the action that sends an update to a subscriber.
    pub(super) fn update(&self, to: id::Incarnation, update: Update, age_us: u64) -> Action {
        let sent_us = self.peers.get(&to).and_then(|peer| peer.sent_us);
        let message = match sent_us {
            Some(subscribed_us) => Message::DatedUpdate(DatedUpdate {
                subscribed_us,
                age_us,
                update,
            }),
            None => Message::Update(update),
        };
        Action::Send { to, message }
    }
}
