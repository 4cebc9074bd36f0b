//! One run: what it is given, what goes wrong, and what it showed.

use peridotrack_route::options::Options;
use peridotrack_types::{id, problem, register};

use crate::route::{
    policy::Policy,
    workload::{Arrival, Mix},
};

/// Model that all engines serve.
pub const MODEL: &str = "drafting";
/// Failure domains that routers and engines are spread over.
pub const DOMAINS: usize = 4;

/// What goes wrong in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing but the slow engine.
    None,
    /// The first engines vanish, with all that they run.
    Vanish {
        /// When.
        at_us: u64,
        /// How many.
        engines: usize,
    },
    /// The first engine begins to refuse new work.
    Leave {
        /// When.
        at_us: u64,
    },
}

/// One run.
#[derive(Debug, Clone)]
pub struct Case {
    /// How routers choose.
    pub policy: Policy,
    /// Options of the router under measurement.
    pub options: Options,
    /// Arriving requests.
    pub mix: Mix,
    /// Speed of each engine, relative to a healthy one.
    pub speeds: Vec<f64>,
    /// Slots of each.
    pub slots: usize,
    /// Delay of load reports.
    pub report_delay_us: u64,
    /// Time that a caller waits for the whole answer.
    pub deadline_us: u64,
    /// Whether routers pass on the first sign that an engine is leaving.
    pub has_gossip: bool,
    /// What goes wrong.
    pub fault: Fault,
    /// Seed.
    pub seed: u64,
}

/// What became of one request.
#[derive(Debug, Clone)]
pub struct Trace {
    /// The request.
    pub arrival: Arrival,
    /// Time to the first token, as the router saw it.
    pub first_token_us: Option<u64>,
    /// When the whole answer arrived.
    pub done_us: Option<u64>,
    /// Kind of the refusal.
    pub refusal: Option<problem::Kind>,
    /// Times that an engine took the request.
    pub executions: u32,
    /// Dispatches.
    pub attempts: u32,
    /// Engine and attempt, while the request is open there.
    pub(super) open_attempt: Option<(usize, u32)>,
    pub(super) ended: bool,
}

/// What a run showed.
#[derive(Debug, Clone, Default)]
pub struct Run {
    /// Every request.
    pub traces: Vec<Trace>,
    /// Prefixes found in the caches.
    pub prefix_hits: u64,
    /// Prefixes looked up.
    pub prefix_lookups: u64,
    /// Last dispatch that reached the leaving engine.
    pub last_to_leaving_us: Option<u64>,
}

impl Trace {
    /// Returns whether it was refused as not run.
    pub fn is_refused_as_not_run(&self) -> bool {
        self.refusal
            .is_some_and(|kind| kind.ran() == problem::Ran::No)
    }

    /// Returns the trace of a request that has not arrived yet.
    pub fn new(arrival: &Arrival) -> Self {
        Self {
            arrival: arrival.clone(),
            first_token_us: None,
            done_us: None,
            refusal: None,
            executions: 0,
            attempts: 0,
            open_attempt: None,
            ended: false,
        }
    }
}

/// Returns a register of `engines` engines in four failure domains.
pub fn register(engines: usize, slots: usize) -> register::Register {
    let domain = |number: usize| format!("domain-{}", number % DOMAINS);
    register::Register {
        failure_domains: (0..DOMAINS)
            .map(|number| register::FailureDomain {
                name: domain(number).into(),
                region: "region".to_owned(),
            })
            .collect(),
        engines: (0..engines)
            .map(|number| register::Engine {
                name: format!("engine-{number}").into(),
                failure_domain: domain(number).into(),
                address: ([127, 0, 0, 1], 8000).into(),
                models: vec![MODEL.into()],
                slots: slots as u32,
                fencing: register::Fencing::Ignored,
            })
            .collect(),
        ..Default::default()
    }
}

/// Returns the identifier of request number `request`.
pub fn request_id(request: usize) -> id::Request {
    id::Request {
        incarnation: id::Incarnation(1),
        sequence: request as u64,
    }
}

/// Spreads small prefix numbers over the range of a hash.
pub fn hash_prefix(prefix: u64) -> u64 {
    (prefix + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
