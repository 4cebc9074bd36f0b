//! Measures of prepaid budgets.

use crate::report::{Figure, Report};

pub mod cases;
pub mod scale;
pub mod split;

use cases::Case;

/// Runs every budget measure.
pub fn measure(report: &mut Report) {
    Case::ALL
        .iter()
        .for_each(|case| measure_case(report, *case));
}

fn measure_case(report: &mut Report, case: Case) {
    let outcome = cases::run(case);
    let name = case.name();
    let per_mille = |count: u64| count as f64 * 1_000.0 / outcome.requests.max(1) as f64;
    println!(
        "{name} {outcome:?} strict {} loose {} split {}",
        per_mille(outcome.false_strict),
        per_mille(outcome.false_loose),
        per_mille(outcome.split_false_loose)
    );
    let _ = (report, Figure::shown("", 0.0, "", ""));
}
