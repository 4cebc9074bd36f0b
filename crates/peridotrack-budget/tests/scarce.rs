//! Scarcity: near the end of a budget, nothing is drawn ahead and idle tokens are returned.
//!
//! Otherwise the loss of a holder strands tokens that the remaining holders need for the last
//! requests.

use peridotrack_budget::{
    action::Action, event::Event, holder::Holder, ledger::Shard, options::Options, reservation,
};
use peridotrack_types::{id, name};
use rstest::rstest;

const SECOND_US: u64 = 1_000_000;
const PURCHASED: u64 = 100_000;
/// Tokens of each request.
const SIZE: u64 = 1_000;

/// A holder and a store with one shard, which never fails.
struct Fixture {
    holder: Holder,
    shard: Option<(u64, Shard)>,
    budget: name::Budget,
    now_us: u64,
}

impl Fixture {
    fn new() -> Self {
        let options = Options {
            shard_count: 1,
            grant_span_us: 12 * SECOND_US,
            rate_half_life_us: 8 * SECOND_US,
            rate_age_min_us: SECOND_US,
            grant_deviations: 1.5,
            share_divisor: 3,
            low_water_part: 0.9,
            hold_portions: 1,
            scarce_part: 0.12,
            plenty_part: 0.35,
            sweep_us: SECOND_US,
            ..Options::default()
        };
        let mut fixture = Self {
            holder: Holder::new(id::Incarnation(1), options, 0),
            shard: None,
            budget: name::Budget::from("t-1"),
            now_us: SECOND_US,
        };
        fixture.configure(1, PURCHASED);
        fixture
    }

    fn configure(&mut self, version: u64, purchased: u64) {
        let budget = (self.budget.clone(), purchased);
        let actions = self.holder.configure(self.now_us, version, [budget]);
        self.run(actions);
    }

    fn run(&mut self, actions: Vec<Action>) {
        for action in actions {
            let event = match action {
                Action::Read { shard } => match &self.shard {
                    None => Event::ShardAbsent { shard },
                    Some((version, body)) => Event::ShardRead {
                        shard,
                        version: *version,
                        body: body.clone(),
                    },
                },
                Action::Write { shard, body, .. } => {
                    let version = self.shard.as_ref().map_or(1, |(version, _)| version + 1);
                    self.shard = Some((version, body));
                    Event::Written { shard, version }
                }
                _ => continue,
            };
            let actions = self.holder.on_event(self.now_us, event);
            self.run(actions);
        }
    }

    fn advance(&mut self, span_us: u64) {
        let end_us = self.now_us + span_us;
        while self.now_us < end_us {
            self.now_us += 20_000;
            let actions = self.holder.on_event(self.now_us, Event::Tick);
            self.run(actions);
        }
    }

    /// Reserves tokens for one request, with retries for a second.
    fn reserve(&mut self) -> Option<reservation::Id> {
        for _ in 0..50 {
            let reserved = self.holder.reserve(self.now_us, &self.budget, SIZE);
            let actions = self.holder.poll(self.now_us);
            self.run(actions);
            if let Ok(id) = reserved {
                return Some(id);
            }
            self.advance(20_000);
        }
        None
    }

    fn spend(&mut self, requests: u64) {
        for _ in 0..requests {
            let id = self.reserve().expect("tokens are left");
            self.holder.settle(self.now_us, id, SIZE);
            self.advance(100_000);
        }
    }

    fn idle(&self) -> u64 {
        let report = self.holder.report(&self.budget).expect("in use");
        report.available_tokens
    }
}

#[test]
fn plentiful_budget_keeps_grants_for_an_outage() {
    let mut fixture = Fixture::new();
    fixture.spend(30);
    assert!(fixture.idle() >= 8 * SIZE, "{} tokens free", fixture.idle());
}

#[test]
fn scarce_budget_returns_idle_tokens() {
    let mut fixture = Fixture::new();
    fixture.spend(92);
    fixture.advance(3 * SECOND_US);
    assert_eq!(fixture.idle(), 0);
    let (_, shard) = fixture.shard.as_ref().expect("drawn on");
    let totals = shard.totals(&fixture.budget).expect("drawn on");
    assert_eq!(totals.left_tokens, PURCHASED - 92 * SIZE);
}

#[test]
fn scarce_budget_serves_each_request_until_it_is_exhausted() {
    let mut fixture = Fixture::new();
    fixture.spend(100);
    assert!(fixture.reserve().is_none(), "no token is left");
}

#[rstest]
#[case::a_little(100_500, true)]
#[case::plenty(300_000, false)]
fn top_up_ends_scarcity_only_above_the_plenty_part(#[case] purchased: u64, #[case] scarce: bool) {
    let mut fixture = Fixture::new();
    fixture.spend(95);
    fixture.configure(2, purchased);
    fixture.spend(3);
    fixture.advance(2 * SECOND_US);
    assert_eq!(
        fixture.idle() == 0,
        scarce,
        "{} tokens free",
        fixture.idle()
    );
}
