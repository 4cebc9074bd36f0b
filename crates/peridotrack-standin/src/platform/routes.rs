//! Handles the platform's calls: faults and rate limits first, then the object store.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::{Rc, Weak},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Response, StatusCode, header};
use peridotrack_http::server::Connection;
use serde::Serialize;

use crate::{
    endpoint::{Application, Disconnect, Incoming},
    notify::Notify,
    platform::{
        Control, Counters, Vm,
        call::{Call, Refusal},
        rate::TokenBucket,
        store::{Conflict, Item, Revision, Store},
    },
    response,
    settings::set,
};

/// Default rate limit of writes, per second.
const WRITE_RATE_PER_S: u64 = 400;
/// Default rate limit of reads, per second.
const READ_RATE_PER_S: u64 = 2_000;

/// Objects, counters and the current control settings.
struct State {
    store: Store,
    counters: Counters,
    down: bool,
    delay_ms: u64,
    lose_replies: u64,
    stale_reads: u64,
    writes: TokenBucket,
    reads: TokenBucket,
    vms: Vec<Vm>,
    vms_lag_ms: u64,
    pending_vms: Vec<(Instant, Vec<Vm>)>,
    cut_listeners: Vec<usize>,
}

/// Application of the platform, shared by its listeners.
pub(crate) struct Platform {
    started: Instant,
    state: RefCell<State>,
    /// Notifiers of the keys that have a waiting watch.
    watched: RefCell<BTreeMap<String, Weak<Notify>>>,
}

#[derive(Serialize)]
struct Items<'a, T> {
    items: &'a [T],
}

impl Default for Platform {
    fn default() -> Self {
        let state = State {
            store: Store::default(),
            counters: Counters::default(),
            down: false,
            delay_ms: 0,
            lose_replies: 0,
            stale_reads: 0,
            writes: TokenBucket::new(WRITE_RATE_PER_S, 0),
            reads: TokenBucket::new(READ_RATE_PER_S, 0),
            vms: Vec::new(),
            vms_lag_ms: 0,
            pending_vms: Vec::new(),
            cut_listeners: Vec::new(),
        };
        Self {
            started: Instant::now(),
            state: RefCell::new(state),
            watched: RefCell::default(),
        }
    }
}

impl Application for Platform {
    type Control = Control;
    type Counters = Counters;

    fn control(&self, control: Control) {
        let now_us = self.now_us();
        self.state.borrow_mut().apply(control, now_us);
        for notifier in self.watched.borrow().values().filter_map(Weak::upgrade) {
            notifier.notify();
        }
    }

    fn counters(&self) -> Counters {
        let state = self.state.borrow();
        Counters {
            version: state.store.version(),
            objects: state.store.len() as u64,
            ..state.counters.clone()
        }
    }

    async fn handle(self: Rc<Self>, incoming: Incoming<'_>) -> Result<(), Disconnect> {
        self.check_reachable(incoming.listener)?;
        let delay_ms = self.state.borrow().delay_ms;
        if delay_ms > 0 {
            monoio::time::sleep(Duration::from_millis(delay_ms)).await;
            self.check_reachable(incoming.listener)?;
        }
        let response = match Call::parse(&incoming.request) {
            Err(refusal) => self.refuse(&refusal),
            Ok(call) if !self.within_rate(&call) => too_many_requests(),
            Ok(Call::Watch {
                key,
                after,
                timeout_ms,
            }) => {
                self.watch(
                    &key,
                    after,
                    timeout_ms,
                    incoming.listener,
                    incoming.connection,
                )
                .await?
            }
            Ok(call) => self.execute(call)?,
        };
        Ok(incoming.connection.respond(response).await?)
    }
}

impl State {
    fn apply(&mut self, control: Control, now_us: u64) {
        set(&mut self.down, control.down);
        set(&mut self.delay_ms, control.delay_ms);
        set(&mut self.lose_replies, control.lose_replies);
        set(&mut self.stale_reads, control.stale_reads);
        set(&mut self.vms_lag_ms, control.vms_lag_ms);
        set(&mut self.cut_listeners, control.cut_listeners);
        let bucket = |rate_per_s| TokenBucket::new(rate_per_s, now_us);
        set(&mut self.writes, control.write_rate_per_s.map(bucket));
        set(&mut self.reads, control.read_rate_per_s.map(bucket));
        if let Some(vms) = control.vms {
            let visible_at = Instant::now() + Duration::from_millis(self.vms_lag_ms);
            self.pending_vms.push((visible_at, vms));
        }
    }

    fn visible_vms(&mut self, now: Instant) -> &[Vm] {
        while self
            .pending_vms
            .first()
            .is_some_and(|(visible_at, _)| *visible_at <= now)
        {
            self.vms = self.pending_vms.remove(0).1;
        }
        &self.vms
    }

    /// Returns the current version of an object, or the previous one if a stale read is pending.
    fn read(&mut self, key: &str) -> Option<Revision> {
        if self.stale_reads == 0 {
            return self.store.read(key).cloned();
        }
        self.stale_reads -= 1;
        self.counters.stale_reads += 1;
        self.store.read_previous(key).cloned()
    }
}

/// Executes calls.
impl Platform {
    fn execute(&self, call: Call) -> Result<Response<Bytes>, Disconnect> {
        let mut state = self.state.borrow_mut();
        match call {
            Call::Read { key } => Ok(object(state.read(&key).as_ref())),
            Call::List {
                prefix,
                after,
                limit,
            } => {
                let items: Vec<Item> = state.store.list(&prefix, &after, limit);
                Ok(response::json(&Items { items: &items }))
            }
            Call::Vms => {
                let items = state.visible_vms(Instant::now());
                Ok(response::json(&Items { items }))
            }
            Call::Write {
                key,
                precondition,
                value,
            } => {
                let outcome = state.store.write(&key, precondition, value);
                drop(state);
                self.respond_to_write(&key, outcome.map(Some))
            }
            Call::Delete { key, version } => {
                let outcome = state.store.delete(&key, version);
                drop(state);
                self.respond_to_write(&key, outcome.map(|()| None))
            }
            Call::Watch { .. } => Err(Disconnect),
        }
    }

    /// Builds the response of a write or deletion; a lost response closes the connection instead.
    fn respond_to_write(
        &self,
        key: &str,
        outcome: Result<Option<u64>, Conflict>,
    ) -> Result<Response<Bytes>, Disconnect> {
        let mut state = self.state.borrow_mut();
        let version = match outcome {
            Ok(version) => version,
            Err(conflict) => {
                state.counters.refused.precondition += 1;
                return Ok(with_etag(StatusCode::PRECONDITION_FAILED, conflict.current));
            }
        };
        if let Some(notifier) = self.watched.borrow().get(key).and_then(Weak::upgrade) {
            notifier.notify();
        }
        if state.lose_replies > 0 {
            state.lose_replies -= 1;
            state.counters.lost_replies += 1;
            return Err(Disconnect);
        }
        Ok(with_etag(StatusCode::OK, version))
    }

    async fn watch(
        &self,
        key: &str,
        after: u64,
        timeout_ms: u64,
        listener: usize,
        connection: &mut Connection,
    ) -> Result<Response<Bytes>, Disconnect> {
        let notifier = self.notifier(key);
        let deadline = monoio::time::Instant::now() + Duration::from_millis(timeout_ms);
        let _guard = WatchGuard::new(&self.state);
        loop {
            let seen = notifier.generation();
            self.check_reachable(listener)?;
            if let Some(revision) = self.newer_revision(key, after) {
                return Ok(object(Some(&revision)));
            }
            monoio::select! {
                () = notifier.changed(seen) => {}
                () = monoio::time::sleep_until(deadline) => {
                    return Ok(response::empty(StatusCode::NO_CONTENT));
                }
                () = connection.closed() => return Err(Disconnect),
            }
        }
    }

    fn newer_revision(&self, key: &str, after: u64) -> Option<Revision> {
        let state = self.state.borrow();
        let revision = state.store.read(key)?;
        (revision.version > after).then(|| revision.clone())
    }

    fn notifier(&self, key: &str) -> Rc<Notify> {
        let mut watched = self.watched.borrow_mut();
        watched.retain(|_, notify| notify.strong_count() > 0);
        if let Some(notify) = watched.get(key).and_then(Weak::upgrade) {
            return notify;
        }
        let notify = Rc::new(Notify::default());
        watched.insert(key.to_owned(), Rc::downgrade(&notify));
        notify
    }
}

/// Checks calls before their execution.
impl Platform {
    fn check_reachable(&self, listener: usize) -> Result<(), Disconnect> {
        let mut state = self.state.borrow_mut();
        if state.down || state.cut_listeners.contains(&listener) {
            state.counters.refused.cut += 1;
            return Err(Disconnect);
        }
        Ok(())
    }

    fn within_rate(&self, call: &Call) -> bool {
        let now_us = self.now_us();
        let mut state = self.state.borrow_mut();
        let bucket = if call.is_write() {
            &mut state.writes
        } else {
            &mut state.reads
        };
        let within = bucket.take(now_us);
        if within {
            state.counters.count(call);
        } else {
            state.counters.refused.rate += 1;
        }
        within
    }

    fn refuse(&self, refusal: &Refusal) -> Response<Bytes> {
        let mut state = self.state.borrow_mut();
        let refused = &mut state.counters.refused;
        match refusal.status {
            StatusCode::PAYLOAD_TOO_LARGE => refused.too_large += 1,
            _ => refused.malformed += 1,
        }
        response::failure(refusal.status, refusal.detail)
    }

    fn now_us(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX)
    }
}

impl Counters {
    fn count(&mut self, call: &Call) {
        match call {
            Call::Read { .. } => self.reads += 1,
            Call::List { .. } => self.lists += 1,
            Call::Watch { .. } => self.watches += 1,
            Call::Vms => self.vms += 1,
            Call::Write { key, .. } | Call::Delete { key, .. } => {
                let prefix = key.split('/').next().unwrap_or_default();
                self.writes += 1;
                *self.writes_by_prefix.entry(prefix.to_owned()).or_default() += 1;
            }
        }
    }
}

/// Counts one waiting watch until it is dropped.
struct WatchGuard<'a> {
    state: &'a RefCell<State>,
}

impl<'a> WatchGuard<'a> {
    fn new(state: &'a RefCell<State>) -> Self {
        state.borrow_mut().counters.waiting_watches += 1;
        Self { state }
    }
}

impl Drop for WatchGuard<'_> {
    fn drop(&mut self) {
        self.state.borrow_mut().counters.waiting_watches -= 1;
    }
}

fn object(revision: Option<&Revision>) -> Response<Bytes> {
    let Some(revision) = revision else {
        return response::empty(StatusCode::NOT_FOUND);
    };
    let builder = Response::builder()
        .header(header::ETAG, etag(revision.version))
        .header(header::CONTENT_TYPE, "application/octet-stream");
    response::finish(builder, revision.value.clone())
}

fn with_etag(status: StatusCode, version: Option<u64>) -> Response<Bytes> {
    let mut builder = Response::builder().status(status);
    if let Some(version) = version {
        builder = builder.header(header::ETAG, etag(version));
    }
    response::finish(builder, Bytes::new())
}

fn too_many_requests() -> Response<Bytes> {
    let builder = Response::builder()
        .status(StatusCode::TOO_MANY_REQUESTS)
        .header(header::RETRY_AFTER, "1");
    response::finish(builder, Bytes::new())
}

fn etag(version: u64) -> String {
    format!("\"{version}\"")
}
