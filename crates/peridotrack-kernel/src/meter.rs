//! Metrics of one process, rendered in Prometheus text format.
//!
//! Each [`Meter`] has its own recorder, so that several kernels on one thread, as in tests, do not
//! share metrics.

use metrics::{Counter, Gauge, Histogram};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle, PrometheusRecorder};

/// Upper bounds of the histogram buckets, in seconds.
const TIME_BUCKETS_S: [f64; 14] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.44, 1.0, 2.0, 5.0, 30.0,
];

/// Creates and renders the metrics of one process; installs no global recorder.
pub struct Meter {
    recorder: PrometheusRecorder,
    handle: PrometheusHandle,
}

impl Meter {
    /// Returns a meter without any metric.
    pub fn open() -> Self {
        let builder = PrometheusBuilder::new();
        let recorder = match builder.set_buckets(&TIME_BUCKETS_S) {
            Ok(builder) => builder.build_recorder(),
            Err(_) => PrometheusBuilder::new().build_recorder(),
        };
        let handle = recorder.handle();
        Self { recorder, handle }
    }

    /// Returns the counter `name`, created on first use.
    pub fn counter(&self, name: &'static str) -> Counter {
        metrics::with_local_recorder(&self.recorder, || metrics::counter!(name))
    }

    /// Returns the counter `name` with one label, created on first use.
    pub fn labelled_counter(
        &self,
        name: &'static str,
        label: &'static str,
        value: &'static str,
    ) -> Counter {
        metrics::with_local_recorder(&self.recorder, || metrics::counter!(name, label => value))
    }

    /// Returns the gauge `name`, created on first use.
    pub fn gauge(&self, name: &'static str) -> Gauge {
        metrics::with_local_recorder(&self.recorder, || metrics::gauge!(name))
    }

    /// Returns the gauge `name` with one label, created on first use.
    pub fn labelled_gauge(&self, name: &'static str, label: &'static str, value: &str) -> Gauge {
        let value = value.to_owned();
        metrics::with_local_recorder(&self.recorder, || metrics::gauge!(name, label => value))
    }

    /// Returns the histogram `name` of durations in seconds, created on first use.
    pub fn histogram(&self, name: &'static str) -> Histogram {
        metrics::with_local_recorder(&self.recorder, || metrics::histogram!(name))
    }

    /// Renders all metrics in Prometheus text format.
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}
