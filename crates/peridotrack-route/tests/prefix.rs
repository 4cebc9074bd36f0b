//! Popularity of prefixes and the number of their home servers.

use std::collections::BTreeSet;

use peridotrack_route::prefix::{self, Popularity};
use rstest::rstest;

const MEMBERS: usize = 140;

/// Returns counts in which prefix 7 makes up one in `one_in` requests and every other is unique.
fn popularity(one_in: u64, requests: u64) -> Popularity {
    let mut popularity = Popularity::default();
    for number in 0..requests {
        let hash = match number.is_multiple_of(one_in) {
            true => 7,
            false => 1_000 + number,
        };
        popularity.on_request(Some(hash));
    }
    popularity
}

#[rstest]
#[case::half_of_the_work(2, 140..=140)]
#[case::a_tenth(10, 40..=56)]
#[case::one_server_in_140(140, 2..=4)]
#[case::rare(2_000, 1..=1)]
fn home_count_follows_the_share_of_the_prefix(
    #[case] one_in: u64,
    #[case] homes: std::ops::RangeInclusive<usize>,
) {
    let popularity = popularity(one_in, 20_000);
    let found = popularity.home_count(7, MEMBERS);
    assert!(homes.contains(&found), "{found}");
}

#[rstest]
fn unknown_prefix_has_one_home() {
    assert_eq!(popularity(2, 1_000).home_count(8, MEMBERS), 1);
    assert_eq!(Popularity::default().home_count(8, 0), 1);
}

#[rstest]
fn prefix_of_first_requests_is_not_popular() {
    assert!(popularity(1, 1).home_count(7, 14) <= 1);
    assert!(popularity(1, 3).home_count(7, 14) <= 3);
}

#[rstest]
fn popularity_decays() {
    let mut popularity = popularity(2, 4_000);
    for number in 0..40_000 {
        popularity.on_request(Some(100_000 + number));
    }
    assert_eq!(popularity.home_count(7, MEMBERS), 1);
}

#[rstest]
fn home_hashes_are_distinct_and_start_with_the_prefix_hash() {
    assert_eq!(prefix::home_hash(7, 0), 7);
    let homes: BTreeSet<_> = (0..64).map(|number| prefix::home_hash(7, number)).collect();
    assert_eq!(homes.len(), 64);
}
