//! A TCP relay on loopback whose link can be held or cut, to part two processes.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};

use monoio::{
    io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, Splitable},
    net::{TcpListener, TcpStream},
};
use peridotrack_http::listen;

use crate::notify::Notify;

/// Bytes carried at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// Time by which a delayed link is late with each piece.
pub const DELAY: Duration = Duration::from_millis(40);

/// Direction of what is carried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    ToClient,
}

/// What the link does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Carries everything.
    Open,
    /// Carries nothing and tells nobody: what is sent waits, as when packets are lost. New
    /// connections are accepted and wait too.
    Stalled,
    /// Carries what goes to the target and nothing back, as when packets are lost one way.
    ResponsesStalled,
    /// Carries everything, each piece after [`DELAY`].
    Delayed,
    /// Closes every connection, and new ones at once.
    Cut,
}

struct Shared {
    target: Cell<SocketAddr>,
    link: Cell<Link>,
    changed: Notify,
    forwarded_bytes: Cell<u64>,
    stop: Notify,
}

/// A running relay; dropping it closes its listener and connections.
pub struct Relay {
    address: SocketAddr,
    shared: Rc<Shared>,
}

/// Starts a relay to `target` on the current runtime.
pub fn spawn(target: SocketAddr) -> io::Result<Relay> {
    let listener = listen::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let address = listener.local_addr()?;
    let shared = Rc::new(Shared {
        target: Cell::new(target),
        link: Cell::new(Link::Open),
        changed: Notify::default(),
        forwarded_bytes: Cell::new(0),
        stop: Notify::default(),
    });
    monoio::spawn(accept(listener, shared.clone()));
    Ok(Relay { address, shared })
}

impl Relay {
    /// Where to connect in place of the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what the link does, for open connections too.
    pub fn set(&self, link: Link) {
        self.shared.link.set(link);
        self.shared.changed.notify();
    }

    /// Connects later connections to another target, as after a restart at a new address.
    pub fn retarget(&self, target: SocketAddr) {
        self.shared.target.set(target);
    }

    /// Bytes carried in both directions.
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
    /// Waits while the link is held; `false` once it is cut.
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
    let (client_read, client_write) = client.into_split();
    let (target_read, target_write) = target.into_split();
    // Both directions run to their end: one side may close its sending half alone.
    monoio::join!(
        forward(client_read, target_write, shared, Direction::ToTarget),
        forward(target_read, client_write, shared, Direction::ToClient),
    );
}

async fn forward(
    mut from: impl AsyncReadRent,
    mut to: impl AsyncWriteRent,
    shared: &Shared,
    direction: Direction,
) {
    let mut buffer = Vec::with_capacity(BUFFER_BYTES);
    loop {
        let (outcome, read) = from.read(buffer).await;
        let Ok(count) = outcome else { break };
        if count == 0 || !shared.wait_until_open(direction).await {
            break;
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
    if shared.wait_until_open(direction).await {
        let _ = to.shutdown().await;
    }
}
