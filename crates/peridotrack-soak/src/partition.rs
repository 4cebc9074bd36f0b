//! Checks that routers which are partitioned from all backend servers serve nearly as many requests as
//! the others.

use peridotrack_standin::hosted::{client::Outcome, deployment::bounds};

use crate::{
    check::{self, Record, SentRequest},
    schedule::{FAILURE_DOMAINS, Fault, Step},
};

/// Requests that may fail at partitioned routers in any case.
const ALLOWED_FAILURES: usize = 10;
/// Requests of which one more may fail there.
const REQUESTS_PER_FAILURE: usize = 50;

#[derive(Debug, Clone, Copy, Default)]
struct Count {
    sent: usize,
    served: usize,
}

impl Count {
    fn add(&mut self, sent: &SentRequest) {
        self.sent += 1;
        self.served += usize::from(sent.outcome == Outcome::Status(200));
    }
}

/// Checks that from [`bounds::CONTACT_MS`] after a partition began until its end, the routers behind it
/// serve requests at least two thirds as often as those that reach the servers, or that few fail.
pub(crate) fn check(record: &Record) -> Vec<String> {
    let partitions = record.steps.iter().filter_map(|step| match step.fault {
        Fault::Partition(domain, _) => Some((domain, step)),
        _ => None,
    });
    let breaches = partitions.filter_map(|(domain, step)| check_one(record, domain, step));
    breaches.collect()
}

fn check_one(record: &Record, domain: usize, step: &Step) -> Option<String> {
    let window_ms = step.at_ms + bounds::CONTACT_MS..step.at_ms + step.duration_ms;
    let (mut cut, mut others) = (Count::default(), Count::default());
    for sent in &record.requests {
        if !window_ms.contains(&sent.at_ms)
            || !is_owed(sent)
            || !check::is_undisrupted(record, sent.router, sent.at_ms, sent.end_ms)
        {
            continue;
        }
        if sent.router % FAILURE_DOMAINS == domain {
            cut.add(sent);
        } else if !is_partitioned(record, sent) {
            others.add(sent);
        }
    }
    let allowed = ALLOWED_FAILURES + (cut.sent + others.sent) / REQUESTS_PER_FAILURE;
    let is_rare = 3 * cut.served * others.sent < 2 * others.served * cut.sent;
    (is_rare && cut.sent - cut.served > allowed).then(|| {
        format!(
            "partitioned routers served {} of {} requests, the others {} of {}, from {} ms",
            cut.served, cut.sent, others.served, others.sent, window_ms.start
        )
    })
}

/// Returns whether the request can be served: its account has tokens, and its route exists.
fn is_owed(sent: &SentRequest) -> bool {
    !matches!(sent.outcome, Outcome::Status(402 | 404))
}

/// Returns whether a partition lay between the router of a request and the servers in the
/// [`bounds::CONTACT_MS`] before it was sent, or until it ended.
fn is_partitioned(record: &Record, sent: &SentRequest) -> bool {
    record.steps.iter().any(|step| {
        step.fault.partitions(sent.router)
            && step.at_ms <= sent.end_ms
            && step.at_ms + step.duration_ms + bounds::CONTACT_MS >= sent.at_ms
    })
}
