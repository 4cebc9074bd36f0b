//! Signs of leaving: how long they hold.

mod support;

use peridotrack_route::event::{Action, Event, Note};
use peridotrack_types::name;
use rstest::rstest;
use support::{SECOND_US, engine, register, rules};

fn router() -> peridotrack_route::router::Router {
    let options = peridotrack_route::options::Options::default();
    let own = name::FailureDomain::from("domain-0");
    let mut router = peridotrack_route::router::Router::new(options, own, 1, 0);
    router.configure(0, &register(2, 2, 4), &rules(64));
    router
}

fn leaving(backend: &name::BackendServer) -> Event {
    Event::Leaving {
        backend: backend.clone(),
    }
}

fn is_returned(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Note(Note::Returned { .. })))
}

#[test]
fn list_that_goes_on_outweighs_reports_of_serving() {
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
        assert!(!is_returned(&actions), "second {second}");
    }
}

#[rstest]
#[case::within_a_minute(59, false)]
#[case::after_a_minute(62, true)]
fn server_without_reports_is_tried_again_when_signs_have_ceased(
    #[case] silent_s: u64,
    #[case] is_back: bool,
) {
    let mut router = router();
    let backend = support::service(0, 4).name;
    router.on_event(SECOND_US, leaving(&backend));
    router.on_event(10 * SECOND_US, leaving(&backend));
    let actions = router.on_event((10 + silent_s) * SECOND_US, Event::Tick);
    assert_eq!(is_returned(&actions), is_back);
}
