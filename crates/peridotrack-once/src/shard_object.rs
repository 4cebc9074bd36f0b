//! The platform objects that store claims.
//!
//! Each shard has one head, `claims/<shard>`, to which claims are added by conditional update, and
//! sealed pages `claims/<shard>/<sequence>`, which are created once and never change. The head
//! lists every retained page with a Bloom filter over its keys. Because the list is part of the
//! head, the conditional update that adds a claim also proves that the list was current: after a
//! stale read the update fails instead of missing an earlier claim.

use std::collections::BTreeMap;

use peridotrack_types::id;
use serde::{Deserialize, Serialize};

use crate::{digest, filter};

/// Upper bound on the JSON of a row without its body, in bytes.
const ROW_BYTES: usize = 400;
/// Upper bound on the JSON of a head without its rows and pages, in bytes.
const HEAD_BYTES: usize = 120;
/// Upper bound on the JSON of a listed page without its filter, in bytes.
const PAGE_BYTES: usize = 80;

/// A shard's head or one of its pages.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardObject {
    /// In a head, the sequence of the next page to seal; in a page, its own sequence.
    pub sequence: u64,
    /// Retention epoch, from 0: the current one in a head, that of the seal in a page.
    pub epoch: u64,
    /// Set in a head while its settled rows are being sealed; its rows do not change until the seal
    /// is complete.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seal: Option<Seal>,
    /// Claims by digest of client account and key; see [`digest::of_key`].
    pub rows: BTreeMap<digest::Digest, Row>,
    /// In a head, the retained pages, oldest first; empty in a page.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pages: Vec<PageEntry>,
}

/// A seal in progress, which moves settled rows from the head into a page.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seal {
    /// Epoch of the head after the seal: the current one or the next.
    pub next_epoch: u64,
}

/// Entry of a sealed page in the head's list; the page itself is a [`ShardObject`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PageEntry {
    /// Sequence of the page, the last part of its object name.
    pub sequence: u64,
    /// Epoch in which the page was sealed; determines how long it is retained.
    pub epoch: u64,
    /// Bloom filter over the keys of the page's rows.
    pub keys: filter::Filter,
}

/// The claim of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Digest of method, path and body; see [`digest::of_request`].
    pub request_digest: digest::Digest,
    /// Random number by which the claimant recognizes its own claim.
    pub nonce: u64,
    /// Incarnation of the router that made the claim.
    pub incarnation: id::Incarnation,
    /// Request that made the claim, unique within the incarnation.
    pub request_id: id::Request,
    /// Time from the claim to the claimant's deadline, in milliseconds.
    pub timeout_ms: u64,
    /// Progress of the request as recorded by its claimant.
    pub state: State,
}

/// State of a claimed request.
///
/// There is no state for a request that did not run: its row is removed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// No outcome is recorded: the request may not be sent yet, may be running, or its claimant may
    /// have died.
    Claimed,
    /// The backend server responded.
    #[serde(rename = "answered")]
    Responded(Response),
    /// The request may have run and its response is lost.
    Unknown,
}

/// A backend server's response, stored for replay to retries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header, empty if the response had none.
    pub content_type: String,
    /// Body, unless it exceeded the limit for stored bodies.
    pub body: Body,
}

/// The body of a stored response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// A body that is valid UTF-8.
    Text(String),
    /// Any other body, in hexadecimal.
    Hex(String),
    /// The body exceeded the limit for stored bodies and was dropped.
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

    /// Returns the page that holds the settled rows of a head that is being sealed.
    ///
    /// The rows of such a head do not change, so every router derives the same page from it.
    pub fn sealed_page(&self) -> Self {
        Self {
            sequence: self.sequence,
            epoch: self.epoch,
            seal: None,
            rows: self.settled_rows(),
            pages: Vec::new(),
        }
    }

    /// Returns the head after a seal: it keeps the unsettled rows, lists the new page and drops
    /// pages as in [`ShardObject::enter_epoch`].
    pub fn after_seal(&self, seal: Seal, retained_epochs: u64) -> Self {
        let settled = self.settled_rows();
        let mut next = self.clone();
        next.seal = None;
        next.sequence += 1;
        next.rows.retain(|_, row| !row.state.is_settled());
        next.pages.push(PageEntry {
            sequence: self.sequence,
            epoch: self.epoch,
            keys: filter::Filter::of(settled.keys()),
        });
        next.enter_epoch(seal.next_epoch, retained_epochs);
        next
    }

    /// Enters `epoch` and drops the pages sealed `retained_epochs` or more epochs before it.
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
        let page_bytes = |page: &PageEntry| page.keys.text_bytes() + PAGE_BYTES;
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
            State::Responded(response) => {
                response.body.encoded_bytes() + response.content_type.len()
            }
            State::Claimed | State::Unknown => 0,
        };
        ROW_BYTES + body_bytes
    }
}

impl State {
    /// Returns whether an outcome is recorded; only settled rows are sealed into pages.
    pub fn is_settled(&self) -> bool {
        !matches!(self, Self::Claimed)
    }
}

impl Body {
    /// Creates a body from `bytes`, or [`Body::TooLarge`] if it is longer than `limit_bytes`.
    pub fn from_bytes(bytes: Vec<u8>, limit_bytes: usize) -> Self {
        if bytes.len() > limit_bytes {
            return Self::TooLarge;
        }
        match String::from_utf8(bytes) {
            Ok(text) => Self::Text(text),
            Err(error) => Self::Hex(hex::encode(error.into_bytes())),
        }
    }

    /// Returns the decoded body; `None` if it was too large or is not valid hexadecimal.
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
            // JSON writes a control character as six bytes, a quotation mark or backslash as two.
            Self::Text(text) => text.len() + text.bytes().map(escape_bytes).sum::<usize>(),
            Self::Hex(text) => text.len(),
            Self::TooLarge => 0,
        }
    }
}

/// Returns the number of bytes that JSON adds to escape `byte`.
fn escape_bytes(byte: u8) -> usize {
    match byte {
        b'"' | b'\\' => 1,
        0..0x20 => 5,
        _ => 0,
    }
}
