//! Drivers and stand-ins of the review's cases.
//!
//! `cases NAME RECORD` runs one case: it starts gateways as separate processes against a store,
//! engines and clients of this program, and writes what was sent, answered and run to `RECORD`.
//! Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. With `TROUBLE=0` the
//! disruption is left out.

mod client;
mod engine;
mod gateway;
mod http;
mod ingress;
mod json;
mod record;
mod store;

mod blocked;
mod foreign;
mod grace;
mod removed;
mod shards;

use std::{process::exit, sync::Arc, thread, time::Duration};

/// Longest run of a case.
const LIMIT: Duration = Duration::from_secs(112);

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
}

/// Reason why a case could not run.
pub type Failure = String;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, path] = &arguments[..] else {
        eprintln!("usage: cases NAME RECORD");
        exit(2);
    };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(record::Record::new());
    record.note(format!("case {name}, disruption {is_troubled}"));
    watch_time(Arc::clone(&record), path.clone());
    let result = match name.as_str() {
        "shards" => shards::run(&record, is_troubled),
        "removed" => removed::run(&record, is_troubled),
        "blocked" => blocked::run(&record, is_troubled),
        "foreign" => foreign::run(&record, is_troubled),
        "grace" => grace::run(&record, is_troubled),
        _ => Err(format!("unknown case {name}")),
    };
    let code = match &result {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(_) => 2,
    };
    record.note(match result {
        Ok(Verdict::Held) => "verdict: the rule held".to_owned(),
        Ok(Verdict::Broken) => "verdict: the rule was broken".to_owned(),
        Err(failure) => format!("verdict: could not run: {failure}"),
    });
    gateway::kill_all();
    gateway::remove_folder();
    record.write(path);
    println!("{}", record.last());
    exit(code);
}

/// Ends the program with code 2 if the case takes too long.
fn watch_time(record: Arc<record::Record>, path: String) {
    thread::spawn(move || {
        thread::sleep(LIMIT);
        gateway::kill_all();
        gateway::remove_folder();
        record.note("verdict: could not run: time limit".to_owned());
        record.write(&path);
        exit(2);
    });
}
