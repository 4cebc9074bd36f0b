//! Planning of one conditional update, and what follows once it took effect.

use std::collections::BTreeMap;

use peridotrack_types::id;

use super::{Holder, Search, Status, account::Active, link::Wants};
use crate::{
    action::{Action, Note},
    ledger::{self, Acknowledgement, Entry, Row},
    message::{self, Message},
};

/// Divides what is left among the holders twice over, so that draws shrink near exhaustion.
const SHARE_DIVISOR: u64 = 2;

/// A planned update and what it means once it took effect.
#[derive(Debug, Default)]
pub(super) struct Plan {
    /// Whether there is anything to write.
    pub(super) is_changed: bool,
    own: Vec<OwnRow>,
    grants: BTreeMap<id::Incarnation, Vec<message::Grant>>,
    wants: Wants,
}

#[derive(Debug)]
struct OwnRow {
    index: u32,
    granted_tokens: u64,
    returned_tokens: u64,
    left_tokens: u64,
    holders: u32,
    was_wanting: bool,
    is_closing: bool,
    /// Open rows of others, the most idle first; only if waiting requests still lack tokens.
    candidates: Vec<id::Incarnation>,
}

/// Returns how much of a wanted draw is granted.
fn allowance(want_tokens: u64, need_tokens: u64, left_tokens: u64, holders: u32) -> u64 {
    let share = left_tokens / (SHARE_DIVISOR * u64::from(holders.max(1)));
    want_tokens.min(share.max(need_tokens)).min(left_tokens)
}

impl Holder {
    /// Takes in a shard body and edits it towards what this holder and its peers want.
    pub(super) fn plan(&mut self, now_us: u64, shard: u32, body: &mut ledger::Shard) -> Plan {
        let mut plan = Plan::default();
        for index in self.links[shard as usize].members.clone() {
            self.absorb_entry(index, body);
            self.plan_own(now_us, index, body, &mut plan);
        }
        plan.wants = std::mem::take(&mut self.links[shard as usize].wants);
        for (peer, wants) in std::mem::take(&mut plan.wants) {
            for want in &wants {
                self.plan_peer(peer, want, body, &mut plan);
            }
            plan.wants.insert(peer, wants);
        }
        plan
    }

    /// Credits what the ledger shows to be in force.
    fn absorb_entry(&mut self, index: u32, body: &ledger::Shard) {
        let account = &mut self.accounts[index as usize];
        let Some(active) = account.active.as_mut() else {
            return;
        };
        let entry = body.entries.get(&account.budget);
        let row = entry.and_then(|entry| entry.rows.get(&self.id));
        match (row, active.status) {
            (
                Some(&Row::Open {
                    granted_tokens,
                    returned_tokens,
                    ..
                }),
                Status::Unlisted | Status::Listed,
            ) => {
                active.status = Status::Listed;
                self.credit(index, granted_tokens, returned_tokens);
            }
            (Some(Row::Released { .. } | Row::Closed { .. }), Status::Unlisted)
            | (None | Some(Row::Released { .. } | Row::Closed { .. }), Status::Listed) => {
                self.stop(index);
            }
            (None, Status::Unlisted) | (_, Status::Stopped | Status::Closed) => {}
        }
    }

    fn stop(&mut self, index: u32) {
        let account = &mut self.accounts[index as usize];
        if let Some(active) = account.active.as_mut() {
            active.status = Status::Stopped;
            active.calls.clear();
            self.wake = true;
            self.out.push(Action::Note(Note::Stopped {
                budget: account.budget.clone(),
            }));
        }
    }

    /// Credits the granted total of the own row.
    pub(super) fn credit(&mut self, index: u32, granted_tokens: u64, returned_tokens: u64) {
        let account = &mut self.accounts[index as usize];
        let Some(active) = account.active.as_mut() else {
            return;
        };
        active.returned_written_tokens = active.returned_written_tokens.max(returned_tokens);
        let tokens = granted_tokens.saturating_sub(active.granted_tokens);
        if tokens == 0 {
            return;
        }
        active.granted_tokens = granted_tokens;
        if active.demand_tokens > 0 && active.available_tokens() >= active.largest_demand_tokens {
            active.search = Search::None;
            self.wake = true;
        }
        self.out.push(Action::Note(Note::Drawn {
            budget: account.budget.clone(),
            tokens,
        }));
    }

    fn plan_own(&mut self, now_us: u64, index: u32, body: &mut ledger::Shard, plan: &mut Plan) {
        let account = &mut self.accounts[index as usize];
        let Some(active) = account.active.as_mut() else {
            return;
        };
        if !matches!(active.status, Status::Unlisted | Status::Listed) {
            return;
        }
        let was_wanting = std::mem::take(&mut active.is_wanting) && !self.is_closing;
        if active.status == Status::Unlisted && !was_wanting {
            return;
        }
        let budget = &account.budget;
        let earlier = body.entries.get(budget).cloned();
        let mut entry = earlier.clone().unwrap_or_default();
        let mut is_changed = entry.configure(self.config_version, account.purchased_tokens);
        let mut own = OwnRow::new(index, was_wanting);
        if self.is_closing && active.reserved_tokens == 0 {
            own.is_closing = true;
            entry.rows.insert(self.id, active.closed_row());
            entry.fold();
            is_changed = true;
        } else {
            is_changed |= acknowledge(active, self.id, &mut entry);
            active.give_back(entry.excess_tokens());
            if self.is_closing {
                active.give_back(u64::MAX);
            }
            let want_tokens = match was_wanting {
                true => active.want_tokens(now_us, &self.options),
                false => 0,
            };
            is_changed |= draw(active, self.id, want_tokens, &mut entry, &mut own);
            entry.fold();
        }
        own.note_entry(self.id, active, &entry);
        if let Err(violation) = entry.check_update(budget, &earlier.unwrap_or_default()) {
            let shard = account.shard;
            self.out
                .push(Action::Note(Note::InvariantViolation { shard, violation }));
            return;
        }
        body.entries.insert(budget.clone(), entry);
        plan.is_changed |= is_changed;
        plan.own.push(own);
    }

    /// Raises the row of a peer whose draws this holder merges.
    fn plan_peer(
        &mut self,
        peer: id::Incarnation,
        want: &message::Want,
        body: &mut ledger::Shard,
        plan: &mut Plan,
    ) {
        let Some(entry) = body.entries.get_mut(&want.budget) else {
            return;
        };
        if let Some(&index) = self.index.get(&want.budget) {
            let purchased_tokens = self.accounts[index as usize].purchased_tokens;
            plan.is_changed |= entry.configure(self.config_version, purchased_tokens);
        }
        plan.is_changed |= entry.report(peer, want);
        let left_tokens = entry.left_tokens();
        let Some(granted_before) = entry.granted_tokens(peer) else {
            return;
        };
        let lacking = want.want_granted_tokens.saturating_sub(granted_before);
        let limit = allowance(lacking, want.need_tokens, left_tokens, entry.holders());
        let granted_tokens = entry
            .apply_draw(peer, want.want_granted_tokens, limit)
            .unwrap_or(granted_before);
        plan.is_changed |= granted_tokens > granted_before;
        plan.grants.entry(peer).or_default().push(message::Grant {
            budget: want.budget.clone(),
            granted_tokens,
            returned_tokens: want.returned_tokens,
            left_tokens: entry.left_tokens(),
            holders: entry.holders(),
        });
    }

    /// Acts on a plan that is in force.
    pub(super) fn complete(&mut self, now_us: u64, shard: u32, plan: Plan) {
        for own in plan.own {
            self.complete_own(now_us, own);
        }
        let version = self.links[shard as usize].version;
        for (to, grants) in plan.grants {
            let message = Message::Drawn {
                shard,
                version,
                grants,
            };
            self.out.push(Action::Send { to, message });
        }
    }

    fn complete_own(&mut self, now_us: u64, own: OwnRow) {
        let account = &mut self.accounts[own.index as usize];
        let Some(active) = account.active.as_mut() else {
            return;
        };
        if own.is_closing {
            active.status = Status::Closed;
            return;
        }
        active.status = Status::Listed;
        self.note_left(now_us, own.index, own.left_tokens, own.holders);
        self.credit(own.index, own.granted_tokens, own.returned_tokens);
        self.after_draw(now_us, own.index, own.candidates);
    }

    /// Remembers what is left, and sets the level at which the next draw is due.
    pub(super) fn note_left(&mut self, now_us: u64, index: u32, left_tokens: u64, holders: u32) {
        let options = &self.options;
        let Some(active) = self.accounts[index as usize].active.as_mut() else {
            return;
        };
        active.left_tokens = left_tokens;
        active.holders = holders;
        let target = active
            .target_tokens(now_us, options)
            .max(options.draw_floor_tokens);
        let share = left_tokens / (SHARE_DIVISOR * u64::from(holders.max(1)));
        active.low_water_tokens = target.min(share) / 2;
    }

    /// Takes back a plan that had, or may have had, no effect.
    pub(super) fn restore(&mut self, shard: u32, plan: Plan) {
        for own in plan.own {
            if let Some(active) = self.accounts[own.index as usize].active.as_mut() {
                active.is_wanting |= own.was_wanting;
            }
        }
        let link = &mut self.links[shard as usize];
        for (peer, wants) in plan.wants {
            link.wants.entry(peer).or_insert(wants);
        }
    }
}

impl OwnRow {
    fn new(index: u32, was_wanting: bool) -> Self {
        Self {
            index,
            granted_tokens: 0,
            returned_tokens: 0,
            left_tokens: 0,
            holders: 0,
            was_wanting,
            is_closing: false,
            candidates: Vec::new(),
        }
    }

    fn note_entry(&mut self, holder: id::Incarnation, active: &mut Active, entry: &Entry) {
        self.returned_tokens = active.returned_tokens;
        self.left_tokens = entry.left_tokens();
        self.holders = entry.holders();
        active.is_over_exposed = entry.excess_tokens() > 0;
        let drawn = self.granted_tokens.saturating_sub(active.granted_tokens);
        if active.need_tokens() <= drawn {
            return;
        }
        let mut idle: Vec<(u64, id::Incarnation)> = entry
            .rows
            .iter()
            .filter(|(id, row)| **id != holder && row.is_open())
            .map(|(id, row)| (row.idle_tokens(), *id))
            .collect();
        idle.sort_unstable_by(|a, b| b.cmp(a));
        self.candidates = idle.into_iter().map(|(_, id)| id).collect();
    }
}

/// Fixes the totals with every released holder; returns whether any was new.
fn acknowledge(active: &mut Active, holder: id::Incarnation, entry: &mut Entry) -> bool {
    let gone = entry.unacknowledged(holder);
    for id in &gone {
        let transfer = active.transfers.entry(*id).or_default();
        transfer.is_final = true;
        let totals = Acknowledgement {
            sent_tokens: transfer.sent_tokens,
            received_tokens: transfer.received_tokens,
        };
        active.calls.remove(id);
        entry.acknowledge(*id, holder, totals);
    }
    !gone.is_empty()
}

/// Writes the own row with a raised grant; returns whether the row changed in force.
fn draw(
    active: &Active,
    holder: id::Incarnation,
    want_tokens: u64,
    entry: &mut Entry,
    own: &mut OwnRow,
) -> bool {
    let before = entry.rows.get(&holder).cloned();
    let granted_before = entry.granted_tokens(holder).unwrap_or(0);
    entry.rows.insert(holder, active.open_row(granted_before));
    let (left_tokens, holders) = (entry.left_tokens(), entry.holders());
    let limit = allowance(want_tokens, active.need_tokens(), left_tokens, holders);
    own.granted_tokens = entry
        .apply_draw(holder, granted_before + want_tokens, limit)
        .unwrap_or(granted_before);
    let returned_before = before.as_ref().map_or(0, Row::returned_tokens);
    before.is_none()
        || own.granted_tokens > granted_before
        || active.returned_tokens > returned_before
}

/// Reports of peers
impl Entry {
    /// Takes over the reported totals of an open row; returns whether more was returned.
    fn report(&mut self, holder: id::Incarnation, want: &message::Want) -> bool {
        let Some(Row::Open {
            returned_tokens,
            settled_tokens,
            reserved_tokens,
            ..
        }) = self.rows.get_mut(&holder)
        else {
            return false;
        };
        let is_more = want.returned_tokens > *returned_tokens;
        *returned_tokens = want.returned_tokens.max(*returned_tokens);
        *settled_tokens = want.settled_tokens.max(*settled_tokens);
        *reserved_tokens = want.reserved_tokens;
        is_more
    }

    /// Returns the granted total of an open row.
    fn granted_tokens(&self, holder: id::Incarnation) -> Option<u64> {
        match self.rows.get(&holder)? {
            Row::Open { granted_tokens, .. } => Some(*granted_tokens),
            Row::Released { .. } | Row::Closed { .. } => None,
        }
    }
}
