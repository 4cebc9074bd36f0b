//! The subscription of this router to its relay.
//!
//! The relay is the live peer of the failure domain with the lowest incarnation, below this
//! router's own, that has not fallen silent recently. Of two followers of one router, the led one
//! adopts the relay of the leading one.

use std::collections::BTreeMap;

use peridotrack_types::id;

use super::options::Options;

/// The relay, and what is known of the relays before it.
#[derive(Debug)]
pub(super) struct Subscription {
    /// Peer that this router subscribes to, and when it last sent an update; before its first
    /// update, when it was chosen.
    relay: Option<(id::Incarnation, u64)>,
    /// When the relay last confirmed the view; `None` after an update that began beyond the view's
    /// revision, so that changes are missing.
    relayed_us: Option<u64>,
    /// When the subscription is renewed next.
    renew_at_us: u64,
    /// Relays that fell silent, and until when they are not chosen again.
    suspects: BTreeMap<id::Incarnation, u64>,
}

impl Subscription {
    /// Returns a subscription without a relay.
    pub(super) fn new(now_us: u64) -> Self {
        Self {
            relay: None,
            relayed_us: None,
            renew_at_us: now_us,
            suspects: BTreeMap::new(),
        }
    }

    /// Returns the relay, whether or not it sends updates.
    pub(super) fn relay(&self) -> Option<id::Incarnation> {
        self.relay.map(|(relay, _)| relay)
    }

    /// Returns whether the relay has confirmed the view within the last `silence_us`.
    pub(super) fn is_relayed(&self, now_us: u64, silence_us: u64) -> bool {
        self.relayed_us
            .is_some_and(|at_us| now_us < at_us + silence_us)
    }

    /// Chooses the relay among the live peers of the failure domain of the router `own`.
    pub(super) fn choose(
        &mut self,
        now_us: u64,
        options: &Options,
        own: id::Incarnation,
        peers: &[id::Incarnation],
    ) {
        if let Some((relay, updated_us)) = self.relay
            && now_us >= updated_us + options.silence_us
        {
            self.suspects.insert(relay, now_us + options.suspect_us);
            self.relay = None;
        }
        self.suspects.retain(|_, until_us| *until_us > now_us);
        let lower = peers.iter().copied().filter(|peer| *peer < own);
        let chosen = lower.filter(|peer| !self.suspects.contains_key(peer)).min();
        if chosen != self.relay() {
            self.relay = chosen.map(|relay| (relay, now_us));
            self.renew_at_us = now_us;
        }
    }

    /// Adopts the relay of the leading follower. A new relay keeps the view current only from its
    /// first update on.
    pub(super) fn set_relay(&mut self, now_us: u64, relay: Option<id::Incarnation>) {
        if relay != self.relay() {
            self.relay = relay.map(|relay| (relay, now_us));
            self.relayed_us = None;
            self.renew_at_us = now_us;
        }
    }

    /// Returns the relay if the subscription is due to be renewed, which it then counts as.
    pub(super) fn renew(&mut self, now_us: u64, options: &Options) -> Option<id::Incarnation> {
        let relay = self.relay()?;
        if now_us < self.renew_at_us {
            return None;
        }
        self.renew_at_us = now_us + options.subscribe_us;
        Some(relay)
    }

    /// Records an update of a peer. `is_gap` states whether changes are missing between the view
    /// and the update. Returns whether the peer is the relay: updates of other peers are ignored,
    /// so that two routers never confirm each other's view.
    pub(super) fn on_update(&mut self, now_us: u64, from: id::Incarnation, is_gap: bool) -> bool {
        let Some((relay, updated_us)) = &mut self.relay else {
            return false;
        };
        if *relay != from {
            return false;
        }
        *updated_us = now_us;
        self.relayed_us = (!is_gap).then_some(now_us);
        true
    }
}
