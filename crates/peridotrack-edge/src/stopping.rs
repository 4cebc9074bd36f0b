//! The stop of a server: which requests are begun while it lasts, and when the others are answered.
//!
//! [`peridotrack_route::stop`] decides; [`Stopping`] knows the times of the stop and the durations
//! of recent requests, and wakes the requests that wait. Requests with the same key, such as the
//! name of their route, are expected to take equally long.

use std::{
    cell::{Cell, RefCell},
    hash::Hash,
    rc::Rc,
};

use peridotrack_http::server;
use peridotrack_kernel::{Kernel, clock, event};
use peridotrack_route::stop::{Durations, Stop, Verdict};
use peridotrack_types::{collections, problem};

use crate::notify;

/// Retry delay stated to clients of a stopping router, in milliseconds: other routers serve a new
/// connection at once.
const RETRY_MS: u64 = 100;
/// Maximum time in which a request is received once the router has left the rotation, in
/// microseconds.
const RECEIVE_US: u64 = 2 * clock::US_PER_S;
/// Period at which a waiting request is judged again, in microseconds.
const RECHECK_US: u64 = 50 * clock::US_PER_MS;

/// Times of a stop, in monotonic microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Times {
    /// Until when requests are begun.
    pub stop: Stop,
    /// When requests that have no response yet are answered.
    pub answer_us: u64,
}

/// State of the stop, and the durations of recent requests by key.
pub struct Stopping<K> {
    kernel: Rc<Kernel>,
    times: Cell<Option<Times>>,
    changed: notify::Notify,
    durations: RefCell<collections::HashMap<K, Durations>>,
    /// Durations of the requests of all keys, for a key that had none.
    all_durations: Cell<Durations>,
}

/// Begins and shortens the stop.
impl<K: Clone + Eq + Hash> Stopping<K> {
    /// Returns the state of a server that is not stopping.
    pub fn new(kernel: &Rc<Kernel>) -> Self {
        Self {
            kernel: Rc::clone(kernel),
            times: Cell::new(None),
            changed: notify::Notify::default(),
            durations: RefCell::default(),
            all_durations: Cell::default(),
        }
    }

    /// Begins the stop with the times that `times_from` returns for its begin, and returns them. A
    /// stop that has begun goes on with its own.
    pub fn begin(&self, times_from: impl FnOnce(u64) -> Times) -> Times {
        if let Some(times) = self.times.get() {
            return times;
        }
        let times = times_from(self.kernel.now_us());
        self.times.set(Some(times));
        self.changed.notify_all();
        times
    }

    /// Ends the stop now: no request is begun any more, and those without a response are answered.
    pub fn finish(&self) {
        let now_us = self.kernel.now_us();
        let begun_us = self.times.get().map_or(now_us, |times| times.stop.begun_us);
        self.times.set(Some(Times {
            stop: Stop {
                begun_us,
                leave_us: now_us,
                finish_us: now_us,
            },
            answer_us: now_us,
        }));
        self.changed.notify_all();
    }

    /// Returns whether the stop has begun.
    pub fn has_begun(&self) -> bool {
        self.times.get().is_some()
    }

    /// Announces in the head of a response that the connection closes, if the server is stopping.
    ///
    /// The announcement is left to the response to the next request if bytes of that one have been
    /// received already.
    pub fn announce<T>(
        &self,
        connection: &server::Connection,
        mut response: http::Response<T>,
    ) -> http::Response<T> {
        if self.has_begun() && !connection.has_received_ahead() {
            let close = http::HeaderValue::from_static("close");
            let headers = response.headers_mut();
            headers.insert(http::header::CONNECTION, close);
        }
        response
    }
}

/// Returns the problem of a request that is not begun, or not sent again, because the router is
/// stopping.
pub fn refusal(may_have_run: bool) -> problem::Problem {
    if may_have_run {
        let detail = "the attempt failed and the router is stopping";
        return problem::Problem::new(problem::Kind::OutcomeUnknown, detail);
    }
    let detail = "the router is stopping and would not finish the request";
    problem::Problem::new(problem::Kind::Stopping, detail).retry_after_ms(RETRY_MS)
}

/// Returns the problem of a request that has no response when the stop ends.
pub fn unanswered(may_have_run: bool) -> problem::Problem {
    if may_have_run {
        let detail = "the router stopped before the backend server answered";
        return problem::Problem::new(problem::Kind::OutcomeUnknown, detail);
    }
    refusal(false)
}

/// Adds the inputs of a decision about a request.
pub fn describe(event: event::Event, verdict: &Verdict) -> event::Event {
    event
        .with("since_stop_us", verdict.since_stop_us)
        .with("expected_us", verdict.expected_us.unwrap_or(u64::MAX))
        .with("grace_left_us", verdict.left_us)
}

/// Decides about requests.
impl<K: Clone + Eq + Hash> Stopping<K> {
    /// Decides whether a request is begun now that ends at `deadline_us` (monotonic microseconds)
    /// at the latest; `None` if the server is not stopping.
    pub fn judge(&self, key: &K, deadline_us: u64) -> Option<Verdict> {
        let times = self.times.get()?;
        let now_us = self.kernel.now_us();
        let durations = self.durations.borrow();
        let expected_of_all_us = || self.all_durations.get().expected_us(now_us);
        let expected_us = match durations.get(key) {
            Some(durations) if durations.has_ended() => durations.expected_us(now_us),
            Some(durations) => durations.expected_us(now_us).max(expected_of_all_us()),
            None => expected_of_all_us(),
        };
        Some(times.stop.judge(now_us, deadline_us, expected_us))
    }

    /// Waits until the server is stopping and the request is not to be begun any more.
    pub async fn refused(&self, key: &K, deadline_us: u64) -> Verdict {
        loop {
            match self.judge(key, deadline_us) {
                Some(verdict) if !verdict.is_admitted => return verdict,
                Some(_) => self.kernel.timer().sleep_us(RECHECK_US).await,
                None => self.changed.notified().await,
            }
        }
    }

    /// Waits until a request of which the first bytes have just arrived is refused unless it is
    /// complete.
    pub async fn receive_due(&self) {
        let began_us = self.kernel.now_us();
        let due_us = |times: Times| {
            let Stop {
                leave_us,
                finish_us,
                ..
            } = times.stop;
            finish_us.min(began_us.max(leave_us) + RECEIVE_US)
        };
        self.due(due_us).await;
    }

    /// Waits until requests that have no response yet are answered, because the process ends.
    pub async fn answer_due(&self) {
        self.due(|times| times.answer_us).await;
    }

    /// Waits until the time of the stop that `due_us` returns.
    async fn due(&self, due_us: impl Fn(Times) -> u64) {
        loop {
            match self.times.get() {
                Some(times) => {
                    let left_us = due_us(times).saturating_sub(self.kernel.now_us());
                    if left_us == 0 || !self.changed.wait(left_us).await {
                        return;
                    }
                }
                None => self.changed.notified().await,
            }
        }
    }

    /// Records a request that arrived at `begun_us` and is begun, until the guard is dropped.
    pub fn track(self: &Rc<Self>, key: &K, begun_us: u64) -> Tracked<K> {
        let mut durations = self.durations.borrow_mut();
        durations.entry(key.clone()).or_default().begin(begun_us);
        let mut all_durations = self.all_durations.get();
        all_durations.begin(begun_us);
        self.all_durations.set(all_durations);
        Tracked {
            stopping: Rc::clone(self),
            key: key.clone(),
            begun_us,
            is_sent: Cell::new(false),
        }
    }
}

/// An open request whose duration is recorded on drop if it was sent to a backend server.
pub struct Tracked<K: Eq + Hash> {
    stopping: Rc<Stopping<K>>,
    key: K,
    begun_us: u64,
    is_sent: Cell<bool>,
}

impl<K: Eq + Hash> Tracked<K> {
    /// Records that the request is sent to a backend server.
    pub fn sent(&self) {
        self.is_sent.set(true);
    }
}

impl<K: Eq + Hash> Tracked<K> {
    fn record_end(&self, durations: &mut Durations) {
        match self.is_sent.get() {
            true => durations.end(self.begun_us, self.stopping.kernel.now_us()),
            // A refusal is quick when servers are slow.
            false => durations.cancel(self.begun_us),
        }
    }
}

impl<K: Eq + Hash> Drop for Tracked<K> {
    fn drop(&mut self) {
        let mut durations = self.stopping.durations.borrow_mut();
        if let Some(durations) = durations.get_mut(&self.key) {
            self.record_end(durations);
        }
        let mut all_durations = self.stopping.all_durations.get();
        self.record_end(&mut all_durations);
        self.stopping.all_durations.set(all_durations);
    }
}
