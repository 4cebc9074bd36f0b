//! Hedges: a request that is slower than expected is sent to a second backend server.
//!
//! Both attempts are held before the client gets the first byte. The first one with a good response
//! goes on. The other one is dropped, which closes its connection.

use std::{cell::Cell, future::Future, time::Duration};

use peridotrack_http::server;
use peridotrack_kernel::event;
use peridotrack_quarantine::run::Run;
use peridotrack_route::{event::Outcome, hedge::Denial};

use super::{
    attempt::{Attempt, AttemptResult, Held},
    crash, exchange,
    stream::Progress,
};
use crate::route;

/// Time for which both attempts of a stream may run, in milliseconds. No server may work on a stream
/// 400 ms after it was sent to another one; a server notices the closed connection a little later.
const STREAM_OVERLAP_MS: u64 = 250;

/// How a request ended, with the attempt that was the last one.
pub(super) struct Ended {
    pub(super) result: AttemptResult,
    /// The second attempt, if that one went on.
    pub(super) second: Option<Second>,
}

/// A second attempt that took the place of the first one.
pub(super) struct Second {
    pub(super) target: route::Destination,
    pub(super) server: Run,
    progress: Progress,
}

/// One attempt that is held, with its place.
struct Raced {
    held: Held,
    second: Option<Second>,
}

/// Records a hedge when it ends, with its inputs and its outcome.
struct Record<'a> {
    attempt: &'a Attempt<'a>,
    event: event::Event,
    outcome: Cell<&'static str>,
}

impl Drop for Record<'_> {
    fn drop(&mut self) {
        let outcome = self.outcome.get();
        let shared = self.attempt.shared;
        let event = std::mem::replace(
            &mut self.event,
            event::Event::new(event::Kind::RequestHedged),
        );
        self.attempt
            .request
            .note(shared, event.with("outcome", outcome));
        match outcome {
            "won" | "replaced" => shared.metrics.hedges_won.increment(1),
            "failed" => {}
            _ => shared.metrics.hedges_cancelled.increment(1),
        }
    }
}

/// Runs an attempt, and a second one beside it if that is due, until the response is forwarded or
/// both have ended.
pub(super) async fn run(
    first: &Attempt<'_>,
    client: &mut server::Connection,
    progress: &mut Progress,
) -> Ended {
    let ended = |result| Ended {
        result,
        second: None,
    };
    let has_started = progress.has_started();
    let raced = monoio::select! {
        biased;
        raced = race(first, progress) => raced,
        () = client.closed() => return ended(AttemptResult::ClientDisconnected),
        () = first.answer_due(has_started) => return ended(AttemptResult::Stopped),
    };
    let Raced { held, mut second } = raced;
    let (stream, part) = match held {
        Held::Ended(result) => {
            replace_progress(progress, second.as_mut());
            return Ended { result, second };
        }
        Held::Streaming(stream, part) => (*stream, part),
    };
    replace_progress(progress, second.as_mut());
    let attempt = match &second {
        Some(second) => Attempt {
            target: &second.target,
            server: &second.server,
            ..*first
        },
        None => *first,
    };
    let result = attempt.forward(stream, part, client, progress).await;
    Ended { result, second }
}

fn replace_progress(progress: &mut Progress, second: Option<&mut Second>) {
    if let Some(second) = second {
        std::mem::swap(progress, &mut second.progress);
    }
}

/// Holds the first attempt, and a second one beside it if that is due.
async fn race(first: &Attempt<'_>, progress: &mut Progress) -> Raced {
    let due_us = due_us(first, progress);
    let mut first_held = Box::pin(first.hold(progress));
    let Some(due_us) = due_us else {
        return alone(first_held.await);
    };
    let wait_us = due_us.saturating_sub(first.shared.kernel.now_us());
    monoio::select! {
        biased;
        held = &mut first_held => return alone(held),
        () = monoio::time::sleep(Duration::from_micros(wait_us)) => {}
    }
    match begin(first) {
        Some((target, record)) => race_both(first, first_held, target, &record).await,
        None => alone(first_held.await),
    }
}

fn alone(held: Held) -> Raced {
    Raced { held, second: None }
}

/// Returns when a second attempt is due, in monotonic microseconds; `None` if there is to be none.
/// A request under which servers ended, one that was sent before and the take-up of a stream get
/// none.
fn due_us(first: &Attempt<'_>, progress: &Progress) -> Option<u64> {
    let is_new = first.target.attempt == 1
        && first.trial.depth() <= 1
        && first.request.metadata.resumption.is_none()
        && progress.last_event().is_none();
    match is_new {
        true => first.ticket.hedge_due_us(),
        false => None,
    }
}

/// Begins a second attempt if the routing service grants it.
fn begin<'a>(first: &'a Attempt<'a>) -> Option<(route::Destination, Record<'a>)> {
    let shared = first.shared;
    if shared.stopping.has_begun() {
        return None;
    }
    let (target, hedge) = match first.ticket.hedge() {
        Ok(begun) => begun,
        Err(denial) => {
            if matches!(denial, Denial::Ratio | Denial::RetryBudget) {
                shared.metrics.hedges_denied.increment(1);
            }
            return None;
        }
    };
    shared.metrics.hedges_sent.increment(1);
    let dispatched = event::Event::new(event::Kind::RequestDispatched)
        .with("backend_server", target.backend_server.as_str())
        .with("attempt", u64::from(target.attempt));
    first.request.note(shared, dispatched);
    let event = event::Event::new(event::Kind::RequestHedged)
        .with("first_server", first.target.backend_server.as_str())
        .with("second_server", target.backend_server.as_str())
        .with("attempt", u64::from(target.attempt))
        .with("delay_us", hedge.delay_us)
        .with("waited_us", hedge.waited_us);
    let record = Record {
        attempt: first,
        event,
        outcome: Cell::new("cancelled"),
    };
    Some((target, record))
}

/// Runs both attempts until one has a good response or only one is left.
async fn race_both<F: Future<Output = Held> + Unpin>(
    first: &Attempt<'_>,
    mut first_held: F,
    target: route::Destination,
    record: &Record<'_>,
) -> Raced {
    let server = first.shared.directory.run(&target.backend_server);
    let mut progress = Progress::new(first.request);
    progress.begin_attempt();
    let second = Attempt {
        target: &target,
        server: &server,
        is_second: true,
        ..*first
    };
    let mut second_held = Box::pin(second.hold(&mut progress));
    let is_stream = first.request.route().retry_policy.is_stream();
    let raced = monoio::select! {
        biased;
        held = &mut first_held => (Some(held), None),
        held = &mut second_held => (None, Some(held)),
        () = overlap_ended(is_stream) => (None, None),
    };
    match raced {
        (
            Some(Held::Ended(AttemptResult::Failed {
                outcome,
                is_disconnected: false,
                detail,
                ..
            })),
            _,
        ) => {
            record.outcome.set("replaced");
            exchange::note_failure(first, outcome, &detail);
            first.ticket.first_failed(outcome);
        }
        // The server may have ended under the request. The second attempt is cancelled before it can
        // end another one; whether the request is sent again is decided as without a hedge.
        (Some(held), _) => {
            drop(second_held);
            first.ticket.second_finished(Outcome::Cancelled);
            record.outcome.set("lost");
            return alone(held);
        }
        (
            None,
            Some(Held::Ended(AttemptResult::Failed {
                outcome,
                is_disconnected,
                detail,
                ..
            })),
        ) => {
            record.outcome.set("failed");
            exchange::note_failure(&second, outcome, &detail);
            first.ticket.second_finished(outcome);
            if is_disconnected {
                let trial = first.trial.clone();
                crash::report_break(first.shared, &server, target.address, trial).await;
            }
            return alone(first_held.await);
        }
        (None, Some(held)) => {
            drop(first_held);
            drop(second_held);
            first.ticket.second_won();
            record.outcome.set("won");
            return Raced {
                held,
                second: Some(Second {
                    target,
                    server,
                    progress,
                }),
            };
        }
        (None, None) if first.ticket.is_second_sent() => {
            drop(first_held);
            first.ticket.second_won();
            record.outcome.set("replaced");
        }
        (None, None) => {
            drop(second_held);
            first.ticket.second_finished(Outcome::Cancelled);
            return alone(first_held.await);
        }
    }
    let held = second_held.await;
    Raced {
        held,
        second: Some(Second {
            target,
            server,
            progress,
        }),
    }
}

/// Waits until one of two attempts of a stream must end; without end for other requests.
async fn overlap_ended(is_stream: bool) {
    match is_stream {
        true => monoio::time::sleep(Duration::from_millis(STREAM_OVERLAP_MS)).await,
        false => std::future::pending().await,
    }
}
