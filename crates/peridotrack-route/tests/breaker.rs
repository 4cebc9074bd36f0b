//! Circuit breaker: opening, probes and flap damping.

use peridotrack_route::{
    breaker::{Breaker, Change, Sample, State},
    options::Options,
};
use rstest::rstest;

const SECOND_US: u64 = 1_000_000;
const HALF: f64 = 0.5;

#[rstest]
#[case::refused_connections(&[Sample::ConnectFailure; 2], true)]
#[case::single_refused_connection(&[Sample::ConnectFailure], false)]
#[case::broken(&[Sample::Failure; 5], true)]
#[case::too_few_broken(&[Sample::Failure; 4], false)]
#[case::success_between(
    &[Sample::ConnectFailure, Sample::Success, Sample::ConnectFailure], false
)]
#[case::cancelled(&[Sample::Neutral; 50], false)]
fn breaker_opens_after_consecutive_failures(#[case] samples: &[Sample], #[case] expected: bool) {
    let options = Options {
        breaker_connect_failures: 2,
        breaker_failures: 5,
        ..Options::default()
    };
    let mut breaker = Breaker::new();
    for &sample in samples {
        breaker.on_sample(0, sample, false, HALF, &options);
    }
    assert_eq!(matches!(breaker.state(0), State::Open { .. }), expected);
    assert_eq!(breaker.allows(0), !expected);
}

fn opened() -> Breaker {
    let mut breaker = Breaker::new();
    breaker.open(0, HALF, &Options::default());
    breaker
}

#[rstest]
fn half_open_breaker_allows_one_probe_at_a_time() {
    let mut breaker = opened();
    assert!(!breaker.allows(SECOND_US - 1));
    assert!(breaker.allows(SECOND_US));
    assert!(breaker.on_dispatch(SECOND_US));
    assert!(!breaker.allows(SECOND_US));
    let options = Options::default();
    let change = breaker.on_sample(SECOND_US, Sample::Neutral, true, HALF, &options);
    assert_eq!(change, Change::None);
    assert!(breaker.allows(SECOND_US));
}

#[rstest]
fn successful_probes_close_the_breaker() {
    let mut breaker = opened();
    let options = Options::default();
    for expected in [Change::None, Change::Closed] {
        breaker.on_dispatch(SECOND_US);
        let change = breaker.on_sample(SECOND_US, Sample::Success, true, HALF, &options);
        assert_eq!(change, expected);
    }
    assert!(breaker.is_closed());
}

#[rstest]
fn outcome_of_an_older_request_is_not_a_probe() {
    let mut breaker = opened();
    let options = Options::default();
    for sample in [Sample::Success, Sample::Success, Sample::Failure] {
        let change = breaker.on_sample(SECOND_US, sample, false, HALF, &options);
        assert_eq!(change, Change::None);
    }
    assert_eq!(breaker.state(SECOND_US), State::HalfOpen);
}

#[rstest]
fn repeated_opening_lengthens_the_open_time() {
    let options = Options::default();
    let mut breaker = Breaker::new();
    let mut now_us = 0;
    let mut open_times_us = Vec::new();
    for _ in 0..12 {
        let Change::Opened { open_us } = breaker.open(now_us, HALF, &options) else {
            panic!("not opened");
        };
        now_us += open_us;
        open_times_us.push(open_us);
    }
    assert!(open_times_us.is_sorted(), "{open_times_us:?}");
    assert!(open_times_us[4] > 8 * open_times_us[0]);
    assert!(
        open_times_us
            .iter()
            .all(|&open_us| open_us <= options.breaker_open_max_us)
    );
    // Without further openings the penalty decays.
    now_us += 10 * options.flap_half_life_us;
    let Change::Opened { open_us } = breaker.open(now_us, HALF, &options) else {
        panic!("not opened");
    };
    assert!(open_us < 2 * options.breaker_open_us);
}

#[rstest]
#[case::open(Sample::ConnectFailure, 0, true)]
#[case::opened_before(Sample::ConnectFailure, 1, false)]
#[case::broken_connections(Sample::Failure, 0, false)]
fn a_breaker_that_explained_connect_failures_opened_closes(
    #[case] sample: Sample,
    #[case] since_us: u64,
    #[case] expected: bool,
) {
    let options = Options {
        breaker_connect_failures: 1,
        breaker_failures: 1,
        ..Options::default()
    };
    let mut breaker = Breaker::new();
    breaker.on_sample(0, sample, false, HALF, &options);
    assert_eq!(breaker.forgive_connect_failures(since_us), expected);
    assert_eq!(breaker.allows(0), expected);
}

/// A probe that fails to connect opens the breaker again; explained failures take back both.
#[rstest]
fn the_penalty_of_explained_connect_failures_is_taken_back() {
    let options = Options {
        breaker_connect_failures: 1,
        ..Options::default()
    };
    let open_us = |breaker: &mut Breaker, now_us| match breaker.on_sample(
        now_us,
        Sample::ConnectFailure,
        false,
        HALF,
        &options,
    ) {
        Change::Opened { open_us } => open_us,
        change => panic!("{change:?}"),
    };
    let mut breaker = Breaker::new();
    let first_us = open_us(&mut breaker, 0);
    assert!(breaker.on_dispatch(first_us));
    breaker.on_sample(first_us, Sample::ConnectFailure, true, HALF, &options);
    assert!(breaker.forgive_connect_failures(0));
    assert_eq!(open_us(&mut breaker, first_us), first_us);
}
