//! Bills: one line per client account and request key.

use std::collections::{BTreeMap, BTreeSet};

use peridotrack_types::{id, name};
use serde::{Deserialize, Serialize};

use crate::usage;

/// A bill.
///
/// The lines depend only on the set of records folded in, not on their order or repetition: the
/// record of a line is the greatest under [`usage::Record::precedence`], and taking the greatest
/// is associative, commutative and idempotent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    lines: BTreeMap<name::ClientAccount, BTreeMap<String, Line>>,
    /// Records folded in, repeated ones included.
    pub records: u64,
}

/// One bill line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// The record that is billed.
    pub record: usage::Record,
    /// Every request that was recorded under this key.
    pub request_ids: BTreeSet<id::Request>,
}

/// What a bill absorbed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duplicates {
    /// Records that made no line of their own: repeated copies, interim records and records of
    /// further executions.
    pub records: u64,
    /// Further executions under a key that has a line; these depend on the set of records alone.
    pub executions: u64,
}

impl Bill {
    /// Folds all records of `batches`.
    pub fn from_batches(batches: impl IntoIterator<Item = usage::Batch>) -> Self {
        let mut bill = Self::default();
        for record in batches.into_iter().flat_map(|batch| batch.records) {
            bill.add(record);
        }
        bill
    }

    /// Folds one record.
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

    /// Returns all lines by client account and request key.
    pub fn lines(&self) -> impl Iterator<Item = &Line> {
        self.lines.values().flat_map(BTreeMap::values)
    }

    /// Returns the line of `key`.
    pub fn line(&self, account: &name::ClientAccount, key: &str) -> Option<&Line> {
        self.lines.get(account)?.get(key)
    }

    /// Returns the tokens that each client account owes.
    pub fn settled_tokens(&self) -> BTreeMap<name::ClientAccount, u64> {
        let sum = |lines: &BTreeMap<String, Line>| {
            lines.values().map(|line| line.record.settled_tokens).sum()
        };
        let accounts = self.lines.iter();
        accounts
            .map(|(account, lines)| (account.clone(), sum(lines)))
            .collect()
    }

    /// Returns what was absorbed.
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
