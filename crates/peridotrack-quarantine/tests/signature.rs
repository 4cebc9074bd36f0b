//! Tests of the digest of whole requests.

use peridotrack_quarantine::signature::{self, Request, Signature};
use rstest::rstest;

const REQUEST: Request<'static> = Request {
    account: "desk",
    method: "GET",
    host: "desk.example",
    target: "/records/7?full=1",
    body: b"body",
};

#[test]
fn identical_requests_have_one_signature() {
    let first = signature::of_request(b"key", &REQUEST);
    assert_eq!(first, signature::of_request(b"key", &REQUEST));
    assert_eq!(first.to_string().parse(), Ok(first));
}

/// Guards against a caller that has requests of others blocked by sending the same path and body.
#[rstest]
#[case::account(Request { account: "other", ..REQUEST })]
#[case::method(Request { method: "HEAD", ..REQUEST })]
#[case::host(Request { host: "other.example", ..REQUEST })]
#[case::query(Request { target: "/records/7", ..REQUEST })]
#[case::body(Request { body: b"", ..REQUEST })]
#[case::shifted_fields(Request { account: "deskG", method: "ET", ..REQUEST })]
fn requests_that_differ_have_different_signatures(#[case] other: Request<'static>) {
    let first = signature::of_request(b"key", &REQUEST);
    assert_ne!(first, signature::of_request(b"key", &other));
}

/// A signature is logged and stored, so that it must not be computable from a guessed request.
#[test]
fn the_signature_depends_on_the_key() {
    let first = signature::of_request(b"key", &REQUEST);
    assert_ne!(first, signature::of_request(b"other", &REQUEST));
    assert!(matches!(first, Signature::Request(_)));
}
