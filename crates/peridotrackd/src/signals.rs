//! Counts the signals that ask the process to stop.

use std::{
    cell::Cell,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use signal_hook::{
    consts::{SIGINT, SIGTERM},
    flag,
};

/// Counts SIGTERM and SIGINT without a thread of its own.
pub struct Signals {
    flags: [Arc<AtomicBool>; 2],
    count: Cell<usize>,
}

impl Signals {
    /// Starts counting.
    pub fn open() -> std::io::Result<Self> {
        let flags = [Arc::<AtomicBool>::default(), Arc::default()];
        flag::register(SIGTERM, Arc::clone(&flags[0]))?;
        flag::register(SIGINT, Arc::clone(&flags[1]))?;
        Ok(Self {
            flags,
            count: Cell::new(0),
        })
    }

    /// Returns how many signals have come; those between two calls count as one of each kind.
    pub fn count(&self) -> usize {
        for flag in &self.flags {
            if flag.swap(false, Ordering::Relaxed) {
                self.count.set(self.count.get() + 1);
            }
        }
        self.count.get()
    }
}
