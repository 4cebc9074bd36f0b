//! Passing a stream of events on to the client.

use bytes::{Bytes, BytesMut};
use peridotrack_http::{client, server};
use peridotrack_route::event::Outcome;

use super::{
    answer,
    attempt::{Attempt, Head, Run},
    call::Call,
};
use crate::sse;

/// How far an answer has come, over all attempts.
pub(super) struct Progress {
    has_begun: bool,
    events_seen: u64,
    last_event: Option<u64>,
    event_tokens: u64,
    first_part_us: u64,
    last_part_us: u64,
    longest_gap_us: u64,
}

impl Progress {
    /// Returns the progress of a request of which nothing was answered.
    pub(super) fn new(call: &Call) -> Self {
        Self {
            has_begun: false,
            events_seen: 0,
            last_event: call.facts.last_event,
            event_tokens: call.engine().map_or(1, |engine| engine.event_tokens),
            first_part_us: 0,
            last_part_us: 0,
            longest_gap_us: 0,
        }
    }

    /// Returns whether a part of the answer went to the client.
    pub(super) fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Returns the events that went to the client.
    pub(super) fn events_seen(&self) -> u64 {
        self.events_seen
    }

    /// Returns when the first part went to the client, in monotonic microseconds.
    pub(super) fn first_part_us(&self) -> u64 {
        self.first_part_us
    }

    /// Returns the longest time between two parts, in microseconds.
    pub(super) fn longest_gap_us(&self) -> u64 {
        self.longest_gap_us
    }

    /// Takes in that a part goes to the client.
    fn on_part(&mut self, now_us: u64) {
        if self.has_begun {
            self.longest_gap_us = self.longest_gap_us.max(now_us - self.last_part_us);
        } else {
            self.first_part_us = now_us;
        }
        self.has_begun = true;
        self.last_part_us = now_us;
    }

    /// Returns the number of the last event that the client has.
    pub(super) fn last_event(&self) -> Option<u64> {
        self.last_event
    }
}

/// Returns whether an answer is a stream of events.
pub(super) fn is_events(head: &http::response::Parts) -> bool {
    let content_type = head.headers.get(http::header::CONTENT_TYPE);
    head.status.is_success()
        && content_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}

/// Passes events on as they arrive, whole ones only.
pub(super) async fn pass_on(
    run: &Run<'_>,
    mut head: Head,
    client: &mut server::Connection,
    progress: &mut Progress,
) -> Attempt {
    let mut parser = sse::Parser::default();
    loop {
        let chunk = monoio::select! {
            chunk = head.connection.next_chunk() => chunk,
            () = client.closed() => return Attempt::ClientLeft,
        };
        let chunk = match chunk {
            Ok(Some(chunk)) => chunk,
            Ok(None) if parser.finish().is_err() => {
                return broken(progress, "the stream ends within an event".to_owned());
            }
            Ok(None) => return finish(run, head, client, progress).await,
            Err(error) => return run.failed(&error, progress),
        };
        parser.push(&chunk);
        let events = match take_events(&mut parser, &mut head.connection, progress) {
            Ok(events) => events,
            Err(detail) => return broken(progress, detail),
        };
        let tokens = progress.events_seen * progress.event_tokens;
        run.payment.delivered_tokens.set(tokens);
        if events.is_empty() {
            continue;
        }
        run.ticket.first_token();
        if write(run, &head.head, client, progress, events)
            .await
            .is_err()
        {
            return Attempt::ClientLeft;
        }
    }
}

/// Takes every whole event that has arrived.
fn take_events(
    parser: &mut sse::Parser,
    connection: &mut client::Connection,
    progress: &mut Progress,
) -> Result<Bytes, String> {
    while let Some(chunk) = connection
        .buffered_chunk()
        .map_err(|error| error.to_string())?
    {
        parser.push(&chunk);
    }
    let mut events = BytesMut::new();
    while let Some(event) = parser.next_event().map_err(|error| error.to_string())? {
        progress.events_seen += 1;
        if let Some(number) = event.id() {
            progress.last_event = Some(number);
        }
        events.extend_from_slice(event.bytes());
    }
    Ok(events.freeze())
}

async fn write(
    run: &Run<'_>,
    head: &http::response::Parts,
    client: &mut server::Connection,
    progress: &mut Progress,
    events: Bytes,
) -> Result<(), server::Error> {
    let now_us = run.shared.kernel.now_us();
    let has_begun = progress.has_begun;
    progress.on_part(now_us);
    if has_begun {
        return client.write(events).await;
    }
    let elapsed_us = now_us - run.call.arrived_us;
    run.shared
        .metrics
        .first_token
        .record(elapsed_us as f64 / 1e6);
    client.start_with(answer::stream_head(head), events).await
}

async fn finish(
    run: &Run<'_>,
    head: Head,
    client: &mut server::Connection,
    progress: &mut Progress,
) -> Attempt {
    run.shared.pool.put(head.connection);
    if !progress.has_begun
        && write(run, &head.head, client, progress, Bytes::new())
            .await
            .is_err()
    {
        return Attempt::ClientLeft;
    }
    match client.finish().await {
        Ok(()) => Attempt::Streamed,
        Err(_) => Attempt::ClientLeft,
    }
}

fn broken(progress: &Progress, detail: String) -> Attempt {
    Attempt::Failed {
        outcome: Outcome::Broken {
            sent: true,
            events_seen: progress.events_seen,
        },
        detail,
        answer: None,
    }
}
