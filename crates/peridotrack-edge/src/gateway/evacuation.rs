//! The evacuated failure domains, kept current from the objects in the store.
//!
//! They are followed only if the operators' bounds state a time for evacuations. The gateway then
//! serves no request before it has listed them.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use peridotrack_kernel::{clock, event};
use peridotrack_platform::evacuation as wire;
use peridotrack_route::event::Event;
use peridotrack_types::{gateway::Bounds, name};

use super::{Shared, options};
use crate::{
    follow::{self, Update},
    metric,
};

/// The evacuated failure domains.
#[derive(Default)]
pub(super) struct Evacuations {
    /// When this gateway learned of the evacuation of each domain, in Unix milliseconds.
    since_ms: RefCell<BTreeMap<name::FailureDomain, u64>>,
    is_listed: Cell<bool>,
}

impl Evacuations {
    /// Returns whether the evacuated domains are known, or none can be evacuated.
    pub(super) fn is_known(&self, shared: &Shared) -> bool {
        self.is_listed.get() || shared.settings.bounds.evacuation_ms.is_none()
    }
}

/// Returns how the evacuations are followed, which must be known within `evacuation_ms`.
pub(super) fn target(bounds: &Bounds, evacuation_ms: u64) -> follow::Target {
    follow::Target {
        kind: wire::KIND,
        options: options::follow_evacuations(bounds, evacuation_ms),
        // The name of an object is that of the failure domain.
        is_content_used: |_, _| false,
    }
}

/// Applies a listing or changes of the evacuations.
pub(super) fn apply_update(shared: &Rc<Shared>, update: Update<'_>) {
    match update {
        Update::Listing {
            objects,
            is_complete,
        } => {
            let listed: BTreeSet<name::FailureDomain> = objects
                .iter()
                .map(|object| object.name.as_str().into())
                .collect();
            let known: Vec<_> = shared
                .evacuations
                .since_ms
                .borrow()
                .keys()
                .cloned()
                .collect();
            let is_listed = |domain: &name::FailureDomain| !is_complete || listed.contains(domain);
            for domain in known.iter().filter(|domain| !is_listed(domain)) {
                take_back(shared, domain);
            }
            for domain in &listed {
                evacuate(shared, domain);
            }
            shared.evacuations.is_listed.set(true);
        }
        Update::Changes { changes, .. } => {
            for change in changes {
                let domain = change.name.as_str().into();
                match change.is_removed {
                    true => take_back(shared, &domain),
                    false => evacuate(shared, &domain),
                }
            }
        }
    }
}

fn evacuate(shared: &Shared, domain: &name::FailureDomain) {
    let now_ms = shared.kernel.clock().wall_us() / clock::US_PER_MS;
    let mut since_ms = shared.evacuations.since_ms.borrow_mut();
    if since_ms.contains_key(domain) {
        return;
    }
    since_ms.insert(domain.clone(), now_ms);
    drop(since_ms);
    report(shared, domain, Some(now_ms));
}

fn take_back(shared: &Shared, domain: &name::FailureDomain) {
    let since_ms = shared.evacuations.since_ms.borrow_mut().remove(domain);
    if since_ms.is_some() {
        report(shared, domain, None);
    }
}

/// Passes a change to the routing service and records it.
fn report(shared: &Shared, domain: &name::FailureDomain, since_ms: Option<u64>) {
    if since_ms.is_none() {
        shared.throttle.domain_returned(domain);
    }
    shared.route.handle(Event::Evacuated {
        failure_domain: domain.clone(),
        is_evacuated: since_ms.is_some(),
    });
    let since_s = since_ms.map_or(0.0, |ms| ms as f64 / 1e3);
    let gauge = shared.kernel.meter().labelled_gauge(
        metric::EVACUATED_SINCE,
        "failure_domain",
        domain.as_str(),
    );
    gauge.set(since_s);
    let event = event::Event::new(event::Kind::EvacuationChanged)
        .with("failure_domain", domain.as_str())
        .with("is_evacuated", since_ms.is_some());
    shared.kernel.note(event);
}
