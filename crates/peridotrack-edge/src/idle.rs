//! Connections of callers between two requests, and their end when the process stops.

use std::cell::Cell;

use peridotrack_http::server;

use crate::notify;

/// Whether idle connections are closed.
#[derive(Default)]
pub struct Closing {
    has_begun: Cell<bool>,
    begun: notify::Notify,
}

impl Closing {
    /// Closes every idle connection, now and from now on.
    pub fn begin(&self) {
        self.has_begun.set(true);
        self.begun.notify_all();
    }

    /// Returns whether idle connections are closed.
    pub fn has_begun(&self) -> bool {
        self.has_begun.get()
    }
}

/// Reads the next request; `None` if the connection ends, or is idle while connections close.
///
/// # Errors
///
/// Returns why the request cannot be read.
pub async fn next_request(
    connection: &mut server::Connection,
    closing: &Closing,
) -> Result<Option<server::Request>, server::Error> {
    if connection.is_idle() {
        if closing.has_begun() {
            return Ok(None);
        }
        let is_closing = monoio::select! {
            () = connection.readable() => false,
            () = closing.begun.notified() => true,
        };
        if is_closing {
            return Ok(None);
        }
    }
    connection.next().await
}
