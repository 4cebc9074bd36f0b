//! One attempt of a request at one backend server.
//!
//! An attempt connects, sends the request, checks the head of the response and forwards the body.
//! From its result, which states whether the request may have run, the routing service decides
//! whether the request may be sent again.

use std::{future::Future, rc::Rc, time::Duration};

use bytes::Bytes;
use http::StatusCode;
use peridotrack_http::{client, server};
use peridotrack_kernel::clock;
use peridotrack_platform::{request as request_wire, response as response_wire};
use peridotrack_quarantine::{event::Trial, run::Run};
use peridotrack_route::event::{Event, Outcome};
use peridotrack_types::site;

use super::{
    Shared,
    identity::{self, Identified},
    liveness, reach,
    request::RoutedRequest,
    reservation::ReservationGuard,
    response,
    stream::{self, Progress},
};
use crate::route;

/// One attempt, with the request, its reservation and the backend server that was chosen.
pub(super) struct Attempt<'a> {
    pub(super) shared: &'a Rc<Shared>,
    pub(super) request: &'a RoutedRequest,
    pub(super) reservation: &'a ReservationGuard,
    pub(super) target: &'a route::Destination,
    pub(super) ticket: &'a route::Ticket,
    /// Run of the server, as the directory had it when the attempt began.
    pub(super) server: &'a Run,
    pub(super) trial: &'a Trial,
}

/// How an attempt ended.
pub(super) enum AttemptResult {
    /// The backend server sent a complete response that is to be forwarded to the client.
    Responded(http::Response<Bytes>),
    /// The response was streamed to the client completely.
    Streamed,
    /// The client closed its connection, or the connection failed.
    ClientDisconnected,
    /// The gateway stops before the client received any of the response.
    Stopped,
    /// The attempt failed; the routing service decides whether another follows.
    Failed {
        /// How it failed, for the routing service.
        outcome: Outcome,
        /// Whether the connection broke, as it does when the backend server ends.
        is_disconnected: bool,
        /// Reason why the attempt failed, for the log.
        detail: String,
        /// Error response of the backend server, sent to the client if no other attempt follows.
        response: Option<http::Response<Bytes>>,
    },
}

/// Head of a response, with the connection that its body arrives on.
pub(super) struct ResponseHead {
    pub(super) connection: client::Connection,
    pub(super) parts: http::response::Parts,
    pub(super) metadata: response_wire::Metadata,
}

/// What became of a request that was to be sent to the chosen server.
enum Sent {
    Responded(Box<ResponseHead>),
    /// It was not sent, because the server became ineligible.
    Withdrawn,
    /// It was not sent, because the server did not state which process it is; the reason is for the
    /// log.
    Unidentified(String),
}

impl ResponseHead {
    /// Returns whether the end of the connection marks the end of the body.
    pub(super) fn is_close_delimited(&self) -> bool {
        let headers = &self.parts.headers;
        !headers.contains_key(http::header::CONTENT_LENGTH)
            && !headers.contains_key(http::header::TRANSFER_ENCODING)
    }
}

impl Attempt<'_> {
    /// Sends the request and, for a streaming route, forwards the events to the client.
    pub(super) async fn run(
        &self,
        client: &mut server::Connection,
        progress: &mut Progress,
    ) -> AttemptResult {
        let sent_us = self.shared.kernel.now_us();
        let head = monoio::select! {
            biased;
            head = self.within_deadline(self.send(progress)) => head,
            () = client.closed() => return AttemptResult::ClientDisconnected,
            () = self.answer_due(progress) => return AttemptResult::Stopped,
        };
        let mut head = match head {
            Some(Ok(Sent::Responded(head))) => *head,
            Some(Ok(Sent::Withdrawn)) => return withdrawn(),
            Some(Ok(Sent::Unidentified(detail))) => return unidentified(detail),
            Some(Err(error)) => return self.failed(&error, progress),
            None => return self.timed_out(),
        };
        progress.record_head(head.metadata);
        if head.metadata.matches_request && !head.metadata.is_misdirected {
            self.report_statements(&head.metadata);
        }
        if !head.metadata.is_misdirected {
            let server = &self.target.backend_server;
            let limit_per_s = head.metadata.limit_per_s;
            self.shared.throttle.answered(server, limit_per_s, sent_us);
            self.shared.quarantine.answered(server, sent_us);
        }
        self.shared.directory.note_improper(
            self.shared,
            &self.target.backend_server,
            &head.metadata,
        );
        self.report_load(&head.metadata);
        if let Some(result) = self.check_head(&head) {
            return result;
        }
        let is_event_stream = stream::is_event_stream(&head.parts);
        if progress.has_started() && !is_event_stream {
            let status = head.parts.status;
            let detail = format!("the stream is not continued, status {status}");
            return failed_response(detail, None);
        }
        if self.request.route().retry_policy.is_stream() && is_event_stream {
            let limit = Duration::from_micros(self.request.remaining_us(self.shared));
            let streaming = stream::forward_events(self, head, client, progress);
            return match monoio::time::timeout(limit, streaming).await {
                Ok(result) => result,
                Err(_) => self.timed_out(),
            };
        }
        let body = monoio::select! {
            biased;
            body = self.within_deadline(head.connection.read_body()) => body,
            () = client.closed() => return AttemptResult::ClientDisconnected,
            () = self.answer_due(progress) => return AttemptResult::Stopped,
        };
        match body {
            Some(Ok(body)) => self.classify(head, body),
            Some(Err(error)) => self.failed(&error, progress),
            None => self.timed_out(),
        }
    }

    /// Connects, sends the request unless that is ruled out meanwhile, and reads the head of the
    /// response.
    async fn send(&self, progress: &Progress) -> Result<Sent, client::Error> {
        let is_continuation =
            self.request.route().retry_policy.is_stream() && progress.last_event().is_some();
        let mut connection = match is_continuation {
            true => match identity::connect(self).await? {
                Identified::Listed(connection) => *connection,
                Identified::Other => return Ok(Sent::Withdrawn),
                Identified::Unknown(detail) => return Ok(Sent::Unidentified(detail)),
            },
            false => self.connect().await?,
        };
        if !self.ticket.may_send() {
            return Ok(Sent::Withdrawn);
        }
        self.shared.route.handle(Event::Connected {
            backend: self.target.backend_server.clone(),
        });
        self.ticket.sent();
        self.reservation.begin_attempt();
        let request = self.backend_request(progress);
        let server = &self.target.backend_server;
        let awaiting = reach::await_response(self.shared, server);
        let parts = connection.send(request).await?;
        drop(awaiting);
        reach::received(self.shared, server);
        let metadata =
            response_wire::Metadata::decode(&parts, self.request.metadata.request_id.as_ref());
        Ok(Sent::Responded(Box::new(ResponseHead {
            connection,
            parts,
            metadata,
        })))
    }

    /// Connects to the backend server. A request that may run only once gets a new connection: the
    /// server may close a pooled one just as the request is sent, and its outcome would be unknown.
    /// So does one under which servers ended: a pooled connection may be that of another server that
    /// ended at the same time, which would count as a crash in sequence.
    async fn connect(&self) -> Result<client::Connection, client::Error> {
        let (server, address) = (&self.target.backend_server, self.target.address);
        let is_in_sequence = self.trial.depth() > 1;
        match self.request.route().retry_policy {
            _ if is_in_sequence => reach::connect(self.shared, server, address).await,
            site::RetryPolicy::AtMostOnce => reach::connect(self.shared, server, address).await,
            _ => reach::take(self.shared, server, address).await,
        }
    }

    /// Builds the request to the backend server, with the headers of the gateway in place of the
    /// client's.
    fn backend_request(&self, progress: &Progress) -> http::Request<Bytes> {
        let received = &self.request.received;
        let headers = request_wire::BackendHeaders {
            backend_server: &self.target.backend_server,
            account: self.request.account.as_ref(),
            remaining_ms: self.request.remaining_us(self.shared) / clock::US_PER_MS,
            last_event: progress.last_event(),
        };
        let mut outgoing = http::Request::new(received.body.clone());
        *outgoing.method_mut() = received.head.method.clone();
        *outgoing.uri_mut() = received.head.uri.clone();
        *outgoing.headers_mut() = headers.encode(&received.head.headers);
        outgoing
    }

    /// Returns the failure of the attempt if the head of the response rules out a success.
    fn check_head(&self, head: &ResponseHead) -> Option<AttemptResult> {
        let metadata = &head.metadata;
        if !metadata.matches_request {
            return Some(failed_response(
                "the response belongs to another request".to_owned(),
                None,
            ));
        }
        if metadata.is_not_run {
            self.reservation.mark_not_run();
            if metadata.is_misdirected {
                liveness::report_end(self.shared, self.server);
                self.ticket.backend_server_leaving();
            }
            return Some(AttemptResult::Failed {
                outcome: Outcome::RefusedNotRun,
                is_disconnected: false,
                detail: format!("refused with status {}", head.parts.status),
                response: None,
            });
        }
        if head.parts.status.is_success() && !metadata.is_signed {
            return Some(failed_response(
                "the response is not signed".to_owned(),
                None,
            ));
        }
        None
    }

    /// Classifies a complete response as final, or as a failure that may be retried on another
    /// backend server.
    fn classify(&self, head: ResponseHead, body: Bytes) -> AttemptResult {
        let status = head.parts.status;
        let response = response::forwarded(&head.parts, body);
        self.keep_connection(head.connection, &head.metadata);
        if status.is_success() {
            let tokens = self.request.metadata.max_output_tokens;
            self.reservation.delivered_tokens.set(tokens);
        }
        if !status.is_server_error() && !implies_not_run(status) {
            return AttemptResult::Responded(response);
        }
        let final_response = (!implies_not_run(status)).then_some(response);
        failed_response(format!("failed with status {status}"), final_response)
    }

    /// Returns the connection of a complete response to the pool, unless the server leaves.
    pub(super) fn keep_connection(
        &self,
        connection: client::Connection,
        metadata: &response_wire::Metadata,
    ) {
        if !metadata.is_leaving {
            reach::keep(self.shared, connection);
        }
    }

    /// Reports the load in the headers of the response, if any, to the routing service.
    fn report_load(&self, metadata: &response_wire::Metadata) {
        let Some(load) = metadata.load else { return };
        self.shared.route.handle(Event::LoadReport {
            backend: self.target.backend_server.clone(),
            running: load.running,
            queued: load.queued,
            slots: load.slots,
            duration_percent: load.duration_percent,
            age_us: 0,
            leaving: metadata.is_leaving,
        });
    }

    /// Passes what the server states about itself to the routing service, and gives up the idle
    /// connections to a server that leaves.
    fn report_statements(&self, metadata: &response_wire::Metadata) {
        if metadata.is_leaving {
            self.ticket.leaving_stated();
            self.shared.pool.close_idle(self.target.address);
        }
        if let Some(pause_ms) = metadata.pause_ms {
            self.ticket.pause_asked(pause_ms * clock::US_PER_MS);
        }
    }

    /// Waits until the gateway stops, unless the client has received a part of the response.
    pub(super) async fn answer_due(&self, progress: &Progress) {
        match progress.has_started() {
            true => std::future::pending().await,
            false => self.shared.stopping.answer_due().await,
        }
    }

    /// Awaits a future until the deadline of the request; `None` if the deadline passes first.
    async fn within_deadline<F: Future>(&self, future: F) -> Option<F::Output> {
        let limit = Duration::from_micros(self.request.remaining_us(self.shared));
        monoio::time::timeout(limit, future).await.ok()
    }

    /// Returns the result of an attempt whose exchange with the backend server failed.
    pub(super) fn failed(&self, error: &client::Error, progress: &Progress) -> AttemptResult {
        if !error.bytes_written && error.step != client::Step::Connect {
            self.reservation.mark_not_run();
        }
        let outcome = match (error.bytes_written, &error.kind) {
            (false, _) if reach::is_without_path(error) => Outcome::NoPath,
            (false, _) => Outcome::ConnectFailed,
            (true, client::Kind::TimedOut) => Outcome::Timeout { sent: true },
            (true, _) => Outcome::Broken {
                sent: true,
                events_seen: progress.events_seen(),
            },
        };
        if error.step == client::Step::Connect && reach::is_refused(error) {
            liveness::report_end(self.shared, self.server);
        }
        AttemptResult::Failed {
            outcome,
            is_disconnected: is_disconnected(error),
            detail: error.to_string(),
            response: None,
        }
    }

    /// Returns the result of an attempt that the deadline of the request ended.
    fn timed_out(&self) -> AttemptResult {
        AttemptResult::Failed {
            outcome: Outcome::Timeout {
                sent: self.reservation.may_have_run(),
            },
            is_disconnected: false,
            detail: "the deadline of the request passed".to_owned(),
            response: None,
        }
    }
}

/// Returns the result of an attempt whose response is not a success; the request may have run.
fn failed_response(detail: String, response: Option<http::Response<Bytes>>) -> AttemptResult {
    AttemptResult::Failed {
        outcome: Outcome::Broken {
            sent: true,
            events_seen: 0,
        },
        is_disconnected: false,
        detail,
        response,
    }
}

/// Returns the result of an attempt that ended before the request was sent, because the server became
/// ineligible.
fn withdrawn() -> AttemptResult {
    AttemptResult::Failed {
        outcome: Outcome::Withdrawn,
        is_disconnected: false,
        detail: "the server became ineligible before the request was sent".to_owned(),
        response: None,
    }
}

/// Returns the result of an attempt that ended before the request was sent, because the server did not
/// state which process it is. It took the connection, so that this is no failure to connect.
fn unidentified(detail: String) -> AttemptResult {
    AttemptResult::Failed {
        outcome: Outcome::Timeout { sent: false },
        is_disconnected: false,
        detail,
        response: None,
    }
}

/// Returns whether the server closed or reset the connection during the exchange.
fn is_disconnected(error: &client::Error) -> bool {
    let is_broken = matches!(error.kind, client::Kind::Closed | client::Kind::Io(_));
    error.step != client::Step::Connect && is_broken
}

/// Returns whether clients read the status as a statement that the request did not run.
///
/// A backend server that did not run the request proves it with a header. Its response with such a
/// status but without the proof is not forwarded, because the request may have run.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
