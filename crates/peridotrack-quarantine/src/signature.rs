//! What a request may have in common with others that crash the servers which run them.

use std::{fmt, str::FromStr};

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Length of the digest of a request, in bytes.
pub const DIGEST_BYTES: usize = 16;
/// Prefix of the text of a request's digest.
const REQUEST_PREFIX: &str = "request:";

/// Property of a request under which backend servers may crash, written as text: a prompt part as
/// hexadecimal digits, a request as `request:` and the digits of its digest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub enum Signature {
    /// Identifier of a prompt part that other requests may share.
    Part(u64),
    /// Keyed digest of a whole request, equal for identical requests of one client account.
    Request([u8; DIGEST_BYTES]),
}

/// A text that is not a signature.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("malformed signature {text:?}")]
pub struct Error {
    /// The text.
    pub text: String,
}

/// Fields that identical requests have in common.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Client account, empty if there is none; no account can have requests of another blocked.
    pub account: &'a str,
    /// Method of the request.
    pub method: &'a str,
    /// Host of the route.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Body of the request.
    pub body: &'a [u8],
}

/// Returns the signature of a whole request. Without the key it reveals nothing about the request.
pub fn of_request(key: &[u8], request: &Request<'_>) -> Signature {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts a key of any length");
    let fields = [
        request.account,
        request.method,
        request.host,
        request.target,
    ];
    for field in fields.map(str::as_bytes).into_iter().chain([request.body]) {
        mac.update(&(field.len() as u64).to_be_bytes());
        mac.update(field);
    }
    let digest = mac.finalize().into_bytes();
    let mut truncated = [0; DIGEST_BYTES];
    truncated.copy_from_slice(&digest[..DIGEST_BYTES]);
    Signature::Request(truncated)
}

impl fmt::Display for Signature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(id) => write!(f, "{id:x}"),
            Self::Request(digest) => write!(f, "{REQUEST_PREFIX}{}", hex::encode(digest)),
        }
    }
}

impl fmt::Debug for Signature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Signature {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let signature = match text.strip_prefix(REQUEST_PREFIX) {
            Some(digits) => {
                let mut digest = [0; DIGEST_BYTES];
                let decoded = hex::decode_to_slice(digits, &mut digest);
                decoded.ok().map(|()| Self::Request(digest))
            }
            None => u64::from_str_radix(text, 16).ok().map(Self::Part),
        };
        signature.ok_or_else(|| Error {
            text: text.to_owned(),
        })
    }
}

impl TryFrom<String> for Signature {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Signature> for String {
    fn from(signature: Signature) -> Self {
        signature.to_string()
    }
}
