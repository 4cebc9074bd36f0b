//! Shared fixture: one runtime per test, and plain HTTP calls to a stand-in.
#![allow(dead_code)]

use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use peridotrack_http::client::{Connection, Error, Options};

/// Timeout of a whole test, so that a hang is a failure.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a test body on its own runtime, within the timeout.
pub fn run<T>(body: impl Future<Output = T>) -> T {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .unwrap();
    runtime
        .block_on(async { monoio::time::timeout(TEST_TIMEOUT, body).await })
        .expect("the test timed out")
}

/// Sends one request on a new connection. `head` is a method and a path, then headers, as in
/// `PUT /a | if-match: "1"`.
pub async fn call(
    address: SocketAddr,
    head: &str,
    body: impl Into<Bytes>,
) -> Result<Response<Bytes>, Error> {
    let mut connection = Connection::connect(address, Options::default()).await?;
    let head = connection.send(request(head, body)).await?;
    let body = connection.read_body().await?;
    Ok(Response::from_parts(head, body))
}

/// Builds a request from a head as in [`call`].
pub fn request(head: &str, body: impl Into<Bytes>) -> Request<Bytes> {
    let mut parts = head.split(" | ");
    let (method, path) = parts.next().unwrap().split_once(' ').unwrap();
    let mut builder = Request::builder().method(method).uri(path);
    for header in parts {
        let (name, value) = header.split_once(": ").unwrap();
        builder = builder.header(name, value);
    }
    builder.body(body.into()).unwrap()
}

/// Returns the value of a response header, empty if it is missing.
pub fn header<'a>(response: &'a Response<Bytes>, name: &str) -> &'a str {
    response
        .headers()
        .get(name)
        .map_or("", |value| value.to_str().unwrap())
}

/// Polls until `condition` holds; only the timeout of the test bounds the wait.
pub async fn until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        monoio::time::sleep(Duration::from_millis(1)).await;
    }
}
