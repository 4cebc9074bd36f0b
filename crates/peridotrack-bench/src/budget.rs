//! Measures of prepaid budgets: overspend and refusals in a table of cases, and platform calls and
//! peer traffic at growing numbers of holders.

use crate::report::{Figure, Report};

pub mod cases;
pub mod scale;
pub mod split;

use cases::Case;
use scale::Size;

const NEVER_OVERSPENT: &str = "spend never exceeds the prepaid budget";
const NO_TARGET: &str = "shown beside the target";
/// Requests a second for each holder, in tenths: 3,400 a second over 400 holders.
const REQUESTS_PER_S_TENTHS: u64 = 85;
/// Budgets in use at the same time: 1% of 120,000.
const ACTIVE_BUDGETS: usize = 1_200;

/// Runs every budget measure and adds its figures to `report`.
pub fn measure(report: &mut Report) {
    Case::ALL
        .iter()
        .for_each(|case| measure_case(report, *case));
    for holders in [8, 40, 400] {
        measure_size(report, holders);
    }
}

fn measure_case(report: &mut Report, case: Case) {
    let outcome = cases::run(case);
    let name = case.name();
    let per_mille = |count: u64| count as f64 * 1_000.0 / outcome.requests.max(1) as f64;
    report.add(Figure::at_most(
        format!("budget.{name}.overspend"),
        outcome.overspend_tokens as f64,
        "tokens",
        0.0,
        NEVER_OVERSPENT,
    ));
    let (bound, bound_from) = strict_bound(case);
    report.add(Figure {
        measure: format!("budget.{name}.false_refusals_strict"),
        value: per_mille(outcome.strict_false_refusals),
        unit: "per 1,000 requests",
        bound,
        bound_from,
    });
    let unbounded = [
        ("refusals", outcome.refused),
        ("false_refusals_loose", outcome.loose_false_refusals),
        (
            "even_split.false_refusals_loose",
            outcome.even_split_loose_false_refusals,
        ),
    ];
    for (measure, count) in unbounded {
        let measure = format!("budget.{name}.{measure}");
        let unit = "per 1,000 requests";
        report.add(Figure::unbounded(
            measure,
            per_mille(count),
            unit,
            NO_TARGET,
        ));
    }
    if outcome.crashes > 0 {
        report.add(Figure::unbounded(
            format!("budget.{name}.held_back_per_crash"),
            outcome.held_back_tokens as f64 / outcome.crashes as f64,
            "tokens",
            NO_TARGET,
        ));
    }
}

/// Returns the bound of strict false refusals per 1,000 requests, and the target it comes from.
fn strict_bound(case: Case) -> (Option<f64>, &'static str) {
    match case {
        Case::LastTwoPercent => (Some(1.0), "under 1 in 1,000 in the last 2% of a budget"),
        Case::DomainCut | Case::TopUpInCut | Case::StoreDown => (None, "no target while cut off"),
        Case::Steady | Case::HotBudget | Case::CrashInDraws => {
            (Some(0.0), "strict false refusals 0 while connected")
        }
    }
}

fn measure_size(report: &mut Report, holders: usize) {
    let traffic = scale::run(Size {
        holders,
        failure_domains: holders.min(14) / 2,
        budgets: ACTIVE_BUDGETS,
        active_budgets: ACTIVE_BUDGETS,
        requests_per_s: holders as u64 * REQUESTS_PER_S_TENTHS / 10,
        warm_up_s: 600,
        measured_s: 60,
    });
    let name = format!("budget.{holders}_holders_1200_of_120000_active");
    report.add(Figure::at_most(
        format!("{name}.overspend"),
        traffic.overspend_tokens as f64,
        "tokens",
        0.0,
        NEVER_OVERSPENT,
    ));
    report.add(Figure::at_most(
        format!("{name}.false_refusals_strict"),
        traffic.strict_false_refusals as f64 * 1_000.0 / traffic.all_requests.max(1) as f64,
        "per 1,000 requests",
        0.0,
        "strict false refusals 0 while connected",
    ));
    report.add(Figure::at_most(
        format!("{name}.writes"),
        traffic.per_second(traffic.writes),
        "1/s",
        100.0,
        "platform writes under 100 a second",
    ));
    let store_calls = [("writes", traffic.writes), ("reads", traffic.reads)];
    for (measure, count) in store_calls {
        let measure = format!("{name}.{measure}_per_1000_requests");
        let unit = "per 1,000 requests";
        report.add(Figure::unbounded(
            measure,
            traffic.per_mille(count),
            unit,
            NO_TARGET,
        ));
    }
    report.add(Figure::at_most(
        format!("{name}.peer_bytes_per_node"),
        traffic.per_second(traffic.peer_bytes) / holders as f64,
        "B/s",
        4_096.0,
        "control under 4 KB a second a node",
    ));
}
