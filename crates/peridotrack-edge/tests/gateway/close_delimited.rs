//! Responses with neither a length nor chunks, which end with their connection: only a whole one may
//! look complete to the client.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use peridotrack_standin::{
    harness::{http::block_on, wait},
    hosted::deployment,
};
use rstest::rstest;

use crate::fixture::{Fixture, LIMIT, request};

/// How the server ends the connection after its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Close,
    Reset,
}

const EVENTS: &str = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";

/// Starts a server that sends every request a response with this body and then ends the connection.
fn serve(content_type: &'static str, body: &'static str, end: End) -> SocketAddr {
    serve_status("200 OK", content_type, body, end)
}

/// Does the same as [`serve`], with this status in the response.
fn serve_status(
    status: &'static str,
    content_type: &'static str,
    body: &'static str,
    end: End,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            // The gateway opens connections without a request, and may close others.
            thread::spawn(move || respond(stream, status, content_type, body, end));
        }
    });
    address
}

fn respond(
    mut stream: TcpStream,
    status: &str,
    content_type: &str,
    body: &str,
    end: End,
) -> std::io::Result<()> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    // A connection that is closed with unread bytes, here those of the body, is reset.
    if end == End::Close {
        stream.read_exact(&mut [0; 4])?;
    }
    let response = format!(
        "HTTP/1.1 {status}\r\nperidotrack-request-id: 9c41\r\nperidotrack-response-seal: 3e1b\r\n\
         content-type: {content_type}\r\n\r\n{body}"
    );
    stream.write_all(response.as_bytes())?;
    thread::sleep(Duration::from_millis(100));
    Ok(())
}

/// Starts a gateway with this server and waits until it sends requests for `path` there.
async fn fixture(server: SocketAddr, path: &str) -> Fixture {
    let fixture = Fixture::spawn(0).await;
    let entry = deployment::entry(server, "a", "ready");
    fixture.store.put("servers", "i-0", entry);
    let is_sent = async || {
        let response = fixture.get(path).await;
        response
            .is_none_or(|response| response.status() != 503)
            .then_some(())
    };
    wait::poll(LIMIT, "the server", is_sent).await.unwrap();
    fixture
}

#[test]
fn a_stream_that_ends_with_its_connection_is_forwarded_whole() {
    block_on(async {
        let server = serve("text/event-stream", EVENTS, End::Close);
        let fixture = fixture(server, "/stream/x").await;
        let response = fixture.get("/stream/x").await.unwrap();
        assert_eq!(response.body(), EVENTS);
    });
}

/// Guards against a truncated stream that looks complete to the client.
#[rstest]
#[case::ends_within_an_event("id: 0\ndata: a\n\nid: 1\nda", End::Close)]
#[case::has_no_event("", End::Close)]
#[case::is_reset_after_its_last_event(EVENTS, End::Reset)]
#[case::is_reset_within_an_event("id: 0\nda", End::Reset)]
fn a_broken_stream_does_not_look_complete(#[case] body: &'static str, #[case] end: End) {
    block_on(async {
        let server = serve("text/event-stream", body, end);
        let fixture = fixture(server, "/stream/x").await;
        let response = fixture.get("/stream/x").await;
        let is_success = response.is_some_and(|response| response.status().is_success());
        assert!(!is_success);
    });
}

#[rstest]
#[case::closed(End::Close, true)]
#[case::reset(End::Reset, false)]
fn a_plain_response_is_whole_unless_its_connection_is_reset(
    #[case] end: End,
    #[case] is_whole: bool,
) {
    block_on(async {
        let server = serve("text/plain", "the answer", end);
        let fixture = fixture(server, "/unsafe/").await;
        let response = fixture.get("/unsafe/").await.unwrap();
        assert_eq!(response.status() == 200, is_whole, "{response:?}");
    });
}

/// Guards against a part of a response that looks complete, because the connection was reset while
/// the request was still being written.
#[rstest]
fn a_response_that_is_reset_during_a_long_upload_does_not_look_complete(
    #[values("/safe/x", "/unsafe/x", "/stream/x")] path: &str,
    #[values("text/plain", "text/event-stream")] content_type: &'static str,
    #[values(40_000, 4_000_000)] upload_bytes: usize,
) {
    block_on(async {
        let server = serve(content_type, EVENTS, End::Reset);
        let fixture = fixture(server, path).await;
        let mut upload = request(path, &[]);
        *upload.body_mut() = vec![0; upload_bytes].into();
        let response = fixture.send(upload).await;
        // Events that arrive before the reset are forwarded, and the stream is cut off.
        assert!(
            response
                .as_ref()
                .is_none_or(|response| response.status() == 502),
            "{response:?}"
        );
    });
}

/// Guards against a response that the client receives, although its status is none.
#[rstest]
fn a_response_with_a_status_of_no_class_is_not_forwarded(
    #[values("000 OK", "099 OK", "600 OK", "999 OK")] status: &'static str,
    #[values("/safe/x", "/unsafe/x", "/stream/x")] path: &str,
) {
    block_on(async {
        let server = serve_status(status, "text/plain", "the answer", End::Close);
        let fixture = fixture(server, path).await;
        let response = fixture.get(path).await.unwrap();
        assert_eq!(response.status(), 502);
        assert!(!response.headers().contains_key("peridotrack-response-seal"));
    });
}
