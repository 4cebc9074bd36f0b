//! Requests that are held up between the gateway and a backend server, and delivered late.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use peridotrack_standin::harness::{http::block_on, wait};
use rstest::rstest;

use crate::{
    fixture::{Fixture, LIMIT, config, entry_at, request},
    raw,
};

/// Interval at which a link checks whether it still holds bytes up.
const POLL: Duration = Duration::from_millis(5);
/// Time for which a client waits before it disconnects, and a server for bytes that are late.
const WAIT: Duration = Duration::from_millis(200);

/// A link to a backend server that holds the bytes of each connection up, as long as it is cut off.
/// As in a network, those of a connection that is reset meanwhile are lost.
struct Link {
    address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Link {
    fn spawn(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let is_cut = Arc::new(AtomicBool::new(false));
        let cut = Arc::clone(&is_cut);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let cut = Arc::clone(&cut);
                thread::spawn(move || forward(stream, server, &cut));
            }
        });
        Self { address, is_cut }
    }

    fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }
}

fn forward(near: TcpStream, server: SocketAddr, is_cut: &AtomicBool) -> std::io::Result<()> {
    let far = TcpStream::connect(server)?;
    let (mut near_reader, mut far_writer) = (near.try_clone()?, far.try_clone()?);
    thread::spawn(move || std::io::copy(&mut &far, &mut &near));
    let mut bytes = [0; 4096];
    loop {
        let count = near_reader.read(&mut bytes)?;
        while is_cut.load(Ordering::Relaxed) {
            thread::sleep(POLL);
        }
        if count == 0 || near_reader.take_error()?.is_some() {
            return far_writer.shutdown(Shutdown::Both);
        }
        far_writer.write_all(&bytes[..count])?;
    }
}

/// Guards against a request that runs after its client has left, because the operating system goes on
/// delivering what was written to the connection that the gateway has closed.
#[rstest]
fn a_held_up_request_does_not_arrive_after_its_client_has_left(
    #[values("/safe/x", "/unsafe/x", "/stream/x")] path: &str,
    #[values(true, false)] has_left: bool,
) {
    block_on(async {
        let fixture = Fixture::spawn_before_config(1);
        let link = Link::spawn(fixture.backends[0].address());
        fixture.store.put("servers", "i-0", entry_at(link.address));
        fixture.store.put("config", "main", config(4, 1_000_000));
        fixture.ready().await;
        fixture.until_status(path, 200, LIMIT).await;
        let runs_before = fixture.runs();

        link.set_cut(true);
        let address = fixture.gateway.client_address();
        let mut client = raw::Connection::open(address).await.unwrap();
        assert!(client.write(&raw::encode(&request(path, &[]))).await);
        monoio::time::sleep(WAIT).await;
        let client = (!has_left).then_some(client);
        monoio::time::sleep(WAIT).await;
        link.set_cut(false);
        if client.is_some() {
            let runs = async || (fixture.runs() > runs_before).then_some(());
            wait::poll(LIMIT, "the run", runs).await.unwrap();
        } else {
            monoio::time::sleep(WAIT).await;
            assert_eq!(fixture.runs(), runs_before);
        }
    });
}
