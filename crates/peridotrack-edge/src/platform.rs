//! Client of the object store, which keeps the state that outlives a router process.
//!
//! [`Platform`] speaks one of two dialects: the product's own object API, or the metadata store of
//! the users' platform, which `peridotrack-platform` encodes. Each call is sent once, and its
//! [`Error`] states whether the call may have taken effect; its callers decide whether to retry.

mod hosted;
mod native;
mod pack;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use bytes::Bytes;
use peridotrack_http::client;
use peridotrack_kernel::{Kernel, event};
use peridotrack_types::name;
use serde::Deserialize;

use crate::{metric, notify};
pub use hosted::Listing;
use native::{etag, object, object_path, refused, request, unknown};
pub use pack::unpack;

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
    /// The store no longer keeps the changes after the revision that a watch asked for.
    #[error("{step} {key}: the changes after the requested revision are no longer kept")]
    HistoryLost {
        /// Name of the call, always `watch`.
        step: &'static str,
        /// Kind of the objects.
        key: String,
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
            Err(Error::HistoryLost { .. } | Error::Unknown { .. }) => Self::Unknown,
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
    last_failure_us: Cell<u64>,
    /// Idle connections of watches that have ended.
    watch_connections: RefCell<Vec<client::Connection>>,
    /// Notifies the pending watches when another call fails.
    call_failed: notify::Notify,
}

/// Creates the client.
impl Platform {
    /// Returns a client of the platform at `address`, which connects with the first call.
    pub fn open(kernel: Rc<Kernel>, address: SocketAddr, dialect: Dialect) -> Rc<Self> {
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
            last_failure_us: Cell::new(0),
            watch_connections: RefCell::default(),
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

    /// Returns when a call last got no response or, in [`Dialect::Hosted`], was refused, in
    /// monotonic microseconds; 0 if no call has failed.
    pub fn last_failure_us(&self) -> u64 {
        self.last_failure_us.get()
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
        self.count("watch");
        let response = fetch_once(self.address, options, request).await;
        let response = self.record_result("watch", key, response)?;
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

/// Sends requests and records their results.
impl Platform {
    async fn fetch(
        &self,
        step: &'static str,
        key: &str,
        request: http::Request<Bytes>,
    ) -> Result<http::Response<Bytes>, Error> {
        self.count(step);
        let result = self.pool.fetch(self.address, request).await;
        self.record_result(step, key, result)
    }

    fn count(&self, step: &'static str) {
        let meter = self.kernel.meter();
        meter
            .labelled_counter(metric::PLATFORM_CALLS, "kind", step)
            .increment(1);
    }

    /// Logs a refusal, unless the previous response was a refusal as well.
    fn note_refusal(&self, step: &'static str, key: &str, status: http::StatusCode) {
        let is_refused = matches!(
            status,
            http::StatusCode::UNAUTHORIZED
                | http::StatusCode::FORBIDDEN
                | http::StatusCode::TOO_MANY_REQUESTS
        ) || status.is_server_error();
        if !self.is_refusing.replace(is_refused) && is_refused {
            let event = event::Event::new(event::Kind::PlatformRefused)
                .with("step", step)
                .with("key", key)
                .with("status", u64::from(status.as_u16()));
            self.kernel.note(event);
        }
    }

    /// Records whether the platform is reachable, logs a change of it, and converts the error.
    fn record_result(
        &self,
        step: &'static str,
        key: &str,
        result: Result<http::Response<Bytes>, client::Error>,
    ) -> Result<http::Response<Bytes>, Error> {
        if let Err(error) = &result {
            self.last_failure_us.set(self.kernel.now_us());
            // Connections that were opened before a network partition may be unusable after it.
            self.pool.close_idle(self.address);
            // A watch that was ended here must not end others in turn.
            if step != "watch" || matches!(error.kind, client::Kind::TimedOut) {
                self.call_failed.notify_all();
            }
        }
        if self.reachable.replace(result.is_ok()) != result.is_ok() {
            let kind = match result {
                Ok(_) => event::Kind::PlatformReached,
                Err(_) => event::Kind::PlatformLost,
            };
            let event = event::Event::new(kind).with("step", step).with("key", key);
            self.kernel.note(match &result {
                Ok(_) => event,
                Err(error) => event.with("error", error.to_string()),
            });
        }
        if let Ok(response) = &result {
            self.note_refusal(step, key, response.status());
        }
        result.map_err(|source| {
            if source.bytes_written {
                unknown(step, key, source.to_string())
            } else {
                Error::NotSent {
                    step,
                    key: key.to_owned(),
                    source,
                }
            }
        })
    }
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
