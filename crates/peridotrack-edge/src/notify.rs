//! Wakes every task of an event loop that waits for a change.
//!
//! A notification is not stored: a task that starts to wait after it waits for the next one.

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use local_sync::oneshot;

/// Length of the list of waiting tasks below which it is not pruned.
const MIN_PRUNE_LENGTH: usize = 32;

/// Notification of a change to all tasks that wait for it.
#[derive(Default)]
pub struct Notify {
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
    /// Length of `waiting` at which tasks that no longer wait are removed from it.
    prune_length: Cell<usize>,
}

impl Notify {
    /// Wakes every task that is waiting now.
    pub fn notify_all(&self) {
        for sender in self.waiting.take() {
            let _ = sender.send(());
        }
    }

    /// Waits for the next notification.
    pub async fn notified(&self) {
        let _ = self.subscribe().await;
    }

    /// Waits for the next notification, at most `timeout_us`. Returns whether one came.
    pub async fn wait(&self, timeout_us: u64) -> bool {
        monoio::time::timeout(Duration::from_micros(timeout_us), self.subscribe())
            .await
            .is_ok()
    }

    fn subscribe(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() >= self.prune_length.get().max(MIN_PRUNE_LENGTH) {
            waiting.retain(|sender| !sender.is_closed());
            self.prune_length.set(2 * waiting.len());
        }
        waiting.push(sender);
        receiver
    }
}
