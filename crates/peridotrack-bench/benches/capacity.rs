//! Prints memory, sizes and processor time at growing sizes as JSON lines, without bounds.
//!
//! Each memory figure comes from a child process, which this binary starts with the arguments
//! `memory CASE SIZE`. The last figures measure router processes with stand-in engines and a
//! stand-in platform. They need `cargo build --release` first; the argument `routers` selects only
//! these.

use std::{env, error, process::ExitCode, time::Duration};

use peridotrack_bench::{
    capacity::{fixture, memory, size, time},
    report::{Figure, Report},
};
use peridotrack_edge::engine;
use peridotrack_http::client;
use peridotrack_standin::{
    harness::{
        fleet::{self, Fleet},
        http::block_on,
        process, relay,
    },
    platform,
};
use peridotrack_types::rules;

/// Delay after which a started or reconfigured fleet is idle and can be measured.
const IDLE_DELAY: Duration = Duration::from_secs(5);
/// Time over which a fleet is measured.
const MEASURED_SPAN: Duration = Duration::from_secs(15);
/// Routers of a measured fleet, all in one failure domain.
const ROUTERS: usize = 4;
/// Requests for an engine's load whose bytes are counted.
const LOAD_REQUESTS: u64 = 100;
/// Configuration changes that are measured; each tops up one budget.
const TOP_UPS: usize = 5;

type BenchResult<T> = Result<T, Box<dyn error::Error>>;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    if arguments.iter().any(|argument| argument == "--test") {
        return ExitCode::SUCCESS;
    }
    if let [command, case, size] = arguments.as_slice()
        && command == "memory"
    {
        return match memory::run_case(case, size) {
            Ok(bytes) => {
                println!("{bytes}");
                ExitCode::SUCCESS
            }
            Err(error) => {
                eprintln!("{error}");
                ExitCode::FAILURE
            }
        };
    }
    let mut report = Report::default();
    let only_routers = arguments.iter().any(|argument| argument == "routers");
    let state_machines = match only_routers {
        true => Ok(()),
        false => state_machines(&mut report),
    };
    match state_machines.and_then(|()| block_on(router_processes(&mut report))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn state_machines(report: &mut Report) -> BenchResult<()> {
    size::measure(report);
    time::measure(report);
    Ok(memory::measure(report)?)
}

async fn router_processes(report: &mut Report) -> BenchResult<()> {
    load_request_size(report).await?;
    for engines in [1, 20, 80] {
        let fleet = spawn_fleet(engines).await?;
        idle_routers(report, &fleet, &format!("{engines}_engines")).await?;
    }
    for budgets in [1_000, 10_000, fixture::BUDGETS] {
        let mut fleet = spawn_fleet(1).await?;
        add_budgets(&mut fleet, budgets).await?;
        idle_routers(report, &fleet, &format!("{budgets}_budgets")).await?;
        top_ups(report, &mut fleet, budgets).await?;
    }
    Ok(())
}

async fn spawn_fleet(engines: usize) -> BenchResult<Fleet> {
    let options = fleet::Options {
        program: process::find_program("peridotrackd")?,
        failure_domains: 1,
        routers: ROUTERS,
        engines,
        services: 1,
        purchased_tokens: 1 << 50,
    };
    let fleet = fleet::spawn(&options).await?;
    fleet.platform.control(platform::Control {
        write_rate_per_s: Some(1_000_000),
        read_rate_per_s: Some(1_000_000),
        ..platform::Control::default()
    });
    monoio::time::sleep(IDLE_DELAY).await;
    Ok(fleet)
}

/// Measures the bytes of a request for an engine's load and of its response, without the headers of
/// TCP and IP.
async fn load_request_size(report: &mut Report) -> BenchResult<()> {
    let fleet = spawn_fleet(1).await?;
    let relay = relay::spawn(fleet.engines[0].address())?;
    let pool = client::Pool::new(client::Options::default(), 1);
    for _ in 0..LOAD_REQUESTS {
        let request = engine::load_request(relay.address());
        pool.fetch(relay.address(), request).await?;
    }
    let bytes = relay.forwarded_bytes() as f64 / LOAD_REQUESTS as f64;
    add_unbounded(report, "size.load_question".to_owned(), bytes, "B");
    Ok(())
}

/// Measures processor time, memory and platform calls of routers without requests from callers.
async fn idle_routers(report: &mut Report, fleet: &Fleet, case: &str) -> BenchResult<()> {
    let before = (cpu_time_ms(fleet)?, fleet.platform.counters());
    monoio::time::sleep(MEASURED_SPAN).await;
    let after = (cpu_time_ms(fleet)?, fleet.platform.counters());
    let routers = ROUTERS as f64;
    let span_s = MEASURED_SPAN.as_secs_f64();
    let name = format!("router_at_rest.{case}");
    let share = (after.0 - before.0) as f64 / 10.0 / span_s / routers;
    add_unbounded(report, format!("{name}.processor"), share, "% of a core");
    let resident = largest_resident_bytes(fleet)?;
    add_unbounded(report, format!("{name}.resident"), resident, "B");
    let calls = [
        ("reads", before.1.reads, after.1.reads),
        ("vm_lists", before.1.vms, after.1.vms),
        ("watches", before.1.watches, after.1.watches),
        ("writes", before.1.writes, after.1.writes),
    ];
    for (kind, before, after) in calls {
        let per_minute = (after - before) as f64 * 60.0 / span_s / routers;
        add_unbounded(
            report,
            format!("{name}.{kind}"),
            per_minute,
            "1/min a router",
        );
    }
    let waiting = after.1.waiting_watches as f64;
    add_unbounded(
        report,
        format!("{name}.waiting_watches"),
        waiting,
        "watches",
    );
    Ok(())
}

async fn add_budgets(fleet: &mut Fleet, budgets: usize) -> BenchResult<()> {
    fleet
        .apply(|config| {
            let names = fixture::budget_names(budgets);
            config
                .rules
                .budgets
                .extend(names.into_iter().map(|name| rules::Budget {
                    name,
                    purchased_tokens: 1_000_000,
                    client_accounts: vec![fleet::CLIENT_ACCOUNT.into()],
                    models: Vec::new(),
                }));
        })
        .await?;
    monoio::time::sleep(IDLE_DELAY).await;
    Ok(())
}

/// Measures a router's processor time for each top-up of one budget, and its memory afterwards.
///
/// The time includes what a router uses while idle between two top-ups.
async fn top_ups(report: &mut Report, fleet: &mut Fleet, budgets: usize) -> BenchResult<()> {
    let before_ms = cpu_time_ms(fleet)?;
    for index in 0..TOP_UPS {
        fleet
            .apply(|config| config.rules.budgets[1 + index].purchased_tokens += 1)
            .await?;
        monoio::time::sleep(Duration::from_secs(2)).await;
    }
    let used_ms = (cpu_time_ms(fleet)? - before_ms) as f64;
    let each_ms = used_ms / (TOP_UPS * ROUTERS) as f64;
    let name = format!("router.top_up_among_{budgets}_budgets");
    add_unbounded(report, format!("{name}.processor_with_rest"), each_ms, "ms");
    let resident = largest_resident_bytes(fleet)?;
    add_unbounded(report, format!("{name}.resident"), resident, "B");
    Ok(())
}

/// Returns the processor time of all routers together, in milliseconds.
fn cpu_time_ms(fleet: &Fleet) -> BenchResult<u64> {
    let mut sum = 0;
    for router in &fleet.routers {
        sum += router.process.cpu_time_ms()?;
    }
    Ok(sum)
}

/// Returns the resident memory of the largest router, in bytes.
fn largest_resident_bytes(fleet: &Fleet) -> BenchResult<f64> {
    let mut largest = 0;
    for router in &fleet.routers {
        largest = largest.max(router.process.resident_bytes()?);
    }
    Ok(largest as f64)
}

fn add_unbounded(report: &mut Report, measure: String, value: f64, unit: &'static str) {
    report.add(Figure::unbounded(measure, value, unit, "no bound"));
}
