//! Single-threaded change notification: a generation counter that tasks can await.
//!
//! A waiter reads the generation, then checks its state, then awaits a later generation, so that
//! no change between the check and the wait is missed.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    pin::Pin,
    task::{Context, Poll, Waker},
};

/// Generation counter with the wakers of the tasks that wait for it to change.
#[derive(Default)]
pub(crate) struct Notify {
    generation: Cell<u64>,
    last_waiter: Cell<u64>,
    wakers: RefCell<BTreeMap<u64, Waker>>,
}

/// Future of one wait; dropping it removes its waker.
struct Changed<'a> {
    notify: &'a Notify,
    seen: u64,
    waiter: u64,
}

impl Notify {
    /// Returns the number of changes so far. Read it before the state that the wait depends on.
    pub(crate) fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Records a change and wakes every waiting task.
    pub(crate) fn notify(&self) {
        self.generation.set(self.generation.get() + 1);
        for waker in self.wakers.take().into_values() {
            waker.wake();
        }
    }

    /// Resolves once a change after generation `seen` has been recorded.
    pub(crate) async fn changed(&self, seen: u64) {
        self.last_waiter.set(self.last_waiter.get() + 1);
        let changed = Changed {
            notify: self,
            seen,
            waiter: self.last_waiter.get(),
        };
        changed.await;
    }
}

impl Future for Changed<'_> {
    type Output = ();

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.notify.generation.get() != self.seen {
            return Poll::Ready(());
        }
        let mut wakers = self.notify.wakers.borrow_mut();
        wakers.insert(self.waiter, context.waker().clone());
        Poll::Pending
    }
}

impl Drop for Changed<'_> {
    fn drop(&mut self) {
        // Otherwise every ended connection would leave its waker behind until the next change.
        self.notify.wakers.borrow_mut().remove(&self.waiter);
    }
}
