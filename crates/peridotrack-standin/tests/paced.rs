//! The client that sends requests in pieces, or ahead of a running stream.

use std::time::{Duration, Instant};

use peridotrack_standin::{
    harness::http::block_on,
    hosted::{
        backend::{self, Mode},
        client::{Outcome, Request},
        deployment::Kind,
        paced,
    },
};
use rstest::rstest;

fn request(id: &str, kind: Kind) -> Request {
    Request {
        id: id.to_owned(),
        kind,
        account: 0,
        prompt_tokens: 0,
        prompt_parts: Vec::new(),
        version: 1,
        event_interval_ms: None,
        repeated: None,
        resumed: None,
    }
}

#[rstest]
#[case::answered(Kind::Safe, Mode::Serve, Outcome::Status(200), 0)]
#[case::streamed(
    Kind::Stream,
    Mode::Serve,
    Outcome::Status(200),
    backend::STREAM_EVENTS
)]
#[case::cut(Kind::Stream, Mode::CutStream, Outcome::Incomplete, 2)]
#[case::closed_at_once(Kind::Safe, Mode::Reset, Outcome::Unanswered, 0)]
fn a_request_arrives_in_pieces(
    #[case] kind: Kind,
    #[case] mode: Mode,
    #[case] outcome: Outcome,
    #[case] events: u64,
) {
    block_on(async {
        let backend = backend::spawn().unwrap();
        backend.set_mode(mode);
        let (pause, sent) = (Duration::from_millis(200), Instant::now());
        let exchange = paced::send_in_pieces(backend.address(), &request("r-1", kind), pause).await;
        assert!(sent.elapsed() >= pause);
        assert_eq!((exchange.outcome, exchange.events), (outcome, events));
        assert_eq!(backend.runs()[0].body, "r-1");
    });
}

#[test]
fn a_connection_that_closes_after_it_was_read_counts_as_dropped() {
    block_on(async {
        let backend = backend::spawn().unwrap();
        backend.set_mode(Mode::Mute);
        let address = backend.address();
        monoio::spawn(async move {
            monoio::time::sleep(Duration::from_millis(600)).await;
            drop(backend);
        });
        let request = request("r-1", Kind::Safe);
        let exchange = paced::send_in_pieces(address, &request, Duration::from_millis(50)).await;
        assert_eq!(exchange.outcome, Outcome::Dropped);
    });
}

#[test]
fn a_request_is_sent_ahead_of_a_running_stream() {
    block_on(async {
        let backend = backend::spawn().unwrap();
        let stream = Request {
            event_interval_ms: Some(40),
            ..request("r-1", Kind::Stream)
        };
        let next = request("r-2", Kind::Unsafe);
        let [first, second] = paced::send_ahead(backend.address(), &stream, &next).await;
        assert_eq!(first.outcome, Outcome::Status(200));
        assert_eq!(first.events, backend::STREAM_EVENTS);
        assert_eq!(second.outcome, Outcome::Status(200));
        assert_eq!(backend.runs().len(), 2);
    });
}
