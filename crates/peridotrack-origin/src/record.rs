//! Records of where streams began, bounded in number and age.

use std::collections::VecDeque;

use peridotrack_types::{collections::HashMap, name, stream};
use serde::{Deserialize, Serialize};

use crate::key::Key;

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Service that it belongs to.
    pub service: name::Service,
    /// Backend server that wrote its first event.
    pub origin: stream::Origin,
}

/// The latest software version of each backend server, also of those that have left since.
///
/// A router whose directory lags may record a stream under the former version of a server that has
/// started again under its name.
#[derive(Debug, Default)]
pub(crate) struct Versions {
    by_server: HashMap<name::BackendServer, name::SoftwareVersion>,
    /// Servers in the order in which they were first known.
    order: VecDeque<name::BackendServer>,
}

impl Versions {
    /// Sets the version of a server.
    pub(crate) fn set(
        &mut self,
        server: name::BackendServer,
        version: name::SoftwareVersion,
        most: usize,
    ) {
        if self.by_server.insert(server.clone(), version).is_none() {
            self.order.push_back(server);
        }
        while self.order.len() > most {
            if let Some(oldest) = self.order.pop_front() {
                self.by_server.remove(&oldest);
            }
        }
    }

    /// Returns whether the server of a record is known with another version.
    pub(crate) fn contradict(&self, Record { origin, .. }: &Record) -> bool {
        let known = self.by_server.get(&origin.backend_server);
        known.is_some_and(|version| origin.software_version.as_ref() != Some(version))
    }
}

/// The newest records, by key.
#[derive(Debug, Default)]
pub(crate) struct Records {
    /// Records with the times at which the streams began, in microseconds.
    by_key: HashMap<Key, (Record, u64)>,
    /// Keys in the order of insertion, with the times that their records had then.
    order: VecDeque<(Key, u64)>,
}

impl Records {
    /// Returns a record and the time at which its stream began.
    pub(crate) fn get(&self, key: &Key) -> Option<&(Record, u64)> {
        self.by_key.get(key)
    }

    /// Inserts a record unless there is one: the first event of a stream is written once.
    pub(crate) fn insert(&mut self, key: Key, record: Record, began_us: u64, most: usize) {
        if self.by_key.contains_key(&key) {
            return;
        }
        self.by_key.insert(key, (record, began_us));
        self.order.push_back((key, began_us));
        while self.order.len() > most {
            self.remove_oldest();
        }
    }

    /// Removes the records of streams that began before a time.
    pub(crate) fn remove_before(&mut self, time_us: u64) {
        while self
            .order
            .front()
            .is_some_and(|(_, began_us)| *began_us < time_us)
        {
            self.remove_oldest();
        }
    }

    /// Removes the records of the streams that a backend server began with another version than
    /// `version`.
    pub(crate) fn remove_other_versions(
        &mut self,
        server: &name::BackendServer,
        version: &name::SoftwareVersion,
    ) {
        self.by_key.retain(|_, (Record { origin, .. }, _)| {
            origin.backend_server != *server || origin.software_version.as_ref() == Some(version)
        });
        self.order.retain(|(key, _)| self.by_key.contains_key(key));
    }

    /// Returns the number of records.
    pub(crate) fn len(&self) -> usize {
        self.by_key.len()
    }

    fn remove_oldest(&mut self) {
        if let Some((key, _)) = self.order.pop_front() {
            self.by_key.remove(&key);
        }
    }
}
