//! Splits a stream of server-sent events into complete events.
//!
//! Events end with an empty line; lines end with `\n` alone. An [`Event`] keeps its bytes as they
//! arrived, so that it can be forwarded unchanged.

use bytes::{Buf, Bytes, BytesMut};
use memchr::memmem;

/// Maximum number of bytes that are buffered for one incomplete event.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Reason why a stream cannot be split into events.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An incomplete event is longer than [`MAX_EVENT_BYTES`].
    #[error("an event exceeds {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// The stream ended within an event.
    #[error("the stream ends within an event")]
    Truncated,
}

/// Buffers the bytes of a stream and returns its complete events.
#[derive(Debug, Default)]
pub struct Parser {
    buffer: BytesMut,
}

impl Parser {
    /// Appends the next bytes of the stream.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Removes and returns the next complete event; `None` until one has arrived.
    ///
    /// # Errors
    ///
    /// Returns [`Error::TooLong`] if more than [`MAX_EVENT_BYTES`] arrived without its end.
    pub fn next_event(&mut self) -> Result<Option<Event>, Error> {
        let Some(end) = memmem::find(&self.buffer, b"\n\n") else {
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(Error::TooLong);
            }
            return Ok(None);
        };
        let bytes = self.buffer.split_to(end + 2).freeze();
        Ok(Some(Event { bytes }))
    }

    /// Checks that no incomplete event is left when the stream has ended.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Truncated`] if one is.
    pub fn finish(&self) -> Result<(), Error> {
        if self.buffer.has_remaining() {
            Err(Error::Truncated)
        } else {
            Ok(())
        }
    }
}

/// One complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    bytes: Bytes,
}

impl Event {
    /// Returns the event's bytes as they arrived, including the empty line at its end.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// Returns the value of the first `data` field without surrounding whitespace; empty if there
    /// is none.
    pub fn data(&self) -> &[u8] {
        self.field(b"data:")
    }

    /// Returns the number in the first `id` field; `None` if there is none or it is not a number.
    pub fn id(&self) -> Option<u64> {
        std::str::from_utf8(self.field(b"id:")).ok()?.parse().ok()
    }

    fn field(&self, name: &[u8]) -> &[u8] {
        self.bytes
            .split(|byte| *byte == b'\n')
            .find_map(|line| line.strip_prefix(name))
            .map_or(&[], <[u8]>::trim_ascii)
    }
}
