//! Forwards a stream of server-sent events from a backend server to the client.
//!
//! Only complete events are forwarded. [`Progress`] keeps the number of the last one, so that
//! another backend server can resume the stream after it.

use bytes::{Bytes, BytesMut};
use peridotrack_http::{client, server};
use peridotrack_kernel::event;
use peridotrack_platform::response as response_wire;
use peridotrack_route::event::Outcome;

use super::{
    attempt::{Attempt, AttemptResult, ResponseHead},
    reach,
    request::RoutedRequest,
    response, resumption,
};
use crate::sse;

/// How far the response of one attempt got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// Nothing was received.
    Waiting,
    /// The head was received, but no complete event.
    Begun,
    /// At least one complete event was received.
    Streaming,
}

impl Stage {
    /// Returns the name of the stage in events.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Begun => "begun",
            Self::Streaming => "streaming",
        }
    }
}

/// Progress of a streamed response, over all attempts.
pub(super) struct Progress {
    has_started: bool,
    events_seen: u64,
    /// Events read before the current attempt.
    earlier_events: u64,
    /// Head of the current attempt's response, if it was received.
    head: Option<response_wire::Metadata>,
    last_event: Option<u64>,
    event_tokens: u64,
    first_part_us: u64,
    last_part_us: u64,
    longest_gap_us: u64,
}

impl Progress {
    /// Returns the progress of a request before its first attempt.
    pub(super) fn new(request: &RoutedRequest) -> Self {
        Self {
            has_started: false,
            events_seen: 0,
            earlier_events: 0,
            head: None,
            last_event: request
                .metadata
                .resumption
                .as_ref()
                .and_then(|resumption| resumption.last_event),
            event_tokens: request.engine().map_or(1, |engine| engine.event_tokens),
            first_part_us: 0,
            last_part_us: 0,
            longest_gap_us: 0,
        }
    }

    /// Returns whether any part of the response was sent to the client.
    pub(super) fn has_started(&self) -> bool {
        self.has_started
    }

    /// Returns the number of complete events read from backend servers.
    pub(super) fn events_seen(&self) -> u64 {
        self.events_seen
    }

    /// Begins an attempt, from which nothing was received yet.
    pub(super) fn begin_attempt(&mut self) {
        self.earlier_events = self.events_seen;
        self.head = None;
    }

    /// Records that the head of the current attempt's response was received.
    pub(super) fn record_head(&mut self, metadata: response_wire::Metadata) {
        self.head = Some(metadata);
    }

    /// Adds what the server of the current attempt stated about itself, if anything.
    pub(super) fn describe_statements(&self, mut event: event::Event) -> event::Event {
        let Some(metadata) = self.head else {
            return event;
        };
        if let Some(limit_per_s) = metadata.limit_per_s {
            event = event.with("limit_per_s", limit_per_s.to_string());
        }
        if metadata.is_leaving {
            event = event.with("is_server_leaving", true);
        }
        if let Some(pause_ms) = metadata.pause_ms {
            event = event.with("pause_ms", pause_ms);
        }
        event
    }

    /// Returns how far the response of the current attempt got.
    pub(super) fn stage(&self) -> Stage {
        match (self.head.is_some(), self.events_seen - self.earlier_events) {
            (false, _) => Stage::Waiting,
            (true, 0) => Stage::Begun,
            (true, _) => Stage::Streaming,
        }
    }

    /// Returns when the first part was sent to the client, in monotonic microseconds.
    pub(super) fn first_part_us(&self) -> u64 {
        self.first_part_us
    }

    /// Returns the longest time between two consecutive parts, in microseconds.
    pub(super) fn longest_gap_us(&self) -> u64 {
        self.longest_gap_us
    }

    /// Records the time of a part that is sent to the client.
    fn record_part(&mut self, now_us: u64) {
        if self.has_started {
            self.longest_gap_us = self.longest_gap_us.max(now_us - self.last_part_us);
        } else {
            self.first_part_us = now_us;
        }
        self.has_started = true;
        self.last_part_us = now_us;
    }

    /// Returns the number of the last event received, by this gateway or, before the first attempt,
    /// by the client.
    pub(super) fn last_event(&self) -> Option<u64> {
        self.last_event
    }
}

/// Returns whether a response is a successful stream of events.
pub(super) fn is_event_stream(head: &http::response::Parts) -> bool {
    let content_type = head.headers.get(http::header::CONTENT_TYPE);
    head.status.is_success()
        && content_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}

/// Forwards complete events as they arrive, until the stream ends or fails.
pub(super) async fn forward_events(
    attempt: &Attempt<'_>,
    mut head: ResponseHead,
    client: &mut server::Connection,
    progress: &mut Progress,
) -> AttemptResult {
    let mut parser = sse::Parser::default();
    loop {
        let chunk = monoio::select! {
            biased;
            () = client.closed() => return AttemptResult::ClientDisconnected,
            chunk = head.connection.next_chunk() => chunk,
            () = attempt.answer_due(progress) => return AttemptResult::Stopped,
        };
        let chunk = match chunk {
            Ok(Some(chunk)) => chunk,
            Ok(None) if parser.finish().is_err() => {
                return broken(progress, true, "the stream ends within an event".to_owned());
            }
            // A server that ends may close the connection after the head, which ends the response.
            Ok(None) if head.is_close_delimited() && progress.stage() != Stage::Streaming => {
                return broken(progress, true, "the stream has no event".to_owned());
            }
            Ok(None) => return finish_response(attempt, head, client, progress).await,
            Err(error) => return attempt.failed(&error, progress),
        };
        reach::received(attempt.shared, &attempt.target.backend_server);
        parser.push(&chunk);
        let (events, fault) = read_events(&mut parser, &mut head.connection, progress);
        let tokens = progress.events_seen * progress.event_tokens;
        attempt.reservation.delivered_tokens.set(tokens);
        if !events.is_empty() {
            attempt.ticket.first_token();
            if write_events(attempt, &head.parts, client, progress, events)
                .await
                .is_err()
            {
                return AttemptResult::ClientDisconnected;
            }
        }
        if let Some(detail) = fault {
            return broken(progress, false, detail);
        }
    }
}

/// Reads every complete event that has arrived, without waiting for more. If the stream is malformed
/// after these, the reason is returned with them.
fn read_events(
    parser: &mut sse::Parser,
    connection: &mut client::Connection,
    progress: &mut Progress,
) -> (Bytes, Option<String>) {
    let mut events = BytesMut::new();
    let fault = push_buffered(parser, connection)
        .and_then(|()| take_events(parser, progress, &mut events))
        .err();
    (events.freeze(), fault)
}

fn push_buffered(
    parser: &mut sse::Parser,
    connection: &mut client::Connection,
) -> Result<(), String> {
    while let Some(chunk) = connection
        .buffered_chunk()
        .map_err(|error| error.to_string())?
    {
        parser.push(&chunk);
    }
    Ok(())
}

/// Moves the complete events to `events`. Their numbers must increase, also over attempts: a server
/// that does not resume the stream would repeat it.
fn take_events(
    parser: &mut sse::Parser,
    progress: &mut Progress,
    events: &mut BytesMut,
) -> Result<(), String> {
    while let Some(event) = parser.next_event().map_err(|error| error.to_string())? {
        if let Some(number) = event.id() {
            if let Some(last) = progress.last_event.filter(|last| number <= *last) {
                return Err(format!("event {number} follows event {last}"));
            }
            progress.last_event = Some(number);
        }
        progress.events_seen += 1;
        events.extend_from_slice(event.bytes());
    }
    Ok(())
}

/// Sends events to the client, preceded by the head of the response if it was not sent yet.
async fn write_events(
    attempt: &Attempt<'_>,
    head: &http::response::Parts,
    client: &mut server::Connection,
    progress: &mut Progress,
    events: Bytes,
) -> Result<(), server::Error> {
    let now_us = attempt.shared.kernel.now_us();
    let has_started = progress.has_started;
    if !has_started && !events.is_empty() {
        resumption::record_beginning(attempt.shared, attempt.request, attempt.ticket);
    }
    progress.record_part(now_us);
    if has_started {
        return client.write(events).await;
    }
    let elapsed_us = now_us - attempt.request.arrived_us;
    attempt
        .shared
        .metrics
        .first_token
        .record(elapsed_us as f64 / 1e6);
    let head = attempt
        .shared
        .stopping
        .announce(client, response::stream_head(head));
    client.start_with(head, events).await
}

/// Ends the response to the client after the stream of the backend server has ended.
async fn finish_response(
    attempt: &Attempt<'_>,
    head: ResponseHead,
    client: &mut server::Connection,
    progress: &mut Progress,
) -> AttemptResult {
    attempt.keep_connection(head.connection, &head.metadata);
    if !progress.has_started
        && write_events(attempt, &head.parts, client, progress, Bytes::new())
            .await
            .is_err()
    {
        return AttemptResult::ClientDisconnected;
    }
    match client.finish().await {
        Ok(()) => AttemptResult::Streamed,
        Err(_) => AttemptResult::ClientDisconnected,
    }
}

/// Returns the result of an attempt whose stream is malformed or ended early.
fn broken(progress: &Progress, is_disconnected: bool, detail: String) -> AttemptResult {
    AttemptResult::Failed {
        outcome: Outcome::Broken {
            sent: true,
            events_seen: progress.events_seen,
        },
        is_disconnected,
        detail,
        response: None,
    }
}
