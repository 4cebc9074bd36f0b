//! Seeded search over a fleet with random faults, and scenarios of partitions and restarts.
//!
//! No router may replace a configuration version by a lower one, and all routers must converge once
//! the faults end.

mod fleet;

use fleet::{Fleet, SECOND_US};
use rstest::rstest;

const MAX_CONVERGENCE_US: u64 = 11 * SECOND_US;
const DOMAINS: [usize; 4] = [2, 2, 2, 2];
const FAULT_STEPS: usize = 40;

/// Injects or ends one random fault, or publishes a configuration version.
fn inject_fault(fleet: &mut Fleet) {
    let index = fleet.rng.usize(..fleet.vms.len());
    let domain = fleet.rng.usize(..DOMAINS.len());
    let other = fleet.rng.usize(..DOMAINS.len());
    match fleet.rng.u32(..10) {
        0 => fleet.loss_percent = fleet.rng.u32(..40),
        1 => fleet.vms[index].is_paused = true,
        2 => fleet.vms[index].is_paused = false,
        3 => fleet.vms[index].is_up = false,
        4 => fleet.restart(index),
        5 => {
            fleet.cuts.insert((domain.min(other), domain.max(other)));
        }
        6 => fleet.cuts.clear(),
        7 => {
            fleet.platform_reaches.remove(&domain);
        }
        8 => {
            fleet.platform_reaches.insert(domain);
        }
        _ => fleet.platform_version += 1,
    }
}

fn assert_versions_rise(fleet: &Fleet) {
    for vm in &fleet.vms {
        let held = vm.members.config_version();
        assert!(vm.applied.is_sorted_by(|a, b| a < b), "{:?}", vm.applied);
        assert!(held <= fleet.platform_version);
        assert_eq!(vm.applied.last().copied().unwrap_or(0), held);
    }
}

fn repair(fleet: &mut Fleet) {
    fleet.loss_percent = 0;
    fleet.cuts.clear();
    for index in 0..fleet.vms.len() {
        fleet.vms[index].is_paused = false;
        if !fleet.vms[index].is_up {
            fleet.restart(index);
        }
    }
}

#[rstest]
fn versions_never_decrease_and_converge_after_faults(#[values(0, 1, 2, 3)] part: u64) {
    const SEEDS_PER_PART: u64 = 50;
    let mut worst_us = 0;
    for seed in part * SEEDS_PER_PART..(part + 1) * SEEDS_PER_PART {
        let mut fleet = Fleet::start(&DOMAINS, seed);
        for _ in 0..FAULT_STEPS {
            inject_fault(&mut fleet);
            let duration_us = fleet.rng.u64(100_000..8 * SECOND_US);
            fleet.run_for(duration_us);
            assert_versions_rise(&fleet);
        }
        repair(&mut fleet);
        fleet.platform_version += 1;
        // One failure domain reads it from the platform, the others receive it from peers.
        fleet.platform_reaches = [fleet.rng.usize(..DOMAINS.len())].into();
        let version = fleet.platform_version;
        let took_us = fleet.run_until(MAX_CONVERGENCE_US, |fleet| fleet.all_hold(version));
        assert!(fleet.all_hold(version), "seed {seed}");
        worst_us = worst_us.max(took_us);
        assert_versions_rise(&fleet);
    }
    println!("slowest convergence after faults: {} ms", worst_us / 1_000);
}

#[test]
fn a_router_restarted_without_the_platform_fetches_from_peers() {
    let mut fleet = Fleet::start(&DOMAINS, 3);
    fleet.run_for(20 * SECOND_US);
    fleet.platform_version = 7;
    fleet.run_until(MAX_CONVERGENCE_US, |fleet| fleet.all_hold(7));
    fleet.platform_reaches.clear();
    for index in 0..fleet.vms.len() {
        fleet.restart(index);
        let took_us = fleet.run_until(MAX_CONVERGENCE_US, |fleet| fleet.all_hold(7));
        assert!(took_us <= 3 * SECOND_US, "VM {index} after {took_us} us");
    }
    assert!(fleet.all_hold(7));
}

#[test]
fn a_store_that_lost_versions_lowers_no_held_version() {
    let mut fleet = Fleet::start(&DOMAINS, 4);
    fleet.platform_version = 9;
    fleet.run_until(MAX_CONVERGENCE_US, |fleet| fleet.all_hold(9));
    fleet.platform_version = 4;
    fleet.restart(0);
    fleet.run_for(60 * SECOND_US);
    assert!(fleet.all_hold(9));
}

#[test]
fn a_paused_router_leaves_and_rejoins() {
    let mut fleet = Fleet::start(&[6, 6], 5);
    fleet.run_until(60 * SECOND_US, Fleet::all_live);
    fleet.vms[2].is_paused = true;
    let left_us = fleet.run_until(60 * SECOND_US, Fleet::all_live);
    assert!(left_us <= 15 * SECOND_US, "left after {left_us} us");
    fleet.run_for(600 * SECOND_US);
    fleet.vms[2].is_paused = false;
    let back_us = fleet.run_until(60 * SECOND_US, Fleet::all_live);
    assert!(back_us <= 11 * SECOND_US, "rejoined after {back_us} us");
}

#[rstest]
#[case::with_the_seeds(true)]
#[case::without_the_seeds(false)]
fn domains_rediscover_each_other_after_a_partition_of_an_hour(#[case] seeds_are_up: bool) {
    let mut fleet = Fleet::start(&DOMAINS, 6);
    fleet.run_for(60 * SECOND_US);
    let all_connected = |fleet: &Fleet| {
        let live = |vm: &fleet::Vm| vm.members.live(fleet.now_us).count();
        fleet
            .running()
            .all(|vm| live(vm) + 1 == fleet.running().count())
    };
    assert!(all_connected(&fleet));
    for index in (0..fleet.vms.len()).step_by(2) {
        fleet.vms[index].is_up = seeds_are_up;
    }
    fleet.cuts = (0..4)
        .flat_map(|a| (a + 1..4).map(move |b| (a, b)))
        .collect();
    fleet.run_for(3_600 * SECOND_US);
    let live = fleet.vms[1].members.live(fleet.now_us).count();
    assert_eq!(
        live,
        usize::from(seeds_are_up),
        "peers of other domains have left"
    );
    fleet.cuts.clear();
    let took_us = fleet.run_until(60 * SECOND_US, all_connected);
    assert!(took_us <= 11 * SECOND_US, "after {took_us} us");
}

#[rstest]
#[case::pairs(&[2, 2])]
#[case::four_pairs(&[2, 2, 2, 2])]
#[case::larger(&[8, 8, 8])]
fn peers_of_a_domain_discover_each_other_through_seeds_of_another(#[case] domains: &[usize]) {
    for seed in 0..20 {
        let mut fleet = Fleet::start(domains, seed);
        fleet.restart_with_seeds_in(0);
        let took_us = fleet.run_until(60 * SECOND_US, Fleet::all_live);
        assert!(
            took_us <= MAX_CONVERGENCE_US,
            "seed {seed}: after {took_us} us"
        );
    }
}
