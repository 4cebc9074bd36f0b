//! Waits with a time limit that poll a condition every few milliseconds.

use std::time::{Duration, Instant};

/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The condition was not met within the time limit.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("no {what} within {limit:?}")]
pub struct Error {
    /// Name of what was awaited, as given by the caller.
    pub what: String,
    /// Time limit of the wait.
    pub limit: Duration,
}

/// Polls until `probe` returns a value, and returns that value.
///
/// The limit is checked between probes only: a probe that can hang needs its own timeout.
pub async fn poll<T>(
    limit: Duration,
    what: &str,
    mut probe: impl AsyncFnMut() -> Option<T>,
) -> Result<T, Error> {
    let started = Instant::now();
    loop {
        if let Some(value) = probe().await {
            return Ok(value);
        }
        if started.elapsed() >= limit {
            return Err(Error {
                what: what.to_owned(),
                limit,
            });
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Polls until `condition` holds. Fails after `limit` with an error that names `what`.
pub async fn until(
    limit: Duration,
    what: &str,
    mut condition: impl FnMut() -> bool,
) -> Result<(), Error> {
    poll(limit, what, async || condition().then_some(())).await
}
