//! Wakes every task that waits for a change.

use std::{cell::RefCell, time::Duration};

use local_sync::oneshot;

/// A change that tasks wait for.
#[derive(Default)]
pub struct Notify {
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
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
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().push(sender);
        let _ = receiver.await;
    }

    /// Waits for the next change, at most `timeout_us`. Returns whether there was one.
    pub async fn wait(&self, timeout_us: u64) -> bool {
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().push(sender);
        monoio::time::timeout(Duration::from_micros(timeout_us), receiver)
            .await
            .is_ok()
    }
}
