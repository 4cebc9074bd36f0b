//! The platform objects that hold claims.
//!
//! Each shard has one head, `claims/<shard>`, which takes new claims by conditional update, and
//! sealed pages `claims/<shard>/<sequence>`, which are created once and never change. The head
//! lists every retained page with a filter over its keys. Because the list is part of the head,
//! the conditional update of a new claim also proves that the list was up to date: a stale read
//! makes the update fail instead of hiding an earlier claim.

use std::collections::BTreeMap;

use peridotrack_types::id;
use serde::{Deserialize, Serialize};

use crate::{digest, filter};

/// Bytes that a row takes beside its body, as JSON, at most.
const ROW_BYTES: usize = 400;
/// Bytes that a head takes beside its rows and pages, as JSON, at most.
const HEAD_BYTES: usize = 120;
/// Bytes that a listed page takes beside its filter, as JSON, at most.
const PAGE_BYTES: usize = 80;

/// A head or a page.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardObject {
    /// Sequence of the page that the rows will be, or are, sealed into.
    pub sequence: u64,
    /// Count of retention epochs that the shard has gone through.
    pub epoch: u64,
    /// Set while the answered rows are being sealed; until then nothing else may change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seal: Option<Seal>,
    /// Claims by the digest of their key.
    pub rows: BTreeMap<digest::Digest, Row>,
    /// Retained pages, oldest first; empty in a page.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pages: Vec<Page>,
}

/// A seal in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seal {
    /// Epoch of the head after the seal.
    pub next_epoch: u64,
}

/// A sealed page, as listed in the head.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Page {
    /// Sequence, part of the page's name.
    pub sequence: u64,
    /// Epoch in which the page was sealed.
    pub epoch: u64,
    /// Filter over the keys of the page.
    pub keys: filter::Filter,
}

/// One claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Digest of the method, path and body.
    pub request_digest: digest::Digest,
    /// Random number by which the claimant knows its own claim again.
    pub nonce: u64,
    /// Claimant.
    pub incarnation: id::Incarnation,
    /// Request that made the claim.
    pub request_id: id::Request,
    /// Time from the claim to the claimant's deadline, in milliseconds.
    pub timeout_ms: u64,
    /// What is known of the request.
    pub state: State,
}

/// What is known of a claimed request.
///
/// A request that did not run has no state: its row is removed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The request may be sent, may be running, or its claimant may be gone.
    Claimed,
    /// The backend server answered.
    #[serde(rename = "answered")]
    Responded(Response),
    /// The request may have run and its answer is lost.
    Unknown,
}

/// A backend server's answer, kept for replay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Content type, empty if the answer had none.
    pub content_type: String,
    /// Body.
    pub body: Body,
}

/// The body of a kept answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// UTF-8 text.
    Text(String),
    /// Other bytes, in hexadecimal.
    Hex(String),
    /// The body exceeded the limit for kept bodies.
    TooLarge,
}

impl ShardObject {
    /// Estimates the length of the object as JSON, in bytes.
    pub fn encoded_bytes(&self) -> usize {
        HEAD_BYTES + self.rows_bytes() + self.pages_bytes()
    }

    /// Estimates the length of the rows as JSON, in bytes.
    pub fn rows_bytes(&self) -> usize {
        self.rows.values().map(Row::encoded_bytes).sum()
    }

    /// Returns the page that the sealing head's settled rows form.
    ///
    /// The rows of a sealing head are frozen, so every router derives the same page from it.
    pub fn sealed_page(&self) -> Self {
        Self {
            sequence: self.sequence,
            epoch: self.epoch,
            seal: None,
            rows: self.settled_rows(),
            pages: Vec::new(),
        }
    }

    /// Returns the head that follows a seal: unsettled rows stay, the page is listed and pages
    /// older than `retained_epochs` are dropped.
    pub fn after_seal(&self, seal: Seal, retained_epochs: u64) -> Self {
        let settled = self.settled_rows();
        let mut next = self.clone();
        next.seal = None;
        next.sequence += 1;
        next.rows.retain(|_, row| !row.state.is_settled());
        next.pages.push(Page {
            sequence: self.sequence,
            epoch: self.epoch,
            keys: filter::Filter::of(settled.keys()),
        });
        next.enter_epoch(seal.next_epoch, retained_epochs);
        next
    }

    /// Moves to `epoch` and drops the pages sealed `retained_epochs` or more before it.
    pub fn enter_epoch(&mut self, epoch: u64, retained_epochs: u64) {
        self.epoch = epoch;
        self.pages
            .retain(|page| page.epoch.saturating_add(retained_epochs) > epoch);
    }

    fn settled_rows(&self) -> BTreeMap<digest::Digest, Row> {
        let settled = self.rows.iter().filter(|(_, row)| row.state.is_settled());
        settled.map(|(key, row)| (*key, row.clone())).collect()
    }

    fn pages_bytes(&self) -> usize {
        let page_bytes = |page: &Page| page.keys.text_bytes() + PAGE_BYTES;
        self.pages.iter().map(page_bytes).sum()
    }
}

impl Row {
    /// Returns whether this is the claim that `request_id` made with `nonce`.
    pub fn is_owned_by(&self, request_id: id::Request, nonce: u64) -> bool {
        self.request_id == request_id && self.nonce == nonce
    }

    fn encoded_bytes(&self) -> usize {
        let body_bytes = match &self.state {
            State::Responded(answer) => answer.body.encoded_bytes() + answer.content_type.len(),
            State::Claimed | State::Unknown => 0,
        };
        ROW_BYTES + body_bytes
    }
}

impl State {
    /// Returns whether the claimant has nothing more to record.
    pub fn is_settled(&self) -> bool {
        !matches!(self, Self::Claimed)
    }
}

impl Body {
    /// Keeps `bytes`, unless there are more than `limit_bytes`.
    pub fn from_bytes(bytes: Vec<u8>, limit_bytes: usize) -> Self {
        if bytes.len() > limit_bytes {
            return Self::TooLarge;
        }
        match String::from_utf8(bytes) {
            Ok(text) => Self::Text(text),
            Err(error) => Self::Hex(hex::encode(error.into_bytes())),
        }
    }

    /// Returns the kept bytes.
    pub fn bytes(&self) -> Option<Vec<u8>> {
        match self {
            Self::Text(text) => Some(text.clone().into_bytes()),
            Self::Hex(text) => hex::decode(text).ok(),
            Self::TooLarge => None,
        }
    }

    /// Estimates the length of the body as JSON, in bytes.
    pub fn encoded_bytes(&self) -> usize {
        match self {
            // A control character takes six bytes in JSON, a quotation mark two.
            Self::Text(text) => text.len() + text.bytes().map(escape_bytes).sum::<usize>(),
            Self::Hex(text) => text.len(),
            Self::TooLarge => 0,
        }
    }
}

/// Returns how many bytes JSON adds to escape `byte`.
fn escape_bytes(byte: u8) -> usize {
    match byte {
        b'"' | b'\\' => 1,
        0..0x20 => 5,
        _ => 0,
    }
}
