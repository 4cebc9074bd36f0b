//! Callers of HTTP/1.0.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::TcpStream,
};
use peridotrack_standin::harness::{
    fleet::{self, Fleet},
    http::block_on,
};
use rstest::rstest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_peridotrackd");
/// Maximum wait for the next bytes of a response.
const READ_LIMIT: Duration = Duration::from_secs(5);

async fn spawn() -> Fleet {
    let options = fleet::Options {
        program: PROGRAM.into(),
        failure_domains: 1,
        routers: 1,
        engines: 1,
        services: 1,
        purchased_tokens: 100_000,
    };
    fleet::spawn(&options).await.unwrap()
}

/// Returns the text of a request of HTTP/1.0.
fn encode(request: &Request<Bytes>) -> String {
    let mut text = format!("{} {} HTTP/1.0\r\n", request.method(), request.uri());
    for (name, value) in request.headers() {
        text += &format!("{name}: {}\r\n", value.to_str().unwrap());
    }
    let body = String::from_utf8(request.body().to_vec()).unwrap();
    text + &format!("content-length: {}\r\n\r\n{body}", body.len())
}

/// Guards against a caller of HTTP/1.0 whose stream runs and is dropped with its connection.
#[rstest]
#[case::stream(true, "HTTP/1.1 505", 0)]
#[case::chat(false, "HTTP/1.1 200", 1)]
fn a_completion_that_is_requested_with_http_1_0_gets_a_response(
    #[case] is_stream: bool,
    #[case] expected: &str,
    #[case] runs: u64,
) {
    block_on(async {
        let fleet = spawn().await;
        let address = fleet.routers[0].caller_address;
        let mut stream = TcpStream::connect(address).await.unwrap();
        let text = encode(&fleet::chat("hello", 4, is_stream));
        stream.write_all(text.into_bytes()).await.0.unwrap();
        let reading = monoio::time::timeout(READ_LIMIT, stream.read(vec![0; 4_096]));
        let (result, text) = reading.await.unwrap();
        let text = String::from_utf8_lossy(&text[..result.unwrap_or(0)]).into_owned();
        let engine_runs = fleet.engines[0].counters().runs;
        assert!(text.starts_with(expected), "{text:?}, {engine_runs} runs");
        assert_eq!(engine_runs, runs);
    });
}
