//! Streams: order, breaks, resumption.

use peridotrack_standin::{
    harness::{http::block_on, wait},
    hosted::backend::{Mode, STREAM_EVENTS},
};
use rstest::rstest;

use crate::rig::{LIMIT, Rig, request};

fn whole() -> String {
    (0..STREAM_EVENTS)
        .map(|number| format!("id: {number}\ndata: part {number}\n\n"))
        .collect()
}

#[rstest]
#[case("/stream/x")]
#[case("/stream/resumable/x")]
fn a_stream_is_passed_on_whole(#[case] path: &str) {
    block_on(async {
        let rig = Rig::spawn(2).await;
        let answer = rig.get(path).await.unwrap();
        assert_eq!(answer.headers()["peridotrack-response-seal"], "3e1b");
        assert_eq!(std::str::from_utf8(answer.body()).unwrap(), whole());
        assert_eq!(rig.runs(), 1);
    });
}

#[test]
fn a_stream_that_breaks_off_looks_cut_and_is_not_run_again() {
    block_on(async {
        let rig = Rig::spawn(2).await;
        rig.set_modes(Mode::CutStream);
        assert!(rig.get("/stream/x").await.is_none());
        assert_eq!(rig.runs(), 1);
    });
}

#[test]
fn a_resumable_stream_goes_on_elsewhere_without_a_gap_or_a_repeat() {
    block_on(async {
        let rig = Rig::spawn(2).await;
        rig.set_modes(Mode::CutStream);
        let answer = rig.get("/stream/resumable/x").await.unwrap();
        assert_eq!(std::str::from_utf8(answer.body()).unwrap(), whole());
        let runs = rig.engines.iter().flat_map(|engine| engine.runs());
        let mut last: Vec<Option<String>> = runs
            .map(|run| {
                let last = run.headers.get("last-event-id");
                last.map(|last| last.to_str().unwrap().to_owned())
            })
            .collect();
        last.sort();
        assert_eq!(last, [None, Some("1".to_owned())]);
        assert!(rig.engines.iter().all(|engine| engine.runs().len() == 1));
    });
}

#[test]
fn a_client_resumes_after_the_event_that_it_names() {
    block_on(async {
        let rig = Rig::spawn(1).await;
        let resumed = request("/stream/resumable/x", &[("last-event-id", "3")]);
        let answer = rig.send(resumed).await.unwrap();
        let text = std::str::from_utf8(answer.body()).unwrap();
        assert_eq!(text, "id: 4\ndata: part 4\n\nid: 5\ndata: part 5\n\n");
    });
}

#[test]
fn a_client_that_leaves_a_stream_cancels_it() {
    block_on(async {
        let rig = Rig::spawn(1).await;
        rig.set_modes(Mode::Slow);
        let limit = std::time::Duration::from_millis(300);
        let reading = monoio::time::timeout(limit, rig.get("/stream/x"));
        assert!(reading.await.is_err(), "the stream is still open");
        let left = || rig.engines[0].cancelled() == 1;
        wait::until(LIMIT, "the cancelled stream", left)
            .await
            .unwrap();
    });
}

#[test]
fn a_stream_beyond_its_time_limit_is_cut() {
    block_on(async {
        let rig = Rig::spawn(1).await;
        rig.set_modes(Mode::Slow);
        assert!(rig.get("/stream/x").await.is_none());
        assert_eq!(rig.runs(), 1);
    });
}
