//! A pool of idle client connections.
//!
//! The pool has no task of its own: connections past their idle time are dropped when another one
//! is returned or taken.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use monoio::net::TcpStream;

use crate::{
    client::{Connection, Error, Options},
    memory::Memory,
};

/// Maximum idle time of a pooled connection. The idle timeout of servers should be longer, so
/// that a request is rarely sent on a connection that the server is closing.
const MAX_IDLE: Duration = Duration::from_secs(4);

struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// Idle connections by server address, limited in number and idle time.
pub struct Pool {
    options: Options,
    max_idle_per_server: usize,
    memory: Option<Memory>,
    idle: RefCell<BTreeMap<SocketAddr, VecDeque<IdleConnection>>>,
}

impl Pool {
    /// Creates an empty pool that keeps at most `max_idle_per_server` connections to each server.
    pub fn new(options: Options, max_idle_per_server: usize) -> Self {
        Self {
            options,
            max_idle_per_server,
            memory: None,
            idle: RefCell::default(),
        }
    }

    /// Makes responses that are read whole count towards `memory`.
    #[must_use]
    pub fn with_memory(mut self, memory: Memory) -> Self {
        self.memory = Some(memory);
        self
    }

    /// Takes the most recently used idle connection, or opens one.
    ///
    /// Connections past the idle time, or on which a close or data has arrived, are dropped. A close
    /// that has not arrived yet is not detected: the request then fails with [`Error::bytes_written`]
    /// set.
    ///
    /// # Errors
    ///
    /// Fails if there is no usable idle connection and none can be opened.
    pub async fn take(&self, address: SocketAddr) -> Result<Connection, Error> {
        match self.take_idle(address) {
            Some(connection) => Ok(connection),
            None => self.connect(address).await,
        }
    }

    /// Takes the most recently used idle connection, if there is a usable one; see [`Pool::take`].
    pub fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        while let Some(idle) = self.pop(address) {
            if idle.since.elapsed() < MAX_IDLE && idle.connection.is_idle() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Opens a connection, also if there is an idle one.
    ///
    /// # Errors
    ///
    /// Fails if none can be opened.
    pub async fn connect(&self, address: SocketAddr) -> Result<Connection, Error> {
        self.connect_with(address, self.options).await
    }

    /// Opens a connection with other options than those of the pool.
    ///
    /// # Errors
    ///
    /// Fails if none can be opened.
    pub async fn connect_with(
        &self,
        address: SocketAddr,
        options: Options,
    ) -> Result<Connection, Error> {
        let connection = Connection::connect(address, options).await?;
        Ok(self.with_pool_memory(connection))
    }

    /// Returns a connection to `server` over an established stream that leads there through another
    /// process, with the options and the memory of the pool.
    ///
    /// A close-delimited response is not accepted: the other process also closes the stream when it
    /// ends itself, so the end of the stream does not prove the end of the response.
    pub fn adopt(&self, stream: TcpStream, server: SocketAddr) -> Connection {
        let options = Options {
            accept_close_delimited: false,
            ..self.options
        };
        let mut connection = Connection::over(stream, server, options);
        connection.set_tunnel();
        self.with_pool_memory(connection)
    }

    /// Returns a connection to the pool, or drops it if it is not reusable.
    ///
    /// If the pool is full for the server, the connection idle for longest is dropped.
    pub fn put(&self, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections.retain(|idle| idle.since.elapsed() < MAX_IDLE);
            !connections.is_empty()
        });
        if !connection.is_reusable() || self.max_idle_per_server == 0 {
            return;
        }
        let connections = idle.entry(connection.peer()).or_default();
        if connections.len() >= self.max_idle_per_server {
            connections.pop_front();
        }
        connections.push_back(IdleConnection {
            connection,
            since: Instant::now(),
        });
    }

    /// Closes all idle connections to one server.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Performs one exchange and returns the response with its complete body. Never retries.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened or the exchange fails; its connection is then dropped.
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

    /// Returns the number of idle connections to one server, those past their idle time included.
    pub fn idle_connections(&self, address: SocketAddr) -> usize {
        self.idle.borrow().get(&address).map_or(0, VecDeque::len)
    }

    fn with_pool_memory(&self, mut connection: Connection) -> Connection {
        if let Some(memory) = &self.memory {
            connection.set_memory(memory.clone());
        }
        connection
    }

    fn pop(&self, address: SocketAddr) -> Option<IdleConnection> {
        self.idle.borrow_mut().get_mut(&address)?.pop_back()
    }
}
