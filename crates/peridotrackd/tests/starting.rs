//! The start of a gateway process, beside signals and changes of its settings file.

use std::{
    fs::{self, File, OpenOptions},
    io::Write,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Command,
    time::Duration,
};

use peridotrack_standin::{
    harness::{
        http::block_on,
        process::{self, Options, Process},
        router::fresh_loopback_ip,
        wait,
    },
    hosted::deployment,
};
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Returns a settings file. No store listens at its address, which a start does not need.
fn settings() -> String {
    // A port that was free a moment ago may be taken by another process of the machine.
    let ip = fresh_loopback_ip();
    let addresses = deployment::Addresses {
        client: SocketAddr::new(ip, 8227),
        ready: SocketAddr::new(ip, 8220),
        control: SocketAddr::new(ip, 8229),
        internal_port: 7340,
        store: SocketAddr::new(ip, 8223),
    };
    deployment::settings(
        "front-a-1",
        "a",
        &["a".to_owned()],
        &addresses,
        addresses.control,
    )
}

/// Directory of one test, removed when it is dropped.
struct Directory(PathBuf);

impl Directory {
    fn create(name: &str) -> Self {
        let name = format!("peridotrackd-starting-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir(&path).unwrap();
        Self(path)
    }

    fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn spawn(settings: &Path) -> Process {
    let options = Options::new(env!("CARGO_BIN_EXE_peridotrackd"));
    let mut options = options.arguments(["gateway"]);
    options
        .variables
        .push((deployment::SETTINGS_VARIABLE.into(), settings.into()));
    process::spawn(&options).unwrap()
}

/// Waits for the event of a start; fails if the process ends first.
async fn wait_until_started(gateway: &mut Process) {
    let started = async || {
        let has_ended = !gateway.is_running();
        let lines = gateway.stdout();
        let is_started = lines.iter().any(|line| line.contains("RouterStarted"));
        (is_started || has_ended).then_some(is_started)
    };
    let is_started = wait::poll(TIMEOUT, "the start", started).await.unwrap();
    let (stdout, stderr) = (gateway.stdout(), gateway.stderr());
    assert!(is_started, "it ended: {stdout:?} {stderr:?}");
}

/// Creates a pipe in place of a settings file. The process waits in its start until the other end,
/// which is returned, is written and closed.
fn open_slow_file(path: &Path, spawn: impl FnOnce() -> Process) -> (Process, File) {
    let status = Command::new("mkfifo").arg(path).status().unwrap();
    assert!(status.success());
    let gateway = spawn();
    // Returns as soon as the process has opened the file.
    let writer = OpenOptions::new().write(true).open(path).unwrap();
    (gateway, writer)
}

/// Guards against a process that ends because its settings change while it starts.
#[test]
fn a_sighup_during_the_start_does_not_end_the_process() {
    block_on(async {
        let directory = Directory::create("hangup");
        let (path, regular) = (directory.file("boot.toml"), directory.file("regular.toml"));
        let text = settings();
        fs::write(&regular, &text).unwrap();
        let (mut gateway, mut writer) = open_slow_file(&path, || spawn(&path));
        gateway.reload().unwrap();
        // The signal makes the process read the file again once it has started.
        fs::rename(&regular, &path).unwrap();
        writer.write_all(text.as_bytes()).unwrap();
        drop(writer);
        wait_until_started(&mut gateway).await;
    });
}

/// Guards against a stop during the start that counts as a process that ended by itself.
#[test]
fn a_sigterm_during_the_start_stops_the_process_gracefully() {
    block_on(async {
        let directory = Directory::create("terminate");
        let path = directory.file("boot.toml");
        let text = settings().replace("graceS = 8", "graceS = 2");
        let (mut gateway, mut writer) = open_slow_file(&path, || spawn(&path));
        gateway.terminate().unwrap();
        writer.write_all(text.as_bytes()).unwrap();
        drop(writer);
        let status = gateway.wait_for_exit().await.unwrap();
        assert!(status.success(), "{status}: {:?}", gateway.stderr());
    });
}

/// Guards against a process that ends because its settings file is being replaced while it starts.
#[rstest]
#[case::empty(0)]
#[case::half(2)]
fn a_file_that_is_incomplete_at_the_start_is_read_again(#[case] divisor: usize) {
    block_on(async {
        let directory = Directory::create(&format!("incomplete-{divisor}"));
        let (path, complete) = (directory.file("boot.toml"), directory.file("complete.toml"));
        let text = settings();
        fs::write(&complete, &text).unwrap();
        let (mut gateway, mut writer) = open_slow_file(&path, || spawn(&path));
        fs::rename(&complete, &path).unwrap();
        let length = text.len().checked_div(divisor).unwrap_or_default();
        writer.write_all(&text.as_bytes()[..length]).unwrap();
        drop(writer);
        wait_until_started(&mut gateway).await;
    });
}

/// Guards against a process that ends for want of memory because the store takes many writes.
#[test]
fn a_gateway_starts_with_a_very_large_write_rate() {
    block_on(async {
        let directory = Directory::create("write-rate");
        let path = directory.file("boot.toml");
        let text = settings().replace("writesPerS = 400", "writesPerS = 1e9");
        assert!(text.contains("writesPerS = 1e9"));
        fs::write(&path, text).unwrap();
        let mut gateway = spawn(&path);
        wait_until_started(&mut gateway).await;
    });
}
