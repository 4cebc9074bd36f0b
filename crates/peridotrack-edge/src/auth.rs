//! Finds who a bearer key belongs to.

use peridotrack_types::{collections, name, register};
use sha2::{Digest, Sha256};

/// SHA-256 digest of a key.
type KeyDigest = [u8; 32];

/// Client accounts by the digests of their keys.
#[derive(Debug, Default)]
pub struct Keys {
    accounts: collections::HashMap<KeyDigest, name::ClientAccount>,
}

impl Keys {
    /// Collects the keys of a register. Malformed digests match nothing.
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

    /// Returns the client account that a request's bearer key names.
    pub fn account(&self, headers: &http::HeaderMap) -> Option<name::ClientAccount> {
        self.accounts.get(&digest(bearer(headers)?)).cloned()
    }
}

/// Returns whether a request carries the key with this digest.
pub fn is_operator(headers: &http::HeaderMap, digest_sha256: &str) -> bool {
    let expected = decode_digest(digest_sha256);
    bearer(headers).is_some_and(|key| expected == Some(digest(key)))
}

/// Returns the digest of a key.
pub fn digest(key: &str) -> KeyDigest {
    Sha256::digest(key.as_bytes()).into()
}

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
