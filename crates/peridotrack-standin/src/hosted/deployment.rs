//! What the store holds for a run: configurations and entries of backend servers.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// Times and bounds of the deployment, in milliseconds, as its settings state them.
pub mod bounds {
    /// Time after which a router that was disturbed is held to the others.
    pub const CONTACT_MS: u64 = 3_000;
    /// Time in which a draining server must get no more requests.
    pub const DRAIN_MS: u64 = 2_000;
    /// Time in which a configuration must be in force.
    pub const CONFIG_APPLY_MS: u64 = 2_000;
    /// Time that a stopping process has.
    pub const GRACE_MS: u64 = 8_000;
    /// Time in which most is served again.
    pub const RECOVER_MS: u64 = 12_000;
}

/// Variable that names the settings file of a gateway.
pub const SETTINGS_VARIABLE: &str = "PERIDOTRACK_SETTINGS";

/// Client accounts, each with its key.
pub const ACCOUNTS: [(&str, &str); 2] = [("t-1", "key-1"), ("t-2", "key-2")];

/// What a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It may run more than once.
    Safe,
    /// It may run once.
    Unsafe,
    /// A stream that may run once.
    Stream,
    /// A stream that may be continued elsewhere.
    Resumable,
    /// It asks for a route of the newest configuration.
    Probe,
}

impl Kind {
    /// Returns whether the request may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Resumable | Self::Probe)
    }

    /// Returns whether the answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// Returns the path that the newest configuration alone has a route for.
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

/// Returns a configuration.
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

/// Returns the entry of a backend server.
pub fn entry(address: SocketAddr, zone: &str, state: &str) -> Value {
    json!({
        "service": "lm", "address": address.to_string(), "zone": zone, "version": "v1",
        "slots": 16, "state": state, "coldRemainingMs": 0, "sequence": 1,
    })
}

/// Addresses of one router.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// Where clients connect.
    pub client: SocketAddr,
    /// Where readiness is asked for.
    pub ready: SocketAddr,
    /// Where other routers connect.
    pub control: SocketAddr,
    /// First of the ports for calls between routers, which serves metrics.
    pub internal_port: u16,
    /// Where the router finds the store.
    pub store: SocketAddr,
}

/// Returns the settings file of a router.
pub fn settings(
    name: &str,
    zone: &str,
    zones: &[String],
    at: &Addresses,
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
        ip = at.client.ip(),
        port = at.internal_port,
        client = at.client,
        ready = at.ready,
        control = at.control,
        store = at.store,
        contact_ms = bounds::CONTACT_MS,
        drain_ms = bounds::DRAIN_MS,
        config_apply_ms = bounds::CONFIG_APPLY_MS,
        grace_s = bounds::GRACE_MS / 1_000,
    )
}
