//! Prints every measure as a JSON line; exits non-zero if one exceeds its bound.

use std::process::ExitCode;

use peridotrack_bench::{budget, report::Report, route};

fn main() -> ExitCode {
    let mut report = Report::default();
    budget::measure(&mut report);
    route::measure(&mut report);
    for figure in report.out_of_bounds() {
        eprintln!("past its bound: {}", figure.measure);
    }
    match report.is_within_bounds() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
