//! Bills must charge each request key once, whatever the order and repetition of its records.
//!
//! Batches are flushed again after lost responses and by peers of a lost origin, so one request may
//! have several records, and a retried request several executions.

mod support;

use peridotrack_once::{bill, usage};
use peridotrack_types::{id, name};
use proptest::prelude::*;
use rstest::rstest;
use support::records;

fn request_id(sequence: u64) -> id::Request {
    id::Request {
        incarnation: id::Incarnation(1 + sequence % 3),
        sequence,
    }
}

fn record(sequence: u64, tokens: u64, is_final: bool) -> usage::Record {
    usage::Record {
        is_final,
        ..records::record("key", request_id(sequence), tokens)
    }
}

fn batch(records: Vec<usage::Record>) -> usage::Batch {
    usage::Batch {
        origin: id::Incarnation(1),
        writer: id::Incarnation(1),
        sequence: 1,
        records,
    }
}

#[rstest]
#[case::interim_then_final(&[(1, 50, false), (1, 80, true)], 80, 0)]
#[case::cumulative(&[(1, 50, false), (1, 60, false)], 60, 0)]
#[case::repeated(&[(1, 80, true), (1, 80, true)], 80, 0)]
#[case::truncated_then_complete(&[(1, 90, false), (2, 80, true)], 80, 1)]
#[case::ran_twice(&[(1, 90, true), (2, 80, true)], 80, 1)]
#[case::truncated_twice(&[(1, 20, false), (2, 30, false)], 30, 1)]
fn records_under_one_key_make_one_line(
    #[case] records: &[(u64, u64, bool)],
    #[case] tokens: u64,
    #[case] executions: u64,
) {
    let record = |&(sequence, tokens, is_final)| record(sequence, tokens, is_final);
    let mut records: Vec<_> = records.iter().map(record).collect();
    for _ in 0..2 {
        let bill = bill::Bill::from_batches([batch(records.clone())]);
        let lines: Vec<_> = bill.lines().collect();
        assert_eq!(lines.len(), 1);
        assert_eq!(lines[0].record.completion_tokens, tokens);
        let duplicates = bill::Duplicates {
            records: records.len() as u64 - 1,
            executions,
        };
        assert_eq!(bill.duplicates(), duplicates);
        records.reverse();
    }
}

#[test]
fn the_same_key_of_two_accounts_makes_two_lines() {
    let other = usage::Record {
        account: name::ClientAccount::from("mizan"),
        ..record(2, 7, true)
    };
    let bill = bill::Bill::from_batches([batch(vec![record(1, 5, true), other])]);
    assert_eq!(bill.lines().count(), 2);
    let billed: Vec<_> = bill.settled_tokens().into_values().collect();
    assert_eq!(billed, [15, 17]);
}

#[rstest]
#[case::keyed(Some("order-17"))]
#[case::unkeyed(None)]
fn retries_share_a_line_only_with_a_key(#[case] key: Option<&str>) {
    let account = name::ClientAccount::from("gramedia");
    let first = usage::request_key(&account, key, request_id(1));
    let retry = usage::request_key(&account, key, request_id(2));
    assert_eq!(first == retry, key.is_some());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: prop::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn lines_do_not_depend_on_order_or_repetition(
        records in prop::collection::vec((0..4_u64, 0..5_u64, any::<bool>()), 1..8),
        picks in prop::collection::vec(any::<prop::sample::Index>(), 0..12),
    ) {
        let records: Vec<_> = records.into_iter().map(|(s, t, f)| record(s, t, f)).collect();
        let once = bill::Bill::from_batches([batch(records.clone())]);
        let mut again: Vec<_> = picks.iter().map(|pick| pick.get(&records).clone()).collect();
        again.extend(records.into_iter().rev());
        let again = bill::Bill::from_batches(again.into_iter().map(|record| batch(vec![record])));
        prop_assert!(once.lines().eq(again.lines()));
        prop_assert_eq!(once.duplicates().executions, again.duplicates().executions);
    }
}
