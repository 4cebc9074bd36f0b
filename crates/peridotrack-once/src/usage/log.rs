//! The usage log of one router.
//!
//! [`Log`] routes events to the records of this router ([`super::local`]) and to the copies held
//! for its peers ([`super::held`]), and schedules the flushes of both ([`super::flush`]).

use std::collections::BTreeSet;

use peridotrack_types::id;

use super::{
    Action, Batch, Event, Message, Note, Options, Record, flush::Flush, held::Held, local::Local,
};

/// State machine for the usage records of one router incarnation and the copies it holds for
/// peers.
pub struct Log {
    incarnation: id::Incarnation,
    options: Options,
    rng: fastrand::Rng,
    local: Local,
    local_flush: Flush,
    /// Number of batches of local records begun so far.
    local_batches: u64,
    /// Sequence of the last local copy in the batch that is being flushed.
    flushing_through: u64,
    held: Held,
    recovery_flush: Flush,
    /// Number of recovery batches begun so far.
    recovery_batches: u64,
    /// Sequences of the held copies in the recovery batch that is being flushed.
    recovering: Vec<u64>,
    is_stopping: bool,
}

/// Constructors and queries.
impl Log {
    /// Creates an empty log for `incarnation`, which also seeds the backoff jitter.
    pub fn new(incarnation: id::Incarnation, options: Options, _now_us: u64) -> Self {
        Self {
            incarnation,
            options,
            rng: fastrand::Rng::with_seed(incarnation.0),
            local: Local::new(incarnation),
            local_flush: Flush::default(),
            local_batches: 0,
            flushing_through: 0,
            held: Held::default(),
            recovery_flush: Flush::default(),
            recovery_batches: 0,
            recovering: Vec::new(),
            is_stopping: false,
        }
    }

    /// Returns whether all records are flushed, including copies held for peers.
    pub fn is_flushed(&self) -> bool {
        self.local.is_empty() && self.held.is_empty()
    }

    /// Returns the number of local records that are not flushed.
    pub fn backlog_records(&self) -> usize {
        self.local.records()
    }

    /// Returns the number of local records that no live peer is known to hold; they would be lost
    /// if this router died now.
    pub fn unprotected_records(&self) -> usize {
        self.local.unprotected_records()
    }

    /// Returns the number of records held for peers.
    pub fn held_records(&self) -> usize {
        self.held.records()
    }

    /// Returns the monotonic time at which the next [`Event::Tick`] is due, in microseconds.
    pub fn next_tick_us(&self) -> Option<u64> {
        let local_flush_us = match self.local_flush.batch() {
            Some(_) => self.local_flush.next_tick_us(),
            None => self.local.flush_due_us(&self.options),
        };
        let recovery_us = match self.recovery_flush.batch() {
            Some(_) => self.recovery_flush.next_tick_us(),
            None => self.held.next_tick_us(&self.options),
        };
        let local_tick_us = self.local.next_tick_us(&self.options);
        local_tick_us
            .into_iter()
            .chain(local_flush_us)
            .chain(recovery_us)
            .min()
    }
}

/// Records, events and flushes.
impl Log {
    /// Sets the live peers of the failure domain; this router is ignored among them.
    pub fn set_peers(&mut self, now_us: u64, peers: &[id::Incarnation]) -> Vec<Action> {
        let mut peers: BTreeSet<_> = peers.iter().copied().collect();
        peers.remove(&self.incarnation);
        self.held.set_peers(now_us, &peers);
        let mut actions = self.local.set_peers(now_us, &peers, &self.options);
        actions.extend(self.start_due_flushes(now_us));
        actions
    }

    /// Adds a record; [`Action::ReleaseResponse`] is returned once its response may be completed.
    pub fn record(&mut self, now_us: u64, record: Record) -> Vec<Action> {
        let mut actions = self.local.add(now_us, record, &self.options);
        actions.extend(self.start_due_flushes(now_us));
        actions
    }

    /// Handles a tick, a peer's message or the result of a flush.
    pub fn on_event(&mut self, now_us: u64, event: Event) -> Vec<Action> {
        let mut actions = match event {
            Event::Tick => {
                let mut actions = self.local.tick(now_us, &self.options);
                actions.extend(self.held.report_held(now_us, &self.options));
                actions
            }
            Event::Received { peer, message } => self.receive(now_us, peer, message),
            Event::Flushed { object } => self.on_flushed(&object),
            Event::FlushUnknown { object } => self.back_off(now_us, &object, 0),
            Event::FlushRefused {
                object,
                retry_after_ms,
            } => self.back_off(now_us, &object, retry_after_ms.saturating_mul(1_000)),
        };
        actions.extend(self.start_due_flushes(now_us));
        actions
    }

    /// Starts flushing all records, including copies held for peers; see [`Log::is_flushed`].
    ///
    /// After this call, copies from peers are ignored, so that their origins send them to other
    /// peers.
    pub fn stop(&mut self, now_us: u64) -> Vec<Action> {
        self.is_stopping = true;
        self.start_due_flushes(now_us)
    }

    fn receive(&mut self, now_us: u64, peer: id::Incarnation, message: Message) -> Vec<Action> {
        match message {
            Message::Copy { .. } if self.is_stopping => Vec::new(),
            Message::Copy {
                origin,
                copy,
                flushed_through,
            } => {
                self.held.mark_flushed(origin, flushed_through);
                let sequence = copy.sequence;
                self.held.hold(now_us, origin, copy);
                let message = Message::Held { origin, sequence };
                vec![Action::Send { peer, message }]
            }
            Message::Held { origin, sequence } if origin == self.incarnation => {
                self.local.on_held(now_us, peer, sequence, &self.options)
            }
            Message::Held { .. } => Vec::new(),
            Message::Flushed { origin, through } => {
                self.held.mark_flushed(origin, through);
                Vec::new()
            }
        }
    }

    fn on_flushed(&mut self, object: &str) -> Vec<Action> {
        if self.local_flush.finish(object).is_some() {
            return self.local.on_flushed(self.flushing_through);
        }
        if let Some(batch) = self.recovery_flush.finish(object) {
            self.held.drop_copies(batch.origin, &self.recovering);
        }
        Vec::new()
    }

    fn back_off(&mut self, now_us: u64, object: &str, wait_us: u64) -> Vec<Action> {
        let (options, rng) = (&self.options, &mut self.rng);
        self.local_flush
            .back_off(now_us, object, wait_us, options, rng);
        self.recovery_flush
            .back_off(now_us, object, wait_us, options, rng);
        Vec::new()
    }

    /// Starts the flushes and retries that are due.
    fn start_due_flushes(&mut self, now_us: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.is_stopping {
            actions.extend(self.local.seal(now_us, &self.options));
        }
        actions.extend(self.local_flush.retry(now_us));
        actions.extend(self.recovery_flush.retry(now_us));
        if self.local_flush.is_idle() {
            actions.extend(self.begin_flush(now_us));
        }
        if self.recovery_flush.is_idle() {
            actions.extend(self.begin_recovery(now_us));
        }
        actions
    }

    fn begin_flush(&mut self, now_us: u64) -> Option<Action> {
        let due_us = self.local.flush_due_us(&self.options)?;
        if !self.is_stopping && now_us < due_us {
            return None;
        }
        let pending = self.local.pending(self.options.batch_records)?;
        self.local_batches += 1;
        self.flushing_through = pending.through;
        Some(self.local_flush.begin(Batch {
            origin: self.incarnation,
            writer: self.incarnation,
            sequence: self.local_batches,
            records: pending.records,
        }))
    }

    fn begin_recovery(&mut self, now_us: u64) -> Vec<Action> {
        let options = &self.options;
        let (limit_records, recover_after_us) = (options.batch_records, options.recover_after_us);
        let recovery =
            self.held
                .next_recovery(now_us, recover_after_us, self.is_stopping, limit_records);
        let Some(recovery) = recovery else {
            return Vec::new();
        };
        self.recovery_batches += 1;
        self.recovering = recovery.sequences;
        let note = Note::Rescue {
            origin: recovery.origin,
            records: recovery.records.len(),
        };
        let write = self.recovery_flush.begin(Batch {
            origin: recovery.origin,
            writer: self.incarnation,
            sequence: self.recovery_batches,
            records: recovery.records,
        });
        vec![Action::Note(note), write]
    }
}
