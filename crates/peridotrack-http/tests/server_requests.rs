//! `server::Connection::next` reads complete requests and refuses malformed, oversized and slow
//! ones.
//!
//! Guards against request smuggling through ambiguous framing, unbounded memory, and callers that
//! hold a connection without sending.

mod common;

use bytes::Bytes;
use common::{AfterSend, run};
use peridotrack_http::server::{Connection, Error, Options, Request, Step};
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;

const HEAD_BYTES: usize = 256;
const BODY_BYTES: usize = 64;

fn options() -> Options {
    Options {
        head_bytes: HEAD_BYTES,
        body_bytes: BODY_BYTES,
        idle_timeout_ms: 10_000,
        head_timeout_ms: 10_000,
        body_timeout_ms: 10_000,
        write_timeout_ms: 10_000,
    }
}

async fn read_first(
    options: Options,
    parts: Vec<Vec<u8>>,
    after: AfterSend,
) -> Result<Option<Request>, Error> {
    let (mut caller, accepted) = common::connected_pair().await;
    let mut connection = Connection::new(accepted, options);
    let sender = monoio::spawn(async move {
        common::send_parts(&mut caller, parts, after).await;
        caller
    });
    let outcome = connection.next().await;
    drop(sender);
    outcome
}

fn read_then_close(text: &[u8]) -> Result<Option<Request>, Error> {
    run(read_first(options(), vec![text.to_vec()], AfterSend::Close))
}

fn kind(outcome: &Result<Option<Request>, Error>) -> &'static str {
    match outcome {
        Ok(Some(_)) => "request",
        Ok(None) => "none",
        Err(Error::Malformed { .. }) => "malformed",
        Err(Error::HeadTooLarge { .. }) => "head too large",
        Err(Error::BodyTooLarge { .. }) => "body too large",
        Err(Error::TimedOut { step, .. }) if *step == Step::Head => "timeout in head",
        Err(Error::TimedOut { .. }) => "timeout in body",
        Err(Error::Io { step, .. }) if *step == Step::Head => "cut in head",
        Err(Error::Io { .. }) => "cut in body",
        Err(_) => "other",
    }
}

#[rstest]
#[case::get("GET /a/b?c=d HTTP/1.1\r\nHost: x\r\n\r\n", "/a/b?c=d", "")]
#[case::fixed(
    "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello",
    "/a",
    "hello"
)]
#[case::empty("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", "/a", "")]
#[case::chunked(
    "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
    "/a",
    "hello"
)]
#[case::uppercase_chunk_size(
    "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: CHUNKED\r\n\r\nA\r\n0123456789\r\n00\r\n\r\n",
    "/a",
    "0123456789"
)]
fn complete_request_is_read_at_any_split(
    #[case] text: &str,
    #[case] target: &str,
    #[case] body: &str,
) {
    for split in 1..text.len() {
        let parts = vec![
            text.as_bytes()[..split].to_vec(),
            text.as_bytes()[split..].to_vec(),
        ];
        let request = run(read_first(options(), parts, AfterSend::KeepOpen))
            .unwrap()
            .unwrap();
        assert_eq!(request.head.uri, target, "split at {split}");
        assert_eq!(request.body, body, "split at {split}");
    }
}

#[rstest]
#[case::no_version("GET /\r\n\r\n")]
#[case::empty_line_first("\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n")]
#[case::method("G@T / HTTP/1.1\r\nHost: x\r\n\r\n")]
#[case::http2("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")]
#[case::no_host("GET / HTTP/1.1\r\n\r\n")]
#[case::two_hosts("GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n")]
#[case::bare_line_feed("GET / HTTP/1.1\r\nHost: x\nA: b\r\n\r\n")]
#[case::hidden_behind_bare_empty_line("GET / HTTP/1.1\nHost: x\n\nGET /b HTTP/1.1\r\n\r\n")]
#[case::folded_header("GET / HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n")]
#[case::space_before_colon("GET / HTTP/1.1\r\nHost: x\r\nContent-Length : 5\r\n\r\nhello")]
#[case::control_in_value("GET / HTTP/1.1\r\nHost: x\0y\r\n\r\n")]
#[case::carriage_return_in_value("GET / HTTP/1.1\r\nHost: x\ry\r\n\r\n")]
#[case::length_text("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: five\r\n\r\nhello")]
#[case::length_signed("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: +5\r\n\r\nhello")]
#[case::length_list("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5, 5\r\n\r\nhello")]
#[case::length_empty("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: \r\n\r\nhello")]
#[case::length_overflow(
    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999999999999999\r\n\r\nhello"
)]
#[case::lengths_differ(
    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!"
)]
#[case::lengths_repeat(
    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello"
)]
#[case::length_and_coding(
    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
)]
#[case::coding_unknown("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n0\r\n\r\n")]
#[case::coding_list(
    "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"
)]
#[case::coding_repeated(
    "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n"
)]
#[case::coding_in_http10("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")]
#[case::chunk_size(
    "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nz\r\nhello\r\n"
)]
#[case::chunk_size_missing(
    "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n\r\n\r\n0\r\n\r\n"
)]
#[case::chunk_extension(
    "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\n\r\n"
)]
#[case::chunk_longer_than_announced(
    "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhello\r\n0\r\n\r\n"
)]
#[case::trailer(
    "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n\r\n"
)]
fn malformed_request_is_refused(#[case] text: &str) {
    assert_eq!(kind(&read_then_close(text.as_bytes())), "malformed");
}

fn post(framing: &str, body: &str) -> Vec<u8> {
    format!("POST / HTTP/1.1\r\nHost: x\r\n{framing}\r\n\r\n{body}").into_bytes()
}

fn padded_head(total_bytes: usize) -> Vec<u8> {
    let frame = "GET / HTTP/1.1\r\nHost: x\r\nA: \r\n\r\n".len();
    let padding = "a".repeat(total_bytes - frame);
    format!("GET / HTTP/1.1\r\nHost: x\r\nA: {padding}\r\n\r\n").into_bytes()
}

#[rstest]
#[case::head_at_limit(padded_head(HEAD_BYTES), "request")]
#[case::head_over_limit(padded_head(HEAD_BYTES + 1), "head too large")]
#[case::endless_header(vec![b'a'; 4096], "head too large")]
#[case::endless_headers("A: b\r\n".repeat(4096).into_bytes(), "head too large")]
#[case::body_at_limit(post("Content-Length: 64", &"b".repeat(64)), "request")]
#[case::length_over_limit(post("Content-Length: 65", ""), "body too large")]
#[case::chunk_over_limit(
    post("Transfer-Encoding: chunked", &format!("41\r\n{}\r\n", "b".repeat(65))),
    "body too large"
)]
#[case::chunk_announced_huge(
    post("Transfer-Encoding: chunked", &format!("fffffffffffff\r\n{}", "b".repeat(4096))),
    "body too large"
)]
#[case::endless_chunk_size(
    post("Transfer-Encoding: chunked", &"0".repeat(4096)),
    "body too large"
)]
#[case::endless_small_chunks(
    post("Transfer-Encoding: chunked", &"1\r\nb\r\n".repeat(65)),
    "body too large"
)]
#[case::closed_at_once(Vec::new(), "none")]
#[case::cut_in_head(b"GET / HT".to_vec(), "cut in head")]
#[case::cut_in_fixed_body(post("Content-Length: 5", "hell"), "cut in body")]
#[case::cut_in_chunk(post("Transfer-Encoding: chunked", "5\r\nhell"), "cut in body")]
#[case::cut_before_last_chunk(post("Transfer-Encoding: chunked", "5\r\nhello\r\n"), "cut in body")]
fn limits_are_exact_and_truncation_is_detected(#[case] text: Vec<u8>, #[case] expected: &str) {
    let outcome = read_then_close(&text);
    assert_eq!(kind(&outcome), expected);
}

#[test]
fn too_many_fields_count_as_too_large() {
    let fields = "A: b\r\n".repeat(97);
    let text = format!("GET / HTTP/1.1\r\nHost: x\r\n{fields}\r\n").into_bytes();
    let options = Options {
        head_bytes: 16 * 1024,
        ..options()
    };
    let outcome = run(read_first(options, vec![text], AfterSend::KeepOpen));
    assert_eq!(kind(&outcome), "head too large");
}

#[rstest]
#[case::nothing_sent(b"".as_slice(), "none")]
#[case::stalled_in_head(b"GET / HT".as_slice(), "timeout in head")]
#[case::stalled_in_body(
    b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhell".as_slice(),
    "timeout in body"
)]
fn slow_caller_times_out(#[case] text: &[u8], #[case] expected: &str) {
    let options = Options {
        idle_timeout_ms: 30,
        head_timeout_ms: 30,
        body_timeout_ms: 30,
        ..options()
    };
    let outcome = run(read_first(
        options,
        vec![text.to_vec()],
        AfterSend::KeepOpen,
    ));
    assert_eq!(kind(&outcome), expected);
}

#[test]
fn pipelined_requests_are_read_one_at_a_time() {
    run(async {
        let (mut caller, accepted) = common::connected_pair().await;
        let mut connection = Connection::new(accepted, options());
        let text = "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab\
                    GET /2 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        common::send_parts(&mut caller, vec![text.into()], AfterSend::KeepOpen).await;
        for (target, body, keep_alive) in [("/1", "ab", true), ("/2", "", false)] {
            let request = connection.next().await.unwrap().unwrap();
            assert_eq!(
                (request.head.uri.path(), &request.body[..]),
                (target, body.as_bytes())
            );
            assert_eq!(connection.keep_alive(), keep_alive);
            connection
                .respond(http::Response::new(request.body))
                .await
                .unwrap();
        }
        assert!(connection.next().await.unwrap().is_none());
    });
}

#[test]
fn expect_continue_gets_an_interim_response() {
    run(async {
        let (mut caller, accepted) = common::connected_pair().await;
        let mut connection = Connection::new(accepted, options());
        let head = post("Expect: 100-continue\r\nContent-Length: 5", "");
        common::send_parts(&mut caller, vec![head], AfterSend::KeepOpen).await;
        let reader = monoio::spawn(async move {
            let mut text = String::new();
            common::read_until(&mut caller, &mut text, "\r\n\r\n").await;
            assert_eq!(text, "HTTP/1.1 100 Continue\r\n\r\n");
            common::send_parts(&mut caller, vec![b"hello".to_vec()], AfterSend::KeepOpen).await;
        });
        let request = connection.next().await.unwrap().unwrap();
        assert_eq!(request.body, Bytes::from("hello"));
        reader.await;
    });
}

#[test]
fn any_byte_in_a_header_name_is_accepted_or_refused() {
    for byte in 0..=u8::MAX {
        let mut text = b"GET / HTTP/1.1\r\nHost: x\r\nA".to_vec();
        text.push(byte);
        text.extend_from_slice(b"b: c\r\n\r\n");
        let outcome = kind(&read_then_close(&text)).to_owned();
        assert!(
            ["request", "malformed"].contains(&outcome.as_str()),
            "{byte}: {outcome}"
        );
    }
}

/// Guards against a read that goes on although the server has ended it, or whose end loses a complete
/// request.
#[rstest]
#[case::part_of_head("POST / HTTP/1.1\r\nHost", "ended")]
#[case::part_of_body("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nab", "ended")]
#[case::complete("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab", "request")]
fn an_ended_read_gets_a_response_unless_the_request_is_complete(
    #[case] text: &str,
    #[case] expected: &str,
) {
    run(async {
        let (mut caller, accepted) = common::connected_pair().await;
        let mut connection = Connection::new(accepted, options());
        let part = vec![text.as_bytes().to_vec()];
        common::send_parts(&mut caller, part, AfterSend::KeepOpen).await;
        connection.readable().await;
        let outcome = connection.next_until(std::future::ready(())).await;
        let kind = match &outcome {
            Err(Error::Ended { .. }) => "ended",
            _ => kind(&outcome),
        };
        assert_eq!(kind, expected);
        let response = http::Response::builder().status(503).body(Bytes::new());
        let sender = monoio::spawn(async move {
            let mut text = String::new();
            common::read_until(&mut caller, &mut text, "\r\n\r\n").await;
            text
        });
        connection.respond(response.unwrap()).await.unwrap();
        assert!(sender.await.starts_with("HTTP/1.1 503"));
        assert_eq!(connection.keep_alive(), expected == "request");
    });
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// A corrupted request never causes a panic, a hang or a body above the limit.
    #[test]
    fn corrupted_request_stays_within_the_body_limit(
        position in 0_usize..90,
        removed in 0_usize..8,
        inserted in proptest::collection::vec(any::<u8>(), 0..8),
    ) {
        let mut text = post("Transfer-Encoding: chunked", "5\r\nhello\r\n0\r\n\r\n");
        let position = position.min(text.len());
        let end = (position + removed).min(text.len());
        text.splice(position..end, inserted);
        if let Ok(Some(request)) = read_then_close(&text) {
            prop_assert!(request.body.len() <= BODY_BYTES);
        }
    }
}
