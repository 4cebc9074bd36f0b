//! Reads the next request of a connection, and closes idle connections at shutdown.
//!
//! A server has one [`Closing`] for all its connections and calls [`next_request`] for each
//! request.

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

/// Reads the next request; `None` if the connection ends, or if it is idle after `closing` began.
///
/// # Errors
///
/// Returns an error if the request cannot be read; [`crate::caller::response::for_read_error`]
/// returns the response to it.
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
