//! Checks that routers keep to what backend servers state about themselves: that they leave, and for
//! how long they want no request.

use std::collections::BTreeMap;

use peridotrack_standin::hosted::{client::Outcome, deployment::bounds};

use crate::{
    check::{Execution, Record, SentRequest},
    schedule::Fault,
};

/// Time after its refusal in which requests may still reach a server that asks for a pause, in
/// milliseconds.
const PAUSE_TOLERANCE_MS: u64 = 500;
/// Requests of one router that may reach the server during the rest of the pause.
const ALLOWED_IN_PAUSE: usize = 2;

/// A server that states that it leaves, while its entry says that it is ready.
#[derive(Debug, Clone)]
pub struct StatedLeaving {
    /// Name of the server.
    pub server: String,
    /// When it first stated it, in milliseconds since the start of the run.
    pub from_ms: u64,
}

/// A request that a server refused because it wants none for a time.
#[derive(Debug, Clone)]
pub struct PausedArrival {
    /// Identifier of the request.
    pub id: String,
    /// Name of the server that the router addressed; one that starts anew has not asked for a pause.
    pub server: String,
    /// Index of the server, through all its incarnations.
    pub backend: usize,
    /// When the request arrived, in milliseconds since the start of the run.
    pub at_ms: u64,
    /// End of the pause that the refusal states, in milliseconds since the start of the run.
    pub until_ms: u64,
}

/// One process of a router: its index and its incarnation.
type Process = (usize, u64);

/// Checks that no router sends a request which a client sent later than [`bounds::DRAIN_MS`] after
/// the router had passed on a response in which the server states that it leaves.
///
/// A process that starts after others were told has to be told itself. The server does not state it
/// any more once it is registered under another name; [`Record::draining`] has the removal.
pub(crate) fn check_leaving(
    record: &Record,
    leaving: &StatedLeaving,
    requests_by_id: &BTreeMap<&str, &SentRequest>,
    execution_counts: &BTreeMap<&str, u32>,
) -> Option<String> {
    let at_server = record.executions.iter().filter(|execution| {
        execution.expected_server == leaving.server && execution.at_ms >= leaving.from_ms
    });
    let sent: Vec<(&Execution, &SentRequest)> = at_server
        .filter_map(|execution| Some((execution, *requests_by_id.get(&*execution.id)?)))
        .collect();
    let mut told_ms: BTreeMap<Process, u64> = BTreeMap::new();
    let is_passed_on = |(execution, sent): &&(&Execution, &SentRequest)| {
        execution.states_leaving
            && sent.outcome == Outcome::Status(200)
            && execution_counts.get(&*sent.id) == Some(&1)
    };
    for (_, sent) in sent.iter().filter(is_passed_on) {
        let told_ms = told_ms.entry((sent.router, sent.incarnation));
        let told_ms = told_ms.or_insert(sent.end_ms);
        *told_ms = (*told_ms).min(sent.end_ms);
    }
    let is_late = |(_, sent): &&(&Execution, &SentRequest)| {
        let told_ms = told_ms.get(&(sent.router, sent.incarnation));
        told_ms.is_some_and(|told_ms| sent.at_ms > told_ms + bounds::DRAIN_MS)
    };
    let late = sent.iter().filter(is_late).count();
    (late > 0).then(|| {
        let server = &leaving.server;
        format!("{server} stated that it leaves and received {late} requests later than 2 s after")
    })
}

/// Checks that at most [`ALLOWED_IN_PAUSE`] requests of a router reach a server between
/// [`PAUSE_TOLERANCE_MS`] after it has refused one with a pause and the end of the pause.
pub(crate) fn check_pauses(
    record: &Record,
    requests_by_id: &BTreeMap<&str, &SentRequest>,
) -> Vec<String> {
    let mut arrivals: BTreeMap<(Process, &str), Vec<&PausedArrival>> = BTreeMap::new();
    for arrival in &record.paused_arrivals {
        if let Some(sent) = requests_by_id.get(&*arrival.id) {
            let process = (sent.router, sent.incarnation);
            let key = (process, &*arrival.server);
            arrivals.entry(key).or_default().push(arrival);
        }
    }
    let mut breaches = Vec::new();
    for (((router, _), server), arrivals) in arrivals {
        for first in &arrivals {
            let window_ms = first.at_ms + PAUSE_TOLERANCE_MS..first.until_ms;
            let is_within = |arrival: &&&PausedArrival| window_ms.contains(&arrival.at_ms);
            let count = arrivals.iter().filter(is_within).count();
            if count > ALLOWED_IN_PAUSE && !is_excused(record, router, first) {
                breaches.push(format!(
                    "{server} received {count} requests of router {router} in a pause that it had \
                     asked for at {} ms",
                    first.at_ms
                ));
                break;
            }
        }
    }
    breaches
}

/// Returns whether a fault may have kept the refusal from the router, or held up requests that the
/// router had sent before.
fn is_excused(record: &Record, router: usize, refusal: &PausedArrival) -> bool {
    record.steps.iter().any(|step| {
        let affects = match step.fault {
            Fault::BackendLink(affected, _) => affected == refusal.backend,
            fault => fault.interrupts(router) || fault.partitions(router),
        };
        affects
            && step.at_ms <= refusal.until_ms
            && step.at_ms + step.duration_ms + bounds::CONTACT_MS >= refusal.at_ms
    })
}
