//! Shared fixture: a runtime per test, and a raw TCP peer at the other end of a connection.
#![allow(dead_code)]

use std::{cell::Cell, future::Future, net::SocketAddr, rc::Rc, time::Duration};

use monoio::{
    io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
};

/// Timeout of a whole test, so that a hang is a failure.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two polls of a condition, and pause after each sent part.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Runs a test body on its own runtime, within the timeout.
pub fn run<T>(body: impl Future<Output = T>) -> T {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .unwrap();
    runtime
        .block_on(async { monoio::time::timeout(TEST_TIMEOUT, body).await })
        .expect("the test timed out")
}

/// Returns a pair of connected loopback streams: the opening and the accepting end.
pub async fn connected_pair() -> (TcpStream, TcpStream) {
    let (listener, address) = listen();
    let opened = TcpStream::connect(address).await.unwrap();
    let (accepted, _) = listener.accept().await.unwrap();
    opened.set_nodelay(true).unwrap();
    (opened, accepted)
}

/// Listens on a free loopback port.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// What a raw peer does after its last byte.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum AfterSend {
    Close,
    KeepOpen,
}

/// Writes `parts` one by one, with a pause after each so that the reader receives it separately.
pub async fn send_parts(stream: &mut TcpStream, parts: Vec<Vec<u8>>, after: AfterSend) {
    for part in parts {
        if stream.write_all(part).await.0.is_err() {
            return;
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
    if after == AfterSend::Close {
        let _ = stream.shutdown().await;
    }
}

/// Reads into `text` until it contains `wanted` or the stream ends.
pub async fn read_until(stream: &mut TcpStream, text: &mut String, wanted: &str) {
    while !text.contains(wanted) && read_some(stream, text).await {}
}

/// Reads until the end of the stream.
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

/// Waits until `counter` reaches `wanted`; otherwise the test's timeout ends the wait.
pub async fn wait_for_count(counter: &Rc<Cell<usize>>, wanted: usize) {
    while counter.get() < wanted {
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Yields several times, so that other tasks and the event loop make progress.
pub async fn yield_to_tasks() {
    for _ in 0..5 {
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}
