//! Ledger shards: the invariant of updates, release of gone holders, and folding of closed rows.

use peridotrack_budget::ledger::{Entry, Member, ReleaseError, Row, Shard, Transfers, shard_of};
use peridotrack_types::{id, name};
use rstest::rstest;

const A: id::Incarnation = id::Incarnation(1);
const B: id::Incarnation = id::Incarnation(2);
const C: id::Incarnation = id::Incarnation(3);

fn budget() -> name::Budget {
    name::Budget::from("drafting")
}

fn open(granted_tokens: u64, settled_tokens: u64) -> Row {
    Row::Open {
        granted_tokens,
        returned_tokens: 0,
        settled_tokens,
        reserved_tokens: 0,
    }
}

fn closed(settled_tokens: u64, sent: &[(id::Incarnation, u64)]) -> Row {
    Row::Closed {
        settled_tokens,
        sent_tokens: sent.iter().copied().collect(),
        received_tokens: Transfers::new(),
    }
}

fn shard(purchased_tokens: u64, rows: &[(id::Incarnation, Row)]) -> Shard {
    let mut shard = Shard::empty();
    let entry = Entry {
        purchased_tokens,
        config_version: 1,
        rows: rows.iter().cloned().collect(),
        ..Entry::default()
    };
    for (id, row) in rows {
        if row.is_open() {
            shard.join(*id);
        }
    }
    shard.entries.insert(budget(), entry);
    shard
}

fn exposed(shard: &Shard) -> i64 {
    shard.entries[&budget()].exposed_tokens()
}

#[rstest]
#[case::within_purchased(shard(100, &[(A, open(60, 0))]), shard(100, &[(A, open(100, 0))]), true)]
#[case::beyond_purchased(shard(100, &[(A, open(60, 0))]), shard(100, &[(A, open(101, 0))]), false)]
#[case::lowered_and_kept(shard(100, &[(A, open(90, 0))]), shard(50, &[(A, open(90, 0))]), true)]
#[case::lowered_and_raised(shard(100, &[(A, open(90, 0))]), shard(50, &[(A, open(91, 0))]), false)]
#[case::second_holder(
    shard(100, &[(A, open(60, 0))]),
    shard(100, &[(A, open(60, 0)), (B, open(41, 0))]),
    false
)]
fn update_keeps_the_invariant(#[case] before: Shard, #[case] after: Shard, #[case] is_kept: bool) {
    assert_eq!(after.check_update(&before).is_ok(), is_kept);
}

#[test]
fn update_that_drops_closed_spend_is_rejected() {
    let mut before = shard(100, &[]);
    before.entries.get_mut(&budget()).unwrap().closed_tokens = 10;
    assert!(Shard::empty().check_update(&before).is_err());
}

#[test]
fn older_configuration_changes_nothing() {
    let mut entry = Entry::default();
    assert!(entry.configure(2, 100));
    assert!(!entry.configure(1, 500));
    assert_eq!(entry.purchased_tokens, 100);
}

#[rstest]
#[case::far(100, 60, 40)]
#[case::near_exhaustion(100, 150, 100)]
#[case::behind(0, 60, 0)]
fn draw_is_limited_by_what_is_left(#[case] left: u64, #[case] want: u64, #[case] drawn: u64) {
    let mut entry = shard(20 + left, &[(A, open(20, 0))]).entries[&budget()].clone();
    let granted = entry.apply_draw(A, want, u64::MAX);
    assert_eq!(granted, Some(20 + drawn));
    assert_eq!(entry.apply_draw(B, want, u64::MAX), None);
}

#[rstest]
#[case::below_settled(A, 29, Err(ReleaseError::BelowSettled { spent_tokens: 29, settled_tokens: 30 }))]
#[case::above_exposure(A, 101, Err(ReleaseError::AboveExposure { spent_tokens: 101, exposed_tokens: 100 }))]
#[case::unknown(C, 0, Err(ReleaseError::UnknownHolder { holder: C }))]
#[case::truthful(A, 40, Ok(()))]
fn release_checks_holder_and_stated_spend(
    #[case] holder: id::Incarnation,
    #[case] spent_tokens: u64,
    #[case] outcome: Result<(), ReleaseError>,
) {
    let mut shard = shard(100, &[(A, open(60, 30)), (B, open(40, 0))]);
    assert_eq!(shard.release(&budget(), holder, spent_tokens), outcome);
}

#[test]
fn release_waits_for_every_live_member() {
    let mut shard = shard(100, &[(A, open(60, 30)), (B, open(40, 0))]);
    shard.join(C);
    shard.release(&budget(), A, 30).unwrap();
    assert_eq!(shard.awaited(&budget(), A), [B, C]);
    assert_eq!(exposed(&shard), 100);
    for holder in [B, C] {
        shard.acknowledge(A, holder);
        shard.fold();
    }
    assert_eq!(exposed(&shard), 70);
    assert_eq!(
        shard.release(&budget(), A, 30),
        Err(ReleaseError::UnknownHolder { holder: A })
    );
}

/// Tokens that a released holder sent to another gone holder may all be spent, so that the rows
/// must close together and stay exposed until then.
#[test]
fn released_holders_with_transfers_close_together() {
    let mut shard = shard(100, &[(A, open(60, 0)), (C, open(40, 0))]);
    shard.join(B);
    shard.acknowledge(A, C);
    shard.release(&budget(), A, 10).unwrap();
    shard.acknowledge(A, C);
    shard.release(&budget(), B, 50).unwrap();
    shard.fold();
    assert_eq!(
        exposed(&shard),
        100,
        "C has not acknowledged that B is gone"
    );
    shard.acknowledge(B, C);
    shard.fold();
    assert_eq!(exposed(&shard), 100);
}

#[test]
fn former_member_cannot_join_again() {
    let mut shard = Shard::empty();
    assert!(shard.join(A));
    shard.leave(A);
    assert!(!shard.join(A));
    assert_eq!(shard.members.get(&A), None::<&Member>);
}

#[test]
fn lost_transfer_between_closed_holders_is_free_again() {
    let rows = [(A, closed(10, &[(B, 20)])), (B, closed(5, &[]))];
    let mut shard = shard(100, &rows);
    assert_eq!(exposed(&shard), 35);
    shard.fold();
    assert_eq!(exposed(&shard), 15);
    assert!(shard.entries[&budget()].rows.is_empty());
}

#[test]
fn closed_row_waits_for_an_open_counterparty() {
    let mut shard = shard(100, &[(A, closed(10, &[(B, 20)])), (B, open(0, 0))]);
    shard.fold();
    assert_eq!(exposed(&shard), 30);
}

#[test]
fn shards_are_evenly_filled() {
    let mut counts = [0; 16];
    for index in 0..16_000 {
        let budget = name::Budget::from(format!("budget-{index}"));
        counts[shard_of(&budget, 16) as usize] += 1;
    }
    assert!(
        counts.iter().all(|count| (800..1_200).contains(count)),
        "{counts:?}"
    );
}
