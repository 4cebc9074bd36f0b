//! `timeline`: merges the events of routers or log files into one timeline.
//!
//! The clocks of routers differ, so their event times are converted to the clock of this machine by
//! estimated offsets (see [`ClockOffset`]).

mod merge;
mod wall;

use std::{net::SocketAddr, path::PathBuf};

use peridotrack_kernel::{event, timeline::Page};

use crate::{
    arguments::Routers,
    fleet::{self, Error, Fleet, Response},
    logs,
    report::{Exit, Failure, OrExit, Report},
};

pub use merge::{ClockOffset, MergedEvent, ProcessEvents, merge};
pub use wall::utc;

/// Number of requests per router from which its clock offset is estimated; the estimate with the
/// smallest error bound is used.
const OFFSET_SAMPLES: usize = 4;
/// Path that returns a router's clock but no events: no sequence number is above `u64::MAX`.
const CLOCK_ONLY_PATH: &str = "/v1/timeline?after=18446744073709551615";

/// Merged events of several routers.
pub struct Collected {
    /// Events by the clock of this machine, oldest first.
    pub events: Vec<MergedEvent>,
    /// Clock offsets of the routers that responded.
    pub offsets: Vec<(SocketAddr, ClockOffset)>,
    /// Errors of the routers that gave no usable response.
    pub errors: Vec<(SocketAddr, Error)>,
}

/// Shows the merged events of routers, or only the `last` of them.
///
/// # Errors
///
/// Returns a failure if the operators' key cannot be read.
pub async fn timeline(routers: &Routers, last: Option<usize>) -> Result<Report, Failure> {
    let mut collected = collect(routers).await?;
    let surplus = last.map_or(0, |last| collected.events.len().saturating_sub(last));
    collected.events.drain(..surplus);
    let mut text: String = collected.events.iter().map(event_line).collect();
    text.push_str(&collected.footer());
    let json = serde_json::json!({
        "events": collected.events,
        "routers": collected.routers_json(),
    });
    Ok(Report::done(text, json).exit(collected.exit()))
}

/// Shows the merged events of log files, or only the `last` of them.
///
/// # Errors
///
/// Returns a failure if a log file cannot be read.
pub fn timeline_from_logs(paths: &[PathBuf], last: Option<usize>) -> Result<Report, Failure> {
    let mut logs = logs::read(paths).or_exit(Exit::Usage)?;
    let surplus = last.map_or(0, |last| logs.events.len().saturating_sub(last));
    logs.events.drain(..surplus);
    let mut text: String = logs.events.iter().map(event_line).collect();
    text.push_str(&format!("({} lines hold no event)\n", logs.other_lines));
    let json = serde_json::json!({ "events": logs.events, "other_lines": logs.other_lines });
    Ok(Report::done(text, json))
}

/// Reads the events of routers, estimates their clock offsets, and merges the events.
///
/// # Errors
///
/// Returns a failure if the operators' key cannot be read.
pub async fn collect(routers: &Routers) -> Result<Collected, Failure> {
    let fleet = Fleet::open(routers)?;
    let mut samples = fleet.get_all::<Page>("/v1/timeline?after=0").await;
    let mut offsets: Vec<_> = samples
        .iter()
        .map(|(_, response)| clock_offset(response))
        .collect();
    for _ in 1..OFFSET_SAMPLES {
        let responses = fleet.get_all::<Page>(CLOCK_ONLY_PATH).await;
        for (best, (_, response)) in offsets.iter_mut().zip(&responses) {
            *best = ClockOffset::tighter(*best, clock_offset(response));
        }
    }
    let mut collected = Collected {
        events: Vec::new(),
        offsets: Vec::new(),
        errors: Vec::new(),
    };
    let mut sources = Vec::new();
    for ((address, response), offset) in samples.drain(..).zip(offsets) {
        match (response, offset) {
            (Ok(response), Some(offset)) => {
                collected.offsets.push((address, offset));
                sources.push(ProcessEvents {
                    offset,
                    events: response.value.events,
                });
            }
            (Err(error), _) => collected.errors.push((address, error)),
            (Ok(_), None) => {}
        }
    }
    collected.events = merge(sources);
    Ok(collected)
}

impl Collected {
    /// Returns the exit code of a command that used these events.
    pub fn exit(&self) -> Exit {
        let exits = self.errors.iter().map(|(_, error)| error.exit());
        exits.max().unwrap_or(Exit::Done)
    }

    /// Returns a line for each router: its clock offset, or the error of its query.
    pub fn footer(&self) -> String {
        let clocks = self.offsets.iter().map(|(address, offset)| {
            format!(
                "{address}: clock is {} us ahead, with an error of at most {} us\n",
                offset.ahead_us, offset.bound_us
            )
        });
        let errors = self
            .errors
            .iter()
            .map(|(address, error)| format!("{address}: {error}\n"));
        clocks.chain(errors).collect()
    }

    /// Returns the clock offset or error of each router as a JSON array.
    pub fn routers_json(&self) -> serde_json::Value {
        let clocks = self.offsets.iter().map(|(address, offset)| {
            serde_json::json!({
                "router": address,
                "clock_ahead_us": offset.ahead_us,
                "clock_bound_us": offset.bound_us,
            })
        });
        let errors = self.errors.iter().map(
            |(address, error)| serde_json::json!({ "router": address, "error": error.to_string() }),
        );
        clocks.chain(errors).collect()
    }
}

/// Formats an event as a line of text with its newline.
pub fn event_line(merged: &MergedEvent) -> String {
    let event = &merged.event;
    let mut line = format!(
        "{} {} #{} {} {}",
        utc(merged.at_wall_us),
        event.process,
        event.sequence,
        event.number,
        event.name,
    );
    if let Some(request) = event.request_id {
        line.push_str(&format!(" request={request}"));
    }
    for (name, value) in &event.fields {
        line.push_str(&format!(" {name}={}", value_text(value)));
    }
    if let Some(cause) = event.cause {
        line.push_str(&format!(" because of #{cause}"));
    }
    line.push('\n');
    line
}

/// Formats the value of a field; a text with spaces, or an empty one, is quoted.
fn value_text(value: &event::Value) -> String {
    match value {
        event::Value::Number(number) => number.to_string(),
        event::Value::Flag(flag) => flag.to_string(),
        event::Value::Text(text) if text.contains(' ') || text.is_empty() => format!("{text:?}"),
        event::Value::Text(text) => text.clone(),
    }
}

fn clock_offset(response: &Result<Response<Page>, fleet::Error>) -> Option<ClockOffset> {
    let response = response.as_ref().ok()?;
    Some(ClockOffset::estimate(
        response.sent_wall_us,
        response.received_wall_us,
        response.value.now_wall_us,
    ))
}
