//! Closes released rows, and folds finished rows into the closed spend of their budget.
//!
//! Holders do this with every update that acknowledges a gone holder or leaves a shard, and a
//! release does it too.

use std::collections::BTreeMap;

use peridotrack_types::id;

use super::{Entry, Member, Row, Shard, TransferTotals, Transfers};

type Members = BTreeMap<id::Incarnation, Member>;

impl Shard {
    /// Folds every budget. Moves the members that are gone to `departed` once they have nothing
    /// unfinished in any budget and every live member has acknowledged them.
    pub fn fold(&mut self) {
        for entry in self.entries.values_mut() {
            entry.fold(&self.members);
        }
        let gone = self.gone();
        let has_unfinished = |entry: &Entry| gone.iter().any(|id| entry.is_unfinished(*id));
        let is_acknowledged = gone
            .iter()
            .all(|id| self.members.values().all(|member| !member.is_awaited(*id)));
        if !is_acknowledged || self.entries.values().any(has_unfinished) {
            return;
        }
        self.members.retain(|id, _| !gone.contains(id));
        gone.iter().for_each(|id| self.add_departed(*id));
        for member in self.members.values_mut() {
            if let Member::Live { acknowledged } = member {
                acknowledged.clear();
            }
        }
        for entry in self.entries.values_mut() {
            entry.fold(&self.members);
        }
    }
}

impl Entry {
    /// Closes released rows that wait for no member, and folds closed rows whose counterparties
    /// are all closed into the closed spend. The row of a member stays, to show that the member
    /// was released.
    pub fn fold(&mut self, members: &Members) {
        self.close_released(members);
        self.drop_closed_pairs(members);
        let foldable: Vec<id::Incarnation> = self
            .rows
            .iter()
            .filter(|(id, row)| row.is_finished() && !members.contains_key(id))
            .map(|(id, _)| *id)
            .collect();
        for id in foldable {
            if let Some(row) = self.rows.remove(&id) {
                self.closed_tokens += row.settled_tokens();
            }
        }
    }

    /// Returns whether the released row of `gone` waits for `member`.
    pub(super) fn awaits(
        &self,
        members: &Members,
        gone: id::Incarnation,
        member: id::Incarnation,
    ) -> bool {
        match members.get(&member) {
            Some(live @ Member::Live { .. }) => live.is_awaited(gone),
            // No third holder knows the totals between two holders that are gone.
            Some(Member::Gone) => {
                let row = self.rows.get(&member);
                !matches!(row, Some(Row::Released { .. } | Row::Closed { .. }))
            }
            None => false,
        }
    }

    /// Returns whether a holder that is gone still has an unfinished row or totals in the budget.
    fn is_unfinished(&self, holder: id::Incarnation) -> bool {
        let is_counterparty = |row: &Row| row.totals_with(holder) != TransferTotals::default();
        self.rows.get(&holder).is_some_and(|row| !row.is_finished())
            || self.final_totals.contains_key(&holder)
            || self.rows.values().any(is_counterparty)
    }

    /// Closes the released rows once none of them waits for a member.
    ///
    /// They close together, since one holder may have spent what another sent, which only their
    /// stated spends show. If closing would raise the exposure, at least one stated spend is too
    /// high, because the open rows limited the spend; then all rows stay released.
    fn close_released(&mut self, members: &Members) {
        let is_released = |row: &Row| matches!(row, Row::Released { .. });
        let released: Vec<id::Incarnation> = self
            .rows
            .iter()
            .filter(|(_, row)| is_released(row))
            .map(|(id, _)| *id)
            .collect();
        let closed: Option<Vec<(id::Incarnation, Row)>> = released
            .iter()
            .map(|id| self.closing_row(members, *id).map(|row| (*id, row)))
            .collect();
        let Some(closed) = closed.filter(|closed| !closed.is_empty()) else {
            return;
        };
        let before = self.exposed_tokens();
        let mut after = self.clone();
        for (id, row) in closed {
            after.final_totals.remove(&id);
            after.rows.insert(id, row);
        }
        if after.exposed_tokens() <= before {
            *self = after;
        }
    }

    /// Returns the closed row for a released holder that waits for no member.
    ///
    /// Its totals are taken from the counterparties, since those of the holder itself are lost.
    fn closing_row(&self, members: &Members, gone: id::Incarnation) -> Option<Row> {
        let Some(Row::Released { spent_tokens, .. }) = self.rows.get(&gone) else {
            return None;
        };
        let is_awaited = |member: &id::Incarnation| self.awaits(members, gone, *member);
        if members.keys().any(|id| *id != gone && is_awaited(id)) {
            return None;
        }
        let mut totals = self.final_totals.get(&gone).cloned().unwrap_or_default();
        for (id, row) in &self.rows {
            if matches!(row, Row::Closed { .. }) {
                totals.insert(*id, row.totals_with(gone));
            }
        }
        // Released rows close together, so that transfers between them are not counted.
        totals.retain(|id, _| !matches!(self.rows.get(id), Some(Row::Released { .. })));
        let of = |tokens: fn(&TransferTotals) -> u64| -> Transfers {
            let pairs = totals.iter().map(|(id, totals)| (*id, tokens(totals)));
            pairs.filter(|(_, tokens)| *tokens > 0).collect()
        };
        Some(Row::Closed {
            settled_tokens: *spent_tokens,
            sent_tokens: of(|totals| totals.received_tokens),
            received_tokens: of(|totals| totals.sent_tokens),
        })
    }

    /// Drops the totals between two holders whose totals are final. Neither can spend any more,
    /// so that tokens lost in transfers between them are free again.
    ///
    /// A member without a row may still spend received tokens. A holder that is not a member and
    /// has no row has closed; it would have a row if it had received anything from an open
    /// holder.
    fn drop_closed_pairs(&mut self, members: &Members) {
        let closed: Vec<id::Incarnation> = self
            .rows
            .iter()
            .filter(|(_, row)| matches!(row, Row::Closed { .. }))
            .map(|(id, _)| *id)
            .collect();
        let rows: Vec<id::Incarnation> = self.rows.keys().copied().collect();
        let is_pending = |id: &id::Incarnation| match rows.binary_search(id) {
            Ok(_) => closed.binary_search(id).is_err(),
            Err(_) => members.contains_key(id),
        };
        for row in self.rows.values_mut() {
            if let Row::Closed {
                sent_tokens,
                received_tokens,
                ..
            } = row
            {
                sent_tokens.retain(|id, _| is_pending(id));
                received_tokens.retain(|id, _| is_pending(id));
            }
        }
    }
}

impl Row {
    /// Returns whether the row is closed and has no totals with an open counterparty.
    fn is_finished(&self) -> bool {
        match self {
            Self::Closed {
                sent_tokens,
                received_tokens,
                ..
            } => sent_tokens.is_empty() && received_tokens.is_empty(),
            Self::Open { .. } | Self::Released { .. } => false,
        }
    }
}
