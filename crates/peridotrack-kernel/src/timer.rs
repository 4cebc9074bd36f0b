//! The timer service that parts of the process subscribe to.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use crate::clock;

/// Shortest period of a subscription, in microseconds.
pub const MIN_PERIOD_US: u64 = clock::US_PER_MS;

type Callback = Rc<dyn Fn(u64)>;

struct Entry {
    id: u64,
    period_us: u64,
    due_us: u64,
    callback: Callback,
}

/// Calls subscribers at their periods, all from one task.
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

/// A running subscription, which ends when this is dropped.
#[must_use = "a subscription ends when it is dropped"]
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
    /// Returns a timer without its task, see [`Timer::spawn`].
    pub(crate) fn new(clock: clock::Clock) -> Self {
        Self {
            clock,
            state: Rc::default(),
        }
    }

    /// Starts the task that calls the subscribers.
    pub(crate) fn spawn(&self) {
        monoio::spawn(run(self.clock, Rc::clone(&self.state)));
    }

    /// Calls `callback` with the monotonic time every `period_us` microseconds.
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

    /// Waits for a time span.
    pub async fn sleep_us(&self, span_us: u64) {
        monoio::time::sleep(Duration::from_micros(span_us)).await;
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.state.stopped.get()
    }

    /// Ends the task.
    pub(crate) fn stop(&self) {
        self.state.stopped.set(true);
        self.wake();
    }

    fn wake(&self) {
        if let Some(wake) = self.state.wake.borrow_mut().take() {
            let _ = wake.send(());
        }
    }
}

/// Calls due subscribers until the timer is stopped.
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
                let span_us = due_us.saturating_sub(clock.now_us());
                let _ = monoio::time::timeout(Duration::from_micros(span_us), receiver).await;
            }
            None => drop(receiver.await),
        }
    }
}

/// Moves due entries on to their next time and returns their callbacks.
///
/// Missed periods are skipped, so that a process that was paused does not call
/// a subscriber many times in a row.
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
