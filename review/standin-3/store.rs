//! The platform's metadata store: objects by kind and name, conditional writes, paged lists and
//! watches, as PROTOCOL.md describes them. It serves every call and loses nothing.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::http::{self, Connection, Message};

/// Most items of one page, and its most bytes: "about 500 or 1 MB at most".
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
/// `historyS` of the settings.
const HISTORY: Duration = Duration::from_secs(20);

struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

struct Change {
    revision: u64,
    at: Instant,
    kind: String,
    event: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Change>,
    /// Revision up to which changes are forgotten.
    forgotten: u64,
}

/// A running store.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Object {
    fn document(&self, name: &str) -> String {
        let (name, spec) = (quoted(name), &self.spec);
        let (revision, created) = (self.revision, self.created);
        format!(
            "{{\"metadata\":{{\"name\":{name},\"revision\":{revision},\"createdRev\":{created},\
             \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
        )
    }
}

impl State {
    fn record(&mut self, kind: &str, document: &str, is_removed: bool) {
        let event = format!("{{\"object\":{document},\"tombstone\":{is_removed}}}");
        self.history.push(Change {
            revision: self.revision,
            at: Instant::now(),
            kind: kind.to_owned(),
            event,
        });
        while self
            .history
            .first()
            .is_some_and(|change| change.at.elapsed() > HISTORY)
        {
            self.forgotten = self.history.remove(0).revision;
        }
    }

    fn put(&mut self, kind: &str, name: &str, spec: &str) -> String {
        let key = (kind.to_owned(), name.to_owned());
        let known = self.objects.get(&key);
        if let Some(object) = known.filter(|object| object.spec == spec) {
            return object.document(name);
        }
        let created = known.map(|object| object.created);
        self.revision += 1;
        let object = Object {
            revision: self.revision,
            created: created.unwrap_or(self.revision),
            spec: spec.to_owned(),
        };
        let document = object.document(name);
        self.objects.insert(key, object);
        self.record(kind, &document, false);
        document
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = self.objects.remove(&key) {
            self.revision += 1;
            self.record(kind, &object.document(name), true);
        }
    }

    fn list(&self, kind: &str, after: Option<&str>) -> String {
        let of_kind = self.objects.iter().filter(|((of, _), _)| of == kind);
        let rest = of_kind.filter(|((_, name), _)| after.is_none_or(|after| name.as_str() > after));
        let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for ((_, name), object) in rest {
            let document = object.document(name);
            let is_full = items.len() >= PAGE_ITEMS || bytes + document.len() > PAGE_BYTES;
            if is_full && !items.is_empty() {
                has_more = true;
                break;
            }
            bytes += document.len();
            items.push(document);
        }
        let (items, revision) = (items.join(","), self.revision);
        format!("{{\"items\":[{items}],\"hasMore\":{has_more},\"asOf\":{revision}}}")
    }

    fn events(&self, kind: &str, after: u64) -> Vec<&str> {
        let later = self.history.iter().filter(|change| change.revision > after);
        let of_kind = later.filter(|change| change.kind == kind);
        of_kind.map(|change| change.event.as_str()).collect()
    }
}

impl Store {
    pub fn start(&self, address: SocketAddr) -> io::Result<SocketAddr> {
        let store = self.clone();
        http::listen(address, move |mut connection| {
            while let Ok(Some(request)) = connection.message() {
                if store.serve(&mut connection, &request).is_err() {
                    return;
                }
            }
        })
    }

    /// Writes an object as the operator, a server or another writer does; the return is the ack.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.0.0.lock().unwrap().put(kind, name, spec);
        self.0.1.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.0.0.lock().unwrap().remove(kind, name);
        self.0.1.notify_all();
    }

    fn serve(&self, connection: &mut Connection, request: &Message) -> io::Result<()> {
        let (path, query) = request
            .word(1)
            .split_once('?')
            .unwrap_or((request.word(1), ""));
        let parts: Vec<String> = path.split('/').skip(2).map(http::percent_decoded).collect();
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map(|(_, value)| http::percent_decoded(value))
        };
        let kind = parts.first().cloned().unwrap_or_default();
        let name = parts.get(1).cloned();
        let (status, body) = match (request.word(0), name) {
            ("GET", None) => match field("watch").and_then(|text| text.parse().ok()) {
                Some(after) => self.watch(&kind, after, field("waitMs")),
                None => {
                    let after = field("sinceRev");
                    (
                        "200 OK",
                        self.0.0.lock().unwrap().list(&kind, after.as_deref()),
                    )
                }
            },
            ("GET", Some(name)) => {
                match self.0.0.lock().unwrap().objects.get(&(kind, name.clone())) {
                    Some(object) => ("200 OK", object.document(&name)),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            (method @ ("POST" | "PUT"), name) => self.write(method, &kind, name, &request.body),
            ("DELETE", Some(name)) => {
                self.remove(&kind, &name);
                ("200 OK", "{}".to_owned())
            }
            _ => ("400 Bad Request", "{}".to_owned()),
        };
        connection.respond(
            status,
            "Content-Type: application/json\r\n",
            body.as_bytes(),
        )
    }

    fn watch(&self, kind: &str, after: u64, wait: Option<String>) -> (&'static str, String) {
        let wait_ms = wait.and_then(|text| text.parse().ok()).unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.0.0.lock().unwrap();
        loop {
            if after < state.forgotten {
                return ("410 Gone", "{}".to_owned());
            }
            let events = state.events(kind, after);
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (
                    "200 OK",
                    format!("{{\"events\":[{events}],\"asOf\":{revision}}}"),
                );
            }
            state = self.0.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(
        &self,
        method: &str,
        kind: &str,
        name: Option<String>,
        body: &[u8],
    ) -> (&'static str, String) {
        let text = String::from_utf8_lossy(body);
        let metadata = raw_field(&text, "metadata").unwrap_or("{}");
        let spec = raw_field(&text, "spec").unwrap_or("null");
        let stated = raw_field(metadata, "name").map(|name| name.trim_matches('"').to_owned());
        let Some(name) = name.or(stated) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let expected = raw_field(metadata, "revision").and_then(|text| text.parse::<u64>().ok());
        let mut state = self.0.0.lock().unwrap();
        let known = state.objects.get(&(kind.to_owned(), name.clone()));
        match (method, known) {
            ("POST", Some(object)) => return ("409 Conflict", object.document(&name)),
            ("PUT", None) => return ("404 Not Found", "{}".to_owned()),
            ("PUT", Some(object))
                if expected.is_some_and(|expected| expected != object.revision) =>
            {
                return ("409 Conflict", object.document(&name));
            }
            _ => {}
        }
        let document = state.put(kind, &name, spec);
        drop(state);
        self.0.1.notify_all();
        ("200 OK", document)
    }
}

/// Returns a text as a JSON string; names and texts of the stand-ins need no other escapes.
pub fn quoted(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

/// Returns the text of a field's value in a JSON object, without parsing the value.
pub fn raw_field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let (mut depth, mut at) = (0, 0);
    let mut key: Option<&str> = None;
    let mut value_at = None;
    while at < bytes.len() {
        match bytes[at] {
            b'"' => {
                let begin = at + 1;
                at = begin;
                while at < bytes.len() && bytes[at] != b'"' {
                    at += 1 + usize::from(bytes[at] == b'\\');
                }
                if depth == 1 && value_at.is_none() {
                    key = text.get(begin..at);
                }
            }
            b':' if depth == 1 && value_at.is_none() => value_at = Some(at + 1),
            b'{' | b'[' => depth += 1,
            b'}' | b']' | b',' => {
                let is_end = depth == 1;
                depth -= i32::from(bytes[at] != b',');
                if is_end {
                    if let Some(begin) = value_at.take().filter(|_| key == Some(name)) {
                        return text.get(begin..at).map(str::trim);
                    }
                    key = None;
                }
            }
            _ => {}
        }
        at += 1;
    }
    None
}
