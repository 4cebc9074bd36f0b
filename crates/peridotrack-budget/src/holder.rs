//! The holder: grants and reservations of one router incarnation for all budgets.
//!
//! [`Holder`] decides when to draw from the ledger, when to return tokens to it, and when to
//! transfer tokens to other holders or request them. Each submodule implements one of these
//! tasks. Time, store calls and the delivery of messages are left to the driver.

use std::collections::BTreeSet;

use peridotrack_types::{collections::HashMap, id, name};

use crate::{
    action::Action,
    event::Event,
    ledger,
    options::Options,
    refusal::{self, Refusal},
    reservation,
};

mod account;
mod coordinator;
mod limit;
mod pending_requests;
mod plan;
mod rate;
mod report;
mod search;
mod shard_state;
mod sweep;
mod transfer;

pub use account::Status;
pub use report::Report;

use account::{Account, Active};
use search::Search;
use shard_state::ShardState;

/// Retry delay reported while a draw or a transfer is in progress, in milliseconds.
const RETRY_WAITING_MS: u64 = 100;
/// Retry delay reported for an exhausted budget, in milliseconds.
const RETRY_EXHAUSTED_MS: u64 = 10_000;

/// Grants and reservations of one router incarnation for all budgets.
///
/// Methods that return no actions may leave some pending: call [`Holder::poll`] after them.
#[derive(Debug)]
pub struct Holder {
    id: id::Incarnation,
    options: Options,
    config_version: u64,
    accounts: Vec<Account>,
    /// Index into `accounts` by budget.
    index: HashMap<name::Budget, u32>,
    /// Indexes of the accounts in use, in the order of first use.
    active: Vec<u32>,
    sweep: sweep::Cursor,
    shards: Vec<ShardState>,
    store_backoff: shard_state::StoreBackoff,
    /// Shards with a store call that is due, in flight or backing off.
    busy: BTreeSet<u32>,
    /// Accounts with a search in progress or with demand.
    searching: BTreeSet<u32>,
    /// Accounts with unacknowledged transfers.
    unacknowledged: BTreeSet<u32>,
    /// Accounts whose search ended, so that token requests of other holders can be served.
    requests_due: BTreeSet<u32>,
    /// Open reservations: index of the account, and bound in tokens.
    reservations: HashMap<u64, (u32, u64)>,
    next_reservation: u64,
    /// Live peers in the local failure domain, sorted, without this holder.
    peers: Vec<id::Incarnation>,
    /// Holders that are skipped, each until a time in microseconds.
    suspects: HashMap<id::Incarnation, u64>,
    is_closing: bool,
    /// Whether an [`Action::Wake`] is due.
    wake: bool,
    /// Actions to be returned by the next poll.
    actions: Vec<Action>,
    rng: fastrand::Rng,
}

/// Constructors.
impl Holder {
    /// Creates the holder of a new incarnation, without grants.
    pub fn new(incarnation: id::Incarnation, options: Options, now_us: u64) -> Self {
        let shard_count = options.shard_count.max(1) as usize;
        Self {
            id: incarnation,
            config_version: 0,
            accounts: Vec::new(),
            index: HashMap::default(),
            active: Vec::new(),
            sweep: sweep::Cursor::new(now_us),
            shards: (0..shard_count).map(|_| ShardState::default()).collect(),
            busy: BTreeSet::new(),
            searching: BTreeSet::new(),
            unacknowledged: BTreeSet::new(),
            requests_due: BTreeSet::new(),
            store_backoff: shard_state::StoreBackoff::default(),
            reservations: HashMap::default(),
            next_reservation: 1,
            peers: Vec::new(),
            suspects: HashMap::default(),
            is_closing: false,
            wake: false,
            actions: Vec::new(),
            rng: fastrand::Rng::with_seed(options.seed ^ incarnation.0),
            options,
        }
    }
}

/// Identity and state.
impl Holder {
    /// Returns the incarnation that this holder acts for.
    pub fn id(&self) -> id::Incarnation {
        self.id
    }

    /// Returns the version of the last applied configuration; 0 if there is none.
    pub fn config_version(&self) -> u64 {
        self.config_version
    }

    /// Returns whether [`Holder::close`] was called and every row is closed since.
    pub fn is_closed(&self) -> bool {
        let is_done = |state: &ShardState| state.is_quiescent() && !state.is_member();
        self.is_closing && self.shards.iter().all(is_done)
    }

    fn active_accounts(&self) -> impl Iterator<Item = (&Account, &Active)> {
        self.active.iter().filter_map(|index| {
            let account = &self.accounts[*index as usize];
            Some((account, account.active.as_deref()?))
        })
    }
}

/// Configuration and peers.
impl Holder {
    /// Applies the purchased totals of a configuration; an older version is ignored.
    ///
    /// A budget that is missing counts as lowered to 0.
    #[must_use = "the holder waits forever for store calls that are not made"]
    pub fn configure(
        &mut self,
        now_us: u64,
        config_version: u64,
        budgets: impl IntoIterator<Item = (name::Budget, u64)>,
    ) -> Vec<Action> {
        if config_version <= self.config_version {
            return Vec::new();
        }
        self.config_version = config_version;
        let mut removed: BTreeSet<u32> = (0..self.accounts.len() as u32).collect();
        for (budget, purchased_tokens) in budgets {
            let index = self.account_index(&budget);
            removed.remove(&index);
            self.set_purchased(now_us, index, purchased_tokens);
        }
        for index in removed {
            self.set_purchased(now_us, index, 0);
        }
        self.poll(now_us)
    }

    /// Sets the live holders of the local failure domain.
    #[must_use = "the holder waits forever for store calls that are not made"]
    pub fn set_peers(&mut self, now_us: u64, peers: &[id::Incarnation]) -> Vec<Action> {
        self.peers = peers.iter().copied().filter(|id| *id != self.id).collect();
        self.peers.sort_unstable();
        self.peers.dedup();
        for index in &self.active {
            if let Some(active) = self.accounts[*index as usize].active.as_mut() {
                active.count_peer_tokens(&self.peers);
            }
        }
        self.poll(now_us)
    }

    /// Returns the index of a budget's account, which is created if there is none.
    fn account_index(&mut self, budget: &name::Budget) -> u32 {
        if let Some(index) = self.index.get(budget) {
            return *index;
        }
        let index = self.accounts.len() as u32;
        self.accounts.push(Account {
            budget: budget.clone(),
            shard: ledger::shard_of(budget, self.options.shard_count),
            purchased_tokens: 0,
            active: None,
        });
        self.index.insert(budget.clone(), index);
        index
    }

    fn set_purchased(&mut self, now_us: u64, index: u32, purchased_tokens: u64) {
        let account = &mut self.accounts[index as usize];
        if account.purchased_tokens == purchased_tokens {
            return;
        }
        account.purchased_tokens = purchased_tokens;
        let shard = account.shard;
        let Some(active) = account.active.as_mut() else {
            return;
        };
        if matches!(active.search, Search::Exhausted { .. }) {
            active.search = Search::None;
        }
        let is_listed = active.status == Status::Listed;
        self.wake = true;
        if is_listed {
            self.schedule_call(shard, now_us);
        }
    }
}

/// Reservations of spend.
impl Holder {
    /// Reserves an upper bound of spend before anything is sent to a backend server.
    ///
    /// After [`refusal::Kind::Waiting`], retry at the next [`Action::Wake`]: until then, each
    /// failed attempt counts as demand.
    pub fn reserve(
        &mut self,
        now_us: u64,
        budget: &name::Budget,
        tokens: u64,
    ) -> Result<reservation::Id, Refusal> {
        let Some(&index) = self.index.get(budget) else {
            return Err(exhausted());
        };
        if self.is_closing {
            return Err(self.unavailable());
        }
        self.activate(now_us, index);
        let half_life_us = self.options.rate_half_life_us;
        let Some(active) = self.accounts[index as usize].active.as_mut() else {
            return Err(self.unavailable());
        };
        let available_tokens = active.available_tokens();
        active.last_use_us = now_us;
        if available_tokens < tokens {
            return Err(self.refuse(now_us, index, tokens));
        }
        active.reserved_tokens += tokens;
        active.rate.add(now_us, half_life_us, tokens as f64);
        if available_tokens - tokens < active.low_water_tokens {
            self.draw_ahead(now_us, index);
        }
        let id = self.next_reservation;
        self.next_reservation += 1;
        self.reservations.insert(id, (index, tokens));
        Ok(reservation::Id(id))
    }

    /// Settles the reported spend and makes the rest of the reservation available again.
    ///
    /// Without a report, settle at the bound.
    pub fn settle(
        &mut self,
        now_us: u64,
        reservation: reservation::Id,
        spent_tokens: u64,
    ) -> reservation::Outcome {
        let Some((index, bound_tokens)) = self.reservations.remove(&reservation.0) else {
            return reservation::Outcome::Unknown;
        };
        let settled_tokens = spent_tokens.min(bound_tokens);
        self.finish(now_us, index, bound_tokens, settled_tokens);
        match spent_tokens.saturating_sub(bound_tokens) {
            0 => reservation::Outcome::Settled,
            excess_tokens => reservation::Outcome::Clamped { excess_tokens },
        }
    }

    /// Cancels a reservation whose request was not sent to any backend server.
    pub fn cancel(&mut self, now_us: u64, reservation: reservation::Id) -> reservation::Outcome {
        self.settle(now_us, reservation, 0)
    }

    /// Returns the bound of an open reservation, in tokens.
    pub fn bound_tokens(&self, reservation: reservation::Id) -> Option<u64> {
        self.reservations
            .get(&reservation.0)
            .map(|(_, bound)| *bound)
    }

    /// Settles the account of a reservation that has ended, and serves token requests from what
    /// became available.
    fn finish(&mut self, now_us: u64, index: u32, bound_tokens: u64, settled_tokens: u64) {
        let half_life_us = self.options.rate_half_life_us;
        let account = &mut self.accounts[index as usize];
        let shard = account.shard;
        let Some(active) = account.active.as_mut() else {
            return;
        };
        active.reserved_tokens -= bound_tokens;
        active.settled_tokens += settled_tokens;
        let freed_tokens = bound_tokens - settled_tokens;
        let may_close = self.is_closing && active.reserved_tokens == 0;
        let has_requests = !active.pending_requests.is_empty();
        if freed_tokens > 0 {
            active
                .rate
                .add(now_us, half_life_us, -(freed_tokens as f64));
            self.wake |= active.demand_tokens > 0;
        }
        if may_close {
            self.schedule_call(shard, now_us);
        }
        if freed_tokens > 0 && has_requests {
            self.serve_requests(now_us, index, None);
        }
    }

    /// Creates the state of a budget at its first use.
    fn activate(&mut self, now_us: u64, index: u32) {
        let account = &mut self.accounts[index as usize];
        if account.active.is_some() {
            return;
        }
        account.active = Some(Box::new(Active {
            last_use_us: now_us,
            rate: rate::Rate::new(now_us),
            transfer_rate: rate::Rate::new(now_us),
            ..Active::default()
        }));
        self.active.push(index);
        self.shards[account.shard as usize].accounts.push(index);
    }
}

/// Events and shutdown.
impl Holder {
    /// Handles an event and returns the actions that are due.
    #[must_use = "the holder waits forever for store calls that are not made"]
    pub fn on_event(&mut self, now_us: u64, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.on_tick(now_us),
            Event::ShardRead {
                shard,
                version,
                body,
            } => self.on_read(now_us, shard, version, body),
            Event::ShardAbsent { shard } => self.on_absent(now_us, shard),
            Event::ReadFailed { shard } => self.on_read_failed(now_us, shard),
            Event::Written { shard, version } => self.on_written(now_us, shard, version),
            Event::WriteConflict { shard, current } => self.on_conflict(now_us, shard, current),
            Event::WriteUnknown { shard } => self.on_unknown(now_us, shard),
            Event::WriteRefused {
                shard,
                retry_after_ms,
            } => self.on_write_refused(now_us, shard, retry_after_ms),
            Event::Refresh { shard } => self.schedule_call(shard, now_us),
            Event::Peer { from, message } => self.on_message(now_us, from, message),
            Event::PeerLost { peer } => self.on_peer_lost(now_us, peer),
        }
        self.poll(now_us)
    }

    /// Returns the actions that are due, including those left pending by methods that return
    /// none.
    #[must_use = "the holder waits forever for store calls that are not made"]
    pub fn poll(&mut self, now_us: u64) -> Vec<Action> {
        for index in std::mem::take(&mut self.requests_due) {
            self.handle_requests(now_us, index);
        }
        self.advance_shards(now_us);
        self.advance_searches(now_us);
        self.advance_shards(now_us);
        if std::mem::take(&mut self.wake) {
            self.clear_demand();
            self.actions.push(Action::Wake);
        }
        std::mem::take(&mut self.actions)
    }

    /// Stops reserving and closes every row once its reservations are settled.
    #[must_use = "the holder waits forever for store calls that are not made"]
    pub fn close(&mut self, now_us: u64) -> Vec<Action> {
        self.is_closing = true;
        self.wake = true;
        for shard in 0..self.shards.len() {
            if self.shards[shard].is_member() {
                self.schedule_call(shard as u32, now_us);
            }
        }
        self.poll(now_us)
    }
}

impl Holder {
    /// Returns the refusal used while the store is unreachable or the holder may not spend.
    fn unavailable(&self) -> Refusal {
        Refusal {
            kind: refusal::Kind::Unavailable,
            retry_after_ms: self.options.unavailable_retry_ms,
        }
    }
}

fn exhausted() -> Refusal {
    Refusal {
        kind: refusal::Kind::Exhausted,
        retry_after_ms: RETRY_EXHAUSTED_MS,
    }
}

fn waiting() -> Refusal {
    Refusal {
        kind: refusal::Kind::Waiting,
        retry_after_ms: RETRY_WAITING_MS,
    }
}
