//! Connections of clients: their limits when the configuration changes, and their end in a stop.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Response, StatusCode};
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};
use peridotrack_edge::gateway::Gateway;
use peridotrack_http::client::{self, Connection};
use peridotrack_kernel::log;
use peridotrack_standin::{
    harness::http::block_on,
    hosted::{backend, store},
};
use serde_json::{Value, json};

use crate::fixture::{self, Fixture, LIMIT, request};

/// Idle timeout of the first configuration.
const IDLE_MS: u64 = 400;
/// Maximum size of a request body in the first configuration.
const BODY_BYTES: u64 = 16;

/// A configuration with limits on clients.
fn limited_config(version: u64, idle_timeout_ms: u64, body_bytes: u64) -> Value {
    let mut config = fixture::config(version, 1_000_000);
    config["limits"] = json!({
        "maxHeaderBytes": 16_384, "maxBodyBytes": body_bytes, "headerTimeoutMs": 3_000,
        "idleTimeoutMs": idle_timeout_ms,
    });
    config
}

/// Starts a gateway with limits on clients and this grace period.
async fn spawn(grace_ms: u64) -> Fixture {
    let store = store::spawn().unwrap();
    let backends = vec![backend::spawn().unwrap()];
    store.put("servers", "i-0", fixture::entry(&backends[0]));
    store.put("config", "main", limited_config(4, IDLE_MS, BODY_BYTES));
    let mut settings = fixture::settings(&store);
    settings.bounds.grace_ms = grace_ms;
    let gateway = Gateway::spawn(settings, log::Output::Off).unwrap();
    let fixture = Fixture {
        store,
        backends,
        gateway,
    };
    fixture.ready().await;
    fixture
}

async fn connect(fixture: &Fixture) -> Connection {
    let address = fixture.gateway.client_address();
    let options = client::Options::default();
    Connection::connect(address, options).await.unwrap()
}

async fn exchange(connection: &mut Connection, body: usize) -> Option<Response<Bytes>> {
    let mut request = request("/safe/x", &[]);
    *request.body_mut() = vec![b'x'; body].into();
    let head = connection.send(request).await.ok()?;
    let body = connection.read_body().await.ok()?;
    Some(Response::from_parts(head, body))
}

/// Waits until the gateway has applied a version made by [`with_version_route`].
async fn until_applied(fixture: &Fixture, version: u64) {
    let route = format!("/version-{version}/x");
    fixture.until_status(&route, 200, LIMIT).await;
}

/// Adds a route that exists only from this version on.
fn with_version_route(mut config: Value, version: u64) -> Value {
    let mut route = config["routes"][0].clone();
    route["name"] = json!(format!("version-{version}"));
    route["pathPrefix"] = json!(format!("/version-{version}/"));
    config["routes"].as_array_mut().unwrap().push(route);
    config
}

/// Guards against limits that a connection keeps from the configuration at its begin.
#[test]
fn raised_limits_apply_to_open_connections() {
    block_on(async {
        let fixture = spawn(8_000).await;
        let mut connection = connect(&fixture).await;
        let response = exchange(&mut connection, 1).await.unwrap();
        assert_eq!(response.status(), StatusCode::OK);
        let raised = limited_config(5, 10 * IDLE_MS, 10 * BODY_BYTES);
        fixture
            .store
            .put("config", "main", with_version_route(raised, 5));
        until_applied(&fixture, 5).await;
        sleep(Duration::from_millis(5 * IDLE_MS)).await;
        let response = exchange(&mut connection, 9 * BODY_BYTES as usize).await;
        assert_eq!(response.unwrap().status(), StatusCode::OK);
    });
}

/// Guards against a stop that waits for a connection which has been idle for longer than its
/// timeout.
#[test]
fn an_idle_connection_past_its_timeout_does_not_hold_up_a_stop() {
    block_on(async {
        let fixture = spawn(8_000).await;
        let raised = limited_config(5, 3_000, BODY_BYTES);
        fixture
            .store
            .put("config", "main", with_version_route(raised, 5));
        until_applied(&fixture, 5).await;
        let mut connection = connect(&fixture).await;
        assert!(exchange(&mut connection, 1).await.is_some());
        sleep(Duration::from_millis(2_500)).await;
        let begin = Instant::now();
        fixture.gateway.begin_stop();
        assert_eq!(fixture.gateway.stop().await.cut_requests, 0);
        let elapsed = begin.elapsed();
        assert!(elapsed < Duration::from_millis(3_000), "{elapsed:?}");
    });
}

/// Sends the head of a request with a part of its body.
async fn send_part(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let text = "POST /safe/x HTTP/1.1\r\nhost: a.example\r\nperidotrack-credential: key-1\r\n\
                content-length: 10\r\n\r\nabc";
    let (result, _) = stream.write_all(text.as_bytes().to_vec()).await;
    result.unwrap();
    stream
}

/// Guards against a stop that lasts as long as a slow client, and closes its connection without a
/// response.
#[test]
fn a_request_that_is_received_slowly_is_refused_before_the_stop_ends() {
    block_on(async {
        let fixture = spawn(8_000).await;
        let mut stream = send_part(fixture.gateway.client_address()).await;
        sleep(Duration::from_millis(100)).await;
        let begin = Instant::now();
        fixture.gateway.begin_stop();
        let stopping = monoio::spawn(async move { fixture.gateway.stop().await });
        let reading = timeout(LIMIT, stream.read(vec![0; 4_096]));
        let (result, text) = reading.await.unwrap();
        let text = String::from_utf8_lossy(&text[..result.unwrap()]).into_owned();
        assert!(text.starts_with("HTTP/1.1 503"), "{text}");
        assert!(text.contains("retry-after"), "{text}");
        assert!(text.contains("connection: close"), "{text}");
        assert_eq!(stopping.await.cut_requests, 0);
        let elapsed = begin.elapsed();
        assert!(elapsed < Duration::from_millis(6_000), "{elapsed:?}");
    });
}

/// Deadline of a request that outlasts the grace period, in milliseconds.
const LONG_DEADLINE_MS: u64 = 15_000;

/// Guards against a request that is begun late in a stop, and cut, because its connection was idle for
/// longer than the limit and so is not closed with the other idle ones.
#[test]
fn a_connection_idle_for_longer_than_its_limit_is_closed_by_a_stop() {
    block_on(async {
        let fixture = spawn(8_000).await;
        let mut raised = limited_config(5, 4_000, BODY_BYTES);
        for route in raised["routes"].as_array_mut().unwrap() {
            route["timeoutMs"] = json!(LONG_DEADLINE_MS);
        }
        fixture
            .store
            .put("config", "main", with_version_route(raised, 5));
        until_applied(&fixture, 5).await;
        let mut connection = connect(&fixture).await;
        assert!(exchange(&mut connection, 1).await.is_some());
        sleep(Duration::from_millis(4_200)).await;
        let stream = || {
            let mut stream = request("/stream/x", &[]);
            let headers = stream.headers_mut();
            headers.insert("peridotrack-deadline-ms", LONG_DEADLINE_MS.into());
            stream
        };
        fixture.backends[0].set_event_interval(Duration::from_secs(1));
        let mut open = connect(&fixture).await;
        open.send(stream()).await.unwrap();
        fixture.backends[0].set_event_interval(Duration::from_secs(2));
        let runs = fixture.runs();
        fixture.gateway.begin_stop();
        let late = async {
            sleep(Duration::from_millis(3_400)).await;
            connection.send(stream()).await.is_ok()
        };
        let (outcome, is_answered) = monoio::join!(fixture.gateway.stop(), late);
        assert_eq!((outcome.cut_requests, fixture.runs() - runs), (0, 0));
        assert!(!is_answered, "an idle connection is closed");
    });
}
