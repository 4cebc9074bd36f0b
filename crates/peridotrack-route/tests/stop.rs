//! A stopping router begins only requests that it can be expected to finish.

use peridotrack_route::stop::{Durations, Stop};
use proptest::prelude::*;
use rstest::rstest;

const SECOND_US: u64 = 1_000_000;
const STOP: Stop = Stop {
    begun_us: 100 * SECOND_US,
    leave_us: 102 * SECOND_US,
    finish_us: 107 * SECOND_US,
};
const BEFORE_LEAVE_US: u64 = 101 * SECOND_US;
const AFTER_LEAVE_US: u64 = 103 * SECOND_US;
const IN_TIME_US: u64 = STOP.finish_us;
const TOO_LATE_US: u64 = STOP.finish_us + 1;
const SHORT: Option<u64> = Some(SECOND_US);
/// Longer than what is left of the stop before [`STOP`]'s `leave_us`.
const LONG: Option<u64> = Some(7 * SECOND_US);
const UNKNOWN: Option<u64> = None;

#[rstest]
#[case::deadline_in_time(BEFORE_LEAVE_US, IN_TIME_US, LONG, true)]
#[case::deadline_in_time_of_unknown_duration(BEFORE_LEAVE_US, IN_TIME_US, UNKNOWN, true)]
#[case::deadline_in_time_after_leave(AFTER_LEAVE_US, IN_TIME_US, LONG, true)]
#[case::expected_in_time(BEFORE_LEAVE_US, TOO_LATE_US, SHORT, true)]
#[case::expected_exactly_in_time(BEFORE_LEAVE_US, TOO_LATE_US, Some(6 * SECOND_US), true)]
#[case::expected_too_late(BEFORE_LEAVE_US, TOO_LATE_US, Some(6 * SECOND_US + 1), false)]
#[case::unknown_duration(BEFORE_LEAVE_US, TOO_LATE_US, UNKNOWN, false)]
#[case::expected_in_time_at_leave(STOP.leave_us, TOO_LATE_US, SHORT, false)]
#[case::expected_in_time_after_leave(AFTER_LEAVE_US, TOO_LATE_US, SHORT, false)]
#[case::after_the_finish(STOP.finish_us + 1, STOP.finish_us + 2, Some(0), false)]
fn a_request_is_begun_only_if_it_can_end_before_the_stop(
    #[case] now_us: u64,
    #[case] deadline_us: u64,
    #[case] expected_us: Option<u64>,
    #[case] is_admitted: bool,
) {
    let verdict = STOP.judge(now_us, deadline_us, expected_us);
    assert_eq!(verdict.is_admitted, is_admitted);
    assert_eq!(verdict.since_stop_us, now_us - STOP.begun_us);
    assert_eq!(verdict.left_us, STOP.finish_us.saturating_sub(now_us));
    assert_eq!(verdict.expected_us, expected_us);
}

/// Returns the durations of a route after `count` requests of `duration_us` each, one after the
/// other, and when the last one ended.
fn durations_of(count: u64, duration_us: u64) -> (Durations, u64) {
    let mut durations = Durations::default();
    for index in 0..count {
        durations.begin(index * duration_us);
        durations.end(index * duration_us, (index + 1) * duration_us);
    }
    (durations, count * duration_us)
}

#[test]
fn a_route_without_requests_has_no_expected_duration() {
    assert_eq!(Durations::default().expected_us(SECOND_US), None);
}

#[test]
fn equal_durations_are_expected_again() {
    let (durations, now_us) = durations_of(200, SECOND_US);
    let expected_us = durations.expected_us(now_us).unwrap();
    assert!(
        (SECOND_US..SECOND_US * 11 / 10).contains(&expected_us),
        "{expected_us}"
    );
}

/// Guards against an expectation that lags when servers slow down: the age of the open requests
/// counts before any of them ends.
#[test]
fn slowed_servers_raise_the_expected_duration_by_the_age_of_open_requests() {
    let (mut durations, now_us) = durations_of(200, SECOND_US / 10);
    for _ in 0..8 {
        durations.begin(now_us);
    }
    let mut expected_us = durations.expected_us(now_us);
    for age_s in 1..5 {
        let raised_us = durations.expected_us(now_us + age_s * SECOND_US);
        assert_eq!(raised_us, Some(2 * age_s * SECOND_US));
        assert!(raised_us > expected_us);
        expected_us = raised_us;
    }
}

#[test]
fn a_cancelled_request_leaves_the_expected_duration_as_it_was() {
    let (mut durations, now_us) = durations_of(20, SECOND_US);
    let expected_us = durations.expected_us(now_us);
    durations.begin(now_us);
    durations.cancel(now_us);
    assert_eq!(durations.expected_us(now_us + 10 * SECOND_US), expected_us);
}

#[test]
fn open_requests_alone_give_an_expected_duration() {
    let mut durations = Durations::default();
    durations.begin(0);
    durations.begin(2 * SECOND_US);
    let expected_us = durations.expected_us(4 * SECOND_US);
    assert_eq!(expected_us, Some(2 * 3 * SECOND_US), "twice the mean age");
}

#[test]
fn the_expected_duration_recovers_after_one_outlier() {
    let (mut durations, now_us) = durations_of(200, SECOND_US / 10);
    durations.begin(now_us);
    durations.end(now_us, now_us + 10 * SECOND_US);
    let mut now_us = now_us + 10 * SECOND_US;
    let after_outlier_us = (7 * SECOND_US / 10 + 10 * SECOND_US) / 8;
    assert_eq!(durations.expected_us(now_us), Some(after_outlier_us));
    for _ in 0..40 {
        durations.begin(now_us);
        now_us += SECOND_US / 10;
        durations.end(now_us - SECOND_US / 10, now_us);
    }
    let expected_us = durations.expected_us(now_us).unwrap();
    assert!(expected_us < SECOND_US / 2, "{expected_us}");
}

proptest! {
    /// Guards against a request that begins after the router has left the rotation and outlives it.
    #[test]
    fn after_leave_nothing_is_begun_that_may_outlive_the_stop(
        begun_us in 0..SECOND_US,
        leave_us in 0..10 * SECOND_US,
        finish_us in 0..20 * SECOND_US,
        late_us in 0..20 * SECOND_US,
        deadline_us in 0..60 * SECOND_US,
        expected_us in proptest::option::of(0..60 * SECOND_US),
    ) {
        let leave_us = begun_us + leave_us;
        let stop = Stop { begun_us, leave_us, finish_us: leave_us + finish_us };
        let verdict = stop.judge(leave_us + late_us, deadline_us, expected_us);
        prop_assert_eq!(verdict.is_admitted, deadline_us <= stop.finish_us);
    }

    /// Guards against sums of begins and ends that do not cancel out: the estimate of a route
    /// without open requests does not depend on the time.
    #[test]
    fn ended_requests_leave_no_age(
        requests in proptest::collection::vec((0..SECOND_US, 0..SECOND_US), 1..50),
    ) {
        let mut durations = Durations::default();
        for (begun_us, _) in &requests {
            durations.begin(*begun_us);
        }
        for (begun_us, duration_us) in &requests {
            durations.end(*begun_us, begun_us + duration_us);
        }
        let at_end = durations.expected_us(2 * SECOND_US);
        prop_assert_eq!(at_end, durations.expected_us(1_000 * SECOND_US));
        let max_us = requests.iter().map(|(_, duration_us)| duration_us).max();
        prop_assert!(at_end <= max_us.map(|max_us| 5 * max_us));
    }
}
