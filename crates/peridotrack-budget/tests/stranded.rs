//! What the loss of all holders at once strands.

mod support;

use peridotrack_bench::fleet::{Fleet, Options, Request, State};
use peridotrack_budget::ledger;
use rstest::rstest;
use support::{SECOND_US, gateway_options};

const DOMAINS: usize = 4;
/// Sizes of the requests in tokens, from the mix of a model service: long, short and middle prompts.
const SIZES: [u64; 3] = [13_000, 1_200, 2_500];
/// Time for which the budget lasts when everything is spent.
const LASTS_S: u64 = 40;
const REQUESTS_PER_S: u64 = 60;

/// A fleet whose budget covers [`LASTS_S`] seconds of its requests.
struct Load {
    fleet: Fleet,
    rng: fastrand::Rng,
}

impl Load {
    fn new(holders_per_domain: usize) -> Self {
        let options = Options {
            holder: gateway_options(),
            ..Options::default()
        };
        let mean = SIZES.iter().sum::<u64>() / SIZES.len() as u64;
        let mut fleet = Fleet::new(options, &[LASTS_S * REQUESTS_PER_S * mean]);
        for domain in 0..DOMAINS {
            (0..holders_per_domain).for_each(|_| drop(fleet.spawn(domain)));
        }
        fleet.update_peers();
        Self {
            fleet,
            rng: fastrand::Rng::with_seed(1),
        }
    }

    /// Sends requests for a second, each to a holder chosen at random.
    fn run_for_a_second(&mut self) {
        for _ in 0..REQUESTS_PER_S {
            let node = self.rng.usize(0..self.fleet.nodes.len());
            let size = SIZES[self.rng.usize(0..SIZES.len())];
            self.fleet
                .request(node, Request::new(0, size, size, 2 * SECOND_US));
            let until_us = self.fleet.now_us + SECOND_US / REQUESTS_PER_S;
            self.fleet.run_until(until_us);
        }
    }

    /// Tokens that the running holders could reserve.
    fn idle_tokens(&self) -> u64 {
        let budget = &self.fleet.budgets[0];
        let running = self.fleet.nodes.iter();
        running
            .filter(|node| node.state == State::Running)
            .filter_map(|node| node.holder.report(budget))
            .map(|report| report.available_tokens)
            .sum()
    }

    fn left_tokens(&self) -> u64 {
        let shard = ledger::shard_of(&self.fleet.budgets[0], gateway_options().shard_count);
        let contents = self.fleet.store.peek(shard);
        let totals = contents.and_then(|body| body.totals(&self.fleet.budgets[0]));
        totals.map_or(0, |totals| totals.left_tokens)
    }
}

/// Holders together keep one portion of the remainder, however many of them share it.
#[rstest]
#[case::small_fleet(2)]
#[case::large_fleet(18)]
fn the_loss_of_all_holders_strands_at_most_their_share_of_the_remainder(
    #[case] holders_per_domain: usize,
) {
    let mut load = Load::new(holders_per_domain);
    for second in 0..LASTS_S * 3 / 4 {
        load.run_for_a_second();
        let idle = load.idle_tokens();
        let most = (idle + load.left_tokens()) / gateway_options().share_divisor;
        assert!(
            idle <= most,
            "after {second} s {idle} tokens are idle, {most} at most should be"
        );
    }
    assert_eq!(load.fleet.counts.refused, 0);
}
