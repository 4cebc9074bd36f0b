//! The state machine that keeps one router's view of one kind of objects current.
//!
//! [`Follower::on_event`] takes each [`Event`] and returns the [`Action`]s to carry out. It decides
//! whether to watch the store or to rely on a relay, and as a relay it sends updates to its
//! subscribers. While neither keeps it current, it fetches the objects from other peers. Times are microseconds of a monotonic clock that the driver reads.

use std::collections::BTreeMap;

use peridotrack_types::id;

use crate::{
    event::{Action, Event},
    message::{Message, Snapshot, Update},
};

const US_PER_MS: u64 = 1_000;

/// Periods, timeouts and bounds of a follower.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Maximum wait of a watch by a router that is not a relay, in microseconds. An outage that
    /// leaves a watch without a response is detected only after this wait plus the driver's timeout
    /// for the response.
    pub wait_us: u64,
    /// Maximum wait of a relay's watch, in microseconds. The update sent at its end shows the
    /// subscribers that the relay is alive.
    pub relay_wait_us: u64,
    /// Maximum wait of a watch after a failed call or a silent relay, in microseconds. It is short
    /// because the same fault may leave this watch without a response too.
    pub retry_wait_us: u64,
    /// Time without an update from the relay after which the router watches the store itself, in
    /// microseconds. It must be longer than [`Options::relay_wait_us`], and shorter than the time
    /// within which a change must be known.
    pub silence_us: u64,
    /// Time since the last confirmation of the view after which the objects are listed again
    /// instead of watched, in microseconds. After a long time, listing them may be faster than
    /// reading all changes.
    pub relist_after_us: u64,
    /// Delay of the next watch after one that returned changes, in microseconds, so that one call
    /// reads several changes of a burst. A relay does not delay its watches.
    pub batch_delay_us: u64,
    /// Backoff after the first failed call, in microseconds; doubled by each further failure and
    /// jittered.
    pub backoff_min_us: u64,
    /// Longest backoff after failed calls, in microseconds.
    pub backoff_max_us: u64,
    /// Period at which the subscription to a relay is renewed, in microseconds.
    pub subscribe_us: u64,
    /// Time after which a subscription that is not renewed expires, in microseconds.
    pub subscription_us: u64,
    /// Time for which a silent relay is not chosen again, in microseconds.
    pub suspect_us: u64,
    /// Whether a router that neither the store nor a relay keeps current asks peers for the objects. It
    /// must not for a kind that is large and comes from peers in another way.
    pub is_fetched: bool,
    /// Period at which such a router asks a peer, in microseconds.
    pub fetch_us: u64,
    /// Maximum content of one update, in bytes. Of larger changes only the revision is sent, so
    /// that the subscribers read them from the store.
    pub max_update_bytes: usize,
    /// Whether another follower of this router, the leading one, chooses the relay and detects its
    /// silence. Long waits then suffice for this one, which saves calls for a kind that changes
    /// rarely.
    pub is_led: bool,
    /// Seed of the jitter; the incarnation is mixed in.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            wait_us: 1_500_000,
            relay_wait_us: 600_000,
            retry_wait_us: 500_000,
            silence_us: 1_200_000,
            relist_after_us: u64::MAX,
            batch_delay_us: 0,
            backoff_min_us: 100_000,
            backoff_max_us: 400_000,
            subscribe_us: 500_000,
            subscription_us: 2_000_000,
            suspect_us: 4_000_000,
            is_fetched: true,
            fetch_us: 500_000,
            max_update_bytes: 16 * 1024,
            is_led: false,
            seed: 0,
        }
    }
}

/// State of the store that the driver's copy of the objects shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct View {
    /// Revision up to which all changes are applied.
    revision: u64,
    /// Revision of the last known change, or of the list if there was no change since.
    unchanged_since: u64,
    /// When the store or the relay last confirmed the view; `None` if a peer sent it since there was
    /// none.
    confirmed_us: Option<u64>,
}

/// Follows one kind of objects for one router.
#[derive(Debug)]
pub struct Follower {
    id: id::Incarnation,
    options: Options,
    rng: fastrand::Rng,
    view: Option<View>,
    /// Whether a list or watch is outstanding.
    is_calling: bool,
    /// Failed calls since the last successful one.
    failures: u32,
    /// When the next call to the store may start.
    call_at_us: u64,
    /// Whether the next watch, or the one that is outstanding, does not wait: its response shows
    /// whether the store is available, or contains changes that a relay has announced.
    is_polling: bool,
    /// Live peers of the failure domain, without this router.
    peers: Vec<id::Incarnation>,
    /// Peer that this router subscribes to, and when it last sent an update; before its first
    /// update, when it was chosen.
    relay: Option<(id::Incarnation, u64)>,
    /// When the relay last confirmed the view; `None` after an update that began beyond the view's
    /// revision, so that changes are missing.
    relayed_us: Option<u64>,
    /// When the subscription is renewed next.
    subscribe_at_us: u64,
    /// Relays that fell silent, and until when they are not chosen again.
    suspects: BTreeMap<id::Incarnation, u64>,
    /// Live peers of all failure domains, without this router.
    all_peers: Vec<id::Incarnation>,
    /// Number of requests to peers for the objects, which go in turn to the own failure domain and to
    /// the others: the store may turn either away as a whole.
    requests: usize,
    /// Peer whose objects were adopted last; it is asked each time.
    source: Option<id::Incarnation>,
    /// When a peer may be asked for the objects next.
    fetch_at_us: u64,
    /// Peers that receive updates from this router, and when their subscriptions expire.
    subscribers: BTreeMap<id::Incarnation, u64>,
}

/// Constructors.
impl Follower {
    /// Returns a follower without a view, whose first action lists the objects.
    pub fn new(id: id::Incarnation, options: Options, now_us: u64) -> Self {
        Self {
            id,
            rng: fastrand::Rng::with_seed(options.seed ^ id.0),
            view: None,
            is_calling: false,
            failures: 0,
            call_at_us: now_us,
            is_polling: false,
            peers: Vec::new(),
            relay: None,
            relayed_us: None,
            subscribe_at_us: now_us,
            suspects: BTreeMap::new(),
            all_peers: Vec::new(),
            requests: 0,
            source: None,
            fetch_at_us: now_us,
            subscribers: BTreeMap::new(),
            options,
        }
    }
}

/// Queries of the state of the view.
impl Follower {
    /// Returns the revision that the view shows, `None` before the first list.
    pub fn revision(&self) -> Option<u64> {
        self.view.map(|view| view.revision)
    }

    /// Returns when the store or the relay last confirmed the view; `None` if neither has yet.
    pub fn confirmed_us(&self) -> Option<u64> {
        self.view?.confirmed_us
    }

    /// Returns whether a list of a revision may be applied. One that took long may be older than
    /// objects that a peer has sent meanwhile; the store's revisions never decrease.
    pub fn accepts_list(&self, revision: u64) -> bool {
        self.view.is_none_or(|view| view.revision <= revision)
    }

    /// Returns whether updates of a relay keep the view current, so that no watch is needed.
    pub fn is_relayed(&self, now_us: u64) -> bool {
        self.relayed_us
            .is_some_and(|at_us| now_us < at_us + self.options.silence_us)
    }

    /// Returns the relay whose updates keep the view current; `None` if no relay does.
    pub fn relay(&self, now_us: u64) -> Option<id::Incarnation> {
        let (relay, _) = self.relay?;
        self.is_relayed(now_us).then_some(relay)
    }
}

/// Handling of events.
impl Follower {
    /// Handles an event and returns the actions to carry out.
    pub fn on_event(&mut self, now_us: u64, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => {}
            Event::Listed { revision } => self.on_listed(now_us, revision),
            Event::Watched {
                changes,
                revision,
                since_loss_us,
            } => {
                self.is_calling = false;
                // The watch after a poll may be cut off again.
                if !std::mem::take(&mut self.is_polling) {
                    self.failures = 0;
                }
                // A relay does not delay its next watch, because that would delay its subscribers.
                if !changes.is_empty() && !self.is_relay(now_us) {
                    self.call_at_us = now_us + self.options.batch_delay_us;
                }
                let update = Update {
                    from_revision: self.watched_from(),
                    revision,
                    changes,
                    since_loss_us,
                };
                self.apply(now_us, update, &mut actions);
            }
            Event::CallFailed => self.on_failure(now_us),
            Event::WatchCut => {
                self.on_failure(now_us);
                self.is_polling = true;
            }
            Event::HistoryLost => {
                self.is_calling = false;
                self.is_polling = false;
                self.view = None;
            }
            Event::Peers(peers) => {
                self.peers = peers;
                self.peers.retain(|peer| *peer != self.id);
            }
            Event::AllPeers(peers) => {
                self.all_peers = peers;
                self.all_peers.retain(|peer| *peer != self.id);
                // Routers that are turned away together do not ask the same peers.
                self.rng.shuffle(&mut self.all_peers);
            }
            Event::Relay(relay) => self.set_relay(now_us, relay),
            Event::Peer { from, message } => self.on_message(now_us, from, message, &mut actions),
        }
        self.subscribe(now_us, &mut actions);
        self.call_store(now_us, &mut actions);
        self.fetch(now_us, &mut actions);
        actions
    }

    fn on_listed(&mut self, now_us: u64, revision: u64) {
        self.is_calling = false;
        self.is_polling = false;
        self.failures = 0;
        if !self.accepts_list(revision) {
            return;
        }
        self.view = Some(View {
            revision,
            unchanged_since: revision,
            confirmed_us: Some(now_us),
        });
    }

    fn on_failure(&mut self, now_us: u64) {
        self.is_calling = false;
        let delay_us =
            (self.options.backoff_min_us << self.failures.min(16)).min(self.options.backoff_max_us);
        self.failures += 1;
        self.call_at_us = now_us + delay_us / 2 + self.rng.u64(0..=delay_us / 2);
    }

    fn on_message(
        &mut self,
        now_us: u64,
        from: id::Incarnation,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        match message {
            Message::Subscribe => {
                let until_us = now_us + self.options.subscription_us;
                if self.subscribers.insert(from, until_us).is_none() {
                    self.send_confirmation(now_us, from, actions);
                }
            }
            Message::Update(update) => self.on_update(now_us, from, update, actions),
            Message::Fetch { after } => self.on_fetch(now_us, from, after, actions),
            Message::Snapshot(snapshot) => self.on_snapshot(now_us, from, snapshot, actions),
        }
    }

    /// Sends a new subscriber the current revision, if the view was confirmed recently.
    fn send_confirmation(&self, now_us: u64, to: id::Incarnation, actions: &mut Vec<Action>) {
        let Some(view) = self.view else { return };
        if !self.is_confirmed_within(now_us, self.options.relay_wait_us) {
            return;
        }
        actions.push(Action::Send {
            to,
            message: Message::Update(Update {
                from_revision: view.unchanged_since,
                revision: view.revision,
                ..Update::default()
            }),
        });
    }

    fn on_update(
        &mut self,
        now_us: u64,
        from: id::Incarnation,
        update: Update,
        actions: &mut Vec<Action>,
    ) {
        // Updates of other peers are ignored, so that two routers never confirm each other's view.
        let Some((relay, updated_us)) = &mut self.relay else {
            return;
        };
        if *relay != from {
            return;
        }
        *updated_us = now_us;
        let is_gap = self
            .view
            .is_none_or(|view| update.from_revision > view.revision);
        if is_gap {
            self.relayed_us = None;
            self.is_polling |= !self.is_calling;
            return;
        }
        self.relayed_us = Some(now_us);
        self.apply(now_us, update, actions);
    }
}

/// Exchange of all objects with peers of any failure domain: the store may turn some routers away and
/// serve the others.
impl Follower {
    /// Returns whether the store or a relay has confirmed the view recently.
    fn is_confirmed(&self, now_us: u64) -> bool {
        self.is_confirmed_within(now_us, self.options.silence_us)
    }

    fn is_confirmed_within(&self, now_us: u64, age_us: u64) -> bool {
        self.confirmed_us()
            .is_some_and(|confirmed_us| now_us < confirmed_us + age_us)
    }

    /// Returns whether the view shows what the store held at most one regular wait ago.
    fn is_current(&self, now_us: u64) -> bool {
        self.is_confirmed_within(now_us, self.options.wait_us + self.options.silence_us)
    }

    /// Asks peers, one after another, for the objects if calls to the store fail and no relay keeps the
    /// view current.
    fn fetch(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let is_due = self.failures > 0 && now_us >= self.fetch_at_us;
        if !is_due || !self.options.is_fetched || self.is_confirmed(now_us) {
            return;
        }
        self.fetch_at_us = now_us + self.options.fetch_us;
        let Some(next) = self.next_peer() else {
            return;
        };
        let source = self.source.filter(|source| *source != next);
        for to in std::iter::once(next).chain(source) {
            let message = Message::Fetch {
                after: self.revision(),
            };
            actions.push(Action::Send { to, message });
        }
    }

    /// Returns the peer to ask next; `None` if there is no peer.
    fn next_peer(&mut self) -> Option<id::Incarnation> {
        let is_local = |peer: &id::Incarnation| self.peers.contains(peer);
        let (local, foreign): (Vec<_>, Vec<_>) =
            self.all_peers.iter().partition(|peer| is_local(peer));
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

    /// Sends the objects to a peer that has older ones. Objects that this router fetched itself are not
    /// passed on, so that routers without a source never confirm each other's view.
    fn on_fetch(
        &self,
        now_us: u64,
        from: id::Incarnation,
        after: Option<u64>,
        actions: &mut Vec<Action>,
    ) {
        let Some(view) = self.view.filter(|_| self.is_current(now_us)) else {
            return;
        };
        if after.is_none_or(|after| after < view.unchanged_since) {
            actions.push(Action::SendSnapshot {
                to: from,
                revision: view.revision,
            });
        }
    }

    /// Adopts the objects of a peer if they are newer. The view does not count as confirmed: the peer
    /// may not send the next change.
    fn on_snapshot(
        &mut self,
        now_us: u64,
        from: id::Incarnation,
        snapshot: Snapshot,
        actions: &mut Vec<Action>,
    ) {
        let is_newer = self.revision().is_none_or(|own| own < snapshot.revision);
        let is_known = self.all_peers.contains(&from);
        if !is_known || !is_newer || self.is_confirmed(now_us) {
            return;
        }
        self.source = Some(from);
        self.view = Some(View {
            revision: snapshot.revision,
            unchanged_since: snapshot.revision,
            confirmed_us: self.confirmed_us(),
        });
        actions.push(Action::Replace(snapshot));
    }
}

/// Updates of the view and of the subscribers.
impl Follower {
    /// Returns the revision after which the changes of a watch begin; 0 without a view.
    fn watched_from(&self) -> u64 {
        self.view.map_or(0, |view| view.revision)
    }

    /// Applies an update that continues the view and forwards it to the subscribers.
    fn apply(&mut self, now_us: u64, update: Update, actions: &mut Vec<Action>) {
        let Some(view) = &mut self.view else {
            return;
        };
        view.confirmed_us = Some(now_us);
        if update.revision < view.revision {
            return;
        }
        let is_new = update.revision > view.revision;
        view.revision = update.revision;
        if is_new && !update.changes.is_empty() {
            view.unchanged_since = update.revision;
        }
        let unchanged_since = view.unchanged_since;
        self.notify_subscribers(now_us, &update, unchanged_since, actions);
        if is_new && !update.changes.is_empty() {
            actions.push(Action::Apply {
                changes: update.changes,
                since_loss_us: update.since_loss_us,
            });
        }
    }

    /// Sends an update to the subscribers, without its changes if they are too large.
    fn notify_subscribers(
        &mut self,
        now_us: u64,
        update: &Update,
        unchanged_since: u64,
        actions: &mut Vec<Action>,
    ) {
        self.subscribers.retain(|_, until_us| *until_us > now_us);
        if self.subscribers.is_empty() {
            return;
        }
        let bytes: usize = update
            .changes
            .iter()
            .map(|change| change.content.len())
            .sum();
        let mut update = update.clone();
        if update.changes.is_empty() || bytes > self.options.max_update_bytes {
            update.changes.clear();
            update.from_revision = unchanged_since;
        }
        for to in self.subscribers.keys() {
            actions.push(Action::Send {
                to: *to,
                message: Message::Update(update.clone()),
            });
        }
    }
}

/// Choice between the relay and the store.
impl Follower {
    /// Renews the subscription to the relay, after choosing it unless this follower is led.
    ///
    /// The chosen relay is the live peer with the lowest incarnation, below this router's own, that
    /// has not fallen silent recently.
    fn subscribe(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if !self.options.is_led {
            self.choose_relay(now_us);
        }
        let Some((to, _)) = self.relay else { return };
        if now_us >= self.subscribe_at_us {
            self.subscribe_at_us = now_us + self.options.subscribe_us;
            let message = Message::Subscribe;
            actions.push(Action::Send { to, message });
        }
    }

    fn choose_relay(&mut self, now_us: u64) {
        if let Some((relay, updated_us)) = self.relay
            && now_us >= updated_us + self.options.silence_us
        {
            let until_us = now_us + self.options.suspect_us;
            self.suspects.insert(relay, until_us);
            self.relay = None;
        }
        self.suspects.retain(|_, until_us| *until_us > now_us);
        let lower = self.peers.iter().copied().filter(|peer| *peer < self.id);
        let chosen = lower.filter(|peer| !self.suspects.contains_key(peer)).min();
        if chosen != self.relay.map(|(relay, _)| relay) {
            self.relay = chosen.map(|relay| (relay, now_us));
            self.subscribe_at_us = now_us;
        }
    }

    /// Adopts the relay of the leading follower. A new relay keeps the view current only from its
    /// first update on.
    fn set_relay(&mut self, now_us: u64, relay: Option<id::Incarnation>) {
        if relay != self.relay.map(|(relay, _)| relay) {
            self.relay = relay.map(|relay| (relay, now_us));
            self.relayed_us = None;
            self.subscribe_at_us = now_us;
        }
    }

    /// Returns whether this router relays changes: it has subscribers, or it has peers and the
    /// lowest incarnation among them.
    fn is_relay(&self, now_us: u64) -> bool {
        let is_lowest = self.peers.iter().all(|peer| *peer > self.id);
        let has_subscribers = self.subscribers.values().any(|until_us| *until_us > now_us);
        has_subscribers || is_lowest && !self.peers.is_empty()
    }

    /// Starts a call to the store unless a relay keeps the view current.
    fn call_store(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if self.is_calling || now_us < self.call_at_us {
            return;
        }
        let Some(view) = self.view else {
            self.is_calling = true;
            return actions.push(Action::List);
        };
        if self.is_relayed(now_us) {
            return;
        }
        let age_us = now_us.saturating_sub(view.confirmed_us.unwrap_or(0));
        if age_us >= self.options.relist_after_us {
            self.is_calling = true;
            return actions.push(Action::List);
        }
        let is_stale = age_us >= self.options.silence_us;
        let wait_us = if self.is_polling {
            0
        } else if self.failures > 0 || is_stale {
            self.options.retry_wait_us
        } else if self.is_relay(now_us) {
            self.options.relay_wait_us
        } else {
            self.options.wait_us
        };
        self.is_calling = true;
        actions.push(Action::Watch {
            revision: view.revision,
            wait_ms: wait_us / US_PER_MS,
        });
    }
}
