//! State of one budget at a holder: its grant, transfers, demand and search.

use std::collections::BTreeMap;

use peridotrack_types::{id, name};
use serde::{Deserialize, Serialize};

use super::{rate::Rate, search::Search};
use crate::{ledger, message::Reach, options::Options};

/// A configured budget and, once it is used, its state.
#[derive(Debug)]
pub(super) struct Account {
    pub(super) budget: name::Budget,
    pub(super) shard: u32,
    pub(super) purchased_tokens: u64,
    /// `None` until the budget is first used.
    pub(super) active: Option<Box<Active>>,
}

/// State of the local row in the ledger.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// The ledger has no local row yet.
    #[default]
    Unlisted,
    /// The local row is open.
    Listed,
    /// The local row is no longer open, as after an operator's release; nothing more is spent.
    Stopped,
    /// The holder closed the local row when it shut down.
    Closed,
}

/// Transfer totals with one other holder, and the schedule of retransmissions to it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Transfer {
    pub(super) sent_tokens: u64,
    pub(super) acknowledged_tokens: u64,
    pub(super) received_tokens: u64,
    /// Tokens available at the counterparty: what it stated in its last request, with the
    /// transfers since.
    pub(super) counterparty_tokens: u64,
    pub(super) repeat_at_us: u64,
    pub(super) repeat_delay_us: u64,
}

/// A token request of another holder that could not be satisfied at once.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingRequest {
    pub(super) need_tokens: u64,
    pub(super) reach: Reach,
    pub(super) until_us: u64,
    /// The requester still waits for a reply.
    pub(super) is_deferred: bool,
    /// The requester is not yet a member of the shard.
    pub(super) is_joining: bool,
}

/// State of a budget in use.
#[derive(Debug, Default)]
pub(super) struct Active {
    pub(super) status: Status,
    pub(super) granted_tokens: u64,
    pub(super) returned_tokens: u64,
    /// Part of `returned_tokens` that the ledger is known to contain.
    pub(super) returned_written_tokens: u64,
    pub(super) settled_tokens: u64,
    pub(super) reserved_tokens: u64,
    pub(super) sent_tokens: u64,
    pub(super) received_tokens: u64,
    pub(super) transfers: BTreeMap<id::Incarnation, Transfer>,
    /// Unsatisfied token requests by requester; a later request replaces an earlier one.
    pub(super) pending_requests: BTreeMap<id::Incarnation, PendingRequest>,
    /// Rate of spend by this holder.
    pub(super) rate: Rate,
    /// Rate of transfers to other holders.
    pub(super) transfer_rate: Rate,
    pub(super) last_use_us: u64,
    /// Available tokens below which a draw is due.
    pub(super) low_water_tokens: u64,
    /// The next write of the shard is to include a draw.
    pub(super) is_draw_wanted: bool,
    /// This holder was the coordinator when the budget was last inspected.
    pub(super) is_coordinator: bool,
    /// Tokens were requested from the coordinator before the buffer was used up.
    pub(super) has_requested_ahead: bool,
    /// Tokens of reservations that were refused as waiting since the last wake.
    pub(super) demand_tokens: u64,
    /// Largest of those reservations.
    pub(super) largest_demand_tokens: u64,
    pub(super) search: Search,
    /// Number of times that [`Options::exhausted_us`] was doubled.
    pub(super) exhausted_doublings: u32,
    /// Tokens left to draw when the ledger was last read.
    pub(super) left_tokens: u64,
    /// When `left_tokens` was read, in microseconds.
    pub(super) left_read_us: u64,
    /// Totals of the budget when the ledger was last read.
    pub(super) ledger_totals: ledger::Totals,
    /// Whether few tokens are left, see [`Options::scarce_part`].
    pub(super) is_scarce: bool,
    /// Other holders with an open row when the ledger was last read, those with the most idle
    /// tokens first.
    pub(super) rows: Vec<id::Incarnation>,
    /// Tokens available at the live peers, as far as they were exchanged with this holder.
    pub(super) peer_tokens: u64,
    /// The ledger exposes more than was purchased, because the budget was lowered.
    pub(super) is_over_exposed: bool,
}

impl Active {
    /// Returns the tokens that may be reserved, returned or transferred.
    pub(super) fn available_tokens(&self) -> u64 {
        if matches!(self.status, Status::Stopped | Status::Closed) {
            return 0;
        }
        (self.granted_tokens + self.received_tokens).saturating_sub(
            self.returned_tokens + self.sent_tokens + self.settled_tokens + self.reserved_tokens,
        )
    }

    /// Returns the tokens to hold at the current rates of spend and transfers.
    pub(super) fn target_tokens(&self, now_us: u64, options: &Options) -> u64 {
        let span_us = match (self.is_scarce, self.is_coordinator) {
            (true, false) => 0,
            (true, true) => options.scarce_span_us,
            (false, _) => options.grant_span_us,
        };
        self.tokens_over(now_us, options, span_us)
    }

    /// Returns the mean tokens that this holder spends and transfers in a span.
    pub(super) fn mean_tokens_over(&self, now_us: u64, options: &Options, span_us: u64) -> u64 {
        let local = self.rate.mean_over(now_us, options, span_us);
        (local + self.transfer_rate.mean_over(now_us, options, span_us)) as u64
    }

    /// Returns the tokens that this holder spends and transfers in a span at the current rates, with
    /// the deviations of [`Options::grant_deviations`].
    pub(super) fn tokens_over(&self, now_us: u64, options: &Options, span_us: u64) -> u64 {
        if span_us == 0 {
            return 0;
        }
        let deviations = options.grant_deviations;
        let local_tokens = self.rate.bound_over(now_us, options, span_us, deviations);
        let give_span_us = span_us.min(options.give_span_us);
        local_tokens + self.transfer_rate.mean_over(now_us, options, give_span_us) as u64
    }

    /// Returns the tokens that waiting reservations and token requests lack.
    pub(super) fn need_tokens(&self) -> u64 {
        (self.demand_tokens + self.requested_tokens()).saturating_sub(self.available_tokens())
    }

    /// Returns the tokens that other holders wait for.
    pub(super) fn requested_tokens(&self) -> u64 {
        let deferred = self
            .pending_requests
            .values()
            .filter(|pending| pending.is_deferred);
        deferred.map(|pending| pending.need_tokens).sum()
    }

    /// Returns the tokens to hold of those that the coordinator provides, at the current rate of
    /// spend.
    pub(super) fn buffer_tokens(&self, now_us: u64, options: &Options) -> u64 {
        if self.is_scarce {
            return 0;
        }
        let deviations = options.grant_deviations;
        self.rate
            .bound_over(now_us, options, options.buffer_span_us, deviations)
    }

    /// Returns the tokens to draw with a given portion of those left, see
    /// [`Options::share_divisor`], before the limit that applies near exhaustion.
    pub(super) fn want_tokens(&self, now_us: u64, options: &Options, portion_tokens: u64) -> u64 {
        let ahead_tokens = self.full_tokens(now_us, options, portion_tokens);
        (ahead_tokens + self.demand_tokens + self.requested_tokens())
            .saturating_sub(self.available_tokens())
    }

    /// Returns the available tokens that a draw aims for: the target, but at least
    /// [`Options::draw_floor_tokens`] while the budget is not scarce, and at most what
    /// [`Options::hold_portions`] allows.
    pub(super) fn full_tokens(&self, now_us: u64, options: &Options, portion_tokens: u64) -> u64 {
        if self.is_scarce {
            return self.target_tokens(now_us, options);
        }
        let full_tokens = self
            .target_tokens(now_us, options)
            .max(options.draw_floor_tokens);
        match self.limit_tokens(now_us, options, portion_tokens) {
            Some(limit_tokens) => full_tokens.min(limit_tokens),
            None => full_tokens,
        }
    }

    /// Records the tokens left in the ledger and updates whether the budget is scarce.
    pub(super) fn record_left(
        &mut self,
        now_us: u64,
        left_tokens: u64,
        purchased_tokens: u64,
        options: &Options,
    ) {
        self.left_tokens = left_tokens;
        self.left_read_us = now_us;
        let part = match self.is_scarce {
            true => options.plenty_part,
            false => options.scarce_part,
        };
        self.is_scarce = (left_tokens as f64) < part * purchased_tokens as f64;
    }

    /// Deducts tokens that the next write returns to the ledger.
    pub(super) fn return_tokens(&mut self, tokens: u64) {
        self.returned_tokens += tokens.min(self.available_tokens());
    }

    /// Returns the closed row with the final totals.
    pub(super) fn closed_row(&self) -> ledger::Row {
        let totals = |of: fn(&Transfer) -> u64| -> ledger::Transfers {
            self.transfers
                .iter()
                .map(|(id, transfer)| (*id, of(transfer)))
                .filter(|(_, tokens)| *tokens > 0)
                .collect()
        };
        ledger::Row::Closed {
            settled_tokens: self.settled_tokens,
            sent_tokens: totals(|transfer| transfer.sent_tokens),
            received_tokens: totals(|transfer| transfer.received_tokens),
        }
    }

    /// Returns an open row with the current totals and a given grant.
    pub(super) fn open_row(&self, granted_tokens: u64) -> ledger::Row {
        ledger::Row::Open {
            granted_tokens,
            returned_tokens: self.returned_tokens,
            settled_tokens: self.settled_tokens,
            reserved_tokens: self.reserved_tokens,
        }
    }
}
