//! Documents of a test deployment: configurations and entries of backend servers in the store,
//! and the settings file of a router.

use std::{net::SocketAddr, time::SystemTime};

use serde_json::{Value, json};

/// Time bounds of the deployment, in milliseconds. The settings file contains those that a router
/// must meet.
pub mod bounds {
    /// Time after a fault within which a router must be consistent with the others again.
    pub const CONTACT_MS: u64 = 3_000;
    /// Time from the start of draining after which a server must receive no more requests.
    pub const DRAIN_MS: u64 = 2_000;
    /// Time within which a configuration in the store must be applied by the routers.
    pub const CONFIG_APPLY_MS: u64 = 2_000;
    /// Grace period of a stopping process.
    pub const GRACE_MS: u64 = 8_000;
    /// Time after the last fault within which most requests must succeed again.
    pub const RECOVER_MS: u64 = 12_000;
}

/// Environment variable with the path of a gateway's settings file.
pub const SETTINGS_VARIABLE: &str = "PERIDOTRACK_SETTINGS";

/// Names of the client accounts, each with its key.
pub const ACCOUNTS: [(&str, &str); 2] = [("t-1", "key-1"), ("t-2", "key-2")];

/// Kind of a request, by whether it can be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent; it may run more than once.
    Safe,
    /// Not idempotent; it may run at most once.
    Unsafe,
    /// Stream that may run at most once.
    Stream,
    /// Stream that may be resumed at another backend server.
    Resumable,
    /// Idempotent request for a route that only one configuration version has; see [`probe_path`].
    Probe,
}

impl Kind {
    /// Returns whether the request may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Resumable | Self::Probe)
    }

    /// Returns whether a successful response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// Returns the path for which only the given configuration version has a route.
pub fn probe_path(version: u64) -> String {
    format!("/version-{version}/")
}

fn route(name: &str, prefix: &str, kind: &str) -> Value {
    json!({
        "name": name, "host": "a.example", "pathPrefix": prefix, "routeType": kind,
        "timeoutMs": 2_000, "targetLatencyMs": 400, "priority": 1, "service": "lm",
        "maxAttempts": 2, "gapAimMs": 400,
    })
}

/// Returns the document of a configuration, in which each client account has `prepaid_tokens`.
pub fn config(version: u64, prepaid_tokens: u64) -> Value {
    let mut resumable = route("resumable", "/stream/resumable/", "streaming");
    resumable["streamResume"] = json!(true);
    let accounts = ACCOUNTS
        .map(|(name, key)| json!({"name": name, "apiKeys": [key], "prepaid": prepaid_tokens}));
    json!({
        "version": version,
        "routes": [
            route("safe", "/safe/", "safe"),
            route("unsafe", "/unsafe/", "unsafe"),
            route("stream", "/stream/", "streaming"),
            resumable,
            route("probe", &probe_path(version), "safe"),
        ],
        "services": [{"name": "lm", "maxConnections": 500, "engine": {"stride": 1}}],
        "tenants": accounts,
    })
}

/// Returns the store entry of a backend server; `state` is `ready` or `draining`.
pub fn entry(address: SocketAddr, zone: &str, state: &str) -> Value {
    json!({
        "service": "lm", "address": address.to_string(), "zone": zone, "version": "v1",
        "slots": 16, "state": state, "coldRemainingMs": 0, "sequence": 1,
    })
}

/// Returns the store entry of a backend server that states when it started, in Unix milliseconds: a
/// server that starts again under its name is told apart by that.
pub fn entry_since(address: SocketAddr, zone: &str, state: &str, born_ms: u64) -> Value {
    let mut entry = entry(address, zone, state);
    entry["born"] = json!(born_ms);
    entry
}

/// Returns the current time in Unix milliseconds.
pub fn wall_ms() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let now = now.expect("the clock is past 1970");
    u64::try_from(now.as_millis()).expect("the time fits")
}

/// Addresses of one router, and that of its store.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// Address for clients.
    pub client: SocketAddr,
    /// Address of the readiness endpoint.
    pub ready: SocketAddr,
    /// Address for other routers.
    pub control: SocketAddr,
    /// First of the ports for calls between routers; it serves metrics.
    pub internal_port: u16,
    /// Address at which the router reaches the store.
    pub store: SocketAddr,
}

/// Returns the settings file of a router in TOML. `zones` are all failure domains of the
/// deployment, which form one region.
pub fn settings(
    name: &str,
    zone: &str,
    zones: &[String],
    addresses: &Addresses,
    seed: SocketAddr,
) -> String {
    let regions: String = zones
        .iter()
        .map(|zone| format!("{zone} = \"r\"\n"))
        .collect();
    format!(
        r#"
nodeName = "{name}"
zone = "{zone}"
ip = "{ip}"
seeds = ["{seed}"]
internalPorts = [{port}, {port}]
[zones]
{regions}[listen]
front = "{client}"
ready = "{ready}"
control = "{control}"
[limits]
maxFds = 1024
[bounds]
contactMs = {contact_ms}
drainMs = {drain_ms}
graceS = {grace_s}
configApplyMs = {config_apply_ms}
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 58
[platform]
address = "{store}"
writesPerS = 400
"#,
        ip = addresses.client.ip(),
        port = addresses.internal_port,
        client = addresses.client,
        ready = addresses.ready,
        control = addresses.control,
        store = addresses.store,
        contact_ms = bounds::CONTACT_MS,
        drain_ms = bounds::DRAIN_MS,
        config_apply_ms = bounds::CONFIG_APPLY_MS,
        grace_s = bounds::GRACE_MS / 1_000,
    )
}
