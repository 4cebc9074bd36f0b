//! What losses and outages strand: tokens held idle, in transit, or at a peer that is asked too late.

use peridotrack_bench::fleet::{Fleet, Options, Request, State};
use peridotrack_budget::{ledger, message, options};
use rstest::rstest;

const SECOND_US: u64 = 1_000_000;
const DOMAINS: usize = 4;
/// Sizes of the requests in tokens, from the mix of a model service: long, short and middle prompts.
const SIZES: [u64; 3] = [13_000, 1_200, 2_500];
/// Time for which the budget lasts when everything is spent.
const LASTS_S: u64 = 40;
const REQUESTS_PER_S: u64 = 60;
/// Divisor of the remainder, which is idle or left in the ledger: the most that may be idle.
const SHARE_OF_REMAINDER: u64 = 5;

/// Returns the options of a gateway's holder.
fn gateway_options() -> options::Options {
    options::Options {
        shard_count: 1,
        grant_span_us: 12 * SECOND_US,
        give_span_us: 5 * SECOND_US,
        buffer_span_us: 12 * SECOND_US,
        rate_half_life_us: 8 * SECOND_US,
        rate_age_min_us: 2 * SECOND_US,
        grant_deviations: 1.5,
        share_divisor: 4,
        low_water_part: 0.9,
        scarce_part: 0.2,
        plenty_part: 0.45,
        hold_portions: 1,
        sweep_us: SECOND_US,
        ask_timeout_us: 20_000,
        pending_timeout_us: 150_000,
        store_wait_us: 100_000,
        unmet_request_us: SECOND_US,
        suspect_us: 2 * SECOND_US,
        backoff_max_us: 400_000,
        return_after_us: 8 * SECOND_US,
        keep_us: 5 * SECOND_US,
        scarce_span_us: SECOND_US / 2,
        ..options::Options::default()
    }
}

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
            for _ in 0..holders_per_domain {
                fleet.spawn(domain);
            }
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

/// The limit holds for all holders together, however many there are.
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
        let most = (idle + load.left_tokens()) / SHARE_OF_REMAINDER;
        assert!(
            idle <= most,
            "after {second} s {idle} tokens are idle, {most} at most should be"
        );
    }
    assert_eq!(load.fleet.counts.refused, 0);
}

/// Returns the coordinator of the only budget's shard and its peer, in a fleet of two.
fn coordinator_and_peer(fleet: &Fleet) -> (usize, usize) {
    let ids = fleet.nodes.iter().map(|node| node.holder.id());
    let shard = ledger::shard_of(&fleet.budgets[0], gateway_options().shard_count);
    match message::coordinator(shard, ids) == Some(fleet.nodes[0].holder.id()) {
        true => (0, 1),
        false => (1, 0),
    }
}

/// A holder that dies while another one searches on its behalf cannot receive what is found later.
#[rstest]
#[case::store_unreachable(true)]
#[case::ledger_exhausted(false)]
fn tokens_that_become_free_are_not_sent_to_a_requester_that_is_lost(#[case] is_store_down: bool) {
    const PURCHASED: u64 = 10_000;
    const NEED: u64 = 1_000;
    let options = Options {
        holder: gateway_options(),
        ..Options::default()
    };
    let mut fleet = Fleet::new(options, &[PURCHASED]);
    fleet.spawn(0);
    fleet.spawn(0);
    fleet.update_peers();
    let (coordinator, requester) = coordinator_and_peer(&fleet);
    // Makes the requester a member, so that it may receive tokens.
    fleet.request(requester, Request::new(0, NEED, NEED, SECOND_US / 10));
    fleet.run_until(SECOND_US / 2);
    let sent_tokens = |fleet: &Fleet| {
        let report = fleet.nodes[coordinator].holder.report(&fleet.budgets[0]);
        report.map_or(0, |report| report.sent_tokens)
    };
    let sent_before = sent_tokens(&fleet);
    let rest = Request::new(0, PURCHASED - NEED, NEED, 2 * SECOND_US);
    fleet.request(coordinator, rest);
    fleet.run_until(SECOND_US);
    assert_eq!(fleet.counts.dispatched, 2);
    fleet.faults.is_store_down = is_store_down;
    fleet.request(requester, Request::new(0, NEED, NEED, SECOND_US));
    fleet.run_until(fleet.now_us + SECOND_US / 10);
    fleet.kill(requester);
    fleet.run_until(4 * SECOND_US);
    assert_eq!(fleet.free_anywhere_tokens(0), PURCHASED - 2 * NEED);
    let stranded = sent_tokens(&fleet) - sent_before;
    assert_eq!(stranded, 0, "sent to a holder that is lost");
}

/// The store neither responds nor fails, and the peer has what the request lacks.
#[test]
fn a_peer_is_asked_while_a_request_still_waits_for_a_silent_store() {
    const PURCHASED: u64 = 10_000;
    const SIZE: u64 = 1_000;
    let options = Options {
        holder: gateway_options(),
        max_wait_us: SECOND_US * 2 / 5,
        store_timeout_us: 5 * SECOND_US,
        ..Options::default()
    };
    let mut fleet = Fleet::new(options, &[PURCHASED]);
    fleet.spawn(0);
    fleet.spawn(0);
    fleet.update_peers();
    let (coordinator, peer) = coordinator_and_peer(&fleet);
    for (node, bound) in [(peer, 2 * SIZE), (coordinator, SIZE)] {
        fleet.request(node, Request::new(0, bound, 0, 1_000));
        fleet.run_until(fleet.now_us + SECOND_US / 2);
    }
    fleet.faults.is_store_down = true;
    let report = fleet.nodes[coordinator].holder.report(&fleet.budgets[0]);
    let available = report.expect("in use").available_tokens;
    let dispatched = fleet.counts.dispatched;
    let request = Request::new(0, available + SIZE, 0, 1_000);
    fleet.request(coordinator, request);
    fleet.run_until(fleet.now_us + SECOND_US);
    assert_eq!(fleet.counts.dispatched, dispatched + 1);
}
