//! HTTP calls from a test to processes and stand-ins, and the runtime of a test.

use std::{future::Future, net::SocketAddr};

use bytes::Bytes;
use http::{Request, Response};
use peridotrack_http::client::{Connection, Error, Options};
use serde::{Serialize, de::DeserializeOwned};

/// Limits of a test's calls. The timeouts are short, so that polling a dead process continues
/// soon.
const LIMITS: Options = Options {
    connect_timeout_ms: 1_000,
    response_timeout_ms: 2_000,
    chunk_timeout_ms: 2_000,
    head_bytes: 32 * 1024,
    body_bytes: 16 * 1024 * 1024,
    accept_close_delimited: false,
    keepalive_ms: None,
};

/// Runs `body` to completion on a new monoio runtime with timers.
///
/// # Panics
///
/// If the system provides no epoll descriptor.
pub fn block_on<F: Future>(body: F) -> F::Output {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("an epoll descriptor is available")
        .block_on(body)
}

/// Reason why a control call failed.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The HTTP exchange failed.
    #[error(transparent)]
    Exchange(#[from] Error),
    /// The stand-in at `peer` refused the call.
    #[error("control call refused by {peer} with status {status}")]
    Refused {
        /// Address of the stand-in.
        peer: SocketAddr,
        /// Status of its response.
        status: u16,
    },
    /// The counters could not be deserialized.
    #[error("counters of {peer} are malformed: {source}")]
    Malformed {
        /// Address of the stand-in.
        peer: SocketAddr,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
}

/// Sends one request on a new connection, without retries, and reads the complete response.
pub async fn fetch(address: SocketAddr, request: Request<Bytes>) -> Result<Response<Bytes>, Error> {
    let mut connection = Connection::connect(address, LIMITS).await?;
    let head = connection.send(request).await?;
    let body = connection.read_body().await?;
    Ok(Response::from_parts(head, body))
}

/// Changes the control settings of a stand-in by `POST /control`.
pub async fn control(address: SocketAddr, control: &impl Serialize) -> Result<(), ControlError> {
    let body = serde_json::to_vec(control).expect("control settings have string keys only");
    let request = Request::post("/control").body(Bytes::from(body));
    let response = fetch(address, request.expect("the head is valid")).await?;
    check_status(address, &response)
}

/// Reads the counters of a stand-in by `GET /control`.
pub async fn counters<T: DeserializeOwned>(address: SocketAddr) -> Result<T, ControlError> {
    let request = Request::get("/control").body(Bytes::new());
    let response = fetch(address, request.expect("the head is valid")).await?;
    check_status(address, &response)?;
    serde_json::from_slice(response.body()).map_err(|source| ControlError::Malformed {
        peer: address,
        source,
    })
}

fn check_status(peer: SocketAddr, response: &Response<Bytes>) -> Result<(), ControlError> {
    let status = response.status();
    if status.is_success() {
        return Ok(());
    }
    Err(ControlError::Refused {
        peer,
        status: status.as_u16(),
    })
}
