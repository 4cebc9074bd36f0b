//! Router daemons under test, each a child process on its own loopback address.

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

/// Bearer key for the operator API of every router under test.
pub const OPERATOR_KEY: &str = "operators-of-the-test";
/// Shared key with which routers under test authenticate to each other.
pub const PEER_KEY: &str = "peer-links-of-the-test";

/// Ports, the same for every router, since each has its own IP address.
const CALLER_PORT: u16 = 8080;
const OPERATOR_PORT: u16 = 9090;
const PEER_PORT: u16 = 7070;
/// Prefix of the line on standard output that lists the addresses.
const ADDRESSES_PREFIX: &str = "listening: ";
/// Line on standard output once the router serves callers.
const READY_LINE: &str = "ready";
/// Addresses that one test process assigns before it reuses the first.
const HOSTS_PER_PROCESS: u32 = 250;
/// Number of combinations of the second and third octet of a loopback address. They are derived
/// from the process id, so that few concurrent processes share them.
const NETWORKS: u32 = 200 * 250;

/// Number of addresses assigned by this process.
static HOSTS_ASSIGNED: AtomicU32 = AtomicU32::new(0);

/// A running router daemon; dropping it kills the process and removes its settings file.
#[derive(Debug)]
pub struct Router {
    /// Child process of the daemon.
    pub process: Process,
    /// Address for callers, as printed by the daemon.
    pub caller_address: SocketAddr,
    /// Address for operators, as printed by the daemon.
    pub operator_address: SocketAddr,
    /// Address for other routers, as printed by the daemon.
    pub peer_address: SocketAddr,
    options: Options,
    settings: PathBuf,
}

/// Returns settings of a router on a new loopback address, as if it had its own VM.
///
/// With fixed ports on its own IP address, no search for free ports is needed and the router can be
/// restarted at the same addresses.
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

/// Returns the hexadecimal SHA-256 digest of a bearer key, as registers and settings hold it.
pub fn digest(key: &str) -> String {
    hex::encode(Sha256::digest(key))
}

/// Starts a router and waits until it listens. It serves callers once [`Router::ready`] returns.
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
    /// Waits until the router has applied a configuration and serves callers.
    pub async fn ready(&self) -> Result<(), Error> {
        self.process.wait_for_line(READY_LINE).await.map(drop)
    }

    /// Kills the router if it is running, starts it at the same addresses, and waits until it
    /// listens.
    pub async fn restart(&mut self) -> Result<(), Error> {
        if self.process.is_running() {
            self.process.kill()?;
        }
        self.process = process::spawn(&self.options)?;
        self.read_addresses().await
    }

    /// Waits for the line `listening: callers ADDRESS operators ADDRESS peers ADDRESS` and reads
    /// its addresses.
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

/// Returns an address in 127.0.0.0/8 that this process has not assigned recently.
///
/// Linux treats the whole block as loopback addresses, without configuration.
pub fn fresh_loopback_ip() -> IpAddr {
    let network = std::process::id() % NETWORKS;
    let host = HOSTS_ASSIGNED.fetch_add(1, Ordering::Relaxed) % HOSTS_PER_PROCESS;
    let octet = |number: u32| u8::try_from(number).expect("each octet is below 256");
    IpAddr::V4(Ipv4Addr::new(
        127,
        octet(network / 250 + 1),
        octet(network % 250),
        octet(host + 1),
    ))
}

/// Writes settings to a temporary file whose name is unique per process and router.
fn write_settings(settings: &Settings) -> std::io::Result<PathBuf> {
    let address = settings.peer_address;
    let name = format!("peridotrack-{}-{}.json", std::process::id(), address.ip());
    let path = std::env::temp_dir().join(name);
    fs::write(&path, serde_json::to_vec(settings)?)?;
    Ok(path)
}
