//! Parses the command line into an [`Invocation`].

use std::{ffi::OsString, net::SocketAddr, path::PathBuf, str::FromStr, time::Duration};

use eyre::WrapErr;
use peridotrack_quarantine::signature::Signature;
use peridotrack_types::{id, name};
use pico_args::Arguments;

use crate::{help, report::Exit, report::Failure, report::OrExit};

/// Timeout of `config apply --wait` without `--timeout-s`.
const DEFAULT_WAIT_TIMEOUT: Duration = Duration::from_secs(15);

/// A parsed command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Invocation {
    /// Command to run, with its arguments.
    pub command: Command,
    /// Whether to print JSON in place of text.
    pub json: bool,
}

/// A command with its arguments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Print the given text, which is the help or the version.
    Print(String),
    /// Check a register and rules without applying them.
    ConfigCheck(Inputs),
    /// Write a register and rules as the next version of the configuration.
    ConfigApply(Apply),
    /// Show the configuration that the platform holds.
    ConfigShow {
        /// IP address and port of the platform's object API.
        platform: SocketAddr,
    },
    /// Show the status of routers.
    Status(Routers),
    /// Show the budgets of the configuration and the ledger.
    BudgetShow {
        /// IP address and port of the platform's object API.
        platform: SocketAddr,
        /// If set, show only this budget, with its holders.
        budget: Option<name::Budget>,
    },
    /// Release the tokens of a budget that a destroyed router held.
    BudgetRelease(Release),
    /// Show the requests and prompt parts that gateways refuse.
    QuarantineShow {
        /// IP address and port of the metadata store of the users' platform.
        store: SocketAddr,
    },
    /// Have requests with a signature sent again.
    QuarantineLift {
        /// IP address and port of the metadata store of the users' platform.
        store: SocketAddr,
        /// The signature: of the whole request, or a prompt part.
        signature: Signature,
    },
    /// Show the merged events of routers.
    Timeline {
        /// Routers whose events are read.
        routers: Routers,
        /// Number of latest events to print; all if absent.
        last: Option<usize>,
    },
    /// Show the merged events of log files.
    TimelineLogs {
        /// Log files; at least one.
        logs: Vec<PathBuf>,
        /// Number of latest events to print; all if absent.
        last: Option<usize>,
    },
    /// Run a fleet with stand-ins in this process.
    Demo,
    /// Show from log files what happened to one request.
    ExplainLogs {
        /// Id of the request, as its client or a router assigned it.
        request: String,
        /// Log files; at least one.
        logs: Vec<PathBuf>,
    },
    /// Show from the routers' events what happened to one request.
    Explain {
        /// Id of the request, as its router assigned it.
        request: id::Request,
        /// Routers whose events are read.
        routers: Routers,
    },
}

/// Input files of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Inputs {
    /// JSON file with the register.
    pub register: PathBuf,
    /// JSON file with the rules.
    pub rules: PathBuf,
}

/// Routers to query, and the file with the key that authorizes the queries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Routers {
    /// Operator addresses of the routers.
    pub addresses: Vec<SocketAddr>,
    /// File with the operators' bearer key; set if there are addresses.
    pub key_file: Option<PathBuf>,
}

/// Arguments of `config apply`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Apply {
    /// Input files of the configuration.
    pub inputs: Inputs,
    /// IP address and port of the platform's object API.
    pub platform: SocketAddr,
    /// Routers whose version is queried before the write, and awaited with `--wait`.
    pub routers: Routers,
    /// Timeout for the routers to hold the version; absent without `--wait`.
    pub wait: Option<Duration>,
}

/// Arguments of `budget release`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Release {
    /// IP address and port of the platform's object API.
    pub platform: SocketAddr,
    /// Budget of which the holder's tokens are released.
    pub budget: name::Budget,
    /// Incarnation of the destroyed router.
    pub holder: id::Incarnation,
    /// Total tokens that the holder spent, as the provider counted them.
    pub spent_tokens: u64,
    /// Routers to ask whether the holder is still running.
    pub routers: Routers,
}

/// Former name of the commands `quarantine show` and `quarantine lift`.
const FORMER_QUARANTINE: &str = "part";

/// Parses the arguments of the process, without the program name.
///
/// # Errors
///
/// Returns a failure that exits with [`Exit::Usage`] and names the argument.
pub fn parse(arguments: Vec<OsString>) -> Result<Invocation, Failure> {
    let mut arguments = Arguments::from_vec(arguments);
    let json = arguments.contains("--json");
    let wants_help = arguments.contains(["-h", "--help"]);
    if arguments.contains(["-V", "--version"]) {
        let version = format!("peridotrack {}\n", env!("CARGO_PKG_VERSION"));
        return Ok(print_invocation(version, json));
    }
    let words = take_command_words(&mut arguments).or_exit(Exit::Usage)?;
    if wants_help {
        return Ok(print_invocation(help::text(&words), json));
    }
    if words.is_empty() {
        let message = "a command is needed (see peridotrack --help)";
        return Err(Failure::new(Exit::Usage, message));
    }
    let command = match arguments.contains("--logs") {
        true => logs_command(&words, arguments),
        false => command(&words, arguments),
    };
    let command = command
        .wrap_err_with(|| format!("{words} (see peridotrack {words} --help)"))
        .or_exit(Exit::Usage)?;
    Ok(Invocation { command, json })
}

fn print_invocation(text: String, json: bool) -> Invocation {
    Invocation {
        command: Command::Print(text),
        json,
    }
}

/// Removes the words that select the command from the arguments and returns them, joined by a
/// space.
fn take_command_words(arguments: &mut Arguments) -> eyre::Result<String> {
    let Some(first) = arguments.subcommand()? else {
        return Ok(String::new());
    };
    let first = match &*first {
        FORMER_QUARANTINE => "quarantine".to_owned(),
        _ => first,
    };
    let prefix = format!("{first} ");
    if !help::COMMANDS
        .iter()
        .any(|entry| entry.words.starts_with(&prefix))
    {
        return Ok(first);
    }
    match arguments.subcommand()? {
        Some(second) => Ok(format!("{first} {second}")),
        None => Ok(first),
    }
}

fn command(words: &str, mut arguments: Arguments) -> eyre::Result<Command> {
    let args = &mut arguments;
    let command = match words {
        "config check" => Command::ConfigCheck(inputs(args)?),
        "config apply" => Command::ConfigApply(apply(args)?),
        "config show" => Command::ConfigShow {
            platform: value(args, "--platform")?,
        },
        "status" => Command::Status(routers(args)?),
        "budget show" => Command::BudgetShow {
            platform: value(args, "--platform")?,
            budget: args
                .opt_value_from_str::<_, String>("--budget")?
                .map(Into::into),
        },
        "budget release" => Command::BudgetRelease(release(args)?),
        "quarantine show" => Command::QuarantineShow {
            store: value(args, "--store")?,
        },
        "quarantine lift" => Command::QuarantineLift {
            store: value(args, "--store")?,
            signature: match args.opt_value_from_str("--part").wrap_err("--part")? {
                Some(part) => part,
                None => value(args, "--signature")?,
            },
        },
        "timeline" => Command::Timeline {
            routers: routers(args)?,
            last: args.opt_value_from_str("--last")?,
        },
        "demo" => Command::Demo,
        "explain" => Command::Explain {
            routers: routers(args)?,
            request: args.free_from_str().wrap_err("REQUEST-ID")?,
        },
        _ => eyre::bail!("there is no such command"),
    };
    let rest = arguments.finish();
    eyre::ensure!(rest.is_empty(), "unexpected argument {:?}", rest[0]);
    Ok(command)
}

/// Parses a command that reads log files: all arguments that remain are files.
fn logs_command(words: &str, mut arguments: Arguments) -> eyre::Result<Command> {
    let last = match words {
        "timeline" => arguments.opt_value_from_str("--last")?,
        _ => None,
    };
    let request = match words {
        "explain" => Some(arguments.free_from_str().wrap_err("REQUEST-ID")?),
        "timeline" => None,
        _ => eyre::bail!("--logs is for explain and timeline"),
    };
    let logs: Vec<PathBuf> = arguments.finish().into_iter().map(Into::into).collect();
    eyre::ensure!(!logs.is_empty(), "--logs needs a file");
    let option = logs
        .iter()
        .find(|path| path.to_string_lossy().starts_with('-'));
    eyre::ensure!(option.is_none(), "unexpected argument {option:?}");
    Ok(match request {
        Some(request) => Command::ExplainLogs { request, logs },
        None => Command::TimelineLogs { logs, last },
    })
}

fn inputs(arguments: &mut Arguments) -> eyre::Result<Inputs> {
    Ok(Inputs {
        register: value(arguments, "--register")?,
        rules: value(arguments, "--rules")?,
    })
}

fn apply(arguments: &mut Arguments) -> eyre::Result<Apply> {
    let is_waiting = arguments.contains("--wait");
    let timeout_s = arguments.opt_value_from_str("--timeout-s")?;
    let routers = optional_routers(arguments)?;
    eyre::ensure!(
        !is_waiting || !routers.addresses.is_empty(),
        "--wait needs --router for each router to wait for"
    );
    Ok(Apply {
        inputs: inputs(arguments)?,
        platform: value(arguments, "--platform")?,
        routers,
        wait: is_waiting.then(|| timeout_s.map_or(DEFAULT_WAIT_TIMEOUT, Duration::from_secs)),
    })
}

fn release(arguments: &mut Arguments) -> eyre::Result<Release> {
    let is_confirmed = arguments.contains("--confirm-destroyed");
    let release = Release {
        platform: value(arguments, "--platform")?,
        budget: value::<String>(arguments, "--budget")?.into(),
        holder: value(arguments, "--holder")?,
        spent_tokens: value(arguments, "--spent")?,
        routers: optional_routers(arguments)?,
    };
    eyre::ensure!(
        is_confirmed,
        "--confirm-destroyed is needed: a holder that runs again would overspend"
    );
    Ok(release)
}

fn routers(arguments: &mut Arguments) -> eyre::Result<Routers> {
    let routers = optional_routers(arguments)?;
    eyre::ensure!(!routers.addresses.is_empty(), "--router is needed");
    Ok(routers)
}

fn optional_routers(arguments: &mut Arguments) -> eyre::Result<Routers> {
    let addresses = arguments.values_from_str("--router").wrap_err("--router")?;
    let key_file = arguments.opt_value_from_str("--operator-key-file")?;
    eyre::ensure!(
        addresses.is_empty() || key_file.is_some(),
        "--operator-key-file is needed to query routers"
    );
    Ok(Routers {
        addresses,
        key_file,
    })
}

fn value<T: FromStr>(arguments: &mut Arguments, option: &'static str) -> eyre::Result<T>
where
    T::Err: std::fmt::Display,
{
    arguments.value_from_str(option).wrap_err(option)
}
