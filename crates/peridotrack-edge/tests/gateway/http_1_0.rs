//! Clients of HTTP/1.0.

use std::time::Duration;

use peridotrack_standin::harness::http::block_on;

use crate::{
    fixture::{self, Fixture},
    raw,
};

/// Maximum wait for a response.
const RESPONSE_LIMIT: Duration = Duration::from_secs(5);

/// Guards against a client of HTTP/1.0 whose stream runs and is dropped with its connection.
#[test]
fn a_stream_that_is_requested_with_http_1_0_gets_a_response() {
    block_on(async {
        let fixture = Fixture::spawn(1).await;
        let text = String::from_utf8(raw::encode(&fixture::request("/stream/x", &[]))).unwrap();
        let address = fixture.gateway.client_address();
        let mut connection = raw::Connection::open(address).await.unwrap();
        let old = text.replacen("HTTP/1.1", "HTTP/1.0", 1);
        assert!(connection.write(old.as_bytes()).await);
        let reading = monoio::time::timeout(RESPONSE_LIMIT, connection.read_head());
        let head = reading.await.ok().flatten();
        assert!(head.is_some(), "no response, {} runs", fixture.runs());
        let status = head.unwrap().status;
        assert_eq!(status, http::StatusCode::HTTP_VERSION_NOT_SUPPORTED);
        assert_eq!(fixture.runs(), 0);
    });
}
