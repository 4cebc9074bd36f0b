//! How client connections end.
//!
//! Guards against a request that reaches its server after it was given up, because the operating system
//! goes on delivering what was written to a closed connection, and against the reset of a connection
//! whose exchange is complete.

mod common;

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::mpsc,
    thread,
    time::Duration,
};

use bytes::Bytes;
use common::run;
use http::Request;
use peridotrack_http::client::{Connection, Error, Options};
use rstest::rstest;

/// Maximum wait of a server for the end of a connection.
const END_LIMIT: Duration = Duration::from_secs(5);
/// Time after which a test drops an exchange.
const GIVE_UP_AFTER: Duration = Duration::from_millis(50);
/// Length of a request that the buffers of a connection cannot hold.
const LONG_BYTES: usize = 40_000_000;

/// How a server saw its connection end.
#[derive(Debug, PartialEq, Eq)]
enum Seen {
    End,
    Reset,
}

/// Starts a server that reads a request head, responds, and reads until its connection ends.
fn serve(response: &'static str) -> (SocketAddr, mpsc::Receiver<Seen>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, seen) = mpsc::channel();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.set_read_timeout(Some(END_LIMIT)).unwrap();
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte).unwrap();
            head.push(byte[0]);
        }
        stream.write_all(response.as_bytes()).unwrap();
        thread::sleep(2 * GIVE_UP_AFTER);
        let _ = sender.send(end_of(&mut stream));
    });
    (address, seen)
}

fn end_of(stream: &mut TcpStream) -> Seen {
    match stream.read_to_end(&mut Vec::new()) {
        Ok(_) => Seen::End,
        Err(error) if error.kind() == ErrorKind::ConnectionReset => Seen::Reset,
        Err(error) => panic!("{error}"),
    }
}

async fn exchange(connection: &mut Connection, request: Request<Bytes>) -> Result<Bytes, Error> {
    connection.send(request).await?;
    connection.read_body().await
}

fn post(bytes: usize) -> Request<Bytes> {
    Request::post("/").body(vec![0; bytes].into()).unwrap()
}

#[rstest]
#[case::before_the_response("", 5)]
#[case::while_the_request_is_written("", LONG_BYTES)]
#[case::within_the_head("HTTP/1.1 200 OK\r\nConte", 5)]
#[case::within_the_body("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell", 5)]
#[case::before_the_last_chunk(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
    5
)]
#[case::of_a_malformed_response("HTTP/1.1 000 OK\r\n\r\n", 5)]
fn an_exchange_that_is_given_up_resets_its_connection(
    #[case] response: &'static str,
    #[case] request_bytes: usize,
    // With the longer one the caller gives up before the timeout.
    #[values(20, 10_000)] timeout_ms: u64,
) {
    let (address, seen) = serve(response);
    run(async {
        let options = Options {
            response_timeout_ms: timeout_ms,
            chunk_timeout_ms: timeout_ms,
            ..Options::default()
        };
        let mut connection = Connection::connect(address, options).await.unwrap();
        let exchange = exchange(&mut connection, post(request_bytes));
        let result = monoio::time::timeout(GIVE_UP_AFTER, exchange).await;
        let is_complete = matches!(result, Ok(Ok(_)));
        assert!(!is_complete, "{result:?}");
    });
    assert_eq!(seen.recv_timeout(END_LIMIT).unwrap(), Seen::Reset);
}

#[rstest]
#[case::length("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")]
#[case::chunks("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")]
#[case::closing("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello")]
#[case::no_body("HTTP/1.1 204 No Content\r\n\r\n")]
fn a_connection_with_a_complete_exchange_is_closed(#[case] response: &'static str) {
    let (address, seen) = serve(response);
    run(async {
        let connecting = Connection::connect(address, Options::default());
        let mut connection = connecting.await.unwrap();
        exchange(&mut connection, post(0)).await.unwrap();
    });
    assert_eq!(seen.recv_timeout(END_LIMIT).unwrap(), Seen::End);
}
