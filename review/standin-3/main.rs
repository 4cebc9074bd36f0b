//! The cases of the third review that are scripts: `standin-3 CASE DIRECTORY`, from the root of the
//! repository. Writes `record.txt` into the directory, and ends with 1 if the rule was broken, 0 if it
//! held and 2 if the case could not run. With `TROUBLE=0` there is no disruption.

mod client;
mod fleet;
mod http;
mod record;
mod server;
mod store;

use std::{
    env, fs, io,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

use client::{Answer, Request};
use fleet::{Machine, SIGHUP, SIGTERM};
use record::Record;
use server::{Server, Work};
use store::Store;

/// Time from the start of the machines to that of the traffic, after all are ready.
const LEAD: Duration = Duration::from_secs(4);
const ZONES: [&str; 2] = ["cymru-a", "cymru-b"];
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// What a case starts with, beside the store and the servers: machines that are not started.
struct Site {
    record: Record,
    machines: Vec<Machine>,
}

type Outcome = io::Result<Option<bool>>;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, directory] = &arguments[..] else {
        eprintln!("usage: standin-3 CASE DIRECTORY");
        return ExitCode::from(2);
    };
    let temporary = env::temp_dir().join(format!("peridotrack-review-3-{}", std::process::id()));
    let run = match case.as_str() {
        "resume" => resume,
        "bounds" => bounds,
        _ => return ExitCode::from(2),
    };
    let outcome = fs::create_dir_all(&temporary)
        .and_then(|()| Record::create(Path::new(directory)))
        .and_then(|record| {
            let is_troubled = env::var("TROUBLE").as_deref() != Ok("0");
            run(record, temporary.clone(), is_troubled)
        });
    if env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&temporary);
    }
    match outcome {
        Ok(Some(true)) => ExitCode::from(1),
        Ok(Some(false)) => ExitCode::SUCCESS,
        Ok(None) => ExitCode::from(2),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

/// Starts the store and the servers, and writes the first configuration.
fn site(
    record: Record,
    temporary: PathBuf,
    per_zone: usize,
    (tenants, prepaid): (&[&str], u64),
    engine: Work,
) -> io::Result<Site> {
    let store = Store::default();
    let store_address = store.start(ANY_PORT)?;
    let service = Work {
        is_engine: false,
        first_ms: 30,
        gap_ms: 0,
    };
    let mut servers = Vec::new();
    for number in 0..4 {
        let zone = ZONES[number % 2];
        let id = format!("i-marker-{number}");
        servers.push(Server::start(
            (&id, zone, "marker"),
            ANY_PORT,
            engine,
            &record,
        )?);
    }
    for number in 0..3 {
        let zone = ZONES[number % 2];
        let id = format!("i-desk-{number}");
        servers.push(Server::start(
            (&id, zone, "desk-api"),
            ANY_PORT,
            service,
            &record,
        )?);
    }
    for server in &servers {
        store.put("servers", &server.id, &server.entry("ready"));
    }
    store.put("config", "main", &fleet::configuration(3, tenants, prepaid));
    let machines = fleet::machines(&ZONES, per_zone, store_address, &temporary)?;
    Ok(Site { record, machines })
}

/// Starts all machines; returns whether they became ready.
fn start(site: &mut Site) -> io::Result<bool> {
    for machine in &mut site.machines {
        machine.start(&site.record)?;
    }
    let is_ready = fleet::wait_until_ready(&site.machines, Duration::from_secs(10));
    site.record.note(&format!("all machines ready: {is_ready}"));
    thread::sleep(LEAD);
    Ok(is_ready)
}

/// A machine is killed while clients read streams from it. They resume these at other machines.
fn resume(record: Record, temporary: PathBuf, is_troubled: bool) -> Outcome {
    const STREAMS: usize = 10;
    let tenants = ["tenant-a", "tenant-b", "tenant-c", "tenant-d"];
    let engine = Work {
        is_engine: true,
        first_ms: 60,
        gap_ms: 75,
    };
    let budget = (&tenants[..], 3_600_000);
    let mut site = site(record, temporary, 2, budget, engine)?;
    if !start(&mut site)? {
        return Ok(None);
    }
    let fronts: Vec<SocketAddr> = site.machines.iter().map(Machine::front).collect();
    let record = site.record.clone();
    let clients: Vec<_> = (0..tenants.len() * STREAMS)
        .map(|number| {
            let (fronts, record) = (fronts.clone(), record.clone());
            let tenant = number / STREAMS;
            let request = Request {
                method: "POST",
                path: "/notes/1",
                id: format!("{}-{}-0", tenants[tenant], number % STREAMS),
                key: format!("key-{}", tenants[tenant]),
                tokens: Some((628, 400)),
                time_limit: Duration::from_secs(12),
                last_event: None,
            };
            thread::spawn(move || (tenant, take_stream(&request, tenant, &fronts, &record)))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    if is_troubled {
        record.say(&format!("{} is killed", site.machines[0].name));
        site.machines[0].kill();
        thread::sleep(Duration::from_secs(1));
        site.machines[0].start(&record)?;
    }
    let mut served = [0; 4];
    let (mut resumptions, mut refused) = (0, 0);
    for client in clients {
        let (tenant, (is_served, resumed)) = client.join().unwrap();
        served[tenant] += usize::from(is_served);
        resumptions += resumed.len();
        refused += resumed.iter().filter(|answer| answer.status == 503).count();
    }
    let all: usize = served.iter().sum();
    record.say(&format!(
        "streams served whole, of {STREAMS} of each tenant: {served:?}; take-ups of broken streams: \
         {resumptions}, of these answered 503: {refused}"
    ));
    let share = |count: usize, of: usize| count as f64 / of as f64;
    let share_of_all = share(all, served.len() * STREAMS);
    let is_starved = |count: &usize| share(*count, STREAMS) < share_of_all / 4.0;
    Ok(Some(served.iter().any(is_starved)))
}

/// Reads a stream to its end. If its channel breaks, the client resumes it, as PROTOCOL.md allows:
/// with `Last-Event-Id`, on a new channel that the platform forwards to another node, four times at
/// most within its time limit. Returns whether the stream was served whole, and the answers to the
/// take-ups.
fn take_stream(
    request: &Request,
    tenant: usize,
    fronts: &[SocketAddr],
    record: &Record,
) -> (bool, Vec<Answer>) {
    let begin = Instant::now();
    let mut answer = request.send(fronts[tenant], record);
    let mut take_ups = Vec::new();
    let mut last_event = answer.last_event;
    while !(answer.status == 200 && answer.is_whole) && take_ups.len() < 4 {
        let wait_s = answer.retry_after_s.unwrap_or(0.4);
        thread::sleep(Duration::from_secs_f64(wait_s));
        let Some(left) = request.time_limit.checked_sub(begin.elapsed()) else {
            break;
        };
        let front = fronts[(tenant + 1 + take_ups.len()) % fronts.len()];
        let id = request.id.trim_end_matches('0');
        let next = Request {
            id: format!("{id}{}", take_ups.len() + 1),
            time_limit: left,
            last_event,
            ..request.clone()
        };
        answer = next.send(front, record);
        last_event = answer.last_event.or(last_event);
        take_ups.push(answer.clone());
    }
    (answer.status == 200 && answer.is_whole, take_ups)
}

fn charge(id: String, tenant: &str) -> Request {
    Request {
        method: "POST",
        path: "/charge/1",
        id,
        key: format!("key-{tenant}"),
        tokens: None,
        time_limit: Duration::from_secs(1),
        last_event: None,
    }
}

/// The settings state bounds as fractions. The machines are restarted one after the other.
fn bounds(record: Record, temporary: PathBuf, is_troubled: bool) -> Outcome {
    let engine = Work {
        is_engine: true,
        first_ms: 5,
        gap_ms: 1,
    };
    let budget = (&["tenant-a"][..], 3_600_000);
    let mut site = site(record, temporary, 2, budget, engine)?;
    if !start(&mut site)? {
        return Ok(None);
    }
    let record = site.record.clone();
    let drain_ms = if is_troubled { "1999.5" } else { "1999" };
    record.say(&format!(
        "the settings state drainMs = {drain_ms}; SIGHUP, then a restart of each"
    ));
    for machine in &mut site.machines {
        machine.set_drain_ms(drain_ms)?;
        machine.signal(SIGHUP, &record);
    }
    thread::sleep(Duration::from_secs(1));
    let mut ends = vec![0; site.machines.len()];
    for number in 0..site.machines.len() {
        site.machines[number].signal(SIGTERM, &record);
        site.machines[number].wait(Duration::from_secs(8));
        // As the platform does, a process that ends is started again after a short delay.
        for _ in 0..4 {
            site.machines[number].start(&record)?;
            thread::sleep(Duration::from_secs(1));
            if !site.machines[number].has_ended() {
                break;
            }
            ends[number] += 1;
            record.note(&format!(
                "{} has ended by itself",
                site.machines[number].name
            ));
        }
    }
    thread::sleep(LEAD);
    let mut served = 0;
    for number in 0..40 {
        let front = site.machines[number % site.machines.len()].front();
        let answer = charge(format!("charge-{number}"), "tenant-a").send(front, &record);
        served += usize::from(answer.status == 200);
    }
    record.say(&format!(
        "own ends of each machine: {ends:?}; served {served} of 40 requests afterwards"
    ));
    let is_ending = |count: &&u32| **count >= 3;
    Ok(Some(ends.iter().filter(is_ending).count() >= 2))
}
