//! Options and checks shared by the simulated fleets; every run must pass the checks, whatever
//! faults it had.

use peridotrack_bench::fleet::{Faults, Fleet, Options, Request, State};
use peridotrack_budget::{ledger, options};

pub const SECOND_US: u64 = 1_000_000;

/// Returns options with which draws, returns and retransmissions happen within seconds.
pub fn fast_options(seed: u64) -> Options {
    // Half of the seeds use the options of a gateway, which are sized for short outages of the
    // store and the loss of all routers.
    let is_gateway = seed / 9 % 2 == 1;
    let choose = |usual: f64, gateway: f64| if is_gateway { gateway } else { usual };
    Options {
        holder: options::Options {
            rate_age_min_us: choose(300.0 * SECOND_US as f64, SECOND_US as f64) as u64,
            grant_deviations: choose(0.0, 1.5),
            share_divisor: choose(2.0, 4.0) as u64,
            low_water_part: choose(0.5, 0.9),
            hold_portions: choose(0.0, 1.0) as u64,
            scarce_part: choose(0.0, 0.12),
            plenty_part: choose(0.0, 0.35),
            backoff_max_us: (choose(5.0, 0.4) * SECOND_US as f64) as u64,
            shard_count: 1 + (seed % 3) as u32,
            grant_span_us: 5 * SECOND_US,
            rate_half_life_us: 2 * SECOND_US,
            draw_floor_tokens: [1, 20, 100][(seed / 3 % 3) as usize],
            return_after_us: SECOND_US,
            sweep_us: SECOND_US / 2,
            refresh_us: 5 * SECOND_US,
            pending_timeout_us: (choose(3.0, 0.1) * SECOND_US as f64) as u64,
            give_span_us: (choose(5.0, 2.0) * SECOND_US as f64) as u64,
            scarce_span_us: (choose(0.0, 0.7) * SECOND_US as f64) as u64,
            keep_us: (choose(0.0, 3.0) * SECOND_US as f64) as u64,
            suspect_us: SECOND_US,
            store_wait_us: (choose(0.5, 0.1) * SECOND_US as f64) as u64,
            unmet_request_us: (choose(60.0, 1.0) * SECOND_US as f64) as u64,
            ..options::Options::default()
        },
        seed,
        store_timeout_us: SECOND_US / 5,
        max_wait_us: SECOND_US,
        ..Options::default()
    }
}

/// Fails if the provider counted more tokens than were ever purchased, or if an update broke the
/// ledger's invariant.
pub fn check_safety(fleet: &Fleet) -> Result<(), String> {
    if fleet.overspend_tokens() > 0 {
        return Err(format!("overspend of {} tokens", fleet.overspend_tokens()));
    }
    match fleet.store.violations.first() {
        Some(violation) => Err(format!("violation: {violation}")),
        None => Ok(()),
    }
}

/// Ends all faults and runs the fleet until it is idle.
pub fn end_faults(fleet: &mut Fleet) {
    fleet.faults = Faults::default();
    for node in 0..fleet.nodes.len() {
        fleet.resume(node);
    }
    fleet.configure_all();
    fleet.update_peers();
    fleet.run_until(fleet.now_us + 130 * SECOND_US);
}

/// Releases every holder whose process is gone, with the true spend.
///
/// A holder that closed may also have left a row, if a late write of it took effect after its
/// end.
pub fn release_dead(fleet: &mut Fleet) {
    for node in 0..fleet.nodes.len() {
        if matches!(fleet.nodes[node].state, State::Dead | State::Closed) {
            fleet.release(node);
        }
    }
    fleet.update_peers();
    fleet.run_until(fleet.now_us + 130 * SECOND_US);
}

/// Fails unless one holder can serve one request for all tokens that are left of each budget.
pub fn check_nothing_stranded(fleet: &mut Fleet, node: usize) -> Result<(), String> {
    for budget in 0..fleet.budgets.len() {
        let free_tokens = fleet.free_anywhere_tokens(budget);
        if free_tokens == 0 {
            continue;
        }
        let dispatched = fleet.counts.dispatched;
        fleet.request(
            node,
            Request::new(budget, free_tokens, free_tokens / 2, 1_000),
        );
        fleet.run_until(fleet.now_us + 10 * SECOND_US);
        if fleet.counts.dispatched == dispatched {
            return Err(format!(
                "budget {budget}: {free_tokens} tokens cannot be used at holder {node}"
            ));
        }
    }
    Ok(())
}

/// Closes every holder; fails unless the ledger then agrees exactly with the provider's count.
pub fn check_close(fleet: &mut Fleet) -> Result<(), String> {
    for node in 0..fleet.nodes.len() {
        fleet.close(node);
    }
    fleet.run_until(fleet.now_us + 30 * SECOND_US);
    for (budget, spend) in fleet.budgets.iter().zip(&fleet.spends) {
        let bodies = (0..3).filter_map(|shard| fleet.store.peek(shard));
        let entry: Option<&ledger::Entry> =
            bodies.filter_map(|shard| shard.entries.get(budget)).next();
        let Some(entry) = entry else { continue };
        let is_open = entry.rows.values().any(ledger::Row::is_open);
        if is_open || u64::try_from(entry.exposed_tokens()) != Ok(spend.spent_tokens) {
            return Err(format!(
                "{budget}: provider counts {}, ledger {entry:?}",
                spend.spent_tokens
            ));
        }
    }
    Ok(())
}
