//! Connections of clients: their limits when the configuration changes, and their end in a stop.

use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use monoio::time::{Instant, sleep};
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
