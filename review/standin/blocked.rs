//! Case: all engines of a service fail one after the other, with many requests in their
//! prefill, and come back. The requests on its route must be served again.

use std::{
    io,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
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

const ENGINES: usize = 6;
/// Clients that come at once.
const CLIENTS: usize = 24;
/// Clients before that.
const EARLY_CLIENTS: usize = 4;
/// Time from the first request of the burst to the first crash.
const FIRST: Duration = Duration::from_millis(300);
/// Time between two crashes.
const STEP: Duration = Duration::from_millis(140);
/// Subjects of prompts, each with a part of its own.
const SUBJECTS: usize = 12;
/// Time for which the engines are down.
const DOWN: Duration = Duration::from_secs(3);
/// Time after the silence of an engine until its entry is removed: three check-in intervals.
const LAPSE: Duration = Duration::from_millis(3_600);
/// Time after the return of the engines from which requests are counted, and for how long.
const SETTLE: Duration = Duration::from_secs(12);
const COUNTED: Duration = Duration::from_secs(20);

/// Requests of one route, and those that were served.
#[derive(Default)]
struct Count {
    sent: AtomicUsize,
    served: AtomicUsize,
}

struct Shared {
    fronts: Vec<SocketAddr>,
    record: Arc<Record>,
    is_over: AtomicBool,
    is_counted: AtomicBool,
    lm: Count,
    desk: Count,
}

pub fn run(record: &Arc<Record>, is_troubled: bool) -> Result<Verdict, Failure> {
    let error = |error: io::Error| error.to_string();
    let store = Store::spawn().map_err(error)?;
    let runs = Arc::new(Runs::default());
    let lm = Service {
        name: "lm",
        work: Duration::from_millis(750),
        event_gap: Some(Duration::from_millis(20)),
        stride: 5,
        slots: 64,
    };
    let desk = Service {
        name: "desk",
        work: Duration::from_millis(30),
        event_gap: None,
        stride: 1,
        slots: 6,
    };
    store.put("config", "main", &config(7, false));
    for id in ["desk-1", "desk-2"] {
        let engine = Engine::start(id, None, "a", &desk, &runs, record).map_err(error)?;
        engine.register(&store);
    }
    let start = |number: usize| -> Result<Arc<Engine>, Failure> {
        let zone = ["a", "b"][number % 2];
        let id = format!("lm-{number}");
        let engine = Engine::start(&id, None, zone, &lm, &runs, record).map_err(error)?;
        engine.register(&store);
        Ok(engine)
    };
    let engines: Vec<_> = (0..ENGINES).map(start).collect::<Result<_, _>>()?;
    let folder = gateway::folder().map_err(error)?;
    let gateways = gateway::start_all(&["a", "b"], store.address, &folder, record)?;
    store.put("config", "main", &config(8, true));
    record.note("version 8 adds the route of the model service".to_owned());
    thread::sleep(Duration::from_secs(2));

    let shared = Arc::new(Shared {
        fronts: gateways.iter().map(|gateway| gateway.front).collect(),
        record: Arc::clone(record),
        is_over: AtomicBool::new(false),
        is_counted: AtomicBool::new(false),
        lm: Count::default(),
        desk: Count::default(),
    });
    let spawn = |number: usize, is_lm: bool, until: Option<Duration>| {
        let shared = Arc::clone(&shared);
        thread::spawn(move || shared.send(number, is_lm, until))
    };
    let mut clients: Vec<_> = (0..2).map(|number| spawn(number, false, None)).collect();
    let early = Some(Duration::from_secs(4));
    clients.extend((0..EARLY_CLIENTS).map(|number| spawn(number, true, early)));
    thread::sleep(Duration::from_secs(8));

    record.note(format!("{CLIENTS} clients come at once"));
    clients.extend((0..CLIENTS).map(|number| spawn(number, true, None)));
    thread::sleep(FIRST);
    if is_troubled {
        for (number, engine) in engines.iter().enumerate() {
            if number > 0 {
                thread::sleep(STEP);
            }
            engine.end("crash");
        }
        thread::sleep(DOWN);
        for number in ENGINES..2 * ENGINES {
            start(number)?;
        }
        thread::sleep(LAPSE - DOWN);
        for engine in &engines {
            store.remove("servers", &engine.id);
        }
        record.note("all engines of the service are back".to_owned());
    }
    thread::sleep(SETTLE);
    shared.is_counted.store(true, Ordering::SeqCst);
    record.note("from here on requests are counted".to_owned());
    thread::sleep(COUNTED);
    shared.is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let share = |name: &str, count: &Count| {
        let (sent, served) = (
            count.sent.load(Ordering::SeqCst),
            count.served.load(Ordering::SeqCst),
        );
        record.note(format!("{name}: {served} of {sent} requests served"));
        (sent, served as f64 / sent.max(1) as f64)
    };
    let (first_sent, first_share) = share("first route (desk)", &shared.desk);
    let (added_sent, added_share) = share("added route (lm)", &shared.lm);
    if first_sent < 20 || added_sent < 20 || first_share < 0.5 {
        return Err("too few requests to judge".to_owned());
    }
    Ok(match added_share < first_share / 4.0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

impl Shared {
    /// Sends requests one after the other, on another gateway each.
    fn send(&self, client: usize, is_lm: bool, until: Option<Duration>) {
        let end = until.map(|until| self.record.now() + until);
        let mut number = 0;
        while !self.is_over.load(Ordering::SeqCst) && end.is_none_or(|end| self.record.now() < end)
        {
            number += 1;
            let front = self.fronts[(client + number) % self.fronts.len()];
            let is_counted = self.is_counted.load(Ordering::SeqCst);
            let answer = client::send(front, &request(client, number, is_lm));
            let name = if is_lm { "lm" } else { "desk" };
            self.record.note(format!(
                "{name} {} -> {:?} {}",
                answer.id,
                answer.status,
                match answer.is_success() {
                    true => "",
                    false => answer.body.get(..answer.body.len().min(160)).unwrap_or(""),
                }
            ));
            let count = if is_lm { &self.lm } else { &self.desk };
            if is_counted {
                count.sent.fetch_add(1, Ordering::SeqCst);
                count.served.fetch_add(usize::from(answer.is_success()), Ordering::SeqCst);
            }
            let is_refused = answer.status == Some(503) || answer.status == Some(429);
            let pause_ms = if is_refused || !is_lm { 500 } else { 100 };
            thread::sleep(Duration::from_millis(pause_ms));
        }
    }
}

fn request(client: usize, number: usize, is_lm: bool) -> Request {
    Request {
        method: "POST",
        path: if is_lm { "/lm/2f" } else { "/desk/2f" }.to_owned(),
        key: "key-1".to_owned(),
        deadline_ms: if is_lm { 15_000 } else { 1_000 },
        tokens: is_lm.then_some((6_000, 100)),
        // All prompts begin with the same instructions, and those of a subject have a second part in
        // common; the last part is the request's own.
        prompt: format!(
            "5c1e07a2:512,91bd{:02x}:4870,{client:x}{number:04x}:618",
            (client + number) % SUBJECTS
        ),
        body: format!("client {client} request {number}"),
    }
}

fn config(version: u64, has_lm: bool) -> String {
    let lm = r#",{"name":"r-lm","host":"a.example","pathPrefix":"/lm/","routeType":"streaming","timeoutMs":15000,"targetLatencyMs":800,"priority":1,"service":"lm","maxAttempts":2,"authExempt":false,"sessionAffinity":true,"streamResume":true,"gapAimMs":400}"#;
    let lm = if has_lm { lm } else { "" };
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-desk","host":"a.example","pathPrefix":"/desk/","routeType":"safe","timeoutMs":1000,"targetLatencyMs":150,"priority":0,"service":"desk","maxAttempts":2,"authExempt":false}}{lm}],"services":[{{"name":"desk","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}},{{"name":"lm","healthPath":"/health","maxConnections":370,"protocol":"h1","tls":false,"engine":{{"slots":64,"kvTokens":549510,"stride":5}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"t1","apiKeys":["key-1"],"priority":1,"prepaid":100000000}}]}}"#
    )
}
