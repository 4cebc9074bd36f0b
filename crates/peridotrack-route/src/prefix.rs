//! Rendezvous hash of prompt prefixes onto backend servers.

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
