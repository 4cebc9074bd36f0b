//! A simulated store of versioned objects that holds the ledger shards.

use std::collections::BTreeMap;

use peridotrack_budget::ledger;

/// Ledger shards with their versions, and counts of calls.
#[derive(Debug, Default)]
pub struct Store {
    objects: BTreeMap<u32, Vec<ledger::Shard>>,
    /// Whether older versions are kept, which stale reads need.
    pub keeps_history: bool,
    versions: BTreeMap<u32, u64>,
    /// Reads that arrived, whatever their result.
    pub reads: u64,
    /// Writes that arrived, conflicts and operators' edits included.
    pub writes: u64,
    /// Invariants of the ledger that written updates broke, in order.
    pub violations: Vec<ledger::Violation>,
}

impl Store {
    /// Returns the version and contents of a shard, or `None` if it is absent.
    ///
    /// `age` counts versions back from the current one, as far as history is kept.
    pub fn read(&mut self, shard: u32, age: usize) -> Option<(u64, ledger::Shard)> {
        self.reads += 1;
        let bodies = self.objects.get(&shard)?;
        let age = age.min(bodies.len() - 1);
        let version = self.versions[&shard] - age as u64;
        Some((version, bodies[bodies.len() - 1 - age].clone()))
    }

    /// Returns the current contents without counting a read.
    pub fn peek(&self, shard: u32) -> Option<&ledger::Shard> {
        self.objects.get(&shard)?.last()
    }

    /// Writes a shard if its version is the expected one, and returns the new version.
    ///
    /// Returns `None` on a conflict. An update that breaks the ledger's invariant is written and
    /// added to `violations`.
    pub fn write(&mut self, shard: u32, expected: Option<u64>, body: ledger::Shard) -> Option<u64> {
        self.writes += 1;
        let version = self.versions.get(&shard).copied();
        if version != expected {
            return None;
        }
        let empty = ledger::Shard::empty();
        let before = self.peek(shard).unwrap_or(&empty);
        if let Err(violation) = body.check_update(before) {
            self.violations.push(violation);
        }
        let bodies = self.objects.entry(shard).or_default();
        if !self.keeps_history {
            bodies.clear();
        }
        bodies.push(body);
        let version = version.unwrap_or(0) + 1;
        self.versions.insert(shard, version);
        Some(version)
    }

    /// Returns the current version and contents, as the response to a conflicting write holds them.
    pub fn current(&self, shard: u32) -> Option<ledger::Versioned> {
        let version = self.versions.get(&shard).copied()?;
        let body = self.peek(shard)?.clone();
        Some(ledger::Versioned { version, body })
    }

    /// Edits the current contents, as an operator's tool does, and returns the result of `edit`.
    pub fn edit<T>(&mut self, shard: u32, edit: impl FnOnce(&mut ledger::Shard) -> T) -> T {
        let mut body = self.peek(shard).cloned().unwrap_or_default();
        let outcome = edit(&mut body);
        let version = self.versions.get(&shard).copied();
        self.write(shard, version, body);
        outcome
    }
}
