//! Serves tunnels: connections of other routers to backend servers that lead through this one.
//!
//! A router that is partitioned from the backend servers asks by name for a connection to one. The
//! address is that of the directory of this router, so that a peer cannot have it connect to any
//! other.

use std::{cell::Cell, fmt, io, net::SocketAddr, rc::Rc, time::Duration};

use monoio::{io::AsyncWriteRentExt, net::TcpStream};
use peridotrack_http::forward;
use peridotrack_kernel::{Kernel, clock, event};
use peridotrack_types::name;

use super::{Shared, options, reach};
use crate::{
    metric,
    notify::Notify,
    peer::{self, tunnel::Status},
};

/// Minimum time between two events about tunnels that were not served, in microseconds.
const EVENT_INTERVAL_US: u64 = clock::US_PER_S;

/// Period at which a drain polls whether tunnels are still open, in microseconds.
const DRAIN_POLL_US: u64 = 20 * clock::US_PER_MS;

/// The tunnels that this router serves.
pub(super) struct Tunnels {
    open: Rc<Count>,
    cut: Notify,
    served: metrics::Counter,
    /// When the last event about a tunnel that was not served was recorded, in monotonic
    /// microseconds.
    last_event_us: Cell<Option<u64>>,
    /// Number of tunnels that were not served since that event.
    unreported: Cell<u64>,
}

/// Number of open tunnels, with its gauge.
struct Count {
    tunnels: Cell<usize>,
    gauge: metrics::Gauge,
}

impl Count {
    fn set(&self, tunnels: usize) {
        self.tunnels.set(tunnels);
        self.gauge.set(tunnels as f64);
    }
}

/// An open tunnel, which leaves the count when it is dropped.
struct Open(Rc<Count>);

impl Open {
    fn new(count: &Rc<Count>) -> Self {
        count.set(count.tunnels.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.tunnels.get() - 1);
    }
}

/// Step at which a tunnel was not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Decline(Reason),
    Connect,
}

/// Reason why a tunnel was declined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reason {
    Stopping,
    Partitioned,
    TooMany,
    UnknownServer,
}

/// A tunnel that is not served.
struct Failure {
    status: Status,
    step: Step,
    detail: String,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Decline(_) => "decline",
            Self::Connect => "connect",
        })
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Stopping => "the router is stopping",
            Self::Partitioned => "the router is partitioned from the backend servers",
            Self::TooMany => "too many tunnels are open",
            Self::UnknownServer => "the backend server is not in the directory",
        })
    }
}

impl From<Reason> for Failure {
    fn from(reason: Reason) -> Self {
        Self {
            status: Status::Declined,
            step: Step::Decline(reason),
            detail: reason.to_string(),
        }
    }
}

impl Tunnels {
    pub(super) fn new(kernel: &Kernel) -> Self {
        Self {
            open: Rc::new(Count {
                tunnels: Cell::new(0),
                gauge: kernel.meter().gauge(metric::OPEN_TUNNELS),
            }),
            cut: Notify::default(),
            served: kernel.meter().counter(metric::SERVED_TUNNELS),
            last_event_us: Cell::new(None),
            unreported: Cell::new(0),
        }
    }

    /// Returns the number of open tunnels.
    pub(super) fn open(&self) -> usize {
        self.open.tunnels.get()
    }

    /// Waits until no tunnel is open, at most until `deadline_us` (monotonic microseconds).
    pub(super) async fn drain(&self, kernel: &Kernel, deadline_us: u64) {
        while self.open() > 0 && kernel.now_us() < deadline_us {
            kernel.timer().sleep_us(DRAIN_POLL_US).await;
        }
    }

    /// Resets all open tunnels.
    pub(super) fn cut(&self) {
        self.cut.notify_all();
    }

    /// Records a tunnel that was not served, at a bounded rate.
    fn note(
        &self,
        kernel: &Kernel,
        peer: SocketAddr,
        server: &name::BackendServer,
        failure: &Failure,
    ) {
        let now_us = kernel.now_us();
        let is_due = |last_us| now_us >= last_us + EVENT_INTERVAL_US;
        if !self.last_event_us.get().is_none_or(is_due) {
            self.unreported.set(self.unreported.get() + 1);
            return;
        }
        self.last_event_us.set(Some(now_us));
        let event = event::Event::new(event::Kind::TunnelFailed)
            .with("peer", peer.to_string())
            .with("backend_server", server.as_str())
            .with("step", failure.step.to_string())
            .with("error", failure.detail.as_str())
            .with("unreported", self.unreported.take());
        kernel.note(event);
    }
}

/// Serves the tunnels that other routers request.
pub(super) fn subscribe(shared: &Rc<Shared>) {
    let weak = Rc::downgrade(shared);
    shared
        .link
        .subscribe_tunnels(move |sender, server, stream| {
            if let Some(shared) = weak.upgrade() {
                monoio::spawn(async move { serve(&shared, sender, &server, stream).await });
            }
        });
}

async fn serve(
    shared: &Rc<Shared>,
    sender: peer::Sender,
    server: &name::BackendServer,
    mut origin: TcpStream,
) {
    let tunnels = &shared.tunnels;
    let opened = open(shared, server).await;
    let status = match &opened {
        Ok(_) => Status::Connected,
        Err(failure) => {
            tunnels.note(&shared.kernel, sender.address, server, failure);
            failure.status
        }
    };
    let answered = origin.write_all(vec![status.encode()]).await.0;
    let (Ok((backend, open)), Ok(_)) = (opened, answered) else {
        return;
    };
    tunnels.served.increment(1);
    monoio::select! {
        _ = forward::forward(origin, backend, options::tunnel()) => {}
        () = tunnels.cut.notified() => {}
    }
    drop(open);
}

/// Connects to a backend server, unless the tunnel is declined.
async fn open(
    shared: &Rc<Shared>,
    server: &name::BackendServer,
) -> Result<(TcpStream, Open), Failure> {
    let tunnels = &shared.tunnels;
    if shared.stopping.has_begun() {
        return Err(Reason::Stopping.into());
    }
    if reach::is_partitioned(shared, server) {
        return Err(Reason::Partitioned.into());
    }
    if tunnels.open() >= options::max_tunnels(&shared.settings) {
        return Err(Reason::TooMany.into());
    }
    let Some(address) = shared.directory.address(server) else {
        return Err(Reason::UnknownServer.into());
    };
    let open = Open::new(&tunnels.open);
    let timeout = Duration::from_millis(options::backend().connect_timeout_ms);
    let connecting = monoio::time::timeout(timeout, TcpStream::connect_addr(address));
    let began_us = shared.kernel.now_us();
    let connected = connecting
        .await
        .unwrap_or(Err(io::ErrorKind::TimedOut.into()));
    // A router that is partitioned without knowing it must not take its own failure for the server's.
    let is_connected = connected.is_ok();
    if reach::is_partitioned_after(shared, server, began_us, is_connected).await {
        return Err(Reason::Partitioned.into());
    }
    match connected {
        Ok(stream) => Ok((stream, open)),
        Err(error) => Err(Failure {
            status: match error.kind() {
                io::ErrorKind::ConnectionRefused => Status::Refused,
                _ => Status::Unreachable,
            },
            step: Step::Connect,
            detail: error.to_string(),
        }),
    }
}
