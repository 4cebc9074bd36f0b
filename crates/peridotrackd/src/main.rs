//! The router daemon: reads its settings, serves until a stop signal arrives, then stops
//! gracefully.
//!
//! A router prints `listening: ...` with its addresses, and `ready`, on standard output. The exit
//! code tells whether the stop was clean.

mod arguments;
mod gateway;
mod signals;

use std::{path::Path, process::ExitCode, time::Duration};

use arguments::Command;
use eyre::WrapErr;
use peridotrack_edge::daemon;
use peridotrack_kernel::log;
use peridotrack_types::settings;

/// Exit code if the start failed, or if the stop cut requests or left grants, usage records or
/// claims open.
const EXIT_FAILURE: u8 = 1;
/// Exit code for invalid arguments or settings.
const EXIT_USAGE: u8 = 2;
/// Interval between checks for received signals.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(20);

fn main() -> ExitCode {
    let settings = match arguments::parse() {
        Ok(Command::Run { settings }) => settings,
        Ok(Command::Gateway) => return gateway::main(),
        Ok(Command::Print(text)) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(error) => return fail(EXIT_USAGE, &error),
    };
    let signals = match open_signals() {
        Ok(signals) => signals,
        Err(error) => return fail(EXIT_FAILURE, &error),
    };
    let settings = match read_settings(&settings) {
        Ok(settings) => settings,
        Err(error) => return fail(EXIT_USAGE, &error),
    };
    match run(settings, &signals) {
        Ok(outcome) if outcome.is_clean() => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_FAILURE),
        Err(error) => fail(EXIT_FAILURE, &error),
    }
}

fn fail(code: u8, error: &eyre::Report) -> ExitCode {
    eprintln!("peridotrackd: {error:#}");
    ExitCode::from(code)
}

/// Registers the signal handlers. Until then a signal ends the process, so this precedes all other
/// steps of a start.
fn open_signals() -> eyre::Result<signals::Signals> {
    signals::Signals::open().wrap_err("cannot register signal handlers")
}

fn read_settings(path: &Path) -> eyre::Result<settings::Settings> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("cannot read the settings file {}", path.display()))?;
    settings::Settings::parse(&text).map_err(|problems| {
        let lines: Vec<String> = problems
            .iter()
            .map(|problem| format!("  {}: {}", problem.path, problem.message))
            .collect();
        eyre::eyre!(
            "the settings file {} is invalid:\n{}",
            path.display(),
            lines.join("\n")
        )
    })
}

/// Runs the router on this thread until a stop signal arrives; a second SIGINT ends the stop at once.
fn run(settings: settings::Settings, signals: &signals::Signals) -> eyre::Result<daemon::Outcome> {
    let mut runtime = build_runtime()?;
    runtime.block_on(async {
        let daemon = daemon::Daemon::spawn(settings, log::Output::Stderr)?;
        println!(
            "listening: callers {} operators {} peers {}",
            daemon.caller_address(),
            daemon.operator_address(),
            daemon.peer_address()
        );
        monoio::select! {
            () = serve_until_signal(&daemon, signals) => {}
            () = wait_until(|| signals.is_stop_requested()) => {}
        }
        daemon.begin_stop();
        let outcome = monoio::select! {
            outcome = daemon.stop() => outcome,
            () = wait_until(|| signals.is_cut_requested()) => daemon.cut().await,
        };
        Ok(outcome)
    })
}

/// Builds the event loop of this thread. The legacy driver uses epoll, not io_uring.
fn build_runtime() -> eyre::Result<monoio::Runtime<monoio::time::TimeDriver<monoio::LegacyDriver>>>
{
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .wrap_err("cannot build the event loop")
}

/// Prints `ready` once the daemon can serve, then waits for a stop signal.
async fn serve_until_signal(daemon: &daemon::Daemon, signals: &signals::Signals) {
    daemon.ready().await;
    println!("ready");
    wait_until(|| signals.is_stop_requested()).await;
}

/// Waits until the signals that were received fulfil a condition.
async fn wait_until(is_fulfilled: impl Fn() -> bool) {
    while !is_fulfilled() {
        monoio::time::sleep(SIGNAL_POLL_INTERVAL).await;
    }
}
