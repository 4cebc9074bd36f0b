//! The timeline: a bounded buffer of the most recent events of one process.
//!
//! Operators read it as [`Page`]s of the events after a sequence number.

use std::{cell::RefCell, collections::VecDeque};

use serde::{Deserialize, Serialize};

use crate::event;

/// Buffer of the most recent events; drops the oldest one when full.
pub struct Timeline {
    capacity_events: usize,
    events: RefCell<VecDeque<event::Recorded>>,
}

/// A part of a timeline as served to operators.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Page {
    /// Wall-clock time of the response, in microseconds since the Unix epoch.
    pub now_wall_us: u64,
    /// Events in ascending order of their sequence numbers.
    pub events: Vec<event::Recorded>,
}

impl Timeline {
    /// Returns an empty timeline that keeps at most `capacity_events` events.
    pub fn new(capacity_events: usize) -> Self {
        Self {
            capacity_events,
            events: RefCell::default(),
        }
    }

    /// Appends an event and drops the oldest one if the timeline is full.
    pub(crate) fn push(&self, recorded: event::Recorded) {
        let mut events = self.events.borrow_mut();
        if events.len() >= self.capacity_events {
            events.pop_front();
        }
        events.push_back(recorded);
    }

    /// Returns the retained events with a sequence number above `sequence`, oldest first.
    pub fn after(&self, sequence: u64) -> Vec<event::Recorded> {
        self.events
            .borrow()
            .iter()
            .filter(|event| event.sequence > sequence)
            .cloned()
            .collect()
    }
}
