//! Case: the store cuts off watches that wait for long, as it may. An engine whose entry is removed
//! may receive no requests later than `drainMs` after that.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc,
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

/// Wait after which the store cuts a watch off.
const CUT_AFTER: Duration = Duration::from_secs(1);
const DRAIN_MS: u64 = 2_000;
/// Time for which the engine serves on after `drainMs`.
const SERVES_ON: Duration = Duration::from_millis(2_500);
const CLIENTS: u64 = 18;
const PAUSE: Duration = Duration::from_millis(60);

pub fn run(record: &Arc<Record>, is_troubled: bool) -> Result<Verdict, Failure> {
    let error = |error: std::io::Error| error.to_string();
    let store = Store::spawn().map_err(error)?;
    let runs = Arc::new(Runs::default());
    let service = Service {
        name: "desk",
        work: Duration::from_millis(120),
        event_gap: None,
        stride: 1,
        slots: 6,
    };
    store.put("config", "main", CONFIG);
    let mut engines = Vec::new();
    for (id, zone) in [("desk-1", "a"), ("desk-2", "b"), ("desk-3", "b")] {
        let engine = Engine::start(id, None, zone, &service, &runs, record).map_err(error)?;
        engine.register(&store);
        engines.push(engine);
    }
    let folder = gateway::folder().map_err(error)?;
    let gateways = gateway::start_all(&["a", "b"], store.address, &folder, record)?;
    let fronts: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.front).collect();
    if is_troubled {
        store.cut_watches_after(Some(CUT_AFTER));
        record.note(format!("the store cuts off watches after {CUT_AFTER:?}"));
    }

    let is_over = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let front = fronts[number as usize % fronts.len()];
            let (is_over, lost) = (Arc::clone(&is_over), Arc::clone(&lost));
            let record = Arc::clone(record);
            thread::spawn(move || book(front, &is_over, &lost, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(8));

    store.remove("servers", "desk-1");
    let removed_ms = record.now_ms();
    record.note("the store has removed the entry of desk-1, which serves on".to_owned());
    thread::sleep(Duration::from_millis(DRAIN_MS) + SERVES_ON);
    engines[0].end("it has left");
    let ended_ms = record.now_ms();
    thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let late_ms = removed_ms + DRAIN_MS;
    let runs = runs.all();
    for run in &runs {
        record.note(format!(
            "ran at {} {}: {} complete {}",
            run.at_ms, run.engine, run.request, run.is_complete
        ));
    }
    let late: Vec<_> = runs
        .iter()
        .filter(|run| run.engine == "desk-1" && run.at_ms > late_ms)
        .collect();
    let cut = late.iter().filter(|run| !run.is_complete).count();
    record.note(format!(
        "watches cut off: {}; removed at {removed_ms}, ended at {ended_ms}",
        store.cut_watches()
    ));
    record.note(format!(
        "requests at desk-1 later than {DRAIN_MS} ms after its removal: {} ({cut} of them not \
         finished); attempts without success at the clients: {}",
        late.len(),
        lost.load(Ordering::SeqCst)
    ));
    if runs.is_empty() {
        return Err("nothing was served".to_owned());
    }
    Ok(match late.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    })
}

/// Sends requests that may run at most once.
fn book(front: SocketAddr, is_over: &AtomicBool, lost: &AtomicU64, record: &Record) {
    let mut number = 0;
    while !is_over.load(Ordering::SeqCst) {
        number += 1;
        let request = Request {
            method: "POST",
            path: "/book/2f".to_owned(),
            key: "key-1".to_owned(),
            deadline_ms: 1_000,
            tokens: None,
            prompt: String::new(),
            body: format!("booking {number}"),
        };
        let answer = client::send(front, &request);
        if !answer.is_success() {
            lost.fetch_add(1, Ordering::SeqCst);
        }
        record.note(format!("book {} -> {:?}", answer.id, answer.status));
        thread::sleep(PAUSE);
    }
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-book","host":"a.example","pathPrefix":"/book/","routeType":"unsafe","timeoutMs":1000,"targetLatencyMs":150,"priority":0,"service":"desk","maxAttempts":2,"authExempt":false}],"services":[{"name":"desk","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t1","apiKeys":["key-1"],"priority":1}]}"#;
