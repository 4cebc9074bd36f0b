//! The `gateway` subcommand: runs a gateway on the users' platform.
//!
//! SIGHUP reloads the settings file, SIGTERM or SIGINT stops gracefully, and a second SIGINT ends the
//! stop at once.

use std::{
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

use eyre::WrapErr;
use peridotrack_edge::gateway;
use peridotrack_kernel::log;
use peridotrack_platform::settings as settings_file;
use peridotrack_types::gateway::Settings;

use crate::{
    EXIT_FAILURE, EXIT_USAGE, SIGNAL_POLL_INTERVAL, build_runtime, fail, open_signals, signals,
    wait_until,
};

/// Environment variable with the secret that authenticates gateways to each other. If it is unset,
/// peers check only that both belong to the same deployment.
const PEER_KEY_VARIABLE: &str = "PERIDOTRACK_PEER_KEY";

/// Time in which a settings file that is being replaced becomes complete.
const SETTINGS_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a gateway until a stop signal arrives and returns the exit code of the process.
pub fn main() -> ExitCode {
    let signals = match open_signals() {
        Ok(signals) => signals,
        Err(error) => return fail(EXIT_FAILURE, &error),
    };
    let settings = match wait_for_settings(&signals) {
        Ok(settings) => settings,
        Err(error) => return fail(EXIT_USAGE, &error),
    };
    match run(settings, &signals) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_FAILURE),
        Err(error) => fail(EXIT_FAILURE, &error),
    }
}

/// Reads the settings again and again until they are valid, the time is up or a stop is requested: the
/// file may be replaced at any time.
fn wait_for_settings(signals: &signals::Signals) -> eyre::Result<Settings> {
    let started = Instant::now();
    loop {
        let settings = read_settings();
        let is_over = started.elapsed() >= SETTINGS_TIMEOUT || signals.is_stop_requested();
        if settings.is_ok() || is_over {
            return settings;
        }
        thread::sleep(SIGNAL_POLL_INTERVAL);
    }
}

fn read_settings() -> eyre::Result<Settings> {
    let path = std::env::var(settings_file::PATH_VARIABLE)
        .wrap_err_with(|| format!("cannot read {}", settings_file::PATH_VARIABLE))?;
    let text = std::fs::read_to_string(&path)
        .wrap_err_with(|| format!("cannot read the settings file {path}"))?;
    let mut settings =
        settings_file::decode(&text).wrap_err_with(|| format!("cannot decode {path}"))?;
    match std::env::var(PEER_KEY_VARIABLE) {
        Ok(key) => settings.peer_key = key,
        Err(std::env::VarError::NotPresent) => {}
        Err(error) => return Err(error).wrap_err_with(|| format!("invalid {PEER_KEY_VARIABLE}")),
    }
    Ok(settings)
}

/// Runs the gateway and returns whether it stopped gracefully, without cutting a request.
fn run(settings: Settings, signals: &signals::Signals) -> eyre::Result<bool> {
    let mut runtime = build_runtime()?;
    runtime.block_on(async {
        let gateway = gateway::Gateway::spawn(settings, log::Output::Stdout)?;
        while !signals.is_stop_requested() {
            if signals.take_reload() {
                gateway.reload(&read_settings().map_err(|error| format!("{error:#}")));
            }
            monoio::time::sleep(SIGNAL_POLL_INTERVAL).await;
        }
        gateway.begin_stop();
        monoio::select! {
            outcome = gateway.stop() => Ok(outcome.cut_requests == 0),
            () = wait_until(|| signals.is_cut_requested()) => {
                gateway.cut().await;
                Ok(false)
            }
        }
    })
}
