//! Authenticates requests by their bearer keys.
//!
//! Only SHA-256 digests of the keys are stored: those of client accounts in the register, the
//! operators' in the settings.

use peridotrack_types::{collections, name, register};
use sha2::{Digest, Sha256};

/// SHA-256 digest of a bearer key.
type KeyDigest = [u8; 32];

/// Client accounts by the digests of their bearer keys.
#[derive(Debug, Default)]
pub struct Keys {
    accounts: collections::HashMap<KeyDigest, name::ClientAccount>,
}

impl Keys {
    /// Collects the key digests of a register. A malformed digest is ignored.
    pub fn from_register(register: &register::Register) -> Self {
        let accounts = register
            .client_accounts
            .iter()
            .flat_map(|account| {
                account
                    .key_digests_sha256
                    .iter()
                    .filter_map(|text| Some((decode_digest(text)?, account.name.clone())))
            })
            .collect();
        Self { accounts }
    }

    /// Returns the client account that a request's bearer key belongs to; `None` if the key is
    /// missing or unknown.
    pub fn account(&self, headers: &http::HeaderMap) -> Option<name::ClientAccount> {
        self.accounts.get(&digest(bearer(headers)?)).cloned()
    }
}

/// Returns whether a request carries the operators' bearer key.
///
/// `digest_sha256` is that key's digest in hexadecimal; a malformed one matches no key.
pub fn is_operator(headers: &http::HeaderMap, digest_sha256: &str) -> bool {
    let expected = decode_digest(digest_sha256);
    bearer(headers).is_some_and(|key| expected == Some(digest(key)))
}

/// Returns the SHA-256 digest of a key.
pub fn digest(key: &str) -> KeyDigest {
    Sha256::digest(key.as_bytes()).into()
}

/// Returns the key of the `Authorization: Bearer` header.
fn bearer(headers: &http::HeaderMap) -> Option<&str> {
    headers
        .get(http::header::AUTHORIZATION)?
        .to_str()
        .ok()?
        .strip_prefix("Bearer ")
}

fn decode_digest(text: &str) -> Option<KeyDigest> {
    let mut digest = KeyDigest::default();
    hex::decode_to_slice(text, &mut digest).ok()?;
    Some(digest)
}
