//! Drain state: how long an indication of leaving keeps a server from receiving work.

mod support;

use peridotrack_route::{
    eligibility::Reason,
    event::{Action, Event, Note},
};
use peridotrack_types::name;
use rstest::rstest;
use support::{SECOND_US, engine, register, rules};

fn router() -> peridotrack_route::router::Router {
    let options = peridotrack_route::options::Options::default();
    let local_domain = name::FailureDomain::from("domain-0");
    let mut router = peridotrack_route::router::Router::new(options, local_domain, 1, 0);
    router.configure(0, &register(2, 2, 4), &rules(64));
    router
}

fn leaving(backend: &name::BackendServer) -> Event {
    Event::Leaving {
        backend: backend.clone(),
    }
}

fn has_returned(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Note(Note::Returned { .. })))
}

/// Load reports of a leaving server can still say that it serves; without the hold time, it would
/// receive work again between two lists that show it as leaving.
#[test]
fn repeated_leaving_events_outweigh_serving_reports() {
    let mut router = router();
    let backend = engine(0, 4).name;
    for second in 1..=60 {
        router.on_event(second * SECOND_US, leaving(&backend));
        let report = Event::LoadReport {
            backend: backend.clone(),
            running: 0,
            queued: 0,
            slots: 4,
            duration_percent: None,
            age_us: 0,
            leaving: false,
        };
        let actions = router.on_event(second * SECOND_US + 1, report);
        assert!(!has_returned(&actions), "second {second}");
    }
}

/// A server without load reports can only return by expiry; otherwise it would stay drained.
#[rstest]
#[case::before_expiry(59, false)]
#[case::after_expiry(62, true)]
fn server_without_reports_returns_when_leaving_expires(
    #[case] silent_s: u64,
    #[case] expected: bool,
) {
    let mut router = router();
    let backend = support::service(0, 4).name;
    router.on_event(SECOND_US, leaving(&backend));
    router.on_event(10 * SECOND_US, leaving(&backend));
    let actions = router.on_event((10 + silent_s) * SECOND_US, Event::Tick);
    assert_eq!(has_returned(&actions), expected);
}

fn stated(backend: &name::BackendServer, started_ms: Option<u64>) -> Event {
    Event::LeavingStated {
        backend: backend.clone(),
        started_ms,
    }
}

fn is_leaving(router: &peridotrack_route::router::Router, backend: &name::BackendServer) -> bool {
    let status = router.status(0).backend_servers;
    let server = status.iter().find(|server| server.name == *backend);
    let reasons = server.iter().flat_map(|server| &server.ineligibilities);
    reasons.into_iter().any(|it| it.reason == Reason::Leaving)
}

/// The directory and other sources lag; the server itself knows that it leaves.
#[test]
fn a_stated_leaving_outlasts_reports_expiry_and_the_return_of_the_entry() {
    let mut router = router();
    let backend = engine(0, 4).name;
    router.on_event(0, stated(&backend, None));
    let report = Event::LoadReport {
        backend: backend.clone(),
        running: 0,
        queued: 0,
        slots: 4,
        duration_percent: None,
        age_us: 0,
        leaving: false,
    };
    router.on_event(100 * SECOND_US, report);
    router.on_event(200 * SECOND_US, Event::Tick);
    assert!(is_leaving(&router, &backend));
    router.configure(201 * SECOND_US, &register(1, 0, 1), &rules(64));
    router.on_event(203 * SECOND_US, Event::Tick);
    router.configure(210 * SECOND_US, &register(2, 2, 4), &rules(64));
    assert!(is_leaving(&router, &backend));
}

/// Servers that leave are replaced; their states must not accumulate.
#[test]
fn a_stated_leaving_of_a_removed_server_is_forgotten_at_last() {
    let mut router = router();
    let backend = engine(0, 4).name;
    router.on_event(0, stated(&backend, None));
    router.configure(SECOND_US, &register(0, 2, 4), &rules(64));
    let is_known = |router: &peridotrack_route::router::Router| {
        let servers = router.status(0).backend_servers;
        servers.iter().any(|server| server.name == backend)
    };
    router.on_event(600 * SECOND_US, Event::Tick);
    assert!(is_known(&router));
    router.on_event(602 * SECOND_US, Event::Tick);
    assert!(!is_known(&router));
}

#[rstest]
#[case::same_run(Some(5), Some(5), true)]
#[case::earlier_run(Some(4), Some(5), false)]
#[case::later_run_than_the_entry(Some(6), Some(5), true)]
#[case::unknown_run(None, Some(5), true)]
#[case::entry_without_a_start(Some(4), None, true)]
fn a_peer_reports_the_leaving_of_one_run_of_a_server(
    #[case] stated_ms: Option<u64>,
    #[case] known_ms: Option<u64>,
    #[case] expected: bool,
) {
    let mut router = router();
    let mut register = register(2, 2, 4);
    register.engines[0].lifetime.started_ms = known_ms;
    let backend = register.engines[0].name.clone();
    router.configure(1, &register, &rules(64));
    router.on_event(2, stated(&backend, stated_ms));
    assert_eq!(is_leaving(&router, &backend), expected);
}

#[rstest]
#[case::same_run(None, 5, true)]
#[case::later_run(None, 6, false)]
#[case::run_that_stated_it_to_a_peer(Some(6), 6, true)]
#[case::run_after_that(Some(6), 7, false)]
fn a_later_run_of_a_server_does_not_leave(
    #[case] stated_ms: Option<u64>,
    #[case] started_ms: u64,
    #[case] expected: bool,
) {
    let mut router = router();
    let mut register = register(2, 2, 4);
    let backend = register.engines[0].name.clone();
    register.engines[0].lifetime.started_ms = Some(5);
    router.configure(1, &register, &rules(64));
    router.on_event(2, stated(&backend, stated_ms));
    register.engines[0].lifetime.started_ms = Some(started_ms);
    router.configure(3, &register, &rules(64));
    assert_eq!(is_leaving(&router, &backend), expected);
}
