//! Slots for concurrent runs and the queue for them: highest priority first, then first come,
//! first served.

use std::{
    cell::{Cell, RefCell},
    cmp::Reverse,
    collections::BTreeSet,
};

use crate::notify::Notify;

/// Sort key of waiting requests: descending priority, then arrival number.
type OrderKey = (Reverse<i64>, u64);

/// Slots of one engine and the requests that wait for them.
pub(crate) struct Queue {
    slots: Cell<u32>,
    running: Cell<u32>,
    arrivals: Cell<u64>,
    waiting: RefCell<BTreeSet<OrderKey>>,
    changed: Notify,
}

/// An occupied slot; dropping it frees the slot.
pub(crate) struct Slot<'a> {
    queue: &'a Queue,
}

/// One waiting request; dropping it removes it from the queue.
struct QueueEntry<'a> {
    queue: &'a Queue,
    order: OrderKey,
}

impl Queue {
    pub(crate) fn new(slots: u32) -> Self {
        Self {
            slots: Cell::new(slots),
            running: Cell::new(0),
            arrivals: Cell::new(0),
            waiting: RefCell::default(),
            changed: Notify::default(),
        }
    }

    pub(crate) fn slots(&self) -> u32 {
        self.slots.get()
    }

    pub(crate) fn running(&self) -> u32 {
        self.running.get()
    }

    pub(crate) fn queued(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Changes the number of slots. Occupied slots above the new number stay until they are freed.
    pub(crate) fn set_slots(&self, slots: u32) {
        self.slots.set(slots);
        self.changed.notify();
    }

    /// Waits for a free slot. Dropping the future leaves the queue.
    pub(crate) async fn acquire(&self, priority: i64) -> Slot<'_> {
        let entry = self.enqueue(priority);
        loop {
            let seen = self.changed.generation();
            let first = self.waiting.borrow().first() == Some(&entry.order);
            if first && self.running.get() < self.slots.get() {
                self.running.set(self.running.get() + 1);
                return Slot { queue: self };
            }
            self.changed.changed(seen).await;
        }
    }

    fn enqueue(&self, priority: i64) -> QueueEntry<'_> {
        self.arrivals.set(self.arrivals.get() + 1);
        let order = (Reverse(priority), self.arrivals.get());
        self.waiting.borrow_mut().insert(order);
        QueueEntry { queue: self, order }
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        self.queue.waiting.borrow_mut().remove(&self.order);
        self.queue.changed.notify();
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.queue.running.set(self.queue.running.get() - 1);
        self.queue.changed.notify();
    }
}
