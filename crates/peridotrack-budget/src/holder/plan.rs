//! Plans one conditional update of a shard: applies what the ledger shows, then edits the
//! contents.
//!
//! The plan is completed once the write has taken effect, or restored for another attempt; see
//! `complete`.

use std::collections::BTreeSet;

use peridotrack_types::id;

use super::{
    Holder, Status,
    account::{Account, Active},
    limit,
};
use crate::{
    action::{Action, Note},
    ledger::{self, Entry, Member, Row, TransferTotals},
    options::Options,
};

mod complete;

/// A planned update and what follows once it has taken effect.
#[derive(Debug, Default)]
pub(super) struct Plan {
    /// Whether there is anything to write.
    pub(super) is_changed: bool,
    /// Whether this holder is a member of the shard after the update.
    is_member: bool,
    /// Whether this holder leaves the shard for good and closes its rows.
    is_leaving: bool,
    local_rows: Vec<LocalRow>,
    joins: BTreeSet<id::Incarnation>,
}

#[derive(Debug, Default)]
struct LocalRow {
    index: u32,
    granted_tokens: u64,
    returned_tokens: u64,
    /// Totals of the budget after the update.
    totals: ledger::Totals,
    was_draw_wanted: bool,
    /// Holders to request tokens from if some are still lacking: first `rows`, which have an open
    /// row, the most idle first; then `others`, to which holders with closed rows sent tokens.
    rows: Vec<id::Incarnation>,
    others: BTreeSet<id::Incarnation>,
}

/// Application of the ledger's contents.
impl Holder {
    /// Applies the contents of a shard and edits them to what this holder and its peers want.
    pub(super) fn plan(
        &mut self,
        now_us: u64,
        shard: u32,
        body: &mut ledger::Shard,
        plan: &mut Plan,
    ) {
        self.apply_membership(shard, body);
        let accounts = self.shards[shard as usize].accounts.clone();
        for &index in &accounts {
            self.apply_entry(index, body);
        }
        if self.shards[shard as usize].is_gone {
            return;
        }
        self.plan_joins(shard, body, plan);
        plan.is_changed |= self.acknowledge(shard, body);
        plan.is_leaving = self.may_leave(shard);
        for &index in &accounts {
            self.plan_local_row(now_us, index, body, plan);
        }
        if plan.is_leaving {
            plan.is_changed = true;
            body.leave(self.id);
        }
    }

    fn apply_membership(&mut self, shard: u32, body: &ledger::Shard) {
        let state = &mut self.shards[shard as usize];
        let was_member = state.is_member();
        match body.members.get(&self.id) {
            Some(Member::Live { .. }) => state.member_version = state.version,
            Some(Member::Gone) => state.is_gone = true,
            None if self.is_closing => {
                return self.close_accounts(shard);
            }
            None => state.is_gone |= was_member,
        }
        if state.is_gone {
            for index in state.accounts.clone() {
                self.stop(index);
            }
        }
    }

    /// Applies one entry: credits the grant that the ledger shows, or stops if the local row is
    /// closed.
    fn apply_entry(&mut self, index: u32, body: &ledger::Shard) {
        let account = &self.accounts[index as usize];
        let Some(active) = account.active.as_deref() else {
            return;
        };
        let Some(entry) = body.entries.get(&account.budget) else {
            return;
        };
        if !matches!(active.status, Status::Unlisted | Status::Listed) {
            return;
        }
        match entry.rows.get(&self.id) {
            Some(&Row::Open {
                granted_tokens,
                returned_tokens,
                ..
            }) => {
                self.apply_final_totals(index, body);
                self.credit(index, granted_tokens, returned_tokens);
            }
            Some(Row::Released { .. } | Row::Closed { .. }) => self.stop(index),
            None if active.status == Status::Listed => self.stop(index),
            None => self.apply_final_totals(index, body),
        }
    }

    /// Applies the final totals of counterparties that closed.
    ///
    /// A closed row shows what its holder sent and received. A counterparty that is not a member
    /// and has no row has closed without receiving anything: otherwise its row would wait for
    /// this holder.
    fn apply_final_totals(&mut self, index: u32, body: &ledger::Shard) {
        let account = &mut self.accounts[index as usize];
        let state = &self.shards[account.shard as usize];
        let (Some(active), Some(entry)) =
            (account.active.as_mut(), body.entries.get(&account.budget))
        else {
            return;
        };
        let mut transfers = std::mem::take(&mut active.transfers);
        for (id, row) in &entry.rows {
            if row.totals_with(self.id).sent_tokens > 0 {
                transfers.entry(*id).or_default();
            }
        }
        for (id, transfer) in &mut transfers {
            let totals = match entry.rows.get(id) {
                Some(row @ Row::Closed { .. }) => row.totals_with(self.id),
                None if !body.members.contains_key(id) && !state.gone.contains(id) => {
                    TransferTotals {
                        sent_tokens: transfer.received_tokens,
                        received_tokens: 0,
                    }
                }
                Some(_) | None => continue,
            };
            let arrived = totals.sent_tokens.saturating_sub(transfer.received_tokens);
            let lost = transfer.sent_tokens.saturating_sub(totals.received_tokens);
            transfer.received_tokens += arrived;
            transfer.sent_tokens -= lost;
            active.received_tokens += arrived;
            active.sent_tokens -= lost;
        }
        active.transfers = transfers;
    }

    /// Stops spending from a budget and drops the token requests for it.
    pub(super) fn stop(&mut self, index: u32) {
        let account = &mut self.accounts[index as usize];
        let Some(active) = account.active.as_mut() else {
            return;
        };
        if matches!(active.status, Status::Stopped | Status::Closed) {
            return;
        }
        active.status = Status::Stopped;
        active.pending_requests.clear();
        self.wake = true;
        self.actions.push(Action::Note(Note::Stopped {
            budget: account.budget.clone(),
        }));
    }

    /// Credits the granted total of the local row.
    fn credit(&mut self, index: u32, granted_tokens: u64, returned_tokens: u64) {
        let account = &mut self.accounts[index as usize];
        let Some(active) = account.active.as_mut() else {
            return;
        };
        active.status = Status::Listed;
        let written_tokens = returned_tokens.saturating_sub(active.returned_written_tokens);
        if written_tokens > 0 {
            active.returned_written_tokens = returned_tokens;
            self.actions.push(Action::Note(Note::Returned {
                budget: account.budget.clone(),
                tokens: written_tokens,
            }));
        }
        let tokens = granted_tokens.saturating_sub(active.granted_tokens);
        if tokens == 0 {
            return;
        }
        active.granted_tokens = granted_tokens;
        self.actions.push(Action::Note(Note::Drawn {
            budget: account.budget.clone(),
            tokens,
        }));
    }
}

/// Edits of the shard contents.
impl Holder {
    /// Adds members: peers that requested tokens, and this holder if it wants to draw.
    fn plan_joins(&mut self, shard: u32, body: &mut ledger::Shard, plan: &mut Plan) {
        let state = &mut self.shards[shard as usize];
        plan.joins = std::mem::take(&mut state.joins);
        plan.joins.retain(|peer| self.peers.contains(peer));
        for peer in &plan.joins {
            plan.is_changed |= body.join(*peer);
        }
        plan.joins.retain(|peer| body.members.contains_key(peer));
        let accounts = &self.accounts;
        let is_draw_wanted = |index: &u32| {
            let active = accounts[*index as usize].active.as_deref();
            active.is_some_and(|active| active.is_draw_wanted)
        };
        if !self.is_closing && state.accounts.iter().any(is_draw_wanted) {
            plan.is_changed |= body.join(self.id);
            state.gone.extend(body.gone());
        }
        plan.is_member = body.members.contains_key(&self.id);
    }

    /// Writes the local totals with every holder that was declared gone, and acknowledges those
    /// holders; returns whether there was any.
    fn acknowledge(&mut self, shard: u32, body: &mut ledger::Shard) -> bool {
        let gone = body.unacknowledged(self.id);
        let state = &mut self.shards[shard as usize];
        for id in &gone {
            state.gone.insert(*id);
            for index in &state.accounts {
                let account = &mut self.accounts[*index as usize];
                let Some(active) = account.active.as_mut() else {
                    continue;
                };
                active.pending_requests.remove(id);
                if let Some(totals) = active.totals_with(*id) {
                    let entry = body.entries.entry(account.budget.clone()).or_default();
                    entry
                        .final_totals
                        .entry(*id)
                        .or_default()
                        .insert(self.id, totals);
                }
            }
            body.acknowledge(*id, self.id);
        }
        if !gone.is_empty() {
            body.fold();
        }
        !gone.is_empty()
    }

    /// Edits the local row of a budget: applies the configuration, then closes the row, or returns
    /// surplus tokens and draws.
    fn plan_local_row(
        &mut self,
        now_us: u64,
        index: u32,
        body: &mut ledger::Shard,
        plan: &mut Plan,
    ) {
        let account = &mut self.accounts[index as usize];
        let budget = account.budget.clone();
        let Some(active) = account.active.as_mut() else {
            return;
        };
        let was_draw_wanted = std::mem::take(&mut active.is_draw_wanted) && !self.is_closing;
        let may_close = plan.is_leaving;
        let needs_row = match active.status {
            Status::Unlisted => was_draw_wanted || (may_close && active.has_transfers()),
            Status::Listed => true,
            Status::Stopped | Status::Closed => false,
        };
        if !needs_row {
            return;
        }
        let earlier = body.entries.get(&budget).cloned();
        let mut entry = earlier.clone().unwrap_or_default();
        let mut local = LocalRow {
            index,
            was_draw_wanted,
            ..LocalRow::default()
        };
        let mut is_changed = entry.configure(self.config_version, account.purchased_tokens);
        if may_close {
            is_changed = true;
            entry.rows.insert(self.id, active.closed_row());
        } else {
            active.return_tokens(match self.is_closing {
                true => u64::MAX,
                // Surplus is deducted only here, so that a search before the write still finds
                // the tokens.
                false => entry
                    .excess_tokens()
                    .max(active.surplus_tokens(now_us, &self.options)),
            });
            is_changed |= draw(
                now_us,
                account,
                self.id,
                &self.options,
                &mut entry,
                &mut local,
            );
        }
        let account = &mut self.accounts[index as usize];
        local.record_entry(self.id, account, &entry);
        if let Err(violation) = entry.check_update(&budget, &earlier.unwrap_or_default()) {
            let shard = account.shard;
            self.actions
                .push(Action::Note(Note::InvariantViolation { shard, violation }));
            return;
        }
        body.entries.insert(budget, entry);
        plan.is_changed |= is_changed;
        plan.local_rows.push(local);
    }

    /// Returns whether this holder can close all its rows of a shard with one write.
    ///
    /// The rows close together with the membership, so that after a lost response the membership
    /// shows whether they did.
    fn may_leave(&self, shard: u32) -> bool {
        let may_close = |index: &u32| {
            let active = self.accounts[*index as usize].active.as_deref();
            active.is_none_or(|active| {
                active.reserved_tokens == 0 && active.status != Status::Stopped
            })
        };
        let state = &self.shards[shard as usize];
        self.is_closing && state.is_member() && state.accounts.iter().all(may_close)
    }
}

impl LocalRow {
    /// Records what is left in the entry and which holders may have tokens.
    fn record_entry(&mut self, holder: id::Incarnation, account: &mut Account, entry: &Entry) {
        let Some(active) = account.active.as_mut() else {
            return;
        };
        self.returned_tokens = active.returned_tokens;
        self.totals = entry.totals();
        active.is_over_exposed = entry.excess_tokens() > 0;
        let mut idle: Vec<(u64, id::Incarnation)> = Vec::new();
        for (id, row) in entry.rows.iter().filter(|(id, _)| **id != holder) {
            match row {
                Row::Open { .. } => idle.push((row.idle_tokens(), *id)),
                Row::Closed { sent_tokens, .. } => self.others.extend(sent_tokens.keys()),
                Row::Released { .. } => {}
            }
        }
        idle.sort_unstable_by(|a, b| b.cmp(a));
        self.rows = idle.into_iter().map(|(_, id)| id).collect();
    }
}

/// Puts the local row into the entry, with a higher grant if a draw is wanted.
///
/// Returns whether a write is needed: the row is new, or its grant or returns have risen.
fn draw(
    now_us: u64,
    account: &Account,
    holder: id::Incarnation,
    options: &Options,
    entry: &mut Entry,
    local: &mut LocalRow,
) -> bool {
    let Some(active) = account.active.as_deref() else {
        return false;
    };
    let before = entry.rows.get(&holder).cloned();
    let granted_before = before.as_ref().map_or(0, Row::granted_tokens);
    entry.rows.insert(holder, active.open_row(granted_before));
    let left_tokens = entry.left_tokens();
    let portion_tokens = limit::portion(left_tokens, u64::from(entry.holders()), options);
    let want_tokens = match local.was_draw_wanted {
        true => active.want_tokens(now_us, options, portion_tokens),
        false => 0,
    };
    let limit = want_tokens
        .min(portion_tokens.max(active.need_tokens()))
        .min(left_tokens);
    local.granted_tokens = entry
        .apply_draw(holder, granted_before + want_tokens, limit)
        .unwrap_or(granted_before);
    let returned_before = before.as_ref().map_or(0, Row::returned_tokens);
    before.is_none()
        || local.granted_tokens > granted_before
        || active.returned_tokens > returned_before
}

impl Active {
    /// Sets the number of available tokens below which the next draw is due.
    pub(super) fn set_low_water(&mut self, now_us: u64, options: &Options) {
        let portion_tokens = self.portion_tokens(options);
        let full = self.full_tokens(now_us, options, portion_tokens);
        let full = full.min(portion_tokens);
        self.low_water_tokens = (full as f64 * options.low_water_part) as u64;
    }

    fn has_transfers(&self) -> bool {
        self.transfers
            .values()
            .any(|transfer| transfer.sent_tokens + transfer.received_tokens > 0)
    }

    fn totals_with(&self, other: id::Incarnation) -> Option<TransferTotals> {
        let transfer = self.transfers.get(&other)?;
        let totals = TransferTotals {
            sent_tokens: transfer.sent_tokens,
            received_tokens: transfer.received_tokens,
        };
        (totals != TransferTotals::default()).then_some(totals)
    }
}
