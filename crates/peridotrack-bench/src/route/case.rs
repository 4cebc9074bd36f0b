//! Input, fault and results of one simulated run.

use peridotrack_route::options::Options;
use peridotrack_types::{id, problem, register};

use crate::route::{
    policy::Policy,
    workload::{Arrival, Mix},
};

/// Model that all engines serve.
pub const MODEL: &str = "drafting";
/// Number of failure domains; routers and engines are assigned to them in turn.
pub const DOMAINS: usize = 4;

/// Fault injected into a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault; slow engines are part of [`Case::speeds`].
    None,
    /// The first engines become unreachable and lose the requests that they run or queue.
    Vanish {
        /// Simulated time of the fault, in microseconds.
        at_us: u64,
        /// Number of engines that vanish.
        engines: usize,
    },
    /// The first engine begins to refuse new work.
    Leave {
        /// Simulated time of the fault, in microseconds.
        at_us: u64,
    },
}

/// Input of one run.
#[derive(Debug, Clone)]
pub struct Case {
    /// Policy by which every router chooses engines.
    pub policy: Policy,
    /// Options of the routers, if they follow [`Policy::Peridotrack`].
    pub options: Options,
    /// Rate and composition of the arriving requests.
    pub mix: Mix,
    /// Speed of each engine, relative to a healthy one; its length is the number of engines.
    pub speeds: Vec<f64>,
    /// Requests that each engine batches at once.
    pub slots: usize,
    /// Delay of load reports from engines, in microseconds.
    pub report_delay_us: u64,
    /// Time that a caller waits for the complete response, in microseconds.
    pub deadline_us: u64,
    /// Whether a router that detects that an engine is leaving notifies the other routers.
    pub has_gossip: bool,
    /// Fault injected during the run.
    pub fault: Fault,
    /// Seed of the routers and of the loss of load reports.
    pub seed: u64,
}

/// Timing, attempts and outcome of one request.
#[derive(Debug, Clone)]
pub struct Trace {
    /// The request as it arrived.
    pub arrival: Arrival,
    /// Time from arrival to the first token at the router, in microseconds.
    pub first_token_us: Option<u64>,
    /// Simulated time at which the router had the complete response, in microseconds.
    pub done_us: Option<u64>,
    /// Kind of the refusal, if the router refused the request.
    pub refusal: Option<problem::Kind>,
    /// Times that an engine accepted the request.
    pub executions: u32,
    /// Dispatches to engines, resumed streams included.
    pub attempts: u32,
    /// Engine and number of the attempt in progress.
    pub(super) open_attempt: Option<(usize, u32)>,
    /// Whether the request was completed, refused or cancelled at its deadline, or its only attempt
    /// by a baseline ended.
    pub(super) ended: bool,
}

/// Results of one run.
#[derive(Debug, Clone, Default)]
pub struct Run {
    /// Every request, in the order of arrival.
    pub traces: Vec<Trace>,
    /// Prompt prefixes found in the caches of all engines.
    pub prefix_hits: u64,
    /// Prompt prefixes looked up in the caches of all engines.
    pub prefix_lookups: u64,
    /// Simulated time of the last dispatch that reached a leaving engine, in microseconds.
    pub last_to_leaving_us: Option<u64>,
}

impl Trace {
    /// Returns whether it was refused with a kind that states that it did not run.
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

/// Returns a register of `engines` engines in [`DOMAINS`] failure domains; all serve [`MODEL`].
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
                lifetime: register::Lifetime::default(),
            })
            .collect(),
        ..Default::default()
    }
}

/// Returns the identifier of the request with index `request`.
pub fn request_id(request: usize) -> id::Request {
    id::Request {
        incarnation: id::Incarnation(1),
        sequence: request as u64,
    }
}

/// Maps a prefix number to a hash, so that small numbers spread over the range of 64 bits.
pub fn hash_prefix(prefix: u64) -> u64 {
    (prefix + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
