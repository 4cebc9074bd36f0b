//! `budget show` and `budget release` against a stand-in of the platform.

mod common;

use std::net::SocketAddr;

use common::{Router, apply, no_routers, routers, rules, run, status, unused_address};
use peridotrack::{
    arguments::Release, budget, config, platform::Platform, report::Exit, report::Failure,
};
use peridotrack_budget::ledger::{Row, Shard};
use peridotrack_standin::platform::Control;
use peridotrack_types::{id, name};
use rstest::rstest;
use serde_json::{Value, json};

const HOLDER: id::Incarnation = id::Incarnation(0xaa);
const OTHER: id::Incarnation = id::Incarnation(0xbb);
const KEY: &str = "ledger/3";

fn row(granted_tokens: u64, settled_tokens: u64) -> Row {
    Row::Open {
        granted_tokens,
        returned_tokens: 0,
        settled_tokens,
        reserved_tokens: 5,
    }
}

/// Writes a configuration, and a ledger in which two holders were granted 300 and 200 of 1,000
/// tokens.
async fn prepare(address: SocketAddr) {
    config::apply::apply(&apply("budget", address, &rules(1_000)))
        .await
        .unwrap();
    let mut shard = Shard::empty();
    shard.join(HOLDER);
    shard.join(OTHER);
    let entry = shard.entries.entry(name::Budget::from("b")).or_default();
    entry.configure(1, 1_000);
    entry.rows.insert(HOLDER, row(300, 100));
    entry.rows.insert(OTHER, row(200, 50));
    write(address, None, &shard).await;
}

async fn write(address: SocketAddr, expected: Option<u64>, shard: &Shard) {
    let content = serde_json::to_vec(shard).unwrap().into();
    Platform::open(address)
        .write(KEY, expected, &content)
        .await
        .unwrap();
}

async fn read(address: SocketAddr) -> (u64, Shard) {
    let object = Platform::open(address).read(KEY).await.unwrap().unwrap();
    (
        object.version,
        serde_json::from_slice(&object.content).unwrap(),
    )
}

fn release(address: SocketAddr, budget: &str, holder: id::Incarnation, spent: u64) -> Release {
    Release {
        platform: address,
        budget: budget.into(),
        holder,
        spent_tokens: spent,
        routers: no_routers(),
    }
}

#[test]
fn budgets_are_shown_with_their_holders() {
    run(async {
        let platform = common::platform();
        prepare(platform.address()).await;
        let all = budget::show(platform.address(), None).await.unwrap();
        let expected = "b: 1000 purchased, 150 settled, 10 reserved, 500 granted or spent, \
                        500 left, 2 holders\n";
        assert_eq!(all.text, expected);
        let name = name::Budget::from("b");
        let one = budget::show(platform.address(), Some(&name)).await.unwrap();
        assert!(
            one.text.contains("00000000000000aa open: 300 granted"),
            "{}",
            one.text
        );
        assert_eq!(one.json["budgets"][0]["totals"]["left_tokens"], 500);
        let unknown = name::Budget::from("c");
        let failure = budget::show(platform.address(), Some(&unknown))
            .await
            .unwrap_err();
        assert_eq!(failure.exit, Exit::Refused);
    });
}

#[test]
fn a_budget_never_drawn_on_is_shown_from_the_configuration() {
    run(async {
        let platform = common::platform();
        config::apply::apply(&apply("undrawn", platform.address(), &rules(7)))
            .await
            .unwrap();
        let report = budget::show(platform.address(), None).await.unwrap();
        assert!(
            report.text.starts_with("b: 7 purchased, 0 settled"),
            "{}",
            report.text
        );
    });
}

#[rstest]
#[case::no_fault(Control::default())]
#[case::lost_response(Control { lose_replies: Some(1), ..Control::default() })]
fn a_release_takes_effect_once(#[case] fault: Control) {
    run(async {
        let platform = common::platform();
        let address = platform.address();
        prepare(address).await;
        platform.control(fault);
        let report = budget::release(&release(address, "b", HOLDER, 120))
            .await
            .unwrap();
        assert_eq!(report.exit, Exit::Done);
        let (_, shard) = read(address).await;
        let released = &shard.entries["b"].rows[&HOLDER];
        assert!(
            matches!(
                released,
                Row::Released {
                    spent_tokens: 120,
                    ..
                }
            ),
            "{released:?}"
        );
    });
}

/// Guards against a false refusal after a lost response. Without another holder to wait for, the
/// released row is added to the closed total and removed, so the repeated release cannot find it.
#[test]
fn a_release_closed_at_once_succeeds_after_a_lost_response() {
    run(async {
        let platform = common::platform();
        let address = platform.address();
        prepare(address).await;
        let (version, mut shard) = read(address).await;
        shard.entries.get_mut("b").unwrap().rows.remove(&OTHER);
        shard.leave(OTHER);
        write(address, Some(version), &shard).await;
        platform.control(Control {
            lose_replies: Some(1),
            ..Control::default()
        });
        let report = budget::release(&release(address, "b", HOLDER, 120))
            .await
            .unwrap();
        assert_eq!(report.exit, Exit::Done);
        let (_, shard) = read(address).await;
        assert_eq!(shard.entries["b"].closed_tokens, 120);
        assert!(shard.entries["b"].rows.is_empty());
    });
}

#[rstest]
#[case::unknown_budget("c", HOLDER, 120)]
#[case::unknown_holder("b", id::Incarnation(1), 120)]
#[case::below_settled("b", HOLDER, 99)]
#[case::above_all("b", HOLDER, 501)]
fn a_release_that_the_ledger_forbids_changes_nothing(
    #[case] budget: &str,
    #[case] holder: id::Incarnation,
    #[case] spent: u64,
) {
    run(async {
        let platform = common::platform();
        let address = platform.address();
        prepare(address).await;
        let before = read(address).await;
        let failure: Failure = budget::release(&release(address, budget, holder, spent))
            .await
            .unwrap_err();
        assert_eq!(failure.exit, Exit::Refused);
        assert_eq!(read(address).await, before);
    });
}

#[rstest]
#[case::itself(json!({"incarnation": HOLDER}), true)]
#[case::live_peer(json!({"peers": [{"incarnation": HOLDER, "is_live": true}]}), true)]
#[case::lost_peer(json!({"peers": [{"incarnation": HOLDER, "is_live": false}]}), false)]
#[case::other_peer(json!({"peers": [{"incarnation": OTHER, "is_live": true}]}), false)]
fn a_running_holder_is_not_released(#[case] shown: Value, #[case] is_refused: bool) {
    run(async {
        let platform = common::platform();
        let address = platform.address();
        prepare(address).await;
        let router = Router::spawn(move |_| {
            let mut response = status("vm-1", 1);
            response["incarnation"] = json!("00000000000000ff");
            response
                .as_object_mut()
                .unwrap()
                .extend(shown.as_object().unwrap().clone());
            response
        });
        let arguments = Release {
            routers: routers("release", &[router.address, unused_address()], common::KEY),
            ..release(address, "b", HOLDER, 120)
        };
        let outcome = budget::release(&arguments).await;
        assert_eq!(outcome.is_err(), is_refused, "{outcome:?}");
        if let Err(failure) = outcome {
            assert_eq!(failure.exit, Exit::Refused);
        }
    });
}

/// Guards against a release that overwrites a router's update of the same shard.
#[test]
fn a_release_keeps_concurrent_updates_of_routers() {
    run(async {
        let platform = common::platform();
        let address = platform.address();
        prepare(address).await;
        platform.control(Control {
            delay_ms: Some(20),
            ..Control::default()
        });
        let task =
            monoio::spawn(
                async move { budget::release(&release(address, "b", HOLDER, 120)).await },
            );
        // A router reports more settled tokens between the read and the write of the release.
        let (version, mut shard) = read(address).await;
        let rows = &mut shard.entries.get_mut("b").unwrap().rows;
        rows.insert(OTHER, row(200, 60));
        write(address, Some(version), &shard).await;
        task.await.unwrap();
        let (_, shard) = read(address).await;
        let rows = &shard.entries["b"].rows;
        assert_eq!(rows[&OTHER], row(200, 60));
        assert!(matches!(rows[&HOLDER], Row::Released { .. }));
    });
}

#[test]
fn an_unavailable_platform_is_reported_as_unreachable() {
    run(async {
        let failure = budget::show(unused_address(), None).await.unwrap_err();
        assert_eq!(failure.exit, Exit::Unreachable);
        let failure = budget::release(&release(unused_address(), "b", HOLDER, 1))
            .await
            .unwrap_err();
        assert_eq!(failure.exit, Exit::Unreachable);
    });
}
