//! A response that arrives before its request is written completely.
//!
//! Guards against a part of a close-delimited response that is taken as complete, because the write of
//! the request, and not the read of the response, reported the reset that cut it off.

mod common;

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use bytes::Bytes;
use common::run;
use peridotrack_http::client::{Connection, Error, Options};
use rstest::rstest;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\n\r\na part";
const BODY: &[u8] = b"a part";
/// Length of a request that the buffers of a connection cannot hold.
const LONG_BYTES: usize = 40_000_000;
/// Time between the steps of a server, in which the client handles the one before.
const STEP: Duration = Duration::from_millis(30);

/// What a server does after its response, which it sends as soon as it has read the head.
#[derive(Debug, Clone, Copy)]
enum Then {
    /// Closes the connection with unread bytes of the request, which resets it.
    Reset,
    /// Closes its direction of the connection, and resets the connection later.
    CloseAndReset,
    /// Closes its direction of the connection and reads the request to its end.
    CloseAndRead,
}

fn serve(then: Then) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte).unwrap();
            head.push(byte[0]);
        }
        thread::sleep(STEP);
        stream.write_all(RESPONSE).unwrap();
        thread::sleep(STEP);
        match then {
            Then::Reset => {}
            Then::CloseAndReset => {
                stream.shutdown(Shutdown::Write).unwrap();
                thread::sleep(STEP);
            }
            Then::CloseAndRead => {
                stream.shutdown(Shutdown::Write).unwrap();
                let _ = stream.read_to_end(&mut Vec::new());
            }
        }
    });
    address
}

async fn upload(address: SocketAddr, bytes: usize) -> Result<Bytes, Error> {
    let options = Options {
        accept_close_delimited: true,
        ..Options::default()
    };
    let mut connection = Connection::connect(address, options).await?;
    let request = http::Request::post("/").body(vec![0; bytes].into());
    connection.send(request.unwrap()).await?;
    connection.read_body().await
}

#[rstest]
#[case::of_a_request_in_one_write(20_000, Then::Reset)]
#[case::of_a_request_that_the_kernel_buffers(200_000, Then::Reset)]
#[case::of_a_request_that_is_being_written(LONG_BYTES, Then::Reset)]
#[case::after_its_end(LONG_BYTES, Then::CloseAndReset)]
fn a_response_that_is_reset_is_not_complete(#[case] bytes: usize, #[case] then: Then) {
    let result = run(upload(serve(then), bytes));
    assert!(result.is_err(), "{result:?}");
}

#[rstest]
fn a_response_that_ends_before_the_request_is_complete(
    #[values(20_000, 200_000, LONG_BYTES)] bytes: usize,
) {
    let body = run(upload(serve(Then::CloseAndRead), bytes)).unwrap();
    assert_eq!(body, BODY);
}
