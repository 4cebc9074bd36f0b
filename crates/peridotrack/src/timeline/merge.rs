//! Events of several processes in one order.

use peridotrack_kernel::event;
use serde::Serialize;

/// How far the clock of a process is ahead of the clock of this machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct ClockOffset {
    /// Estimate, in microseconds; negative if the clock is behind.
    pub ahead_us: i64,
    /// Greatest error of the estimate, in microseconds.
    pub bound_us: u64,
}

/// Events of one process, in the order in which it recorded them.
#[derive(Debug, Clone)]
pub struct ProcessEvents {
    /// ClockOffset of the process's clock.
    pub offset: ClockOffset,
    /// The events.
    pub events: Vec<event::Recorded>,
}

/// An event at its place in the time line.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct MergedEvent {
    /// When it happened by the clock of this machine, in microseconds since 1970.
    pub at_wall_us: u64,
    /// The event as the process recorded it.
    pub event: event::Recorded,
}

impl ClockOffset {
    /// Estimates the offset from one request: the process read its clock between the
    /// sending and the receipt, so that the midpoint is off by at most half the time between.
    pub fn estimate(sent_wall_us: u64, received_wall_us: u64, process_wall_us: u64) -> Self {
        let round_trip_us = received_wall_us.saturating_sub(sent_wall_us);
        let midpoint_us = sent_wall_us + round_trip_us / 2;
        Self {
            ahead_us: signed(process_wall_us) - signed(midpoint_us),
            bound_us: round_trip_us.div_ceil(2),
        }
    }

    /// Returns the estimate with the lower bound.
    pub fn tighter(a: Option<Self>, b: Option<Self>) -> Option<Self> {
        [a, b]
            .into_iter()
            .flatten()
            .min_by_key(|offset| offset.bound_us)
    }

    /// Returns a time of the process by the clock of this machine.
    fn to_local_us(self, wall_us: u64) -> u64 {
        u64::try_from(signed(wall_us) - self.ahead_us).unwrap_or(0)
    }
}

/// Merges events by time. Events of one process keep their order, also if its clock was
/// set back.
pub fn merge(sources: Vec<ProcessEvents>) -> Vec<MergedEvent> {
    let mut merged: Vec<_> = sources.into_iter().flat_map(correct_times).collect();
    merged.sort_by(|a, b| {
        let key = |merged: &MergedEvent| (merged.at_wall_us, merged.event.process.clone());
        key(a).cmp(&key(b))
    });
    merged
}

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
