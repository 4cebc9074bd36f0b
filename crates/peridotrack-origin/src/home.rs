//! Homes of a stream: the routers that are told where it began.

use std::collections::{BTreeMap, BTreeSet};

use peridotrack_types::name;

use crate::key::Key;

/// Routers that serve, by failure domain.
pub type Routers = BTreeMap<name::FailureDomain, BTreeSet<name::Vm>>;

/// Returns up to `count` homes of a stream by rendezvous hashing, the best one first. They are in
/// different failure domains as long as there are enough of these.
///
/// Routers with the same view agree; where views differ in a few routers, most homes are the same.
pub fn of(key: &Key, routers: &Routers, count: usize) -> Vec<name::Vm> {
    let mut ranked: Vec<(usize, u64, &name::Vm)> = Vec::new();
    for vms in routers.values() {
        let mut weighted: Vec<_> = vms.iter().map(|vm| (weight(key, vm), vm)).collect();
        weighted.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        let best = weighted.into_iter().take(count).enumerate();
        ranked.extend(best.map(|(rank, (weight, vm))| (rank, weight, vm)));
    }
    // The best router of each failure domain goes before the second best of any.
    ranked.sort_by_key(|(rank, weight, _)| (*rank, std::cmp::Reverse(*weight)));
    let vms = ranked.into_iter().map(|(_, _, vm)| vm.clone());
    vms.take(count).collect()
}

/// Mixes the key with the FNV-1a hash of the name, with the finalizer of SplitMix64.
fn weight(key: &Key, vm: &name::Vm) -> u64 {
    const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
    let mix = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    let bytes = key.0.iter().chain(vm.as_str().as_bytes());
    let mut hash = bytes.fold(FNV_OFFSET, mix);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
