//! What a simulated fleet serves, and what fails in it.

use std::ops::Range;

use fastrand::Rng;
use peridotrack_quarantine::signature::Signature;

/// First part of all prompts.
const FIRST: Signature = Signature::Part(1);
/// Part under which servers crash.
const FATAL_PART: Signature = Signature::Part(0xbad);
/// Request under which servers crash.
const FATAL_REQUEST: Signature = Signature::Request([0xbd; 16]);
/// Second parts, which requests with and without the fatal part have.
const SECOND_PARTS: u64 = 12;
/// Sound requests that clients send again and again; every other sound request is sent once.
const POPULAR_REQUESTS: u8 = 12;

/// Faults of a run beside the fatal requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Half of the servers lose power at once.
    PowerLoss,
    /// All servers lose power at once.
    AllServers,
    /// Routers reach the store, but not each other.
    PeersCut,
    /// A third of the routers restart.
    Restart,
    /// The clocks of some routers jump back.
    ClockStep,
    /// All servers end one after the other.
    ServersInSeries {
        gap_ms: u64,
    },
    /// Half of the servers lose power, a third of the routers restart with a clock that jumps back,
    /// and routers no longer reach each other, all at once.
    All,
}

/// How fatal requests arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrivals {
    /// One at a time, on average in this interval.
    Steady { interval_ms: u64 },
    /// Several at once, at as many routers.
    Waves { interval_ms: u64, size: usize },
    /// No request is fatal.
    None,
}

/// One service and its requests.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub routers: usize,
    pub servers: usize,
    pub fault: Fault,
    pub arrivals: Arrivals,
    /// Whether responses are streams, whose servers crash under a prompt part; otherwise they crash
    /// under whole requests.
    pub is_stream: bool,
    pub max_attempts: u32,
    /// Time for which a request waits at its server.
    pub queue_ms: Range<u64>,
    /// Time for which a server runs a sound request.
    pub run_ms: Range<u64>,
    /// Time for which a server runs a fatal request before it ends.
    pub crash_ms: u64,
    /// Time after which a server that ended returns under a new name.
    pub return_ms: Range<u64>,
    /// Number of crashes after which the fleet has to stop.
    pub counted_crashes: usize,
}

impl Scenario {
    /// Model engines that crash under a prompt part as they begin to answer.
    pub fn parts(routers: usize, fault: Fault) -> Self {
        Self {
            routers,
            servers: 9,
            fault,
            arrivals: Arrivals::Steady { interval_ms: 225 },
            is_stream: true,
            max_attempts: 1,
            queue_ms: 50..400,
            run_ms: 100..3_000,
            crash_ms: 0,
            return_ms: 3_000..3_001,
            counted_crashes: 5,
        }
    }

    /// Model engines that end one after the other, although no request is fatal.
    pub fn series(routers: usize, gap_ms: u64) -> Self {
        Self {
            arrivals: Arrivals::None,
            ..Self::parts(routers, Fault::ServersInSeries { gap_ms })
        }
    }

    /// Servers of a plain service that crash under a whole request.
    pub fn requests(routers: usize, max_attempts: u32, arrivals: Arrivals, fault: Fault) -> Self {
        Self {
            routers,
            servers: 4,
            fault,
            arrivals,
            is_stream: false,
            max_attempts,
            queue_ms: 1..10,
            run_ms: 10..60,
            crash_ms: 55,
            return_ms: 1_000..3_000,
            counted_crashes: 3,
        }
    }

    pub fn is_fatal(&self, signatures: &[Signature]) -> bool {
        let fatal = [FATAL_PART, FATAL_REQUEST];
        signatures.iter().any(|signature| fatal.contains(signature))
    }

    pub fn fatal_request(&self, rng: &mut Rng) -> Vec<Signature> {
        match self.is_stream {
            true => vec![FIRST, second_part(rng), FATAL_PART, unique_request(rng)],
            false => vec![FATAL_REQUEST],
        }
    }

    pub fn sound_request(&self, rng: &mut Rng) -> Vec<Signature> {
        match self.is_stream {
            true => vec![FIRST, second_part(rng), unique_request(rng)],
            false if rng.bool() => vec![Signature::Request([rng.u8(..POPULAR_REQUESTS); 16])],
            false => vec![unique_request(rng)],
        }
    }
}

fn second_part(rng: &mut Rng) -> Signature {
    Signature::Part(100 + rng.u64(..SECOND_PARTS))
}

fn unique_request(rng: &mut Rng) -> Signature {
    Signature::Request(rng.u128(..).to_be_bytes())
}
