//! Tunnels: connections to backend servers that lead through a peer.
//!
//! A tunnel is dialled like a link. The dialling router asks for a backend server by name with
//! [`Frame::Tunnel`]; the accepting one answers with a [`Status`], and from there on the stream
//! carries the bytes of the connection.

use std::{net::SocketAddr, time::Duration};

use monoio::{
    io::{AsyncReadRentExt, AsyncWriteRentExt},
    net::TcpStream,
};
use peridotrack_types::{id, name};

use super::{
    Error, Link, Sender,
    frame::{self, Frame},
};

/// Timeout of opening a tunnel, in milliseconds: the handshake and the peer's own timeout of
/// connecting to a backend server.
const OPEN_TIMEOUT_MS: u64 = 500;
/// Period of TCP keep-alive probes on a tunnel without traffic, in milliseconds.
pub const KEEPALIVE_MS: u64 = 5_000;
/// Number of unacknowledged probes that ends a tunnel.
const KEEPALIVE_PROBES: u32 = 3;

/// Reason why a tunnel could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum TunnelError {
    /// Nothing listens at the backend server: it refused the connection of the peer.
    #[error("the backend server refused the connection of the peer")]
    Refused,
    /// The peer could not connect to the backend server.
    #[error("the peer could not connect to the backend server")]
    Unreachable,
    /// The peer does not know the backend server, has too many tunnels, is itself partitioned from
    /// the backend servers, is stopping, or is another incarnation.
    #[error("the peer declined the tunnel")]
    Declined,
    /// The peer could not be reached in time, or does not know tunnels.
    #[error(transparent)]
    Peer(#[from] Error),
}

/// What the accepting router answers to the request for a tunnel: one byte.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// The stream leads to the backend server.
    Connected,
    /// The backend server refused the connection.
    Refused,
    /// No connection to the backend server could be opened.
    Unreachable,
    /// The router does not open the tunnel.
    Declined,
}

impl Status {
    /// Returns the byte that stands for the status.
    pub fn encode(self) -> u8 {
        match self {
            Self::Connected => 0,
            Self::Refused => 1,
            Self::Unreachable => 2,
            Self::Declined => 3,
        }
    }

    /// Returns the status that a byte stands for, if any.
    pub fn decode(byte: u8) -> Option<Self> {
        match byte {
            0 => Some(Self::Connected),
            1 => Some(Self::Refused),
            2 => Some(Self::Unreachable),
            3 => Some(Self::Declined),
            _ => None,
        }
    }
}

impl Link {
    /// Opens a connection to a backend server through the incarnation `to` at the address `peer`.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached in time, if it declines the tunnel, or if it cannot
    /// connect to the backend server. No byte has then reached the backend server.
    pub async fn open_tunnel(
        &self,
        peer: SocketAddr,
        to: id::Incarnation,
        backend_server: &name::BackendServer,
    ) -> Result<TcpStream, TunnelError> {
        let opening = self.request_tunnel(peer, to, backend_server);
        let timeout = Duration::from_millis(OPEN_TIMEOUT_MS);
        monoio::time::timeout(timeout, opening)
            .await
            .unwrap_or(Err(TunnelError::Peer(Error::TimedOut {
                step: "open a tunnel through",
                peer,
            })))
    }

    async fn request_tunnel(
        &self,
        peer: SocketAddr,
        to: id::Incarnation,
        backend_server: &name::BackendServer,
    ) -> Result<TcpStream, TunnelError> {
        let io = |source| Error::Io {
            step: "open a tunnel through",
            peer,
            source,
        };
        let protocol = |detail: String| Error::Protocol {
            step: "open a tunnel through",
            peer,
            detail,
        };
        let mut stream = self.connect(peer).await?;
        let period = Some(Duration::from_millis(KEEPALIVE_MS));
        stream
            .set_tcp_keepalive(period, period, Some(KEEPALIVE_PROBES))
            .map_err(io)?;
        let request = frame::encode(&Frame::Tunnel {
            to,
            backend_server: backend_server.clone(),
        });
        let request = request.map_err(|error| protocol(error.to_string()))?;
        stream.write_all(request).await.0.map_err(io)?;
        let (outcome, status) = stream.read_exact(vec![0; 1]).await;
        outcome.map_err(io)?;
        match Status::decode(status[0]) {
            Some(Status::Connected) => {
                self.opened_tunnels.increment(1);
                Ok(stream)
            }
            Some(Status::Refused) => Err(TunnelError::Refused),
            Some(Status::Unreachable) => Err(TunnelError::Unreachable),
            Some(Status::Declined) => Err(TunnelError::Declined),
            None => Err(protocol(format!("the status is {}", status[0])).into()),
        }
    }

    /// Sets the callback for each tunnel that a peer requests from this incarnation, which answers
    /// with a [`Status`]. Without one, tunnels are declined.
    pub fn subscribe_tunnels(
        &self,
        on_tunnel: impl Fn(Sender, name::BackendServer, TcpStream) + 'static,
    ) {
        *self.on_tunnel.borrow_mut() = Some(std::rc::Rc::new(on_tunnel));
    }
}
