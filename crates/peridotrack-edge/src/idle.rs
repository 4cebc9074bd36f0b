//! Waits for the next request of a connection, and closes idle connections at shutdown.
//!
//! A server has one [`Closing`] for all its connections and calls [`wait_for_request`] before it
//! reads each request.

use std::cell::Cell;

use peridotrack_http::server;

use crate::notify;

/// Signal to close idle connections.
#[derive(Default)]
pub struct Closing {
    has_begun: Cell<bool>,
    begun: notify::Notify,
}

impl Closing {
    /// Closes every connection that is idle, and from now on every one that becomes idle.
    pub fn begin(&self) {
        self.has_begun.set(true);
        self.begun.notify_all();
    }

    /// Returns whether [`Closing::begin`] was called.
    pub fn has_begun(&self) -> bool {
        self.has_begun.get()
    }
}

/// Waits for the first bytes of the next request. Returns `false` if the connection is idle and
/// `closing` has begun, so that it is to be closed.
///
/// Also returns when the connection ends or its idle timeout expires, which the next read reports.
pub async fn wait_for_request(connection: &server::Connection, closing: &Closing) -> bool {
    if !connection.is_idle() {
        return true;
    }
    if closing.has_begun() {
        return false;
    }
    monoio::select! {
        () = connection.readable() => true,
        () = closing.begun.notified() => false,
    }
}
