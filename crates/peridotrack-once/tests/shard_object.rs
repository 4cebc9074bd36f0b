//! Size estimates and serialized forms of the objects that store claims.
//!
//! A head that is larger than estimated could exceed the platform's limit on object size.

use std::collections::BTreeMap;

use peridotrack_once::{digest, filter, shard_object};
use peridotrack_types::{id, name};
use rstest::rstest;

fn key(index: u32) -> digest::Digest {
    digest::of_key(&name::ClientAccount::from("gramedia"), &index.to_string())
}

fn head(state: &shard_object::State) -> shard_object::ShardObject {
    let row = |index| {
        let row = shard_object::Row {
            request_digest: key(index),
            nonce: u64::MAX,
            incarnation: id::Incarnation(u64::MAX),
            request_id: id::Request {
                incarnation: id::Incarnation(u64::MAX),
                sequence: u64::MAX,
            },
            timeout_ms: u64::MAX,
            state: state.clone(),
        };
        (key(index), row)
    };
    let keys: Vec<_> = (100..400).map(key).collect();
    shard_object::ShardObject {
        rows: (0..50).map(row).collect::<BTreeMap<_, _>>(),
        pages: vec![shard_object::PageEntry {
            sequence: 1_000_000,
            epoch: 1_000_000,
            keys: filter::Filter::of(keys.iter()),
        }],
        ..shard_object::ShardObject::default()
    }
}

fn responded(body: &[u8]) -> shard_object::State {
    shard_object::State::Responded(shard_object::Response {
        status: 201,
        content_type: "application/json".to_owned(),
        body: shard_object::Body::from_bytes(body.to_vec(), 8_192),
    })
}

#[rstest]
#[case::claimed(shard_object::State::Claimed)]
#[case::text(responded(b"{\"isbn\": \"978-602\"}"))]
#[case::control(responded(&[7; 2_000]))]
#[case::bytes(responded(&[200; 2_000]))]
#[case::too_large(responded(&[65; 9_000]))]
fn the_estimate_bounds_the_encoded_length(#[case] state: shard_object::State) {
    let head = head(&state);
    let text = serde_json::to_string(&head).unwrap();
    let (estimate, len) = (head.encoded_bytes(), text.len());
    assert!(
        len <= estimate && estimate <= len * 2,
        "estimated {estimate}, is {len}"
    );
    assert_eq!(
        serde_json::from_str::<shard_object::ShardObject>(&text).unwrap(),
        head
    );
}

#[test]
fn a_filter_has_no_false_negatives_and_few_false_positives() {
    let keys: Vec<_> = (0..10_000).map(key).collect();
    let filter = filter::Filter::of(keys.iter());
    assert!(keys.iter().all(|key| filter.may_contain(key)));
    let wrong = (10_000..110_000)
        .filter(|index| filter.may_contain(&key(*index)))
        .count();
    assert!(wrong < 1_500, "{wrong} of 100,000 keys");
    let text = String::from(filter.clone());
    assert_eq!(text.len(), filter.text_bytes());
    assert_eq!(filter::Filter::try_from(text).unwrap(), filter);
}

#[rstest]
#[case::empty("")]
#[case::odd("abc")]
#[case::not_hex("zz")]
fn malformed_text_is_rejected(#[case] text: &str) {
    assert!(filter::Filter::try_from(text.to_owned()).is_err());
    assert!(digest::Digest::try_from(text.to_owned()).is_err());
}
