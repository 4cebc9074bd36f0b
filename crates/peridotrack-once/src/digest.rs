//! SHA-256 digests that name keys and requests.

use std::fmt;

use peridotrack_types::name;
use serde::{Deserialize, Serialize};
use sha2::Digest as _;

/// Bytes of a digest.
pub const DIGEST_BYTES: usize = 32;

/// A SHA-256 digest, in text as lower-case hexadecimal.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Digest(pub [u8; DIGEST_BYTES]);

/// A text that is not a digest.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("malformed digest {text:?}")]
pub struct Error {
    /// The text that was refused.
    pub text: String,
}

/// Returns the digest of an idempotency key of `account`.
///
/// The NUL between the two keeps `ab` + `c` apart from `a` + `bc`; account names hold no NUL.
pub fn of_key(account: &name::ClientAccount, key: &str) -> Digest {
    let hasher = sha2::Sha256::new()
        .chain_update(account.as_str())
        .chain_update([0])
        .chain_update(key);
    Digest(hasher.finalize().into())
}

/// Returns the digest of a request: its method, its path with query, and its body.
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
    /// Returns the four bytes at word `index` (0 to 7) as a number.
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
