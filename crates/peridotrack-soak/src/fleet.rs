//! The processes of a run: gateways, stand-ins for the store and the backend servers, and relays.
//!
//! Each router reaches the store through a relay of its own, and the routers of a failure domain reach
//! a backend server through one relay, so that each link can fail by itself. Routers connect to each
//! other directly.

use std::{collections::BTreeMap, net::SocketAddr, path::PathBuf, time::Duration};

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

use crate::{
    paths::{self, Partitions, Paths},
    schedule::FAILURE_DOMAINS,
};

/// Failure domains; routers and backend servers are assigned to them in turn.
const ZONES: [&str; FAILURE_DOMAINS] = ["a", "b"];
/// Number of software versions that serve side by side.
const SOFTWARE_VERSIONS: u64 = 2;
/// Ports of every router; each router has a loopback address of its own.
const CLIENT_PORT: u16 = 8227;
const READY_PORT: u16 = 8220;
const CONTROL_PORT: u16 = 8229;
const INTERNAL_PORT: u16 = 7340;
/// First port of the relays of backend servers, each of which has a loopback address of its own.
const BACKEND_PORT: u16 = 8666;
/// Key with which the routers of a run authenticate to each other.
const PEER_KEY: &str = "routers-of-the-soak";
/// Longest wait for a router to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A router and its link to the store.
pub struct Router {
    name: String,
    addresses: Addresses,
    settings: PathBuf,
    /// Current process; between a kill and the restart, the killed one.
    pub process: Process,
    /// Relay between the router and the store.
    pub link: Relay,
    /// Current incarnation: the number of processes started so far.
    pub incarnation: u64,
    /// Whether the process is suspended or being restarted; other process faults skip it meanwhile.
    pub is_down: bool,
    output_lines: Vec<String>,
}

/// A backend server and its registry entry.
pub struct BackendServer {
    /// Running stand-in; it stays the same for all incarnations.
    pub handle: backend::Handle,
    /// Relays that routers connect to.
    pub paths: Paths,
    /// Name of its current registry entry, unique per incarnation.
    pub name: String,
    /// Whether it has crashed and was not started again.
    pub is_down: bool,
    zone: &'static str,
    incarnation: u64,
    /// When the incarnation started, in Unix milliseconds.
    born_ms: u64,
}

/// How a backend server that has crashed starts again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Restart {
    /// At another address, under a new name.
    NewAddress,
    /// At the same address, under a new name.
    NewName,
    /// At the same address, under the same name.
    SameName,
}

/// Everything that a run starts; dropping it ends all of it.
pub struct Fleet {
    /// Routers. The first field, so that they are dropped before the servers that they call.
    pub routers: Vec<Router>,
    /// Stand-in for the store.
    pub store: store::Handle,
    /// Backend servers, by index.
    pub backends: Vec<BackendServer>,
    /// Software versions of all incarnations of backend servers, by name.
    pub software_versions: BTreeMap<String, u64>,
    /// Paths to backend servers that have crashed, which forward what these had sent.
    ended_paths: Vec<Paths>,
    partitions: Partitions,
    /// The store as the routers of each failure domain see it.
    views: Vec<store::View>,
}

impl Fleet {
    /// Starts everything and waits until each router is ready.
    ///
    /// The store starts with configuration version 1, which gives each client account
    /// `prepaid_tokens`.
    ///
    /// # Errors
    ///
    /// Returns an error if a part cannot start or a router is not ready in time.
    pub async fn spawn(
        program: &std::path::Path,
        routers: usize,
        backends: usize,
        prepaid_tokens: u64,
    ) -> eyre::Result<Self> {
        let store = store::spawn().wrap_err("start the store")?;
        store.put("config", "main", deployment::config(1, prepaid_tokens));
        let views = ZONES.iter().map(|_| store.spawn_view(BTreeMap::new()));
        let views = views.collect::<Result<_, _>>();
        let mut fleet = Self {
            views: views.wrap_err("start the store")?,
            partitions: paths::open(),
            store,
            backends: Vec::new(),
            software_versions: BTreeMap::new(),
            ended_paths: Vec::new(),
            routers: Vec::new(),
        };
        for number in 0..backends {
            let handle = backend::spawn().wrap_err("start a backend server")?;
            let paths = Paths::spawn_at(fresh_address(), handle.address(), &fleet.partitions);
            fleet.backends.push(BackendServer {
                handle,
                paths: paths.wrap_err("start a relay")?,
                name: String::new(),
                is_down: false,
                zone: ZONES[number % ZONES.len()],
                incarnation: 0,
                born_ms: 0,
            });
            fleet.register(number);
        }
        let mut seed_address = None;
        for number in 0..routers {
            let router = Router::spawn(program, number, &fleet.views, seed_address)?;
            seed_address.get_or_insert(router.addresses.control);
            fleet.routers.push(router);
        }
        for router in &fleet.routers {
            router.wait_until_ready().await?;
        }
        Ok(fleet)
    }

    /// Registers a new incarnation of a backend server in the store.
    pub fn register(&mut self, backend: usize) {
        let number = backend;
        let backend = &mut self.backends[backend];
        backend.incarnation += 1;
        backend.name = format!("i-{number}-{}", backend.incarnation);
        let software_version = 1 + (number as u64 + backend.incarnation) % SOFTWARE_VERSIONS;
        self.software_versions
            .insert(backend.name.clone(), software_version);
        // Requests that are sent to the name before are to be noticed, not refused.
        backend.handle.set_name(None);
        backend.born_ms = deployment::wall_ms();
        self.write_entry(number, "ready");
    }

    /// Marks the registry entry of a backend server as draining.
    pub fn drain(&self, backend: usize) {
        self.write_entry(backend, "draining");
    }

    fn write_entry(&self, backend: usize, state: &str) {
        let backend = &self.backends[backend];
        let address = backend.paths.address(0);
        for (domain, view) in self.views.iter().enumerate() {
            view.replace(address, backend.paths.address(domain));
        }
        let mut entry = deployment::entry_since(address, backend.zone, state, backend.born_ms);
        let software_version = self.software_versions[&backend.name];
        entry["version"] = format!("v{software_version}").into();
        self.store.put("servers", &backend.name, entry);
    }

    /// Changes the state of the paths from a failure domain to all backend servers.
    pub fn partition(&self, domain: usize, link: Link) {
        self.partitions[domain].set(link);
        let backends = self.backends.iter().map(|backend| &backend.paths);
        backends.chain(&self.ended_paths).for_each(Paths::update);
    }

    /// Ends a backend server that has crashed: its address refuses connections from now on.
    ///
    /// # Errors
    ///
    /// Returns an error if the process that takes its place cannot start.
    pub fn end_backend(&mut self, backend: usize) -> eyre::Result<()> {
        let backend = &mut self.backends[backend];
        backend.paths.refuse_connections();
        backend.handle = backend::spawn().wrap_err("start a backend server")?;
        backend.is_down = true;
        Ok(())
    }

    /// Starts a backend server again that has ended, and registers it.
    ///
    /// # Errors
    ///
    /// Returns an error if its relay cannot start.
    pub fn restart_backend(&mut self, number: usize, restart: Restart) -> eyre::Result<()> {
        let backend = &mut self.backends[number];
        let address = match restart {
            Restart::NewAddress => fresh_address(),
            Restart::NewName | Restart::SameName => backend.paths.address(0),
        };
        let paths = Paths::spawn_at(address, backend.handle.address(), &self.partitions);
        let paths = paths.wrap_err("start a relay")?;
        self.ended_paths
            .push(std::mem::replace(&mut backend.paths, paths));
        backend.is_down = false;
        if restart == Restart::SameName {
            backend.born_ms = deployment::wall_ms();
            self.write_entry(number, "ready");
            return Ok(());
        }
        self.register(number);
        let backend = &self.backends[number];
        backend.handle.set_name(Some(&backend.name));
        Ok(())
    }
}

fn fresh_address() -> SocketAddr {
    SocketAddr::new(fresh_loopback_ip(), BACKEND_PORT)
}

impl Router {
    fn spawn(
        program: &std::path::Path,
        number: usize,
        views: &[store::View],
        seed_address: Option<SocketAddr>,
    ) -> eyre::Result<Self> {
        let name = format!("front-{number}");
        let domain = number % ZONES.len();
        let zone = ZONES[domain];
        let link = relay::spawn(views[domain].address()).wrap_err("start a relay")?;
        let host = fresh_loopback_ip();
        let addresses = Addresses {
            client: SocketAddr::new(host, CLIENT_PORT),
            ready: SocketAddr::new(host, READY_PORT),
            control: SocketAddr::new(host, CONTROL_PORT),
            internal_port: INTERNAL_PORT,
            store: link.address(),
        };
        let zones: Vec<String> = ZONES.iter().map(|zone| (*zone).to_owned()).collect();
        let seed_address = seed_address.unwrap_or(addresses.control);
        let text = deployment::settings(&name, zone, &zones, &addresses, seed_address);
        let file = format!("peridotrack-soak-{}-{name}.toml", std::process::id());
        let settings = std::env::temp_dir().join(file);
        std::fs::write(&settings, text).wrap_err("write the settings of a router")?;
        let process = spawn_process(program, &settings)?;
        Ok(Self {
            name,
            addresses,
            settings,
            process,
            link,
            incarnation: 1,
            is_down: false,
            output_lines: Vec::new(),
        })
    }

    /// Returns the address for clients.
    pub fn client_address(&self) -> SocketAddr {
        self.addresses.client
    }

    async fn wait_until_ready(&self) -> eyre::Result<()> {
        let ready = async || is_ready(self.addresses.ready).await.then_some(());
        wait::poll(READY_TIMEOUT, "readiness", ready)
            .await
            .wrap_err_with(|| format!("start {}:\n{}", self.name, self.process.stdout().join("\n")))
    }

    /// Collects the output of the process and kills it.
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.collect_output();
        self.process.kill().wrap_err("kill a router")?;
        Ok(())
    }

    /// Starts a new process in place of one that has ended.
    pub fn restart(&mut self, program: &std::path::Path) -> eyre::Result<()> {
        self.collect_output();
        self.process = spawn_process(program, &self.settings)?;
        self.incarnation += 1;
        Ok(())
    }

    fn collect_output(&mut self) {
        self.output_lines.extend(self.process.stdout());
        self.output_lines.extend(self.process.stderr());
    }

    /// Writes the output of all processes of the router to a file in `directory`.
    pub fn write_log(&mut self, directory: &std::path::Path) -> eyre::Result<()> {
        self.collect_output();
        let path = directory.join(format!("{}.log", self.name));
        std::fs::write(path, self.output_lines.join("\n")).wrap_err("write the log of a router")
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        // Nothing depends on the file any more, so a failure to remove it is harmless.
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Returns whether a router reports that it is ready.
async fn is_ready(address: SocketAddr) -> bool {
    let request = http::Request::get("/readiness").body(Bytes::new());
    let request = request.expect("the head is valid");
    fetch(address, request)
        .await
        .is_ok_and(|response| response.status() == http::StatusCode::OK)
}

fn spawn_process(program: &std::path::Path, settings: &std::path::Path) -> eyre::Result<Process> {
    let options = process::Options {
        variables: vec![
            (deployment::SETTINGS_VARIABLE.into(), settings.into()),
            // Without this key, routers derive one from the store's address, which differs here
            // because each router connects through a relay of its own.
            ("PERIDOTRACK_PEER_KEY".into(), PEER_KEY.into()),
        ],
        ..process::Options::new(program).arguments(["gateway"])
    };
    process::spawn(&options).wrap_err("start a router")
}

/// Opens all links and returns the store and all backend servers to normal operation.
pub fn clear_faults(fleet: &Fleet) {
    fleet.store.set_mode(store::Mode::Serve);
    for domain in 0..ZONES.len() {
        fleet.partition(domain, Link::Open);
    }
    for backend in &fleet.backends {
        backend.paths.set(Link::Open);
        backend.handle.set_mode(backend::Mode::Serve);
        backend.handle.set_fatal_part(None);
        backend.handle.set_fatal_request(None);
        backend.handle.set_limit(None);
        backend.handle.set_leaving(false);
        backend.handle.pause(Duration::ZERO);
        backend.handle.set_response_delay(Duration::ZERO);
    }
    for router in &fleet.routers {
        router.link.set(Link::Open);
    }
}
