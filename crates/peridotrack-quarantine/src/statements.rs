//! The statements of all routers, as one of them knows them.
//!
//! A router changes only its own [`Statement`]: it adds the crashes that it notices, and clears
//! those under signatures that it sees complete. Its own crashes it removes; crashes that others
//! state it lists as [`Clearance`]s, until their authors have removed them. The crashes that count
//! are derived from all statements together; see [`Statements::crashes`].

use std::collections::{BTreeMap, BTreeSet};

use peridotrack_types::name;

use crate::{
    signature::Signature,
    statement::{Clearance, Crash, Statement},
    verdict::{Crashes, Report},
};

/// This router's statement and the last one of each other author.
#[derive(Debug)]
pub(crate) struct Statements {
    /// VM of this router, which is the author of its statement.
    vm: name::Vm,
    /// This router's statement.
    own: Statement,
    /// Statements of the others, by author.
    others: BTreeMap<name::Vm, Statement>,
}

/// Constructors and queries.
impl Statements {
    pub(crate) fn new(vm: name::Vm) -> Self {
        Self {
            vm,
            own: Statement::default(),
            others: BTreeMap::new(),
        }
    }

    pub(crate) fn vm(&self) -> &name::Vm {
        &self.vm
    }

    pub(crate) fn own(&self) -> &Statement {
        &self.own
    }

    /// Returns the crashes that count, by signature: those that are current and that no author has
    /// cleared.
    pub(crate) fn crashes(
        &self,
        is_current: impl Fn(&Crash) -> bool,
    ) -> BTreeMap<Signature, Crashes> {
        let own = (&self.vm, &self.own);
        let statements: Vec<_> = self.others.iter().chain([own]).collect();
        let cleared: BTreeSet<&Clearance> = statements
            .iter()
            .flat_map(|(_, statement)| &statement.clearances)
            .collect();
        let mut crashes: BTreeMap<Signature, Crashes> = BTreeMap::new();
        for (author, statement) in &statements {
            for crash in statement.crashes.iter().filter(|crash| is_current(crash)) {
                if cleared.contains(&clearance(crash)) {
                    continue;
                }
                let report = crashes
                    .entry(crash.signature)
                    .or_default()
                    .entry(crash.backend_server.clone())
                    .or_insert_with(|| Report {
                        depth: crash.depth,
                        at_wall_ms: crash.at_wall_ms,
                        authors: BTreeSet::new(),
                    });
                report.depth = report.depth.max(crash.depth);
                report.at_wall_ms = report.at_wall_ms.min(crash.at_wall_ms);
                report.authors.insert((*author).clone());
            }
        }
        crashes
    }
}

/// Changes of this router's statement.
impl Statements {
    /// Adds a crash that this router noticed, in place of the one with the least evidence if there
    /// are `max_entries`. `evidence` is passed a signature and the number of own crashes under it.
    pub(crate) fn add_crash<E: Ord>(
        &mut self,
        crash: Crash,
        max_entries: usize,
        evidence: impl Fn(&Signature, usize) -> E,
    ) {
        let is_same = |known: &&mut Crash| {
            known.signature == crash.signature && known.backend_server == crash.backend_server
        };
        match self.own.crashes.iter_mut().find(is_same) {
            Some(known) => known.depth = known.depth.max(crash.depth),
            None => {
                if self.own.crashes.len() >= max_entries {
                    self.remove_least_conclusive_crash(evidence);
                }
                self.own.crashes.push(crash);
            }
        }
    }

    /// Removes an own crash to make room: of the signature with the least evidence, the oldest.
    fn remove_least_conclusive_crash<E: Ord>(&mut self, evidence: impl Fn(&Signature, usize) -> E) {
        let mut counts: BTreeMap<Signature, usize> = BTreeMap::new();
        for crash in &self.own.crashes {
            *counts.entry(crash.signature).or_default() += 1;
        }
        let least = (0..self.own.crashes.len()).min_by_key(|&index| {
            let crash = &self.own.crashes[index];
            let count = counts.get(&crash.signature).copied().unwrap_or_default();
            let evidence = (evidence(&crash.signature, count), crash.depth);
            (evidence, crash.at_wall_ms)
        });
        if let Some(least) = least {
            self.own.crashes.swap_remove(least);
        }
    }

    /// Clears the crashes under the signature of a completed request.
    pub(crate) fn clear(&mut self, signature: &Signature) {
        self.own
            .crashes
            .retain(|crash| crash.signature != *signature);
        let others = self.others.values().flat_map(|other| &other.crashes);
        let cleared: BTreeSet<Clearance> = others
            .filter(|crash| crash.signature == *signature)
            .map(clearance)
            .collect();
        for clearance in cleared {
            self.add_clearance(clearance);
        }
    }

    /// Adds a clearance unless it is known.
    pub(crate) fn add_clearance(&mut self, clearance: Clearance) {
        if !self.own.clearances.contains(&clearance) {
            self.own.clearances.push(clearance);
        }
    }

    /// Removes the oldest clearances beyond `max_entries`.
    pub(crate) fn trim_clearances(&mut self, max_entries: usize) {
        let excess = self.own.clearances.len().saturating_sub(max_entries);
        self.own.clearances.drain(..excess);
    }

    /// Removes own crashes that are not current. Returns whether there were any.
    pub(crate) fn expire(&mut self, is_current: impl Fn(&Crash) -> bool) -> bool {
        let count = self.own.crashes.len();
        self.own.crashes.retain(is_current);
        self.own.crashes.len() < count
    }

    /// Removes what no longer matters: own crashes that others cleared, and clearances of crashes
    /// that no one states any more. Returns whether there was any of it.
    pub(crate) fn drop_settled(&mut self) -> bool {
        let count = self.own.crashes.len() + self.own.clearances.len();
        let cleared: BTreeSet<&Clearance> = self
            .others
            .values()
            .flat_map(|other| &other.clearances)
            .collect();
        self.own
            .crashes
            .retain(|crash| !cleared.contains(&clearance(crash)));
        let stated: BTreeSet<Clearance> = self
            .others
            .values()
            .flat_map(|other| &other.crashes)
            .map(clearance)
            .collect();
        self.own
            .clearances
            .retain(|clearance| stated.contains(clearance));
        self.own.crashes.len() + self.own.clearances.len() < count
    }

    /// Raises the sequence of the changed statement. The clock keeps it above that of an earlier
    /// incarnation whose last statement did not reach the store.
    pub(crate) fn raise_sequence(&mut self, wall_ms: u64) {
        self.own.sequence = (self.own.sequence + 1).max(wall_ms);
    }

    /// Continues the sequence of an earlier incarnation. Returns whether it is ahead of the own one.
    pub(crate) fn continue_sequence(&mut self, sequence: u64) -> bool {
        if sequence <= self.own.sequence {
            return false;
        }
        self.own.sequence = sequence;
        true
    }
}

/// Statements of others.
impl Statements {
    /// Replaces the statement of another author. Returns whether it is newer than the known one.
    pub(crate) fn replace(&mut self, author: name::Vm, statement: Statement) -> bool {
        let is_known = |known: &Statement| known.sequence >= statement.sequence;
        if self.others.get(&author).is_some_and(is_known) {
            return false;
        }
        self.others.insert(author, statement);
        true
    }
}

fn clearance(crash: &Crash) -> Clearance {
    Clearance {
        signature: crash.signature,
        backend_server: crash.backend_server.clone(),
    }
}
