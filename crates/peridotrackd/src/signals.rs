//! Unix signals that stop the process or reload its settings.
//!
//! The handlers only set flags; the event loop polls them through [`Signals`].

use std::{
    cell::Cell,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    flag,
};

/// Counts SIGTERM and SIGINT and records SIGHUP, without an extra thread.
pub struct Signals {
    stop_flags: [Arc<AtomicBool>; 2],
    reload: Arc<AtomicBool>,
    stop_count: Cell<usize>,
}

impl Signals {
    /// Registers the signal handlers.
    pub fn open() -> std::io::Result<Self> {
        let stop_flags = [Arc::<AtomicBool>::default(), Arc::default()];
        flag::register(SIGTERM, Arc::clone(&stop_flags[0]))?;
        flag::register(SIGINT, Arc::clone(&stop_flags[1]))?;
        let reload = Arc::default();
        flag::register(SIGHUP, Arc::clone(&reload))?;
        Ok(Self {
            stop_flags,
            reload,
            stop_count: Cell::new(0),
        })
    }

    /// Returns whether SIGHUP was received since the last call.
    pub fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }

    /// Returns the number of stop signals received. Repeated signals of one kind between two calls
    /// count as one.
    pub fn stop_count(&self) -> usize {
        for flag in &self.stop_flags {
            if flag.swap(false, Ordering::Relaxed) {
                self.stop_count.set(self.stop_count.get() + 1);
            }
        }
        self.stop_count.get()
    }
}
