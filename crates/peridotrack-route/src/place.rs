//! Placement: the choice of a backend server for one request.
//!
//! Servers are scored by the estimated first-token time plus distance, over all members of a small
//! pool or a sample of a large one. Rendezvous hashing assigns each prompt prefix to home servers,
//! the same in all routers, so that a request is likely sent to a server that has its prefix
//! cached.

use peridotrack_types::stream;

use crate::{backend::Backend, options::Options, pool, prefill, prefix};

/// Factor on the score of a server with a half-open breaker for a request that must not probe it.
const PROBE_FACTOR: f64 = 1e6;
/// Requests per slot from which on a server is no longer preferred for its cached prefixes.
const FULL_LOAD: f64 = 1.0;
/// Members whose rendezvous weights are compared for one prefix.
const RING_WINDOW_MEMBERS: usize = 16;
/// Maximum number of homes of a prompt's shared parts that are candidates.
const MAX_CANDIDATE_HOMES: usize = 4;
/// One in this many sampled servers is taken from other regions.
const FAR_DIVISOR: usize = 4;

/// Properties of a request that its placement depends on.
#[derive(Debug)]
pub struct Query<'a> {
    /// Current time, in microseconds on the clock of the events.
    pub now_us: u64,
    /// Hash of the prompt's prefix, if it is worth caching.
    pub prefix_hash: Option<u64>,
    /// Parts of the prompt, if known; the choice then minimizes the predicted first-token time.
    pub prompt: Option<&'a prefill::Prompt>,
    /// Whether the request may probe a half-open breaker: it is idempotent and the retry budget
    /// allows a retry.
    pub may_probe: bool,
    /// Where the stream began that the request continues, if it does.
    pub origin: Option<&'a stream::Origin>,
    /// Indices of servers that failed this request and must not be chosen.
    pub excluded: &'a [usize],
}

/// Returns the index of the backend server for a request, or `None` if no member is eligible.
pub fn choose(
    backends: &[Backend],
    pool: &pool::Pool,
    query: &Query<'_>,
    options: &Options,
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    if let Some(prompt) = query.prompt {
        return choose_by_prompt(backends, pool, query, prompt, options, rng);
    }
    let (best_us, best) = least_scored(backends, pool, query, options, rng)?;
    let preferred = query
        .prefix_hash
        .and_then(|hash| preferred(backends, pool, query, options, hash, rng));
    match preferred {
        Some(index) if is_affinity_worthwhile(&backends[index], pool, query, best_us, options) => {
            Some(index)
        }
        _ => Some(best),
    }
}

/// Returns the server with the lowest predicted first-token time for a request with a known prompt.
///
/// The homes of the prompt's shared parts are assumed to have them cached, because every router
/// sends requests with those parts there.
fn choose_by_prompt(
    backends: &[Backend],
    pool: &pool::Pool,
    query: &Query<'_>,
    prompt: &prefill::Prompt,
    options: &Options,
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let mut homes = Vec::new();
    if let Some(id) = prompt.shared_id() {
        let serves = |index: usize| {
            let backend = &backends[index];
            backend.drain.is_serving() && backend.breaker.is_closed()
        };
        let count = pool
            .popularity
            .home_count(id, pool.affinity_members().len());
        let numbers = 0..count.min(MAX_CANDIDATE_HOMES);
        homes.extend(
            numbers.filter_map(|number| heaviest(pool, prefix::home_hash(id, number), serves)),
        );
    }
    let unshared_tokens = prompt.parts.last().map_or(0, |part| part.tokens) as f64;
    let score = |index: usize| {
        let backend = &backends[index];
        let tokens = match homes.contains(&index) {
            true => unshared_tokens,
            false => backend.prefill.tokens_to_prefill(query.now_us, prompt),
        };
        let wait_us = backend.prefill.wait_us(query.now_us, &pool.speed);
        let recomputed_tokens = (tokens - unshared_tokens).max(0.0);
        let prefill_us = tokens * pool.speed.us_per_token;
        let recompute_us = recomputed_tokens * pool.speed.us_per_token * options.recompute_weight;
        let load_us = backend.load(query.now_us, &pool.prior) * options.full_load_cost_us;
        let slowdown =
            backend.prefill.slowdown(query.now_us) * backend.stated_duration.factor(query.now_us);
        let score_us =
            slowdown * (wait_us + prefill_us + load_us) + recompute_us + backend.distance_us as f64;
        match (backend.breaker.is_closed(), query.may_probe) {
            (true, _) => score_us,
            (false, true) => 0.0,
            (false, false) => score_us * PROBE_FACTOR,
        }
    };
    let far = (options.sample_size / FAR_DIVISOR).min(pool.far.len());
    let near = (options.sample_size - far).min(pool.near.len());
    let mut candidates = homes.clone();
    candidates.extend(sample(&pool.near, near, rng).map(|member| member.index));
    candidates
        .extend(sample(&pool.far, options.sample_size - near, rng).map(|member| member.index));
    candidates
        .into_iter()
        .filter(|index| is_eligible(&backends[*index], *index, query, options))
        .min_by(|a, b| score(*a).total_cmp(&score(*b)))
        .or_else(|| {
            let mut members = pool.members().map(|member| member.index);
            members.find(|index| is_eligible(&backends[*index], *index, query, options))
        })
}

/// Returns whether the score of the preferred server is close enough to the best one.
fn is_affinity_worthwhile(
    backend: &Backend,
    pool: &pool::Pool,
    query: &Query<'_>,
    best_us: f64,
    options: &Options,
) -> bool {
    score(backend, pool, query) <= best_us * options.max_affinity_ratio
}

/// Returns a random home of a prefix among serving members, whether or not it is available.
pub fn home(
    backends: &[Backend],
    pool: &pool::Pool,
    prefix_hash: u64,
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let homes = pool
        .popularity
        .home_count(prefix_hash, pool.affinity_members().len());
    let hash = prefix::home_hash(prefix_hash, rng.usize(..homes));
    heaviest(pool, hash, |index| backends[index].drain.is_serving())
}

/// Returns the better scored of two random homes of a prefix.
///
/// A home that is full or not eligible is replaced by the member with the next lower weight, which
/// is the same in every router.
fn preferred(
    backends: &[Backend],
    pool: &pool::Pool,
    query: &Query<'_>,
    options: &Options,
    prefix_hash: u64,
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let is_candidate = |index: usize| {
        let backend = &backends[index];
        backend.breaker.is_closed()
            && backend.load(query.now_us, &pool.prior) < FULL_LOAD
            && is_eligible(backend, index, query, options)
    };
    let homes = pool
        .popularity
        .home_count(prefix_hash, pool.affinity_members().len());
    let mut pick_home = || {
        heaviest(
            pool,
            prefix::home_hash(prefix_hash, rng.usize(..homes)),
            is_candidate,
        )
    };
    let first = pick_home()?;
    if homes == 1 {
        return Some(first);
    }
    let second = pick_home()?;
    let score = |index: usize| score(&backends[index], pool, query);
    Some(if score(second) < score(first) {
        second
    } else {
        first
    })
}

/// Returns the member with the highest rendezvous weight among those that satisfy `is_candidate`.
///
/// In a large pool only the members that follow the prefix on a hash ring are compared, so that
/// the cost does not grow with the pool; an added or removed member still moves few prefixes.
#[inline]
fn heaviest(
    pool: &pool::Pool,
    prefix_hash: u64,
    is_candidate: impl Fn(usize) -> bool,
) -> Option<usize> {
    let members = pool.affinity_members();
    let start = members.partition_point(|member| member.seed < prefix_hash);
    let (before, after) = members.split_at(start);
    let mut best = None;
    let mut best_weight = 0;
    for member in after.iter().chain(before).take(RING_WINDOW_MEMBERS) {
        let weight = prefix::weight(prefix_hash, member.seed);
        if weight > best_weight && is_candidate(member.index) {
            best = Some(member.index);
            best_weight = weight;
        }
    }
    best
}

/// Returns the lowest score and its server, among all members of a small pool or a sample of a
/// large one. If none of them is eligible, returns any eligible member, with [`f64::MAX`] as score.
fn least_scored(
    backends: &[Backend],
    pool: &pool::Pool,
    query: &Query<'_>,
    options: &Options,
    rng: &mut fastrand::Rng,
) -> Option<(f64, usize)> {
    let mut best: Option<(f64, usize)> = None;
    let mut consider = |member: &pool::Member| {
        let backend = &backends[member.index];
        if !is_eligible(backend, member.index, query, options) {
            return;
        }
        let score = score(backend, pool, query);
        if best.is_none_or(|(best_score, _)| score < best_score) {
            best = Some((score, member.index));
        }
    };
    let far = (options.sample_size / FAR_DIVISOR).min(pool.far.len());
    let near = (options.sample_size - far).min(pool.near.len());
    sample(&pool.near, near, rng).for_each(&mut consider);
    sample(&pool.far, options.sample_size - near, rng).for_each(&mut consider);
    best.or_else(|| {
        let mut members = pool.members();
        let eligible =
            members.find(|m| is_eligible(&backends[m.index], m.index, query, options))?;
        Some((f64::MAX, eligible.index))
    })
}

/// Returns `count` members at a regular stride, starting at a random one.
fn sample<'a>(
    members: &'a [pool::Member],
    count: usize,
    rng: &mut fastrand::Rng,
) -> impl Iterator<Item = &'a pool::Member> {
    let len = members.len();
    let start = if len == 0 { 0 } else { rng.usize(..len) };
    let count = count.min(len);
    let stride = len.checked_div(count).unwrap_or(0);
    (0..count).map(move |step| &members[(start + step * stride) % len])
}

#[inline]
fn is_eligible(backend: &Backend, index: usize, query: &Query<'_>, options: &Options) -> bool {
    let mut reasons = backend.ineligibilities_for(query.now_us, options, query.origin);
    reasons.next().is_none() && !query.excluded.contains(&index)
}

#[inline]
fn score(backend: &Backend, pool: &pool::Pool, query: &Query<'_>) -> f64 {
    let score_us = backend.score_us(query.now_us, &pool.prior);
    if backend.breaker.is_closed() {
        return score_us;
    }
    match query.may_probe {
        true => 0.0,
        false => score_us * PROBE_FACTOR,
    }
}
