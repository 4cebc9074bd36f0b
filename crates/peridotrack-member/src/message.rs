//! Messages between routers about liveness.
//!
//! A router sends a [`Message::Heartbeat`] each period and receives a [`Message::Reply`]. Both
//! carry a [`Report`] with the sender's record, heartbeat sequences and records of other routers.

use std::net::SocketAddr;

use peridotrack_types::{id, name};
use serde::{Deserialize, Serialize};

/// State of a router as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Name of the VM on which it runs.
    pub vm: name::Vm,
    /// Incarnation of the router: identifies one run of its process.
    pub incarnation: id::Incarnation,
    /// When the process started, in milliseconds since the Unix epoch by its VM's clock.
    ///
    /// Used only to order the incarnations of one VM.
    pub started_wall_ms: u64,
    /// Failure domain in which the VM runs.
    pub failure_domain: name::FailureDomain,
    /// Address at which it accepts other routers.
    pub peer_address: SocketAddr,
    /// Address at which it accepts callers.
    pub caller_address: SocketAddr,
    /// Number of heartbeat periods since the start of this incarnation, never decreasing.
    #[serde(rename = "beat")]
    pub heartbeat_sequence: u64,
    /// Version of the active configuration; 0 if there is none.
    pub config_version: u64,
    /// Whether it serves callers, starts or stops.
    pub state: State,
}

/// Phase in the life cycle of a router process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Doesn't accept callers yet.
    Starting,
    /// Accepts and serves callers.
    Serving,
    /// Finishes open requests before it ends.
    Stopping,
    /// Has ended. The incarnation never leaves this state.
    Stopped,
}

/// The highest heartbeat sequence of a router that the sender of a report knows.
///
/// It is encoded as a pair: the incarnation as 8 bytes in big-endian order, and the sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "([u8; 8], u64)", from = "([u8; 8], u64)")]
pub struct HeartbeatSequence {
    /// Incarnation whose sequence this is.
    pub incarnation: id::Incarnation,
    /// The value of [`Record::heartbeat_sequence`], received directly or from other routers.
    #[serde(rename = "beat")]
    pub sequence: u64,
}

/// Content of a heartbeat or a reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Record of the sender.
    pub from: Record,
    /// Heartbeat sequences of routers in one failure domain: the receiver's domain in a heartbeat
    /// to a known peer, otherwise the sender's.
    #[serde(rename = "beats")]
    pub heartbeat_sequences: Vec<HeartbeatSequence>,
    /// Records of other routers that changed or that the receiver may not have received.
    pub records: Vec<Record>,
    /// Maximum number of records that the sender requests in the reply; they describe routers that
    /// are missing from `heartbeat_sequences`.
    pub wanted_records: u8,
    /// Number of live peers in the sender's failure domain that the sender knows, at most 255.
    pub domain_peers: u8,
}

/// A message between routers about liveness.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Sent each period; the receiver sends a [`Message::Reply`].
    Heartbeat(Report),
    /// Response to a heartbeat, with updates that its sender lacks.
    Reply(Report),
}

impl Record {
    /// Returns the key that orders the incarnations of one VM; that of a later start is greater.
    pub fn generation(&self) -> (u64, id::Incarnation) {
        (self.started_wall_ms, self.incarnation)
    }
}

impl Message {
    /// Returns the report that the message carries.
    pub fn report(&self) -> &Report {
        match self {
            Self::Heartbeat(report) | Self::Reply(report) => report,
        }
    }
}

impl From<HeartbeatSequence> for ([u8; 8], u64) {
    fn from(entry: HeartbeatSequence) -> Self {
        (entry.incarnation.0.to_be_bytes(), entry.sequence)
    }
}

impl From<([u8; 8], u64)> for HeartbeatSequence {
    fn from((incarnation, sequence): ([u8; 8], u64)) -> Self {
        Self {
            incarnation: id::Incarnation(u64::from_be_bytes(incarnation)),
            sequence,
        }
    }
}
