//! Bytes sent and time to converge of a fleet of the design size, 400 routers.

mod fleet;

use fleet::{Fleet, SECOND_US};
use rstest::rstest;

/// Maximum bytes of heartbeats and replies that one router may send in a second.
const MAX_BYTES_PER_SECOND: u64 = 4_096;
/// Time within which all reachable routers must hold a new configuration version.
const MAX_CONVERGENCE_US: u64 = 11 * SECOND_US;
/// 400 routers in seven failure domains, the largest of 60.
const FLEET: [usize; 7] = [60, 60, 60, 60, 60, 50, 50];

#[test]
fn bytes_sent_stay_below_the_bound_at_400_routers() {
    const SECONDS: u64 = 30;
    let mut fleet = Fleet::start(&FLEET, 11);
    fleet.run_until(60 * SECOND_US, Fleet::all_live);
    assert!(fleet.all_live());
    fleet.run_for(SECONDS * SECOND_US);
    fleet.take_sent_bytes();
    let mut worst_second = 0;
    let mut totals = vec![0; fleet.vms.len()];
    for second in 0..SECONDS {
        if second % 10 == 0 {
            fleet.platform_version += 1;
        }
        fleet.run_for(SECOND_US);
        for (total, sent) in totals.iter_mut().zip(fleet.take_sent_bytes()) {
            worst_second = worst_second.max(sent);
            *total += sent;
        }
    }
    let mean = totals.iter().sum::<u64>() / (SECONDS * totals.len() as u64);
    let busiest = totals.iter().max().unwrap() / SECONDS;
    println!("bytes a second: mean {mean}, busiest router {busiest}, worst second {worst_second}");
    assert!(worst_second <= MAX_BYTES_PER_SECOND);
}

#[rstest]
#[case::platform_everywhere(0, &[0, 1, 2, 3, 4, 5, 6])]
#[case::platform_in_one_domain(0, &[3])]
#[case::loss(20, &[3])]
fn a_configuration_reaches_400_routers(#[case] loss_percent: u32, #[case] reaches: &[usize]) {
    let mut fleet = Fleet::start(&FLEET, 12);
    fleet.run_for(30 * SECOND_US);
    assert!(fleet.all_hold(1));
    fleet.loss_percent = loss_percent;
    fleet.platform_reaches = reaches.iter().copied().collect();
    fleet.platform_version = 2;
    let took_us = fleet.run_until(MAX_CONVERGENCE_US, |fleet| fleet.all_hold(2));
    println!("all hold it after {} ms", took_us / 1_000);
    assert!(fleet.all_hold(2));
}

#[rstest]
#[case::no_loss(0)]
#[case::loss(10)]
fn all_running_routers_stay_live(#[case] loss_percent: u32) {
    let mut fleet = Fleet::start(&FLEET, 13);
    let took_us = fleet.run_until(60 * SECOND_US, Fleet::all_live);
    println!("all live after {} ms", took_us / 1_000);
    assert!(fleet.all_live());
    fleet.loss_percent = loss_percent;
    for _ in 0..60 {
        fleet.run_for(SECOND_US);
        assert!(fleet.all_live());
    }
}
