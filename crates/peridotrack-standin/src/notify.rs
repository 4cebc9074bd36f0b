//! Wakes the tasks of one thread that wait for a change.

use std::{
    cell::{Cell, RefCell},
    future::poll_fn,
    task::{Poll, Waker},
};

/// A counter of changes that tasks can wait on.
#[derive(Default)]
pub(crate) struct Notify {
    generation: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl Notify {
    /// Count of changes so far; to be read before the state that the wait is about.
    pub(crate) fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Records a change and wakes every waiting task.
    pub(crate) fn notify(&self) {
        self.generation.set(self.generation.get() + 1);
        for waker in self.wakers.take() {
            waker.wake();
        }
    }

    /// Resolves once a change after generation `seen` was recorded.
    pub(crate) async fn changed(&self, seen: u64) {
        poll_fn(|context| {
            if self.generation.get() != seen {
                return Poll::Ready(());
            }
            let mut wakers = self.wakers.borrow_mut();
            if !wakers.iter().any(|waker| waker.will_wake(context.waker())) {
                wakers.push(context.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }
}
