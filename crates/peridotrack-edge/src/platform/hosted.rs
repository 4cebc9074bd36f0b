//! Calls in [`super::Dialect::Hosted`], the protocol of the users' metadata store.
//!
//! Objects are addressed as `kind/name`. Listing and watching a kind exist only in this dialect;
//! the other calls are the counterparts of the methods in the parent module.

use bytes::Bytes;
use peridotrack_http::client;
use peridotrack_kernel::{clock, event};
use peridotrack_platform::store;
use peridotrack_types::collections;

use super::{
    Platform,
    call::Call,
    error::{Error, refused, unknown, unreadable},
    native::request,
    object::Object,
    pack, read_body,
};

/// Result of listing the objects of one kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The objects that can be decoded.
    pub objects: Vec<store::Object>,
    /// Revision after which a watch reports every change that the listing may lack.
    pub revision: u64,
    /// Whether no object is missing. The list cannot be read to its end if a page has no object whose
    /// name can be decoded.
    pub is_complete: bool,
}

/// Lists and watches all objects of a kind.
impl Platform {
    /// Reads all objects of a kind, page by page.
    pub async fn list(&self, kind: &str) -> Result<Listing, Error> {
        let mut objects = Vec::new();
        let mut first_revision = None;
        let mut after: Option<String> = None;
        let mut pages_after = collections::HashSet::default();
        loop {
            let path = store::list_path(kind, after.as_deref());
            let page = self.get("list", kind, &path).await?;
            let page =
                store::page(&page).map_err(|error| unreadable("list", kind, error.to_string()))?;
            self.note_unreadable(kind, page.unreadable);
            objects.extend(page.objects);
            // A watch from the first page's revision repeats the changes made between two pages.
            let revision = *first_revision.get_or_insert(page.revision);
            match page.next {
                // The store may not recognise a name of which only a part can be decoded, and begin again.
                store::Next::After(next) if pages_after.insert(next.clone()) => after = Some(next),
                next => {
                    if next != store::Next::End {
                        let event = event::Event::new(event::Kind::ObjectIgnored)
                            .with("kind", kind)
                            .with("error", "the list cannot be read to its end");
                        self.kernel.note(event);
                    }
                    return Ok(Listing {
                        objects,
                        revision,
                        is_complete: next == store::Next::End,
                    });
                }
            }
        }
    }

    /// Returns the changes of a kind after `revision`, waiting at most `wait_ms` for the first; the
    /// result may be empty.
    ///
    /// # Errors
    ///
    /// [`Error::HistoryLost`] if the store no longer keeps the changes after `revision`, or if they
    /// exceed the limit of a response, and
    /// [`Error::WatchCut`] if it closed the connection while the watch waited.
    pub async fn watch_kind(
        &self,
        kind: &str,
        revision: u64,
        wait_ms: u64,
    ) -> Result<store::Changes, Error> {
        let path = store::watch_path(kind, revision, wait_ms);
        let call = Call {
            is_waiting: wait_ms > 0,
            ..self.begin("watch", kind)
        };
        let (result, connection) = match self.send_watch(&call, &path, wait_ms).await {
            Ok((response, connection)) => (Ok(response), Some(connection)),
            Err(error) => (Err(error), None),
        };
        // The same watch would get the same response again; pages of a list are smaller.
        if matches!(&result, Err(error) if matches!(error.kind, client::Kind::BodyTooLarge)) {
            self.availability.on_response();
            return Err(Error::HistoryLost {
                step: "watch",
                key: kind.to_owned(),
            });
        }
        let response = self.record_result(&call, result)?;
        match response.status().as_u16() {
            200 => {
                let changes = store::changes(response.body())
                    .map_err(|error| unreadable("watch", kind, error.to_string()))?;
                self.note_unreadable(kind, changes.unreadable);
                let now_us = self.kernel.now_us();
                let waited_us = now_us.saturating_sub(call.sent_us);
                if let Some(connection) = connection
                    && is_in_turn(&changes, revision, wait_ms, waited_us)
                {
                    let lane = call.lane(self.dialect);
                    self.watch_connections.put(now_us, lane, connection);
                }
                Ok(changes)
            }
            410 => Err(Error::HistoryLost {
                step: "watch",
                key: kind.to_owned(),
            }),
            _ => Err(refused("watch", kind, &response)),
        }
    }

    /// Sends a watch on an idle connection of an earlier watch of its kind, or on a new one. Returns
    /// the connection with the complete response.
    async fn send_watch(
        &self,
        call: &Call<'_>,
        path: &str,
        wait_ms: u64,
    ) -> Result<(http::Response<Bytes>, client::Connection), client::Error> {
        let lane = call.lane(self.dialect);
        let idle = self.watch_connections.take(self.kernel.now_us(), &lane);
        let mut connection = match idle {
            Some(connection) => connection,
            None => client::Connection::connect(self.address, self.options).await?,
        };
        connection.set_response_timeout(wait_ms + super::RESPONSE_TIMEOUT_MS);
        let request = request("GET", path, &[], Bytes::new());
        // An outage may break the connection of a pending watch without an error, and the watch
        // would miss the changes after the outage. The failure of another call therefore ends the
        // watch, so that the caller starts a new one.
        let head = monoio::select! {
            head = connection.send(request) => head?,
            () = self.call_failed.notified() => return Err(client::Error {
                step: client::Step::Head,
                peer: self.address,
                bytes_written: true,
                kind: client::Kind::Closed,
            }),
        };
        let body = read_body(&mut connection).await?;
        Ok((http::Response::from_parts(head, body), connection))
    }
}

/// Reads, writes and removes a single object.
impl Platform {
    /// Reads an object and unpacks its content if it is packed.
    pub(super) async fn read_hosted(&self, key: &str) -> Result<Option<Object>, Error> {
        let (kind, name) = split_key(key);
        let request = request("GET", &store::object_path(kind, name), &[], Bytes::new());
        let response = self.fetch("read", key, request).await?;
        match response.status().as_u16() {
            404 => Ok(None),
            200 => {
                let object = store::object(response.body())
                    .map_err(|error| unreadable("read", key, error.to_string()))?;
                if object.name != name {
                    return Err(unreadable("read", key, self.on_other_object(&object)));
                }
                let object = unpack_object(&object);
                object
                    .map(Some)
                    .map_err(|error| unreadable("read", key, error.to_string()))
            }
            _ => Err(refused("read", key, &response)),
        }
    }

    /// Packs the content and writes it, as [`Platform::write`] describes.
    pub(super) async fn write_hosted(
        &self,
        key: &str,
        expected: Option<u64>,
        content: &[u8],
    ) -> Result<u64, Error> {
        let (kind, name) = split_key(key);
        let packed = pack::pack(content);
        let (method, (path, body)) = match expected {
            None => ("POST", store::create(kind, name, &packed)),
            Some(revision) => ("PUT", store::replace(kind, name, revision, &packed)),
        };
        let headers = [("content-type", "application/json".to_owned())];
        let response = self
            .fetch("write", key, request(method, &path, &headers, body))
            .await?;
        match response.status().as_u16() {
            200 | 201 => {
                let object = store::object(response.body())
                    .map_err(|error| unknown("write", key, error.to_string()))?;
                match object.name == name && is_written(&object, expected, content) {
                    true => Ok(object.revision),
                    false => Err(unknown("write", key, self.on_other_object(&object))),
                }
            }
            404 | 409 => {
                let stored = store::object(response.body()).ok();
                // A conflict with the expected revision is that of an earlier write.
                let is_own = |object: &store::Object| {
                    object.name == name && Some(object.revision) != expected
                };
                if let Some(other) = stored.as_ref().filter(|object| !is_own(object)) {
                    return Err(unknown("write", key, self.on_other_object(other)));
                }
                Err(Error::Conflict {
                    step: "write",
                    key: key.to_owned(),
                    // Without the stored object, the caller reads it before its next update.
                    current: stored.and_then(|object| unpack_object(&object).ok()),
                })
            }
            400..=499 | 503 => Err(refused("write", key, &response)),
            status => Err(unknown("write", key, format!("status {status}"))),
        }
    }

    pub(super) async fn remove_hosted(&self, key: &str, version: u64) -> Result<(), Error> {
        let (kind, name) = split_key(key);
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
            _ => Err(refused("remove", key, &response)),
        }
    }

    /// Closes the idle connections after a response with another object than that of the call, whose own
    /// response may follow, and describes it.
    fn on_other_object(&self, object: &store::Object) -> String {
        self.call_connections.close();
        let revision = object.revision;
        format!("the response has revision {revision} of another object or write")
    }

    async fn get(&self, step: &'static str, key: &str, path: &str) -> Result<Bytes, Error> {
        let response = self
            .fetch(step, key, request("GET", path, &[], Bytes::new()))
            .await?;
        match response.status().as_u16() {
            200 => Ok(response.into_body()),
            _ => Err(refused(step, key, &response)),
        }
    }
}

/// Returns whether a response can only be that to a watch after `revision`: it reports a change after
/// it or, in about the time that the watch asked for, none.
fn is_in_turn(changes: &store::Changes, revision: u64, wait_ms: u64, waited_us: u64) -> bool {
    changes.revision >= revision
        && match changes.last_change {
            Some(last_change) => last_change > revision,
            None => waited_us >= wait_ms * clock::US_PER_MS / 2,
        }
}

/// Returns whether the object may be the result of a write of `content` over the `expected` revision.
/// A write that changes nothing leaves the revision as it is.
fn is_written(object: &store::Object, expected: Option<u64>, content: &[u8]) -> bool {
    expected.is_none_or(|expected| {
        object.revision > expected
            || object.revision == expected
                && pack::unpack(&object.content).is_ok_and(|stored| stored == content)
    })
}

/// Returns the object with unpacked content.
fn unpack_object(object: &store::Object) -> Result<Object, pack::Error> {
    Ok(Object {
        version: object.revision,
        body: pack::unpack(&object.content)?,
    })
}

/// Splits a key into the kind and the name of its object.
fn split_key(key: &str) -> (&str, &str) {
    key.split_once('/').unwrap_or((key, ""))
}
