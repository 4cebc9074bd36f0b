//! Child processes that are killed when their handle is dropped, with their output collected.
//!
//! State is read from `/proc` and signals are sent by the command `kill`, so this needs Linux.

use std::{
    ffi::OsString,
    fs, io,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use crate::harness::{output::Output, wait};

/// Prefix of a line with one address on standard output.
const ADDRESS_PREFIX: &str = "listening ";
/// Default time limit of a wait.
const DEFAULT_LIMIT: Duration = Duration::from_secs(10);
/// Milliseconds per clock tick in `/proc/PID/stat`; Linux reports 100 ticks per second there.
const MS_PER_TICK: u64 = 10;
/// Index of the ticks in user mode (`utime`) among the fields after the name.
const USER_TICKS_FIELD: usize = 11;
/// Index of the ticks in kernel mode (`stime`) among the fields after the name.
const SYSTEM_TICKS_FIELD: usize = 12;
/// Maximum number of output lines that an error contains.
const ERROR_LINES: usize = 20;

/// Program, arguments and environment of a process, and the limit of its waits.
#[derive(Debug, Clone)]
pub struct Options {
    /// Path of the program.
    pub program: PathBuf,
    /// Arguments, without the program's name.
    pub arguments: Vec<OsString>,
    /// Environment variables, added to those of this process.
    pub variables: Vec<(OsString, OsString)>,
    /// Time limit of each wait for a line, an address or a state; 10 s by default.
    pub limit: Duration,
}

/// Operation that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Finding the built program.
    Find,
    /// Writing the program's settings file.
    Settings,
    /// Starting the process.
    Spawn,
    /// Sending a signal.
    Signal,
    /// Waiting for a line of output.
    Line,
    /// Waiting for the process to stop or exit.
    State,
}

/// A failed operation on a process, with the process's last output.
#[derive(Debug, thiserror::Error)]
#[error("step {step:?} failed for {program}: {detail}\n{output}")]
pub struct Error {
    /// Operation that failed.
    pub step: Step,
    /// Path of the program.
    pub program: String,
    /// Cause of the failure.
    pub detail: String,
    /// Last lines of standard output and standard error; empty if it did not start.
    pub output: String,
}

/// A running child process; dropping it kills the process and reaps it.
#[derive(Debug)]
pub struct Process {
    options: Options,
    child: Child,
    stdout: Output,
    stderr: Output,
}

impl Options {
    /// Creates options for `program` without arguments.
    pub fn new(program: impl Into<PathBuf>) -> Self {
        Self {
            program: program.into(),
            arguments: Vec::new(),
            variables: Vec::new(),
            limit: DEFAULT_LIMIT,
        }
    }

    /// Appends arguments.
    #[must_use]
    pub fn arguments<A: Into<OsString>>(mut self, arguments: impl IntoIterator<Item = A>) -> Self {
        self.arguments.extend(arguments.into_iter().map(Into::into));
        self
    }

    pub(super) fn error(&self, step: Step, detail: &impl ToString) -> Error {
        Error {
            step,
            program: self.program.display().to_string(),
            detail: detail.to_string(),
            output: String::new(),
        }
    }
}

/// Finds a program of the workspace in the build directory of the running test.
///
/// Before a package's tests Cargo builds only the programs of that package. Other programs exist
/// after `cargo build --workspace` or `cargo test --workspace`.
pub fn find_program(name: &str) -> Result<PathBuf, Error> {
    let options = Options::new(name);
    let test = std::env::current_exe().map_err(|error| options.error(Step::Find, &error))?;
    let mut directories = test.ancestors().skip(1).take(2);
    directories
        .find_map(|directory| Some(directory.join(name)).filter(|path| path.is_file()))
        .ok_or_else(|| options.error(Step::Find, &"not built: run `cargo build --workspace`"))
}

/// Starts a process without standard input and collects its output.
pub fn spawn(options: &Options) -> Result<Process, Error> {
    let mut child = Command::new(&options.program)
        .args(&options.arguments)
        .envs(options.variables.iter().cloned())
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .map_err(|error| options.error(Step::Spawn, &error))?;
    let stdout = child.stdout.take().map(Output::collect);
    let stderr = child.stderr.take().map(Output::collect);
    Ok(Process {
        options: options.clone(),
        child,
        stdout: stdout.unwrap_or_default(),
        stderr: stderr.unwrap_or_default(),
    })
}

/// Reports the state and output of the process.
impl Process {
    /// Returns the process id. It is not reused until the child has been reaped, by a wait or by
    /// drop.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process has not exited. A paused process counts as running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the targets of the open file descriptors in `/proc/PID/fd`, such as `socket:[1]`.
    pub fn descriptors(&self) -> io::Result<Vec<String>> {
        let mut descriptors = Vec::new();
        for entry in fs::read_dir(format!("/proc/{}/fd", self.pid()))? {
            // A descriptor may be closed while the directory is being read.
            if let Ok(target) = fs::read_link(entry?.path()) {
                descriptors.push(target.to_string_lossy().into_owned());
            }
        }
        Ok(descriptors)
    }

    /// Returns the number of threads.
    pub fn threads(&self) -> io::Result<usize> {
        Ok(fs::read_dir(format!("/proc/{}/task", self.pid()))?.count())
    }

    /// Returns the resident memory, in bytes.
    pub fn resident_bytes(&self) -> io::Result<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.trim().strip_suffix(" kB")?.parse().ok());
        kib.map(|kib: u64| kib * 1024)
            .ok_or_else(|| io::ErrorKind::InvalidData.into())
    }

    /// Returns the CPU time used so far in user and kernel mode, in milliseconds.
    pub fn cpu_time_ms(&self) -> io::Result<u64> {
        let fields = stat_fields(self.pid())?;
        let ticks = |index: usize| fields.get(index).and_then(|field| field.parse().ok());
        let user: Option<u64> = ticks(USER_TICKS_FIELD);
        let system: Option<u64> = ticks(SYSTEM_TICKS_FIELD);
        user.zip(system)
            .map(|(user, system)| (user + system) * MS_PER_TICK)
            .ok_or_else(|| io::ErrorKind::InvalidData.into())
    }

    /// Returns the last lines of standard output.
    pub fn stdout(&self) -> Vec<String> {
        self.stdout.lines()
    }

    /// Returns the last lines of standard error.
    pub fn stderr(&self) -> Vec<String> {
        self.stderr.lines()
    }
}

/// Waits for output and for the exit, each bounded by [`Options::limit`].
impl Process {
    /// Waits for `count` lines `listening ADDRESS` and returns their addresses.
    pub async fn wait_for_addresses(&self, count: usize) -> Result<Vec<SocketAddr>, Error> {
        let addresses = |lines: &[String]| {
            let addresses: Vec<SocketAddr> = lines
                .iter()
                .filter_map(|line| line.strip_prefix(ADDRESS_PREFIX)?.parse().ok())
                .take(count)
                .collect();
            (addresses.len() == count).then_some(addresses)
        };
        self.poll_stdout(addresses).await
    }

    /// Waits for a line of standard output that starts with `prefix` and returns the rest of it.
    /// Fails as soon as the output has ended without one.
    pub async fn wait_for_line(&self, prefix: &str) -> Result<String, Error> {
        let rest = |lines: &[String]| {
            let mut rests = lines.iter().filter_map(|line| line.strip_prefix(prefix));
            rests.next().map(str::to_owned)
        };
        self.poll_stdout(rest).await
    }

    /// Waits for the process to exit by itself and for the rest of its output.
    pub async fn wait_for_exit(&mut self) -> Result<ExitStatus, Error> {
        let (stdout, stderr, child) = (&self.stdout, &self.stderr, &mut self.child);
        let exit = wait::poll(self.options.limit, "exit of the process", async || {
            let status = child.try_wait().transpose()?;
            let complete = stdout.is_complete() && stderr.is_complete();
            (complete || status.is_err()).then_some(status)
        });
        match exit.await {
            Ok(Ok(status)) => Ok(status),
            Ok(Err(error)) => Err(self.error(Step::State, &error)),
            Err(error) => Err(self.error(Step::State, &error)),
        }
    }

    /// Polls standard output until `find` returns a value or the output has ended.
    async fn poll_stdout<T>(&self, find: impl Fn(&[String]) -> Option<T>) -> Result<T, Error> {
        let found = wait::poll(self.options.limit, "awaited line", async || {
            let complete = self.stdout.is_complete() && self.stderr.is_complete();
            find(&self.stdout.lines())
                .map(Some)
                .or_else(|| complete.then_some(None))
        });
        match found.await {
            Ok(Some(value)) => Ok(value),
            Ok(None) => Err(self.error(Step::Line, &"the output ended")),
            Err(error) => Err(self.error(Step::Line, &error)),
        }
    }
}

/// Injects faults and sends signals.
impl Process {
    /// Kills the process with SIGKILL and waits for its exit.
    pub fn kill(&mut self) -> Result<ExitStatus, Error> {
        self.child
            .kill()
            .and_then(|()| self.child.wait())
            .map_err(|error| self.error(Step::Signal, &error))
    }

    /// Sends SIGTERM, which asks the process to exit; see [`Process::wait_for_exit`].
    pub fn terminate(&mut self) -> Result<(), Error> {
        self.signal("TERM")
    }

    /// Sends SIGINT, which asks the process to exit; the second one asks it to exit at once.
    pub fn interrupt(&mut self) -> Result<(), Error> {
        self.signal("INT")
    }

    /// Sends SIGHUP, which asks a daemon to reload its settings.
    pub fn reload(&mut self) -> Result<(), Error> {
        self.signal("HUP")
    }

    /// Pauses the process with SIGSTOP until [`Process::resume`], and waits until it has stopped.
    pub async fn pause(&mut self) -> Result<(), Error> {
        self.suspend()?;
        let pid = self.pid();
        wait::until(self.options.limit, "stop", || is_stopped(pid))
            .await
            .map_err(|error| self.error(Step::State, &error))
    }

    /// Pauses the process as [`Process::pause`] does, but does not wait until it has stopped.
    pub fn suspend(&mut self) -> Result<(), Error> {
        self.signal("STOP")
    }

    /// Continues a paused process with SIGCONT.
    pub fn resume(&mut self) -> Result<(), Error> {
        self.signal("CONT")
    }

    /// Sends a signal to this child only. The child has not been reaped, so its process id cannot
    /// belong to another process.
    fn signal(&mut self, name: &str) -> Result<(), Error> {
        if !self.is_running() {
            return Err(self.error(Step::Signal, &"the process has exited"));
        }
        let pid = self.pid().to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status()
            .map_err(|error| self.error(Step::Signal, &error))?;
        if status.success() {
            return Ok(());
        }
        Err(self.error(Step::Signal, &format!("kill -{name} {pid} failed")))
    }

    pub(super) fn error(&self, step: Step, detail: &impl ToString) -> Error {
        let lines = [self.stdout.lines(), self.stderr.lines()].concat();
        let start = lines.len().saturating_sub(ERROR_LINES);
        Error {
            output: lines[start..].join("\n"),
            ..self.options.error(step, detail)
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns whether a process is stopped, by its state letter in `/proc/PID/stat`.
fn is_stopped(pid: u32) -> bool {
    stat_fields(pid).is_ok_and(|fields| fields.first().is_some_and(|state| state == "T"))
}

/// Returns the fields of `/proc/PID/stat` after the name, which may contain spaces.
fn stat_fields(pid: u32) -> io::Result<Vec<String>> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, fields) = stat.rsplit_once(") ").ok_or(io::ErrorKind::InvalidData)?;
    Ok(fields.split(' ').map(str::to_owned).collect())
}
