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
    /// Peer that this router subscribes to, and when it counts as silent unless it sends another
    /// update.
    relay: Option<(id::Incarnation, u64)>,
    /// Whether the relay has sent a dated update.
    is_dated: bool,
    /// Revision of the latest update of the relay.
    revision: Option<u64>,
    /// Whether the revision of the view may be one that the store does not have.
    is_doubtful: bool,
    /// Until when the updates of the relay keep the view current; `None` after one that began beyond
    /// the view's revision, so that changes are missing.
    relayed_until_us: Option<u64>,
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
            is_dated: false,
            revision: None,
            is_doubtful: false,
            relayed_until_us: None,
            renew_at_us: now_us,
            suspects: BTreeMap::new(),
        }
    }

    /// Returns the relay, whether or not it sends updates.
    pub(super) fn relay(&self) -> Option<id::Incarnation> {
        self.relay.map(|(relay, _)| relay)
    }

    /// Returns whether the relay has sent a dated update, so that it needs no other subscription.
    pub(super) fn is_dated(&self) -> bool {
        self.is_dated
    }

    /// Returns whether updates of the relay keep the view current.
    pub(super) fn is_relayed(&self, now_us: u64) -> bool {
        self.relayed_until_us
            .is_some_and(|until_us| now_us < until_us)
    }

    /// Chooses the relay among the live peers of the failure domain of the router `own`.
    pub(super) fn choose(
        &mut self,
        now_us: u64,
        options: &Options,
        own: id::Incarnation,
        peers: &[id::Incarnation],
    ) {
        if let Some((relay, silent_at_us)) = self.relay
            && now_us >= silent_at_us
        {
            self.suspects.insert(relay, now_us + options.suspect_us);
            self.relay = None;
        }
        self.suspects.retain(|_, until_us| *until_us > now_us);
        let lower = peers.iter().copied().filter(|peer| *peer < own);
        let chosen = lower.filter(|peer| !self.suspects.contains_key(peer)).min();
        if chosen != self.relay() {
            self.replace(now_us, options, chosen);
        }
    }

    /// Adopts the relay of the leading follower. A new relay keeps the view current only from its
    /// first update on.
    pub(super) fn set_relay(
        &mut self,
        now_us: u64,
        options: &Options,
        relay: Option<id::Incarnation>,
    ) {
        if relay != self.relay() {
            self.replace(now_us, options, relay);
            self.relayed_until_us = None;
        }
    }

    fn replace(&mut self, now_us: u64, options: &Options, relay: Option<id::Incarnation>) {
        self.relay = relay.map(|relay| (relay, now_us + options.silence_us));
        self.is_dated = false;
        self.revision = None;
        self.is_doubtful = false;
        self.renew_at_us = now_us;
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

    /// Returns whether a call to the store has to show that it has the revision of the view.
    pub(super) fn is_doubtful(&self) -> bool {
        self.is_doubtful
    }

    /// Records that the store has shown its state to this router.
    pub(super) fn verify(&mut self) {
        self.is_doubtful = false;
    }

    /// Records the revision that an update states, and that of the router's view. Returns whether the
    /// relay has gone back: it states a lower revision than before, because it has replaced its view by
    /// one of the present state. What the relay stated before this router subscribed is not known, so
    /// that its first update casts doubt on a view with a higher revision.
    pub(super) fn has_gone_back(
        &mut self,
        from: id::Incarnation,
        revision: u64,
        view_revision: Option<u64>,
    ) -> bool {
        if self.relay() != Some(from) {
            return false;
        }
        let former = self.revision.replace(revision);
        self.is_doubtful |= former.is_none() && view_revision > Some(revision);
        former > Some(revision)
    }

    /// Records an update of a peer, which shows the store's state at `dated_us` or later, if known.
    /// `is_gap` states whether changes are missing between the view and the update. Returns whether
    /// the peer is the relay: updates of other peers are ignored, so that two routers never confirm
    /// each other's view.
    pub(super) fn on_update(
        &mut self,
        now_us: u64,
        options: &Options,
        from: id::Incarnation,
        dated_us: Option<u64>,
        is_gap: bool,
    ) -> bool {
        let Some((relay, silent_at_us)) = &mut self.relay else {
            return false;
        };
        if *relay != from {
            return false;
        }
        let silent_us = now_us + options.silence_us;
        let until_us = match dated_us {
            Some(dated_us) => silent_us.min(dated_us + options.max_age_us),
            None => silent_us,
        };
        *silent_at_us = until_us.max(*silent_at_us);
        self.is_dated |= dated_us.is_some();
        self.relayed_until_us = match is_gap {
            true => None,
            false => self.relayed_until_us.max(Some(until_us)),
        };
        true
    }
}
