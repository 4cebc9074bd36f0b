//! Bounded waits that poll a state.

use std::time::{Duration, Instant};

/// Pause between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The state did not come about in time.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("no {what} within {limit:?}")]
pub struct Error {
    /// What was waited for.
    pub what: String,
    /// How long.
    pub limit: Duration,
}

/// Polls until `probe` gives a value, and returns it.
///
/// A probe that never ends is not interrupted: it needs timeouts of its own.
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

/// Polls until `condition` holds.
pub async fn until(
    limit: Duration,
    what: &str,
    mut condition: impl FnMut() -> bool,
) -> Result<(), Error> {
    poll(limit, what, async || condition().then_some(())).await
}
