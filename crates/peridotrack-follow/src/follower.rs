//! The state machine that keeps one router's view of one kind of objects current.
//!
//! [`Follower::on_event`] takes each [`Event`] and returns the [`Action`]s to carry out. It decides
//! whether to watch the store or to rely on a relay, and as a relay it sends updates to its
//! subscribers. While neither keeps it current, it fetches the objects from other peers. Times are
//! microseconds of a monotonic clock that the driver reads.

mod exchange;
mod options;
mod subscribers;
mod subscription;
mod view;

use peridotrack_types::id;

use crate::{
    event::{Action, Event},
    message::{DatedUpdate, Message, Snapshot, Update},
};
use exchange::Exchange;
pub use options::Options;
use subscribers::Subscribers;
use subscription::Subscription;
use view::View;

const US_PER_MS: u64 = 1_000;

/// The latest call to the store.
#[derive(Debug, Clone, Copy, Default)]
struct Call {
    is_list: bool,
    sent_us: u64,
    /// Revision of the view as it was sent, after which a watch asks for changes; 0 without a view.
    from_revision: u64,
    /// Maximum time that the store waits for a change, in microseconds; 0 for a list.
    wait_us: u64,
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
    call: Call,
    /// Whether the store responded to the latest call, but not with its result.
    is_rejected: bool,
    /// Whether the objects must be listed before they are watched again, because the store does not
    /// report the changes after the view.
    must_list: bool,
    /// Revision up to which a relay has announced changes without sending them; 0 if none has.
    announced_revision: u64,
    /// Failed calls since the last successful one.
    failures: u32,
    /// Responses in a row after which the next call would be sent at once and is likely to get the same.
    idle_responses: u32,
    /// When the next call to the store may start.
    call_at_us: u64,
    /// Whether the next watch, or the one that is outstanding, does not wait: its response shows
    /// whether the store is available, or contains changes that a relay has announced.
    is_polling: bool,
    /// Live peers of the failure domain, without this router.
    peers: Vec<id::Incarnation>,
    subscription: Subscription,
    exchange: Exchange,
    subscribers: Subscribers,
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
            call: Call::default(),
            is_rejected: false,
            must_list: false,
            announced_revision: 0,
            failures: 0,
            idle_responses: 0,
            call_at_us: now_us,
            is_polling: false,
            peers: Vec::new(),
            subscription: Subscription::new(now_us),
            exchange: Exchange::new(now_us),
            subscribers: Subscribers::default(),
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

    /// Returns when the store or the relay last confirmed the view; `None` if neither has yet. A
    /// confirmation of the relay counts from the subscription that preceded it, if it is dated.
    pub fn confirmed_us(&self) -> Option<u64> {
        self.view?.confirmed_us
    }

    /// Returns whether a list of a revision may be applied. One that took long may be older than
    /// objects that a peer has sent meanwhile. If the view has not changed since the list was sent, the
    /// list shows a later state of the store, whatever the revisions say: that of the view may be wrong, or
    /// the store may have lost the changes up to it.
    pub fn accepts_list(&self, revision: u64) -> bool {
        let is_later =
            |view: View| view.revision <= revision || view.revision == self.call.from_revision;
        self.must_list || self.view.is_none_or(is_later)
    }

    /// Returns whether updates of a relay keep the view current, so that no watch is needed.
    pub fn is_relayed(&self, now_us: u64) -> bool {
        self.subscription.is_relayed(now_us)
    }

    /// Returns the relay whose updates keep the view current; `None` if no relay does.
    pub fn relay(&self, now_us: u64) -> Option<id::Incarnation> {
        let relay = self.subscription.relay()?;
        self.is_relayed(now_us).then_some(relay)
    }

    fn is_confirmed_within(&self, now_us: u64, age_us: u64) -> bool {
        self.view
            .is_some_and(|view| view.is_confirmed_within(now_us, age_us))
    }
}

/// Handling of events.
impl Follower {
    /// Handles an event and returns the actions to carry out.
    pub fn on_event(&mut self, now_us: u64, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => {}
            Event::Listed { revision } => self.on_listed(now_us, revision, &mut actions),
            Event::Watched {
                changes,
                last_change,
                revision,
                since_loss_us,
            } => {
                let update = Update {
                    from_revision: self.call.from_revision,
                    revision,
                    changes,
                    since_loss_us,
                };
                self.on_watched(now_us, last_change, update, &mut actions);
            }
            Event::CallFailed => self.on_failure(now_us),
            Event::CallRejected => {
                self.on_failure(now_us);
                self.is_polling = false;
                self.is_rejected = true;
                // A response to a call of the other sort ends the failures, but not the delay.
                self.on_idle_response(now_us);
            }
            Event::WatchCut => {
                self.on_failure(now_us);
                self.is_polling = true;
            }
            Event::HistoryLost => {
                self.is_calling = false;
                self.is_polling = false;
                self.must_list = true;
                self.on_idle_response(now_us);
            }
            Event::Rewound => self.must_list = true,
            Event::Peers(peers) => {
                self.peers = peers;
                self.peers.retain(|peer| *peer != self.id);
            }
            Event::AllPeers(mut peers) => {
                peers.retain(|peer| *peer != self.id);
                // Routers that are turned away together do not ask the same peers.
                self.rng.shuffle(&mut peers);
                self.exchange.set_peers(peers);
            }
            Event::Relay(relay) => self.subscription.set_relay(now_us, &self.options, relay),
            Event::Peer { from, message } => self.on_message(now_us, from, message, &mut actions),
        }
        self.subscribe(now_us, &mut actions);
        self.call_store(now_us, &mut actions);
        self.fetch(now_us, &mut actions);
        actions
    }

    fn on_listed(&mut self, now_us: u64, revision: u64, actions: &mut Vec<Action>) {
        self.is_calling = false;
        self.is_polling = false;
        self.failures = 0;
        if !self.accepts_list(revision) {
            self.on_idle_response(now_us);
            return;
        }
        self.must_list = false;
        self.announced_revision = 0;
        self.subscription.verify();
        self.view = Some(View::of_all(revision, Some(now_us)));
        // Subscribers with an earlier view read the changes from the store.
        let update = Update {
            revision,
            ..Update::default()
        };
        let max_bytes = self.options.max_update_bytes;
        self.subscribers
            .notify(now_us, &update, revision, 0, max_bytes, actions);
    }

    /// Handles the response to a watch: the update that the store reports, with the revision that it states.
    fn on_watched(
        &mut self,
        now_us: u64,
        last_change: Option<u64>,
        mut update: Update,
        actions: &mut Vec<Action>,
    ) {
        self.is_calling = false;
        let is_poll = std::mem::take(&mut self.is_polling);
        // The watch after a poll may be cut off again.
        if !is_poll {
            self.failures = 0;
        }
        // A relay does not delay its next watch, because that would delay its subscribers.
        if !update.changes.is_empty() && !self.is_relay(now_us) {
            self.call_at_us = now_us + self.options.batch_delay_us;
        }
        let (from_revision, stated_revision) = (update.from_revision, update.revision);
        if stated_revision < from_revision {
            // The store does not have the revision of the view.
            self.must_list = true;
            return self.on_idle_response(now_us);
        }
        self.subscription.verify();
        let last_change = last_change.map(|last_change| last_change.min(stated_revision));
        self.pace(now_us, last_change, is_poll);
        // Without a later revision the same changes would be reported again at once. Changes that a relay
        // has announced and the store does not report are in a list.
        self.must_list |= match last_change {
            Some(last_change) => last_change <= from_revision,
            None => from_revision < self.announced_revision,
        };
        update.revision = self.shown_revision(now_us, last_change, stated_revision);
        self.apply(now_us, now_us, update, actions);
    }

    fn on_failure(&mut self, now_us: u64) {
        self.is_calling = false;
        self.call_at_us = now_us + self.backoff_us(self.failures);
        self.failures += 1;
    }

    /// Records whether a watch was of use: it reported a change, or waited for one.
    fn pace(&mut self, now_us: u64, last_change: Option<u64>, is_poll: bool) {
        let Call {
            sent_us,
            from_revision,
            wait_us,
            ..
        } = self.call;
        match last_change {
            Some(last_change) if last_change > from_revision => self.idle_responses = 0,
            Some(_) => self.on_idle_response(now_us),
            None if is_poll => {}
            None if now_us - sent_us >= wait_us / 2 => self.idle_responses = 0,
            None => self.on_idle_response(now_us),
        }
    }

    /// Records a response that is no reason to send the next call at once, although nothing else delays
    /// it. Only the first one in a row is followed by a call without a delay.
    fn on_idle_response(&mut self, now_us: u64) {
        if let Some(earlier) = self.idle_responses.checked_sub(1) {
            self.call_at_us = self.call_at_us.max(now_us + self.backoff_us(earlier));
        }
        self.idle_responses = self.idle_responses.saturating_add(1);
    }

    /// Returns the jittered backoff after a number of earlier failures, in microseconds.
    fn backoff_us(&mut self, failures: u32) -> u64 {
        let Options {
            backoff_min_us,
            backoff_max_us,
            ..
        } = self.options;
        let delay_us = (backoff_min_us << failures.min(16)).min(backoff_max_us);
        delay_us / 2 + self.rng.u64(0..=delay_us / 2)
    }

    fn on_message(
        &mut self,
        now_us: u64,
        from: id::Incarnation,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        match message {
            Message::Subscribe => self.on_subscribe(now_us, from, None, actions),
            Message::DatedSubscribe { sent_us } => {
                self.on_subscribe(now_us, from, Some(sent_us), actions);
            }
            Message::Update(update) => self.on_update(now_us, from, None, update, actions),
            Message::DatedUpdate(dated) => {
                let DatedUpdate {
                    subscribed_us,
                    age_us,
                    update,
                } = dated;
                let dated_us = subscribed_us.min(now_us).saturating_sub(age_us);
                self.on_update(now_us, from, Some(dated_us), update, actions);
            }
            Message::Fetch { after } => actions.extend(self.on_fetch(now_us, from, after)),
            Message::Snapshot(snapshot) => self.on_snapshot(now_us, from, snapshot, actions),
        }
    }

    /// Adds or renews a subscription, which its sender dated by its own clock at `sent_us`.
    fn on_subscribe(
        &mut self,
        now_us: u64,
        from: id::Incarnation,
        sent_us: Option<u64>,
        actions: &mut Vec<Action>,
    ) {
        let until_us = now_us + self.options.subscription_us;
        if self.subscribers.renew(from, sent_us, until_us) {
            self.send_confirmation(now_us, from, actions);
        }
    }

    /// Sends a new subscriber the current revision, if the view was confirmed recently.
    fn send_confirmation(&self, now_us: u64, to: id::Incarnation, actions: &mut Vec<Action>) {
        let Some(view) = self.view else { return };
        if !self.is_confirmed_within(now_us, self.options.relay_wait_us) {
            return;
        }
        let update = Update {
            from_revision: view.unchanged_since,
            revision: view.revision,
            ..Update::default()
        };
        actions.push(self.subscribers.update(to, update, view.age_us(now_us)));
    }

    fn on_update(
        &mut self,
        now_us: u64,
        from: id::Incarnation,
        dated_us: Option<u64>,
        update: Update,
        actions: &mut Vec<Action>,
    ) {
        // The store may not have the revision of this view either, if the relay found so of its own.
        let revision = self.revision();
        let has_gone_back = self
            .subscription
            .has_gone_back(from, update.revision, revision);
        self.must_list |= has_gone_back;
        self.is_polling |= self.subscription.is_doubtful() && !self.is_calling;
        let is_gap = has_gone_back || self.view.is_none_or(|view| view.is_before(&update));
        let options = &self.options;
        let is_relay = self
            .subscription
            .on_update(now_us, options, from, dated_us, is_gap);
        if !is_relay {
            return;
        }
        if is_gap {
            self.announced_revision = self.announced_revision.max(update.from_revision);
            self.is_polling |= !self.is_calling;
            return;
        }
        self.apply(now_us, dated_us.unwrap_or(now_us), update, actions);
    }

    /// Sends the objects to a peer that has older ones.
    fn on_fetch(&self, now_us: u64, from: id::Incarnation, after: Option<u64>) -> Option<Action> {
        let view = self.view?;
        exchange::has_newer(now_us, &self.options, view, after).then_some(Action::SendSnapshot {
            to: from,
            revision: view.revision,
        })
    }

    /// Adopts the objects of a peer if they are newer.
    fn on_snapshot(
        &mut self,
        now_us: u64,
        from: id::Incarnation,
        snapshot: Snapshot,
        actions: &mut Vec<Action>,
    ) {
        let own = self.view;
        let adopted = self
            .exchange
            .adopt(now_us, &self.options, own, from, snapshot.revision);
        if adopted.is_some() {
            self.view = adopted;
            self.must_list = false;
            actions.push(Action::Replace(snapshot));
        }
    }
}

/// Updates of the view.
impl Follower {
    /// Returns the revision that the view shows after the latest watch: that of the last change, or
    /// else one that is old enough. The store may state a revision beyond a change that it has not
    /// reported.
    fn shown_revision(&mut self, now_us: u64, last_change: Option<u64>, stated: u64) -> u64 {
        let (sent_us, settle_us) = (self.call.sent_us, self.options.settle_us);
        let Some(view) = &mut self.view else {
            return stated;
        };
        match last_change {
            Some(last_change) => last_change,
            None => view.proven(now_us, sent_us, stated, settle_us),
        }
    }

    /// Applies an update that continues the view, which it confirms as of `confirmed_us`, and forwards
    /// it to the subscribers.
    fn apply(&mut self, now_us: u64, confirmed_us: u64, update: Update, actions: &mut Vec<Action>) {
        let Some(view) = &mut self.view else {
            return;
        };
        view.confirmed_us = view.confirmed_us.max(Some(confirmed_us));
        if update.revision < view.revision {
            return;
        }
        let is_new = update.revision > view.revision;
        view.advance(&update);
        let unchanged_since = view.unchanged_since;
        let age_us = view.age_us(now_us);
        let max_bytes = self.options.max_update_bytes;
        self.subscribers
            .notify(now_us, &update, unchanged_since, age_us, max_bytes, actions);
        if is_new && !update.changes.is_empty() {
            actions.push(Action::Apply {
                changes: update.changes,
                since_loss_us: update.since_loss_us,
            });
        }
    }
}

/// Choice between the relay, the store and peers.
impl Follower {
    /// Renews the subscription to the relay, after choosing it unless this follower is led.
    fn subscribe(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if !self.options.is_led {
            self.subscription
                .choose(now_us, &self.options, self.id, &self.peers);
        }
        if let Some(to) = self.subscription.renew(now_us, &self.options) {
            let message = Message::DatedSubscribe { sent_us: now_us };
            actions.push(Action::Send { to, message });
            // Until the relay has sent a dated update, it may be one of an earlier release.
            if !self.subscription.is_dated() {
                let message = Message::Subscribe;
                actions.push(Action::Send { to, message });
            }
        }
    }

    /// Returns whether this router relays changes: it has subscribers, or it has peers and the
    /// lowest incarnation among them.
    fn is_relay(&self, now_us: u64) -> bool {
        let is_lowest = self.peers.iter().all(|peer| *peer > self.id);
        self.subscribers.any(now_us) || is_lowest && !self.peers.is_empty()
    }

    /// Starts a call to the store unless a relay keeps the view current.
    fn call_store(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if self.is_calling || now_us < self.call_at_us {
            return;
        }
        let Some(view) = self.view else {
            return self.list(now_us, actions);
        };
        let is_current = self.is_relayed(now_us) && !self.subscription.is_doubtful();
        if is_current && !self.must_list {
            return;
        }
        let age_us = view.age_us(now_us);
        let is_list_preferred = self.must_list || age_us >= self.options.relist_after_us;
        // A call that was rejected is likely to be rejected again, and the other one shows changes too.
        let is_swapped = self.is_rejected && self.call.is_list == is_list_preferred;
        if is_list_preferred != is_swapped {
            return self.list(now_us, actions);
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
        self.begin(now_us, Some(wait_us));
        actions.push(Action::Watch {
            revision: view.revision,
            wait_ms: wait_us / US_PER_MS,
        });
    }

    fn list(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        self.begin(now_us, None);
        actions.push(Action::List);
    }

    /// Records that a call is sent, with the wait of a watch.
    fn begin(&mut self, now_us: u64, wait_us: Option<u64>) {
        self.is_calling = true;
        self.is_rejected = false;
        self.call = Call {
            is_list: wait_us.is_none(),
            sent_us: now_us,
            from_revision: self.revision().unwrap_or(0),
            wait_us: wait_us.unwrap_or(0),
        };
    }

    /// Asks peers for the objects if calls to the store fail and no relay keeps the view current.
    fn fetch(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let is_confirmed = self.is_confirmed_within(now_us, self.options.silence_us);
        if self.failures == 0 || is_confirmed || self.is_relayed(now_us) {
            return;
        }
        for to in self.exchange.ask(now_us, &self.options, &self.peers) {
            let message = Message::Fetch {
                after: self.revision(),
            };
            actions.push(Action::Send { to, message });
        }
    }
}
