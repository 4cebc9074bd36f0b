//! Claims of one router.

use peridotrack_types::id;

use super::{Action, Event, Options, Outcome, Request};

/// Claims of one router incarnation.
pub struct Claims {
    options: Options,
}

impl Claims {
    /// Creates the claims of `incarnation`.
    pub fn new(
        _incarnation: id::Incarnation,
        options: Options,
        _rng_seed: u64,
        _now_us: u64,
    ) -> Self {
        Self { options }
    }

    /// Asks for a claim; the answer comes as one [`Action::Decide`].
    pub fn begin(&mut self, _now_us: u64, _request: Request<'_>) -> Vec<Action> {
        Vec::new()
    }

    /// Registers a request without key: it needs no claim and may be sent once.
    pub fn begin_without_key(&mut self, _now_us: u64, _request_id: id::Request, _deadline_us: u64) {
    }

    /// Returns whether the first byte may be sent now, and uses up the permission.
    pub fn may_send(&mut self, _now_us: u64, _request_id: id::Request) -> bool {
        false
    }

    /// Records how a granted request ended.
    pub fn finish(
        &mut self,
        _now_us: u64,
        _request_id: id::Request,
        _outcome: Outcome,
    ) -> Vec<Action> {
        Vec::new()
    }

    /// Takes in what happened outside.
    pub fn on_event(&mut self, _now_us: u64, _event: Event) -> Vec<Action> {
        Vec::new()
    }

    /// Returns whether every outcome is recorded.
    pub fn is_settled(&self) -> bool {
        self.options.shards > 0
    }

    /// Returns when the next [`Event::Tick`] is needed, in microseconds.
    pub fn next_tick_us(&self) -> Option<u64> {
        None
    }
}
