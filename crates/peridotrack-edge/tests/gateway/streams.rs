//! An event stream must be forwarded completely, end visibly truncated if it is interrupted, and
//! continue on another backend server only if its route is resumable.

use std::time::Duration;

use http::StatusCode;
use peridotrack_standin::{
    harness::{http::block_on, wait},
    hosted::backend::{Mode, Resumption, STREAM_EVENTS},
};
use rstest::rstest;
use serde_json::json;

use crate::{
    fixture::{Fixture, LIMIT, entry, request},
    raw,
};

/// Time after which a change of the entries is known to the gateway.
const ENTRIES_FOLLOWED: Duration = Duration::from_millis(500);

/// Returns the events of a complete stream.
fn complete_stream() -> String {
    (0..STREAM_EVENTS)
        .map(|number| format!("id: {number}\ndata: part {number}\n\n"))
        .collect()
}

/// Adds to the entries of the servers when their processes started, and waits until that is known.
async fn list_starts(fixture: &Fixture, born_ms: u64) {
    for (number, backend) in fixture.backends.iter().enumerate() {
        let mut entry = entry(backend);
        entry["born"] = json!(born_ms);
        fixture.store.put("servers", &format!("i-{number}"), entry);
    }
    monoio::time::sleep(ENTRIES_FOLLOWED).await;
}

#[rstest]
#[case("/stream/x")]
#[case("/stream/resumable/x")]
fn a_complete_stream_is_forwarded_unchanged(#[case] path: &str) {
    block_on(async {
        let fixture = Fixture::spawn(2).await;
        let response = fixture.get(path).await.unwrap();
        assert_eq!(response.headers()["peridotrack-response-seal"], "3e1b");
        assert_eq!(
            std::str::from_utf8(response.body()).unwrap(),
            complete_stream()
        );
        assert_eq!(fixture.runs(), 1);
    });
}

/// Guards against running a stream twice, and against an end that looks complete to the client.
#[test]
fn an_interrupted_stream_ends_truncated_and_is_not_retried() {
    block_on(async {
        let fixture = Fixture::spawn(2).await;
        fixture.set_modes(Mode::CutStream);
        assert!(fixture.get("/stream/x").await.is_none());
        assert_eq!(fixture.runs(), 1);
    });
}

/// The first server closes the connection within its third event. The second server must be asked
/// to continue after the last complete event.
#[test]
fn a_resumable_stream_continues_on_another_server_without_gap_or_repetition() {
    block_on(async {
        let fixture = Fixture::spawn(2).await;
        fixture.set_modes(Mode::CutStream);
        let response = fixture.get("/stream/resumable/x").await.unwrap();
        assert_eq!(
            std::str::from_utf8(response.body()).unwrap(),
            complete_stream()
        );
        let runs = fixture.backends.iter().flat_map(|backend| backend.runs());
        let mut resumed_after: Vec<Option<String>> = runs
            .map(|run| {
                let last = run.headers.get("last-event-id");
                last.map(|last| last.to_str().unwrap().to_owned())
            })
            .collect();
        resumed_after.sort();
        assert_eq!(resumed_after, [None, Some("1".to_owned())]);
        assert!(
            fixture
                .backends
                .iter()
                .all(|backend| backend.runs().len() == 1)
        );
    });
}

#[test]
fn a_client_resumes_after_its_last_event() {
    block_on(async {
        let fixture = Fixture::spawn(1).await;
        // The stream of the request with the identifier 9c41.
        fixture.get("/stream/resumable/x").await.unwrap();
        let headers = [("last-event-id", "3"), ("resumes", "9c41")];
        let resumed = request("/stream/resumable/x", &headers);
        let response = fixture.send(resumed).await.unwrap();
        let text = std::str::from_utf8(response.body()).unwrap();
        assert_eq!(text, "id: 4\ndata: part 4\n\nid: 5\ndata: part 5\n\n");
    });
}

#[test]
fn a_stream_is_cancelled_when_its_client_disconnects() {
    block_on(async {
        let fixture = Fixture::spawn(1).await;
        fixture.set_modes(Mode::Slow);
        let limit = Duration::from_millis(300);
        let reading = monoio::time::timeout(limit, fixture.get("/stream/x"));
        assert!(reading.await.is_err(), "the stream is still open");
        let is_cancelled = || fixture.backends[0].cancelled() == 1;
        wait::until(LIMIT, "cancelled stream", is_cancelled)
            .await
            .unwrap();
    });
}

#[test]
fn a_stream_past_its_deadline_ends_truncated() {
    block_on(async {
        let fixture = Fixture::spawn(1).await;
        fixture.set_modes(Mode::Slow);
        assert!(fixture.get("/stream/x").await.is_none());
        assert_eq!(fixture.runs(), 1);
    });
}

/// Guards against the text of an error, or of events that the client has, within a stream.
#[rstest]
#[case::client_error(Resumption::Status(StatusCode::NOT_FOUND))]
#[case::server_error(Resumption::Status(StatusCode::INTERNAL_SERVER_ERROR))]
#[case::not_a_stream(Resumption::Status(StatusCode::OK))]
#[case::from_the_first_event(Resumption::AllEvents)]
fn a_server_that_does_not_continue_a_stream_adds_nothing_to_it(#[case] resumption: Resumption) {
    block_on(async {
        let fixture = Fixture::spawn(2).await;
        fixture.set_modes(Mode::CutStream);
        for backend in &fixture.backends {
            backend.set_resumption(resumption);
        }
        let mut client = raw::Connection::open(fixture.gateway.client_address())
            .await
            .unwrap();
        let request = raw::encode(&request("/stream/resumable/x", &[]));
        assert!(client.write(&request).await);
        let head = client.read_head().await.unwrap();
        let (received, is_complete) = client.read_chunks().await;
        assert_eq!(head.status, StatusCode::OK);
        assert_eq!(
            std::str::from_utf8(&received).unwrap(),
            "id: 0\ndata: part 0\n\nid: 1\ndata: part 1\n\n"
        );
        assert!(!is_complete);
        assert!(
            fixture.runs() > 1,
            "the stream is to be continued elsewhere"
        );
    });
}

/// A third server continues the stream that the second one refused to continue.
#[rstest]
#[case(StatusCode::NOT_FOUND)]
#[case(StatusCode::INTERNAL_SERVER_ERROR)]
fn a_stream_goes_on_after_a_server_that_does_not_continue_it(#[case] status: StatusCode) {
    block_on(async {
        // The servers are chosen at random: the one that refuses is rarely the second each time.
        for _ in 0..20 {
            let fixture = Fixture::spawn(3).await;
            fixture.set_modes(Mode::CutStream);
            fixture.backends[0].set_resumption(Resumption::Status(status));
            let response = fixture.get("/stream/resumable/x").await.unwrap();
            assert_eq!(
                std::str::from_utf8(response.body()).unwrap(),
                complete_stream()
            );
            let runs = fixture.backends[0].runs();
            if runs.iter().any(|run| run.continues().is_some()) {
                return;
            }
        }
        panic!("no stream met the server that refuses");
    });
}

/// The only server is sound, but takes long to state when it started.
#[test]
fn a_slow_report_keeps_other_requests_from_a_sound_server() {
    block_on(async {
        let fixture = Fixture::spawn(1).await;
        list_starts(&fixture, 1_000).await;
        // The stream of the request with the identifier 9c41.
        fixture.get("/stream/resumable/x").await.unwrap();
        fixture.backends[0].set_report_delay(Duration::from_secs(1));
        let headers = [("last-event-id", "3"), ("resumes", "9c41")];
        let resumed = request("/stream/resumable/x", &headers);
        let response = fixture.send(resumed).await.unwrap();
        assert!(!response.status().is_success(), "{response:?}");
        let response = fixture.get("/safe/x").await.unwrap();
        assert_eq!(response.status(), StatusCode::OK);
    });
}

/// The entries of both servers name the process that began there, but the second one has started
/// again since, and its software version is not known.
#[test]
fn a_stream_goes_on_at_a_process_that_started_again_under_its_name() {
    block_on(async {
        let fixture = Fixture::spawn(2).await;
        fixture.set_modes(Mode::CutStream);
        list_starts(&fixture, 1_000).await;
        for backend in &fixture.backends {
            backend.set_born_ms(Some(2_000));
        }
        assert!(fixture.get("/stream/resumable/x").await.is_none());
        assert_eq!(fixture.runs(), 1);
    });
}
