//! `explain`: shows what happened to one request, from the routers' timelines or from log files.

use std::{collections::BTreeSet, path::PathBuf};

use peridotrack_types::id;

use crate::{
    arguments::Routers,
    diagnosis, logs,
    report::{Exit, Failure, OrExit, Report},
    timeline::{self, MergedEvent},
};

/// Shows the events of one request and their causes, from the timelines of routers.
///
/// If no router has an event of the request, the exit code is at least [`Exit::Refused`].
///
/// # Errors
///
/// Returns a failure if the operators' key cannot be read.
pub async fn explain(request: id::Request, routers: &Routers) -> Result<Report, Failure> {
    let collected = timeline::collect(routers).await?;
    let events = select(&collected.events, request);
    let mut exit = collected.exit();
    let mut text = String::new();
    if events.is_empty() {
        text.push_str(&format!(
            "no queried router has an event of request {request}: its timeline may have dropped \
             them, or the router of incarnation {} was not queried or has stopped\n",
            request.incarnation
        ));
        exit = exit.max(Exit::Refused);
    }
    let start_us = events.first().map_or(0, |event| event.at_wall_us);
    for event in &events {
        let since_us = event.at_wall_us - start_us;
        text.push_str(&format!("+{:.3} ms  ", since_us as f64 / 1_000.0));
        text.push_str(&timeline::event_line(event));
    }
    text.push_str(&collected.footer());
    let json = serde_json::json!({
        "request_id": request,
        "events": events,
        "routers": collected.routers_json(),
    });
    Ok(Report::done(text, json).exit(exit))
}

/// Shows from log files what happened to one request, and why it succeeded or failed.
///
/// # Errors
///
/// Returns a failure if a log cannot be read.
pub fn explain_from_logs(request: &str, paths: &[PathBuf]) -> Result<Report, Failure> {
    let logs = logs::read(paths).or_exit(Exit::Usage)?;
    let diagnosis = diagnosis::diagnose(&logs.events, request);
    let mut text = String::new();
    for event in &diagnosis.context {
        text.push_str("          ");
        text.push_str(&timeline::event_line(event));
    }
    for event in &diagnosis.events {
        text.push_str("request   ");
        text.push_str(&timeline::event_line(event));
    }
    for cause in &diagnosis.causes {
        text.push_str(&format!("cause     {cause}\n"));
    }
    let mut exit = Exit::Done;
    if diagnosis.events.is_empty() {
        exit = Exit::Refused;
        text = format!(
            "no event of request {request}: it reached no router whose log was given, or its \
             log lines were dropped (see LogLinesDropped)\n"
        );
    }
    let json = serde_json::json!({
        "request": request,
        "events": diagnosis.events,
        "context": diagnosis.context,
        "causes": diagnosis.causes,
    });
    Ok(Report::done(text, json).exit(exit))
}

/// Returns the events of a request, their causes, and the events that they caused, except those of
/// other requests.
pub fn select(events: &[MergedEvent], request: id::Request) -> Vec<MergedEvent> {
    let key = |merged: &MergedEvent| (merged.event.process.clone(), merged.event.sequence);
    let cause = |merged: &MergedEvent| {
        let cause = merged.event.cause?;
        Some((merged.event.process.clone(), cause))
    };
    let mut selected: BTreeSet<_> = events
        .iter()
        .filter(|merged| merged.event.request_id == Some(request))
        .map(key)
        .collect();
    // Within a process a cause precedes its effect, so one pass in each direction suffices.
    for merged in events {
        let is_other = merged
            .event
            .request_id
            .is_some_and(|other| other != request);
        if !is_other && cause(merged).is_some_and(|cause| selected.contains(&cause)) {
            selected.insert(key(merged));
        }
    }
    for merged in events.iter().rev() {
        if selected.contains(&key(merged)) {
            selected.extend(cause(merged));
        }
    }
    let is_selected = |merged: &&MergedEvent| selected.contains(&key(merged));
    events.iter().filter(is_selected).cloned().collect()
}
