//! `demo`: runs a fleet with stand-ins in this process and reports whether the promises were kept.

use std::{collections::BTreeSet, fmt::Write};

use peridotrack_demo::{Options, Summary};
use peridotrack_kernel::event;
use peridotrack_types::id;

use crate::{
    report::{Exit, Failure, OrExit, Report},
    timeline,
};

/// Runs the demonstration and reports its main events and a summary.
///
/// The report exits with [`Exit::Refused`] if a promise is broken.
///
/// # Errors
///
/// Returns a failure if the fleet cannot start.
pub fn demo() -> Result<Report, Failure> {
    let outcome = peridotrack_demo::run(Options::default()).or_exit(Exit::Refused)?;
    let exit = if outcome.summary.all_promises_kept() {
        Exit::Done
    } else {
        Exit::Refused
    };
    let json = serde_json::to_value(&outcome.summary).or_exit(Exit::Refused)?;
    Ok(Report::done(text(&outcome.timeline, &outcome.summary), json).exit(exit))
}

fn text(events: &[event::Recorded], summary: &Summary) -> String {
    let examples = examples(events);
    let mut text = String::from("timeline (events of all processes by time)\n");
    let mut omitted = 0;
    for event in events {
        let is_example = event.request_id.is_some_and(|id| examples.contains(&id));
        if is_example || is_fleet_event(event.number) {
            let merged = timeline::MergedEvent {
                at_wall_us: event.wall_us,
                event: event.clone(),
            };
            text.push_str(&timeline::event_line(&merged));
        } else {
            omitted += 1;
        }
    }
    let _ = writeln!(
        text,
        "({omitted} events of other requests, budgets and claims omitted)\n"
    );
    text.push_str("summary\n");
    if let Ok(serde_json::Value::Object(fields)) = serde_json::to_value(summary) {
        for (name, value) in fields {
            let _ = writeln!(text, "  {name:<24} {value}");
        }
    }
    let verdict = if summary.all_promises_kept() {
        "every promise was kept"
    } else {
        "A PROMISE BROKE"
    };
    let _ = writeln!(text, "{verdict}");
    text
}

/// Returns the first completed and the first refused request, whose events are all shown.
fn examples(events: &[event::Recorded]) -> BTreeSet<id::Request> {
    let first = |kind: event::Kind| {
        events
            .iter()
            .find(|event| event.number == kind.number())
            .and_then(|event| event.request_id)
    };
    [event::Kind::RequestCompleted, event::Kind::RequestRefused]
        .into_iter()
        .filter_map(first)
        .collect()
}

/// Returns whether an event concerns the fleet rather than one request or budget: events of
/// processes, configuration, platform and membership (numbers 100 to 199), except joins of peers,
/// and operator actions.
fn is_fleet_event(number: u16) -> bool {
    let is_peer = number == event::Kind::PeerJoined.number();
    let is_process = (100..200).contains(&number) && !is_peer;
    is_process || number == event::Kind::OperatorAction.number()
}
