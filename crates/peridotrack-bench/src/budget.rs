//! Measures of prepaid budgets.

use crate::report::Report;

pub mod scale;

/// Runs every budget measure.
pub fn measure(_report: &mut Report) {}
