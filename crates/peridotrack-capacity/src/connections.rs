//! Bounds the open client connections of a process.
//!
//! When a connection arrives and the bound is reached, one that has made no progress is closed; if
//! there is none, the new one is.

use std::collections::BTreeMap;

/// Identifies an open connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Id(u64);

/// Bound and time of [`Connections`].
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Time in which a new connection may send its first request before it can be closed, in
    /// microseconds.
    pub min_age_us: u64,
}

/// What happens to a connection that has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It stays open; the other connection, if any, is closed.
    Open {
        /// The connection that has arrived.
        id: Id,
        /// The connection to close.
        closes: Option<Id>,
    },
    /// It is closed.
    Refused,
}

/// The open connections.
#[derive(Debug)]
pub struct Connections {
    options: Options,
    /// When each connection that has not carried a request was opened, in microseconds.
    without_request: BTreeMap<Id, u64>,
    with_request: usize,
    next_id: u64,
}

impl Connections {
    /// Creates the state without connections.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            without_request: BTreeMap::new(),
            with_request: 0,
            next_id: 0,
        }
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.without_request.len() + self.with_request
    }

    /// Decides about a connection that has arrived.
    pub fn open(&mut self, now_us: u64) -> Decision {
        let mut closes = None;
        if self.open_connections() >= self.options.max_connections {
            let oldest = self.without_request.first_key_value();
            let Some((&oldest, _)) = oldest.filter(|(_, opened_us)| {
                now_us.saturating_sub(**opened_us) >= self.options.min_age_us
            }) else {
                return Decision::Refused;
            };
            self.without_request.remove(&oldest);
            closes = Some(oldest);
        }
        let id = Id(self.next_id);
        self.next_id += 1;
        self.without_request.insert(id, now_us);
        Decision::Open { id, closes }
    }

    /// Records that a connection has carried a complete request. It is not closed any more, since a
    /// client may reuse it.
    pub fn received_request(&mut self, id: Id) {
        if self.without_request.remove(&id).is_some() {
            self.with_request += 1;
        }
    }

    /// Removes a connection that has ended; `has_request` states whether it carried a request.
    pub fn close(&mut self, id: Id, has_request: bool) {
        match has_request {
            true => self.with_request -= 1,
            false => drop(self.without_request.remove(&id)),
        }
    }
}
