//! One TCP stream with the bytes read ahead of their use.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::pin,
    task::{Context, Waker},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use monoio::{
    io::{AsyncReadRent, AsyncWriteRent},
    net::TcpStream,
};

/// Bytes asked for in one read of a quiet connection.
const MIN_READ_BYTES: usize = 2 * 1024;
/// Bytes asked for in one read of a busy connection.
const MAX_READ_BYTES: usize = 32 * 1024;
/// Most bytes written under one timeout.
const WRITE_BYTES: usize = 64 * 1024;

/// Runs `future` for at most `limit_ms`; `None` when the time is up.
pub(crate) async fn within<F: Future>(limit_ms: u64, future: F) -> Option<F::Output> {
    let limit = Duration::from_millis(limit_ms);
    monoio::time::timeout(limit, future).await.ok()
}

/// A stream and its read buffer. Dropping a read in progress loses no bytes.
pub(crate) struct Wire {
    stream: TcpStream,
    peer: SocketAddr,
    written_bytes: u64,
    read_bytes: usize,
    /// Bytes that arrived and were not used yet.
    pub(crate) buffer: BytesMut,
}

impl Wire {
    pub(crate) fn new(stream: TcpStream, peer: SocketAddr) -> Self {
        // Without it each small write after an unacknowledged one waits for the peer's ACK.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            peer,
            written_bytes: 0,
            read_bytes: MIN_READ_BYTES,
            buffer: BytesMut::new(),
        }
    }

    pub(crate) fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Bytes handed to the kernel since the stream was opened.
    pub(crate) fn written_bytes(&self) -> u64 {
        self.written_bytes
    }

    /// Whether the peer closed or sent something, as far as the event loop has seen.
    pub(crate) fn is_readable_now(&self) -> bool {
        let readable = pin!(self.stream.readable(false));
        let mut context = Context::from_waker(Waker::noop());
        readable.poll(&mut context).is_ready()
    }

    /// Whether bytes arrived that were not used, as far as the event loop has seen.
    pub(crate) fn has_unread(&self) -> bool {
        !self.buffer.is_empty() || self.is_readable_now()
    }

    /// Resolves when a read would give bytes, the end of the stream, or an error.
    ///
    /// Unlike a read, the wait needs no memory for the bytes to come.
    pub(crate) async fn readable(&self) -> io::Result<()> {
        self.stream.readable(false).await
    }

    /// Frees the buffer's memory if it holds no bytes.
    pub(crate) fn release(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }

    /// Appends what arrives next to the buffer; `false` at the end of the stream.
    pub(crate) async fn read_more(&mut self) -> io::Result<bool> {
        self.buffer.reserve(self.read_bytes);
        // The spare part shares the buffer's memory, so that joining them copies nothing.
        let spare = self.buffer.split_off(self.buffer.len());
        let room_bytes = spare.capacity();
        let (outcome, spare) = self.stream.read(spare).await;
        self.buffer.unsplit(spare);
        let count_bytes = outcome?;
        self.adapt(count_bytes, room_bytes);
        Ok(count_bytes > 0)
    }

    /// Reads more at once while bytes wait in the kernel, and less once they do not.
    fn adapt(&mut self, count_bytes: usize, room_bytes: usize) {
        if count_bytes == room_bytes {
            self.read_bytes = (self.read_bytes * 2).min(MAX_READ_BYTES);
        } else if count_bytes < self.read_bytes / 4 {
            self.read_bytes = (self.read_bytes / 2).max(MIN_READ_BYTES);
        }
    }

    /// Writes all of `bytes`, each 64 KiB of it within `limit_ms`.
    pub(crate) async fn write(&mut self, mut bytes: Bytes, limit_ms: u64) -> io::Result<()> {
        while !bytes.is_empty() {
            let part = bytes.split_to(bytes.len().min(WRITE_BYTES));
            within(limit_ms, self.write_part(part))
                .await
                .ok_or(io::ErrorKind::TimedOut)??;
        }
        Ok(())
    }

    /// Closes the write half and discards what the peer still sends, within bounds.
    ///
    /// Closing a socket with unread bytes makes the kernel reset the connection, and the
    /// reset can overtake an answer that the peer has not read yet.
    pub(crate) async fn linger(&mut self, limit_ms: u64, limit_bytes: usize) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let _ = within(limit_ms, self.discard(limit_bytes)).await;
    }

    async fn discard(&mut self, limit_bytes: usize) {
        let mut discarded_bytes = 0;
        while discarded_bytes < limit_bytes {
            self.buffer.clear();
            if !self.read_more().await.unwrap_or(false) {
                return;
            }
            discarded_bytes += self.buffer.len();
        }
    }

    async fn write_part(&mut self, mut part: Bytes) -> io::Result<()> {
        while !part.is_empty() {
            let (outcome, mut rest) = self.stream.write(part).await;
            let written = outcome?;
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            self.written_bytes += written as u64;
            part = rest.split_off(written);
        }
        Ok(())
    }
}
