//! Seeded random interleavings of holders, store, network and operators.
//!
//! Each seed runs random faults, requests and configurations, then ends the faults and checks
//! that nothing was overspent, stranded or miscounted.

mod support;

use peridotrack_bench::fleet::{Fleet, Request, State};
use rstest::rstest;
use support::SECOND_US;

const RUNS: u64 = 1_000;
const PARTS: u64 = 4;
const STEPS: usize = 60;

fn running(fleet: &Fleet) -> Vec<usize> {
    (0..fleet.nodes.len())
        .filter(|node| fleet.nodes[*node].state == State::Running)
        .collect()
}

fn step(fleet: &mut Fleet, rng: &mut fastrand::Rng) {
    let alive = running(fleet);
    let Some(&node) = rng.choice(&alive) else {
        fleet.spawn(0);
        return fleet.update_peers();
    };
    let any = rng.usize(..fleet.nodes.len());
    let budget = rng.usize(..fleet.budgets.len());
    let domain = fleet.nodes[node].domain;
    let faults = &mut fleet.faults;
    match rng.u32(..40) {
        0 => faults.is_store_down = rng.bool(),
        1 => faults.lost_replies_per_mille = rng.u32(..500),
        2 => faults.stale_reads_per_mille = rng.u32(..500),
        3 => faults.late_calls_per_mille = rng.u32(..300),
        4 => faults.refused_writes_per_mille = rng.u32(..300),
        5 => faults.lost_messages_per_mille = rng.u32(..500),
        6 => faults.duplicated_messages_per_mille = rng.u32(..500),
        7 => faults.max_extra_delay_us = rng.u64(..200_000),
        8 => faults.domain_cuts = vec![domain],
        9 => faults.platform_cuts = vec![domain],
        10 | 11 => {
            faults.domain_cuts.clear();
            faults.platform_cuts.clear();
        }
        12 => fleet.kill(node),
        13 => fleet.pause(node),
        14 | 15 => fleet.resume(any),
        16 => fleet.close(node),
        17 => {
            fleet.spawn(rng.usize(..3));
            fleet.update_peers();
        }
        18 => {
            let purchased = fleet.spends[budget].purchased_tokens;
            fleet.set_purchased(budget, purchased + rng.u64(..2_000));
            fleet.configure(node);
        }
        19 => {
            let purchased = fleet.spends[budget].purchased_tokens;
            fleet.set_purchased(budget, purchased - purchased.min(rng.u64(..500)));
            fleet.configure(node);
        }
        20 => fleet.configure_all(),
        21 if fleet.nodes[any].state == State::Dead => fleet.release(any),
        22 => fleet.update_peers(),
        _ => {
            let bound = rng.u64(1..=300);
            let spent = rng.u64(..=bound);
            fleet.request(
                node,
                Request::new(budget, bound, spent, rng.u64(..2_000_000)),
            );
        }
    }
    fleet.run_until(fleet.now_us + rng.u64(..SECOND_US));
}

/// Runs one seed; an error describes the first check that failed.
pub fn run(seed: u64) -> Result<(), String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let budgets: Vec<u64> = (0..rng.usize(1..=3)).map(|_| rng.u64(200..5_000)).collect();
    let mut fleet = Fleet::new(support::fast_options(seed), &budgets);
    fleet.store.keeps_history = true;
    for _ in 0..rng.usize(2..=5) {
        fleet.spawn(rng.usize(..3));
    }
    fleet.update_peers();
    for _ in 0..STEPS {
        step(&mut fleet, &mut rng);
        support::check_safety(&fleet)?;
    }
    support::end_faults(&mut fleet);
    support::check_safety(&fleet)?;
    support::release_dead(&mut fleet);
    let node = match rng.choice(running(&fleet)) {
        Some(node) => node,
        None => {
            let node = fleet.spawn(0);
            fleet.update_peers();
            node
        }
    };
    support::check_nothing_stranded(&mut fleet, node)?;
    support::check_safety(&fleet)?;
    support::check_close(&mut fleet)?;
    support::check_safety(&fleet)
}

/// No run overspends, and at the end every token is usable or accounted for.
#[rstest]
fn no_interleaving_overspends_or_strands(#[values(0, 1, 2, 3)] part: u64) {
    let failures: Vec<String> = (0..RUNS)
        .map(|run| run * PARTS + part)
        .filter_map(|seed| run(seed).err().map(|error| format!("seed {seed}: {error}")))
        .collect();
    let shown = &failures[..failures.len().min(20)];
    assert!(
        failures.is_empty(),
        "{} of {RUNS} runs failed, first: {shown:#?}",
        failures.len()
    );
}
