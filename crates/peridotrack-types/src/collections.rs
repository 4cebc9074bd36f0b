//! Hash collections with a fast, deterministic hasher.
//!
//! Keys come from checked configuration or from digests, never straight from
//! callers, so resistance against chosen keys is not needed.

/// Hash map with the workspace's hasher.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;
/// Hash set with the workspace's hasher.
pub type HashSet<K> = rustc_hash::FxHashSet<K>;
