//! A simulated engine with continuous batching and a cache of prompt prefixes.

use std::collections::VecDeque;

use crate::route::workload::Arrival;

/// Time of a step with an empty batch, in microseconds, at speed 1.
const STEP_BASE_US: f64 = 12_000.0;
/// Time that each running request adds to a step, in microseconds, at speed 1.
const STEP_REQUEST_US: f64 = 500.0;
/// Time that each prompt token adds to a step, in microseconds, at speed 1.
const PREFILL_TOKEN_US: f64 = 50.0;
/// Most prompt tokens processed in one step.
const PREFILL_CHUNK_TOKENS: u64 = 512;
/// Prefixes that the cache holds.
const CACHED_PREFIXES: usize = 12;

/// An attempt of a request at the engine.
#[derive(Debug, Clone)]
pub struct Job {
    /// Index of the request in the run.
    pub request: usize,
    /// Number of the attempt of that request.
    pub attempt: u32,
    /// Number of the prompt prefix, if the prompt has one.
    pub prefix: Option<u64>,
    /// Tokens of that prefix, processed only if it is not cached.
    pub prefix_tokens: u64,
    /// Tokens of the prompt still to process.
    pub prompt_tokens: u64,
    /// Tokens of the response still to generate.
    pub output_tokens: u64,
}

impl Job {
    /// Creates the job of an attempt, with nothing processed yet.
    pub fn new(request: usize, attempt: u32, arrival: &Arrival) -> Self {
        Self {
            request,
            attempt,
            prefix: arrival.prefix,
            prefix_tokens: arrival.prefix_tokens,
            prompt_tokens: arrival.prompt_tokens,
            output_tokens: arrival.output_tokens,
        }
    }
}

/// A token that a step generated and that a router observes.
#[derive(Debug, Clone, Copy)]
pub enum Output {
    /// The first token of a request.
    FirstToken {
        /// Index of the request in the run.
        request: usize,
        /// Number of the attempt of that request.
        attempt: u32,
    },
    /// The last token of a request.
    LastToken {
        /// Index of the request in the run.
        request: usize,
        /// Number of the attempt of that request.
        attempt: u32,
    },
}

/// A simulated engine. A step takes longer the more requests run and the more prompt tokens it
/// processes.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Most requests that run at once.
    pub slots: usize,
    /// Speed relative to a healthy engine.
    pub speed: f64,
    /// Whether it is reachable and runs steps.
    pub alive: bool,
    /// Whether it refuses new work.
    pub leaving: bool,
    /// Whether a step is in progress.
    pub stepping: bool,
    /// Prompt prefixes found in the cache.
    pub prefix_hits: u64,
    /// Prompt prefixes looked up in the cache.
    pub prefix_lookups: u64,
    batch: Vec<Job>,
    /// Whether each request of `batch` has generated its first token.
    started: Vec<bool>,
    queue: VecDeque<Job>,
    /// Numbers of cached prefixes, least recently used first.
    cache: VecDeque<u64>,
}

impl Engine {
    /// Creates an idle engine with an empty cache.
    pub fn new(slots: usize, speed: f64) -> Self {
        Self {
            slots,
            speed,
            alive: true,
            leaving: false,
            stepping: false,
            prefix_hits: 0,
            prefix_lookups: 0,
            batch: Vec::new(),
            started: Vec::new(),
            queue: VecDeque::new(),
            cache: VecDeque::new(),
        }
    }

    /// Returns the number of requests in the batch.
    pub fn running(&self) -> usize {
        self.batch.len()
    }

    /// Returns the number of requests that wait for a slot.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        self.batch.is_empty() && self.queue.is_empty()
    }

    /// Queues a request; the next step runs it if a slot is free.
    pub fn push(&mut self, job: Job) {
        self.queue.push_back(job);
    }

    /// Drops a request, whether it is running or queued.
    pub fn cancel(&mut self, request: usize) {
        self.queue.retain(|job| job.request != request);
        if let Some(position) = self.batch.iter().position(|job| job.request == request) {
            self.batch.swap_remove(position);
            self.started.swap_remove(position);
        }
    }

    /// Drops all requests, running and queued.
    ///
    /// Returns request, attempt, and whether the first token was generated.
    pub fn abort_all(&mut self) -> Vec<(usize, u32, bool)> {
        let batch = self.batch.drain(..).zip(self.started.drain(..));
        let batch: Vec<_> = batch
            .map(|(job, started)| (job.request, job.attempt, started))
            .collect();
        let queue = self.queue.drain(..);
        let queue = queue.map(|job| (job.request, job.attempt, false));
        batch.into_iter().chain(queue).collect()
    }

    /// Fills the batch from the queue and returns how long the next step takes, in microseconds.
    pub fn begin_step(&mut self) -> u64 {
        while self.batch.len() < self.slots {
            let Some(mut job) = self.queue.pop_front() else {
                break;
            };
            if !self.look_up_prefix(job.prefix) {
                job.prompt_tokens += job.prefix_tokens;
            }
            self.batch.push(job);
            self.started.push(false);
        }
        let unprocessed_tokens: u64 = self.batch.iter().map(|job| job.prompt_tokens).sum();
        let prefill_us = unprocessed_tokens.min(PREFILL_CHUNK_TOKENS) as f64 * PREFILL_TOKEN_US;
        let step_us = STEP_BASE_US + STEP_REQUEST_US * self.batch.len() as f64 + prefill_us;
        (step_us / self.speed) as u64
    }

    /// Ends the step: processes prompt tokens in the order of the batch, and generates one token
    /// for each request whose prompt is processed.
    pub fn end_step(&mut self, outputs: &mut Vec<Output>) {
        let mut chunk_tokens = PREFILL_CHUNK_TOKENS;
        for (job, started) in self.batch.iter_mut().zip(&mut self.started) {
            if job.prompt_tokens > 0 {
                let processed = job.prompt_tokens.min(chunk_tokens);
                job.prompt_tokens -= processed;
                chunk_tokens -= processed;
                if job.prompt_tokens > 0 {
                    continue;
                }
            }
            let (request, attempt) = (job.request, job.attempt);
            if !*started {
                *started = true;
                outputs.push(Output::FirstToken { request, attempt });
            }
            job.output_tokens -= 1;
            if job.output_tokens == 0 {
                outputs.push(Output::LastToken { request, attempt });
            }
        }
        let mut kept = self.batch.iter().map(|job| job.output_tokens > 0);
        self.started.retain(|_| kept.next().unwrap_or(false));
        self.batch.retain(|job| job.output_tokens > 0);
    }

    /// Looks a prefix up and caches it, evicting the least recently used one from a full cache.
    fn look_up_prefix(&mut self, prefix: Option<u64>) -> bool {
        let Some(prefix) = prefix else {
            return false;
        };
        self.prefix_lookups += 1;
        let position = self.cache.iter().position(|&cached| cached == prefix);
        if let Some(position) = position {
            self.cache.remove(position);
            self.prefix_hits += 1;
        }
        self.cache.push_back(prefix);
        if self.cache.len() > CACHED_PREFIXES {
            self.cache.pop_front();
        }
        position.is_some()
    }
}
