//! Command that runs one stand-in as its own process until it is killed.

use std::net::SocketAddr;

use eyre::{Result, WrapErr, bail};
use peridotrack_standin::{engine, platform, service};
use serde::de::DeserializeOwned;

/// Exit code after invalid arguments or a failure to start.
const EXIT_USAGE: i32 = 2;

const USAGE: &str = "\
Usage: peridotrack-standin platform|engine|service [--listen ADDRESS]... [--control JSON]

Serves one stand-in until it is killed. Prints `listening ADDRESS` for each listener.

  --listen ADDRESS   IP address and port; port 0, the default, picks a free port.
                     The platform takes several, one per failure domain.
  --control JSON     Initial control settings, as in `POST /control`.
  --help             Prints this text.
  --version          Prints the version.
";

fn main() {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{USAGE}");
        return;
    }
    if arguments.contains("--version") {
        println!("peridotrack-standin {}", env!("CARGO_PKG_VERSION"));
        return;
    }
    if let Err(error) = run(arguments) {
        eprintln!("peridotrack-standin: {error:#}\n\n{USAGE}");
        std::process::exit(EXIT_USAGE);
    }
}

fn run(mut arguments: pico_args::Arguments) -> Result<()> {
    let kind = arguments.subcommand()?;
    let mut listen: Vec<SocketAddr> = arguments.values_from_str("--listen")?;
    let control: Option<String> = arguments.opt_value_from_str("--control")?;
    let control = control.unwrap_or_else(|| "{}".to_owned());
    let rest = arguments.finish();
    if !rest.is_empty() {
        bail!("unexpected arguments: {rest:?}");
    }
    if listen.is_empty() {
        listen.push(SocketAddr::from(([127, 0, 0, 1], 0)));
    }
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .wrap_err("cannot start the runtime")?;
    runtime.block_on(serve(kind.as_deref(), listen, &control))
}

async fn serve(kind: Option<&str>, listen: Vec<SocketAddr>, control: &str) -> Result<()> {
    match kind {
        Some("platform") => {
            let control = parse_control(control)?;
            let handle = platform::spawn(&platform::Options { listen, control })
                .wrap_err("cannot listen")?;
            announce_and_wait(handle.addresses()).await;
        }
        Some("engine") => {
            let (listen, control) = (single_address(&listen)?, parse_control(control)?);
            let handle =
                engine::spawn(&engine::Options { listen, control }).wrap_err("cannot listen")?;
            announce_and_wait(&[handle.address()]).await;
        }
        Some("service") => {
            let (listen, control) = (single_address(&listen)?, parse_control(control)?);
            let handle =
                service::spawn(&service::Options { listen, control }).wrap_err("cannot listen")?;
            announce_and_wait(&[handle.address()]).await;
        }
        _ => bail!("the first argument must be platform, engine or service"),
    }
    Ok(())
}

fn parse_control<T: DeserializeOwned>(control: &str) -> Result<T> {
    serde_json::from_str(control).wrap_err("--control is malformed")
}

fn single_address(listen: &[SocketAddr]) -> Result<SocketAddr> {
    match listen {
        [address] => Ok(*address),
        _ => bail!("only the platform accepts several --listen options"),
    }
}

async fn announce_and_wait(addresses: &[SocketAddr]) {
    for address in addresses {
        println!("listening {address}");
    }
    loop {
        monoio::time::sleep(std::time::Duration::from_secs(3600)).await;
    }
}
