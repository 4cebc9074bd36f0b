//! The daemon as a process: arguments and settings, threads and descriptors, restart and exit.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Request;
use peridotrack_standin::{
    harness::{
        http::{block_on, fetch},
        process, router,
    },
    platform,
};
use peridotrack_types::settings::Settings;
use rstest::rstest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_peridotrackd");

/// Spawns a stand-in platform on the test's runtime, with settings of a router that uses it.
fn fixture() -> (platform::Handle, Settings) {
    let platform = platform::spawn(&platform::Options::default()).unwrap();
    let mut settings = router::settings("vm-1", "jakarta-1", platform.address(), &[]);
    settings.limits.shutdown_grace_ms = 0;
    (platform, settings)
}

async fn response_status(address: SocketAddr, path: &str) -> u16 {
    let request = Request::get(path).body(Bytes::new()).unwrap();
    fetch(address, request).await.unwrap().status().as_u16()
}

/// Guards against an event loop on io_uring, which a library could use, and against extra threads.
#[test]
fn daemon_runs_on_one_thread_without_io_uring() {
    block_on(async {
        let (_platform, settings) = fixture();
        let router = router::spawn(PROGRAM, &settings).await.unwrap();
        assert_eq!(
            response_status(router.operator_address, "/healthz").await,
            200
        );
        assert_eq!(router.process.threads().unwrap(), 1);
        let descriptors = router.process.descriptors().unwrap();
        assert!(
            descriptors
                .iter()
                .any(|target| target.contains("eventpoll")),
            "{descriptors:?}"
        );
        assert!(
            !descriptors.iter().any(|target| target.contains("uring")),
            "{descriptors:?}"
        );
    });
}

/// Guards against a restart that fails because its addresses are still in use, or that reports
/// readiness without a configuration.
#[test]
fn killed_daemon_starts_again_at_its_addresses() {
    block_on(async {
        let (_platform, settings) = fixture();
        let mut router = router::spawn(PROGRAM, &settings).await.unwrap();
        let first = (router.process.pid(), router.caller_address);
        router.restart().await.unwrap();
        assert_ne!(router.process.pid(), first.0);
        assert_eq!(router.caller_address, first.1);
        assert_eq!(
            response_status(router.operator_address, "/healthz").await,
            200
        );
        assert_eq!(
            response_status(router.operator_address, "/readyz").await,
            503
        );
    });
}

#[test]
fn daemon_exits_cleanly_on_sigterm() {
    block_on(async {
        let (_platform, settings) = fixture();
        let mut router = router::spawn(PROGRAM, &settings).await.unwrap();
        router.process.terminate().unwrap();
        let status = router.process.wait_for_exit().await.unwrap();
        assert_eq!(status.code(), Some(0), "{:?}", router.process.stderr());
    });
}

#[test]
fn second_daemon_at_the_same_address_fails_to_start() {
    block_on(async {
        let (_platform, settings) = fixture();
        let _first = router::spawn(PROGRAM, &settings).await.unwrap();
        let error = router::spawn(PROGRAM, &settings).await.unwrap_err();
        assert!(error.output.contains("in use"), "{error}");
    });
}

#[rstest]
#[case::no_arguments(&[], "--settings FILE is needed")]
#[case::no_file(&["--settings", "/no/such/file"], "/no/such/file")]
#[case::unknown_argument(&["--settings", "/no/such/file", "--x"], "unknown arguments")]
fn wrong_arguments_exit_with_code_2(#[case] arguments: &[&str], #[case] cause: &str) {
    block_on(async {
        let options = process::Options::new(PROGRAM).arguments(arguments);
        let mut daemon = process::spawn(&options).unwrap();
        assert_eq!(daemon.wait_for_exit().await.unwrap().code(), Some(2));
        let error = daemon.wait_for_line("listening").await.unwrap_err();
        assert!(error.output.contains(cause), "{error}");
    });
}

#[test]
fn all_invalid_settings_are_reported_at_once() {
    block_on(async {
        let (_platform, mut settings) = fixture();
        settings.limits.body_bytes = 0;
        settings.operator_key_digest_sha256 = "x".to_owned();
        let error = router::spawn(PROGRAM, &settings).await.unwrap_err();
        for path in ["$.limits.body_bytes", "$.operator_key_digest_sha256"] {
            assert!(error.output.contains(path), "{error}");
        }
    });
}
