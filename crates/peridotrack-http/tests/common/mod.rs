//! Shared set-up: one runtime per test and raw bytes on the other end of a connection.
#![allow(dead_code)]

use std::{cell::Cell, future::Future, net::SocketAddr, rc::Rc, time::Duration};

use monoio::{
    io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
};

/// Bound on a whole test, so that a hang is a failure.
const TEST_LIMIT: Duration = Duration::from_secs(20);
/// Pause between two polls of a condition.
const POLL: Duration = Duration::from_millis(1);

/// Runs one test body on its own runtime.
pub fn run<T>(body: impl Future<Output = T>) -> T {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .unwrap();
    runtime
        .block_on(async { monoio::time::timeout(TEST_LIMIT, body).await })
        .expect("the test hangs")
}

/// A connected pair of streams on loopback: the opening and the accepting end.
pub async fn pair() -> (TcpStream, TcpStream) {
    let (listener, address) = listen();
    let opened = TcpStream::connect(address).await.unwrap();
    let (accepted, _) = listener.accept().await.unwrap();
    opened.set_nodelay(true).unwrap();
    (opened, accepted)
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// What a raw peer does after its last byte.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Then {
    Close,
    Hold,
}

/// Writes `parts` one after the other, each after the reader had a turn.
pub async fn send_parts(stream: &mut TcpStream, parts: Vec<Vec<u8>>, then: Then) {
    for part in parts {
        if stream.write_all(part).await.0.is_err() {
            return;
        }
        monoio::time::sleep(POLL).await;
    }
    if then == Then::Close {
        let _ = stream.shutdown().await;
    }
}

/// Reads until `text` holds `wanted` or the stream ends.
pub async fn read_until(stream: &mut TcpStream, text: &mut String, wanted: &str) {
    while !text.contains(wanted) && read_some(stream, text).await {}
}

/// Reads to the end of the stream.
pub async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    while read_some(stream, &mut text).await {}
    text
}

async fn read_some(stream: &mut TcpStream, text: &mut String) -> bool {
    let (outcome, bytes) = stream.read(Vec::with_capacity(4096)).await;
    text.push_str(std::str::from_utf8(&bytes).unwrap());
    matches!(outcome, Ok(count) if count > 0)
}

/// Waits until `counter` reaches `wanted`; the test's bound ends a wait in vain.
pub async fn reaches(counter: &Rc<Cell<usize>>, wanted: usize) {
    while counter.get() < wanted {
        monoio::time::sleep(POLL).await;
    }
}

/// Lets every other task of the runtime and the event loop have turns.
pub async fn settle() {
    for _ in 0..5 {
        monoio::time::sleep(POLL).await;
    }
}
