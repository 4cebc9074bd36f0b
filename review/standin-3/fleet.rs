//! The machines: one gateway process each, with the settings of a small deployment, and the operator.

use std::{
    fs::{self, File},
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{http::Connection, record::Record};

/// The command of the deploy file.
const PROGRAM: &str = "target/release/peridotrackd";

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;

/// Ports of a machine, the same on all machines.
#[derive(Clone, Copy)]
struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    internal: (u16, u16),
}

/// A machine with its process.
pub struct Machine {
    pub name: String,
    zone: String,
    ip: Ipv4Addr,
    ports: Ports,
    seeds: String,
    zones: String,
    directory: PathBuf,
    process: Option<Child>,
    store: SocketAddr,
    drain_ms: String,
    starts: u32,
}

/// Returns machines that are not started yet, `per_zone` of them in each zone.
pub fn machines(
    zones: &[&str],
    per_zone: usize,
    store: SocketAddr,
    directory: &std::path::Path,
) -> io::Result<Vec<Machine>> {
    let count = zones.len() * per_zone;
    let third = (std::process::id() % 200 + 20) as u8;
    let ips: Vec<_> = (0..count)
        .map(|n| Ipv4Addr::new(127, 77, third, n as u8 + 10))
        .collect();
    // The ports are free on the first address, and no one else uses the others.
    let mut free = Vec::new();
    let mut listeners = Vec::new();
    while free.len() < 4 {
        let listener = TcpListener::bind((ips[0], 0))?;
        free.push(listener.local_addr()?.port());
        listeners.push(listener);
    }
    let ports = Ports {
        front: free[0],
        ready: free[1],
        control: free[2],
        internal: (free[3], free[3].saturating_add(15)),
    };
    let seeds = ips
        .iter()
        .take(3)
        .map(|ip| format!("\"{ip}:{}\"", ports.control));
    let seeds = seeds.collect::<Vec<_>>().join(",");
    let regions = zones.iter().map(|zone| format!("{zone} = \"home\"\n"));
    let regions: String = regions.collect();
    let machine = |n: usize| Machine {
        name: format!("front-{}-{}", zones[n / per_zone], n % per_zone + 1),
        zone: zones[n / per_zone].to_owned(),
        ip: ips[n],
        ports,
        seeds: seeds.clone(),
        zones: regions.clone(),
        directory: directory.to_owned(),
        process: None,
        store,
        drain_ms: "2000".to_owned(),
        starts: 0,
    };
    Ok((0..count).map(machine).collect())
}

impl Machine {
    pub fn front(&self) -> SocketAddr {
        (self.ip, self.ports.front).into()
    }

    /// Sets `drainMs` as the settings state it.
    pub fn set_drain_ms(&mut self, drain_ms: &str) -> io::Result<()> {
        self.drain_ms = drain_ms.to_owned();
        fs::write(self.settings_path(), self.settings())
    }

    fn settings_path(&self) -> PathBuf {
        self.directory.join(format!("{}.toml", self.name))
    }

    fn settings(&self) -> String {
        let Self {
            name,
            zone,
            ip,
            seeds,
            zones,
            store,
            drain_ms,
            ..
        } = self;
        let Ports {
            front,
            ready,
            control,
            internal,
        } = self.ports;
        format!(
            "nodeName = \"{name}\"\nrole = \"gateway\"\nmachineClass = \"front\"\n\
             serves = [\"front\",\"control\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"home\"\n\
             internalPorts = [{},{}]\nseeds = [{seeds}]\nbootstrap = true\ninTolerance = false\n\
             discovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\
             \"stream\",\"tenants\",\"platform\"]\n[zones]\n{zones}[listen]\nfront = \"{ip}:{front}\"\n\
             ready = \"{ip}:{ready}\"\ncontrol = \"{ip}:{control}\"\n[limits]\ncpuShare = 0.25\n\
             cores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n\
             [faultTolerance]\nmachines = 2\nzones = 1\nregions = 0\n[bounds]\nseedLagS = 3\n\
             reuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = {drain_ms}\n\
             graceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\n\
             maxSkewMs = 5000\nrevokeStrict = false\nrevokeMs = 5000\nretryBudgetRatio = 0.2\n\
             budgetWindowS = 10\nretryBudgetSlack = 52\nrecoveryS = 12\npassMs = 120\nagainS = 10\n\
             settle_ms = 1500\n[platform]\naddress = \"{store}\"\nform = \"objects\"\n\
             writesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\n\
             ttlMinMs = 1000\n",
            internal.0, internal.1
        )
    }

    pub fn start(&mut self, record: &Record) -> io::Result<()> {
        fs::write(self.settings_path(), self.settings())?;
        self.starts += 1;
        let log = File::create(
            self.directory
                .join(format!("{}-{}.log", self.name, self.starts)),
        )?;
        let process = Command::new(PROGRAM)
            .arg("gateway")
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("HOME", "/tmp")
            .env("LANG", "C.UTF-8")
            .env("PERIDOTRACK_SETTINGS", self.settings_path())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        record.note(&format!("{} started, process {}", self.name, process.id()));
        self.process = Some(process);
        Ok(())
    }

    pub fn signal(&self, signal: i32, record: &Record) {
        if let Some(process) = &self.process {
            record.note(&format!("{} gets signal {signal}", self.name));
            unsafe { kill(process.id() as i32, signal) };
        }
    }

    /// Returns whether the process has ended; it is not started again.
    pub fn has_ended(&mut self) -> bool {
        let ended = match &mut self.process {
            Some(process) => process.try_wait().is_ok_and(|status| status.is_some()),
            None => true,
        };
        if ended {
            self.process = None;
        }
        ended
    }

    /// Waits until the process has ended, and kills it after `limit`.
    pub fn wait(&mut self, limit: Duration) {
        let begin = Instant::now();
        while !self.has_ended() && begin.elapsed() < limit {
            thread::sleep(Duration::from_millis(20));
        }
        self.kill();
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Asks the machine whether it is ready, as the platform does.
    pub fn is_ready(&self) -> bool {
        let address = (self.ip, self.ports.ready).into();
        let ask = || {
            let mut connection = Connection::open(address, Duration::from_secs(1))?;
            connection.send(b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n")?;
            connection.message()
        };
        matches!(ask(), Ok(Some(answer)) if answer.status() == 200)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all machines are ready; returns whether they are within `limit`.
pub fn wait_until_ready(machines: &[Machine], limit: Duration) -> bool {
    let begin = Instant::now();
    while begin.elapsed() < limit {
        if machines.iter().all(Machine::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

/// Returns a configuration in which each tenant has the key `key-NAME` and `prepaid` tokens in all.
pub fn configuration(version: u64, tenants: &[&str], prepaid: u64) -> String {
    let tenant = |name: &&str| {
        format!(
            "{{\"name\":\"{name}\",\"apiKeys\":[\"key-{name}\"],\"priority\":1,\"prepaid\":{prepaid}}}"
        )
    };
    document(version, &tenants.iter().map(tenant).collect::<Vec<_>>())
}

fn document(version: u64, tenants: &[String]) -> String {
    let engine = "{\"slots\":64,\"kvTokens\":683335,\"kvTokenBytes\":18432,\"linkMbps\":280000.0,\
                  \"moves\":true,\"backups\":true,\"stride\":5,\"most\":12,\"pinMs\":4000.0,\
                  \"holdMs\":2000.0,\"handleS\":5.0,\"models\":[{\"name\":\"m\"}]}";
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"r-notes\",\"host\":\"desk.example\",\"pathPrefix\":\"/notes/\",\
         \"routeType\":\"streaming\",\"timeoutMs\":15000,\"targetLatencyMs\":400,\"priority\":0,\
         \"service\":\"marker\",\"maxAttempts\":2,\"authExempt\":false,\"sessionAffinity\":true,\
         \"streamResume\":true,\"gapAimMs\":400}},\
         {{\"name\":\"r-charge\",\"host\":\"desk.example\",\"pathPrefix\":\"/charge/\",\
         \"routeType\":\"unsafe\",\"timeoutMs\":1000,\"targetLatencyMs\":150,\"priority\":2,\
         \"service\":\"desk-api\",\"maxAttempts\":1,\"authExempt\":false,\"sessionAffinity\":false,\
         \"streamResume\":false,\"gapAimMs\":0}}],\
         \"services\":[{{\"name\":\"marker\",\"healthPath\":\"/health\",\"maxConnections\":360,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{engine}}},\
         {{\"name\":\"desk-api\",\"healthPath\":\"/health\",\"maxConnections\":96,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{}]}}",
        tenants.join(",")
    )
}
