//! Contract tests of the process harness: a dropped handle kills its process, every wait is
//! bounded.

use std::{fs, io::ErrorKind, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::Request;
use peridotrack_http::client;
use peridotrack_standin::{
    harness::{
        http::{block_on, control, counters, fetch},
        process::{self, Options, Process, Step},
        relay::{self, Link},
        router, wait,
    },
    service,
};
use rstest::rstest;

const LIMIT: Duration = Duration::from_secs(10);
const SHORT_LIMIT: Duration = Duration::from_millis(20);

fn standin(arguments: &[&str]) -> Process {
    let program = env!("CARGO_BIN_EXE_peridotrack-standin");
    process::spawn(&Options::new(program).arguments(arguments)).unwrap()
}

fn get() -> Request<Bytes> {
    Request::get("/a").body(Bytes::new()).unwrap()
}

#[rstest]
#[case::platform(&["platform", "--listen", "127.0.0.1:0", "--listen", "127.0.0.1:0"], 2)]
#[case::engine(&["engine"], 1)]
#[case::service(&["service", "--control", "{\"delay_ms\":0}"], 1)]
fn program_prints_its_addresses_and_serves_counters(
    #[case] arguments: &[&str],
    #[case] count: usize,
) {
    block_on(async {
        let process = standin(arguments);
        for address in process.wait_for_addresses(count).await.unwrap() {
            counters::<serde_json::Value>(address).await.unwrap();
        }
    });
}

#[rstest]
#[case::no_name(&[])]
#[case::unknown_name(&["router"])]
#[case::unknown_option(&["service", "--lisen", "127.0.0.1:0"])]
#[case::malformed_control(&["service", "--control", "{\"delay\":0}"])]
#[case::two_addresses(&["engine", "--listen", "127.0.0.1:0", "--listen", "127.0.0.1:0"])]
fn invalid_arguments_exit_with_code_2(#[case] arguments: &[&str]) {
    block_on(async {
        let mut process = standin(arguments);
        assert_eq!(process.wait_for_exit().await.unwrap().code(), Some(2));
    });
}

#[test]
fn control_reaches_the_process() {
    block_on(async {
        let process = standin(&["service"]);
        let address = process.wait_for_addresses(1).await.unwrap()[0];
        let refuse = service::Control {
            refuse: Some(true),
            ..service::Control::default()
        };
        control(address, &refuse).await.unwrap();
        assert_eq!(fetch(address, get()).await.unwrap().status(), 503);
        assert!(
            control(address, &serde_json::json!({"refuze": true}))
                .await
                .is_err()
        );
        let counted: service::Counters = counters(address).await.unwrap();
        assert_eq!((counted.runs, counted.refused), (0, 1));
    });
}

#[test]
fn process_reports_its_resource_usage() {
    block_on(async {
        let process = standin(&["service"]);
        process.wait_for_addresses(1).await.unwrap();
        assert_eq!(process.threads().unwrap(), 1);
        let descriptors = process.descriptors().unwrap();
        assert!(
            descriptors
                .iter()
                .any(|target| target.contains("eventpoll"))
        );
        assert!(process.resident_bytes().unwrap() > 0);
        assert!(process.cpu_time_ms().unwrap() < 10_000);
    });
}

#[test]
fn paused_process_responds_only_once_resumed() {
    block_on(async {
        let mut process = standin(&["service"]);
        let address = process.wait_for_addresses(1).await.unwrap()[0];
        process.pause().await.unwrap();
        assert!(process.is_running());
        let impatient = client::Options {
            response_timeout_ms: 20,
            ..client::Options::default()
        };
        // The kernel accepts the connection and buffers the request while the process is paused.
        let mut connection = client::Connection::connect(address, impatient)
            .await
            .unwrap();
        let error = connection.send(get()).await.unwrap_err();
        assert!(matches!(error.kind, client::Kind::TimedOut) && error.bytes_written);
        process.resume().unwrap();
        assert_eq!(fetch(address, get()).await.unwrap().status(), 200);
    });
}

#[test]
fn killed_process_refuses_connections() {
    block_on(async {
        let mut process = standin(&["service"]);
        let address = process.wait_for_addresses(1).await.unwrap()[0];
        assert!(!process.kill().unwrap().success());
        assert!(!process.is_running());
        assert!(!fetch(address, get()).await.unwrap_err().bytes_written);
        assert_eq!(process.terminate().unwrap_err().step, Step::Signal);
    });
}

#[rstest]
#[case::running(false)]
#[case::paused(true)]
fn dropped_handle_kills_the_process(#[case] paused: bool) {
    block_on(async {
        let mut process = standin(&["service"]);
        process.wait_for_addresses(1).await.unwrap();
        let directory = format!("/proc/{}", process.pid());
        if paused {
            process.pause().await.unwrap();
        }
        assert!(fs::exists(&directory).unwrap());
        drop(process);
        assert!(!fs::exists(&directory).unwrap());
    });
}

#[test]
fn process_exits_on_sigterm() {
    block_on(async {
        let mut process = standin(&["service"]);
        process.wait_for_addresses(1).await.unwrap();
        process.terminate().unwrap();
        assert!(!process.wait_for_exit().await.unwrap().success());
    });
}

#[rstest]
#[case::ended(&["nonsense"], "the output ended")]
#[case::silent(&["service"], "no awaited line within 20ms")]
fn missing_line_is_an_error(#[case] arguments: &[&str], #[case] detail: &str) {
    block_on(async {
        let program = env!("CARGO_BIN_EXE_peridotrack-standin");
        let mut options = Options::new(program).arguments(arguments);
        if detail.starts_with("no") {
            options.limit = SHORT_LIMIT;
        }
        let process = process::spawn(&options).unwrap();
        let error = process.wait_for_line("ready ").await.unwrap_err();
        assert_eq!((error.step, error.detail.as_str()), (Step::Line, detail));
    });
}

#[test]
fn missing_program_is_an_error() {
    assert_eq!(
        process::find_program("no-such-program").unwrap_err().step,
        Step::Find
    );
    let error = process::spawn(&Options::new("/no/such/program")).unwrap_err();
    assert_eq!(error.step, Step::Spawn);
    assert!(process::find_program("peridotrack-standin").is_ok());
}

#[test]
fn expired_wait_names_what_was_awaited() {
    block_on(async {
        let error = wait::until(SHORT_LIMIT, "event", || false)
            .await
            .unwrap_err();
        assert_eq!(error.to_string(), "no event within 20ms");
    });
}

#[test]
fn relay_forwards_stalls_and_cuts() {
    block_on(async {
        let service = service::spawn(&service::Options::default()).unwrap();
        let relay = relay::spawn(service.address()).unwrap();
        let address = relay.address();
        assert_eq!(fetch(address, get()).await.unwrap().status(), 200);
        assert!(relay.forwarded_bytes() > 0);

        relay.set(Link::Stalled);
        let stalled = monoio::spawn(async move { fetch(address, get()).await });
        monoio::time::sleep(SHORT_LIMIT).await;
        assert_eq!(service.counters().runs, 1);
        relay.set(Link::Open);
        assert_eq!(stalled.await.unwrap().status(), 200);

        relay.set(Link::Cut);
        assert!(fetch(address, get()).await.is_err());
        assert_eq!(service.counters().runs, 2);
    });
}

/// The request reaches the service; its response is lost when the link is cut.
#[test]
fn cut_relay_drops_the_pending_response() {
    block_on(async {
        let slow = service::Control {
            delay_ms: Some(3_600_000),
            ..service::Control::default()
        };
        let options = service::Options {
            control: slow,
            ..service::Options::default()
        };
        let service = service::spawn(&options).unwrap();
        let relay = relay::spawn(service.address()).unwrap();
        let address = relay.address();
        let cut = monoio::spawn(async move { fetch(address, get()).await });
        wait::until(LIMIT, "run", || service.counters().runs == 1)
            .await
            .unwrap();
        relay.set(Link::Cut);
        assert!(cut.await.unwrap_err().bytes_written);
    });
}

/// Connections as a process sees them whose link is partitioned, reset or refused.
#[rstest]
#[case::partitioned(Link::Partitioned, None, None)]
#[case::reset(
    Link::Reset,
    Some(ErrorKind::ConnectionReset),
    Some(ErrorKind::ConnectionRefused)
)]
#[case::refusing(Link::Refusing, None, Some(ErrorKind::ConnectionRefused))]
fn relay_fails_open_and_new_connections(
    #[case] link: Link,
    #[case] open: Option<ErrorKind>,
    #[case] new: Option<ErrorKind>,
) {
    const PORT: u16 = 8_690;
    block_on(async {
        let slow = service::Control {
            delay_ms: Some(60),
            ..service::Control::default()
        };
        let options = service::Options {
            control: slow,
            ..service::Options::default()
        };
        let service = service::spawn(&options).unwrap();
        let address = SocketAddr::new(router::fresh_loopback_ip(), PORT);
        let relay = relay::spawn_at(address, service.address()).unwrap();
        let in_flight = monoio::spawn(async move { fetch(address, get()).await });
        wait::until(LIMIT, "run", || service.counters().runs == 1)
            .await
            .unwrap();
        relay.set(link);
        monoio::time::sleep(SHORT_LIMIT).await;
        let impatient = client::Options {
            connect_timeout_ms: 100,
            ..client::Options::default()
        };
        let error = client::Connection::connect(address, impatient).await;
        let error = error.err().unwrap().kind;
        match new {
            Some(kind) => assert!(
                matches!(&error, client::Kind::Io(error) if error.kind() == kind),
                "{error:?}"
            ),
            None => assert!(matches!(error, client::Kind::TimedOut), "{error:?}"),
        }
        relay.set(Link::Open);
        match (in_flight.await, open) {
            (Ok(response), None) => assert_eq!(response.status(), 200),
            (Err(error), Some(kind)) => assert!(
                matches!(&error.kind, client::Kind::Io(error) if error.kind() == kind),
                "{error:?}"
            ),
            (outcome, _) => panic!("{outcome:?}"),
        }
        let connected = async || fetch(address, get()).await.ok();
        let response = wait::poll(LIMIT, "connection", connected).await.unwrap();
        assert_eq!(response.status(), 200);
    });
}

#[test]
fn partitioned_relay_delivers_nothing_of_a_connection_that_was_reset() {
    block_on(async {
        let service = service::spawn(&service::Options::default()).unwrap();
        let relay = relay::spawn(service.address()).unwrap();
        let impatient = client::Options {
            response_timeout_ms: 50,
            ..client::Options::default()
        };
        let mut connection = client::Connection::connect(relay.address(), impatient)
            .await
            .unwrap();
        connection.send(get()).await.unwrap();
        connection.read_body().await.unwrap();
        relay.set(Link::Partitioned);
        assert!(connection.send(get()).await.unwrap_err().bytes_written);
        drop(connection);
        monoio::time::sleep(SHORT_LIMIT).await;
        relay.set(Link::Open);
        monoio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(service.counters().runs, 1);
    });
}

/// The connection that was open gets no response and is not closed.
#[test]
fn silenced_connections_stay_open_while_new_ones_work() {
    block_on(async {
        let service = service::spawn(&service::Options::default()).unwrap();
        let relay = relay::spawn(service.address()).unwrap();
        let options = client::Options {
            response_timeout_ms: 100,
            ..client::Options::default()
        };
        let mut open = client::Connection::connect(relay.address(), options)
            .await
            .unwrap();
        open.send(get()).await.unwrap();
        open.read_body().await.unwrap();

        relay.silence_connections();
        let error = open.send(get()).await.unwrap_err();
        assert!(matches!(error.kind, client::Kind::TimedOut), "{error}");
        assert_eq!(fetch(relay.address(), get()).await.unwrap().status(), 200);
        assert_eq!(service.counters().runs, 2);
    });
}
