//! Splits message bodies into pieces as their bytes arrive.

use bytes::{Bytes, BytesMut};
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::ChunkedBodyDecoder;

/// Room for one chunk's size line and its line ends.
const CHUNK_OVERHEAD_BYTES: usize = 32;

/// A body that is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Error {
    /// A chunk is not framed as one; trailers and chunk extensions count as that.
    Chunk,
    /// One chunk is longer than the limit.
    TooLarge,
}

/// What the bytes at hand hold.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Piece {
    /// The next bytes of the body, never empty.
    Data(Bytes),
    /// More bytes must be read first.
    Insufficient,
    /// The body ended as its framing says.
    End,
}

/// Progress through one body.
pub(crate) enum Body {
    /// `Content-Length`, with the bytes still to come.
    Fixed { remaining_bytes: u64 },
    /// `Transfer-Encoding: chunked`.
    Chunked {
        decoder: ChunkedBodyDecoder,
        /// Whether the next byte belongs to a chunk's size line.
        at_size_line: bool,
    },
    /// No framing: the body ends with its connection.
    UntilClose,
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

    /// Whether nothing of the body is still to come.
    pub(crate) fn is_complete(&self) -> bool {
        matches!(self, Self::Fixed { remaining_bytes: 0 })
    }

    /// Takes the next piece off `buffer`; a chunk may hold at most `limit_bytes`.
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
            Self::UntilClose if buffer.is_empty() => Ok(Piece::Insufficient),
            Self::UntilClose => Ok(Piece::Data(buffer.split().freeze())),
        }
    }
}

fn next_fixed(remaining_bytes: &mut u64, buffer: &mut BytesMut) -> Piece {
    if buffer.is_empty() {
        return Piece::Insufficient;
    }
    let wanted_bytes = usize::try_from(*remaining_bytes).unwrap_or(usize::MAX);
    let data = buffer.split_to(wanted_bytes.min(buffer.len()));
    *remaining_bytes -= data.len() as u64;
    Piece::Data(data.freeze())
}

fn next_chunk(
    decoder: &mut ChunkedBodyDecoder,
    at_size_line: &mut bool,
    buffer: &mut BytesMut,
    limit_bytes: usize,
) -> Result<Piece, Error> {
    // The decoder takes a size line without digits for the last chunk.
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
