//! `config check`, `config apply` and `config show` against a stand-in of the platform.

mod common;

use std::time::Duration;

use common::{KEY, Router, apply, inputs, register, routers, rules, run, unused_address};
use peridotrack::{
    arguments::Apply,
    config,
    report::{Exit, Report},
};
use peridotrack_standin::platform::Control;
use rstest::rstest;
use serde_json::{Value, json};

fn version(report: &Report) -> &Value {
    &report.json["version"]
}

#[test]
fn check_reports_every_error_of_both_files_with_its_path() {
    let mut register = register();
    register["engines"][0]["slots"] = json!("many");
    register["engines"][0]["slot"] = json!(1);
    let rules = json!({"budgets": [{"name": "b"}]});
    let inputs = inputs("check_both", &register, &rules);
    let report = config::check::check(&inputs).unwrap();
    assert_eq!(report.exit, Exit::Usage);
    let problems = report.json["problems"].as_array().unwrap();
    let mut places: Vec<_> = problems
        .iter()
        .map(|problem| {
            let file = problem["file"]
                .as_str()
                .unwrap()
                .rsplit('/')
                .next()
                .unwrap();
            format!("{file} {}", problem["path"].as_str().unwrap())
        })
        .collect();
    places.sort();
    let expected = [
        "register.json $.engines[0].slot",
        "register.json $.engines[0].slots",
        "rules.json $.budgets[0].client_accounts",
        "rules.json $.budgets[0].purchased_tokens",
    ];
    assert_eq!(places, expected);
}

#[test]
fn check_finds_errors_across_both_files_and_accepts_a_valid_pair() {
    let mut unknown_account = rules(1);
    unknown_account["budgets"][0]["client_accounts"] = json!(["nobody"]);
    let invalid = inputs("check_whole", &register(), &unknown_account);
    let report = config::check::check(&invalid).unwrap();
    assert_eq!(report.exit, Exit::Usage);
    let expected = "rules.json: $.budgets[0].client_accounts[0]: client account \"nobody\"";
    assert!(report.text.contains(expected), "{}", report.text);
    let valid = inputs("check_valid", &register(), &rules(1));
    assert_eq!(config::check::check(&valid).unwrap().exit, Exit::Done);
}

#[test]
fn each_change_takes_the_next_version_and_no_change_takes_none() {
    run(async {
        let platform = common::platform();
        let address = platform.address();
        for (purchased, expected) in [(5, 1), (5, 1), (6, 2), (6, 2), (9, 3)] {
            let arguments = apply("versions", address, &rules(purchased));
            let report = config::apply::apply(&arguments).await.unwrap();
            assert_eq!(version(&report), expected);
        }
        let shown = config::show::show(address).await.unwrap();
        assert_eq!(version(&shown), 3);
        assert_eq!(shown.json["rules"]["budgets"][0]["purchased_tokens"], 9);
    });
}

#[rstest]
#[case::different(7, 8)]
#[case::equal(7, 7)]
fn of_two_concurrent_applies_one_succeeds_and_the_other_is_refused(
    #[case] one: u64,
    #[case] other: u64,
) {
    run(async {
        let platform = common::platform();
        let first = apply("race_first", platform.address(), &rules(1));
        config::apply::apply(&first).await.unwrap();
        platform.control(Control {
            delay_ms: Some(20),
            ..Control::default()
        });
        let one = apply("race_one", platform.address(), &rules(one));
        let other = apply("race_other", platform.address(), &rules(other));
        let task = monoio::spawn(async move { config::apply::apply(&one).await });
        let outcomes = [config::apply::apply(&other).await, task.await];
        let won: Vec<_> = outcomes.iter().flatten().collect();
        assert_eq!(won.len(), 1);
        assert_eq!(version(won[0]), 2);
        let lost = outcomes
            .iter()
            .find_map(|outcome| outcome.as_ref().err())
            .unwrap();
        assert_eq!(lost.exit, Exit::Refused);
        assert!(
            lost.to_string()
                .contains("another operator was first: version 2")
        );
    });
}

#[rstest]
#[case::response_to_the_write(Control { lose_replies: Some(1), ..Control::default() })]
#[case::both_responses(Control { lose_replies: Some(2), ..Control::default() })]
#[case::response_and_stale_reads(Control {
    lose_replies: Some(1),
    stale_reads: Some(2),
    ..Control::default()
})]
fn a_lost_response_is_resolved_by_reading_back(#[case] fault: Control) {
    run(async {
        let platform = common::platform();
        let first = apply("lost_first", platform.address(), &rules(1));
        config::apply::apply(&first).await.unwrap();
        // Only the reads after the lost response are stale, not the first read of the apply.
        let stale_reads = fault.stale_reads;
        platform.control(Control {
            stale_reads: None,
            delay_ms: Some(10),
            ..fault
        });
        let second = apply("lost_second", platform.address(), &rules(2));
        let task = monoio::spawn(async move { config::apply::apply(&second).await });
        while platform.counters().lost_replies == 0 {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        platform.control(Control {
            stale_reads,
            ..Control::default()
        });
        let report = task.await.unwrap();
        assert_eq!(version(&report), 2);
        let shown = config::show::show(platform.address()).await.unwrap();
        assert_eq!(version(&shown), 2);
    });
}

#[test]
fn an_unavailable_platform_is_reported_as_unreachable() {
    run(async {
        let arguments = apply("down", unused_address(), &rules(1));
        let failure = config::apply::apply(&arguments).await.unwrap_err();
        assert_eq!(failure.exit, Exit::Unreachable);
        let failure = config::show::show(unused_address()).await.unwrap_err();
        assert_eq!(failure.exit, Exit::Unreachable);
    });
}

#[test]
fn a_platform_without_a_configuration_is_reported() {
    run(async {
        let platform = common::platform();
        let failure = config::show::show(platform.address()).await.unwrap_err();
        assert_eq!(failure.exit, Exit::Refused);
    });
}

#[test]
fn a_lower_purchased_total_is_refused() {
    run(async {
        let platform = common::platform();
        let address = platform.address();
        config::apply::apply(&apply("lower", address, &rules(5)))
            .await
            .unwrap();
        let failure = config::apply::apply(&apply("lower", address, &rules(4))).await;
        let failure = failure.unwrap_err();
        assert_eq!(failure.exit, Exit::Refused);
        let message = failure.to_string();
        assert!(
            message.contains("rules.json: $.budgets[0].purchased_tokens"),
            "{message}"
        );
        let shown = config::show::show(address).await.unwrap();
        assert_eq!(version(&shown), 1);
    });
}

#[test]
fn a_large_configuration_is_written_in_parts_and_changed_in_few() {
    let budgets = |count: u64, purchased: u64| -> Value {
        let budget = |index| {
            json!({"name": format!("budget-{index}"), "client_accounts": ["a"],
                   "purchased_tokens": if index == 0 { purchased } else { 1_000_000 }})
        };
        json!({ "budgets": (0..count).map(budget).collect::<Vec<_>>() })
    };
    run(async {
        let platform = common::platform();
        let address = platform.address();
        let report = config::apply::apply(&apply("large", address, &budgets(6_000, 1))).await;
        assert_eq!(version(&report.unwrap()), 1);
        let written = platform.counters().writes;
        assert!(written > 5, "{written} writes");
        config::apply::apply(&apply("large", address, &budgets(6_000, 2)))
            .await
            .unwrap();
        assert_eq!(
            platform.counters().writes,
            written + 2,
            "one part and the manifest"
        );
        let shown = config::show::show(address).await.unwrap();
        assert_eq!(
            shown.json["rules"]["budgets"].as_array().unwrap().len(),
            6_000
        );
        assert_eq!(shown.json["rules"]["budgets"][0]["purchased_tokens"], 2);
    });
}

/// Applies a configuration with `--wait` and returns the report.
async fn apply_and_wait(test: &str, arguments: Apply, wait: Duration) -> Report {
    let arguments = Apply {
        wait: Some(wait),
        ..arguments
    };
    let outcome = config::apply::apply(&arguments).await;
    outcome.unwrap_or_else(|failure| panic!("{test}: {failure}"))
}

#[test]
fn wait_ends_once_every_router_holds_the_version() {
    run(async {
        let platform = common::platform();
        let one = Router::holding("vm-1", 1, 3);
        let other = Router::holding("vm-2", 1, 4);
        let arguments = Apply {
            routers: routers("wait_all", &[one.address, other.address], KEY),
            ..apply("wait_all", platform.address(), &rules(1))
        };
        let report = apply_and_wait("wait_all", arguments, Duration::from_secs(50)).await;
        assert_eq!(report.exit, Exit::Done, "{}", report.text);
        assert!(report.text.ends_with("2 of 2 routers hold it\n"));
    });
}

#[rstest]
#[case::lagging(u32::MAX, Exit::Refused, "vm-2: holds version 0")]
#[case::only_unreachable(0, Exit::Unreachable, "vm-2: holds it")]
fn wait_names_each_router_without_the_version_and_why(
    #[case] second_holds_after: u32,
    #[case] exit: Exit,
    #[case] second: &str,
) {
    run(async {
        let platform = common::platform();
        config::apply::apply(&apply("wait", platform.address(), &rules(1)))
            .await
            .unwrap();
        let one = Router::holding("vm-1", 1, 0);
        let other = Router::holding("vm-2", 1, second_holds_after);
        let arguments = Apply {
            routers: routers("wait", &[one.address, other.address, unused_address()], KEY),
            ..apply("wait", platform.address(), &rules(1))
        };
        let report = apply_and_wait("wait", arguments, Duration::ZERO).await;
        assert_eq!(report.exit, exit, "{}", report.text);
        assert!(report.text.contains("vm-1: holds it"), "{}", report.text);
        assert!(report.text.contains(second), "{}", report.text);
        assert!(report.text.contains("step Connect with"), "{}", report.text);
    });
}

#[test]
fn a_wrong_key_is_reported() {
    run(async {
        let platform = common::platform();
        let router = Router::holding("vm-1", 1, 0);
        let arguments = Apply {
            routers: routers("wrong_key", &[router.address], "another"),
            ..apply("wrong_key", platform.address(), &rules(1))
        };
        let report = apply_and_wait("wrong_key", arguments, Duration::ZERO).await;
        assert_eq!(report.exit, Exit::Refused);
        assert!(report.text.contains("status 401"), "{}", report.text);
    });
}

/// Guards against a version that routers ignore: a platform that lost its objects may hold a lower
/// version than the routers.
#[test]
fn a_version_that_routers_hold_is_not_reused() {
    run(async {
        let platform = common::platform();
        let router = Router::holding("vm-1", 41, 0);
        let arguments = Apply {
            routers: routers("store_lost", &[router.address], KEY),
            ..apply("store_lost", platform.address(), &rules(1))
        };
        let report = config::apply::apply(&arguments).await.unwrap();
        assert_eq!(version(&report), 42);
    });
}
