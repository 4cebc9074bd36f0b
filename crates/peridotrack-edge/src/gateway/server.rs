//! The listener for clients.
//!
//! Reads the requests of each connection one at a time, and counts the open ones so that a stopping
//! gateway can wait for them.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
};

use local_sync::oneshot;
use monoio::net::TcpStream;
use peridotrack_capacity::connections::{self, Connections, Decision};
use peridotrack_http::{listen, server};
use peridotrack_kernel::clock;

use super::{Shared, exchange, options};
use crate::{acceptor, caller, counted::Counted, idle};

/// Period at which a drain polls whether requests are still open, in microseconds.
const DRAIN_POLL_US: u64 = 20 * clock::US_PER_MS;
/// Maximum wait for a client to accept 64 KiB of a response, in milliseconds.
const WRITE_TIMEOUT_MS: u64 = 10_000;

/// How a request arrived.
#[derive(Debug, Clone, Copy)]
pub(super) struct Arrival {
    /// When its first bytes were received, in monotonic microseconds.
    pub(super) began_us: u64,
    /// Whether its connection has carried another request before.
    pub(super) is_kept: bool,
}

/// The running listener for clients.
pub(super) struct Server {
    shared: Rc<Shared>,
    address: SocketAddr,
    closing: idle::Closing,
    /// Number of requests that are being received.
    receiving_requests: Rc<Cell<usize>>,
    /// Number of requests that are being served.
    open_requests: Rc<Cell<usize>>,
    connections: RefCell<Connections>,
    /// Close each open connection that has not carried a request.
    closers: RefCell<BTreeMap<connections::Id, oneshot::Sender<()>>>,
    /// Whether a connection was closed or refused for others since the last report.
    has_refused: Cell<bool>,
    acceptor: RefCell<Option<Rc<acceptor::Acceptor>>>,
}

/// An open connection, which leaves the count when it is dropped.
struct Open {
    server: Rc<Server>,
    id: connections::Id,
    has_request: Cell<bool>,
}

impl Open {
    /// Records that the connection has carried a complete request.
    fn received_request(&self) {
        if !self.has_request.replace(true) {
            let mut connections = self.server.connections.borrow_mut();
            connections.received_request(self.id);
            drop(connections);
            self.server.closers.borrow_mut().remove(&self.id);
        }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        let mut connections = self.server.connections.borrow_mut();
        connections.close(self.id, self.has_request.get());
        self.server.closers.borrow_mut().remove(&self.id);
    }
}

/// Starts, drains and stops the listener.
impl Server {
    /// Listens for clients and returns the running server.
    pub(super) fn bind(shared: &Rc<Shared>) -> std::io::Result<Rc<Self>> {
        let listener = listen::bind(shared.settings.client_address)?;
        let server = Rc::new(Self {
            shared: Rc::clone(shared),
            address: listener.local_addr()?,
            closing: idle::Closing::default(),
            receiving_requests: Rc::default(),
            open_requests: Rc::default(),
            connections: RefCell::new(Connections::new(options::connections(&shared.settings))),
            closers: RefCell::default(),
            has_refused: Cell::new(false),
            acceptor: RefCell::default(),
        });
        let weak = Rc::downgrade(&server);
        let acceptor = acceptor::Acceptor::spawn(listener, move |stream, _| {
            if let Some(server) = weak.upgrade() {
                server.admit(stream);
            }
        });
        *server.acceptor.borrow_mut() = Some(acceptor);
        Ok(server)
    }

    /// Returns the address that clients connect to.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests that are being served.
    pub(super) fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// Returns the number of open connections.
    pub(super) fn open_connections(&self) -> usize {
        self.connections.borrow().open_connections()
    }

    /// Returns whether a connection was closed or refused for others since the last call.
    pub(super) fn take_refused(&self) -> bool {
        self.has_refused.take()
    }

    /// Closes idle connections that have carried a request, and waits until no request is received
    /// or served, at most until `deadline_us` (monotonic microseconds).
    ///
    /// Returns the number of requests that are still open.
    pub(super) async fn drain(&self, deadline_us: u64) -> usize {
        self.closing.begin();
        let kernel = &self.shared.kernel;
        let is_busy = || self.receiving_requests.get() + self.open_requests.get() > 0;
        while is_busy() && kernel.now_us() < deadline_us {
            kernel.timer().sleep_us(DRAIN_POLL_US).await;
        }
        self.open_requests.get()
    }

    /// Closes all idle connections.
    pub(super) fn close_idle(&self) {
        self.closing.finish();
    }

    /// Stops accepting connections, after those that are established already.
    pub(super) fn stop(&self) {
        if let Some(acceptor) = self.acceptor.borrow().as_ref() {
            acceptor.finish();
        }
    }
}

/// Serves connections: one task each, one request at a time.
impl Server {
    /// Serves a connection, or closes it or another one if too many are open.
    fn admit(self: Rc<Self>, stream: TcpStream) {
        let now_us = self.shared.kernel.now_us();
        let decision = self.connections.borrow_mut().open(now_us);
        let Decision::Open { id, closes } = decision else {
            self.has_refused.set(true);
            return;
        };
        if let Some(closed) = closes {
            self.has_refused.set(true);
            if let Some(closer) = self.closers.borrow_mut().remove(&closed) {
                let _ = closer.send(());
            }
        }
        let (closer, closed) = oneshot::channel();
        self.closers.borrow_mut().insert(id, closer);
        let open = Open {
            server: Rc::clone(&self),
            id,
            has_request: Cell::new(false),
        };
        monoio::spawn(async move {
            // The future of `closed` also completes when the sender is dropped, after the first
            // request; only a sent value closes the connection.
            let is_closed = async {
                if closed.await.is_err() {
                    std::future::pending::<()>().await;
                }
            };
            monoio::select! {
                biased;
                () = is_closed => {}
                () = self.serve(stream, &open) => {}
            }
        });
    }

    /// Serves the requests of one connection, each with the limits of the configuration that is
    /// active when its first byte arrives.
    async fn serve(&self, stream: TcpStream, open_connection: &Open) {
        let mut connection = server::Connection::new(stream, self.options());
        connection.set_memory(self.shared.memory.clone());
        let mut is_kept = false;
        let idle_ms = || self.options().idle_timeout_ms;
        while idle::wait_for_request(&connection, &self.closing, is_kept, idle_ms).await {
            connection.set_options(self.options());
            let arrival = Arrival {
                began_us: self.shared.kernel.now_us(),
                is_kept,
            };
            let receiving = Counted::new(&self.receiving_requests);
            let request = match connection
                .next_until(self.shared.stopping.receive_due())
                .await
            {
                Ok(Some(request)) => request,
                Ok(None) => return,
                Err(error) => {
                    if let Some(response) = caller::response::for_read_error(&error) {
                        let _ = connection.respond(response).await;
                    }
                    return;
                }
            };
            drop(receiving);
            open_connection.received_request();
            let open = Counted::new(&self.open_requests);
            let result = exchange::serve(&self.shared, &mut connection, request, arrival).await;
            drop(open);
            if result.is_err() || !connection.keep_alive() {
                return;
            }
            is_kept = true;
        }
    }
}

/// Returns the limits of connections.
impl Server {
    fn options(&self) -> server::Options {
        let config = self.shared.site.get();
        let limits = config.map(|config| config.site.limits).unwrap_or_default();
        server::Options {
            head_bytes: limits.head_bytes,
            body_bytes: limits.body_bytes,
            idle_timeout_ms: limits.idle_timeout_ms,
            head_timeout_ms: limits.head_timeout_ms,
            write_timeout_ms: WRITE_TIMEOUT_MS,
            ..server::Options::default()
        }
    }
}
