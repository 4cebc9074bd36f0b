//! The operators' active configuration, kept current from the store.
//!
//! A new version is applied only if it is higher than the active one. Applying it configures the
//! budgets and passes the backend servers of its services to the routing service.

use std::{cell::RefCell, rc::Rc};

use peridotrack_kernel::event;
use peridotrack_platform::site as wire;
use peridotrack_types::site;

use super::Shared;
use crate::follow::Update;

/// One version of the configuration, with its lookup index.
#[derive(Debug, Default)]
pub(super) struct Snapshot {
    pub(super) site: site::Site,
    pub(super) index: site::Index,
}

/// The active configuration, `None` until the first one is received.
#[derive(Default)]
pub(super) struct Current(RefCell<Option<Rc<Snapshot>>>);

impl Current {
    /// Returns the active configuration.
    pub(super) fn get(&self) -> Option<Rc<Snapshot>> {
        self.0.borrow().clone()
    }
}

/// Applies a listing or changes of the configuration objects.
pub(super) fn apply_update(shared: &Rc<Shared>, update: Update<'_>) {
    match update {
        Update::Listing { objects, .. } => {
            for object in objects {
                apply(shared, &object.name, &object.content);
            }
        }
        Update::Changes { changes, .. } => {
            // Of several changes received together, only the newest readable one is applied.
            let written = changes.iter().rev().filter(|change| !change.is_removed);
            for change in written {
                if apply(shared, &change.name, &change.content) {
                    break;
                }
            }
        }
    }
}

/// Applies a configuration if it is newer than the active one, and records the result.
///
/// Returns whether it is the object of that name and could be decoded.
fn apply(shared: &Rc<Shared>, name: &str, content: &[u8]) -> bool {
    if name != wire::NAME {
        return false;
    }
    let site = match wire::decode(content) {
        Ok(site) => site,
        Err(error) => {
            let event = event::Event::new(event::Kind::ConfigRefused);
            shared.kernel.note(event.with("error", error.to_string()));
            return false;
        }
    };
    let previous_version = shared.site.get().map_or(0, |current| current.site.version);
    if site.version <= previous_version {
        return true;
    }
    let version = site.version;
    let budgets: Vec<_> = site
        .client_accounts
        .iter()
        .filter_map(|account| Some((account.name.as_str().into(), account.prepaid_tokens?)))
        .collect();
    let index = site::Index::new(&site);
    *shared.site.0.borrow_mut() = Some(Rc::new(Snapshot { site, index }));
    shared.budget.configure(version, budgets);
    shared.directory.apply(shared);
    let event = event::Event::new(event::Kind::ConfigApplied)
        .with("version", version)
        .with("previous_version", previous_version);
    shared.kernel.note(event);
    true
}
