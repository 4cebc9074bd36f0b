//! Compresses the content of the product's own objects with deflate and encodes it in base64.
//!
//! Ledgers repeat names and identifiers and therefore compress well. On a slow link the size of the
//! content determines how long a conditional update takes.

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;

use super::OBJECT_BYTES;

/// Compression level: the fastest, since each draw packs a ledger.
const LEVEL: u8 = 1;
/// Maximum size of unpacked content, in bytes.
const UNPACKED_BYTES: usize = 8 * OBJECT_BYTES;

/// Content that cannot be unpacked.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The content begins like a JSON string, but is none.
    #[error("not a JSON string: {0}")]
    Json(#[from] serde_json::Error),
    /// The string is not base64.
    #[error("not base64: {0}")]
    Base64(#[from] base64::DecodeError),
    /// The decoded bytes are not a deflate stream, or expand to too much.
    #[error("not a deflate stream: {0}")]
    Deflate(String),
}

/// Returns a JSON string with the packed `content`.
pub fn pack(content: &[u8]) -> Bytes {
    let deflated = miniz_oxide::deflate::compress_to_vec(content, LEVEL);
    // Base64 needs no JSON escapes.
    format!("\"{}\"", STANDARD.encode(deflated)).into()
}

/// Returns the content as its writer passed it to [`Platform::write`](super::Platform::write);
/// content that is not a JSON string is returned unchanged.
///
/// # Errors
///
/// Fails if the content is a JSON string that was not packed.
pub fn unpack(content: &Bytes) -> Result<Bytes, Error> {
    if content.first() != Some(&b'"') {
        return Ok(content.clone());
    }
    // The store may return the text with escapes, which cannot be borrowed.
    let text: String = serde_json::from_slice(content)?;
    let deflated = STANDARD.decode(text)?;
    miniz_oxide::inflate::decompress_to_vec_with_limit(&deflated, UNPACKED_BYTES)
        .map(Bytes::from)
        .map_err(|error| Error::Deflate(error.to_string()))
}
