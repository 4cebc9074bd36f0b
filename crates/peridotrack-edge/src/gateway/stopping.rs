//! The stop of the gateway: which requests are begun while it lasts, and when the others are
//! answered.
//!
//! [`peridotrack_route::stop`] decides; [`Stopping`] knows the times of the stop and the durations
//! of recent requests, and wakes the requests that wait.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use peridotrack_kernel::{Kernel, clock};
use peridotrack_route::stop::{Durations, Stop, Verdict};
use peridotrack_types::collections;

use super::request::RoutedRequest;
use crate::notify;

/// Time at the end of the grace period that is reserved for closing the budget, in microseconds;
/// closing may take longer if open requests end earlier.
const BUDGET_CLOSE_US: u64 = 800 * clock::US_PER_MS;
/// Time reserved after closing the budget for the process to exit before the grace period ends, in
/// microseconds.
const EXIT_MARGIN_US: u64 = 200 * clock::US_PER_MS;
/// Time before the end of the stop at which requests without a response are answered, in
/// microseconds.
const ANSWER_MARGIN_US: u64 = 100 * clock::US_PER_MS;
/// Time for which a stopping gateway serves on idle connections, in microseconds: the load balancer
/// probes readiness every second and takes a VM out of rotation after two failures.
const LEAVE_ROTATION_US: u64 = 2_600 * clock::US_PER_MS;
/// Period at which a waiting request is judged again, in microseconds.
const RECHECK_US: u64 = 50 * clock::US_PER_MS;

/// Times of a stop, in monotonic microseconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Times {
    pub(super) stop: Stop,
    /// When requests that have no response yet are answered.
    pub(super) answer_us: u64,
    /// When the budget must be closed and the process ends.
    pub(super) close_us: u64,
}

/// State of the stop, and the durations of recent requests by route.
pub(super) struct Stopping {
    kernel: Rc<Kernel>,
    times: Cell<Option<Times>>,
    changed: notify::Notify,
    durations: RefCell<collections::HashMap<Arc<str>, Durations>>,
}

/// Begins and shortens the stop.
impl Stopping {
    /// Returns the state of a gateway that is not stopping.
    pub(super) fn new(kernel: &Rc<Kernel>) -> Self {
        Self {
            kernel: Rc::clone(kernel),
            times: Cell::new(None),
            changed: notify::Notify::default(),
            durations: RefCell::default(),
        }
    }

    /// Begins the stop, which ends with the grace period, and returns its times. A stop that has
    /// begun goes on.
    pub(super) fn begin(&self, grace_us: u64) -> Times {
        if let Some(times) = self.times.get() {
            return times;
        }
        let begun_us = self.kernel.now_us();
        let end_us = begun_us + grace_us;
        let finish_us = end_us.saturating_sub(BUDGET_CLOSE_US).max(begun_us);
        let close_us = end_us.saturating_sub(EXIT_MARGIN_US).max(begun_us);
        let times = Times {
            stop: Stop {
                begun_us,
                leave_us: finish_us.min(begun_us + LEAVE_ROTATION_US),
                finish_us,
            },
            answer_us: close_us.saturating_sub(ANSWER_MARGIN_US),
            close_us,
        };
        self.times.set(Some(times));
        self.changed.notify_all();
        times
    }

    /// Ends the stop now: no request is begun any more, and those without a response are answered.
    pub(super) fn finish(&self) {
        let now_us = self.kernel.now_us();
        let mut times = self.begin(0);
        times.stop.leave_us = now_us;
        times.stop.finish_us = now_us;
        times.answer_us = now_us;
        self.times.set(Some(times));
        self.changed.notify_all();
    }

    /// Returns whether the stop has begun.
    pub(super) fn has_begun(&self) -> bool {
        self.times.get().is_some()
    }
}

/// Decides about requests.
impl Stopping {
    /// Decides whether a request is begun now; `None` if the gateway is not stopping.
    pub(super) fn judge(&self, request: &RoutedRequest) -> Option<Verdict> {
        let times = self.times.get()?;
        let now_us = self.kernel.now_us();
        let durations = self.durations.borrow();
        let expected_us = durations
            .get(&request.route().name)
            .and_then(|durations| durations.expected_us(now_us));
        Some(times.stop.judge(now_us, request.deadline_us, expected_us))
    }

    /// Waits until the gateway is stopping and the request is not to be begun any more.
    pub(super) async fn refused(&self, request: &RoutedRequest) -> Verdict {
        loop {
            match self.judge(request) {
                Some(verdict) if !verdict.is_admitted => return verdict,
                Some(_) => self.kernel.timer().sleep_us(RECHECK_US).await,
                None => self.changed.notified().await,
            }
        }
    }

    /// Waits until requests that have no response yet are answered, because the process ends.
    pub(super) async fn answer_due(&self) {
        loop {
            match self.times.get() {
                Some(times) => {
                    let left_us = times.answer_us.saturating_sub(self.kernel.now_us());
                    if left_us == 0 || !self.changed.wait(left_us).await {
                        return;
                    }
                }
                None => self.changed.notified().await,
            }
        }
    }

    /// Records a request that is sent to a backend server until the guard is dropped.
    pub(super) fn track(self: &Rc<Self>, request: &RoutedRequest) -> Tracked {
        let route = Arc::clone(&request.route().name);
        let mut durations = self.durations.borrow_mut();
        let begun_us = request.arrived_us;
        durations.entry(route.clone()).or_default().begin(begun_us);
        Tracked {
            stopping: Rc::clone(self),
            route,
            begun_us,
        }
    }
}

/// An open request whose duration is recorded on drop.
pub(super) struct Tracked {
    stopping: Rc<Stopping>,
    route: Arc<str>,
    begun_us: u64,
}

impl Drop for Tracked {
    fn drop(&mut self) {
        let now_us = self.stopping.kernel.now_us();
        let mut durations = self.stopping.durations.borrow_mut();
        if let Some(durations) = durations.get_mut(&self.route) {
            durations.end(self.begun_us, now_us);
        }
    }
}
