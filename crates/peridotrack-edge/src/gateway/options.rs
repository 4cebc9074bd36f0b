//! Options of the services and of the backend connections of a gateway, derived from its settings.
//!
//! The suffix of a constant's name is its unit: `_US` microseconds, `_MS` milliseconds, `_BYTES`
//! bytes. A `_PART` is a fraction, and a `_DIVISOR` divides the quantity that its comment names.

use std::collections::BTreeSet;

use peridotrack_budget::options as budget_options;
use peridotrack_capacity::{account, connections};
use peridotrack_follow::follower;
use peridotrack_http::{client, forward};
use peridotrack_kernel::clock;
use peridotrack_origin::origins;
use peridotrack_route::{options as route_options, stop, throttle};
use peridotrack_types::{
    gateway::{Bounds, Settings},
    name,
};

use crate::{member, peer, stopping};

/// Time at the end of the grace period that is reserved for closing the budget, in microseconds;
/// closing may take longer if open requests end earlier.
const BUDGET_CLOSE_US: u64 = 800 * clock::US_PER_MS;
/// Time reserved after closing the budget for the process to exit before the grace period ends, in
/// microseconds.
const EXIT_MARGIN_US: u64 = 200 * clock::US_PER_MS;
/// Time before the end of the stop at which requests without a response are answered, in
/// microseconds.
const ANSWER_MARGIN_US: u64 = 100 * clock::US_PER_MS;
/// Time for which a stopping gateway serves on idle connections, in microseconds: the load balancer
/// probes readiness every second and takes a VM out of rotation after two failures.
const LEAVE_ROTATION_US: u64 = 2_600 * clock::US_PER_MS;
/// Span of the observed spend that a grant from the ledger, or a buffer from a coordinator, covers,
/// in microseconds: longer than the store outages that must be tolerated.
const DRAW_SPAN_US: u64 = 12 * clock::US_PER_S;
/// Span of transfers to peers that a coordinator's grant covers, in microseconds: longer than a
/// draw takes, with the delay that batches draws, and short compared with the buffers of the
/// peers.
const TRANSFER_SPAN_US: u64 = 5 * clock::US_PER_S;
/// Standard deviations of the spend over [`DRAW_SPAN_US`] that a grant covers on top of the mean.
const DRAW_DEVIATIONS: f64 = 1.5;
/// Divisor that gives, from the tokens that the ledger has left of an account, what all routers
/// together keep ahead of need: a quarter of these, so that the loss of all routers strands a fifth
/// of the remainder, and the tokens in transit.
const SHARE_DIVISOR: u64 = 4;
/// Half-life of the observed spend rate, in microseconds.
const RATE_HALF_LIFE_US: u64 = 8 * clock::US_PER_S;
/// Minimum time over which the first spend of an account is averaged, in microseconds.
const MIN_RATE_AGE_US: u64 = 2 * clock::US_PER_S;
/// Fraction of an account's purchased tokens below which the account is scarce: while less is left
/// in the ledger, no tokens are drawn in advance.
const SCARCE_PART: f64 = 0.2;
/// Fraction of the purchased tokens at which scarcity ends and tokens are drawn in advance again.
/// It exceeds [`SCARCE_PART`] by more than returned idle grants add, so that these alone do not end
/// scarcity.
const PLENTY_PART: f64 = 0.45;
/// Maximum number of portions of the remaining tokens that the routers of a failure domain keep ahead
/// of need; a portion is the maximum of one draw.
const MAX_HELD_PORTIONS: u64 = 1;
/// Fraction of a full grant below which the next draw is due: the rest must last through a store
/// outage.
const LOW_WATER_PART: f64 = 0.9;
/// Period at which the grant of each account is checked for draws and returns, in microseconds.
const INSPECT_US: u64 = clock::US_PER_S;
/// Timeout of a token request to a peer, in microseconds: several round trips between failure
/// domains of a region.
const TOKEN_REQUEST_TIMEOUT_US: u64 = 20 * clock::US_PER_MS;
/// Maximum wait for a peer that has replied that it is requesting tokens itself, in microseconds.
/// It is shorter than the time allowed for drawing tokens on routes with a latency objective above
/// 300 ms.
const PENDING_TIMEOUT_US: u64 = 150 * clock::US_PER_MS;
/// Time to wait for the store before peers are asked as well, in microseconds: several calls, and
/// short enough for the peers to reply while the request still waits.
const STORE_WAIT_US: u64 = 100 * clock::US_PER_MS;
/// Time for which a token request of a peer that was not satisfied is remembered, in microseconds:
/// long enough for a request that retries, short compared with an outage.
const UNMET_REQUEST_US: u64 = clock::US_PER_S;
/// Time for which a peer that did not reply is skipped, in microseconds.
const SUSPECT_US: u64 = 2 * clock::US_PER_S;
/// Longest backoff between two attempts to reach an unreachable store, in microseconds.
const STORE_BACKOFF_MAX_US: u64 = 400 * clock::US_PER_MS;
/// Retry delay stated in a refusal because the store cannot be reached, in milliseconds; clients
/// cap it at a third of their remaining time.
const UNAVAILABLE_RETRY_MS: u64 = 5_000;
/// Time for which the contents of a ledger shard are cached for the next draw, in microseconds:
/// older contents have most likely changed.
const SHARD_CACHE_US: u64 = 5 * clock::US_PER_S;
/// Time without use after which a grant is returned to the ledger, in microseconds.
const RETURN_AFTER_US: u64 = 8 * clock::US_PER_S;
/// Square of the store's write rate (calls per second) per shard of the ledger. The write rate
/// grows with the fleet, and so do both the draws and the coordinators that they contend with.
const SQUARED_WRITES_PER_SHARD: u64 = 40_000;
/// Maximum number of shards of the ledger: each router keeps a state of each, of some hundred bytes.
const MAX_SHARDS: u64 = 4_096;
/// Span that a coordinator's grant covers while an account is scarce, in microseconds: long
/// compared with the duration of a draw, short because the loss of a coordinator strands its
/// grant.
const SCARCE_DRAW_SPAN_US: u64 = 500 * clock::US_PER_MS;
/// Fraction of the time in which changes must be applied after which a silent relay is no longer
/// relied on; the rest is for a watch by the router itself.
const SILENCE_PART: f64 = 0.6;
/// Fraction of the same time after which an update of a relay is no longer relied on, from the
/// subscription that preceded it; the rest is for a watch by the router itself.
const MAX_AGE_PART: f64 = 0.8;
/// Fraction of the same time for which a watch of a relay waits at most. When it ends without a
/// change, the relay reports this to its subscribers; the response to the watch and the message to
/// them must arrive within the time of [`SILENCE_PART`].
const RELAY_WAIT_PART: f64 = 0.3;
/// Longest backoff between failing calls of a follower, in microseconds: well within the 2 s in
/// which entries are renewed after an outage.
const FOLLOW_BACKOFF_MAX_US: u64 = 800 * clock::US_PER_MS;
/// Maximum wait of a watch of the statements about crashes or of the evacuations, in microseconds: three of
/// them, and twice the time after which a stated revision is relied on, are shorter than the store keeps
/// its history.
const MAX_LED_WAIT_US: u64 = 3 * clock::US_PER_S;
/// Renewal intervals of an entry in the shortest outage of the store in which it expires. Entries
/// expire after three intervals without renewal, of which the last renewal may precede the outage
/// by one.
const EXPIRY_INTERVALS: u64 = 2;
/// Divisor of the time after an outage in which a gateway must be connected again; gives the wait
/// of a watch. A watch that gets no response because of an outage must be detected within that
/// time, which includes the time for a response.
const CONTACT_WAIT_DIVISOR: u64 = 2;
/// The same for a watch after a failed call. It, too, may get no response because of the outage;
/// that must be detected, and the watch restarted after a backoff, within the same time.
const CONTACT_RETRY_WAIT_DIVISOR: u64 = 6;
/// Divisor of the time after which a draining server must get no new requests; gives the delay that
/// batches changes into one call.
const DRAIN_BATCH_DIVISOR: u64 = 5;
/// Time between heartbeats of a starting router, in microseconds. It is short because after a loss
/// of all routers each one draws separately until it knows its peers.
const STARTUP_HEARTBEAT_US: u64 = 250 * clock::US_PER_MS;
/// Time for which a router counts as starting, in microseconds.
const STARTUP_US: u64 = 5 * clock::US_PER_S;
/// Maximum number of peer records in one message and in one heartbeat period: a failure domain of a
/// large deployment fits into one or two messages.
const MAX_RECORDS: usize = 32;
/// Maximum number of records of the sender's failure domain in a reply from a seed in another one.
const MAX_SENDER_DOMAIN_RECORDS: usize = 4;
/// Maximum number of full replies in one heartbeat period: all routers of a failure domain may
/// contact the same seed at once.
const MAX_REPLIES: u32 = 20;
/// Fraction of the operators' retry ratio that one router uses; the rest allows for uneven load
/// between routers.
const LOCAL_RETRY_PART: f64 = 0.5;
/// Retries that a router may always make in the window, however little traffic it has.
const MIN_RETRIES: f64 = 2.0;
/// Maximum number of idle connections kept open to each backend server.
pub(super) const MAX_IDLE_CONNECTIONS: usize = 16;
/// Timeout for connecting to a backend server, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 250;
/// Timeout for connecting to a backend server whose connection broke, in milliseconds: several
/// round trips within a region, since a retry waits for the result.
const LIVENESS_TIMEOUT_MS: u64 = 50;
/// Time in which a backend server must state when it started before a stream goes on there, in
/// microseconds: reports need no slot, and events may pause for about twice as long.
pub(super) const REPORT_TIMEOUT_US: u64 = 150 * clock::US_PER_MS;
/// Time after which such a server is connected to once more if it accepted the connection, in
/// microseconds: the sockets of a process that ends are closed one after the other.
pub(super) const LIVENESS_RECHECK_US: u64 = 100 * clock::US_PER_MS;
/// Minimum retry delay stated in a refusal of a request that another router may be sending to learn
/// whether it causes crashes, in milliseconds.
pub(super) const UNDECIDED_RETRY_MS: u64 = 1_000;
/// Time after which a router that was asked where a stream began is asked once more, on a new
/// connection, in microseconds: several round trips within a region.
const LOOKUP_REPEAT_US: u64 = 60 * clock::US_PER_MS;
/// Time for which such a router may take to answer, in microseconds: a new connection each way, and a
/// small part of the time for which clients wait for the next event.
const LOOKUP_TIMEOUT_US: u64 = 200 * clock::US_PER_MS;
/// Retry delay stated in a refusal because such a router did not answer, in microseconds: a link to it
/// is made again in that time.
pub(super) const LOOKUP_RETRY_US: u64 = 300 * clock::US_PER_MS;
/// Maximum size of a response body that is not streamed, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Memory of an idle process with its connections, in mebibytes.
const IDLE_MB: usize = 24;
/// Divisor of the remaining memory that gives what may be held for messages: freed memory is not
/// returned to the system at once, and fragmentation adds to it.
const HELD_DIVISOR: usize = 2;
/// Least memory for messages in mebibytes, for VMs below those of the platform.
const MIN_HELD_MB: usize = 8;
const BYTES_PER_MB: usize = 1024 * 1024;
/// Divisor of the memory for messages that gives the part only responses use.
const RESPONSE_RESERVE_DIVISOR: usize = 4;
/// Divisor of the memory for messages that gives the part only small requests and responses use.
const SMALL_RESERVE_DIVISOR: usize = 8;
/// Size of a small request in bytes.
const SMALL_REQUEST_BYTES: usize = 64 * 1024;
/// Wait for memory after which unfinished requests are dropped, in microseconds.
const DROP_AFTER_US: u64 = 200 * clock::US_PER_MS;
/// Time for which a client may be slow before its request can be dropped, in microseconds: several
/// round trips.
const MIN_AGE_US: u64 = 500 * clock::US_PER_MS;
/// Longest wait of a message for memory, in microseconds.
const MAX_MEMORY_WAIT_US: u64 = 5 * clock::US_PER_S;
/// Time without a wait after which the gateway no longer holds back, in microseconds.
const CALM_US: u64 = 2 * clock::US_PER_S;
/// Numerator and divisor of the part of the sockets that clients may use; the others are for backend
/// servers, peers and the store.
const CLIENT_SOCKETS_PART: (usize, usize) = (2, 3);
/// Numerator and divisor of the part of the sockets that tunnels of other routers may use, which leaves
/// as many for this router's own connections to backend servers, peers and the store.
const TUNNEL_SOCKETS_PART: (usize, usize) = (1, 6);
/// Sockets of one tunnel: one to the other router, one to the backend server.
const SOCKETS_PER_TUNNEL: usize = 2;
/// Time by which the idle timeout of a tunnel exceeds the longest silence of a response, in
/// milliseconds.
const TUNNEL_IDLE_MARGIN_MS: u64 = 5_000;
/// Time in which a client may send its first request before its connection can be closed for another
/// one, in microseconds.
const FIRST_REQUEST_AGE_US: u64 = 500 * clock::US_PER_MS;

/// Returns the limits of the memory for messages.
pub(super) fn account(settings: &Settings) -> account::Options {
    let held_mb = settings.memory_mb.saturating_sub(IDLE_MB) / HELD_DIVISOR;
    let bound_bytes = held_mb.max(MIN_HELD_MB) * BYTES_PER_MB;
    account::Options {
        bound_bytes,
        response_reserve_bytes: bound_bytes / RESPONSE_RESERVE_DIVISOR,
        small_reserve_bytes: bound_bytes / SMALL_RESERVE_DIVISOR,
        small_bytes: SMALL_REQUEST_BYTES,
        drop_after_us: DROP_AFTER_US,
        min_age_us: MIN_AGE_US,
        max_wait_us: MAX_MEMORY_WAIT_US,
        calm_us: CALM_US,
    }
}

/// Returns the bound of open client connections.
pub(super) fn connections(settings: &Settings) -> connections::Options {
    let (numerator, divisor) = CLIENT_SOCKETS_PART;
    connections::Options {
        max_connections: (settings.sockets * numerator / divisor).max(1),
        min_age_us: FIRST_REQUEST_AGE_US,
    }
}

/// Returns the maximum number of tunnels that are served at a time.
pub(super) fn max_tunnels(settings: &Settings) -> usize {
    let (numerator, divisor) = TUNNEL_SOCKETS_PART;
    settings.sockets * numerator / divisor / SOCKETS_PER_TUNNEL
}

/// Returns the options of the budget holder.
///
/// The shard count depends only on the store's write rate, so that all routers of a deployment
/// agree on it.
pub(super) fn ledger(settings: &Settings) -> budget_options::Options {
    let shard_count = settings.store_writes_per_s.pow(2) / SQUARED_WRITES_PER_SHARD;
    let shard_count = shard_count.clamp(1, MAX_SHARDS);
    budget_options::Options {
        shard_count: u32::try_from(shard_count).unwrap_or(u32::MAX),
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
        store_wait_us: STORE_WAIT_US,
        unmet_request_us: UNMET_REQUEST_US,
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

/// Returns the options of the membership.
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

/// Returns the length of the shortest outage of the store in which entries expire, in microseconds.
pub(super) fn min_outage_us(bounds: &Bounds) -> u64 {
    EXPIRY_INTERVALS * bounds.heartbeat_ms * clock::US_PER_MS
}

/// Returns the options for following the configuration, on which [`follow_servers`] is based.
pub(super) fn follow(bounds: &Bounds) -> follower::Options {
    let apply_us = bounds.drain_ms.min(bounds.config_apply_ms) * clock::US_PER_MS;
    follower::Options {
        // A view older than this is listed anew instead of applying the missed changes.
        relist_after_us: apply_us,
        relay_wait_us: (apply_us as f64 * RELAY_WAIT_PART) as u64,
        silence_us: (apply_us as f64 * SILENCE_PART) as u64,
        max_age_us: (apply_us as f64 * MAX_AGE_PART) as u64,
        backoff_max_us: FOLLOW_BACKOFF_MAX_US,
        // The membership requests a higher version from the peer that advertises it.
        is_fetched: false,
        // A watch that is cut off after a longer wait could not be told from an outage.
        wait_us: (bounds.contact_ms * clock::US_PER_MS / CONTACT_WAIT_DIVISOR)
            .min(min_outage_us(bounds) * 3 / 4),
        retry_wait_us: bounds.contact_ms * clock::US_PER_MS / CONTACT_RETRY_WAIT_DIVISOR,
        seed: fastrand::u64(..),
        ..follower::Options::default()
    }
}

/// Returns the options for following the backend servers, whose changes come in bursts.
pub(super) fn follow_servers(bounds: &Bounds) -> follower::Options {
    follower::Options {
        // Reading the changes, which are small, is faster than listing all entries anew, which
        // matters after an outage of the store.
        relist_after_us: u64::MAX,
        batch_delay_us: bounds.drain_ms * clock::US_PER_MS / DRAIN_BATCH_DIVISOR,
        is_fetched: true,
        ..follow(bounds)
    }
}

/// Returns the options for following the evacuations, which must be known within `evacuation_ms`. The
/// follower of the configuration detects a relay or a store that cannot be reached. A watch that gets no
/// response because of an outage is detected after its wait and the time for a response, before the
/// bound on changes after the time of contact has passed.
pub(super) fn follow_evacuations(bounds: &Bounds, evacuation_ms: u64) -> follower::Options {
    let wait_us = (evacuation_ms * clock::US_PER_MS).min(MAX_LED_WAIT_US);
    follower::Options {
        wait_us,
        relay_wait_us: wait_us,
        silence_us: 2 * wait_us,
        max_age_us: 2 * wait_us,
        relist_after_us: u64::MAX,
        is_fetched: true,
        is_led: true,
        ..follow(bounds)
    }
}

/// Returns the options for following the statements about crashes, which change rarely. The
/// follower of the configuration detects a relay or a store that cannot be reached.
pub(super) fn follow_quarantine(bounds: &Bounds) -> follower::Options {
    follower::Options {
        wait_us: MAX_LED_WAIT_US,
        relay_wait_us: MAX_LED_WAIT_US,
        silence_us: 2 * MAX_LED_WAIT_US,
        max_age_us: 2 * MAX_LED_WAIT_US,
        subscribe_us: MAX_LED_WAIT_US / 8,
        subscription_us: MAX_LED_WAIT_US / 2,
        relist_after_us: u64::MAX,
        is_fetched: true,
        is_led: true,
        ..follow(bounds)
    }
}

/// Returns the options of a connection that shows whether a backend server still accepts any.
pub(super) fn liveness() -> client::Options {
    client::Options {
        connect_timeout_ms: LIVENESS_TIMEOUT_MS,
        ..backend()
    }
}

/// Returns the options of the distribution of stated rates: a router that has just started does not
/// know the others until it has had time for contact.
pub(super) fn throttle(bounds: &Bounds) -> throttle::Options {
    throttle::Options {
        startup_us: bounds.contact_ms * clock::US_PER_MS,
        ..throttle::Options::default()
    }
}

/// Returns the failure domains of the region of this router.
pub(super) fn region(settings: &Settings) -> BTreeSet<name::FailureDomain> {
    let local = settings.regions.get(&settings.failure_domain);
    let domains = settings.regions.iter();
    let in_region = domains.filter(|(_, region)| Some(*region) == local);
    let in_region = in_region.map(|(domain, _)| domain.clone());
    in_region.chain([settings.failure_domain.clone()]).collect()
}

/// Returns the options of the records of where streams began.
pub(super) fn origins() -> origins::Options {
    origins::Options {
        timeout_us: LOOKUP_TIMEOUT_US,
        repeat_us: LOOKUP_REPEAT_US,
        ..origins::Options::default()
    }
}

/// Returns the options of the routing service.
pub(super) fn route(settings: &Settings) -> route_options::Options {
    route_options::Options {
        retry_ratio: settings.bounds.retry_ratio * LOCAL_RETRY_PART,
        min_retries: MIN_RETRIES,
        retry_proven_not_run: true,
        charge_refusal_retries: true,
        ..route_options::Options::default()
    }
}

/// Returns the options of connections to backend servers.
pub(super) fn backend() -> client::Options {
    client::Options {
        connect_timeout_ms: CONNECT_TIMEOUT_MS,
        body_bytes: MAX_RESPONSE_BYTES,
        accept_close_delimited: true,
        ..client::Options::default()
    }
}

/// Returns the timeouts of tunnels, which are silent for longer than a response may be and than a
/// pooled connection is kept.
pub(super) fn tunnel() -> forward::Options {
    let backend = backend();
    let silence_ms = backend.response_timeout_ms.max(backend.chunk_timeout_ms);
    forward::Options {
        idle_timeout_ms: silence_ms + TUNNEL_IDLE_MARGIN_MS,
        keepalive_ms: peer::tunnel::KEEPALIVE_MS,
    }
}

/// Returns the times of a stop that begins at `begun_us` (monotonic microseconds) and ends with the
/// operators' grace period.
pub(super) fn stop_times(begun_us: u64, bounds: &Bounds) -> stopping::Times {
    let end_us = begun_us + bounds.grace_ms * clock::US_PER_MS;
    let finish_us = end_us.saturating_sub(BUDGET_CLOSE_US).max(begun_us);
    stopping::Times {
        stop: stop::Stop {
            begun_us,
            leave_us: finish_us.min(begun_us + LEAVE_ROTATION_US),
            finish_us,
        },
        answer_us: close_us(begun_us, bounds).saturating_sub(ANSWER_MARGIN_US),
    }
}

/// Returns when the budget must be closed and the process ends, for a stop that begins at
/// `begun_us` (monotonic microseconds).
pub(super) fn close_us(begun_us: u64, bounds: &Bounds) -> u64 {
    let end_us = begun_us + bounds.grace_ms * clock::US_PER_MS;
    end_us.saturating_sub(EXIT_MARGIN_US).max(begun_us)
}
