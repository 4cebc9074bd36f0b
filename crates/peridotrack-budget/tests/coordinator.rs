//! Coordinators: what the holders of a failure domain keep while one of them draws for all.
//!
//! If a coordinator held as much for its peers as they hold themselves, its loss would strand the
//! spend of each peer twice; if the holders kept too little, they could not serve through an
//! outage of the store.

use peridotrack_bench::fleet::{Fleet, Options, Request};
use peridotrack_budget::options;

const SECOND_US: u64 = 1_000_000;
const GRANT_SPAN_S: u64 = 12;
const GIVE_SPAN_S: u64 = 5;
const HOLDERS: usize = 5;
/// Tokens of each request; every holder gets ten requests a second.
const SIZE: u64 = 100;
const SPENT_PER_S: u64 = HOLDERS as u64 * 10 * SIZE;

fn loaded_domain() -> Fleet {
    let holder = options::Options {
        shard_count: 1,
        grant_span_us: GRANT_SPAN_S * SECOND_US,
        give_span_us: GIVE_SPAN_S * SECOND_US,
        buffer_span_us: GRANT_SPAN_S * SECOND_US,
        rate_half_life_us: 8 * SECOND_US,
        rate_age_min_us: 2 * SECOND_US,
        low_water_part: 0.9,
        draw_floor_tokens: SIZE,
        sweep_us: SECOND_US,
        ..options::Options::default()
    };
    let options = Options {
        holder,
        ..Options::default()
    };
    let mut fleet = Fleet::new(options, &[10_000_000]);
    for _ in 0..HOLDERS {
        fleet.spawn(0);
    }
    fleet.update_peers();
    for _ in 0..400 {
        for node in 0..HOLDERS {
            fleet.request(node, Request::new(0, SIZE, SIZE, 10_000));
        }
        fleet.run_until(fleet.now_us + SECOND_US / 10);
    }
    fleet
}

fn free_tokens(fleet: &Fleet, node: usize) -> u64 {
    let report = fleet.nodes[node].holder.report(&fleet.budgets[0]);
    report.map_or(0, |report| report.available_tokens)
}

#[test]
fn coordinator_holds_less_for_its_peers_than_they_hold_themselves() {
    let fleet = loaded_domain();
    let free: u64 = (0..HOLDERS).map(|node| free_tokens(&fleet, node)).sum();
    let most = SPENT_PER_S * (GRANT_SPAN_S + GIVE_SPAN_S);
    assert!(free <= most, "{free} tokens free, {most} are enough");
}

#[test]
fn each_holder_of_a_domain_serves_through_a_store_outage() {
    let mut fleet = loaded_domain();
    fleet.faults.is_store_down = true;
    let refused = fleet.counts.refused;
    for _ in 0..10 * GRANT_SPAN_S * 8 / 10 {
        for node in 0..HOLDERS {
            fleet.request(node, Request::new(0, SIZE, SIZE, 10_000));
        }
        fleet.run_until(fleet.now_us + SECOND_US / 10);
    }
    assert_eq!(fleet.counts.refused, refused);
}
