//! Which fault comes when, from a seed.

use peridotrack_standin::{
    harness::relay::Link,
    hosted::{backend, store},
};

/// Most time between the beginnings of two faults of a seed, in milliseconds: with the shorter
/// ones faults overlap, with the longest one routers are mostly held to their bounds.
const GAPS_MAX_MS: [u64; 3] = [300, 700, 4_000];
/// Shortest and longest fault, in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 100..6_000;
/// Kinds of faults to draw from.
const KINDS: u32 = 20;
/// Most repetitions of a fault in a row.
const SERIES_MAX: u32 = 4;

/// How large a run is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shape {
    /// Routers.
    pub routers: usize,
    /// Backend servers.
    pub engines: usize,
    /// Time in which faults begin, in milliseconds.
    pub duration_ms: u64,
}

/// A fault, or a planned change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The store misbehaves.
    Store(store::Mode),
    /// The store forgets its history.
    StoreForgets,
    /// A router's link to the store is disturbed.
    StoreLink(usize, Link),
    /// All links to a backend server are disturbed.
    EngineLink(usize, Link),
    /// A backend server misbehaves.
    Engine(usize, backend::Mode),
    /// A backend server drains, leaves and comes back as a new one.
    Replace(usize),
    /// A router stands still.
    Pause(usize),
    /// A router is killed and started again.
    Kill(usize),
    /// All routers are killed and started again.
    KillAll,
    /// A router is told to stop and started again.
    Stop(usize),
    /// A router is told to read its settings again.
    HangUp(usize),
    /// A new configuration.
    Configure,
    /// A new configuration with more tokens.
    TopUp,
}

/// One step of a schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// When it begins, in milliseconds.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds.
    pub for_ms: u64,
    /// What happens.
    pub fault: Fault,
}

/// Draws a schedule.
pub fn plan(seed: u64, shape: &Shape) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let gap_max_ms = GAPS_MAX_MS[rng.usize(..GAPS_MAX_MS.len())];
    // Each seed leaves some kinds out, so that others are seen without them.
    let kinds: Vec<u32> = (0..KINDS).filter(|_| rng.bool()).collect();
    let mut steps = Vec::new();
    let mut at_ms = 0;
    while at_ms < shape.duration_ms && !kinds.is_empty() {
        let kind = kinds[rng.usize(..kinds.len())];
        let fault = draw(&mut rng, kind, shape);
        let repetitions = match rng.u32(..4) {
            0 => rng.u32(2..=SERIES_MAX),
            _ => 1,
        };
        for _ in 0..repetitions {
            let for_ms = rng.u64(LENGTH_MS);
            steps.push(Step {
                at_ms,
                for_ms,
                fault,
            });
            at_ms += rng.u64(1..gap_max_ms);
        }
    }
    steps.retain(|step| step.at_ms < shape.duration_ms);
    steps
}

fn draw(rng: &mut fastrand::Rng, kind: u32, shape: &Shape) -> Fault {
    let router = rng.usize(..shape.routers);
    let engine = rng.usize(..shape.engines);
    match kind {
        0 | 1 => Fault::Store(one_of(rng, &store::Mode::FAULTS)),
        2 => Fault::StoreForgets,
        3 | 4 => Fault::StoreLink(router, one_of(rng, &LINKS)),
        5 | 6 => Fault::EngineLink(engine, one_of(rng, &LINKS)),
        7..=9 => Fault::Engine(engine, one_of(rng, &backend::Mode::FAULTS)),
        10 => Fault::Replace(engine),
        11 => Fault::Pause(router),
        12 | 13 => Fault::Kill(router),
        14 if rng.u32(..3) == 0 => Fault::KillAll,
        14 | 15 => Fault::Stop(router),
        16 => Fault::HangUp(router),
        17 | 18 => Fault::Configure,
        _ => Fault::TopUp,
    }
}

/// Disturbances of a link.
const LINKS: [Link; 4] = [
    Link::Stalled,
    Link::Cut,
    Link::ResponsesStalled,
    Link::Delayed,
];

fn one_of<T: Copy>(rng: &mut fastrand::Rng, choices: &[T]) -> T {
    choices[rng.usize(..choices.len())]
}

impl Fault {
    /// Returns whether the fault disturbs a router, so that its bounds do not hold for a while.
    pub fn disturbs(&self, router: usize) -> bool {
        match self {
            Self::Store(_) | Self::StoreForgets | Self::KillAll => true,
            Self::StoreLink(of, _) | Self::Pause(of) | Self::Kill(of) | Self::Stop(of) => {
                *of == router
            }
            Self::EngineLink(..)
            | Self::Engine(..)
            | Self::Replace(_)
            | Self::HangUp(_)
            | Self::Configure
            | Self::TopUp => false,
        }
    }

    /// Returns whether the fault is planned work, around which nothing may be lost.
    pub fn is_planned(&self) -> bool {
        matches!(
            self,
            Self::Stop(_) | Self::HangUp(_) | Self::Configure | Self::TopUp
        )
    }
}
