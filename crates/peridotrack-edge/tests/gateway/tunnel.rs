//! Tunnels to backend servers through a gateway.

use std::{
    io::ErrorKind,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use monoio::{
    io::{AsyncReadRent, AsyncReadRentExt, AsyncWriteRent, AsyncWriteRentExt},
    net::{ListenerOpts, TcpListener, TcpStream},
};
use peridotrack_edge::{
    gateway::Gateway,
    peer::{self, TunnelError},
};
use peridotrack_http::client;
use peridotrack_kernel::{Kernel, Options, log};
use peridotrack_standin::{
    harness::{http::block_on, relay, wait},
    hosted::store,
};
use peridotrack_types::{gateway::Settings, id};
use rstest::rstest;

use crate::fixture::{Fixture, LIMIT, config, entry_at, settings};

/// Incarnation of the router that opens tunnels.
const ORIGIN: id::Incarnation = id::Incarnation(77);
/// Name of the backend server.
const SERVER: &str = "i-0";
/// Maximum time for a reset to be passed on.
const AT_ONCE: Duration = Duration::from_millis(300);
/// Time in which nothing is expected to happen.
const PAUSE: Duration = Duration::from_millis(200);
/// More bytes than the buffers of two connections hold.
const LONG_BYTES: usize = 64_000_000;

/// Why no tunnel was opened.
#[derive(Debug, PartialEq, Eq)]
enum Failure {
    Refused,
    Unreachable,
    Declined,
    Peer,
}

impl From<TunnelError> for Failure {
    fn from(error: TunnelError) -> Self {
        match error {
            TunnelError::Refused => Self::Refused,
            TunnelError::Unreachable => Self::Unreachable,
            TunnelError::Declined => Self::Declined,
            TunnelError::Peer(_) => Self::Peer,
        }
    }
}

/// What a stream does next.
#[derive(Debug, PartialEq, Eq)]
enum Seen {
    Bytes(Vec<u8>),
    End,
    Reset,
    Nothing,
}

async fn next(stream: &mut TcpStream, limit: Duration) -> Seen {
    let reading = monoio::time::timeout(limit, stream.read(vec![0; 64 * 1024]));
    match reading.await {
        Err(_) => Seen::Nothing,
        Ok((Ok(0), _)) => Seen::End,
        Ok((Ok(count), mut bytes)) => {
            bytes.truncate(count);
            Seen::Bytes(bytes)
        }
        Ok((Err(error), _)) if error.kind() == ErrorKind::ConnectionReset => Seen::Reset,
        Ok((Err(error), _)) => panic!("{error}"),
    }
}

/// Reads until the end; returns the number of bytes before it.
async fn read_to_end(stream: &mut TcpStream) -> (usize, Seen) {
    let mut count = 0;
    loop {
        match next(stream, LIMIT).await {
            Seen::Bytes(bytes) => count += bytes.len(),
            seen => return (count, seen),
        }
    }
}

/// Writes until nothing more is taken; returns the number of bytes written.
async fn fill(stream: &mut TcpStream) -> usize {
    let mut written_bytes = 0;
    while written_bytes < LONG_BYTES {
        let writing = stream.write(vec![7; 64 * 1024]);
        match monoio::time::timeout(PAUSE, writing).await {
            Ok((result, _)) => written_bytes += result.unwrap(),
            Err(_) => break,
        }
    }
    written_bytes
}

/// Drops a stream that carries a request without a response, which resets it.
fn give_up(stream: TcpStream, server: SocketAddr) -> impl Future<Output = ()> {
    let mut connection = client::Connection::over(stream, server, client::Options::default());
    async move {
        let request = http::Request::post("/").body(Bytes::from_static(b"given up"));
        let sending = connection.send(request.unwrap());
        assert!(monoio::time::timeout(PAUSE, sending).await.is_err());
    }
}

fn link(key: &str) -> Rc<peer::Link> {
    let kernel = Kernel::open(Options::default()).unwrap();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    peer::Link::bind(kernel, ORIGIN, any, key).unwrap()
}

async fn open_through(
    link: &peer::Link,
    peer: SocketAddr,
    to: id::Incarnation,
    server: &str,
) -> Result<TcpStream, Failure> {
    Ok(link.open_tunnel(peer, to, &server.into()).await?)
}

/// A gateway, a link that opens tunnels through it, and a backend server.
struct Tunnels {
    fixture: Rc<Fixture>,
    link: Rc<peer::Link>,
    server: TcpListener,
}

impl Tunnels {
    async fn spawn() -> Self {
        Self::spawn_with(|settings| settings).await
    }

    async fn spawn_with(change: impl FnOnce(Settings) -> Settings) -> Self {
        let server = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = store::spawn().unwrap();
        let address = server.local_addr().unwrap();
        store.put("servers", SERVER, entry_at(address));
        store.put("config", "main", config(4, 1_000_000));
        let settings = change(settings(&store));
        let link = link(&settings.peer_key);
        let gateway = Gateway::spawn(settings, log::Output::Off).unwrap();
        let fixture = Fixture {
            store,
            backends: Vec::new(),
            gateway,
        };
        fixture.ready().await;
        Self {
            fixture: Rc::new(fixture),
            link,
            server,
        }
    }

    async fn open_to(&self, server: &str) -> Result<TcpStream, Failure> {
        let gateway = &self.fixture.gateway;
        let (address, to) = (gateway.peer_address(), gateway.incarnation());
        open_through(&self.link, address, to, server).await
    }

    /// Opens a tunnel; returns its end and that of the server.
    async fn open(&self) -> (TcpStream, TcpStream) {
        let origin = self.open_to(SERVER).await.unwrap();
        let (server, _) = self.server.accept().await.unwrap();
        (origin, server)
    }

    fn open_tunnels(&self) -> u64 {
        metric(&self.fixture.gateway, "peridotrack_open_tunnels")
    }
}

fn metric(gateway: &Gateway, name: &str) -> u64 {
    let text = gateway.kernel().meter().render();
    let mut lines = text.lines();
    let value = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok());
    value.unwrap_or_default()
}

#[rstest]
fn bytes_pass_unchanged_both_ways_in_any_pieces(#[values(1, 100, 70_000)] max_piece_bytes: usize) {
    block_on(async {
        let tunnels = Tunnels::spawn().await;
        let (mut origin, server) = tunnels.open().await;
        monoio::spawn(async move {
            let mut server = server;
            while let Seen::Bytes(bytes) = next(&mut server, LIMIT).await {
                server.write_all(bytes).await.0.unwrap();
            }
        });
        for _ in 0..50 {
            let count = fastrand::usize(1..=max_piece_bytes);
            let piece: Vec<u8> = (0..count).map(|_| fastrand::u8(..)).collect();
            origin.write_all(piece.clone()).await.0.unwrap();
            let (result, echo) = origin.read_exact(vec![0; count]).await;
            result.unwrap();
            assert!(echo == piece);
        }
        origin.shutdown().await.unwrap();
        assert_eq!(next(&mut origin, LIMIT).await, Seen::End);
        let is_closed = || tunnels.open_tunnels() == 0;
        wait::until(LIMIT, "the end", is_closed).await.unwrap();
        let gateway = &tunnels.fixture.gateway;
        assert_eq!(metric(gateway, "peridotrack_served_tunnels_total"), 1);
    });
}

#[test]
fn a_reset_by_the_server_is_a_reset_at_the_origin() {
    block_on(async {
        let tunnels = Tunnels::spawn().await;
        let (mut origin, mut server) = tunnels.open().await;
        server.write_all(b"HTTP/1.1 200 OK\r\n").await.0.unwrap();
        let bytes = Seen::Bytes(b"HTTP/1.1 200 OK\r\n".to_vec());
        assert_eq!(next(&mut origin, LIMIT).await, bytes);
        origin.write_all(b"unread").await.0.unwrap();
        server.readable(false).await.unwrap();
        // Closing a socket with unread bytes resets the connection.
        drop(server);
        assert_eq!(next(&mut origin, AT_ONCE).await, Seen::Reset);
    });
}

#[test]
fn a_request_that_is_given_up_resets_the_server() {
    block_on(async {
        let tunnels = Tunnels::spawn().await;
        let (origin, mut server) = tunnels.open().await;
        give_up(origin, tunnels.server.local_addr().unwrap()).await;
        let Seen::Bytes(_) = next(&mut server, AT_ONCE).await else {
            panic!("the request did not arrive");
        };
        assert_eq!(next(&mut server, AT_ONCE).await, Seen::Reset);
    });
}

/// Guards against a request that arrives late, because the peer goes on delivering what it has buffered
/// when the origin has given the request up.
#[test]
fn no_buffered_byte_follows_a_reset_by_the_origin() {
    block_on(async {
        let tunnels = Tunnels::spawn().await;
        let (mut origin, mut server) = tunnels.open().await;
        let written_bytes = fill(&mut origin).await;
        assert!(written_bytes < LONG_BYTES);
        let address = tunnels.server.local_addr().unwrap();
        let began = Instant::now();
        give_up(origin, address).await;
        let is_closed = || tunnels.open_tunnels() == 0;
        wait::until(LIMIT, "the reset", is_closed).await.unwrap();
        assert!(began.elapsed() < PAUSE + AT_ONCE, "{:?}", began.elapsed());
        let (read_bytes, seen) = read_to_end(&mut server).await;
        assert_eq!(seen, Seen::Reset);
        assert!(
            read_bytes < written_bytes,
            "{read_bytes} of {written_bytes}"
        );
    });
}

#[test]
fn slow_readers_hold_writers_back() {
    block_on(async {
        let tunnels = Tunnels::spawn().await;
        let (mut origin, mut server) = tunnels.open().await;
        let written_bytes = fill(&mut origin).await;
        assert!(
            written_bytes < LONG_BYTES,
            "{written_bytes} bytes were taken"
        );
        drop(origin);
        assert_eq!(read_to_end(&mut server).await, (written_bytes, Seen::End));
    });
}

/// A backend server that cannot be connected to.
#[derive(Clone, Copy)]
enum Unconnectable {
    /// Nothing listens at its address.
    Ended,
    /// Its network cannot be reached.
    Unroutable,
    /// It does not accept connections, of which as many wait as may.
    Silent,
}

impl Unconnectable {
    /// Returns its address, and what has to be kept while it is used.
    fn listen(self) -> (SocketAddr, Option<(TcpListener, Vec<std::net::TcpStream>)>) {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        match self {
            Self::Ended => (SocketAddr::from(([127, 0, 0, 1], 1)), None),
            Self::Unroutable => (SocketAddr::from(([255, 255, 255, 255], 9)), None),
            Self::Silent => {
                let options = ListenerOpts::new().backlog(1);
                let listener = TcpListener::bind_with_config(any, &options).unwrap();
                let address = listener.local_addr().unwrap();
                let connect = || std::net::TcpStream::connect_timeout(&address, PAUSE).ok();
                let waiting = std::iter::from_fn(connect).collect();
                (address, Some((listener, waiting)))
            }
        }
    }
}

#[rstest]
#[case::ended(Unconnectable::Ended, Failure::Refused)]
#[case::unroutable(Unconnectable::Unroutable, Failure::Unreachable)]
#[case::silent(Unconnectable::Silent, Failure::Unreachable)]
fn a_server_that_cannot_be_connected_to_is_told_apart(
    #[case] server: Unconnectable,
    #[case] expected: Failure,
) {
    block_on(async {
        let tunnels = Tunnels::spawn().await;
        let (address, _kept) = server.listen();
        let store = &tunnels.fixture.store;
        store.put("servers", "i-1", entry_at(address));
        let failure = async || {
            let failure = tunnels.open_to("i-1").await.unwrap_err();
            // Until the entry is known.
            (failure != Failure::Declined).then_some(failure)
        };
        let failure = wait::poll(LIMIT, "the entry", failure).await.unwrap();
        assert_eq!(failure, expected);
        assert_eq!(tunnels.open_tunnels(), 0);
    });
}

#[rstest]
#[case::unknown_server("i-9", 0, "deployment-of-the-test", Failure::Declined)]
#[case::other_incarnation(SERVER, 1, "deployment-of-the-test", Failure::Declined)]
#[case::other_key(SERVER, 0, "another-deployment", Failure::Peer)]
fn a_request_that_is_not_for_this_router_is_not_served(
    #[case] server: &str,
    #[case] incarnation_bits: u64,
    #[case] key: &str,
    #[case] expected: Failure,
) {
    block_on(async {
        let tunnels = Tunnels::spawn().await;
        let gateway = &tunnels.fixture.gateway;
        let to = id::Incarnation(gateway.incarnation().0 ^ incarnation_bits);
        let link = link(key);
        let opened = open_through(&link, gateway.peer_address(), to, server).await;
        let failure = opened.unwrap_err();
        assert_eq!(failure, expected);
        let accepting = monoio::time::timeout(PAUSE, tunnels.server.accept());
        assert!(accepting.await.is_err());
    });
}

/// How a peer that serves no tunnel behaves.
#[derive(Clone, Copy)]
enum Peer {
    Refusing,
    Silent,
    /// As a release that does not know the frame.
    Closing,
}

#[rstest]
#[case::refusing(Peer::Refusing)]
#[case::silent(Peer::Silent)]
#[case::closing(Peer::Closing)]
fn a_peer_that_does_not_serve_tunnels_fails_in_time(#[case] peer: Peer) {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        match peer {
            Peer::Refusing => drop(listener),
            Peer::Silent | Peer::Closing => {
                monoio::spawn(async move {
                    let (mut stream, _) = listener.accept().await.unwrap();
                    if let Peer::Silent = peer {
                        monoio::time::sleep(LIMIT).await;
                    }
                    stream.write_all(vec![7; 16]).await.0.unwrap();
                    let Seen::Bytes(_) = next(&mut stream, LIMIT).await else {
                        panic!("no hello");
                    };
                });
            }
        }
        let link = link("deployment-of-the-test");
        let began = Instant::now();
        let opened = open_through(&link, address, id::Incarnation(1), SERVER).await;
        let failure = opened.unwrap_err();
        assert_eq!(failure, Failure::Peer);
        assert!(began.elapsed() < Duration::from_secs(1));
    });
}

/// The number of tunnels is bounded, and one that has ended makes room for another.
#[test]
fn tunnels_beyond_the_bound_are_declined() {
    block_on(async {
        let tunnels = Tunnels::spawn_with(|settings| Settings {
            sockets: 36,
            ..settings
        })
        .await;
        let mut open = Vec::new();
        for _ in 0..3 {
            open.push(tunnels.open().await);
        }
        assert_eq!(tunnels.open_tunnels(), 3);
        assert_eq!(
            tunnels.open_to(SERVER).await.unwrap_err(),
            Failure::Declined
        );
        for _ in 0..10 {
            drop(open.pop());
            let has_room = || tunnels.open_tunnels() == 2;
            wait::until(LIMIT, "room", has_room).await.unwrap();
            open.push(tunnels.open().await);
        }
        assert_eq!(
            tunnels.open_to(SERVER).await.unwrap_err(),
            Failure::Declined
        );
    });
}

/// Failures are recorded at a bounded rate, with the number of those that were not.
#[test]
fn failed_tunnels_are_recorded_at_a_bounded_rate() {
    block_on(async {
        let tunnels = Tunnels::spawn().await;
        for _ in 0..20 {
            tunnels.open_to("i-9").await.unwrap_err();
        }
        monoio::time::sleep(Duration::from_millis(1_100)).await;
        tunnels.open_to("i-9").await.unwrap_err();
        let events = tunnels.fixture.gateway.kernel().timeline().after(0);
        let failed = events.iter().filter(|event| &*event.name == "TunnelFailed");
        let failed: Vec<_> = failed.map(|event| &event.fields).collect();
        assert_eq!(failed.len(), 2, "{failed:?}");
        assert_eq!(failed[0]["backend_server"], "i-9".into());
        assert_eq!(failed[0]["step"], "decline".into());
        assert_eq!(failed[0]["peer"], tunnels.link.address().to_string().into());
        assert_eq!(failed[1]["unreported"], 19.into());
    });
}

#[rstest]
#[case::that_ends(true)]
#[case::that_does_not_end(false)]
fn a_stopping_gateway_declines_tunnels_and_waits_for_an_open_one(#[case] has_end: bool) {
    block_on(async {
        let tunnels = Tunnels::spawn_with(|mut settings| {
            settings.bounds.grace_ms = 6_000;
            settings
        })
        .await;
        let (mut origin, mut server) = tunnels.open().await;
        tunnels.fixture.gateway.begin_stop();
        let began = Instant::now();
        let stopping = Rc::clone(&tunnels.fixture);
        let stopped = monoio::spawn(async move {
            stopping.gateway.stop().await;
            Instant::now()
        });
        assert_eq!(
            tunnels.open_to(SERVER).await.unwrap_err(),
            Failure::Declined
        );
        // Later than a stop without open requests or tunnels takes.
        monoio::time::sleep(Duration::from_millis(4_000)).await;
        server.write_all(b"answer").await.0.unwrap();
        let answer = Seen::Bytes(b"answer".to_vec());
        assert_eq!(next(&mut origin, LIMIT).await, answer);
        if has_end {
            drop(server);
            assert_eq!(next(&mut origin, LIMIT).await, Seen::End);
            drop(origin);
        } else {
            assert_eq!(next(&mut origin, LIMIT).await, Seen::Reset);
            assert_eq!(next(&mut server, LIMIT).await, Seen::Reset);
        }
        let stop_time = stopped.await - began;
        assert!(stop_time < Duration::from_millis(6_000), "{stop_time:?}");
    });
}

/// A peer whose connection breaks midway ends the tunnel on both sides.
#[test]
fn a_tunnel_whose_link_is_cut_ends_at_both_sides() {
    block_on(async {
        let tunnels = Tunnels::spawn().await;
        let gateway = &tunnels.fixture.gateway;
        let relay = relay::spawn(gateway.peer_address()).unwrap();
        let to = gateway.incarnation();
        let opened = open_through(&tunnels.link, relay.address(), to, SERVER).await;
        let mut origin = opened.unwrap();
        let (mut server, _) = tunnels.server.accept().await.unwrap();
        relay.set(relay::Link::Cut);
        assert_ne!(next(&mut origin, AT_ONCE).await, Seen::Nothing);
        assert_ne!(next(&mut server, AT_ONCE).await, Seen::Nothing);
    });
}
