//! TCP relay on loopback that can stall, delay or cut the link between two processes.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};

use monoio::{
    io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, Splitable},
    net::{TcpListener, TcpStream},
};
use peridotrack_http::listen;

use crate::notify::Notify;

/// Maximum number of bytes forwarded in one piece.
const BUFFER_BYTES: usize = 16 * 1024;

/// Latency that [`Link::Delayed`] adds to each forwarded piece.
pub const DELAY: Duration = Duration::from_millis(40);

/// Direction in which bytes are forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    ToClient,
}

/// State of the link, for all connections of a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Forwards everything.
    Open,
    /// Forwards nothing and closes nothing, as in a network partition. Data waits until the link is
    /// open again, and new connections are accepted and wait too.
    Stalled,
    /// Forwards to the target, but nothing back, as in an asymmetric partition.
    ResponsesStalled,
    /// Forwards everything, each piece after [`DELAY`].
    Delayed,
    /// Closes all connections, and new ones as soon as they are accepted.
    Cut,
}

/// State shared by a relay and the tasks of its connections.
struct Shared {
    target: Cell<SocketAddr>,
    link: Cell<Link>,
    changed: Notify,
    /// Records when the connections that were open then fall silent.
    silenced: Notify,
    forwarded_bytes: Cell<u64>,
    is_refusing: Notify,
    stop: Notify,
}

/// A running relay; dropping it closes its listener and connections.
pub struct Relay {
    address: SocketAddr,
    shared: Rc<Shared>,
}

/// Starts a relay to `target` on the current monoio runtime, with an open link. Fails if no
/// loopback port can be bound.
pub fn spawn(target: SocketAddr) -> io::Result<Relay> {
    spawn_at(SocketAddr::from(([127, 0, 0, 1], 0)), target)
}

/// Starts a relay to `target` at an address, which may be that of one that refuses connections.
/// Fails if the address cannot be bound.
pub fn spawn_at(address: SocketAddr, target: SocketAddr) -> io::Result<Relay> {
    let listener = listen::bind(address)?;
    let address = listener.local_addr()?;
    let shared = Rc::new(Shared {
        target: Cell::new(target),
        link: Cell::new(Link::Open),
        changed: Notify::default(),
        silenced: Notify::default(),
        forwarded_bytes: Cell::new(0),
        is_refusing: Notify::default(),
        stop: Notify::default(),
    });
    monoio::spawn(accept(listener, shared.clone()));
    Ok(Relay { address, shared })
}

impl Relay {
    /// Returns the address to connect to instead of the target's.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the state of the link, for open connections too.
    pub fn set(&self, link: Link) {
        self.shared.link.set(link);
        self.shared.changed.notify();
    }

    /// Connects later connections to a different target, as after a restart at a new address.
    pub fn retarget(&self, target: SocketAddr) {
        self.shared.target.set(target);
    }

    /// Forwards nothing more on the connections that are open, without closing them. New ones work.
    pub fn silence_connections(&self) {
        self.shared.silenced.notify();
    }

    /// Closes the listener, so that connections are refused from now on. Open ones end with the
    /// target's, after what it sent was forwarded.
    pub fn refuse_connections(&self) {
        self.shared.is_refusing.notify();
    }

    /// Returns the number of bytes forwarded, in both directions together.
    pub fn forwarded_bytes(&self) -> u64 {
        self.shared.forwarded_bytes.get()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.stop.notify();
    }
}

impl Shared {
    /// Waits until the link forwards in `direction`; returns `false` once the link is cut.
    async fn wait_until_open(&self, direction: Direction) -> bool {
        loop {
            let seen = self.changed.generation();
            match (self.link.get(), direction) {
                (Link::Open, _) | (Link::ResponsesStalled, Direction::ToTarget) => return true,
                (Link::Delayed, _) => {
                    monoio::time::sleep(DELAY).await;
                    return true;
                }
                (Link::Cut, _) => return false,
                (Link::Stalled, _) | (Link::ResponsesStalled, Direction::ToClient) => {
                    self.changed.changed(seen).await;
                }
            }
        }
    }

    /// Resolves once the link is cut.
    async fn wait_for_cut(&self) {
        loop {
            let seen = self.changed.generation();
            if self.link.get() == Link::Cut {
                return;
            }
            self.changed.changed(seen).await;
        }
    }
}

async fn accept(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        let accepted = monoio::select! {
            accepted = listener.accept() => accepted,
            () = shared.is_refusing.changed(0) => return,
            () = shared.stop.changed(0) => return,
        };
        if let Ok((stream, _)) = accepted {
            let shared = shared.clone();
            monoio::spawn(async move {
                monoio::select! {
                    () = relay_connection(stream, &shared) => {}
                    () = shared.wait_for_cut() => {}
                    () = shared.stop.changed(0) => {}
                }
            });
        }
    }
}

async fn relay_connection(client: TcpStream, shared: &Shared) {
    if !shared.wait_until_open(Direction::ToTarget).await {
        return;
    }
    let Ok(target) = TcpStream::connect_addr(shared.target.get()).await else {
        return;
    };
    let _ = (client.set_nodelay(true), target.set_nodelay(true));
    let opened = shared.silenced.generation();
    let (client_read, client_write) = client.into_split();
    let (target_read, target_write) = target.into_split();
    // Both directions run to their end, since one side may shut down only its sending half.
    monoio::join!(
        forward(
            client_read,
            target_write,
            shared,
            (Direction::ToTarget, opened)
        ),
        forward(
            target_read,
            client_write,
            shared,
            (Direction::ToClient, opened)
        ),
    );
}

async fn forward(
    mut from: impl AsyncReadRent,
    mut to: impl AsyncWriteRent,
    shared: &Shared,
    (direction, opened): (Direction, u64),
) {
    let is_silent = || shared.silenced.generation() != opened;
    let mut buffer = Vec::with_capacity(BUFFER_BYTES);
    loop {
        let (outcome, read) = from.read(buffer).await;
        let Ok(count) = outcome else { break };
        if count == 0 || !shared.wait_until_open(direction).await {
            break;
        }
        if is_silent() {
            buffer = read;
            buffer.clear();
            continue;
        }
        let (outcome, written) = to.write_all(read).await;
        if outcome.is_err() {
            break;
        }
        shared
            .forwarded_bytes
            .set(shared.forwarded_bytes.get() + count as u64);
        buffer = written;
        buffer.clear();
    }
    if is_silent() {
        return std::future::pending().await;
    }
    if shared.wait_until_open(direction).await {
        let _ = to.shutdown().await;
    }
}
