//! A log target that never blocks and has a limited rate in bytes per second.
//!
//! [`RateLimiter`] decides whether a line may be written, [`NonBlockingWriter`] writes it if the
//! descriptor is ready, and [`DroppedLines`] counts the lines dropped for either reason.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    os::fd::AsFd,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// Maximum length of a line in bytes: a pipe that polls as writable accepts that much in one write.
pub const MAX_LINE_BYTES: usize = 4_096;
/// Average rate limit of all lines in bytes per second, without the samples of each event.
pub const BYTES_PER_S: u64 = 48 * 1_024;
/// Average rate limit of the lines of one event that are written when the limit of all is reached, in
/// bytes per second: sixteen events add a third.
pub const SAMPLE_BYTES_PER_S: u64 = 1_024;
/// Maximum burst of these in bytes.
pub const SAMPLE_BURST_BYTES: u64 = 4 * 1_024;
/// Least time between two notices of dropped lines, in microseconds.
pub const NOTICE_US: u64 = 1_000_000;
/// Maximum burst in bytes after a period of inactivity.
pub const BURST_BYTES: u64 = 256 * 1_024;
/// Divisor of the burst that gives the share reserved for warnings and errors.
const URGENT_SHARE_DIVISOR: u64 = 2;
const US_PER_S: u64 = 1_000_000;

/// Counts of dropped lines by the number of their event, shared by its clones.
#[derive(Debug, Clone, Default)]
pub struct DroppedLines(Arc<Mutex<Counts>>);

#[derive(Debug, Default)]
struct Counts {
    /// Number of the event of the line that is being written.
    current: u16,
    lines: BTreeMap<u16, u64>,
    /// When the lines were stated last; `None` before the first time.
    stated_us: Option<u64>,
}

impl DroppedLines {
    /// Names the event of the line that is written next.
    pub(super) fn begin(&self, number: u16) {
        self.counts().current = number;
    }

    /// Counts the line that is being written as dropped.
    pub(super) fn add(&self) {
        let mut counts = self.counts();
        let current = counts.current;
        *counts.lines.entry(current).or_default() += 1;
    }

    /// Returns the counts and resets them, at most once in [`NOTICE_US`]: under pressure notices would
    /// take the place of the lines that they count.
    pub(super) fn take(&self, now_us: u64) -> BTreeMap<u16, u64> {
        let mut counts = self.counts();
        let is_due = counts
            .stated_us
            .is_none_or(|stated_us| now_us >= stated_us + NOTICE_US);
        if counts.lines.is_empty() || !is_due {
            return BTreeMap::new();
        }
        counts.stated_us = Some(now_us);
        std::mem::take(&mut counts.lines)
    }

    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Token buckets in bytes: one for all lines, and a small one for each event, so that a flood of one
/// event leaves a sample of the others.
#[derive(Debug)]
pub struct RateLimiter {
    all: Bucket,
    /// By number of the event.
    samples: BTreeMap<u16, Bucket>,
}

#[derive(Debug)]
struct Bucket {
    available_bytes: u64,
    burst_bytes: u64,
    bytes_per_s: u64,
    refilled_us: u64,
}

impl Bucket {
    fn full(now_us: u64, bytes_per_s: u64, burst_bytes: u64) -> Self {
        Self {
            available_bytes: burst_bytes,
            burst_bytes,
            bytes_per_s,
            refilled_us: now_us,
        }
    }

    /// Takes the bytes of a line if `reserved_bytes` are left then.
    fn try_take(&mut self, now_us: u64, line_bytes: u64, reserved_bytes: u64) -> bool {
        let elapsed_us = now_us.saturating_sub(self.refilled_us);
        let refill_bytes = elapsed_us.saturating_mul(self.bytes_per_s) / US_PER_S;
        if refill_bytes > 0 {
            self.refilled_us = now_us;
            self.available_bytes = (self.available_bytes + refill_bytes).min(self.burst_bytes);
        }
        let is_available = self.available_bytes >= line_bytes + reserved_bytes;
        if is_available {
            self.available_bytes -= line_bytes;
        }
        is_available
    }
}

impl RateLimiter {
    /// Returns full buckets at the monotonic time `now_us`.
    pub fn new(now_us: u64) -> Self {
        Self {
            all: Bucket::full(now_us, BYTES_PER_S, BURST_BYTES),
            samples: BTreeMap::new(),
        }
    }

    /// Takes the bytes of a line, or returns `false` if the line must be dropped.
    ///
    /// Lines that are not urgent cannot use the last half of the burst, so that a flood of them
    /// does not displace warnings and errors.
    pub fn try_take(
        &mut self,
        now_us: u64,
        number: u16,
        line_bytes: usize,
        is_urgent: bool,
    ) -> bool {
        let line_bytes = line_bytes as u64;
        let reserved_bytes = match is_urgent {
            true => 0,
            false => BURST_BYTES / URGENT_SHARE_DIVISOR,
        };
        let sample = self
            .samples
            .entry(number)
            .or_insert_with(|| Bucket::full(now_us, SAMPLE_BYTES_PER_S, SAMPLE_BURST_BYTES));
        self.all.try_take(now_us, line_bytes, reserved_bytes)
            || sample.try_take(now_us, line_bytes, 0)
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
