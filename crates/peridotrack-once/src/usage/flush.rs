//! Creation of one batch at a time.

use super::{Action, Batch, Options};

/// Batches of one kind, created in order, each until it stands in the platform.
#[derive(Debug, Default)]
pub(super) struct Flush {
    batch: Option<Batch>,
    is_writing: bool,
    retry_us: u64,
    attempts: u32,
}

impl Flush {
    pub(super) fn batch(&self) -> Option<&Batch> {
        self.batch.as_ref()
    }

    pub(super) fn is_idle(&self) -> bool {
        self.batch.is_none()
    }

    /// Returns when the batch is to be written again.
    pub(super) fn next_tick_us(&self) -> Option<u64> {
        (self.batch.is_some() && !self.is_writing).then_some(self.retry_us)
    }

    /// Begins to create `batch`.
    pub(super) fn begin(&mut self, batch: Batch) -> Action {
        let action = write_action(&batch);
        self.batch = Some(batch);
        self.is_writing = true;
        self.attempts = 0;
        action
    }

    /// Writes the same batch again if it is due; it is created only if absent.
    pub(super) fn retry(&mut self, now_us: u64) -> Option<Action> {
        if self.is_writing || now_us < self.retry_us {
            return None;
        }
        let action = write_action(self.batch.as_ref()?);
        self.is_writing = true;
        Some(action)
    }

    /// Takes the batch out if it is `object`: it stands in the platform.
    pub(super) fn finish(&mut self, object: &str) -> Option<Batch> {
        self.is_writing &= !self.is_object(object);
        self.batch.take_if(|batch| batch.object() == object)
    }

    /// Waits before `object` is written again.
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
