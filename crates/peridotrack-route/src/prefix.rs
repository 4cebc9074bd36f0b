//! Rendezvous hashing of prompt prefixes onto backend servers.
//!
//! Every router computes the same weights from names and prefix hashes, and so sends a prefix to
//! the same home servers without coordination. [`Popularity`] determines how many homes a prefix
//! has.

use peridotrack_types::collections::HashMap;

/// Returns the hash seed of a backend server, which depends on its name alone.
pub fn seed(name: &str) -> u64 {
    let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    mix(hash, 0x9e37_79b9_7f4a_7c15)
}

/// Returns the rendezvous weight of a server for a prefix; the server with the highest weight is
/// the home.
#[inline]
pub fn weight(prefix_hash: u64, seed: u64) -> u64 {
    mix(prefix_hash ^ seed, seed | 1)
}

#[inline]
fn mix(a: u64, b: u64) -> u64 {
    let product = u128::from(a ^ 0xa076_1d64_78bd_642f) * u128::from(b ^ 0xe703_7ed1_a0b4_28db);
    (product >> 64) as u64 ^ product as u64
}

/// Number of requests at which all counts are halved.
const WINDOW_REQUESTS: f64 = 2_048.0;
/// Requests added to the total, so that the prefixes of the first few requests do not count as
/// popular.
const PRIOR_REQUESTS: f64 = 64.0;
/// Homes of a prefix whose share of the pool's requests is that of one server, 1 / `members`; the
/// number of homes is proportional to the share.
const HOMES_PER_SERVER_SHARE: f64 = 4.0;

/// Share of each prefix in a pool's recent requests.
#[derive(Debug, Clone, Default)]
pub struct Popularity {
    counts: HashMap<u64, f64>,
    total: f64,
}

impl Popularity {
    /// Counts a request, which may have no prefix.
    pub fn on_request(&mut self, prefix_hash: Option<u64>) {
        self.total += 1.0;
        if let Some(prefix_hash) = prefix_hash {
            *self.counts.entry(prefix_hash).or_default() += 1.0;
        }
        if self.total >= WINDOW_REQUESTS {
            self.halve();
        }
    }

    /// Returns the number of homes of a prefix among `members` servers, at least 1.
    ///
    /// Requests that exceed the capacity of one server must not all go to the same one: the routers
    /// would not notice that it is full before its next load report.
    pub fn home_count(&self, prefix_hash: u64, members: usize) -> usize {
        let count = self.counts.get(&prefix_hash).copied().unwrap_or(0.0);
        let share = count / (self.total + PRIOR_REQUESTS);
        let homes = (share * members as f64 * HOMES_PER_SERVER_SHARE).ceil();
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

/// Returns the hash that selects home `number` of a prefix; for number 0, the prefix hash itself.
#[inline]
pub fn home_hash(prefix_hash: u64, number: usize) -> u64 {
    match number {
        0 => prefix_hash,
        _ => mix(prefix_hash, number as u64),
    }
}
