//! A configuration version once held is never replaced by a lower one.

use peridotrack_member::config::{Decision, HeldVersion, Outcome};
use rstest::rstest;

const TIMEOUT_US: u64 = 1_000;

fn held(version: u64) -> HeldVersion {
    let mut held = HeldVersion::default();
    held.on_fetched(version);
    held
}

#[rstest]
#[case::first(0, 1, Decision::Fetch)]
#[case::higher(4, 9, Decision::Fetch)]
#[case::same(4, 4, Decision::Current)]
#[case::none_yet(0, 0, Decision::Current)]
#[case::stale_read(4, 3, Decision::Stale { held_version: 4 })]
#[case::store_emptied(4, 0, Decision::Stale { held_version: 4 })]
fn an_advertised_version_is_compared_with_the_held_one(
    #[case] version: u64,
    #[case] advertised: u64,
    #[case] expected: Decision,
) {
    assert_eq!(
        held(version).on_advertised(0, advertised, TIMEOUT_US),
        expected
    );
}

#[rstest]
#[case::higher(4, 5, Outcome::Accepted { previous_version: 4 })]
#[case::same(4, 4, Outcome::Unchanged)]
#[case::lower(4, 3, Outcome::Refused { held_version: 4 })]
fn a_fetched_version_is_compared_with_the_held_one(
    #[case] version: u64,
    #[case] fetched: u64,
    #[case] expected: Outcome,
) {
    let mut held = held(version);
    assert_eq!(held.on_fetched(fetched), expected);
    assert_eq!(held.version(), version.max(fetched));
}

#[test]
fn a_fetch_is_repeated_only_after_its_timeout() {
    let mut held = held(1);
    assert_eq!(held.on_advertised(0, 2, TIMEOUT_US), Decision::Fetch);
    assert_eq!(held.on_advertised(1, 2, TIMEOUT_US), Decision::Fetching);
    assert_eq!(held.on_advertised(2, 3, TIMEOUT_US), Decision::Fetch);
    assert_eq!(held.on_advertised(3, 2, TIMEOUT_US), Decision::Fetching);
    assert_eq!(
        held.on_advertised(2 + TIMEOUT_US, 2, TIMEOUT_US),
        Decision::Fetch
    );
}

#[test]
fn a_slow_fetch_of_a_lower_version_does_not_end_the_fetch_of_a_higher_one() {
    let mut held = held(1);
    held.on_advertised(0, 2, TIMEOUT_US);
    held.on_advertised(1, 3, TIMEOUT_US);
    held.on_fetched(2);
    assert_eq!(held.on_advertised(2, 3, TIMEOUT_US), Decision::Fetching);
    held.on_fetched(3);
    assert_eq!(held.on_fetched(2), Outcome::Refused { held_version: 3 });
}
