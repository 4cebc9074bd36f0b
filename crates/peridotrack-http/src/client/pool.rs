//! Idle connections kept for reuse.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;

use crate::client::{Connection, Error, Options};

/// Longest time that a connection waits for reuse. Servers should keep theirs longer, so
/// that a request rarely meets a connection that is being closed.
const IDLE: Duration = Duration::from_secs(4);

struct Idle {
    connection: Connection,
    since: Instant,
}

/// Idle connections by server address, bounded in number and age.
pub struct Pool {
    options: Options,
    idle_per_peer: usize,
    idle: RefCell<BTreeMap<SocketAddr, VecDeque<Idle>>>,
}

impl Pool {
    /// Makes an empty pool that keeps at most `idle_per_peer` connections to each server.
    pub fn new(options: Options, idle_per_peer: usize) -> Self {
        Self {
            options,
            idle_per_peer,
            idle: RefCell::default(),
        }
    }

    /// Takes the connection used last, or opens one.
    ///
    /// One that is too old, or that the server closed as far as the event loop has seen, is
    /// dropped. A close still under way is not seen: the request then fails with
    /// `bytes_written`.
    pub async fn take(&self, address: SocketAddr) -> Result<Connection, Error> {
        while let Some(idle) = self.pop(address) {
            if idle.since.elapsed() < IDLE && idle.connection.is_idle() {
                return Ok(idle.connection);
            }
        }
        Connection::connect(address, self.options).await
    }

    /// Keeps a connection for reuse; one in doubt is dropped.
    pub fn put(&self, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections.retain(|idle| idle.since.elapsed() < IDLE);
            !connections.is_empty()
        });
        if !connection.is_reusable() || self.idle_per_peer == 0 {
            return;
        }
        let connections = idle.entry(connection.peer()).or_default();
        if connections.len() >= self.idle_per_peer {
            connections.pop_front();
        }
        connections.push_back(Idle {
            connection,
            since: Instant::now(),
        });
    }

    /// Closes every idle connection to one server.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// One whole exchange with a bounded answer, never repeated.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        request: http::Request<Bytes>,
    ) -> Result<http::Response<Bytes>, Error> {
        let mut connection = self.take(address).await?;
        let head = connection.send(request).await?;
        let body = connection.read_body().await?;
        self.put(connection);
        Ok(http::Response::from_parts(head, body))
    }

    /// Count of idle connections to one server.
    pub fn idle_connections(&self, address: SocketAddr) -> usize {
        self.idle.borrow().get(&address).map_or(0, VecDeque::len)
    }

    fn pop(&self, address: SocketAddr) -> Option<Idle> {
        self.idle.borrow_mut().get_mut(&address)?.pop_back()
    }
}
