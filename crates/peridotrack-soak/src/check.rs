//! The promises, over what clients and backend servers observed.

use std::collections::{BTreeMap, BTreeSet};

use peridotrack_standin::hosted::{
    client::Outcome,
    deployment::{Kind, bounds},
};

use crate::schedule::Step;

/// Slack for the way of a request and the clocks of two tasks, in milliseconds.
const SLACK_MS: u64 = 300;
/// Time after the effect of a configuration was seen from which on an older one is a step back.
const ROLLBACK_SLACK_MS: u64 = 250;

/// One request of a client.
#[derive(Debug, Clone)]
pub struct Sent {
    /// Its identifier.
    pub id: String,
    /// What it is.
    pub kind: Kind,
    /// Index of its client account.
    pub account: usize,
    /// Router that it was sent to.
    pub router: usize,
    /// Life of that router's process.
    pub life: u64,
    /// When it was sent, in milliseconds of the run.
    pub at_ms: u64,
    /// When it ended.
    pub end_ms: u64,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Events of its answer that arrived.
    pub events: u64,
    /// Version that a probe asked for.
    pub version: u64,
    /// What became of it.
    pub answer: Outcome,
}

/// One request that a backend server ran.
#[derive(Debug, Clone)]
pub struct Ran {
    /// The request's identifier.
    pub id: String,
    /// Name of the backend server that was meant.
    pub expected: String,
    /// Client account that the server was told.
    pub account: String,
    /// Whether the client's key was passed on.
    pub has_key: bool,
    /// When it arrived.
    pub at_ms: u64,
}

/// All that was observed in a run.
#[derive(Debug, Clone, Default)]
pub struct Record {
    /// Requests.
    pub sent: Vec<Sent>,
    /// Runs.
    pub ran: Vec<Ran>,
    /// The schedule as it was carried out: lengths until the fault had ended.
    pub steps: Vec<Step>,
    /// Versions with when the store had them.
    pub versions: Vec<(u64, u64)>,
    /// Names of backend servers with when the store had them draining.
    pub draining: Vec<(String, u64)>,
    /// Tokens that each client account could consume, with when they were granted.
    pub prepaid: Vec<(u64, u64)>,
    /// Names of the client accounts.
    pub accounts: Vec<&'static str>,
    /// When the last fault had ended.
    pub healed_ms: u64,
}

/// Returns every breach of a promise.
pub fn check(record: &Record) -> Vec<String> {
    let sent: BTreeMap<&str, &Sent> = record.sent.iter().map(|sent| (&*sent.id, sent)).collect();
    let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
    for ran in &record.ran {
        *runs.entry(&*ran.id).or_default() += 1;
    }
    let mut breaches = Vec::new();
    for sent in &record.sent {
        breaches.extend(of_request(sent, runs.get(&*sent.id).copied().unwrap_or(0)));
        breaches.extend(lost(record, sent, runs.contains_key(&*sent.id)));
        breaches.extend(late_configuration(record, sent));
    }
    for ran in &record.ran {
        breaches.extend(of_run(record, ran, sent.get(&*ran.id).copied()));
    }
    breaches.extend(overspent(record, &runs));
    breaches.extend(steps_back(record));
    breaches.extend(unrecovered(record));
    breaches
}

fn of_request(sent: &Sent, runs: u32) -> Option<String> {
    let Sent { id, kind, .. } = sent;
    if let Outcome::Wrong(detail) = &sent.answer {
        return Some(format!("{id} got a wrong answer: {detail}"));
    }
    if kind.is_idempotent() {
        return None;
    }
    if runs > 1 {
        return Some(format!("{id} ({kind:?}) ran {runs} times"));
    }
    match sent.answer {
        Outcome::Status(status @ (408 | 421 | 429 | 503)) if runs > 0 => {
            Some(format!("{id} ({kind:?}) ran and was answered {status}"))
        }
        _ => None,
    }
}

fn of_run(record: &Record, ran: &Ran, sent: Option<&Sent>) -> Option<String> {
    let id = &ran.id;
    let Some(sent) = sent else {
        return Some(format!("{id} ran and no client sent it"));
    };
    if ran.has_key || ran.account != record.accounts[sent.account] {
        return Some(format!(
            "{id} ran for account {:?}, key passed on: {}",
            ran.account, ran.has_key
        ));
    }
    let drained = record
        .draining
        .iter()
        .find(|(name, _)| *name == ran.expected);
    let is_late = drained.is_some_and(|(_, at_ms)| {
        ran.at_ms > at_ms + bounds::DRAIN_MS + SLACK_MS
            && in_touch(record, sent.router, sent.at_ms, ran.at_ms)
    });
    is_late.then(|| format!("{id} reached {} after it was drained", ran.expected))
}

/// Whether nothing disturbed a router or the store from `from_ms`, less the time of contact, on.
fn in_touch(record: &Record, router: usize, from_ms: u64, to_ms: u64) -> bool {
    let from_ms = from_ms.saturating_sub(bounds::CONTACT_MS);
    let meets = |step: &&Step| step.at_ms <= to_ms && step.at_ms + step.for_ms >= from_ms;
    let mut steps = record.steps.iter().filter(meets);
    !steps.any(|step| step.fault.disturbs(router))
}

/// A request that was passed on may not be lost around planned work alone.
fn lost(record: &Record, sent: &Sent, has_run: bool) -> Option<String> {
    if sent.answer != Outcome::Incomplete || !has_run {
        return None;
    }
    let from_ms = sent.at_ms.saturating_sub(bounds::CONTACT_MS);
    let meets = |step: &&Step| step.at_ms <= sent.end_ms && step.at_ms + step.for_ms >= from_ms;
    let mut steps = record.steps.iter().filter(meets);
    let is_excused = steps.any(|step| !step.fault.is_planned());
    (!is_excused).then(|| format!("{} was lost at router {}", sent.id, sent.router))
}

/// A version must be in force in time at routers in touch.
fn late_configuration(record: &Record, sent: &Sent) -> Option<String> {
    if sent.kind != Kind::Probe || sent.answer != Outcome::Status(404) {
        return None;
    }
    let (_, acked_ms) = record
        .versions
        .iter()
        .find(|(version, _)| *version == sent.version)?;
    // A newer version drops the route again.
    let next = record
        .versions
        .iter()
        .find(|(version, _)| *version > sent.version);
    if next.is_some_and(|(_, at_ms)| *at_ms <= sent.end_ms) {
        return None;
    }
    let is_late = sent.at_ms > acked_ms + bounds::CONFIG_APPLY_MS
        && in_touch(record, sent.router, sent.at_ms, sent.end_ms);
    is_late.then(|| {
        format!(
            "router {} does not know version {} of {acked_ms} at {}",
            sent.router, sent.version, sent.at_ms
        )
    })
}

/// A process that knew a version may not act by an older one later.
fn steps_back(record: &Record) -> Vec<String> {
    let mut known: BTreeMap<(usize, u64, u64), u64> = BTreeMap::new();
    for sent in record.sent.iter().filter(|sent| sent.kind == Kind::Probe) {
        if matches!(sent.answer, Outcome::Status(200)) {
            let key = (sent.router, sent.life, sent.version);
            let at_ms = known.entry(key).or_insert(sent.end_ms);
            *at_ms = (*at_ms).min(sent.end_ms);
        }
    }
    let is_newest = |sent: &Sent| {
        let next = record
            .versions
            .iter()
            .find(|(version, _)| *version > sent.version);
        next.is_none_or(|(_, at_ms)| *at_ms > sent.end_ms)
    };
    let is_back = |sent: &&Sent| {
        let key = (sent.router, sent.life, sent.version);
        let seen_ms = known.get(&key);
        sent.answer == Outcome::Status(404)
            && seen_ms.is_some_and(|seen_ms| sent.at_ms > seen_ms + ROLLBACK_SLACK_MS)
            && is_newest(sent)
    };
    let probes = record.sent.iter().filter(|sent| sent.kind == Kind::Probe);
    let back = probes.filter(is_back);
    back.map(|sent| {
        format!(
            "router {} went back behind version {}",
            sent.router, sent.version
        )
    })
    .collect()
}

/// Prompts once for each request that ran, and the events that arrived, at each moment.
fn overspent(record: &Record, runs: &BTreeMap<&str, u32>) -> Vec<String> {
    let ends = record.prepaid.iter().skip(1).map(|(at_ms, _)| *at_ms);
    let spans = record.prepaid.iter().zip(ends.chain([u64::MAX]));
    let mut breaches = Vec::new();
    for ((_, prepaid_tokens), end_ms) in spans {
        let mut spent = vec![0; record.accounts.len()];
        for sent in record.sent.iter().filter(|sent| sent.end_ms < end_ms) {
            let prompt_tokens = match runs.contains_key(&*sent.id) {
                true => sent.prompt_tokens,
                false => 0,
            };
            spent[sent.account] += prompt_tokens + sent.events;
        }
        for (name, spent) in record.accounts.iter().zip(spent) {
            if spent > *prepaid_tokens {
                breaches.push(format!(
                    "{name} consumed {spent} of {prepaid_tokens} tokens"
                ));
            }
        }
    }
    breaches
}

/// Most of what is sent long after the last fault is served.
fn unrecovered(record: &Record) -> Option<String> {
    let is_due = |sent: &&Sent| sent.at_ms > record.healed_ms + bounds::RECOVER_MS;
    let due: Vec<_> = record.sent.iter().filter(is_due).collect();
    let served = due
        .iter()
        .filter(|sent| sent.answer == Outcome::Status(200));
    let served = served.count();
    let by_router: BTreeSet<usize> = due.iter().map(|sent| sent.router).collect();
    (!due.is_empty() && served * 2 < due.len()).then(|| {
        format!(
            "{served} of {} requests to {} routers served at the end",
            due.len(),
            by_router.len()
        )
    })
}
