//! Wakes every task that waits for a change.

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use local_sync::oneshot;

/// Shortest list that is searched for tasks that gave up.
const MIN_PRUNE: usize = 32;

/// A change that tasks wait for.
#[derive(Default)]
pub struct Notify {
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
    /// Length of the list at which tasks that gave up are taken off it.
    prune_at: Cell<usize>,
}

impl Notify {
    /// Wakes every waiting task.
    pub fn notify_all(&self) {
        for sender in self.waiting.take() {
            let _ = sender.send(());
        }
    }

    /// Waits for the next change.
    pub async fn notified(&self) {
        let _ = self.subscribe().await;
    }

    /// Waits for the next change, at most `timeout_us`. Returns whether there was one.
    pub async fn wait(&self, timeout_us: u64) -> bool {
        monoio::time::timeout(Duration::from_micros(timeout_us), self.subscribe())
            .await
            .is_ok()
    }

    fn subscribe(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() >= self.prune_at.get().max(MIN_PRUNE) {
            waiting.retain(|sender| !sender.is_closed());
            self.prune_at.set(2 * waiting.len());
        }
        waiting.push(sender);
        receiver
    }
}
