//! An object of the store, as any dialect returns it.

use bytes::Bytes;

/// A stored object with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Version that a conditional update must state; each update increases it.
    pub version: u64,
    /// Content as its writer passed it to [`Platform::write`](super::Platform::write).
    pub body: Bytes,
}
