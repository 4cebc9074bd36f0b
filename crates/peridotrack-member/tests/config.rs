//! A configuration version once held is never replaced by a lower one.

use std::net::{Ipv4Addr, SocketAddr};

use peridotrack_member::config::{Advertiser, Decision, HeldVersion, Outcome, Timeouts};
use rstest::rstest;

const TIMEOUT_US: u64 = 1_000;
const TIMEOUTS: Timeouts = Timeouts {
    same_advertiser_us: TIMEOUT_US,
    other_advertiser_us: TIMEOUT_US / 4,
};

fn peer(port: u16) -> Advertiser {
    Advertiser::Peer(SocketAddr::from((Ipv4Addr::LOCALHOST, port)))
}

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
        held(version).on_advertised(0, advertised, peer(1), &TIMEOUTS),
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
    let mut advertised = |now_us, version| held.on_advertised(now_us, version, peer(1), &TIMEOUTS);
    assert_eq!(advertised(0, 2), Decision::Fetch);
    assert_eq!(advertised(1, 2), Decision::Fetching);
    assert_eq!(advertised(2, 3), Decision::Fetch);
    assert_eq!(advertised(3, 2), Decision::Fetching);
    assert_eq!(advertised(1 + TIMEOUT_US, 3), Decision::Fetching);
    assert_eq!(advertised(2 + TIMEOUT_US, 2), Decision::Fetch);
}

/// Guards against a peer that ends before it has answered, and delays the configuration that the
/// others hold.
#[rstest]
#[case::peer(peer(2))]
#[case::platform(Advertiser::Platform)]
fn a_fetch_without_an_answer_is_repeated_from_another_advertiser(#[case] other: Advertiser) {
    let mut held = held(1);
    assert_eq!(
        held.on_advertised(0, 2, peer(1), &TIMEOUTS),
        Decision::Fetch
    );
    let again_us = TIMEOUTS.other_advertiser_us;
    let mut advertised = |now_us, from| held.on_advertised(now_us, 2, from, &TIMEOUTS);
    assert_eq!(advertised(again_us - 1, other), Decision::Fetching);
    assert_eq!(advertised(again_us, peer(1)), Decision::Fetching);
    assert_eq!(advertised(again_us, other), Decision::Fetch);
    assert_eq!(advertised(again_us + 1, peer(3)), Decision::Fetching);
}

#[test]
fn a_slow_fetch_of_a_lower_version_does_not_end_the_fetch_of_a_higher_one() {
    let mut held = held(1);
    held.on_advertised(0, 2, peer(1), &TIMEOUTS);
    held.on_advertised(1, 3, peer(1), &TIMEOUTS);
    held.on_fetched(2);
    assert_eq!(
        held.on_advertised(2, 3, peer(1), &TIMEOUTS),
        Decision::Fetching
    );
    held.on_fetched(3);
    assert_eq!(held.on_fetched(2), Outcome::Refused { held_version: 3 });
}
