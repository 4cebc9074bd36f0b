//! Real router daemons under test, each on a loopback address of its own.

use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::atomic::{AtomicU32, Ordering},
};

use peridotrack_types::{
    name,
    settings::{Limits, Settings},
};
use sha2::{Digest, Sha256};

use crate::harness::process::{self, Error, Options, Process, Step};

/// Bearer key of the operators of every router under test.
pub const OPERATOR_KEY: &str = "operators-of-the-test";
/// Key of the peer links between routers under test.
pub const PEER_KEY: &str = "peer-links-of-the-test";

/// Ports of every router; its address is its own.
const CALLER_PORT: u16 = 8080;
const OPERATOR_PORT: u16 = 9090;
const PEER_PORT: u16 = 7070;
/// How the line with the addresses begins on standard output.
const ADDRESSES_PREFIX: &str = "listening: ";
/// The line on standard output once the router serves.
const READY_LINE: &str = "ready";
/// Addresses that one test process gives out before the first is given out again.
const HOSTS_PER_PROCESS: u32 = 250;
/// Second and third part of a loopback address; few processes share them at one time.
const NETWORKS: u32 = 200 * 250;

/// Count of the addresses given out by this process.
static HOSTS_ASSIGNED: AtomicU32 = AtomicU32::new(0);

/// A running router daemon; dropping it kills the process and removes its settings.
#[derive(Debug)]
pub struct Router {
    /// The process.
    pub process: Process,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// Where other routers connect.
    pub peer_address: SocketAddr,
    options: Options,
    settings: PathBuf,
}

/// Settings of a router on a fresh loopback address, as of a VM of its own.
///
/// Fixed ports on an address of its own need no search for free ports, so that a router
/// can be started again at the same place.
pub fn settings(
    vm: &str,
    failure_domain: &str,
    platform_address: SocketAddr,
    seed_addresses: &[SocketAddr],
) -> Settings {
    let host = fresh_loopback_ip();
    Settings {
        vm: name::Vm::from(vm),
        failure_domain: name::FailureDomain::from(failure_domain),
        caller_address: SocketAddr::new(host, CALLER_PORT),
        operator_address: SocketAddr::new(host, OPERATOR_PORT),
        peer_address: SocketAddr::new(host, PEER_PORT),
        platform_address,
        seed_addresses: seed_addresses.to_vec(),
        operator_key_digest_sha256: digest(OPERATOR_KEY),
        peer_key: PEER_KEY.to_owned(),
        limits: Limits::default(),
    }
}

/// The digest of a bearer key, as registers and settings hold it.
pub fn digest(key: &str) -> String {
    hex::encode(Sha256::digest(key))
}

/// Starts a router and waits until it listens; see [`Router::ready`].
pub async fn spawn(program: impl Into<PathBuf>, settings: &Settings) -> Result<Router, Error> {
    let options = Options::new(program);
    let path = write_settings(settings).map_err(|error| options.error(Step::Settings, &error))?;
    let options = options.arguments(["--settings".as_ref(), path.as_os_str()]);
    let process = process::spawn(&options)?;
    let mut router = Router {
        process,
        caller_address: settings.caller_address,
        operator_address: settings.operator_address,
        peer_address: settings.peer_address,
        options,
        settings: path,
    };
    router.read_addresses().await?;
    Ok(router)
}

impl Router {
    /// Waits until the router has a configuration and serves callers.
    pub async fn ready(&self) -> Result<(), Error> {
        self.process.wait_for_line(READY_LINE).await.map(drop)
    }

    /// Kills the router if it runs, and starts it again at the same addresses.
    pub async fn restart(&mut self) -> Result<(), Error> {
        if self.process.is_running() {
            self.process.kill()?;
        }
        self.process = process::spawn(&self.options)?;
        self.read_addresses().await
    }

    /// Reads `callers ADDRESS operators ADDRESS peers ADDRESS`.
    async fn read_addresses(&mut self) -> Result<(), Error> {
        let line = self.process.wait_for_line(ADDRESSES_PREFIX).await?;
        let address = |name: &str| {
            let mut words = line.split(' ').skip_while(|word| *word != name);
            words.nth(1).and_then(|word| word.parse().ok())
        };
        let addresses = (address("callers"), address("operators"), address("peers"));
        let (Some(callers), Some(operators), Some(peers)) = addresses else {
            return Err(self.process.error(Step::Line, &"the line lacks an address"));
        };
        self.caller_address = callers;
        self.operator_address = operators;
        self.peer_address = peers;
        Ok(())
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.settings);
    }
}

/// Returns an address in 127.0.0.0/8, all of which Linux takes for loopback, that this process
/// has not given out lately.
pub fn fresh_loopback_ip() -> IpAddr {
    let network = std::process::id() % NETWORKS;
    let host = HOSTS_ASSIGNED.fetch_add(1, Ordering::Relaxed) % HOSTS_PER_PROCESS;
    let octet = |number: u32| u8::try_from(number).expect("the parts are under 256");
    IpAddr::V4(Ipv4Addr::new(
        127,
        octet(network / 250 + 1),
        octet(network % 250),
        octet(host + 1),
    ))
}

/// Writes settings to a file that no other test uses.
fn write_settings(settings: &Settings) -> std::io::Result<PathBuf> {
    let address = settings.peer_address;
    let name = format!("peridotrack-{}-{}.json", std::process::id(), address.ip());
    let path = std::env::temp_dir().join(name);
    fs::write(&path, serde_json::to_vec(settings)?)?;
    Ok(path)
}
