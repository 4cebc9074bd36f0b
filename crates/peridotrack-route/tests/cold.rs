//! Which servers count as cold, and what one router may send to them.

use peridotrack_route::{
    cold::{Limit, Server, Servers},
    throttle::{Action, Event, Options, Routers, Throttle},
};
use rstest::rstest;

const SERVER: &str = "engine-1";
const S: u64 = 1_000_000;
/// Requests per second that the server takes while it is cold.
const COLD_PER_S: f64 = 10.0;
/// Part of a limit that all senders together use.
const RATE_PART: f64 = 0.7;

fn servers(started_ms: u64, cold_until_us: u64) -> Servers {
    let server = Server {
        failure_domain: "a".into(),
        limit: Some(Limit {
            per_s: COLD_PER_S,
            start_us: 3 * S,
            until_us: cold_until_us,
            started_ms: Some(started_ms),
        }),
    };
    [(SERVER.into(), server)].into_iter().collect()
}

fn routers(names: &[&str]) -> Routers {
    let vms = names.iter().map(|name| (*name).into()).collect();
    [("a".into(), vms)].into_iter().collect()
}

/// Returns a throttle at the router `vm` that knows `names` and a warm server.
fn throttle(vm: &str, names: &[&str]) -> Throttle {
    let options = Options {
        startup_us: 0,
        ..Options::default()
    };
    let mut throttle = Throttle::new(vm.into(), options, 1, 0);
    throttle.on_event(0, 0, Event::Servers(servers(1, 0)));
    throttle.on_event(0, 0, Event::Routers(routers(names)));
    throttle
}

/// Returns the rate that the last action sets, `None` if no action sets one.
fn rate(actions: &[Action]) -> Option<Option<f64>> {
    let mut rates = actions.iter().filter_map(|action| match action {
        Action::SetRate { per_s, .. } => Some(*per_s),
        _ => None,
    });
    rates.next_back()
}

fn is_cold(throttle: &Throttle) -> bool {
    throttle.cold_servers().next().is_some()
}

#[test]
fn the_servers_of_the_first_list_are_warm_unless_they_state_otherwise() {
    assert!(!is_cold(&throttle("a-1", &["a-1"])));
    let mut other = Throttle::new("a-1".into(), Options::default(), 1, 0);
    other.on_event(0, 0, Event::Servers(servers(1, 2 * S)));
    assert!(is_cold(&other));
}

#[rstest]
#[case::stated(Event::Servers(servers(1, 2 * S)), 2)]
#[case::started_again(Event::Servers(servers(2, 0)), 3)]
#[case::domain_returned(Event::DomainReturned("a".into()), 3)]
#[case::ended(Event::Ended { backend_server: SERVER.into(), started_ms: Some(1) }, 8)]
fn a_server_counts_as_cold_until_the_end_that_its_sign_implies(
    #[case] sign: Event,
    #[case] end_s: u64,
) {
    let mut throttle = throttle("a-1", &["a-1"]);
    let actions = throttle.on_event(0, 0, sign);
    let per_s = rate(&actions).flatten().expect("a rate is set");
    assert!((per_s - COLD_PER_S * RATE_PART).abs() < 1e-9, "{per_s}");
    let before = throttle.on_event(end_s * S - 1, 0, Event::Tick);
    assert_eq!(rate(&before), None);
    let after = throttle.on_event(end_s * S, 0, Event::Tick);
    assert_eq!(rate(&after), Some(None));
}

/// Guards against the report of an earlier process that arrives late.
#[test]
fn the_end_of_an_earlier_process_changes_nothing() {
    let mut throttle = throttle("a-1", &["a-1"]);
    throttle.on_event(0, 0, Event::Servers(servers(5, 0)));
    throttle.on_event(4 * S, 0, Event::Tick);
    let ended = Event::Ended {
        backend_server: SERVER.into(),
        started_ms: Some(1),
    };
    assert_eq!(rate(&throttle.on_event(5 * S, 0, ended)), None);
}

/// Guards against routers that each send as if they were the whole domain, because they do not hear
/// of each other.
#[test]
fn a_router_that_hears_of_a_part_of_its_domain_sends_that_part() {
    let mut throttle = throttle("a-1", &["a-1", "a-2", "a-3", "a-4"]);
    throttle.on_event(S, 0, Event::Routers(routers(&["a-1"])));
    let actions = throttle.on_event(S, 0, Event::Servers(servers(2, 0)));
    let per_s = rate(&actions).flatten().expect("a rate is set");
    let part = COLD_PER_S * RATE_PART / 4.0;
    assert!((part / 2.0..=part).contains(&per_s), "{per_s}");
}

#[test]
fn the_lower_one_of_a_stated_and_a_cold_limit_holds() {
    let mut throttle = throttle("a-1", &["a-1"]);
    throttle.on_event(0, 0, Event::Servers(servers(2, 0)));
    let stated = Event::Answered {
        backend_server: SERVER.into(),
        limit_per_s: Some(1.0),
        sent_us: 0,
    };
    let actions = throttle.on_event(1, 0, stated);
    assert_eq!(rate(&actions), Some(Some(RATE_PART)));
}
