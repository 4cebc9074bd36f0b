//! Which parts explain the crashes that routers have stated.
//!
//! The requests that crash servers share other parts with sound requests, which may have been in
//! flight at the same servers. [`judge`] therefore looks for the fewest parts that explain all
//! crashes: it takes the part with the most, and disregards the crashes that this part explains for
//! all others.

use std::collections::{BTreeMap, BTreeSet};

use peridotrack_types::{collections::HashMap, name};

use crate::{options::Options, statement::Part};

/// One crash under a part, with the routers that stated it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Greatest depth that was stated.
    pub depth: u32,
    /// When the first of the authors noticed the end, in milliseconds since the Unix epoch by the
    /// clock of its VM.
    pub at_wall_ms: u64,
    /// VMs of the routers that noticed it.
    pub authors: BTreeSet<name::Vm>,
}

/// The crashes under one part, by server.
pub type Crashes = BTreeMap<name::BackendServer, Report>;

/// Parts that together are refused, and the crashes that prove them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Block {
    /// Parts that the crashes do not tell apart, sorted; a request is refused if it has all of them.
    pub parts: Vec<Part>,
    /// Crashes that they explain.
    pub crashes: Crashes,
}

/// Result of [`judge`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Blocks, the one with the most crashes first.
    pub blocks: Vec<Block>,
    /// Greatest depth of the crashes that no block explains, by part.
    pub unexplained: HashMap<Part, u32>,
}

/// Explains the crashes by as few parts as possible.
///
/// Parts with the same crashes form one block. A request that has only some of them is let through,
/// and its outcome tells them apart.
pub fn judge(crashes: &BTreeMap<Part, Crashes>, options: &Options) -> Verdict {
    let mut remaining = crashes.clone();
    let mut blocks = Vec::new();
    loop {
        let proven = remaining
            .iter()
            .filter(|(_, crashes)| is_proof(crashes, options))
            .max_by_key(|(part, crashes)| (crashes.len(), max_depth(crashes), **part));
        let Some((_, explained)) = proven else { break };
        let explained = explained.clone();
        let is_same = |crashes: &Crashes| crashes.keys().eq(explained.keys());
        let parts = remaining
            .iter()
            .filter(|(_, crashes)| is_same(crashes))
            .map(|(part, _)| *part)
            .collect();
        for crashes in remaining.values_mut() {
            crashes.retain(|server, _| !explained.contains_key(server));
        }
        remaining.retain(|_, crashes| !crashes.is_empty());
        blocks.push(Block {
            parts,
            crashes: explained,
        });
    }
    Verdict {
        blocks,
        unexplained: remaining
            .into_iter()
            .map(|(part, crashes)| (part, max_depth(&crashes)))
            .collect(),
    }
}

/// Returns the greatest depth of the crashes, 0 if there are none.
pub fn max_depth(crashes: &Crashes) -> u32 {
    let depths = crashes.values().map(|report| report.depth);
    depths.max().unwrap_or(0)
}

/// Returns whether the crashes prove that the part causes them.
///
/// A crash of depth 2 excludes a coincidence only if many servers have ended: those of depth 1 may
/// have ended together for another reason.
fn is_proof(crashes: &Crashes, options: &Options) -> bool {
    let depth = max_depth(crashes);
    let is_deep = depth >= options.proof_depth && crashes.len() >= options.proof_depth as usize;
    is_deep || depth >= 2 && crashes.len() >= options.proof_servers
}
