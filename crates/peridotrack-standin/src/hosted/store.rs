//! Stand-in of the metadata store of the users' platform: objects by kind and name, conditional
//! writes, paged lists and watches. [`Handle::set_mode`] injects faults.

mod view;

pub use view::View;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::{
    endpoint::{self, Application, Disconnect, Incoming},
    notify::Notify,
    response,
};

/// How the store responds to calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Executes calls and responds to them.
    #[default]
    Serve,
    /// Refuses every call with 503 without executing it.
    Busy,
    /// Closes every connection without executing the call.
    Reset,
    /// Accepts calls and neither executes them nor responds, not even after it serves again.
    Mute,
    /// Executes writes and closes their connections without a response.
    LoseWrites,
    /// Closes the connections of writes and executes them [`WRITE_DELAY`] later, if their condition
    /// still holds.
    DelayWrites,
}

impl Mode {
    /// All modes that inject a fault.
    pub const FAULTS: [Self; 5] = [
        Self::Busy,
        Self::Reset,
        Self::Mute,
        Self::LoseWrites,
        Self::DelayWrites,
    ];
}

/// Time after which [`Mode::DelayWrites`] executes a write.
pub const WRITE_DELAY: Duration = Duration::from_millis(700);

/// Counts of calls and writes since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Calls received, refused ones included.
    pub calls: u64,
    /// Writes and deletions that changed an object.
    pub writes: u64,
}

/// What is wrong with the document of an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// Its revision is a text.
    Revision,
    /// Its name is a number.
    Name,
}

/// How the responses of the store deviate from its protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Quirk {
    /// The events of watches state revisions that are too high by [`OVERSTATED_BY`].
    OverstatedEvents,
    /// Lists state a revision that is too high by [`OVERSTATED_BY`].
    OverstatedLists,
    /// Watches report the last change again that their revision names.
    RepeatedEvents,
    /// Watches end at once, whether or not there are changes.
    ImpatientWatches,
    /// Responses state whole numbers as fractions, such as 7.0.
    Fractions,
    /// Lists get 400.
    RejectedLists,
    /// Watches get 400.
    RejectedWatches,
}

/// Number by which revisions are too high with [`Quirk::OverstatedEvents`] and
/// [`Quirk::OverstatedLists`].
pub const OVERSTATED_BY: u64 = 1_000_000;

#[derive(Debug, Clone)]
struct Object {
    revision: u64,
    created_revision: u64,
    spec: Value,
    flaw: Option<Flaw>,
}

#[derive(Debug, Clone)]
struct Change {
    revision: u64,
    kind: String,
    event: Value,
}

/// Content of the store at a time, from which it can come back.
pub struct Copy {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
}

#[derive(Default)]
struct State {
    /// Number of times that the store has come back from an older copy; `None` if responses state none.
    era: Option<u64>,
    /// Whether watches from a revision that the store has not reached get 410.
    has_come_back: bool,
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Change>,
    /// Texts that stand in documents in place of their markers.
    texts: Vec<String>,
}

/// Application of the store behind its listener.
#[derive(Default)]
struct Store {
    state: RefCell<State>,
    mode: Cell<Mode>,
    counters: Cell<Counters>,
    changed: Notify,
    /// Wait after which the connection of a watch is closed; `None` if watches end regularly.
    watch_limit: Cell<Option<Duration>>,
    /// Whether watches report no changes.
    is_silent: Cell<bool>,
    quirk: Cell<Option<Quirk>>,
    /// Number of times that the connections of all waiting watches were closed.
    watch_cuts: Cell<u64>,
    /// `Retry-After` of the refusals that all writes get; `None` if writes are executed.
    write_refusal: RefCell<Option<String>>,
}

/// A running store; dropping it closes its listener and connections.
pub struct Handle(endpoint::Handle<Store>);

/// Starts an empty store on a free loopback port. Fails if none can be bound.
pub fn spawn() -> io::Result<Handle> {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    endpoint::spawn(&[address], Rc::new(Store::default())).map(Handle)
}

impl Handle {
    /// Returns the bound address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.0.addresses[0]
    }

    /// Serves the same objects on another free loopback port, with other addresses in place of those
    /// of the map. Fails if none can be bound.
    pub fn spawn_view(&self, addresses: BTreeMap<SocketAddr, SocketAddr>) -> io::Result<View> {
        view::spawn(Rc::clone(&self.0.application), addresses)
    }

    /// Changes the mode, for calls received from now on and for waiting watches.
    pub fn set_mode(&self, mode: Mode) {
        self.0.application.control(mode);
    }

    /// Closes the connections of watches that have waited for `limit`, from now on; `None` lets them
    /// wait for as long as they ask.
    pub fn cut_watches_after(&self, limit: Option<Duration>) {
        self.0.application.watch_limit.set(limit);
    }

    /// Refuses all writes with 503 and this `Retry-After`, from now on; `None` executes them.
    pub fn refuse_writes(&self, retry_after: Option<&str>) {
        *self.0.application.write_refusal.borrow_mut() = retry_after.map(str::to_owned);
    }

    /// Sets how responses deviate from the protocol, from now on.
    pub fn set_quirk(&self, quirk: Option<Quirk>) {
        self.0.application.quirk.set(quirk);
    }

    /// Gives the objects new revisions, counted from 1, and discards the change history. Watches that
    /// wait, also for changes after a revision beyond the new ones, go on waiting.
    pub fn restart_revisions(&self) {
        let mut state = self.0.application.state.borrow_mut();
        state.history.clear();
        state.revision = 0;
        let State {
            revision, objects, ..
        } = &mut *state;
        for object in objects.values_mut() {
            *revision += 1;
            object.revision = *revision;
            object.created_revision = *revision;
        }
    }

    /// States the era in all responses, from now on.
    pub fn state_eras(&self) {
        self.0.application.state.borrow_mut().era = Some(1);
    }

    /// Returns a copy of the content.
    pub fn copy(&self) -> Copy {
        let state = self.0.application.state.borrow();
        Copy {
            revision: state.revision,
            objects: state.objects.clone(),
        }
    }

    /// Comes back from an older copy: later changes are gone, and their revisions are given out again.
    pub fn come_back_from(&self, copy: Copy) {
        let mut state = self.0.application.state.borrow_mut();
        state.era = state.era.map(|era| era + 1);
        state.has_come_back = true;
        state.revision = copy.revision;
        state.objects = copy.objects;
        let revision = copy.revision;
        state.history.retain(|change| change.revision <= revision);
    }

    /// Writes an object without a condition and regardless of the mode.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.0.application.put(kind, name, spec);
    }

    /// Writes an object like [`Handle::put`] whose spec is any text, which may be no proper JSON or too
    /// deep for a [`Value`].
    pub fn put_text(&self, kind: &str, name: &str, text: &str) {
        let store = &self.0.application;
        let number = {
            let texts = &mut store.state.borrow_mut().texts;
            texts.push(text.to_owned());
            texts.len() - 1
        };
        store.put(kind, name, Value::String(text_marker(number)));
    }

    /// Makes the document of an existing object one that cannot be decoded.
    pub fn make_malformed(&self, kind: &str, name: &str, flaw: Flaw) {
        let key = (kind.to_owned(), name.to_owned());
        let mut state = self.0.application.state.borrow_mut();
        if let Some(object) = state.objects.get_mut(&key) {
            object.flaw = Some(flaw);
        }
    }

    /// Removes an object, if it exists, regardless of the mode.
    pub fn remove(&self, kind: &str, name: &str) {
        self.0.application.remove(kind, name);
    }

    /// Returns the spec of an object, if it exists.
    pub fn get(&self, kind: &str, name: &str) -> Option<Value> {
        let state = self.0.application.state.borrow();
        let key = (kind.to_owned(), name.to_owned());
        state.objects.get(&key).map(|object| object.spec.clone())
    }

    /// Discards the change history, so that watches from an earlier revision get 410 and must list
    /// again.
    pub fn clear_history(&self) {
        self.0.application.state.borrow_mut().history.clear();
        self.0.application.changed.notify();
    }

    /// Compacts the history: for the duration of `silence` watches report no changes, and one whose wait
    /// ends states the current revision all the same. Then the history is discarded, and the
    /// connections of the watches that still wait are closed.
    pub fn compact(&self, silence: Duration) {
        let store = Rc::clone(&self.0.application);
        store.is_silent.set(true);
        monoio::spawn(async move {
            monoio::time::sleep(silence).await;
            store.is_silent.set(false);
            store.state.borrow_mut().history.clear();
            store.watch_cuts.set(store.watch_cuts.get() + 1);
            store.changed.notify();
        });
    }

    /// Returns the counts since the start.
    pub fn counters(&self) -> Counters {
        self.0.application.counters.get()
    }
}

fn decode(text: &str) -> String {
    percent_encoding::percent_decode_str(text)
        .decode_utf8_lossy()
        .into_owned()
}

/// Returns a document in which the store states its own numbers as fractions. What is stored stays as it
/// was written.
fn state_fractions(body: &Bytes) -> Bytes {
    const FIELDS: [&str; 3] = ["asOf", "revision", "createdRev"];
    fn state(value: &mut Value) {
        match value {
            Value::Array(values) => values.iter_mut().for_each(state),
            Value::Object(fields) => {
                for (name, value) in fields.iter_mut().filter(|(name, _)| *name != "spec") {
                    match value.as_u64().filter(|_| FIELDS.contains(&name.as_str())) {
                        Some(number) => *value = json!(number as f64),
                        None => state(value),
                    }
                }
            }
            _ => {}
        }
    }
    let Ok(mut document) = serde_json::from_slice(body) else {
        return body.clone();
    };
    state(&mut document);
    Bytes::from(document.to_string())
}

fn text_marker(number: usize) -> String {
    format!("text-{number}-of-the-store")
}

impl Object {
    fn document(&self, name: &str) -> Value {
        let (name, revision) = match self.flaw {
            Some(Flaw::Name) => (json!(0), json!(self.revision)),
            Some(Flaw::Revision) => (json!(name), json!("none")),
            None => (json!(name), json!(self.revision)),
        };
        json!({
            "metadata": {
                "name": name,
                "revision": revision,
                "createdRev": self.created_revision,
                "finalizers": [],
                "deleting": false,
            },
            "spec": self.spec,
            "status": null,
        })
    }
}

impl State {
    /// Returns a response with a document, in which texts replace their markers.
    fn respond(&self, document: &Value) -> Response<Bytes> {
        let response = response::json(document);
        if self.texts.is_empty() {
            return response;
        }
        response.map(|body| {
            let mut body = String::from_utf8_lossy(&body).into_owned();
            for (number, text) in self.texts.iter().enumerate() {
                body = body.replace(&format!("{:?}", text_marker(number)), text);
            }
            body.into()
        })
    }
}

impl Store {
    fn put(&self, kind: &str, name: &str, spec: Value) -> Value {
        let mut state = self.state.borrow_mut();
        let key = (kind.to_owned(), name.to_owned());
        let existing = state.objects.get(&key).cloned();
        if let Some(object) = existing.as_ref().filter(|object| object.spec == spec) {
            return object.document(name);
        }
        state.revision += 1;
        let object = Object {
            revision: state.revision,
            created_revision: existing.map_or(state.revision, |object| object.created_revision),
            spec,
            flaw: None,
        };
        let document = object.document(name);
        state.objects.insert(key, object);
        self.record(
            &mut state,
            kind,
            json!({"object": document, "tombstone": false}),
        );
        document
    }

    fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.borrow_mut();
        let Some(mut object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        state.revision += 1;
        object.revision = state.revision;
        let event = json!({"object": object.document(name), "tombstone": true});
        self.record(&mut state, kind, event);
    }

    fn record(&self, state: &mut State, kind: &str, event: Value) {
        let revision = state.revision;
        state.history.push(Change {
            revision,
            kind: kind.to_owned(),
            event,
        });
        let counters = self.counters.get();
        self.counters.set(Counters {
            writes: counters.writes + 1,
            ..counters
        });
        self.changed.notify();
    }

    fn read(&self, kind: &str, name: &str) -> Response<Bytes> {
        let state = self.state.borrow();
        match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => state.respond(&object.document(name)),
            None => response::failure(StatusCode::NOT_FOUND, "no such object"),
        }
    }

    fn list(&self, kind: &str, after: Option<&str>) -> Response<Bytes> {
        const PAGE_OBJECTS: usize = 2;
        let state = self.state.borrow();
        let mut items: Vec<Value> = state
            .objects
            .iter()
            .filter(|((object_kind, name), _)| {
                object_kind == kind && after.is_none_or(|after| name.as_str() > after)
            })
            .map(|((_, name), object)| object.document(name))
            .collect();
        let has_more = items.len() > PAGE_OBJECTS;
        items.truncate(PAGE_OBJECTS);
        let overstated_by = match self.quirk.get() {
            Some(Quirk::OverstatedLists) => OVERSTATED_BY,
            _ => 0,
        };
        let as_of = state.revision + overstated_by;
        state.respond(&json!({"items": items, "hasMore": has_more, "asOf": as_of}))
    }

    async fn watch(
        &self,
        kind: &str,
        revision: u64,
        wait_ms: u64,
    ) -> Result<Response<Bytes>, Disconnect> {
        let wait_ms = match self.quirk.get() {
            Some(Quirk::ImpatientWatches) => 0,
            _ => wait_ms,
        };
        let wait = Duration::from_millis(wait_ms);
        let cut_after = self.watch_limit.get().filter(|limit| *limit < wait);
        let cuts = self.watch_cuts.get();
        let is_cut = || self.watch_cuts.get() != cuts;
        let is_unchanged = || {
            let events = self.events(kind, revision);
            let has_none = events.is_some_and(|events| events.is_empty());
            (has_none || self.is_silent.get()) && !self.is_unavailable() && !is_cut()
        };
        let waited = monoio::time::timeout(cut_after.unwrap_or(wait), async {
            while is_unchanged() {
                let seen = self.changed.generation();
                self.changed.changed(seen).await;
            }
        })
        .await;
        if self.is_unavailable() || is_cut() || cut_after.is_some() && waited.is_err() {
            return Err(Disconnect);
        }
        let as_of = self.state.borrow().revision;
        let events = match self.is_silent.get() {
            true => Some(Vec::new()),
            false => self.events(kind, revision),
        };
        Ok(match events {
            Some(events) => {
                let document = json!({"events": events, "asOf": as_of});
                self.state.borrow().respond(&document)
            }
            None => response::failure(StatusCode::GONE, "the history is gone"),
        })
    }

    /// Returns whether the mode closes the connections of waiting watches.
    fn is_unavailable(&self) -> bool {
        matches!(self.mode.get(), Mode::Busy | Mode::Reset)
    }

    /// Returns the changes of a kind after a revision; `None` if the history no longer holds them.
    fn events(&self, kind: &str, revision: u64) -> Option<Vec<Value>> {
        let state = self.state.borrow();
        let oldest = state
            .history
            .first()
            .map_or(state.revision + 1, |change| change.revision);
        let is_beyond = state.has_come_back && revision > state.revision;
        if revision + 1 < oldest || is_beyond {
            return None;
        }
        let quirk = self.quirk.get();
        let is_repeated =
            |change: &Change| quirk == Some(Quirk::RepeatedEvents) && change.revision == revision;
        let after = |change: &&Change| change.revision > revision || is_repeated(change);
        let of_kind = state.history.iter().filter(|change| change.kind == kind);
        let event = |change: &Change| {
            let mut event = change.event.clone();
            if quirk == Some(Quirk::OverstatedEvents) {
                event["object"]["metadata"]["revision"] = json!(change.revision + OVERSTATED_BY);
            }
            event
        };
        Some(of_kind.filter(after).map(event).collect())
    }

    fn write(&self, kind: &str, name: Option<&str>, document: &Value) -> Response<Bytes> {
        let document_name = document["metadata"]["name"].as_str().unwrap_or_default();
        let key = (kind.to_owned(), name.unwrap_or(document_name).to_owned());
        let existing = self.state.borrow().objects.get(&key).cloned();
        let expected = document["metadata"]["revision"].as_u64();
        let refusal = match (name, &existing) {
            // Only the refusal of a wrong revision contains the object.
            (None, Some(_)) => Some((StatusCode::CONFLICT, Value::Null)),
            (Some(_), None) => Some((StatusCode::NOT_FOUND, Value::Null)),
            (Some(_), Some(object))
                if expected.is_some_and(|expected| expected != object.revision) =>
            {
                Some((StatusCode::CONFLICT, object.document(&key.1)))
            }
            _ => None,
        };
        match refusal {
            Some((status, body)) => response::json_with(Response::builder().status(status), &body),
            None => response::json(&self.put(kind, &key.1, document["spec"].clone())),
        }
    }
}

impl Application for Store {
    type Control = Mode;
    type Counters = Counters;

    fn control(&self, mode: Mode) {
        self.mode.set(mode);
        self.changed.notify();
    }

    fn counters(&self) -> Counters {
        self.counters.get()
    }

    async fn handle(self: Rc<Self>, mut incoming: Incoming<'_>) -> Result<(), Disconnect> {
        let store = Rc::clone(&self);
        let mut response = self.call(&mut incoming).await?;
        if let Some(era) = store.state.borrow().era {
            response.headers_mut().insert("store-era", era.into());
        }
        Ok(incoming.connection.respond(response).await?)
    }
}

impl Store {
    /// Executes a call; `Err` closes its connection without a response.
    async fn call(
        self: Rc<Self>,
        incoming: &mut Incoming<'_>,
    ) -> Result<Response<Bytes>, Disconnect> {
        let counters = self.counters.get();
        self.counters.set(Counters {
            calls: counters.calls + 1,
            ..counters
        });
        let mode = self.mode.get();
        match mode {
            Mode::Reset => return Err(Disconnect),
            Mode::Busy => return Ok(response::failure(StatusCode::SERVICE_UNAVAILABLE, "busy")),
            Mode::Mute => {
                incoming.connection.closed().await;
                return Err(Disconnect);
            }
            Mode::Serve | Mode::LoseWrites | Mode::DelayWrites => {}
        }
        let uri = incoming.request.head.uri.clone();
        let mut parts = uri.path().trim_start_matches("/objects/").splitn(2, '/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().map(decode);
        let name = name.as_deref();
        let query: BTreeMap<&str, String> = uri
            .query()
            .unwrap_or_default()
            .split('&')
            .filter_map(|field| field.split_once('='))
            .map(|(field, value)| (field, decode(&value.replace('+', " "))))
            .collect();
        let number = |field: &str| query.get(field).and_then(|text| text.parse::<u64>().ok());
        let body = || serde_json::from_slice(&incoming.request.body).unwrap_or(Value::Null);
        let method = incoming.request.head.method.clone();
        let refusal = self.write_refusal.borrow().clone();
        if let Some(retry_after) = refusal.filter(|_| method != Method::GET) {
            let refused = Response::builder().status(StatusCode::SERVICE_UNAVAILABLE);
            let refused = refused.header("retry-after", retry_after);
            return Ok(response::json_with(refused, &json!({"error": "refused"})));
        }
        if mode == Mode::DelayWrites && matches!(method, Method::POST | Method::PUT) {
            let (name, document) = (name.map(str::to_owned), body());
            let store = Rc::clone(&self);
            monoio::spawn(async move {
                monoio::time::sleep(WRITE_DELAY).await;
                let _ = store.write(&kind, name.as_deref(), &document);
            });
            return Err(Disconnect);
        }
        let rejected = match self.quirk.get() {
            Some(Quirk::RejectedLists) => Some(false),
            Some(Quirk::RejectedWatches) => Some(true),
            _ => None,
        };
        let is_kind = method == Method::GET && name.is_none();
        if is_kind && rejected == Some(number("watch").is_some()) {
            return Ok(response::failure(StatusCode::BAD_REQUEST, "no such call"));
        }
        let response = match (&method, name, number("watch")) {
            (&Method::GET, None, Some(revision)) => {
                let wait_ms = number("waitMs").unwrap_or_default();
                self.watch(&kind, revision, wait_ms).await?
            }
            (&Method::GET, None, None) => {
                self.list(&kind, query.get("sinceRev").map(String::as_str))
            }
            (&Method::GET, Some(name), _) => self.read(&kind, name),
            (&Method::POST, None, _) => self.write(&kind, None, &body()),
            (&Method::PUT, Some(name), _) => self.write(&kind, Some(name), &body()),
            (&Method::DELETE, Some(name), _) => {
                self.remove(&kind, name);
                response::empty(StatusCode::OK)
            }
            _ => response::failure(StatusCode::METHOD_NOT_ALLOWED, "no such call"),
        };
        if mode == Mode::LoseWrites && method != Method::GET {
            return Err(Disconnect);
        }
        Ok(match self.quirk.get() {
            Some(Quirk::Fractions) => response.map(|body| state_fractions(&body)),
            _ => response,
        })
    }
}
