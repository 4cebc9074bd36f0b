//! Fleets of routers in simulated time: servers crash under one prompt part or one request while
//! others end for other reasons, routers are cut from each other or restarted, and sound requests
//! go on.

use rstest::rstest;

use crate::{
    scenario::{Arrivals, Fault, Scenario},
    sim::Fleet,
};

mod scenario;
mod sim;

/// Seeds of each scenario.
const SEEDS: u64 = 20;
/// Fatal requests that may reach servers late.
const MAX_LATE: usize = 3;
/// Share of the sound requests that may be refused.
const MAX_REFUSED: f64 = 0.02;

/// Plays the scenario with each seed.
fn play(scenario: &Scenario) {
    let mut worst = (0, 0, 0.0_f64);
    let mut failures = Vec::new();
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(scenario.clone(), seed);
        fleet.run();
        let (crashes, late) = (fleet.crashes_us.len(), fleet.late());
        let refused = fleet.sound_refused as f64 / fleet.sound as f64;
        worst = (
            worst.0.max(crashes),
            worst.1.max(late),
            worst.2.max(refused),
        );
        if late > MAX_LATE || refused >= MAX_REFUSED || crashes < 3 {
            failures.push(format!(
                "seed {seed}: {crashes} crashes, {late} late, {refused:.4} of the sound refused"
            ));
        }
    }
    println!(
        "{} routers, {} attempts, {:?}, {:?}: at most {} crashes, {} late, {:.4} of the sound \
         refused",
        scenario.routers,
        scenario.max_attempts,
        scenario.arrivals,
        scenario.fault,
        worst.0,
        worst.1,
        worst.2
    );
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a fleet that keeps sending a part under which five servers have ended, and
/// against one that refuses sound requests that share the other parts.
#[rstest]
fn a_fleet_stops_sending_a_fatal_part_and_serves_the_others(
    #[values(6, 54)] routers: usize,
    #[values(
        Fault::None,
        Fault::PowerLoss,
        Fault::PeersCut,
        Fault::Restart,
        Fault::ClockStep,
        Fault::All
    )]
    fault: Fault,
) {
    play(&Scenario::parts(routers, fault));
}

/// Guards against a block that nothing ends: all servers ended for another reason, and the refused
/// requests are the only ones that could clear their parts.
#[rstest]
fn requests_are_served_again_after_their_servers_ended_in_series(
    #[values(6, 54)] routers: usize,
    #[values(40, 100, 250, 700)] gap_ms: u64,
) {
    let scenario = Scenario::series(routers, gap_ms);
    let mut failures = Vec::new();
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(scenario.clone(), seed);
        fleet.run();
        let refused = fleet.settled_refused as f64 / fleet.settled as f64;
        if refused >= MAX_REFUSED {
            failures.push(format!("seed {seed}: {refused:.4} refused"));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a fleet that keeps sending a request under which three servers have ended, to
/// servers that return and through retries, and against one that refuses those beside it.
#[rstest]
fn a_fleet_stops_sending_a_fatal_request_and_serves_the_others(
    #[values(6, 54)] routers: usize,
    #[values(1, 2)] max_attempts: u32,
    #[values(
        Arrivals::Steady { interval_ms: 250 },
        Arrivals::Steady { interval_ms: 100 },
        Arrivals::Waves { interval_ms: 4_000, size: 8 }
    )]
    arrivals: Arrivals,
    #[values(
        Fault::None,
        Fault::PowerLoss,
        Fault::AllServers,
        Fault::PeersCut,
        Fault::Restart,
        Fault::ClockStep,
        Fault::All
    )]
    fault: Fault,
) {
    play(&Scenario::requests(routers, max_attempts, arrivals, fault));
}
