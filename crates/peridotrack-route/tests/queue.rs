//! Request queue: bound, priorities, ageing, fair sharing and overtaking.

mod support;

use peridotrack_route::{
    fairness::Shares,
    queue::{Entry, Outcome, Query, Queue},
};
use peridotrack_types::rules::Priority;
use rstest::rstest;
use support::{SECOND_US, request};

const AGEING_US: u64 = 2 * SECOND_US;

fn entry(sequence: u64, account: &str, priority: Priority, queued_us: u64) -> Entry {
    Entry {
        request_id: request(sequence),
        account: account.into(),
        priority,
        queued_us,
        preferred: None,
        ahead_requests: 0,
    }
}

fn push(queue: &mut Queue, bound: usize, entry: Entry) -> Outcome {
    queue.push(entry, bound, AGEING_US)
}

fn pop(queue: &mut Queue, shares: &mut Shares, now_us: u64) -> u64 {
    pop_for(queue, shares, now_us, None)
}

fn pop_for(queue: &mut Queue, shares: &mut Shares, now_us: u64, backend: Option<usize>) -> u64 {
    let query = Query {
        now_us,
        ageing_us: AGEING_US,
        overtake_tokens: 300,
        shares,
        backend,
    };
    let next = queue.peek(&query).expect("not empty").clone();
    queue.remove(next.request_id);
    shares.charge(&next.account, 100, queue.start_tokens(shares));
    next.request_id.sequence
}

#[rstest]
#[case::same_account("a", Priority::Normal, Outcome::Full)]
#[case::smaller_account("b", Priority::Normal, Outcome::Displaced(request(4)))]
#[case::higher_priority("a", Priority::High, Outcome::Displaced(request(4)))]
#[case::lower_priority("b", Priority::Low, Outcome::Full)]
fn full_queue_displaces_or_refuses(
    #[case] account: &str,
    #[case] priority: Priority,
    #[case] expected: Outcome,
) {
    let mut queue = Queue::default();
    for sequence in 1..=4 {
        let entry = entry(sequence, "a", Priority::Normal, 0);
        assert_eq!(push(&mut queue, 4, entry), Outcome::Queued);
    }
    assert_eq!(
        push(&mut queue, 4, entry(5, account, priority, 0)),
        expected
    );
    assert_eq!(queue.len(), 4);
}

#[rstest]
fn aged_request_is_not_displaced() {
    let mut queue = Queue::default();
    push(&mut queue, 1, entry(1, "a", Priority::Low, 0));
    let newer = entry(2, "a", Priority::High, AGEING_US);
    assert_eq!(push(&mut queue, 1, newer), Outcome::Full);
}

#[rstest]
#[case::fresh(0, &[3, 2, 1])]
#[case::normal_aged(AGEING_US, &[3, 2, 1])]
#[case::low_aged(2 * AGEING_US + 1, &[1, 3, 2])]
fn priorities_with_ageing_order_the_queue(#[case] low_wait_us: u64, #[case] expected: &[u64]) {
    let mut queue = Queue::default();
    let mut shares = Shares::default();
    push(&mut queue, 8, entry(1, "a", Priority::Low, 0));
    push(&mut queue, 8, entry(2, "a", Priority::Normal, low_wait_us));
    push(&mut queue, 8, entry(3, "a", Priority::High, low_wait_us));
    let order: Vec<_> = (0..3)
        .map(|_| pop(&mut queue, &mut shares, low_wait_us))
        .collect();
    assert_eq!(order, expected);
}

#[rstest]
fn accounts_take_turns() {
    let mut queue = Queue::default();
    let mut shares = Shares::default();
    for sequence in 1..=50 {
        push(
            &mut queue,
            64,
            entry(sequence, "large", Priority::Normal, 0),
        );
    }
    for sequence in 101..=105 {
        push(
            &mut queue,
            64,
            entry(sequence, "small", Priority::Normal, 0),
        );
    }
    let order: Vec<_> = (0..10).map(|_| pop(&mut queue, &mut shares, 0)).collect();
    let small = order.iter().filter(|&&sequence| sequence > 100).count();
    assert_eq!(small, 5, "{order:?}");
}

#[rstest]
fn idle_account_gains_no_credit() {
    let mut shares = Shares::default();
    for _ in 0..100 {
        shares.charge(&"large".into(), 100, None);
    }
    let lead = shares.start_tokens(&"large".into()) - shares.start_tokens(&"small".into());
    assert!(lead <= 100, "{lead}");
}

#[rstest]
#[case::large_account_waits_behind_its_own_requests("large", 50)]
#[case::small_account_waits_one_turn("small", 1)]
fn requests_ahead_are_bounded_by_fair_sharing(#[case] account: &str, #[case] expected: usize) {
    let mut queue = Queue::default();
    for sequence in 1..=50 {
        push(
            &mut queue,
            64,
            entry(sequence, "large", Priority::Normal, 0),
        );
    }
    assert_eq!(
        queue.requests_ahead(&account.into(), Priority::Normal),
        expected
    );
}

#[rstest]
fn cached_prefix_goes_first_within_the_overtaking_bound() {
    let mut queue = Queue::default();
    let mut shares = Shares::default();
    for sequence in 1..=20 {
        let mut entry = entry(sequence, "suited", Priority::Normal, 0);
        entry.preferred = Some(7);
        push(&mut queue, 64, entry);
    }
    for sequence in 101..=110 {
        let mut entry = entry(sequence, "other", Priority::Normal, 0);
        entry.preferred = Some(1);
        push(&mut queue, 64, entry);
    }
    let mut pop = || pop_for(&mut queue, &mut shares, 0, Some(7));
    let order: Vec<_> = (0..24).map(|_| pop()).collect();
    assert!(
        order[..4].iter().all(|&sequence| sequence <= 20),
        "{order:?}"
    );
    // The overtaking bound of 300 tokens is three requests of 100; after them the accounts
    // alternate.
    let other = order.iter().filter(|&&sequence| sequence > 100).count();
    assert!((9..=10).contains(&other), "{order:?}");
}

#[rstest]
fn overtaken_request_is_not_starved() {
    let mut queue = Queue::default();
    let mut shares = Shares::default();
    push(&mut queue, 64, entry(1, "a", Priority::Normal, 0));
    let mut order = Vec::new();
    for sequence in 2..40 {
        let queued_us = sequence * SECOND_US / 4;
        let mut cached = entry(sequence, "a", Priority::Normal, queued_us);
        cached.preferred = Some(7);
        push(&mut queue, 64, cached);
        order.push(pop_for(&mut queue, &mut shares, queued_us, Some(7)));
    }
    let position = order.iter().position(|&sequence| sequence == 1);
    assert!(position.is_some_and(|position| position <= 5), "{order:?}");
}

#[rstest]
#[case::unknown_account("other", 0)]
#[case::at_the_pace_of_its_first("large", 3 * SECOND_US)]
fn paced_wait_follows_the_first_request(#[case] account: &str, #[case] expected_us: u64) {
    let mut queue = Queue::default();
    let mut shares = Shares::default();
    for sequence in 1..=4 {
        push(
            &mut queue,
            64,
            entry(sequence, "large", Priority::Normal, 0),
        );
    }
    for _ in 0..3 {
        pop(&mut queue, &mut shares, SECOND_US);
    }
    // Three requests ahead of the fourth left within a second; ten more are queued behind it.
    for sequence in 5..=14 {
        let entry = entry(sequence, "large", Priority::Normal, SECOND_US);
        push(&mut queue, 64, entry);
    }
    let wait_us = queue.paced_wait_us(SECOND_US, &account.into(), Priority::Normal);
    assert_eq!(wait_us, expected_us);
}
