//! The timer service, which calls subscribers periodically.
//!
//! One task on the `monoio` runtime serves all subscriptions, so a callback must not block: it
//! would delay all others.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use crate::clock;

/// Minimum period of a subscription, in microseconds; shorter ones are raised to it.
pub const MIN_PERIOD_US: u64 = clock::US_PER_MS;

type Callback = Rc<dyn Fn(u64)>;

struct Entry {
    id: u64,
    period_us: u64,
    due_us: u64,
    callback: Callback,
}

/// Calls each subscriber periodically, all from a single task.
#[derive(Clone)]
pub struct Timer {
    clock: clock::Clock,
    state: Rc<State>,
}

#[derive(Default)]
struct State {
    entries: RefCell<Vec<Entry>>,
    next_id: Cell<u64>,
    wake: RefCell<Option<local_sync::oneshot::Sender<()>>>,
    stopped: Cell<bool>,
}

/// Handle of an active subscription; dropping it cancels the subscription.
#[must_use = "dropping the handle cancels the subscription"]
pub struct Subscription {
    id: u64,
    state: Rc<State>,
}

impl Drop for Subscription {
    fn drop(&mut self) {
        self.state
            .entries
            .borrow_mut()
            .retain(|entry| entry.id != self.id);
    }
}

impl Timer {
    /// Returns a timer whose task is not running yet, see [`Timer::spawn`].
    pub(crate) fn new(clock: clock::Clock) -> Self {
        Self {
            clock,
            state: Rc::default(),
        }
    }

    /// Spawns the task that calls the subscribers on the current runtime.
    pub(crate) fn spawn(&self) {
        monoio::spawn(run(self.clock, Rc::clone(&self.state)));
    }

    /// Calls `callback` with the monotonic time in microseconds every `period_us`.
    ///
    /// The first call is one period from now. Calls that a pause of the process delayed are not
    /// repeated.
    pub fn subscribe(&self, period_us: u64, callback: impl Fn(u64) + 'static) -> Subscription {
        let id = self.state.next_id.get();
        self.state.next_id.set(id + 1);
        let period_us = period_us.max(MIN_PERIOD_US);
        self.state.entries.borrow_mut().push(Entry {
            id,
            period_us,
            due_us: self.clock.now_us() + period_us,
            callback: Rc::new(callback),
        });
        self.wake();
        Subscription {
            id,
            state: Rc::clone(&self.state),
        }
    }

    /// Waits for `duration_us` microseconds. Works without the timer's task.
    pub async fn sleep_us(&self, duration_us: u64) {
        monoio::time::sleep(Duration::from_micros(duration_us)).await;
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.state.stopped.get()
    }

    /// Ends the task and wakes it so that it returns at once.
    pub(crate) fn stop(&self) {
        self.state.stopped.set(true);
        self.wake();
    }

    /// Interrupts the wait of the task, which then recomputes the next due time.
    fn wake(&self) {
        if let Some(wake) = self.state.wake.borrow_mut().take() {
            let _ = wake.send(());
        }
    }
}

/// Calls due subscribers and waits for the next due time until the timer is stopped.
async fn run(clock: clock::Clock, state: Rc<State>) {
    while !state.stopped.get() {
        for callback in take_due(&state, clock.now_us()) {
            callback(clock.now_us());
        }
        let (sender, receiver) = local_sync::oneshot::channel();
        *state.wake.borrow_mut() = Some(sender);
        let next_due_us = state
            .entries
            .borrow()
            .iter()
            .map(|entry| entry.due_us)
            .min();
        match next_due_us {
            Some(due_us) => {
                let duration_us = due_us.saturating_sub(clock.now_us());
                let _ = monoio::time::timeout(Duration::from_micros(duration_us), receiver).await;
            }
            None => drop(receiver.await),
        }
    }
}

/// Reschedules the due entries and returns their callbacks.
///
/// Missed periods are skipped, so that after a pause of the process a subscriber
/// is called once and not once for each missed period.
fn take_due(state: &State, now_us: u64) -> Vec<Callback> {
    let mut due = Vec::new();
    for entry in state
        .entries
        .borrow_mut()
        .iter_mut()
        .filter(|entry| entry.due_us <= now_us)
    {
        entry.due_us = now_us + entry.period_us;
        due.push(Rc::clone(&entry.callback));
    }
    due
}
