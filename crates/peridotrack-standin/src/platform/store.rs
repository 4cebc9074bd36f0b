//! In-memory store of versioned objects with conditional writes; no I/O.
//!
//! ```
//! use peridotrack_standin::platform::store::{Precondition, Store};
//!
//! let mut store = Store::default();
//! let version = store.write("a/b", Precondition::Absent, "1".into()).unwrap();
//! assert!(store.write("a/b", Precondition::Absent, "2".into()).is_err());
//! assert!(store.write("a/b", Precondition::Version(version), "2".into()).is_ok());
//! ```

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Condition under which a write takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The object does not exist.
    Absent,
    /// The current version of the object is this one.
    Version(u64),
}

/// Error of a write whose precondition did not hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("precondition failed; current version: {current:?}")]
pub struct Conflict {
    /// The object's current version; `None` if it does not exist.
    pub current: Option<u64>,
}

/// One version of an object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Revision {
    /// Store-wide sequence number of the write.
    pub version: u64,
    /// Content of the object at this version.
    pub value: Bytes,
}

/// One entry of a list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Item {
    /// Key of the object.
    pub key: String,
    /// Current version of the object.
    pub version: u64,
}

#[derive(Debug)]
struct Object {
    current: Revision,
    previous: Option<Revision>,
}

/// Objects by key, each with its current and its previous version.
#[derive(Debug, Default)]
pub struct Store {
    objects: BTreeMap<String, Object>,
    version: u64,
}

/// Reads and lists objects.
impl Store {
    /// Returns the latest version assigned; 0 before the first write.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of objects.
    pub fn len(&self) -> usize {
        self.objects.len()
    }

    /// Returns whether the store holds no object.
    pub fn is_empty(&self) -> bool {
        self.objects.is_empty()
    }

    /// Returns the current version of an object.
    pub fn read(&self, key: &str) -> Option<&Revision> {
        self.objects.get(key).map(|object| &object.current)
    }

    /// Returns the version before the last write; `None` if that write created the object.
    pub fn read_previous(&self, key: &str) -> Option<&Revision> {
        self.objects.get(key)?.previous.as_ref()
    }

    /// Lists up to `limit` objects whose key starts with `prefix` and sorts after `after`, in key
    /// order. An empty `after` starts at the beginning.
    pub fn list(&self, prefix: &str, after: &str, limit: usize) -> Vec<Item> {
        self.objects
            .range(prefix.max(after).to_owned()..)
            .skip_while(|(key, _)| key.as_str() <= after && !after.is_empty())
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit)
            .map(|(key, object)| Item {
                key: key.clone(),
                version: object.current.version,
            })
            .collect()
    }
}

/// Writes and deletes objects.
impl Store {
    /// Writes an object and returns its new version.
    pub fn write(
        &mut self,
        key: &str,
        precondition: Precondition,
        value: Bytes,
    ) -> Result<u64, Conflict> {
        self.check(key, precondition)?;
        self.version += 1;
        let current = Revision {
            version: self.version,
            value,
        };
        let previous = self.objects.remove(key).map(|object| object.current);
        self.objects
            .insert(key.to_owned(), Object { current, previous });
        Ok(self.version)
    }

    /// Deletes an object at the given version. The deletion takes a version too, so that an object
    /// created again gets a higher one.
    pub fn delete(&mut self, key: &str, version: u64) -> Result<(), Conflict> {
        self.check(key, Precondition::Version(version))?;
        self.version += 1;
        self.objects.remove(key);
        Ok(())
    }

    fn check(&self, key: &str, precondition: Precondition) -> Result<(), Conflict> {
        let current = self.read(key).map(|revision| revision.version);
        let holds = match precondition {
            Precondition::Absent => current.is_none(),
            Precondition::Version(version) => current == Some(version),
        };
        if holds {
            Ok(())
        } else {
            Err(Conflict { current })
        }
    }
}
