//! New connections to backend servers: direct ones, or tunnels through peers while this router is
//! partitioned from the servers.
//!
//! A refused connection is returned as such only if it shows the end of the server: a direct
//! connection to another server succeeded meanwhile, or a peer was refused as well. Any other failure
//! may be that of this router's own network.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    io,
    net::SocketAddr,
    rc::Rc,
};

use peridotrack_http::client;
use peridotrack_kernel::{clock, event as kernel_event, timer};
use peridotrack_member::message::Record;
use peridotrack_reach::{
    event::{Action, Change, Event, Path},
    options::Options,
    reach,
};
use peridotrack_route::event as route_event;
use peridotrack_types::{id, name};

use super::{Shared, options};
use crate::{counted::Counted, metric, notify::Notify, peer};

/// Period of the state machine's ticks, in microseconds.
const TICK_US: u64 = 50 * clock::US_PER_MS;
/// Maximum number of peers asked for a tunnel for one connection: each may take a time-out.
const MAX_PEERS: usize = 3;
/// Time for which a peer that did not open a tunnel is asked after all others, in microseconds.
const AVOID_PEER_US: u64 = clock::US_PER_S;

/// Reason why a connection failed that says nothing about the backend server: this router is
/// partitioned from it, and no peer tried to connect.
#[derive(Debug, thiserror::Error)]
#[error("no peer opened a tunnel")]
struct NoTunnel;

/// Known backend servers of each service, with their addresses.
pub(super) type Services = BTreeMap<name::Service, BTreeMap<name::BackendServer, SocketAddr>>;

/// Paths of this router to the backend servers of each service: a partition may separate it from
/// those of one service only.
#[derive(Default)]
pub(super) struct Reach {
    scopes: RefCell<BTreeMap<name::Service, Rc<Scope>>>,
    /// Until when peers that did not open a tunnel are asked last.
    avoided_until_us: RefCell<BTreeMap<id::Incarnation, u64>>,
    subscription: RefCell<Option<timer::Subscription>>,
}

/// Path to the backend servers of one service.
struct Scope {
    service: name::Service,
    state: RefCell<reach::Reach>,
    servers: RefCell<BTreeMap<name::BackendServer, SocketAddr>>,
    /// Notified when the path has changed, or servers are no longer probed.
    concluded: Notify,
    /// Requests that were sent directly and wait for the beginning of a response.
    awaited_responses: Rc<Cell<usize>>,
}

impl Reach {
    /// Returns the scope of a service, which is created if there is none.
    fn of_service(&self, service: &name::Service) -> Rc<Scope> {
        let mut scopes = self.scopes.borrow_mut();
        let scope = scopes.entry(service.clone()).or_insert_with(|| {
            let state = reach::Reach::new(Options::default(), fastrand::u64(..));
            Rc::new(Scope {
                service: service.clone(),
                state: RefCell::new(state),
                servers: RefCell::default(),
                concluded: Notify::default(),
                awaited_responses: Rc::default(),
            })
        });
        Rc::clone(scope)
    }

    fn scopes(&self) -> Vec<Rc<Scope>> {
        self.scopes.borrow().values().cloned().collect()
    }
}

impl Scope {
    /// Returns the scope of the service of a server.
    fn of(shared: &Shared, server: &name::BackendServer) -> Rc<Self> {
        shared.reach.of_service(&shared.directory.service(server))
    }

    fn path(&self) -> Path {
        self.state.borrow().path()
    }

    fn is_checking(&self) -> bool {
        self.state.borrow().is_checking()
    }

    /// Waits until servers that are probed have answered or not, and returns the path.
    async fn conclude(&self) -> Path {
        while self.is_checking() {
            self.concluded.notified().await;
        }
        self.path()
    }

    /// Waits until new connections lead through peers.
    async fn partitioned(&self) {
        while self.path() == Path::Direct {
            self.concluded.notified().await;
        }
    }
}

/// Starts the ticks of the state machines.
pub(super) fn spawn(shared: &Rc<Shared>) {
    shared.kernel.meter().gauge(metric::PARTITIONED).set(0.0);
    let weak = Rc::downgrade(shared);
    let subscription = shared.kernel.timer().subscribe(TICK_US, move |_| {
        let Some(shared) = weak.upgrade() else { return };
        for scope in shared.reach.scopes() {
            let awaited_responses = scope.awaited_responses.get();
            handle(&shared, &scope, Event::Tick { awaited_responses });
        }
    });
    *shared.reach.subscription.borrow_mut() = Some(subscription);
}

/// Sets the known backend servers.
pub(super) fn set_servers(shared: &Rc<Shared>, mut services: Services) {
    for service in services.keys() {
        shared.reach.of_service(service);
    }
    for scope in shared.reach.scopes() {
        let servers = services.remove(&scope.service).unwrap_or_default();
        let names = servers.keys().cloned().collect();
        *scope.servers.borrow_mut() = servers;
        handle(shared, &scope, Event::Servers(names));
    }
}

/// Counts a request that was sent to a server and waits for the beginning of its response, until the
/// returned value is dropped.
pub(super) fn await_response(shared: &Shared, server: &name::BackendServer) -> Counted {
    Counted::new(&Scope::of(shared, server).awaited_responses)
}

/// Records that bytes of a backend server were received.
pub(super) fn received(shared: &Rc<Shared>, server: &name::BackendServer) {
    let scope = Scope::of(shared, server);
    if scope.path() == Path::Direct {
        handle(shared, &scope, Event::Received);
    }
}

/// Returns whether this router is partitioned from the servers of the same service.
pub(super) fn is_partitioned(shared: &Shared, server: &name::BackendServer) -> bool {
    Scope::of(shared, server).path() == Path::ThroughPeers
}

/// Takes an idle connection to a backend server, or opens one as [`connect`] does.
///
/// # Errors
///
/// Fails as [`connect`] does.
pub(super) async fn take(
    shared: &Rc<Shared>,
    server: &name::BackendServer,
    address: SocketAddr,
) -> Result<client::Connection, client::Error> {
    match shared.pool.take_idle(address) {
        Some(connection) => Ok(connection),
        None => connect(shared, server, address).await,
    }
}

/// Keeps the connection of a complete response for later requests. Tunnels are not kept: a peer that
/// stops resets them, and it serves a bounded number, idle ones included.
pub(super) fn keep(shared: &Shared, connection: client::Connection) {
    if !connection.is_tunnel() {
        shared.pool.put(connection);
    }
}

/// Opens a connection to a backend server.
///
/// # Errors
///
/// Fails if none can be opened. The error is a refused connection only if that shows that the server
/// has ended.
pub(super) async fn connect(
    shared: &Rc<Shared>,
    server: &name::BackendServer,
    address: SocketAddr,
) -> Result<client::Connection, client::Error> {
    connect_with(shared, server, address, options::backend()).await
}

/// Opens a connection as [`connect`] does, with other limits of a direct one.
///
/// # Errors
///
/// Fails as [`connect`] does.
pub(super) async fn connect_with(
    shared: &Rc<Shared>,
    server: &name::BackendServer,
    address: SocketAddr,
    options: client::Options,
) -> Result<client::Connection, client::Error> {
    let began_us = shared.kernel.now_us();
    let scope = Scope::of(shared, server);
    let mut error = None;
    if scope.path() == Path::Direct {
        let direct = monoio::select! {
            biased;
            direct = connect_direct(shared, &scope, server, address, options) => Some(direct),
            () = scope.partitioned() => None,
        };
        match direct {
            Some(Ok(connection)) => return Ok(connection),
            Some(Err(direct)) => error = Some(direct),
            None => {}
        }
    }
    let path = scope.conclude().await;
    let is_confirmed = || scope.state.borrow().has_connected_since(began_us);
    match (path, error) {
        (Path::Direct, Some(error)) if !is_refused(&error) || is_confirmed() => Err(error),
        // The path has returned while this connection waited for it.
        (Path::Direct, None) => connect_direct(shared, &scope, server, address, options).await,
        (_, error) => tunnel(shared, &scope, server, address, error).await,
    }
}

/// Connects directly, and reports whether that succeeded.
async fn connect_direct(
    shared: &Rc<Shared>,
    scope: &Rc<Scope>,
    server: &name::BackendServer,
    address: SocketAddr,
    options: client::Options,
) -> Result<client::Connection, client::Error> {
    let began_us = shared.kernel.now_us();
    let connected = shared.pool.connect_with(address, options).await;
    let backend_server = server.clone();
    match &connected {
        Ok(_) => handle(shared, scope, Event::Connected { backend_server }),
        // A shorter time-out than that of attempts may pass on a long way.
        Err(error)
            if matches!(error.kind, client::Kind::TimedOut)
                && options.connect_timeout_ms < options::backend().connect_timeout_ms => {}
        Err(_) => handle(
            shared,
            scope,
            Event::Failed {
                backend_server,
                began_us,
            },
        ),
    }
    connected
}

/// Reports whether a direct connection that began at `began_us` (monotonic microseconds) was
/// established, and waits until servers that are probed because it was not have answered. Returns
/// whether this router is partitioned from the servers.
pub(super) async fn is_partitioned_after(
    shared: &Rc<Shared>,
    server: &name::BackendServer,
    began_us: u64,
    is_connected: bool,
) -> bool {
    let scope = Scope::of(shared, server);
    let backend_server = server.clone();
    handle(
        shared,
        &scope,
        match is_connected {
            true => Event::Connected { backend_server },
            false => Event::Failed {
                backend_server,
                began_us,
            },
        },
    );
    scope.conclude().await == Path::ThroughPeers
}

/// Opens a tunnel through one of the peers; without peers, returns the error of the direct
/// connection.
async fn tunnel(
    shared: &Rc<Shared>,
    scope: &Rc<Scope>,
    server: &name::BackendServer,
    address: SocketAddr,
    direct: Option<client::Error>,
) -> Result<client::Connection, client::Error> {
    let peers = ordered_peers(shared);
    if peers.is_empty() {
        return match direct {
            Some(error) => Err(error),
            None => connect_direct(shared, scope, server, address, options::backend()).await,
        };
    }
    let mut failure = io::Error::new(io::ErrorKind::HostUnreachable, NoTunnel);
    for record in peers.iter().take(MAX_PEERS) {
        let (peer, to) = (record.peer_address, record.incarnation);
        match shared.link.open_tunnel(peer, to, server).await {
            Ok(stream) => return Ok(shared.pool.adopt(stream, address)),
            Err(peer::TunnelError::Refused) => {
                failure = io::ErrorKind::ConnectionRefused.into();
                break;
            }
            Err(peer::TunnelError::Unreachable) => {
                failure = io::ErrorKind::HostUnreachable.into();
                avoid(shared, to);
            }
            Err(peer::TunnelError::Declined | peer::TunnelError::Peer(_)) => avoid(shared, to),
        }
    }
    Err(client::Error {
        step: client::Step::Connect,
        peer: address,
        bytes_written: false,
        kind: client::Kind::Io(failure),
    })
}

/// Has a peer asked for a tunnel after all others for a time.
fn avoid(shared: &Shared, peer: id::Incarnation) {
    let until_us = shared.kernel.now_us() + AVOID_PEER_US;
    let mut avoided = shared.reach.avoided_until_us.borrow_mut();
    avoided.insert(peer, until_us);
}

/// Returns the live peers in the order in which they are asked for a tunnel: those of other failure
/// domains first, because a partition often covers a failure domain, and last those that opened none
/// a moment ago.
fn ordered_peers(shared: &Shared) -> Vec<Record> {
    let now_us = shared.kernel.now_us();
    let mut avoided = shared.reach.avoided_until_us.borrow_mut();
    avoided.retain(|_, until_us| *until_us > now_us);
    let mut peers = shared.member.live();
    fastrand::shuffle(&mut peers);
    peers.sort_by_key(|record| {
        let is_local = record.failure_domain == shared.settings.failure_domain;
        (avoided.contains_key(&record.incarnation), is_local)
    });
    peers
}

/// Passes an event to the state machine and carries out the actions that it returns.
fn handle(shared: &Rc<Shared>, scope: &Rc<Scope>, event: Event) {
    let now_us = shared.kernel.now_us();
    let actions = scope.state.borrow_mut().on_event(now_us, event);
    for action in actions {
        match action {
            Action::Probe { backend_server } => {
                let (shared, scope) = (Rc::clone(shared), Rc::clone(scope));
                monoio::spawn(async move { probe(&shared, &scope, &backend_server).await });
            }
            Action::Changed(change) => apply(shared, scope, &change),
        }
    }
    if !scope.is_checking() {
        scope.concluded.notify_all();
    }
}

/// Connects directly to a server to report whether that succeeds, and keeps the connection.
async fn probe(shared: &Rc<Shared>, scope: &Rc<Scope>, server: &name::BackendServer) {
    let address = scope.servers.borrow().get(server).copied();
    let Some(address) = address else { return };
    let connected = connect_direct(shared, scope, server, address, options::backend()).await;
    if let Ok(connection) = connected {
        keep(shared, connection);
    }
}

/// Applies a change of the path. Idle connections may hang during a partition.
fn apply(shared: &Rc<Shared>, scope: &Scope, change: &Change) {
    for address in scope.servers.borrow().values() {
        shared.pool.close_idle(*address);
    }
    let scopes = shared.reach.scopes();
    let partitioned = scopes
        .iter()
        .filter(|scope| scope.path() == Path::ThroughPeers);
    let gauge = shared.kernel.meter().gauge(metric::PARTITIONED);
    gauge.set(partitioned.count() as f64);
    let kind = match change.path {
        Path::ThroughPeers => kernel_event::Kind::PartitionBegun,
        Path::Direct => kernel_event::Kind::PartitionEnded,
    };
    let servers: Vec<_> = change
        .evidence
        .iter()
        .map(name::BackendServer::as_str)
        .collect();
    let now_us = shared.kernel.now_us();
    let event = kernel_event::Event::new(kind)
        .with("service", scope.service.as_str())
        .with("backend_servers", servers.join(","))
        .with("since_us", now_us.saturating_sub(change.since_us))
        .with("live_peers", shared.member.live().len() as u64);
    shared.kernel.note(event);
    // Connections began to fail up to a time-out before the first failure was known.
    let timeout_us = options::backend().connect_timeout_ms * clock::US_PER_MS;
    shared
        .route
        .handle(route_event::Event::ConnectFailuresExplained {
            since_us: change.since_us.saturating_sub(timeout_us),
        });
}

/// Returns whether an error of the connection shows that nothing listens at the address any more.
pub(super) fn is_refused(error: &client::Error) -> bool {
    matches!(&error.kind, client::Kind::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused)
}

/// Returns whether an error of the connection says nothing about the backend server, because this
/// router is partitioned from it and no peer tried to connect.
pub(super) fn is_without_path(error: &client::Error) -> bool {
    match &error.kind {
        client::Kind::Io(error) => error.get_ref().is_some_and(|inner| inner.is::<NoTunnel>()),
        _ => false,
    }
}
