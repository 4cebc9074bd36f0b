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

/// Number of SIGINTs that end a stop at once.
const CUT_INTERRUPTS: usize = 2;

/// Records SIGTERM, SIGINT and SIGHUP, without an extra thread.
pub struct Signals {
    terminate: Arc<AtomicBool>,
    interrupt: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
    is_stop_requested: Cell<bool>,
    interrupts: Cell<usize>,
}

impl Signals {
    /// Registers the signal handlers.
    pub fn open() -> std::io::Result<Self> {
        let signals = Self {
            terminate: Arc::default(),
            interrupt: Arc::default(),
            reload: Arc::default(),
            is_stop_requested: Cell::new(false),
            interrupts: Cell::new(0),
        };
        flag::register(SIGTERM, Arc::clone(&signals.terminate))?;
        flag::register(SIGINT, Arc::clone(&signals.interrupt))?;
        flag::register(SIGHUP, Arc::clone(&signals.reload))?;
        Ok(signals)
    }

    /// Returns whether SIGHUP was received since the last call.
    pub fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }

    /// Returns whether SIGTERM or SIGINT was received.
    pub fn is_stop_requested(&self) -> bool {
        self.poll();
        self.is_stop_requested.get()
    }

    /// Returns whether SIGINT was received a second time. A repeated SIGTERM does not count:
    /// supervisors send it again to a process that is stopping.
    pub fn is_cut_requested(&self) -> bool {
        self.poll();
        self.interrupts.get() >= CUT_INTERRUPTS
    }

    /// Reads the flags. Repeated signals of one kind between two calls count as one.
    fn poll(&self) {
        if self.terminate.swap(false, Ordering::Relaxed) {
            self.is_stop_requested.set(true);
        }
        if self.interrupt.swap(false, Ordering::Relaxed) {
            self.is_stop_requested.set(true);
            self.interrupts.set(self.interrupts.get() + 1);
        }
    }
}
