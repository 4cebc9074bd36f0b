//! Waits for the next request of a connection, and closes idle connections at shutdown.
//!
//! A server has one [`Closing`] for all its connections and calls [`wait_for_request`] before it
//! reads each request.

use std::cell::Cell;

use peridotrack_http::server;

use crate::notify;

/// Which connections are closed while they wait for a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Phase {
    /// None.
    #[default]
    Open,
    /// Those that have carried a request. A new connection gets a response to its first one.
    Kept,
    /// All.
    All,
}

/// Signal to close idle connections.
#[derive(Default)]
pub struct Closing {
    phase: Cell<Phase>,
    changed: notify::Notify,
}

impl Closing {
    /// Closes every connection that has carried a request and is idle, and from now on every one
    /// that becomes idle.
    pub fn begin(&self) {
        if self.phase.get() == Phase::Open {
            self.phase.set(Phase::Kept);
            self.changed.notify_all();
        }
    }

    /// Closes every idle connection, also those without a request yet.
    pub fn finish(&self) {
        self.phase.set(Phase::All);
        self.changed.notify_all();
    }

    fn closes(&self, is_kept: bool) -> bool {
        match self.phase.get() {
            Phase::Open => false,
            Phase::Kept => is_kept,
            Phase::All => true,
        }
    }
}

/// Waits for the first bytes of the next request; `is_kept` states whether the connection has
/// carried one. Returns `false` if it is idle and to be closed.
///
/// Also returns when the connection ends or its idle timeout expires, which the next read reports.
pub async fn wait_for_request(
    connection: &server::Connection,
    closing: &Closing,
    is_kept: bool,
) -> bool {
    while connection.is_idle() {
        if closing.closes(is_kept) {
            return false;
        }
        let is_readable = monoio::select! {
            () = connection.readable() => true,
            () = closing.changed.notified() => false,
        };
        if is_readable {
            break;
        }
    }
    true
}
