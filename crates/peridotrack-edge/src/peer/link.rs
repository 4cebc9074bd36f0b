//! Dials, accepts and authenticates links.
//!
//! [`Link::send`] queues frames for a peer and dials it if necessary; received frames go to the
//! callbacks set by [`Link::subscribe`]. Delivery is not confirmed. A connection that breaks is noticed
//! at once, so that the next frame is not written to it.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use local_sync::mpsc::unbounded as queue;
use monoio::{
    io::{AsyncReadRent, AsyncReadRentExt, AsyncWriteRentExt, Splitable},
    net::TcpStream,
};
use peridotrack_http::listen;
use peridotrack_kernel::{Kernel, event};
use peridotrack_types::{collections, id, name};

use super::{
    frame::{self, Frame},
    tunnel,
};
use crate::{acceptor, metric};

/// Timeout of connecting and authenticating, in milliseconds.
const HANDSHAKE_TIMEOUT_MS: u64 = 1_000;
/// Timeout of writing one frame, in milliseconds.
const WRITE_TIMEOUT_MS: u64 = 2_000;
/// Maximum number of frames queued for one peer. Further ones are dropped: the protocols tolerate
/// lost messages.
const QUEUE_FRAMES: usize = 1_024;

/// Failure of a link.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket operation failed.
    #[error("{step} peer {peer}: {source}")]
    Io {
        /// Operation that failed, with its preposition, such as `connect to`.
        step: &'static str,
        /// Address of the peer; the local address if listening failed.
        peer: SocketAddr,
        /// Failure of the socket.
        source: std::io::Error,
    },
    /// The peer exceeded the timeout of the operation.
    #[error("{step} peer {peer}: timed out")]
    TimedOut {
        /// Operation that failed, with its preposition, such as `connect to`.
        step: &'static str,
        /// Address of the peer.
        peer: SocketAddr,
    },
    /// The peer violated the protocol or does not have the peer key.
    #[error("{step} peer {peer}: {detail}")]
    Protocol {
        /// Operation that failed, with its preposition, such as `connect to`.
        step: &'static str,
        /// Address of the peer.
        peer: SocketAddr,
        /// What the peer did wrong.
        detail: String,
    },
}

/// The router that dialled a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sender {
    /// Incarnation that the router proved with the peer key.
    pub incarnation: id::Incarnation,
    /// Address on which the router listens for peers.
    pub address: SocketAddr,
}

type OnFrame = Rc<dyn Fn(Sender, Frame)>;
type OnFailure = Rc<dyn Fn(SocketAddr)>;
type OnTunnel = Rc<dyn Fn(Sender, name::BackendServer, TcpStream)>;

/// Queue of a link that this router dialled.
struct Outgoing {
    queue: queue::Tx<Bytes>,
    queued_frames: Rc<Cell<usize>>,
}

/// All links of this router.
pub struct Link {
    kernel: Rc<Kernel>,
    incarnation: id::Incarnation,
    address: SocketAddr,
    key: Rc<str>,
    outgoing: RefCell<collections::HashMap<SocketAddr, Outgoing>>,
    on_frame: RefCell<Option<OnFrame>>,
    on_failure: RefCell<Option<OnFailure>>,
    pub(super) on_tunnel: RefCell<Option<OnTunnel>>,
    acceptor: RefCell<Option<Rc<acceptor::Acceptor>>>,
    sent_bytes: metrics::Counter,
    pub(super) opened_tunnels: metrics::Counter,
}

/// Listens for peers, sets the callbacks and stops the links.
impl Link {
    /// Listens for peers on `address` and accepts their links.
    pub fn bind(
        kernel: Rc<Kernel>,
        incarnation: id::Incarnation,
        address: SocketAddr,
        key: &str,
    ) -> Result<Rc<Self>, Error> {
        let io = |source| Error::Io {
            step: "listen for",
            peer: address,
            source,
        };
        let listener = listen::bind(address).map_err(io)?;
        let address = listener.local_addr().map_err(io)?;
        let sent_bytes = kernel.meter().counter(metric::PEER_SENT_BYTES);
        let opened_tunnels = kernel.meter().counter(metric::OPENED_TUNNELS);
        let link = Rc::new(Self {
            kernel,
            incarnation,
            address,
            key: key.into(),
            outgoing: RefCell::default(),
            on_frame: RefCell::default(),
            on_failure: RefCell::default(),
            on_tunnel: RefCell::default(),
            acceptor: RefCell::default(),
            sent_bytes,
            opened_tunnels,
        });
        let weak = Rc::downgrade(&link);
        let acceptor = acceptor::Acceptor::spawn(listener, move |stream, peer| {
            if let Some(link) = weak.upgrade() {
                monoio::spawn(link.accept(stream, peer));
            }
        });
        *link.acceptor.borrow_mut() = Some(acceptor);
        Ok(link)
    }

    /// Sets the callbacks for each frame to this incarnation, and for each address to which a
    /// link failed. Frames received before this call are dropped.
    pub fn subscribe(
        &self,
        on_frame: impl Fn(Sender, Frame) + 'static,
        on_failure: impl Fn(SocketAddr) + 'static,
    ) {
        *self.on_frame.borrow_mut() = Some(Rc::new(on_frame));
        *self.on_failure.borrow_mut() = Some(Rc::new(on_failure));
    }

    /// Stops listening, closes the queues of outgoing links and drops the callbacks.
    pub fn stop(&self) {
        if let Some(acceptor) = self.acceptor.borrow().as_ref() {
            acceptor.stop();
        }
        self.outgoing.borrow_mut().clear();
        self.on_frame.borrow_mut().take();
        self.on_failure.borrow_mut().take();
        self.on_tunnel.borrow_mut().take();
    }
}

/// Returns the listening address.
impl Link {
    /// Returns the address on which this router listens for peers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Dials peers and sends frames.
impl Link {
    fn is_stopped(&self) -> bool {
        self.acceptor
            .borrow()
            .as_ref()
            .is_some_and(|acceptor| acceptor.is_stopped())
    }

    /// Queues a frame for the peer at `address`. A frame that is too long or cannot be delivered is
    /// dropped.
    pub fn send(self: &Rc<Self>, address: SocketAddr, frame: &Frame) {
        self.send_to_all([address], frame);
    }

    /// Queues a frame for each of the peers, as [`Self::send`] does, and encodes it once.
    pub fn send_to_all(
        self: &Rc<Self>,
        addresses: impl IntoIterator<Item = SocketAddr>,
        frame: &Frame,
    ) {
        let Ok(bytes) = frame::encode(frame) else {
            return;
        };
        if self.is_stopped() {
            return;
        }
        let bytes = Bytes::from(bytes);
        for address in addresses {
            self.queue(address, bytes.clone());
        }
    }

    fn queue(self: &Rc<Self>, address: SocketAddr, bytes: Bytes) {
        let mut outgoing = self.outgoing.borrow_mut();
        let entry = outgoing
            .entry(address)
            .or_insert_with(|| self.dial(address));
        if entry.queued_frames.get() >= QUEUE_FRAMES {
            return;
        }
        entry.queued_frames.set(entry.queued_frames.get() + 1);
        self.sent_bytes.increment(bytes.len() as u64);
        let _ = entry.queue.send(bytes);
    }

    /// Has the next frame for the peer at `address` sent on a new connection, because the present one
    /// may have fallen silent.
    pub fn renew(&self, address: SocketAddr) {
        self.outgoing.borrow_mut().remove(&address);
    }

    /// Starts a task that connects to the peer and writes the frames queued for it.
    fn dial(self: &Rc<Self>, address: SocketAddr) -> Outgoing {
        let (sender, receiver) = queue::channel();
        let queued_frames = Rc::new(Cell::new(0));
        let link = Rc::clone(self);
        let queued = Rc::clone(&queued_frames);
        monoio::spawn(async move {
            let result = link.write_frames(address, receiver, &queued).await;
            let mut outgoing = link.outgoing.borrow_mut();
            let is_current = |current: &Outgoing| Rc::ptr_eq(&current.queued_frames, &queued);
            if outgoing.get(&address).is_some_and(is_current) {
                outgoing.remove(&address);
            }
            drop(outgoing);
            let on_failure = link.on_failure.borrow().clone();
            if let (Err(_), Some(on_failure)) = (result, on_failure) {
                on_failure(address);
            }
        });
        Outgoing {
            queue: sender,
            queued_frames,
        }
    }

    /// Writes frames until the queue is closed, or the connection breaks while no frame waits.
    async fn write_frames(
        &self,
        peer: SocketAddr,
        mut frames: queue::Rx<Bytes>,
        queued_frames: &Cell<usize>,
    ) -> Result<(), Error> {
        // Frame whose write failed, which is sent on the next connection.
        let mut unsent = None;
        loop {
            let connect = self.connect(peer);
            let stream = with_timeout("connect to", peer, HANDSHAKE_TIMEOUT_MS, connect).await?;
            let (mut reader, mut writer) = stream.into_split();
            // The accepting router sends nothing after its challenge.
            let mut closed = pin!(reader.read(vec![0; 1]));
            let mut has_written = false;
            let failure = loop {
                let next = match unsent.take() {
                    Some(bytes) => Some(bytes),
                    None => monoio::select! {
                        _ = &mut closed => break None,
                        next = frames.recv() => {
                            queued_frames.set(queued_frames.get().saturating_sub(1));
                            next
                        }
                    },
                };
                let Some(bytes) = next else { return Ok(()) };
                let write = async { Ok(writer.write_all(bytes).await) };
                match with_timeout("write to", peer, WRITE_TIMEOUT_MS, write).await? {
                    (Ok(_), _) => has_written = true,
                    (Err(source), bytes) => {
                        unsent = Some(bytes);
                        break Some(source);
                    }
                }
            };
            if unsent.is_none() && queued_frames.get() == 0 {
                return Ok(());
            }
            // A peer that closes each connection at once is not dialled in a loop.
            if !has_written {
                let closed = || std::io::ErrorKind::ConnectionReset.into();
                return Err(Error::Io {
                    step: "write to",
                    peer,
                    source: failure.unwrap_or_else(closed),
                });
            }
        }
    }

    pub(super) async fn connect(&self, peer: SocketAddr) -> Result<TcpStream, Error> {
        let io = |source| Error::Io {
            step: "connect to",
            peer,
            source,
        };
        let mut stream = TcpStream::connect(peer).await.map_err(io)?;
        stream.set_nodelay(true).map_err(io)?;
        let (result, challenge) = stream.read_exact(vec![0; frame::CHALLENGE_BYTES]).await;
        result.map_err(io)?;
        let challenge = frame::Challenge::try_from(challenge.as_slice())
            .expect("the buffer has the length of a challenge");
        let hello = frame::Hello::new(&self.key, &challenge, self.incarnation, self.address);
        let bytes = frame::encode(&Frame::Hello(hello)).map_err(|error| Error::Protocol {
            step: "encode hello for",
            peer,
            detail: error.to_string(),
        })?;
        stream.write_all(bytes).await.0.map_err(io)?;
        Ok(stream)
    }
}

/// Authenticates peers and receives frames.
impl Link {
    async fn accept(self: Rc<Self>, stream: TcpStream, peer: SocketAddr) {
        if let Err(error @ Error::Protocol { .. }) = self.read_frames(stream, peer).await {
            let event = event::Event::new(event::Kind::PeerRefused);
            self.kernel.note(event.with("error", error.to_string()));
        }
    }

    async fn read_frames(&self, mut stream: TcpStream, peer: SocketAddr) -> Result<(), Error> {
        let authenticate = self.authenticate(&mut stream, peer);
        let sender = with_timeout("authenticate", peer, HANDSHAKE_TIMEOUT_MS, authenticate).await?;
        let mut has_ignored = false;
        while !self.is_stopped() {
            let body = read_body(&mut stream, peer).await?;
            let frame = match decode(&body, peer) {
                Ok(frame) => frame,
                // A peer of a later release may send frames that this one does not know.
                Err(error) => {
                    if !std::mem::replace(&mut has_ignored, true) {
                        let event = event::Event::new(event::Kind::PeerRefused);
                        self.kernel.note(event.with("error", error.to_string()));
                    }
                    continue;
                }
            };
            if let Frame::Tunnel { to, backend_server } = frame {
                self.pass_tunnel(sender, to, backend_server, stream).await;
                return Ok(());
            }
            // A frame for an earlier incarnation at this address is dropped.
            if frame.recipient().is_some_and(|to| to != self.incarnation) {
                continue;
            }
            let on_frame = self.on_frame.borrow().clone();
            if let Some(on_frame) = on_frame {
                on_frame(sender, frame);
            }
        }
        Ok(())
    }

    /// Passes the stream of a tunnel to the callback, or declines it.
    async fn pass_tunnel(
        &self,
        sender: Sender,
        to: id::Incarnation,
        backend_server: name::BackendServer,
        mut stream: TcpStream,
    ) {
        let on_tunnel = self.on_tunnel.borrow().clone();
        match on_tunnel {
            Some(on_tunnel) if to == self.incarnation => on_tunnel(sender, backend_server, stream),
            _ => {
                let declined = vec![tunnel::Status::Declined.encode()];
                // A router that has gone needs no answer.
                let _ = stream.write_all(declined).await;
            }
        }
    }

    async fn authenticate(
        &self,
        stream: &mut TcpStream,
        peer: SocketAddr,
    ) -> Result<Sender, Error> {
        let challenge: frame::Challenge = std::array::from_fn(|_| fastrand::u8(..));
        let (result, _) = stream.write_all(challenge.to_vec()).await;
        result.map_err(|source| Error::Io {
            step: "challenge",
            peer,
            source,
        })?;
        let Frame::Hello(hello) = read_frame(stream, peer).await? else {
            return Err(refused(peer, "the first frame is not a hello"));
        };
        if !hello.is_valid(&self.key, &challenge) {
            return Err(refused(peer, "the proof does not match the peer key"));
        }
        Ok(Sender {
            incarnation: hello.incarnation,
            address: hello.address,
        })
    }
}

fn refused(peer: SocketAddr, detail: &str) -> Error {
    Error::Protocol {
        step: "authenticate",
        peer,
        detail: detail.to_owned(),
    }
}

async fn read_frame(stream: &mut TcpStream, peer: SocketAddr) -> Result<Frame, Error> {
    decode(&read_body(stream, peer).await?, peer)
}

fn decode(body: &[u8], peer: SocketAddr) -> Result<Frame, Error> {
    frame::decode(body).map_err(|error| Error::Protocol {
        step: "decode a frame from",
        peer,
        detail: error.to_string(),
    })
}

/// Reads a frame without its length prefix.
async fn read_body(stream: &mut TcpStream, peer: SocketAddr) -> Result<Vec<u8>, Error> {
    let io = |source| Error::Io {
        step: "read from",
        peer,
        source,
    };
    let (result, length) = stream.read_exact(vec![0; frame::LENGTH_BYTES]).await;
    result.map_err(io)?;
    let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize;
    if length > frame::FRAME_BYTES {
        let detail = format!("a frame of {length} bytes exceeds {}", frame::FRAME_BYTES);
        return Err(Error::Protocol {
            step: "read from",
            peer,
            detail,
        });
    }
    let (result, body) = stream.read_exact(vec![0; length]).await;
    result.map_err(io)?;
    Ok(body)
}

async fn with_timeout<T>(
    step: &'static str,
    peer: SocketAddr,
    timeout_ms: u64,
    future: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    monoio::time::timeout(Duration::from_millis(timeout_ms), future)
        .await
        .unwrap_or(Err(Error::TimedOut { step, peer }))
}
