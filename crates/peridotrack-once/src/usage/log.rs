//! The usage log of one router.

use std::collections::BTreeSet;

use peridotrack_types::id;

use super::{
    Action, Batch, Event, Message, Note, Options, Record, flush::Flush, held::Held, own::Own,
};

/// The usage log of one router incarnation.
pub struct Log {
    incarnation: id::Incarnation,
    options: Options,
    rng: fastrand::Rng,
    own: Own,
    own_flush: Flush,
    own_batches: u64,
    /// Sequence of the last copy in the batch that is being flushed.
    flushing_through: u64,
    held: Held,
    rescue_flush: Flush,
    rescue_batches: u64,
    /// Sequences of the copies in the batch that is being rescued.
    rescuing: Vec<u64>,
    is_stopping: bool,
}

// Construction and access.
impl Log {
    /// Creates the log of `incarnation`.
    pub fn new(incarnation: id::Incarnation, options: Options, _now_us: u64) -> Self {
        Self {
            incarnation,
            options,
            rng: fastrand::Rng::with_seed(incarnation.0),
            own: Own::new(incarnation),
            own_flush: Flush::default(),
            own_batches: 0,
            flushing_through: 0,
            held: Held::default(),
            rescue_flush: Flush::default(),
            rescue_batches: 0,
            rescuing: Vec::new(),
            is_stopping: false,
        }
    }

    /// Returns whether nothing is left to flush, copies held for peers included.
    pub fn is_flushed(&self) -> bool {
        self.own.is_empty() && self.held.is_empty()
    }

    /// Returns how many own records wait to be flushed.
    pub fn backlog_records(&self) -> usize {
        self.own.records()
    }

    /// Returns how many own records would be lost if this router died now.
    pub fn unprotected_records(&self) -> usize {
        self.own.unprotected_records()
    }

    /// Returns how many records are held for peers.
    pub fn held_records(&self) -> usize {
        self.held.records()
    }

    /// Returns when the next [`Event::Tick`] is needed, in microseconds.
    pub fn next_tick_us(&self) -> Option<u64> {
        let own_flush_us = match self.own_flush.batch() {
            Some(_) => self.own_flush.next_tick_us(),
            None => self.own.flush_due_us(&self.options),
        };
        let recover_after_us = match self.rescue_flush.batch() {
            Some(_) => self.rescue_flush.next_tick_us(),
            None => self.held.next_tick_us(&self.options),
        };
        let own_us = self.own.next_tick_us(&self.options);
        own_us
            .into_iter()
            .chain(own_flush_us)
            .chain(recover_after_us)
            .min()
    }
}

// Mutation.
impl Log {
    /// Takes in the live peers of the failure domain, without this router.
    pub fn set_peers(&mut self, now_us: u64, peers: &[id::Incarnation]) -> Vec<Action> {
        let mut peers: BTreeSet<_> = peers.iter().copied().collect();
        peers.remove(&self.incarnation);
        self.held.set_peers(now_us, &peers);
        let mut actions = self.own.set_peers(now_us, &peers, &self.options);
        actions.extend(self.advance(now_us));
        actions
    }

    /// Adds a record; [`Action::ReleaseResponse`] follows when the answer may end.
    pub fn record(&mut self, now_us: u64, record: Record) -> Vec<Action> {
        let mut actions = self.own.add(now_us, record, &self.options);
        actions.extend(self.advance(now_us));
        actions
    }

    /// Takes in what happened outside.
    pub fn on_event(&mut self, now_us: u64, event: Event) -> Vec<Action> {
        let mut actions = match event {
            Event::Tick => {
                let mut actions = self.own.tick(now_us, &self.options);
                actions.extend(self.held.remind(now_us, &self.options));
                actions
            }
            Event::Received { peer, message } => self.receive(now_us, peer, message),
            Event::Flushed { object } => self.flushed(&object),
            Event::FlushUnknown { object } => self.back_off(now_us, &object, 0),
            Event::FlushRefused {
                object,
                retry_after_ms,
            } => self.back_off(now_us, &object, retry_after_ms.saturating_mul(1_000)),
        };
        actions.extend(self.advance(now_us));
        actions
    }

    /// Begins to flush everything, copies held for peers included; see [`Log::is_flushed`].
    ///
    /// From now on no copies are taken, so that origins choose other peers.
    pub fn stop(&mut self, now_us: u64) -> Vec<Action> {
        self.is_stopping = true;
        self.advance(now_us)
    }

    fn receive(&mut self, now_us: u64, peer: id::Incarnation, message: Message) -> Vec<Action> {
        match message {
            Message::Copy { .. } if self.is_stopping => Vec::new(),
            Message::Copy {
                origin,
                copy,
                flushed_through,
            } => {
                self.held.flushed(origin, flushed_through);
                let sequence = copy.sequence;
                self.held.hold(now_us, origin, copy);
                let message = Message::Held { origin, sequence };
                vec![Action::Send { peer, message }]
            }
            Message::Held { origin, sequence } if origin == self.incarnation => {
                self.own.held(now_us, peer, sequence, &self.options)
            }
            Message::Held { .. } => Vec::new(),
            Message::Flushed { origin, through } => {
                self.held.flushed(origin, through);
                Vec::new()
            }
        }
    }

    fn flushed(&mut self, object: &str) -> Vec<Action> {
        if self.own_flush.finish(object).is_some() {
            return self.own.flushed(self.flushing_through);
        }
        if let Some(batch) = self.rescue_flush.finish(object) {
            self.held.drop_copies(batch.origin, &self.rescuing);
        }
        Vec::new()
    }

    fn back_off(&mut self, now_us: u64, object: &str, wait_us: u64) -> Vec<Action> {
        let (options, rng) = (&self.options, &mut self.rng);
        self.own_flush
            .back_off(now_us, object, wait_us, options, rng);
        self.rescue_flush
            .back_off(now_us, object, wait_us, options, rng);
        Vec::new()
    }

    /// Flushes what is due.
    fn advance(&mut self, now_us: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.is_stopping {
            actions.extend(self.own.seal(now_us, &self.options));
        }
        actions.extend(self.own_flush.retry(now_us));
        actions.extend(self.rescue_flush.retry(now_us));
        if self.own_flush.is_idle() {
            actions.extend(self.begin_flush(now_us));
        }
        if self.rescue_flush.is_idle() {
            actions.extend(self.begin_rescue(now_us));
        }
        actions
    }

    fn begin_flush(&mut self, now_us: u64) -> Option<Action> {
        let due_us = self.own.flush_due_us(&self.options)?;
        if !self.is_stopping && now_us < due_us {
            return None;
        }
        let pending = self.own.pending(self.options.batch_records)?;
        self.own_batches += 1;
        self.flushing_through = pending.through;
        Some(self.own_flush.begin(Batch {
            origin: self.incarnation,
            writer: self.incarnation,
            sequence: self.own_batches,
            records: pending.records,
        }))
    }

    fn begin_rescue(&mut self, now_us: u64) -> Vec<Action> {
        let options = &self.options;
        let (limit_records, recover_after_us) = (options.batch_records, options.recover_after_us);
        let rescue = self
            .held
            .rescue(now_us, recover_after_us, self.is_stopping, limit_records);
        let Some(rescue) = rescue else {
            return Vec::new();
        };
        self.rescue_batches += 1;
        self.rescuing = rescue.sequences;
        let note = Note::Rescue {
            origin: rescue.origin,
            records: rescue.records.len(),
        };
        let write = self.rescue_flush.begin(Batch {
            origin: rescue.origin,
            writer: self.incarnation,
            sequence: self.rescue_batches,
            records: rescue.records,
        });
        vec![Action::Note(note), write]
    }
}
