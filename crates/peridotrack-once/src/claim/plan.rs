//! What a head's next content is, and what follows for the requests that wait for it.

use std::collections::{BTreeMap, BTreeSet};

use peridotrack_types::{id, problem};

use super::{Decision, Options, ages};
use crate::{digest, shard_object};

/// A request that waits for its claim.
#[derive(Debug, Clone)]
pub(super) struct WaitingRequest {
    pub(super) request_id: id::Request,
    pub(super) key: digest::Digest,
    pub(super) request_digest: digest::Digest,
    pub(super) nonce: u64,
    pub(super) deadline_us: u64,
    pub(super) timeout_ms: u64,
    /// Pages that were read and do not hold the key.
    pub(super) searched_pages: BTreeSet<u64>,
    /// Highest version expected by a write of the row whose outcome is unknown.
    pub(super) unknown_write_version: Option<u64>,
}

/// An outcome that waits to be recorded.
#[derive(Debug, Clone)]
pub(super) struct RowChange {
    pub(super) key: digest::Digest,
    pub(super) nonce: u64,
    /// New state; `None` removes the row.
    pub(super) state: Option<shard_object::State>,
    /// See [`WaitingRequest::unknown_write_version`].
    pub(super) unknown_write_version: Option<u64>,
}

/// The next step for a shard.
#[derive(Debug, Default)]
pub(super) struct Plan {
    /// Next content of the head; equal to the current one if `is_changed` is false.
    pub(super) head: shard_object::ShardObject,
    pub(super) is_changed: bool,
    /// Requests whose rows are in `head` but not yet durable.
    pub(super) claimed: Vec<id::Request>,
    /// Changes that are recorded once `head` is written.
    pub(super) applied: Vec<id::Request>,
    /// Changes that need no write.
    pub(super) obsolete: Vec<id::Request>,
    /// Answers that came after their row was sealed as unknown.
    pub(super) late_outcomes: Vec<id::Request>,
    pub(super) decisions: Vec<(id::Request, Decision)>,
    /// A page that has to be read before some claim can be made.
    pub(super) page_to_read: Option<u64>,
}

/// The state that a plan is made from.
pub(super) struct Inputs<'a> {
    pub(super) now_us: u64,
    pub(super) options: &'a Options,
    pub(super) ages: &'a ages::Ages,
    /// Version of the head that `head` derives from; 0 if the head does not exist.
    pub(super) version: u64,
}

impl Plan {
    /// Plans from `head`, which must not be sealing; `is_changed` tells whether it already
    /// differs from what is stored.
    pub(super) fn new(
        inputs: &Inputs<'_>,
        head: shard_object::ShardObject,
        is_changed: bool,
        waiting: &[WaitingRequest],
        changes: &BTreeMap<id::Request, RowChange>,
    ) -> Self {
        let mut plan = Self {
            head,
            is_changed,
            ..Self::default()
        };
        for (request_id, change) in changes {
            if !plan.apply(inputs, *request_id, change) {
                break;
            }
        }
        for request in waiting {
            plan.plan_claim(inputs, request);
        }
        if plan.is_changed {
            plan.begin_seal(inputs);
        }
        plan
    }

    /// Applies a change; returns whether there is room for more.
    fn apply(&mut self, inputs: &Inputs<'_>, request_id: id::Request, change: &RowChange) -> bool {
        let is_full = self.head.rows_bytes() >= 2 * inputs.options.page_bytes;
        if is_full && !self.applied.is_empty() {
            return false;
        }
        let row = self.head.rows.get_mut(&change.key);
        let row = row.filter(|row| row.is_owned_by(request_id, change.nonce));
        match (row, &change.state) {
            (Some(row), Some(state)) => row.state = state.clone(),
            (Some(_), None) => {
                self.head.rows.remove(&change.key);
            }
            (None, _) if change.unknown_write_version >= Some(inputs.version) => {
                // The doubtful write may still take effect. Any write that moves the version
                // past the one it expects rules that out.
            }
            (None, state) => {
                if let Some(shard_object::State::Responded(_)) = state {
                    self.late_outcomes.push(request_id);
                }
                self.obsolete.push(request_id);
                return true;
            }
        }
        self.is_changed = true;
        self.applied.push(request_id);
        true
    }

    /// Finds the decision for a waiting request, or puts its row into the head.
    fn plan_claim(&mut self, inputs: &Inputs<'_>, request: &WaitingRequest) {
        let Some(row) = self.head.rows.get(&request.key) else {
            return self.claim_free_key(inputs, request);
        };
        let decision = if row.is_owned_by(request.request_id, request.nonce) {
            Decision::Granted
        } else {
            decide_claimed_key(inputs, row, request.request_digest)
        };
        self.decisions.push((request.request_id, decision));
    }

    fn claim_free_key(&mut self, inputs: &Inputs<'_>, request: &WaitingRequest) {
        let pages = self.head.pages.iter().rev();
        let mut pages = pages.filter(|page| page.keys.may_contain(&request.key));
        let unread = pages.find(|page| !request.searched_pages.contains(&page.sequence));
        if let Some(page) = unread {
            self.page_to_read = Some(page.sequence);
            return;
        }
        if self.head.encoded_bytes() >= inputs.options.head_bytes {
            let kind = problem::Kind::ClaimUnavailable;
            let retry_after_ms = Some(inputs.options.in_progress_retry_ms);
            let decision = Decision::Refuse {
                kind,
                retry_after_ms,
            };
            self.decisions.push((request.request_id, decision));
            return;
        }
        self.head.rows.insert(request.key, request.row());
        self.claimed.push(request.request_id);
        self.is_changed = true;
    }

    /// Begins to seal the settled rows, or enters the next epoch, if either is due.
    fn begin_seal(&mut self, inputs: &Inputs<'_>) {
        let epoch_ends = inputs.ages.epoch_age_us(self.head.epoch, inputs.now_us)
            >= Some(inputs.options.epoch_us);
        let is_large = self.head.rows_bytes() >= inputs.options.page_bytes;
        if !epoch_ends && !is_large {
            return;
        }
        for row in self.head.rows.values_mut() {
            if inputs
                .ages
                .is_claimant_lost(row, inputs.now_us, inputs.options)
            {
                row.state = shard_object::State::Unknown;
            }
        }
        let next_epoch = self.head.epoch + u64::from(epoch_ends);
        if self.head.rows.values().any(|row| row.state.is_settled()) {
            self.head.seal = Some(shard_object::Seal { next_epoch });
        } else {
            let retained_epochs = inputs.options.retained_epochs;
            self.head.enter_epoch(next_epoch, retained_epochs);
        }
    }
}

impl WaitingRequest {
    fn row(&self) -> shard_object::Row {
        shard_object::Row {
            request_digest: self.request_digest,
            nonce: self.nonce,
            incarnation: self.request_id.incarnation,
            request_id: self.request_id,
            timeout_ms: self.timeout_ms,
            state: shard_object::State::Claimed,
        }
    }

    /// Returns the change that makes sure that the row of this request is not there.
    pub(super) fn removal(&self, unknown_write_version: Option<u64>) -> RowChange {
        RowChange {
            key: self.key,
            nonce: self.nonce,
            state: None,
            unknown_write_version: unknown_write_version.max(self.unknown_write_version),
        }
    }
}

impl RowChange {
    pub(super) fn kept_bytes(&self) -> usize {
        match &self.state {
            Some(shard_object::State::Responded(answer)) => answer.body.encoded_bytes(),
            Some(shard_object::State::Claimed | shard_object::State::Unknown) | None => 0,
        }
    }
}

/// Decides on a request whose key is claimed by another request.
pub(super) fn decide_claimed_key(
    inputs: &Inputs<'_>,
    row: &shard_object::Row,
    request_digest: digest::Digest,
) -> Decision {
    let refuse = |kind, retry_after_ms| Decision::Refuse {
        kind,
        retry_after_ms,
    };
    if row.request_digest != request_digest {
        return refuse(problem::Kind::KeyConflict, None);
    }
    match &row.state {
        shard_object::State::Responded(answer) => match answer.body.bytes() {
            Some(body) => Decision::Replay {
                status: answer.status,
                content_type: answer.content_type.clone(),
                body,
            },
            None => refuse(problem::Kind::OutcomeUnknown, None),
        },
        shard_object::State::Unknown => refuse(problem::Kind::OutcomeUnknown, None),
        shard_object::State::Claimed => match inputs.ages.remaining_us(row, inputs.now_us) {
            0 => refuse(problem::Kind::OutcomeUnknown, None),
            remaining_us => {
                let retry_after_ms = remaining_us
                    .div_ceil(1_000)
                    .min(inputs.options.in_progress_retry_ms);
                refuse(problem::Kind::InProgress, Some(retry_after_ms))
            }
        },
    }
}
