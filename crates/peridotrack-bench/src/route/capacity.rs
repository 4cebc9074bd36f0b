//! Throughput of the engines when each always has a full batch.

use crate::route::{
    engine::{Engine, Job, Output},
    workload::{self, Mix},
};

const SEED: u64 = 7;

/// Returns the requests per second that engines of these speeds complete together.
///
/// Requests are drawn from `mix`, whose rate does not matter.
pub fn requests_per_s(mix: &Mix, speeds: &[f64], slots: usize, duration_us: u64) -> f64 {
    let mut rng = fastrand::Rng::with_seed(SEED);
    let done: usize = speeds
        .iter()
        .map(|&speed| completed(mix, Engine::new(slots, speed), duration_us, &mut rng))
        .sum();
    done as f64 * 1e6 / duration_us as f64
}

fn completed(mix: &Mix, mut engine: Engine, duration_us: u64, rng: &mut fastrand::Rng) -> usize {
    let mut outputs = Vec::new();
    let mut now_us = 0;
    while now_us < duration_us {
        while engine.queued() < engine.slots {
            engine.push(Job::new(0, 1, &workload::arrival(now_us, mix, rng)));
        }
        now_us += engine.begin_step();
        engine.end_step(&mut outputs);
    }
    let last = |output: &&Output| matches!(output, Output::LastToken { .. });
    outputs.iter().filter(last).count()
}
