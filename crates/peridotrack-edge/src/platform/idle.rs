//! Idle connections to the store, for the calls that follow.
//!
//! HTTP has nothing that ties a response to its request but their order, and the store's responses do
//! not name the kind of their objects. One response too many would make each later one that of the
//! call before. A connection therefore serves calls of one kind only, so that what the response states
//! can be compared with its call.
//!
//! A connection may fall silent without a reset, so that only the timeout of a call shows it. Those
//! that have been idle for long are therefore closed instead of used.

use std::cell::RefCell;

use peridotrack_http::client;

/// Maximum number of idle connections; the one idle for longest is closed.
const MAX_CONNECTIONS: usize = 16;

/// Calls that may use the same connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Lane {
    /// Name of the calls, such as `write`.
    pub(super) step: &'static str,
    /// Kind of the objects.
    pub(super) kind: String,
}

struct Idle {
    lane: Lane,
    connection: client::Connection,
    /// Monotonic time at which the connection became idle, in microseconds.
    since_us: u64,
}

/// Idle connections, those used most recently last.
pub(super) struct Connections {
    max_idle_us: u64,
    idle: RefCell<Vec<Idle>>,
}

impl Connections {
    /// Keeps connections for `max_idle_us` microseconds.
    pub(super) fn new(max_idle_us: u64) -> Self {
        Self {
            max_idle_us,
            idle: RefCell::default(),
        }
    }

    /// Takes the connection of a lane that was used most recently, and closes those that have been
    /// idle for too long or on which anything has arrived.
    pub(super) fn take(&self, now_us: u64, lane: &Lane) -> Option<client::Connection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|idle| now_us.saturating_sub(idle.since_us) < self.max_idle_us);
        while let Some(index) = idle.iter().rposition(|idle| idle.lane == *lane) {
            let connection = idle.remove(index).connection;
            if connection.is_idle() {
                return Some(connection);
            }
        }
        None
    }

    /// Adds the connection of a call that has ended, unless it cannot be used again.
    pub(super) fn put(&self, now_us: u64, lane: Lane, connection: client::Connection) {
        if !connection.is_reusable() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= MAX_CONNECTIONS {
            idle.remove(0);
        }
        idle.push(Idle {
            lane,
            connection,
            since_us: now_us,
        });
    }

    /// Closes all connections.
    pub(super) fn close(&self) {
        self.idle.borrow_mut().clear();
    }
}
