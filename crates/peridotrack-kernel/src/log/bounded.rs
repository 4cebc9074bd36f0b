//! A log target that never blocks and has a limited rate in bytes per second.
//!
//! [`RateLimiter`] decides whether a line may be written, [`NonBlockingWriter`] writes it if the
//! descriptor is ready, and [`DroppedLines`] counts the lines dropped for either reason.

use std::{
    io::{self, Write},
    os::fd::AsFd,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// Maximum length of a line in bytes: a pipe that polls as writable accepts that much in one write.
pub const MAX_LINE_BYTES: usize = 4_096;
/// Average rate limit in bytes per second.
pub const BYTES_PER_S: u64 = 64 * 1_024;
/// Maximum burst in bytes after a period of inactivity.
pub const BURST_BYTES: u64 = 256 * 1_024;
/// Divisor of the burst that gives the share reserved for warnings and errors.
const URGENT_SHARE_DIVISOR: u64 = 2;
const US_PER_S: u64 = 1_000_000;

/// Count of dropped lines, shared by its clones.
#[derive(Debug, Clone, Default)]
pub struct DroppedLines(Arc<AtomicU64>);

impl DroppedLines {
    /// Counts one dropped line.
    pub(super) fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the count and resets it to zero.
    pub(super) fn take(&self) -> u64 {
        self.0.swap(0, Ordering::Relaxed)
    }
}

/// A token bucket in bytes: [`BYTES_PER_S`] on average, [`BURST_BYTES`] at most.
#[derive(Debug)]
pub struct RateLimiter {
    available_bytes: u64,
    refilled_us: u64,
}

impl RateLimiter {
    /// Returns a full bucket at the monotonic time `now_us`.
    pub fn new(now_us: u64) -> Self {
        Self {
            available_bytes: BURST_BYTES,
            refilled_us: now_us,
        }
    }

    /// Takes the bytes of a line, or returns `false` if the line must be dropped.
    ///
    /// Lines that are not urgent cannot use the last half of the burst, so that a flood of them
    /// does not displace warnings and errors.
    pub fn try_take(&mut self, now_us: u64, line_bytes: usize, is_urgent: bool) -> bool {
        let elapsed_us = now_us.saturating_sub(self.refilled_us);
        let refill_bytes = elapsed_us.saturating_mul(BYTES_PER_S) / US_PER_S;
        if refill_bytes > 0 {
            self.refilled_us = now_us;
            self.available_bytes = (self.available_bytes + refill_bytes).min(BURST_BYTES);
        }
        let required_bytes = line_bytes as u64
            + if is_urgent {
                0
            } else {
                BURST_BYTES / URGENT_SHARE_DIVISOR
            };
        if self.available_bytes < required_bytes {
            return false;
        }
        self.available_bytes -= line_bytes as u64;
        true
    }
}

/// Writes whole lines to a descriptor that is ready for them, and drops all other lines.
pub struct NonBlockingWriter<W> {
    target: W,
    dropped: DroppedLines,
}

impl<W: AsFd> NonBlockingWriter<W> {
    /// Returns a writer to `target` that counts dropped lines in `dropped`.
    pub fn new(target: W, dropped: DroppedLines) -> Self {
        Self { target, dropped }
    }

    /// Polls the descriptor without waiting.
    fn is_ready(&self) -> bool {
        let descriptor = self.target.as_fd();
        let mut descriptors = [PollFd::new(&descriptor, PollFlags::OUT)];
        let now = Timespec::default();
        let polled = poll(&mut descriptors, Some(&now));
        polled.is_ok() && descriptors[0].revents().contains(PollFlags::OUT)
    }
}

impl<W: AsFd> Write for NonBlockingWriter<W> {
    /// Reports success for dropped lines too: losing a line is not an error of the logger.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let is_written = line.len() <= MAX_LINE_BYTES
            && self.is_ready()
            && rustix::io::write(&self.target, line).is_ok_and(|count| count == line.len());
        if !is_written {
            self.dropped.add();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
