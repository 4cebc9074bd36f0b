//! Latency, processor time and memory that a router process adds between callers and a stand-in
//! engine, without bounds.
//!
//! Run with `cargo build --release && cargo bench --bench edge`. The callers and the engine share
//! this process. The router's processor time is read from the system, so that requests per core do
//! not depend on how fast the callers send.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use peridotrack_http::client;
use peridotrack_standin::{
    engine,
    harness::{
        fleet::{self, Fleet},
        http::block_on,
        process,
    },
};

/// Tokens of the budget, more than any run spends.
const PURCHASED_TOKENS: u64 = 1 << 50;
/// Clock ticks per second in which Linux reports processor time.
const TICKS_PER_S: f64 = 100.0;
/// Length of each measured load.
const LOAD_DURATION: Duration = Duration::from_secs(3);
/// Highest value that the histogram records, in microseconds; longer times count as this value.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Streams open at once for the memory figure.
const OPEN_STREAMS: u64 = 2_000;

/// Load of several callers, each with one connection and one request at a time.
#[derive(Debug, Clone, Copy)]
struct Load {
    callers: usize,
    /// Pause of each caller between two requests.
    pause: Duration,
    /// Length of each response, in tokens.
    tokens: u64,
}

/// Results of a load; failed requests do not count.
struct Measured {
    first_token_us: Histogram<u64>,
    requests: u64,
    elapsed: Duration,
}

fn main() {
    if std::env::args().any(|argument| argument == "--test") {
        return;
    }
    if let Err(error) = block_on(measure()) {
        eprintln!("not measured: {error}");
    }
}

async fn measure() -> Result<(), Box<dyn std::error::Error>> {
    let options = fleet::Options {
        program: process::find_program("peridotrackd")?,
        failure_domains: 1,
        routers: 2,
        engines: 1,
        services: 1,
        purchased_tokens: PURCHASED_TOKENS,
    };
    let fleet = fleet::spawn(&options).await?;
    let (router_address, engine_address) =
        (fleet.routers[0].caller_address, fleet.engines[0].address());
    first_token(router_address, engine_address).await;
    short_requests(&fleet, router_address).await?;
    streamed_events(&fleet, router_address, 0).await?;
    streamed_events(&fleet, router_address, 5).await?;
    open_streams(&fleet, router_address).await
}

/// Prints the time to the first token through the router and directly from the engine.
async fn first_token(router_address: SocketAddr, engine_address: SocketAddr) {
    let load = Load {
        callers: 8,
        pause: Duration::from_millis(8),
        tokens: 8,
    };
    run_load(router_address, load).await;
    let through = run_load(router_address, load).await;
    let direct = run_load(engine_address, load).await;
    for (name, quantile) in [("median", 0.5), ("99th percentile", 0.99)] {
        let (through_us, direct_us) = (
            through.first_token_us.value_at_quantile(quantile),
            direct.first_token_us.value_at_quantile(quantile),
        );
        println!(
            "first token, {name}: through the router {through_us} us, straight {direct_us} us, \
             added {} us ({:.0} requests/s)",
            through_us.saturating_sub(direct_us),
            through.requests as f64 / through.elapsed.as_secs_f64(),
        );
    }
}

/// Prints the rate of requests with a response of one token: as observed by the callers, and per
/// core of the router.
async fn short_requests(fleet: &Fleet, router_address: SocketAddr) -> std::io::Result<()> {
    let pid = fleet.routers[0].process.pid();
    let load = Load {
        callers: 64,
        pause: Duration::ZERO,
        tokens: 1,
    };
    let before_s = cpu_time_s(pid)?;
    let measured = run_load(router_address, load).await;
    let used_s = cpu_time_s(pid)? - before_s;
    println!(
        "short requests: {:.0}/s seen, {:.0}/s on one core of the router ({:.0} us each)",
        measured.requests as f64 / measured.elapsed.as_secs_f64(),
        measured.requests as f64 / used_s,
        used_s * 1e6 / measured.requests as f64,
    );
    Ok(())
}

/// Prints the rate of streamed events: as observed by the callers, and per core of the router.
async fn streamed_events(
    fleet: &Fleet,
    router_address: SocketAddr,
    token_delay_ms: u64,
) -> std::io::Result<()> {
    let control = engine::Control {
        token_delay_ms: Some(token_delay_ms),
        ..Default::default()
    };
    fleet.engines[0].control(control);
    let pid = fleet.routers[0].process.pid();
    let load = Load {
        callers: 48,
        pause: Duration::ZERO,
        tokens: 256,
    };
    let before_s = cpu_time_s(pid)?;
    let measured = run_load(router_address, load).await;
    let used_s = cpu_time_s(pid)? - before_s;
    let events = measured.requests * load.tokens;
    println!(
        "streamed events, {token_delay_ms} ms apart: {:.0}/s seen, {:.0}/s on one core of the router",
        events as f64 / measured.elapsed.as_secs_f64(),
        events as f64 / used_s,
    );
    Ok(())
}

/// Prints the memory that a router uses for each open stream.
async fn open_streams(
    fleet: &Fleet,
    router_address: SocketAddr,
) -> Result<(), Box<dyn std::error::Error>> {
    let slots = u32::try_from(OPEN_STREAMS)?;
    let control = engine::Control {
        token_delay_ms: Some(1_000),
        slots: Some(slots),
        ..Default::default()
    };
    fleet.engines[0].control(control);
    let pid = fleet.routers[0].process.pid();
    let before_bytes = resident_bytes(pid)?;
    let mut open = Vec::new();
    for number in 0..OPEN_STREAMS {
        let mut connection =
            client::Connection::connect(router_address, client::Options::default()).await?;
        let request = fleet::chat(&format!("open {number}"), 600, true);
        // The router's limits may refuse some streams; only those that open are counted.
        if connection.send(request).await?.status.is_success() {
            open.push(connection);
        }
    }
    let used_bytes = resident_bytes(pid)?;
    println!(
        "memory: {:.1} MB at rest, {:.1} MB with {} open streams, {:.1} KB each",
        before_bytes as f64 / 1e6,
        used_bytes as f64 / 1e6,
        open.len(),
        (used_bytes.saturating_sub(before_bytes)) as f64 / 1e3 / open.len().max(1) as f64,
    );
    Ok(())
}

/// Sends requests from all callers for [`LOAD_DURATION`].
async fn run_load(address: SocketAddr, load: Load) -> Measured {
    let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("valid bounds");
    let shared = Rc::new(RefCell::new((histogram, 0)));
    let begin = Instant::now();
    let callers: Vec<_> = (0..load.callers)
        .map(|caller| {
            let shared = Rc::clone(&shared);
            monoio::spawn(async move {
                let _ = run_caller(address, caller, load, begin, &shared).await;
            })
        })
        .collect();
    for caller in callers {
        caller.await;
    }
    let (first_token_us, requests) = Rc::try_unwrap(shared)
        .expect("every caller has ended")
        .into_inner();
    Measured {
        first_token_us,
        requests,
        elapsed: begin.elapsed(),
    }
}

/// Sends requests one after the other and records their times to the first token.
async fn run_caller(
    address: SocketAddr,
    caller: usize,
    load: Load,
    begin: Instant,
    shared: &RefCell<(Histogram<u64>, u64)>,
) -> Result<(), client::Error> {
    let mut connection = client::Connection::connect(address, client::Options::default()).await?;
    while begin.elapsed() < LOAD_DURATION {
        let sent = Instant::now();
        let head = connection.send(fleet::chat(&format!("caller {caller}"), load.tokens, true));
        let is_success = head.await?.status.is_success();
        let mut first_token = None;
        while connection.next_chunk().await?.is_some() {
            first_token.get_or_insert_with(|| sent.elapsed());
        }
        if is_success && let Some(first_token) = first_token {
            let mut shared = shared.borrow_mut();
            let first_token_us = u64::try_from(first_token.as_micros()).unwrap_or(u64::MAX);
            shared.0.saturating_record(first_token_us);
            shared.1 += 1;
        }
        if !load.pause.is_zero() {
            monoio::time::sleep(load.pause).await;
        }
    }
    Ok(())
}

/// Returns the processor time of a process, in seconds.
fn cpu_time_s(pid: u32) -> std::io::Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|field| field.parse::<f64>().ok())
    };
    Ok((ticks(11).unwrap_or_default() + ticks(12).unwrap_or_default()) / TICKS_PER_S)
}

/// Returns the resident memory of a process, in bytes.
fn resident_bytes(pid: u32) -> std::io::Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .unwrap_or_default();
    let kilobytes: u64 = line
        .split_whitespace()
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or_default();
    Ok(kilobytes * 1_024)
}
