//! Random faults against a fleet of real routers: in any order and timing, no budget is overspent,
//! no keyed call runs twice, no response is wrong, and no request refused as not run has run.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use bytes::Bytes;
use fastrand::Rng;
use http::Response;
use peridotrack_http::client;
use peridotrack_standin::{
    engine::{self, chat},
    harness::{
        fleet::{self, Fleet},
        http::{block_on, fetch},
        wait,
    },
    platform, service,
};
use peridotrack_types::problem::{Problem, Ran};
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_secs(20);
const STEPS: usize = 250;
const PROMPT: &str = "hello";
/// Tokens that an engine counts for [`PROMPT`].
const PROMPT_TOKENS: u64 = 5;
const OUTPUT_TOKENS: u64 = 40;
/// Maximum number of runs of one request whose texts the test recognizes.
const MAX_RUNS: u64 = 8;
/// Maximum number of attempts of a caller at one keyed call, each through another router.
const MAX_ATTEMPTS: usize = 3;

/// What the callers observed.
#[derive(Debug, Default)]
struct Observations {
    complete_responses: usize,
    /// Bodies of responses that ended normally but do not hold the text of one run.
    wrong_responses: Vec<String>,
    /// Refusals that state that the request did not run, by request id.
    not_run: BTreeMap<String, Problem>,
    /// Keyed calls by key, with whether any attempt succeeded.
    keyed_calls: BTreeMap<String, bool>,
}

type SharedObservations = Rc<RefCell<Observations>>;

/// Kills and pauses routers, breaks engines, services and the platform, and tops up the budget,
/// while callers send requests; then compares what the callers observed with what the stand-ins
/// counted.
#[rstest]
#[case::ample_budget(1, 1_000_000)]
#[case::ample_budget_again(2, 1_000_000)]
#[case::tight_budget(3, 3_000)]
#[case::tight_budget_again(4, 3_000)]
fn promises_hold_under_random_faults(#[case] seed: u64, #[case] purchased_tokens: u64) {
    block_on(async {
        let mut rng = Rng::with_seed(seed);
        let mut fleet = spawn(purchased_tokens).await;
        let mut purchased_tokens = purchased_tokens;
        let observations = SharedObservations::default();
        let mut callers = Vec::new();
        for step in 0..STEPS {
            match rng.u32(0..10) {
                0..=5 => callers.push(monoio::spawn(request_stream(
                    &fleet,
                    &mut rng,
                    &observations,
                ))),
                6..=7 => callers.push(monoio::spawn(repeat_call(
                    &fleet,
                    &mut rng,
                    &observations,
                    step,
                ))),
                _ => purchased_tokens += inject_fault(&mut fleet, &mut rng).await,
            }
            monoio::time::sleep(Duration::from_millis(rng.u64(0..8))).await;
        }
        clear_faults(&fleet);
        for caller in callers {
            caller.await;
        }
        check(&fleet, &observations.borrow(), purchased_tokens);
        check_recovery(&fleet).await;
    });
}

async fn spawn(purchased_tokens: u64) -> Fleet {
    let options = fleet::Options {
        program: env!("CARGO_BIN_EXE_peridotrackd").into(),
        failure_domains: 2,
        routers: 2,
        engines: 1,
        services: 1,
        purchased_tokens,
    };
    let fleet = fleet::spawn(&options).await.unwrap();
    for engine in &fleet.engines {
        engine.control(engine::Control {
            token_delay_ms: Some(1),
            vary_runs: Some(true),
            ..engine::Control::default()
        });
    }
    for service in &fleet.services {
        service.control(service::Control {
            delay_ms: Some(5),
            ..service::Control::default()
        });
    }
    fleet
}

/// Injects one random fault, or tops up the budget; returns the tokens added.
async fn inject_fault(fleet: &mut Fleet, rng: &mut Rng) -> u64 {
    let router = rng.usize(0..fleet.routers.len());
    let engine = rng.usize(0..fleet.engines.len());
    match rng.u32(0..10) {
        0 => fleet.routers[router].restart().await.unwrap(),
        1 => {
            let process = &mut fleet.routers[router].process;
            process.pause().await.unwrap();
            monoio::time::sleep(Duration::from_millis(rng.u64(1..300))).await;
            process.resume().unwrap();
        }
        2 => fleet.engines[engine].control(engine_fault(rng)),
        3 => fleet.services[engine].control(service::Control {
            die_before_answer: Some(1),
            ..service::Control::default()
        }),
        4 => {
            clear_faults(fleet);
            let top_up = |tokens: &mut u64| *tokens += 100;
            let change =
                fleet.apply(|config| top_up(&mut config.rules.budgets[0].purchased_tokens));
            change.await.unwrap();
            return 100;
        }
        _ => fleet.platform.control(platform_fault(rng)),
    }
    0
}

fn engine_fault(rng: &mut Rng) -> engine::Control {
    let mut control = engine::Control::default();
    match rng.u32(0..5) {
        0 => control.die_after_tokens = Some(rng.u64(0..OUTPUT_TOKENS)),
        1 => control.cut_after_tokens = Some(rng.u64(0..OUTPUT_TOKENS)),
        2 => control.cross_answers = Some(1),
        3 => control.truncate = Some(1),
        _ => control.omit_usage = Some(1),
    }
    control
}

fn platform_fault(rng: &mut Rng) -> platform::Control {
    let mut control = platform::Control::default();
    match rng.u32(0..6) {
        0 => control.down = Some(true),
        1 => control.down = Some(false),
        2 => control.lose_replies = Some(rng.u64(1..4)),
        3 => control.stale_reads = Some(rng.u64(1..4)),
        4 => control.cut_listeners = Some(vec![rng.usize(0..2)]),
        _ => control.delay_ms = Some(rng.u64(0..100)),
    }
    control
}

fn clear_faults(fleet: &Fleet) {
    fleet.platform.control(platform::Control {
        down: Some(false),
        delay_ms: Some(0),
        lose_replies: Some(0),
        stale_reads: Some(0),
        cut_listeners: Some(Vec::new()),
        ..platform::Control::default()
    });
}

/// A caller that sends one streamed completion request.
fn request_stream(
    fleet: &Fleet,
    rng: &mut Rng,
    observations: &SharedObservations,
) -> impl Future<Output = ()> + use<> {
    let address = fleet.routers[rng.usize(0..fleet.routers.len())].caller_address;
    let observations = observations.clone();
    async move {
        let outcome = fetch(address, fleet::chat(PROMPT, OUTPUT_TOKENS, true)).await;
        observations.borrow_mut().record(outcome);
    }
}

/// A caller that sends a keyed call through [`MAX_ATTEMPTS`] routers and records whether any
/// attempt succeeded.
fn repeat_call(
    fleet: &Fleet,
    rng: &mut Rng,
    observations: &SharedObservations,
    step: usize,
) -> impl Future<Output = ()> + use<> {
    let mut addresses: Vec<_> = fleet
        .routers
        .iter()
        .map(|router| router.caller_address)
        .collect();
    rng.shuffle(&mut addresses);
    let (key, observations) = (format!("key-{step}"), observations.clone());
    async move {
        let mut succeeded = false;
        for address in addresses.into_iter().take(MAX_ATTEMPTS) {
            let outcome = fetch(address, fleet::call("/isbn", Some(&key))).await;
            succeeded |= outcome.is_ok_and(|response| response.status() == 200);
        }
        observations.borrow_mut().keyed_calls.insert(key, succeeded);
    }
}

impl Observations {
    fn record(&mut self, outcome: Result<Response<Bytes>, client::Error>) {
        let Ok(response) = outcome else { return };
        if response.status() != 200 {
            let problem: Problem = serde_json::from_slice(response.body()).unwrap();
            if let (Ran::No, Some(request_id)) = (problem.ran, problem.request_id) {
                self.not_run.insert(request_id.to_string(), problem);
            }
            return;
        }
        let body = String::from_utf8_lossy(response.body()).into_owned();
        if !body.ends_with("data: [DONE]\n\n") {
            return;
        }
        if is_complete(&body) {
            self.complete_responses += 1;
        } else {
            self.wrong_responses.push(body);
        }
    }
}

/// Returns whether a body holds the text of one run of its own request.
fn is_complete(body: &str) -> bool {
    let chunks: Vec<chat::Chunk> = body
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str(data).ok())
        .collect();
    let choices = chunks.iter().flat_map(|chunk| &chunk.choices);
    let text: String = choices
        .filter_map(|choice| choice.delta.content.clone())
        .collect();
    let request_id = chunks[0].id.trim_start_matches("chatcmpl-");
    let messages = [chat::Message::user(PROMPT)];
    let of_run =
        |run| chat::completion_text(&chat::run_id(request_id, run), &messages, OUTPUT_TOKENS);
    (1..=MAX_RUNS).any(|run| text == of_run(run))
}

fn check(fleet: &Fleet, observations: &Observations, purchased_tokens: u64) {
    assert!(
        observations.wrong_responses.is_empty(),
        "{:#?}",
        observations.wrong_responses
    );
    assert!(observations.complete_responses > 0);
    let engines: Vec<_> = fleet.engines.iter().map(engine::Handle::counters).collect();
    let spent = |counters: &engine::Counters| counters.tokens + counters.runs * PROMPT_TOKENS;
    let spent_tokens: u64 = engines.iter().map(spent).sum();
    assert!(
        spent_tokens <= purchased_tokens,
        "{spent_tokens} of {purchased_tokens}"
    );
    for (request_id, problem) in &observations.not_run {
        let runs: Vec<_> = engines
            .iter()
            .filter_map(|engine| engine.by_request_id.get(request_id))
            .collect();
        assert!(runs.is_empty(), "{runs:?} although {problem:?}");
    }
    let services: Vec<_> = fleet
        .services
        .iter()
        .map(service::Handle::counters)
        .collect();
    for (key, succeeded) in &observations.keyed_calls {
        let runs = |service: &service::Counters| service.by_key.get(key).map_or(0, |key| key.runs);
        let runs: u64 = services.iter().map(runs).sum();
        assert!(runs <= 1, "{key} ran {runs} times");
        assert!(runs == 1 || !succeeded, "{key} succeeded without a run");
    }
    println!(
        "complete responses {}, refused as not run {}, keyed calls {}, of them succeeded {}, \
         tokens spent {spent_tokens} of {purchased_tokens}",
        observations.complete_responses,
        observations.not_run.len(),
        observations.keyed_calls.len(),
        observations
            .keyed_calls
            .values()
            .filter(|succeeded| **succeeded)
            .count(),
    );
}

/// Checks that every router serves a keyed call again after the faults.
async fn check_recovery(fleet: &Fleet) {
    for (index, router) in fleet.routers.iter().enumerate() {
        let mut attempt = 0;
        let served = async || {
            attempt += 1;
            let key = format!("after-{index}-{attempt}");
            let call = fleet::call("/isbn", Some(&key));
            let outcome = fetch(router.caller_address, call).await;
            outcome
                .is_ok_and(|response| response.status() == 200)
                .then_some(())
        };
        wait::poll(TIMEOUT, "successful response after the faults", served)
            .await
            .unwrap();
    }
}
