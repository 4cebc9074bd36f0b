//! Requests through real routers get a complete response or a refusal, whichever component fails.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use peridotrack_http::client;
use peridotrack_standin::{
    engine::{
        self,
        chat::{self, Chunk, Message},
    },
    harness::{
        fleet::{self, Fleet},
        http::{block_on, fetch},
        router::{self, Router},
        wait,
    },
    platform, service,
};
use peridotrack_types::{
    config::Config,
    problem::{Problem, Ran},
};
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_secs(20);
const PROMPT: &str = "hello";
/// Tokens that an engine counts for [`PROMPT`].
const PROMPT_TOKENS: u64 = 5;
const OUTPUT_TOKENS: u64 = 12;
/// Maximum number of runs of one request whose texts the tests recognize.
const MAX_RUNS: u64 = 5;
const PURCHASED_TOKENS: u64 = 100_000;

/// Engine controls that clear all lasting faults.
const HEALTHY: engine::Control = engine::Control {
    token_delay_ms: Some(0),
    first_token_ms: Some(0),
    slots: Some(64),
    natural_tokens: None,
    vary_runs: Some(true),
    late_ms: Some(0),
    load_lag_ms: Some(0),
    freeze: Some(false),
    refuse: Some(false),
    leaving: Some(false),
    die_after_tokens: None,
    cut_after_tokens: None,
    cross_answers: None,
    omit_usage: None,
    truncate: None,
};

async fn spawn(failure_domains: usize, routers: usize) -> Fleet {
    spawn_with(failure_domains, routers, PURCHASED_TOKENS).await
}

async fn spawn_with(failure_domains: usize, routers: usize, purchased_tokens: u64) -> Fleet {
    let options = fleet::Options {
        program: env!("CARGO_BIN_EXE_peridotrackd").into(),
        failure_domains,
        routers,
        engines: 1,
        services: 1,
        purchased_tokens,
    };
    let fleet = fleet::spawn(&options).await.unwrap();
    for engine in &fleet.engines {
        engine.control(HEALTHY);
    }
    fleet
}

/// Outcome of a streamed request, as its caller sees it.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    /// The stream ended normally and holds the text of one run of its own request.
    Complete,
    /// The request was refused, or the stream ended in a way that a caller recognizes as a failure.
    Failed,
    /// The stream ended normally but does not hold the text of one run; holds the body.
    Wrong(String),
}

fn classify(outcome: Result<Response<Bytes>, client::Error>) -> Outcome {
    let response = match outcome {
        Ok(response) => response,
        Err(error) => {
            println!("cut: {error}");
            return Outcome::Failed;
        }
    };
    let body = String::from_utf8_lossy(response.body()).into_owned();
    if response.status() != 200 || !body.ends_with("data: [DONE]\n\n") {
        println!("failed: {} {body}", response.status());
        return Outcome::Failed;
    }
    let data = body.lines().filter_map(|line| line.strip_prefix("data: {"));
    let chunks: Vec<Chunk> = data
        .map(|data| serde_json::from_str(&format!("{{{data}")).unwrap())
        .collect();
    let contents = chunks.iter().flat_map(|chunk| &chunk.choices);
    let text: String = contents
        .filter_map(|choice| choice.delta.content.clone())
        .collect();
    let request_id = chunks[0].id.trim_start_matches("chatcmpl-");
    let of_run = |run| {
        let id = chat::run_id(request_id, run);
        chat::completion_text(&id, &[Message::user(PROMPT)], OUTPUT_TOKENS)
    };
    // Engines vary the text by run, so that parts of two runs never combine to a valid text.
    if (1..=MAX_RUNS).any(|run| text == of_run(run)) {
        Outcome::Complete
    } else {
        Outcome::Wrong(body)
    }
}

async fn send_chat(fleet: &Fleet, router: usize) -> Outcome {
    let address = fleet.routers[router].caller_address;
    classify(fetch(address, fleet::chat(PROMPT, OUTPUT_TOKENS, true)).await)
}

#[test]
fn request_through_every_router_is_complete() {
    block_on(async {
        let fleet = spawn(2, 2).await;
        for router in 0..4 {
            let complete =
                async || (send_chat(&fleet, router).await == Outcome::Complete).then_some(());
            wait::poll(TIMEOUT, "complete response", complete)
                .await
                .unwrap();
        }
        assert_eq!(
            fleet.generated_tokens(),
            4 * OUTPUT_TOKENS,
            "a refused request ran"
        );
    });
}

/// Guards against refusals by a router that has just started: tokens are available and nothing is
/// broken, so the first request to each router is served.
#[test]
fn fresh_fleet_refuses_nothing() {
    block_on(async {
        let fleet = spawn(2, 2).await;
        for router in 0..4 {
            assert_eq!(
                send_chat(&fleet, router).await,
                Outcome::Complete,
                "router {router}"
            );
        }
    });
}

/// Guards against engine faults that a caller takes for a complete response: a fault costs the
/// caller at most its response, and requests are served again once it is cleared.
#[rstest]
#[case::lost_run(engine::Control { die_after_tokens: Some(5), ..HEALTHY }, Outcome::Failed)]
#[case::lost_before_the_first(engine::Control { die_after_tokens: Some(0), ..HEALTHY }, Outcome::Complete)]
#[case::cut_connection(engine::Control { cut_after_tokens: Some(5), ..HEALTHY }, Outcome::Complete)]
#[case::truncated(engine::Control { truncate: Some(1), ..HEALTHY }, Outcome::Complete)]
#[case::crossed(engine::Control { cross_answers: Some(1), ..HEALTHY }, Outcome::Complete)]
#[case::no_usage(engine::Control { omit_usage: Some(1), ..HEALTHY }, Outcome::Complete)]
#[case::late(engine::Control { late_ms: Some(50), ..HEALTHY }, Outcome::Complete)]
#[case::refused(engine::Control { refuse: Some(true), ..HEALTHY }, Outcome::Failed)]
fn engine_fault_never_yields_a_wrong_response(
    #[case] fault: engine::Control,
    #[case] expected: Outcome,
) {
    block_on(async {
        let fleet = spawn(1, 1).await;
        assert_eq!(send_chat(&fleet, 0).await, Outcome::Complete);
        fleet.engines[0].control(fault);
        assert_eq!(send_chat(&fleet, 0).await, expected);
        fleet.engines[0].control(HEALTHY);
        let complete = async || (send_chat(&fleet, 0).await == Outcome::Complete).then_some(());
        wait::poll(TIMEOUT, "complete response", complete)
            .await
            .unwrap();
    });
}

/// Returns the tokens that the engines counted, prompts included.
fn spent_tokens(fleet: &Fleet) -> u64 {
    let prompts = |engine: &engine::Handle| engine.counters().runs * PROMPT_TOKENS;
    fleet.generated_tokens() + fleet.engines.iter().map(prompts).sum::<u64>()
}

/// Guards against a second run on the reservation of the first: the tokens of a run that is lost
/// shortly before its end are spent, and the next run needs its own.
#[rstest]
#[case::streamed(true)]
#[case::unstreamed(false)]
fn second_run_of_a_request_spends_no_token_twice(#[case] stream: bool) {
    block_on(async {
        let purchased_tokens = 700;
        let fleet = spawn_with(1, 1, purchased_tokens).await;
        fleet.engines[0].control(engine::Control {
            vary_runs: Some(false),
            die_after_tokens: Some(399),
            ..HEALTHY
        });
        let request = fleet::chat(PROMPT, 400, stream);
        let outcome = fetch(fleet.routers[0].caller_address, request).await;
        if let Ok(response) = outcome
            && response.status() != 200
        {
            let problem: Problem = serde_json::from_slice(response.body()).unwrap();
            assert_eq!(problem.ran, Ran::Unknown, "{problem:?}");
        }
        let spent_tokens = spent_tokens(&fleet);
        assert!(spent_tokens <= purchased_tokens, "{spent_tokens}");
    });
}

/// Guards against a refusal that states `no` for a request that ran. One backend server loses each
/// run and the other refuses; whichever is tried first, the refusal accounts for both attempts.
#[rstest]
#[case::chat(|| fleet::chat(PROMPT, OUTPUT_TOKENS, false))]
#[case::idempotent(|| fleet::call("/lookup/1", None))]
#[case::keyed(|| fleet::call("/isbn", Some("k1")))]
#[case::without_key(|| fleet::call("/isbn", None))]
fn refusal_reports_whether_any_attempt_ran(#[case] request: fn() -> Request<Bytes>) {
    block_on(async {
        let fleet = spawn(2, 1).await;
        fleet.services[0].control(service::Control {
            die_before_answer: Some(u64::MAX),
            ..service::Control::default()
        });
        fleet.services[1].control(service::Control {
            refuse: Some(true),
            ..service::Control::default()
        });
        fleet.engines[1].control(engine::Control {
            refuse: Some(true),
            ..HEALTHY
        });
        for _ in 0..4 {
            let runs_before = runs(&fleet);
            fleet.engines[0].control(engine::Control {
                die_after_tokens: Some(0),
                ..HEALTHY
            });
            let address = fleet.routers[0].caller_address;
            let response = fetch(address, request()).await.unwrap();
            if response.status() == 200 {
                continue;
            }
            let problem: Problem = serde_json::from_slice(response.body()).unwrap();
            let ran = runs(&fleet) > runs_before;
            assert!(!ran || problem.ran == Ran::Unknown, "{problem:?}");
        }
    });
}

fn runs(fleet: &Fleet) -> u64 {
    let of_engine = |engine: &engine::Handle| engine.counters().runs;
    fleet.service_runs() + fleet.engines.iter().map(of_engine).sum::<u64>()
}

#[test]
fn graceful_stop_cuts_no_open_stream() {
    block_on(async {
        let mut fleet = spawn(1, 1).await;
        fleet.engines[0].control(engine::Control {
            token_delay_ms: Some(20),
            ..engine::Control::default()
        });
        let address = fleet.routers[0].caller_address;
        let open_request = monoio::spawn(fetch(address, fleet::chat(PROMPT, OUTPUT_TOKENS, true)));
        wait::until(TIMEOUT, "token", || fleet.generated_tokens() > 0)
            .await
            .unwrap();
        fleet.routers[0].process.terminate().unwrap();
        assert_eq!(classify(open_request.await), Outcome::Complete);
        let status = fleet.routers[0].process.wait_for_exit().await.unwrap();
        assert_eq!(status.code(), Some(0));
    });
}

/// Guards against a second run of a keyed call. Its router is killed after the run started and
/// before the response, and the caller repeats the call through another router.
#[test]
fn keyed_call_runs_once_although_its_router_is_killed() {
    block_on(async {
        let mut fleet = spawn(1, 2).await;
        fleet.services[0].control(service::Control {
            delay_ms: Some(60_000),
            ..service::Control::default()
        });
        let addresses = [0, 1].map(|router| fleet.routers[router].caller_address);
        let first = monoio::spawn(fetch(addresses[0], fleet::call("/isbn", Some("k1"))));
        wait::until(TIMEOUT, "run", || fleet.service_runs() == 1)
            .await
            .unwrap();
        fleet.routers[0].process.kill().unwrap();
        assert!(first.await.is_err());
        fleet.services[0].control(service::Control {
            delay_ms: Some(0),
            ..service::Control::default()
        });
        for _ in 0..3 {
            let response = fetch(addresses[1], fleet::call("/isbn", Some("k1")))
                .await
                .unwrap();
            assert!(!response.status().is_success(), "{response:?}");
            let problem: Problem = serde_json::from_slice(response.body()).unwrap();
            assert_eq!(problem.ran, Ran::Unknown, "{problem:?}");
        }
        assert_eq!(fleet.service_runs(), 1);
    });
}

#[test]
fn routers_serve_from_their_grants_while_the_platform_is_unavailable() {
    block_on(async {
        let fleet = spawn(1, 1).await;
        assert_eq!(send_chat(&fleet, 0).await, Outcome::Complete);
        fleet.platform.control(platform::Control {
            down: Some(true),
            ..platform::Control::default()
        });
        for _ in 0..5 {
            assert_eq!(send_chat(&fleet, 0).await, Outcome::Complete);
        }
        let refused = fetch(
            fleet.routers[0].caller_address,
            fleet::call("/isbn", Some("k1")),
        )
        .await;
        assert!(!refused.unwrap().status().is_success());
        assert_eq!(fleet.service_runs(), 0);
    });
}

/// Returns the version of the configuration that a router holds.
async fn config_version(router: &Router) -> Option<u64> {
    let key = format!("Bearer {}", router::OPERATOR_KEY);
    let request = Request::get("/v1/status").header("authorization", key);
    let request = request.body(Bytes::new()).unwrap();
    let response = fetch(router.operator_address, request).await.ok()?;
    let status: serde_json::Value = serde_json::from_slice(response.body()).ok()?;
    status["config_version"].as_u64()
}

async fn wait_until_all_hold(fleet: &Fleet, version: u64) {
    for router in &fleet.routers {
        let holds = async || (config_version(router).await == Some(version)).then_some(());
        wait::poll(TIMEOUT, "configuration", holds).await.unwrap();
    }
}

#[test]
fn configuration_reaches_a_failure_domain_cut_off_from_the_platform() {
    block_on(async {
        let mut fleet = spawn(2, 1).await;
        fleet.platform.control(platform::Control {
            cut_listeners: Some(vec![1]),
            ..platform::Control::default()
        });
        let raise = |config: &mut Config| config.rules.budgets[0].purchased_tokens += 1;
        let version = fleet.apply(raise).await.unwrap();
        wait_until_all_hold(&fleet, version).await;
    });
}

#[test]
fn router_started_while_the_platform_is_unavailable_receives_the_latest_configuration() {
    block_on(async {
        let mut fleet = spawn(1, 2).await;
        let raise = |config: &mut Config| config.rules.budgets[0].purchased_tokens += 1;
        let version = fleet.apply(raise).await.unwrap();
        wait_until_all_hold(&fleet, version).await;
        fleet.platform.control(platform::Control {
            down: Some(true),
            ..platform::Control::default()
        });
        fleet.routers[1].restart().await.unwrap();
        wait_until_all_hold(&fleet, version).await;
    });
}

/// Guards against overspend by a router that is paused while it holds a grant: another router
/// spends the rest of the budget before the first is resumed.
#[test]
fn paused_router_never_causes_overspend() {
    block_on(async {
        let mut fleet = spawn(1, 2).await;
        fleet
            .apply(|config| config.rules.budgets[0].purchased_tokens = PURCHASED_TOKENS + 500)
            .await
            .unwrap();
        assert_eq!(send_chat(&fleet, 0).await, Outcome::Complete);
        fleet.routers[0].process.pause().await.unwrap();
        let mut refused = 0;
        let address = fleet.routers[1].caller_address;
        while refused < 3 {
            let request = fleet::chat(PROMPT, 4_000, false);
            let response = fetch(address, request).await.unwrap();
            refused += u32::from(response.status() != 200);
        }
        fleet.routers[0].process.resume().unwrap();
        for _ in 0..20 {
            let request = fleet::chat(PROMPT, 4_000, false);
            let _ = fetch(fleet.routers[0].caller_address, request).await;
        }
        assert!(spent_tokens(&fleet) <= PURCHASED_TOKENS + 500);
    });
}
