//! Distribution of a stated rate, event by event.

use std::collections::BTreeSet;

use peridotrack_route::{
    cold,
    eligibility::Reason,
    pace::Pace,
    throttle::{Action, Event, News, Options, Routers, Throttle},
};

const MS: u64 = 1_000;
const SERVER: &str = "engine-1";

fn throttle(vm: &str) -> Throttle {
    let options = Options {
        startup_us: 0,
        ..Options::default()
    };
    let mut throttle = Throttle::new(vm.into(), options, 1, 0);
    let server = cold::Server {
        failure_domain: "a".into(),
        limit: None,
    };
    let servers = [(SERVER.into(), server)].into_iter().collect();
    throttle.on_event(0, 0, Event::Servers(servers));
    throttle
}

fn routers(domains: &[(&str, &[&str])]) -> Routers {
    let routers = domains.iter().map(|(domain, vms)| {
        let vms: BTreeSet<_> = vms.iter().map(|vm| (*vm).into()).collect();
        ((*domain).into(), vms)
    });
    routers.collect()
}

fn answered(limit_per_s: Option<f64>, sent_us: u64) -> Event {
    Event::Answered {
        backend_server: SERVER.into(),
        limit_per_s,
        sent_us,
    }
}

fn heard(limit_per_s: Option<f64>, epoch: u64) -> Event {
    let news = News {
        backend_server: SERVER.into(),
        limit_per_s,
        epoch,
    };
    Event::Heard {
        news,
        is_foreign: false,
    }
}

/// Returns the rate that the actions set last; `None` if they set none.
fn rate(actions: &[Action]) -> Option<Option<f64>> {
    actions.iter().rev().find_map(|action| match action {
        Action::SetRate { per_s, .. } => Some(*per_s),
        _ => None,
    })
}

#[test]
fn one_router_of_the_servers_failure_domain_sends() {
    let all = routers(&[("a", &["a-1", "a-2", "a-3"]), ("b", &["b-1", "b-2"])]);
    let mut senders = Vec::new();
    for vm in ["a-1", "a-2", "a-3", "b-1", "b-2"] {
        let mut throttle = throttle(vm);
        throttle.on_event(0, 0, Event::Routers(all.clone()));
        let actions = throttle.on_event(0, 0, answered(Some(1.6), 0));
        let rate = rate(&actions).unwrap().unwrap();
        if rate > 0.0 {
            assert!((rate - 1.12).abs() < 1e-9, "{rate}");
            senders.push(vm);
        }
    }
    assert_eq!(senders.len(), 1);
    assert!(senders[0].starts_with("a-"));
}

#[test]
fn a_higher_rate_is_split_among_more_senders() {
    let all = routers(&[("a", &["a-1", "a-2", "a-3"])]);
    let rates = ["a-1", "a-2", "a-3"].map(|vm| {
        let mut throttle = throttle(vm);
        throttle.on_event(0, 0, Event::Routers(all.clone()));
        rate(&throttle.on_event(0, 0, answered(Some(60.0), 0)))
    });
    assert!(
        rates.iter().all(|rate| *rate == Some(Some(14.0))),
        "{rates:?}"
    );
}

#[test]
fn routers_of_another_failure_domain_send_if_the_servers_has_none() {
    let all = routers(&[("b", &["b-1"])]);
    let mut throttle = throttle("b-1");
    throttle.on_event(0, 0, Event::Routers(all));
    let actions = throttle.on_event(0, 0, answered(Some(1.6), 0));
    assert_eq!(rate(&actions), Some(Some(1.6 * 0.7)));
}

/// Guards against a router that sends the whole rate because it does not know the others yet.
#[test]
fn a_router_that_has_just_started_is_no_sender() {
    let mut throttle = Throttle::new("a-1".into(), Options::default(), 1, 0);
    throttle.on_event(0, 0, Event::Routers(routers(&[("a", &["a-1"])])));
    let actions = throttle.on_event(0, 0, answered(Some(1.6), 0));
    assert_eq!(rate(&actions), Some(Some(0.0)));
    let started_us = Options::default().startup_us;
    let actions = throttle.on_event(started_us, 0, Event::Tick);
    assert_eq!(rate(&actions), Some(Some(1.6 * 0.7)));
}

#[test]
fn a_response_without_the_limit_ends_it_and_the_others_are_told() {
    let mut throttle = throttle("a-1");
    throttle.on_event(0, 0, Event::Routers(routers(&[("a", &["a-1"])])));
    throttle.on_event(100, 0, answered(Some(1.6), 0));
    // It was sent before the limit was known, and may have been answered before it was stated.
    assert_eq!(throttle.on_event(200, 0, answered(None, 50)), []);
    let actions = throttle.on_event(300, 0, answered(None, 150));
    assert_eq!(rate(&actions), Some(None));
    let is_end = |action: &Action| matches!(action, Action::Send(news) if news.limit_per_s.is_none() && news.epoch == 2);
    assert!(actions.iter().any(is_end), "{actions:?}");
}

#[test]
fn later_news_replaces_earlier_news_only() {
    let mut throttle = throttle("a-1");
    throttle.on_event(0, 0, Event::Routers(routers(&[("a", &["a-2"])])));
    let actions = throttle.on_event(0, 0, heard(Some(1.6), 5));
    assert_eq!(rate(&actions), Some(Some(0.0)));
    assert_eq!(rate(&throttle.on_event(0, 0, heard(None, 4))), None);
    assert_eq!(rate(&throttle.on_event(0, 0, heard(None, 6))), Some(None));
    assert_eq!(rate(&throttle.on_event(0, 0, heard(Some(1.6), 5))), None);
}

#[test]
fn news_from_another_failure_domain_is_forwarded_once() {
    let mut throttle = throttle("a-1");
    let news = News {
        backend_server: SERVER.into(),
        limit_per_s: Some(1.6),
        epoch: 5,
    };
    let foreign = Event::Heard {
        news: news.clone(),
        is_foreign: true,
    };
    let actions = throttle.on_event(0, 0, foreign.clone());
    assert!(actions.contains(&Action::Forward(news)));
    assert_eq!(throttle.on_event(0, 0, foreign), []);
}

#[test]
fn a_limit_without_news_expires() {
    let mut throttle = throttle("a-1");
    throttle.on_event(0, 0, Event::Routers(routers(&[("a", &["a-2"])])));
    throttle.on_event(0, 0, heard(Some(1.6), 5));
    let expiry_us = Options::default().expiry_us;
    assert_eq!(
        rate(&throttle.on_event(expiry_us - 1, 0, Event::Tick)),
        None
    );
    let actions = throttle.on_event(2 * expiry_us, 0, Event::Tick);
    assert_eq!(rate(&actions), Some(None));
    assert!(!throttle.is_active());
}

#[test]
fn the_limit_of_a_server_that_is_gone_is_dropped() {
    let mut throttle = throttle("a-1");
    throttle.on_event(0, 0, answered(Some(1.6), 0));
    let actions = throttle.on_event(0, 0, Event::Servers([].into_iter().collect()));
    assert_eq!(rate(&actions), Some(None));
    assert!(!throttle.is_active());
}

#[test]
fn a_pace_spaces_requests_evenly() {
    let mut pace = Pace::new(0, 2.0);
    let mut sent = Vec::new();
    for now_ms in 0..3_000 {
        if pace.allows(now_ms * MS) {
            pace.on_dispatch(now_ms * MS);
            sent.push(now_ms);
        }
    }
    assert_eq!(sent, [500, 1_000, 1_500, 2_000, 2_500]);
}

#[test]
fn a_pace_of_rate_0_allows_nothing() {
    let pace = Pace::new(0, 0.0);
    assert!(!pace.allows(u64::MAX));
    assert_eq!(pace.ineligibility(0), Some(Reason::Throttled.into()));
}
