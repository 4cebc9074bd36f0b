//! Hash collections with a fast, deterministic hasher.
//!
//! FxHash does not resist hash flooding. Keys must come from validated
//! configuration or from digests, never directly from callers.

/// Hash map with FxHash; not for keys that a caller chooses.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;
/// Hash set with FxHash; not for keys that a caller chooses.
pub type HashSet<K> = rustc_hash::FxHashSet<K>;
