//! What a router knows of one peer.

use crate::message::{Record, State};

/// A peer router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// What the peer last said of itself, as far as it has come here.
    pub record: Record,
    /// Highest beat heard of, by its record or by the beats that others tell.
    pub heartbeat_sequence: u64,
    /// When its beat last rose, in microseconds.
    pub last_heartbeat_us: u64,
    /// Whether the peer is usable.
    pub status: Status,
    /// Whether the platform lists its VM as about to be taken away.
    pub is_listed_leaving: bool,
    /// Heartbeats sent to it since it last sent anything here.
    pub(crate) unanswered: u32,
    /// Whether the last message to it could not be sent.
    pub(crate) is_send_failed: bool,
}

/// Whether a peer is usable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// It is heard of and can be reached.
    Live,
    /// It is left out, until it is heard of again.
    Left(Reason),
}

/// Why a peer is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// Its beat has not risen for too long.
    Silent,
    /// Others hear of it, but messages to it fail or stay unanswered.
    Unreachable,
    /// It said that it has ended.
    Stopped,
    /// A newer process runs on its VM.
    Replaced,
}

/// Bounds beyond which a peer is left out.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Bounds {
    /// Longest time without a rise of the beat, in microseconds.
    pub silent_us: u64,
    /// Most heartbeats without an answer.
    pub unanswered: u32,
    /// When this process last resumed after a pause, in microseconds.
    pub resumed_us: u64,
}

impl Peer {
    /// Returns whether the peer is usable.
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

    /// Returns why the peer is not usable at `now_us`.
    pub(crate) fn fault(&self, now_us: u64, bounds: Bounds) -> Option<Reason> {
        let heard_us = self.last_heartbeat_us.max(bounds.resumed_us);
        if self.record.state == State::Stopped {
            Some(Reason::Stopped)
        } else if now_us.saturating_sub(heard_us) > bounds.silent_us {
            Some(Reason::Silent)
        } else if self.is_send_failed || self.unanswered >= bounds.unanswered {
            Some(Reason::Unreachable)
        } else {
            None
        }
    }

    /// Takes note that the peer itself sent a message.
    pub(crate) fn reached(&mut self) {
        self.unanswered = 0;
        self.is_send_failed = false;
    }

    /// Takes a beat in. Returns whether it is higher than those heard of before.
    pub(crate) fn advance_sequence(&mut self, now_us: u64, sequence: u64) -> bool {
        let is_higher = sequence > self.heartbeat_sequence && self.record.state != State::Stopped;
        if is_higher {
            self.heartbeat_sequence = sequence;
            self.last_heartbeat_us = now_us;
        }
        is_higher
    }
}
