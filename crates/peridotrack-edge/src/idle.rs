//! Waits for the next request of a connection, and closes idle connections at shutdown.
//!
//! A server has one [`Closing`] for all its connections and calls [`wait_for_request`] before it
//! reads each request.

use std::{cell::Cell, time::Duration};

use monoio::time;
use peridotrack_http::server;

use crate::notify;

/// Time for which an idle connection is kept, in limits of its idle time: a request that a client
/// sends within the limit may arrive later.
const IDLE_LIMITS: u64 = 2;

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
/// carried one. Returns `false` if it is to be closed: because of `closing`, or because it has been
/// idle for twice the limit in milliseconds, the larger one of those that
/// `idle_limit_ms` returns at the begin and when it expires.
///
/// Also returns when the connection ends, which the next read reports.
pub async fn wait_for_request(
    connection: &server::Connection,
    closing: &Closing,
    is_kept: bool,
    idle_limit_ms: impl Fn() -> u64,
) -> bool {
    let begin = time::Instant::now();
    let limit_ms = idle_limit_ms();
    while connection.is_idle() {
        let timeout_ms = IDLE_LIMITS * limit_ms.max(idle_limit_ms());
        let left = Duration::from_millis(timeout_ms).saturating_sub(begin.elapsed());
        if closing.closes(is_kept) || left.is_zero() {
            return false;
        }
        let is_readable = monoio::select! {
            biased;
            () = connection.readable() => true,
            () = closing.changed.notified() => false,
            () = time::sleep(left) => false,
        };
        if is_readable {
            break;
        }
    }
    true
}
