//! What follows a planned update, in force or not.

use super::{OwnRow, Plan};
use crate::{
    action::Action,
    holder::{Holder, Status},
    message::Message,
};

impl Holder {
    /// Acts on a plan that is in force.
    pub(in crate::holder) fn complete(&mut self, now_us: u64, shard: u32, plan: Plan) {
        let link = &mut self.links[shard as usize];
        if plan.is_member {
            link.member_version = link.version;
        }
        let (version, gone) = (link.version, link.gone.clone());
        if plan.is_leaving {
            self.close_members(shard);
        } else {
            for own in plan.own {
                self.complete_own(now_us, own);
            }
        }
        for to in plan.joins {
            let message = Message::Joined {
                shard,
                version,
                gone: gone.clone(),
            };
            self.out.push(Action::Send { to, message });
            self.admit(now_us, shard, to);
        }
        let link = &self.links[shard as usize];
        if self.is_closing && link.is_member() && self.reservations.is_empty() {
            self.call_by(shard, now_us);
        }
    }

    pub(super) fn close_members(&mut self, shard: u32) {
        let link = &mut self.links[shard as usize];
        link.member_version = 0;
        for index in &link.members {
            if let Some(active) = self.accounts[*index as usize].active.as_mut() {
                active.status = Status::Closed;
            }
        }
    }

    fn complete_own(&mut self, now_us: u64, own: OwnRow) {
        self.credit(own.index, own.granted_tokens, own.returned_tokens);
        let account = &mut self.accounts[own.index as usize];
        let purchased_tokens = account.purchased_tokens;
        if let Some(active) = account.active.as_mut() {
            active.note_left(own.left_tokens, purchased_tokens, &self.options);
            active.rows.clone_from(&own.rows);
            active.set_low_water(now_us, &self.options);
        }
        self.serve_calls(now_us, own.index, None);
        let active = self.accounts[own.index as usize].active.as_deref();
        // Demand that came after the plan is drawn for next.
        if own.was_wanting && active.is_some_and(|active| !active.is_wanting) {
            self.after_draw(now_us, own.index, own.rows, own.others);
        }
    }

    /// Takes back a plan that had, or may have had, no effect.
    pub(in crate::holder) fn restore(&mut self, shard: u32, plan: Plan) {
        for own in plan.own {
            if let Some(active) = self.accounts[own.index as usize].active.as_mut() {
                active.is_wanting |= own.was_wanting;
            }
        }
        self.links[shard as usize].joins.extend(plan.joins);
    }
}
