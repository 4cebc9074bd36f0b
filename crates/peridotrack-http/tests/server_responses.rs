//! Responses of a server connection: framing, streaming, keep-alive, slow and disconnected callers.
//!
//! Guards against responses that a caller cannot delimit, are delayed by buffering or lost by an
//! early close, and against callers that block a write forever.

mod common;

use std::{cell::Cell, rc::Rc};

use bytes::Bytes;
use common::{AfterSend, run};
use http::{Response, StatusCode};
use monoio::net::TcpStream;
use peridotrack_http::server::{Connection, Error, Options, Step};
use rstest::rstest;

async fn accepted_request(request: &str, options: Options) -> (TcpStream, Connection) {
    let (mut caller, accepted) = common::connected_pair().await;
    let mut connection = Connection::new(accepted, options);
    common::send_parts(&mut caller, vec![request.into()], AfterSend::KeepOpen).await;
    connection.next().await.unwrap().unwrap();
    (caller, connection)
}

#[rstest]
#[case::get(
    "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    200,
    "content-length: 2\r\n\r\nhi",
    true
)]
#[case::head(
    "HEAD / HTTP/1.1\r\nHost: x\r\n\r\n",
    200,
    "content-length: 2\r\n\r\n",
    true
)]
#[case::no_content(
    "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    204,
    "204 No Content\r\n\r\n",
    true
)]
#[case::close(
    "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
    200,
    "connection: close\r\ncontent-length: 2\r\n\r\nhi",
    false
)]
#[case::http10(
    "GET / HTTP/1.0\r\n\r\n",
    200,
    "connection: close\r\ncontent-length: 2\r\n\r\nhi",
    false
)]
fn unchunked_response_has_a_content_length(
    #[case] request: &str,
    #[case] status: u16,
    #[case] ending: &str,
    #[case] keep_alive: bool,
) {
    run(async {
        let (mut caller, mut connection) = accepted_request(request, Options::default()).await;
        let mut response = Response::new(Bytes::from("hi"));
        *response.status_mut() = StatusCode::from_u16(status).unwrap();
        connection.respond(response).await.unwrap();
        assert_eq!(connection.keep_alive(), keep_alive);
        drop(connection);
        let text = common::read_to_end(&mut caller).await;
        assert!(
            text.starts_with("HTTP/1.1 ") && text.ends_with(ending),
            "{text}"
        );
    });
}

#[test]
fn connection_close_header_of_the_response_closes_the_connection() {
    run(async {
        let request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
        let (_caller, mut connection) = accepted_request(request, Options::default()).await;
        let response = Response::builder().header("connection", "close");
        connection
            .respond(response.body(Bytes::new()).unwrap())
            .await
            .unwrap();
        assert!(!connection.keep_alive());
        assert!(connection.next().await.unwrap().is_none());
    });
}

#[rstest]
#[case::finished(true, "2\r\nhi\r\n0\r\n\r\n")]
#[case::cut(false, "2\r\nhi\r\n")]
fn chunked_response_ends_only_with_finish(#[case] finish: bool, #[case] body: &str) {
    run(async {
        let request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
        let (mut caller, mut connection) = accepted_request(request, Options::default()).await;
        connection.start(Response::new(())).await.unwrap();
        connection.write(Bytes::new()).await.unwrap();
        connection.write(Bytes::from("hi")).await.unwrap();
        if finish {
            connection.finish().await.unwrap();
        }
        drop(connection);
        let text = common::read_to_end(&mut caller).await;
        assert_eq!(
            text,
            format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{body}")
        );
    });
}

/// Each event is written only after the caller has received the previous one, so a server that
/// buffers events until the end makes the test time out.
#[test]
fn chunks_arrive_one_by_one() {
    run(async {
        let request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
        let (mut caller, mut connection) = accepted_request(request, Options::default()).await;
        let received = Rc::new(Cell::new(0));
        let counter = received.clone();
        let reader = monoio::spawn(async move {
            let mut text = String::new();
            for event in 1..=5_usize {
                common::read_until(&mut caller, &mut text, &format!("data: {event}\n\n")).await;
                counter.set(event);
            }
        });
        connection.start(Response::new(())).await.unwrap();
        for event in 1..=5_usize {
            connection
                .write(Bytes::from(format!("data: {event}\n\n")))
                .await
                .unwrap();
            common::wait_for_count(&received, event).await;
        }
        connection.finish().await.unwrap();
        reader.await;
        assert!(connection.keep_alive());
    });
}

#[test]
fn http10_caller_gets_an_unchunked_response_only() {
    run(async {
        let request = "GET / HTTP/1.0\r\n\r\n";
        let (_caller, mut connection) = accepted_request(request, Options::default()).await;
        let refused = connection.start(Response::new(())).await;
        assert!(matches!(refused, Err(Error::StreamUnsupported { .. })));
        connection
            .respond(Response::new(Bytes::new()))
            .await
            .unwrap();
    });
}

#[test]
fn refusal_of_an_unread_request_closes_the_connection() {
    run(async {
        let (mut caller, accepted) = common::connected_pair().await;
        let mut connection = Connection::new(accepted, Options::default());
        let exchange = monoio::spawn(async move {
            let request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
            common::send_parts(&mut caller, vec![request.into()], AfterSend::Close).await;
            common::read_to_end(&mut caller).await
        });
        connection.readable().await;
        let refusal = Response::new(Bytes::from("refused"));
        connection.refuse(refusal.clone()).await.unwrap();
        let again = connection.refuse(refusal).await;
        assert!(matches!(again, Err(Error::OutOfOrder { .. })));
        assert!(connection.next().await.unwrap().is_none());
        drop(connection);
        let received = exchange.await.to_ascii_lowercase();
        assert!(received.contains("connection: close") && received.ends_with("refused"));
    });
}

#[test]
fn error_response_reaches_a_caller_that_is_still_sending() {
    run(async {
        let (mut caller, accepted) = common::connected_pair().await;
        let mut connection = Connection::new(
            accepted,
            Options {
                body_bytes: 1024,
                ..Options::default()
            },
        );
        let body = "b".repeat(512 * 1024);
        let text = format!(
            "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let exchange = monoio::spawn(async move {
            common::send_parts(&mut caller, vec![text.into()], AfterSend::Close).await;
            common::read_to_end(&mut caller).await
        });
        assert!(matches!(
            connection.next().await,
            Err(Error::BodyTooLarge { .. })
        ));
        let mut response = Response::new(Bytes::from("too large"));
        *response.status_mut() = StatusCode::PAYLOAD_TOO_LARGE;
        connection.respond(response).await.unwrap();
        drop(connection);
        let received = exchange.await;
        assert!(
            received.starts_with("HTTP/1.1 413 ") && received.ends_with("too large"),
            "{received}"
        );
    });
}

/// A close with unread bytes resets the connection, which discards the part of the response that is
/// not sent yet.
#[rstest]
#[case::unchunked(false)]
#[case::chunked(true)]
fn last_response_is_complete_although_the_caller_sent_more(#[case] is_chunked: bool) {
    run(async {
        let request = "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let (mut caller, mut connection) = accepted_request(request, Options::default()).await;
        common::send_parts(&mut caller, vec![request.into()], AfterSend::KeepOpen).await;
        common::yield_to_tasks().await;
        let body = Bytes::from("b".repeat(8 * 1024 * 1024));
        let length = body.len();
        let reader = monoio::spawn(async move { common::read_to_end(&mut caller).await });
        if is_chunked {
            connection.start(Response::new(())).await.unwrap();
            connection.write(body).await.unwrap();
            connection.finish().await.unwrap();
        } else {
            connection.respond(Response::new(body)).await.unwrap();
        }
        drop(connection);
        let text = reader.await;
        assert!(text.len() > length && text.ends_with(if is_chunked { "0\r\n\r\n" } else { "b" }));
    });
}

#[test]
fn calls_out_of_order_are_refused() {
    run(async {
        let request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
        let (_caller, mut connection) = accepted_request(request, Options::default()).await;
        assert!(matches!(
            connection.next().await,
            Err(Error::OutOfOrder { .. })
        ));
        assert!(matches!(
            connection.finish().await,
            Err(Error::OutOfOrder { .. })
        ));
        connection.start(Response::new(())).await.unwrap();
        let second = connection.respond(Response::new(Bytes::new())).await;
        assert!(matches!(second, Err(Error::OutOfOrder { .. })));
    });
}

#[test]
fn close_by_the_caller_is_detected_and_pipelined_bytes_are_kept() {
    run(async {
        let request = "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n";
        let (mut caller, mut connection) = accepted_request(request, Options::default()).await;
        let next = "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n";
        let half = next.len() / 2;
        common::send_parts(&mut caller, vec![next[..half].into()], AfterSend::KeepOpen).await;
        monoio::select! {
            () = connection.closed() => panic!("the caller has not closed the connection"),
            () = common::yield_to_tasks() => {}
        }
        common::send_parts(&mut caller, vec![next[half..].into()], AfterSend::KeepOpen).await;
        connection
            .respond(Response::new(Bytes::new()))
            .await
            .unwrap();
        assert_eq!(connection.next().await.unwrap().unwrap().head.uri, "/2");
        drop(caller);
        connection.closed().await;
    });
}

#[test]
fn write_to_a_caller_that_does_not_read_times_out() {
    run(async {
        let options = Options {
            write_timeout_ms: 30,
            ..Options::default()
        };
        let request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
        let (_caller, mut connection) = accepted_request(request, options).await;
        connection.start(Response::new(())).await.unwrap();
        let chunk = Bytes::from(vec![b'c'; 1024 * 1024]);
        let mut outcome = Ok(());
        // Far more than the socket buffers of both sides can hold.
        for _ in 0..64 {
            outcome = connection.write(chunk.clone()).await;
            if outcome.is_err() {
                break;
            }
        }
        assert!(matches!(
            outcome,
            Err(Error::TimedOut {
                step: Step::Write,
                ..
            })
        ));
        assert!(!connection.keep_alive());
        assert!(matches!(
            connection.finish().await,
            Err(Error::OutOfOrder { .. })
        ));
    });
}
