//! Merges the events of several processes by time, corrected for the offsets of their clocks.

use peridotrack_kernel::event;
use serde::Serialize;

/// Estimate of how far the clock of a process is ahead of the clock of this machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct ClockOffset {
    /// Estimated offset, in microseconds; negative if the process's clock is behind.
    pub ahead_us: i64,
    /// Largest possible error of the estimate, in microseconds.
    pub bound_us: u64,
}

/// Events of one process, in the order in which it recorded them.
#[derive(Debug, Clone)]
pub struct ProcessEvents {
    /// Offset by which the event times are corrected.
    pub offset: ClockOffset,
    /// Events with the times of the process's clock.
    pub events: Vec<event::Recorded>,
}

/// An event with its time by the clock of this machine.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct MergedEvent {
    /// Corrected time, in microseconds since the Unix epoch.
    pub at_wall_us: u64,
    /// Event as the process recorded it, with its own time.
    pub event: event::Recorded,
}

impl ClockOffset {
    /// Estimates the offset from one request. The process read its clock between the sending of the
    /// request and the receipt of the response, so the midpoint is off by at most half the round
    /// trip.
    pub fn estimate(sent_wall_us: u64, received_wall_us: u64, process_wall_us: u64) -> Self {
        let round_trip_us = received_wall_us.saturating_sub(sent_wall_us);
        let midpoint_us = sent_wall_us + round_trip_us / 2;
        Self {
            ahead_us: signed(process_wall_us) - signed(midpoint_us),
            bound_us: round_trip_us.div_ceil(2),
        }
    }

    /// Returns the estimate with the smaller error bound.
    pub fn tighter(a: Option<Self>, b: Option<Self>) -> Option<Self> {
        [a, b]
            .into_iter()
            .flatten()
            .min_by_key(|offset| offset.bound_us)
    }

    /// Converts a time of the process's clock to the clock of this machine.
    fn to_local_us(self, wall_us: u64) -> u64 {
        u64::try_from(signed(wall_us) - self.ahead_us).unwrap_or(0)
    }
}

/// Merges events by corrected time, and by process name where times are equal. Events of one
/// process keep their order even if its clock was set back.
pub fn merge(sources: Vec<ProcessEvents>) -> Vec<MergedEvent> {
    let mut merged: Vec<_> = sources.into_iter().flat_map(correct_times).collect();
    merged.sort_by(|a, b| {
        let key = |merged: &MergedEvent| (merged.at_wall_us, merged.event.process.clone());
        key(a).cmp(&key(b))
    });
    merged
}

/// Corrects the times of one process's events; none is earlier than that of the event before it.
fn correct_times(source: ProcessEvents) -> impl Iterator<Item = MergedEvent> {
    let mut latest_us = 0;
    source.events.into_iter().map(move |event| {
        latest_us = source.offset.to_local_us(event.wall_us).max(latest_us);
        MergedEvent {
            at_wall_us: latest_us,
            event,
        }
    })
}

fn signed(wall_us: u64) -> i64 {
    i64::try_from(wall_us).unwrap_or(i64::MAX)
}
