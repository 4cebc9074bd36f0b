//! Client of the object store, which keeps the state that outlives a router process.
//!
//! [`Platform`] speaks one of two dialects: the product's own object API, or the metadata store of
//! the users' platform, which `peridotrack-platform` encodes. Each call is sent once, and its
//! [`Error`] states whether the call may have taken effect; its callers decide whether to retry.
//! What the results show about the store as a whole is kept in `availability`.

mod availability;
mod call;
mod error;
mod hosted;
mod idle;
mod native;
mod object;
mod outcome;
mod pack;
mod vm;

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use peridotrack_http::client;
use peridotrack_kernel::{Kernel, clock, event};
use peridotrack_platform::store;

use crate::{metric, notify};
use availability::Availability;
use call::Call;
pub use error::Error;
use error::{refused, unknown, unreadable};
pub use hosted::Listing;
use native::{etag, object, object_path, request};
pub use object::Object;
pub use outcome::WriteOutcome;
pub use pack::{pack, unpack};
pub use vm::{VmEntry, VmState};

/// Name of this service in the registry.
pub const SERVICE: &str = "platform";

/// Maximum idle time of the connections of watches, in microseconds: longer than the pauses between
/// the watches of one kind.
const WATCH_IDLE_US: u64 = clock::US_PER_S;
/// Maximum idle time of the connections of other calls, in microseconds. The idle timeout of the store
/// should be longer, so that a call is rarely sent on a connection that the store is closing.
const CALL_IDLE_US: u64 = 4 * clock::US_PER_S;
/// Timeout of a response to any call but a watch, in milliseconds: three times the response time
/// of a slow store.
const RESPONSE_TIMEOUT_MS: u64 = 1_000;
/// Timeout of a connection attempt, in milliseconds: short, so that the end of a network
/// partition is noticed soon.
const CONNECT_TIMEOUT_MS: u64 = 400;
/// Period of keepalive probes on an idle connection, in milliseconds; three unanswered ones
/// close it.
const KEEPALIVE_MS: u64 = 1_000;
/// Time by which the response timeout of a watch exceeds the wait that it requests, in
/// milliseconds.
const WATCH_MARGIN_MS: u64 = 5_000;
/// Time in which the body of a response must be complete, in milliseconds: that of a large one over a slow
/// link that others use too.
const BODY_TIMEOUT_MS: u64 = 8_000;
/// Maximum size of an object, in bytes.
const OBJECT_BYTES: usize = 1024 * 1024;

/// Protocol of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dialect {
    /// The product's own object API.
    Native,
    /// The metadata store of the users' platform.
    Hosted,
}

/// Client of the platform's object store.
pub struct Platform {
    kernel: Rc<Kernel>,
    dialect: Dialect,
    address: SocketAddr,
    options: client::Options,
    availability: Availability,
    /// Highest era that a response has stated; the store has lost changes whenever it rises.
    era: Cell<Option<u64>>,
    /// Idle connections of watches that have ended.
    watch_connections: idle::Connections,
    /// Idle connections of other calls.
    call_connections: idle::Connections,
    /// Notifies the pending watches when another call fails.
    call_failed: notify::Notify,
}

/// Creates the client.
impl Platform {
    /// Returns a client of the platform at `address`, which connects with the first call.
    /// `min_outage_us` is the length from which on failures that an available store may cause count
    /// as an outage, in microseconds; 0 if each of them does.
    pub fn open(
        kernel: Rc<Kernel>,
        address: SocketAddr,
        dialect: Dialect,
        min_outage_us: u64,
    ) -> Rc<Self> {
        let options = client::Options {
            connect_timeout_ms: CONNECT_TIMEOUT_MS,
            response_timeout_ms: RESPONSE_TIMEOUT_MS,
            chunk_timeout_ms: RESPONSE_TIMEOUT_MS,
            body_bytes: 2 * OBJECT_BYTES,
            keepalive_ms: Some(KEEPALIVE_MS),
            ..client::Options::default()
        };
        Rc::new(Self {
            availability: Availability::new(Rc::clone(&kernel), min_outage_us),
            kernel,
            dialect,
            address,
            era: Cell::default(),
            watch_connections: idle::Connections::new(WATCH_IDLE_US),
            call_connections: idle::Connections::new(CALL_IDLE_US),
            call_failed: notify::Notify::default(),
            options,
        })
    }
}

/// Reports the state of the store and reads from it.
impl Platform {
    /// Returns whether the most recent call received a response; true before the first.
    pub fn is_reachable(&self) -> bool {
        self.availability.is_reachable()
    }

    /// Returns the protocol of the store.
    pub fn dialect(&self) -> Dialect {
        self.dialect
    }

    /// Returns when the store was last unavailable, in monotonic microseconds; `None` if it never
    /// was.
    pub fn last_outage_us(&self) -> Option<u64> {
        self.availability.last_outage_us()
    }

    /// Returns the era of the store, if it states one. When it rises, the store has come back from an older
    /// copy of its content, and gives out again the revisions of the changes that it has lost.
    pub fn era(&self) -> Option<u64> {
        self.era.get()
    }

    /// Reads an object; `None` if it does not exist.
    pub async fn read(&self, key: &str) -> Result<Option<Object>, Error> {
        if self.dialect == Dialect::Hosted {
            return self.read_hosted(key).await;
        }
        let request = request("GET", &object_path(key), &[], Bytes::new());
        let response = self.fetch("read", key, request).await?;
        match response.status().as_u16() {
            404 => Ok(None),
            200 => object("read", key, response).map(Some),
            _ => Err(refused("read", key, &response)),
        }
    }

    /// Waits until the version of an object exceeds `after_version`; `None` if `timeout_ms` passes
    /// first. Only [`Dialect::Native`] has this call.
    pub async fn watch(
        &self,
        key: &str,
        after_version: u64,
        timeout_ms: u64,
    ) -> Result<Option<Object>, Error> {
        let path = format!("/v1/watch/{key}?after={after_version}&timeout_ms={timeout_ms}");
        let options = client::Options {
            response_timeout_ms: timeout_ms + WATCH_MARGIN_MS,
            ..self.options
        };
        let request = request("GET", &path, &[], Bytes::new());
        let call = self.begin("watch", key);
        let response = fetch_once(self.address, options, request).await;
        let response = self.record_result(&call, response)?;
        match response.status().as_u16() {
            204 => Ok(None),
            200 => object("watch", key, response).map(Some),
            _ => Err(refused("watch", key, &response)),
        }
    }

    /// Reads the platform's list of VMs; entries that cannot be decoded are skipped. Only
    /// [`Dialect::Native`] has this call.
    pub async fn vms(&self) -> Result<Vec<VmEntry>, Error> {
        let response = self
            .fetch("list", "vms", request("GET", "/v1/vms", &[], Bytes::new()))
            .await?;
        if response.status() != http::StatusCode::OK {
            return Err(refused("list", "vms", &response));
        }
        let list = vm::List::decode(response.body())
            .map_err(|error| unreadable("list", "vms", error.to_string()))?;
        self.note_unreadable("vms", list.unreadable);
        Ok(list.entries)
    }
}

/// Writes objects.
impl Platform {
    /// Updates an object if its version is `expected`, or creates it if `expected` is `None` and it
    /// does not exist. Returns the new version.
    pub async fn write(&self, key: &str, expected: Option<u64>, body: Bytes) -> Result<u64, Error> {
        if self.dialect == Dialect::Hosted {
            return self.write_hosted(key, expected, &body).await;
        }
        let condition = match expected {
            Some(version) => ("if-match", format!("\"{version}\"")),
            None => ("if-none-match", "*".to_owned()),
        };
        let request = request("PUT", &object_path(key), &[condition], body);
        let response = self.fetch("write", key, request).await?;
        match response.status().as_u16() {
            200 | 201 => etag(&response)
                .ok_or_else(|| unknown("write", key, "the response has no valid ETag".to_owned())),
            412 => Err(Error::Conflict {
                step: "write",
                key: key.to_owned(),
                current: None,
            }),
            400..=499 | 503 => Err(refused("write", key, &response)),
            status => Err(unknown("write", key, format!("status {status}"))),
        }
    }
}

/// Removes objects.
impl Platform {
    /// Removes an object if its version is `version`. Succeeds if the object does not exist.
    pub async fn remove(&self, key: &str, version: u64) -> Result<(), Error> {
        if self.dialect == Dialect::Hosted {
            return self.remove_hosted(key, version).await;
        }
        let condition = ("if-match", format!("\"{version}\""));
        let request = request("DELETE", &object_path(key), &[condition], Bytes::new());
        let response = self.fetch("remove", key, request).await?;
        match response.status().as_u16() {
            200 | 204 | 404 => Ok(()),
            412 => Err(Error::Conflict {
                step: "remove",
                key: key.to_owned(),
                current: None,
            }),
            _ => Err(refused("remove", key, &response)),
        }
    }
}

/// Sends requests and records their results.
impl Platform {
    async fn fetch(
        &self,
        step: &'static str,
        key: &str,
        request: http::Request<Bytes>,
    ) -> Result<http::Response<Bytes>, Error> {
        let call = self.begin(step, key);
        let result = self.exchange(&call, request).await;
        self.record_result(&call, result)
    }

    /// Sends a call on an idle connection of an earlier one of its lane, or on a new one.
    async fn exchange(&self, call: &Call<'_>, request: http::Request<Bytes>) -> call::Result {
        let lane = call.lane(self.dialect);
        let idle = self.call_connections.take(self.kernel.now_us(), &lane);
        let mut connection = match idle {
            Some(connection) => connection,
            None => client::Connection::connect(self.address, self.options).await?,
        };
        let head = connection.send(request).await?;
        let body = read_body(&mut connection).await?;
        if call.keeps_connection(self.dialect, head.status) {
            let now_us = self.kernel.now_us();
            self.call_connections.put(now_us, lane, connection);
        }
        Ok(http::Response::from_parts(head, body))
    }

    /// Records that objects of a kind were skipped, because they cannot be decoded.
    fn note_unreadable(&self, kind: &str, objects: usize) {
        if objects > 0 {
            let event = event::Event::new(event::Kind::ObjectIgnored);
            let event = event.with("kind", kind).with("objects", objects as u64);
            self.kernel.note(event);
        }
    }

    /// Counts a call that is about to be sent.
    fn begin<'a>(&self, step: &'static str, key: &'a str) -> Call<'a> {
        let meter = self.kernel.meter();
        meter
            .labelled_counter(metric::PLATFORM_CALLS, "kind", step)
            .increment(1);
        Call {
            step,
            key,
            sent_us: self.kernel.now_us(),
            is_waiting: false,
        }
    }

    /// Records what the result of a call shows about the store, and converts the error.
    fn record_result(
        &self,
        call: &Call<'_>,
        result: call::Result,
    ) -> Result<http::Response<Bytes>, Error> {
        self.availability.on_result(call, &result);
        let response = result.map_err(|error| self.on_error(call, error))?;
        match store::era(response.headers()) {
            Some(era) if Some(era) < self.era.get() => {
                let detail = format!("the response is of the earlier era {era}");
                Err(unknown(call.step, call.key, detail))
            }
            Some(era) => {
                self.note_era(era);
                Ok(response)
            }
            None => Ok(response),
        }
    }

    /// Records the era that a response states, which is not earlier than the known one.
    fn note_era(&self, era: u64) {
        let former = self.era.replace(Some(era));
        if let Some(former) = former.filter(|former| *former < era) {
            let event = event::Event::new(event::Kind::StoreRewound)
                .with("era", era)
                .with("former_era", former);
            self.kernel.note(event);
        }
    }

    /// Closes what the failure of a call may have made unusable, and converts the error.
    fn on_error(&self, call: &Call<'_>, error: client::Error) -> Error {
        // Connections that were opened before a network partition may be unusable after it.
        self.call_connections.close();
        self.watch_connections.close();
        let (step, key) = (call.step, call.key.to_owned());
        if call.is_cut(&error) {
            let source = error;
            return Error::WatchCut { step, key, source };
        }
        // A watch that was ended here must not end others in turn.
        if step != "watch" || matches!(error.kind, client::Kind::TimedOut) {
            self.call_failed.notify_all();
        }
        match error.bytes_written {
            true => unknown(step, call.key, error.to_string()),
            false => {
                let source = error;
                Error::NotSent { step, key, source }
            }
        }
    }
}

async fn fetch_once(
    address: SocketAddr,
    options: client::Options,
    request: http::Request<Bytes>,
) -> call::Result {
    let mut connection = client::Connection::connect(address, options).await?;
    let head = connection.send(request).await?;
    let body = read_body(&mut connection).await?;
    Ok(http::Response::from_parts(head, body))
}

/// Reads the body of a response. The timeout between two reads does not bound one that arrives byte by
/// byte.
async fn read_body(connection: &mut client::Connection) -> Result<Bytes, client::Error> {
    let peer = connection.peer();
    let limit = Duration::from_millis(BODY_TIMEOUT_MS);
    let body = monoio::time::timeout(limit, connection.read_body()).await;
    body.unwrap_or(Err(client::Error {
        step: client::Step::Body,
        peer,
        bytes_written: true,
        kind: client::Kind::TimedOut,
    }))
}
