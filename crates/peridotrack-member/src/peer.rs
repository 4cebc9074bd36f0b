//! State that a router keeps of one peer.
//!
//! A [`Peer`] is live while its heartbeat sequence advances and messages reach it. The table of
//! peers updates it from messages and reevaluates its [`Status`] on each tick.

use crate::message::{Record, State};

/// State of a peer router, as known to this router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Latest record of the peer that this router has received, directly or through others.
    pub record: Record,
    /// Highest heartbeat sequence received, in the peer's record or in reports of other routers.
    pub heartbeat_sequence: u64,
    /// When the heartbeat sequence last advanced, in microseconds of the local clock.
    pub last_heartbeat_us: u64,
    /// Whether the peer is live, as of the last evaluation.
    pub status: Status,
    /// Whether the platform last listed its VM as about to be removed.
    pub is_listed_leaving: bool,
    /// Heartbeats sent to the peer since its last message.
    pub(crate) unanswered: u32,
    /// Whether sending to the peer has failed since its last message.
    pub(crate) is_send_failed: bool,
}

/// Whether a peer is live.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Its heartbeat sequence advances and messages reach it.
    Live,
    /// It is not live for this reason, and becomes live again once the reason no longer holds.
    Left(Reason),
}

/// Reason why a peer is not live.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// Its heartbeat sequence has not advanced within the timeout.
    Silent,
    /// Its heartbeat sequence advances, but sending to it fails or it sends no replies.
    Unreachable,
    /// It reported that it has stopped. Final for the incarnation.
    Stopped,
    /// A newer incarnation runs on its VM.
    Replaced,
}

/// Bounds beyond which a peer is not live.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Bounds {
    /// Maximum time without an advance of the heartbeat sequence, in microseconds.
    pub silence_us: u64,
    /// Heartbeats without a message of the peer from which on it is unreachable.
    pub unanswered: u32,
    /// When this process last resumed after a pause, in microseconds. Silence counts from then at
    /// the earliest.
    pub resumed_us: u64,
}

impl Peer {
    /// Returns whether the peer was live at the last evaluation.
    pub fn is_live(&self) -> bool {
        self.status == Status::Live
    }

    pub(crate) fn new(record: Record, now_us: u64) -> Self {
        Self {
            heartbeat_sequence: record.heartbeat_sequence,
            record,
            last_heartbeat_us: now_us,
            status: Status::Left(Reason::Silent),
            is_listed_leaving: false,
            unanswered: 0,
            is_send_failed: false,
        }
    }

    /// Returns the reason why the peer is not live at `now_us`, `None` if it is.
    pub(crate) fn leave_reason(&self, now_us: u64, bounds: Bounds) -> Option<Reason> {
        let heartbeat_us = self.last_heartbeat_us.max(bounds.resumed_us);
        if self.record.state == State::Stopped {
            Some(Reason::Stopped)
        } else if now_us.saturating_sub(heartbeat_us) > bounds.silence_us {
            Some(Reason::Silent)
        } else if self.is_send_failed || self.unanswered >= bounds.unanswered {
            Some(Reason::Unreachable)
        } else {
            None
        }
    }

    /// Records that a message of the peer itself arrived.
    pub(crate) fn on_contact(&mut self) {
        self.unanswered = 0;
        self.is_send_failed = false;
    }

    /// Applies a heartbeat sequence. Returns whether it is higher than the known one; a stopped
    /// incarnation never advances.
    pub(crate) fn advance_sequence(&mut self, now_us: u64, sequence: u64) -> bool {
        let is_higher = sequence > self.heartbeat_sequence && self.record.state != State::Stopped;
        if is_higher {
            self.heartbeat_sequence = sequence;
            self.last_heartbeat_us = now_us;
        }
        is_higher
    }
}
