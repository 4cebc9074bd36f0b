//! Answers that the stand-ins share.

use bytes::Bytes;
use http::{Response, StatusCode, header, response::Builder};
use serde::Serialize;

/// Header that names one request end to end.
pub(crate) const REQUEST_ID: &str = "peridotrack-request-id";
/// Header of a refusal that proves that the request did not run.
pub(crate) const NOT_RUN: &str = "peridotrack-not-run";

/// The body of a failed answer.
#[derive(Serialize)]
struct Failure<'a> {
    error: &'a str,
}

/// An answer without a body.
pub(crate) fn empty(status: StatusCode) -> Response<Bytes> {
    finish(Response::builder().status(status), Bytes::new())
}

/// A JSON answer with status 200.
pub(crate) fn json(value: &impl Serialize) -> Response<Bytes> {
    json_with(Response::builder(), value)
}

/// A JSON answer on top of `builder`.
pub(crate) fn json_with(builder: Builder, value: &impl Serialize) -> Response<Bytes> {
    let body = serde_json::to_vec(value).expect("the stand-ins' types have string keys only");
    let builder = builder.header(header::CONTENT_TYPE, "application/json");
    finish(builder, body.into())
}

/// A failed answer.
pub(crate) fn failure(status: StatusCode, error: &str) -> Response<Bytes> {
    json_with(Response::builder().status(status), &Failure { error })
}

/// A refusal of work that was not begun; `leaving` closes the connection too.
pub(crate) fn not_run(error: &str, leaving: bool) -> Response<Bytes> {
    let mut builder = Response::builder()
        .status(StatusCode::SERVICE_UNAVAILABLE)
        .header(NOT_RUN, "true")
        .header(header::RETRY_AFTER, "1");
    if leaving {
        builder = builder.header(header::CONNECTION, "close");
    }
    json_with(builder, &Failure { error })
}

/// Completes a builder whose headers come from fixed text or from checked headers.
pub(crate) fn finish<T>(builder: Builder, body: T) -> Response<T> {
    builder.body(body).expect("the headers are valid")
}
