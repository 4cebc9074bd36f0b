//! Gateways as processes, stand-ins of the store and of backend servers, relays between them.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use bytes::Bytes;
use eyre::WrapErr;
use peridotrack_standin::{
    harness::{
        http::fetch,
        process::{self, Process},
        relay::{self, Link, Relay},
        router::fresh_loopback_ip,
        wait,
    },
    hosted::{
        backend,
        deployment::{self, Addresses},
        store,
    },
};

/// Failure domains of the fleet.
const ZONES: [&str; 2] = ["a", "b"];
/// Ports of each router on its own address.
const CLIENT_PORT: u16 = 8227;
const READY_PORT: u16 = 8220;
const CONTROL_PORT: u16 = 8229;
const INTERNAL_PORT: u16 = 7340;
/// Secret of the routers of a run.
const PEER_KEY: &str = "routers-of-the-soak";
/// Longest wait for a router to become ready, or to end after it was told to.
const LIMIT: Duration = Duration::from_secs(20);

/// One router.
pub struct Router {
    name: String,
    addresses: Addresses,
    settings: PathBuf,
    /// The running process.
    pub process: Process,
    /// Its link to the store.
    pub link: Relay,
    /// Processes started so far.
    pub life: u64,
    /// Whether a restart is under way, so that another fault leaves it alone.
    pub is_down: bool,
    logs: Vec<String>,
}

/// One backend server.
pub struct Engine {
    /// The stand-in.
    pub handle: backend::Handle,
    /// What routers connect to.
    pub link: Relay,
    /// Name of its present entry.
    pub name: String,
    zone: &'static str,
    life: u64,
}

/// Everything that a run starts.
pub struct Fleet {
    /// Routers; first, so that they end before what they call.
    pub routers: Vec<Router>,
    /// The store.
    pub store: store::Handle,
    /// Backend servers.
    pub engines: Vec<Engine>,
}

impl Fleet {
    /// Starts everything; the store holds the first configuration.
    pub async fn spawn(
        program: &std::path::Path,
        routers: usize,
        engines: usize,
        prepaid_tokens: u64,
    ) -> eyre::Result<Self> {
        let store = store::spawn().wrap_err("start the store")?;
        store.put("config", "main", deployment::config(1, prepaid_tokens));
        let mut fleet = Self {
            store,
            engines: Vec::new(),
            routers: Vec::new(),
        };
        for number in 0..engines {
            let handle = backend::spawn().wrap_err("start a backend server")?;
            let link = relay::spawn(handle.address()).wrap_err("start a relay")?;
            fleet.engines.push(Engine {
                handle,
                link,
                name: String::new(),
                zone: ZONES[number % ZONES.len()],
                life: 0,
            });
            fleet.enter(number);
        }
        let mut seed = None;
        for number in 0..routers {
            let router = Router::spawn(program, number, fleet.store.address(), seed)?;
            seed.get_or_insert(router.addresses.control);
            fleet.routers.push(router);
        }
        for router in &fleet.routers {
            router.until_ready().await?;
        }
        Ok(fleet)
    }

    /// Writes the entry of a new life of a backend server.
    pub fn enter(&mut self, engine: usize) {
        let number = engine;
        let engine = &mut self.engines[engine];
        engine.life += 1;
        engine.name = format!("i-{number}-{}", engine.life);
        let entry = deployment::entry(engine.link.address(), engine.zone, "ready");
        self.store.put("servers", &engine.name, entry);
    }

    /// Marks a backend server as draining.
    pub fn drain(&self, engine: usize) {
        let engine = &self.engines[engine];
        let entry = deployment::entry(engine.link.address(), engine.zone, "draining");
        self.store.put("servers", &engine.name, entry);
    }
}

impl Router {
    fn spawn(
        program: &std::path::Path,
        number: usize,
        store: SocketAddr,
        seed: Option<SocketAddr>,
    ) -> eyre::Result<Self> {
        let name = format!("front-{number}");
        let zone = ZONES[number % ZONES.len()];
        let link = relay::spawn(store).wrap_err("start a relay")?;
        let host = fresh_loopback_ip();
        let addresses = Addresses {
            client: SocketAddr::new(host, CLIENT_PORT),
            ready: SocketAddr::new(host, READY_PORT),
            control: SocketAddr::new(host, CONTROL_PORT),
            internal_port: INTERNAL_PORT,
            store: link.address(),
        };
        let zones: Vec<String> = ZONES.iter().map(|zone| (*zone).to_owned()).collect();
        let seed = seed.unwrap_or(addresses.control);
        let text = deployment::settings(&name, zone, &zones, &addresses, seed);
        let file = format!("peridotrack-soak-{}-{name}.toml", std::process::id());
        let settings = std::env::temp_dir().join(file);
        std::fs::write(&settings, text).wrap_err("write the settings")?;
        let process = start(program, &settings)?;
        Ok(Self {
            name,
            addresses,
            settings,
            process,
            link,
            life: 1,
            is_down: false,
            logs: Vec::new(),
        })
    }

    /// Returns where clients connect.
    pub fn client_address(&self) -> SocketAddr {
        self.addresses.client
    }

    async fn until_ready(&self) -> eyre::Result<()> {
        let ready = async || is_ready(self.addresses.ready).await.then_some(());
        wait::poll(LIMIT, "readiness", ready)
            .await
            .wrap_err_with(|| format!("start {}:\n{}", self.name, self.process.stdout().join("\n")))
    }

    /// Kills the process.
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.keep_log();
        self.process.kill().wrap_err("kill a router")?;
        Ok(())
    }

    /// Starts a new process; the one before has ended.
    pub fn restart(&mut self, program: &std::path::Path) -> eyre::Result<()> {
        self.keep_log();
        self.process = start(program, &self.settings)?;
        self.life += 1;
        Ok(())
    }

    fn keep_log(&mut self) {
        self.logs.extend(self.process.stdout());
        self.logs.extend(self.process.stderr());
    }

    /// Writes what all processes of the router have printed.
    pub fn write_log(&mut self, directory: &std::path::Path) -> eyre::Result<()> {
        self.keep_log();
        let path = directory.join(format!("{}.log", self.name));
        std::fs::write(path, self.logs.join("\n")).wrap_err("write a log")
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        // The file may be gone already; nothing depends on it any more.
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Returns whether a router says that it is ready.
async fn is_ready(address: SocketAddr) -> bool {
    let request = http::Request::get("/readiness").body(Bytes::new());
    let request = request.expect("the head is valid");
    fetch(address, request)
        .await
        .is_ok_and(|answer| answer.status() == http::StatusCode::OK)
}

fn start(program: &std::path::Path, settings: &std::path::Path) -> eyre::Result<Process> {
    let options = process::Options {
        variables: vec![
            (deployment::SETTINGS_VARIABLE.into(), settings.into()),
            // Each router has its own way to the store, whose address tells deployments apart.
            ("PERIDOTRACK_PEER_KEY".into(), PEER_KEY.into()),
        ],
        ..process::Options::new(program).arguments(["gateway"])
    };
    process::spawn(&options).wrap_err("start a router")
}

/// Opens every link and ends every misbehaviour.
pub fn heal(fleet: &Fleet) {
    fleet.store.set_mode(store::Mode::Serve);
    for engine in &fleet.engines {
        engine.link.set(Link::Open);
        engine.handle.set_mode(backend::Mode::Serve);
    }
    for router in &fleet.routers {
        router.link.set(Link::Open);
    }
}
