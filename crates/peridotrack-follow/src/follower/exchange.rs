//! The exchange of all objects with peers, for routers that nothing else keeps current.
//!
//! The store may turn some routers away and serve the others. A router whose calls fail, and which
//! no relay keeps current, therefore asks peers of any failure domain for the objects:
//!
//! 1. [`Exchange::ask`] chooses, once a period, the peers to ask. They are sent
//!    [`Message::Fetch`](crate::message::Message::Fetch) with the revision that the router has.
//! 2. A peer that has newer objects from the store or a relay sends all of them; see
//!    [`has_newer`].
//! 3. [`Exchange::adopt`] takes them over if they are still newer than those of the router.
//!
//! Fetched objects do not count as confirmed: the peer may not send the next change. Nor are they
//! passed on, so that routers without a source never confirm each other's view.

use peridotrack_types::id;

use super::{options::Options, view::View};

/// Peers of all failure domains, and when they are asked for the objects.
#[derive(Debug)]
pub(super) struct Exchange {
    /// Live peers of all failure domains, without this router.
    peers: Vec<id::Incarnation>,
    /// Number of requests, which go in turn to the own failure domain and to the others: the store
    /// may turn either away as a whole.
    requests: usize,
    /// Peer whose objects were adopted last; it is asked each time.
    source: Option<id::Incarnation>,
    /// When a peer may be asked next.
    ask_at_us: u64,
}

impl Exchange {
    /// Returns an exchange without peers.
    pub(super) fn new(now_us: u64) -> Self {
        Self {
            peers: Vec::new(),
            requests: 0,
            source: None,
            ask_at_us: now_us,
        }
    }

    /// Replaces the live peers of all failure domains, in the order in which they are asked.
    pub(super) fn set_peers(&mut self, peers: Vec<id::Incarnation>) {
        self.peers = peers;
    }

    /// Returns the peers that are asked for the objects now: none before the period has passed,
    /// else the next one in turn and the source. `local` are the peers of the own failure domain.
    pub(super) fn ask(
        &mut self,
        now_us: u64,
        options: &Options,
        local: &[id::Incarnation],
    ) -> Vec<id::Incarnation> {
        if !options.is_fetched || now_us < self.ask_at_us {
            return Vec::new();
        }
        self.ask_at_us = now_us + options.fetch_us;
        let Some(next) = self.next_peer(local) else {
            return Vec::new();
        };
        let source = self.source.filter(|source| *source != next);
        std::iter::once(next).chain(source).collect()
    }

    /// Returns the peer to ask next; `None` if there is no peer.
    fn next_peer(&mut self, local: &[id::Incarnation]) -> Option<id::Incarnation> {
        let is_local = |peer: &id::Incarnation| local.contains(peer);
        let (local, foreign): (Vec<_>, Vec<_>) = self.peers.iter().partition(|peer| is_local(peer));
        let request = self.requests;
        self.requests += 1;
        let (asked, position) = match (local.is_empty(), foreign.is_empty()) {
            (true, true) => return None,
            (true, false) => (foreign, request),
            (false, true) => (local, request),
            (false, false) if request.is_multiple_of(2) => (foreign, request / 2),
            (false, false) => (local, request / 2),
        };
        Some(asked[position % asked.len()])
    }

    /// Returns the view after the objects that a peer sent at `revision` replace those of `own`;
    /// `None` if they do not: they are not newer, or the own view was confirmed recently.
    pub(super) fn adopt(
        &mut self,
        now_us: u64,
        options: &Options,
        own: Option<View>,
        from: id::Incarnation,
        revision: u64,
    ) -> Option<View> {
        let is_known = self.peers.contains(&from);
        let is_newer = own.is_none_or(|own| own.revision < revision);
        let is_confirmed =
            own.is_some_and(|own| own.is_confirmed_within(now_us, options.silence_us));
        if !is_known || !is_newer || is_confirmed {
            return None;
        }
        self.source = Some(from);
        Some(View::of_all(revision, own.and_then(|own| own.confirmed_us)))
    }
}

/// Returns whether a router with the view `own` sends its objects to a peer whose view ends at
/// `revision`: they are newer, and its view shows what the store held at most one regular wait ago.
pub(super) fn has_newer(now_us: u64, options: &Options, own: View, revision: Option<u64>) -> bool {
    own.is_confirmed_within(now_us, options.wait_us + options.silence_us)
        && revision.is_none_or(|revision| revision < own.unchanged_since)
}
