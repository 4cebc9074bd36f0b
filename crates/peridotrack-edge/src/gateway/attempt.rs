//! One attempt of a request at one backend server.

use std::{future::Future, rc::Rc, time::Duration};

use bytes::Bytes;
use http::StatusCode;
use peridotrack_http::{client, server};
use peridotrack_kernel::clock;
use peridotrack_platform::{request as request_wire, response as response_wire};
use peridotrack_route::event::{Event, Outcome};
use peridotrack_types::site;

use super::{
    Shared, answer,
    call::Call,
    options,
    payment::Payment,
    stream::{self, Progress},
};
use crate::route;

/// One attempt and what it needs.
pub(super) struct Run<'a> {
    pub(super) shared: &'a Rc<Shared>,
    pub(super) call: &'a Call,
    pub(super) payment: &'a Payment,
    pub(super) target: &'a route::Destination,
    pub(super) ticket: &'a route::Ticket,
}

/// How an attempt ended.
pub(super) enum Attempt {
    /// The backend server answered whole.
    Answered(http::Response<Bytes>),
    /// The answer was streamed to its end.
    Streamed,
    /// The client left, or its connection failed.
    ClientLeft,
    /// The attempt failed.
    Failed {
        /// How, for the router machine.
        outcome: Outcome,
        /// Why.
        detail: String,
        /// The backend server's own failure, which may go to the client.
        answer: Option<http::Response<Bytes>>,
    },
}

/// The head of an answer, with the connection that carries its body.
pub(super) struct Head {
    pub(super) connection: client::Connection,
    pub(super) head: http::response::Parts,
    facts: response_wire::Metadata,
}

impl Run<'_> {
    /// Sends the request and passes a streamed answer on.
    pub(super) async fn run(
        &self,
        client: &mut server::Connection,
        progress: &mut Progress,
    ) -> Attempt {
        let head = monoio::select! {
            head = self.within_deadline(self.send(progress)) => head,
            () = client.closed() => return Attempt::ClientLeft,
        };
        let mut head = match head {
            Some(Ok(head)) => head,
            Some(Err(error)) => return self.failed(&error, progress),
            None => return self.timed_out(),
        };
        self.note_load(&head.facts);
        if let Some(attempt) = self.check(&head) {
            return attempt;
        }
        if self.call.route().retry_policy.is_stream() && stream::is_events(&head.head) {
            let limit = Duration::from_micros(self.call.left_us(self.shared));
            let streaming = stream::pass_on(self, head, client, progress);
            return match monoio::time::timeout(limit, streaming).await {
                Ok(attempt) => attempt,
                Err(_) => self.timed_out(),
            };
        }
        let body = monoio::select! {
            body = self.within_deadline(head.connection.read_body()) => body,
            () = client.closed() => return Attempt::ClientLeft,
        };
        match body {
            Some(Ok(body)) => self.answered(head, body),
            Some(Err(error)) => self.failed(&error, progress),
            None => self.timed_out(),
        }
    }

    async fn send(&self, progress: &Progress) -> Result<Head, client::Error> {
        let mut connection = self.connect().await?;
        self.shared.route.handle(Event::Connected {
            backend: self.target.backend_server.clone(),
        });
        self.ticket.sent();
        self.payment.begin_attempt();
        let request = self.forwarded(progress);
        let head = connection.send(request).await?;
        let facts = response_wire::Metadata::decode(&head, self.call.facts.request_id.as_ref());
        Ok(Head {
            connection,
            head,
            facts,
        })
    }

    /// Connects to the backend server; a request that may run once gets a connection of its own,
    /// because an idle one may be closed by the server at the moment of sending.
    async fn connect(&self) -> Result<client::Connection, client::Error> {
        let address = self.target.address;
        match self.call.route().retry_policy {
            site::RetryPolicy::AtMostOnce => {
                client::Connection::connect(address, options::backend()).await
            }
            _ => self.shared.pool.take(address).await,
        }
    }

    fn forwarded(&self, progress: &Progress) -> http::Request<Bytes> {
        let request = &self.call.request;
        let forwarded = request_wire::BackendHeaders {
            backend_server: &self.target.backend_server,
            account: self.call.account.as_ref(),
            remaining_ms: self.call.left_us(self.shared) / clock::US_PER_MS,
            last_event: progress.last_event(),
        };
        let mut forward = http::Request::new(request.body.clone());
        *forward.method_mut() = request.head.method.clone();
        *forward.uri_mut() = request.head.uri.clone();
        *forward.headers_mut() = forwarded.encode(&request.head.headers);
        forward
    }

    /// Returns how the attempt ended if the answer is none that can be passed on as a success.
    fn check(&self, head: &Head) -> Option<Attempt> {
        let facts = &head.facts;
        if !facts.matches_request {
            return Some(spoilt("the answer names another request".to_owned(), None));
        }
        if facts.is_not_run {
            self.payment.did_not_run();
            if facts.is_misdirected {
                self.ticket.backend_server_leaving();
            }
            return Some(Attempt::Failed {
                outcome: Outcome::RefusedNotRun,
                detail: format!("refused with status {}", head.head.status),
                answer: None,
            });
        }
        if head.head.status.is_success() && !facts.is_signed {
            return Some(spoilt("the answer is not signed".to_owned(), None));
        }
        None
    }

    /// Judges a whole answer; one that failed may be tried elsewhere if the request allows it.
    fn answered(&self, head: Head, body: Bytes) -> Attempt {
        let status = head.head.status;
        let response = answer::forwarded(&head.head, body);
        self.shared.pool.put(head.connection);
        if status.is_success() {
            let tokens = self.call.facts.max_output_tokens;
            self.payment.delivered_tokens.set(tokens);
        }
        if !status.is_server_error() && !promises_not_run(status) {
            return Attempt::Answered(response);
        }
        let answer = (!promises_not_run(status)).then_some(response);
        spoilt(format!("failed with status {status}"), answer)
    }

    fn note_load(&self, facts: &response_wire::Metadata) {
        let Some(load) = facts.load else { return };
        self.shared.route.handle(Event::LoadReport {
            backend: self.target.backend_server.clone(),
            running: load.running,
            queued: load.queued,
            slots: load.slots,
            age_us: 0,
            leaving: false,
        });
    }

    async fn within_deadline<F: Future>(&self, future: F) -> Option<F::Output> {
        let limit = Duration::from_micros(self.call.left_us(self.shared));
        monoio::time::timeout(limit, future).await.ok()
    }

    pub(super) fn failed(&self, error: &client::Error, progress: &Progress) -> Attempt {
        if !error.bytes_written && error.step != client::Step::Connect {
            self.payment.did_not_run();
        }
        let outcome = match (error.bytes_written, &error.kind) {
            (false, _) => Outcome::ConnectFailed,
            (true, client::Kind::TimedOut) => Outcome::Timeout { sent: true },
            (true, _) => Outcome::Broken {
                sent: true,
                events_seen: progress.events_seen(),
            },
        };
        Attempt::Failed {
            outcome,
            detail: error.to_string(),
            answer: None,
        }
    }

    fn timed_out(&self) -> Attempt {
        Attempt::Failed {
            outcome: Outcome::Timeout {
                sent: self.payment.may_have_run(),
            },
            detail: "the time for the request ran out".to_owned(),
            answer: None,
        }
    }
}

/// Returns how an attempt ended whose answer came, but is no success; the request may have run.
fn spoilt(detail: String, answer: Option<http::Response<Bytes>>) -> Attempt {
    Attempt::Failed {
        outcome: Outcome::Broken {
            sent: true,
            events_seen: 0,
        },
        detail,
        answer,
    }
}

/// Returns whether clients take the status as a promise that the request did not run, which a
/// backend server gives only together with its proof.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
