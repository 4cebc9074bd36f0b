//! Which signatures explain the crashes that routers have stated.
//!
//! The requests that crash servers share other signatures with sound requests, and sound requests
//! may have been in flight at the same servers. [`judge`] therefore looks for the fewest signatures
//! that explain all crashes: it takes the one with the most, and disregards the crashes that it
//! explains for all others.

use std::collections::{BTreeMap, BTreeSet};

use peridotrack_types::{collections::HashMap, name};

use crate::{options::Options, run::Run, signature::Signature};

/// One crash under a signature, with the routers that stated it.
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

/// The crashes under one signature, by the run of the server.
pub type Crashes = BTreeMap<Run, Report>;

/// Signatures that together are refused, and the crashes that prove them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Block {
    /// Signatures that the crashes do not tell apart, sorted; a request is refused if it has all of
    /// them.
    pub signatures: Vec<Signature>,
    /// Crashes that they explain.
    pub crashes: Crashes,
}

/// Crashes under one signature that no block explains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unexplained {
    /// Number of servers that ended.
    pub servers: usize,
    /// Greatest depth of the crashes.
    pub depth: u32,
}

/// Result of [`judge`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Blocks, the one with the most crashes first.
    pub blocks: Vec<Block>,
    /// Crashes that no block explains, by signature.
    pub unexplained: HashMap<Signature, Unexplained>,
    /// Requests that are sent only to learn whether they cause their crashes: these prove nothing,
    /// or another request has the same.
    pub undecided: BTreeMap<Signature, Crashes>,
}

impl Verdict {
    /// Returns the blocks because of which a request with the signatures is refused.
    pub(crate) fn blocks_of(&self, signatures: &[Signature]) -> impl Iterator<Item = &Block> {
        self.blocks.iter().filter(move |block| {
            let mut blocked = block.signatures.iter();
            blocked.all(|signature| signatures.contains(signature))
        })
    }
}

/// Explains the crashes by as few signatures as possible.
///
/// Signatures with the same crashes form one block. A request that has only some of them is let
/// through, and its outcome tells them apart.
pub fn judge(crashes: &BTreeMap<Signature, Crashes>, options: &Options) -> Verdict {
    let mut remaining = crashes.clone();
    let mut blocks = Vec::new();
    let mut undecided = BTreeMap::new();
    loop {
        let proven = remaining
            .iter()
            .filter(|(signature, crashes)| is_proof(**signature, crashes, options))
            .max_by_key(|(signature, crashes)| (crashes.len(), max_depth(crashes), **signature));
        let Some((_, explained)) = proven else { break };
        let explained = explained.clone();
        let is_same = |crashes: &Crashes| crashes.keys().eq(explained.keys());
        let signatures: Vec<Signature> = remaining
            .iter()
            .filter(|(_, crashes)| is_same(crashes))
            .map(|(signature, _)| *signature)
            .collect();
        let requests = signatures.iter().filter(|signature| is_request(signature));
        if requests.clone().count() > 1 {
            undecided.extend(requests.map(|signature| (*signature, explained.clone())));
        }
        for crashes in remaining.values_mut() {
            crashes.retain(|server, _| !explained.contains_key(server));
        }
        remaining.retain(|_, crashes| !crashes.is_empty());
        blocks.push(Block {
            signatures,
            crashes: explained,
        });
    }
    let is_undecided = |(signature, crashes): &(&Signature, &Crashes)| {
        is_request(signature) && crashes.len() >= options.request_probe_servers
    };
    let unproven = remaining.iter().filter(is_undecided);
    undecided.extend(unproven.map(|(signature, crashes)| (*signature, crashes.clone())));
    let unexplained = |(signature, crashes): (Signature, Crashes)| {
        let (servers, depth) = (crashes.len(), max_depth(&crashes));
        (signature, Unexplained { servers, depth })
    };
    Verdict {
        blocks,
        unexplained: remaining.into_iter().map(unexplained).collect(),
        undecided,
    }
}

fn is_request(signature: &Signature) -> bool {
    matches!(signature, Signature::Request(_))
}

/// Returns the greatest depth of the crashes, 0 if there are none.
pub fn max_depth(crashes: &Crashes) -> u32 {
    let depths = crashes.values().map(|report| report.depth);
    depths.max().unwrap_or(0)
}

/// Returns whether the crashes prove that the signature causes them.
///
/// A crash of depth 2 excludes a coincidence only if several servers have ended: those of depth 1
/// may have ended together for another reason. A prompt part needs more of them than a request,
/// because it is in many requests.
fn is_proof(signature: Signature, crashes: &Crashes, options: &Options) -> bool {
    let (depth, servers) = (max_depth(crashes), crashes.len());
    match signature {
        Signature::Part(_) => {
            let proof_depth = options.part_proof_depth;
            let is_deep = depth >= proof_depth && servers >= proof_depth as usize;
            is_deep || depth >= 2 && servers >= options.part_proof_servers
        }
        Signature::Request(_) => depth >= 2 && servers >= options.request_proof_servers,
    }
}
