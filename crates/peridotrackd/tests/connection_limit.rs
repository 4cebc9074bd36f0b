//! The limit of open connections.

use std::time::Duration;

use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::TcpStream,
};
use peridotrack_standin::harness::{
    fleet::{self, Fleet},
    http::block_on,
    router::{self, Router},
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_peridotrackd");
/// Maximum wait for the next bytes of a response.
const READ_LIMIT: Duration = Duration::from_secs(5);

async fn spawn(connections: usize) -> (Fleet, Router) {
    let options = fleet::Options {
        program: PROGRAM.into(),
        failure_domains: 1,
        routers: 1,
        engines: 1,
        services: 1,
        purchased_tokens: 100_000,
    };
    let fleet = fleet::spawn(&options).await.unwrap();
    let seeds = [fleet.routers[0].peer_address];
    let platform = fleet.platform.address();
    let mut settings = router::settings("vm-stopping", "domain-0", platform, &seeds);
    settings.limits.connections = connections;
    let router = router::spawn(PROGRAM, &settings).await.unwrap();
    router.ready().await.unwrap();
    (fleet, router)
}

/// Sends a request and returns the first bytes of the response; empty if there is none.
async fn exchange(stream: &mut TcpStream) -> String {
    let text = "GET /none HTTP/1.1\r\nhost: x\r\n\r\n";
    let _ = stream.write_all(text).await;
    let reading = monoio::time::timeout(READ_LIMIT, stream.read(vec![0; 4_096]));
    let Ok((Ok(count), bytes)) = reading.await else {
        return String::new();
    };
    String::from_utf8_lossy(&bytes[..count]).into_owned()
}

/// Guards against a connection over the limit that is closed without the refusal.
#[test]
fn a_connection_over_the_limit_gets_a_refusal() {
    block_on(async {
        let (_fleet, router) = spawn(1).await;
        let mut first = TcpStream::connect(router.caller_address).await.unwrap();
        assert!(exchange(&mut first).await.starts_with("HTTP/1.1 401"));
        let mut second = TcpStream::connect(router.caller_address).await.unwrap();
        let response = exchange(&mut second).await;
        assert!(response.starts_with("HTTP/1.1 429"), "{response:?}");
    });
}
