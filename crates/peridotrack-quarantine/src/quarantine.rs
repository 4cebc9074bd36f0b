//! The quarantine state machine and its entry points.

use std::collections::{BTreeMap, BTreeSet};

use peridotrack_types::{collections::HashMap, name};

use crate::{
    event::{Action, Event, Note, Now, Trial},
    options::Options,
    statement::{Clearance, Crash, Part, Statement},
    verdict::{self, Block, Crashes, Report, Verdict},
};

/// An attempt that broke when its response had just begun.
#[derive(Debug, Clone)]
struct Pending {
    trial: Trial,
    backend_server: name::BackendServer,
    broken_us: u64,
}

/// Collects what routers state about crashes, and decides which requests are refused.
#[derive(Debug)]
pub struct Quarantine {
    options: Options,
    /// VM of this router, which is the author of its statement.
    vm: name::Vm,
    /// This router's statement.
    own: Statement,
    /// Statements of the others, by author.
    others: BTreeMap<name::Vm, Statement>,
    /// Broken attempts whose server may have ended.
    pending: Vec<Pending>,
    /// Crashes that count, by part; derived from the statements.
    crashes: BTreeMap<Part, Crashes>,
    verdict: Verdict,
    /// When the statement is due to be sent to the peers.
    send_us: Option<u64>,
    /// When the statement is due to be written.
    write_us: Option<u64>,
    /// Statement that the store holds; `None` if the outcome of a write is unknown.
    written: Option<Statement>,
    /// Statement of the write in progress.
    writing: Option<Statement>,
    /// When aged crashes are removed next.
    expire_us: u64,
}

/// Constructors.
impl Quarantine {
    /// Returns a quarantine without statements for the router on `vm`.
    pub fn new(vm: name::Vm, options: Options) -> Self {
        Self {
            options,
            vm,
            own: Statement::default(),
            others: BTreeMap::new(),
            pending: Vec::new(),
            crashes: BTreeMap::new(),
            verdict: Verdict::default(),
            send_us: None,
            write_us: None,
            written: Some(Statement::default()),
            writing: None,
            expire_us: 0,
        }
    }
}

/// Decisions about requests.
impl Quarantine {
    /// Returns the trial of a request with these shared parts that is about to be sent.
    ///
    /// # Errors
    ///
    /// Returns the block if the request has all of its parts.
    pub fn check(&self, parts: &[Part]) -> Result<Trial, &Block> {
        let is_refused = |block: &&Block| block.parts.iter().all(|part| parts.contains(part));
        if let Some(block) = self.verdict.blocks.iter().find(is_refused) {
            return Err(block);
        }
        let depth = |part: &Part| self.crashes.get(part).map_or(0, verdict::max_depth);
        let parts = parts.iter().take(self.options.max_parts);
        Ok(Trial {
            parts: parts.map(|part| (*part, depth(part) + 1)).collect(),
        })
    }

    /// Returns whether a request with these shared parts may be sent again after its server ended.
    pub fn may_retry(&self, parts: &[Part]) -> bool {
        let unexplained = |part| self.verdict.unexplained.get(part).copied();
        let mut depths = parts.iter().filter_map(unexplained);
        self.check(parts).is_ok() && depths.all(|depth| depth < self.options.no_retry_depth)
    }

    /// Returns whether news about servers matters: attempts broke that may be crashes.
    pub fn is_waiting(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the blocks in force, the one with the most crashes first.
    pub fn blocks(&self) -> &[Block] {
        &self.verdict.blocks
    }
}

/// Handling of events.
impl Quarantine {
    /// Handles an event and returns the actions to carry out.
    pub fn on_event(&mut self, now: Now, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.on_tick(now, &mut actions),
            Event::Broken {
                trial,
                backend_server,
            } => self.on_broken(now, trial, backend_server),
            Event::ServerEnded { backend_server } => {
                self.on_server_ended(now, &backend_server, &mut actions);
            }
            Event::ServerAlive {
                backend_server,
                sent_us,
            } => self.pending.retain(|pending| {
                pending.backend_server != backend_server || pending.broken_us >= sent_us
            }),
            Event::Completed { parts } => self.on_completed(now, &parts, &mut actions),
            Event::Stated { author, statement } => {
                self.on_stated(now, author, statement, &mut actions);
            }
            Event::Written => self.written = self.writing.take(),
            Event::WriteFailed => {
                self.writing = None;
                self.written = None;
                self.write_us = Some(now.monotonic_us + self.options.write_retry_us);
            }
        }
        actions
    }

    fn on_tick(&mut self, now: Now, actions: &mut Vec<Action>) {
        let oldest_us = now.monotonic_us.saturating_sub(self.options.pending_us);
        self.pending
            .retain(|pending| pending.broken_us >= oldest_us);
        if now.monotonic_us >= self.expire_us {
            self.expire_us = now.monotonic_us + self.options.expiry_us;
            if !self.crashes.is_empty() {
                self.expire(now, actions);
            }
        }
        if self.send_us.is_some_and(|at_us| now.monotonic_us >= at_us) {
            self.send_us = None;
            actions.push(Action::Send(self.own.clone()));
        }
        let is_due = self.write_us.is_some_and(|at_us| now.monotonic_us >= at_us);
        if is_due && self.writing.is_none() {
            self.write_us = None;
            let is_same = |written: &Statement| {
                written.crashes == self.own.crashes && written.clearances == self.own.clearances
            };
            if !self.written.as_ref().is_some_and(is_same) {
                self.writing = Some(self.own.clone());
                actions.push(Action::Write(self.own.clone()));
            }
        }
    }

    fn on_broken(&mut self, now: Now, trial: Trial, backend_server: name::BackendServer) {
        if !trial.parts.is_empty() && self.pending.len() < self.options.max_pending {
            self.pending.push(Pending {
                trial,
                backend_server,
                broken_us: now.monotonic_us,
            });
        }
    }

    fn on_server_ended(
        &mut self,
        now: Now,
        backend_server: &name::BackendServer,
        actions: &mut Vec<Action>,
    ) {
        let is_of_server = |pending: &mut Pending| pending.backend_server == *backend_server;
        let ended: Vec<Pending> = self.pending.extract_if(.., is_of_server).collect();
        if ended.is_empty() {
            return;
        }
        for pending in ended {
            let depths = pending.trial.parts.iter().map(|(_, depth)| *depth);
            actions.push(Action::Note(Note::Crashed {
                backend_server: backend_server.clone(),
                depth: depths.max().unwrap_or(0),
                parts: pending.trial.parts.iter().map(|(part, _)| *part).collect(),
            }));
            for (part, depth) in pending.trial.parts {
                self.add_crash(Crash {
                    part,
                    backend_server: backend_server.clone(),
                    depth,
                    at_wall_ms: now.wall_ms,
                });
            }
        }
        self.change(now, actions);
    }

    fn on_completed(&mut self, now: Now, parts: &[Part], actions: &mut Vec<Action>) {
        let mut is_changed = false;
        for part in parts.iter().filter(|part| self.crashes.contains_key(part)) {
            is_changed = true;
            self.own.crashes.retain(|crash| crash.part != *part);
            let others = self.others.values().flat_map(|other| &other.crashes);
            let cleared: BTreeSet<Clearance> = others
                .filter(|crash| crash.part == *part)
                .map(clearance)
                .collect();
            for clearance in cleared {
                if !self.own.clearances.contains(&clearance) {
                    self.own.clearances.push(clearance);
                }
            }
        }
        if is_changed {
            let excess = self
                .own
                .clearances
                .len()
                .saturating_sub(self.options.max_entries);
            self.own.clearances.drain(..excess);
            self.change(now, actions);
        }
    }

    fn on_stated(
        &mut self,
        now: Now,
        author: name::Vm,
        statement: Statement,
        actions: &mut Vec<Action>,
    ) {
        if author == self.vm {
            return self.on_own_stored(now, statement, actions);
        }
        let is_known = |known: &Statement| known.sequence >= statement.sequence;
        if self.others.get(&author).is_some_and(is_known) {
            return;
        }
        self.others.insert(author, statement);
        let before = self.own.clone();
        self.drop_settled();
        if self.own.crashes != before.crashes || self.own.clearances != before.clearances {
            self.change(now, actions);
        } else {
            self.rejudge(now, actions);
        }
    }

    /// Adopts what an earlier incarnation on this VM stated.
    fn on_own_stored(&mut self, now: Now, stored: Statement, actions: &mut Vec<Action>) {
        if stored.sequence <= self.own.sequence {
            return;
        }
        self.own.sequence = stored.sequence;
        self.written = Some(stored.clone());
        for crash in stored.crashes {
            self.add_crash(crash);
        }
        for clearance in stored.clearances {
            if !self.own.clearances.contains(&clearance) {
                self.own.clearances.push(clearance);
            }
        }
        self.change(now, actions);
    }
}

/// Changes of this router's statement, and what follows from all statements.
impl Quarantine {
    fn add_crash(&mut self, crash: Crash) {
        let is_same = |known: &&mut Crash| {
            known.part == crash.part && known.backend_server == crash.backend_server
        };
        match self.own.crashes.iter_mut().find(is_same) {
            Some(known) => known.depth = known.depth.max(crash.depth),
            None => self.own.crashes.push(crash),
        }
        if self.own.crashes.len() > self.options.max_entries {
            self.remove_least_conclusive_crash();
        }
    }

    fn remove_least_conclusive_crash(&mut self) {
        let blocks = &self.verdict.blocks;
        let is_proof = |part| blocks.iter().any(|block| block.parts.contains(part));
        let least = (0..self.own.crashes.len()).min_by_key(|&index| {
            let crash = &self.own.crashes[index];
            (is_proof(&crash.part), crash.depth, crash.at_wall_ms)
        });
        if let Some(least) = least {
            self.own.crashes.swap_remove(least);
        }
    }

    /// Removes what no longer matters: own crashes that others cleared, and clearances of crashes
    /// that no one states any more.
    fn drop_settled(&mut self) {
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
    }

    /// Publishes this router's changed statement.
    fn change(&mut self, now: Now, actions: &mut Vec<Action>) {
        // The clock keeps the sequence above that of an earlier incarnation whose last statement
        // did not reach the store.
        self.own.sequence = (self.own.sequence + 1).max(now.wall_ms);
        let send_us = now.monotonic_us + self.options.send_delay_us;
        self.send_us.get_or_insert(send_us);
        let write_us = now.monotonic_us + self.options.write_delay_us;
        self.write_us.get_or_insert(write_us);
        self.rejudge(now, actions);
    }

    fn expire(&mut self, now: Now, actions: &mut Vec<Action>) {
        let is_current = self.is_current(now);
        let count = self.own.crashes.len();
        self.own.crashes.retain(is_current);
        if self.own.crashes.len() < count {
            self.change(now, actions);
        } else {
            self.rejudge(now, actions);
        }
    }

    fn is_current(&self, now: Now) -> impl Fn(&Crash) -> bool + use<> {
        let age_ms = self.options.crash_age_ms;
        move |crash| now.wall_ms < crash.at_wall_ms.saturating_add(age_ms)
    }

    /// Derives the crashes that count and the verdict from all statements.
    fn rejudge(&mut self, now: Now, actions: &mut Vec<Action>) {
        let is_current = self.is_current(now);
        let own = (&self.vm, &self.own);
        let statements: Vec<_> = self.others.iter().chain([own]).collect();
        let cleared: BTreeSet<&Clearance> = statements
            .iter()
            .flat_map(|(_, statement)| &statement.clearances)
            .collect();
        let mut crashes: BTreeMap<Part, Crashes> = BTreeMap::new();
        for (author, statement) in &statements {
            for crash in statement.crashes.iter().filter(|crash| is_current(crash)) {
                if cleared.contains(&clearance(crash)) {
                    continue;
                }
                let report = crashes
                    .entry(crash.part)
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
        self.crashes = crashes;
        let verdict = verdict::judge(&self.crashes, &self.options);
        note_changes(&self.verdict, &verdict, actions);
        self.verdict = verdict;
    }
}

fn clearance(crash: &Crash) -> Clearance {
    Clearance {
        part: crash.part,
        backend_server: crash.backend_server.clone(),
    }
}

/// Notes which blocks began and ended.
fn note_changes(before: &Verdict, after: &Verdict, actions: &mut Vec<Action>) {
    let parts = |verdict: &Verdict| -> HashMap<Vec<Part>, Block> {
        let blocks = verdict.blocks.iter();
        blocks
            .map(|block| (block.parts.clone(), block.clone()))
            .collect()
    };
    let (before, after) = (parts(before), parts(after));
    for (parts, block) in &after {
        if !before.contains_key(parts) {
            actions.push(Action::Note(Note::Blocked(block.clone())));
        }
    }
    for parts in before.keys().filter(|parts| !after.contains_key(*parts)) {
        actions.push(Action::Note(Note::Released {
            parts: parts.clone(),
        }));
    }
}
