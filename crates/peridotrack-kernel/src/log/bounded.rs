//! A log target that never blocks and is bounded in bytes a second.

use std::{
    io::{self, Write},
    os::fd::AsFd,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// Longest line that is written, in bytes: a pipe that is ready takes that much at once.
pub const LINE_BYTES: usize = 4_096;
/// Bytes a second that may be written on average.
pub const BYTES_PER_S: u64 = 64 * 1_024;
/// Bytes that may be written at once after a quiet time.
pub const BURST_BYTES: u64 = 256 * 1_024;
/// Part of the burst that is kept for warnings and errors.
const KEPT_PART: u64 = 2;
const US_PER_S: u64 = 1_000_000;

/// Counts lines that were left out.
#[derive(Debug, Clone, Default)]
pub struct Dropped(Arc<AtomicU64>);

impl Dropped {
    /// Counts one more line.
    pub(super) fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the lines left out since the last call.
    pub(super) fn take(&self) -> u64 {
        self.0.swap(0, Ordering::Relaxed)
    }
}

/// Bytes that may be written now.
#[derive(Debug)]
pub struct Allowance {
    left_bytes: u64,
    at_us: u64,
}

impl Allowance {
    /// Returns an allowance for a whole burst.
    pub fn new(now_us: u64) -> Self {
        Self {
            left_bytes: BURST_BYTES,
            at_us: now_us,
        }
    }

    /// Takes a line's bytes; `false` if it is to be left out. Lines that are not urgent leave
    /// half of the burst to those that are.
    pub fn take(&mut self, now_us: u64, line_bytes: usize, is_urgent: bool) -> bool {
        let elapsed_us = now_us.saturating_sub(self.at_us);
        let earned = elapsed_us.saturating_mul(BYTES_PER_S) / US_PER_S;
        if earned > 0 {
            self.at_us = now_us;
            self.left_bytes = (self.left_bytes + earned).min(BURST_BYTES);
        }
        let needed = line_bytes as u64
            + if is_urgent {
                0
            } else {
                BURST_BYTES / KEPT_PART
            };
        if self.left_bytes < needed {
            return false;
        }
        self.left_bytes -= line_bytes as u64;
        true
    }
}

/// Writes whole lines to a descriptor while it takes them, and leaves out the others.
pub struct Ready<W> {
    target: W,
    dropped: Dropped,
}

impl<W: AsFd> Ready<W> {
    /// Wraps a target.
    pub fn new(target: W, dropped: Dropped) -> Self {
        Self { target, dropped }
    }

    fn is_ready(&self) -> bool {
        let descriptor = self.target.as_fd();
        let mut descriptors = [PollFd::new(&descriptor, PollFlags::OUT)];
        let now = Timespec::default();
        let polled = poll(&mut descriptors, Some(&now));
        polled.is_ok() && descriptors[0].revents().contains(PollFlags::OUT)
    }
}

impl<W: AsFd> Write for Ready<W> {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let is_written = line.len() <= LINE_BYTES
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
