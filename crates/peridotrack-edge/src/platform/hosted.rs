//! Calls of the users' metadata store.

use bytes::Bytes;
use peridotrack_http::client;
use peridotrack_kernel::event;
use peridotrack_platform::store;

use super::{DEFAULT_RETRY_MS, Error, Object, Platform, pack, request, unknown};

/// All objects of one kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The objects.
    pub objects: Vec<store::Object>,
    /// Revision to watch from.
    pub revision: u64,
}

/// Kinds of objects.
impl Platform {
    /// Returns all objects of a kind.
    pub async fn list(&self, kind: &str) -> Result<Listing, Error> {
        let mut objects = Vec::new();
        let mut first_revision = None;
        let mut after: Option<String> = None;
        loop {
            let path = store::list_path(kind, after.as_deref());
            let page = self.get("list", kind, &path).await?;
            let page =
                store::page(&page).map_err(|error| unknown("list", kind, error.to_string()))?;
            self.note_unreadable(kind, page.unreadable);
            objects.extend(page.objects);
            // Changes between two pages are repeated by the watch from the first page on.
            let revision = *first_revision.get_or_insert(page.revision);
            match page.next {
                Some(next) => after = Some(next),
                None => return Ok(Listing { objects, revision }),
            }
        }
    }

    /// Waits at most `wait_ms` for changes of a kind after `revision`; none is a result, too.
    pub async fn watch_kind(
        &self,
        kind: &str,
        revision: u64,
        wait_ms: u64,
    ) -> Result<store::Changes, Error> {
        let path = store::watch_path(kind, revision, wait_ms);
        self.count("watch");
        let result = self.exchange_watch(&path, wait_ms).await;
        let response = self.noted("watch", kind, result)?;
        match response.status().as_u16() {
            200 => {
                let changes = store::changes(response.body())
                    .map_err(|error| unknown("watch", kind, error.to_string()))?;
                self.note_unreadable(kind, changes.unreadable);
                Ok(changes)
            }
            410 => Err(Error::HistoryLost {
                step: "watch",
                key: kind.to_owned(),
            }),
            _ => Err(self.refused("watch", kind, &response)),
        }
    }

    fn note_unreadable(&self, kind: &str, objects: usize) {
        if objects > 0 {
            let event = event::Event::new(event::Kind::ObjectIgnored);
            let event = event.with("kind", kind).with("objects", objects as u64);
            self.kernel.note(event);
        }
    }

    /// Sends a watch on a connection that an earlier watch left, or on a new one.
    async fn exchange_watch(
        &self,
        path: &str,
        wait_ms: u64,
    ) -> Result<http::Response<Bytes>, client::Error> {
        let kept = self.watches.borrow_mut().pop();
        let mut connection = match kept.filter(client::Connection::is_idle) {
            Some(connection) => connection,
            None => client::Connection::connect(self.address, self.watch_options).await?,
        };
        connection.set_response_timeout(wait_ms + super::RESPONSE_TIMEOUT_MS);
        let call = request("GET", path, &[], Bytes::new());
        // A watch that waits on a connection which has gone silent would miss what comes after
        // an outage; another call that fails is the sign to begin it again.
        let head = monoio::select! {
            head = connection.send(call) => head?,
            () = self.failed.notified() => return Err(client::Error {
                step: client::Step::Head,
                peer: self.address,
                bytes_written: true,
                kind: client::Kind::Closed,
            }),
        };
        let body = connection.read_body().await?;
        if connection.is_reusable() {
            self.watches.borrow_mut().push(connection);
        }
        Ok(http::Response::from_parts(head, body))
    }
}

/// Single objects.
impl Platform {
    /// Reads an object, packed or not.
    pub(super) async fn read_hosted(&self, key: &str) -> Result<Option<Object>, Error> {
        let (kind, name) = split(key);
        let request = request("GET", &store::object_path(kind, name), &[], Bytes::new());
        let response = self.fetch("read", key, request).await?;
        match response.status().as_u16() {
            404 => Ok(None),
            200 => {
                let object = store::object(response.body())
                    .map_err(|error| unknown("read", key, error.to_string()))?;
                let object = stored(&object);
                object
                    .map(Some)
                    .map_err(|error| unknown("read", key, error.to_string()))
            }
            _ => Err(self.refused("read", key, &response)),
        }
    }

    /// Writes a packed object.
    pub(super) async fn write_hosted(
        &self,
        key: &str,
        expected: Option<u64>,
        content: &[u8],
    ) -> Result<u64, Error> {
        let (kind, name) = split(key);
        let content = pack::pack(content);
        let (method, (path, body)) = match expected {
            None => ("POST", store::create(kind, name, &content)),
            Some(revision) => ("PUT", store::replace(kind, name, revision, &content)),
        };
        let headers = [("content-type", "application/json".to_owned())];
        let response = self
            .fetch("write", key, request(method, &path, &headers, body))
            .await?;
        match response.status().as_u16() {
            200 | 201 => store::object(response.body())
                .map(|object| object.revision)
                .map_err(|error| unknown("write", key, error.to_string())),
            404 | 409 => Err(Error::Conflict {
                step: "write",
                key: key.to_owned(),
                // Without a readable object the next update begins with a read.
                current: store::object(response.body())
                    .ok()
                    .and_then(|object| stored(&object).ok()),
            }),
            400..=499 | 503 => Err(self.refused("write", key, &response)),
            status => Err(unknown("write", key, format!("status {status}"))),
        }
    }

    pub(super) async fn remove_hosted(&self, key: &str, version: u64) -> Result<(), Error> {
        let (kind, name) = split(key);
        let path = store::remove_path(kind, name, version);
        let response = self
            .fetch("remove", key, request("DELETE", &path, &[], Bytes::new()))
            .await?;
        match response.status().as_u16() {
            200 | 204 | 404 => Ok(()),
            409 => Err(Error::Conflict {
                step: "remove",
                key: key.to_owned(),
                current: None,
            }),
            _ => Err(self.refused("remove", key, &response)),
        }
    }

    async fn get(&self, step: &'static str, key: &str, path: &str) -> Result<Bytes, Error> {
        let response = self
            .fetch(step, key, request("GET", path, &[], Bytes::new()))
            .await?;
        match response.status().as_u16() {
            200 => Ok(response.into_body()),
            _ => Err(self.refused(step, key, &response)),
        }
    }

    /// A store that turns this VM away counts as lost.
    fn refused(&self, step: &'static str, key: &str, response: &http::Response<Bytes>) -> Error {
        self.last_failure_us.set(self.kernel.now_us());
        let seconds = response
            .headers()
            .get("retry-after")
            .and_then(|value| value.to_str().ok()?.parse::<f64>().ok());
        Error::Refused {
            step,
            key: key.to_owned(),
            status: response.status().as_u16(),
            retry_after_ms: seconds.map_or(DEFAULT_RETRY_MS, |seconds| (seconds * 1_000.0) as u64),
        }
    }
}

fn stored(object: &store::Object) -> Result<Object, pack::Error> {
    Ok(Object {
        version: object.revision,
        body: pack::unpack(&object.content)?,
    })
}

fn split(key: &str) -> (&str, &str) {
    key.split_once('/').unwrap_or((key, ""))
}
