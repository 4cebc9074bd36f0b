//! Idle connections of watches that have ended, for the watches that follow.
//!
//! A connection may fall silent without a reset, so that only the timeout of a watch shows it. Those
//! that have been idle for long are therefore closed instead of used.

use std::cell::RefCell;

use peridotrack_http::client::Connection;
use peridotrack_kernel::clock;

/// Time after which an idle connection is not used again, in microseconds: longer than the pauses
/// between the watches of one kind.
const MAX_IDLE_US: u64 = clock::US_PER_S;

/// Idle connections, each with the monotonic time in microseconds at which it became idle.
#[derive(Default)]
pub(super) struct Connections(RefCell<Vec<(Connection, u64)>>);

impl Connections {
    /// Takes a connection that has been used recently, and closes those that have not.
    pub(super) fn take(&self, now_us: u64) -> Option<Connection> {
        let mut connections = self.0.borrow_mut();
        connections.retain(|(_, since_us)| now_us.saturating_sub(*since_us) < MAX_IDLE_US);
        let (connection, _) = connections.pop()?;
        connection.is_idle().then_some(connection)
    }

    /// Adds the connection of a watch that has ended, unless it cannot be used again.
    pub(super) fn put(&self, now_us: u64, connection: Connection) {
        if connection.is_reusable() {
            self.0.borrow_mut().push((connection, now_us));
        }
    }

    /// Closes all connections.
    pub(super) fn close(&self) {
        self.0.borrow_mut().clear();
    }
}
