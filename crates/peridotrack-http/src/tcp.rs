//! A TCP stream with a read buffer, timeouts for operations on it, and its end.
//!
//! Server and client connections decode messages from the buffer. Reads are safe to cancel; after
//! a cancelled write it is unknown how many bytes were written. How connections end, and why, is
//! tabulated in `docs/design/end-of-connections.md`.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    os::fd::AsRawFd,
    pin::pin,
    task::{Context, Waker},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use monoio::{
    io::{AsyncReadRent, AsyncWriteRent},
    net::TcpStream,
};
use nix::{
    libc,
    sys::socket::{self, sockopt},
};

/// Initial and minimum size of one read in bytes, for connections with little traffic.
const MIN_READ_BYTES: usize = 2 * 1024;
/// Maximum size of one read in bytes, for connections with much traffic.
const MAX_READ_BYTES: usize = 32 * 1024;
/// Maximum number of bytes written within one timeout.
const MAX_WRITE_BYTES: usize = 64 * 1024;

/// Runs `future` for at most `timeout_ms` milliseconds; returns `None` on timeout.
pub(crate) async fn with_timeout<F: Future>(timeout_ms: u64, future: F) -> Option<F::Output> {
    let timeout = Duration::from_millis(timeout_ms);
    monoio::time::timeout(timeout, future).await.ok()
}

/// What becomes of bytes that were written to a stream and have not arrived when it is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// The operating system delivers them in the background, after an outage of the network too, and
    /// then the end of the stream.
    Deliver,
    /// They are discarded, and the peer sees a reset.
    Discard,
}

/// Sets how a stream ends when it is closed, which also happens when the process ends.
pub(crate) fn set_end(stream: &TcpStream, end: End) {
    let linger = libc::linger {
        l_onoff: match end {
            End::Deliver => 0,
            End::Discard => 1,
        },
        l_linger: 0,
    };
    // Fails only if the connection is broken, and then nothing is delivered any more.
    let _ = socket::setsockopt(stream.as_raw_fd(), sockopt::Linger, &linger);
}

/// A TCP stream with a read buffer. Dropping a read in progress loses no bytes.
pub(crate) struct BufferedStream {
    stream: TcpStream,
    peer: SocketAddr,
    written_bytes: u64,
    /// Size of the next read in bytes.
    read_bytes: usize,
    /// Bytes received and not consumed yet.
    pub(crate) buffer: BytesMut,
    end: End,
}

impl Drop for BufferedStream {
    fn drop(&mut self) {
        if self.end == End::Discard {
            set_end(&self.stream, End::Discard);
        }
    }
}

impl BufferedStream {
    pub(crate) fn new(stream: TcpStream, peer: SocketAddr) -> Self {
        // Nagle's algorithm would delay a small write until the peer has acknowledged the one
        // before.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            peer,
            written_bytes: 0,
            read_bytes: MIN_READ_BYTES,
            buffer: BytesMut::new(),
            end: End::Deliver,
        }
    }

    pub(crate) fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns the number of bytes passed to the operating system since the stream was opened.
    pub(crate) fn written_bytes(&self) -> u64 {
        self.written_bytes
    }

    /// Returns how many bytes a read would return without waiting, 0 at the end of the stream; `None`
    /// if it would wait. At most one byte is looked at, and none is consumed.
    ///
    /// Unlike [`BufferedStream::is_readable_now`], this asks the operating system each time: the event
    /// loop may not have reported yet what has arrived.
    ///
    /// # Errors
    ///
    /// Fails if a read would fail.
    pub(crate) fn peek(&self) -> io::Result<Option<usize>> {
        let flags = socket::MsgFlags::MSG_PEEK | socket::MsgFlags::MSG_DONTWAIT;
        match socket::recv(self.stream.as_raw_fd(), &mut [0], flags) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(nix::errno::Errno::EAGAIN) => Ok(None),
            Err(error) => Err(error.into()),
        }
    }

    /// Returns whether the event loop has seen data, a close or an error from the peer.
    pub(crate) fn is_readable_now(&self) -> bool {
        let readable = pin!(self.stream.readable(false));
        let mut context = Context::from_waker(Waker::noop());
        readable.poll(&mut context).is_ready()
    }

    /// Returns whether unconsumed bytes are buffered or a read would return without waiting.
    pub(crate) fn has_unread(&self) -> bool {
        !self.buffer.is_empty() || self.is_readable_now()
    }

    /// Waits until a read would return bytes, the end of the stream or an error.
    ///
    /// Unlike a read, the wait needs no buffer space.
    pub(crate) async fn readable(&self) -> io::Result<()> {
        self.stream.readable(false).await
    }

    /// Frees the buffer's memory if it is empty.
    pub(crate) fn release_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }

    /// Frees the memory of a large buffer, and keeps the bytes that it still contains.
    pub(crate) fn shrink_buffer(&mut self) {
        if self.buffer.capacity() > MAX_READ_BYTES {
            self.buffer = BytesMut::from(&self.buffer[..]);
        }
    }

    /// Discards the buffered bytes and frees their memory.
    pub(crate) fn discard_buffer(&mut self) {
        self.buffer = BytesMut::new();
    }

    /// Returns the maximum size of the next read in bytes.
    pub(crate) fn read_bytes(&self) -> usize {
        self.read_bytes
    }

    /// Reads once and appends to the buffer; returns `false` at the end of the stream.
    pub(crate) async fn read_more(&mut self) -> io::Result<bool> {
        self.buffer.reserve(self.read_bytes);
        // The spare capacity is part of the buffer's allocation, so `unsplit` copies nothing.
        let spare = self.buffer.split_off(self.buffer.len());
        let capacity_bytes = spare.capacity();
        let (outcome, spare) = self.stream.read(spare).await;
        self.buffer.unsplit(spare);
        let received_bytes = outcome?;
        self.adapt_read_size(received_bytes, capacity_bytes);
        Ok(received_bytes > 0)
    }

    /// Doubles the read size after a full read, since more bytes are then likely to be available,
    /// and halves it after a read that filled less than a quarter.
    fn adapt_read_size(&mut self, received_bytes: usize, capacity_bytes: usize) {
        if received_bytes == capacity_bytes {
            self.read_bytes = (self.read_bytes * 2).min(MAX_READ_BYTES);
        } else if received_bytes < self.read_bytes / 4 {
            self.read_bytes = (self.read_bytes / 2).max(MIN_READ_BYTES);
        }
    }

    /// Writes all of `bytes`; each [`MAX_WRITE_BYTES`] of them must be written within `timeout_ms`.
    pub(crate) async fn write(&mut self, mut bytes: Bytes, timeout_ms: u64) -> io::Result<()> {
        while !bytes.is_empty() {
            let part = bytes.split_to(bytes.len().min(MAX_WRITE_BYTES));
            with_timeout(timeout_ms, self.write_part(part))
                .await
                .ok_or(io::ErrorKind::TimedOut)??;
        }
        Ok(())
    }

    /// Sets how the stream ends when it is dropped; without a call, by [`End::Deliver`].
    pub(crate) fn set_end(&mut self, end: End) {
        self.end = end;
    }

    /// Shuts down the write half and discards what the peer still sends, until it closes or a
    /// limit is reached.
    ///
    /// Closing a socket that has unread bytes makes the operating system reset the connection,
    /// and on a reset the peer loses the part of the response that it has not read yet.
    pub(crate) async fn lingering_close(&mut self, timeout_ms: u64, limit_bytes: usize) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let _ = with_timeout(timeout_ms, self.discard(limit_bytes)).await;
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
