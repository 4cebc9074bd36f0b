//! Rendezvous hash of prompt prefixes onto backend servers.

use peridotrack_types::collections::HashMap;

/// Returns the seed of a backend server, the same in every router.
pub fn seed(name: &str) -> u64 {
    let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    mix(hash, 0x9e37_79b9_7f4a_7c15)
}

/// Returns the weight of a server for a prefix; the highest weight is preferred.
#[inline]
pub fn weight(prefix_hash: u64, seed: u64) -> u64 {
    mix(prefix_hash ^ seed, seed | 1)
}

#[inline]
fn mix(a: u64, b: u64) -> u64 {
    let product = u128::from(a ^ 0xa076_1d64_78bd_642f) * u128::from(b ^ 0xe703_7ed1_a0b4_28db);
    (product >> 64) as u64 ^ product as u64
}

/// Requests after which the counts are halved.
const WINDOW_REQUESTS: f64 = 2_048.0;
/// Requests assumed beforehand, so that the first few don't pass for popular.
const PRIOR_REQUESTS: f64 = 64.0;
/// Homes of a prefix for each mean share of the pool that its requests make up.
const HOMES_PER_SHARE: f64 = 4.0;

/// Share of a pool's requests that each prefix makes up.
#[derive(Debug, Clone, Default)]
pub struct Popularity {
    counts: HashMap<u64, f64>,
    total: f64,
}

impl Popularity {
    /// Counts a request with or without a prefix.
    pub fn on_request(&mut self, prefix_hash: Option<u64>) {
        self.total += 1.0;
        if let Some(prefix_hash) = prefix_hash {
            *self.counts.entry(prefix_hash).or_default() += 1.0;
        }
        if self.total >= WINDOW_REQUESTS {
            self.halve();
        }
    }

    /// Returns on how many of `members` servers a prefix is at home.
    ///
    /// A prefix that makes up more than the work of one server must not draw all of it to one: the
    /// routers would see that server full only when the next report comes.
    pub fn home_count(&self, prefix_hash: u64, members: usize) -> usize {
        let count = self.counts.get(&prefix_hash).copied().unwrap_or(0.0);
        let share = count / (self.total + PRIOR_REQUESTS);
        let homes = (share * members as f64 * HOMES_PER_SHARE).ceil();
        (homes as usize).clamp(1, members.max(1))
    }

    fn halve(&mut self) {
        self.total /= 2.0;
        self.counts.retain(|_, count| {
            *count /= 2.0;
            *count >= 1.0
        });
    }
}

/// Returns the hash by which home number `number` of a prefix is found; number 0 is its first.
#[inline]
pub fn home_hash(prefix_hash: u64, number: usize) -> u64 {
    match number {
        0 => prefix_hash,
        _ => mix(prefix_hash, number as u64),
    }
}
