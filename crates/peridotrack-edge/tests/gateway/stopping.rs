//! A stopping gateway begins only requests that end before its grace period does, and each request
//! that it has received gets a whole response.

use std::{
    io::ErrorKind,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use peridotrack_edge::gateway;
use peridotrack_standin::{
    harness::{http::block_on, wait},
    hosted::{
        backend::{Mode, STREAM_EVENTS},
        store,
    },
};
use rstest::rstest;
use serde_json::{Value, json};

use crate::{
    fixture::{self, Fixture, LIMIT},
    raw,
};

/// Deadline of a request that may outlast the grace period, in milliseconds.
const LONG_DEADLINE_MS: u64 = 15_000;
/// Time in which a client's bytes reach the gateway and are read.
const TRANSFER: Duration = Duration::from_millis(200);
/// Time after the begin of the stop at which idle connections are closed, with a margin.
const AFTER_CLOSE: Duration = Duration::from_millis(3_400);
/// Time after the begin of the stop until which the load balancer sends new connections, with a
/// margin.
const IN_ROTATION: Duration = Duration::from_millis(2_000);
/// Interval of the events of a stream that ends within the grace period.
const OPEN_STREAM_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval of the events of a stream that does not end within the grace period.
const LONG_STREAM_INTERVAL: Duration = Duration::from_millis(2_000);

/// A gateway that is stopping.
struct Stop {
    began: Instant,
    ended: monoio::task::JoinHandle<gateway::Outcome>,
}

impl Stop {
    fn begin(fixture: &Rc<Fixture>) -> Self {
        fixture.gateway.begin_stop();
        let began = Instant::now();
        let stopping = Rc::clone(fixture);
        let ended = monoio::spawn(async move { stopping.gateway.stop().await });
        Self { began, ended }
    }

    /// Waits until this time after the begin.
    async fn until(&self, since: Duration) {
        monoio::time::sleep(since.saturating_sub(self.began.elapsed())).await;
    }

    /// Waits for the end. Returns the number of requests that are still open then.
    async fn cut_requests(self) -> usize {
        self.ended.await.cut_requests
    }

    /// Waits for the end. Returns the response that the client has received by then, and the number of
    /// requests that are still open.
    async fn response_at_end(self, client: &mut raw::Connection) -> (raw::Response, usize) {
        let cut_requests = self.cut_requests().await;
        let response = monoio::time::timeout(TRANSFER, client.read_response()).await;
        let response = response.ok().flatten();
        let response = response.unwrap_or_else(|| panic!("no response, {cut_requests} cut"));
        (response, cut_requests)
    }
}

/// A configuration whose routes allow the longest deadline.
fn config() -> Value {
    let mut config = fixture::config(4, 1_000_000);
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeoutMs"] = json!(LONG_DEADLINE_MS);
    }
    config
}

async fn spawn(backends: usize, config: Value) -> Rc<Fixture> {
    let fixture = Fixture::spawn_before_config(backends);
    fixture.store.put("config", "main", config);
    fixture.ready().await;
    Rc::new(fixture)
}

fn request(path: &str, deadline_ms: u64) -> http::Request<Bytes> {
    let mut request = fixture::request(path, &[]);
    let headers = request.headers_mut();
    headers.insert("peridotrack-deadline-ms", deadline_ms.into());
    request
}

/// Sends a request on a new connection and waits until it is received by a backend server.
async fn send_and_run(fixture: &Fixture, request: &http::Request<Bytes>) -> raw::Connection {
    let runs = fixture.runs();
    let mut connection = connect(fixture).await;
    assert!(connection.write(&raw::encode(request)).await);
    wait::until(LIMIT, "run", || fixture.runs() > runs)
        .await
        .unwrap();
    connection
}

async fn connect(fixture: &Fixture) -> raw::Connection {
    let address = fixture.gateway.client_address();
    raw::Connection::open(address).await.unwrap()
}

/// Fails if a response arrives although the request should wait.
async fn assert_waits(client: &mut raw::Connection) {
    let response = monoio::time::timeout(TRANSFER, client.read_response()).await;
    assert!(response.is_err(), "{response:?}");
}

fn set_event_interval(fixture: &Fixture, interval: Duration) {
    for backend in &fixture.backends {
        backend.set_event_interval(interval);
    }
}

fn set_response_delay(fixture: &Fixture, delay: Duration) {
    for backend in &fixture.backends {
        backend.set_response_delay(delay);
    }
}

/// Opens a stream that ends late within the grace period of a stop that begins now.
async fn open_stream(fixture: &Fixture) -> raw::Connection {
    set_event_interval(fixture, OPEN_STREAM_INTERVAL);
    send_and_run(fixture, &request("/stream/resumable/x", LONG_DEADLINE_MS)).await
}

fn count_events(body: &[u8]) -> u64 {
    String::from_utf8_lossy(body).matches("\n\n").count() as u64
}

/// Sends all but the end of a request, begins the stop, and sends the rest after idle connections are
/// closed. Returns the head of the response, if there is one, and the number of cut requests.
async fn finish_body_late(
    fixture: &Rc<Fixture>,
    request: &http::Request<Bytes>,
) -> (Option<raw::Head>, usize) {
    let bytes = raw::encode(request);
    let (first, rest) = bytes.split_at(bytes.len() - request.body().len() / 2);
    let mut connection = connect(fixture).await;
    assert!(connection.write(first).await);
    monoio::time::sleep(TRANSFER).await;
    let stop = Stop::begin(fixture);
    stop.until(AFTER_CLOSE).await;
    connection.write(rest).await;
    let head = connection.read_head().await;
    (head, stop.cut_requests().await)
}

/// Guards against a stopping gateway that begins a request whose body ends late, and cuts it at the
/// end.
#[test]
fn a_request_whose_body_ends_late_is_refused_if_it_may_outlast_the_stop() {
    block_on(async {
        let fixture = spawn(2, config()).await;
        let mut open = open_stream(&fixture).await;
        set_event_interval(&fixture, LONG_STREAM_INTERVAL);
        let late = request("/stream/x", LONG_DEADLINE_MS);
        let (head, cut_requests) = finish_body_late(&fixture, &late).await;
        let head = head.unwrap();
        assert_eq!((head.status.as_u16(), cut_requests), (503, 0));
        assert!(head.has_retry_after() && head.announces_close(), "{head:?}");
        assert_eq!(fixture.runs(), 1, "only the open stream ran");
        let (_, body) = open.read_response().await.unwrap();
        assert_eq!(count_events(&body), STREAM_EVENTS);
    });
}

/// Guards against the refusal of a request that is sure to end within the grace period.
#[test]
fn a_request_whose_body_ends_late_is_served_if_its_deadline_passes_in_time() {
    block_on(async {
        let fixture = spawn(2, config()).await;
        let _open = open_stream(&fixture).await;
        let late = request("/safe/x", 2_000);
        let (head, cut_requests) = finish_body_late(&fixture, &late).await;
        let head = head.unwrap();
        assert_eq!((head.status.as_u16(), cut_requests), (200, 0));
        assert!(head.announces_close(), "{head:?}");
    });
}

/// Guards against beginning a request late that was sent while the stream before it was open.
#[test]
fn a_request_sent_ahead_of_a_stream_that_ends_late_is_refused() {
    block_on(async {
        let fixture = spawn(2, config()).await;
        let mut connection = open_stream(&fixture).await;
        set_event_interval(&fixture, LONG_STREAM_INTERVAL);
        let stop = Stop::begin(&fixture);
        stop.until(Duration::from_secs(1)).await;
        let ahead = request("/stream/x", LONG_DEADLINE_MS);
        assert!(connection.write(&raw::encode(&ahead)).await);
        let (_, body) = connection.read_response().await.unwrap();
        assert_eq!(count_events(&body), STREAM_EVENTS);
        let head = connection.read_head().await.unwrap();
        let cut_requests = stop.cut_requests().await;
        assert_eq!((head.status.as_u16(), cut_requests), (503, 0));
        assert!(head.has_retry_after() && head.announces_close(), "{head:?}");
        assert_eq!(fixture.runs(), 1, "only the open stream ran");
    });
}

/// Guards against clients that use a connection again on which the gateway no longer serves.
#[test]
fn a_stream_that_begins_during_the_stop_announces_the_close() {
    block_on(async {
        let fixture = spawn(1, config()).await;
        let _stop = Stop::begin(&fixture);
        let mut connection = send_and_run(&fixture, &request("/stream/x", 1_500)).await;
        let (head, body) = connection.read_response().await.unwrap();
        assert_eq!(count_events(&body), STREAM_EVENTS);
        assert!(head.announces_close(), "{head:?}");
    });
}

/// Number of clients that open a connection for each request.
const CLIENTS: u32 = 8;
/// Time from a connection's establishment to the arrival of its first request.
const ROUND_TRIP: Duration = Duration::from_millis(2);
/// Wait of such a client before the next request.
const CLIENT_PAUSE: Duration = Duration::from_millis(5);
/// Time after the begin of the stop until which a request with a deadline of one second is sure to
/// end within the grace period, with a margin.
const SURE_TO_END: Duration = Duration::from_millis(5_000);

/// Opens a connection for each request until the listener refuses one. Returns when each request was
/// sent, and the head of its response unless the connection ended before the response did.
async fn send_until_refused(
    fixture: Rc<Fixture>,
    began: Instant,
    request: http::Request<Bytes>,
) -> Vec<(Duration, Option<raw::Head>)> {
    let mut heads = Vec::new();
    loop {
        let address = fixture.gateway.client_address();
        let mut connection = match raw::Connection::open(address).await {
            Ok(connection) => connection,
            Err(error) => match error.kind() {
                ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => return heads,
                _ => panic!("{error}"),
            },
        };
        monoio::time::sleep(ROUND_TRIP).await;
        let since = began.elapsed();
        if !connection.write(&raw::encode(&request)).await {
            return heads;
        }
        let response = connection.read_response().await;
        heads.push((since, response.map(|(head, _)| head)));
        monoio::time::sleep(CLIENT_PAUSE).await;
    }
}

/// Sends requests with a number of clients until the listener refuses connections. Returns when each
/// request was sent, and the head of its response.
async fn send_until_the_end(
    fixture: &Rc<Fixture>,
    stop: Stop,
    clients: u32,
    deadline_ms: u64,
) -> Vec<(Duration, raw::Head)> {
    let mut sending = Vec::new();
    for _ in 0..clients {
        let request = request("/safe/x", deadline_ms);
        let client = send_until_refused(Rc::clone(fixture), stop.began, request);
        sending.push(monoio::spawn(client));
        monoio::time::sleep(CLIENT_PAUSE / clients).await;
    }
    let mut heads = Vec::new();
    for client in sending {
        heads.extend(client.await);
    }
    assert_eq!(stop.cut_requests().await, 0);
    let unanswered = heads.iter().filter(|(_, head)| head.is_none());
    let unanswered: Vec<Duration> = unanswered.map(|(since, _)| *since).collect();
    let (count, first) = (unanswered.len(), unanswered.first());
    assert_eq!(count, 0, "of {}, the first at {first:?}", heads.len());
    let answered = heads.into_iter();
    answered
        .filter_map(|(since, head)| Some((since, head?)))
        .collect()
}

/// Guards against accepting a connection late in the stop and closing it under a whole request.
#[rstest]
#[case::sure_to_end(1_000)]
#[case::may_outlast_the_stop(LONG_DEADLINE_MS)]
fn a_request_on_a_new_connection_late_in_the_stop_gets_a_response(#[case] deadline_ms: u64) {
    block_on(async {
        let fixture = spawn(2, config()).await;
        let _open = open_stream(&fixture).await;
        let stop = Stop::begin(&fixture);
        stop.until(AFTER_CLOSE).await;
        for (since, head) in send_until_the_end(&fixture, stop, CLIENTS, deadline_ms).await {
            let is_served = deadline_ms < LONG_DEADLINE_MS && since < SURE_TO_END;
            match head.status.as_u16() {
                200 => assert!(deadline_ms < LONG_DEADLINE_MS, "{since:?}"),
                503 => assert!(!is_served && head.has_retry_after(), "{since:?} {head:?}"),
                _ => panic!("{since:?} {head:?}"),
            }
            assert!(head.announces_close(), "{since:?} {head:?}");
        }
    });
}

/// Number of clients at the end of a stop, so that some have just opened a connection when the listener
/// closes.
const CLIENTS_AT_END: u32 = 48;

/// Guards against a listener that closes under whole requests on connections that it has accepted.
#[test]
fn a_request_on_a_new_connection_at_the_end_of_the_stop_gets_a_response() {
    block_on(async {
        let fixture = spawn(2, config()).await;
        let _open = open_stream(&fixture).await;
        let stop = Stop::begin(&fixture);
        stop.until(SURE_TO_END).await;
        let heads = send_until_the_end(&fixture, stop, CLIENTS_AT_END, LONG_DEADLINE_MS).await;
        for (since, head) in heads {
            assert_eq!(head.status, 503, "{since:?}");
        }
    });
}

/// Guards against closing a request that waits for a place at a backend server without a response.
#[test]
fn a_request_that_waits_for_a_backend_server_until_the_stop_ends_is_refused_as_not_run() {
    block_on(async {
        let mut config = config();
        // The expected wait for a plain service is short, so that the request is queued.
        config["services"] = json!([{"name": "lm", "maxConnections": 100}]);
        let fixture = spawn(1, config).await;
        let mut entry = fixture::entry(&fixture.backends[0]);
        entry["slots"] = json!(1);
        fixture.store.put("servers", "i-0", entry);
        // The change is applied within the drain time of the settings.
        monoio::time::sleep(Duration::from_secs(2)).await;
        fixture.set_modes(Mode::Mute);
        let long = request("/safe/x", LONG_DEADLINE_MS);
        let _first = send_and_run(&fixture, &long).await;
        let mut waiting = connect(&fixture).await;
        assert!(waiting.write(&raw::encode(&long)).await);
        assert_waits(&mut waiting).await;
        let stop = Stop::begin(&fixture);
        let ((head, _), cut_requests) = stop.response_at_end(&mut waiting).await;
        assert_eq!((head.status.as_u16(), cut_requests), (503, 0));
        assert!(head.has_retry_after() && head.announces_close(), "{head:?}");
        assert_eq!(fixture.runs(), 1, "a refused request has not run");
    });
}

/// Guards against closing a request that waits for tokens without a response.
#[test]
fn a_request_that_waits_for_tokens_until_the_stop_ends_is_refused_as_not_run() {
    block_on(async {
        let mut config = config();
        // The time in which tokens may be drawn is a part of the objective.
        for route in config["routes"].as_array_mut().unwrap() {
            route["targetLatencyMs"] = json!(4 * LONG_DEADLINE_MS);
        }
        let fixture = spawn(1, config).await;
        fixture.store.set_mode(store::Mode::Mute);
        let mut sent = request("/safe/x", LONG_DEADLINE_MS);
        let size = http::HeaderValue::from_static("90,10");
        sent.headers_mut().insert("peridotrack-token-usage", size);
        let mut waiting = connect(&fixture).await;
        assert!(waiting.write(&raw::encode(&sent)).await);
        assert_waits(&mut waiting).await;
        let stop = Stop::begin(&fixture);
        let ((head, _), cut_requests) = stop.response_at_end(&mut waiting).await;
        assert_eq!((head.status.as_u16(), cut_requests), (503, 0));
        assert!(head.has_retry_after() && head.announces_close(), "{head:?}");
        assert_eq!(fixture.runs(), 0);
    });
}

/// Guards against closing a request without a response because its backend server does not respond.
#[rstest]
#[case::safe("/safe/x")]
#[case::not_retried("/unsafe/x")]
#[case::stream("/stream/x")]
fn a_request_at_a_mute_server_when_the_stop_ends_gets_a_response(#[case] path: &str) {
    block_on(async {
        let fixture = spawn(2, config()).await;
        fixture.set_modes(Mode::Mute);
        let mut connection = send_and_run(&fixture, &request(path, LONG_DEADLINE_MS)).await;
        let stop = Stop::begin(&fixture);
        let ((head, body), cut_requests) = stop.response_at_end(&mut connection).await;
        assert_eq!((head.status.as_u16(), cut_requests), (502, 0));
        assert!(head.announces_close(), "{head:?}");
        let problem: Value = serde_json::from_slice(&body).unwrap();
        assert_eq!(problem["ran"], "unknown", "{problem}");
        assert_eq!(fixture.runs(), 1);
    });
}

/// Guards against a retry late in the stop, which is cut at the end.
#[rstest]
#[case::failed(Mode::Fail, &[500, 502])]
#[case::reset(Mode::Reset, &[502])]
fn a_request_that_fails_late_in_the_stop_is_not_sent_again(
    #[case] mode: Mode,
    #[case] statuses: &[u16],
) {
    block_on(async {
        let fixture = spawn(2, config()).await;
        fixture.set_modes(mode);
        set_response_delay(&fixture, Duration::from_secs(4));
        let long = request("/safe/x", LONG_DEADLINE_MS);
        let mut connection = send_and_run(&fixture, &long).await;
        let stop = Stop::begin(&fixture);
        let ((head, _), cut_requests) = stop.response_at_end(&mut connection).await;
        assert_eq!((fixture.runs(), cut_requests), (1, 0), "it was sent again");
        assert!(statuses.contains(&head.status.as_u16()), "{head:?}");
        assert!(head.announces_close(), "{head:?}");
    });
}

/// Number of requests on each route before the stop, from which their duration is known.
const EARLIER_REQUESTS: usize = 20;
/// Number of requests of each client during the stop.
const REQUESTS_PER_CLIENT: usize = 25;

/// Sends requests, on one connection if it is kept open or on one for each, while the load balancer
/// sends new connections. Returns the number of requests and of those that were served.
async fn send_in_rotation(fixture: Rc<Fixture>, began: Instant, is_kept: bool) -> (usize, usize) {
    let (mut sent, mut served) = (0, 0);
    let mut kept = None;
    while sent < REQUESTS_PER_CLIENT && began.elapsed() < IN_ROTATION {
        let path = ["/safe/x", "/stream/x"][sent % 2];
        let mut connection = match kept.take() {
            Some(connection) => connection,
            None => connect(&fixture).await,
        };
        let request = raw::encode(&request(path, LONG_DEADLINE_MS));
        assert!(connection.write(&request).await);
        sent += 1;
        if let Some((head, _)) = connection.read_response().await {
            served += usize::from(head.status == 200);
            kept = (is_kept && !head.announces_close()).then_some(connection);
        }
        monoio::time::sleep(CLIENT_PAUSE).await;
    }
    (sent, served)
}

/// Guards against refusing requests that end soon while the load balancer still sends them here.
#[test]
fn quick_requests_are_served_until_the_load_balancer_stops_sending_them() {
    block_on(async {
        let fixture = spawn(2, config()).await;
        for path in ["/safe/x", "/stream/x"] {
            for _ in 0..EARLIER_REQUESTS {
                assert_eq!(fixture.get(path).await.unwrap().status(), 200);
            }
        }
        let stop = Stop::begin(&fixture);
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let fixture = Rc::clone(&fixture);
                monoio::spawn(send_in_rotation(fixture, stop.began, number % 2 == 0))
            })
            .collect();
        let (mut sent, mut served) = (0, 0);
        for client in clients {
            let (client_sent, client_served) = client.await;
            sent += client_sent;
            served += client_served;
        }
        assert_eq!(served, sent);
        assert_eq!(stop.cut_requests().await, 0);
    });
}
