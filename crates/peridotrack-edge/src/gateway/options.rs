//! How a gateway runs the product's services, from its settings.

use peridotrack_budget::options as budget_options;
use peridotrack_follow::follower;
use peridotrack_http::client;
use peridotrack_kernel::clock;
use peridotrack_route::options as route_options;
use peridotrack_types::gateway::{Bounds, Settings};

use crate::member;

/// Tokens of a grant are drawn for this span of the observed spend, in microseconds: longer
/// than the outages of the store that are to be ridden out.
const DRAW_SPAN_US: u64 = 12 * clock::US_PER_S;
/// A drawer's grant covers what it gives to its peers for this span, in microseconds: longer
/// than a draw takes with the time in which draws are collected, short against their own floats.
const TRANSFER_SPAN_US: u64 = 5 * clock::US_PER_S;
/// Standard deviations of the spend over that span that are drawn on top.
const DRAW_DEVIATIONS: f64 = 1.5;
/// What is left of an account is divided among the routers this many times over: a loss of all
/// of them strands about a fifth of it, and what is in flight.
const SHARE_DIVISOR: u64 = 5;
/// Half-life of the observed spend, in microseconds.
const RATE_HALF_LIFE_US: u64 = 8 * clock::US_PER_S;
/// Time over which the first spend of an account is averaged at least, in microseconds.
const MIN_RATE_AGE_US: u64 = 2 * clock::US_PER_S;
/// Part of an account's tokens below which, left in the ledger, nothing is drawn ahead.
const SCARCE_PART: f64 = 0.2;
/// Part from which on tokens are drawn ahead again: more than idle grants bring back.
const PLENTY_PART: f64 = 0.45;
/// Portions of what is left that a router keeps at most.
const MAX_HELD_PORTIONS: u64 = 1;
/// Part of a full grant below which the next draw is due: the rest must last an outage.
const LOW_WATER_PART: f64 = 0.9;
/// Period in which each account's grant is inspected, in microseconds.
const INSPECT_US: u64 = clock::US_PER_S;
/// Longest wait for a peer that is asked for tokens, in microseconds: several round trips
/// between failure domains of a region.
const TOKEN_REQUEST_TIMEOUT_US: u64 = 20 * clock::US_PER_MS;
/// Longest wait for a peer that said that it is searching, in microseconds: a part of the
/// shortest time that drawing tokens may take.
const PENDING_TIMEOUT_US: u64 = 150 * clock::US_PER_MS;
/// Time for which a peer that did not answer is passed over, in microseconds.
const SUSPECT_US: u64 = 2 * clock::US_PER_S;
/// Longest pause between two probes of a store that cannot be reached, in microseconds.
const STORE_BACKOFF_MAX_US: u64 = 400 * clock::US_PER_MS;
/// When to come back after a refusal because the store cannot be reached, in milliseconds;
/// clients cap it at a third of the time they have.
const UNAVAILABLE_RETRY_MS: u64 = 5_000;
/// Time for which the contents of a ledger shard are kept for the next draw, in microseconds:
/// older ones have most likely changed since.
const SHARD_CACHE_US: u64 = 5 * clock::US_PER_S;
/// Time without use after which a grant goes back, in microseconds.
const RETURN_AFTER_US: u64 = 8 * clock::US_PER_S;
/// Square of the store's write calls a second for which one shard of the ledger is made: the
/// draws and the drawers that they meet both grow with the fleet, as that rate does.
const SQUARED_WRITES_PER_SHARD: u64 = 40_000;
/// Time that a drawer's grant covers near the end of an account, in microseconds: long against
/// the time of a draw, short against what the loss of a drawer may strand.
const SCARCE_DRAW_SPAN_US: u64 = 500 * clock::US_PER_MS;
/// Part of the time in which changes must be known after which a silent peer's word no longer
/// counts; the rest is for a watch of one's own.
const SILENCE_PART: f64 = 0.6;
/// The same for the longest wait of a watch whose end tells peers that nothing changed; its
/// answer and the way to the peers must fit into the silence too.
const RELAY_WAIT_PART: f64 = 0.3;
/// Longest pause between two calls that fail while a kind is followed, in microseconds: a part of
/// the 2 s in which entries come back after an outage.
const FOLLOW_BACKOFF_MAX_US: u64 = 800 * clock::US_PER_MS;
/// Part of the time after an outage by which a gateway counts as connected that a watch waits: a
/// silenced one must be noticed, with the time for its answer, within that time.
const CONTACT_WAIT_DIVISOR: u64 = 2;
/// Part of the time after an outage by which a gateway counts as connected that a watch after a
/// failed one waits: an outage may have silenced it, and with the time for its answer and a
/// pause it must be noticed and begun again within that time.
const CONTACT_RETRY_WAIT_DIVISOR: u64 = 6;
/// Part of the time in which a draining server must get no more requests that is spent on
/// collecting changes into one call.
const DRAIN_BATCH_DIVISOR: u64 = 5;
/// Time between heartbeats of a starting router, in microseconds: after a loss of all routers
/// each draws alone until it knows its peers.
const STARTUP_HEARTBEAT_US: u64 = 250 * clock::US_PER_MS;
/// Time for which a router counts as starting, in microseconds.
const STARTUP_US: u64 = 5 * clock::US_PER_S;
/// Most records of peers in one message and in one period: a failure domain of a large
/// deployment in one or two messages.
const MAX_RECORDS: usize = 32;
/// Peers of its own failure domain that a router is told of by a seed in another one.
const MAX_SENDER_DOMAIN_RECORDS: usize = 4;
/// Most full replies in one period: all routers of a domain may ask the same seed at once.
const MAX_REPLIES: u32 = 20;
/// Part of the operators' retry ratio that one router uses, for the skew between routers.
const LOCAL_RETRY_PART: f64 = 0.5;
/// Retries that a router may make in the window, however little traffic it has.
const MIN_RETRIES: f64 = 2.0;
/// Idle connections that are kept to each backend server.
pub(super) const MAX_IDLE_CONNECTIONS: usize = 16;
/// Longest wait for a connection to a backend server, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 250;
/// Longest answer that is read whole, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Options of the budget holder. All routers of a deployment come to the same shard count.
pub(super) fn ledger(settings: &Settings) -> budget_options::Options {
    let shard_count = settings.store_writes_per_s.pow(2) / SQUARED_WRITES_PER_SHARD;
    budget_options::Options {
        shard_count: u32::try_from(shard_count.max(1)).unwrap_or(u32::MAX),
        grant_span_us: DRAW_SPAN_US,
        give_span_us: TRANSFER_SPAN_US,
        buffer_span_us: DRAW_SPAN_US,
        rate_half_life_us: RATE_HALF_LIFE_US,
        rate_age_min_us: MIN_RATE_AGE_US,
        grant_deviations: DRAW_DEVIATIONS,
        share_divisor: SHARE_DIVISOR,
        low_water_part: LOW_WATER_PART,
        scarce_part: SCARCE_PART,
        plenty_part: PLENTY_PART,
        hold_portions: MAX_HELD_PORTIONS,
        sweep_us: INSPECT_US,
        ask_timeout_us: TOKEN_REQUEST_TIMEOUT_US,
        pending_timeout_us: PENDING_TIMEOUT_US,
        suspect_us: SUSPECT_US,
        backoff_max_us: STORE_BACKOFF_MAX_US,
        unavailable_retry_ms: UNAVAILABLE_RETRY_MS,
        return_after_us: RETURN_AFTER_US,
        keep_us: SHARD_CACHE_US,
        scarce_span_us: SCARCE_DRAW_SPAN_US,
        seed: fastrand::u64(..),
        ..budget_options::Options::default()
    }
}

/// Options of the membership.
pub(super) fn member() -> member::Options {
    member::Options {
        startup_heartbeat_period_us: STARTUP_HEARTBEAT_US,
        startup_us: STARTUP_US,
        records_per_message: MAX_RECORDS,
        records_per_period: MAX_RECORDS,
        sender_domain_records_per_reply: MAX_SENDER_DOMAIN_RECORDS,
        replies_per_period: MAX_REPLIES,
        ..member::Options::default()
    }
}

/// Options of following the store.
pub(super) fn follow(bounds: &Bounds) -> follower::Options {
    let known_us = bounds.drain_ms.min(bounds.config_apply_ms) * clock::US_PER_MS;
    follower::Options {
        // What is older than it may be is read as it is now, not by what changed since.
        relist_after_us: known_us,
        relay_wait_us: (known_us as f64 * RELAY_WAIT_PART) as u64,
        silence_us: (known_us as f64 * SILENCE_PART) as u64,
        backoff_max_us: FOLLOW_BACKOFF_MAX_US,
        wait_us: bounds.contact_ms * clock::US_PER_MS / CONTACT_WAIT_DIVISOR,
        retry_wait_us: bounds.contact_ms * clock::US_PER_MS / CONTACT_RETRY_WAIT_DIVISOR,
        seed: fastrand::u64(..),
        ..follower::Options::default()
    }
}

/// Options of following backend servers, whose changes come in bursts.
pub(super) fn follow_servers(bounds: &Bounds) -> follower::Options {
    follower::Options {
        // There are many entries, each change is small, and its time after a loss counts.
        relist_after_us: u64::MAX,
        batch_delay_us: bounds.drain_ms * clock::US_PER_MS / DRAIN_BATCH_DIVISOR,
        ..follow(bounds)
    }
}

/// Options of the router machine.
pub(super) fn route(settings: &Settings) -> route_options::Options {
    route_options::Options {
        retry_ratio: settings.bounds.retry_ratio * LOCAL_RETRY_PART,
        min_retries: MIN_RETRIES,
        retry_proven_not_run: true,
        charge_refusal_retries: true,
        ..route_options::Options::default()
    }
}

/// Options of connections to backend servers.
pub(super) fn backend() -> client::Options {
    client::Options {
        connect_timeout_ms: CONNECT_TIMEOUT_MS,
        body_bytes: MAX_RESPONSE_BYTES,
        accept_close_delimited: true,
        ..client::Options::default()
    }
}
