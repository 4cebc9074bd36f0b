//! Drain state: how long an indication of leaving keeps a server from receiving work.

mod support;

use peridotrack_route::event::{Action, Event, Note};
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
