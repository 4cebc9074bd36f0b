//! Merged draws: one holder of a failure domain writes the draws of all its peers.
//!
//! This is performance alone: any holder may draw directly, and opens its own row so.

use peridotrack_types::id;

use super::{Holder, Status, link::Asked};
use crate::{
    action::{Action, Note},
    message::{self, Message},
};

/// Draws that requests wait for are merged over a shorter time.
const URGENT_DIVISOR: u64 = 10;

impl Holder {
    /// Sends the due draws of a shard to its drawer; returns whether that was possible.
    pub(super) fn ask_drawer(&mut self, now_us: u64, shard: u32) -> bool {
        let Some(drawer) = self.drawer(now_us, shard) else {
            return false;
        };
        let members = self.links[shard as usize].members.clone();
        let wanting = |index: &u32| {
            let active = self.accounts[*index as usize].active.as_deref();
            active.filter(|active| {
                active.is_wanting || active.returned_tokens > active.returned_written_tokens
            })
        };
        let accounts: Vec<u32> = members
            .into_iter()
            .filter(|i| wanting(i).is_some())
            .collect();
        let is_listed =
            |index: &u32| wanting(index).is_some_and(|active| active.status == Status::Listed);
        if accounts.is_empty() || !accounts.iter().all(is_listed) {
            return false;
        }
        let wants = accounts
            .iter()
            .filter_map(|i| self.want(now_us, *i))
            .collect();
        for index in &accounts {
            if let Some(active) = self.accounts[*index as usize].active.as_mut() {
                active.is_wanting = false;
            }
        }
        let link = &mut self.links[shard as usize];
        link.due_us = None;
        link.asked = Some(Asked {
            drawer,
            until_us: now_us + self.options.drawer_timeout_us,
            accounts,
        });
        let message = Message::Draw { shard, wants };
        self.out.push(Action::Send {
            to: drawer,
            message,
        });
        true
    }

    /// Returns the drawer of a shard, unless it is this holder.
    fn drawer(&self, now_us: u64, shard: u32) -> Option<id::Incarnation> {
        let candidates: Vec<id::Incarnation> = self
            .peers
            .iter()
            .copied()
            .filter(|peer| !self.is_suspect(now_us, *peer))
            .chain([self.id])
            .collect();
        message::drawer(shard, &candidates).filter(|drawer| *drawer != self.id)
    }

    pub(super) fn is_suspect(&self, now_us: u64, peer: id::Incarnation) -> bool {
        self.suspects
            .get(&peer)
            .is_some_and(|until_us| *until_us > now_us)
    }

    fn want(&self, now_us: u64, index: u32) -> Option<message::Want> {
        let account = &self.accounts[index as usize];
        let active = account.active.as_deref()?;
        let lacking = match active.is_wanting {
            true => active.want_tokens(now_us, &self.options),
            false => 0,
        };
        Some(message::Want {
            budget: account.budget.clone(),
            want_granted_tokens: active.granted_tokens + lacking,
            need_tokens: active.need_tokens(),
            returned_tokens: active.returned_tokens,
            settled_tokens: active.settled_tokens,
            reserved_tokens: active.reserved_tokens,
        })
    }

    /// Draws directly after the drawer did not answer in time.
    pub(super) fn expire_drawer(&mut self, now_us: u64, shard: u32) {
        let link = &mut self.links[shard as usize];
        let Some(asked) = link.asked.take_if(|asked| asked.until_us <= now_us) else {
            return;
        };
        let until_us = now_us + self.options.drawer_retry_us;
        self.suspects.insert(asked.drawer, until_us);
        self.out.push(Action::Note(Note::DrawerPassedOver {
            shard,
            drawer: asked.drawer,
        }));
        self.draw_directly(now_us, shard, &asked);
    }

    pub(super) fn draw_directly(&mut self, now_us: u64, shard: u32, asked: &Asked) {
        for index in &asked.accounts {
            if let Some(active) = self.accounts[*index as usize].active.as_mut() {
                active.is_wanting = true;
            }
        }
        self.call_directly(now_us, shard);
    }

    /// Collects the draws of a peer.
    pub(super) fn on_draw(
        &mut self,
        now_us: u64,
        from: id::Incarnation,
        shard: u32,
        wants: Vec<message::Want>,
    ) {
        if self.is_closing || shard as usize >= self.links.len() {
            return;
        }
        let is_urgent = wants.iter().any(|want| want.need_tokens > 0);
        let delay_us = match is_urgent {
            true => self.options.merge_us / URGENT_DIVISOR,
            false => self.options.merge_us,
        };
        let link = &mut self.links[shard as usize];
        link.is_direct = true;
        let known = link.wants.entry(from).or_default();
        known.retain(|old| wants.iter().all(|new| new.budget != old.budget));
        known.extend(wants);
        self.call_by(shard, now_us + delay_us);
    }

    /// Credits grants that the drawer put in force.
    pub(super) fn on_drawn(
        &mut self,
        now_us: u64,
        from: id::Incarnation,
        shard: u32,
        version: u64,
        grants: Vec<message::Grant>,
    ) {
        let Some(link) = self.links.get_mut(shard as usize) else {
            return;
        };
        let asked = link.asked.take_if(|asked| asked.drawer == from);
        if version < link.version {
            // Older than what is known already; it proves nothing.
            if let Some(asked) = asked {
                self.draw_directly(now_us, shard, &asked);
            }
            return;
        }
        link.version = version;
        for grant in grants {
            self.on_grant(now_us, &grant);
        }
    }

    fn on_grant(&mut self, now_us: u64, grant: &message::Grant) {
        let Some(&index) = self.index.get(&grant.budget) else {
            return;
        };
        let account = &mut self.accounts[index as usize];
        let shard = account.shard;
        let Some(active) = account.active.as_mut() else {
            return;
        };
        if active.status != Status::Listed {
            return;
        }
        self.note_left(now_us, index, grant.left_tokens, grant.holders);
        self.credit(index, grant.granted_tokens, grant.returned_tokens);
        let Some(active) = self.accounts[index as usize].active.as_mut() else {
            return;
        };
        if active.need_tokens() > 0 {
            // The rows of the other holders show whom to ask.
            active.is_wanting = true;
            self.call_directly(now_us, shard);
        }
    }
}
