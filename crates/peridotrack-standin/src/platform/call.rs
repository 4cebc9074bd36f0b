//! Parses HTTP requests into calls of the platform's API.

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, header};
use peridotrack_http::server::Request;

use crate::platform::{MAX_VALUE_BYTES, store::Precondition};

/// Maximum length of a key, in bytes.
const MAX_KEY_BYTES: usize = 512;
/// Maximum number of items in one list.
const MAX_LIST_ITEMS: usize = 1000;
/// Maximum duration of a watch, in milliseconds; longer timeouts are clamped.
const MAX_WATCH_MS: u64 = 60_000;

/// One parsed call of the API.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Call {
    Read {
        key: String,
    },
    Write {
        key: String,
        precondition: Precondition,
        value: Bytes,
    },
    Delete {
        key: String,
        version: u64,
    },
    List {
        prefix: String,
        after: String,
        limit: usize,
    },
    Watch {
        key: String,
        after: u64,
        timeout_ms: u64,
    },
    Vms,
}

/// Reason why a request could not be parsed as a call, and the status of its response.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    pub(crate) detail: &'static str,
}

impl Call {
    /// Parses a request; the refusal carries the status and the text of the response.
    pub(crate) fn parse(request: &Request) -> Result<Self, Refusal> {
        let path = request.head.uri.path();
        let query = request.head.uri.query().unwrap_or("");
        let method = &request.head.method;
        if method == Method::GET && path == "/v1/vms" {
            return Ok(Self::Vms);
        }
        if method == Method::GET && path == "/v1/objects" {
            return list(query);
        }
        if let Some(key) = path.strip_prefix("/v1/watch/")
            && method == Method::GET
        {
            return watch(checked_key(key)?, query);
        }
        let key = path
            .strip_prefix("/v1/objects/")
            .ok_or_else(|| refusal(StatusCode::NOT_FOUND, "no such path"))?;
        object(checked_key(key)?, request)
    }

    /// Returns whether the call counts against the write rate instead of the read rate.
    pub(crate) fn is_write(&self) -> bool {
        matches!(self, Self::Write { .. } | Self::Delete { .. })
    }
}

fn object(key: String, request: &Request) -> Result<Call, Refusal> {
    let headers = &request.head.headers;
    match request.head.method {
        Method::GET => Ok(Call::Read { key }),
        Method::PUT if request.body.len() > MAX_VALUE_BYTES => Err(refusal(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the value exceeds 1 MiB",
        )),
        Method::PUT => Ok(Call::Write {
            key,
            precondition: precondition(headers)?,
            value: request.body.clone(),
        }),
        Method::DELETE => match precondition(headers)? {
            Precondition::Version(version) => Ok(Call::Delete { key, version }),
            Precondition::Absent => Err(bad_request("DELETE takes If-Match")),
        },
        _ => Err(refusal(
            StatusCode::METHOD_NOT_ALLOWED,
            "GET, PUT or DELETE",
        )),
    }
}

fn precondition(headers: &HeaderMap) -> Result<Precondition, Refusal> {
    let if_match = headers.get(header::IF_MATCH);
    let if_none_match = headers.get(header::IF_NONE_MATCH);
    match (if_match, if_none_match) {
        (Some(tag), None) => tag
            .to_str()
            .ok()
            .and_then(|tag| tag.strip_prefix('"')?.strip_suffix('"')?.parse().ok())
            .map(Precondition::Version)
            .ok_or_else(|| bad_request("If-Match is not a version")),
        (None, Some(tag)) if tag == "*" => Ok(Precondition::Absent),
        (None, None) => Err(refusal(
            StatusCode::PRECONDITION_REQUIRED,
            "If-Match or If-None-Match is required",
        )),
        _ => Err(bad_request(
            "either If-Match with a version or If-None-Match: *",
        )),
    }
}

fn list(query: &str) -> Result<Call, Refusal> {
    let limit = number(query, "limit")?.map_or(MAX_LIST_ITEMS, |limit| {
        usize::try_from(limit).unwrap_or(usize::MAX)
    });
    Ok(Call::List {
        prefix: parameter(query, "prefix").unwrap_or("").to_owned(),
        after: parameter(query, "after").unwrap_or("").to_owned(),
        limit: limit.min(MAX_LIST_ITEMS),
    })
}

fn watch(key: String, query: &str) -> Result<Call, Refusal> {
    Ok(Call::Watch {
        key,
        after: number(query, "after")?.unwrap_or(0),
        timeout_ms: number(query, "timeout_ms")?
            .unwrap_or(MAX_WATCH_MS)
            .min(MAX_WATCH_MS),
    })
}

/// Accepts keys of up to 512 bytes that need no percent-encoding in a path or a query.
fn checked_key(key: &str) -> Result<String, Refusal> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~/:@".contains(&byte);
    if key.is_empty() || key.len() > MAX_KEY_BYTES || !key.bytes().all(allowed) {
        return Err(bad_request("the key is empty, too long, or needs escapes"));
    }
    Ok(key.to_owned())
}

fn number(query: &str, name: &str) -> Result<Option<u64>, Refusal> {
    parameter(query, name)
        .map(|text| {
            text.parse()
                .map_err(|_| bad_request("a parameter is not a number"))
        })
        .transpose()
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))
}

fn bad_request(detail: &'static str) -> Refusal {
    refusal(StatusCode::BAD_REQUEST, detail)
}

fn refusal(status: StatusCode, detail: &'static str) -> Refusal {
    Refusal { status, detail }
}
