//! Makes one attempt of a chat completion on an engine.
//!
//! An attempt takes a pooled connection, sends the request or a resumption and forwards the
//! response. The part that completes the response is withheld until the usage record is safe.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use peridotrack_http::{client, server};
use peridotrack_kernel::event;
use peridotrack_route::event::Outcome;

use super::{Completion, Forwarded};
use crate::{caller::response, engine, route};

/// Maximum wait for the usage of a cancelled stream, in milliseconds.
const CANCEL_TIMEOUT_MS: u64 = 500;

/// How an attempt on an engine ended.
pub(super) enum Attempt {
    /// The response is complete; `withheld` is still to be sent to the caller.
    Complete {
        usage: Option<engine::Usage>,
        withheld: Withheld,
    },
    /// The attempt failed; the routing service decides whether another follows.
    Failed { outcome: Outcome, detail: String },
    /// The engine responded with a client error (4xx), which is forwarded to the caller.
    Rejected { response: http::Response<Bytes> },
    /// The stop ended before anything was forwarded; the engine was sent a cancellation if it may
    /// have run the request.
    Stopped { usage: Option<engine::Usage> },
    /// The caller closed its connection; the engine was sent a cancellation.
    CallerDisconnected { usage: Option<engine::Usage> },
}

/// The part of a response that is sent only once the usage record is safe.
pub(super) enum Withheld {
    /// The entire body.
    Body(Bytes),
    /// The last events of a stream, from the one with the usage on.
    Tail(Vec<u8>),
}

impl Completion<'_> {
    /// Sends the request, or resumes its stream after `resume_offset` events, and forwards the
    /// response.
    pub(super) async fn attempt(
        &mut self,
        connection: &mut server::Connection,
        ticket: &mut route::Ticket,
        stream: &mut engine::Stream,
        address: SocketAddr,
        resume_offset: Option<u64>,
    ) -> Attempt {
        let taken = monoio::select! {
            biased;
            () = self.answer_due() => return Attempt::Stopped { usage: None },
            taken = self.services.pool.take(address) => taken,
        };
        let mut backend = match taken {
            Ok(backend) => backend,
            Err(error) => return failed(Outcome::ConnectFailed, error.to_string()),
        };
        let request = match resume_offset {
            Some(offset) => engine::resume_request(address, self.call.request_id, offset),
            None => engine::completion_request(address, self.call.request_id, self.body.clone()),
        };
        ticket.sent();
        self.mark_reservation_exposed();
        let sent = monoio::select! {
            biased;
            sent = backend.send(request) => sent,
            () = connection.closed() => return self.cancel(address).await,
            () = self.answer_due() => return self.stop(address).await,
        };
        let events_seen = stream.events_seen();
        let head = match sent {
            Ok(head) => head,
            Err(error) => return failed(outcome_of(&error, events_seen), error.to_string()),
        };
        if engine::is_leaving(&head) {
            ticket.backend_server_leaving();
        }
        let attempt = if let Some(attempt) = self
            .check_response_head(&mut backend, &head, events_seen, address)
            .await
        {
            attempt
        } else if self.chat.is_stream {
            self.forward_stream(connection, ticket, &mut backend, stream, address)
                .await
        } else {
            self.read_completion(connection, ticket, &mut backend, address)
                .await
        };
        if backend.is_reusable() {
            self.services.pool.put(backend);
        }
        attempt
    }

    /// Checks the response's head; returns how the attempt ends unless it is a success.
    pub(super) async fn check_response_head(
        &self,
        backend: &mut client::Connection,
        head: &http::response::Parts,
        events_seen: u64,
        address: SocketAddr,
    ) -> Option<Attempt> {
        if engine::is_not_run(head) {
            // The body only has to be read so that the connection can be reused.
            monoio::select! {
                biased;
                _ = backend.read_body() => {}
                () = self.answer_due() => {}
            }
            return Some(failed(
                Outcome::RefusedNotRun,
                "the engine refused the request without running it".to_owned(),
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
            let body = monoio::select! {
                biased;
                body = backend.read_body() => body.ok()?,
                () = self.answer_due() => return Some(self.stop(address).await),
            };
            let status = head.status.as_u16();
            return Some(Attempt::Rejected {
                response: response::json(status, body),
            });
        }
        if !head.status.is_success() {
            return Some(failed(
                broken,
                format!("the engine responded with status {}", head.status),
            ));
        }
        None
    }

    /// Reads a response that is not streamed.
    pub(super) async fn read_completion(
        &self,
        connection: &mut server::Connection,
        ticket: &route::Ticket,
        backend: &mut client::Connection,
        address: SocketAddr,
    ) -> Attempt {
        let read = monoio::select! {
            biased;
            read = backend.read_body() => read,
            () = connection.closed() => return self.cancel(address).await,
            () = self.answer_due() => return self.stop(address).await,
        };
        ticket.first_token();
        let body = match read {
            Ok(body) => body,
            Err(error) => return failed(outcome_of(&error, 0), error.to_string()),
        };
        match engine::check_body(&body, self.call.request_id) {
            Ok(usage) => Attempt::Complete {
                usage,
                withheld: Withheld::Body(body),
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

    /// Forwards a stream's events as they arrive and withholds its tail.
    pub(super) async fn forward_stream(
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
                biased;
                () = connection.closed() => return self.cancel(address).await,
                chunk = backend.next_chunk() => chunk,
                () = self.answer_due() => return self.stop(address).await,
            };
            let events_seen = stream.events_seen();
            let has_ended = match chunk {
                Err(error) => return failed(outcome_of(&error, events_seen), error.to_string()),
                Ok(None) => true,
                Ok(Some(chunk)) => {
                    let mut out = Vec::new();
                    let checked = stream.push(&chunk, &mut out, &mut tail);
                    if !out.is_empty() && self.send_events(connection, ticket, out).await.is_err() {
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
            if has_ended {
                return match stream.finish() {
                    Ok(()) => Attempt::Complete {
                        usage: stream.usage(),
                        withheld: Withheld::Tail(tail),
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

    /// Sends events to the caller; the first ones together with the response's head.
    pub(super) async fn send_events(
        &mut self,
        connection: &mut server::Connection,
        ticket: &route::Ticket,
        events: Vec<u8>,
    ) -> Result<(), server::Error> {
        if self.forwarded == Forwarded::Nothing {
            let head = self.stream_head(connection);
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

    /// Waits until the stop ends, unless a part of the response was forwarded.
    async fn answer_due(&self) {
        match self.forwarded {
            Forwarded::Nothing => self.services.stopping.answer_due().await,
            Forwarded::Part => std::future::pending().await,
        }
    }

    /// Cancels the request at the engine because the stop ends.
    async fn stop(&self, address: SocketAddr) -> Attempt {
        let usage = self.cancelled_usage(address).await;
        Attempt::Stopped { usage }
    }

    /// Cancels the request at the engine because its caller disconnected.
    pub(super) async fn cancel(&self, address: SocketAddr) -> Attempt {
        let usage = self.cancelled_usage(address).await;
        Attempt::CallerDisconnected { usage }
    }

    /// Cancels the request at the engine and returns the usage that it reports.
    async fn cancelled_usage(&self, address: SocketAddr) -> Option<engine::Usage> {
        let request = engine::cancel_request(address, self.call.request_id);
        let timeout = Duration::from_millis(CANCEL_TIMEOUT_MS);
        let fetch = self.services.pool.fetch(address, request);
        match monoio::time::timeout(timeout, fetch).await {
            Ok(Ok(response)) if response.status().is_success() => {
                engine::check_body(response.body(), self.call.request_id)
                    .ok()
                    .flatten()
            }
            _ => None,
        }
    }
}

fn failed(outcome: Outcome, detail: String) -> Attempt {
    Attempt::Failed { outcome, detail }
}

/// Returns the outcome of an exchange that failed.
fn outcome_of(error: &client::Error, events_seen: u64) -> Outcome {
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
