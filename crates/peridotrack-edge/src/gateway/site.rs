//! The operators' active configuration, kept current from the store and from peers.
//!
//! A new version is applied only if it is higher than the active one. Applying it configures the
//! budgets and passes the backend servers of its services to the routing service. The membership
//! advertises the active version, and a router that holds a lower one requests the configuration: the
//! store may turn it away and serve the others.

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use peridotrack_follow::message::Change;
use peridotrack_kernel::event;
use peridotrack_platform::site as wire;
use peridotrack_types::{gateway::Bounds, site};

use super::{Shared, options};
use crate::{
    follow::{self, Update},
    peer, platform,
};

/// One version of the configuration, with its lookup index.
#[derive(Debug, Default)]
pub(super) struct Snapshot {
    pub(super) site: site::Site,
    pub(super) index: site::Index,
    /// Content of the store object, as peers request it.
    content: Bytes,
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

/// Where a configuration was received from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// The store, or a peer that relays its changes.
    Store,
    /// A peer that was asked for a higher version.
    Peer,
}

impl Source {
    fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// Sends the active configuration to a peer if its version exceeds `above_version`.
pub(super) fn send(shared: &Shared, to: SocketAddr, above_version: u64) {
    let Some(current) = shared.site.get() else {
        return;
    };
    if current.site.version > above_version {
        let content = platform::pack(&current.content).to_vec();
        shared.link.send(to, &peer::Frame::Config { content });
    }
}

/// Applies a configuration that a peer sent.
pub(super) fn receive(shared: &Rc<Shared>, content: Vec<u8>) {
    match platform::unpack(&content.into()) {
        Ok(content) => drop(apply(shared, Source::Peer, &content)),
        Err(error) => note_refused(shared, Source::Peer, &error),
    }
}

/// Returns how the configuration is followed.
pub(super) fn target(bounds: &Bounds) -> follow::Target {
    follow::Target {
        kind: wire::KIND,
        options: options::follow(bounds),
        is_content_used: |name, _| name == wire::NAME,
    }
}

/// Applies a listing or changes of the configuration objects.
pub(super) fn apply_update(shared: &Rc<Shared>, update: Update<'_>) {
    match update {
        Update::Listing { objects, .. } => {
            let current = objects.iter().filter(|object| object.name == wire::NAME);
            for object in current {
                apply(shared, Source::Store, &object.content);
            }
        }
        Update::Changes { changes, .. } => {
            // Of several changes received together, only the newest readable one is applied.
            let is_written = |change: &&Change| change.name == wire::NAME && !change.is_removed;
            for change in changes.iter().rev().filter(is_written) {
                if apply(shared, Source::Store, &change.content) {
                    break;
                }
            }
        }
    }
}

/// Applies a configuration if it is newer than the active one, and records the result.
///
/// Returns whether it could be decoded.
fn apply(shared: &Rc<Shared>, source: Source, content: &[u8]) -> bool {
    let site = match wire::decode(content) {
        Ok(site) => site,
        Err(error) => {
            note_refused(shared, source, &error);
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
    let snapshot = Snapshot {
        index: site::Index::new(&site),
        site,
        content: Bytes::copy_from_slice(content),
    };
    *shared.site.0.borrow_mut() = Some(Rc::new(snapshot));
    shared.budget.configure(version, budgets);
    shared.directory.apply(shared);
    // The active version is that of the membership too, so that the outcome is known.
    shared.member.configure(version);
    let event = event::Event::new(event::Kind::ConfigApplied)
        .with("version", version)
        .with("previous_version", previous_version)
        .with("source", source.name());
    shared.kernel.note(event);
    true
}

fn note_refused(shared: &Shared, source: Source, error: &dyn std::error::Error) {
    let event = event::Event::new(event::Kind::ConfigRefused)
        .with("error", error.to_string())
        .with("source", source.name());
    shared.kernel.note(event);
}
