//! Which signatures explain the crashes that routers have stated.
//!
//! The requests that crash servers share other signatures with sound requests, and sound requests
//! may have been in flight at the same servers. [`judge`] therefore looks for the fewest signatures
//! that explain all crashes: it takes the one with the most, and disregards the crashes that it
//! explains for all others.

use std::collections::{BTreeMap, BTreeSet};

use peridotrack_types::name;

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

/// Result of [`judge`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Blocks, the one with the most crashes first.
    pub blocks: Vec<Block>,
    /// Servers whose ends the blocks explain.
    pub explained: BTreeSet<Run>,
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
/// through, and its outcome tells them apart. Signatures with too few crashes for a proof or a probe
/// make no difference and may be left out.
pub fn judge(crashes: &BTreeMap<Signature, Crashes>, options: &Options) -> Verdict {
    let mut verdict = Verdict::default();
    let references = |crashes| Crashes::iter(crashes).collect();
    let mut remaining: BTreeMap<Signature, BTreeMap<&Run, &Report>> = crashes
        .iter()
        .map(|(signature, crashes)| (*signature, references(crashes)))
        .collect();
    loop {
        let proven = remaining
            .iter()
            .map(|(signature, crashes)| (*signature, crashes, depth_of(crashes)))
            .filter(|(signature, crashes, depth)| {
                is_proof(*signature, *depth, crashes.len(), options)
            })
            .max_by_key(|(signature, crashes, depth)| (crashes.len(), *depth, *signature));
        let Some((_, explained, _)) = proven else {
            break;
        };
        let is_same = |crashes: &BTreeMap<&Run, &Report>| crashes.keys().eq(explained.keys());
        let signatures: Vec<Signature> = remaining
            .iter()
            .filter(|(_, crashes)| is_same(crashes))
            .map(|(signature, _)| *signature)
            .collect();
        let explained = owned(explained);
        let requests = signatures.iter().filter(|signature| is_request(signature));
        if requests.clone().count() > 1 {
            let undecided = requests.map(|signature| (*signature, explained.clone()));
            verdict.undecided.extend(undecided);
        }
        for crashes in remaining.values_mut() {
            crashes.retain(|server, _| !explained.contains_key(*server));
        }
        remaining.retain(|_, crashes| !crashes.is_empty());
        verdict.explained.extend(explained.keys().cloned());
        verdict.blocks.push(Block {
            signatures,
            crashes: explained,
        });
    }
    let unproven = remaining.iter().filter(|(signature, crashes)| {
        is_request(signature) && crashes.len() >= options.request_probe_servers
    });
    let unproven = unproven.map(|(signature, crashes)| (*signature, owned(crashes)));
    verdict.undecided.extend(unproven);
    verdict
}

fn owned(crashes: &BTreeMap<&Run, &Report>) -> Crashes {
    let crashes = crashes.iter();
    crashes
        .map(|(server, report)| ((*server).clone(), (*report).clone()))
        .collect()
}

fn is_request(signature: &Signature) -> bool {
    matches!(signature, Signature::Request(_))
}

fn depth_of(crashes: &BTreeMap<&Run, &Report>) -> u32 {
    max_depth(crashes.values().copied())
}

/// Returns the greatest depth of the crashes, 0 if there are none.
pub(crate) fn max_depth<'a>(reports: impl Iterator<Item = &'a Report>) -> u32 {
    let depths = reports.map(|report| report.depth);
    depths.max().unwrap_or(0)
}

/// Returns whether crashes of a greatest depth and of a number of servers prove that the signature
/// causes them.
///
/// A crash of depth 2 excludes a coincidence only if several servers have ended: those of depth 1
/// may have ended together for another reason. A prompt part needs more of them than a request,
/// because it is in many requests.
fn is_proof(signature: Signature, depth: u32, servers: usize, options: &Options) -> bool {
    match signature {
        Signature::Part(_) => {
            let proof_depth = options.part_proof_depth;
            let is_deep = depth >= proof_depth && servers >= proof_depth as usize;
            is_deep || depth >= 2 && servers >= options.part_proof_servers
        }
        Signature::Request(_) => depth >= 2 && servers >= options.request_proof_servers,
    }
}
