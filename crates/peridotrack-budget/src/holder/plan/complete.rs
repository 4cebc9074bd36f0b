//! Completion of a plan that has taken effect, and restoration of one that may not have.

use super::{LocalRow, Plan};
use crate::{
    action::Action,
    holder::{Holder, Status},
    message::Message,
};

impl Holder {
    /// Applies a plan that has taken effect: credits grants, serves token requests and reports
    /// new memberships.
    pub(in crate::holder) fn complete(&mut self, now_us: u64, shard: u32, plan: Plan) {
        let state = &mut self.shards[shard as usize];
        if plan.is_member {
            state.member_version = state.version;
        }
        let (version, gone) = (state.version, state.gone.clone());
        if plan.is_leaving {
            self.close_accounts(shard);
        } else {
            for local in plan.local_rows {
                self.complete_local_row(now_us, local);
            }
        }
        for to in plan.joins {
            let message = Message::Joined {
                shard,
                version,
                gone: gone.clone(),
            };
            self.actions.push(Action::Send { to, message });
            self.serve_joined(now_us, shard, to);
        }
        let state = &self.shards[shard as usize];
        if self.is_closing && state.is_member() && self.reservations.is_empty() {
            self.schedule_call(shard, now_us);
        }
    }

    pub(super) fn close_accounts(&mut self, shard: u32) {
        let state = &mut self.shards[shard as usize];
        state.member_version = 0;
        for index in &state.accounts {
            if let Some(active) = self.accounts[*index as usize].active.as_mut() {
                active.status = Status::Closed;
            }
        }
    }

    fn complete_local_row(&mut self, now_us: u64, local: LocalRow) {
        self.credit(local.index, local.granted_tokens, local.returned_tokens);
        let account = &mut self.accounts[local.index as usize];
        let purchased_tokens = account.purchased_tokens;
        if let Some(active) = account.active.as_mut() {
            active.record_left(
                now_us,
                local.totals.left_tokens,
                purchased_tokens,
                &self.options,
            );
            active.ledger_totals = local.totals;
            active.rows.clone_from(&local.rows);
            active.set_low_water(now_us, &self.options);
        }
        self.serve_requests(now_us, local.index, None);
        let active = self.accounts[local.index as usize].active.as_deref();
        // Demand that was added after the plan gets its own draw next.
        if local.was_draw_wanted && active.is_some_and(|active| !active.is_draw_wanted) {
            self.after_draw(now_us, local.index, local.rows, local.others);
        }
    }

    /// Restores the wanted draws and joins of a plan that had, or may have had, no effect.
    pub(in crate::holder) fn restore(&mut self, shard: u32, plan: Plan) {
        for local in plan.local_rows {
            if let Some(active) = self.accounts[local.index as usize].active.as_mut() {
                active.is_draw_wanted |= local.was_draw_wanted;
            }
        }
        self.shards[shard as usize].joins.extend(plan.joins);
    }
}
