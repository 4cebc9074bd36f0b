//! Fair sharing for small client accounts while a large one floods a router.

mod support;

use std::collections::BTreeMap;

use peridotrack_route::event::{Action, Event, Outcome};
use rstest::rstest;
use support::*;

const STEP_US: u64 = 10_000;
const REQUEST_US: u64 = 400_000;
const RUN_US: u64 = 60 * SECOND_US;

/// Requests offered and completed for one account.
#[derive(Debug, Default)]
struct Tally {
    offered: u32,
    done: u32,
}

/// Eight slots serve 20 requests per second; the large account offers 100 per second, each of four
/// small ones 2.
fn flooded(queue_requests: u32) -> BTreeMap<String, Tally> {
    let mut router = router(2, 4, queue_requests);
    let mut tallies = BTreeMap::<String, Tally>::new();
    let mut accounts = BTreeMap::<u64, String>::new();
    let mut ends = BTreeMap::<u64, Vec<u64>>::new();
    let mut sequence = 0;
    for now_us in (0..RUN_US).step_by(STEP_US as usize) {
        let mut actions = router.on_event(now_us, Event::Tick);
        let step = now_us / STEP_US;
        let small = (step % 50 < 4).then(|| format!("small-{}", step % 50));
        for account in [Some("large".to_owned()), small].into_iter().flatten() {
            sequence += 1;
            let mut offer = offer(sequence);
            offer.account = account.as_str().into();
            offer.deadline_us = now_us + 30 * SECOND_US;
            tallies.entry(account.clone()).or_default().offered += 1;
            accounts.insert(sequence, account);
            actions.extend(router.offer(now_us, offer));
        }
        for ended in ends.remove(&now_us).unwrap_or_default() {
            let account = tallies.get_mut(&accounts[&ended]).expect("offered");
            account.done += 1;
            actions.extend(finish(&mut router, now_us, ended, Outcome::Done));
        }
        for action in actions {
            if let Action::Dispatch { request_id, .. } = action {
                let end_us = now_us + REQUEST_US;
                ends.entry(end_us).or_default().push(request_id.sequence);
            }
        }
    }
    tallies
}

#[rstest]
#[case::queue_bounded_by_wait(1_000)]
#[case::queue_bounded_by_length(16)]
fn small_accounts_are_served_while_a_large_one_floods(#[case] queue_requests: u32) {
    let tallies = flooded(queue_requests);
    let share = |tally: &Tally| f64::from(tally.done) / f64::from(tally.offered);
    let small = tallies.iter().filter(|(account, _)| *account != "large");
    for (account, tally) in small {
        assert!(share(tally) >= 0.95, "{account}: {tally:?}");
    }
    // The large account receives the remaining 12 per second.
    let large = f64::from(tallies["large"].done) / (RUN_US / SECOND_US) as f64;
    assert!((11.0..=12.5).contains(&large), "{large} per second");
}
