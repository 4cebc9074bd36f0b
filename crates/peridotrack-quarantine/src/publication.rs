//! When this router's statement is sent to its peers and written to the store.
//!
//! Both happen some time after a change and the one before, so that one message or write covers
//! several changes, and their rate is bounded whatever number of servers end. A write is repeated
//! until the store holds what the router states.

use crate::{options::Options, statement::Statement};

/// What is due, and what the store holds.
#[derive(Debug)]
pub(crate) struct Publication {
    /// When the statement is due to be sent to the peers.
    send_us: Option<u64>,
    /// When the statement is due to be written.
    write_us: Option<u64>,
    /// When the statement was last sent.
    sent_us: Option<u64>,
    /// When the last write began.
    write_begun_us: Option<u64>,
    /// Statement that the store holds; `None` if the outcome of a write is unknown.
    written: Option<Statement>,
    /// Statement of the write in progress.
    writing: Option<Statement>,
}

impl Publication {
    /// Returns the state of a router that has stated nothing.
    pub(crate) fn new() -> Self {
        Self {
            send_us: None,
            write_us: None,
            sent_us: None,
            write_begun_us: None,
            written: Some(Statement::default()),
            writing: None,
        }
    }

    /// Has a changed statement sent and written, no later than was due before.
    pub(crate) fn schedule(&mut self, now_us: u64, options: &Options) {
        self.schedule_after(
            now_us,
            options.send_delay_us,
            options.write_delay_us,
            options,
        );
    }

    /// Has a statement sent and written from which only entries were removed that no longer matter.
    /// No one waits for that.
    pub(crate) fn schedule_settled(&mut self, now_us: u64, options: &Options) {
        let delay_us = options.settled_delay_us;
        self.schedule_after(now_us, delay_us, delay_us, options);
    }

    fn schedule_after(
        &mut self,
        now_us: u64,
        send_delay_us: u64,
        write_delay_us: u64,
        options: &Options,
    ) {
        let due_us = |delay_us: u64, before_us: Option<u64>, interval_us: u64| {
            let elapsed_us = before_us.map_or(u64::MAX, |at_us| now_us.saturating_sub(at_us));
            now_us + delay_us.max(interval_us.saturating_sub(elapsed_us))
        };
        let send_us = due_us(send_delay_us, self.sent_us, options.send_interval_us);
        let write_us = due_us(
            write_delay_us,
            self.write_begun_us,
            options.write_interval_us,
        );
        let sooner =
            |due_us: Option<u64>, at_us| Some(due_us.map_or(at_us, |due_us| due_us.min(at_us)));
        self.send_us = sooner(self.send_us, send_us);
        self.write_us = sooner(self.write_us, write_us);
    }

    /// Returns whether the statement is to be sent now; the caller then sends it.
    pub(crate) fn take_send(&mut self, now_us: u64) -> bool {
        let is_due = self.send_us.is_some_and(|at_us| now_us >= at_us);
        if is_due {
            self.send_us = None;
            self.sent_us = Some(now_us);
        }
        is_due
    }

    /// Returns whether `own` is to be written now; the caller then writes it. It is not while
    /// another write is in progress, nor if the store holds the same.
    pub(crate) fn take_write(&mut self, now_us: u64, own: &Statement) -> bool {
        let is_due = self.write_us.is_some_and(|at_us| now_us >= at_us);
        if !is_due || self.writing.is_some() {
            return false;
        }
        self.write_us = None;
        let is_same = |written: &Statement| {
            written.crashes == own.crashes && written.clearances == own.clearances
        };
        if self.written.as_ref().is_some_and(is_same) {
            return false;
        }
        self.writing = Some(own.clone());
        self.write_begun_us = Some(now_us);
        true
    }

    /// Records that the write in progress took effect.
    pub(crate) fn on_written(&mut self) {
        self.written = self.writing.take();
    }

    /// Records that the write in progress failed, and has it repeated.
    pub(crate) fn on_write_failed(&mut self, now_us: u64, options: &Options) {
        self.writing = None;
        self.written = None;
        self.write_us = Some(now_us + options.write_retry_us);
    }

    /// Records a statement that was found in the store.
    pub(crate) fn on_stored(&mut self, stored: Statement) {
        self.written = Some(stored);
    }
}
