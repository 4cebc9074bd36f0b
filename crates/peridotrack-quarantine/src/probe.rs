//! Requests of which it is undecided whether servers end because of them.
//!
//! Servers that end together prove nothing: a loss of power ends several of them, and so do
//! identical requests that arrive at several routers at once. To tell these apart, few routers at a
//! time send such a request again. They take turns by the time of day and the names of their VMs, so
//! that a wave of requests over all routers reaches few servers.

use std::{
    collections::BTreeMap,
    hash::{BuildHasher, BuildHasherDefault, DefaultHasher},
};

use peridotrack_types::name;

use crate::{event::Now, options::Options, signature::Signature, verdict::Crashes};

/// The undecided requests that this router sent.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    sent_us: BTreeMap<Signature, u64>,
}

impl Probes {
    /// Returns whether the router on `vm` may send a request with the signature now.
    pub(crate) fn may_send(
        &self,
        now: Now,
        vm: &name::Vm,
        signature: Signature,
        options: &Options,
    ) -> bool {
        let is_pending = |sent_us: &u64| now.monotonic_us < sent_us + options.probe_interval_us;
        is_turn(now, vm, options) && !self.sent_us.get(&signature).is_some_and(is_pending)
    }

    /// Records that a request with the signature is sent.
    pub(crate) fn begin(&mut self, now: Now, signature: Signature) {
        self.sent_us.insert(signature, now.monotonic_us);
    }

    /// Records that the request with the signature did not reach a server.
    pub(crate) fn withdraw(&mut self, signature: Signature) {
        self.sent_us.remove(&signature);
    }

    /// Forgets signatures that are no longer undecided.
    pub(crate) fn retain(&mut self, undecided: &BTreeMap<Signature, Crashes>) {
        self.sent_us
            .retain(|signature, _| undecided.contains_key(signature));
    }
}

fn is_turn(now: Now, vm: &name::Vm, options: &Options) -> bool {
    // All routers need the same hash, so it has no random key.
    let hash = BuildHasherDefault::<DefaultHasher>::new().hash_one(vm);
    let group = hash % options.probe_groups;
    let turn = now.wall_ms / options.probe_turn_ms % options.probe_groups;
    group == turn
}
