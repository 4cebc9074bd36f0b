//! A register and its rules are validated together: a wrong value, a dangling reference or an
//! unreachable rule must be reported at its path before the configuration is accepted.

use peridotrack_types::{
    config::{self, Config},
    name,
    register::Register,
    rules::Rules,
};
use rstest::rstest;
use serde_json::{Value, json};

const MAX_PURCHASED_TOKENS: u64 = (1 << 53) - 1;

fn valid() -> Value {
    json!({
        "version": 1,
        "register": {
            "failure_domains": [
                {"name": "d1", "region": "r"},
                {"name": "d2", "region": "r"},
            ],
            "client_accounts": [
                {"name": "a", "key_digests_sha256": ["a".repeat(64)]},
                {"name": "b", "key_digests_sha256": ["b".repeat(64)]},
            ],
            "engines": [
                {"name": "e1", "failure_domain": "d1", "address": "127.0.0.1:1",
                 "models": ["llama:8b/lora@2"], "slots": 65_536},
                {"name": "e2", "failure_domain": "d2", "address": "127.0.0.1:2",
                 "models": ["m"], "slots": 1},
            ],
            "services": [
                {"name": "s1", "service": "isbn", "failure_domain": "d1",
                 "address": "127.0.0.1:3", "slots": 4},
            ],
        },
        "rules": {
            "budgets": [
                {"name": "x", "purchased_tokens": MAX_PURCHASED_TOKENS, "client_accounts": ["a"]},
                {"name": "y", "purchased_tokens": 0, "client_accounts": ["a", "b"],
                 "models": ["m"]},
            ],
            "priorities": [
                {"client_account": "a", "model": "m", "priority": "low"},
                {"client_account": "a", "priority": "high"},
            ],
            "routes": [
                {"service": "isbn", "path_prefix": "/records/assign", "idempotent": false},
                {"service": "isbn", "path_prefix": "/records", "idempotent": true},
            ],
        },
    })
}

fn check(config: &Value) -> Vec<String> {
    let config: Config = serde_json::from_value(config.clone()).unwrap();
    config::check(&config.register, &config.rules)
        .into_iter()
        .map(|problem| problem.path)
        .collect()
}

#[test]
fn a_valid_configuration_is_accepted() {
    assert_eq!(check(&valid()), Vec::<String>::new());
}

#[rstest]
#[case::domain_removed("/register/failure_domains/1/name", json!("d3"),
    &["$.register.engines[1].failure_domain"])]
#[case::duplicate_domain("/register/failure_domains/1/name", json!("d1"),
    &["$.register.failure_domains[1].name", "$.register.engines[1].failure_domain"])]
#[case::region_format("/register/failure_domains/0/region", json!("a/b"),
    &["$.register.failure_domains[0].region"])]
#[case::account_removed("/register/client_accounts/1/name", json!("c"),
    &["$.rules.budgets[1].client_accounts[1]"])]
#[case::duplicate_account("/register/client_accounts/1/name", json!("a"),
    &["$.register.client_accounts[1].name", "$.rules.budgets[1].client_accounts[1]"])]
#[case::account_too_long("/register/client_accounts/1/name", json!("b".repeat(65)),
    &["$.register.client_accounts[1].name", "$.rules.budgets[1].client_accounts[1]"])]
#[case::digest_format("/register/client_accounts/0/key_digests_sha256/0", json!("key"),
    &["$.register.client_accounts[0].key_digests_sha256[0]"])]
#[case::digest_of_another_account("/register/client_accounts/1/key_digests_sha256/0", json!("a".repeat(64)),
    &["$.register.client_accounts[1].key_digests_sha256[0]"])]
#[case::duplicate_server("/register/services/0/name", json!("e1"), &["$.register.services[0].name"])]
#[case::empty_server_name("/register/engines/0/name", json!(""), &["$.register.engines[0].name"])]
#[case::duplicate_address("/register/services/0/address", json!("127.0.0.1:1"),
    &["$.register.services[0].address"])]
#[case::address_with_port_0("/register/engines/0/address", json!("127.0.0.1:0"),
    &["$.register.engines[0].address"])]
#[case::unspecified_address("/register/engines/0/address", json!("[::]:1"),
    &["$.register.engines[0].address"])]
#[case::no_slots("/register/engines/0/slots", json!(0), &["$.register.engines[0].slots"])]
#[case::too_many_slots("/register/services/0/slots", json!(65_537), &["$.register.services[0].slots"])]
#[case::no_models("/register/engines/0/models", json!([]), &["$.register.engines[0].models"])]
#[case::duplicate_model("/register/engines/0/models", json!(["z", "z"]),
    &["$.register.engines[0].models[1]"])]
#[case::model_removed("/register/engines/1/models/0", json!("n"),
    &["$.rules.budgets[1].models[0]", "$.rules.priorities[0].model"])]
#[case::service_removed("/register/services/0/service", json!("other"),
    &["$.rules.routes[0].service", "$.rules.routes[1].service"])]
#[case::duplicate_budget("/rules/budgets/1/name", json!("x"), &["$.rules.budgets[1].name"])]
#[case::budget_without_accounts("/rules/budgets/0/client_accounts", json!([]),
    &["$.rules.budgets[0].client_accounts"])]
#[case::duplicate_budget_account("/rules/budgets/0/client_accounts", json!(["a", "a"]),
    &["$.rules.budgets[0].client_accounts[1]"])]
#[case::purchased_total_too_large("/rules/budgets/0/purchased_tokens", json!(MAX_PURCHASED_TOKENS + 1),
    &["$.rules.budgets[0].purchased_tokens"])]
#[case::priority_shadowed("/rules/priorities/0/model", json!(null), &["$.rules.priorities[1]"])]
#[case::priority_of_model_and_service("/rules/priorities/0/service", json!("isbn"), &["$.rules.priorities[0]"])]
#[case::route_shadowed("/rules/routes/0/path_prefix", json!("/"), &["$.rules.routes[1]"])]
#[case::duplicate_route("/rules/routes/0/path_prefix", json!("/records"), &["$.rules.routes[1]"])]
#[case::route_relative("/rules/routes/0/path_prefix", json!("records"),
    &["$.rules.routes[0].path_prefix"])]
#[case::route_with_dot_segments("/rules/routes/0/path_prefix", json!("/a/../b"),
    &["$.rules.routes[0].path_prefix"])]
#[case::route_with_escape("/rules/routes/0/path_prefix", json!("/a%2fb"),
    &["$.rules.routes[0].path_prefix"])]
#[case::output("/rules/limits", json!({"max_output_tokens": 0}),
    &["$.rules.limits.max_output_tokens"])]
#[case::deadline("/rules/limits", json!({"deadline_ms": 3_600_001}),
    &["$.rules.limits.deadline_ms"])]
#[case::queue("/rules/limits", json!({"queue_requests": 0}), &["$.rules.limits.queue_requests"])]
fn each_invalid_value_is_reported_at_its_path(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] paths: &[&str],
) {
    let mut config = valid();
    let (parent, field) = pointer.rsplit_once('/').unwrap();
    let parent = config.pointer_mut(parent).unwrap();
    match parent {
        Value::Array(elements) => elements[field.parse::<usize>().unwrap()] = value,
        object => object[field] = value,
    }
    assert_eq!(check(&config), paths);
}

#[test]
fn an_empty_register_lacks_a_failure_domain() {
    let problems = config::check(&Register::default(), &Rules::default());
    assert_eq!(problems.len(), 1);
    assert_eq!(problems[0].path, "$.register.failure_domains");
}

#[rstest]
#[case::raised(1, 2, 0)]
#[case::kept(2, 2, 0)]
#[case::lowered(2, 1, 1)]
fn a_purchased_total_must_not_decrease(
    #[case] before: u64,
    #[case] after: u64,
    #[case] count: usize,
) {
    let mut current: Config = serde_json::from_value(valid()).unwrap();
    let mut next = current.rules.clone();
    current.rules.budgets[0].purchased_tokens = before;
    next.budgets[0].purchased_tokens = after;
    assert_eq!(config::check_change(&current, &next).len(), count);
}

#[rstest]
#[case::exact("/records", true)]
#[case::below("/records/7", true)]
#[case::query("/records?assign=1", true)]
#[case::part_of_a_segment("/records-assign", false)]
#[case::non_idempotent("/records/assign", false)]
#[case::below_non_idempotent("/records/assign/7", false)]
#[case::dot_segments("/records/x/../assign", false)]
#[case::escape("/records/%61ssign", false)]
#[case::empty_segment("/records//assign", false)]
#[case::unmatched("/other", false)]
fn only_plain_paths_are_idempotent(#[case] path: &str, #[case] idempotent: bool) {
    let config: Config = serde_json::from_value(valid()).unwrap();
    let service = name::Service::from("isbn");
    assert_eq!(config.rules.is_idempotent(&service, path), idempotent);
}
