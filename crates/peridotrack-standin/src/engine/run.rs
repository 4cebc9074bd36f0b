//! One run of a request: its parameters, its state and the tokens generated so far.
//!
//! A run outlives the connection of its request, so that a stream can be resumed.

use std::cell::Cell;

use crate::{
    engine::chat::{self, Request, Usage},
    notify::Notify,
};

/// Progress of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum State {
    /// Queued or generating.
    Active,
    /// All tokens are generated.
    Finished,
    /// Cancelled by a client; cannot be resumed.
    Cancelled,
    /// Ended by a simulated crash; cannot be resumed.
    Lost,
}

/// One run of a request.
pub(crate) struct Run {
    pub(crate) request_id: String,
    pub(crate) model: String,
    pub(crate) priority: i64,
    pub(crate) include_usage: bool,
    pub(crate) prompt_tokens: u64,
    /// Length of the full completion, in tokens.
    pub(crate) total_tokens: u64,
    pub(crate) finish_reason: &'static str,
    pub(crate) seed: String,
    /// Tokens after which the run is lost, if that fault is set.
    pub(crate) lost_after_tokens: Option<u64>,
    generated_tokens: Cell<u64>,
    state: Cell<State>,
    /// Notified whenever tokens are added or the state changes.
    pub(crate) changed: Notify,
}

impl Run {
    /// Creates an active run. Its text is that of the given run of its request id, from 1.
    pub(crate) fn new(
        request_id: String,
        run: u64,
        request: &Request,
        natural_tokens: Option<u64>,
        lost_after_tokens: Option<u64>,
    ) -> Self {
        let max_tokens = request.max_tokens();
        let total_tokens = natural_tokens.map_or(max_tokens, |tokens| tokens.min(max_tokens));
        let stops = total_tokens < max_tokens;
        Self {
            seed: chat::seed(&chat::run_id(&request_id, run), &request.messages),
            request_id,
            model: request.model.clone(),
            priority: request.priority,
            include_usage: request.stream_options.include_usage,
            prompt_tokens: request.prompt_tokens(),
            total_tokens,
            finish_reason: if stops { "stop" } else { "length" },
            lost_after_tokens,
            generated_tokens: Cell::new(0),
            state: Cell::new(State::Active),
            changed: Notify::default(),
        }
    }

    pub(crate) fn state(&self) -> State {
        self.state.get()
    }

    pub(crate) fn generated_tokens(&self) -> u64 {
        self.generated_tokens.get()
    }

    pub(crate) fn completion_id(&self) -> String {
        format!("chatcmpl-{}", self.request_id)
    }

    pub(crate) fn token(&self, index: u64) -> String {
        chat::token(&self.seed, index)
    }

    /// Returns the token counts so far.
    pub(crate) fn usage(&self) -> Usage {
        Usage::new(self.prompt_tokens, self.generated_tokens())
    }

    /// Resolves once the run is no longer active.
    pub(crate) async fn ended(&self) {
        loop {
            let seen = self.changed.generation();
            if self.state() != State::Active {
                return;
            }
            self.changed.changed(seen).await;
        }
    }

    /// Generates up to `tokens` further tokens; returns how many were generated.
    pub(crate) fn advance(&self, tokens: u64) -> u64 {
        let limit = self.lost_after_tokens.unwrap_or(u64::MAX);
        let before = self.generated_tokens();
        let after = (before + tokens).min(self.total_tokens).min(limit);
        self.generated_tokens.set(after);
        if after == limit {
            self.state.set(State::Lost);
        } else if after == self.total_tokens {
            self.state.set(State::Finished);
        }
        self.changed.notify();
        after - before
    }

    /// Cancels the run if it is active; returns whether it was.
    pub(crate) fn cancel(&self) -> bool {
        let active = self.state() == State::Active;
        if active {
            self.state.set(State::Cancelled);
            self.changed.notify();
        }
        active
    }
}
