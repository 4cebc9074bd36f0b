//! Prepaid accounts: nothing beyond the balance, nothing refused within it.

use std::time::Duration;

use peridotrack_standin::{
    harness::{http::block_on, wait},
    hosted::{backend::Mode, store},
};
use rstest::rstest;
use serde_json::{Value, json};

use crate::rig::{LIMIT, Rig, config, entry, request};

/// Tokens of a request's prompt.
const PROMPT: u64 = 90;
/// Most tokens of its answer.
const OUTPUT: u64 = 10;

pub async fn ask(rig: &Rig) -> u16 {
    let size = format!("{PROMPT},{OUTPUT}");
    let sent = request("/unsafe/x", &[("peridotrack-token-usage", &size)]);
    rig.send(sent)
        .await
        .map_or(0, |answer| answer.status().as_u16())
}

#[test]
fn an_account_is_served_to_its_last_token_and_no_further() {
    block_on(async {
        let rig = Rig::spawn_before_config(1);
        rig.store.put("config", "main", config(4, 1_050));
        rig.ready().await;
        let mut served = 0;
        for _ in 0..20 {
            match ask(&rig).await {
                200 => served += 1,
                status => assert_eq!(status, 402),
            }
        }
        assert_eq!(served, 10, "ten requests of 100 tokens fit into 1,050");
        assert_eq!(rig.runs(), served);
        rig.store.put("config", "main", config(5, 1_250));
        let topped_up = async || (ask(&rig).await == 200).then_some(());
        wait::poll(LIMIT, "the top-up", topped_up).await.unwrap();
    });
}

#[rstest]
#[case::not_run(Mode::Refuse)]
#[case::reset(Mode::Reset)]
fn what_did_not_run_is_not_paid_and_what_may_have_run_is(#[case] mode: Mode) {
    block_on(async {
        let rig = Rig::spawn_before_config(1);
        rig.store.put("config", "main", config(4, 1_000));
        rig.ready().await;
        rig.set_modes(mode);
        for _ in 0..3 {
            assert!(ask(&rig).await >= 429);
        }
        rig.set_modes(Mode::Serve);
        let ran = rig.runs() as u64;
        // A server that refused or failed is left alone for a while.
        let served = async || (ask(&rig).await == 200).then_some(());
        wait::poll(LIMIT, "a served request", served).await.unwrap();
        let mut served = 1;
        while ask(&rig).await == 200 {
            served += 1;
        }
        assert_eq!(served, (1_000 - ran * PROMPT) / (PROMPT + OUTPUT));
    });
}

#[rstest]
#[case::cut_then_refused("/stream/resumable/x", Mode::CutStream, Mode::Refuse)]
#[case::reset_then_refused("/safe/x", Mode::Reset, Mode::Refuse)]
#[case::reset_then_unreachable("/safe/x", Mode::Reset, Mode::Serve)]
#[case::reset_then_misdirected("/safe/x", Mode::Reset, Mode::Misdirect)]
fn a_run_is_paid_although_the_next_attempt_did_not_run(
    #[case] path: &str,
    #[case] first: Mode,
    #[case] second: Mode,
) {
    block_on(async {
        let rig = Rig::spawn_before_config(2);
        rig.store.put("config", "main", config(4, 1_000));
        rig.ready().await;
        rig.engines[0].set_mode(first);
        rig.engines[1].set_mode(second);
        if second == Mode::Serve {
            let mut nowhere = entry(&rig.engines[1]);
            nowhere["address"] = "127.0.0.1:1".into();
            rig.store.put("servers", "i-1", nowhere);
            let applied = async || {
                let before = rig.engines[1].arrivals();
                for _ in 0..8 {
                    rig.get("/public/x").await;
                }
                (rig.engines[1].arrivals() == before).then_some(())
            };
            wait::poll(LIMIT, "the address in force", applied)
                .await
                .unwrap();
        }
        let runs = rig.runs();
        let size = format!("{PROMPT},{OUTPUT}");
        let sent = || request(path, &[("peridotrack-token-usage", &size)]);
        let ran = async || {
            rig.send(sent()).await;
            (rig.runs() == runs + 1).then_some(())
        };
        wait::poll(LIMIT, "one run", ran).await.unwrap();
        rig.set_modes(Mode::Serve);
        let served = async || (ask(&rig).await == 200).then_some(());
        wait::poll(LIMIT, "a served request", served).await.unwrap();
        let mut served = 1;
        while ask(&rig).await == 200 {
            served += 1;
        }
        assert_eq!(served, (1_000 - PROMPT) / (PROMPT + OUTPUT));
    });
}

#[rstest]
#[case(store::Mode::Busy)]
#[case(store::Mode::Reset)]
#[case(store::Mode::LoseWrites)]
fn what_was_drawn_outlasts_the_store(#[case] mode: store::Mode) {
    block_on(async {
        let rig = Rig::spawn(1).await;
        assert_eq!(ask(&rig).await, 200);
        rig.store.set_mode(mode);
        for _ in 0..10 {
            assert_eq!(ask(&rig).await, 200);
        }
    });
}

#[test]
fn without_the_store_and_without_a_grant_a_request_is_not_run() {
    block_on(async {
        let rig = Rig::spawn(1).await;
        rig.store.set_mode(store::Mode::Reset);
        assert_eq!(ask(&rig).await, 503);
        assert_eq!(rig.runs(), 0);
        rig.store.set_mode(store::Mode::Serve);
        let served = async || (ask(&rig).await == 200).then_some(());
        wait::poll(Duration::from_secs(3), "the store's return", served)
            .await
            .unwrap();
    });
}

/// Returns the ledger's shards as the store holds them; a gateway makes four for 400 writes.
fn shards(rig: &Rig) -> Vec<Value> {
    let shard = |number: u32| rig.store.get("ledger", &number.to_string());
    (0..4).filter_map(shard).collect()
}

#[test]
fn a_ledger_is_packed_and_one_that_is_not_is_read() {
    block_on(async {
        let rig = Rig::spawn_before_config(1);
        let empty = json!({"members": {}, "entries": {}});
        for shard in 0..4 {
            rig.store.put("ledger", &shard.to_string(), empty.clone());
        }
        rig.store.put("config", "main", config(4, 1_000));
        rig.ready().await;
        assert_eq!(ask(&rig).await, 200);
        assert!(shards(&rig).iter().any(Value::is_string));
        assert_eq!(ask(&rig).await, 200);
    });
}
