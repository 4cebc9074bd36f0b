//! Time of one placement at growing numbers of engines. It depends on the machine and has no bound.

use std::time::Instant;

use peridotrack_route::{
    event::{self, Event, Offer, Outcome, Target},
    options::Options,
    router::Router,
};
use peridotrack_types::{id, rules};

use crate::route::case;

const PLACEMENTS: u64 = 100_000;
/// Rounds per figure. The fastest is reported, because other work on the machine affects it least.
const ROUNDS: usize = 7;
const SLOTS: usize = 16;
const OPEN_REQUESTS: u64 = 64;
const PREFIXES: u64 = 1_000;

/// Prints the nanoseconds per placement for fleets of several sizes, as JSON lines.
///
/// A placement consists of an offer that is dispatched and the end of an earlier request.
pub fn print() {
    for engines in [14, 100, 400, 810] {
        let plain_ns = fastest_ns(engines, false);
        let prefix_ns = fastest_ns(engines, true);
        println!(
            "{{\"measure\":\"placement among {engines} engines\",\
             \"plain_ns\":{plain_ns:.0},\"prefix_ns\":{prefix_ns:.0}}}"
        );
    }
}

fn fastest_ns(engines: usize, with_prefix: bool) -> f64 {
    (0..ROUNDS)
        .map(|_| placement_ns(engines, with_prefix))
        .fold(f64::INFINITY, f64::min)
}

fn placement_ns(engines: usize, with_prefix: bool) -> f64 {
    let register = case::register(engines, SLOTS);
    let mut router = Router::new(Options::default(), "domain-0".into(), 1, 0);
    router.configure(0, &register, &rules::Rules::default());
    let mut rng = fastrand::Rng::with_seed(1);
    let offers: Vec<_> = (0..PLACEMENTS)
        .map(|sequence| offer(sequence, with_prefix.then(|| rng.u64(..PREFIXES))))
        .collect();
    let start = Instant::now();
    for (sequence, offer) in offers.into_iter().enumerate() {
        let sequence = sequence as u64;
        router.offer(sequence, offer);
        if let Some(ended) = sequence.checked_sub(OPEN_REQUESTS) {
            let event = Event::Finished {
                request_id: request_id(ended),
                outcome: Outcome::Done,
            };
            router.on_event(sequence, event);
        }
    }
    start.elapsed().as_nanos() as f64 / PLACEMENTS as f64
}

fn offer(sequence: u64, prefix: Option<u64>) -> Offer {
    Offer {
        request_id: request_id(sequence),
        target: Target::Model(case::MODEL.into()),
        account: format!("account-{}", sequence % 10).into(),
        priority: rules::Priority::Normal,
        prefix_hash: prefix.map(case::hash_prefix),
        size_tokens: 1_000,
        deadline_us: u64::MAX / 2,
        idempotent: true,
        continuation: event::Continuation::default(),
        max_dispatches: None,
        origin: None,
        prompt: None,
    }
}

fn request_id(sequence: u64) -> id::Request {
    id::Request {
        incarnation: id::Incarnation(1),
        sequence,
    }
}
