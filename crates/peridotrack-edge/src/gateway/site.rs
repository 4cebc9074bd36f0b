//! Follows the operators' configuration in the store.

use std::{cell::RefCell, rc::Rc};

use peridotrack_kernel::{clock, event};
use peridotrack_platform::site as wire;
use peridotrack_types::site;

use super::Shared;
use crate::platform;

/// Longest wait of one watch, in milliseconds; keep-alive probes notice a silent connection.
pub(super) const WATCH_MS: u64 = 12_000;
/// Shortest delay after a call that failed, in microseconds; the longest is twice that.
const RETRY_US: u64 = 100 * clock::US_PER_MS;

/// The configuration in force.
#[derive(Debug, Default)]
pub(super) struct InForce {
    pub(super) site: site::Site,
    pub(super) index: site::Index,
}

/// Holds the configuration in force, `None` until the first one is known.
#[derive(Default)]
pub(super) struct Current(RefCell<Option<Rc<InForce>>>);

impl Current {
    pub(super) fn get(&self) -> Option<Rc<InForce>> {
        self.0.borrow().clone()
    }
}

/// Follows the configuration until the process ends.
pub(super) async fn follow(shared: Rc<Shared>) {
    loop {
        match follow_from_list(&shared).await {
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

/// Lists the configuration and watches it; returns once the list has to be read again.
async fn follow_from_list(shared: &Rc<Shared>) -> platform::Error {
    let listing = match shared.platform.list(wire::KIND).await {
        Ok(listing) => listing,
        Err(error) => return error,
    };
    for object in &listing.objects {
        take(shared, &object.name, &object.content);
    }
    let mut revision = listing.revision;
    loop {
        let watch = shared
            .platform
            .watch_kind(wire::KIND, revision, WATCH_MS)
            .await;
        match watch {
            Ok(watch) => {
                revision = watch.revision;
                for change in watch.changes.iter().filter(|change| !change.is_removed) {
                    take(shared, &change.object.name, &change.object.content);
                }
            }
            Err(error @ platform::Error::HistoryLost { .. }) => return error,
            Err(_) => pause(shared).await,
        }
    }
}

/// Brings a configuration into force, unless it is older than the one that is.
fn take(shared: &Rc<Shared>, name: &str, content: &[u8]) {
    if name != wire::NAME {
        return;
    }
    let site = match wire::decode(content) {
        Ok(site) => site,
        Err(error) => {
            let event = event::Event::new(event::Kind::ConfigRefused);
            shared.kernel.note(event.with("error", error.to_string()));
            return;
        }
    };
    let previous_version = shared.site.get().map_or(0, |current| current.site.version);
    if site.version <= previous_version {
        return;
    }
    let version = site.version;
    let budgets: Vec<_> = site
        .client_accounts
        .iter()
        .filter_map(|account| Some((account.name.as_str().into(), account.prepaid_tokens?)))
        .collect();
    let index = site::Index::new(&site);
    *shared.site.0.borrow_mut() = Some(Rc::new(InForce { site, index }));
    shared.budget.configure(version, budgets);
    shared.directory.apply(shared);
    let event = event::Event::new(event::Kind::ConfigApplied)
        .with("version", version)
        .with("previous_version", previous_version);
    shared.kernel.note(event);
}
