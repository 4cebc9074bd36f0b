//! Handles the store's replies to the calls of one shard.
//!
//! A reply updates the cached head, the waiting requests and the row changes of the [`Shard`], or
//! starts a backoff. [`super::Claims`] then lets the shard make its next call.

use super::{
    Action, Decision, Note,
    plan::{self, WaitingRequest},
    shard::{CachedHead, Call, Context, HeadWrite, Shard},
};
use crate::shard_object;

/// Result of a store call; see [`super::Event`] for the variants.
pub(super) enum Reply {
    Read {
        version: u64,
        body: shard_object::ShardObject,
    },
    Absent,
    ReadFailed,
    Written {
        version: u64,
    },
    Conflict,
    WriteUnknown,
    WriteRefused {
        retry_after_us: u64,
    },
}

impl Shard {
    /// Handles the reply to the pending call; `page` is the sequence of the page that it concerns,
    /// or `None` for the head. A reply that does not match the pending call is ignored.
    pub(super) fn on_reply(&mut self, context: &mut Context<'_>, page: Option<u64>, reply: Reply) {
        let call = std::mem::replace(&mut self.call, Call::Idle);
        match (call, page, reply) {
            (Call::ReadHead, None, Reply::Read { version, body }) => {
                self.on_head_read(context, version, body);
            }
            (Call::ReadHead, None, Reply::Absent) => {
                self.on_head_read(context, 0, shard_object::ShardObject::default());
            }
            (Call::ReadPage { sequence }, Some(page), Reply::Read { body, .. })
                if sequence == page =>
            {
                self.attempts = 0;
                self.on_page_read(context, sequence, &body);
            }
            // The read was stale, or the page was dropped after the head was read.
            (Call::ReadPage { sequence }, Some(page), Reply::Absent) if sequence == page => {
                self.retry_read(context);
            }
            (
                Call::ReadHead | Call::ReadPage { .. },
                _,
                Reply::ReadFailed | Reply::WriteRefused { .. },
            ) => self.retry_read(context),
            (
                Call::CreatePage { sequence },
                Some(page),
                Reply::Written { .. } | Reply::Conflict,
            ) if sequence == page => {
                // Every router derives the same page, so an existing page has the same content.
                self.attempts = 0;
                self.created_page = Some(sequence);
                let object = self.page_object(sequence);
                context.actions.push(Action::Note(Note::Sealed { object }));
            }
            (Call::CreatePage { .. }, Some(_), Reply::WriteUnknown) => self.back_off(context, 0),
            (Call::CreatePage { .. }, Some(_), Reply::WriteRefused { retry_after_us }) => {
                self.back_off(context, retry_after_us);
            }
            (Call::WriteHead(write), None, Reply::Written { version }) => {
                self.on_head_written(context, write, version);
            }
            (Call::WriteHead(_), None, Reply::Conflict) => {
                let object = self.object.clone();
                context
                    .actions
                    .push(Action::Note(Note::Conflict { object }));
                self.cached = None;
                self.back_off_conflict(context);
            }
            (Call::WriteHead(write), None, Reply::WriteUnknown) => {
                let object = self.object.clone();
                context
                    .actions
                    .push(Action::Note(Note::WriteUnknown { object }));
                self.mark_outcome_unknown(&write);
                self.retry_read(context);
            }
            (Call::WriteHead(_), None, Reply::WriteRefused { retry_after_us }) => {
                self.cached = None;
                self.back_off(context, retry_after_us);
            }
            (call, _, _) => self.call = call,
        }
    }

    /// Caches a head that was read, unless it is older than one seen before.
    fn on_head_read(
        &mut self,
        context: &mut Context<'_>,
        version: u64,
        head: shard_object::ShardObject,
    ) {
        if version < self.highest_version {
            return self.retry_read(context);
        }
        self.cache_head(context, version, head);
    }

    fn cache_head(
        &mut self,
        context: &mut Context<'_>,
        version: u64,
        head: shard_object::ShardObject,
    ) {
        self.highest_version = version;
        self.ages.observe(&head, context.now_us);
        self.cached = Some(CachedHead {
            version,
            head,
            since_us: context.now_us,
        });
    }

    /// Decides on the waiting requests whose key is in the page, and marks the page as searched
    /// for the others.
    fn on_page_read(
        &mut self,
        context: &mut Context<'_>,
        sequence: u64,
        page: &shard_object::ShardObject,
    ) {
        let inputs = plan::Inputs {
            now_us: context.now_us,
            options: context.options,
            ages: &self.ages,
            version: self.highest_version,
        };
        let mut decisions = Vec::new();
        for request in &mut self.waiting {
            match page.rows.get(&request.key) {
                Some(row) => {
                    let decision = plan::decide_claimed_key(&inputs, row, request.request_digest);
                    decisions.push((request.request_id, decision));
                }
                None => {
                    request.searched_pages.insert(sequence);
                }
            }
        }
        for (request_id, decision) in decisions {
            self.decide(context, request_id, decision);
        }
    }

    /// Completes the changes and grants the claims of a head write that took effect.
    fn on_head_written(&mut self, context: &mut Context<'_>, write: HeadWrite, version: u64) {
        self.attempts = 0;
        for request_id in &write.applied {
            self.changes.remove(request_id);
        }
        let is_granted = |request: &WaitingRequest| write.claimed.contains(&request.request_id);
        let granted = self.waiting.extract_if(.., |request| is_granted(request));
        for request in granted {
            context.actions.push(Action::Decide {
                request_id: request.request_id,
                decision: Decision::Granted,
            });
        }
        for sequence in write.dropped_pages {
            let object = self.page_object(sequence);
            context.actions.push(Action::Remove { object });
        }
        self.claims_due_us = context.now_us + context.options.claim_window_us;
        self.changes_due_us = context.now_us + context.options.outcome_window_us;
        self.cache_head(context, version, write.head);
    }

    /// Marks the requests whose rows `write` may have added, or may still add.
    fn mark_outcome_unknown(&mut self, write: &HeadWrite) {
        for request in &mut self.waiting {
            if write.claimed.contains(&request.request_id) {
                let unknown_write_version = Some(write.expected_version);
                request.unknown_write_version =
                    request.unknown_write_version.max(unknown_write_version);
            }
        }
    }

    /// Drops the cached head, so that it is read again after a backoff.
    fn retry_read(&mut self, context: &mut Context<'_>) {
        self.cached = None;
        self.back_off(context, 0);
    }
}

/// Parses an object name into the shard and, unless it is the head, the sequence of the page.
pub(super) fn parse_object(object: &str) -> Option<(u32, Option<u64>)> {
    let rest = object.strip_prefix("claims/")?;
    match rest.split_once('/') {
        Some((shard, page)) => Some((shard.parse().ok()?, Some(page.parse().ok()?))),
        None => Some((rest.parse().ok()?, None)),
    }
}
