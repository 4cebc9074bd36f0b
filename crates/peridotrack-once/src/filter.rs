//! Bloom filters over key digests.

use serde::{Deserialize, Serialize};

use crate::digest;

/// Bits per key; with [`PROBES`] probes about 1 key in 120 is reported that is not there.
const BITS_PER_KEY: usize = 10;
/// Bits set per key; each takes one word of the digest.
const PROBES: usize = 7;

/// A set of key digests that may report a key that was never put in, but never misses one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Filter {
    bytes: Vec<u8>,
}

impl Filter {
    /// Builds the filter of `keys`.
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

    /// Returns the length of the filter's text in bytes.
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
