//! Incremental decoding of message bodies.
//!
//! A [`Body`] consumes bytes of its message from a read buffer, according to the message's framing,
//! and returns them in pieces. It reads nothing itself.

use bytes::{Bytes, BytesMut};
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::ChunkedBodyDecoder;

/// Allowance for a chunk's size line and line ends in the buffered bytes of an incomplete chunk.
const CHUNK_OVERHEAD_BYTES: usize = 32;

/// Growth in bytes beyond which a body that is collected in small pieces grows by a fourth at a time.
const MIN_GROWTH_BYTES: usize = 1024;

/// Returns the capacity for a body of unknown length that has reached `bytes`, at most the limit.
pub(crate) fn grown_capacity_bytes(bytes: usize, limit_bytes: usize) -> usize {
    (bytes + bytes / 4 + MIN_GROWTH_BYTES).min(limit_bytes)
}

/// Reason why a body is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Error {
    /// A chunk is malformed, or uses a chunk extension or trailers, which are not supported.
    Chunk,
    /// A single chunk exceeds the limit.
    TooLarge,
}

/// Result of decoding the buffered bytes.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Piece {
    /// The next bytes of the body, never empty.
    Data(Bytes),
    /// The buffer holds no complete piece; more bytes must be read.
    Insufficient,
    /// The end of the body, as defined by its framing.
    End,
}

/// Decoder state of one body, by its framing.
pub(crate) enum Body {
    /// `Content-Length`, with the number of bytes not consumed yet.
    Fixed { remaining_bytes: u64 },
    /// `Transfer-Encoding: chunked`.
    Chunked {
        decoder: ChunkedBodyDecoder,
        /// Whether the next byte belongs to a chunk's size line.
        at_size_line: bool,
    },
    /// Delimited by the close of the connection (RFC 9112, section 6.3).
    CloseDelimited,
}

impl Body {
    pub(crate) const EMPTY: Self = Self::Fixed { remaining_bytes: 0 };

    pub(crate) fn fixed(length_bytes: u64) -> Self {
        Self::Fixed {
            remaining_bytes: length_bytes,
        }
    }

    pub(crate) fn chunked() -> Self {
        Self::Chunked {
            decoder: ChunkedBodyDecoder::default(),
            at_size_line: true,
        }
    }

    /// Returns whether the body is consumed to its end. A chunked body is complete only after
    /// [`Body::next`] has returned [`Piece::End`].
    pub(crate) fn is_complete(&self) -> bool {
        matches!(self, Self::Fixed { remaining_bytes: 0 })
    }

    /// Consumes the next piece from `buffer`. A chunk may contain at most `limit_bytes`.
    pub(crate) fn next(
        &mut self,
        buffer: &mut BytesMut,
        limit_bytes: usize,
    ) -> Result<Piece, Error> {
        match self {
            Self::Fixed { remaining_bytes: 0 } => Ok(Piece::End),
            Self::Fixed { remaining_bytes } => Ok(next_fixed(remaining_bytes, buffer)),
            Self::Chunked {
                decoder,
                at_size_line,
            } => {
                let piece = next_chunk(decoder, at_size_line, buffer, limit_bytes)?;
                if piece == Piece::End {
                    *self = Self::EMPTY;
                }
                Ok(piece)
            }
            Self::CloseDelimited if buffer.is_empty() => Ok(Piece::Insufficient),
            Self::CloseDelimited => Ok(Piece::Data(buffer.split().freeze())),
        }
    }
}

fn next_fixed(remaining_bytes: &mut u64, buffer: &mut BytesMut) -> Piece {
    if buffer.is_empty() {
        return Piece::Insufficient;
    }
    let max_bytes = usize::try_from(*remaining_bytes).unwrap_or(usize::MAX);
    let data = buffer.split_to(max_bytes.min(buffer.len()));
    *remaining_bytes -= data.len() as u64;
    Piece::Data(data.freeze())
}

fn next_chunk(
    decoder: &mut ChunkedBodyDecoder,
    at_size_line: &mut bool,
    buffer: &mut BytesMut,
    limit_bytes: usize,
) -> Result<Piece, Error> {
    // The decoder would accept a size line without digits as the last chunk.
    if *at_size_line && buffer.first() == Some(&b'\r') {
        return Err(Error::Chunk);
    }
    let before_bytes = buffer.len();
    match decoder.decode(buffer) {
        Ok(Decoded::Some(Some(data))) if data.len() > limit_bytes => Err(Error::TooLarge),
        Ok(Decoded::Some(Some(data))) => {
            *at_size_line = true;
            Ok(Piece::Data(data))
        }
        Ok(Decoded::Some(None)) => Ok(Piece::End),
        Ok(_) => {
            *at_size_line &= buffer.len() == before_bytes;
            if buffer.len() > limit_bytes.saturating_add(CHUNK_OVERHEAD_BYTES) {
                return Err(Error::TooLarge);
            }
            Ok(Piece::Insufficient)
        }
        Err(_) => Err(Error::Chunk),
    }
}
