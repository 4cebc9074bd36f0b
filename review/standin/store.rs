//! The platform's store: objects by kind and name, conditional writes and watches.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, Request},
    json,
};

/// Number of objects in one page of a list.
const PAGE: usize = 500;

struct Object {
    revision: u64,
    spec: String,
}

struct Event {
    kind: String,
    revision: u64,
    document: String,
    is_removed: bool,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
    /// Time after which a watch that still waits is cut off; `None` if none is.
    cut_after: Option<Duration>,
    cut_watches: u64,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

/// Decodes a parameter of a query.
fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, more)) = rest.split_first() {
        let code = more.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        let code = code.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (first, code) {
            (b'%', Some(code)) => {
                bytes.push(code);
                rest = &more[2..];
            }
            _ => {
                bytes.push(if *first == b'+' { b' ' } else { *first });
                rest = more;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn document(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"createdRev\":1,\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{},\"status\":null}}",
        object.revision, object.spec
    )
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = self.objects.get(&key).filter(|known| known.spec == spec) {
            return known.revision;
        }
        self.revision += 1;
        let object = Object {
            revision: self.revision,
            spec: spec.to_owned(),
        };
        self.events.push(Event {
            kind: kind.to_owned(),
            revision: self.revision,
            document: document(name, &object),
            is_removed: false,
        });
        self.objects.insert(key, object);
        self.revision
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) {
            self.revision += 1;
            self.events.push(Event {
                kind: kind.to_owned(),
                revision: self.revision,
                document: document(name, &object),
                is_removed: true,
            });
        }
    }
}

impl Store {
    pub fn spawn() -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            state: Mutex::new(State {
                revision: 100,
                ..State::default()
            }),
            changed: Condvar::new(),
        });
        let accepting = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&accepting);
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        Ok(store)
    }

    /// Writes an object as the operator or an engine does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.state.lock().unwrap().put(kind, name, spec);
        self.changed.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.state.lock().unwrap().remove(kind, name);
        self.changed.notify_all();
    }

    /// Sets after which wait watches are cut off.
    pub fn cut_watches_after(&self, wait: Option<Duration>) {
        self.state.lock().unwrap().cut_after = wait;
    }

    pub fn cut_watches(&self) -> u64 {
        self.state.lock().unwrap().cut_watches
    }

    fn serve(&self, mut connection: Connection) -> Option<()> {
        while let Some(request) = connection.request().ok()? {
            // `None`: the watch is cut off, so that its channel returns nothing further.
            let (status, body) = self.answer(&request)?;
            let reason = if status < 300 { "OK" } else { "No" };
            let text = format!(
                "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            connection.write(&text).ok()?;
        }
        None
    }

    fn answer(&self, request: &Request) -> Option<(u16, String)> {
        let mut parts = request.path().strip_prefix("/objects/")?.split('/');
        let kind = parts.next()?;
        let name = parts.next();
        match (request.method.as_str(), name) {
            ("GET", None) => match request.parameter("watch") {
                Some(revision) => self.watch(kind, revision.parse().ok()?, request),
                None => Some((200, self.list(kind, request.parameter("sinceRev")))),
            },
            ("GET", Some(name)) => Some(self.get(kind, name)),
            ("POST", None) | ("PUT", Some(_)) => {
                self.write(kind, name, &String::from_utf8_lossy(&request.body))
            }
            _ => Some((400, "{}".to_owned())),
        }
    }

    /// Returns one page of the objects of a kind, those that follow the name `after`.
    fn list(&self, kind: &str, after: Option<&str>) -> String {
        let state = self.state.lock().unwrap();
        let after = after.map(decode);
        let mut left = state.objects.iter().filter(|((known, name), _)| {
            known == kind && after.as_ref().is_none_or(|after| name > after)
        });
        let items: Vec<String> = left
            .by_ref()
            .take(PAGE)
            .map(|((_, name), object)| document(name, object))
            .collect();
        let (items, has_more) = (items.join(","), left.next().is_some());
        format!(
            "{{\"items\":[{items}],\"hasMore\":{has_more},\"asOf\":{}}}",
            state.revision
        )
    }

    fn get(&self, kind: &str, name: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => (200, document(name, object)),
            None => (404, "{}".to_owned()),
        }
    }

    fn watch(&self, kind: &str, after: u64, request: &Request) -> Option<(u16, String)> {
        let wait_ms = request.parameter("waitMs").and_then(|text| text.parse().ok());
        let wait = Duration::from_millis(wait_ms.unwrap_or(0));
        let began = Instant::now();
        let mut state = self.state.lock().unwrap();
        loop {
            let news = |event: &&Event| event.kind == kind && event.revision > after;
            let events: Vec<String> = state
                .events
                .iter()
                .filter(news)
                .map(|event| {
                    format!(
                        "{{\"tombstone\":{},\"object\":{}}}",
                        event.is_removed, event.document
                    )
                })
                .collect();
            let waited = began.elapsed();
            if !events.is_empty() || waited >= wait {
                let text = format!(
                    "{{\"events\":[{}],\"asOf\":{}}}",
                    events.join(","),
                    state.revision
                );
                return Some((200, text));
            }
            let mut left = wait - waited;
            if let Some(cut_after) = state.cut_after {
                if waited >= cut_after {
                    state.cut_watches += 1;
                    return None;
                }
                left = left.min(cut_after - waited);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(&self, kind: &str, name: Option<&str>, body: &str) -> Option<(u16, String)> {
        let metadata = json::field(body, "metadata")?;
        let spec = json::field(body, "spec")?;
        let created = json::text_field(metadata, "name")?;
        let key = (kind.to_owned(), name.unwrap_or(created).to_owned());
        let expected = json::field(metadata, "revision").and_then(|text| text.parse::<u64>().ok());
        let mut state = self.state.lock().unwrap();
        match (name, state.objects.get(&key)) {
            (None, Some(object)) => return Some((409, document(&key.1, object))),
            (Some(_), None) => return Some((404, "{}".to_owned())),
            (Some(_), Some(object)) if expected.is_some_and(|it| it != object.revision) => {
                return Some((409, document(&key.1, object)));
            }
            _ => {}
        }
        state.put(kind, &key.1, spec);
        let written = document(&key.1, &state.objects[&key]);
        drop(state);
        self.changed.notify_all();
        Some((200, written))
    }
}
