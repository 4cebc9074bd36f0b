//! Checks that streams go on only at the software version that began them.

use std::collections::{BTreeMap, BTreeSet};

use crate::check::Record;

/// Checks that all continuations of a stream ran at one version, and at that of its beginning if
/// only one run may have begun it. Before the first event, a stream has no version.
pub(crate) fn check_versions(record: &Record) -> Vec<String> {
    let version = |server: &str| record.software_versions.get(server).copied();
    let mut continued: BTreeMap<&str, BTreeSet<u64>> = BTreeMap::new();
    for execution in &record.executions {
        if let Some(first_id) = &execution.continues {
            let versions = continued.entry(first_id).or_default();
            versions.extend(version(&execution.expected_server));
        }
    }
    let mut beginnings: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for execution in &record.executions {
        if execution.continues.is_none() && continued.contains_key(&*execution.id) {
            let versions = beginnings.entry(&execution.id).or_default();
            versions.extend(version(&execution.expected_server));
        }
    }
    let mut breaches = Vec::new();
    for (first_id, mut versions) in continued {
        if let Some([only]) = beginnings.get(first_id).map(Vec::as_slice) {
            versions.insert(*only);
        }
        if versions.len() > 1 {
            breaches.push(format!(
                "the stream {first_id} has events of versions {versions:?}"
            ));
        }
    }
    breaches
}
