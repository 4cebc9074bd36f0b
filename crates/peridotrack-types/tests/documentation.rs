//! `docs/CONFIGURATION.md` must list every field with its current default and bounds, and the
//! examples must pass validation.

use std::{collections::BTreeSet, fs, path::PathBuf};

use peridotrack_types::{
    check,
    config::{self, store},
    register::Register,
    rules::Rules,
    settings::{self, Settings},
};
use rstest::rstest;
use serde::Serialize;
use serde_json::{Value, json};

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the table rows of the section `title` of the page: each field with its other cells.
fn rows(title: &str) -> Vec<(String, Vec<String>)> {
    let page = fs::read_to_string(root().join("docs/CONFIGURATION.md")).unwrap();
    let section = page
        .split("\n## ")
        .find(|part| part.starts_with(title))
        .unwrap();
    let row = |line: &str| {
        let mut cells = line.strip_prefix("| `")?.split(" | ").map(str::to_owned);
        let field = cells.next()?.trim_end_matches('`').to_owned();
        Some((field, cells.collect()))
    };
    section.lines().filter_map(row).collect()
}

/// Returns the paths of all fields within `value`, which is at `path`.
fn fields(path: &str, value: &Value) -> BTreeSet<String> {
    match value {
        Value::Object(object) => object
            .iter()
            .flat_map(|(key, value)| {
                let path = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                let mut below = fields(&path, value);
                below.insert(path);
                below
            })
            .collect(),
        Value::Array(elements) => {
            let path = format!("{path}[]");
            elements
                .iter()
                .flat_map(|element| fields(&path, element))
                .collect()
        }
        _ => BTreeSet::new(),
    }
}

fn to_fields(value: &impl Serialize) -> BTreeSet<String> {
    fields("", &serde_json::to_value(value).unwrap())
}

fn read<T: serde::de::DeserializeOwned>(deployment: &str, file: &str) -> T {
    let path = root().join("examples").join(deployment).join(file);
    check::parse(&fs::read_to_string(path).unwrap()).unwrap()
}

fn sample_settings() -> Settings {
    let settings = json!({
        "vm": "v", "failure_domain": "d", "caller_address": "127.0.0.1:1",
        "operator_address": "127.0.0.1:2", "peer_address": "127.0.0.1:3",
        "platform_address": "127.0.0.1:4", "operator_key_digest_sha256": "0".repeat(64),
    });
    Settings::parse(&settings.to_string()).unwrap()
}

#[rstest]
#[case::register("Register", to_fields(&read::<Register>("nusantara", "register.json")))]
#[case::rules("Rules", to_fields(&read::<Rules>("nusantara", "rules.json")))]
#[case::settings("Settings", to_fields(&sample_settings()))]
fn each_field_is_documented_once(#[case] title: &str, #[case] expected: BTreeSet<String>) {
    let documented: Vec<_> = rows(title).into_iter().map(|(field, _)| field).collect();
    let unique: BTreeSet<_> = documented.iter().cloned().collect();
    assert_eq!(unique.len(), documented.len(), "a field is listed twice");
    assert_eq!(unique, expected);
}

/// Formats a number with commas between groups of three digits.
fn grouped(number: u64) -> String {
    let digits = number.to_string();
    let mut text = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    text
}

#[rstest]
#[case::rules("Rules", serde_json::to_value(peridotrack_types::rules::Limits::default()).unwrap())]
#[case::settings("Settings", serde_json::to_value(settings::Limits::default()).unwrap())]
fn defaults_of_limits_are_documented(#[case] title: &str, #[case] defaults: Value) {
    let rows = rows(title);
    for (field, value) in defaults.as_object().unwrap() {
        let path = format!("limits.{field}");
        let (_, cells) = rows
            .iter()
            .find(|(documented, _)| *documented == path)
            .unwrap();
        assert_eq!(cells[1], grouped(value.as_u64().unwrap()), "{path}");
    }
}

#[rstest]
#[case("Register", "failure_domains", 1, config::MAX_FAILURE_DOMAINS as u64)]
#[case("Register", "client_accounts", 0, config::MAX_CLIENT_ACCOUNTS as u64)]
#[case("Register", "client_accounts[].key_digests_sha256", 0, config::MAX_KEYS_PER_ACCOUNT as u64)]
#[case("Register", "engines", 0, config::MAX_BACKEND_SERVERS as u64)]
#[case("Register", "engines[].models", 1, config::MAX_MODELS_PER_ENGINE as u64)]
#[case("Register", "engines[].slots", 1, config::MAX_SLOTS.into())]
#[case("Register", "services", 0, config::MAX_BACKEND_SERVERS as u64)]
#[case("Register", "services[].slots", 1, config::MAX_SLOTS.into())]
#[case("Rules", "budgets", 0, config::MAX_BUDGETS as u64)]
#[case("Rules", "budgets[].purchased_tokens", 0, config::MAX_PURCHASED_TOKENS)]
#[case("Rules", "budgets[].client_accounts", 1, config::MAX_ACCOUNTS_PER_BUDGET as u64)]
#[case("Rules", "budgets[].models", 0, config::MAX_MODELS_PER_BUDGET as u64)]
#[case("Rules", "priorities", 0, config::MAX_RULES as u64)]
#[case("Rules", "routes", 0, config::MAX_RULES as u64)]
#[case("Rules", "routes[].path_prefix", 0, config::MAX_PATH_PREFIX_BYTES as u64)]
#[case("Rules", "limits.max_output_tokens", 1, config::MAX_OUTPUT_TOKENS)]
#[case("Rules", "limits.deadline_ms", 1, config::MAX_DEADLINE_MS)]
#[case("Rules", "limits.queue_requests", 1, config::MAX_QUEUE_REQUESTS.into())]
#[case("Settings", "seed_addresses", 0, settings::MAX_SEED_ADDRESSES as u64)]
#[case("Settings", "peer_key", settings::MIN_PEER_KEY_BYTES as u64, settings::MAX_PEER_KEY_BYTES as u64)]
#[case("Settings", "limits.head_bytes", settings::MIN_HEAD_BYTES as u64, settings::MAX_HEAD_BYTES as u64)]
#[case("Settings", "limits.body_bytes", settings::MIN_BODY_BYTES as u64, settings::MAX_BODY_BYTES as u64)]
#[case("Settings", "limits.connections", 1, settings::MAX_CONNECTIONS as u64)]
#[case(
    "Settings",
    "limits.caller_write_timeout_ms",
    settings::MIN_CALLER_WRITE_TIMEOUT_MS,
    settings::MAX_CALLER_WRITE_TIMEOUT_MS
)]
#[case("Settings", "limits.shutdown_timeout_ms", 1, settings::MAX_SHUTDOWN_MS)]
#[case("Settings", "limits.shutdown_grace_ms", 0, settings::MAX_SHUTDOWN_MS)]
#[case(
    "Settings",
    "limits.timeline_events",
    settings::MIN_TIMELINE_EVENTS as u64,
    settings::MAX_TIMELINE_EVENTS as u64
)]
fn bounds_are_documented(
    #[case] title: &str,
    #[case] field: &str,
    #[case] min: u64,
    #[case] max: u64,
) {
    let rows = rows(title);
    let (_, cells) = rows
        .iter()
        .find(|(documented, _)| documented == field)
        .unwrap();
    let range = format!("{} to {}", grouped(min), grouped(max));
    let at_most = format!("at most {}", grouped(max));
    let is_documented = cells[2].contains(&range) || (min == 0 && cells[2].contains(&at_most));
    assert!(is_documented, "{field}: {range} is not in {:?}", cells[2]);
}

#[rstest]
#[case("nusantara")]
#[case("llythyr")]
fn examples_are_valid_and_have_the_sizes_of_the_deployments(#[case] deployment: &str) {
    let register: Register = read(deployment, "register.json");
    let rules: Rules = read(deployment, "rules.json");
    assert_eq!(config::check(&register, &rules), Vec::new());
    assert_eq!(register.failure_domains.len(), 4);
    assert_eq!(register.engines.len(), 10);
    assert_eq!(register.services.len(), 4);
    assert_eq!(register.client_accounts.len(), 10);
    assert!(rules.routes.iter().any(|route| !route.idempotent));
    for account in &register.client_accounts {
        let is_payer = |budget: &peridotrack_types::rules::Budget| {
            budget.client_accounts.contains(&account.name)
        };
        assert!(rules.budgets.iter().any(is_payer), "{}", account.name);
    }
}

#[test]
fn sizes_of_stored_objects_are_documented() {
    let page = fs::read_to_string(root().join("docs/CONFIGURATION.md")).unwrap();
    for bytes in [store::MAX_WHOLE_BYTES, store::MAX_PART_BYTES] {
        assert!(page.contains(&format!("{} bytes", grouped(bytes as u64))));
    }
}
