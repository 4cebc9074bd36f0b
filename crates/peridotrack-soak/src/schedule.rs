//! Schedules of faults and planned changes, drawn from a seed.
//!
//! [`plan`] is a pure function of the seed and the [`Shape`] of the run, so that a failed seed can
//! be repeated with the same faults at the same times.

use peridotrack_standin::{
    harness::relay::Link,
    hosted::{backend, deployment::Kind, store},
};

/// Longest times between the starts of two faults, in milliseconds, of which each seed uses one.
/// The shorter ones make faults overlap; the longest one leaves routers undisrupted for long enough
/// that their time bounds are checked.
const MAX_GAPS_MS: [u64; 3] = [300, 700, 4_000];
/// Durations of faults, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 100..6_000;
/// Durations of the troubles of backend servers, in milliseconds: longer than the time in which
/// routers must have reacted.
const TROUBLE_DURATION_MS: std::ops::Range<u64> = 6_000..12_000;
/// Durations of the repetition of a request under which backend servers crash, in milliseconds: once
/// all of them have crashed, few repetitions reach any.
const REPETITION_DURATION_MS: std::ops::Range<u64> = 9_000..15_000;
/// Times by which backend servers delay their responses while routers are stopped, in milliseconds:
/// just within the deadline of requests.
const RUN_TIME_MS: std::ops::Range<u64> = 1_400..1_900;
/// Duration of that delay, in milliseconds: longer than the grace period of a router.
const SLOW_DURATION_MS: u64 = 12_000;
/// Interval between the starts of routers' stops in series, in milliseconds.
const STOP_INTERVAL_MS: u64 = 2_000;
/// Time for which watches hear nothing while the store compacts its history, in milliseconds.
const SILENCE_MS: u64 = 1_000;
/// Stated limits, in requests in 10 s.
const STATED_REQUESTS: std::ops::Range<u32> = 10..60;
/// Number of slots that [`random_fault`] maps to faults; frequent faults have several.
const FAULT_SLOTS: u32 = 20;
/// Most occurrences of one fault in a row.
const MAX_REPETITIONS: u32 = 4;

/// Number of failure domains, to which routers and backend servers are assigned in turn.
pub const FAILURE_DOMAINS: usize = 2;
/// Most partitions of a run.
const MAX_PARTITIONS: u32 = 2;

/// Most compactions of the store's history in a run.
const MAX_COMPACTIONS: u32 = 2;

/// Size and length of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shape {
    /// Number of routers, at least 1.
    pub routers: usize,
    /// Number of backend servers, at least 1.
    pub backends: usize,
    /// Time in which faults start, in milliseconds; the last ones may end later.
    pub duration_ms: u64,
}

/// A fault or a planned change. Routers and backend servers are given by index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The store operates in a faulty mode.
    Store(store::Mode),
    /// The store drops the history that watches resume from.
    ClearStoreHistory,
    /// The store compacts its history: watches hear nothing for a while, in which a new configuration
    /// version is written so many milliseconds after the start.
    CompactStoreHistory(u64),
    /// The link between a router and the store fails.
    StoreLink(usize, Link),
    /// The link from all routers to a backend server fails.
    BackendLink(usize, Link),
    /// The links from the routers of a failure domain to all backend servers fail.
    Partition(usize, Link),
    /// A backend server operates in a faulty mode.
    Backend(usize, backend::Mode),
    /// A backend server is drained, removed and registered under a new name.
    Replace(usize),
    /// A router process is suspended and resumed.
    Pause(usize),
    /// A router process is killed and restarted.
    Kill(usize),
    /// All router processes are killed at once and restarted.
    KillAll,
    /// A router process is shut down gracefully and restarted.
    Stop(usize),
    /// A router process is signalled to reload its settings.
    Reload(usize),
    /// A new configuration version is written.
    Configure,
    /// A new configuration version with more prepaid tokens is written.
    TopUp,
    /// Clients send requests with a prompt part under which backend servers crash.
    FatalPart(u64),
    /// Clients repeat one request under which backend servers crash. These start again at their
    /// address.
    FatalRequest {
        /// Number of the request.
        number: u64,
        /// Kind of the request.
        kind: Kind,
        /// Whether the servers start again under their name.
        keeps_name: bool,
    },
    /// Backend servers take so many milliseconds longer before they respond.
    SlowBackends(u64),
    /// A backend server states that it leaves, while its entry says that it is ready, and is then
    /// registered under a new name.
    StateLeaving(usize),
    /// A backend server refuses requests for the duration, and states how much of it is left.
    PauseBackend(usize),
    /// A backend server states a limit of so many requests in 10 s, of all routers together.
    StatedRate(usize, u32),
}

/// A fault or planned change of a schedule, with its timing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// Start, in milliseconds since the start of the run.
    pub at_ms: u64,
    /// Duration in milliseconds. In a schedule, faults that end by themselves, such as a kill, ignore
    /// it; in a record it is the actual one.
    pub duration_ms: u64,
    /// The fault or planned change to apply.
    pub fault: Fault,
}

/// Returns the schedule of a seed, in order of start times.
pub fn plan(seed: u64, shape: &Shape) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let max_gap_ms = MAX_GAPS_MS[rng.usize(..MAX_GAPS_MS.len())];
    // Each seed excludes about half of the slots, so that faults also occur without the others.
    let slots: Vec<u32> = (0..FAULT_SLOTS).filter(|_| rng.bool()).collect();
    let mut steps = Vec::new();
    let mut at_ms = 0;
    while at_ms < shape.duration_ms && !slots.is_empty() {
        let slot = slots[rng.usize(..slots.len())];
        let fault = random_fault(&mut rng, slot, shape);
        let repetitions = match rng.u32(..4) {
            0 => rng.u32(2..=MAX_REPETITIONS),
            _ => 1,
        };
        for _ in 0..repetitions {
            let duration_ms = rng.u64(FAULT_DURATION_MS);
            steps.push(Step {
                at_ms,
                duration_ms,
                fault,
            });
            at_ms += rng.u64(1..max_gap_ms);
        }
    }
    steps.extend(server_trouble(seed, shape));
    steps.extend(statements(seed, shape));
    steps.extend(stops_in_series(seed, shape));
    steps.extend(partitions(seed, shape));
    steps.extend(compactions(seed, shape));
    steps.retain(|step| step.at_ms < shape.duration_ms);
    steps.sort_by_key(|step| step.at_ms);
    steps
}

/// Returns the troubles of backend servers that last for a while. They are drawn by themselves, so
/// that the other faults of a seed stay the same.
fn server_trouble(seed: u64, shape: &Shape) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(!seed);
    let mut steps = Vec::new();
    if rng.bool() {
        steps.push(Step {
            at_ms: rng.u64(..shape.duration_ms),
            duration_ms: rng.u64(TROUBLE_DURATION_MS),
            fault: Fault::FatalPart(rng.u64(..)),
        });
    }
    if rng.bool() {
        let backend = rng.usize(..shape.backends);
        steps.push(Step {
            at_ms: rng.u64(..shape.duration_ms),
            duration_ms: rng.u64(TROUBLE_DURATION_MS),
            fault: Fault::StatedRate(backend, rng.u32(STATED_REQUESTS)),
        });
    }
    if rng.bool() {
        steps.push(Step {
            at_ms: rng.u64(..shape.duration_ms),
            duration_ms: rng.u64(REPETITION_DURATION_MS),
            fault: Fault::FatalRequest {
                number: rng.u64(..),
                kind: choose(&mut rng, &[Kind::Safe, Kind::Unsafe, Kind::Stream]),
                keeps_name: rng.bool(),
            },
        });
    }
    steps
}

/// Returns statements of backend servers about themselves. They are drawn by themselves, like the
/// troubles.
fn statements(seed: u64, shape: &Shape) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(!seed.rotate_left(32));
    let mut steps = Vec::new();
    if rng.bool() {
        steps.push(Step {
            at_ms: rng.u64(..shape.duration_ms),
            duration_ms: rng.u64(TROUBLE_DURATION_MS),
            fault: Fault::StateLeaving(rng.usize(..shape.backends)),
        });
    }
    for _ in 0..rng.u32(..=MAX_REPETITIONS) {
        steps.push(Step {
            at_ms: rng.u64(..shape.duration_ms),
            duration_ms: rng.u64(FAULT_DURATION_MS),
            fault: Fault::PauseBackend(rng.usize(..shape.backends)),
        });
    }
    steps
}

/// Returns stops of routers one after another, with backend servers that slow down meanwhile. They
/// are drawn by themselves, like the troubles.
fn stops_in_series(seed: u64, shape: &Shape) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(seed.rotate_left(32));
    if rng.bool() {
        return Vec::new();
    }
    let at_ms = rng.u64(..shape.duration_ms / 2);
    let first = rng.usize(..shape.routers);
    let mut steps = vec![Step {
        at_ms: at_ms + rng.u64(..STOP_INTERVAL_MS),
        duration_ms: SLOW_DURATION_MS,
        fault: Fault::SlowBackends(rng.u64(RUN_TIME_MS)),
    }];
    let stops = (0..shape.routers.div_ceil(2)).map(|number| Step {
        at_ms: at_ms + number as u64 * STOP_INTERVAL_MS,
        duration_ms: 0,
        fault: Fault::Stop((first + number) % shape.routers),
    });
    steps.extend(stops);
    steps
}

/// Returns partitions of routers from all backend servers. They are drawn by themselves, like the
/// troubles.
fn partitions(seed: u64, shape: &Shape) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(seed.rotate_left(16));
    let count = rng.u32(..=MAX_PARTITIONS);
    let steps = (0..count).map(|_| Step {
        at_ms: rng.u64(..shape.duration_ms),
        duration_ms: rng.u64(TROUBLE_DURATION_MS),
        fault: Fault::Partition(
            rng.usize(..FAILURE_DOMAINS),
            choose(&mut rng, &PARTITION_LINKS),
        ),
    });
    steps.collect()
}

/// Returns compactions of the store's history. They are drawn by themselves, like the troubles.
fn compactions(seed: u64, shape: &Shape) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(!seed.rotate_left(16));
    let count = rng.u32(..=MAX_COMPACTIONS);
    let steps = (0..count).map(|_| Step {
        at_ms: rng.u64(..shape.duration_ms),
        duration_ms: SILENCE_MS,
        fault: Fault::CompactStoreHistory(rng.u64(..SILENCE_MS)),
    });
    steps.collect()
}

/// Returns the fault of a slot, for a random router or backend server.
fn random_fault(rng: &mut fastrand::Rng, slot: u32, shape: &Shape) -> Fault {
    let router = rng.usize(..shape.routers);
    let backend = rng.usize(..shape.backends);
    match slot {
        0 | 1 => Fault::Store(choose(rng, &store::Mode::FAULTS)),
        2 => Fault::ClearStoreHistory,
        3 | 4 => Fault::StoreLink(router, choose(rng, &LINK_FAULTS)),
        5 | 6 => Fault::BackendLink(backend, choose(rng, &LINK_FAULTS)),
        7..=9 => Fault::Backend(backend, choose(rng, &backend::Mode::FAULTS)),
        10 => Fault::Replace(backend),
        11 => Fault::Pause(router),
        12 | 13 => Fault::Kill(router),
        14 if rng.u32(..3) == 0 => Fault::KillAll,
        14 | 15 => Fault::Stop(router),
        16 => Fault::Reload(router),
        17 | 18 => Fault::Configure,
        _ => Fault::TopUp,
    }
}

/// Ways in which a link fails.
const LINK_FAULTS: [Link; 4] = [
    Link::Stalled,
    Link::Cut,
    Link::ResponsesStalled,
    Link::Delayed,
];

/// Ways in which the links to all backend servers fail.
const PARTITION_LINKS: [Link; 3] = [Link::Partitioned, Link::Reset, Link::Refusing];

fn choose<T: Copy>(rng: &mut fastrand::Rng, choices: &[T]) -> T {
    choices[rng.usize(..choices.len())]
}

impl Fault {
    /// Returns whether the fault disrupts a router itself, its link to the store or the store, so
    /// that its time bounds do not apply for a while.
    pub fn disrupts(&self, router: usize) -> bool {
        match self {
            Self::Store(_)
            | Self::ClearStoreHistory
            | Self::CompactStoreHistory(_)
            | Self::KillAll => true,
            Self::StoreLink(affected, _)
            | Self::Pause(affected)
            | Self::Kill(affected)
            | Self::Stop(affected) => *affected == router,
            Self::BackendLink(..)
            | Self::Partition(..)
            | Self::Backend(..)
            | Self::Replace(_)
            | Self::Reload(_)
            | Self::Configure
            | Self::TopUp
            | Self::SlowBackends(_)
            | Self::FatalPart(_)
            | Self::FatalRequest { .. }
            | Self::StateLeaving(_)
            | Self::PauseBackend(_)
            | Self::StatedRate(..) => false,
        }
    }

    /// Returns whether the fault lies between a router and all backend servers.
    pub fn partitions(&self, router: usize) -> bool {
        matches!(self, Self::Partition(domain, _) if router % FAILURE_DOMAINS == *domain)
    }

    /// Returns whether the fault ends or suspends a router without notice.
    pub fn interrupts(&self, router: usize) -> bool {
        match self {
            Self::Pause(affected) | Self::Kill(affected) => *affected == router,
            Self::KillAll => true,
            _ => false,
        }
    }

    /// Returns whether the step is planned maintenance, during which no request may be lost.
    pub fn is_planned(&self) -> bool {
        matches!(
            self,
            Self::Stop(_) | Self::Reload(_) | Self::Configure | Self::TopUp
        )
    }
}
