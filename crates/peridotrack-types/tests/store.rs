//! A configuration of any size is stored in objects of bounded size. A change to one element must
//! not rewrite the others, and a reader must not accept incomplete or altered parts.

use std::collections::{BTreeMap, BTreeSet};

use peridotrack_types::{
    config::{
        Config,
        store::{self, Current, Error, Manifest},
    },
    register::{ClientAccount, FailureDomain},
    rules::{Budget, PriorityRule},
};
use rstest::rstest;

/// Number of prepaid budgets that the design must support.
const BUDGETS: usize = 120_000;
/// Upper bound of the bytes that a change of one budget rewrites.
const MAX_REWRITTEN_BYTES: usize = 256 * 1024;

type Parts = BTreeMap<String, Vec<u8>>;

fn config(budgets: usize) -> Config {
    let mut config = Config {
        version: 7,
        ..Config::default()
    };
    config.register.failure_domains = vec![FailureDomain {
        name: "jakarta-1".into(),
        region: "java".to_owned(),
    }];
    config.register.client_accounts = (0..1_400)
        .map(|index| ClientAccount {
            name: format!("account-{index}").into(),
            key_digests_sha256: vec![format!("{index:064x}")],
        })
        .collect();
    config.rules.budgets = (0..budgets).map(budget).collect();
    config.rules.priorities = vec![PriorityRule {
        client_account: Some("account-1".into()),
        model: None,
        service: None,
        priority: peridotrack_types::rules::Priority::High,
    }];
    config.rules.limits.deadline_ms = 12_345;
    config
}

fn budget(index: usize) -> Budget {
    Budget {
        name: format!("budget-{index}").into(),
        purchased_tokens: 1_000_000_000 + index as u64,
        client_accounts: vec![format!("account-{}", index % 1_400).into()],
        models: Vec::new(),
    }
}

fn split(config: &Config) -> (Manifest, Parts) {
    let (manifest, parts) = store::split(config).unwrap();
    let parts = parts.into_iter().map(|part| (part.key, part.content));
    (manifest, parts.collect())
}

fn join(manifest: &Manifest, parts: &Parts) -> Result<Config, Error> {
    store::join(manifest, |key| parts.get(key).map(Vec::as_slice))
}

#[rstest]
#[case::none(0)]
#[case::few(10)]
#[case::many(5_000)]
fn a_split_configuration_is_reassembled_unchanged(#[case] budgets: usize) {
    let config = config(budgets);
    let (manifest, parts) = split(&config);
    assert_eq!(join(&manifest, &parts), Ok(config));
}

#[rstest]
#[case::top_up(|config: &mut Config| config.rules.budgets[60_000].purchased_tokens += 1)]
#[case::top_up_of_the_first(|config: &mut Config| config.rules.budgets[0].purchased_tokens *= 10)]
#[case::removal(|config: &mut Config| { config.rules.budgets.remove(60_000); })]
#[case::insertion(|config: &mut Config| config.rules.budgets.insert(60_000, budget(BUDGETS)))]
#[case::one_more(|config: &mut Config| config.rules.budgets.push(budget(BUDGETS)))]
fn a_change_of_one_of_120_000_budgets_rewrites_few_bytes(#[case] change: fn(&mut Config)) {
    let mut config = config(BUDGETS);
    let (before_manifest, before) = split(&config);
    let total: usize = before.values().map(Vec::len).sum();
    let largest = before.values().map(Vec::len).max().unwrap();
    change(&mut config);
    config.version += 1;
    let (manifest, after) = split(&config);
    let manifest_bytes = serde_json::to_vec(&manifest).unwrap().len();
    let changed: Vec<_> = after
        .keys()
        .filter(|key| !before.contains_key(*key))
        .collect();
    let part_bytes: usize = changed.iter().map(|key| after[*key].len()).sum();
    println!(
        "{total} bytes in {} parts, largest {largest}, manifest {manifest_bytes}; \
         rewritten: {part_bytes} in {} parts and the manifest",
        manifest.parts.len(),
        changed.len(),
    );
    assert!(largest <= store::MAX_PART_BYTES);
    assert!(part_bytes + manifest_bytes <= MAX_REWRITTEN_BYTES);
    assert_ne!(manifest, before_manifest);
    assert_eq!(join(&manifest, &after), Ok(config));
}

#[test]
fn only_a_large_configuration_is_split() {
    let small = config(10);
    let encoded = store::encode(&small).unwrap();
    assert!(encoded.parts.is_empty());
    let current = Current::parse(&encoded.current).unwrap();
    assert_eq!(current, Current::Whole(Box::new(small)));
    let encoded = store::encode(&config(5_000)).unwrap();
    assert!(!encoded.parts.is_empty());
    let current = Current::parse(&encoded.current).unwrap();
    assert_eq!(current.version(), 7);
    assert!(matches!(current, Current::Split(_)));
    assert!(Current::parse(b"{\"version\": 1}").is_err());
}

#[test]
fn altered_and_missing_parts_are_rejected() {
    let (manifest, parts) = split(&config(100));
    let key = manifest.parts[0].key();
    let mut altered = parts.clone();
    altered.get_mut(&key).unwrap()[1] ^= 1;
    let error = Error::Digest { key: key.clone() };
    assert_eq!(join(&manifest, &altered), Err(error));
    let mut missing = parts;
    missing.remove(&key);
    assert_eq!(join(&manifest, &missing), Err(Error::Missing { key }));
}

#[test]
fn an_element_larger_than_a_part_is_rejected() {
    let mut config = config(1);
    let accounts = (0..40_000).map(|index| format!("account-{index}").into());
    config.rules.budgets[0].client_accounts = accounts.collect();
    assert!(matches!(store::split(&config), Err(Error::TooLarge { .. })));
}

#[test]
fn parts_in_no_manifest_are_unreferenced() {
    let (first, first_parts) = split(&config(2_000));
    let (second, second_parts) = split(&config(2_001));
    let keys: BTreeSet<_> = first_parts.keys().chain(second_parts.keys()).collect();
    let keys = || keys.iter().map(|key| key.as_str()).chain(["ledger/0"]);
    assert!(store::unreferenced(&[&first, &second], keys()).is_empty());
    let unreferenced = store::unreferenced(&[&second], keys());
    assert!(!unreferenced.is_empty());
    assert!(
        unreferenced
            .iter()
            .all(|key| !second_parts.contains_key(*key))
    );
}
