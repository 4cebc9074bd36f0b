//! `docs/OPERATORS.md` must list every metric, and every kind of problem with its HTTP status.

use peridotrack_edge::metric;
use peridotrack_types::problem;

const PAGE: &str = include_str!("../../../docs/OPERATORS.md");

#[test]
fn every_metric_is_documented() {
    for name in metric::ALL {
        assert!(PAGE.contains(&format!("`{name}`")), "{name} is missing");
    }
}

#[test]
fn every_refusal_is_documented_with_its_status() {
    for kind in problem::Kind::ALL {
        let row = format!("| `{}` | {} |", kind.slug(), kind.status());
        assert!(PAGE.contains(&row), "{row} is missing");
    }
}
