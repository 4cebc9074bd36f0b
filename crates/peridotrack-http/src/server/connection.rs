//! An accepted connection: its state and the reading of requests.
//!
//! Responses are written in the sibling module `response`.

use std::{future::Future, io, net::SocketAddr};

use bytes::Bytes;
use http::{Method, Version, header};
use monoio::net::TcpStream;
use peridotrack_capacity::account;

use crate::{
    body::{self, Body, Piece},
    head::{self, Framing, Scanner},
    memory::{Memory, Share},
    server::{Error, Options, Request, Step},
    tcp::{self, BufferedStream},
};

/// Size of an incomplete head in bytes above which it counts as held memory; smaller ones are covered
/// by the allowance for connections.
const COUNTED_HEAD_BYTES: usize = 2 * 1024;

/// State of the current exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// No request is in progress; the next one can be read.
    Ready,
    /// A read or write is in progress, or an earlier one failed or was dropped before its end.
    Interrupted,
    /// A request could not be read; one response may be written, then the connection closes.
    Refused,
    /// A request was read; its response has not begun.
    AwaitingResponse,
    /// A chunked response is in progress.
    Streaming,
    /// No further request is read.
    Closed,
}

/// Properties of the current request that determine its response.
#[derive(Debug, Clone, Copy)]
pub(super) struct Exchange {
    pub(super) keep_alive: bool,
    /// Whether the method is `HEAD`, so that the response has no body.
    pub(super) head_only: bool,
    pub(super) version: Version,
}

impl Exchange {
    pub(super) const REFUSED: Self = Self {
        keep_alive: false,
        head_only: false,
        version: Version::HTTP_11,
    };
}

/// A connection accepted from a caller.
///
/// Requests are read one at a time; bytes of pipelined ones stay in the buffer.
pub struct Connection {
    pub(super) stream: BufferedStream,
    pub(super) options: Options,
    scanner: Scanner,
    /// Memory for request bodies; `None` if only the limits bound them.
    memory: Option<Memory>,
    pub(super) phase: Phase,
    pub(super) exchange: Exchange,
    /// Whether the current response has no body because of its status or the request's method.
    pub(super) omit_body: bool,
}

/// Creates a connection and reports its state.
impl Connection {
    /// Creates a connection from an accepted stream.
    pub fn new(stream: TcpStream, options: Options) -> Self {
        let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
        let peer = stream.peer_addr().unwrap_or(unknown);
        Self {
            stream: BufferedStream::new(stream, peer),
            options,
            scanner: Scanner::default(),
            memory: None,
            phase: Phase::Ready,
            exchange: Exchange::REFUSED,
            omit_body: false,
        }
    }

    /// Sets the memory that request bodies count towards.
    pub fn set_memory(&mut self, memory: Memory) {
        self.memory = Some(memory);
    }

    /// Returns the address of the caller; `0.0.0.0:0` if the operating system did not report it.
    pub fn peer(&self) -> SocketAddr {
        self.stream.peer()
    }

    /// Sets the limits and timeouts that apply from the next request on.
    pub fn set_options(&mut self, options: Options) {
        self.options = options;
    }

    /// Returns whether another request can follow. Before the response begins, this is what the
    /// request asked for; a `Connection: close` header in the response can still change it.
    pub fn keep_alive(&self) -> bool {
        match self.phase {
            Phase::Ready => true,
            Phase::AwaitingResponse | Phase::Streaming => self.exchange.keep_alive,
            Phase::Interrupted | Phase::Refused | Phase::Closed => false,
        }
    }

    /// Returns whether bytes of the request after the current one have been received.
    pub fn has_received_ahead(&self) -> bool {
        !self.stream.buffer.is_empty()
    }

    /// Returns whether no request is in progress and no byte of the next one has been read.
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Ready && self.stream.buffer.is_empty()
    }
}

/// Reads requests and waits for the caller.
impl Connection {
    /// Reads the next request with its complete body.
    ///
    /// Returns `None` if the caller closed the connection between requests or sent nothing
    /// within the idle timeout, or if no request can follow the last response. Dropping the
    /// future while the head is being read loses no bytes; while the body is being read, it
    /// makes the connection unusable.
    ///
    /// # Errors
    ///
    /// Fails if the request is invalid, exceeds a limit or times out, if the connection fails, or
    /// if the previous request has no complete response yet. After all but the last, one response
    /// may be written.
    pub async fn next(&mut self) -> Result<Option<Request>, Error> {
        match self.phase {
            Phase::Ready => {}
            Phase::Closed => return Ok(None),
            _ => return Err(self.out_of_order()),
        }
        match self.read_request().await {
            Ok(Some(request)) => {
                self.phase = Phase::AwaitingResponse;
                Ok(Some(request))
            }
            Ok(None) => {
                self.phase = Phase::Closed;
                Ok(None)
            }
            Err(error) => {
                self.phase = Phase::Refused;
                self.exchange = Exchange::REFUSED;
                self.stream.discard_buffer();
                Err(error)
            }
        }
    }

    /// Reads the next request as [`Connection::next`] does, unless `end` completes while a part of
    /// it has been read.
    ///
    /// # Errors
    ///
    /// As [`Connection::next`], and [`Error::Ended`] if `end` completed. One response may be written
    /// after it.
    pub async fn next_until(
        &mut self,
        end: impl Future<Output = ()>,
    ) -> Result<Option<Request>, Error> {
        monoio::select! {
            biased;
            request = self.next() => return request,
            () = end => {}
        }
        if self.is_idle() {
            return self.next().await;
        }
        self.phase = Phase::Refused;
        self.exchange = Exchange::REFUSED;
        self.stream.discard_buffer();
        Err(Error::Ended { peer: self.peer() })
    }

    /// Waits until a read would return bytes of the next request, the end of the connection or an
    /// error. Safe to cancel and repeat.
    pub async fn readable(&self) {
        if self.stream.buffer.is_empty() {
            let _ = self.stream.readable().await;
        }
    }

    /// Waits until the caller closes its sending side or the connection fails.
    ///
    /// Meant to run concurrently with the processing of a request, to cancel it. A caller that
    /// closes only its sending side counts as disconnected. Bytes of the next request are kept,
    /// up to the head limit; a close that follows more bytes than that is not detected. Safe to
    /// cancel and repeat.
    pub async fn closed(&mut self) {
        while self.stream.buffer.len() < self.options.head_bytes {
            if self.stream.readable().await.is_err() {
                return;
            }
            if !self.stream.read_more().await.unwrap_or(false) {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    async fn read_request(&mut self) -> Result<Option<Request>, Error> {
        if self.stream.buffer.is_empty() && !self.wait_for_request().await? {
            return Ok(None);
        }
        let timeout_ms = self.options.head_timeout_ms;
        let head = tcp::with_timeout(timeout_ms, self.read_head())
            .await
            .ok_or_else(|| self.timed_out(Step::Head))??;
        self.phase = Phase::Interrupted;
        self.exchange = Exchange {
            keep_alive: wants_keep_alive(&head),
            head_only: head.method == Method::HEAD,
            version: head.version,
        };
        let timeout_ms = self.options.body_timeout_ms;
        let body = tcp::with_timeout(timeout_ms, self.read_body(&head))
            .await
            .ok_or_else(|| self.timed_out(Step::Body))??;
        Ok(Some(Request { head, body }))
    }

    /// Waits for the first bytes of a request; returns `false` on a close or the idle timeout.
    async fn wait_for_request(&mut self) -> Result<bool, Error> {
        self.stream.release_buffer();
        let timeout_ms = self.options.idle_timeout_ms;
        if tcp::with_timeout(timeout_ms, self.stream.readable())
            .await
            .is_none()
        {
            return Ok(false);
        }
        match self.stream.read_more().await {
            Ok(more) => Ok(more),
            Err(error) if error.kind() == io::ErrorKind::ConnectionReset => Ok(false),
            Err(error) => Err(self.io(Step::Head, error)),
        }
    }

    async fn read_head(&mut self) -> Result<http::request::Parts, Error> {
        let limit_bytes = self.options.head_bytes;
        let memory = self.memory.as_ref();
        let mut share = memory.map(|memory| memory.open(account::Kind::Request));
        loop {
            let split = self.scanner.split(&mut self.stream.buffer, limit_bytes);
            if let Some(text) = split.map_err(|error| self.head_error(error))? {
                return head::decode_request(text).map_err(|error| self.head_error(error));
            }
            let bytes = self.stream.buffer.len();
            if bytes > COUNTED_HEAD_BYTES {
                // The buffer doubles as it grows.
                let bytes = 2 * (bytes + self.stream.read_bytes());
                self.grow(&mut share, bytes, false).await?;
            }
            self.read_more_of(Step::Head, share.as_ref()).await?;
        }
    }

    async fn read_body(&mut self, head: &http::request::Parts) -> Result<Bytes, Error> {
        let limit_bytes = self.options.body_bytes;
        let framing = head::framing(&head.headers).map_err(|error| self.head_error(error))?;
        let mut body = match framing {
            Framing::Unstated | Framing::Length(0) => return Ok(Bytes::new()),
            Framing::Length(bytes) if bytes > limit_bytes as u64 => {
                return Err(self.body_too_large());
            }
            Framing::Length(bytes) => Body::fixed(bytes),
            Framing::Chunked => Body::chunked(),
        };
        self.send_continue(head).await?;
        let mut share = self
            .memory
            .as_ref()
            .map(|memory| memory.open(account::Kind::Request));
        let mut complete = Vec::new();
        if let Framing::Length(bytes) = framing {
            let bytes = usize::try_from(bytes).unwrap_or(limit_bytes);
            self.grow(&mut share, bytes, true).await?;
            complete.reserve_exact(bytes);
        }
        loop {
            let piece = body.next(&mut self.stream.buffer, limit_bytes);
            match piece.map_err(|error| self.body_error(error))? {
                Piece::Data(data) if complete.len() + data.len() > limit_bytes => {
                    return Err(self.body_too_large());
                }
                Piece::Data(data) => {
                    let bytes = complete.len() + data.len();
                    if bytes > complete.capacity() {
                        let capacity_bytes = body::grown_capacity_bytes(bytes, limit_bytes);
                        // Growing copies the bytes to a new allocation while the old one exists.
                        let held_bytes = complete.capacity() + self.stream.buffer.capacity();
                        self.grow(&mut share, capacity_bytes + held_bytes, false)
                            .await?;
                        complete.reserve_exact(capacity_bytes - complete.len());
                    }
                    complete.extend_from_slice(&data);
                }
                Piece::Insufficient => {
                    if framing == Framing::Chunked {
                        // The decoder keeps the bytes of a chunk in the buffer until its end, and
                        // the buffer doubles as it grows.
                        let bytes = self.stream.buffer.len() + self.stream.read_bytes();
                        let bytes = complete.capacity() + 2 * bytes;
                        self.grow(&mut share, bytes, false).await?;
                    }
                    self.read_more_of(Step::Body, share.as_ref()).await?;
                }
                Piece::End => break,
            }
        }
        self.stream.shrink_buffer();
        Ok(match share {
            Some(share) => share.into_bytes(complete),
            None => complete.into(),
        })
    }

    /// Waits until the memory, if any, has room for `bytes` of the body in all.
    async fn grow(
        &self,
        share: &mut Option<Share>,
        bytes: usize,
        is_exact: bool,
    ) -> Result<(), Error> {
        let Some(share) = share else { return Ok(()) };
        let grown = share.grow_to(bytes, is_exact).await;
        grown.map_err(|_| Error::Dropped { peer: self.peer() })
    }

    /// Reads more of a request, unless it is dropped to make room for others.
    async fn read_more_of(&mut self, step: Step, share: Option<&Share>) -> Result<(), Error> {
        let Some(share) = share else {
            return self.read_more(step).await;
        };
        let before_bytes = self.stream.buffer.len();
        monoio::select! {
            biased;
            () = share.dropped() => return Err(Error::Dropped { peer: self.peer() }),
            outcome = self.read_more(step) => outcome?,
        }
        share.received(self.stream.buffer.len() - before_bytes);
        Ok(())
    }

    /// Sends `100 Continue` if the request expects it and no byte of its body has arrived.
    async fn send_continue(&mut self, head: &http::request::Parts) -> Result<(), Error> {
        let expect = head.headers.get(header::EXPECT);
        let expected = expect.is_some_and(|value| {
            let value = value.as_bytes();
            value.eq_ignore_ascii_case(b"100-continue")
        });
        if !expected || !self.stream.buffer.is_empty() {
            return Ok(());
        }
        let text = Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n");
        self.write_bytes(text).await
    }

    async fn read_more(&mut self, step: Step) -> Result<(), Error> {
        match self.stream.read_more().await {
            Ok(true) => Ok(()),
            Ok(false) => Err(self.io(step, io::ErrorKind::UnexpectedEof.into())),
            Err(error) => Err(self.io(step, error)),
        }
    }
}

/// Creates errors with the caller's address.
impl Connection {
    pub(super) fn timed_out(&self, step: Step) -> Error {
        let peer = self.peer();
        Error::TimedOut { step, peer }
    }

    pub(super) fn io(&self, step: Step, source: io::Error) -> Error {
        let peer = self.peer();
        Error::Io { step, peer, source }
    }

    pub(super) fn out_of_order(&self) -> Error {
        Error::OutOfOrder { peer: self.peer() }
    }

    fn body_too_large(&self) -> Error {
        Error::BodyTooLarge {
            peer: self.peer(),
            limit_bytes: self.options.body_bytes,
        }
    }

    fn head_error(&self, error: head::Error) -> Error {
        let peer = self.peer();
        match error {
            head::Error::Malformed(detail) => Error::Malformed { peer, detail },
            head::Error::TooLarge => Error::HeadTooLarge {
                peer,
                limit_bytes: self.options.head_bytes,
            },
        }
    }

    fn body_error(&self, error: body::Error) -> Error {
        match error {
            body::Error::TooLarge => self.body_too_large(),
            body::Error::Chunk => Error::Malformed {
                peer: self.peer(),
                detail: "a chunk is malformed".to_owned(),
            },
        }
    }
}

fn wants_keep_alive(head: &http::request::Parts) -> bool {
    if head.version == Version::HTTP_11 {
        return !head::has_connection_token(&head.headers, "close");
    }
    head::has_connection_token(&head.headers, "keep-alive")
}
