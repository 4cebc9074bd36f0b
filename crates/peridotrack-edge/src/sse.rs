//! Splits a server-sent event stream into whole events.

use bytes::{Buf, Bytes, BytesMut};
use memchr::memmem;

/// Most bytes of one event.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// A stream that breaks the protocol.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// One event is longer than [`MAX_EVENT_BYTES`].
    #[error("an event exceeds {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// The stream ends within an event.
    #[error("the stream ends within an event")]
    Truncated,
}

/// Collects bytes and gives out whole events.
#[derive(Debug, Default)]
pub struct Parser {
    buffer: BytesMut,
}

impl Parser {
    /// Adds bytes of the stream.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Takes the next whole event with its closing empty line.
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

    /// Checks that nothing is left once the stream has ended.
    pub fn finish(&self) -> Result<(), Error> {
        if self.buffer.has_remaining() {
            Err(Error::Truncated)
        } else {
            Ok(())
        }
    }
}

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    bytes: Bytes,
}

impl Event {
    /// Returns the event as it arrived, with its closing empty line.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// Returns the value of the first `data` field.
    pub fn data(&self) -> &[u8] {
        self.field(b"data:")
    }

    /// Returns the number in the `id` field.
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
