//! Diagnoses one request from logged events: what happened to it, which other events of its routers
//! may have affected it, and why it succeeded or failed.

use peridotrack_kernel::event::{Recorded, Value};

use crate::timeline::MergedEvent;

/// Time before an event of the request from which other events of its process are taken as context,
/// in microseconds.
const CONTEXT_US: u64 = 10_000_000;

/// Events and causes of one request.
#[derive(Debug, Clone, PartialEq)]
pub struct Diagnosis {
    /// Events of the request, oldest first; empty if the logs hold none.
    pub events: Vec<MergedEvent>,
    /// Other events of its processes that may have affected it, oldest first.
    pub context: Vec<MergedEvent>,
    /// Reason for the outcome, one line for each final event of the request.
    pub causes: Vec<String>,
}

/// Diagnoses the request to which a client or a router assigned `id`.
pub fn diagnose(events: &[MergedEvent], id: &str) -> Diagnosis {
    let is_named = |event: &Recorded| {
        text_field(event, "client_request") == Some(id)
            || event
                .request_id
                .is_some_and(|request| request.to_string() == id)
    };
    let requests: Vec<_> = events
        .iter()
        .filter(|merged| is_named(&merged.event))
        .filter_map(|merged| merged.event.request_id)
        .collect();
    let request_events: Vec<MergedEvent> = events
        .iter()
        .filter(|merged| {
            let event = &merged.event;
            is_named(event) || event.request_id.is_some_and(|id| requests.contains(&id))
        })
        .cloned()
        .collect();
    let context: Vec<MergedEvent> = events
        .iter()
        .filter(|merged| {
            request_events
                .iter()
                .any(|request_event| is_context(merged, request_event))
        })
        .cloned()
        .collect();
    let causes = request_events
        .iter()
        .filter_map(|merged| describe_cause(merged, &request_events, &context))
        .collect();
    Diagnosis {
        events: request_events,
        context,
        causes,
    }
}

/// Returns whether an event may have affected the request: it precedes `request_event` in the same
/// process by less than [`CONTEXT_US`], belongs to no request, and concerns either the process or
/// the client account or backend server of `request_event`.
fn is_context(merged: &MergedEvent, request_event: &MergedEvent) -> bool {
    let (event, reference) = (&merged.event, &request_event.event);
    let is_before = event.process == reference.process
        && event.sequence < reference.sequence
        && merged.at_wall_us <= request_event.at_wall_us
        && merged.at_wall_us + CONTEXT_US > request_event.at_wall_us;
    if !is_before || event.request_id.is_some() {
        return false;
    }
    let of_account = text_field(reference, "client_account").filter(|account| !account.is_empty());
    let of_server = text_field(reference, "backend_server");
    let names = |name: Option<&str>| {
        let mut fields = event.fields.values();
        name.is_some_and(|name| {
            fields.any(|value| matches!(value, Value::Text(text) if text.contains(name)))
        })
    };
    match &*event.name {
        "PlatformLost" | "PlatformReached" | "ConfigApplied" | "ConfigRefused" | "MemberNote"
        | "RouterStopping" => true,
        "BudgetNote" | "BudgetGrant" => names(of_account),
        "BackendServerLeaving" | "RouteNote" => names(of_server),
        "SignatureSuspected" => names(of_server) || shares_signature(event, reference),
        "SignatureBlocked" | "SignatureReleased" | "SignatureRechecked" => {
            shares_signature(event, reference)
        }
        _ => false,
    }
}

/// Returns the reason for the outcome as one line; `None` if the event is not a final one.
fn describe_cause(
    merged: &MergedEvent,
    request_events: &[MergedEvent],
    context: &[MergedEvent],
) -> Option<String> {
    let event = &merged.event;
    let last_failure = request_events
        .iter()
        .rfind(|other| {
            other.event.request_id == event.request_id
                && other.event.sequence < event.sequence
                && &*other.event.name == "AttemptFailed"
        })
        .map(|failed| {
            format!(
                "the attempt at {} failed: {}",
                text_field(&failed.event, "backend_server").unwrap_or("a backend server"),
                text_field(&failed.event, "detail").unwrap_or_default()
            )
        });
    let line = match &*event.name {
        "RequestCompleted" if flag_field(event, "is_late") => format!(
            "answered late: first part after {} ms, longest gap {} ms, by {}",
            number_field(event, "first_part_us").unwrap_or(number_field(event, "elapsed_us")?)
                / 1_000,
            number_field(event, "longest_gap_us").unwrap_or_default() / 1_000,
            text_field(event, "backend_server").unwrap_or_default()
        ),
        "RequestCompleted" => "answered in time".to_owned(),
        "RequestCancelled" => "the client left before the response was complete".to_owned(),
        "RequestCut" => last_failure.unwrap_or_else(|| "the response was cut".to_owned()),
        "RequestRefused" => match text_field(event, "problem")?.rsplit(':').next()? {
            "budget-exhausted" => describe_exhausted(event),
            "budget-unavailable" => describe_unavailable(merged, context),
            "no-backend-server" | "overloaded" => describe_unplaced(event, last_failure),
            "prompt-part-blocked" | "request-blocked" => describe_blocked(event),
            "unauthorized" | "not-found" | "malformed" | "too-large" => {
                text_field(event, "detail")?.to_owned()
            }
            _ => last_failure.or_else(|| text_field(event, "detail").map(str::to_owned))?,
        },
        _ => return None,
    };
    Some(format!("{}: {line}", event.process))
}

/// Explains a refusal because the client account has no tokens left.
fn describe_exhausted(event: &Recorded) -> String {
    format!(
        "account {} is exhausted: {}; available on this router {}, reserved on this router {}, \
         left in the ledger at its last read {}, of {} prepaid",
        text_field(event, "client_account").unwrap_or_default(),
        text_field(event, "detail").unwrap_or_default(),
        number_field(event, "available_tokens").unwrap_or_default(),
        number_field(event, "reserved_tokens").unwrap_or_default(),
        number_field(event, "left_tokens").unwrap_or_default(),
        number_field(event, "purchased_tokens").unwrap_or_default(),
    )
}

/// Explains a refusal because no tokens could be drawn in time, although the account may have some.
fn describe_unavailable(merged: &MergedEvent, context: &[MergedEvent]) -> String {
    let event = &merged.event;
    let lost = context
        .iter()
        .filter(|other| other.event.process == event.process)
        .rfind(|other| &*other.event.name == "PlatformLost");
    let store = match lost {
        Some(lost) if !flag_field(event, "is_store_reachable") => format!(
            "the store has been unreachable for {} ms ({})",
            merged.at_wall_us.saturating_sub(lost.at_wall_us) / 1_000,
            text_field(&lost.event, "error").unwrap_or_default()
        ),
        _ => format!(
            "neither the ledger nor another router granted any within the {} ms that the request \
             waited, although the store is reachable",
            number_field(event, "elapsed_us").unwrap_or_default() / 1_000
        ),
    };
    format!(
        "no tokens of account {} could be drawn: {store}; available on this router {} \
         tokens, left in the ledger at its last read {}",
        text_field(event, "client_account").unwrap_or_default(),
        number_field(event, "available_tokens").unwrap_or_default(),
        number_field(event, "left_tokens").unwrap_or_default(),
    )
}

/// Explains a refusal because backend servers ended under the request or a part of its prompt.
fn describe_blocked(event: &Recorded) -> String {
    let since_ms = number_field(event, "since_wall_ms").unwrap_or_default();
    let since = i64::try_from(since_ms).ok();
    let since = since.and_then(chrono::DateTime::from_timestamp_millis);
    let reason = match flag_field(event, "is_proven") {
        true => "not dispatched",
        false => "not dispatched before another router has sent it",
    };
    format!(
        "{reason}: servers {} ended under requests with the signature {}, the first at {}, \
         reported by {}",
        text_field(event, "ended_servers").unwrap_or_default(),
        text_field(event, "signatures").unwrap_or_default(),
        since.map_or_else(String::new, |since| since.to_rfc3339()),
        text_field(event, "reported_by").unwrap_or_default(),
    )
}

/// Returns whether both events name a signature in common.
fn shares_signature(event: &Recorded, reference: &Recorded) -> bool {
    let signatures = |event| {
        text_field(event, "signatures")
            .unwrap_or_default()
            .split(',')
    };
    let is_named = |signature: &str| signatures(reference).any(|named| named == signature);
    signatures(event).any(|signature| !signature.is_empty() && is_named(signature))
}

/// Explains a refusal because no backend server accepted the request.
fn describe_unplaced(event: &Recorded, last_failure: Option<String>) -> String {
    let servers = format!(
        "{} usable backend servers{}, {} requests in flight there, directory {} ms old",
        number_field(event, "usable_backend_servers").unwrap_or_default(),
        match text_field(event, "ineligible_servers") {
            None | Some("") => String::new(),
            Some(servers) => format!(", ineligible {servers}"),
        },
        number_field(event, "in_flight_requests").unwrap_or_default(),
        number_field(event, "directory_age_us").unwrap_or_default() / 1_000,
    );
    match last_failure {
        Some(failure) => format!("{failure}; not retried: {servers}"),
        None => format!("not dispatched: {servers}"),
    }
}

fn text_field<'a>(event: &'a Recorded, field: &str) -> Option<&'a str> {
    match event.fields.get(field)? {
        Value::Text(text) => Some(text),
        _ => None,
    }
}

fn number_field(event: &Recorded, field: &str) -> Option<u64> {
    match event.fields.get(field)? {
        Value::Number(number) => Some(*number),
        _ => None,
    }
}

fn flag_field(event: &Recorded, field: &str) -> bool {
    matches!(event.fields.get(field), Some(Value::Flag(true)))
}
