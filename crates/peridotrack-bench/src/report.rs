//! Figures, their bounds, and the report that prints and checks them.

use serde::Serialize;

/// One measured figure.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Figure {
    /// Name of the measure, with its case.
    pub measure: String,
    /// Measured value, in `unit`.
    pub value: f64,
    /// Unit of value and bound.
    pub unit: &'static str,
    /// Highest value within the target; `None` if the figure has no bound.
    pub bound: Option<f64>,
    /// Target that the bound comes from, or the reason for having no bound.
    pub bound_from: &'static str,
}

/// Figures of one run, in the order in which they were added.
#[derive(Debug, Clone, Default)]
pub struct Report {
    figures: Vec<Figure>,
}

impl Figure {
    /// Returns a figure whose value must not exceed `bound`.
    pub fn at_most(
        measure: impl Into<String>,
        value: f64,
        unit: &'static str,
        bound: f64,
        bound_from: &'static str,
    ) -> Self {
        Self {
            measure: measure.into(),
            value,
            unit,
            bound: Some(bound),
            bound_from,
        }
    }

    /// Returns a figure without a bound; `reason` states why it has none.
    pub fn unbounded(
        measure: impl Into<String>,
        value: f64,
        unit: &'static str,
        reason: &'static str,
    ) -> Self {
        Self {
            measure: measure.into(),
            value,
            unit,
            bound: None,
            bound_from: reason,
        }
    }

    /// Returns whether the value is within its bound.
    ///
    /// NaN exceeds every bound; a figure without a bound is always within it.
    pub fn is_within_bound(&self) -> bool {
        self.bound.is_none_or(|bound| self.value <= bound)
    }
}

impl Report {
    /// Adds a figure and prints it to standard output as one JSON line.
    pub fn add(&mut self, figure: Figure) {
        match serde_json::to_string(&figure) {
            Ok(line) => println!("{line}"),
            Err(error) => eprintln!("figure {}: {error}", figure.measure),
        }
        self.figures.push(figure);
    }

    /// Returns whether every figure is within its bound.
    pub fn is_within_bounds(&self) -> bool {
        self.figures.iter().all(Figure::is_within_bound)
    }

    /// Returns the figures that exceed their bounds.
    pub fn out_of_bounds(&self) -> impl Iterator<Item = &Figure> {
        self.figures
            .iter()
            .filter(|figure| !figure.is_within_bound())
    }
}
