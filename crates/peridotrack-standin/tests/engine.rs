//! Contract tests of the engine stand-in: completions, resume, cancel, load, and injected faults.

mod common;

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use common::{call, header, run};
use peridotrack_http::client::Error;
use peridotrack_standin::engine::{
    self, Control, Load, LoadState, Options,
    chat::{self, Chunk, Completion, Message, Usage},
};
use rstest::rstest;

const TOKENS: u64 = 8;
const STREAM: bool = true;

fn spawn(control: Control) -> engine::Handle {
    engine::spawn(&Options {
        control,
        ..Options::default()
    })
    .unwrap()
}

fn body(stream: bool, priority: i64) -> Vec<u8> {
    let request = chat::Request {
        model: "m".to_owned(),
        messages: vec![Message::user("hello")],
        max_tokens: Some(TOKENS),
        stream,
        stream_options: chat::StreamOptions {
            include_usage: true,
        },
        priority,
    };
    serde_json::to_vec(&request).unwrap()
}

fn chat_head(request_id: &str) -> String {
    format!("POST /v1/chat/completions | peridotrack-request-id: {request_id}")
}

fn expected_text(request_id: &str) -> String {
    chat::completion_text(request_id, &[Message::user("hello")], TOKENS)
}

/// Content of all events of one stream.
#[derive(Debug, Default, PartialEq, Eq)]
struct Streamed {
    event_ids: Vec<u64>,
    completion_id: String,
    text: String,
    finish_reason: Option<String>,
    usage: Option<Usage>,
    done: bool,
}

fn parse(body: &[u8]) -> Streamed {
    let mut streamed = Streamed::default();
    for line in std::str::from_utf8(body).unwrap().lines() {
        match line.split_once(": ") {
            Some(("id", id)) => streamed.event_ids.push(id.parse().unwrap()),
            Some(("data", "[DONE]")) => streamed.done = true,
            Some(("data", data)) => {
                let chunk: Chunk = serde_json::from_str(data).unwrap();
                streamed.completion_id = chunk.id;
                streamed.usage = streamed.usage.or(chunk.usage);
                for choice in chunk.choices {
                    streamed
                        .text
                        .push_str(&choice.delta.content.unwrap_or_default());
                    streamed.finish_reason = streamed.finish_reason.or(choice.finish_reason);
                }
            }
            _ => assert!(line.is_empty(), "{line}"),
        }
    }
    streamed
}

async fn streamed(address: SocketAddr, request_id: &str) -> Result<Streamed, Error> {
    let response = call(address, &chat_head(request_id), body(STREAM, 0)).await?;
    assert_eq!(header(&response, "content-type"), "text/event-stream");
    Ok(parse(response.body()))
}

async fn resumed(address: SocketAddr, offset: u64) -> Result<Streamed, Error> {
    let head = format!("GET /v1/streams/r1?offset={offset}");
    Ok(parse(call(address, &head, "").await?.body()))
}

#[rstest]
#[case::at_once(None)]
#[case::token_by_token(Some(1))]
fn streamed_completion_is_complete_and_counted(#[case] token_delay_ms: Option<u64>) {
    run(async {
        let engine = spawn(Control {
            token_delay_ms,
            ..Control::default()
        });
        let expected = Streamed {
            event_ids: (0..=TOKENS + 1).collect(),
            completion_id: "chatcmpl-r1".to_owned(),
            text: expected_text("r1"),
            finish_reason: Some("length".to_owned()),
            usage: Some(Usage::new(5, TOKENS)),
            done: true,
        };
        assert_eq!(streamed(engine.address(), "r1").await.unwrap(), expected);
        let tally = engine.counters().by_request_id["r1"];
        assert_eq!((tally.runs, tally.tokens), (1, TOKENS));
    });
}

#[rstest]
#[case::length(None, TOKENS, "length")]
#[case::stop(Some(3), 3, "stop")]
#[case::limit_first(Some(TOKENS + 1), TOKENS, "length")]
fn unstreamed_completion_has_the_expected_text_and_usage(
    #[case] natural_tokens: Option<u64>,
    #[case] tokens: u64,
    #[case] finish_reason: &str,
) {
    run(async {
        let engine = spawn(Control {
            natural_tokens,
            ..Control::default()
        });
        let response = call(engine.address(), &chat_head("r1"), body(false, 0))
            .await
            .unwrap();
        let completion: Completion = serde_json::from_slice(response.body()).unwrap();
        let choice = &completion.choices[0];
        let expected = chat::completion_text("r1", &[Message::user("hello")], tokens);
        assert_eq!(choice.message.content, expected);
        assert_eq!(choice.finish_reason.as_deref(), Some(finish_reason));
        assert_eq!(completion.usage, Some(Usage::new(5, tokens)));
        assert_eq!(header(&response, "peridotrack-request-id"), "r1");
    });
}

#[test]
fn stream_resumes_at_every_offset() {
    run(async {
        let engine = spawn(Control::default());
        let complete = streamed(engine.address(), "r1").await.unwrap();
        for offset in 0..=TOKENS {
            let rest = resumed(engine.address(), offset).await.unwrap();
            let skipped = usize::try_from(offset).unwrap();
            assert_eq!(rest.event_ids, complete.event_ids[skipped..]);
            assert!(complete.text.ends_with(&rest.text) && rest.done);
            assert_eq!(rest.usage, complete.usage);
        }
        assert_eq!(engine.counters().runs, 1);
    });
}

#[test]
fn cut_stream_resumes_after_its_last_token() {
    run(async {
        let engine = spawn(Control {
            cut_after_tokens: Some(3),
            ..Control::default()
        });
        assert!(streamed(engine.address(), "r1").await.is_err());
        let rest = resumed(engine.address(), 3).await.unwrap();
        assert!(expected_text("r1").ends_with(&rest.text) && rest.done);
        assert_eq!(engine.counters().by_request_id["r1"].runs, 1);
    });
}

#[rstest]
#[case::streamed(STREAM)]
#[case::unstreamed(!STREAM)]
fn crashed_run_closes_the_connection_and_cannot_be_resumed(#[case] stream: bool) {
    run(async {
        let engine = spawn(Control {
            die_after_tokens: Some(3),
            ..Control::default()
        });
        let address = engine.address();
        assert!(
            call(address, &chat_head("r1"), body(stream, 0))
                .await
                .is_err()
        );
        let response = call(address, "GET /v1/streams/r1?offset=3", "")
            .await
            .unwrap();
        assert_eq!(response.status(), 404);
        assert_eq!(engine.counters().tokens, 3);
        assert!(streamed(address, "r1").await.unwrap().done);
        assert_eq!(engine.counters().by_request_id["r1"].runs, 2);
    });
}

#[test]
fn varied_runs_of_one_request_differ() {
    run(async {
        let engine = spawn(Control {
            vary_runs: Some(true),
            ..Control::default()
        });
        for (run, id) in ["r1", "r1#2", "r1#3"].iter().enumerate() {
            let response = streamed(engine.address(), "r1").await.unwrap();
            assert_eq!(response.text, expected_text(id));
            assert_eq!(chat::run_id("r1", run as u64 + 1), *id);
        }
    });
}

#[rstest]
#[case::no_usage(Control { omit_usage: Some(1), ..Control::default() }, "r1", TOKENS, false, true)]
#[case::truncated(Control { truncate: Some(1), ..Control::default() }, "r1", TOKENS / 2, false, false)]
#[case::crossed(Control { cross_answers: Some(1), ..Control::default() }, "r0", TOKENS, true, true)]
fn response_fault_affects_only_the_next_response(
    #[case] control: Control,
    #[case] request_id: &str,
    #[case] tokens: u64,
    #[case] usage: bool,
    #[case] done: bool,
) {
    run(async {
        let engine = spawn(Control::default());
        streamed(engine.address(), "r0").await.unwrap();
        engine.control(control);
        let response = streamed(engine.address(), "r1").await.unwrap();
        assert_eq!(response.completion_id, format!("chatcmpl-{request_id}"));
        let expected = chat::completion_text(request_id, &[Message::user("hello")], tokens);
        assert_eq!(response.text, expected);
        assert_eq!((response.usage.is_some(), response.done), (usage, done));
        assert!(
            streamed(engine.address(), "r1").await.unwrap().done,
            "the fault affects only the next response"
        );
    });
}

#[rstest]
#[case::refusing(Control { refuse: Some(true), ..Control::default() }, "", LoadState::Serving)]
#[case::leaving(Control { leaving: Some(true), ..Control::default() }, "close", LoadState::Leaving)]
fn refusal_is_marked_as_not_run(
    #[case] control: Control,
    #[case] connection: &str,
    #[case] state: LoadState,
) {
    run(async {
        let engine = spawn(control);
        let response = call(engine.address(), &chat_head("r1"), body(STREAM, 0))
            .await
            .unwrap();
        assert_eq!(response.status(), 503);
        assert_eq!(header(&response, "peridotrack-not-run"), "true");
        assert_eq!(header(&response, "connection"), connection);
        assert_eq!((engine.counters().runs, engine.counters().refused), (0, 1));
        assert_eq!(load(&engine).await.state, state);
    });
}

async fn load(engine: &engine::Handle) -> Load {
    let response = call(engine.address(), "GET /v1/load", "").await.unwrap();
    serde_json::from_slice(response.body()).unwrap()
}

#[test]
fn queue_orders_by_priority_then_arrival_and_load_counts_it() {
    run(async {
        let engine = spawn(Control {
            slots: Some(0),
            ..Control::default()
        });
        let finished = Rc::new(RefCell::new(Vec::new()));
        let mut tasks = Vec::new();
        for (index, (name, priority)) in [("a", 0), ("b", 5), ("c", 0), ("d", 5)].iter().enumerate()
        {
            let (address, finished, priority) = (engine.address(), finished.clone(), *priority);
            tasks.push(monoio::spawn(async move {
                call(address, &chat_head(name), body(!STREAM, priority))
                    .await
                    .unwrap();
                finished.borrow_mut().push(*name);
            }));
            common::until(|| engine.counters().runs == index as u64 + 1).await;
        }
        while load(&engine).await.queued < 4 {}
        engine.control(Control {
            token_delay_ms: Some(1),
            slots: Some(1),
            ..Control::default()
        });
        for task in tasks {
            task.await;
        }
        assert_eq!(*finished.borrow(), ["b", "d", "a", "c"]);
        let expected = Load {
            running: 0,
            queued: 0,
            slots: 1,
            state: LoadState::Serving,
            age_ms: 0,
        };
        assert_eq!(
            Load {
                age_ms: 0,
                ..load(&engine).await
            },
            expected
        );
    });
}

#[test]
fn load_report_is_cached_for_the_lag() {
    run(async {
        let engine = spawn(Control {
            load_lag_ms: Some(3_600_000),
            ..Control::default()
        });
        assert_eq!(load(&engine).await.slots, 64);
        engine.control(Control {
            slots: Some(1),
            ..Control::default()
        });
        assert_eq!(load(&engine).await.slots, 64);
        engine.control(Control {
            load_lag_ms: Some(0),
            ..Control::default()
        });
        assert_eq!(load(&engine).await.slots, 1);
    });
}

#[test]
fn cancelled_stream_is_closed_and_counted() {
    run(async {
        let engine = spawn(Control {
            first_token_ms: Some(0),
            token_delay_ms: Some(3_600_000),
            ..Control::default()
        });
        let address = engine.address();
        let streaming = monoio::spawn(async move { streamed(address, "r1").await });
        common::until(|| engine.counters().tokens == 1).await;
        let response = call(address, "DELETE /v1/streams/r1", "").await.unwrap();
        let cancelled: chat::Cancelled = serde_json::from_slice(response.body()).unwrap();
        assert_eq!(
            (cancelled.finished, cancelled.usage),
            (false, Usage::new(5, 1))
        );
        assert!(streaming.await.is_err());
        let again = call(address, "DELETE /v1/streams/r2", "").await.unwrap();
        assert_eq!(
            (again.status().as_u16(), engine.counters().cancelled),
            (404, 1)
        );
    });
}

#[test]
fn frozen_engine_responds_once_unfrozen() {
    run(async {
        let engine = spawn(Control {
            freeze: Some(true),
            ..Control::default()
        });
        let address = engine.address();
        let streaming = monoio::spawn(async move { streamed(address, "r1").await });
        monoio::time::sleep(std::time::Duration::from_millis(5)).await;
        assert_eq!(engine.counters().runs, 0);
        engine.control(Control {
            freeze: Some(false),
            ..Control::default()
        });
        assert!(streaming.await.unwrap().done);
    });
}

#[test]
fn malformed_request_is_refused() {
    run(async {
        let engine = spawn(Control::default());
        let response = call(engine.address(), &chat_head("r1"), "{}")
            .await
            .unwrap();
        assert_eq!(
            (response.status().as_u16(), engine.counters().runs),
            (400, 0)
        );
    });
}
