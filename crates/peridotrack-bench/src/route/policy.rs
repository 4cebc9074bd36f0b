//! The router under measurement and the baselines that it is compared with.

use peridotrack_route::{options::Options, router::Router};
use peridotrack_types::{register, rules};

/// Policy by which a router chooses engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The router of this project, [`Router`].
    Peridotrack,
    /// An engine at random, all equally likely.
    Random,
    /// The engines in turn.
    RoundRobin,
    /// The engine with the fewest requests of this router, ties at random.
    LeastInFlight,
}

impl Policy {
    /// Every policy, in the order of the report.
    pub const ALL: [Self; 4] = [
        Self::Peridotrack,
        Self::Random,
        Self::RoundRobin,
        Self::LeastInFlight,
    ];

    /// Returns the name by which measures refer to the policy.
    pub fn name(self) -> &'static str {
        match self {
            Self::Peridotrack => "peridotrack",
            Self::Random => "random",
            Self::RoundRobin => "round robin",
            Self::LeastInFlight => "least in flight",
        }
    }
}

/// A router that follows a policy.
#[derive(Debug)]
pub enum PolicyRouter {
    /// The router of this project, configured for its failure domain.
    Peridotrack(Box<Router>),
    /// A baseline; it knows only the requests that it has in flight itself.
    Baseline {
        /// Policy of the baseline.
        policy: Policy,
        /// Requests of this router in flight at each engine, by index.
        in_flight: Vec<u32>,
        /// Index of the engine that round robin chose last.
        last_chosen: usize,
        /// Source of random choices, between equal engines too.
        rng: fastrand::Rng,
    },
}

impl PolicyRouter {
    /// Creates router number `number` of a fleet.
    ///
    /// Routers of a fleet differ in their random sequences and in where round robin starts.
    pub fn new(
        policy: Policy,
        number: usize,
        register: &register::Register,
        options: &Options,
        seed: u64,
    ) -> Self {
        let seed = seed.wrapping_mul(1_000) + number as u64;
        let engines = register.engines.len();
        if policy != Policy::Peridotrack {
            return Self::Baseline {
                policy,
                in_flight: vec![0; engines],
                last_chosen: number * engines / 6,
                rng: fastrand::Rng::with_seed(seed),
            };
        }
        let domains = &register.failure_domains;
        let local_domain = domains[number % domains.len()].name.clone();
        let mut router = Router::new(options.clone(), local_domain, seed, 0);
        router.configure(0, register, &rules::Rules::default());
        Self::Peridotrack(Box::new(router))
    }
}

/// Returns the index of the engine that a baseline chooses for its next request.
pub fn choose_engine(
    policy: Policy,
    in_flight: &[u32],
    last_chosen: &mut usize,
    rng: &mut fastrand::Rng,
) -> usize {
    match policy {
        Policy::RoundRobin => {
            *last_chosen = (*last_chosen + 1) % in_flight.len();
            *last_chosen
        }
        Policy::LeastInFlight => {
            let start = rng.usize(..in_flight.len());
            (0..in_flight.len())
                .map(|step| (start + step) % in_flight.len())
                .min_by_key(|&engine| in_flight[engine])
                .unwrap_or(start)
        }
        _ => rng.usize(..in_flight.len()),
    }
}
