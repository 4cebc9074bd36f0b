//! Constructors of the responses that all stand-ins share.

use bytes::Bytes;
use http::{Response, StatusCode, header, response::Builder};
use serde::Serialize;

/// Header with the id of a request, the same at every hop.
pub(crate) const REQUEST_ID: &str = "peridotrack-request-id";
/// Header of a refusal which guarantees that the request was not executed.
pub(crate) const NOT_RUN: &str = "peridotrack-not-run";

/// JSON body of an error response.
#[derive(Serialize)]
struct Failure<'a> {
    error: &'a str,
}

/// Returns a response without a body.
pub(crate) fn empty(status: StatusCode) -> Response<Bytes> {
    finish(Response::builder().status(status), Bytes::new())
}

/// Returns a JSON response with status 200.
pub(crate) fn json(value: &impl Serialize) -> Response<Bytes> {
    json_with(Response::builder(), value)
}

/// Adds a JSON body and its content type to `builder`.
pub(crate) fn json_with(builder: Builder, value: &impl Serialize) -> Response<Bytes> {
    let body = serde_json::to_vec(value).expect("the stand-ins' types have string keys only");
    let builder = builder.header(header::CONTENT_TYPE, "application/json");
    finish(builder, body.into())
}

/// Returns an error response with a JSON body.
pub(crate) fn failure(status: StatusCode, error: &str) -> Response<Bytes> {
    json_with(Response::builder().status(status), &Failure { error })
}

/// Returns a 503 refusal of a request that was not executed; with `leaving` the connection closes
/// too.
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

/// Completes `builder`, whose headers must be constants or come from a parsed request.
pub(crate) fn finish<T>(builder: Builder, body: T) -> Response<T> {
    builder.body(body).expect("the headers are valid")
}
