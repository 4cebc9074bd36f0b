//! Checks the promises of a gateway against a [`Record`] of a run.
//!
//! The record holds what clients and backend servers observed and which faults were applied. A
//! promise with a time bound is checked only for routers that no fault disrupted in that time.

use std::collections::{BTreeMap, BTreeSet};

use peridotrack_standin::hosted::{
    backend::{Cause, Content},
    client::Outcome,
    deployment::{Kind, bounds},
};

use crate::{
    partition,
    schedule::{Fault, Step},
    stated::{self, PausedArrival, StatedLeaving},
    streams,
};

/// Allowance for request transit and for timestamps taken by different tasks, in milliseconds.
const SLACK_MS: u64 = 300;
/// Time after a version was first seen in effect, in milliseconds. Only probes sent later count as
/// a rollback, because earlier ones may overlap the switch.
const ROLLBACK_SLACK_MS: u64 = 250;

/// Crashes under a prompt part after which routers must stop to send it.
const PART_CRASHES: usize = 5;
/// Crashes under a request after which routers must stop to send it.
const REQUEST_CRASHES: usize = 3;
/// Requests with the part, or repetitions of the request, that may still be sent then.
const MAX_LATE_EXECUTIONS: usize = 3;

/// Span in which requests to a server with a limit are counted, in milliseconds.
const LIMIT_WINDOW_MS: u64 = 4_000;
/// Requests that such a server may receive beyond its limit in that span.
const LIMIT_SLACK: f64 = 5.0;
/// Time after which a router that was told of a limit must keep to it, in milliseconds.
const TOLD_MS: u64 = 500;

/// A request that a client sent, and its outcome.
#[derive(Debug, Clone)]
pub struct SentRequest {
    /// Identifier, unique within the run.
    pub id: String,
    /// Kind, which decides whether it may run more than once.
    pub kind: Kind,
    /// Index of the client account in [`Record::accounts`].
    pub account: usize,
    /// Index of the router that it was sent to.
    pub router: usize,
    /// Incarnation of that router, counted from 1.
    pub incarnation: u64,
    /// When it was sent, in milliseconds since the start of the run.
    pub at_ms: u64,
    /// When its outcome was known, in milliseconds since the start of the run.
    pub end_ms: u64,
    /// Prompt tokens that it declared.
    pub prompt_tokens: u64,
    /// Identifiers of the prompt's parts; empty if it declared none.
    pub prompt_parts: Vec<u64>,
    /// Stream events that the client received; each counts as one output token.
    pub events: u64,
    /// Newest configuration version when it was sent, whose route a probe requests.
    pub version: u64,
    /// What identifies it as a whole.
    pub content: Content,
    /// How the exchange ended for the client.
    pub outcome: Outcome,
}

/// One execution of a request by a backend server.
#[derive(Debug, Clone)]
pub struct Execution {
    /// Identifier of the request.
    pub id: String,
    /// Name of the backend server that the router addressed.
    pub expected_server: String,
    /// Identifier of the request that received the first event of the stream, if it continues one.
    pub continues: Option<String>,
    /// Client account that the router named to the server.
    pub account: String,
    /// Whether the router forwarded the client's key, which it must not.
    pub has_credential: bool,
    /// Whether the server stated in the response that it leaves.
    pub states_leaving: bool,
    /// When it arrived, in milliseconds since the start of the run.
    pub at_ms: u64,
}

/// The drain of a backend server, or its removal without one.
#[derive(Debug, Clone)]
pub struct Drain {
    /// Name of the server.
    pub server: String,
    /// Index of the server, through all its incarnations.
    pub backend: usize,
    /// When the store marked it draining or removed it, in milliseconds since the start of the run.
    pub at_ms: u64,
}

/// A span in which a backend server stated a limit. Times are in milliseconds since the start of the
/// run.
#[derive(Debug, Clone)]
pub struct StatedLimit {
    /// Name of the server.
    pub server: String,
    /// Requests per second that it took from all routers together.
    pub limit_per_s: f64,
    /// When it first stated the limit.
    pub from_ms: u64,
    /// When it stated it for the last time.
    pub to_ms: u64,
}

/// Everything that was observed in a run. Times are in milliseconds since its start.
#[derive(Debug, Clone, Default)]
pub struct Record {
    /// Requests of all clients, in the order in which they ended.
    pub requests: Vec<SentRequest>,
    /// Executions reported by all backend servers.
    pub executions: Vec<Execution>,
    /// Faults as they were applied, each with its actual start and duration.
    pub steps: Vec<Step>,
    /// Configuration versions, each with the time when it was written to the store; ascending.
    pub versions: Vec<(u64, u64)>,
    /// Backend servers that were drained, or removed after they had stated that they leave.
    pub draining: Vec<Drain>,
    /// Crashes of backend servers, each with what caused it and its time.
    pub crashes: Vec<(Cause, u64)>,
    /// Limits that backend servers stated.
    pub limits: Vec<StatedLimit>,
    /// Backend servers that stated that they leave.
    pub leaving: Vec<StatedLeaving>,
    /// Software versions of backend servers, by name.
    pub software_versions: BTreeMap<String, u64>,
    /// Requests that reached backend servers in pauses that these had asked for.
    pub paused_arrivals: Vec<PausedArrival>,
    /// Times when the prepaid total was written, each with the total in tokens of every account.
    pub prepaid: Vec<(u64, u64)>,
    /// Names of the client accounts, indexed by [`SentRequest::account`].
    pub accounts: Vec<&'static str>,
    /// When all faults had ended.
    pub faults_cleared_ms: u64,
}

/// Returns a description of every breach of a promise; empty if all were kept.
pub fn check(record: &Record) -> Vec<String> {
    let requests_by_id: BTreeMap<&str, &SentRequest> = record
        .requests
        .iter()
        .map(|sent| (&*sent.id, sent))
        .collect();
    let mut execution_counts: BTreeMap<&str, u32> = BTreeMap::new();
    for execution in &record.executions {
        *execution_counts.entry(&*execution.id).or_default() += 1;
    }
    let mut breaches = Vec::new();
    for sent in &record.requests {
        breaches.extend(check_request(
            sent,
            execution_counts.get(&*sent.id).copied().unwrap_or(0),
        ));
        breaches.extend(check_lost_request(
            record,
            sent,
            execution_counts.contains_key(&*sent.id),
        ));
        breaches.extend(check_config_applied(record, sent));
    }
    for execution in &record.executions {
        breaches.extend(check_execution(
            record,
            execution,
            requests_by_id.get(&*execution.id).copied(),
        ));
    }
    breaches.extend(check_crashes(record, &requests_by_id));
    for limit in &record.limits {
        breaches.extend(check_stated_limit(record, limit, &requests_by_id));
    }
    for leaving in &record.leaving {
        let breach = stated::check_leaving(record, leaving, &requests_by_id, &execution_counts);
        breaches.extend(breach);
    }
    breaches.extend(stated::check_pauses(record, &requests_by_id));
    breaches.extend(streams::check_versions(record));
    breaches.extend(check_spending(record, &execution_counts));
    breaches.extend(check_config_rollback(record));
    breaches.extend(check_recovery(record));
    breaches.extend(partition::check(record));
    breaches
}

/// Checks that the response is correct, and that a non-idempotent request ran at most once, and not
/// at all if it was refused.
fn check_request(sent: &SentRequest, execution_count: u32) -> Option<String> {
    let SentRequest { id, kind, .. } = sent;
    if let Outcome::Wrong(detail) = &sent.outcome {
        return Some(format!("{id} received a wrong response: {detail}"));
    }
    if kind.is_idempotent() {
        return None;
    }
    if execution_count > 1 {
        return Some(format!("{id} ({kind:?}) ran {execution_count} times"));
    }
    match sent.outcome {
        Outcome::Status(status @ (408 | 421 | 429 | 503)) if execution_count > 0 => Some(format!(
            "{id} ({kind:?}) ran and was refused with status {status}"
        )),
        _ => None,
    }
}

/// Checks that a client sent the request, that it ran for the account of the request without the
/// client's key, and that its backend server had been neither drained nor removed.
fn check_execution(
    record: &Record,
    execution: &Execution,
    sent: Option<&SentRequest>,
) -> Option<String> {
    let id = &execution.id;
    let Some(sent) = sent else {
        return Some(format!("{id} ran, but no client sent it"));
    };
    if execution.has_credential || execution.account != record.accounts[sent.account] {
        return Some(format!(
            "{id} ran for account {:?}, client key forwarded: {}",
            execution.account, execution.has_credential
        ));
    }
    let drained = record
        .draining
        .iter()
        .find(|drain| drain.server == execution.expected_server);
    let is_late = drained.is_some_and(|drain| {
        execution.at_ms > drain.at_ms + bounds::DRAIN_MS + SLACK_MS
            && is_undisrupted(record, sent.router, sent.at_ms, execution.at_ms)
            && !is_held_up(record, (sent.router, drain.backend), execution.at_ms)
    });
    is_late.then(|| {
        format!(
            "{id} reached {} later than 2 s after its drain or removal",
            execution.expected_server
        )
    })
}

/// Returns whether the link from a router to a backend server failed in the [`bounds::CONTACT_MS`]
/// before `at_ms`: a request that was sent in time may then arrive late.
fn is_held_up(record: &Record, (router, backend): (usize, usize), at_ms: u64) -> bool {
    let from_ms = at_ms.saturating_sub(bounds::CONTACT_MS);
    record.steps.iter().any(|step| {
        let affects = match step.fault {
            Fault::BackendLink(failed, _) => failed == backend,
            fault => fault.partitions(router),
        };
        affects && step.at_ms <= at_ms && step.at_ms + step.duration_ms >= from_ms
    })
}

/// Returns whether no fault disrupted the router or the store between `from_ms`, less
/// [`bounds::CONTACT_MS`], and `to_ms`.
pub(crate) fn is_undisrupted(record: &Record, router: usize, from_ms: u64, to_ms: u64) -> bool {
    let from_ms = from_ms.saturating_sub(bounds::CONTACT_MS);
    let overlaps = |step: &&Step| step.at_ms <= to_ms && step.at_ms + step.duration_ms >= from_ms;
    let mut steps = record.steps.iter().filter(overlaps);
    !steps.any(|step| step.fault.disrupts(router))
}

/// Checks that a request that ran, or that its router had read, got a response.
///
/// A router responds whatever happens to the store and the backend servers, so that only a fault of
/// the router itself excuses that no byte arrived. Any fault excuses a response that ended early,
/// except planned maintenance.
fn check_lost_request(record: &Record, sent: &SentRequest, has_run: bool) -> Option<String> {
    let is_excused: fn(&Fault, usize) -> bool = match sent.outcome {
        Outcome::Incomplete if has_run => |fault, _| !fault.is_planned(),
        Outcome::Unanswered if has_run => Fault::interrupts,
        Outcome::Dropped => Fault::interrupts,
        _ => return None,
    };
    let from_ms = sent.at_ms.saturating_sub(bounds::CONTACT_MS);
    let overlaps =
        |step: &&Step| step.at_ms <= sent.end_ms && step.at_ms + step.duration_ms >= from_ms;
    let mut steps = record.steps.iter().filter(overlaps);
    let is_excused = steps.any(|step| is_excused(&step.fault, sent.router));
    (!is_excused).then(|| {
        let SentRequest { id, router, .. } = sent;
        format!("{id} was lost at router {router}: {:?}", sent.outcome)
    })
}

/// Checks that at most [`MAX_LATE_EXECUTIONS`] requests with the cause of [`PART_CRASHES`] or
/// [`REQUEST_CRASHES`] crashes are sent later than [`bounds::CONTACT_MS`] after the last of these, by
/// routers with no recent disruption.
fn check_crashes(record: &Record, requests_by_id: &BTreeMap<&str, &SentRequest>) -> Vec<String> {
    let mut causes: Vec<&Cause> = Vec::new();
    for (cause, _) in &record.crashes {
        if !causes.contains(&cause) {
            causes.push(cause);
        }
    }
    let breaches = causes.into_iter().filter_map(|cause| {
        let (counted, name) = match cause {
            Cause::Part(part) => (PART_CRASHES, format!("prompt part {part:x}")),
            Cause::Request(Content { method, target, .. }) => {
                (REQUEST_CRASHES, format!("content {method} {target}"))
            }
        };
        let crashes = record.crashes.iter().filter(|(other, _)| other == cause);
        let (_, counted_ms) = crashes.clone().nth(counted - 1)?;
        let from_ms = counted_ms + bounds::CONTACT_MS + SLACK_MS;
        let late = record.executions.iter().filter(|execution| {
            let sent = requests_by_id.get(&*execution.id);
            execution.at_ms > from_ms
                && sent.is_some_and(|sent| {
                    has_cause(sent, cause)
                        && is_undisrupted(record, sent.router, execution.at_ms, execution.at_ms)
                })
        });
        let (late, crashes) = (late.count(), crashes.count());
        (late > MAX_LATE_EXECUTIONS)
            .then(|| format!("{late} requests with {name} ran after {crashes} crashes under it"))
    });
    breaches.collect()
}

/// Returns whether a server crashes under the request from this cause.
fn has_cause(sent: &SentRequest, cause: &Cause) -> bool {
    match cause {
        Cause::Part(part) => sent.prompt_parts.contains(part),
        Cause::Request(content) => sent.content == *content,
    }
}

/// Checks that a server which states a limit receives at most one and a half times what it allows in
/// [`LIMIT_WINDOW_MS`], plus [`LIMIT_SLACK`], from routers that it had told and that no fault
/// disrupted recently.
fn check_stated_limit(
    record: &Record,
    limit: &StatedLimit,
    requests_by_id: &BTreeMap<&str, &SentRequest>,
) -> Option<String> {
    let span_ms = limit.from_ms..=limit.to_ms;
    let at_server = record.executions.iter().filter(|execution| {
        execution.expected_server == limit.server && span_ms.contains(&execution.at_ms)
    });
    let sent = at_server.filter_map(|execution| {
        let sent = requests_by_id.get(&*execution.id)?;
        Some((execution.at_ms, *sent))
    });
    let mut told_ms: BTreeMap<(usize, u64), u64> = BTreeMap::new();
    for (_, sent) in sent.clone() {
        let told_ms = told_ms.entry((sent.router, sent.incarnation));
        let told_ms = told_ms.or_insert(sent.end_ms);
        *told_ms = (*told_ms).min(sent.end_ms);
    }
    let counted = sent.filter(|(at_ms, sent)| {
        let told_ms = told_ms[&(sent.router, sent.incarnation)];
        *at_ms >= told_ms + TOLD_MS
            && *at_ms >= limit.from_ms + bounds::CONTACT_MS
            && is_undisrupted(record, sent.router, *at_ms, *at_ms)
    });
    let counted_ms: Vec<u64> = counted.map(|(at_ms, _)| at_ms).collect();
    let windows = counted_ms.iter().map(|from_ms| {
        let window = *from_ms..from_ms + LIMIT_WINDOW_MS;
        counted_ms
            .iter()
            .filter(|at_ms| window.contains(at_ms))
            .count()
    });
    let most = windows.max().unwrap_or(0);
    let allowed = 1.5 * limit.limit_per_s * LIMIT_WINDOW_MS as f64 / 1_000.0 + LIMIT_SLACK;
    (most as f64 > allowed).then(|| {
        let StatedLimit {
            server,
            limit_per_s,
            ..
        } = limit;
        format!("{server} stated a limit of {limit_per_s}/s and received {most} requests in 4 s")
    })
}

/// Checks that a router with no recent disruption applies a version within
/// [`bounds::CONFIG_APPLY_MS`].
fn check_config_applied(record: &Record, sent: &SentRequest) -> Option<String> {
    if sent.kind != Kind::Probe || sent.outcome != Outcome::Status(404) {
        return None;
    }
    let (_, written_ms) = record
        .versions
        .iter()
        .find(|(version, _)| *version == sent.version)?;
    // The next version removes the probe's route, so that 404 is expected from then on.
    let next = record
        .versions
        .iter()
        .find(|(version, _)| *version > sent.version);
    if next.is_some_and(|(_, at_ms)| *at_ms <= sent.end_ms) {
        return None;
    }
    let is_late = sent.at_ms > written_ms + bounds::CONFIG_APPLY_MS
        && is_undisrupted(record, sent.router, sent.at_ms, sent.end_ms);
    is_late.then(|| {
        format!(
            "router {} has not applied version {}, written at {written_ms} ms, at {} ms",
            sent.router, sent.version, sent.at_ms
        )
    })
}

/// Checks that an incarnation that has applied a version does not return to an older one.
fn check_config_rollback(record: &Record) -> Vec<String> {
    let mut first_seen: BTreeMap<(usize, u64, u64), u64> = BTreeMap::new();
    for sent in record
        .requests
        .iter()
        .filter(|sent| sent.kind == Kind::Probe)
    {
        if matches!(sent.outcome, Outcome::Status(200)) {
            let key = (sent.router, sent.incarnation, sent.version);
            let at_ms = first_seen.entry(key).or_insert(sent.end_ms);
            *at_ms = (*at_ms).min(sent.end_ms);
        }
    }
    let is_newest = |sent: &SentRequest| {
        let next = record
            .versions
            .iter()
            .find(|(version, _)| *version > sent.version);
        next.is_none_or(|(_, at_ms)| *at_ms > sent.end_ms)
    };
    let is_rollback = |sent: &&SentRequest| {
        let key = (sent.router, sent.incarnation, sent.version);
        let seen_ms = first_seen.get(&key);
        sent.outcome == Outcome::Status(404)
            && seen_ms.is_some_and(|seen_ms| sent.at_ms > seen_ms + ROLLBACK_SLACK_MS)
            && is_newest(sent)
    };
    let probes = record
        .requests
        .iter()
        .filter(|sent| sent.kind == Kind::Probe);
    let rollbacks = probes.filter(is_rollback);
    rollbacks
        .map(|sent| {
            format!(
                "router {} returned to a version older than {}",
                sent.router, sent.version
            )
        })
        .collect()
}

/// Checks that no account spent more than was prepaid at any time.
///
/// Counted are the prompt of each request that ran, once, and the events that its client received.
/// Only requests that ended before a top-up count against the total that the top-up replaced.
fn check_spending(record: &Record, execution_counts: &BTreeMap<&str, u32>) -> Vec<String> {
    let ends = record.prepaid.iter().skip(1).map(|(at_ms, _)| *at_ms);
    let spans = record.prepaid.iter().zip(ends.chain([u64::MAX]));
    let mut breaches = Vec::new();
    for ((_, prepaid_tokens), end_ms) in spans {
        let mut spent = vec![0; record.accounts.len()];
        for sent in record.requests.iter().filter(|sent| sent.end_ms < end_ms) {
            let prompt_tokens = match execution_counts.contains_key(&*sent.id) {
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

/// Checks that at least half of the requests sent [`bounds::RECOVER_MS`] after the last fault are
/// served.
fn check_recovery(record: &Record) -> Option<String> {
    let is_due = |sent: &&SentRequest| sent.at_ms > record.faults_cleared_ms + bounds::RECOVER_MS;
    let due: Vec<_> = record.requests.iter().filter(is_due).collect();
    let served = due
        .iter()
        .filter(|sent| sent.outcome == Outcome::Status(200));
    let served = served.count();
    let by_router: BTreeSet<usize> = due.iter().map(|sent| sent.router).collect();
    (!due.is_empty() && served * 2 < due.len()).then(|| {
        format!(
            "{served} of {} requests to {} routers served after the recovery period",
            due.len(),
            by_router.len()
        )
    })
}
