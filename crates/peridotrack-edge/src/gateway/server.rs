//! The listener for clients.
//!
//! Reads the requests of each connection one at a time, and counts the open ones so that a stopping
//! gateway can wait for them.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use monoio::net::TcpStream;
use peridotrack_http::{listen, server};
use peridotrack_kernel::clock;

use super::{Shared, exchange};
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
    acceptor: RefCell<Option<Rc<acceptor::Acceptor>>>,
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
            acceptor: RefCell::default(),
        });
        let weak = Rc::downgrade(&server);
        let acceptor = acceptor::Acceptor::spawn(listener, move |stream, _| {
            if let Some(server) = weak.upgrade() {
                monoio::spawn(server.serve(stream));
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
    /// Serves the requests of one connection, each with the limits of the configuration that is
    /// active when its first byte arrives.
    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let mut connection = server::Connection::new(stream, self.options());
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
