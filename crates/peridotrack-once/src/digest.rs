//! SHA-256 digests that identify idempotency keys and requests in stored objects.

use std::fmt;

use peridotrack_types::name;
use serde::{Deserialize, Serialize};
use sha2::Digest as _;

/// Length of a digest, in bytes.
pub const DIGEST_BYTES: usize = 32;

/// A SHA-256 digest, displayed and serialized as lower-case hexadecimal.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Digest(pub [u8; DIGEST_BYTES]);

/// Error for text that is not the hexadecimal form of a digest or filter.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("malformed digest {text:?}")]
pub struct Error {
    /// The rejected text.
    pub text: String,
}

/// Returns the digest of an idempotency key of `account`.
///
/// A NUL separates the two, so that `ab` + `c` and `a` + `bc` differ; account names contain no NUL.
pub fn of_key(account: &name::ClientAccount, key: &str) -> Digest {
    let hasher = sha2::Sha256::new()
        .chain_update(account.as_str())
        .chain_update([0])
        .chain_update(key);
    Digest(hasher.finalize().into())
}

/// Returns the digest of a request's method, path with query, and body.
pub fn of_request(method: &str, path: &str, body: &[u8]) -> Digest {
    let hasher = sha2::Sha256::new()
        .chain_update(method)
        .chain_update([0])
        .chain_update(path)
        .chain_update([0])
        .chain_update(body);
    Digest(hasher.finalize().into())
}

impl Digest {
    /// Returns the big-endian 32-bit word at `index`, from 0 to 7.
    pub fn word(&self, index: usize) -> u32 {
        let start = index * 4;
        u32::from_be_bytes([
            self.0[start],
            self.0[start + 1],
            self.0[start + 2],
            self.0[start + 3],
        ])
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for Digest {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        let mut bytes = [0; DIGEST_BYTES];
        match hex::decode_to_slice(&text, &mut bytes) {
            Ok(()) => Ok(Self(bytes)),
            Err(_) => Err(Error { text }),
        }
    }
}
