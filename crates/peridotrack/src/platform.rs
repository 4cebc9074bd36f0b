//! Client of the platform's object API, as `docs/PROTOCOLS.md` describes it.
//!
//! Objects are versioned and written conditionally. Calls are retried if the platform cannot be
//! reached or refuses them because of a rate limit; [`WriteOutcome`] states whether a lost response
//! leaves the outcome of a write unknown.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use peridotrack_http::client;
use serde::Deserialize;

/// Timeout for the connection, the response head and each part of the body, in milliseconds.
const TIMEOUT_MS: u64 = 3_000;
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 2 * 1024 * 1024;
/// Maximum number of idle connections that are kept open.
const MAX_IDLE_CONNECTIONS: usize = 2;
/// Objects requested per page of a list.
const LIST_PAGE_ITEMS: usize = 1_000;
/// Maximum number of attempts of a call that fails or is refused with status 429 or 503.
const MAX_ATTEMPTS: u32 = 5;
/// Delay before another attempt without a `retry-after` header.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Upper limit on the delay from a `retry-after` header.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// An object of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Version of the object, from its `etag`.
    pub version: u64,
    /// Content of the object, not decoded.
    pub content: Bytes,
}

/// Outcome of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Done,
    /// The object has another version; the write took no effect.
    Conflict,
    /// The object has another version, but the response to an earlier attempt was lost, so that the
    /// write may have taken effect.
    ConflictAfterLostResponse,
}

/// A call that failed in all attempts.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The platform was not reached or its response was lost; the outcome of a write is unknown.
    #[error("{operation} {key} at {address}")]
    Http {
        /// Name of the operation: `read`, `list` or `write`.
        operation: &'static str,
        /// Key of the object, or prefix of the listed keys.
        key: String,
        /// Address of the platform that was called.
        address: SocketAddr,
        /// Error of the HTTP client.
        source: Box<client::Error>,
    },
    /// The platform responded with a status other than those of success, absence and conflict.
    #[error("{operation} {key} at {address}: status {status}")]
    Status {
        /// Name of the operation: `read`, `list` or `write`.
        operation: &'static str,
        /// Key of the object, or prefix of the listed keys.
        key: String,
        /// Address of the platform that was called.
        address: SocketAddr,
        /// HTTP status code of the last attempt.
        status: u16,
    },
    /// The request could not be built, or the response could not be decoded.
    #[error("{operation} {key} at {address}: {message}")]
    Malformed {
        /// Name of the operation: `read`, `list` or `write`.
        operation: &'static str,
        /// Key of the object, or prefix of the listed keys.
        key: String,
        /// Address of the platform that was called.
        address: SocketAddr,
        /// Description of the error.
        message: String,
    },
}

/// Client of the object API of one platform.
pub struct Platform {
    address: SocketAddr,
    pool: client::Pool,
}

/// Operation and key of a call, for the errors that it may return.
#[derive(Clone, Copy)]
struct Call<'a> {
    operation: &'static str,
    key: &'a str,
}

/// A page of a list of objects.
#[derive(Deserialize)]
struct List {
    items: Vec<Item>,
}

#[derive(Deserialize)]
struct Item {
    key: String,
}

/// Opens a client.
impl Platform {
    /// Returns a client of the platform at `address`, without connecting.
    pub fn open(address: SocketAddr) -> Self {
        let options = client::Options {
            connect_timeout_ms: TIMEOUT_MS,
            response_timeout_ms: TIMEOUT_MS,
            chunk_timeout_ms: TIMEOUT_MS,
            body_bytes: MAX_RESPONSE_BYTES,
            ..client::Options::default()
        };
        Self {
            address,
            pool: client::Pool::new(options, MAX_IDLE_CONNECTIONS),
        }
    }
}

/// Reads objects and lists their keys.
impl Platform {
    /// Reads an object; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached or refuses.
    pub async fn read(&self, key: &str) -> Result<Option<Object>, Error> {
        let call = Call {
            operation: "read",
            key,
        };
        let path = format!("/v1/objects/{key}");
        let response = self
            .fetch_with_retries(call, "GET", &path, None, &Bytes::new())
            .await?;
        match response.status().as_u16() {
            404 => Ok(None),
            200 => self.object(call, response).map(Some),
            status => Err(self.refused(call, status)),
        }
    }

    /// Returns all keys that begin with `prefix`, page by page, in ascending order.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached or refuses.
    pub async fn list(&self, prefix: &str) -> Result<Vec<String>, Error> {
        let call = Call {
            operation: "list",
            key: prefix,
        };
        let mut keys: Vec<String> = Vec::new();
        loop {
            let after = keys.last().map_or("", String::as_str);
            let path = format!("/v1/objects?prefix={prefix}&after={after}&limit={LIST_PAGE_ITEMS}");
            let response = self
                .fetch_with_retries(call, "GET", &path, None, &Bytes::new())
                .await?;
            if response.status() != http::StatusCode::OK {
                return Err(self.refused(call, response.status().as_u16()));
            }
            let list: List = serde_json::from_slice(response.body())
                .map_err(|error| self.malformed(call, &error.to_string()))?;
            let count = list.items.len();
            keys.extend(list.items.into_iter().map(|item| item.key));
            if count < LIST_PAGE_ITEMS {
                return Ok(keys);
            }
        }
    }
}

/// Writes objects.
impl Platform {
    /// Replaces an object of version `expected`, or creates it if `expected` is `None`.
    ///
    /// After a lost response the same conditional write is sent again; it takes effect at most
    /// once.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached or refuses the call. After an
    /// [`Error::Http`] the write may have taken effect.
    pub async fn write(
        &self,
        key: &str,
        expected: Option<u64>,
        content: &Bytes,
    ) -> Result<WriteOutcome, Error> {
        let call = Call {
            operation: "write",
            key,
        };
        let path = format!("/v1/objects/{key}");
        let mut is_response_lost = false;
        let mut attempt = 1;
        loop {
            let result = self
                .fetch(call, "PUT", &path, Some(expected), content)
                .await;
            let delay = match &result {
                Ok(response) => match response.status().as_u16() {
                    200 | 201 => return Ok(WriteOutcome::Done),
                    412 if is_response_lost => return Ok(WriteOutcome::ConflictAfterLostResponse),
                    412 => return Ok(WriteOutcome::Conflict),
                    429 | 503 => retry_after(response),
                    status => return Err(self.refused(call, status)),
                },
                Err(error) => {
                    is_response_lost |= may_have_arrived(error);
                    DEFAULT_RETRY_DELAY
                }
            };
            if attempt == MAX_ATTEMPTS {
                let status = result?.status().as_u16();
                return Err(self.refused(call, status));
            }
            attempt += 1;
            monoio::time::sleep(delay).await;
        }
    }
}

/// Sends calls and creates errors.
impl Platform {
    /// Makes an idempotent call, with up to [`MAX_ATTEMPTS`] attempts.
    async fn fetch_with_retries(
        &self,
        call: Call<'_>,
        method: &str,
        path: &str,
        condition: Option<Option<u64>>,
        content: &Bytes,
    ) -> Result<http::Response<Bytes>, Error> {
        let mut attempt = 1;
        loop {
            let result = self.fetch(call, method, path, condition, content).await;
            let delay = match &result {
                Ok(response) if matches!(response.status().as_u16(), 429 | 503) => {
                    retry_after(response)
                }
                Ok(_) => return result,
                Err(_) => DEFAULT_RETRY_DELAY,
            };
            if attempt == MAX_ATTEMPTS {
                return result;
            }
            attempt += 1;
            monoio::time::sleep(delay).await;
        }
    }

    /// Makes a call once. `condition` is absent for an unconditional call; otherwise it holds the
    /// expected version, or `None` if the object must not exist.
    async fn fetch(
        &self,
        call: Call<'_>,
        method: &str,
        path: &str,
        condition: Option<Option<u64>>,
        content: &Bytes,
    ) -> Result<http::Response<Bytes>, Error> {
        let mut request = http::Request::builder().method(method).uri(path);
        match condition {
            Some(Some(version)) => {
                request = request.header("if-match", format!("\"{version}\""));
            }
            Some(None) => request = request.header("if-none-match", "*"),
            None => {}
        }
        let request = request
            .body(content.clone())
            .map_err(|error| self.malformed(call, &error.to_string()))?;
        let response = self.pool.fetch(self.address, request).await;
        response.map_err(|source| Error::Http {
            operation: call.operation,
            key: call.key.to_owned(),
            address: self.address,
            source: Box::new(source),
        })
    }

    fn object(&self, call: Call<'_>, response: http::Response<Bytes>) -> Result<Object, Error> {
        let etag = response.headers().get("etag");
        let version = etag
            .and_then(|etag| etag.to_str().ok()?.trim_matches('"').parse().ok())
            .ok_or_else(|| self.malformed(call, "the response has no version"))?;
        Ok(Object {
            version,
            content: response.into_body(),
        })
    }

    fn refused(&self, call: Call<'_>, status: u16) -> Error {
        Error::Status {
            operation: call.operation,
            key: call.key.to_owned(),
            address: self.address,
            status,
        }
    }

    fn malformed(&self, call: Call<'_>, message: &str) -> Error {
        Error::Malformed {
            operation: call.operation,
            key: call.key.to_owned(),
            address: self.address,
            message: message.to_owned(),
        }
    }
}

/// Returns whether a call may have reached the platform although it failed.
fn may_have_arrived(error: &Error) -> bool {
    match error {
        Error::Http { source, .. } => source.bytes_written,
        Error::Status { .. } | Error::Malformed { .. } => true,
    }
}

/// Returns the delay that a response requests before another attempt, at most [`MAX_RETRY_DELAY`].
fn retry_after(response: &http::Response<Bytes>) -> Duration {
    response
        .headers()
        .get("retry-after")
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map_or(DEFAULT_RETRY_DELAY, Duration::from_secs)
        .min(MAX_RETRY_DELAY)
}
