//! Client of the object store, which keeps the state that outlives a router process.
//!
//! [`Platform`] speaks one of two dialects: the product's own object API, or the metadata store of
//! the users' platform, which `peridotrack-platform` encodes. Each call is sent once, and its
//! [`Error`] states whether the call may have taken effect; its callers decide whether to retry.

mod hosted;
mod idle;
mod native;
mod pack;

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
};

use bytes::Bytes;
use peridotrack_follow::outage::{Failure, Outages};
use peridotrack_http::client;
use peridotrack_kernel::{Kernel, event};
use peridotrack_types::name;
use serde::Deserialize;

use crate::{metric, notify};
pub use hosted::Listing;
use native::{etag, object, object_path, refused, request, unknown};
pub use pack::{pack, unpack};

/// Name of this service in the registry.
pub const SERVICE: &str = "platform";

/// Maximum number of idle connections that the pool keeps.
const IDLE_CONNECTIONS: usize = 8;
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
/// Maximum size of an object, in bytes.
const OBJECT_BYTES: usize = 1024 * 1024;
/// Retry delay after a write of which no byte was sent, in milliseconds.
const NOT_SENT_RETRY_MS: u64 = 50;
/// Retry delay after a refusal without a valid `Retry-After`, in milliseconds.
const DEFAULT_RETRY_MS: u64 = 1_000;

/// A stored object with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Version that a conditional update must state; each update increases it.
    pub version: u64,
    /// Content as its writer passed it to [`Platform::write`].
    pub body: Bytes,
}

/// An entry in the platform's list of VMs, which lags behind their actual state.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct VmEntry {
    /// Name of the VM; that of the backend server if the VM runs one.
    pub name: name::Vm,
    /// Address of the process on the VM; for a router, where it listens for peers.
    pub address: SocketAddr,
    /// Whether the VM serves or is about to stop.
    pub state: VmState,
}

/// State of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is in service.
    Live,
    /// The VM is about to stop.
    Leaving,
}

/// Failure of a call.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The stored version is not the expected one; the call had no effect.
    #[error("{step} {key}: the stored version is not the expected one")]
    Conflict {
        /// Name of the call, `write` or `remove`.
        step: &'static str,
        /// Key of the object.
        key: String,
        /// The stored object, if the response contained it.
        current: Option<Object>,
    },
    /// The platform refused the call without acting on it.
    #[error("{step} {key}: refused with status {status}")]
    Refused {
        /// Name of the call, such as `write`.
        step: &'static str,
        /// Key of the object, or the kind of the objects.
        key: String,
        /// HTTP status of the response.
        status: u16,
        /// Time to wait before another attempt, in milliseconds.
        retry_after_ms: u64,
    },
    /// No byte of the request was sent.
    #[error("{step} {key}: {source}")]
    NotSent {
        /// Name of the call, such as `write`.
        step: &'static str,
        /// Key of the object, or the kind of the objects.
        key: String,
        /// Failure of the connection.
        source: client::Error,
    },
    /// The store no longer keeps the changes after the revision that a watch asked for, or they exceed
    /// the limit of a response.
    #[error("{step} {key}: the changes after the requested revision cannot be read")]
    HistoryLost {
        /// Name of the call, always `watch`.
        step: &'static str,
        /// Kind of the objects.
        key: String,
    },
    /// The store closed the connection of a watch that waited.
    #[error("{step} {key}: cut off: {source}")]
    WatchCut {
        /// Name of the call, always `watch`.
        step: &'static str,
        /// Kind of the objects.
        key: String,
        /// Failure of the connection.
        source: client::Error,
    },
    /// The call may have taken effect, or its response cannot be read.
    #[error("{step} {key}: outcome unknown: {detail}")]
    Unknown {
        /// Name of the call, such as `write`.
        step: &'static str,
        /// Key of the object, or the kind of the objects.
        key: String,
        /// Failure of the connection, or what is wrong with the response.
        detail: String,
    },
}

/// Outcome of a conditional write, in the cases that the decision crates distinguish.
#[derive(Debug)]
pub enum WriteOutcome {
    /// The write took effect.
    Done {
        /// Version of the object after the write.
        version: u64,
    },
    /// The stored version was not the expected one; the write had no effect.
    Conflict {
        /// The stored object, if the response contained it.
        current: Option<Object>,
    },
    /// The write had no effect: it was refused, or no byte of it was sent.
    Refused {
        /// Time to wait before another attempt, in milliseconds.
        retry_after_ms: u64,
    },
    /// The write may have taken effect, or may yet take effect.
    Unknown,
}

impl From<Result<u64, Error>> for WriteOutcome {
    fn from(result: Result<u64, Error>) -> Self {
        match result {
            Ok(version) => Self::Done { version },
            Err(Error::Conflict { current, .. }) => Self::Conflict { current },
            Err(Error::Refused { retry_after_ms, .. }) => Self::Refused { retry_after_ms },
            Err(Error::NotSent { .. }) => Self::Refused {
                retry_after_ms: NOT_SENT_RETRY_MS,
            },
            Err(Error::HistoryLost { .. } | Error::WatchCut { .. } | Error::Unknown { .. }) => {
                Self::Unknown
            }
        }
    }
}

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
    pool: client::Pool,
    watch_options: client::Options,
    reachable: Cell<bool>,
    /// Whether the most recent response was a refusal.
    is_refusing: Cell<bool>,
    outages: RefCell<Outages>,
    /// Idle connections of watches that have ended.
    watch_connections: idle::Connections,
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
            kernel,
            dialect,
            address,
            outages: RefCell::new(Outages::new(min_outage_us)),
            watch_connections: idle::Connections::default(),
            call_failed: notify::Notify::default(),
            pool: client::Pool::new(options, IDLE_CONNECTIONS),
            watch_options: options,
            reachable: Cell::new(true),
            is_refusing: Cell::new(false),
        })
    }
}

/// Reports the state of the store and reads from it.
impl Platform {
    /// Returns whether the most recent call received a response; true before the first.
    pub fn is_reachable(&self) -> bool {
        self.reachable.get()
    }

    /// Returns the protocol of the store.
    pub fn dialect(&self) -> Dialect {
        self.dialect
    }

    /// Returns when the store was last unavailable, in monotonic microseconds; `None` if it never
    /// was.
    pub fn last_outage_us(&self) -> Option<u64> {
        self.outages.borrow().last_us()
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
            ..self.watch_options
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

    /// Reads the platform's list of VMs. Only [`Dialect::Native`] has this call.
    pub async fn vms(&self) -> Result<Vec<VmEntry>, Error> {
        #[derive(Deserialize)]
        struct List {
            items: Vec<VmEntry>,
        }
        let response = self
            .fetch("list", "vms", request("GET", "/v1/vms", &[], Bytes::new()))
            .await?;
        if response.status() != http::StatusCode::OK {
            return Err(refused("list", "vms", &response));
        }
        serde_json::from_slice::<List>(response.body())
            .map(|list| list.items)
            .map_err(|error| unknown("list", "vms", error.to_string()))
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

/// A call that was sent.
struct Call<'a> {
    step: &'static str,
    key: &'a str,
    sent_us: u64,
    /// Whether the store keeps the call waiting for a change.
    is_waiting: bool,
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
        let result = self.pool.fetch(self.address, request).await;
        self.record_result(&call, result)
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

    /// Logs a refusal, unless the previous response was a refusal as well.
    fn note_refusal(&self, call: &Call<'_>, status: http::StatusCode) {
        let is_refused = is_refusal(status);
        if !self.is_refusing.replace(is_refused) && is_refused {
            let event = event::Event::new(event::Kind::PlatformRefused)
                .with("step", call.step)
                .with("key", call.key)
                .with("status", u64::from(status.as_u16()));
            self.kernel.note(event);
        }
    }

    /// Records what the result of a call shows about the store, and converts the error.
    fn record_result(
        &self,
        call: &Call<'_>,
        result: Result<http::Response<Bytes>, client::Error>,
    ) -> Result<http::Response<Bytes>, Error> {
        let now_us = self.kernel.now_us();
        match failure(call, &result) {
            Some(failure) => self.outages.borrow_mut().on_failure(now_us, failure),
            None => self.outages.borrow_mut().on_response(now_us),
        }
        let key = || call.key.to_owned();
        let response = match result {
            Ok(response) => response,
            Err(error) => {
                // Connections that were opened before a network partition may be unusable after it.
                self.pool.close_idle(self.address);
                self.watch_connections.close();
                if is_cut(call, &error) {
                    return Err(Error::WatchCut {
                        step: call.step,
                        key: key(),
                        source: error,
                    });
                }
                // A watch that was ended here must not end others in turn.
                if call.step != "watch" || matches!(error.kind, client::Kind::TimedOut) {
                    self.call_failed.notify_all();
                }
                self.note_reachable(call, Some(&error));
                return Err(match error.bytes_written {
                    true => unknown(call.step, call.key, error.to_string()),
                    false => Error::NotSent {
                        step: call.step,
                        key: key(),
                        source: error,
                    },
                });
            }
        };
        self.note_reachable(call, None);
        self.note_refusal(call, response.status());
        Ok(response)
    }

    /// Records whether the platform is reachable, and logs a change of it.
    fn note_reachable(&self, call: &Call<'_>, error: Option<&client::Error>) {
        if self.reachable.replace(error.is_none()) == error.is_none() {
            return;
        }
        let kind = match error {
            None => event::Kind::PlatformReached,
            Some(_) => event::Kind::PlatformLost,
        };
        let event = event::Event::new(kind)
            .with("step", call.step)
            .with("key", call.key);
        self.kernel.note(match error {
            None => event,
            Some(error) => event.with("error", error.to_string()),
        });
    }
}

/// Returns what a result shows about the store, `None` if the store is available.
fn failure(
    call: &Call<'_>,
    result: &Result<http::Response<Bytes>, client::Error>,
) -> Option<Failure> {
    let inconclusive = Failure::Inconclusive {
        sent_us: call.sent_us,
    };
    match result {
        Ok(response) if response.status().is_server_error() => Some(Failure::Unavailable),
        Ok(response) => is_refusal(response.status()).then_some(inconclusive),
        Err(error) if is_cut(call, error) => Some(inconclusive),
        Err(error) => match error.kind {
            client::Kind::BodyTooLarge | client::Kind::HeadTooLarge | client::Kind::Dropped => None,
            _ => Some(Failure::Unavailable),
        },
    }
}

/// Returns whether an error means that the store closed the connection of a waiting watch.
fn is_cut(call: &Call<'_>, error: &client::Error) -> bool {
    let is_closed = match &error.kind {
        client::Kind::Closed => true,
        client::Kind::Io(error) => matches!(
            error.kind(),
            io::ErrorKind::ConnectionReset
                | io::ErrorKind::ConnectionAborted
                | io::ErrorKind::BrokenPipe
        ),
        _ => false,
    };
    call.is_waiting && error.bytes_written && is_closed
}

/// Returns whether a status means that the store does not serve this VM at present.
fn is_refusal(status: http::StatusCode) -> bool {
    let refusals = [
        http::StatusCode::UNAUTHORIZED,
        http::StatusCode::FORBIDDEN,
        http::StatusCode::TOO_MANY_REQUESTS,
    ];
    refusals.contains(&status) || status.is_server_error()
}

async fn fetch_once(
    address: SocketAddr,
    options: client::Options,
    request: http::Request<Bytes>,
) -> Result<http::Response<Bytes>, client::Error> {
    let mut connection = client::Connection::connect(address, options).await?;
    let head = connection.send(request).await?;
    let body = connection.read_body().await?;
    Ok(http::Response::from_parts(head, body))
}
