//! Operators see every error of an input at once: parsing must not stop at the first one, report an
//! error twice or give it a wrong path.

use peridotrack_types::{check, register::Register, rules::Rules, settings::Settings};
use rstest::rstest;
use serde_json::{Value, json};

fn paths(problems: &[check::Problem]) -> Vec<&str> {
    problems
        .iter()
        .map(|problem| problem.path.as_str())
        .collect()
}

fn engine() -> Value {
    json!({
        "name": "e1", "failure_domain": "d1", "address": "127.0.0.1:9000",
        "models": ["m"], "slots": 8
    })
}

#[rstest]
#[case::missing(json!({"engines": [{"name": "e1"}]}), &[
    "$.engines[0].failure_domain", "$.engines[0].address", "$.engines[0].models",
    "$.engines[0].slots",
])]
#[case::unknown_fields(json!({"engines": [engine(), {"slot": 1}], "engine": 1}), &[
    "$.engine", "$.engines[1].slot", "$.engines[1].name", "$.engines[1].failure_domain",
    "$.engines[1].address", "$.engines[1].models", "$.engines[1].slots",
])]
#[case::wrong_types(json!({"engines": [
    {"name": 1, "failure_domain": {}, "address": "nowhere", "models": "m", "slots": -1},
]}), &[
    "$.engines[0].name", "$.engines[0].failure_domain", "$.engines[0].address",
    "$.engines[0].models", "$.engines[0].slots",
])]
#[case::wrong_element(json!({"engines": [7, engine(), "x"], "services": 3}), &[
    "$.engines[0]", "$.engines[2]", "$.services",
])]
#[case::wrong_variant(json!({"engines": [
    {"name": "e1", "failure_domain": "d1", "address": "127.0.0.1:9000",
     "models": ["m", 3], "slots": 1.5, "fencing": "sometimes"},
]}), &["$.engines[0].models[1]", "$.engines[0].slots", "$.engines[0].fencing"])]
#[case::wrong_root(json!([1]), &["$"])]
#[case::fields_without_names(json!([]), &["$"])]
fn each_register_error_is_reported(#[case] input: Value, #[case] expected: &[&str]) {
    let problems = check::parse::<Register>(&input.to_string()).unwrap_err();
    let mut found = paths(&problems);
    found.sort_unstable();
    let mut expected = expected.to_vec();
    expected.sort_unstable();
    assert_eq!(found, expected, "{problems:#?}");
}

#[rstest]
#[case::syntax("{\"engines\": [}", "line 1")]
#[case::trailing("{} {}", "trailing characters")]
#[case::duplicate_field("{\"engines\": [], \"engines\": []}", "duplicate field `engines`")]
#[case::empty("", "EOF")]
fn syntax_errors_are_reported_at_the_root(#[case] text: &str, #[case] message: &str) {
    let problems = check::parse::<Register>(text).unwrap_err();
    assert_eq!(paths(&problems), ["$"]);
    assert!(problems[0].message.contains(message), "{problems:?}");
}

#[test]
fn problems_are_truncated_at_the_maximum() {
    let budgets = vec![json!({}); 1_000];
    let problems = check::parse::<Rules>(&json!({ "budgets": budgets }).to_string()).unwrap_err();
    assert_eq!(problems.len(), check::MAX_PROBLEMS + 1);
    assert!(problems.last().unwrap().message.contains("more problems"));
}

fn settings() -> Value {
    json!({
        "vm": "vm-1", "failure_domain": "d1", "caller_address": "127.0.0.1:1001",
        "operator_address": "127.0.0.1:1002", "peer_address": "127.0.0.1:1003",
        "platform_address": "127.0.0.1:1004", "seed_addresses": ["127.0.0.1:1005"],
        "operator_key_digest_sha256": "0".repeat(64), "peer_key": "0123456789abcdef"
    })
}

#[test]
fn valid_settings_are_accepted() {
    let parsed = Settings::parse(&settings().to_string()).unwrap();
    assert_eq!(parsed.vm.as_str(), "vm-1");
}

#[rstest]
#[case::vm("vm", json!("a b"), "$.vm")]
#[case::domain("failure_domain", json!(""), "$.failure_domain")]
#[case::shared_listener("operator_address", json!("0.0.0.0:1001"), "$.operator_address")]
#[case::peer_port("peer_address", json!("127.0.0.1:0"), "$.peer_address")]
#[case::peer_host("peer_address", json!("0.0.0.0:1003"), "$.peer_address")]
#[case::platform("platform_address", json!("0.0.0.0:1"), "$.platform_address")]
#[case::duplicate_seed("seed_addresses", json!(["127.0.0.1:5", "127.0.0.1:5"]), "$.seed_addresses[1]")]
#[case::digest("operator_key_digest_sha256", json!("A".repeat(64)), "$.operator_key_digest_sha256")]
#[case::short_peer_key("peer_key", json!("short"), "$.peer_key")]
#[case::head_low("limits", json!({"head_bytes": 0}), "$.limits.head_bytes")]
#[case::head_high("limits", json!({"head_bytes": 1 << 30}), "$.limits.head_bytes")]
#[case::body("limits", json!({"body_bytes": 0}), "$.limits.body_bytes")]
#[case::connections("limits", json!({"connections": 0}), "$.limits.connections")]
#[case::write("limits", json!({"caller_write_timeout_ms": 0}), "$.limits.caller_write_timeout_ms")]
#[case::stop("limits", json!({"shutdown_timeout_ms": 1_u64 << 40}), "$.limits.shutdown_timeout_ms")]
#[case::grace("limits", json!({"shutdown_grace_ms": 60_001}), "$.limits.shutdown_grace_ms")]
#[case::timeline("limits", json!({"timeline_events": 0}), "$.limits.timeline_events")]
#[case::unknown("limits", json!({"heads": 1}), "$.limits.heads")]
fn each_invalid_setting_is_reported_at_its_path(
    #[case] field: &str,
    #[case] value: Value,
    #[case] path: &str,
) {
    let mut input = settings();
    input[field] = value;
    let problems = Settings::parse(&input.to_string()).unwrap_err();
    assert_eq!(paths(&problems), [path], "{problems:?}");
}
