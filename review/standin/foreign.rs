//! Case: another writer leaves entries among those of the engines. After all processes were killed the
//! gateways must serve again.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use crate::{
    client::{self, Request},
    engine::{Engine, Runs, Service},
    gateway,
    record::Record,
    store::Store,
    Failure, Verdict,
};

/// Number of entries of the other writer: with them the list has more than one page.
const ENTRIES: usize = 600;
const CLIENTS: usize = 6;
const RECOVERY: Duration = Duration::from_secs(12);
const COUNTED: Duration = Duration::from_secs(15);
/// Delay after which the platform starts a process again.
const RESTART: Duration = Duration::from_secs(1);

/// Time at which a request was sent, and whether it was served.
type Log = Mutex<Vec<(Duration, bool)>>;

pub fn run(record: &Arc<Record>, is_troubled: bool) -> Result<Verdict, Failure> {
    let error = |error: std::io::Error| error.to_string();
    let store = Store::spawn().map_err(error)?;
    let runs = Arc::new(Runs::default());
    let service = Service {
        name: "desk",
        work: Duration::from_millis(30),
        event_gap: None,
        stride: 1,
        slots: 6,
    };
    store.put("config", "main", CONFIG);
    for (id, zone) in [("i-0f3a91c2", "a"), ("i-72d9e6b4", "b")] {
        let engine = Engine::start(id, None, zone, &service, &runs, record).map_err(error)?;
        engine.register(&store);
    }
    let folder = gateway::folder().map_err(error)?;
    let mut gateways = gateway::start_all(&["a", "b"], store.address, &folder, record)?;
    let fronts: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.front).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let log = Arc::new(Log::default());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let front = fronts[number % fronts.len()];
            let (is_over, log) = (Arc::clone(&is_over), Arc::clone(&log));
            let record = Arc::clone(record);
            thread::spawn(move || look_up(front, &is_over, &log, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    if is_troubled {
        for number in 0..ENTRIES {
            let name = format!("batch job {number}");
            store.put("servers", &name, r#"{"service":"none","state":"idle"}"#);
        }
        record.note(format!("another writer has stored {ENTRIES} entries, as \"batch job N\""));
    }
    thread::sleep(Duration::from_secs(8));

    let fault = record.now();
    record.note("final fault: all processes are killed".to_owned());
    for gateway in &mut gateways {
        gateway.kill();
    }
    thread::sleep(RESTART);
    for gateway in &mut gateways {
        gateway.start().map_err(error)?;
    }
    let back = record.now();
    record.note("all processes are started again".to_owned());
    let mut ends = 0;
    while record.now() < back + RECOVERY + COUNTED {
        thread::sleep(Duration::from_millis(100));
        for gateway in &mut gateways {
            if let Some(status) = gateway.ended() {
                ends += 1;
                let name = gateway.settings.name.clone();
                record.note(format!("gateway {name} has ended by itself: {status}"));
                thread::sleep(RESTART);
                gateway.kill();
                gateway.start().map_err(error)?;
            }
        }
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let log = log.lock().unwrap();
    let share = |name: &str, from: Duration, to: Duration| {
        let sent: Vec<_> = log.iter().filter(|(at, _)| *at >= from && *at < to).collect();
        let served = sent.iter().filter(|(_, is_served)| *is_served).count();
        record.note(format!("{name}: {served} of {} requests served", sent.len()));
        served as f64 / sent.len().max(1) as f64
    };
    record.note(format!("processes that ended by themselves: {ends}"));
    let before = share("before the final fault", Duration::ZERO, fault);
    let after = share("later than 12 s after the return", back + RECOVERY, Duration::MAX);
    if before < 0.25 {
        return Err("too few requests were served before the final fault".to_owned());
    }
    Ok(match after < 0.25 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

fn look_up(front: SocketAddr, is_over: &AtomicBool, log: &Log, record: &Record) {
    let mut number = 0;
    while !is_over.load(Ordering::SeqCst) {
        number += 1;
        let request = Request {
            method: "GET",
            path: format!("/record/{number}/2f"),
            key: "key-1".to_owned(),
            deadline_ms: 1_000,
            tokens: None,
            prompt: String::new(),
            body: String::new(),
        };
        let at = record.now();
        let answer = client::send(front, &request);
        record.note(format!("look up {} -> {:?}", answer.id, answer.status));
        log.lock().unwrap().push((at, answer.is_success()));
        thread::sleep(Duration::from_millis(200));
    }
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-record","host":"a.example","pathPrefix":"/record/","routeType":"safe","timeoutMs":1000,"targetLatencyMs":150,"priority":0,"service":"desk","maxAttempts":2,"authExempt":false}],"services":[{"name":"desk","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t1","apiKeys":["key-1"],"priority":1}]}"#;
