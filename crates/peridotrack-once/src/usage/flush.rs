//! Writes batches to the platform, one at a time, with retries.
//!
//! The log has one [`Flush`] for batches of local records and one for batches of recovered copies.

use super::{Action, Batch, Options};

/// Writes a sequence of batches; retries each until it is stored before the next begins.
#[derive(Debug, Default)]
pub(super) struct Flush {
    /// The batch that is not known to be stored yet.
    batch: Option<Batch>,
    /// Whether the result of a write is pending.
    is_writing: bool,
    retry_us: u64,
    /// Number of failed writes of the batch.
    attempts: u32,
}

impl Flush {
    /// Returns the batch that is not known to be stored yet.
    pub(super) fn batch(&self) -> Option<&Batch> {
        self.batch.as_ref()
    }

    pub(super) fn is_idle(&self) -> bool {
        self.batch.is_none()
    }

    /// Returns when the batch is to be written again; `None` while a write is pending.
    pub(super) fn next_tick_us(&self) -> Option<u64> {
        (self.batch.is_some() && !self.is_writing).then_some(self.retry_us)
    }

    /// Returns the first write of `batch`.
    pub(super) fn begin(&mut self, batch: Batch) -> Action {
        let action = write_action(&batch);
        self.batch = Some(batch);
        self.is_writing = true;
        self.attempts = 0;
        action
    }

    /// Returns a write of the same batch if a retry is due.
    pub(super) fn retry(&mut self, now_us: u64) -> Option<Action> {
        if self.is_writing || now_us < self.retry_us {
            return None;
        }
        let action = write_action(self.batch.as_ref()?);
        self.is_writing = true;
        Some(action)
    }

    /// Removes and returns the batch if its name is `object`, because it is stored.
    pub(super) fn finish(&mut self, object: &str) -> Option<Batch> {
        self.is_writing &= !self.is_object(object);
        self.batch.take_if(|batch| batch.object() == object)
    }

    /// Schedules a retry of `object`, after a jittered exponential backoff and at least `wait_us`.
    pub(super) fn back_off(
        &mut self,
        now_us: u64,
        object: &str,
        wait_us: u64,
        options: &Options,
        rng: &mut fastrand::Rng,
    ) {
        if !self.is_object(object) {
            return;
        }
        let limit_us = options.retry_min_us << self.attempts.min(20);
        let limit_us = limit_us.clamp(options.retry_min_us, options.retry_max_us);
        self.attempts += 1;
        self.is_writing = false;
        self.retry_us = now_us + rng.u64(limit_us / 2..=limit_us).max(wait_us);
    }

    fn is_object(&self, object: &str) -> bool {
        self.batch
            .as_ref()
            .is_some_and(|batch| batch.object() == object)
    }
}

fn write_action(batch: &Batch) -> Action {
    Action::Write {
        object: batch.object(),
        body: batch.clone(),
    }
}
