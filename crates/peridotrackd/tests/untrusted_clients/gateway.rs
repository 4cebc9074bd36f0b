//! The gateway under test, with its store and its backend server.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    time::Duration,
};

use bytes::Bytes;
use peridotrack_standin::{
    harness::{
        http::fetch,
        process::{self, Process},
        wait,
    },
    hosted::{backend, deployment, store},
};
use serde_json::json;

/// Largest legal body of the deployment, in bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Memory of the VM, in mebibytes: half of what the bodies of a crowd take.
const MEMORY_MB: u64 = 48;
/// Descriptors of a process; the platform reserves 200 of them for files.
const MAX_DESCRIPTORS: usize = 300;
const BYTES_PER_MIB: u64 = 1024 * 1024;
/// Limit of each wait, so that a failed test ends.
const LIMIT: Duration = Duration::from_secs(30);
/// Starts, each with new addresses, before a test fails.
const MAX_STARTS: usize = 5;

/// A running gateway. Dropping it kills the process and removes its settings file.
pub struct Fixture {
    process: Process,
    settings: PathBuf,
    _store: store::Handle,
    _backend: backend::Handle,
    /// Address for clients.
    pub client: SocketAddr,
    ready: SocketAddr,
}

/// Returns an ordinary request with a body.
pub fn request(body: Bytes) -> http::Request<Bytes> {
    http::Request::post("/x/1")
        .header("host", "a.example")
        .header("peridotrack-request-id", "9c42")
        .header("peridotrack-deadline-ms", "3000")
        .body(body)
        .unwrap()
}

impl Fixture {
    /// Starts a gateway that is ready. A free port may be taken before the gateway listens, so a
    /// failed start is repeated with other ports.
    pub async fn spawn() -> Self {
        for _ in 0..MAX_STARTS {
            let mut fixture = Self::spawn_once();
            let state = async || {
                let response = fetch(fixture.ready, get("/readiness")).await;
                let is_ready = response.is_ok_and(|response| response.status() == 200);
                (is_ready || !fixture.process.is_running()).then_some(is_ready)
            };
            if wait::poll(LIMIT, "readiness", state).await.unwrap() {
                return fixture;
            }
        }
        panic!("no free addresses in {MAX_STARTS} starts");
    }

    fn spawn_once() -> Self {
        let (store, backend) = (store::spawn().unwrap(), backend::spawn().unwrap());
        store.put("config", "main", config());
        let entry = deployment::entry(backend.address(), "a", "ready");
        store.put("servers", "i-0", entry);
        let [client, ready, control, internal] = [(); 4].map(|()| free_address());
        let addresses = deployment::Addresses {
            client,
            ready,
            control,
            internal_port: internal.port(),
            store: store.address(),
        };
        let zones = ["a".to_owned()];
        let limits = format!("maxFds = {MAX_DESCRIPTORS}\nmemoryMb = {MEMORY_MB}");
        let text = deployment::settings("front-a-1", "a", &zones, &addresses, control)
            .replace("maxFds = 1024", &limits);
        let name = format!("peridotrackd-untrusted-{}.toml", client.port());
        let settings = std::env::temp_dir().join(name);
        fs::write(&settings, text).unwrap();
        let mut options = process::Options::new(env!("CARGO_BIN_EXE_peridotrackd"));
        options = options.arguments(["gateway"]);
        let path = settings.clone().into_os_string();
        let variable = (deployment::SETTINGS_VARIABLE.into(), path);
        options.variables.push(variable);
        Self {
            process: process::spawn(&options).unwrap(),
            settings,
            _store: store,
            _backend: backend,
            client,
            ready,
        }
    }

    /// Asserts that the process lives and has kept within its memory and descriptors.
    pub fn assert_within_bounds(&mut self) {
        assert!(self.process.is_running(), "the process ended");
        let peak_mib = self.peak_bytes() / BYTES_PER_MIB;
        assert!(peak_mib < MEMORY_MB, "{peak_mib} MiB of {MEMORY_MB} used");
        let descriptors = self.process.descriptors().unwrap().len();
        assert!(
            descriptors < MAX_DESCRIPTORS,
            "{descriptors} descriptors of {MAX_DESCRIPTORS} open"
        );
    }

    /// Asserts that an ordinary request is answered, if need be after refusals that are retried.
    pub async fn assert_serves(&self) {
        let served = async || {
            let response = fetch(self.client, request(Bytes::from_static(b"ordinary"))).await;
            response
                .is_ok_and(|response| response.status() == 200)
                .then_some(())
        };
        wait::poll(LIMIT, "an ordinary response", served)
            .await
            .unwrap();
    }

    /// Returns the largest resident memory so far, in bytes.
    fn peak_bytes(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process.pid())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = line.and_then(|line| line.trim().strip_suffix(" kB")?.parse::<u64>().ok());
        kib.expect("the status has the peak") * 1024
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.settings);
    }
}

fn config() -> serde_json::Value {
    json!({
        "version": 1,
        "routes": [{"name": "r", "host": "a.example", "pathPrefix": "/x/", "routeType": "safe",
            "timeoutMs": 3_000, "targetLatencyMs": 400, "service": "lm", "maxAttempts": 2}],
        "services": [{"name": "lm", "maxConnections": 100}],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": MAX_BODY_BYTES,
            "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000},
    })
}

fn get(path: &str) -> http::Request<Bytes> {
    http::Request::get(path).body(Bytes::new()).unwrap()
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}
