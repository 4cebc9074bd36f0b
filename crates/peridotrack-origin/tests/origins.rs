//! Lookups of where streams began: by the router itself, at its homes, and in vain.

use peridotrack_origin::{
    home::{self, Routers},
    key::{self, Key},
    message::{Known, Message},
    origins::{Action, Event, Knowledge, Options, Origins},
    record::Record,
};
use peridotrack_types::{id, name, stream};
use rstest::rstest;

const ASKER: id::Incarnation = id::Incarnation(7);

fn key(number: u64) -> Key {
    key::of_stream(b"secret", "account", &format!("attempt-{number}"))
}

fn record(version: &str) -> Record {
    Record {
        service: "lm".into(),
        origin: stream::Origin {
            backend_server: "i-1".into(),
            software_version: Some(version.into()),
        },
    }
}

/// Routers `vm-0` to `vm-5` in three failure domains.
fn routers() -> Routers {
    routers_of(6)
}

fn routers_of(count: usize) -> Routers {
    let mut routers = Routers::new();
    for number in 0..count {
        let domain = format!("domain-{}", number % 3);
        let vms = routers.entry(domain.as_str().into()).or_default();
        vms.insert(format!("vm-{number}").as_str().into());
    }
    routers
}

/// Returns the state of a router in a fleet that is not small.
fn origins(vm: &str) -> Origins {
    let options = Options {
        small_routers: 0,
        medium_routers: 0,
        ..Options::default()
    };
    let mut origins = Origins::new(vm.into(), options);
    origins.on_event(0, Event::Routers(routers()));
    origins
}

fn answer(query: u64, from: &name::Vm, known: Option<Known>) -> Event {
    Event::Heard {
        from: ASKER,
        message: Message::Answer {
            query,
            from: from.clone(),
            known,
        },
    }
}

/// Returns the VMs that messages are sent to.
fn recipients(actions: &[Action]) -> Vec<name::Vm> {
    let to = actions.iter().filter_map(|action| match action {
        Action::Send { to, .. } => Some(to.clone()),
        _ => None,
    });
    to.collect()
}

fn unknown(query: u64, asked: usize, silent: &[name::Vm]) -> Action {
    let silent = silent.to_vec();
    let knowledge = Knowledge::Unknown { asked, silent };
    Action::Resolve { query, knowledge }
}

#[test]
fn homes_are_in_different_failure_domains_and_spread() {
    let mut counts = std::collections::BTreeMap::<name::Vm, usize>::new();
    for number in 0..600 {
        let homes = home::of(&key(number), &routers(), 2);
        let domain = |vm: &name::Vm| {
            let routers = routers();
            let mut domains = routers.into_iter();
            domains.find(|(_, vms)| vms.contains(vm)).unwrap().0
        };
        assert_ne!(domain(&homes[0]), domain(&homes[1]));
        for home in homes {
            *counts.entry(home).or_default() += 1;
        }
    }
    assert!(
        counts.values().all(|count| (120..280).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn homes_in_one_failure_domain_are_different_routers() {
    let vms = ["vm-0", "vm-1", "vm-2"].map(name::Vm::from);
    let routers = Routers::from([("domain".into(), vms.into_iter().collect())]);
    let homes = home::of(&key(1), &routers, 2);
    assert_eq!(homes.len(), 2);
    assert_ne!(homes[0], homes[1]);
}

/// Where the membership differs by one router, a home that was told is still asked.
#[test]
fn a_home_is_asked_although_another_router_has_left() {
    for number in 0..200 {
        let told = home::of(&key(number), &routers(), 2);
        for lost in 0..6 {
            let lost = name::Vm::from(format!("vm-{lost}").as_str());
            let mut fewer = routers();
            for vms in fewer.values_mut() {
                vms.remove(&lost);
            }
            let asked = home::of(&key(number), &fewer, 3);
            assert!(told.iter().any(|home| asked.contains(home)));
        }
    }
}

#[test]
fn a_key_belongs_to_one_client_account() {
    let of = |account, attempt| key::of_stream(b"secret", account, attempt);
    assert_eq!(of("a", "bc"), of("a", "bc"));
    assert_ne!(of("a", "bc"), of("ab", "c"));
    assert_ne!(of("a", "1"), of("b", "1"));
    assert_ne!(of("a", "1"), key::of_stream(b"other", "a", "1"));
}

#[test]
fn the_homes_are_told_and_asked() {
    let key = key(1);
    let told = recipients(&origins("vm-9").on_event(
        1,
        Event::Began {
            key,
            record: record("v1"),
        },
    ));
    assert_eq!(told, home::of(&key, &routers(), 2));
    let asked = recipients(&origins("vm-9").on_event(1, Event::Wanted { query: 1, key }));
    assert_eq!(asked, home::of(&key, &routers(), 3));
}

#[test]
fn a_home_answers_what_it_was_told() {
    let key = key(1);
    let mut home = origins("vm-0");
    let began = Message::Began {
        key,
        record: record("v1"),
    };
    home.on_event(
        1_000,
        Event::Heard {
            from: ASKER,
            message: began,
        },
    );
    let ask = Message::Ask { query: 5, key };
    let actions = home.on_event(
        4_000,
        Event::Heard {
            from: ASKER,
            message: ask,
        },
    );
    let known = Some(Known {
        record: record("v1"),
        age_us: 3_000,
    });
    let message = Message::Answer {
        query: 5,
        from: "vm-0".into(),
        known,
    };
    let reply = |is_repeated| Action::Reply {
        to: ASKER,
        message: message.clone(),
        is_repeated,
    };
    assert_eq!(actions, [reply(false)]);
    // The answer may have been lost with its connection.
    let ask = Message::Ask { query: 5, key };
    let heard = Event::Heard {
        from: ASKER,
        message: ask,
    };
    assert_eq!(home.on_event(4_000, heard), [reply(true)]);
}

#[test]
fn the_first_answer_that_knows_the_stream_ends_the_query() {
    let key = key(1);
    let mut origins = origins("vm-9");
    let asked = recipients(&origins.on_event(0, Event::Wanted { query: 1, key }));
    assert_eq!(origins.on_event(1, answer(1, &asked[0], None)), []);
    let known = Known {
        record: record("v1"),
        age_us: 9,
    };
    let actions = origins.on_event(2, answer(1, &asked[1], Some(known.clone())));
    let knowledge = Knowledge::Known {
        record: record("v1"),
        known_by: asked[1].clone(),
        age_us: 9,
    };
    assert_eq!(
        actions,
        [Action::Resolve {
            query: 1,
            knowledge
        }]
    );
    assert_eq!(origins.on_event(3, answer(1, &asked[2], Some(known))), []);
}

#[rstest]
#[case::all_answered(3, 0)]
#[case::some_answered(2, 200_000)]
#[case::none_answered(0, 200_000)]
fn a_stream_that_no_home_knows_is_unknown(#[case] answers: usize, #[case] at_us: u64) {
    let mut origins = origins("vm-9");
    let asked = recipients(&origins.on_event(
        0,
        Event::Wanted {
            query: 1,
            key: key(1),
        },
    ));
    let mut actions = Vec::new();
    for home in &asked[..answers] {
        // A repeated answer counts once.
        actions.extend(origins.on_event(0, answer(1, home, None)));
        actions.extend(origins.on_event(0, answer(1, home, None)));
    }
    let repeated = origins.on_event(60_000, Event::Tick);
    assert_eq!(recipients(&repeated), asked[answers..]);
    actions.extend(origins.on_event(199_999, Event::Tick));
    assert_eq!(actions.is_empty(), at_us > 0);
    actions.extend(origins.on_event(200_000, Event::Tick));
    assert_eq!(actions, [unknown(1, 3, &asked[answers..])]);
}

/// Guards against a lookup that is given up because its question was lost with a connection.
#[test]
fn a_home_that_does_not_answer_is_asked_once_more_on_a_new_connection() {
    let mut origins = origins("vm-9");
    let key = key(1);
    let asked = recipients(&origins.on_event(0, Event::Wanted { query: 1, key }));
    origins.on_event(1, answer(1, &asked[0], None));
    assert_eq!(origins.on_event(59_999, Event::Tick), []);
    let actions = origins.on_event(60_000, Event::Tick);
    assert_eq!(recipients(&actions), asked[1..]);
    let is_repeated = |action: &Action| {
        matches!(
            action,
            Action::Send {
                is_repeated: true,
                ..
            }
        )
    };
    assert!(actions.iter().all(is_repeated));
    assert_eq!(origins.on_event(110_000, Event::Tick), []);
    let known = Known {
        record: record("v1"),
        age_us: 9,
    };
    let actions = origins.on_event(150_000, answer(1, &asked[1], Some(known)));
    assert!(matches!(
        actions[..],
        [Action::Resolve {
            knowledge: Knowledge::Known { .. },
            ..
        }]
    ));
}

/// A lookup does not wait for routers that are known to have ended.
#[test]
fn a_query_ends_early_once_no_router_is_left_that_may_answer() {
    let mut origins = origins("vm-9");
    let key = key(1);
    let asked = recipients(&origins.on_event(0, Event::Wanted { query: 1, key }));
    origins.on_event(50_000, Event::Routers(Routers::new()));
    let actions = origins.on_event(60_000, Event::Tick);
    assert_eq!(actions, [unknown(1, 3, &asked)]);
}

#[test]
fn a_router_without_others_knows_at_once_that_it_does_not_know() {
    let mut origins = Origins::new("vm-0".into(), Options::default());
    let actions = origins.on_event(
        0,
        Event::Wanted {
            query: 1,
            key: key(1),
        },
    );
    assert_eq!(actions, [unknown(1, 0, &[])]);
}

/// The process may have been the later version already when its entry still named the former.
#[test]
fn streams_of_a_server_that_started_again_as_another_version_are_forgotten() {
    let mut origins = Origins::new("vm-0".into(), Options::default());
    for number in 0..2 {
        let mut record = record("v1");
        record.origin.backend_server = format!("i-{number}").as_str().into();
        origins.on_event(
            0,
            Event::Began {
                key: key(number),
                record,
            },
        );
    }
    let version = |version: &str| Event::Version {
        backend_server: "i-0".into(),
        software_version: version.into(),
    };
    origins.on_event(1, version("v1"));
    assert_eq!(origins.record_count(), 2);
    origins.on_event(2, version("v2"));
    assert_eq!(origins.record_count(), 1);
    let actions = origins.on_event(
        3,
        Event::Wanted {
            query: 1,
            key: key(0),
        },
    );
    assert_eq!(actions, [unknown(1, 0, &[])]);
}

#[test]
fn records_are_bounded_in_number_and_age() {
    let options = Options {
        max_records: 10,
        ..Options::default()
    };
    let retention_us = options.retention_us;
    let mut origins = Origins::new("vm-0".into(), options);
    for number in 0..20 {
        origins.on_event(
            number,
            Event::Began {
                key: key(number),
                record: record("v1"),
            },
        );
    }
    assert_eq!(origins.record_count(), 10);
    origins.on_event(retention_us + 15, Event::Tick);
    assert_eq!(origins.record_count(), 5);
}

/// Guards against the loss of all records with most routers of a small fleet, or with 30 of 74.
#[rstest]
#[case::small(8, 6)]
#[case::largest_small_one(16, 6)]
#[case::medium(17, 4)]
#[case::largest_medium_one(200, 4)]
#[case::large(201, 2)]
fn a_smaller_fleet_has_more_homes(#[case] count: usize, #[case] homes: usize) {
    let mut origins = Origins::new("vm-x".into(), Options::default());
    origins.on_event(0, Event::Routers(routers_of(count)));
    let began = Event::Began {
        key: key(1),
        record: record("v1"),
    };
    assert_eq!(recipients(&origins.on_event(1, began)).len(), homes);
    let wanted = Event::Wanted {
        query: 1,
        key: key(2),
    };
    assert_eq!(recipients(&origins.on_event(2, wanted)).len(), homes + 1);
}

/// Guards against a stream that goes on at a version which did not begin it: a router whose directory
/// lags tells the homes the former version of a server that has started again under its name.
#[rstest]
#[case::told_to_a_home(true)]
#[case::answered_by_a_home(false)]
fn a_record_of_a_former_version_does_not_count(#[case] is_told: bool) {
    let mut origins = origins("vm-0");
    let key = key(1);
    let version = Event::Version {
        backend_server: "i-1".into(),
        software_version: "v2".into(),
    };
    origins.on_event(0, version);
    let record = record("v1");
    if is_told {
        let message = Message::Began { key, record };
        let from = ASKER;
        origins.on_event(1, Event::Heard { from, message });
        assert_eq!(origins.record_count(), 0);
    } else {
        let asked = recipients(&origins.on_event(1, Event::Wanted { query: 1, key }));
        let known = Some(Known { record, age_us: 9 });
        assert_eq!(origins.on_event(2, answer(1, &asked[0], known)), []);
        origins.on_event(3, answer(1, &asked[1], None));
        for home in &asked[2..] {
            let actions = origins.on_event(4, answer(1, home, None));
            assert_eq!(actions, [unknown(1, asked.len(), &[])]);
        }
    }
}
