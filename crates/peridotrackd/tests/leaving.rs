//! A backend server that is leaving gets no new requests, whether it reports this itself or the
//! platform lists it as leaving.

use std::time::{Duration, Instant};

use http::StatusCode;
use peridotrack_standin::{
    engine,
    harness::{
        fleet::{self, Fleet},
        http::{block_on, fetch},
        wait,
    },
    platform, service,
};
use rstest::rstest;

/// Maximum time until every router has been notified that a backend server is leaving.
const MAX_NOTICE_DELAY: Duration = Duration::from_secs(3);
/// Requests sent after that time, none of which may reach the leaving server.
const REQUESTS_AFTER_NOTICE: u64 = 40;

async fn spawn() -> Fleet {
    let options = fleet::Options {
        program: env!("CARGO_BIN_EXE_peridotrackd").into(),
        failure_domains: 1,
        routers: 2,
        engines: 2,
        services: 2,
        purchased_tokens: 1_000_000,
    };
    fleet::spawn(&options).await.unwrap()
}

/// Makes the platform list a registered backend server as leaving.
fn list_leaving(fleet: &Fleet, name: &str) {
    let vm = platform::Vm {
        name: name.to_owned(),
        address: fleet.engines[0].address(),
        state: platform::VmState::Leaving,
    };
    fleet.platform.control(platform::Control {
        vms: Some(vec![vm]),
        ..Default::default()
    });
}

/// How routers are notified that a server is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeavingSource {
    /// The server reports it and refuses new requests.
    Report,
    /// Only the platform's VM list says so.
    List,
}

/// Guards against routers that keep dispatching to an engine after its leave was announced: the
/// notice must reach both routers within [`MAX_NOTICE_DELAY`].
#[rstest]
#[case::report_and_refusal(LeavingSource::Report)]
#[case::list_alone(LeavingSource::List)]
fn leaving_engine_gets_no_new_work(#[case] source: LeavingSource) {
    block_on(async {
        let fleet = spawn().await;
        let send_chat = async |number: u64| {
            let router = fleet.routers[usize::try_from(number % 2).unwrap()].caller_address;
            let chat = fleet::chat(&format!("prompt {number}"), 4, true);
            fetch(router, chat).await.unwrap().status()
        };
        match source {
            LeavingSource::Report => fleet.engines[0].control(engine::Control {
                leaving: Some(true),
                ..Default::default()
            }),
            LeavingSource::List => list_leaving(&fleet, "engine-0-0"),
        }
        let announced = Instant::now();
        let mut number = 0;
        while announced.elapsed() < MAX_NOTICE_DELAY {
            number += 1;
            assert_eq!(
                send_chat(number).await,
                StatusCode::OK,
                "the other engine serves"
            );
        }
        let received_requests = || {
            let counters = fleet.engines[0].counters();
            counters.runs + counters.refused
        };
        let received_before = received_requests();
        for index in 0..REQUESTS_AFTER_NOTICE {
            assert_eq!(send_chat(number + index).await, StatusCode::OK);
        }
        assert_eq!(
            received_requests(),
            received_before,
            "new work reached a leaving engine"
        );
    });
}

/// Number of calls made concurrently, enough that every server gets some.
const CONCURRENT_CALLS: u64 = 8;

/// Makes calls concurrently. A call refused as not run is repeated with its key until it succeeds.
async fn call_concurrently(fleet: &Fleet, first: u64) {
    let calls: Vec<_> = (first..first + CONCURRENT_CALLS)
        .map(|number| {
            let router = fleet.routers[usize::try_from(number % 2).unwrap()].caller_address;
            monoio::spawn(async move {
                let call = || fleet::call("/isbn", Some(&format!("key-{number}")));
                let served = async || {
                    let response = fetch(router, call()).await.unwrap();
                    let body = String::from_utf8_lossy(response.body()).into_owned();
                    let is_served = response.status() == StatusCode::OK;
                    assert!(is_served || body.contains("\"ran\":\"no\""), "{body}");
                    is_served.then_some(())
                };
                wait::poll(MAX_NOTICE_DELAY, "successful response", served)
                    .await
                    .unwrap();
            })
        })
        .collect();
    for call in calls {
        call.await;
    }
}

/// Guards against calls that are lost or run twice while their server leaves: the leaving server
/// refuses them, and the routers dispatch them to the other server.
#[test]
fn leaving_service_gets_no_new_work_and_its_calls_run_elsewhere() {
    block_on(async {
        let fleet = spawn().await;
        for service in &fleet.services {
            service.control(service::Control {
                delay_ms: Some(20),
                ..Default::default()
            });
        }
        fleet.services[0].control(service::Control {
            leaving: Some(true),
            ..Default::default()
        });
        let mut number = 0;
        let refused = async || {
            call_concurrently(&fleet, number).await;
            number += CONCURRENT_CALLS;
            (fleet.services[0].counters().refused > 0).then_some(())
        };
        wait::poll(MAX_NOTICE_DELAY, "refusal", refused)
            .await
            .unwrap();
        let first_refusal = Instant::now();
        while first_refusal.elapsed() < MAX_NOTICE_DELAY {
            call_concurrently(&fleet, number).await;
            number += CONCURRENT_CALLS;
        }
        let refused_before = fleet.services[0].counters().refused;
        for _ in 0..REQUESTS_AFTER_NOTICE / CONCURRENT_CALLS {
            call_concurrently(&fleet, number).await;
            number += CONCURRENT_CALLS;
        }
        assert_eq!(fleet.services[0].counters().refused, refused_before);
        assert_eq!(fleet.services[0].counters().runs, 0);
        assert_eq!(
            fleet.services[1].counters().runs,
            number,
            "each call ran once"
        );
    });
}
