//! Requests of a prepaid account are served up to its balance and none beyond it, and an attempt is
//! charged if and only if it may have run.

use std::time::Duration;

use peridotrack_standin::{
    harness::{http::block_on, wait},
    hosted::{backend::Mode, store},
};
use rstest::rstest;
use serde_json::{Value, json};

use crate::fixture::{Fixture, LIMIT, config, entry, request};

/// Tokens of the prompt of each request.
const PROMPT: u64 = 90;
/// Maximum number of output tokens of each request.
const OUTPUT: u64 = 10;

/// Sends a request of a prepaid account and returns its status, 0 if the connection ended early.
pub async fn send_prepaid(fixture: &Fixture) -> u16 {
    let size = format!("{PROMPT},{OUTPUT}");
    let sent = request("/unsafe/x", &[("peridotrack-token-usage", &size)]);
    fixture
        .send(sent)
        .await
        .map_or(0, |response| response.status().as_u16())
}

#[test]
fn an_account_is_served_up_to_its_balance_and_no_further() {
    block_on(async {
        let fixture = Fixture::spawn_before_config(1);
        fixture.store.put("config", "main", config(4, 1_050));
        fixture.ready().await;
        let mut served = 0;
        for _ in 0..20 {
            match send_prepaid(&fixture).await {
                200 => served += 1,
                status => assert_eq!(status, 402),
            }
        }
        assert_eq!(served, 10, "1,050 tokens cover ten requests of 100 tokens");
        assert_eq!(fixture.runs(), served);
        fixture.store.put("config", "main", config(5, 1_250));
        let topped_up = async || (send_prepaid(&fixture).await == 200).then_some(());
        wait::poll(LIMIT, "request served after the top-up", topped_up)
            .await
            .unwrap();
    });
}

/// Guards against accounts that are refused for as long as one response of the store stated.
#[rstest]
#[case::day("86400")]
#[case::out_of_range("1e16")]
#[case::infinite("inf")]
#[case::not_a_number("NaN")]
#[case::negative("-5")]
fn an_account_is_served_soon_after_a_refused_write(#[case] retry_after: &str) {
    block_on(async {
        let fixture = Fixture::spawn(1).await;
        fixture.store.refuse_writes(Some(retry_after));
        for _ in 0..3 {
            assert!(send_prepaid(&fixture).await >= 402);
        }
        fixture.store.refuse_writes(None);
        let served = async || (send_prepaid(&fixture).await == 200).then_some(());
        wait::poll(LIMIT, "served request", served).await.unwrap();
    });
}

/// Guards against accounts that are refused for ever with 503, because the ledger states a lower revision than
/// the one that is known of it.
#[test]
fn a_ledger_whose_revision_is_lower_than_known_is_never_read_again() {
    block_on(async {
        let fixture = Fixture::spawn(1).await;
        for _ in 0..20 {
            assert_eq!(send_prepaid(&fixture).await, 200);
        }
        fixture.store.restart_revisions();
        let configured = config(5, 2_000_000);
        fixture.store.put("config", "main", configured);
        let mut refused = 0;
        for _ in 0..100 {
            refused += u32::from(send_prepaid(&fixture).await != 200);
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
        assert!(refused < 10, "{refused} of 100 requests are refused");
    });
}

/// Guards against charging refused requests, and against not charging requests that may have run.
#[rstest]
#[case::not_run(Mode::Refuse)]
#[case::reset(Mode::Reset)]
fn only_attempts_that_may_have_run_are_charged(#[case] mode: Mode) {
    block_on(async {
        let fixture = Fixture::spawn_before_config(1);
        fixture.store.put("config", "main", config(4, 1_000));
        fixture.ready().await;
        fixture.set_modes(mode);
        for _ in 0..3 {
            assert!(send_prepaid(&fixture).await >= 429);
        }
        fixture.set_modes(Mode::Serve);
        let ran = fixture.runs() as u64;
        // A server that refused or failed gets no requests for a while.
        let served = async || (send_prepaid(&fixture).await == 200).then_some(());
        wait::poll(LIMIT, "served request", served).await.unwrap();
        let mut served = 1;
        while send_prepaid(&fixture).await == 200 {
            served += 1;
        }
        assert_eq!(served, (1_000 - ran * PROMPT) / (PROMPT + OUTPUT));
    });
}

/// The proof that the second attempt did not run must not cancel the charge for the first one.
#[rstest]
#[case::cut_then_refused("/stream/resumable/x", Mode::CutStream, Mode::Refuse)]
#[case::reset_then_refused("/safe/x", Mode::Reset, Mode::Refuse)]
#[case::reset_then_unreachable("/safe/x", Mode::Reset, Mode::Serve)]
#[case::reset_then_misdirected("/safe/x", Mode::Reset, Mode::Misdirect)]
fn a_run_is_charged_although_the_next_attempt_did_not_run(
    #[case] path: &str,
    #[case] first: Mode,
    #[case] second: Mode,
) {
    block_on(async {
        let fixture = Fixture::spawn_before_config(2);
        let mut config = config(4, 1_000);
        for route in config["routes"].as_array_mut().unwrap() {
            route["maxAttempts"] = 2.into();
        }
        fixture.store.put("config", "main", config);
        fixture.ready().await;
        fixture.backends[0].set_mode(first);
        fixture.backends[1].set_mode(second);
        if second == Mode::Serve {
            let mut refusing = entry(&fixture.backends[1]);
            refusing["address"] = "127.0.0.1:1".into();
            fixture.store.put("servers", "i-1", refusing);
            let applied = async || {
                let before = fixture.backends[1].arrivals();
                for _ in 0..8 {
                    fixture.get("/public/x").await;
                }
                (fixture.backends[1].arrivals() == before).then_some(())
            };
            wait::poll(LIMIT, "use of the new address", applied)
                .await
                .unwrap();
        }
        let runs = fixture.runs();
        let size = format!("{PROMPT},{OUTPUT}");
        let sent = || request(path, &[("peridotrack-token-usage", &size)]);
        let ran = async || {
            fixture.send(sent()).await;
            (fixture.runs() == runs + 1).then_some(())
        };
        wait::poll(LIMIT, "run of the request", ran).await.unwrap();
        fixture.set_modes(Mode::Serve);
        let served = async || (send_prepaid(&fixture).await == 200).then_some(());
        wait::poll(LIMIT, "served request", served).await.unwrap();
        let mut served = 1;
        while send_prepaid(&fixture).await == 200 {
            served += 1;
        }
        assert_eq!(served, (1_000 - PROMPT) / (PROMPT + OUTPUT));
    });
}

/// Guards against refusals of requests that the local grant covers while the store fails.
#[rstest]
#[case(store::Mode::Busy)]
#[case(store::Mode::Reset)]
#[case(store::Mode::LoseWrites)]
fn drawn_tokens_are_spent_during_a_store_outage(#[case] mode: store::Mode) {
    block_on(async {
        let fixture = Fixture::spawn(1).await;
        assert_eq!(send_prepaid(&fixture).await, 200);
        fixture.store.set_mode(mode);
        for _ in 0..10 {
            assert_eq!(send_prepaid(&fixture).await, 200);
        }
    });
}

#[test]
fn without_store_and_grant_a_request_is_refused_and_not_run() {
    block_on(async {
        let fixture = Fixture::spawn(1).await;
        fixture.store.set_mode(store::Mode::Reset);
        assert_eq!(send_prepaid(&fixture).await, 503);
        assert_eq!(fixture.runs(), 0);
        fixture.store.set_mode(store::Mode::Serve);
        let served = async || (send_prepaid(&fixture).await == 200).then_some(());
        wait::poll(
            Duration::from_secs(3),
            "request served after the outage",
            served,
        )
        .await
        .unwrap();
    });
}

/// Returns the ledger shards in the store; with 400 writes per second a gateway uses four.
fn shards(fixture: &Fixture) -> Vec<Value> {
    let shard = |number: u32| fixture.store.get("ledger", &number.to_string());
    (0..4).filter_map(shard).collect()
}

/// A shard that is stored as plain JSON must be read, and is written back packed into a string.
#[test]
fn ledger_shards_are_written_packed_and_read_in_either_form() {
    block_on(async {
        let fixture = Fixture::spawn_before_config(1);
        let empty = json!({"members": {}, "entries": {}});
        for shard in 0..4 {
            fixture
                .store
                .put("ledger", &shard.to_string(), empty.clone());
        }
        fixture.store.put("config", "main", config(4, 1_000));
        fixture.ready().await;
        assert_eq!(send_prepaid(&fixture).await, 200);
        assert!(shards(&fixture).iter().any(Value::is_string));
        assert_eq!(send_prepaid(&fixture).await, 200);
    });
}
