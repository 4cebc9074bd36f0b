//! The gateway as a process: its settings file, signals and log.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    rc::Rc,
    sync::mpsc,
    thread,
    time::Duration,
};

use bytes::Bytes;
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::TcpStream,
};
use peridotrack_edge::peer;
use peridotrack_kernel::{Kernel, Options};
use peridotrack_standin::{
    harness::{
        http::{block_on, fetch},
        router::fresh_loopback_ip,
        wait,
    },
    hosted::{backend, deployment, store},
};
use peridotrack_types::id;
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes that the buffers of a tunnel do not hold.
const FILL_BYTES: usize = 16_000_000;
/// Time in which these buffers are filled.
const FILL_TIME: Duration = Duration::from_millis(20);
/// Bound of the memory of one tunnel: 8 KiB in each direction, and its state.
const MAX_TUNNEL_BYTES: usize = 32 * 1024;
/// Descriptors that the process may open meanwhile for other purposes.
const OTHER_DESCRIPTORS: usize = 8;

/// A gateway process; dropping it kills the process and removes its settings file.
struct Gateway {
    child: Child,
    lines: mpsc::Receiver<String>,
    client: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
}

/// Returns addresses for clients, probes, peers and internal use. A port that was free a moment ago may be
/// taken by another process of the machine, so they are those of a loopback address of their own.
fn fresh_addresses() -> [SocketAddr; 4] {
    let ip = fresh_loopback_ip();
    [8227, 8220, 8229, 7340].map(|port| SocketAddr::new(ip, port))
}

fn settings(store: SocketAddr, addresses: &[SocketAddr; 4]) -> String {
    let [client, ready, control, internal] = *addresses;
    let at = deployment::Addresses {
        client,
        ready,
        control,
        internal_port: internal.port(),
        store,
    };
    deployment::settings("front-a-1", "a", &["a".to_owned()], &at, control)
        .replace("graceS = 8", "graceS = 4")
}

/// Starts a process with this settings file; returns also the lines of its log.
fn spawn_process(settings: &Path) -> (Child, mpsc::Receiver<String>) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_peridotrackd"))
        .arg("gateway")
        .env("PERIDOTRACK_SETTINGS", settings)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let stdout = BufReader::new(child.stdout.take().unwrap());
    let (sender, lines) = mpsc::channel();
    thread::spawn(move || {
        for line in stdout.lines().map_while(Result::ok) {
            let _ = sender.send(line);
        }
    });
    (child, lines)
}

impl Gateway {
    /// Starts a gateway and waits until it has logged that.
    async fn spawn(store: SocketAddr, name: &str) -> Self {
        let mut gateway = Self::spawn_at(store, name, fresh_addresses());
        let started = async || {
            let is_up = gateway.has_started();
            let has_ended = gateway.child.try_wait().unwrap().is_some();
            (is_up || has_ended).then_some(is_up)
        };
        assert!(wait::poll(TIMEOUT, "the start", started).await.unwrap());
        gateway
    }

    /// Returns whether the start was logged. Consumes the lines that it reads.
    fn has_started(&self) -> bool {
        let mut lines = self.lines.try_iter();
        lines.any(|line| line.contains("RouterStarted"))
    }

    fn spawn_at(store: SocketAddr, name: &str, addresses: [SocketAddr; 4]) -> Self {
        let path = std::env::temp_dir().join(format!(
            "peridotrackd-gateway-{name}-{}.toml",
            std::process::id()
        ));
        std::fs::write(&path, settings(store, &addresses)).unwrap();
        let (child, lines) = spawn_process(&path);
        Self {
            child,
            lines,
            client: addresses[0],
            ready: addresses[1],
            settings: path,
        }
    }

    /// Kills the process and starts another one with the same settings file.
    fn restart(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        (self.child, self.lines) = spawn_process(&self.settings);
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([name, &pid]).status().unwrap();
        assert!(status.success());
    }

    async fn is_ready(&self) -> bool {
        let request = http::Request::get("/readiness").body(Bytes::new()).unwrap();
        let response = fetch(self.ready, request).await;
        response.is_ok_and(|response| response.status() == 200)
    }

    async fn wait_until_ready(&self) {
        let ready = async || self.is_ready().await.then_some(());
        wait::poll(TIMEOUT, "readiness", ready).await.unwrap();
    }

    /// Waits for a log line with the event `name`. Consumes the lines before it.
    async fn wait_for_event(&self, name: &str) -> Value {
        let event = async || {
            self.lines.try_iter().find_map(|line| {
                let event: Value = serde_json::from_str(&line).unwrap();
                (event["name"] == name).then_some(event)
            })
        };
        wait::poll(TIMEOUT, name, event).await.unwrap()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn request() -> http::Request<Bytes> {
    http::Request::post("/x/1")
        .header("host", "a.example")
        .header("peridotrack-request-id", "9c41")
        .header("peridotrack-deadline-ms", "3000")
        .body(Bytes::new())
        .unwrap()
}

fn fixture(mode: backend::Mode) -> (store::Handle, backend::Handle) {
    let (store, backend) = (store::spawn().unwrap(), backend::spawn().unwrap());
    backend.set_mode(mode);
    store.put(
        "config",
        "main",
        json!({
            "version": 1,
            "routes": [{"name": "r", "host": "a.example", "pathPrefix": "/x/",
                "routeType": "unsafe", "timeoutMs": 1_500, "service": "s"}],
            "services": [{"name": "s", "maxConnections": 10}],
        }),
    );
    let entry = json!({
        "service": "s", "address": backend.address().to_string(), "zone": "a",
        "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
    });
    store.put("servers", "i-0", entry);
    (store, backend)
}

/// Sends a request and waits until the backend server, which is mute, has received it.
async fn open_request(
    gateway: &Gateway,
    backend: &backend::Handle,
) -> monoio::task::JoinHandle<Option<http::Response<Bytes>>> {
    let client = gateway.client;
    let open = monoio::spawn(async move { fetch(client, request()).await.ok() });
    let runs = || backend.runs().len() == 1;
    wait::until(TIMEOUT, "the open request", runs)
        .await
        .unwrap();
    open
}

/// Guards against a stop that cuts an open request: the backend server never responds, so the
/// request ends with its own timeout while the gateway stops.
#[test]
fn a_stop_finishes_open_requests_and_logs_each_step() {
    block_on(async {
        let (store, backend) = fixture(backend::Mode::Mute);
        let mut gateway = Gateway::spawn(store.address(), "stop").await;
        gateway.wait_until_ready().await;
        let open_request = open_request(&gateway, &backend).await;
        gateway.signal("-TERM");
        gateway.wait_for_event("RouterStopping").await;
        assert!(!gateway.is_ready().await);
        let response = open_request.await.unwrap();
        assert_eq!(
            response.status(),
            504,
            "the final response at the time limit"
        );
        let stopped = gateway.wait_for_event("RouterStopped").await;
        assert_eq!(stopped["fields"]["cut_requests"], 0);
        let ended = async || gateway.child.try_wait().unwrap();
        let status = wait::poll(TIMEOUT, "the end", ended).await.unwrap();
        assert!(status.success());
    });
}

/// Time between two signals, longer than the gateway takes to notice one.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(200);

/// Guards against a supervisor that repeats its signal and so cuts requests that would end.
#[test]
fn a_repeated_sigterm_does_not_shorten_the_stop() {
    block_on(async {
        let (store, backend) = fixture(backend::Mode::Mute);
        let mut gateway = Gateway::spawn(store.address(), "repeated").await;
        gateway.wait_until_ready().await;
        let open_request = open_request(&gateway, &backend).await;
        for _ in 0..3 {
            gateway.signal("-TERM");
            monoio::time::sleep(SIGNAL_INTERVAL).await;
        }
        let response = open_request.await.unwrap();
        assert_eq!(response.status(), 504, "the time limit of the route");
        let stopped = gateway.wait_for_event("RouterStopped").await;
        assert_eq!(stopped["fields"]["cut_requests"], 0);
        let ended = async || gateway.child.try_wait().unwrap();
        let status = wait::poll(TIMEOUT, "the end", ended).await.unwrap();
        assert!(status.success());
    });
}

/// Guards against connections that are closed without a response, and against a stop at a terminal
/// that cannot be ended.
#[test]
fn a_second_sigint_ends_the_stop_after_open_requests_are_answered() {
    block_on(async {
        let (store, backend) = fixture(backend::Mode::Mute);
        let mut gateway = Gateway::spawn(store.address(), "interrupted").await;
        gateway.wait_until_ready().await;
        let open_request = open_request(&gateway, &backend).await;
        gateway.signal("-INT");
        gateway.wait_for_event("RouterStopping").await;
        gateway.signal("-INT");
        let response = open_request.await.unwrap();
        assert_eq!(response.status(), 502);
        let cut = gateway.wait_for_event("RouterCut").await;
        assert_eq!(cut["fields"]["cut_requests"], 0);
        let ended = async || gateway.child.try_wait().unwrap();
        let status = wait::poll(TIMEOUT, "the end", ended).await.unwrap();
        assert_eq!(status.code(), Some(1), "grants were not returned");
    });
}

#[test]
fn sighup_reloads_settings_and_requests_go_on() {
    block_on(async {
        let (store, _backend) = fixture(backend::Mode::Serve);
        let gateway = Gateway::spawn(store.address(), "hangup").await;
        gateway.wait_until_ready().await;
        gateway.signal("-HUP");
        let read = gateway.wait_for_event("SettingsRead").await;
        assert_eq!(read["fields"]["is_changed"], false);
        let response = fetch(gateway.client, request()).await.unwrap();
        assert_eq!(response.status(), 200);
    });
}

/// Guards against a fleet that does not start again, because its settings state a bound as a fraction.
#[test]
fn a_gateway_reloads_and_starts_with_a_bound_that_is_a_fraction() {
    block_on(async {
        let (store, _backend) = fixture(backend::Mode::Serve);
        let mut gateway = Gateway::spawn(store.address(), "fraction").await;
        gateway.wait_until_ready().await;
        let text = std::fs::read_to_string(&gateway.settings).unwrap();
        let text = text.replace("drainMs = 2000", "drainMs = 1999.5");
        std::fs::write(&gateway.settings, &text).unwrap();
        gateway.signal("-HUP");
        let read = gateway.wait_for_event("SettingsRead").await;
        assert_eq!(read["fields"]["is_changed"], true, "{read}");
        gateway.restart();
        gateway.wait_until_ready().await;
    });
}

/// Guards against restarts in turn with settings of which only the first start tells that they are
/// invalid.
#[test]
fn invalid_settings_are_a_warning_at_sighup_and_requests_go_on() {
    block_on(async {
        let (store, _backend) = fixture(backend::Mode::Serve);
        let gateway = Gateway::spawn(store.address(), "refused").await;
        gateway.wait_until_ready().await;
        std::fs::write(&gateway.settings, "zone = 7").unwrap();
        gateway.signal("-HUP");
        let refused = gateway.wait_for_event("SettingsRefused").await;
        assert_eq!(refused["severity"], "warn");
        let response = fetch(gateway.client, request()).await.unwrap();
        assert_eq!(response.status(), 200);
    });
}

#[test]
fn invalid_settings_are_reported_on_stderr() {
    let path = std::env::temp_dir().join(format!("peridotrackd-bad-{}.toml", std::process::id()));
    std::fs::write(&path, "zone = 7").unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_peridotrackd"))
        .arg("gateway")
        .env("PERIDOTRACK_SETTINGS", &path)
        .output()
        .unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("decode the settings"), "{text}");
}

/// Guards against a gateway that keeps running without its listeners, or disturbs the one that
/// holds the addresses.
#[test]
fn a_process_whose_addresses_are_in_use_exits() {
    block_on(async {
        let (store, _backend) = fixture(backend::Mode::Serve);
        let addresses = fresh_addresses();
        let first = Gateway::spawn_at(store.address(), "first", addresses);
        first.wait_until_ready().await;
        let mut second = Gateway::spawn_at(store.address(), "second", addresses);
        let ended = async || second.child.try_wait().unwrap();
        let status = wait::poll(TIMEOUT, "the end", ended).await.unwrap();
        assert!(!status.success(), "{status}");
        assert!(!second.has_started());
        assert!(first.is_ready().await);
    });
}

/// A gateway process, a backend server, and a link that opens tunnels between them.
struct Tunnels {
    gateway: Gateway,
    server: monoio::net::TcpListener,
    link: Rc<peer::Link>,
    peer: SocketAddr,
    to: id::Incarnation,
    _store: store::Handle,
}

impl Tunnels {
    async fn spawn(name: &str) -> Self {
        let (store, _) = fixture(backend::Mode::Serve);
        let server = monoio::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let entry = json!({
            "service": "s", "address": server.local_addr().unwrap().to_string(), "zone": "a",
            "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
        });
        store.put("servers", "i-1", entry);
        let addresses = fresh_addresses();
        let gateway = Gateway::spawn_at(store.address(), name, addresses);
        let started = gateway.wait_for_event("RouterStarted").await;
        gateway.wait_until_ready().await;
        let kernel = Kernel::open(Options::default()).unwrap();
        let key = format!("deployment-of-store-{}", store.address());
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            gateway,
            server,
            link: peer::Link::bind(kernel, id::Incarnation(77), any, &key).unwrap(),
            peer: addresses[2],
            to: started["fields"]["incarnation"]
                .as_str()
                .unwrap()
                .parse()
                .unwrap(),
            _store: store,
        }
    }

    /// Opens a tunnel; returns its end and that of the server, or `None` if it is declined.
    async fn open(&self) -> Option<(TcpStream, TcpStream)> {
        match self
            .link
            .open_tunnel(self.peer, self.to, &"i-1".into())
            .await
        {
            Ok(origin) => Some((origin, self.server.accept().await.unwrap().0)),
            Err(peer::TunnelError::Declined) => None,
            Err(error) => panic!("{error}"),
        }
    }

    fn descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.gateway.child.id());
        std::fs::read_dir(path).unwrap().count()
    }

    fn resident_bytes(&self) -> usize {
        let path = format!("/proc/{}/status", self.gateway.child.id());
        let status = std::fs::read_to_string(path).unwrap();
        let mut lines = status.lines();
        let line = lines.find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
        let kib: usize = line.trim().trim_end_matches(" kB").parse().unwrap();
        kib * 1024
    }
}

/// Guards against a tunnel whose router is killed and that looks as if the other side had ended it: a
/// truncated response would count as complete, and a request that was given up would arrive.
#[test]
fn a_killed_process_resets_both_sides_of_its_tunnels() {
    block_on(async {
        let mut tunnels = Tunnels::spawn("killed").await;
        let (mut origin, mut server) = tunnels.open().await.unwrap();
        server.write_all(b"HTTP/1.1 200 OK\r\n").await.0.unwrap();
        assert_eq!(origin.read(vec![0; 64]).await.0.unwrap(), 17);

        tunnels.gateway.child.kill().unwrap();
        for side in [&mut origin, &mut server] {
            let reading = monoio::time::timeout(TIMEOUT, side.read(vec![0; 64]));
            let error = reading.await.unwrap().0.unwrap_err();
            assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
        }
    });
}

/// Descriptors and memory of tunnels are bounded, also if nobody reads, and freed with them.
#[test]
fn tunnels_are_bounded_in_descriptors_and_memory() {
    block_on(async {
        let tunnels = Tunnels::spawn("bounded").await;
        let (descriptors, resident_bytes) = (tunnels.descriptors(), tunnels.resident_bytes());
        let mut open = Vec::new();
        while let Some((mut origin, mut server)) = tunnels.open().await {
            for end in [&mut origin, &mut server] {
                let filling = end.write_all(vec![7; FILL_BYTES]);
                let _ = monoio::time::timeout(FILL_TIME, filling).await;
            }
            open.push((origin, server));
        }
        let grown_bytes = tunnels.resident_bytes().saturating_sub(resident_bytes);
        println!("{} tunnels, {grown_bytes} bytes", open.len());
        assert!((10..200).contains(&open.len()), "{} tunnels", open.len());
        assert!(tunnels.descriptors() <= descriptors + 2 * open.len() + OTHER_DESCRIPTORS);
        assert!(grown_bytes < open.len() * MAX_TUNNEL_BYTES, "{grown_bytes}");
        drop(open);
        let is_freed = || tunnels.descriptors() <= descriptors + OTHER_DESCRIPTORS;
        wait::until(TIMEOUT, "free descriptors", is_freed)
            .await
            .unwrap();
        assert!(tunnels.open().await.is_some());
    });
}
