//! Keys of streams: keyed digests of the client account and the attempt that received the first event.

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Length of a key, in bytes.
pub const KEY_BYTES: usize = 16;

/// Identifies a stream. A client cannot name one of another client account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(pub [u8; KEY_BYTES]);

/// Returns the key of the stream whose first event the client's attempt `first_attempt` received.
/// `account` is empty if the route needs no client account.
pub fn of_stream(secret: &[u8], account: &str, first_attempt: &str) -> Key {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC accepts a key of any length");
    mac.update(&(account.len() as u64).to_be_bytes());
    mac.update(account.as_bytes());
    mac.update(first_attempt.as_bytes());
    let digest = mac.finalize().into_bytes();
    let mut key = [0; KEY_BYTES];
    key.copy_from_slice(&digest[..KEY_BYTES]);
    Key(key)
}
