//! One router's view of one kind of objects.

use std::collections::BTreeMap;

use peridotrack_types::id;

use crate::{
    event::{Action, Event},
    message::{Message, Update},
};

const US_PER_MS: u64 = 1_000;

/// Periods and bounds of a follower.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Longest wait of a watch, in microseconds. An outage may silence a watch without an end;
    /// it is noticed only after this wait and that for its answer.
    pub wait_us: u64,
    /// The same while peers subscribe, who take its end as a sign of life.
    pub relay_wait_us: u64,
    /// The same after a failed call or the silence of a relay, whose cause may silence the next
    /// watch too.
    pub retry_wait_us: u64,
    /// Time without an update after which the store is watched again. It is longer than
    /// [`Options::relay_wait_us`], and shorter than changes may take to be known.
    pub silence_us: u64,
    /// Age of the view from which on it is listed anew: the changes since then may take longer
    /// to read than the objects themselves.
    pub relist_after_us: u64,
    /// Pause after changes that brings several of a burst with the next call.
    pub batch_delay_us: u64,
    /// Delay after a first failed call; doubled by each further one, and jittered.
    pub backoff_min_us: u64,
    /// Longest delay after failed calls.
    pub backoff_max_us: u64,
    /// Period in which a subscription is renewed.
    pub subscribe_us: u64,
    /// Time for which a subscription holds.
    pub subscription_us: u64,
    /// Time for which a silent peer is passed over.
    pub suspect_us: u64,
    /// Longest content of an update in bytes; of more, subscribers are told only that it
    /// exists.
    pub max_update_bytes: usize,
    /// Seed of the jitter.
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
            max_update_bytes: 16 * 1024,
            seed: 0,
        }
    }
}

/// How current the view is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Reached {
    /// Revision that the view shows.
    revision: u64,
    /// Revision since which nothing changed.
    quiet_since: u64,
    /// When it was last confirmed.
    confirmed_us: u64,
}

/// One router's view of one kind of objects.
#[derive(Debug)]
pub struct Follower {
    id: id::Incarnation,
    options: Options,
    rng: fastrand::Rng,
    reached: Option<Reached>,
    is_calling: bool,
    failures: u32,
    /// When the next call may begin.
    call_at_us: u64,
    /// Live peers of the failure domain, without this router.
    peers: Vec<id::Incarnation>,
    /// Peer that is subscribed to, with when it last sent an update or was chosen.
    relay: Option<(id::Incarnation, u64)>,
    /// When the relay last confirmed the view, unless something was missed since.
    relayed_us: Option<u64>,
    subscribe_at_us: u64,
    /// Peers that are passed over until a time.
    suspects: BTreeMap<id::Incarnation, u64>,
    /// Peers that get updates until a time.
    subscribers: BTreeMap<id::Incarnation, u64>,
}

/// Construction.
impl Follower {
    /// Returns the follower of a router that knows nothing yet.
    pub fn new(id: id::Incarnation, options: Options, now_us: u64) -> Self {
        Self {
            id,
            rng: fastrand::Rng::with_seed(options.seed ^ id.0),
            reached: None,
            is_calling: false,
            failures: 0,
            call_at_us: now_us,
            peers: Vec::new(),
            relay: None,
            relayed_us: None,
            subscribe_at_us: now_us,
            suspects: BTreeMap::new(),
            subscribers: BTreeMap::new(),
            options,
        }
    }
}

/// Access.
impl Follower {
    /// Returns the revision that the view shows, `None` before the first list.
    pub fn revision(&self) -> Option<u64> {
        self.reached.map(|reached| reached.revision)
    }

    /// Returns when the view was last confirmed, `None` before the first list.
    pub fn confirmed_us(&self) -> Option<u64> {
        self.reached.map(|reached| reached.confirmed_us)
    }

    /// Returns whether a peer's updates keep the view current.
    pub fn is_relayed(&self, now_us: u64) -> bool {
        self.relayed_us
            .is_some_and(|at_us| now_us < at_us + self.options.silence_us)
    }
}

/// Events.
impl Follower {
    /// Handles an event and returns what is to be done.
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
                self.failures = 0;
                // A relay's updates must not pause.
                if !changes.is_empty() && !self.is_relay(now_us) {
                    self.call_at_us = now_us + self.options.batch_delay_us;
                }
                let update = Update {
                    from_revision: self.watched_from(),
                    revision,
                    changes,
                    since_loss_us,
                };
                self.take(now_us, update, &mut actions);
            }
            Event::CallFailed => self.on_failure(now_us),
            Event::HistoryLost => {
                self.is_calling = false;
                self.reached = None;
            }
            Event::Peers(peers) => {
                self.peers = peers;
                self.peers.retain(|peer| *peer != self.id);
            }
            Event::Peer { from, message } => self.on_message(now_us, from, message, &mut actions),
        }
        self.subscribe(now_us, &mut actions);
        self.call(now_us, &mut actions);
        actions
    }

    fn on_listed(&mut self, now_us: u64, revision: u64) {
        self.is_calling = false;
        self.failures = 0;
        self.reached = Some(Reached {
            revision,
            quiet_since: revision,
            confirmed_us: now_us,
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
                    self.greet(now_us, from, actions);
                }
            }
            Message::Update(update) => self.on_update(now_us, from, update, actions),
        }
    }

    /// Sends a new subscriber the present state, if it was confirmed lately.
    fn greet(&self, now_us: u64, to: id::Incarnation, actions: &mut Vec<Action>) {
        let Some(reached) = self.reached else { return };
        if now_us.saturating_sub(reached.confirmed_us) >= self.options.relay_wait_us {
            return;
        }
        actions.push(Action::Send {
            to,
            message: Message::Update(Update {
                from_revision: reached.quiet_since,
                revision: reached.revision,
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
        // Only who was subscribed to counts, so that two routers never confirm each other.
        let Some((relay, heard_us)) = &mut self.relay else {
            return;
        };
        if *relay != from {
            return;
        }
        *heard_us = now_us;
        let is_gap = self
            .reached
            .is_none_or(|reached| update.from_revision > reached.revision);
        if is_gap {
            self.relayed_us = None;
            return;
        }
        self.relayed_us = Some(now_us);
        self.take(now_us, update, actions);
    }
}

/// The view.
impl Follower {
    fn watched_from(&self) -> u64 {
        self.reached.map_or(0, |reached| reached.revision)
    }

    /// Takes over an update that continues the view, and passes it on.
    fn take(&mut self, now_us: u64, update: Update, actions: &mut Vec<Action>) {
        let Some(reached) = &mut self.reached else {
            return;
        };
        reached.confirmed_us = now_us;
        if update.revision < reached.revision {
            return;
        }
        let is_new = update.revision > reached.revision;
        reached.revision = update.revision;
        if is_new && !update.changes.is_empty() {
            reached.quiet_since = update.revision;
        }
        let quiet_since = reached.quiet_since;
        self.notify(now_us, &update, quiet_since, actions);
        if is_new && !update.changes.is_empty() {
            actions.push(Action::Apply {
                changes: update.changes,
                since_loss_us: update.since_loss_us,
            });
        }
    }

    /// Tells subscribers of an update.
    fn notify(
        &mut self,
        now_us: u64,
        update: &Update,
        quiet_since: u64,
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
            update.from_revision = quiet_since;
        }
        for to in self.subscribers.keys() {
            actions.push(Action::Send {
                to: *to,
                message: Message::Update(update.clone()),
            });
        }
    }
}

/// Sources.
impl Follower {
    /// Chooses whom to subscribe to, and renews the subscription.
    fn subscribe(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if let Some((relay, heard_us)) = self.relay
            && now_us >= heard_us + self.options.silence_us
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
        let Some((to, _)) = self.relay else { return };
        if now_us >= self.subscribe_at_us {
            self.subscribe_at_us = now_us + self.options.subscribe_us;
            let message = Message::Subscribe;
            actions.push(Action::Send { to, message });
        }
    }

    /// Returns whether peers take the view from this router, or should.
    fn is_relay(&self, now_us: u64) -> bool {
        let is_lowest = self.peers.iter().all(|peer| *peer > self.id);
        let has_subscribers = self.subscribers.values().any(|until_us| *until_us > now_us);
        has_subscribers || is_lowest && !self.peers.is_empty()
    }

    /// Calls the store if nothing else keeps the view current.
    fn call(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if self.is_calling || now_us < self.call_at_us {
            return;
        }
        let Some(reached) = self.reached else {
            self.is_calling = true;
            return actions.push(Action::List);
        };
        if self.is_relayed(now_us) {
            return;
        }
        let age_us = now_us.saturating_sub(reached.confirmed_us);
        if age_us >= self.options.relist_after_us {
            self.is_calling = true;
            return actions.push(Action::List);
        }
        let is_in_doubt = age_us >= self.options.silence_us;
        let wait_us = if self.failures > 0 || is_in_doubt {
            self.options.retry_wait_us
        } else if self.is_relay(now_us) {
            self.options.relay_wait_us
        } else {
            self.options.wait_us
        };
        self.is_calling = true;
        actions.push(Action::Watch {
            revision: reached.revision,
            wait_ms: wait_us / US_PER_MS,
        });
    }
}
