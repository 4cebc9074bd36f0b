//! Bloom filters over key digests.
//!
//! A shard's head stores one filter per sealed page, so that a router reads only the pages that may
//! hold a key.

use serde::{Deserialize, Serialize};

use crate::digest;

/// Bits per key; with [`PROBES`] probes the false-positive rate is about 1 in 120.
const BITS_PER_KEY: usize = 10;
/// Bits set per key; each position is derived from one 32-bit word of the digest.
const PROBES: usize = 7;

/// A Bloom filter: it may report a key that is not in the set, but never misses one that is.
///
/// Serialized as lower-case hexadecimal text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Filter {
    bytes: Vec<u8>,
}

impl Filter {
    /// Builds a filter that contains `keys`, sized for their number.
    pub fn of<'a>(keys: impl ExactSizeIterator<Item = &'a digest::Digest>) -> Self {
        let bytes = (keys.len() * BITS_PER_KEY).div_ceil(8).max(1);
        let mut filter = Self {
            bytes: vec![0; bytes],
        };
        for key in keys {
            for probe in 0..PROBES {
                let bit = filter.bit(key, probe);
                filter.bytes[bit / 8] |= 1 << (bit % 8);
            }
        }
        filter
    }

    /// Returns whether `key` may be in the set.
    pub fn may_contain(&self, key: &digest::Digest) -> bool {
        (0..PROBES).all(|probe| {
            let bit = self.bit(key, probe);
            self.bytes[bit / 8] & (1 << (bit % 8)) != 0
        })
    }

    /// Returns the length of the filter's hexadecimal text, in bytes.
    pub fn text_bytes(&self) -> usize {
        self.bytes.len() * 2
    }

    fn bit(&self, key: &digest::Digest, probe: usize) -> usize {
        key.word(probe) as usize % (self.bytes.len() * 8)
    }
}

impl From<Filter> for String {
    fn from(filter: Filter) -> Self {
        hex::encode(filter.bytes)
    }
}

impl TryFrom<String> for Filter {
    type Error = digest::Error;

    fn try_from(text: String) -> Result<Self, digest::Error> {
        match hex::decode(&text) {
            Ok(bytes) if !bytes.is_empty() => Ok(Self { bytes }),
            _ => Err(digest::Error { text }),
        }
    }
}
