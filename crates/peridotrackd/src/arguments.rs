//! Parses the daemon's command line: `--settings FILE`, or `gateway`, whose settings file the
//! environment names.

use std::path::PathBuf;

use eyre::WrapErr;

const HELP: &str = "\
Runs one peridotrack router.

Usage: peridotrackd --settings FILE
       peridotrackd gateway

The first form serves peridotrack's own interface. The second runs a gateway on
the users' platform; an environment variable that the platform sets holds the
path of its settings file. A secret in PERIDOTRACK_PEER_KEY authenticates
gateways to each other.

Options:
  --settings FILE  JSON file with the settings of this router
  --help           Print this help
  --version        Print the version

Exit codes: 0 stopped cleanly, 1 could not start, or cut requests or left
grants, usage records or claims open, 2 wrong arguments or settings. SIGTERM
and SIGINT stop gracefully. A second SIGINT ends the stop at once; a repeated
SIGTERM does not shorten it. SIGHUP makes a gateway read its settings again.";

/// Action selected by the command line.
pub enum Command {
    /// Run a router that serves peridotrack's own interface.
    Run {
        /// Path of the JSON settings file.
        settings: PathBuf,
    },
    /// Run a gateway on the users' platform, with settings from the environment.
    Gateway,
    /// Print the given text, which is the help or the version, and exit.
    Print(String),
}

/// Parses the arguments of this process.
///
/// Fails with an error that names the missing or unknown argument.
pub fn parse() -> eyre::Result<Command> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains("--help") {
        return Ok(Command::Print(HELP.to_owned()));
    }
    if arguments.contains("--version") {
        return Ok(Command::Print(format!(
            "peridotrackd {}",
            env!("CARGO_PKG_VERSION")
        )));
    }
    if arguments.subcommand()?.as_deref() == Some("gateway") {
        let rest = arguments.finish();
        eyre::ensure!(rest.is_empty(), "unknown arguments: {rest:?}");
        return Ok(Command::Gateway);
    }
    let settings = arguments
        .value_from_str("--settings")
        .wrap_err("--settings FILE is needed")?;
    let rest = arguments.finish();
    eyre::ensure!(rest.is_empty(), "unknown arguments: {rest:?}");
    Ok(Command::Run { settings })
}
