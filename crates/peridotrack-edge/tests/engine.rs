//! Only a complete response to this request may be accepted: a caller must not receive the response
//! to another request or a truncated, repeated or reordered stream.

use peridotrack_edge::engine::{self, Error, Stream, Usage};
use peridotrack_types::id;
use rstest::rstest;

const REQUEST: id::Request = id::Request {
    incarnation: id::Incarnation(1),
    sequence: 7,
};
const OTHER: id::Request = id::Request {
    incarnation: id::Incarnation(1),
    sequence: 8,
};

fn event(number: u64, request_id: id::Request, rest: &str) -> String {
    format!("id: {number}\ndata: {{\"id\":\"chatcmpl-{request_id}\"{rest}}}\n\n")
}

fn tail() -> String {
    let usage = ",\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2}";
    format!("{}data: [DONE]\n\n", event(2, REQUEST, usage))
}

/// Pushes a stream in pieces of `piece_bytes` and returns the accepted events and the result.
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
#[case::single_bytes(1)]
#[case::seven_bytes(7)]
fn complete_stream_is_accepted_and_its_tail_is_withheld(#[case] piece_bytes: usize) {
    let body = format!("{}{}", event(0, REQUEST, ""), event(1, REQUEST, ""));
    let mut stream = Stream::new(REQUEST);
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
#[case::other_request(event(1, OTHER, ""), Error::WrongRequest { found: format!("chatcmpl-{OTHER}") })]
#[case::missing_event(event(2, REQUEST, ""), Error::OutOfOrder { found: 2, expected: 1 })]
#[case::repeated_event(event(0, REQUEST, ""), Error::OutOfOrder { found: 0, expected: 1 })]
#[case::cut_between_events(String::new(), Error::Truncated)]
#[case::cut_within_an_event("id: 1\ndata: {".to_owned(), Error::Truncated)]
#[case::done_without_empty_line("data: [DONE]".to_owned(), Error::Truncated)]
#[case::event_after_done(format!("data: [DONE]\n\n{}", event(1, REQUEST, "")), Error::TrailingData)]
fn faulty_stream_is_rejected_at_its_first_fault(#[case] rest: String, #[case] error: Error) {
    let mut stream = Stream::new(REQUEST);
    let first = event(0, REQUEST, "");
    let (out, result) = push(&mut stream, &format!("{first}{rest}"), 11);
    assert_eq!(result, Err(error));
    assert_eq!(out, first, "no event after the faulty one is accepted");
}

#[test]
fn resumed_stream_continues_after_the_last_complete_event() {
    let mut stream = Stream::new(REQUEST);
    let broken = format!("{}id: 1\nda", event(0, REQUEST, ""));
    let (first, result) = push(&mut stream, &broken, usize::MAX);
    assert_eq!(result, Err(Error::Truncated));
    assert_eq!(stream.events_seen(), 1);

    stream.resume();
    let rest = format!("{}{}", event(1, REQUEST, ""), tail());
    let (second, result) = push(&mut stream, &rest, usize::MAX);
    assert_eq!(result, Ok(()));
    assert_eq!(
        format!("{first}{second}"),
        format!("{}{}", event(0, REQUEST, ""), event(1, REQUEST, ""))
    );
}

#[rstest]
#[case::same_request(REQUEST, true)]
#[case::other_request(OTHER, false)]
fn response_must_name_the_request(#[case] named: id::Request, #[case] is_accepted: bool) {
    let body = format!("{{\"id\":\"chatcmpl-{named}\"}}");
    assert_eq!(
        engine::check_body(body.as_bytes(), REQUEST).is_ok(),
        is_accepted
    );
    let response = http::Response::builder()
        .header(engine::REQUEST_ID_HEADER, named.to_string())
        .body(())
        .expect("valid parts");
    assert_eq!(
        engine::check_head(&response.into_parts().0, REQUEST).is_ok(),
        is_accepted
    );
}
