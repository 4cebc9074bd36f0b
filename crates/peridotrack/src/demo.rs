//! `demo`: a whole fleet with stand-ins in this process.

use std::{collections::BTreeSet, fmt::Write};

use peridotrack_demo::{Options, Summary};
use peridotrack_kernel::event;
use peridotrack_types::id;

use crate::{
    report::{Exit, Failure, OrExit, Report},
    timeline,
};

/// Runs the demonstration and reports what happened.
///
/// # Errors
///
/// Returns a failure if a part of the fleet cannot start.
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
    let mut text = String::from("time line (events of all processes by time)\n");
    let mut left_out = 0;
    for event in events {
        let is_example = event.request_id.is_some_and(|id| examples.contains(&id));
        if is_example || is_of_the_fleet(event.number) {
            let merged = timeline::Merged {
                at_wall_us: event.wall_us,
                event: event.clone(),
            };
            text.push_str(&timeline::line(&merged));
        } else {
            left_out += 1;
        }
    }
    let _ = writeln!(
        text,
        "({left_out} events of other requests, budgets and claims left out)\n"
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

/// Returns a completed and a refused request, whose events are shown whole.
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

/// Returns whether an event tells of the fleet and not of one request or budget.
fn is_of_the_fleet(number: u16) -> bool {
    let is_peer = number == event::Kind::PeerJoined.number();
    let is_process = (100..200).contains(&number) && !is_peer;
    is_process || number == event::Kind::OperatorAction.number()
}
