//! Gateways: the daemon of the deploy file as separate processes.

use std::{
    fs,
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicU16, Ordering},
        Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{record::Record, Failure};

pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
/// Processes that run, by their identifiers.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills every gateway that was started and has not ended.
pub fn kill_all() {
    for pid in RUNNING.lock().unwrap().drain(..) {
        signal(pid, SIGKILL);
    }
}

fn signal(pid: u32, number: i32) {
    // SAFETY: the call takes no pointers; the process was started here and is not reaped yet.
    unsafe { kill(pid as i32, number) };
}

/// Fields of a settings file that differ between cases.
#[derive(Clone)]
pub struct Settings {
    pub name: String,
    pub zone: String,
    pub zones: Vec<String>,
    pub store: SocketAddr,
    pub writes_per_s: u64,
    pub grace_s: u64,
}

pub struct Gateway {
    pub settings: Settings,
    pub front: SocketAddr,
    ready: SocketAddr,
    control: SocketAddr,
    internal_port: u16,
    pub seeds: Vec<SocketAddr>,
    folder: PathBuf,
    child: Option<Child>,
}

/// Returns an address that is free now. Its port is below those of outgoing channels, so that it stays
/// free while a gateway starts again.
fn free_address() -> io::Result<SocketAddr> {
    let first = 15_000 + (std::process::id() * 64 % 15_000) as u16;
    loop {
        let port = first + NEXT_PORT.fetch_add(1, Ordering::SeqCst);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        match TcpListener::bind(address) {
            Ok(_) => return Ok(address),
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(error),
        }
    }
}

fn folder_path() -> PathBuf {
    std::env::temp_dir().join(format!("peridotrack-review-{}", std::process::id()))
}

/// Returns a new temporary folder, for settings and logs.
pub fn folder() -> io::Result<PathBuf> {
    let path = folder_path();
    fs::create_dir_all(&path)?;
    Ok(path)
}

/// Removes the temporary folder.
pub fn remove_folder() {
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(folder_path());
    }
}

impl Gateway {
    pub fn new(settings: Settings, folder: &PathBuf) -> io::Result<Self> {
        Ok(Self {
            settings,
            front: free_address()?,
            ready: free_address()?,
            control: free_address()?,
            internal_port: free_address()?.port(),
            seeds: Vec::new(),
            folder: folder.clone(),
            child: None,
        })
    }

    pub fn control(&self) -> SocketAddr {
        self.control
    }

    fn path(&self) -> PathBuf {
        self.folder.join(format!("{}.toml", self.settings.name))
    }

    /// Writes the settings file.
    pub fn write_settings(&self) -> io::Result<()> {
        let Settings {
            name,
            zone,
            zones,
            store,
            writes_per_s,
            grace_s,
        } = &self.settings;
        let regions: Vec<String> = zones.iter().map(|zone| format!("{zone} = \"r\"")).collect();
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let (port, reads_per_s) = (self.internal_port, 5 * writes_per_s);
        let text = format!(
            "nodeName = \"{name}\"\nrole = \"gateway\"\nmachineClass = \"front\"\n\
             serves = [\"front\",\"control\"]\nip = \"127.0.0.1\"\nzone = \"{zone}\"\n\
             region = \"r\"\ninternalPorts = [{port},{port}]\nseeds = [{}]\nbootstrap = true\n\
             discovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\
             \"stream\",\"tenants\",\"platform\"]\n\
             [zones]\n{}\n[listen]\nfront = \"{}\"\nready = \"{}\"\ncontrol = \"{}\"\n\
             [limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 110\nmaxFds = 4100\n\
             linkMbps = 1000.0\ndiskMb = 0\n[faultTolerance]\nmachines = 2\nzones = 1\nregions = 0\n[bounds]\nseedLagS = 3\nreuseAfterS = 2\n\
             contactMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = {grace_s}\n\
             lossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\nmaxSkewMs = 5000\n\
             revokeStrict = false\nrevokeMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\n\
             retryBudgetSlack = 58\nrecoveryS = 12\npassMs = 120\nagainS = 9.1\nsettle_ms = 1500\n\
             [platform]\naddress = \"{store}\"\nform = \"objects\"\nwritesPerS = {writes_per_s}\n\
             readsPerS = {reads_per_s}\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n",
            seeds.join(","),
            regions.join("\n"),
            self.front,
            self.ready,
            self.control,
        );
        fs::write(self.path(), text)
    }

    /// Starts the process with the settings in effect now.
    pub fn start(&mut self) -> io::Result<()> {
        self.write_settings()?;
        let log = self.folder.join(format!("{}.log", self.settings.name));
        let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
        let child = Command::new("target/release/peridotrackd")
            .arg("gateway")
            .env_clear()
            .env("PERIDOTRACK_SETTINGS", self.path())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
        Ok(())
    }

    pub fn signal(&self, number: i32) {
        if let Some(child) = &self.child {
            signal(child.id(), number);
        }
    }

    /// Stops the process with SIGTERM, and kills it after the grace period.
    pub fn stop(&mut self) {
        self.signal(SIGTERM);
        self.wait_end(Instant::now() + Duration::from_secs(self.settings.grace_s));
    }

    /// Waits until the process ends, and kills it at `end`. Returns whether it was killed.
    pub fn wait_end(&mut self, end: Instant) -> bool {
        let Some(mut child) = self.child.take() else {
            return false;
        };
        let mut is_killed = false;
        while !matches!(child.try_wait(), Ok(Some(_))) {
            if Instant::now() >= end {
                is_killed = true;
                let _ = child.kill();
                let _ = child.wait();
                break;
            }
            thread::sleep(Duration::from_millis(5));
        }
        RUNNING.lock().unwrap().retain(|pid| *pid != child.id());
        is_killed
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|pid| *pid != child.id());
        }
    }

    /// Returns how the process ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    pub fn addresses(&self) -> (SocketAddr, SocketAddr) {
        (self.front, self.ready)
    }

    /// Waits until the process says that it is ready.
    pub fn wait_ready(&self, record: &Record) -> Result<(), Failure> {
        for _ in 0..200 {
            if is_ready(self.ready) {
                record.note(format!("gateway {} is ready", self.settings.name));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("gateway {} is not ready after 10 s", self.settings.name))
    }
}

/// Returns whether a node says at this address that it is ready.
pub fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        stream.write_all(b"GET /readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text.starts_with("HTTP/1.1 200"))
    };
    ask().unwrap_or(false)
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts one gateway in each zone and waits until all are ready.
pub fn start_all(
    zones: &[&str],
    store: SocketAddr,
    folder: &PathBuf,
    record: &Record,
) -> Result<Vec<Gateway>, Failure> {
    let names: Vec<String> = zones.iter().map(|zone| (*zone).to_owned()).collect();
    let mut known = names.clone();
    known.dedup();
    let mut gateways = Vec::new();
    for (number, zone) in names.iter().enumerate() {
        let settings = Settings {
            name: format!("front-{zone}-{number}"),
            zone: zone.clone(),
            zones: known.clone(),
            store,
            writes_per_s: 400,
            grace_s: 8,
        };
        gateways.push(Gateway::new(settings, folder).map_err(|error| error.to_string())?);
    }
    let seeds: Vec<SocketAddr> = gateways.iter().take(3).map(Gateway::control).collect();
    for gateway in &mut gateways {
        gateway.seeds.clone_from(&seeds);
        gateway.start().map_err(|error| format!("cannot start the gateway: {error}"))?;
    }
    for gateway in &gateways {
        gateway.wait_ready(record)?;
    }
    Ok(gateways)
}
