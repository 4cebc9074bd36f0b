//! Whether a block still holds: from time to time one router sends one request of it.
//!
//! Crashes for another reason, such as a series of power failures, can look like proof against a
//! signature, and the requests that would clear it are refused. A router that refuses requests of a
//! block therefore claims a recheck in the store, and sends the next of them. If it completes, the
//! signatures are cleared; if the server ends, the wait until the next claim grows. Each claim is a
//! conditional write, so that one router of the fleet gets it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{options::Options, run::Run, signature::Signature, verdict::Block};

/// Kind of the store objects that hold claims; [`Claim::object_name`] names them.
pub const KIND: &str = "quarantine-recheck";
/// Length of the name of an object, in bytes of the digest that it consists of.
const NAME_BYTES: usize = 16;

/// Content of the store object with the claims of one block.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claims {
    /// Number of claims so far.
    pub count: u32,
    /// Servers that had ended under the block at the last claim. A later block of the same
    /// signatures with none of these starts with a count of its own.
    pub ended_servers: Vec<Run>,
}

/// A claim that a router is about to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Signatures of the block.
    pub signatures: Vec<Signature>,
    /// Number of claims that the router knows of.
    known: u32,
    ended_servers: Vec<Run>,
}

/// Result of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The claim was written, as one of `count`.
    Granted {
        /// Number of claims with this one.
        count: u32,
    },
    /// Another router has made the claim.
    Taken {
        /// Number of claims with that one.
        count: u32,
    },
    /// The store could not be asked, or the outcome of the write is unknown.
    Failed,
}

impl Claim {
    /// Returns the name of the store object, the same at all routers.
    pub fn object_name(&self) -> String {
        let texts: Vec<_> = self.signatures.iter().map(Signature::to_string).collect();
        let digest = Sha256::digest(texts.join(","));
        hex::encode(&digest[..NAME_BYTES])
    }

    /// Returns the content to write in place of the stored one.
    ///
    /// # Errors
    ///
    /// Returns the result of the claim if the stored content contains one that the router did not
    /// know of.
    pub fn next(&self, stored: Option<&Claims>) -> Result<Claims, Outcome> {
        let is_same = |claims: &&Claims| {
            let ended = claims.ended_servers.iter();
            ended
                .clone()
                .any(|server| self.ended_servers.contains(server))
        };
        let count = stored.filter(is_same).map_or(0, |claims| claims.count);
        if count > self.known {
            return Err(Outcome::Taken { count });
        }
        Ok(Claims {
            count: count.saturating_add(1),
            ended_servers: self.ended_servers.clone(),
        })
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Nothing is in progress until the next claim is due.
    Waiting,
    /// A claim is being made.
    Claiming,
    /// This router may send a request of the block.
    Held { free_us: u64 },
}

/// The recheck of one block.
#[derive(Debug)]
struct Recheck {
    /// Number of servers that had ended under the block.
    ended_servers: usize,
    /// When the last crash or claim became known here, in monotonic microseconds.
    since_us: u64,
    /// Claims that are known here.
    claims: u32,
    state: State,
}

/// The rechecks of the blocks in force, as one router knows them.
#[derive(Debug, Default)]
pub(crate) struct Rechecks {
    by_block: BTreeMap<Vec<Signature>, Recheck>,
}

impl Rechecks {
    /// Takes over the blocks in force; `crashed_us` returns when the last crash under a signature
    /// became known.
    pub(crate) fn update(&mut self, blocks: &[Block], crashed_us: impl Fn(&Signature) -> u64) {
        let is_blocked = |signatures: &Vec<Signature>| {
            let mut known = blocks.iter().map(|block| &block.signatures);
            known.any(|known| known == signatures)
        };
        self.by_block.retain(|signatures, _| is_blocked(signatures));
        for block in blocks {
            let since_us = block.signatures.iter().map(&crashed_us).max();
            let since_us = since_us.unwrap_or_default();
            let recheck = self
                .by_block
                .entry(block.signatures.clone())
                .or_insert(Recheck {
                    ended_servers: 0,
                    since_us,
                    claims: 0,
                    state: State::Waiting,
                });
            if block.crashes.len() > recheck.ended_servers {
                recheck.ended_servers = block.crashes.len();
                recheck.since_us = recheck.since_us.max(since_us);
                if matches!(recheck.state, State::Held { .. }) {
                    recheck.state = State::Waiting;
                }
            }
        }
    }

    /// Returns whether this router may send a request of the block now.
    pub(crate) fn may_send(&self, now_us: u64, block: &Block) -> bool {
        let recheck = self.by_block.get(&block.signatures);
        recheck.is_some_and(|recheck| match recheck.state {
            State::Held { free_us } => now_us >= free_us,
            State::Waiting | State::Claiming => false,
        })
    }

    /// Returns the time until a claim is due, in microseconds; 0 if it is due now.
    pub(crate) fn due_in_us(&self, now_us: u64, block: &Block, options: &Options) -> u64 {
        let Some(recheck) = self.by_block.get(&block.signatures) else {
            return options.recheck_delay_us;
        };
        let due_us = recheck.due_us(options).saturating_sub(now_us);
        match recheck.state {
            State::Waiting => due_us,
            State::Claiming => options.recheck_delay_us,
            State::Held { free_us } => free_us.saturating_sub(now_us).max(1),
        }
    }

    /// Records that a request of the block is sent. No other one follows until its result has had
    /// time to arrive.
    pub(crate) fn begin(&mut self, now_us: u64, block: &Block, options: &Options) {
        if let Some(recheck) = self.by_block.get_mut(&block.signatures)
            && let State::Held { free_us } = &mut recheck.state
        {
            *free_us = now_us + options.pending_us;
        }
    }

    /// Records that a request with the signatures did not reach a server.
    pub(crate) fn withdraw(&mut self, has: impl Fn(&Signature) -> bool) {
        for (signatures, recheck) in &mut self.by_block {
            if let State::Held { free_us } = &mut recheck.state
                && signatures.iter().all(&has)
            {
                *free_us = 0;
            }
        }
    }

    /// Begins a claim if one is due.
    pub(crate) fn claim(&mut self, now_us: u64, block: &Block, options: &Options) -> Option<Claim> {
        let recheck = self.by_block.get_mut(&block.signatures)?;
        if recheck.state != State::Waiting || now_us < recheck.due_us(options) {
            return None;
        }
        recheck.state = State::Claiming;
        Some(Claim {
            signatures: block.signatures.clone(),
            known: recheck.claims,
            ended_servers: block.crashes.keys().cloned().collect(),
        })
    }

    /// Records the result of a claim; returns whether it was granted and still counts.
    pub(crate) fn claimed(&mut self, now_us: u64, claim: &Claim, outcome: Outcome) -> bool {
        let Some(recheck) = self.by_block.get_mut(&claim.signatures) else {
            return false;
        };
        recheck.state = State::Waiting;
        match outcome {
            Outcome::Granted { count } => {
                recheck.claims = count;
                // A server that ended meanwhile may have done so under another router's recheck.
                if recheck.ended_servers == claim.ended_servers.len() {
                    recheck.state = State::Held { free_us: 0 };
                    return true;
                }
            }
            Outcome::Taken { count } => {
                recheck.claims = count;
                recheck.since_us = now_us;
            }
            Outcome::Failed => recheck.since_us = now_us,
        }
        false
    }
}

impl Recheck {
    /// Returns when the next claim is due, in monotonic microseconds.
    fn due_us(&self, options: &Options) -> u64 {
        let factor = options.recheck_factor.saturating_pow(self.claims);
        let delay_us = options.recheck_delay_us.saturating_mul(factor);
        self.since_us.saturating_add(delay_us)
    }
}
