//! Whether the store is available, as the results of the calls show it.
//!
//! Three things are kept apart: whether the store can be reached at all, whether it refuses calls,
//! and when failures of either kind amounted to an outage. Changes of the first two are logged.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use peridotrack_follow::outage::Outages;
use peridotrack_http::client;
use peridotrack_kernel::{Kernel, event};

use super::call::{self, Call};

/// State of the store as of the most recent results.
pub(super) struct Availability {
    kernel: Rc<Kernel>,
    is_reachable: Cell<bool>,
    /// Whether the most recent response was a refusal.
    is_refusing: Cell<bool>,
    outages: RefCell<Outages>,
}

impl Availability {
    /// Returns the state before the first call; see [`Platform::open`](super::Platform::open) for
    /// `min_outage_us`.
    pub(super) fn new(kernel: Rc<Kernel>, min_outage_us: u64) -> Self {
        Self {
            kernel,
            is_reachable: Cell::new(true),
            is_refusing: Cell::new(false),
            outages: RefCell::new(Outages::new(min_outage_us)),
        }
    }

    /// Returns whether the most recent call received a response; true before the first.
    pub(super) fn is_reachable(&self) -> bool {
        self.is_reachable.get()
    }

    /// Returns when the store was last unavailable, in monotonic microseconds; `None` if it never
    /// was.
    pub(super) fn last_outage_us(&self) -> Option<u64> {
        self.outages.borrow().last_us()
    }

    /// Records that the store is available, whatever the result of the call.
    pub(super) fn on_response(&self) {
        let now_us = self.kernel.now_us();
        self.outages.borrow_mut().on_response(now_us);
    }

    /// Records what the result of a call shows. The end of a waiting watch does not show whether the
    /// store can be reached.
    pub(super) fn on_result(&self, call: &Call<'_>, result: &call::Result) {
        match call.failure(result) {
            Some(failure) => {
                let now_us = self.kernel.now_us();
                self.outages.borrow_mut().on_failure(now_us, failure);
            }
            None => self.on_response(),
        }
        match result {
            Ok(response) => {
                self.note_reachable(call, None);
                self.note_refusal(call, response.status());
            }
            Err(error) if call.is_cut(error) => {}
            Err(error) => self.note_reachable(call, Some(error)),
        }
    }

    /// Logs a refusal, unless the previous response was a refusal as well.
    fn note_refusal(&self, call: &Call<'_>, status: http::StatusCode) {
        let is_refused = call::is_refusal(status);
        if !self.is_refusing.replace(is_refused) && is_refused {
            let event = event::Event::new(event::Kind::PlatformRefused)
                .with("step", call.step)
                .with("key", call.key)
                .with("status", u64::from(status.as_u16()));
            self.kernel.note(event);
        }
    }

    /// Records whether the platform is reachable, and logs a change of it.
    fn note_reachable(&self, call: &Call<'_>, error: Option<&client::Error>) {
        if self.is_reachable.replace(error.is_none()) == error.is_none() {
            return;
        }
        let kind = match error {
            None => event::Kind::PlatformReached,
            Some(_) => event::Kind::PlatformLost,
        };
        let event = event::Event::new(kind)
            .with("step", call.step)
            .with("key", call.key);
        self.kernel.note(match error {
            None => event,
            Some(error) => event.with("error", error.to_string()),
        });
    }
}
