//! Every pair of eleven faults, the second on top of the first, while a budget runs out.
//!
//! Guards against faults that are tolerated alone but together lead to overspend, or leave tokens
//! that no holder can use.

mod support;

use peridotrack_bench::fleet::{Fleet, Request, State};
use rstest::rstest;
use support::SECOND_US;

const DOMAINS: usize = 2;
const HOLDERS: usize = 4;
const PURCHASED_TOKENS: u64 = 6_000;
const SEEDS: u64 = 4;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    ReplyLost,
    StoreDown,
    HoldersCut,
    PlatformCut,
    Killed,
    Paused,
    OperatorsRace,
    TopUp,
    Repeated,
    Late,
    Reordered,
}

impl Fault {
    fn begin(self, fleet: &mut Fleet) {
        match self {
            Self::ReplyLost => fleet.faults.lost_replies_per_mille = 400,
            Self::StoreDown => fleet.faults.is_store_down = true,
            Self::HoldersCut => fleet.faults.domain_cuts = vec![0],
            Self::PlatformCut => fleet.faults.platform_cuts = vec![0],
            Self::Killed => fleet.kill(0),
            Self::Paused => fleet.pause(1),
            Self::OperatorsRace => race_operators(fleet),
            Self::TopUp => {
                fleet.set_purchased(0, PURCHASED_TOKENS + 1_000);
                fleet.configure(2);
            }
            Self::Repeated => fleet.faults.duplicated_messages_per_mille = 500,
            Self::Late => fleet.faults.late_calls_per_mille = 300,
            Self::Reordered => {
                fleet.faults.lost_messages_per_mille = 200;
                fleet.faults.max_extra_delay_us = 300_000;
            }
        }
    }
}

/// Two operators concurrently lower and raise the budget and release the same dead holder.
fn race_operators(fleet: &mut Fleet) {
    fleet.set_purchased(0, PURCHASED_TOKENS - 500);
    fleet.configure(3);
    fleet.set_purchased(0, PURCHASED_TOKENS);
    fleet.configure(2);
    if fleet.nodes[0].state == State::Dead {
        fleet.release(0);
        fleet.release(0);
    }
}

fn load(fleet: &mut Fleet, rng: &mut fastrand::Rng, requests: usize) -> Result<(), String> {
    for _ in 0..requests {
        let bound = rng.u64(1..=100);
        let request = Request::new(0, bound, rng.u64(..=bound), rng.u64(..SECOND_US));
        fleet.request(rng.usize(..HOLDERS), request);
        fleet.run_until(fleet.now_us + rng.u64(..SECOND_US / 4));
        support::check_safety(fleet)?;
    }
    Ok(())
}

fn run(first: Fault, second: Fault, seed: u64) -> Result<(), String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut fleet = Fleet::new(support::fast_options(seed), &[PURCHASED_TOKENS]);
    for holder in 0..HOLDERS {
        fleet.spawn(holder % DOMAINS);
    }
    fleet.update_peers();
    load(&mut fleet, &mut rng, 20)?;
    first.begin(&mut fleet);
    load(&mut fleet, &mut rng, 20)?;
    second.begin(&mut fleet);
    load(&mut fleet, &mut rng, 60)?;
    support::end_faults(&mut fleet);
    support::release_dead(&mut fleet);
    support::check_nothing_stranded(&mut fleet, 3)?;
    support::check_close(&mut fleet)?;
    support::check_safety(&fleet)
}

#[rstest]
fn no_pair_of_faults_overspends_or_strands(
    #[values(
        Fault::ReplyLost,
        Fault::StoreDown,
        Fault::HoldersCut,
        Fault::PlatformCut,
        Fault::Killed,
        Fault::Paused,
        Fault::OperatorsRace,
        Fault::TopUp,
        Fault::Repeated,
        Fault::Late,
        Fault::Reordered
    )]
    first: Fault,
    #[values(
        Fault::ReplyLost,
        Fault::StoreDown,
        Fault::HoldersCut,
        Fault::PlatformCut,
        Fault::Killed,
        Fault::Paused,
        Fault::OperatorsRace,
        Fault::TopUp,
        Fault::Repeated,
        Fault::Late,
        Fault::Reordered
    )]
    second: Fault,
) {
    for seed in 0..SEEDS {
        let outcome = run(first, second, seed);
        assert_eq!(outcome, Ok(()), "{first:?}, {second:?}, seed {seed}");
    }
}
