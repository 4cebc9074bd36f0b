//! Follow service: keeps the router's views of objects in the store current, one view for each kind
//! of objects.
//!
//! It runs one follower of `peridotrack-follow` for each kind, makes the store calls and sends the
//! messages to peers that the follower requests, and passes each update to a callback.

mod calls;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

use bytes::Bytes;

use peridotrack_follow::{
    event::{Action, Event},
    follower::{Follower, Options},
    message::{Change, Message, Snapshot},
};
use peridotrack_kernel::{Kernel, clock, event, timer};
use peridotrack_platform::store;
use peridotrack_types::id;

use crate::{member, peer, platform};
use calls::Calls;

/// Name of this service in the registry.
pub const SERVICE: &str = "follow";

/// Maximum length of the name of an object that is kept for peers, in bytes. No router uses an object with
/// a longer one.
const MAX_NAME_BYTES: usize = 1_024;

/// Period of the followers' ticks, in microseconds.
const TICK_US: u64 = 100 * clock::US_PER_MS;
/// Age of a view from which on it is reported as outdated, as a multiple of
/// [`Options::max_age_us`].
const OUTDATED_AGES: u64 = 2;

/// Update of the view of one kind of objects, as passed to the callback.
#[derive(Clone, Copy)]
pub enum Update<'a> {
    /// The objects of the kind.
    Listing {
        /// The objects that can be decoded.
        objects: &'a [store::Object],
        /// Whether an object that is absent was removed or cannot be decoded; otherwise it may only
        /// be missing from the list.
        is_complete: bool,
    },
    /// Changes since the previous update.
    Changes {
        /// The changes, oldest first.
        changes: &'a [Change],
        /// Time since the store was last unavailable to the router that watched it, in
        /// microseconds; `None` if it never was.
        since_loss_us: Option<u64>,
    },
}

/// A kind of objects to follow, and how.
pub struct Target {
    /// Kind of the objects.
    pub kind: &'static str,
    /// Options of the follower.
    pub options: Options,
    /// Returns whether the router uses the content of the object with this name. Other writers may store
    /// large objects of the kind too; peers get only their names.
    pub is_content_used: fn(&str, &Bytes) -> bool,
}

type OnUpdate = Box<dyn Fn(Update<'_>)>;

/// Followers of this router, one for each kind.
#[derive(Default)]
pub struct Follow {
    kinds: RefCell<Vec<Rc<Kind>>>,
}

/// A followed kind of objects.
struct Kind {
    kernel: Rc<Kernel>,
    platform: Rc<platform::Platform>,
    name: &'static str,
    follower: RefCell<Follower>,
    on_update: OnUpdate,
    is_content_used: fn(&str, &Bytes) -> bool,
    /// Content of the objects by name, for peers that the store turns away. It is empty if it is not used:
    /// a peer learns from the name that an earlier content of the object no longer holds.
    objects: RefCell<BTreeMap<String, Bytes>>,
    /// Whether `objects` lacks none.
    is_complete: Cell<bool>,
    /// Kind whose follower leads that of this kind, if it is led.
    leader: Option<Rc<Kind>>,
    /// Whether a peer kept the view current at the last event.
    was_relayed: Cell<bool>,
    /// Age of the view from which on it is reported as outdated, in microseconds.
    outdated_us: u64,
    calls: RefCell<Calls>,
    /// Era of the store at the last event.
    era: Cell<Option<u64>>,
    subscription: RefCell<Option<timer::Subscription>>,
}

/// Starts to follow kinds.
impl Follow {
    /// Starts to follow a kind; `on_update` is called with each update of it. A follower that is led
    /// is led by that of the first kind.
    pub fn add(
        &self,
        kernel: &Rc<Kernel>,
        platform: &Rc<platform::Platform>,
        incarnation: id::Incarnation,
        target: Target,
        on_update: impl Fn(Update<'_>) + 'static,
    ) {
        let Target {
            kind: name,
            options,
            is_content_used,
        } = target;
        let leader = self.kinds.borrow().first().cloned();
        let kind = Rc::new(Kind {
            outdated_us: OUTDATED_AGES * options.max_age_us,
            calls: RefCell::default(),
            era: Cell::default(),
            leader: leader.filter(|_| options.is_led),
            kernel: Rc::clone(kernel),
            platform: Rc::clone(platform),
            name,
            follower: RefCell::new(Follower::new(incarnation, options, kernel.now_us())),
            on_update: Box::new(on_update),
            is_content_used,
            objects: RefCell::default(),
            is_complete: Cell::default(),
            was_relayed: Cell::new(false),
            subscription: RefCell::default(),
        });
        let weak = Rc::downgrade(&kind);
        let subscription = kernel.timer().subscribe(TICK_US, move |_| {
            if let Some(kind) = weak.upgrade() {
                kind.tick();
            }
        });
        *kind.subscription.borrow_mut() = Some(subscription);
        kind.handle(Event::Tick);
        self.kinds.borrow_mut().push(kind);
    }
}

/// Reports how current the views are.
impl Follow {
    /// Returns whether a peer's updates keep the view of a kind current.
    pub fn is_relayed(&self, name: &str) -> bool {
        let kinds = self.kinds.borrow();
        let mut named = kinds.iter().filter(|kind| kind.name == name);
        named.any(|kind| kind.was_relayed.get())
    }

    /// Returns how long ago the view of a kind was last confirmed, in microseconds; `None` before
    /// the first listing, or if the kind is not followed.
    pub fn age_us(&self, name: &str) -> Option<u64> {
        let kinds = self.kinds.borrow();
        let kind = kinds.iter().find(|kind| kind.name == name)?;
        let confirmed_us = kind.follower.borrow().confirmed_us()?;
        Some(kind.kernel.now_us().saturating_sub(confirmed_us))
    }
}

/// Passes membership changes and peer messages to the followers.
impl Follow {
    /// Sets the live peers of the local failure domain, and those of all failure domains.
    pub fn set_peers(&self, local: &[id::Incarnation], all: &[id::Incarnation]) {
        for kind in self.kinds.borrow().iter() {
            kind.handle(Event::Peers(local.to_vec()));
            kind.handle(Event::AllPeers(all.to_vec()));
        }
    }

    /// Handles a message from another router about a kind.
    pub fn receive(&self, sender: peer::Sender, name: &str, message: Message) {
        let kinds = self.kinds.borrow();
        if let Some(kind) = kinds.iter().find(|kind| kind.name == name) {
            let from = sender.incarnation;
            kind.handle_from(Some(sender), Event::Peer { from, message });
        }
    }
}

impl Kind {
    fn tick(self: &Rc<Self>) {
        let now_us = self.kernel.now_us();
        self.note_outdated(now_us);
        self.handle(match &self.leader {
            Some(leader) => Event::Relay(leader.follower.borrow().relay(now_us)),
            None => Event::Tick,
        });
    }

    fn handle(self: &Rc<Self>, event: Event) {
        self.handle_from(None, event);
    }

    /// Handles an event, with the sender if it is a message.
    fn handle_from(self: &Rc<Self>, sender: Option<peer::Sender>, event: Event) {
        let era = self.platform.era();
        let former = self.era.replace(era);
        if former.is_some() && former < era {
            self.handle(Event::Rewound);
        }
        let now_us = self.kernel.now_us();
        let actions = self.follower.borrow_mut().on_event(now_us, event);
        self.note_source(now_us);
        for action in actions {
            match action {
                Action::List => drop(monoio::spawn(Rc::clone(self).list())),
                Action::Watch { revision, wait_ms } => {
                    drop(monoio::spawn(Rc::clone(self).watch(revision, wait_ms)));
                }
                Action::Apply {
                    changes,
                    since_loss_us,
                } => self.change(&changes, since_loss_us),
                Action::Replace(snapshot) => self.replace(snapshot),
                Action::SendSnapshot { revision, .. } => self.send_snapshot(sender, revision),
                Action::Send { to, message } => self.send(to, message),
            }
        }
    }

    fn frame(&self, to: id::Incarnation, message: Message) -> peer::Frame {
        let kind = self.name.to_owned();
        peer::Frame::Follow { to, kind, message }
    }

    fn send(&self, to: id::Incarnation, message: Message) {
        let frame = self.frame(to, message);
        // If the address is unknown, the peer has just left.
        member::send(&self.kernel, to, &frame);
    }

    /// Replies to the sender of a message, which need not be a peer that the membership knows.
    fn send_snapshot(&self, sender: Option<peer::Sender>, revision: u64) {
        let members = self
            .kernel
            .registry()
            .find::<member::Member>(member::SERVICE);
        let (Some(sender), Ok(members)) = (sender, members) else {
            return;
        };
        let objects = self.objects.borrow();
        let objects = objects
            .iter()
            .map(|(name, content)| (name.clone(), content.to_vec()))
            .collect();
        let snapshot = Snapshot {
            is_complete: self.is_complete.get(),
            revision,
            objects,
        };
        let frame = self.frame(sender.incarnation, Message::Snapshot(snapshot));
        members.reply(sender.address, &frame, false);
    }

    fn change(&self, changes: &[Change], since_loss_us: Option<u64>) {
        for change in changes {
            match change.is_removed {
                true => drop(self.objects.borrow_mut().remove(&change.name)),
                false => self.keep(&change.name, Bytes::copy_from_slice(&change.content)),
            }
        }
        (self.on_update)(Update::Changes {
            changes,
            since_loss_us,
        });
    }

    /// Keeps an object for peers.
    fn keep(&self, name: &str, content: Bytes) {
        if name.len() > MAX_NAME_BYTES {
            return;
        }
        let content = match (self.is_content_used)(name, &content) {
            true => content,
            false => Bytes::new(),
        };
        self.objects.borrow_mut().insert(name.to_owned(), content);
    }

    /// Replaces the objects by those that a peer sent.
    fn replace(&self, snapshot: Snapshot) {
        let object = |(name, content): (String, Vec<u8>)| store::Object {
            name,
            revision: snapshot.revision,
            content: content.into(),
        };
        let objects: Vec<_> = snapshot.objects.into_iter().map(object).collect();
        let event = event::Event::new(event::Kind::ObjectsFetched)
            .with("kind", self.name)
            .with("objects", objects.len() as u64)
            .with("revision", snapshot.revision);
        self.kernel.note(event);
        self.set_listing(&objects, snapshot.is_complete);
    }

    fn set_listing(&self, objects: &[store::Object], is_complete: bool) {
        if is_complete {
            self.objects.borrow_mut().clear();
        }
        for object in objects {
            self.keep(&object.name, object.content.clone());
        }
        self.is_complete.set(is_complete);
        (self.on_update)(Update::Listing {
            objects,
            is_complete,
        });
    }

    /// Logs a change between a peer and the store as the source that keeps the view current.
    fn note_source(&self, now_us: u64) {
        let is_relayed = self.follower.borrow().is_relayed(now_us);
        if self.was_relayed.replace(is_relayed) != is_relayed {
            let event = event::Event::new(event::Kind::SourceChanged)
                .with("kind", self.name)
                .with("is_relayed", is_relayed);
            self.kernel.note(event);
        }
    }

    /// Logs once that the view has not been confirmed for long, with what its calls got.
    fn note_outdated(&self, now_us: u64) {
        let (confirmed_us, revision) = {
            let follower = self.follower.borrow();
            (follower.confirmed_us(), follower.revision())
        };
        let (Some(confirmed_us), Some(revision)) = (confirmed_us, revision) else {
            return;
        };
        let mut calls = self.calls.borrow_mut();
        let age_us = now_us.saturating_sub(confirmed_us);
        if !calls.report(confirmed_us, age_us >= self.outdated_us) {
            return;
        }
        let event = event::Event::new(event::Kind::ViewOutdated)
            .with("kind", self.name)
            .with("age_us", age_us)
            .with("revision", revision)
            .with("calls", calls.count())
            .with("latest_result", calls.latest_result());
        self.kernel.note(match calls.pending_us(now_us) {
            Some(pending_us) => event.with("pending_us", pending_us),
            None => event,
        });
    }

    /// Logs that a list of an earlier revision replaces the view.
    fn note_replaced(&self, revision: u64) {
        let former = self.follower.borrow().revision();
        if let Some(former) = former.filter(|former| *former > revision) {
            let event = event::Event::new(event::Kind::ViewReplaced)
                .with("kind", self.name)
                .with("revision", revision)
                .with("former_revision", former);
            self.kernel.note(event);
        }
    }

    async fn list(self: Rc<Self>) {
        self.calls.borrow_mut().begin(self.kernel.now_us());
        let result = self.platform.list(self.name).await;
        self.calls.borrow_mut().end(match &result {
            Ok(listing) => format!("list at revision {}", listing.revision),
            Err(error) => error.to_string(),
        });
        let event = match result {
            Ok(listing) => {
                if self.follower.borrow().accepts_list(listing.revision) {
                    self.note_replaced(listing.revision);
                    self.set_listing(&listing.objects, listing.is_complete);
                }
                Event::Listed {
                    revision: listing.revision,
                }
            }
            Err(error) => failure(&error),
        };
        self.handle(event);
    }

    async fn watch(self: Rc<Self>, revision: u64, wait_ms: u64) {
        self.calls.borrow_mut().begin(self.kernel.now_us());
        let result = self.platform.watch_kind(self.name, revision, wait_ms).await;
        self.calls.borrow_mut().end(match &result {
            Ok(watch) => format!("watch at revision {}", watch.revision),
            Err(error) => error.to_string(),
        });
        let event = match result {
            Ok(watch) => Event::Watched {
                last_change: watch.last_change,
                changes: watch.changes.into_iter().map(change).collect(),
                revision: watch.revision,
                since_loss_us: self.since_loss_us(),
            },
            Err(platform::Error::HistoryLost { .. }) => Event::HistoryLost,
            Err(platform::Error::WatchCut { .. }) => Event::WatchCut,
            Err(error) => failure(&error),
        };
        self.handle(event);
    }

    fn since_loss_us(&self) -> Option<u64> {
        let outage_us = self.platform.last_outage_us()?;
        Some(self.kernel.now_us().saturating_sub(outage_us))
    }
}

/// Returns the event of a call that has no result.
fn failure(error: &platform::Error) -> Event {
    match error.is_rejection() {
        true => Event::CallRejected,
        false => Event::CallFailed,
    }
}

/// Converts a change of the store to one that can be sent to peers.
fn change(change: store::Change) -> Change {
    Change {
        name: change.object.name,
        content: change.object.content.to_vec(),
        is_removed: change.is_removed,
    }
}
