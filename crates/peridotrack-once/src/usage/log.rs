//! The usage log of one router.

use peridotrack_types::id;

use super::{Action, Event, Options, Record};

/// The usage log of one router incarnation.
pub struct Log {
    options: Options,
}

impl Log {
    /// Creates the log of `incarnation`.
    pub fn new(_incarnation: id::Incarnation, options: Options, _now_us: u64) -> Self {
        Self { options }
    }

    /// Takes in the live peers of the failure domain, without this router.
    pub fn set_peers(&mut self, _now_us: u64, _peers: &[id::Incarnation]) -> Vec<Action> {
        Vec::new()
    }

    /// Adds a record; [`Action::RecordSafe`] follows when the answer may end.
    pub fn record(&mut self, _now_us: u64, _record: Record) -> Vec<Action> {
        Vec::new()
    }

    /// Takes in what happened outside.
    pub fn on_event(&mut self, _now_us: u64, _event: Event) -> Vec<Action> {
        Vec::new()
    }

    /// Flushes everything, copies held for peers included.
    pub fn stop(&mut self, _now_us: u64) -> Vec<Action> {
        Vec::new()
    }

    /// Returns whether nothing is left to flush.
    pub fn is_flushed(&self) -> bool {
        self.options.copies > 0
    }

    /// Returns how many records wait to be flushed.
    pub fn backlog_records(&self) -> usize {
        0
    }
}
