//! The objects and their versions, without any I/O.
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

/// What must hold for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// A precondition that did not hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("precondition failed; current version: {current:?}")]
pub struct Conflict {
    /// The object's version, if it exists.
    pub current: Option<u64>,
}

/// One version of an object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Revision {
    /// The store-wide number of the write.
    pub version: u64,
    /// The value.
    pub value: Bytes,
}

/// One line of a list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Item {
    /// The object's key.
    pub key: String,
    /// The object's version.
    pub version: u64,
}

#[derive(Debug)]
struct Object {
    current: Revision,
    previous: Option<Revision>,
}

/// All objects, by key.
#[derive(Debug, Default)]
pub struct Store {
    objects: BTreeMap<String, Object>,
    version: u64,
}

/// Access.
impl Store {
    /// The latest version given out.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Count of objects.
    pub fn len(&self) -> usize {
        self.objects.len()
    }

    /// Whether there is no object.
    pub fn is_empty(&self) -> bool {
        self.objects.is_empty()
    }

    /// The object as it is.
    pub fn read(&self, key: &str) -> Option<&Revision> {
        self.objects.get(key).map(|object| &object.current)
    }

    /// The object as it was before its last write; `None` if that write created it.
    pub fn read_previous(&self, key: &str) -> Option<&Revision> {
        self.objects.get(key)?.previous.as_ref()
    }

    /// Objects whose key starts with `prefix` and comes after `after`, by key.
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

/// Mutation.
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

    /// Deletes an object of the given version; versions given out later are higher.
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
