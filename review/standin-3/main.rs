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
    collections::BTreeMap,
    env, fs, io,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use client::{Answer, Request};
use fleet::{Machine, SIGHUP, SIGTERM};
use record::Record;
use server::{STRIDE, Server, Work};
use store::Store;

/// Time from the start of the machines to that of the traffic, after all are ready.
const LEAD: Duration = Duration::from_secs(4);
const ZONES: [&str; 2] = ["cymru-a", "cymru-b"];
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// What a case starts with: the store, the servers, and machines that are not started.
struct Site {
    record: Record,
    store: Store,
    servers: Vec<Server>,
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
        "rate" => rate,
        "names" => names,
        "watch" => watch,
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
    let service = Work { is_engine: false, first_ms: 30, gap_ms: 0 };
    let mut servers = Vec::new();
    for number in 0..4 {
        let zone = ZONES[number % 2];
        let id = format!("i-marker-{number}");
        servers.push(Server::start((&id, zone, "marker"), ANY_PORT, engine, &record)?);
    }
    for number in 0..3 {
        let zone = ZONES[number % 2];
        let id = format!("i-desk-{number}");
        servers.push(Server::start((&id, zone, "desk-api"), ANY_PORT, service, &record)?);
    }
    for server in &servers {
        store.put("servers", &server.id, &server.entry("ready"));
    }
    store.put("config", "main", &fleet::configuration(3, tenants, prepaid));
    let machines = fleet::machines(&ZONES, per_zone, store_address, &temporary)?;
    Ok(Site { record, store, servers, machines })
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
    let engine = Work { is_engine: true, first_ms: 60, gap_ms: 75 };
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

/// Tenants spend their prepaid tokens. Then the machines are restarted one after the other, with
/// settings that state a higher rate of the store, and the tenants go on.
fn rate(record: Record, temporary: PathBuf, is_troubled: bool) -> Outcome {
    const PREPAID: u64 = 60_000;
    let tenants = ["tenant-a", "tenant-b", "tenant-c", "tenant-d"];
    let engine = Work { is_engine: true, first_ms: 5, gap_ms: 1 };
    let mut site = site(record, temporary, 2, (&tenants, PREPAID), engine)?;
    if !start(&mut site)? {
        return Ok(None);
    }
    let record = site.record.clone();
    let delivered = Arc::new(Mutex::new(BTreeMap::new()));
    let first = spend(&site, &tenants, "first", &delivered);
    record.say(&format!("before: {}", spent(&record, &delivered)));
    let writes_per_s = if is_troubled { 1_200 } else { 400 };
    record.say(&format!("the settings state writesPerS = {writes_per_s}; SIGHUP, then a restart of each"));
    for machine in &mut site.machines {
        machine.set_writes_per_s(writes_per_s)?;
        machine.signal(SIGHUP, &record);
    }
    thread::sleep(Duration::from_secs(1));
    for number in 0..site.machines.len() {
        site.machines[number].signal(SIGTERM, &record);
        site.machines[number].wait(Duration::from_secs(8));
        site.machines[number].start(&record)?;
        if !fleet::wait_until_ready(&site.machines, Duration::from_secs(10)) {
            return Ok(None);
        }
    }
    thread::sleep(LEAD);
    let second = spend(&site, &tenants, "second", &delivered);
    record.say(&format!("after: {}", spent(&record, &delivered)));
    record.say(&format!("served before {first}, after {second}; each tenant's prepaid is {PREPAID}"));
    let sums = sums(&record, &delivered);
    Ok(Some(sums.values().any(|tokens| *tokens > PREPAID)))
}

type Delivered = Arc<Mutex<BTreeMap<String, u64>>>;

/// Returns the input tokens of the requests that ran and the output tokens that were delivered.
fn sums(record: &Record, delivered: &Delivered) -> BTreeMap<String, u64> {
    let mut sums = record.prompt_tokens();
    for (tenant, tokens) in delivered.lock().unwrap().iter() {
        *sums.entry(tenant.clone()).or_default() += tokens;
    }
    sums
}

fn spent(record: &Record, delivered: &Delivered) -> String {
    let sums = sums(record, delivered);
    let texts: Vec<_> = sums.iter().map(|(tenant, tokens)| format!("{tenant} {tokens}")).collect();
    format!("tokens consumed: {}", texts.join(", "))
}

/// Lets each tenant send streams until it has got 402 twelve times, or for twelve seconds. Returns how
/// many were served.
fn spend(site: &Site, tenants: &[&str], phase: &str, delivered: &Delivered) -> usize {
    let served = Arc::new(AtomicUsize::new(0));
    let fronts: Vec<SocketAddr> = site.machines.iter().map(Machine::front).collect();
    let desks: Vec<_> = tenants
        .iter()
        .map(|tenant| {
            let (tenant, phase, fronts) = ((*tenant).to_owned(), phase.to_owned(), fronts.clone());
            let (record, served) = (site.record.clone(), Arc::clone(&served));
            let delivered = Arc::clone(delivered);
            thread::spawn(move || {
                let begin = Instant::now();
                let (mut number, mut exhausted) = (0, 0);
                while exhausted < 12 && begin.elapsed() < Duration::from_secs(12) {
                    let request = Request {
                        method: "POST",
                        path: "/notes/1",
                        id: format!("{tenant}-{phase}-{number}"),
                        key: format!("key-{tenant}"),
                        tokens: Some((1_000, 250)),
                        time_limit: Duration::from_secs(12),
                        last_event: None,
                    };
                    let answer = request.send(fronts[number % fronts.len()], &record);
                    number += 1;
                    let tokens = answer.events * STRIDE;
                    *delivered.lock().unwrap().entry(tenant.clone()).or_default() += tokens;
                    match answer.status {
                        200 => drop(served.fetch_add(1, Ordering::SeqCst)),
                        402 => exhausted += 1,
                        _ => thread::sleep(Duration::from_millis(200)),
                    }
                }
            })
        })
        .collect();
    for desk in desks {
        let _ = desk.join();
    }
    served.load(Ordering::SeqCst)
}

/// Another writer keeps entries in the store whose names contain spaces, more than fit into one page.
fn names(record: Record, temporary: PathBuf, is_troubled: bool) -> Outcome {
    let engine = Work { is_engine: true, first_ms: 5, gap_ms: 1 };
    let budget = (&["tenant-a"][..], 3_600_000);
    let mut site = site(record, temporary, 2, budget, engine)?;
    let record = site.record.clone();
    if is_troubled {
        for number in 1..=520 {
            let entry = format!(
                "{{\"service\":\"batch\",\"address\":\"127.0.0.1:9\",\"zone\":\"cymru-a\",\
                 \"version\":\"7\",\"slots\":1,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1}}"
            );
            site.store.put("servers", &format!("batch worker {number:03}"), &entry);
        }
        record.say("another writer has 520 entries of the service \"batch\" in the store");
    }
    for machine in &mut site.machines {
        machine.start(&record)?;
    }
    let begin = Instant::now();
    let mut ends = vec![0; site.machines.len()];
    let (mut served, mut sent) = (0, 0);
    let mut restart_at = vec![None::<Instant>; site.machines.len()];
    while begin.elapsed() < Duration::from_secs(20) {
        for (number, machine) in site.machines.iter_mut().enumerate() {
            match restart_at[number] {
                None if machine.has_ended() => {
                    ends[number] += 1;
                    record.note(&format!("{} has ended by itself", machine.name));
                    restart_at[number] = Some(Instant::now() + Duration::from_secs(1));
                }
                Some(at) if Instant::now() >= at => {
                    restart_at[number] = None;
                    machine.start(&record)?;
                }
                _ => {}
            }
        }
        if begin.elapsed() > Duration::from_secs(10) {
            let request = charge(format!("charge-{sent}"), "tenant-a");
            let front = site.machines[sent % site.machines.len()].front();
            sent += 1;
            served += usize::from(request.send(front, &record).status == 200);
        }
        thread::sleep(Duration::from_millis(50));
    }
    record.say(&format!("own ends of each machine: {ends:?}; served {served} of {sent} requests"));
    let is_ending = |count: &&u32| **count >= 3;
    Ok(Some(ends.iter().filter(is_ending).count() >= 2))
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

/// Another writer stores some large entries, one after the other. Later a server reports that it drains.
fn watch(record: Record, temporary: PathBuf, is_troubled: bool) -> Outcome {
    const DRAIN_MS: u64 = 2_000;
    let engine = Work { is_engine: true, first_ms: 5, gap_ms: 1 };
    let budget = (&["tenant-a"][..], 3_600_000);
    let mut site = site(record, temporary, 2, budget, engine)?;
    if !start(&mut site)? {
        return Ok(None);
    }
    let record = site.record.clone();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = site
        .machines
        .iter()
        .enumerate()
        .map(|(number, machine)| {
            let (front, record, is_over) = (machine.front(), record.clone(), Arc::clone(&is_over));
            thread::spawn(move || {
                let mut sent = 0;
                while !is_over.load(Ordering::SeqCst) {
                    charge(format!("charge-{number}-{sent}"), "tenant-a").send(front, &record);
                    sent += 1;
                    thread::sleep(Duration::from_millis(40));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    if is_troubled {
        let entry = format!("{{\"service\":\"archive\",\"notes\":\"{}\"}}", "x".repeat(200_000));
        for number in 0..14 {
            site.store.put("servers", &format!("archive-{number:02}"), &entry);
            thread::sleep(Duration::from_millis(20));
        }
        record.say("another writer has stored 14 entries of 200 kB, one in 20 ms");
    }
    thread::sleep(Duration::from_secs(4));
    let leaving = site.servers.iter().find(|server| server.id == "i-desk-2");
    let leaving = leaving.cloned().ok_or(io::ErrorKind::NotFound)?;
    site.store.put("servers", &leaving.id, &leaving.entry("draining"));
    let acked_ms = record.now_ms();
    record.say("the store has acknowledged that i-desk-2 is draining");
    thread::sleep(Duration::from_secs(10));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let runs = record.runs();
    let at_leaving = |from_ms: u64| {
        let of_server = runs.iter().filter(|run| run.server == leaving.id);
        of_server.filter(|run| run.at_ms > from_ms).count()
    };
    let late = at_leaving(acked_ms + DRAIN_MS);
    let last = runs.iter().filter(|run| run.server == leaving.id).map(|run| run.at_ms).max();
    let last_ms = last.unwrap_or(0).saturating_sub(acked_ms);
    record.say(&format!(
        "requests at i-desk-2 after the ack: {}; of these later than drainMs: {late}, the last one \
         {last_ms} ms after it",
        at_leaving(acked_ms)
    ));
    Ok(Some(late > 0))
}
