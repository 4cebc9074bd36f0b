//! The quarantine state machine and its entry points.

use std::collections::{BTreeMap, BTreeSet};

use peridotrack_types::{collections::HashMap, name};

use crate::{
    event::{Action, Event, Note, Now, Refusal, Trial},
    options::Options,
    pending::{Attempt, Pending},
    probe::Probes,
    recheck::{Claim, Outcome, Rechecks},
    run::Run,
    signature::Signature,
    statement::{Clearance, Crash, Statement},
    verdict::{self, Block, Crashes, Report, Verdict},
};

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
    pending: Pending,
    /// Crashes that count, by signature; derived from the statements.
    crashes: BTreeMap<Signature, Crashes>,
    verdict: Verdict,
    probes: Probes,
    rechecks: Rechecks,
    /// When the last crash under each signature became known, in monotonic microseconds.
    crashed_us: BTreeMap<Signature, u64>,
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
            pending: Pending::default(),
            crashes: BTreeMap::new(),
            verdict: Verdict::default(),
            probes: Probes::default(),
            rechecks: Rechecks::default(),
            crashed_us: BTreeMap::new(),
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
    /// Returns whether a request with these signatures may be sent now.
    ///
    /// # Errors
    ///
    /// Returns the reason why it is not sent.
    pub fn check(&self, now: Now, signatures: &[Signature]) -> Result<(), Refusal> {
        let is_refused = |block: &&Block| !self.rechecks.may_send(now.monotonic_us, block);
        if let Some(block) = self.blocks_of(signatures).find(is_refused) {
            let due_in_us = self
                .rechecks
                .due_in_us(now.monotonic_us, block, &self.options);
            return Err(Refusal {
                block: block.clone(),
                is_proven: true,
                recheck_in_us: Some(due_in_us),
            });
        }
        for (signature, crashes) in self.undecided(signatures) {
            if !self
                .probes
                .may_send(now, &self.vm, signature, &self.options)
            {
                return Err(Refusal {
                    block: Block {
                        signatures: vec![signature],
                        crashes: crashes.clone(),
                    },
                    is_proven: false,
                    recheck_in_us: None,
                });
            }
        }
        Ok(())
    }

    /// Returns the trial of a request with these signatures that is sent now.
    ///
    /// # Errors
    ///
    /// Returns the reason why it is not sent.
    pub fn begin(&mut self, now: Now, signatures: &[Signature]) -> Result<Trial, Refusal> {
        self.check(now, signatures)?;
        for signature in signatures {
            if self.verdict.undecided.contains_key(signature) {
                self.probes.begin(now, *signature);
            }
        }
        for block in blocks_of(&self.verdict.blocks, signatures) {
            self.rechecks.begin(now.monotonic_us, block, &self.options);
        }
        let depth = |signature| self.crashes.get(signature).map_or(0, verdict::max_depth);
        let signatures = signatures.iter().take(self.options.max_signatures);
        Ok(Trial {
            signatures: signatures
                .map(|signature| (*signature, depth(signature) + 1))
                .collect(),
        })
    }

    /// Takes a trial back whose request did not reach its server.
    pub fn withdraw(&mut self, trial: &Trial) {
        for (signature, _) in &trial.signatures {
            self.probes.withdraw(*signature);
        }
        let signatures = trial.signatures.iter().map(|(signature, _)| signature);
        self.rechecks
            .withdraw(|wanted| signatures.clone().any(|signature| signature == wanted));
    }

    /// Returns the claim that the driver makes in the store, if a recheck of the block is due. The
    /// driver reports its result as [`Event::Claimed`].
    pub fn claim(&mut self, now: Now, block: &Block) -> Option<Claim> {
        self.rechecks.claim(now.monotonic_us, block, &self.options)
    }

    /// Returns whether a request with these signatures may be sent again after its server ended.
    pub fn may_retry(&self, signatures: &[Signature]) -> bool {
        let is_allowed = |signature: &Signature| {
            let crashes = self.verdict.unexplained.get(signature);
            crashes.is_none_or(|crashes| match signature {
                Signature::Part(_) => crashes.depth < self.options.part_no_retry_depth,
                Signature::Request(_) => crashes.servers < self.options.request_no_retry_servers,
            })
        };
        let is_undecided = self.undecided(signatures).next().is_some();
        let is_blocked = self.blocks_of(signatures).next().is_some();
        !is_blocked && !is_undecided && signatures.iter().all(is_allowed)
    }

    fn blocks_of(&self, signatures: &[Signature]) -> impl Iterator<Item = &Block> {
        blocks_of(&self.verdict.blocks, signatures)
    }

    /// Returns those of the signatures that are sent only to learn whether they cause crashes.
    fn undecided(&self, signatures: &[Signature]) -> impl Iterator<Item = (Signature, &Crashes)> {
        signatures.iter().filter_map(|signature| {
            let crashes = self.verdict.undecided.get(signature)?;
            Some((*signature, crashes))
        })
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
            } => self.pending.clear(&backend_server, sent_us),
            Event::Completed { signatures } => self.on_completed(now, &signatures, &mut actions),
            Event::Stated { author, statement } => {
                self.on_stated(now, author, statement, &mut actions);
            }
            Event::Written => self.written = self.writing.take(),
            Event::WriteFailed => {
                self.writing = None;
                self.written = None;
                self.write_us = Some(now.monotonic_us + self.options.write_retry_us);
            }
            Event::Claimed { claim, outcome } => {
                self.on_claimed(now, claim, outcome, &mut actions);
            }
        }
        actions
    }

    fn on_tick(&mut self, now: Now, actions: &mut Vec<Action>) {
        let oldest_us = now.monotonic_us.saturating_sub(self.options.pending_us);
        self.pending.expire(oldest_us);
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

    fn on_broken(&mut self, now: Now, trial: Trial, backend_server: Run) {
        if !trial.signatures.is_empty() {
            let attempt = Attempt {
                trial,
                backend_server,
                broken_us: now.monotonic_us,
            };
            self.pending.push(attempt, self.options.max_pending);
        }
    }

    fn on_server_ended(&mut self, now: Now, backend_server: &Run, actions: &mut Vec<Action>) {
        let ended = self.pending.take(backend_server);
        if ended.is_empty() {
            return;
        }
        for attempt in ended {
            let Trial { signatures } = &attempt.trial;
            actions.push(Action::Note(Note::Crashed {
                backend_server: attempt.backend_server.clone(),
                depth: attempt.trial.depth(),
                signatures: signatures.iter().map(|(signature, _)| *signature).collect(),
            }));
            for (signature, depth) in signatures {
                self.add_crash(Crash {
                    signature: *signature,
                    backend_server: attempt.backend_server.clone(),
                    depth: *depth,
                    at_wall_ms: now.wall_ms,
                });
            }
        }
        self.change(now, actions);
    }

    fn on_claimed(&mut self, now: Now, claim: Claim, outcome: Outcome, actions: &mut Vec<Action>) {
        let is_granted = self.rechecks.claimed(now.monotonic_us, &claim, outcome);
        if let Outcome::Granted { count } = outcome
            && is_granted
        {
            actions.push(Action::Note(Note::Rechecked {
                signatures: claim.signatures,
                count,
            }));
        }
    }

    fn on_completed(&mut self, now: Now, signatures: &[Signature], actions: &mut Vec<Action>) {
        let mut is_changed = false;
        let suspected = |signature: &&Signature| self.crashes.contains_key(signature);
        for signature in signatures.iter().filter(suspected) {
            is_changed = true;
            self.own
                .crashes
                .retain(|crash| crash.signature != *signature);
            let others = self.others.values().flat_map(|other| &other.crashes);
            let cleared: BTreeSet<Clearance> = others
                .filter(|crash| crash.signature == *signature)
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
            known.signature == crash.signature && known.backend_server == crash.backend_server
        };
        match self.own.crashes.iter_mut().find(is_same) {
            Some(known) => known.depth = known.depth.max(crash.depth),
            None => {
                if self.own.crashes.len() >= self.options.max_entries {
                    self.remove_least_conclusive_crash();
                }
                self.own.crashes.push(crash);
            }
        }
    }

    /// Removes an own crash to make room: of the signature with the least evidence, the oldest.
    fn remove_least_conclusive_crash(&mut self) {
        let blocks = &self.verdict.blocks;
        let is_proof = |signature| {
            blocks
                .iter()
                .any(|block| block.signatures.contains(signature))
        };
        let mut counts: BTreeMap<Signature, usize> = BTreeMap::new();
        for crash in &self.own.crashes {
            *counts.entry(crash.signature).or_default() += 1;
        }
        let count = |signature| {
            let stated = self.crashes.get(signature).map_or(0, Crashes::len);
            stated.max(counts.get(signature).copied().unwrap_or_default())
        };
        let least = (0..self.own.crashes.len()).min_by_key(|&index| {
            let crash = &self.own.crashes[index];
            let signature = &crash.signature;
            let evidence = (is_proof(signature), count(signature), crash.depth);
            (evidence, crash.at_wall_ms)
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
        for (signature, known) in &crashes {
            let before = self.crashes.get(signature).map_or(0, Crashes::len);
            if known.len() > before {
                self.crashed_us.insert(*signature, now.monotonic_us);
            }
        }
        self.crashed_us
            .retain(|signature, _| crashes.contains_key(signature));
        self.crashes = crashes;
        let verdict = verdict::judge(&self.crashes, &self.options);
        note_changes(&self.verdict, &verdict, actions);
        self.verdict = verdict;
        self.probes.retain(&self.verdict.undecided);
        let crashed_us = |signature: &Signature| self.crashed_us.get(signature).copied();
        self.rechecks.update(&self.verdict.blocks, |signature| {
            crashed_us(signature).unwrap_or_default()
        });
    }
}

/// Returns the blocks because of which a request with the signatures is refused.
fn blocks_of<'a>(blocks: &'a [Block], signatures: &[Signature]) -> impl Iterator<Item = &'a Block> {
    blocks.iter().filter(move |block| {
        let mut blocked = block.signatures.iter();
        blocked.all(|signature| signatures.contains(signature))
    })
}

fn clearance(crash: &Crash) -> Clearance {
    Clearance {
        signature: crash.signature,
        backend_server: crash.backend_server.clone(),
    }
}

/// Notes which blocks began and ended.
fn note_changes(before: &Verdict, after: &Verdict, actions: &mut Vec<Action>) {
    let by_signatures = |verdict: &Verdict| -> HashMap<Vec<Signature>, Block> {
        let blocks = verdict.blocks.iter();
        blocks
            .map(|block| (block.signatures.clone(), block.clone()))
            .collect()
    };
    let (before, after) = (by_signatures(before), by_signatures(after));
    for (signatures, block) in &after {
        if !before.contains_key(signatures) {
            actions.push(Action::Note(Note::Blocked(block.clone())));
        }
    }
    for signatures in before.keys().filter(|known| !after.contains_key(*known)) {
        actions.push(Action::Note(Note::Released {
            signatures: signatures.clone(),
        }));
    }
}
