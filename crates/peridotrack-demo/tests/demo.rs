//! Runs the demonstration with a short script and checks its summary and timeline.

use peridotrack_demo::{Options, run};

#[test]
fn short_demonstration_keeps_every_promise() {
    let outcome = run(Options {
        callers: 8,
        step_ms: 400,
    })
    .expect("the demonstration runs");
    assert!(
        outcome.summary.all_promises_kept(),
        "{:#?}",
        outcome.summary
    );
    let process_names: std::collections::BTreeSet<&str> = outcome
        .timeline
        .iter()
        .map(|event| &*event.process)
        .collect();
    assert_eq!(
        process_names.len(),
        5,
        "the timeline merges every process: {process_names:?}"
    );
}
