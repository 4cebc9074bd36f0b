//! Release of dead holders and folding of closed rows.

use std::collections::BTreeMap;

use peridotrack_types::id;

use super::{Acknowledgement, Entry, ReleaseError, Row, Transfers};

impl Entry {
    /// Releases the row of a holder whose VM is gone; see [`super::Shard::release`].
    pub fn release(
        &mut self,
        holder: id::Incarnation,
        spent_tokens: u64,
    ) -> Result<(), ReleaseError> {
        let all: i64 = self.rows.values().map(Row::exposed_tokens).sum();
        let all_exposed_tokens = u64::try_from(all).unwrap_or(0);
        let row = self
            .rows
            .get_mut(&holder)
            .ok_or(ReleaseError::UnknownHolder { holder })?;
        let Row::Open { settled_tokens, .. } = *row else {
            return Err(ReleaseError::NotOpen { holder });
        };
        let exposed_tokens = row.exposed_tokens();
        if spent_tokens < settled_tokens {
            return Err(ReleaseError::BelowSettled {
                spent_tokens,
                settled_tokens,
            });
        }
        if spent_tokens > all_exposed_tokens {
            return Err(ReleaseError::AboveExposure {
                spent_tokens,
                exposed_tokens: all_exposed_tokens,
            });
        }
        *row = Row::Released {
            exposed_tokens,
            spent_tokens,
            acknowledged: BTreeMap::new(),
        };
        self.fold();
        Ok(())
    }

    /// Returns the released holders that `holder` has yet to acknowledge.
    pub fn unacknowledged(&self, holder: id::Incarnation) -> Vec<id::Incarnation> {
        let lacks = |row: &Row| match row {
            Row::Released { acknowledged, .. } => !acknowledged.contains_key(&holder),
            Row::Open { .. } | Row::Closed { .. } => false,
        };
        self.rows
            .iter()
            .filter(|(id, row)| **id != holder && lacks(row))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Records the final totals of `holder` with the released holder `gone`.
    pub fn acknowledge(
        &mut self,
        gone: id::Incarnation,
        holder: id::Incarnation,
        totals: Acknowledgement,
    ) {
        if let Some(Row::Released { acknowledged, .. }) = self.rows.get_mut(&gone) {
            acknowledged.entry(holder).or_insert(totals);
        }
    }

    /// Closes released rows that every open holder acknowledged, and folds closed rows whose
    /// counterparties are all closed into the closed spend.
    pub fn fold(&mut self) {
        self.close_released();
        self.drop_closed_pairs();
        let foldable: Vec<id::Incarnation> = self
            .rows
            .iter()
            .filter(|(_, row)| is_foldable(row))
            .map(|(id, _)| *id)
            .collect();
        for id in foldable {
            if let Some(row) = self.rows.remove(&id) {
                self.closed_tokens += row.settled_tokens();
            }
        }
    }

    /// Closes the released rows that can be, unless their stated spends would then raise the
    /// exposure: the open rows bounded it, so that at least one of them is overstated.
    fn close_released(&mut self) {
        let closed: Vec<(id::Incarnation, Row)> = self
            .rows
            .keys()
            .filter_map(|id| self.closed_form(*id).map(|row| (*id, row)))
            .collect();
        let mut rows = self.rows.clone();
        rows.extend(closed);
        let exposed: i64 = rows.values().map(Row::exposed_tokens).sum();
        let before: i64 = self.rows.values().map(Row::exposed_tokens).sum();
        if exposed <= before {
            self.rows = rows;
        }
    }

    /// Returns the closed row of a released holder, if every open holder acknowledged it.
    ///
    /// The totals come from the counterparties, since the holder took its own with it.
    fn closed_form(&self, gone: id::Incarnation) -> Option<Row> {
        let Some(Row::Released {
            spent_tokens,
            acknowledged,
            ..
        }) = self.rows.get(&gone)
        else {
            return None;
        };
        let mut sent_tokens = Transfers::new();
        let mut received_tokens = Transfers::new();
        for (id, row) in self.rows.iter().filter(|(id, _)| **id != gone) {
            let totals = match row {
                Row::Open { .. } => *acknowledged.get(id)?,
                Row::Closed { .. } => row.totals_with(gone),
                Row::Released { .. } => Acknowledgement::default(),
            };
            if totals.received_tokens > 0 {
                sent_tokens.insert(*id, totals.received_tokens);
            }
            if totals.sent_tokens > 0 {
                received_tokens.insert(*id, totals.sent_tokens);
            }
        }
        Some(Row::Closed {
            settled_tokens: *spent_tokens,
            sent_tokens,
            received_tokens,
        })
    }

    /// Drops the totals between two rows that are both final: neither can spend any more, so
    /// that what was lost on the way between them is free again.
    fn drop_closed_pairs(&mut self) {
        let pending: Vec<id::Incarnation> = self
            .rows
            .iter()
            .filter(|(_, row)| !matches!(row, Row::Closed { .. }))
            .map(|(id, _)| *id)
            .collect();
        for row in self.rows.values_mut() {
            if let Row::Closed {
                sent_tokens,
                received_tokens,
                ..
            } = row
            {
                sent_tokens.retain(|id, _| pending.binary_search(id).is_ok());
                received_tokens.retain(|id, _| pending.binary_search(id).is_ok());
            }
        }
    }
}

fn is_foldable(row: &Row) -> bool {
    match row {
        Row::Closed {
            sent_tokens,
            received_tokens,
            ..
        } => sent_tokens.is_empty() && received_tokens.is_empty(),
        Row::Open { .. } | Row::Released { .. } => false,
    }
}
