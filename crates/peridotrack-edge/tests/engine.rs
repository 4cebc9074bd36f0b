//! Answers of engines: only the whole answer to this request passes.

use peridotrack_edge::engine::{self, Error, Stream, Usage};
use peridotrack_types::id;
use rstest::rstest;

const OURS: id::Request = id::Request {
    incarnation: id::Incarnation(1),
    sequence: 7,
};
const THEIRS: id::Request = id::Request {
    incarnation: id::Incarnation(1),
    sequence: 8,
};

fn event(number: u64, request_id: id::Request, rest: &str) -> String {
    format!("id: {number}\ndata: {{\"id\":\"chatcmpl-{request_id}\"{rest}}}\n\n")
}

fn tail() -> String {
    let usage = ",\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2}";
    format!("{}data: [DONE]\n\n", event(2, OURS, usage))
}

/// Pushes a stream in pieces of `piece_bytes` and returns what passed and how it ended.
fn push(stream: &mut Stream, text: &str, piece_bytes: usize) -> (String, Result<(), Error>) {
    let (mut out, mut held) = (Vec::new(), Vec::new());
    for piece in text.as_bytes().chunks(piece_bytes) {
        if let Err(error) = stream.push(piece, &mut out, &mut held) {
            return (String::from_utf8(out).expect("UTF-8"), Err(error));
        }
    }
    (String::from_utf8(out).expect("UTF-8"), stream.finish())
}

#[rstest]
#[case::at_once(usize::MAX)]
#[case::bytewise(1)]
#[case::in_sevens(7)]
fn whole_stream_passes_and_its_tail_is_held_back(#[case] piece_bytes: usize) {
    let body = format!("{}{}", event(0, OURS, ""), event(1, OURS, ""));
    let mut stream = Stream::new(OURS);
    let (out, result) = push(&mut stream, &format!("{body}{}", tail()), piece_bytes);
    assert_eq!(result, Ok(()));
    assert_eq!(out, body);
    assert_eq!(
        stream.usage(),
        Some(Usage {
            prompt_tokens: 3,
            completion_tokens: 2
        })
    );
}

#[rstest]
#[case::crossed(event(1, THEIRS, ""), Error::WrongRequest { found: format!("chatcmpl-{THEIRS}") })]
#[case::skipped(event(2, OURS, ""), Error::OutOfOrder { found: 2, expected: 1 })]
#[case::repeated(event(0, OURS, ""), Error::OutOfOrder { found: 0, expected: 1 })]
#[case::cut_between_events(String::new(), Error::Truncated)]
#[case::cut_within_an_event("id: 1\ndata: {".to_owned(), Error::Truncated)]
#[case::done_without_its_last_line("data: [DONE]".to_owned(), Error::Truncated)]
#[case::goes_on(format!("data: [DONE]\n\n{}", event(1, OURS, "")), Error::TrailingData)]
fn wrong_stream_never_looks_whole(#[case] rest: String, #[case] error: Error) {
    let mut stream = Stream::new(OURS);
    let first = event(0, OURS, "");
    let (out, result) = push(&mut stream, &format!("{first}{rest}"), 11);
    assert_eq!(result, Err(error));
    assert_eq!(out, first, "nothing after the fault passes");
}

#[test]
fn resumed_stream_goes_on_where_it_broke() {
    let mut stream = Stream::new(OURS);
    let broken = format!("{}id: 1\nda", event(0, OURS, ""));
    let (first, result) = push(&mut stream, &broken, usize::MAX);
    assert_eq!(result, Err(Error::Truncated));
    assert_eq!(stream.events_seen(), 1);

    stream.resume();
    let rest = format!("{}{}", event(1, OURS, ""), tail());
    let (second, result) = push(&mut stream, &rest, usize::MAX);
    assert_eq!(result, Ok(()));
    assert_eq!(
        format!("{first}{second}"),
        format!("{}{}", event(0, OURS, ""), event(1, OURS, ""))
    );
}

#[rstest]
#[case::ours(OURS, true)]
#[case::theirs(THEIRS, false)]
fn whole_answer_must_name_the_request(#[case] named: id::Request, #[case] is_ours: bool) {
    let body = format!("{{\"id\":\"chatcmpl-{named}\"}}");
    assert_eq!(engine::check_body(body.as_bytes(), OURS).is_ok(), is_ours);
    let response = http::Response::builder()
        .header(engine::REQUEST_ID_HEADER, named.to_string())
        .body(())
        .expect("valid parts");
    assert_eq!(
        engine::check_head(&response.into_parts().0, OURS).is_ok(),
        is_ours
    );
}
