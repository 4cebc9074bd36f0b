//! Command line of the soak test: runs one or more seeds and prints the breaches of each.

use std::{path::PathBuf, process::ExitCode};

use eyre::WrapErr;
use peridotrack_soak::{
    run::{self, Options},
    schedule::Shape,
};
use peridotrack_standin::harness::{http::block_on, process};

const HELP: &str = "\
Injects random faults into real gateways and checks what clients and backend servers observe.

Usage: peridotrack-soak [OPTIONS]

Options:
  --seed N       First seed (default: random)
  --seeds N      Number of consecutive seeds to run (default 1)
  --seconds N    Seconds in which faults start (default 30)
  --routers N    Number of routers (default 6)
  --engines N    Number of backend servers (default 4)
  --clients N    Number of clients (default 16)
  --program P    Path of the daemon (default: peridotrackd beside this program)
  --logs DIR     Directory for the logs of failed runs (default: peridotrack-soak in the temporary
                 directory)
  --help         Print this help

Exit codes: 0 all promises were kept, 1 a promise was broken or a run failed,
2 invalid arguments.";

/// Exit code after a broken promise or a run that failed.
const EXIT_FAILED: u8 = 1;
/// Exit code after invalid arguments.
const EXIT_USAGE: u8 = 2;

struct Arguments {
    first_seed: u64,
    seeds: u64,
    options: Options,
}

fn main() -> ExitCode {
    let arguments = match parse() {
        Ok(Some(arguments)) => arguments,
        Ok(None) => {
            println!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("peridotrack-soak: {error:#}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let mut has_failed = false;
    for seed in arguments.first_seed..arguments.first_seed + arguments.seeds {
        let options = Options {
            seed,
            logs: arguments.options.logs.join(format!("seed-{seed}")),
            ..arguments.options.clone()
        };
        let logs = options.logs.clone();
        match block_on(run::run(options)) {
            Ok(outcome) => {
                let all_promises_kept = outcome.breaches.is_empty();
                has_failed |= !all_promises_kept;
                println!(
                    "seed {seed}: {} faults, {} crashes, {} of {} requests served, {} breaches",
                    outcome.faults,
                    outcome.crashes,
                    outcome.served,
                    outcome.requests,
                    outcome.breaches.len()
                );
                for breach in &outcome.breaches {
                    println!("  {breach}");
                }
                if !all_promises_kept {
                    println!("  logs: {}", logs.display());
                }
            }
            Err(error) => {
                has_failed = true;
                println!("seed {seed}: failed: {error:#}");
            }
        }
    }
    match has_failed {
        true => ExitCode::from(EXIT_FAILED),
        false => ExitCode::SUCCESS,
    }
}

fn parse() -> eyre::Result<Option<Arguments>> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains("--help") {
        return Ok(None);
    }
    let seed: Option<u64> = arguments.opt_value_from_str("--seed")?;
    let seeds: Option<u64> = arguments.opt_value_from_str("--seeds")?;
    let seconds: Option<u64> = arguments.opt_value_from_str("--seconds")?;
    let routers: Option<usize> = arguments.opt_value_from_str("--routers")?;
    let engines: Option<usize> = arguments.opt_value_from_str("--engines")?;
    let clients: Option<usize> = arguments.opt_value_from_str("--clients")?;
    let program: Option<PathBuf> = arguments.opt_value_from_str("--program")?;
    let logs: Option<PathBuf> = arguments.opt_value_from_str("--logs")?;
    let unknown = arguments.finish();
    eyre::ensure!(unknown.is_empty(), "unknown arguments: {unknown:?}");
    let shape = Shape {
        routers: routers.unwrap_or(6),
        backends: engines.unwrap_or(4),
        duration_ms: seconds.unwrap_or(30) * 1_000,
    };
    eyre::ensure!(shape.routers > 0, "--routers must be at least 1");
    eyre::ensure!(shape.backends > 0, "--engines must be at least 1");
    let program = match program {
        Some(program) => program,
        None => process::find_program("peridotrackd").wrap_err("find the peridotrackd program")?,
    };
    let default_logs = || std::env::temp_dir().join("peridotrack-soak");
    Ok(Some(Arguments {
        first_seed: seed.unwrap_or_else(|| fastrand::u64(..u64::from(u32::MAX))),
        seeds: seeds.unwrap_or(1),
        options: Options {
            seed: 0,
            shape,
            clients: clients.unwrap_or(16),
            program,
            logs: logs.unwrap_or_else(default_logs),
        },
    }))
}
