//! Resident memory of data structures that grow with the fleet, each built in a child process.
//!
//! [`measure`] starts the current binary with the arguments `memory CASE SIZE`; the child calls
//! [`run_case`] and prints the result.

use std::{env, fs, hint::black_box, io, process::Command};

use peridotrack_edge::auth;
use peridotrack_route::{options::Options, router::Router};
use peridotrack_types::{config::store, register, rules};

use crate::{
    capacity::fixture,
    report::{Figure, Report},
    route::case,
};

/// Cases, with the sizes at which each is measured.
const CASES: [(&str, &[usize]); 7] = [
    ("budgets_known", &[1_000, 10_000, fixture::BUDGETS]),
    ("budgets_active", &[1_000, 10_000, fixture::BUDGETS]),
    ("client_keys", &[100, fixture::ACCOUNTS, 14_000]),
    ("engines", &[14, 100, fixture::ENGINES]),
    (
        "peers_told_of",
        &[fixture::DOMAIN_ROUTERS, fixture::ROUTERS],
    ),
    ("config_budgets", &[1_000, 10_000, fixture::BUDGETS]),
    ("config_parts_budgets", &[1_000, 10_000, fixture::BUDGETS]),
];

/// Failed step of a measurement, with its cause.
#[derive(Debug)]
pub struct Error(String);

impl std::fmt::Display for Error {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for Error {}

/// Measures the memory of every case in child processes and adds the figures to `report`.
///
/// # Errors
///
/// Returns an error if a child process cannot be started or does not print a number.
pub fn measure(report: &mut Report) -> Result<(), Error> {
    for (case, sizes) in CASES {
        for size in sizes {
            let bytes = run_in_child(case, *size)?;
            report.add(Figure::unbounded(
                format!("memory.{case}.{size}"),
                bytes,
                "B",
                "no bound",
            ));
        }
    }
    Ok(())
}

/// Builds the state of a case and returns by how many bytes resident memory grew.
///
/// Runs in a child process, so that memory of earlier states does not count.
///
/// # Errors
///
/// Returns an error if the case is unknown, the size is not a number, or resident memory cannot be
/// read.
pub fn run_case(case: &str, size: &str) -> Result<i64, Error> {
    let size: usize = size.parse().map_err(|error| step_error(case, error))?;
    match case {
        "budgets_known" => {
            let names = fixture::budget_names(size);
            resident_growth(|| fixture::holder(&names))
        }
        "budgets_active" => {
            let names = fixture::budget_names(size);
            let mut holder = fixture::holder(&names);
            resident_growth(|| fixture::draw_all(&mut holder, &names))
        }
        "client_keys" => {
            let register = register::Register {
                client_accounts: fixture::accounts(size),
                ..register::Register::default()
            };
            resident_growth(|| auth::Keys::from_register(&register))
        }
        "engines" => {
            let register = case::register(size, fixture::SLOTS);
            resident_growth(|| {
                let mut router = Router::new(Options::default(), "domain-0".into(), 1, 0);
                let _ = router.configure(0, &register, &rules::Rules::default());
                router
            })
        }
        "peers_told_of" => resident_growth(|| {
            let mut members = fixture::members();
            fixture::receive_heartbeats(&mut members, size, 1_000_000);
            members
        }),
        "config_budgets" => resident_growth(|| fixture::config(size)),
        "config_parts_budgets" => {
            let config = fixture::config(size);
            resident_growth(|| store::split(&config))
        }
        _ => Err(step_error(case, "unknown case")),
    }
}

fn run_in_child(case: &str, size: usize) -> Result<f64, Error> {
    let binary = env::current_exe().map_err(|error| step_error(case, error))?;
    let output = Command::new(binary)
        .args(["memory", case, &size.to_string()])
        .output()
        .map_err(|error| step_error(case, error))?;
    let text = String::from_utf8_lossy(&output.stdout);
    text.trim().parse().map_err(|error| step_error(case, error))
}

fn resident_growth<T>(build: impl FnOnce() -> T) -> Result<i64, Error> {
    let before = resident_bytes().map_err(|error| step_error("resident memory", error))?;
    let state = black_box(build());
    let after = resident_bytes().map_err(|error| step_error("resident memory", error))?;
    drop(black_box(state));
    Ok(after - before)
}

fn resident_bytes() -> io::Result<i64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let kilobytes = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|line| line.trim().strip_suffix("kB")?.trim().parse::<i64>().ok());
    kilobytes
        .map(|kilobytes| kilobytes * 1_024)
        .ok_or_else(|| io::Error::other("no VmRSS in /proc/self/status"))
}

fn step_error(step: &str, error: impl std::fmt::Display) -> Error {
    Error(format!("{step}: {error}"))
}
