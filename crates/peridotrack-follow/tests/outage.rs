//! What counts as an outage of the store.

use peridotrack_follow::outage::{Failure, Outages};
use rstest::rstest;

const MS: u64 = 1_000;
const MIN_LENGTH_US: u64 = 2_400 * MS;

fn inconclusive(sent_ms: u64) -> Failure {
    Failure::Inconclusive {
        sent_us: sent_ms * MS,
    }
}

#[test]
fn a_call_without_a_response_is_an_outage() {
    let mut outages = Outages::new(MIN_LENGTH_US);
    outages.on_response(1_000 * MS);
    outages.on_failure(1_100 * MS, Failure::Unavailable);
    outages.on_response(1_200 * MS);
    assert_eq!(outages.last_us(), Some(1_100 * MS));
}

/// Guards against an outage that is concluded from watches which the store cuts off: it kept removed
/// entries.
#[rstest]
#[case::once(1)]
#[case::again_and_again(50)]
fn watches_that_are_cut_off_are_no_outage(#[case] cuts: u64) {
    let mut outages = Outages::new(MIN_LENGTH_US);
    for number in 0..cuts {
        let sent_ms = 1_000 + number * 1_300;
        outages.on_failure((sent_ms + 1_200) * MS, inconclusive(sent_ms));
        outages.on_response((sent_ms + 1_250) * MS);
    }
    assert_eq!(outages.last_us(), None);
}

/// An outage may end a silent watch by a reset, as if the store had cut it off.
#[test]
fn a_watch_that_ends_after_a_long_silence_is_an_outage() {
    let mut outages = Outages::new(MIN_LENGTH_US);
    outages.on_response(1_000 * MS);
    outages.on_failure(3_000 * MS, inconclusive(1_000));
    assert_eq!(outages.last_us(), None);
    outages.on_response(3_500 * MS);
    assert_eq!(outages.last_us(), Some(3_500 * MS));
}

#[test]
fn refusals_are_an_outage_once_they_last() {
    let mut outages = Outages::new(MIN_LENGTH_US);
    outages.on_response(1_000 * MS);
    for at_ms in (2_000..=4_000).step_by(200) {
        outages.on_failure(at_ms * MS, inconclusive(at_ms - 10));
    }
    assert_eq!(outages.last_us(), None);
    outages.on_failure(4_600 * MS, inconclusive(4_590));
    assert_eq!(outages.last_us(), Some(4_600 * MS));
}

/// A call that waits for longer than others shows nothing about the time in which these were
/// answered.
#[test]
fn a_response_to_another_call_bounds_the_doubtful_time() {
    let mut outages = Outages::new(MIN_LENGTH_US);
    outages.on_response(9_000 * MS);
    outages.on_failure(9_500 * MS, inconclusive(1_000));
    outages.on_response(9_600 * MS);
    assert_eq!(outages.last_us(), None);
}
