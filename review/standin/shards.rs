//! Case: the platform raises the store's rates in the settings, and the gateways restart one after
//! the other. No tenant may get more than its prepaid tokens.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    client::{self, Request},
    engine::{Engine, Runs, Service},
    gateway::{self, SIGHUP},
    record::Record,
    store::Store,
    Failure, Verdict,
};

const TENANTS: [&str; 4] = ["hule930", "noye902", "puda43", "zigo56"];
const PREPAID: u64 = 30_000;
const PROMPT: u64 = 1_000;
const OUTPUT: u64 = 500;
const STRIDE: u64 = 5;
/// Rates of the store before and after, in writing calls a second: those of the two sheets of the
/// same deployment.
const WRITES_PER_S: [u64; 2] = [400, 1_200];
/// Attempts of each tenant in one phase; half of them suffice to use up what is prepaid.
const ATTEMPTS: usize = 40;

/// Tokens that each tenant got.
type Used = Mutex<BTreeMap<String, u64>>;

pub fn run(record: &Arc<Record>, is_troubled: bool) -> Result<Verdict, Failure> {
    let error = |error: std::io::Error| error.to_string();
    let store = Store::spawn().map_err(error)?;
    let runs = Arc::new(Runs::default());
    let service = Service {
        name: "lm",
        work: Duration::from_millis(20),
        event_gap: Some(Duration::from_millis(1)),
        stride: STRIDE,
        slots: 64,
    };
    store.put("config", "main", &config());
    for number in 1..=2 {
        let id = format!("lm-{number}");
        let engine = Engine::start(&id, None, "a", &service, &runs, record).map_err(error)?;
        engine.register(&store);
    }
    let folder = gateway::folder().map_err(error)?;
    let mut gateways = gateway::start_all(&["a", "b", "c"], store.address, &folder, record)?;
    let fronts: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.front).collect();
    let used = Arc::new(Used::default());

    record.note("the tenants use up what they have".to_owned());
    spend(&fronts, &used, record);
    let before = served(&used);
    if before == 0 {
        return Err("nothing was served before the restarts".to_owned());
    }

    if is_troubled {
        record.note(format!("the settings change: writesPerS {WRITES_PER_S:?}"));
        for gateway in &mut gateways {
            gateway.settings.writes_per_s = WRITES_PER_S[1];
            gateway.write_settings().map_err(error)?;
            gateway.signal(SIGHUP);
        }
    }
    thread::sleep(Duration::from_secs(1));
    for gateway in &mut gateways {
        record.note(format!("gateway {} is stopped (SIGTERM)", gateway.settings.name));
        gateway.stop();
        gateway.start().map_err(error)?;
        gateway.wait_ready(record)?;
    }
    thread::sleep(Duration::from_secs(1));

    record.note("the tenants go on".to_owned());
    spend(&fronts, &used, record);

    let run_ids: BTreeSet<String> = runs.all().into_iter().map(|run| run.request).collect();
    record.note(format!("{} requests ran at the engines", run_ids.len()));
    let mut verdict = Verdict::Held;
    for (tenant, tokens) in used.lock().unwrap().iter() {
        record.note(format!("tenant {tenant}: prepaid {PREPAID}, got {tokens}"));
        if *tokens > PREPAID {
            verdict = Verdict::Broken;
        }
    }
    Ok(verdict)
}

fn served(used: &Used) -> u64 {
    used.lock().unwrap().values().sum()
}

/// Lets each tenant send requests until several in a row are refused as not covered.
fn spend(fronts: &[SocketAddr], used: &Arc<Used>, record: &Arc<Record>) {
    let tasks: Vec<_> = TENANTS
        .into_iter()
        .map(|tenant| {
            let (fronts, used, record) = (fronts.to_vec(), Arc::clone(used), Arc::clone(record));
            thread::spawn(move || spend_one(tenant, &fronts, &used, &record))
        })
        .collect();
    for task in tasks {
        let _ = task.join();
    }
}

fn spend_one(tenant: &str, fronts: &[SocketAddr], used: &Used, record: &Record) {
    let mut not_covered = 0;
    for number in 0..ATTEMPTS {
        let request = Request {
            method: "POST",
            path: "/lm/2f".to_owned(),
            key: format!("key-{tenant}"),
            deadline_ms: 15_000,
            tokens: Some((PROMPT, OUTPUT)),
            prompt: format!("a1:600,{number:x}:400"),
            body: format!("{tenant} {number}"),
        };
        let answer = client::send(fronts[number % fronts.len()], &request);
        record.note(format!(
            "{tenant} {} -> {:?}, {} events, complete {}",
            answer.id, answer.status, answer.events, answer.is_complete
        ));
        match answer.status {
            Some(200) => {
                not_covered = 0;
                // Whole events that reached the client; the last one may hold fewer tokens.
                let output = (answer.events * STRIDE).min(OUTPUT);
                *used.lock().unwrap().entry(tenant.to_owned()).or_default() += PROMPT + output;
            }
            Some(402) => not_covered += 1,
            _ => thread::sleep(Duration::from_millis(300)),
        }
        if not_covered >= 2 * fronts.len() {
            return;
        }
    }
}

fn config() -> String {
    let tenants: Vec<String> = TENANTS
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"apiKeys\":[\"key-{name}\"],\"priority\":1,\
                 \"prepaid\":{PREPAID}}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-lm\",\"host\":\"a.example\",\
         \"pathPrefix\":\"/lm/\",\"routeType\":\"streaming\",\"timeoutMs\":15000,\
         \"targetLatencyMs\":800,\"priority\":1,\"service\":\"lm\",\"maxAttempts\":2,\
         \"authExempt\":false,\"sessionAffinity\":true,\"streamResume\":true,\"gapAimMs\":400}}],\
         \"services\":[{{\"name\":\"lm\",\"healthPath\":\"/health\",\"maxConnections\":370,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kvTokens\":549510,\
         \"stride\":{STRIDE}}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{}]}}",
        tenants.join(",")
    )
}
