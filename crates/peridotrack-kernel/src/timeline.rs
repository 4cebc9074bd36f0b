//! The bounded record of recent events of one process.

use std::{cell::RefCell, collections::VecDeque};

use serde::{Deserialize, Serialize};

use crate::event;

/// Keeps the newest events, the oldest are dropped.
pub struct Timeline {
    capacity_events: usize,
    events: RefCell<VecDeque<event::Recorded>>,
}

/// A part of a time line, as operators read it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Page {
    /// Wall clock of the process when it answered, in microseconds since the Unix epoch.
    pub now_wall_us: u64,
    /// Events in the order in which they happened.
    pub events: Vec<event::Recorded>,
}

impl Timeline {
    /// Returns an empty time line that keeps at most `capacity_events`.
    pub fn new(capacity_events: usize) -> Self {
        Self {
            capacity_events,
            events: RefCell::default(),
        }
    }

    /// Appends an event.
    pub(crate) fn push(&self, recorded: event::Recorded) {
        let mut events = self.events.borrow_mut();
        if events.len() >= self.capacity_events {
            events.pop_front();
        }
        events.push_back(recorded);
    }

    /// Returns the kept events with a sequence number above `sequence`.
    pub fn after(&self, sequence: u64) -> Vec<event::Recorded> {
        self.events
            .borrow()
            .iter()
            .filter(|event| event.sequence > sequence)
            .cloned()
            .collect()
    }
}
