//! Frames that routers send to each other, and their encoding.
//!
//! A frame is a big-endian 32-bit length and the postcard encoding of a [`Frame`]. Postcard
//! encodes variants and fields by position, so their order is part of the protocol.

use std::net::SocketAddr;

use hmac::{Hmac, KeyInit, Mac};
use peridotrack_budget::message as budget_message;
use peridotrack_follow::message as follow_message;
use peridotrack_member::message as member_message;
use peridotrack_once::usage;
use peridotrack_origin::message as origin_message;
use peridotrack_quarantine::statement;
use peridotrack_route::throttle;
use peridotrack_types::{id, name};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Length of a challenge, in bytes.
pub const CHALLENGE_BYTES: usize = 16;
/// Length of the response to a challenge, in bytes.
pub const PROOF_BYTES: usize = 32;
/// Maximum length of a frame without its length prefix, in bytes.
pub const FRAME_BYTES: usize = 1024 * 1024;
/// Length of the length prefix, in bytes.
pub const LENGTH_BYTES: usize = 4;

/// Random bytes that the accepting router sends first on each link.
pub type Challenge = [u8; CHALLENGE_BYTES];

/// One message between routers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Frame {
    /// Authenticates the dialling router; the first frame of each link.
    Hello(Hello),
    /// Gossip about liveness and configuration versions.
    Member(member_message::Message),
    /// Coordination of draws, and transfers of tokens.
    Budget {
        /// Incarnation that alone may handle the frame; after a restart another one may listen on
        /// the same address.
        to: id::Incarnation,
        /// Message to the recipient's budget holder.
        message: budget_message::Message,
    },
    /// Copies of usage records, their acknowledgements, and reports that they are flushed.
    Usage {
        /// Incarnation that alone may handle the frame; after a restart another one may listen on
        /// the same address.
        to: id::Incarnation,
        /// Message to the recipient's usage log.
        message: usage::Message,
    },
    /// Reports that the sender has observed a backend server to be leaving.
    Leaving {
        /// Name of the backend server that gets no new requests.
        backend_server: name::BackendServer,
    },
    /// Requests a configuration newer than `above_version`.
    ConfigRequest {
        /// Version that the sender holds.
        above_version: u64,
    },
    /// The configuration's object, in response to [`Frame::ConfigRequest`].
    Config {
        /// Content of the object as stored in the platform.
        content: Vec<u8>,
    },
    /// Requests a part of the configuration.
    ConfigPartRequest {
        /// Key of the part, which contains the digest of its content.
        key: String,
    },
    /// A part of the configuration, in response to [`Frame::ConfigPartRequest`].
    ConfigPart {
        /// Key of the part, which contains the digest of its content.
        key: String,
        /// Content of the part as stored in the platform.
        content: Vec<u8>,
    },
    /// Subscription to a kind of objects in the store, or updates of it.
    Follow {
        /// Incarnation that alone may handle the frame; after a restart another one may listen on
        /// the same address.
        to: id::Incarnation,
        /// Kind of the objects that the message is about.
        kind: String,
        /// Message to the recipient's follower of the kind.
        message: follow_message::Message,
    },
    /// What a router states about prompt parts under which backend servers crash.
    Quarantine {
        /// VM of the router.
        author: name::Vm,
        /// The whole statement, which replaces earlier ones.
        statement: statement::Statement,
    },
    /// News about the rate that a backend server states.
    RateLimit {
        /// Failure domain of the sender.
        failure_domain: name::FailureDomain,
        /// The news.
        news: throttle::News,
    },
    /// Reports that a backend server has stated that it leaves.
    LeavingStated {
        /// Name of the backend server that gets no new requests in its lifetime.
        backend_server: name::BackendServer,
        /// When its process started, in milliseconds since the Unix epoch, if known.
        started_ms: Option<u64>,
    },
    /// Reports that the process of a backend server has ended.
    ServerEnded {
        /// Name of the backend server.
        backend_server: name::BackendServer,
        /// When the process started, in milliseconds since the Unix epoch.
        started_ms: Option<u64>,
    },
    /// Where streams began, and questions about it.
    Origin(origin_message::Message),
    /// Requests a connection to a backend server; the last frame of a link. The accepting router
    /// answers with a status byte, after which the stream carries the connection's bytes.
    Tunnel {
        /// Incarnation that alone may handle the frame; after a restart another one may listen on
        /// the same address.
        to: id::Incarnation,
        /// Name of the backend server to connect to.
        backend_server: name::BackendServer,
    },
}

impl Frame {
    /// Returns the incarnation that alone may handle the frame, or `None` if any may.
    pub fn recipient(&self) -> Option<id::Incarnation> {
        match self {
            Self::Budget { to, .. }
            | Self::Usage { to, .. }
            | Self::Follow { to, .. }
            | Self::Tunnel { to, .. } => Some(*to),
            Self::Hello(_)
            | Self::Member(_)
            | Self::Leaving { .. }
            | Self::LeavingStated { .. }
            | Self::Origin(_)
            | Self::ServerEnded { .. }
            | Self::ConfigRequest { .. }
            | Self::Config { .. }
            | Self::ConfigPartRequest { .. }
            | Self::ConfigPart { .. }
            | Self::Quarantine { .. }
            | Self::RateLimit { .. } => None,
        }
    }
}

/// Identity of the router that dialled a link, with its proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Incarnation of the dialling router.
    pub incarnation: id::Incarnation,
    /// Address on which the dialling router listens for peers.
    pub address: SocketAddr,
    /// HMAC-SHA-256 of the challenge, the incarnation and the address, under the peer key.
    pub proof: [u8; PROOF_BYTES],
}

impl Hello {
    /// Returns the response to `challenge`, computed with the peer key.
    pub fn new(
        key: &str,
        challenge: &Challenge,
        incarnation: id::Incarnation,
        address: SocketAddr,
    ) -> Self {
        let proof = mac(key, challenge, incarnation, address)
            .finalize()
            .into_bytes()
            .into();
        Self {
            incarnation,
            address,
            proof,
        }
    }

    /// Returns whether the proof matches the challenge and the peer key.
    pub fn is_valid(&self, key: &str, challenge: &Challenge) -> bool {
        mac(key, challenge, self.incarnation, self.address)
            .verify_slice(&self.proof)
            .is_ok()
    }
}

fn mac(
    key: &str,
    challenge: &Challenge,
    incarnation: id::Incarnation,
    address: SocketAddr,
) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(key.as_bytes()).expect("HMAC accepts a key of any length");
    mac.update(challenge);
    mac.update(&incarnation.0.to_be_bytes());
    mac.update(address.to_string().as_bytes());
    mac
}

/// Encodes a frame, length prefix included.
///
/// # Errors
///
/// Fails if the frame is longer than [`FRAME_BYTES`]: its receiver would close the link, and frames
/// behind it would be lost.
pub fn encode(frame: &Frame) -> Result<Vec<u8>, postcard::Error> {
    let body = postcard::to_stdvec(frame)?;
    let length = u32::try_from(body.len())
        .ok()
        .filter(|_| body.len() <= FRAME_BYTES)
        .ok_or(postcard::Error::SerializeBufferFull)?;
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + body.len());
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// Decodes a frame from the bytes after its length prefix.
pub fn decode(body: &[u8]) -> Result<Frame, postcard::Error> {
    postcard::from_bytes(body)
}
