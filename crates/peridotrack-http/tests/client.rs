//! `client::Connection` accepts complete responses only, and reports whether the server may have
//! received a part of the request.
//!
//! Guards against a truncated or ambiguous response that is taken as complete, and against the
//! reuse of a connection whose next bytes would be read as the response to a later request.

mod common;

use bytes::Bytes;
use common::{AfterSend, run};
use http::Request;
use monoio::{io::AsyncWriteRentExt, net::TcpStream};
use peridotrack_http::client::{Connection, Error, Kind, Options, Step};
use rstest::rstest;

fn options() -> Options {
    Options {
        connect_timeout_ms: 10_000,
        response_timeout_ms: 10_000,
        chunk_timeout_ms: 10_000,
        head_bytes: 256,
        body_bytes: 64,
        ..Options::default()
    }
}

/// Connects to a server that reads one request head, then sends `parts` and does `after`.
async fn connection_to(parts: Vec<Vec<u8>>, after: AfterSend, options: Options) -> Connection {
    let (listener, address) = common::listen();
    monoio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        serve(&mut stream, parts, after).await;
        // Keeps the stream open; the runtime would drop a task that waits for nothing.
        monoio::time::sleep(std::time::Duration::from_secs(60)).await;
    });
    Connection::connect(address, options).await.unwrap()
}

async fn serve(stream: &mut TcpStream, parts: Vec<Vec<u8>>, after: AfterSend) {
    let mut request = String::new();
    common::read_until(stream, &mut request, "\r\n\r\n").await;
    common::send_parts(stream, parts, after).await;
}

fn get() -> Request<Bytes> {
    Request::get("/a?b").body(Bytes::new()).unwrap()
}

async fn exchange(connection: &mut Connection, request: Request<Bytes>) -> Result<Bytes, Error> {
    connection.send(request).await?;
    connection.read_body().await
}

#[rstest]
#[case::fixed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "hello", true)]
#[case::empty("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", true)]
#[case::no_content("HTTP/1.1 204 No Content\r\n\r\n", "", true)]
#[case::chunked(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
    "hello",
    true
)]
#[case::after_interim(
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
    "hi",
    true
)]
#[case::closing(
    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi",
    "hi",
    false
)]
#[case::http10("HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nhi", "hi", false)]
fn complete_response_is_read_at_any_split(
    #[case] response: &str,
    #[case] body: &str,
    #[case] reusable: bool,
) {
    for split in 1..response.len() {
        run(async {
            let (first, rest) = response.split_at(split);
            let parts = vec![first.into(), rest.into()];
            let mut connection = connection_to(parts, AfterSend::KeepOpen, options()).await;
            assert_eq!(exchange(&mut connection, get()).await.unwrap(), body);
            assert_eq!(connection.is_reusable(), reusable);
        });
    }
}

#[test]
fn response_to_head_has_no_body() {
    run(async {
        let response = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n".to_vec();
        let mut connection = connection_to(vec![response], AfterSend::KeepOpen, options()).await;
        let request = Request::head("/").body(Bytes::new()).unwrap();
        assert_eq!(exchange(&mut connection, request).await.unwrap(), "");
        assert!(connection.is_reusable());
    });
}

#[test]
fn request_is_written_with_host_and_length() {
    run(async {
        let (listener, address) = common::listen();
        let server = monoio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut text = String::new();
            common::read_until(&mut stream, &mut text, "hello").await;
            text
        });
        let mut connection = Connection::connect(address, options()).await.unwrap();
        let request = Request::post("/a?b")
            .header("content-length", "99")
            .header("x", "y");
        let _ = connection
            .send(request.body(Bytes::from("hello")).unwrap())
            .await;
        let expected = format!(
            "POST /a?b HTTP/1.1\r\nhost: {address}\r\nx: y\r\ncontent-length: 5\r\n\r\nhello"
        );
        assert_eq!(server.await, expected);
    });
}

fn describe(error: &Error) -> String {
    let kind = match &error.kind {
        Kind::TimedOut => "timeout",
        Kind::Closed => "closed",
        Kind::Unsolicited => "unsolicited",
        Kind::Malformed { .. } => "malformed",
        Kind::HeadTooLarge => "head too large",
        Kind::BodyTooLarge => "body too large",
        Kind::Dropped => "dropped",
        Kind::Io(_) => "io",
        Kind::OutOfOrder => "out of order",
    };
    format!("{:?} {kind}", error.step)
}

#[rstest]
#[case::closed_without_response("", "Head closed")]
#[case::cut_head("HTTP/1.1 200 OK\r\nConte", "Head closed")]
#[case::not_http("SSH-2.0-server\r\n\r\n", "Head malformed")]
#[case::status_zero("HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n", "Head malformed")]
#[case::status_below_100("HTTP/1.1 099 OK\r\nContent-Length: 0\r\n\r\n", "Head malformed")]
#[case::status_above_599("HTTP/1.1 600 OK\r\nContent-Length: 0\r\n\r\n", "Head malformed")]
#[case::largest_status("HTTP/1.1 999 OK\r\nContent-Length: 0\r\n\r\n", "Head malformed")]
#[case::status_of_two_digits("HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n", "Head malformed")]
#[case::status_of_four_digits("HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n", "Head malformed")]
#[case::no_status("HTTP/1.1 OK\r\nContent-Length: 0\r\n\r\n", "Head malformed")]
#[case::other_version("HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n", "Head malformed")]
#[case::no_stated_end("HTTP/1.1 200 OK\r\n\r\nhello", "Head malformed")]
#[case::lengths_differ(
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nhello",
    "Head malformed"
)]
#[case::length_and_coding(
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "Head malformed"
)]
#[case::bare_line_feeds("HTTP/1.1 200 OK\nContent-Length: 0\n\n\r\n\r\n", "Head malformed")]
#[case::cut_fixed_body("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell", "Body closed")]
#[case::cut_chunk(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
    "Body closed"
)]
#[case::no_last_chunk(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
    "Body closed"
)]
#[case::half_of_last_chunk(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
    "Body closed"
)]
#[case::bad_chunk(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\nhello\r\n",
    "Body malformed"
)]
#[case::long_body(
    &format!("HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n{}", "b".repeat(65)),
    "Body body too large"
)]
#[case::long_chunk(
    &format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n{}", "b".repeat(4096)),
    "Body body too large"
)]
#[case::long_head(
    &format!("HTTP/1.1 200 OK\r\nA: {}\r\n\r\n", "b".repeat(300)),
    "Head head too large"
)]
#[case::endless_head(&"b".repeat(4096), "Head head too large")]
#[case::endless_interim_responses(&"HTTP/1.1 102 Processing\r\n\r\n".repeat(200), "Head head too large")]
fn invalid_or_truncated_response_is_an_error(#[case] response: &str, #[case] expected: &str) {
    run(async {
        let mut connection =
            connection_to(vec![response.into()], AfterSend::Close, options()).await;
        let error = exchange(&mut connection, get()).await.unwrap_err();
        assert_eq!(describe(&error), expected);
        assert!(error.bytes_written);
        assert!(!connection.is_reusable());
    });
}

#[rstest]
#[case::no_response("", "Head timeout")]
#[case::stalled_body("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell", "Body timeout")]
fn stalled_response_times_out(#[case] response: &str, #[case] expected: &str) {
    run(async {
        let options = Options {
            response_timeout_ms: 50,
            chunk_timeout_ms: 50,
            ..options()
        };
        let mut connection =
            connection_to(vec![response.into()], AfterSend::KeepOpen, options).await;
        let error = exchange(&mut connection, get()).await.unwrap_err();
        assert_eq!(describe(&error), expected);
        assert!(!connection.is_reusable());
    });
}

#[test]
fn refused_connection_reports_no_bytes_written() {
    run(async {
        let (listener, address) = common::listen();
        drop(listener);
        let error = Connection::connect(address, options()).await.err().unwrap();
        assert_eq!((error.step, error.peer), (Step::Connect, address));
        assert!(!error.bytes_written);
    });
}

#[test]
fn request_before_the_end_of_the_last_body_writes_nothing() {
    run(async {
        let response = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell".to_vec();
        let mut connection = connection_to(vec![response], AfterSend::KeepOpen, options()).await;
        connection.send(get()).await.unwrap();
        assert!(!connection.is_reusable());
        let error = connection.send(get()).await.unwrap_err();
        assert_eq!(describe(&error), "Write out of order");
        assert!(!error.bytes_written);
    });
}

#[test]
fn bytes_after_the_response_prevent_reuse() {
    run(async {
        let response =
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n".to_vec();
        let mut connection = connection_to(vec![response], AfterSend::KeepOpen, options()).await;
        assert_eq!(exchange(&mut connection, get()).await.unwrap(), "hi");
        assert!(!connection.is_reusable());
    });
}

/// What arrives on a connection that waits for no response.
#[derive(Debug, Clone, Copy)]
enum Arrival {
    Response,
    Close,
}

/// Guards against the response to a request that was not written yet, and against a request written to
/// a closed connection, whose outcome is then unknown.
#[rstest]
fn what_arrives_before_a_request_is_taken_for_its_response(
    #[values(0, 1)] exchanges: usize,
    #[values((Arrival::Response, "Write unsolicited"), (Arrival::Close, "Write closed"))] case: (
        Arrival,
        &str,
    ),
    #[values(false, true)] is_reported: bool,
) {
    const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
    run(async {
        let (arrival, expected) = case;
        let (opened, mut server) = common::connected_pair().await;
        let address = opened.peer_addr().unwrap();
        let mut connection = Connection::over(opened, address, options());
        for _ in 0..exchanges {
            let responses = vec![RESPONSE.to_vec()];
            let serving = serve(&mut server, responses, AfterSend::KeepOpen);
            let (body, ()) = monoio::join!(exchange(&mut connection, get()), serving);
            assert_eq!(body.unwrap(), "hi");
        }
        assert!(connection.is_idle());
        match arrival {
            Arrival::Response => assert!(server.write_all(RESPONSE).await.0.is_ok()),
            Arrival::Close => drop(server),
        }
        // Without a turn of the event loop, only the operating system knows what has arrived.
        if is_reported {
            common::yield_to_tasks().await;
        }
        let error = exchange(&mut connection, get()).await.unwrap_err();
        assert_eq!(describe(&error), expected);
        assert!(!error.bytes_written);
        assert!(!connection.is_reusable());
    });
}

/// The server sends each event only after the client has received the previous one, so a client
/// that buffers events until the end times out.
#[test]
fn chunks_are_returned_as_they_arrive() {
    run(async {
        let received = std::rc::Rc::new(std::cell::Cell::new(0));
        let counter = received.clone();
        let (listener, address) = common::listen();
        monoio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            serve(&mut stream, vec![head.into()], AfterSend::KeepOpen).await;
            for event in 1..=5_usize {
                let chunk = format!("8\r\ndata: {event}\n\r\n");
                common::send_parts(&mut stream, vec![chunk.into()], AfterSend::KeepOpen).await;
                common::wait_for_count(&counter, event).await;
            }
            common::send_parts(
                &mut stream,
                vec![b"0\r\n\r\n".to_vec()],
                AfterSend::KeepOpen,
            )
            .await;
        });
        let mut connection = Connection::connect(address, options()).await.unwrap();
        connection.send(get()).await.unwrap();
        while let Some(chunk) = connection.next_chunk().await.unwrap() {
            received.set(received.get() + 1);
            assert_eq!(chunk, format!("data: {}\n", received.get()));
        }
        assert_eq!(received.get(), 5);
        assert!(connection.is_reusable());
    });
}

#[test]
fn buffered_chunks_are_returned_without_waiting() {
    run(async {
        let response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
                      1\r\na\r\n1\r\nb\r\n1\r\nc\r\n0\r\n\r\n";
        let mut connection =
            connection_to(vec![response.into()], AfterSend::KeepOpen, options()).await;
        connection.send(get()).await.unwrap();
        let mut received = connection.next_chunk().await.unwrap().unwrap().to_vec();
        while let Some(chunk) = connection.buffered_chunk().unwrap() {
            received.extend_from_slice(&chunk);
        }
        assert_eq!(received, b"abc");
        assert!(connection.next_chunk().await.unwrap().is_none());
        assert!(connection.buffered_chunk().unwrap().is_none() && connection.is_reusable());
    });
}

#[rstest]
#[case::malformed("2\r\nhi\r\nzz\r\n", "Body malformed")]
#[case::cut("2\r\nhi\r\nfffff\r\n", "Body closed")]
fn invalid_chunk_after_a_valid_one_is_an_error(#[case] chunks: &str, #[case] expected: &str) {
    run(async {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let response = format!("{head}{chunks}");
        let mut connection =
            connection_to(vec![response.into()], AfterSend::Close, options()).await;
        connection.send(get()).await.unwrap();
        assert_eq!(connection.next_chunk().await.unwrap().unwrap(), "hi");
        let error = match connection.buffered_chunk() {
            Ok(chunk) => {
                assert!(chunk.is_none());
                connection.next_chunk().await.unwrap_err()
            }
            Err(error) => error,
        };
        assert_eq!(describe(&error), expected);
        assert!(!connection.is_reusable());
    });
}

#[test]
fn cancelled_read_loses_no_bytes() {
    run(async {
        let parts = vec![
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhe".to_vec(),
            b"".to_vec(),
            b"".to_vec(),
            b"llo\r\n0\r\n\r\n".to_vec(),
        ];
        let mut connection = connection_to(parts, AfterSend::KeepOpen, options()).await;
        connection.send(get()).await.unwrap();
        loop {
            monoio::select! {
                chunk = connection.next_chunk() => {
                    assert_eq!(chunk.unwrap().unwrap(), "hello");
                    break;
                }
                () = monoio::time::sleep(std::time::Duration::from_micros(100)) => {}
            }
        }
        assert!(connection.next_chunk().await.unwrap().is_none());
    });
}

#[rstest]
#[case::closed(AfterSend::Close, true)]
#[case::silent(AfterSend::KeepOpen, false)]
fn close_delimited_response_is_accepted_if_enabled(
    #[case] after: AfterSend,
    #[case] is_complete: bool,
) {
    let options = Options {
        accept_close_delimited: true,
        chunk_timeout_ms: 50,
        ..options()
    };
    common::run(async {
        let parts = vec![b"HTTP/1.1 200 OK\r\n\r\nhel".to_vec(), b"lo".to_vec()];
        let mut connection = connection_to(parts, after, options).await;
        let response = exchange(&mut connection, get()).await;
        match response {
            Ok(body) => {
                assert!(is_complete);
                assert_eq!(&body[..], b"hello");
            }
            Err(_) => assert!(!is_complete),
        }
        assert!(!connection.is_reusable());
    });
}

/// Guards against a response that ended within its head and is taken as one without a length, which
/// ends with its connection.
#[rstest]
#[case::no_length(
    "HTTP/1.1 200 OK\r\nPeridotrack-Request-Id: 9c41\r\nContent-Type: text/plain\r\n\r\n"
)]
#[case::length("HTTP/1.1 200 OK\r\nPeridotrack-Request-Id: 9c41\r\nContent-Length: 5\r\n\r\n")]
#[case::chunks("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")]
fn a_response_that_ends_within_its_head_is_an_error(#[case] head: &'static str) {
    run(async move {
        for length in 0..head.len() {
            let options = Options {
                accept_close_delimited: true,
                ..options()
            };
            let part = head.as_bytes()[..length].to_vec();
            let mut connection = connection_to(vec![part], AfterSend::Close, options).await;
            let result = exchange(&mut connection, get()).await;
            assert!(result.is_err(), "{length} bytes: {result:?}");
            assert!(!connection.is_reusable());
        }
    });
}
