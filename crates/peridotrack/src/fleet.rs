//! Client of the routers' operator interface.

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

/// Longest wait for a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Longest wait for an response, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 3_000;
/// Largest response, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024 * 1024;

/// Routers that are tasks.
pub struct Fleet {
    addresses: Vec<SocketAddr>,
    key: Option<Rc<str>>,
}

/// What the tool reads of a router's status; the rest is passed through.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the VM.
    pub vm: name::Vm,
    /// Life of the process.
    pub incarnation: id::Incarnation,
    /// Failure domain of the VM.
    pub failure_domain: name::FailureDomain,
    /// State of the process.
    pub state: String,
    /// Version of the configuration in force.
    pub config_version: u64,
}

/// An response, and when it was tasks for and came, by the clock of this machine.
#[derive(Debug, Clone)]
pub struct Response<T> {
    /// What the router told.
    pub value: T,
    /// When the request was sent, in microseconds since 1970.
    pub sent_wall_us: u64,
    /// When the response had come, in microseconds since 1970.
    pub received_wall_us: u64,
}

/// A router that gave no usable response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The router was not reached, or its response was cut.
    #[error("{path}: {source}")]
    Http {
        /// What was tasks for.
        path: String,
        /// Why it failed.
        source: client::Error,
    },
    /// The router refused.
    #[error("{path}: {address} answered with status {status}")]
    Status {
        /// What was tasks for.
        path: String,
        /// Address of the router.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
    },
    /// The response is not as expected.
    #[error("{path}: the response of {address} cannot be read: {message}")]
    Malformed {
        /// What was tasks for.
        path: String,
        /// Address of the router.
        address: SocketAddr,
        /// What is wrong.
        message: String,
    },
}

/// Construction.
impl Fleet {
    /// Reads the operators' key.
    ///
    /// # Errors
    ///
    /// Returns a failure if the key cannot be read.
    pub fn open(routers: &arguments::Routers) -> Result<Self, Failure> {
        let key = routers.key_file.as_ref().map(|file| {
            std::fs::read_to_string(file)
                .wrap_err_with(|| format!("read the operators' key from {}", file.display()))
        });
        let key = key.transpose().or_exit(Exit::Usage)?;
        Ok(Self {
            addresses: routers.addresses.clone(),
            key: key.map(|key| key.trim().into()),
        })
    }
}

/// Access.
impl Fleet {
    /// Returns the operator addresses of the routers.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Asks every router at once, and returns the responses in the order of the routers.
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

    /// Asks one router.
    ///
    /// # Errors
    ///
    /// Returns an error if the router gives no usable response.
    pub async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<Response<T>, Error> {
        get(address, path.to_owned(), self.key.clone()).await
    }
}

impl Error {
    /// Returns whether the router was not reached.
    pub fn is_unreachable(&self) -> bool {
        matches!(self, Self::Http { .. })
    }

    /// Returns how a command that met this error ends.
    pub fn exit(&self) -> Exit {
        if self.is_unreachable() {
            Exit::Unreachable
        } else {
            Exit::Refused
        }
    }
}

/// Returns how a command ends that tasks several routers.
pub fn worst_exit<T>(responses: &[(SocketAddr, Result<T, Error>)]) -> Exit {
    let exits = responses
        .iter()
        .filter_map(|(_, response)| response.as_ref().err());
    exits.map(Error::exit).max().unwrap_or(Exit::Done)
}

/// Returns the clock of this machine, in microseconds since 1970.
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
