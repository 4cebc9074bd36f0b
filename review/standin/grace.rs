//! Case: the platform shortens `graceS` in the settings, with SIGHUP, and later stops gateways. No
//! request that they have read may be cut.

use std::{
    collections::BTreeSet,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{self, Answer, Request},
    engine::{Engine, Runs, Service},
    gateway::{self, Gateway, SIGHUP, SIGTERM},
    ingress::Ingress,
    record::Record,
    store::Store,
    Failure, Verdict,
};

/// Grace period before and after the change, in seconds.
const GRACE_S: [u64; 2] = [8, 4];
const CLIENTS: usize = 36;
const PAUSE: Duration = Duration::from_millis(60);
/// Gateways that are stopped at the same time, of three in their zone.
const STOPPED: usize = 2;
/// Requests that are sent within this time after SIGTERM and are at work in the last sixth of the
/// grace period are not counted.
const EXEMPT_MS: u64 = 3_000;

/// A request with the time at which it was sent and the gateway that took it.
struct Sent {
    at_ms: u64,
    ended_ms: u64,
    gateway: usize,
    answer: Answer,
}

type Log = Mutex<Vec<Sent>>;

pub fn run(record: &Arc<Record>, is_troubled: bool) -> Result<Verdict, Failure> {
    let error = |error: std::io::Error| error.to_string();
    let store = Store::spawn().map_err(error)?;
    let runs = Arc::new(Runs::default());
    let service = Service {
        name: "desk",
        work: Duration::from_millis(250),
        event_gap: None,
        stride: 1,
        slots: 16,
    };
    store.put("config", "main", CONFIG);
    for id in ["desk-1", "desk-2", "desk-3", "desk-4"] {
        let engine = Engine::start(id, None, "a", &service, &runs, record).map_err(error)?;
        engine.register(&store);
    }
    let folder = gateway::folder().map_err(error)?;
    let mut gateways = gateway::start_all(&["a", "a", "a"], store.address, &folder, record)?;
    let addresses: Vec<_> = gateways.iter().map(Gateway::addresses).collect();
    let ingress = Ingress::spawn(&addresses);
    let is_over = Arc::new(AtomicBool::new(false));
    let log = Arc::new(Log::default());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (ingress, record) = (Arc::clone(&ingress), Arc::clone(record));
            let (is_over, log) = (Arc::clone(&is_over), Arc::clone(&log));
            thread::spawn(move || book(number, &ingress, &is_over, &log, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));

    let mut grace_s = GRACE_S[0];
    if is_troubled {
        grace_s = GRACE_S[1];
        record.note(format!("the settings change: graceS {GRACE_S:?}, and SIGHUP"));
        for gateway in &mut gateways {
            gateway.settings.grace_s = grace_s;
            gateway.write_settings().map_err(error)?;
            gateway.signal(SIGHUP);
        }
    }
    thread::sleep(Duration::from_secs(10));

    let stop_ms = record.now_ms();
    record.note(format!("SIGTERM to {STOPPED} gateways, SIGKILL after {grace_s} s"));
    let end = Instant::now() + Duration::from_secs(grace_s);
    for gateway in &gateways[..STOPPED] {
        gateway.signal(SIGTERM);
    }
    let stopping: Vec<_> = gateways
        .drain(..STOPPED)
        .enumerate()
        .map(|(number, mut gateway)| {
            let record = Arc::clone(record);
            thread::spawn(move || {
                let is_killed = gateway.wait_end(end);
                record.note(format!("gateway {number} has ended, by SIGKILL: {is_killed}"));
                let _ = gateway.start();
                gateway
            })
        })
        .collect();
    for stopping in stopping {
        gateways.extend(stopping.join());
    }
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    ingress.stop();

    let until_ms = stop_ms + grace_s * 1_000 + 1_000;
    let ran: BTreeSet<String> = runs.all().into_iter().map(|run| run.request).collect();
    let log = log.lock().unwrap();
    let is_cut = |sent: &&Sent| {
        let is_stopped = sent.gateway < STOPPED && sent.at_ms > stop_ms;
        let is_passed_on = sent.answer.status.is_none() && ran.contains(&sent.answer.id);
        is_stopped && is_passed_on && sent.ended_ms <= until_ms
    };
    let cut: Vec<&Sent> = log.iter().filter(is_cut).collect();
    let counted = cut.iter().filter(|sent| sent.at_ms > stop_ms + EXEMPT_MS).count();
    record.note(format!(
        "{} requests sent; read, passed on and cut without an answer: {}, of them sent later than \
         {EXEMPT_MS} ms after SIGTERM: {counted}",
        log.len(),
        cut.len()
    ));
    if log.iter().filter(|sent| sent.answer.is_success()).count() < 100 {
        return Err("too few requests were served".to_owned());
    }
    Ok(match counted {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}

/// Sends requests that may run at most once, each on a new channel.
fn book(client: usize, ingress: &Ingress, is_over: &AtomicBool, log: &Log, record: &Record) {
    let (mut number, mut attempt) = (0, 0);
    while !is_over.load(Ordering::SeqCst) {
        number += 1;
        let request = Request {
            method: "POST",
            path: "/book/2f".to_owned(),
            key: "key-1".to_owned(),
            deadline_ms: 1_000,
            tokens: None,
            prompt: String::new(),
            body: format!("booking {number} of {client}"),
        };
        let (gateway, front) = ingress.choose(client, attempt);
        let at_ms = record.now_ms();
        let answer = client::send(front, &request);
        let text = format!("book {} at gateway {gateway} -> {:?}", answer.id, answer.status);
        record.note(text);
        attempt = if answer.status.is_none() { attempt + 1 } else { 0 };
        log.lock().unwrap().push(Sent {
            at_ms,
            ended_ms: record.now_ms(),
            gateway,
            answer,
        });
        thread::sleep(PAUSE);
    }
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-book","host":"a.example","pathPrefix":"/book/","routeType":"unsafe","timeoutMs":1000,"targetLatencyMs":300,"priority":0,"service":"desk","maxAttempts":2,"authExempt":false}],"services":[{"name":"desk","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t1","apiKeys":["key-1"],"priority":1}]}"#;
