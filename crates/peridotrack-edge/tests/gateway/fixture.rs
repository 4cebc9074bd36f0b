//! A gateway with a store and backend servers, all on the event loop of the test, and the
//! configuration, entries and requests that the tests use.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::Response;
use peridotrack_edge::gateway::Gateway;
use peridotrack_kernel::log;
use peridotrack_standin::{
    harness::{http::fetch, wait},
    hosted::{backend, store},
};
use peridotrack_types::gateway::{Bounds, Settings};
use serde_json::{Value, json};

/// Maximum wait for a condition that a test expects.
pub const LIMIT: Duration = Duration::from_secs(10);
/// Key of the only client account.
pub const KEY: &str = "key-1";

/// A running gateway with the store and the backend servers that it uses.
pub struct Fixture {
    pub store: store::Handle,
    pub backends: Vec<backend::Handle>,
    pub gateway: Gateway,
}

/// Settings of a gateway that listens on free ports of the loopback address.
pub fn settings(store: &store::Handle) -> Settings {
    let any = "127.0.0.1:0".parse().unwrap();
    Settings {
        vm: "vm-1".into(),
        failure_domain: "a".into(),
        regions: [("a".into(), "r".to_owned())].into_iter().collect(),
        client_address: any,
        readiness_address: any,
        peer_address: any,
        seed_addresses: Vec::new(),
        peer_key: "deployment-of-the-test".to_owned(),
        metrics_address: None,
        store_address: store.address(),
        store_writes_per_s: 400,
        sockets: 1_000,
        memory_mb: 512,
        bounds: Bounds {
            grace_ms: 8_000,
            drain_ms: 2_000,
            config_apply_ms: 2_000,
            contact_ms: 3_000,
            retry_ratio: 0.2,
            retry_slack: 50,
            retry_window_ms: 10_000,
            heartbeat_ms: 1_000,
            evacuation_ms: None,
        },
    }
}

fn route(name: &str, prefix: &str, kind: &str, attempts: u32) -> Value {
    json!({
        "name": name, "host": "a.example", "pathPrefix": prefix, "routeType": kind,
        "timeoutMs": 2_000, "targetLatencyMs": 400, "priority": 1, "service": "lm",
        "maxAttempts": attempts, "gapAimMs": 400,
    })
}

/// A configuration with a route of each kind, and one account with `prepaid` tokens.
pub fn config(version: u64, prepaid: u64) -> Value {
    let mut resumable = route("resumable", "/stream/resumable/", "streaming", 3);
    resumable["streamResume"] = json!(true);
    let mut public = route("public", "/public/", "safe", 3);
    public["authExempt"] = json!(true);
    json!({
        "version": version,
        "routes": [
            route("safe", "/safe/", "safe", 3),
            route("unsafe", "/unsafe/", "unsafe", 3),
            route("once", "/once/", "unsafe", 1),
            route("stream", "/stream/", "streaming", 3),
            resumable,
            public,
        ],
        "services": [{"name": "lm", "maxConnections": 100, "engine": {"stride": 1}}],
        "tenants": [{"name": "t-1", "apiKeys": [KEY], "prepaid": prepaid}],
    })
}

/// The entry of a backend server in the store.
pub fn entry(backend: &backend::Handle) -> Value {
    entry_at(backend.address())
}

/// The entry of a backend server at an address.
pub fn entry_at(address: SocketAddr) -> Value {
    json!({
        "service": "lm", "address": address.to_string(), "zone": "a",
        "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
    })
}

impl Fixture {
    /// Starts a gateway with `backends` backend servers and waits until it is ready.
    pub async fn spawn(backends: usize) -> Self {
        let fixture = Self::spawn_before_config(backends);
        fixture.store.put("config", "main", config(4, 1_000_000));
        fixture.ready().await;
        fixture
    }

    /// Starts a gateway with `backends` backend servers and no configuration in the store.
    pub fn spawn_before_config(backends: usize) -> Self {
        let store = store::spawn().unwrap();
        let backends: Vec<backend::Handle> =
            (0..backends).map(|_| backend::spawn().unwrap()).collect();
        for (number, backend) in backends.iter().enumerate() {
            store.put("servers", &format!("i-{number}"), entry(backend));
        }
        Self::spawn_with(store, backends)
    }

    /// Starts a gateway that follows the objects in `store`.
    pub fn spawn_with(store: store::Handle, backends: Vec<backend::Handle>) -> Self {
        let gateway = Gateway::spawn(settings(&store), log::Output::Off).unwrap();
        Self {
            store,
            backends,
            gateway,
        }
    }

    /// Returns whether the gateway reports readiness.
    pub async fn is_ready(&self) -> bool {
        let request = http::Request::get("/").body(Bytes::new()).unwrap();
        let response = fetch(self.gateway.readiness_address(), request).await;
        response.is_ok_and(|response| response.status() == 200)
    }

    /// Waits until the gateway reports readiness.
    pub async fn ready(&self) {
        let ready = async || self.is_ready().await.then_some(());
        wait::poll(LIMIT, "readiness", ready).await.unwrap();
    }

    /// Sends a request; returns `None` if the connection ends before the response is complete.
    pub async fn send(&self, request: http::Request<Bytes>) -> Option<Response<Bytes>> {
        fetch(self.gateway.client_address(), request).await.ok()
    }

    /// Sends a request for `path` without further headers.
    pub async fn get(&self, path: &str) -> Option<Response<Bytes>> {
        self.send(request(path, &[])).await
    }

    /// Waits until a request for `path` gets a response with `status`.
    pub async fn until_status(&self, path: &str, status: u16, limit: Duration) {
        let has_status = async || {
            let response = self.get(path).await?;
            (response.status().as_u16() == status).then_some(())
        };
        wait::poll(limit, "response with the status", has_status)
            .await
            .unwrap();
    }

    /// Returns the number of requests that ran, over all backend servers.
    pub fn runs(&self) -> usize {
        self.backends
            .iter()
            .map(|backend| backend.runs().len())
            .sum()
    }

    /// Sets the mode of all backend servers.
    pub fn set_modes(&self, mode: backend::Mode) {
        for backend in &self.backends {
            backend.set_mode(mode);
        }
    }
}

/// A request as clients send it, with additional headers.
pub fn request(path: &str, headers: &[(&str, &str)]) -> http::Request<Bytes> {
    let mut request = http::Request::post(path)
        .header("host", "a.example")
        .header("peridotrack-request-id", "9c41")
        .header("peridotrack-deadline-ms", "1500")
        .header("peridotrack-credential", KEY);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(Bytes::from("body")).unwrap()
}
