//! Bills: one line per client account and request key.
//!
//! A bill is computed from the usage batches stored in the platform. Duplicate records and further
//! executions under one key are merged into its line, so that each key is billed once.

use std::collections::{BTreeMap, BTreeSet};

use peridotrack_types::{id, name};
use serde::{Deserialize, Serialize};

use crate::usage;

/// Bill lines of all client accounts.
///
/// The lines depend only on the set of records added, not on their order or repetition: the
/// record of a line is the greatest under [`usage::Record::precedence`], and the maximum is
/// associative, commutative and idempotent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    lines: BTreeMap<name::ClientAccount, BTreeMap<String, Line>>,
    /// Number of records added, including repeated ones.
    pub records: u64,
}

/// The bill line of one request key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// The billed record: the greatest under [`usage::Record::precedence`].
    pub record: usage::Record,
    /// Every request recorded under this key; more than one if the request ran several times.
    pub request_ids: BTreeSet<id::Request>,
}

/// Number of records and executions that a bill does not charge.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duplicates {
    /// Records merged into an existing line: repeated records, interim records and records of
    /// further executions.
    pub records: u64,
    /// Executions beyond the first of each key. Unlike `records`, this does not depend on how
    /// often a record was added.
    pub executions: u64,
}

impl Bill {
    /// Creates a bill from all records of `batches`.
    pub fn from_batches(batches: impl IntoIterator<Item = usage::Batch>) -> Self {
        let mut bill = Self::default();
        for record in batches.into_iter().flat_map(|batch| batch.records) {
            bill.add(record);
        }
        bill
    }

    /// Adds one record to the line of its key.
    pub fn add(&mut self, record: usage::Record) {
        self.records += 1;
        let lines = self.lines.entry(record.account.clone()).or_default();
        match lines.get_mut(&record.key) {
            Some(line) => line.merge(record),
            None => {
                lines.insert(record.key.clone(), Line::new(record));
            }
        }
    }

    /// Returns all lines, ordered by client account and request key.
    pub fn lines(&self) -> impl Iterator<Item = &Line> {
        self.lines.values().flat_map(BTreeMap::values)
    }

    /// Returns the line of `key` in the bill of `account`.
    pub fn line(&self, account: &name::ClientAccount, key: &str) -> Option<&Line> {
        self.lines.get(account)?.get(key)
    }

    /// Returns the tokens billed to each client account.
    pub fn settled_tokens(&self) -> BTreeMap<name::ClientAccount, u64> {
        let sum = |lines: &BTreeMap<String, Line>| {
            lines.values().map(|line| line.record.settled_tokens).sum()
        };
        let accounts = self.lines.iter();
        accounts
            .map(|(account, lines)| (account.clone(), sum(lines)))
            .collect()
    }

    /// Counts the records and executions that are not charged.
    pub fn duplicates(&self) -> Duplicates {
        let lines = self.lines().count() as u64;
        let executions = self
            .lines()
            .map(|line| line.request_ids.len() as u64 - 1)
            .sum();
        Duplicates {
            records: self.records - lines,
            executions,
        }
    }
}

impl Line {
    fn new(record: usage::Record) -> Self {
        Self {
            request_ids: BTreeSet::from([record.request_id]),
            record,
        }
    }

    fn merge(&mut self, record: usage::Record) {
        self.request_ids.insert(record.request_id);
        if record.precedence() > self.record.precedence() {
            self.record = record;
        }
    }
}
