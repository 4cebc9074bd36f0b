//! TCP relay on loopback that can stall, delay, cut or partition the link between two processes.

use std::{
    cell::Cell,
    io, net,
    net::SocketAddr,
    os::fd::{AsRawFd, RawFd},
    rc::Rc,
    time::Duration,
};

use monoio::{
    io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, Splitable},
    net::{ListenerOpts, TcpListener, TcpStream},
};
use nix::{
    libc,
    sys::socket::{self, sockopt},
};
use peridotrack_http::listen;

use crate::notify::Notify;

/// Maximum number of bytes forwarded in one piece.
const BUFFER_BYTES: usize = 16 * 1024;

/// Latency that [`Link::Delayed`] adds to each forwarded piece.
pub const DELAY: Duration = Duration::from_millis(40);

/// Maximum wait for the connection that fills the queue of [`Unattended`].
const FILL_TIMEOUT: Duration = Duration::from_millis(5);
/// Time after which an address that another socket uses is bound again.
const REBIND_INTERVAL: Duration = Duration::from_millis(5);

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
    /// Forwards nothing, closes nothing and establishes no new connections: attempts to connect get no
    /// answer, as in a network partition.
    Partitioned,
    /// Resets all connections and refuses new ones.
    Reset,
    /// Forwards on open connections and refuses new ones.
    Refusing,
}

/// What becomes of connections that clients open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Admission {
    Accept,
    Refuse,
    Ignore,
}

impl Link {
    fn admission(self) -> Admission {
        match self {
            Self::Open | Self::Stalled | Self::ResponsesStalled | Self::Delayed | Self::Cut => {
                Admission::Accept
            }
            Self::Reset | Self::Refusing => Admission::Refuse,
            Self::Partitioned => Admission::Ignore,
        }
    }
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
    monoio::spawn(run(listener, address, shared.clone()));
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
                (Link::Open | Link::Refusing, _)
                | (Link::ResponsesStalled, Direction::ToTarget) => return true,
                (Link::Delayed, _) => {
                    monoio::time::sleep(DELAY).await;
                    return true;
                }
                (Link::Cut | Link::Reset, _) => return false,
                (Link::Stalled | Link::Partitioned, _)
                | (Link::ResponsesStalled, Direction::ToClient) => {
                    self.changed.changed(seen).await;
                }
            }
        }
    }

    /// Does the same as [`Shared::wait_until_open`] for what a sender has sent. Returns `false` also if
    /// the sender has reset its connection during a partition: it has discarded what did not arrive.
    async fn wait_to_forward(&self, direction: Direction, sender: RawFd) -> bool {
        let is_partitioned = self.link.get() == Link::Partitioned;
        self.wait_until_open(direction).await && !(is_partitioned && is_reset(sender))
    }

    /// Resolves once the link is cut.
    async fn wait_for_cut(&self) {
        loop {
            let seen = self.changed.generation();
            if matches!(self.link.get(), Link::Cut | Link::Reset) {
                return;
            }
            self.changed.changed(seen).await;
        }
    }

    /// Makes the client see a reset when its connection is closed, if the link resets connections.
    fn prepare_close(&self, client: &TcpStream) {
        if self.link.get() == Link::Reset {
            let linger = libc::linger {
                l_onoff: 1,
                l_linger: 0,
            };
            // Fails only if the connection is broken.
            let _ = socket::setsockopt(client.as_raw_fd(), sockopt::Linger, &linger);
        }
    }

    /// Resolves once connections are no longer admitted in this way.
    async fn wait_for_admission_other_than(&self, admission: Admission) {
        loop {
            let seen = self.changed.generation();
            if self.link.get().admission() != admission {
                return;
            }
            self.changed.changed(seen).await;
        }
    }
}

/// A listener whose queue is full, so that the operating system drops what asks for a connection.
struct Unattended {
    _listener: TcpListener,
    _queued: Option<net::TcpStream>,
}

impl Unattended {
    fn bind(address: SocketAddr) -> io::Result<Self> {
        let options = ListenerOpts::new()
            .reuse_port(false)
            .reuse_addr(true)
            .backlog(0);
        let listener = TcpListener::bind_with_config(address, &options)?;
        Ok(Self {
            _listener: listener,
            // Times out if a client was first, whose connection then fills the queue.
            _queued: net::TcpStream::connect_timeout(&address, FILL_TIMEOUT).ok(),
        })
    }
}

/// Admits connections as the state of the link says, until the relay is dropped or refuses them for
/// good.
async fn run(listener: TcpListener, address: SocketAddr, shared: Rc<Shared>) {
    monoio::select! {
        () = admit(listener, address, &shared) => {}
        () = shared.is_refusing.changed(0) => {}
        () = shared.stop.changed(0) => {}
    }
}

async fn admit(listener: TcpListener, address: SocketAddr, shared: &Rc<Shared>) {
    let mut bound = Some(listener);
    loop {
        let admission = shared.link.get().admission();
        match admission {
            Admission::Accept => {
                let listener = match bound.take() {
                    Some(listener) => listener,
                    None => rebind(|| listen::bind(address)).await,
                };
                monoio::select! {
                    () = accept(&listener, shared) => {}
                    () = shared.wait_for_admission_other_than(admission) => {}
                }
            }
            Admission::Refuse => {
                bound = None;
                shared.wait_for_admission_other_than(admission).await;
            }
            Admission::Ignore => {
                bound = None;
                let _unattended = rebind(|| Unattended::bind(address)).await;
                shared.wait_for_admission_other_than(admission).await;
            }
        }
    }
}

/// Binds an address again, which another socket may use for a moment.
async fn rebind<T>(bind: impl Fn() -> io::Result<T>) -> T {
    loop {
        match bind() {
            Ok(bound) => return bound,
            Err(_) => monoio::time::sleep(REBIND_INTERVAL).await,
        }
    }
}

async fn accept(listener: &TcpListener, shared: &Rc<Shared>) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            let shared = shared.clone();
            monoio::spawn(async move {
                monoio::select! {
                    () = relay_connection(stream, &shared) => {}
                    () = shared.stop.changed(0) => {}
                }
            });
        }
    }
}

async fn relay_connection(client: TcpStream, shared: &Shared) {
    let is_open = shared.wait_to_forward(Direction::ToTarget, client.as_raw_fd());
    if !is_open.await {
        return shared.prepare_close(&client);
    }
    let Ok(target) = TcpStream::connect_addr(shared.target.get()).await else {
        return;
    };
    let _ = (client.set_nodelay(true), target.set_nodelay(true));
    let opened = shared.silenced.generation();
    let sockets = (client.as_raw_fd(), target.as_raw_fd());
    let (mut client_read, mut client_write) = client.into_split();
    let (mut target_read, mut target_write) = target.into_split();
    // Both directions run to their end, since one side may shut down only its sending half.
    let forward_both = async {
        monoio::join!(
            forward(
                (&mut client_read, sockets.0),
                &mut target_write,
                shared,
                (Direction::ToTarget, opened)
            ),
            forward(
                (&mut target_read, sockets.1),
                &mut client_write,
                shared,
                (Direction::ToClient, opened)
            ),
        )
    };
    monoio::select! {
        _ = forward_both => {}
        () = shared.wait_for_cut() => {}
    }
    // Dropping one half would shut the connection down before it is reset.
    if let Ok(client) = client_read.reunite(client_write) {
        shared.prepare_close(&client);
    }
}

/// Returns whether the other side has reset a connection since the last call.
fn is_reset(connection: RawFd) -> bool {
    socket::getsockopt(connection, sockopt::SocketError).is_ok_and(|error| error != 0)
}

async fn forward(
    (from, source): (&mut impl AsyncReadRent, RawFd),
    to: &mut impl AsyncWriteRent,
    shared: &Shared,
    (direction, opened): (Direction, u64),
) {
    let is_silent = || shared.silenced.generation() != opened;
    let mut buffer = Vec::with_capacity(BUFFER_BYTES);
    loop {
        let (outcome, read) = from.read(buffer).await;
        let Ok(count) = outcome else { break };
        if count == 0 || !shared.wait_to_forward(direction, source).await {
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
