//! The stand-in of a backend server: what it records of the requests that it ran.

use std::time::Duration;

use peridotrack_standin::{
    harness::http::block_on,
    hosted::{
        backend,
        client::{self, Outcome, Request},
        deployment::Kind,
    },
};
use rstest::rstest;

const DELAY: Duration = Duration::from_millis(100);

#[rstest]
#[case::stated(Kind::Safe, true, true)]
#[case::stated_in_a_stream(Kind::Stream, true, true)]
#[case::stated_until_the_response(Kind::Safe, true, false)]
#[case::stated_since_the_request(Kind::Safe, false, true)]
#[case::not_stated(Kind::Safe, false, false)]
fn a_run_records_whether_its_response_states_that_the_server_leaves(
    #[case] kind: Kind,
    #[case] at_request: bool,
    #[case] at_response: bool,
) {
    block_on(async {
        let backend = backend::spawn().unwrap();
        backend.set_response_delay(DELAY);
        backend.set_leaving(at_request);
        let request = Request {
            id: "r-1".to_owned(),
            kind,
            account: 0,
            prompt_tokens: 0,
            prompt_parts: Vec::new(),
            version: 1,
            event_interval_ms: None,
            repeated: None,
            resumed: None,
        };
        let mut connection = None;
        let (exchange, ()) = monoio::join!(
            client::send(backend.address(), &mut connection, &request),
            async {
                monoio::time::sleep(DELAY / 2).await;
                backend.set_leaving(at_response);
            }
        );
        assert_eq!(exchange.outcome, Outcome::Status(200));
        assert_eq!(backend.runs()[0].has_stated_leaving(), at_response);
    });
}
