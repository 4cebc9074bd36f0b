//! Writes the tokens of a run to a connection as server-sent events, and injects stream faults.

use std::fmt::Write;

use bytes::Bytes;
use http::{Response, header};
use peridotrack_http::server::Connection;

use crate::{
    endpoint::Disconnect,
    engine::{
        chat::{Chunk, ChunkChoice, Delta},
        run::{Run, State},
    },
    response,
};

/// Maximum number of available events that are sent in one write.
const EVENTS_PER_WRITE: u64 = 32;

/// Faults of one response.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Faults {
    /// Tokens after which the connection is closed.
    pub(crate) cut_after_tokens: Option<u64>,
    /// Whether the usage is left out.
    pub(crate) omit_usage: bool,
    /// Whether the second half is left out of a complete HTTP message.
    pub(crate) truncate: bool,
}

/// Writes the events of a run, starting with event id `next`, until the run ends.
///
/// If the run is lost or cancelled, the connection is closed. If the client disconnects, only the
/// writing ends: the run continues and can be resumed.
pub(crate) async fn write(
    run: &Run,
    mut next: u64,
    faults: Faults,
    connection: &mut Connection,
) -> Result<(), Disconnect> {
    let end_of_stream = tokens_to_write(run, faults);
    let mut started = false;
    loop {
        let seen = run.changed.generation();
        let available = run.generated_tokens().min(end_of_stream);
        let complete =
            available == end_of_stream && (run.state() == State::Finished || faults.truncate);
        if !started && (next < available || complete) {
            connection.start(head(run)).await?;
            started = true;
        }
        while next < available {
            let end = available.min(next + EVENTS_PER_WRITE);
            connection.write(token_events(run, next, end)).await?;
            next = end;
        }
        if faults.cut_after_tokens.is_some_and(|tokens| next >= tokens) {
            return Err(Disconnect);
        }
        if complete {
            return finish(run, faults, connection).await;
        }
        if run.state() != State::Active {
            return Err(Disconnect);
        }
        monoio::select! {
            () = run.changed.changed(seen) => {}
            () = connection.closed() => return Err(Disconnect),
        }
    }
}

/// Returns the number of tokens to write, which a fault can reduce.
fn tokens_to_write(run: &Run, faults: Faults) -> u64 {
    if faults.truncate {
        return run.total_tokens / 2;
    }
    let cut = faults.cut_after_tokens.unwrap_or(u64::MAX);
    run.total_tokens.min(cut)
}

fn head(run: &Run) -> Response<()> {
    let builder = Response::builder()
        .header(header::CONTENT_TYPE, "text/event-stream")
        .header(header::CACHE_CONTROL, "no-store")
        .header(response::REQUEST_ID, &run.request_id);
    response::finish(builder, ())
}

async fn finish(run: &Run, faults: Faults, connection: &mut Connection) -> Result<(), Disconnect> {
    if !faults.truncate {
        connection
            .write(final_events(run, faults.omit_usage))
            .await?;
    }
    Ok(connection.finish().await?)
}

fn token_events(run: &Run, from: u64, to: u64) -> Bytes {
    let mut text = String::new();
    for index in from..to {
        let delta = Delta {
            role: (index == 0).then(|| "assistant".to_owned()),
            content: Some(run.token(index)),
        };
        push_event(&mut text, index, &chunk(run, delta, None));
    }
    text.into()
}

/// Encodes the event with the finish reason, the usage if requested, and the end marker.
fn final_events(run: &Run, omit_usage: bool) -> Bytes {
    let mut text = String::new();
    let finish_reason = Some(run.finish_reason.to_owned());
    let last = chunk(run, Delta::default(), finish_reason);
    push_event(&mut text, run.total_tokens, &last);
    if run.include_usage && !omit_usage {
        let usage = Chunk {
            choices: Vec::new(),
            usage: Some(run.usage()),
            ..last
        };
        push_event(&mut text, run.total_tokens + 1, &usage);
    }
    text.push_str("data: [DONE]\n\n");
    text.into()
}

fn chunk(run: &Run, delta: Delta, finish_reason: Option<String>) -> Chunk {
    let choice = ChunkChoice {
        index: 0,
        delta,
        finish_reason,
    };
    Chunk {
        id: run.completion_id(),
        object: "chat.completion.chunk".to_owned(),
        created: 0,
        model: run.model.clone(),
        choices: vec![choice],
        usage: None,
    }
}

fn push_event(text: &mut String, id: u64, chunk: &Chunk) {
    let data = serde_json::to_string(chunk).expect("chunks have string keys only");
    write!(text, "id: {id}\ndata: {data}\n\n").expect("writing to a String cannot fail");
}
