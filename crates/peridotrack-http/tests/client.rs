//! Contract of `client::Connection`: whole answers, cut answers, what the server saw.

mod common;

use bytes::Bytes;
use common::{Then, run};
use http::Request;
use monoio::net::TcpStream;
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

/// A connection whose server reads one request head, then sends `parts`.
async fn connection_to(parts: Vec<Vec<u8>>, then: Then, options: Options) -> Connection {
    let (listener, address) = common::listen();
    monoio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        serve(&mut stream, parts, then).await;
        // Holds the stream; the runtime would drop a task that waits for nothing.
        monoio::time::sleep(std::time::Duration::from_secs(60)).await;
    });
    Connection::connect(address, options).await.unwrap()
}

async fn serve(stream: &mut TcpStream, parts: Vec<Vec<u8>>, then: Then) {
    let mut request = String::new();
    common::read_until(stream, &mut request, "\r\n\r\n").await;
    common::send_parts(stream, parts, then).await;
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
fn whole_answer_is_read_however_it_is_split(
    #[case] answer: &str,
    #[case] body: &str,
    #[case] reusable: bool,
) {
    for split in 1..answer.len() {
        run(async {
            let (first, rest) = answer.split_at(split);
            let parts = vec![first.into(), rest.into()];
            let mut connection = connection_to(parts, Then::Hold, options()).await;
            assert_eq!(exchange(&mut connection, get()).await.unwrap(), body);
            assert_eq!(connection.is_reusable(), reusable);
        });
    }
}

#[test]
fn head_answer_has_no_body() {
    run(async {
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n".to_vec();
        let mut connection = connection_to(vec![answer], Then::Hold, options()).await;
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

fn name(error: &Error) -> String {
    let kind = match &error.kind {
        Kind::TimedOut => "timeout",
        Kind::Closed => "closed",
        Kind::Malformed { .. } => "malformed",
        Kind::HeadTooLarge => "head too large",
        Kind::BodyTooLarge => "body too large",
        Kind::Io(_) => "io",
        Kind::OutOfOrder => "out of order",
    };
    format!("{:?} {kind}", error.step)
}

#[rstest]
#[case::closed_without_answer("", "Head closed")]
#[case::cut_head("HTTP/1.1 200 OK\r\nConte", "Head closed")]
#[case::not_http("SSH-2.0-server\r\n\r\n", "Head malformed")]
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
fn doubtful_answer_is_an_error(#[case] answer: &str, #[case] expected: &str) {
    run(async {
        let mut connection = connection_to(vec![answer.into()], Then::Close, options()).await;
        let error = exchange(&mut connection, get()).await.unwrap_err();
        assert_eq!(name(&error), expected);
        assert!(error.bytes_written);
        assert!(!connection.is_reusable());
    });
}

#[rstest]
#[case::no_answer("", "Head timeout")]
#[case::stalled_body("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell", "Body timeout")]
fn stalled_answer_is_an_error(#[case] answer: &str, #[case] expected: &str) {
    run(async {
        let options = Options {
            response_timeout_ms: 50,
            chunk_timeout_ms: 50,
            ..options()
        };
        let mut connection = connection_to(vec![answer.into()], Then::Hold, options).await;
        let error = exchange(&mut connection, get()).await.unwrap_err();
        assert_eq!(name(&error), expected);
        assert!(!connection.is_reusable());
    });
}

#[test]
fn refused_connection_has_written_nothing() {
    run(async {
        let (listener, address) = common::listen();
        drop(listener);
        let error = Connection::connect(address, options()).await.err().unwrap();
        assert_eq!((error.step, error.peer), (Step::Connect, address));
        assert!(!error.bytes_written);
    });
}

#[test]
fn second_request_on_a_doubtful_connection_writes_nothing() {
    run(async {
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell".to_vec();
        let mut connection = connection_to(vec![answer], Then::Hold, options()).await;
        connection.send(get()).await.unwrap();
        assert!(!connection.is_reusable());
        let error = connection.send(get()).await.unwrap_err();
        assert_eq!(name(&error), "Write out of order");
        assert!(!error.bytes_written);
    });
}

#[test]
fn bytes_beyond_the_answer_forbid_reuse() {
    run(async {
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n".to_vec();
        let mut connection = connection_to(vec![answer], Then::Hold, options()).await;
        assert_eq!(exchange(&mut connection, get()).await.unwrap(), "hi");
        assert!(!connection.is_reusable());
    });
}

/// The server sends each event only after the client got the one before it.
#[test]
fn events_are_given_as_they_arrive() {
    run(async {
        let received = std::rc::Rc::new(std::cell::Cell::new(0));
        let counter = received.clone();
        let (listener, address) = common::listen();
        monoio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            serve(&mut stream, vec![head.into()], Then::Hold).await;
            for event in 1..=5_usize {
                let chunk = format!("8\r\ndata: {event}\n\r\n");
                common::send_parts(&mut stream, vec![chunk.into()], Then::Hold).await;
                common::reaches(&counter, event).await;
            }
            common::send_parts(&mut stream, vec![b"0\r\n\r\n".to_vec()], Then::Hold).await;
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
fn chunks_read_together_are_given_without_a_wait() {
    run(async {
        let answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
                      1\r\na\r\n1\r\nb\r\n1\r\nc\r\n0\r\n\r\n";
        let mut connection = connection_to(vec![answer.into()], Then::Hold, options()).await;
        connection.send(get()).await.unwrap();
        let mut whole = connection.next_chunk().await.unwrap().unwrap().to_vec();
        while let Some(chunk) = connection.buffered_chunk().unwrap() {
            whole.extend_from_slice(&chunk);
        }
        assert_eq!(whole, b"abc");
        assert!(connection.next_chunk().await.unwrap().is_none());
        assert!(connection.buffered_chunk().unwrap().is_none() && connection.is_reusable());
    });
}

#[rstest]
#[case::malformed("2\r\nhi\r\nzz\r\n", "Body malformed")]
#[case::cut("2\r\nhi\r\nfffff\r\n", "Body closed")]
fn bad_chunk_behind_a_good_one_is_an_error(#[case] chunks: &str, #[case] expected: &str) {
    run(async {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let answer = format!("{head}{chunks}");
        let mut connection = connection_to(vec![answer.into()], Then::Close, options()).await;
        connection.send(get()).await.unwrap();
        assert_eq!(connection.next_chunk().await.unwrap().unwrap(), "hi");
        let error = match connection.buffered_chunk() {
            Ok(chunk) => {
                assert!(chunk.is_none());
                connection.next_chunk().await.unwrap_err()
            }
            Err(error) => error,
        };
        assert_eq!(name(&error), expected);
        assert!(!connection.is_reusable());
    });
}

#[test]
fn dropped_read_loses_no_bytes() {
    run(async {
        let parts = vec![
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhe".to_vec(),
            b"".to_vec(),
            b"".to_vec(),
            b"llo\r\n0\r\n\r\n".to_vec(),
        ];
        let mut connection = connection_to(parts, Then::Hold, options()).await;
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
#[case::closed(Then::Close, true)]
#[case::silent(Then::Hold, false)]
fn answer_without_a_length_is_taken_if_asked_for(#[case] then: Then, #[case] is_whole: bool) {
    let options = Options {
        accept_close_delimited: true,
        chunk_timeout_ms: 50,
        ..options()
    };
    common::run(async {
        let parts = vec![b"HTTP/1.1 200 OK\r\n\r\nhel".to_vec(), b"lo".to_vec()];
        let mut connection = connection_to(parts, then, options).await;
        let answer = exchange(&mut connection, get()).await;
        match answer {
            Ok(body) => {
                assert!(is_whole);
                assert_eq!(&body[..], b"hello");
            }
            Err(_) => assert!(!is_whole),
        }
        assert!(!connection.is_reusable());
    });
}
