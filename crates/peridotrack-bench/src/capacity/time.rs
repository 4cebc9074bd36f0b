//! Time of single operations of the state machines, in nanoseconds.
//!
//! Each figure comes from the fastest of several rounds, which is the least affected by other work
//! on the machine.

use std::{collections::BTreeSet, hint::black_box, time::Instant};

use peridotrack_budget::event as budget_event;
use peridotrack_edge::auth;
use peridotrack_member::action;
use peridotrack_once::usage::{self, Action, Event, Log};
use peridotrack_route::{event, options::Options, router::Router};
use peridotrack_types::{
    config::{self, store},
    id, name, register, rules,
};

use crate::{
    capacity::fixture,
    report::{Figure, Report},
    route::case,
};

const ROUNDS: usize = 7;
const SECOND_US: u64 = 1_000_000;
const BUDGET_TICK_US: u64 = 20_000;
/// Budget ticks in one sweep over all active budgets.
const SWEEP_TICKS: u64 = 500;

/// Measures the time of every operation and adds the figures to `report`.
pub fn measure(report: &mut Report) {
    membership(report);
    for (active, known) in [
        (1_200, 1_200),
        (1_200, fixture::BUDGETS),
        (12_000, fixture::BUDGETS),
        (fixture::BUDGETS, fixture::BUDGETS),
    ] {
        budget_tick(report, active, known);
    }
    for engines in [14, 100, fixture::ENGINES] {
        routing(report, engines);
    }
    for budgets in [1_000, 10_000, fixture::BUDGETS] {
        config_update(report, budgets);
    }
    usage_log(report);
}

fn membership(report: &mut Report) {
    for routers in [fixture::DOMAIN_ROUTERS, fixture::ROUTERS] {
        let mut tick_ns = f64::INFINITY;
        let mut heartbeat_ns = f64::INFINITY;
        for _ in 0..ROUNDS {
            let mut members = fixture::members();
            let mut ticks_ns = 0.0;
            let mut heartbeats_ns = 0.0;
            for second in 1..=10 {
                let now_us = second * SECOND_US;
                let heartbeats: Vec<_> = (1..routers)
                    .map(|index| fixture::heartbeat(index, second))
                    .collect();
                heartbeats_ns += elapsed_ns(|| {
                    for heartbeat in heartbeats {
                        black_box(members.on_event(now_us, heartbeat));
                    }
                });
                ticks_ns += elapsed_ns(|| {
                    for tick in 0..10 {
                        let now_us = now_us + tick * SECOND_US / 10;
                        black_box(members.on_event(now_us, action::Event::Tick));
                    }
                });
            }
            tick_ns = tick_ns.min(ticks_ns / 100.0);
            heartbeat_ns = heartbeat_ns.min(heartbeats_ns / (10.0 * (routers - 1) as f64));
        }
        let name = format!("time.membership.{routers}_routers");
        add_unbounded(report, format!("{name}.tick"), tick_ns);
        add_unbounded(report, format!("{name}.heartbeat_handled"), heartbeat_ns);
    }
}

fn budget_tick(report: &mut Report, active: usize, known: usize) {
    let names = fixture::budget_names(known);
    let mut holder = fixture::holder(&names);
    fixture::draw_all(&mut holder, &names[..active]);
    let mut now_us = 10_000;
    let mut min_ns = f64::INFINITY;
    for _ in 0..ROUNDS {
        let mut total_ns = 0.0;
        for _ in 0..SWEEP_TICKS {
            now_us += BUDGET_TICK_US;
            let mut actions = Vec::new();
            total_ns += elapsed_ns(|| actions = holder.on_event(now_us, budget_event::Event::Tick));
            fixture::complete_store_calls(&mut holder, now_us, actions);
        }
        min_ns = min_ns.min(total_ns / SWEEP_TICKS as f64);
    }
    let measure = format!("time.budget_tick.{active}_active_of_{known}");
    add_unbounded(report, measure, min_ns);
}

fn routing(report: &mut Report, engines: usize) {
    let register = case::register(engines, fixture::SLOTS);
    let mut router = Router::new(Options::default(), "domain-0".into(), 1, 0);
    let _ = router.configure(0, &register, &rules::Rules::default());
    let mut now_us = 0;
    let tick_ns = fastest_ns(100, || {
        now_us += 50_000;
        black_box(router.on_event(now_us, event::Event::Tick));
    });
    let name = format!("time.routing.{engines}_engines");
    add_unbounded(report, format!("{name}.tick"), tick_ns);
    let mut index = 0;
    let report_ns = fastest_ns(engines * 10, || {
        index += 1;
        now_us += 1_000;
        let load = event::Event::LoadReport {
            backend: register.engines[index % engines].name.clone(),
            running: 8,
            queued: 0,
            slots: 16,
            duration_percent: None,
            age_us: 500_000,
            leaving: false,
        };
        black_box(router.on_event(now_us, load));
    });
    add_unbounded(report, format!("{name}.load_report"), report_ns);
}

/// Measures the steps by which a router applies a configuration with one budget topped up.
fn config_update(report: &mut Report, budgets: usize) {
    let mut config = fixture::config(budgets);
    let name = format!("time.config.{budgets}_budgets");
    let mut split = None;
    let split_ns = fastest_ns(1, || split = store::split(&config).ok());
    add_unbounded(report, format!("{name}.split"), split_ns);
    let Some((manifest, parts)) = split else {
        return;
    };
    let join_ns = fastest_ns(1, || {
        let mut joiner = store::Joiner::new(manifest.version);
        for (part, object) in manifest.parts.iter().zip(&parts) {
            let _ = black_box(joiner.push(part, &object.content));
        }
        black_box(joiner.finish());
    });
    add_unbounded(report, format!("{name}.join"), join_ns);
    let check_ns = fastest_ns(1, || {
        black_box(config::check(&config.register, &config.rules));
    });
    add_unbounded(report, format!("{name}.check"), check_ns);
    let names: Vec<_> = config
        .rules
        .budgets
        .iter()
        .map(|b| b.name.clone())
        .collect();
    let mut holder = fixture::holder(&names);
    let configure_ns = fastest_ns(1, || {
        config.version += 1;
        config.rules.budgets[budgets / 2].purchased_tokens += 1;
        let list = config.rules.budgets.iter();
        let list = list.map(|budget| (budget.name.clone(), budget.purchased_tokens));
        black_box(holder.configure(config.version, config.version, list));
    });
    add_unbounded(report, format!("{name}.budget_configure"), configure_ns);
    let mut router = Router::new(Options::default(), "domain-0".into(), 1, 0);
    let route_ns = fastest_ns(1, || {
        black_box(router.configure(1, &config.register, &config.rules));
    });
    add_unbounded(report, format!("{name}.route_configure"), route_ns);
    lookups(report, &name, &config.register, &config.rules);
}

/// Measures building the indices of a configuration, and the lookup of a request's budgets.
fn lookups(report: &mut Report, name: &str, register: &register::Register, rules: &rules::Rules) {
    let keys_ns = fastest_ns(1, || {
        black_box(auth::Keys::from_register(register));
    });
    add_unbounded(report, format!("{name}.client_keys"), keys_ns);
    let account = name::ClientAccount::from("account-0700");
    let model = name::Model::from(case::MODEL);
    let index_ns = fastest_ns(1, || {
        black_box(rules::BudgetIndex::new(rules));
    });
    add_unbounded(report, format!("{name}.budget_index"), index_ns);
    let index = rules::BudgetIndex::new(rules);
    let budgets_ns = fastest_ns(20, || {
        black_box(index.budgets_for(rules, &account, &model).count());
    });
    add_unbounded(report, format!("{name}.budgets_of_a_request"), budgets_ns);
}

/// Measures a usage record that is copied to a peer, acknowledged, and flushed with others.
fn usage_log(report: &mut Report) {
    for records in [10, 85, 850] {
        let mut next = 0;
        let mut log = Log::new(id::Incarnation(1), usage::Options::default(), 0);
        let _ = log.set_peers(0, &[id::Incarnation(2)]);
        let mut now_us = 0;
        let ns = fastest_ns(5, || {
            for _ in 0..records {
                next += 1;
                let actions = log.record(now_us, fixture::usage_record(next));
                acknowledge(&mut log, now_us, actions);
            }
            now_us += 11 * SECOND_US;
            let actions = log.on_event(now_us, Event::Tick);
            acknowledge(&mut log, now_us, actions);
        });
        let measure = format!("time.usage.{records}_records_a_flush.per_request");
        add_unbounded(report, measure, ns / records as f64);
    }
}

/// Acknowledges copies and completes writes, and encodes the messages and objects as a router does.
///
/// Only the first write of each object is completed.
fn acknowledge(log: &mut Log, now_us: u64, mut pending: Vec<Action>) {
    let mut written = BTreeSet::new();
    while let Some(action) = pending.pop() {
        let event = match action {
            Action::Send { peer, message } => {
                let _ = black_box(postcard::to_allocvec(&message));
                let usage::Message::Copy { origin, copy, .. } = message else {
                    continue;
                };
                let message = usage::Message::Held {
                    origin,
                    sequence: copy.sequence,
                };
                Event::Received { peer, message }
            }
            Action::Write { object, body } => {
                let _ = black_box(serde_json::to_vec(&body));
                if !written.insert(object.clone()) {
                    continue;
                }
                Event::Flushed { object }
            }
            Action::ReleaseResponse { .. } | Action::Note(_) => continue,
        };
        pending.extend(log.on_event(now_us, event));
    }
}

/// Returns the nanoseconds per call in the fastest round.
fn fastest_ns(calls: usize, mut call: impl FnMut()) -> f64 {
    (0..ROUNDS)
        .map(|_| elapsed_ns(|| (0..calls).for_each(|_| call())) / calls as f64)
        .fold(f64::INFINITY, f64::min)
}

fn elapsed_ns(run: impl FnOnce()) -> f64 {
    let start = Instant::now();
    run();
    start.elapsed().as_nanos() as f64
}

fn add_unbounded(report: &mut Report, measure: String, ns: f64) {
    report.add(Figure::unbounded(measure, ns, "ns", "no bound"));
}
