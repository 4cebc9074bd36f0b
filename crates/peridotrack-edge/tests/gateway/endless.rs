//! A backend server that sends bytes without end, in the head or the body of a response: the client
//! gets its final answer in time, other requests are served meanwhile, and the connection is closed.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use peridotrack_standin::harness::{http::block_on, wait};
use rstest::rstest;
use serde_json::json;

use crate::fixture::{Fixture, LIMIT, config, entry, request};

/// Deadline of the requests of the fixture, and the time within which its passing must show.
const ANSWER_WITHIN: Duration = Duration::from_millis(1_500 + 500);
/// Time after which the server stops by itself, so that a failed test ends.
const SERVER_LIMIT: Duration = Duration::from_secs(6);
const SIGNED: &str =
    "HTTP/1.1 200 OK\r\nPeridotrack-Request-Id: 9c41\r\nPeridotrack-Response-Seal: 3e1b\r\n";

/// A server that answers each request with a head and then the same bytes until it is cut off.
struct EndlessServer {
    address: SocketAddr,
    /// For each connection that carried a request, how long it took the gateway to close it.
    closed_after: mpsc::Receiver<Duration>,
}

fn spawn_endless(head: String, filler: String) -> EndlessServer {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, closed_after) = mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (head, filler, sender) = (head.clone(), filler.clone(), sender.clone());
            let mut stream = stream.unwrap();
            thread::spawn(move || {
                if let Some(elapsed) = answer_without_end(&mut stream, &head, &filler) {
                    let _ = sender.send(elapsed);
                }
            });
        }
    });
    EndlessServer {
        address,
        closed_after,
    }
}

/// Returns how long the peer took to close the connection; `None` if no request came.
fn answer_without_end(stream: &mut TcpStream, head: &str, filler: &str) -> Option<Duration> {
    let mut received = [0; 4096];
    if stream.read(&mut received).ok()? == 0 {
        return None;
    }
    let since = Instant::now();
    stream.set_write_timeout(Some(SERVER_LIMIT)).unwrap();
    let block = filler.repeat(64 * 1024 / filler.len());
    let mut sent = stream.write_all(head.as_bytes());
    while sent.is_ok() && since.elapsed() < SERVER_LIMIT {
        sent = stream.write_all(block.as_bytes());
    }
    Some(since.elapsed())
}

#[rstest]
#[case::status_line("/safe/x", "", "x")]
#[case::header_fields("/safe/x", "HTTP/1.1 200 OK\r\n", "a: b\r\n")]
#[case::header_value("/safe/x", "HTTP/1.1 200 OK\r\na: ", "b")]
#[case::interim_responses("/safe/x", "", "HTTP/1.1 102 Processing\r\n\r\n")]
#[case::body_of_a_failure(
    "/safe/x",
    "HTTP/1.1 500 Internal Server Error\r\nPeridotrack-Request-Id: 9c41\r\nContent-Length: 99999999999\r\n\r\n",
    "x"
)]
#[case::stated_length("/safe/x", &format!("{SIGNED}Content-Length: 99999999999\r\n\r\n"), "x")]
#[case::no_length("/safe/x", &format!("{SIGNED}\r\n"), "x")]
#[case::chunks("/safe/x", &format!("{SIGNED}Transfer-Encoding: chunked\r\n\r\n"), "2\r\nhi\r\n")]
#[case::chunk_size("/safe/x", &format!("{SIGNED}Transfer-Encoding: chunked\r\n\r\n"), "0")]
#[case::trailers("/safe/x", &format!("{SIGNED}Transfer-Encoding: chunked\r\n\r\n0\r\n"), "a: b\r\n")]
#[case::stream_without_an_event("/stream/x", &format!("{SIGNED}Content-Type: text/event-stream\r\n\r\n"), "data: x\n")]
#[case::stream_of_events("/stream/x", &format!("{SIGNED}Content-Type: text/event-stream\r\n\r\n"), "data: x\n\n")]
fn bytes_without_end_are_cut_off_and_other_requests_are_served(
    #[case] path: &str,
    #[case] head: &str,
    #[case] filler: &str,
) {
    let (head, filler) = (head.to_owned(), filler.to_owned());
    block_on(async {
        let fixture = Fixture::spawn_before_config(1);
        let server = spawn_endless(head, filler);
        // The sound server serves another service than the endless one.
        let mut sound = entry(&fixture.backends[0]);
        sound["service"] = json!("plain");
        fixture.store.put("servers", "i-0", sound);
        let mut endless = entry(&fixture.backends[0]);
        endless["address"] = server.address.to_string().into();
        fixture.store.put("servers", "i-1", endless);
        let mut config = config(4, 1_000_000);
        let mut public = config["routes"][5].clone();
        assert_eq!(public["name"], "public");
        public["service"] = json!("plain");
        config["routes"][5] = public;
        config["services"]
            .as_array_mut()
            .unwrap()
            .push(json!({"name": "plain", "maxConnections": 100}));
        fixture.store.put("config", "main", config);
        fixture.ready().await;
        fixture.until_status("/public/x", 200, LIMIT).await;

        let since = Instant::now();
        let answer = async {
            let response = fixture.send(request(path, &[])).await;
            (response.map(|response| response.status()), since.elapsed())
        };
        let others = async {
            let mut longest = Duration::ZERO;
            for _ in 0..20 {
                let sent = Instant::now();
                let response = fixture.get("/public/x").await.unwrap();
                assert_eq!(response.status(), 200);
                longest = longest.max(sent.elapsed());
                monoio::time::sleep(Duration::from_millis(20)).await;
            }
            longest
        };
        let ((status, elapsed), longest) = monoio::join!(answer, others);
        assert!(elapsed < ANSWER_WITHIN, "answered after {elapsed:?}");
        assert!(
            status.is_none_or(|status| !status.is_success()),
            "a success without its end: {status:?}"
        );
        assert!(
            longest < Duration::from_millis(500),
            "another request took {longest:?}"
        );
        let closed = async || server.closed_after.try_recv().ok();
        let closed_after = wait::poll(LIMIT, "close of the connection", closed)
            .await
            .unwrap();
        assert!(
            closed_after < ANSWER_WITHIN,
            "closed after {closed_after:?}"
        );
    });
}
