//! Hedges: when a second attempt is begun, what it costs, and how either attempt ends.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use peridotrack_route::{
    event::{Action, Event, Outcome},
    hedge::{Allowance, Denial, Hedges},
    options::Options,
    router::Router,
};
use peridotrack_types::name;
use rstest::rstest;
use support::*;

const MS_US: u64 = 1_000;
/// Time to the first event of a server that is not slow, before noise.
const FAST_US: u64 = 100 * MS_US;
/// Time to the first event of a slow server, before noise.
const SLOW_US: u64 = 1_000 * MS_US;
const RATIO: f64 = 0.02;
/// Share of the time for which each server is in a slow spell. Placement avoids a part of the spells;
/// the rest makes more than 1% of the requests slow.
const SPELL_SHARE: f64 = 0.035;

/// What happens next in a simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Tick,
    Arrival,
    HedgeDue(u64),
    Answer { sequence: u64, is_second: bool },
}

#[derive(Debug, Default)]
struct Result {
    /// Time from offer to first event of each request, in microseconds.
    first_us: Vec<u64>,
    /// When each hedge was sent, in microseconds.
    hedges_us: Vec<u64>,
    won: usize,
    /// Number of requests that were due and got no hedge, by reason.
    denied: BTreeMap<String, usize>,
}

impl Result {
    fn percentile_99_us(&mut self) -> u64 {
        self.first_us.sort_unstable();
        self.first_us[self.first_us.len() * 99 / 100]
    }
}

fn hedging_router(engines: usize, slots: u32, ratio: f64) -> Router {
    let options = Options {
        hedge_ratio: ratio,
        ..Options::default()
    };
    let mut router = Router::new(options, "domain-0".into(), 1, 0);
    router.configure(0, &register(engines, 0, slots), &rules(64));
    router
}

/// Runs `end_us` of traffic on 16 engines; `is_slow` states whether a request that a server begins
/// at a time is slow.
fn simulate(
    ratio: f64,
    seed: u64,
    interval_us: u64,
    end_us: u64,
    mut is_slow: impl FnMut(&name::BackendServer, u64) -> bool,
) -> Result {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut router = hedging_router(16, 16, ratio);
    let mut agenda = BTreeSet::from([(0, Next::Tick), (0, Next::Arrival)]);
    let mut offered_us = BTreeMap::new();
    let mut result = Result::default();
    let mut sequence = 0;
    while let Some((now_us, next)) = agenda.pop_first() {
        let mut service_us = |backend: &name::BackendServer| {
            let mean_us = if is_slow(backend, now_us) {
                SLOW_US
            } else {
                FAST_US
            };
            (mean_us as f64 * (0.8 + 0.4 * rng.f64())) as u64
        };
        let actions = match next {
            Next::Tick if now_us < end_us => {
                agenda.insert((now_us + 50 * MS_US, Next::Tick));
                router.on_event(now_us, Event::Tick)
            }
            Next::Arrival if now_us < end_us => {
                agenda.insert((now_us + interval_us, Next::Arrival));
                sequence += 1;
                offered_us.insert(sequence, now_us);
                let mut offer = offer(sequence);
                offer.deadline_us = now_us + 60 * SECOND_US;
                router.offer(now_us, offer)
            }
            Next::Tick | Next::Arrival => Vec::new(),
            Next::HedgeDue(sequence) => {
                let decision = router.hedge(now_us, request(sequence));
                if let Err(denial) = decision
                    && offered_us.contains_key(&sequence)
                {
                    *result.denied.entry(format!("{denial:?}")).or_insert(0) += 1;
                }
                if let Ok(hedge) = decision {
                    let request_id = request(sequence);
                    router.on_event(now_us, Event::SecondSent { request_id });
                    result.hedges_us.push(now_us);
                    let answer = Next::Answer {
                        sequence,
                        is_second: true,
                    };
                    agenda.insert((now_us + service_us(&hedge.backend), answer));
                }
                Vec::new()
            }
            Next::Answer {
                sequence,
                is_second,
            } => {
                let request_id = request(sequence);
                let Some(offered_us) = offered_us.remove(&sequence) else {
                    continue;
                };
                if is_second {
                    result.won += 1;
                    router.on_event(now_us, Event::SecondWon { request_id });
                }
                result.first_us.push(now_us - offered_us);
                router.on_event(now_us, Event::FirstToken { request_id });
                finish(&mut router, now_us, sequence, Outcome::Done)
            }
        };
        for action in actions {
            let Action::Dispatch {
                request_id,
                backend,
                ..
            } = action
            else {
                continue;
            };
            let sequence = request_id.sequence;
            sent(&mut router, now_us, sequence);
            let answer = Next::Answer {
                sequence,
                is_second: false,
            };
            agenda.insert((now_us + service_us(&backend), answer));
            if let Some(due_us) = router.hedge_due_us(request_id) {
                agenda.insert((due_us, Next::HedgeDue(sequence)));
            }
        }
    }
    let report = router.status(end_us + 10 * SECOND_US);
    let in_flight: u32 = report
        .backend_servers
        .iter()
        .map(|server| server.in_flight_requests)
        .sum();
    assert_eq!(in_flight, 0, "load of ended attempts is released");
    assert_eq!(router.open_requests(), 0);
    result
}

/// Returns whether a server is in a slow spell: 300 ms long, at times that differ by server.
fn in_spell(seed: u64, backend: &name::BackendServer, now_us: u64) -> bool {
    let spell = now_us / (300 * MS_US);
    let number: u64 = backend.as_str()["engine-".len()..].parse().unwrap();
    let hash = fastrand::Rng::with_seed(seed ^ (spell << 8) ^ number).f64();
    hash < SPELL_SHARE
}

/// Guards against hedges that come too late, or that the ratio denies to the slow requests because
/// it is spent on others.
#[rstest]
fn slow_spells_no_longer_decide_the_99th_percentile(#[values(1, 2, 3)] seed: u64) {
    let run = |ratio| {
        simulate(
            ratio,
            seed,
            4 * MS_US,
            120 * SECOND_US,
            |backend, now_us| in_spell(seed, backend, now_us),
        )
    };
    let (mut before, mut after) = (run(0.0), run(RATIO));
    let (before_us, after_us) = (before.percentile_99_us(), after.percentile_99_us());
    let extra = after.hedges_us.len() as f64 / after.first_us.len() as f64;
    println!(
        "seed {seed}: p99 {before_us} -> {after_us} us, extra work {extra:.4}, won {}, denied {:?}",
        after.won, after.denied
    );
    assert!(before.hedges_us.is_empty());
    assert!(before_us >= SLOW_US * 8 / 10, "{before_us}");
    assert!(after_us * 2 <= before_us, "{before_us} -> {after_us}");
    assert!(extra <= RATIO, "{extra}");
    assert!(after.won > 0);
}

/// Guards against extra work that helps nobody: from a moment on, every server is slow.
#[rstest]
fn nothing_is_hedged_when_all_servers_become_slow(#[values(1, 2, 3)] seed: u64) {
    const CHANGE_US: u64 = 60 * SECOND_US;
    let result = simulate(RATIO, seed, 10 * MS_US, 180 * SECOND_US, |_, now_us| {
        now_us >= CHANGE_US
    });
    assert!(result.hedges_us.is_empty(), "{:?}", result.hedges_us);
}

/// Guards against a sum over the fleet that exceeds the ratio because its parts do not hear of each
/// other, or because traffic moves between them.
#[rstest]
fn the_ratio_holds_over_78_routers_in_three_parts(#[values(1, 2, 3)] seed: u64) {
    const SECONDS: usize = 120;
    const WINDOW: usize = 10;
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut fleet = vec![Allowance::new(RATIO); 78];
    // Requests, their tokens, hedges and their tokens of each second.
    let mut counts = vec![[0u64; 4]; SECONDS];
    for (second, count) in counts.iter_mut().enumerate() {
        // The traffic of the three parts moves from one to the next every 20 s.
        let busy = second / 20 % 3;
        for (number, allowance) in fleet.iter_mut().enumerate() {
            let requests = if number % 3 == busy {
                60
            } else {
                rng.usize(..6)
            };
            for request in 0..requests {
                let now_us = (second as u64) * SECOND_US + request as u64 * 10 * MS_US;
                let tokens = rng.u64(1..20_000);
                allowance.on_request(now_us, tokens);
                count[0] += 1;
                count[1] += tokens;
                if rng.f64() < 0.5 && allowance.allows(now_us, tokens) {
                    allowance.take(now_us, tokens);
                    count[2] += 1;
                    count[3] += tokens;
                }
            }
        }
    }
    let sum = |range: &[[u64; 4]], column: usize| -> f64 {
        range.iter().map(|count| count[column] as f64).sum()
    };
    assert!(sum(&counts, 2) > 0.0);
    for range in counts.windows(WINDOW) {
        assert!(sum(range, 2) <= sum(range, 0) * RATIO, "{range:?}");
        assert!(sum(range, 3) <= sum(range, 1) * RATIO, "{range:?}");
    }
}

/// Returns a router that knows the times to the first event and has dispatched request 1,000, which
/// a later request has overtaken, with the time at which its hedge is due.
fn overdue(options: Options, change: impl FnOnce(&mut Router) -> Vec<Action>) -> (Router, u64) {
    let mut router = Router::new(options, "domain-0".into(), 1, 0);
    router.configure(0, &register(4, 0, 8), &rules(64));
    for sequence in 1..=100 {
        let now_us = sequence * 2 * FAST_US;
        router.offer(now_us, offer(sequence));
        sent(&mut router, now_us, sequence);
        finish(&mut router, now_us + FAST_US, sequence, Outcome::Done);
    }
    let begin_us = 30 * SECOND_US;
    change(&mut router);
    sent(&mut router, begin_us, 1_000);
    router.offer(begin_us + MS_US, offer(1_001));
    sent(&mut router, begin_us + MS_US, 1_001);
    let answer_us = begin_us + FAST_US + MS_US;
    finish(&mut router, answer_us, 1_001, Outcome::Done);
    (router, begin_us + 2 * FAST_US)
}

fn options() -> Options {
    Options {
        hedge_ratio: 0.5,
        retry_ratio: 0.5,
        ..Options::default()
    }
}

fn offer_at_begin(idempotent: bool, attempts: u32) -> impl FnOnce(&mut Router) -> Vec<Action> {
    move |router| {
        let mut offer = offer(1_000);
        offer.idempotent = idempotent;
        offer.max_dispatches = Some(attempts);
        // Recent requests, of which the ratio allows a share.
        for sequence in 1_100..1_110 {
            let now_us = 30 * SECOND_US - 2 * FAST_US;
            router.offer(now_us, support::offer(sequence));
            sent(router, now_us, sequence);
            finish(router, now_us + FAST_US, sequence, Outcome::Done);
        }
        router.offer(30 * SECOND_US, offer)
    }
}

/// Guards against a second attempt of a request that may run only once, and against one beyond a
/// limit.
#[rstest]
#[case::allowed(options(), true, 3, None)]
#[case::may_run_only_once(options(), false, 3, Some(Denial::Ineligible))]
#[case::off(Options { hedge_ratio: 0.0, ..options() }, true, 3, Some(Denial::Ineligible))]
#[case::attempts(options(), true, 1, Some(Denial::Attempts))]
#[case::ratio(Options { hedge_ratio: 0.01, ..options() }, true, 3, Some(Denial::Ratio))]
#[case::retry_budget(
    Options { retry_ratio: 0.0, min_retries: 0.0, ..options() },
    true, 3, Some(Denial::RetryBudget)
)]
fn a_hedge_is_begun_only_within_the_limits(
    #[case] options: Options,
    #[case] idempotent: bool,
    #[case] attempts: u32,
    #[case] denial: Option<Denial>,
) {
    let (mut router, due_us) = overdue(options, offer_at_begin(idempotent, attempts));
    let result = router.hedge(due_us, request(1_000));
    assert_eq!(result.as_ref().err().copied(), denial, "{result:?}");
}

#[test]
fn a_hedge_is_not_begun_before_it_is_due_and_only_once() {
    let (mut router, due_us) = overdue(options(), offer_at_begin(true, 3));
    let id = request(1_000);
    assert_eq!(router.hedge_due_us(id), Some(due_us));
    assert_eq!(router.hedge(due_us - 1, id), Err(Denial::NotDue));
    let hedge = router.hedge(due_us, id).unwrap();
    assert_eq!((hedge.attempt, hedge.delay_us), (2, 2 * FAST_US));
    assert_eq!(router.hedge(due_us, id), Err(Denial::Ineligible));
}

/// Guards against hedges that take the room of requests that wait.
#[test]
fn nothing_is_hedged_while_requests_wait() {
    let (mut router, due_us) = overdue(options(), offer_at_begin(true, 3));
    for sequence in 2_000..2_040 {
        router.offer(due_us, offer(sequence));
    }
    assert_eq!(router.hedge(due_us, request(1_000)), Err(Denial::Overload));
}

/// The second attempt goes to another server, and either one's end leaves the other running.
#[rstest]
#[case::second_fails(Outcome::Broken { sent: true, events_seen: 0 })]
#[case::second_refused(Outcome::RefusedNotRun)]
#[case::second_not_connected(Outcome::ConnectFailed)]
fn the_first_attempt_goes_on_when_the_hedge_fails(#[case] outcome: Outcome) {
    let mut first = None;
    let (mut router, due_us) = overdue(options(), |router| {
        let actions = offer_at_begin(true, 3)(router);
        first = dispatched(&actions);
        actions
    });
    let request_id = request(1_000);
    let hedge = router.hedge(due_us, request_id).unwrap();
    assert_ne!(Some(hedge.backend), first);
    router.on_event(due_us, Event::SecondSent { request_id });
    let event = Event::SecondFinished {
        request_id,
        outcome,
    };
    let actions = router.on_event(due_us, event);
    assert_eq!(dispatched(&actions), None);
    assert!(router.may_send(due_us, request_id));
    finish(&mut router, due_us, 1_000, Outcome::Done);
    assert_eq!(in_flight(&router, due_us), 0);
}

/// Guards against a third attempt: the hedge is the retry of the first attempt.
#[test]
fn a_failure_of_the_first_attempt_starts_no_third_one() {
    let (mut router, due_us) = overdue(options(), offer_at_begin(true, 3));
    let request_id = request(1_000);
    router.hedge(due_us, request_id).unwrap();
    let failure = Outcome::Broken {
        sent: true,
        events_seen: 0,
    };
    assert_eq!(finish(&mut router, due_us, 1_000, failure), []);
    assert_eq!(in_flight(&router, due_us), 1);
    finish(&mut router, due_us, 1_000, Outcome::Done);
    assert_eq!(in_flight(&router, due_us), 0);
}

/// Guards against load that stays counted at the second server when the client leaves.
#[test]
fn both_attempts_end_when_the_request_is_cancelled() {
    let (mut router, due_us) = overdue(options(), offer_at_begin(true, 3));
    router.hedge(due_us, request(1_000)).unwrap();
    assert_eq!(in_flight(&router, due_us), 2);
    router.cancel(due_us, request(1_000));
    assert_eq!(in_flight(&router, due_us), 0);
}

fn in_flight(router: &Router, now_us: u64) -> u32 {
    let report = router.status(now_us);
    let servers = report.backend_servers.iter();
    servers.map(|server| server.in_flight_requests).sum()
}

/// Guards against a delay that falls with each hedge that wins, because the time of the attempt
/// that was cancelled is missing among the recent ones.
#[test]
fn cancelled_attempts_count_in_the_delay() {
    let mut hedges = Hedges::new(0.02).unwrap();
    for number in 0..100 {
        let now_us = number * FAST_US;
        match number % 20 {
            0 => hedges.on_abandoned(now_us + 5 * FAST_US, 100, now_us),
            _ => hedges.on_answer(now_us + FAST_US, 100, now_us),
        }
    }
    assert_eq!(hedges.delay_us(100 * FAST_US, 100), Some(5 * FAST_US));
    assert_eq!(
        hedges.delay_us(100 * FAST_US, 100_000),
        None,
        "another class"
    );
    let later_us = 200 * SECOND_US;
    assert_eq!(hedges.delay_us(later_us, 100), None, "the times are old");
}
