//! One gateway with a store and backend servers, all on the test's own loop.

use std::time::Duration;

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

/// Longest wait for a state.
pub const LIMIT: Duration = Duration::from_secs(10);
/// Key of the only client account.
pub const KEY: &str = "key-1";

pub struct Rig {
    pub store: store::Handle,
    pub engines: Vec<backend::Handle>,
    pub gateway: Gateway,
}

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
        bounds: Bounds {
            grace_ms: 8_000,
            drain_ms: 2_000,
            config_apply_ms: 2_000,
            contact_ms: 3_000,
            retry_ratio: 0.2,
            retry_slack: 50,
            retry_window_ms: 10_000,
            heartbeat_ms: 1_000,
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

/// A configuration with a route of each kind.
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

pub fn entry(engine: &backend::Handle) -> Value {
    json!({
        "service": "lm", "address": engine.address().to_string(), "zone": "a",
        "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
    })
}

impl Rig {
    /// Starts a gateway before `engines` backend servers and waits until it is ready.
    pub async fn spawn(engines: usize) -> Self {
        let rig = Self::spawn_before_config(engines);
        rig.store.put("config", "main", config(4, 1_000_000));
        rig.ready().await;
        rig
    }

    pub fn spawn_before_config(engines: usize) -> Self {
        let store = store::spawn().unwrap();
        let engines: Vec<backend::Handle> =
            (0..engines).map(|_| backend::spawn().unwrap()).collect();
        for (number, engine) in engines.iter().enumerate() {
            store.put("servers", &format!("i-{number}"), entry(engine));
        }
        let gateway = Gateway::spawn(settings(&store), log::Output::Off).unwrap();
        Self {
            store,
            engines,
            gateway,
        }
    }

    pub async fn is_ready(&self) -> bool {
        let request = http::Request::get("/").body(Bytes::new()).unwrap();
        let answer = fetch(self.gateway.readiness_address(), request).await;
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    pub async fn ready(&self) {
        let ready = async || self.is_ready().await.then_some(());
        wait::poll(LIMIT, "readiness", ready).await.unwrap();
    }

    /// Sends a request; an error is a connection that broke off.
    pub async fn send(&self, request: http::Request<Bytes>) -> Option<Response<Bytes>> {
        fetch(self.gateway.client_address(), request).await.ok()
    }

    pub async fn get(&self, path: &str) -> Option<Response<Bytes>> {
        self.send(request(path, &[])).await
    }

    /// Returns the requests that ran, over all backend servers.
    /// Waits until a request to `path` is answered with `status`.
    pub async fn until_status(&self, path: &str, status: u16, limit: Duration) {
        let answered = async || {
            let answer = self.get(path).await?;
            (answer.status().as_u16() == status).then_some(())
        };
        wait::poll(limit, "the status", answered).await.unwrap();
    }

    pub fn runs(&self) -> usize {
        self.engines.iter().map(|engine| engine.runs().len()).sum()
    }

    pub fn set_modes(&self, mode: backend::Mode) {
        for engine in &self.engines {
            engine.set_mode(mode);
        }
    }
}

/// A request as clients send it, with further headers.
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
