//! The quarantine state machine and its entry points.
//!
//! An attempt that breaks is kept in `pending` until its server is known to have ended, which makes
//! it a crash in `statements`. `publication` makes these known to the others. Each change of the
//! statements leads to a new `verdict`; `probe` and `recheck` decide which of the requests that it
//! concerns are sent nevertheless.

use peridotrack_types::name;

use crate::{
    event::{Action, Event, Note, Now, Refusal, Trial},
    options::Options,
    pending::{Attempt, Pending},
    probe::Probes,
    publication::Publication,
    recheck::{Claim, Outcome, Rechecks},
    run::Run,
    signature::Signature,
    statement::{Crash, Statement},
    statements::Statements,
    tally::Tally,
    verdict::{self, Block, Crashes, Verdict},
};

/// Collects what routers state about crashes, and decides which requests are refused.
#[derive(Debug)]
pub struct Quarantine {
    options: Options,
    statements: Statements,
    publication: Publication,
    /// Broken attempts whose server may have ended.
    pending: Pending,
    /// Crashes that count; derived from the statements.
    tally: Tally,
    verdict: Verdict,
    probes: Probes,
    rechecks: Rechecks,
    /// Time of day from which on noticed crashes count, in milliseconds since the Unix epoch.
    oldest_ms: u64,
    /// When aged crashes are removed next.
    expire_us: u64,
}

/// Constructors.
impl Quarantine {
    /// Returns a quarantine without statements for the router on `vm`.
    pub fn new(vm: name::Vm, options: Options) -> Self {
        Self {
            options,
            statements: Statements::new(vm),
            publication: Publication::new(),
            pending: Pending::default(),
            tally: Tally::default(),
            verdict: Verdict::default(),
            probes: Probes::default(),
            rechecks: Rechecks::default(),
            oldest_ms: 0,
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
        if let Some(block) = self.verdict.blocks_of(signatures).find(is_refused) {
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
                .may_send(now, self.statements.vm(), signature, &self.options)
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
        for block in self.verdict.blocks_of(signatures) {
            self.rechecks.begin(now.monotonic_us, block, &self.options);
        }
        let depth = |signature| self.tally.get(signature).map_or(0, |known| known.depth);
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
            let crashes = self.statements.crashes(*signature, self.oldest_ms);
            let is_unexplained = |server: &Run| !self.verdict.explained.contains(server);
            let unexplained = crashes.iter().filter(|(server, _)| is_unexplained(server));
            let mut reports = unexplained.map(|(_, report)| report);
            match signature {
                Signature::Part(_) => {
                    reports.all(|report| report.depth < self.options.part_no_retry_depth)
                }
                Signature::Request(_) => reports.count() < self.options.request_no_retry_servers,
            }
        };
        let is_undecided = self.undecided(signatures).next().is_some();
        let is_blocked = self.verdict.blocks_of(signatures).next().is_some();
        !is_blocked && !is_undecided && signatures.iter().all(is_allowed)
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
            Event::Written => self.publication.on_written(),
            Event::WriteFailed => {
                self.publication
                    .on_write_failed(now.monotonic_us, &self.options);
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
            if !self.tally.is_empty() {
                self.expire(now, actions);
            }
        }
        let own = self.statements.own();
        if self.publication.take_send(now.monotonic_us) {
            actions.push(Action::Send(own.clone()));
        }
        if self.publication.take_write(now.monotonic_us, own) {
            actions.push(Action::Write(own.clone()));
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
        let suspected = |signature: &&Signature| self.tally.get(signature).is_some();
        for signature in signatures.iter().filter(suspected) {
            is_changed = true;
            self.statements.clear(signature);
        }
        if is_changed {
            self.statements.trim_clearances(self.options.max_entries);
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
        if author == *self.statements.vm() {
            return self.on_own_stored(now, statement, actions);
        }
        if !self.statements.replace(author, statement) {
            return;
        }
        if self.statements.drop_settled() {
            self.statements.raise_sequence(now.wall_ms);
            self.publication
                .schedule_settled(now.monotonic_us, &self.options);
        }
        self.rejudge(now, actions);
    }

    /// Adopts what an earlier incarnation on this VM stated.
    fn on_own_stored(&mut self, now: Now, stored: Statement, actions: &mut Vec<Action>) {
        if !self.statements.continue_sequence(stored.sequence) {
            return;
        }
        self.publication.on_stored(stored.clone());
        for crash in stored.crashes {
            self.add_crash(crash);
        }
        for clearance in stored.clearances {
            self.statements.add_clearance(clearance);
        }
        self.change(now, actions);
    }
}

/// What follows from changed statements.
impl Quarantine {
    /// Adds a crash to this router's statement. Crashes count as evidence if a block rests on them,
    /// and by the number of them that is known under the signature.
    fn add_crash(&mut self, crash: Crash) {
        let evidence = |signature: &Signature, own: usize| {
            let mut blocks = self.verdict.blocks.iter();
            let is_proof = blocks.any(|block| block.signatures.contains(signature));
            let stated = self.tally.get(signature).map_or(0, |known| known.crashes);
            (is_proof, stated.max(own))
        };
        self.statements
            .add_crash(crash, self.options.max_entries, evidence);
    }

    /// Publishes this router's changed statement.
    fn change(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.statements.raise_sequence(now.wall_ms);
        self.publication.schedule(now.monotonic_us, &self.options);
        self.rejudge(now, actions);
    }

    fn expire(&mut self, now: Now, actions: &mut Vec<Action>) {
        let oldest_ms = self.oldest_ms(now);
        if self.statements.expire(oldest_ms) {
            self.change(now, actions);
        } else {
            self.rejudge(now, actions);
        }
    }

    fn oldest_ms(&self, now: Now) -> u64 {
        let next_ms = now.wall_ms.saturating_add(1);
        next_ms.saturating_sub(self.options.crash_age_ms)
    }

    /// Derives the crashes that count and the verdict from the statements, as far as these changed.
    fn rejudge(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.oldest_ms = self.oldest_ms(now);
        let judged_servers = self.options.judged_servers();
        let mut is_changed = false;
        for signature in self.statements.take_touched() {
            let crashes = self.statements.crashes(signature, self.oldest_ms);
            let now_us = now.monotonic_us;
            is_changed |= self
                .tally
                .update(now_us, signature, crashes, judged_servers);
        }
        if !is_changed {
            return;
        }
        let verdict = verdict::judge(self.tally.suspects(), &self.options);
        note_changes(&self.verdict, &verdict, actions);
        self.verdict = verdict;
        self.probes.retain(&self.verdict.undecided);
        self.rechecks.update(&self.verdict.blocks, |signature| {
            let known = self.tally.get(signature);
            known.map_or(0, |known| known.crashed_us)
        });
    }
}

/// Notes which blocks began and ended.
fn note_changes(before: &Verdict, after: &Verdict, actions: &mut Vec<Action>) {
    let has = |verdict: &Verdict, wanted: &Block| {
        let mut blocks = verdict.blocks.iter();
        blocks.any(|block| block.signatures == wanted.signatures)
    };
    for block in after.blocks.iter().filter(|block| !has(before, block)) {
        actions.push(Action::Note(Note::Blocked(block.clone())));
    }
    for block in before.blocks.iter().filter(|block| !has(after, block)) {
        actions.push(Action::Note(Note::Released {
            signatures: block.signatures.clone(),
        }));
    }
}
