//! Makes one attempt of a chat completion on an engine.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use peridotrack_http::{client, server};
use peridotrack_kernel::event;
use peridotrack_route::event::Outcome;

use super::{Completion, Forwarded};
use crate::{caller::response, engine, route};

/// Longest wait for an engine to say what a cancelled stream spent, in milliseconds.
const CANCEL_TIMEOUT_MS: u64 = 500;

/// How an attempt on an engine ended.
pub(super) enum Attempt {
    /// The answer is whole; this is what is left to send.
    Whole {
        usage: Option<engine::Usage>,
        rest: Rest,
    },
    /// The engine failed.
    Failed { outcome: Outcome, detail: String },
    /// The engine answered with an error of its own.
    Rejected { response: http::Response<Bytes> },
    /// The caller went away.
    CallerGone { usage: Option<engine::Usage> },
}

/// The part of an answer that waits for its usage record.
pub(super) enum Rest {
    /// Whole body.
    Body(Bytes),
    /// Last events of a stream.
    Tail(Vec<u8>),
}

impl Completion<'_> {
    pub(super) async fn attempt(
        &mut self,
        connection: &mut server::Connection,
        ticket: &mut route::Ticket,
        stream: &mut engine::Stream,
        address: SocketAddr,
        resume: Option<u64>,
    ) -> Attempt {
        let mut backend = match self.services.pool.take(address).await {
            Ok(backend) => backend,
            Err(error) => return failed(Outcome::ConnectFailed, error.to_string()),
        };
        let request = match resume {
            Some(offset) => engine::resume_request(address, self.call.request_id, offset),
            None => engine::completion_request(address, self.call.request_id, self.body.clone()),
        };
        ticket.sent();
        self.reservation_exposed();
        let sent = monoio::select! {
            sent = backend.send(request) => sent,
            () = connection.closed() => return self.cancel(address).await,
        };
        let events_seen = stream.events_seen();
        let head = match sent {
            Ok(head) => head,
            Err(error) => return failed(broken(&error, events_seen), error.to_string()),
        };
        if engine::is_leaving(&head) {
            ticket.backend_server_leaving();
        }
        let attempt = if let Some(attempt) = self.unusual(&mut backend, &head, events_seen).await {
            attempt
        } else if self.chat.is_stream {
            self.forward(connection, ticket, &mut backend, stream, address)
                .await
        } else {
            self.collect(connection, ticket, &mut backend, address)
                .await
        };
        if backend.is_reusable() {
            self.services.pool.put(backend);
        }
        attempt
    }

    /// Handles every head but that of this request's answer.
    pub(super) async fn unusual(
        &self,
        backend: &mut client::Connection,
        head: &http::response::Parts,
        events_seen: u64,
    ) -> Option<Attempt> {
        if engine::is_not_run(head) {
            let _ = backend.read_body().await;
            return Some(failed(
                Outcome::RefusedNotRun,
                "the engine refused".to_owned(),
            ));
        }
        let broken = Outcome::Broken {
            sent: true,
            events_seen,
        };
        if let Err(error) = engine::check_head(head, self.call.request_id) {
            return Some(failed(broken, error.to_string()));
        }
        if head.status.is_client_error() && self.forwarded == Forwarded::Nothing {
            let body = backend.read_body().await.ok()?;
            let status = head.status.as_u16();
            return Some(Attempt::Rejected {
                response: response::json(status, body),
            });
        }
        if !head.status.is_success() {
            return Some(failed(broken, format!("status {}", head.status)));
        }
        None
    }

    /// Reads a whole answer.
    pub(super) async fn collect(
        &self,
        connection: &mut server::Connection,
        ticket: &route::Ticket,
        backend: &mut client::Connection,
        address: SocketAddr,
    ) -> Attempt {
        let read = monoio::select! {
            read = backend.read_body() => read,
            () = connection.closed() => return self.cancel(address).await,
        };
        ticket.first_token();
        let body = match read {
            Ok(body) => body,
            Err(error) => return failed(broken(&error, 0), error.to_string()),
        };
        match engine::check_body(&body, self.call.request_id) {
            Ok(usage) => Attempt::Whole {
                usage,
                rest: Rest::Body(body),
            },
            Err(error) => failed(
                Outcome::Broken {
                    sent: true,
                    events_seen: 0,
                },
                error.to_string(),
            ),
        }
    }

    /// Forwards a stream, event by event, and holds its tail back.
    pub(super) async fn forward(
        &mut self,
        connection: &mut server::Connection,
        ticket: &route::Ticket,
        backend: &mut client::Connection,
        stream: &mut engine::Stream,
        address: SocketAddr,
    ) -> Attempt {
        let mut tail = Vec::new();
        loop {
            let chunk = monoio::select! {
                chunk = backend.next_chunk() => chunk,
                () = connection.closed() => return self.cancel(address).await,
            };
            let events_seen = stream.events_seen();
            let is_whole = match chunk {
                Err(error) => return failed(broken(&error, events_seen), error.to_string()),
                Ok(None) => true,
                Ok(Some(chunk)) => {
                    let mut out = Vec::new();
                    let checked = stream.push(&chunk, &mut out, &mut tail);
                    if !out.is_empty() && self.send(connection, ticket, out).await.is_err() {
                        return self.cancel(address).await;
                    }
                    if let Err(error) = checked {
                        let outcome = Outcome::Broken {
                            sent: true,
                            events_seen: stream.events_seen(),
                        };
                        return failed(outcome, error.to_string());
                    }
                    false
                }
            };
            if is_whole {
                return match stream.finish() {
                    Ok(()) => Attempt::Whole {
                        usage: stream.usage(),
                        rest: Rest::Tail(tail),
                    },
                    Err(error) => failed(
                        Outcome::Broken {
                            sent: true,
                            events_seen,
                        },
                        error.to_string(),
                    ),
                };
            }
        }
    }

    /// Sends events to the caller, before the first of them the head.
    pub(super) async fn send(
        &mut self,
        connection: &mut server::Connection,
        ticket: &route::Ticket,
        events: Vec<u8>,
    ) -> Result<(), server::Error> {
        if self.forwarded == Forwarded::Nothing {
            let head = response::stream_head(self.call.request_id);
            connection.start_with(head, events.into()).await?;
            self.forwarded = Forwarded::Part;
            ticket.first_token();
            let elapsed_us = self.services.kernel.now_us() - self.call.arrived_us;
            let event = event::Event::new(event::Kind::RequestAnswering);
            self.call
                .note(&self.services.kernel, event.with("elapsed_us", elapsed_us));
            self.services
                .metrics
                .first_token
                .record(Duration::from_micros(elapsed_us).as_secs_f64());
            return Ok(());
        }
        connection.write(events.into()).await
    }

    /// Cancels the stream at the engine and learns what it spent.
    pub(super) async fn cancel(&self, address: SocketAddr) -> Attempt {
        let request = engine::cancel_request(address, self.call.request_id);
        let timeout = Duration::from_millis(CANCEL_TIMEOUT_MS);
        let fetch = self.services.pool.fetch(address, request);
        let usage = match monoio::time::timeout(timeout, fetch).await {
            Ok(Ok(response)) if response.status().is_success() => {
                engine::check_body(response.body(), self.call.request_id)
                    .ok()
                    .flatten()
            }
            _ => None,
        };
        Attempt::CallerGone { usage }
    }
}

fn failed(outcome: Outcome, detail: String) -> Attempt {
    Attempt::Failed { outcome, detail }
}

fn broken(error: &client::Error, events_seen: u64) -> Outcome {
    match error.kind {
        client::Kind::TimedOut => Outcome::Timeout {
            sent: error.bytes_written,
        },
        _ => Outcome::Broken {
            sent: error.bytes_written,
            events_seen,
        },
    }
}
