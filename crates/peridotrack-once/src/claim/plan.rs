//! Computes the next content of a head and the decisions on the requests that wait for it.
//!
//! A [`Plan`] is a pure function of the cached head, the waiting requests and the pending row
//! changes; the shard carries it out.

use std::collections::{BTreeMap, BTreeSet};

use peridotrack_types::{id, problem};

use super::{Decision, Options, ages};
use crate::{digest, shard_object};

/// A request that waits for its claim to be decided.
#[derive(Debug, Clone)]
pub(super) struct WaitingRequest {
    pub(super) request_id: id::Request,
    pub(super) key: digest::Digest,
    pub(super) request_digest: digest::Digest,
    pub(super) nonce: u64,
    pub(super) deadline_us: u64,
    pub(super) timeout_ms: u64,
    /// Sequences of the pages that were read and do not contain the key.
    pub(super) searched_pages: BTreeSet<u64>,
    /// Highest version expected by a write of this row whose outcome is unknown.
    pub(super) unknown_write_version: Option<u64>,
}

/// A change of a row that waits to be written: an outcome, or the removal of the row.
#[derive(Debug, Clone)]
pub(super) struct RowChange {
    pub(super) key: digest::Digest,
    pub(super) nonce: u64,
    /// New state; `None` removes the row.
    pub(super) state: Option<shard_object::State>,
    /// See [`WaitingRequest::unknown_write_version`].
    pub(super) unknown_write_version: Option<u64>,
}

/// The next step of a shard.
#[derive(Debug, Default)]
pub(super) struct Plan {
    /// Next content of the head; equal to the stored one if `is_changed` is false.
    pub(super) head: shard_object::ShardObject,
    pub(super) is_changed: bool,
    /// Requests whose rows are added by writing `head`.
    pub(super) claimed: Vec<id::Request>,
    /// Requests whose changes are recorded by writing `head`.
    pub(super) applied: Vec<id::Request>,
    /// Requests whose changes need no write.
    pub(super) obsolete: Vec<id::Request>,
    /// Requests whose response arrived after their row was sealed as unknown.
    pub(super) late_outcomes: Vec<id::Request>,
    /// Decisions that need no write.
    pub(super) decisions: Vec<(id::Request, Decision)>,
    /// Sequence of a page that has to be read before some request can be decided.
    pub(super) page_to_read: Option<u64>,
}

/// Parameters of a plan.
pub(super) struct Inputs<'a> {
    pub(super) now_us: u64,
    pub(super) options: &'a Options,
    pub(super) ages: &'a ages::Ages,
    /// Version of the stored head that the plan starts from; 0 if there is none.
    pub(super) version: u64,
}

impl Plan {
    /// Computes a plan from `head`, whose `seal` must be unset; `is_changed` states whether it
    /// already differs from the stored head.
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

    /// Applies a row change; returns false if the head is full and the change has to wait.
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
                // The write with the unknown outcome may still take effect. Any write that moves
                // the head past the version it expects prevents that.
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

    /// Decides on a waiting request, or adds its row to the head if the key is free.
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

    /// Adds the row of a key that is not in the head, unless a page may contain the key or the
    /// head is too large.
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

    /// Starts a seal of the settled rows, or enters the next epoch if there are none, when the
    /// epoch has ended or the rows are large enough for a page.
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

    /// Returns the change that removes the row of this request, or prevents a write with unknown
    /// outcome from storing it later.
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
    /// Estimates the length of the response body to record, in bytes.
    pub(super) fn kept_bytes(&self) -> usize {
        match &self.state {
            Some(shard_object::State::Responded(response)) => response.body.encoded_bytes(),
            Some(shard_object::State::Claimed | shard_object::State::Unknown) | None => 0,
        }
    }
}

/// Decides on a request whose key is already claimed by another request.
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
        shard_object::State::Responded(response) => match response.body.bytes() {
            Some(body) => Decision::Replay {
                status: response.status,
                content_type: response.content_type.clone(),
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
