//! Forwards the bytes of two streams to each other, and how the streams end.
//!
//! A clean end of one stream ends the other one in the same direction. A reset of one stream resets
//! the other one at once, and bytes that were not forwarded by then are discarded: their sender has
//! given the connection up. The same happens if the process ends.

use std::{
    cell::Cell,
    io,
    os::fd::AsRawFd,
    task::Poll,
    time::{Duration, Instant},
};

use monoio::net::TcpStream;
use nix::{
    errno::Errno,
    poll::{self, PollFd, PollFlags},
    sys::socket::{self, MsgFlags, Shutdown},
};

use crate::tcp::{self, End};

/// Maximum number of bytes that one direction holds.
const BUFFER_BYTES: usize = 8 * 1024;
/// Interval at which the source of bytes that cannot be written is checked for a reset. Its readable
/// event does not show one while the stream has unread bytes.
const RESET_CHECK: Duration = Duration::from_millis(20);
/// Number of unacknowledged keep-alive probes that ends a stream.
const KEEPALIVE_PROBES: u32 = 3;

/// Timeouts of two streams that are forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Time without a byte in either direction after which both streams are reset, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Period of TCP keep-alive probes on inactive streams, in milliseconds; three unacknowledged
    /// probes end them.
    pub keepalive_ms: u64,
}

/// How forwarding ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Both directions ended cleanly.
    Ended,
    /// A stream was reset or failed, and the other one was reset.
    Reset,
    /// No byte was forwarded for [`Options::idle_timeout_ms`]; both streams were reset.
    Idle,
}

/// Forwards the bytes of `first` and `second` to each other until both directions have ended.
///
/// Bytes are read only when the earlier ones have been written, so that a slow reader holds the
/// writer back. If the future is dropped, both streams are reset.
pub async fn forward(first: TcpStream, second: TcpStream, options: Options) -> Outcome {
    let streams = [&first, &second];
    let keepalive = Some(Duration::from_millis(options.keepalive_ms));
    for stream in streams {
        // Set at the beginning, so that it also applies when the process is killed.
        tcp::set_end(stream, End::Discard);
        // These fail only on a connection that is broken, which the first read reports.
        let _ = stream.set_nodelay(true);
        let _ = stream.set_tcp_keepalive(keepalive, keepalive, Some(KEEPALIVE_PROBES));
    }
    let progress = Cell::new(Instant::now());
    let copying = async {
        monoio::try_join!(
            copy(&first, &second, &progress),
            copy(&second, &first, &progress),
        )
    };
    let idle_timeout = Duration::from_millis(options.idle_timeout_ms);
    let outcome = monoio::select! {
        result = copying => match result {
            Ok(_) => Outcome::Ended,
            Err(_) => Outcome::Reset,
        },
        () = idle(&progress, idle_timeout) => Outcome::Idle,
    };
    if outcome == Outcome::Ended {
        for stream in streams {
            tcp::set_end(stream, End::Deliver);
        }
    }
    outcome
}

/// Waits until there has been no progress for `timeout`.
async fn idle(progress: &Cell<Instant>, timeout: Duration) {
    loop {
        let rest = timeout.saturating_sub(progress.get().elapsed());
        if rest.is_zero() {
            return;
        }
        monoio::time::sleep(rest).await;
    }
}

/// Copies bytes until the end of `from`, and then ends `to` in this direction.
async fn copy(from: &TcpStream, to: &TcpStream, progress: &Cell<Instant>) -> io::Result<()> {
    loop {
        from.readable(false).await?;
        // Allocated for each read: most tunnels wait most of the time.
        let mut buffer = vec![0; BUFFER_BYTES];
        let received = socket::recv(from.as_raw_fd(), &mut buffer, MsgFlags::empty());
        match would_block(received)? {
            None => {}
            Some(0) => return Ok(socket::shutdown(to.as_raw_fd(), Shutdown::Write)?),
            Some(received_bytes) => {
                progress.set(Instant::now());
                write(from, to, &buffer[..received_bytes], progress).await?;
            }
        }
        yield_once().await;
    }
}

/// Writes all bytes to `to`, or fails if `from`, which they come from, is reset.
async fn write(
    from: &TcpStream,
    to: &TcpStream,
    mut bytes: &[u8],
    progress: &Cell<Instant>,
) -> io::Result<()> {
    while !bytes.is_empty() {
        if is_reset(from)? {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let sent = socket::send(to.as_raw_fd(), bytes, MsgFlags::MSG_NOSIGNAL);
        match would_block(sent)? {
            Some(sent_bytes) => {
                progress.set(Instant::now());
                bytes = &bytes[sent_bytes..];
            }
            None => {
                if let Ok(writable) = monoio::time::timeout(RESET_CHECK, to.writable(false)).await {
                    writable?;
                }
            }
        }
    }
    Ok(())
}

/// Returns whether the connection was reset or has failed, also if unread bytes precede that.
fn is_reset(stream: &TcpStream) -> io::Result<bool> {
    let mut polled = [PollFd::new(stream.as_raw_fd(), PollFlags::empty())];
    poll::poll(&mut polled, 0)?;
    let events = polled[0].revents();
    Ok(events.is_some_and(|events| events.contains(PollFlags::POLLERR)))
}

/// Returns `None` for an operation that would have had to wait.
fn would_block(result: nix::Result<usize>) -> io::Result<Option<usize>> {
    match result {
        Ok(bytes) => Ok(Some(bytes)),
        Err(Errno::EAGAIN | Errno::EINTR) => Ok(None),
        Err(error) => Err(error.into()),
    }
}

/// Lets other tasks run, which a stream that always has bytes would hold up.
async fn yield_once() {
    let mut has_yielded = false;
    std::future::poll_fn(|context| {
        if has_yielded {
            return Poll::Ready(());
        }
        has_yielded = true;
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}
