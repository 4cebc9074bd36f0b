//! Contract tests of the plain service stand-in and its injected faults.

mod common;

use common::{call, header, run};
use peridotrack_standin::service::{self, Control, Echo, Options};
use rstest::rstest;

const HEAD: &str = "POST /isbn?x=1 | idempotency-key: k1 | peridotrack-request-id: r1";

fn spawn(control: Control) -> service::Handle {
    service::spawn(&Options {
        control,
        ..Options::default()
    })
    .unwrap()
}

#[test]
fn echo_depends_on_the_request_alone() {
    run(async {
        let service = spawn(Control::default());
        for run in 1..=2 {
            let response = call(service.address(), HEAD, "abc").await.unwrap();
            let echo: Echo = serde_json::from_slice(response.body()).unwrap();
            let expected = Echo {
                method: "POST".to_owned(),
                path: "/isbn?x=1".to_owned(),
                request_id: Some("r1".to_owned()),
                idempotency_key: Some("k1".to_owned()),
                body_sha256: "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
                    .to_owned(),
            };
            assert_eq!(echo, expected);
            assert_eq!(header(&response, "peridotrack-request-id"), "r1");
            assert_eq!(header(&response, "idempotency-key"), "k1");
            assert_eq!(service.counters().by_key["k1"].runs, run);
            assert_eq!(service.counters().by_request_id["r1"].runs, run);
        }
    });
}

/// Expects a status (0: no response), the value of the header that marks it as not run, and the
/// number of runs.
#[rstest]
#[case::healthy(Control::default(), 200, "", 1)]
#[case::slow(Control { delay_ms: Some(5), ..Control::default() }, 200, "", 1)]
#[case::dies(Control { die_before_answer: Some(1), ..Control::default() }, 0, "", 1)]
#[case::refuses(Control { refuse: Some(true), ..Control::default() }, 503, "true", 0)]
#[case::leaves(Control { leaving: Some(true), ..Control::default() }, 503, "true", 0)]
fn faults_determine_status_and_runs(
    #[case] control: Control,
    #[case] status: u16,
    #[case] not_run: &str,
    #[case] runs: u64,
) {
    run(async {
        let service = spawn(control);
        match call(service.address(), HEAD, "").await {
            Ok(response) => {
                assert_eq!(response.status(), status);
                assert_eq!(header(&response, "peridotrack-not-run"), not_run);
            }
            Err(_) => assert_eq!(status, 0),
        }
        assert_eq!(service.counters().runs, runs);
    });
}

#[test]
fn crossed_response_names_another_request() {
    run(async {
        let service = spawn(Control {
            cross_answers: Some(1),
            ..Control::default()
        });
        for request_id in ["crossed", "r1"] {
            let response = call(service.address(), HEAD, "").await.unwrap();
            assert_eq!(header(&response, "peridotrack-request-id"), request_id);
        }
    });
}
