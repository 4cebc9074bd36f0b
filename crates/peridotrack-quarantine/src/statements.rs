//! The statements of all routers, as one of them knows them.
//!
//! A router changes only its own [`Statement`]: it adds the crashes that it notices, and clears
//! those under signatures that it sees complete. Its own crashes it removes; crashes that others
//! state it lists as [`Clearance`]s, until their authors have removed them. The crashes that count
//! are derived from all statements together; see [`Statements::crashes`].
//!
//! Routers state crashes of the whole fleet, so an index by signature is kept: what a changed
//! statement costs depends on what changed in it, not on the number of routers.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
};

use peridotrack_types::name;

use crate::{
    run::Run,
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
    /// What all statements contain, the own one among them.
    index: BTreeMap<Clearance, Entry>,
    /// Signatures of entries that changed since [`Self::take_touched`].
    touched: BTreeSet<Signature>,
    /// Entries that changed since [`Self::drop_settled`].
    unsettled: BTreeSet<Clearance>,
}

/// What the authors state about the end of one run of a server under one signature.
#[derive(Debug, Default)]
struct Entry {
    crashes: Vec<Stated>,
    /// Authors of clearances.
    clearances: Vec<name::Vm>,
}

/// A crash as one author states it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Stated {
    author: name::Vm,
    depth: u32,
    at_wall_ms: u64,
}

impl Stated {
    fn new(author: &name::Vm, crash: &Crash) -> Self {
        Self {
            author: author.clone(),
            depth: crash.depth,
            at_wall_ms: crash.at_wall_ms,
        }
    }
}

/// Constructors and queries.
impl Statements {
    pub(crate) fn new(vm: name::Vm) -> Self {
        Self {
            vm,
            own: Statement::default(),
            others: BTreeMap::new(),
            index: BTreeMap::new(),
            touched: BTreeSet::new(),
            unsettled: BTreeSet::new(),
        }
    }

    pub(crate) fn vm(&self) -> &name::Vm {
        &self.vm
    }

    pub(crate) fn own(&self) -> &Statement {
        &self.own
    }

    /// Returns the crashes under a signature that count: those that were not noticed before
    /// `oldest_ms` and that no author has cleared.
    pub(crate) fn crashes(&self, signature: Signature, oldest_ms: u64) -> Crashes {
        let mut crashes = Crashes::new();
        for (key, entry) in self.entries(signature) {
            if !entry.clearances.is_empty() {
                continue;
            }
            for stated in &entry.crashes {
                if stated.at_wall_ms < oldest_ms {
                    continue;
                }
                let report = crashes
                    .entry(key.backend_server.clone())
                    .or_insert_with(|| Report {
                        depth: stated.depth,
                        at_wall_ms: stated.at_wall_ms,
                        authors: BTreeSet::new(),
                    });
                report.depth = report.depth.max(stated.depth);
                report.at_wall_ms = report.at_wall_ms.min(stated.at_wall_ms);
                report.authors.insert(stated.author.clone());
            }
        }
        crashes
    }

    /// Returns and forgets the signatures whose crashes may have changed.
    pub(crate) fn take_touched(&mut self) -> BTreeSet<Signature> {
        mem::take(&mut self.touched)
    }

    fn entries(&self, signature: Signature) -> impl Iterator<Item = (&Clearance, &Entry)> {
        // The empty name sorts before all others.
        let first = Clearance {
            signature,
            backend_server: Run::from(""),
        };
        let entries = self.index.range(first..);
        entries.take_while(move |(key, _)| key.signature == signature)
    }
}

/// The index.
impl Statements {
    fn touch(&mut self, key: Clearance) -> &mut Entry {
        self.touched.insert(key.signature);
        self.unsettled.insert(key.clone());
        self.index.entry(key).or_default()
    }

    fn index_crash(&mut self, author: &name::Vm, crash: &Crash) {
        let stated = Stated::new(author, crash);
        self.touch(clearance(crash)).crashes.push(stated);
    }

    fn unindex_crash(&mut self, author: &name::Vm, crash: &Crash) {
        let (key, stated) = (clearance(crash), Stated::new(author, crash));
        remove(&mut self.touch(key.clone()).crashes, &stated);
        self.remove_empty(&key);
    }

    fn index_clearance(&mut self, author: &name::Vm, clearance: &Clearance) {
        self.touch(clearance.clone())
            .clearances
            .push(author.clone());
    }

    fn unindex_clearance(&mut self, author: &name::Vm, clearance: &Clearance) {
        remove(&mut self.touch(clearance.clone()).clearances, author);
        self.remove_empty(clearance);
    }

    fn remove_empty(&mut self, key: &Clearance) {
        let is_empty = |entry: &Entry| entry.crashes.is_empty() && entry.clearances.is_empty();
        if self.index.get(key).is_some_and(is_empty) {
            self.index.remove(key);
        }
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
        let is_same = |known: &Crash| {
            known.signature == crash.signature && known.backend_server == crash.backend_server
        };
        match self.own.crashes.iter().position(is_same) {
            Some(index) => self.raise_own_depth(index, crash.depth),
            None => {
                if self.own.crashes.len() >= max_entries {
                    self.remove_least_conclusive_crash(evidence);
                }
                self.index_crash(&self.vm.clone(), &crash);
                self.own.crashes.push(crash);
            }
        }
    }

    fn raise_own_depth(&mut self, index: usize, depth: u32) {
        let mut crash = self.own.crashes[index].clone();
        if depth <= crash.depth {
            return;
        }
        let vm = self.vm.clone();
        self.unindex_crash(&vm, &crash);
        crash.depth = depth;
        self.index_crash(&vm, &crash);
        self.own.crashes[index] = crash;
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
            let removed = self.own.crashes.swap_remove(least);
            self.unindex_crash(&self.vm.clone(), &removed);
        }
    }

    /// Clears the crashes under the signature of a completed request.
    pub(crate) fn clear(&mut self, signature: &Signature) {
        self.remove_own_crashes(|crash| crash.signature == *signature);
        let is_stated = |(_, entry): &(&Clearance, &Entry)| !entry.crashes.is_empty();
        let entries = self.entries(*signature).filter(is_stated);
        let cleared: Vec<Clearance> = entries.map(|(key, _)| key.clone()).collect();
        for clearance in cleared {
            self.add_clearance(clearance);
        }
    }

    /// Removes the own crashes that `is_removed` selects. Returns whether there were any.
    fn remove_own_crashes(&mut self, is_removed: impl Fn(&Crash) -> bool) -> bool {
        let removed = self.own.crashes.extract_if(.., |crash| is_removed(crash));
        let removed: Vec<Crash> = removed.collect();
        let vm = self.vm.clone();
        for crash in &removed {
            self.unindex_crash(&vm, crash);
        }
        !removed.is_empty()
    }

    /// Adds a clearance unless it is known.
    pub(crate) fn add_clearance(&mut self, clearance: Clearance) {
        if !self.own.clearances.contains(&clearance) {
            self.index_clearance(&self.vm.clone(), &clearance);
            self.own.clearances.push(clearance);
        }
    }

    /// Removes the oldest clearances beyond `max_entries`.
    pub(crate) fn trim_clearances(&mut self, max_entries: usize) {
        let excess = self.own.clearances.len().saturating_sub(max_entries);
        let removed: Vec<Clearance> = self.own.clearances.drain(..excess).collect();
        let vm = self.vm.clone();
        for clearance in &removed {
            self.unindex_clearance(&vm, clearance);
        }
    }

    /// Removes own crashes that were noticed before `oldest_ms`, and touches all signatures.
    /// Returns whether there were any.
    pub(crate) fn expire(&mut self, oldest_ms: u64) -> bool {
        let signatures = self.index.keys().map(|key| key.signature);
        self.touched.extend(signatures);
        self.remove_own_crashes(|crash| crash.at_wall_ms < oldest_ms)
    }

    /// Removes what no longer matters: own crashes that others cleared, and clearances of crashes
    /// that no one states any more. Returns whether there was any of it.
    pub(crate) fn drop_settled(&mut self) -> bool {
        let mut is_changed = false;
        for key in mem::take(&mut self.unsettled) {
            let Some(entry) = self.index.get(&key) else {
                continue;
            };
            let mut authors = entry.crashes.iter().map(|stated| &stated.author);
            let is_own = |author: &name::Vm| *author == self.vm;
            let is_cleared = entry.clearances.iter().any(|author| !is_own(author));
            let is_own_crash = authors.clone().any(is_own);
            let is_stated = authors.any(|author| !is_own(author));
            let is_own_clearance = entry.clearances.iter().any(is_own);
            if is_cleared && is_own_crash {
                is_changed |= self.remove_own_crashes(|crash| clearance(crash) == key);
            }
            if is_own_clearance && !is_stated {
                self.own.clearances.retain(|known| *known != key);
                self.unindex_clearance(&self.vm.clone(), &key);
                is_changed = true;
            }
        }
        is_changed
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
    /// Returns whether a statement of another author is newer than the known one.
    pub(crate) fn is_newer(&self, author: &name::Vm, sequence: u64) -> bool {
        let known = self.others.get(author);
        known.is_none_or(|known| known.sequence < sequence)
    }

    /// Replaces the statement of another author. Returns whether it is newer than the known one.
    pub(crate) fn replace(&mut self, author: name::Vm, statement: Statement) -> bool {
        if !self.is_newer(&author, statement.sequence) {
            return false;
        }
        let before = self.others.remove(&author).unwrap_or_default();
        let (removed, added) = differences(&before.crashes, &statement.crashes);
        for crash in removed {
            self.unindex_crash(&author, crash);
        }
        for crash in added {
            self.index_crash(&author, crash);
        }
        let (removed, added) = differences(&before.clearances, &statement.clearances);
        for clearance in removed {
            self.unindex_clearance(&author, clearance);
        }
        for clearance in added {
            self.index_clearance(&author, clearance);
        }
        self.others.insert(author, statement);
        true
    }
}

/// Returns the items that only `before` has, and those that only `after` has.
fn differences<'a, T: Ord>(before: &'a [T], after: &'a [T]) -> (Vec<&'a T>, Vec<&'a T>) {
    // Statements mostly grow at their end.
    let pairs = before.iter().zip(after);
    let same = pairs.take_while(|(before, after)| before == after).count();
    let sorted = |items: &'a [T]| {
        let mut items: Vec<&T> = items[same..].iter().collect();
        items.sort_unstable();
        items.into_iter().peekable()
    };
    let (mut before, mut after) = (sorted(before), sorted(after));
    let (mut removed, mut added) = (Vec::new(), Vec::new());
    loop {
        match (before.peek(), after.peek()) {
            (Some(old), Some(new)) if old == new => {
                before.next();
                after.next();
            }
            (Some(old), Some(new)) if old > new => added.extend(after.next()),
            (Some(_), _) => removed.extend(before.next()),
            (None, Some(_)) => added.extend(after.next()),
            (None, None) => return (removed, added),
        }
    }
}

/// Removes one item that is equal to `wanted`.
fn remove<T: PartialEq>(items: &mut Vec<T>, wanted: &T) {
    if let Some(index) = items.iter().position(|item| item == wanted) {
        items.swap_remove(index);
    }
}

fn clearance(crash: &Crash) -> Clearance {
    Clearance {
        signature: crash.signature,
        backend_server: crash.backend_server.clone(),
    }
}
