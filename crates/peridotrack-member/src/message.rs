//! Messages between routers about liveness.

use std::net::SocketAddr;

use peridotrack_types::{id, name};
use serde::{Deserialize, Serialize};

/// What a router says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Name of its VM.
    pub vm: name::Vm,
    /// Life of its process.
    pub incarnation: id::Incarnation,
    /// When the process started, in milliseconds since 1970 by its VM's clock.
    ///
    /// It orders the incarnations of one VM and nothing else.
    pub started_wall_ms: u64,
    /// Failure domain of its VM.
    pub failure_domain: name::FailureDomain,
    /// Where other routers connect.
    pub peer_address: SocketAddr,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Count of heartbeat periods of this incarnation.
    #[serde(rename = "beat")]
    pub heartbeat_sequence: u64,
    /// Version of the configuration in force; 0 means none.
    pub config_version: u64,
    /// State of the process.
    pub state: State,
}

/// State of a router process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Not ready for callers yet.
    Starting,
    /// Serves callers.
    Serving,
    /// Finishes what is open.
    Stopping,
    /// Has ended. Final for an incarnation.
    Stopped,
}

/// The heartbeat sequence of a peer, as far as the sender knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "([u8; 8], u64)", from = "([u8; 8], u64)")]
pub struct HeartbeatSequence {
    /// Life of the peer's process.
    pub incarnation: id::Incarnation,
    /// Highest sequence that the sender has received.
    #[serde(rename = "beat")]
    pub sequence: u64,
}

/// What a router tells in one message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The sender's record.
    pub from: Record,
    /// Beats of peers in the failure domain of the receiver or of the sender.
    #[serde(rename = "beats")]
    pub heartbeat_sequences: Vec<HeartbeatSequence>,
    /// Records that are new or have changed.
    pub records: Vec<Record>,
    /// Records of peers not named in `heartbeat_sequences` that the sender would take.
    pub wanted_records: u8,
    /// Usable peers of its own failure domain that the sender knows, at most 255.
    pub domain_peers: u8,
}

/// A message between routers about liveness.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Sent each period; answered by [`Message::Reply`].
    Heartbeat(Report),
    /// Answers a heartbeat with what its sender lacks.
    Reply(Report),
}

impl Record {
    /// Returns the order among incarnations of one VM; the later one is greater.
    pub fn generation(&self) -> (u64, id::Incarnation) {
        (self.started_wall_ms, self.incarnation)
    }
}

impl Message {
    /// Returns what the message tells.
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
