//! Simulates a fixed table of cases and counts refusals and overspend in each.
//!
//! The same requests also run against an even split of each budget over the holders, for comparison.

use peridotrack_budget::options as holder_options;

use super::split::EvenSplit;
use crate::fleet::{Faults, Fleet, Options, Request};

const SECOND_US: u64 = 1_000_000;
const MINUTE_US: u64 = 60 * SECOND_US;
const HOUR_US: u64 = 60 * MINUTE_US;
/// Time for the holders to estimate the request rate before a case is measured.
const WARM_UP_US: u64 = 30 * MINUTE_US;
const FAILURE_DOMAINS: usize = 4;
const HOLDERS: usize = 8;

/// Last 2% of the budget of [`Case::LastTwoPercent`], in tokens.
const LAST_TWO_PERCENT_TOKENS: u64 = 4_000_000;
/// Smallest bound of a request, in tokens.
const MIN_BOUND_TOKENS: u64 = 200;

/// A case of the table: how the budgets are used, and which fault is injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Case {
    /// Ten budgets, all in use at every holder and far from exhaustion.
    Steady,
    /// One budget that is used from all failure domains, with over half of the load on one holder.
    HotBudget,
    /// One budget, measured while its last 2% are spent.
    LastTwoPercent,
    /// One failure domain is cut off from the others and from the platform for an hour.
    DomainCut,
    /// A holder is killed and replaced by a new one after every hundredth write to the ledger.
    CrashInDraws,
    /// The store is unavailable for ten minutes.
    StoreDown,
    /// The budgets are topped up in the middle of an hour in which one failure domain is cut off.
    TopUpInCut,
}

/// Counts of one case, after the warm-up unless stated otherwise.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outcome {
    /// Requests that arrived at a running holder.
    pub requests: u64,
    /// Requests refused, for any reason.
    pub refused: u64,
    /// Refusals while the holder's failure domain could reach enough tokens.
    pub strict_false_refusals: u64,
    /// Refusals while enough tokens were unspent and unreserved anywhere in the fleet.
    pub loose_false_refusals: u64,
    /// Refusals by an even split, fixed at the start, while its holders together had enough tokens.
    pub even_split_loose_false_refusals: u64,
    /// Tokens spent beyond the highest purchased total, from the start.
    pub overspend_tokens: u64,
    /// Holders killed.
    pub crashes: u64,
    /// Tokens that the ledger counts for the killed holders beyond their spend.
    pub held_back_tokens: u64,
}

impl Case {
    /// Every case, in the order of the report.
    pub const ALL: [Self; 7] = [
        Self::Steady,
        Self::HotBudget,
        Self::LastTwoPercent,
        Self::DomainCut,
        Self::CrashInDraws,
        Self::StoreDown,
        Self::TopUpInCut,
    ];

    /// Returns the name by which measures refer to the case.
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::HotBudget => "hot_budget",
            Self::LastTwoPercent => "last_2_percent",
            Self::DomainCut => "domain_cut_1_h",
            Self::CrashInDraws => "crash_in_100_draws",
            Self::StoreDown => "store_down_10_min",
            Self::TopUpInCut => "top_up_in_cut",
        }
    }

    fn budgets(self) -> Vec<u64> {
        match self {
            Self::HotBudget => vec![30_000_000],
            Self::LastTwoPercent => vec![LAST_TWO_PERCENT_TOKENS * 50],
            Self::TopUpInCut => vec![2_500_000; 10],
            _ => vec![20_000_000; 10],
        }
    }

    fn measured_us(self) -> u64 {
        match self {
            Self::DomainCut | Self::TopUpInCut | Self::CrashInDraws => HOUR_US,
            // An upper limit: the run ends when the budget is exhausted.
            Self::LastTwoPercent => 2 * HOUR_US,
            _ => 10 * MINUTE_US,
        }
    }
}

/// State of one case while it runs.
struct Run {
    case: Case,
    fleet: Fleet,
    split: EvenSplit,
    rng: fastrand::Rng,
    /// Index of the running holder of each slot; a replacement takes the slot of a killed holder.
    slots: Vec<usize>,
    writes_at_crash: u64,
    crashes: u64,
}

/// Runs one case and returns its counts.
pub fn run(case: Case) -> Outcome {
    let options = Options {
        tick_us: SECOND_US / 20,
        holder: holder_options::Options::default(),
        ..Options::default()
    };
    let budgets = case.budgets();
    let mut fleet = Fleet::new(options, &budgets);
    let slots = (0..HOLDERS)
        .map(|holder| fleet.spawn(holder % FAILURE_DOMAINS))
        .collect();
    fleet.update_peers();
    let mut run = Run {
        case,
        fleet,
        split: EvenSplit::new(&budgets, HOLDERS),
        rng: fastrand::Rng::with_seed(11),
        slots,
        writes_at_crash: 0,
        crashes: 0,
    };
    run.warm_up();
    run.inject_faults();
    let before = run.fleet.counts.clone();
    let split_before = run.split.loose_false_refusals;
    let half_us = case.measured_us() / 2;
    run.run_load(run.fleet.now_us + half_us);
    if case == Case::TopUpInCut {
        run.top_up();
    }
    run.run_load(run.fleet.now_us + half_us);
    run.fleet.run_until(run.fleet.now_us + 10 * SECOND_US);
    let counts = &run.fleet.counts;
    Outcome {
        requests: counts.requests - before.requests,
        refused: counts.refused - before.refused,
        strict_false_refusals: counts.strict_false_refusals - before.strict_false_refusals,
        loose_false_refusals: counts.loose_false_refusals - before.loose_false_refusals,
        even_split_loose_false_refusals: run.split.loose_false_refusals - split_before,
        overspend_tokens: run.fleet.overspend_tokens(),
        crashes: run.crashes,
        held_back_tokens: run.fleet.held_by_dead_tokens(),
    }
}

impl Run {
    fn warm_up(&mut self) {
        if self.case == Case::LastTwoPercent {
            self.spend_ninety_percent();
        }
        self.run_load(WARM_UP_US);
        while self.case == Case::LastTwoPercent
            && self.fleet.free_anywhere_tokens(0) > LAST_TWO_PERCENT_TOKENS
        {
            self.run_load(self.fleet.now_us + 10 * SECOND_US);
        }
    }

    /// Spends 90% of the budget with one request.
    fn spend_ninety_percent(&mut self) {
        let tokens = LAST_TWO_PERCENT_TOKENS * 45;
        let request = Request::new(0, tokens, tokens, SECOND_US);
        self.fleet.request(self.slots[0], request);
        self.split.spend_evenly(0, tokens);
        self.fleet.run_until(self.fleet.now_us + 10 * SECOND_US);
    }

    fn is_budget_exhausted(&self) -> bool {
        let spend = &self.fleet.spends[0];
        self.case == Case::LastTwoPercent
            && spend.open_tokens == 0
            && self.fleet.free_anywhere_tokens(0) < MIN_BOUND_TOKENS
    }

    fn inject_faults(&mut self) {
        let domain_cut = Faults {
            domain_cuts: vec![0],
            platform_cuts: vec![0],
            ..Faults::default()
        };
        match self.case {
            Case::DomainCut => self.fleet.faults = domain_cut,
            Case::StoreDown => self.fleet.faults.is_store_down = true,
            Case::TopUpInCut => self.fleet.faults = domain_cut,
            Case::Steady | Case::HotBudget | Case::LastTwoPercent | Case::CrashInDraws => {}
        }
        self.writes_at_crash = self.fleet.store.writes;
    }

    /// Tops up all budgets; the failure domain that is cut off does not receive the new totals.
    fn top_up(&mut self) {
        for budget in 0..self.fleet.budgets.len() {
            self.fleet.set_purchased(budget, 6_000_000);
        }
        for node in 0..self.fleet.nodes.len() {
            if self.fleet.nodes[node].domain != 0 {
                self.fleet.configure(node);
            }
        }
    }

    /// Picks the slot of the next request; with a hot budget, half of the requests go to slot 0.
    fn pick_slot(&mut self) -> usize {
        match self.case == Case::HotBudget && self.rng.bool() {
            true => 0,
            false => self.rng.usize(..self.slots.len()),
        }
    }

    fn run_load(&mut self, until_us: u64) {
        while self.fleet.now_us < until_us && !self.is_budget_exhausted() {
            let slot = self.pick_slot();
            let bound_tokens = self.rng.u64(MIN_BOUND_TOKENS..800);
            let spent_tokens = bound_tokens * self.rng.u64(30..=100) / 100;
            let budget = self.rng.usize(..self.fleet.budgets.len());
            let service_us = self.rng.u64(SECOND_US..4 * SECOND_US);
            let request = Request::new(budget, bound_tokens, spent_tokens, service_us);
            self.fleet.request(self.slots[slot], request);
            self.split.request(self.fleet.now_us, slot, &request);
            self.fleet
                .run_until(self.fleet.now_us + self.rng.u64(..100_000));
            self.crash_if_due();
        }
    }

    /// Kills and replaces a holder if 100 writes arrived at the store since the last crash.
    fn crash_if_due(&mut self) {
        if self.case != Case::CrashInDraws || self.fleet.now_us < WARM_UP_US {
            return;
        }
        if self.fleet.store.writes < self.writes_at_crash + 100 {
            return;
        }
        self.writes_at_crash = self.fleet.store.writes;
        let slot = self.rng.usize(..self.slots.len());
        let domain = self.fleet.nodes[self.slots[slot]].domain;
        self.fleet.kill(self.slots[slot]);
        self.slots[slot] = self.fleet.spawn(domain);
        self.fleet.update_peers();
        self.crashes += 1;
    }
}
