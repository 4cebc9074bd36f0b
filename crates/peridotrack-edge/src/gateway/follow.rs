//! Follows the objects of one kind in the store.

use std::rc::Rc;

use peridotrack_kernel::clock;
use peridotrack_platform::store::{Change, Object};

use super::Shared;
use crate::platform;

/// Longest wait of one watch, in milliseconds; a silent connection is noticed after it.
const WATCH_MS: u64 = 4_000;
/// Part of the time after an outage by which a gateway counts as connected that a watch after a
/// failed one waits: an outage may have silenced it, and with the time for its answer and a
/// pause it must be noticed and begun again within that time.
const CONTACT_PART: u64 = 6;
/// Shortest delay after a call that failed, in microseconds; the longest is twice that.
const RETRY_US: u64 = 100 * clock::US_PER_MS;

/// What the store tells of one kind.
#[derive(Clone, Copy)]
pub(super) enum News<'a> {
    /// All objects.
    Listing(&'a [Object]),
    /// Changes since the news before, oldest first; none if a watch ended without any.
    Changes(&'a [Change]),
}

/// Follows a kind until the process ends.
///
/// After changes the next call waits for `collect_us`, so that it brings several of a burst.
pub(super) async fn follow(
    shared: Rc<Shared>,
    kind: &'static str,
    collect_us: u64,
    take: impl Fn(&Rc<Shared>, News<'_>),
) {
    loop {
        match from_listing(&shared, kind, collect_us, &take).await {
            platform::Error::HistoryLost { .. } => {}
            _ => pause(&shared).await,
        }
    }
}

/// Waits before a call is tried again, for a time that differs between routers.
pub(super) async fn pause(shared: &Shared) {
    let delay_us = RETRY_US + fastrand::u64(..RETRY_US);
    shared.kernel.timer().sleep_us(delay_us).await;
}

/// Lists and watches a kind; returns once the list has to be read again.
async fn from_listing(
    shared: &Rc<Shared>,
    kind: &str,
    collect_us: u64,
    take: &impl Fn(&Rc<Shared>, News<'_>),
) -> platform::Error {
    let listing = match shared.platform.list(kind).await {
        Ok(listing) => listing,
        Err(error) => return error,
    };
    take(shared, News::Listing(&listing.objects));
    let mut revision = listing.revision;
    let after_failure_ms = WATCH_MS.min(shared.settings.bounds.contact_ms / CONTACT_PART);
    let mut wait_ms = WATCH_MS;
    loop {
        let watch = shared.platform.watch_kind(kind, revision, wait_ms).await;
        match watch {
            Ok(watch) => {
                wait_ms = WATCH_MS;
                revision = watch.revision;
                take(shared, News::Changes(&watch.changes));
                if !watch.changes.is_empty() && collect_us > 0 {
                    shared.kernel.timer().sleep_us(collect_us).await;
                }
            }
            Err(error @ platform::Error::HistoryLost { .. }) => return error,
            Err(_) => {
                wait_ms = after_failure_ms;
                pause(shared).await;
            }
        }
    }
}
