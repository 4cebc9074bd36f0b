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
use crate::{acceptor, caller, idle};

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
    open_requests: Cell<usize>,
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
            open_requests: Cell::new(0),
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

    /// Closes idle connections and waits until no request is open, at most until `deadline_us`
    /// (monotonic microseconds).
    ///
    /// Returns the number of requests that are still open.
    pub(super) async fn drain(&self, deadline_us: u64) -> usize {
        self.closing.begin();
        let kernel = &self.shared.kernel;
        while self.open_requests.get() > 0 && kernel.now_us() < deadline_us {
            kernel.timer().sleep_us(DRAIN_POLL_US).await;
        }
        self.open_requests.get()
    }

    /// Stops accepting connections.
    pub(super) fn stop(&self) {
        if let Some(acceptor) = self.acceptor.borrow().as_ref() {
            acceptor.stop();
        }
    }
}

/// Serves connections: one task each, one request at a time.
impl Server {
    /// Serves the requests of one connection, with the limits of the configuration that was active
    /// when it was accepted.
    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let limits = self
            .shared
            .site
            .get()
            .map(|current| current.site.limits)
            .unwrap_or_default();
        let options = server::Options {
            head_bytes: limits.head_bytes,
            body_bytes: limits.body_bytes,
            idle_timeout_ms: limits.idle_timeout_ms,
            head_timeout_ms: limits.head_timeout_ms,
            write_timeout_ms: WRITE_TIMEOUT_MS,
            ..server::Options::default()
        };
        let mut connection = server::Connection::new(stream, options);
        let mut is_kept = false;
        loop {
            if !idle::wait_for_request(&connection, &self.closing).await {
                return;
            }
            let arrival = Arrival {
                began_us: self.shared.kernel.now_us(),
                is_kept,
            };
            let request = match connection.next().await {
                Ok(Some(request)) => request,
                Ok(None) => return,
                Err(error) => {
                    if let Some(response) = caller::response::for_read_error(&error) {
                        let _ = connection.respond(response).await;
                    }
                    return;
                }
            };
            self.open_requests.set(self.open_requests.get() + 1);
            let result = exchange::serve(&self.shared, &mut connection, request, arrival).await;
            self.open_requests.set(self.open_requests.get() - 1);
            if result.is_err() || !connection.keep_alive() {
                return;
            }
            is_kept = true;
        }
    }
}
