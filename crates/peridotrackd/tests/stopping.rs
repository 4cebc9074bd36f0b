//! Requests that arrive at, or are open on, a router that is stopping.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
};
use peridotrack_http::client::{self, Connection};
use peridotrack_standin::{
    engine,
    harness::{
        fleet::{self, Fleet},
        http::{block_on, fetch},
        router::{self, Router},
        wait,
    },
    platform, service,
};
use peridotrack_types::{
    config::Config,
    problem::{self, Problem, Ran},
};
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_secs(20);
const PROGRAM: &str = env!("CARGO_BIN_EXE_peridotrackd");

/// Time in which a router receives a change of the configuration.
const CONFIGURATION_DELAY: Duration = Duration::from_millis(500);

/// A fleet, and a further router with its own times of a stop.
struct Fixture {
    fleet: Fleet,
    stopping: Router,
}

impl Fixture {
    async fn spawn(shutdown_grace_ms: u64, shutdown_timeout_ms: u64) -> Self {
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
        settings.limits.shutdown_grace_ms = shutdown_grace_ms;
        settings.limits.shutdown_timeout_ms = shutdown_timeout_ms;
        let stopping = router::spawn(PROGRAM, &settings).await.unwrap();
        stopping.ready().await.unwrap();
        Self { fleet, stopping }
    }

    /// Sends a request to the router that stops.
    async fn send(&self, request: Request<Bytes>) -> Response<Bytes> {
        fetch(self.stopping.caller_address, request).await.unwrap()
    }

    /// Sets the latency of the service's responses.
    fn set_service_delay(&self, delay_ms: u64) {
        self.fleet.services[0].control(service::Control {
            delay_ms: Some(delay_ms),
            ..service::Control::default()
        });
    }

    /// Sets the latency of the platform's responses.
    fn set_platform_delay(&self, delay_ms: u64) {
        self.fleet.platform.control(platform::Control {
            delay_ms: Some(delay_ms),
            ..platform::Control::default()
        });
    }

    fn runs(&self) -> u64 {
        let engines = self.fleet.engines.iter();
        let engine_runs: u64 = engines.map(|engine| engine.counters().runs).sum();
        self.fleet.service_runs() + engine_runs
    }

    async fn wait_for_runs(&self, runs: u64) {
        let have_begun = || self.runs() == runs;
        wait::until(TIMEOUT, "runs", have_begun).await.unwrap();
    }
}

fn problem_of(response: &Response<Bytes>) -> Problem {
    serde_json::from_slice(response.body()).unwrap()
}

fn assert_is_stopping(response: &Response<Bytes>) {
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    let problem = problem_of(response);
    let stopping = Problem::new(problem::Kind::Stopping, "");
    assert_eq!(problem.type_urn, stopping.type_urn, "{problem:?}");
    assert_eq!(problem.ran, Ran::No);
    assert!(response.headers().contains_key("retry-after"));
    assert_eq!(response.headers()["connection"], "close");
}

fn chat(is_stream: bool) -> Request<Bytes> {
    fleet::chat("hello", 4, is_stream)
}

/// Guards against requests that are begun late in a stop and cut at its end.
#[rstest]
#[case::chat(|| chat(false))]
#[case::stream(|| chat(true))]
#[case::idempotent(|| fleet::call("/lookup/1", None))]
#[case::keyed(|| fleet::call("/isbn", Some("late")))]
#[case::without_key(|| fleet::call("/isbn", None))]
fn a_request_that_arrives_after_the_grace_period_is_refused_as_not_run(
    #[case] request: fn() -> Request<Bytes>,
) {
    block_on(async {
        let mut fixture = Fixture::spawn(200, 10_000).await;
        assert_eq!(fixture.send(request()).await.status(), StatusCode::OK);
        fixture.set_service_delay(1_500);
        let address = fixture.stopping.caller_address;
        let open_call = monoio::spawn(fetch(address, fleet::call("/isbn", None)));
        fixture.wait_for_runs(2).await;
        fixture.stopping.process.terminate().unwrap();
        monoio::time::sleep(Duration::from_millis(600)).await;
        let refused = fixture.send(request()).await;
        assert_is_stopping(&refused);
        assert_eq!(fixture.runs(), 2);
        assert_eq!(open_call.await.unwrap().status(), StatusCode::OK);
        let status = fixture.stopping.process.wait_for_exit().await.unwrap();
        assert_eq!(status.code(), Some(0));
    });
}

/// Guards against a claim that is made and given up: the key is free for another router.
#[test]
fn a_call_that_still_waits_for_its_claim_after_the_grace_period_is_refused_as_not_run() {
    block_on(async {
        let mut fixture = Fixture::spawn(200, 10_000).await;
        let call = || fleet::call("/isbn", Some("key"));
        fixture.set_platform_delay(800);
        let address = fixture.stopping.caller_address;
        let waiting_call = monoio::spawn(fetch(address, call()));
        monoio::time::sleep(Duration::from_millis(100)).await;
        fixture.stopping.process.terminate().unwrap();
        assert_is_stopping(&waiting_call.await.unwrap());
        fixture.set_platform_delay(0);
        fixture.stopping.process.wait_for_exit().await.unwrap();
        let other = fixture.fleet.routers[0].caller_address;
        assert_eq!(fetch(other, call()).await.unwrap().status(), StatusCode::OK);
        assert_eq!(fixture.runs(), 1);
    });
}

/// Guards against a claimed call that is sent so late that the end of the stop cuts it.
#[test]
fn a_claimed_call_that_waits_for_a_server_after_the_grace_period_is_refused_as_not_run() {
    block_on(async {
        let mut fixture = Fixture::spawn(200, 10_000).await;
        let one_slot = |config: &mut Config| config.register.services[0].slots = 1;
        fixture.fleet.apply(one_slot).await.unwrap();
        monoio::time::sleep(CONFIGURATION_DELAY).await;
        fixture.set_service_delay(800);
        let address = fixture.stopping.caller_address;
        let open_call = monoio::spawn(fetch(address, fleet::call("/isbn", None)));
        fixture.wait_for_runs(1).await;
        let call = || fleet::call("/isbn", Some("key"));
        let waiting_call = monoio::spawn(fetch(address, call()));
        monoio::time::sleep(Duration::from_millis(100)).await;
        fixture.stopping.process.terminate().unwrap();
        assert_is_stopping(&waiting_call.await.unwrap());
        assert_eq!(open_call.await.unwrap().status(), StatusCode::OK);
        fixture.stopping.process.wait_for_exit().await.unwrap();
        let other = fixture.fleet.routers[0].caller_address;
        assert_eq!(fetch(other, call()).await.unwrap().status(), StatusCode::OK);
        assert_eq!(fixture.runs(), 2);
    });
}

/// Guards against a next request on a connection that the router is about to close.
#[rstest]
#[case::chat(|| chat(false))]
#[case::stream(|| chat(true))]
#[case::call(|| fleet::call("/isbn", None))]
fn a_response_of_a_stopping_router_announces_that_the_connection_closes(
    #[case] request: fn() -> Request<Bytes>,
) {
    block_on(async {
        let mut fixture = Fixture::spawn(2_000, 10_000).await;
        let response = fixture.send(request()).await;
        assert_eq!(response.status(), StatusCode::OK);
        assert!(!response.headers().contains_key("connection"));
        fixture.stopping.process.terminate().unwrap();
        monoio::time::sleep(Duration::from_millis(300)).await;
        let response = fixture.send(request()).await;
        assert_eq!(response.status(), StatusCode::OK);
        assert_eq!(response.headers()["connection"], "close");
    });
}

/// Guards against a connection that is closed under a request that has reached a server.
#[rstest]
#[case::chat(|| chat(false))]
#[case::stream(|| chat(true))]
#[case::idempotent(|| fleet::call("/lookup/1", None))]
#[case::keyed(|| fleet::call("/isbn", Some("open")))]
#[case::without_key(|| fleet::call("/isbn", None))]
fn a_request_without_a_response_at_the_end_of_the_stop_gets_502(
    #[case] request: fn() -> Request<Bytes>,
) {
    block_on(async {
        let mut fixture = Fixture::spawn(0, 1_700).await;
        fixture.set_service_delay(60_000);
        fixture.fleet.engines[0].control(engine::Control {
            first_token_ms: Some(60_000),
            ..engine::Control::default()
        });
        let address = fixture.stopping.caller_address;
        let open_request = monoio::spawn(fetch(address, request()));
        fixture.wait_for_runs(1).await;
        fixture.stopping.process.terminate().unwrap();
        let response = open_request.await.unwrap();
        assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
        assert_eq!(problem_of(&response).ran, Ran::Unknown);
        assert_eq!(response.headers()["connection"], "close");
        fixture.stopping.process.wait_for_exit().await.unwrap();
    });
}

/// Guards against a request whose connection is closed while it is sent.
#[test]
fn a_request_that_is_received_slowly_is_refused_before_the_stop_ends() {
    block_on(async {
        let mut fixture = Fixture::spawn(500, 60_000).await;
        let mut stream = TcpStream::connect(fixture.stopping.caller_address)
            .await
            .unwrap();
        let head =
            "POST /v1/services/desk/isbn HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nabc";
        stream.write_all(head).await.0.unwrap();
        monoio::time::sleep(Duration::from_millis(100)).await;
        fixture.stopping.process.terminate().unwrap();
        let reading = monoio::time::timeout(TIMEOUT, stream.read(vec![0; 4_096]));
        let (result, text) = reading.await.unwrap();
        let text = String::from_utf8_lossy(&text[..result.unwrap()]).into_owned();
        assert!(text.starts_with("HTTP/1.1 503"), "{text}");
        assert!(text.contains("retry-after"), "{text}");
        assert!(text.contains("connection: close"), "{text}");
        let status = fixture.stopping.process.wait_for_exit().await.unwrap();
        assert_eq!(status.code(), Some(0));
    });
}

/// Number of clients that open a connection for each request.
const CLIENTS: u64 = 32;
/// Time from a connection's establishment to the arrival of its first request.
const ROUND_TRIP: Duration = Duration::from_millis(2);

/// Opens a connection for each request until the listener refuses one; returns the error of a
/// request that ends without a response.
async fn send_until_refused(address: SocketAddr) -> Option<client::Error> {
    loop {
        let mut connection = match Connection::connect(address, client::Options::default()).await {
            Ok(connection) => connection,
            Err(_) => return None,
        };
        monoio::time::sleep(ROUND_TRIP).await;
        match connection.send(fleet::call("/lookup/1", None)).await {
            Ok(_) => {}
            // The listener closed before it accepted the connection.
            Err(error) if !error.bytes_written => return None,
            Err(error) => return Some(error),
        }
        if let Err(error) = connection.read_body().await {
            return Some(error);
        }
    }
}

/// Guards against a listener that closes under whole requests on connections that it has accepted.
#[test]
fn a_call_on_a_new_connection_at_the_end_of_the_stop_gets_a_response() {
    block_on(async {
        let mut fixture = Fixture::spawn(200, 60_000).await;
        let address = fixture.stopping.caller_address;
        fixture.stopping.process.terminate().unwrap();
        let mut clients = Vec::new();
        for _ in 0..CLIENTS {
            clients.push(monoio::spawn(send_until_refused(address)));
            monoio::time::sleep(ROUND_TRIP / 2).await;
        }
        let mut errors = Vec::new();
        for client in clients {
            errors.extend(client.await);
        }
        assert!(errors.is_empty(), "{errors:?}");
        fixture.stopping.process.wait_for_exit().await.unwrap();
    });
}

/// Time between two signals, longer than the daemon takes to notice one.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(200);

/// Guards against a supervisor that repeats its signal and so cuts requests that would end.
#[test]
fn a_repeated_sigterm_does_not_shorten_the_stop() {
    block_on(async {
        let mut fixture = Fixture::spawn(0, 60_000).await;
        fixture.set_service_delay(1_500);
        let address = fixture.stopping.caller_address;
        let open_call = monoio::spawn(fetch(address, fleet::call("/isbn", None)));
        fixture.wait_for_runs(1).await;
        for _ in 0..3 {
            fixture.stopping.process.terminate().unwrap();
            monoio::time::sleep(SIGNAL_INTERVAL).await;
        }
        assert_eq!(open_call.await.unwrap().status(), StatusCode::OK);
        let status = fixture.stopping.process.wait_for_exit().await.unwrap();
        assert_eq!(status.code(), Some(0));
    });
}

/// Guards against connections that are closed without a response, and against a stop at a terminal
/// that cannot be ended.
#[test]
fn a_second_sigint_ends_the_stop_after_open_requests_are_answered() {
    block_on(async {
        let mut fixture = Fixture::spawn(0, 60_000).await;
        fixture.set_service_delay(60_000);
        let address = fixture.stopping.caller_address;
        let open_call = monoio::spawn(fetch(address, fleet::call("/isbn", None)));
        fixture.wait_for_runs(1).await;
        fixture.stopping.process.interrupt().unwrap();
        monoio::time::sleep(SIGNAL_INTERVAL).await;
        assert!(fixture.stopping.process.is_running());
        fixture.stopping.process.interrupt().unwrap();
        let response = open_call.await.unwrap();
        assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
        assert_eq!(problem_of(&response).ran, Ran::Unknown);
        let status = fixture.stopping.process.wait_for_exit().await.unwrap();
        assert_eq!(status.code(), Some(1), "grants were not returned");
    });
}

/// Guards against a process that ends while it receives a request that began as its listener closed.
#[test]
fn a_request_that_begins_as_the_listener_closes_is_refused_if_it_is_received_slowly() {
    block_on(async {
        let mut fixture = Fixture::spawn(500, 60_000).await;
        fixture.stopping.process.terminate().unwrap();
        monoio::time::sleep(Duration::from_millis(300)).await;
        let mut stream = TcpStream::connect(fixture.stopping.caller_address)
            .await
            .unwrap();
        monoio::time::sleep(Duration::from_millis(270)).await;
        let head =
            "POST /v1/services/desk/isbn HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nabc";
        stream.write_all(head).await.0.unwrap();
        let reading = monoio::time::timeout(TIMEOUT, stream.read(vec![0; 4_096]));
        let (result, text) = reading.await.unwrap();
        let text = String::from_utf8_lossy(&text[..result.unwrap_or(0)]).into_owned();
        assert!(text.starts_with("HTTP/1.1 503"), "{text:?}");
        fixture.stopping.process.wait_for_exit().await.unwrap();
    });
}

/// Answers each request with the status and the begin of a body, whose rest never arrives.
async fn stall_responses(listener: TcpListener, status: &'static str) {
    while let Ok((mut stream, _)) = listener.accept().await {
        monoio::spawn(async move {
            let (result, text) = stream.read(vec![0; 4_096]).await;
            let text = String::from_utf8_lossy(&text[..result.unwrap_or(0)]).into_owned();
            let mut lines = text.split("\r\n");
            let request_id = lines.find(|line| line.starts_with("peridotrack-request-id"));
            let request_id = request_id.unwrap_or("x: y");
            let head = format!("HTTP/1.1 {status}\r\n{request_id}\r\ncontent-length: 9\r\n\r\nabc");
            let _ = stream.write_all(head.into_bytes()).await;
            let _ = stream.read(vec![0; 1]).await;
        });
    }
}

/// Guards against a stop that waits for the body of an error response and closes the connection.
#[rstest]
#[case::rejected("400 Bad Request", Ran::Unknown)]
#[case::not_run("503 Service Unavailable\r\nperidotrack-not-run: true", Ran::No)]
fn a_request_whose_error_response_stalls_is_answered_at_the_end_of_the_stop(
    #[case] status: &'static str,
    #[case] ran: Ran,
) {
    block_on(async {
        let mut fixture = Fixture::spawn(0, 1_700).await;
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let stalling = listener.local_addr().unwrap();
        monoio::spawn(stall_responses(listener, status));
        let change = |config: &mut Config| {
            config.register.engines[0].name = "stalling".into();
            config.register.engines[0].address = stalling;
        };
        fixture.fleet.apply(change).await.unwrap();
        monoio::time::sleep(CONFIGURATION_DELAY).await;
        let address = fixture.stopping.caller_address;
        let open_request = monoio::spawn(fetch(address, chat(false)));
        monoio::time::sleep(Duration::from_millis(200)).await;
        fixture.stopping.process.terminate().unwrap();
        let response = open_request.await.unwrap();
        assert_eq!(problem_of(&response).ran, ran);
        assert_eq!(response.headers()["connection"], "close");
        assert_eq!(fixture.runs(), 0);
        fixture.stopping.process.wait_for_exit().await.unwrap();
    });
}
