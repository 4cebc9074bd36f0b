//! Child processes that end with their handle.

use std::{
    ffi::OsString,
    fs, io,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use crate::harness::{output::Output, wait};

/// How the line of an address begins on standard output.
const ADDRESS_PREFIX: &str = "listening ";
/// Longest wait for a line or a state unless set otherwise.
const DEFAULT_LIMIT: Duration = Duration::from_secs(10);
/// Milliseconds in one tick of `/proc/PID/stat`, which Linux fixes at 100 a second.
const MS_PER_TICK: u64 = 10;
/// Index of the ticks in user mode among the fields behind the name.
const USER_TICKS_FIELD: usize = 11;
/// Index of the ticks in system mode among the fields behind the name.
const SYSTEM_TICKS_FIELD: usize = 12;
/// Lines of output that an error shows.
const ERROR_LINES: usize = 20;

/// How a process starts.
#[derive(Debug, Clone)]
pub struct Options {
    /// The program.
    pub program: PathBuf,
    /// Its arguments.
    pub arguments: Vec<OsString>,
    /// Variables of its environment, besides those of this process.
    pub variables: Vec<(OsString, OsString)>,
    /// Longest wait for a line, an address, or the end.
    pub limit: Duration,
}

/// What was done when an error arose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Finding the program.
    Find,
    /// Writing the program's settings.
    Settings,
    /// Starting the process.
    Spawn,
    /// Sending a signal.
    Signal,
    /// Waiting for a line.
    Line,
    /// Waiting for the process to stop or end.
    State,
}

/// A process that could not be handled.
#[derive(Debug, thiserror::Error)]
#[error("step {step:?} failed for {program}: {detail}\n{output}")]
pub struct Error {
    /// The step that failed.
    pub step: Step,
    /// The program.
    pub program: String,
    /// What happened.
    pub detail: String,
    /// The last lines that the process printed.
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
    /// Starts `program` without arguments.
    pub fn new(program: impl Into<PathBuf>) -> Self {
        Self {
            program: program.into(),
            arguments: Vec::new(),
            variables: Vec::new(),
            limit: DEFAULT_LIMIT,
        }
    }

    /// Adds arguments.
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

/// Finds a program of the workspace beside the running test.
///
/// Cargo builds the programs of a package before that package's tests only; other programs
/// are there after `cargo build --workspace` or `cargo test --workspace`.
pub fn find_program(name: &str) -> Result<PathBuf, Error> {
    let options = Options::new(name);
    let test = std::env::current_exe().map_err(|error| options.error(Step::Find, &error))?;
    let mut directories = test.ancestors().skip(1).take(2);
    directories
        .find_map(|directory| Some(directory.join(name)).filter(|path| path.is_file()))
        .ok_or_else(|| options.error(Step::Find, &"not built: run `cargo build --workspace`"))
}

/// Starts a process with its output collected and no input.
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

/// Access.
impl Process {
    /// The process id; it is not given to another process while this handle lives.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process has not ended. A paused one is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// What the process holds open, as in `/proc/PID/fd`, such as `socket:[1]`.
    pub fn descriptors(&self) -> io::Result<Vec<String>> {
        let mut descriptors = Vec::new();
        for entry in fs::read_dir(format!("/proc/{}/fd", self.pid()))? {
            // A descriptor can be closed while the directory is read.
            if let Ok(target) = fs::read_link(entry?.path()) {
                descriptors.push(target.to_string_lossy().into_owned());
            }
        }
        Ok(descriptors)
    }

    /// Threads of the process.
    pub fn threads(&self) -> io::Result<usize> {
        Ok(fs::read_dir(format!("/proc/{}/task", self.pid()))?.count())
    }

    /// Resident memory in bytes.
    pub fn resident_bytes(&self) -> io::Result<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.trim().strip_suffix(" kB")?.parse().ok());
        kib.map(|kib: u64| kib * 1024)
            .ok_or_else(|| io::ErrorKind::InvalidData.into())
    }

    /// Processor time used so far, in user and system mode, in milliseconds.
    pub fn cpu_time_ms(&self) -> io::Result<u64> {
        let fields = stat_fields(self.pid())?;
        let ticks = |index: usize| fields.get(index).and_then(|field| field.parse().ok());
        let user: Option<u64> = ticks(USER_TICKS_FIELD);
        let system: Option<u64> = ticks(SYSTEM_TICKS_FIELD);
        user.zip(system)
            .map(|(user, system)| (user + system) * MS_PER_TICK)
            .ok_or_else(|| io::ErrorKind::InvalidData.into())
    }

    /// The last lines of standard output.
    pub fn stdout(&self) -> Vec<String> {
        self.stdout.lines()
    }

    /// The last lines of standard error.
    pub fn stderr(&self) -> Vec<String> {
        self.stderr.lines()
    }
}

/// Waits.
impl Process {
    /// Waits for `count` lines `listening ADDRESS` and gives their addresses.
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

    /// Waits for a line of standard output that begins with `prefix` and gives the rest of it.
    pub async fn wait_for_line(&self, prefix: &str) -> Result<String, Error> {
        let rest = |lines: &[String]| {
            let mut rests = lines.iter().filter_map(|line| line.strip_prefix(prefix));
            rests.next().map(str::to_owned)
        };
        self.poll_stdout(rest).await
    }

    /// Waits for the process to end by itself and for all that it printed.
    pub async fn wait_for_exit(&mut self) -> Result<ExitStatus, Error> {
        let (stdout, stderr, child) = (&self.stdout, &self.stderr, &mut self.child);
        let ended = wait::poll(self.options.limit, "end of the process", async || {
            let status = child.try_wait().transpose()?;
            let complete = stdout.is_complete() && stderr.is_complete();
            (complete || status.is_err()).then_some(status)
        });
        match ended.await {
            Ok(Ok(status)) => Ok(status),
            Ok(Err(error)) => Err(self.error(Step::State, &error)),
            Err(error) => Err(self.error(Step::State, &error)),
        }
    }

    /// Polls standard output until `find` gives a value or no line can follow.
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

/// Faults.
impl Process {
    /// Kills the process without warning and waits for its end.
    pub fn kill(&mut self) -> Result<ExitStatus, Error> {
        self.child
            .kill()
            .and_then(|()| self.child.wait())
            .map_err(|error| self.error(Step::Signal, &error))
    }

    /// Asks the process to end; see [`Process::wait_for_exit`].
    pub fn terminate(&mut self) -> Result<(), Error> {
        self.signal("TERM")
    }

    /// Asks the process to read its settings again.
    pub fn reload(&mut self) -> Result<(), Error> {
        self.signal("HUP")
    }

    /// Stops the process until [`Process::resume`] and waits until it stands still.
    pub async fn pause(&mut self) -> Result<(), Error> {
        self.suspend()?;
        let pid = self.pid();
        wait::until(self.options.limit, "stop", || is_stopped(pid))
            .await
            .map_err(|error| self.error(Step::State, &error))
    }

    /// Stops the process until [`Process::resume`], without waiting until it stands still.
    pub fn suspend(&mut self) -> Result<(), Error> {
        self.signal("STOP")
    }

    /// Lets a paused process go on.
    pub fn resume(&mut self) -> Result<(), Error> {
        self.signal("CONT")
    }

    /// Sends a signal to this child alone; it is not reaped, so its id is still its own.
    fn signal(&mut self, name: &str) -> Result<(), Error> {
        if !self.is_running() {
            return Err(self.error(Step::Signal, &"the process ended"));
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

/// Whether a process stands still, by its state letter as in `ps`.
fn is_stopped(pid: u32) -> bool {
    stat_fields(pid).is_ok_and(|fields| fields.first().is_some_and(|state| state == "T"))
}

/// The fields of `/proc/PID/stat` behind the name, which may hold spaces itself.
fn stat_fields(pid: u32) -> io::Result<Vec<String>> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, fields) = stat.rsplit_once(") ").ok_or(io::ErrorKind::InvalidData)?;
    Ok(fields.split(' ').map(str::to_owned).collect())
}
