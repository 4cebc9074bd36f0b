//! Client of the object store that keeps what must last.
//!
//! A store speaks one of two dialects: the product's own object API, or that of the users'
//! platform, which `peridotrack-platform` encodes.

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

/// Name of this service in the registry.
pub const SERVICE: &str = "platform";

/// Idle connections that are kept to the platform.
const IDLE_CONNECTIONS: usize = 8;
/// Longest wait for a plain answer, in milliseconds: three times that of a slow store.
const RESPONSE_TIMEOUT_MS: u64 = 1_000;
/// Longest wait for a connection, in milliseconds: short enough to notice soon that a cut
/// has healed.
const CONNECT_TIMEOUT_MS: u64 = 400;
/// Period of probes on a silent connection, in milliseconds; three without an answer end it.
const KEEPALIVE_MS: u64 = 1_000;
/// Time on top of a watch's own timeout, in milliseconds.
const WATCH_MARGIN_MS: u64 = 5_000;
/// Most bytes of an object.
const OBJECT_BYTES: usize = 1024 * 1024;
/// Delay after a write of which no byte was sent, in milliseconds.
const NOT_SENT_RETRY_MS: u64 = 50;
/// Delay after a refusal that states none, in milliseconds.
const DEFAULT_RETRY_MS: u64 = 1_000;

/// A versioned object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Version, which rises with each update.
    pub version: u64,
    /// Content.
    pub body: Bytes,
}

/// One VM of the platform's list, which lags.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct VmEntry {
    /// Name of the VM.
    pub name: name::Vm,
    /// Address of the process on the VM.
    pub address: SocketAddr,
    /// Whether the VM is live or leaving.
    pub state: VmState,
}

/// State of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM serves.
    Live,
    /// The VM is about to stop.
    Leaving,
}

/// A call that failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The object's version is not the expected one.
    #[error("{step} {key}: the platform holds another version")]
    Conflict {
        /// What was done.
        step: &'static str,
        /// Key of the object.
        key: String,
        /// The object that the call met, if the platform told it.
        current: Option<Object>,
    },
    /// The platform refused the call and did nothing.
    #[error("{step} {key}: refused with status {status}")]
    Refused {
        /// What was done.
        step: &'static str,
        /// Key of the object.
        key: String,
        /// HTTP status.
        status: u16,
        /// When to try again, in milliseconds.
        retry_after_ms: u64,
    },
    /// No byte of the call reached the platform.
    #[error("{step} {key}: {source}")]
    NotSent {
        /// What was done.
        step: &'static str,
        /// Key of the object.
        key: String,
        /// Why.
        source: client::Error,
    },
    /// The changes since the revision that was asked for are no longer kept.
    #[error("{step} {key}: the history since the revision is gone")]
    HistoryLost {
        /// What was done.
        step: &'static str,
        /// Key of the objects.
        key: String,
    },
    /// The call may have taken effect.
    #[error("{step} {key}: outcome unknown: {detail}")]
    Unknown {
        /// What was done.
        step: &'static str,
        /// Key of the object.
        key: String,
        /// Why.
        detail: String,
    },
}

/// What became of a conditional write, as the decision crates tell it apart.
#[derive(Debug)]
pub enum Write {
    /// It took effect.
    Done {
        /// Version that it produced.
        version: u64,
    },
    /// It met another version and had no effect.
    Conflict {
        /// The object that it met, if the platform told it.
        current: Option<Object>,
    },
    /// It had no effect, because it was refused or never sent.
    Refused {
        /// When to try again, in milliseconds.
        retry_after_ms: u64,
    },
    /// It may have taken effect, or may yet.
    Unknown,
}

impl From<Result<u64, Error>> for Write {
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

/// Protocol that a store speaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dialect {
    /// The product's own object API.
    Native,
    /// The metadata store of the users' platform.
    Hosted,
}

/// Client of the platform.
pub struct Platform {
    kernel: Rc<Kernel>,
    dialect: Dialect,
    address: SocketAddr,
    pool: client::Pool,
    watch_options: client::Options,
    reachable: Cell<bool>,
    /// Whether the newest answered call was refused.
    is_refusing: Cell<bool>,
    last_failure_us: Cell<u64>,
    watches: RefCell<Vec<client::Connection>>,
    /// Tells the waiting watches that another call failed.
    failed: notify::Notify,
}

/// Construction.
impl Platform {
    /// Returns a client of the platform at `address`.
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
            watches: RefCell::default(),
            failed: notify::Notify::default(),
            pool: client::Pool::new(options, IDLE_CONNECTIONS),
            watch_options: options,
            reachable: Cell::new(true),
            is_refusing: Cell::new(false),
        })
    }
}

/// Access.
impl Platform {
    /// Returns whether the newest call was answered.
    pub fn is_reachable(&self) -> bool {
        self.reachable.get()
    }

    /// Returns the protocol that the store speaks.
    pub fn dialect(&self) -> Dialect {
        self.dialect
    }

    /// Returns when a call last failed to reach the platform or was refused by it, in monotonic
    /// microseconds; 0 if none did.
    pub fn last_failure_us(&self) -> u64 {
        self.last_failure_us.get()
    }

    /// Reads an object, `None` if there is none.
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

    /// Waits until an object is newer than `after_version`; `None` once the wait times out.
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
        let response = self.noted("watch", key, response)?;
        match response.status().as_u16() {
            204 => Ok(None),
            200 => object("watch", key, response).map(Some),
            _ => Err(refused("watch", key, &response)),
        }
    }

    /// Returns the platform's list of VMs.
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

/// Mutation.
impl Platform {
    /// Updates an object whose version is `expected`, or creates it if `expected` is `None`.
    /// Returns the new version.
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
                .ok_or_else(|| unknown("write", key, "the answer has no version".to_owned())),
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

impl Platform {
    /// Removes an object whose version is `version`.
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

impl Platform {
    async fn fetch(
        &self,
        step: &'static str,
        key: &str,
        request: http::Request<Bytes>,
    ) -> Result<http::Response<Bytes>, Error> {
        self.count(step);
        let result = self.pool.fetch(self.address, request).await;
        self.noted(step, key, result)
    }

    fn count(&self, step: &'static str) {
        let meter = self.kernel.meter();
        meter
            .labelled_counter(metric::PLATFORM_CALLS, "kind", step)
            .increment(1);
    }

    /// Notes a call that was refused, unless the one before was, too.
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

    /// Notes whether the platform can be reached and names the step of an error.
    fn noted(
        &self,
        step: &'static str,
        key: &str,
        result: Result<http::Response<Bytes>, client::Error>,
    ) -> Result<http::Response<Bytes>, Error> {
        if result.is_err() {
            self.last_failure_us.set(self.kernel.now_us());
            // Connections that were opened before a cut may stay silent after it has healed.
            self.pool.close_idle(self.address);
            if step != "watch" {
                self.failed.notify_all();
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
