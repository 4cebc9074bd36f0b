//! HTTP client of the routers' operator interface.
//!
//! A [`Fleet`] sends GET requests with the operators' key to one router or to all at once, and
//! records when each request was sent and its response received.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use eyre::WrapErr;
use peridotrack_http::client;
use peridotrack_types::{id, name};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    arguments,
    report::{Exit, Failure, OrExit},
};

/// Timeout for opening a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Timeout for the response head, and for each part of its body, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 3_000;
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024 * 1024;

/// Operator addresses of several routers, and the key to query them.
pub struct Fleet {
    addresses: Vec<SocketAddr>,
    key: Option<Rc<str>>,
}

/// Fields of a router's status that the tool uses; others are passed through to JSON output.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the VM on which the router runs.
    pub vm: name::Vm,
    /// Incarnation of the router process.
    pub incarnation: id::Incarnation,
    /// Failure domain of the VM.
    pub failure_domain: name::FailureDomain,
    /// State of the process as the router reports it, such as `serving`.
    pub state: String,
    /// Version of the configuration that the router applies; 0 if none.
    pub config_version: u64,
}

/// A decoded response, with the times of the exchange by the clock of this machine.
#[derive(Debug, Clone)]
pub struct Response<T> {
    /// Decoded body.
    pub value: T,
    /// When the request was sent, in microseconds since the Unix epoch.
    pub sent_wall_us: u64,
    /// When the response had been received in full, in microseconds since the Unix epoch.
    pub received_wall_us: u64,
}

/// A query of a router that failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The router was not reached, or the connection failed before the end of the response.
    #[error("{path}: {source}")]
    Http {
        /// Requested path.
        path: String,
        /// Error of the HTTP client.
        source: client::Error,
    },
    /// The router responded with another status than 200.
    #[error("{path}: {address} responded with status {status}")]
    Status {
        /// Requested path.
        path: String,
        /// Operator address of the router.
        address: SocketAddr,
        /// HTTP status code.
        status: u16,
    },
    /// The request could not be built, or the response body could not be decoded.
    #[error("{path}: the response of {address} cannot be decoded: {message}")]
    Malformed {
        /// Requested path.
        path: String,
        /// Operator address of the router.
        address: SocketAddr,
        /// Error of the encoder or decoder.
        message: String,
    },
}

/// Opens a client.
impl Fleet {
    /// Returns a client of the routers, with the operators' key read from its file.
    ///
    /// # Errors
    ///
    /// Returns a failure if the key file cannot be read.
    pub fn open(routers: &arguments::Routers) -> Result<Self, Failure> {
        let key = routers.key_file.as_ref().map(|file| {
            std::fs::read_to_string(file)
                .wrap_err_with(|| format!("cannot read the operators' key from {}", file.display()))
        });
        let key = key.transpose().or_exit(Exit::Usage)?;
        Ok(Self {
            addresses: routers.addresses.clone(),
            key: key.map(|key| key.trim().into()),
        })
    }
}

/// Queries routers.
impl Fleet {
    /// Returns the operator addresses, in the order of the command line.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Gets `path` from all routers concurrently; the results are in the order of the routers.
    pub async fn get_all<T>(&self, path: &str) -> Vec<(SocketAddr, Result<Response<T>, Error>)>
    where
        T: DeserializeOwned + 'static,
    {
        let tasks: Vec<_> = self
            .addresses
            .iter()
            .map(|address| {
                let request = get(*address, path.to_owned(), self.key.clone());
                (*address, monoio::spawn(request))
            })
            .collect();
        let mut responses = Vec::new();
        for (address, task) in tasks {
            responses.push((address, task.await));
        }
        responses
    }

    /// Gets `path` from one router.
    ///
    /// # Errors
    ///
    /// Returns an error if the router cannot be reached, refuses, or sends a malformed body.
    pub async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<Response<T>, Error> {
        get(address, path.to_owned(), self.key.clone()).await
    }
}

impl Error {
    /// Returns whether no complete response arrived.
    pub fn is_unreachable(&self) -> bool {
        matches!(self, Self::Http { .. })
    }

    /// Returns the exit code of a command that ends with this error.
    pub fn exit(&self) -> Exit {
        if self.is_unreachable() {
            Exit::Unreachable
        } else {
            Exit::Refused
        }
    }
}

/// Returns the exit code of a command that queried several routers: the greatest of their results.
pub fn worst_exit<T>(responses: &[(SocketAddr, Result<T, Error>)]) -> Exit {
    let exits = responses
        .iter()
        .filter_map(|(_, response)| response.as_ref().err());
    exits.map(Error::exit).max().unwrap_or(Exit::Done)
}

/// Returns the wall-clock time of this machine, in microseconds since the Unix epoch.
pub fn wall_us() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}

async fn get<T: DeserializeOwned>(
    address: SocketAddr,
    path: String,
    key: Option<Rc<str>>,
) -> Result<Response<T>, Error> {
    let malformed = |path: String, message: String| Error::Malformed {
        path,
        address,
        message,
    };
    let mut request = http::Request::get(&path);
    if let Some(key) = key {
        request = request.header("authorization", format!("Bearer {key}"));
    }
    let request = request
        .body(Bytes::new())
        .map_err(|error| malformed(path.clone(), error.to_string()))?;
    let options = client::Options {
        connect_timeout_ms: CONNECT_TIMEOUT_MS,
        response_timeout_ms: RESPONSE_TIMEOUT_MS,
        chunk_timeout_ms: RESPONSE_TIMEOUT_MS,
        body_bytes: MAX_RESPONSE_BYTES,
        ..client::Options::default()
    };
    let pool = client::Pool::new(options, 0);
    let connection = pool.take(address).await;
    let sent_wall_us = wall_us();
    let response = exchange(connection, request).await;
    let received_wall_us = wall_us();
    let response = response.map_err(|source| Error::Http {
        path: path.clone(),
        source,
    })?;
    if response.status() != http::StatusCode::OK {
        return Err(Error::Status {
            path,
            address,
            status: response.status().as_u16(),
        });
    }
    let value = serde_json::from_slice(response.body())
        .map_err(|error| malformed(path, error.to_string()))?;
    Ok(Response {
        value,
        sent_wall_us,
        received_wall_us,
    })
}

async fn exchange(
    connection: Result<client::Connection, client::Error>,
    request: http::Request<Bytes>,
) -> Result<http::Response<Bytes>, client::Error> {
    let mut connection = connection?;
    let head = connection.send(request).await?;
    let body = connection.read_body().await?;
    Ok(http::Response::from_parts(head, body))
}
