//! One accepted connection: its state and the reading of requests.

use std::{io, net::SocketAddr};

use bytes::{Bytes, BytesMut};
use http::{Method, Version, header};
use monoio::net::TcpStream;

use crate::{
    body::{self, Body, Piece},
    head::{self, Framing, Scanner},
    server::{Error, Options, Request, Step},
    wire::{self, Wire},
};

/// Where an exchange stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Between requests.
    Ready,
    /// A request is being read or written; left behind by a call that failed or was dropped.
    Doubtful,
    /// A request could not be read; one answer may follow, then the connection closes.
    Refused,
    /// A request was read; its answer has not begun.
    Answering,
    /// A chunked answer is under way.
    Streaming,
    /// No further request is read.
    Closed,
}

/// What the current request says about its answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct Exchange {
    pub(super) keep_alive: bool,
    pub(super) head_only: bool,
    pub(super) version: Version,
}

impl Exchange {
    const REFUSED: Self = Self {
        keep_alive: false,
        head_only: false,
        version: Version::HTTP_11,
    };
}

/// One connection accepted from a caller.
///
/// Requests are read one at a time; bytes of later ones wait in the buffer.
pub struct Connection {
    pub(super) wire: Wire,
    pub(super) options: Options,
    scanner: Scanner,
    pub(super) phase: Phase,
    pub(super) exchange: Exchange,
    /// Whether the answer under way has no body by its status or the request's method.
    pub(super) omit_body: bool,
}

/// Construction and access.
impl Connection {
    /// Takes over an accepted stream.
    pub fn new(stream: TcpStream, options: Options) -> Self {
        let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
        let peer = stream.peer_addr().unwrap_or(unknown);
        Self {
            wire: Wire::new(stream, peer),
            options,
            scanner: Scanner::default(),
            phase: Phase::Ready,
            exchange: Exchange::REFUSED,
            omit_body: false,
        }
    }

    /// The caller's address.
    pub fn peer(&self) -> SocketAddr {
        self.wire.peer()
    }

    /// Whether another request can follow; before an answer begins, whether the caller wants it.
    pub fn keep_alive(&self) -> bool {
        match self.phase {
            Phase::Ready => true,
            Phase::Answering | Phase::Streaming => self.exchange.keep_alive,
            Phase::Doubtful | Phase::Refused | Phase::Closed => false,
        }
    }

    /// Whether no request is in progress and no byte of a next one has arrived.
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Ready && self.wire.buffer.is_empty()
    }
}

/// Requests.
impl Connection {
    /// Reads the next request with its whole body.
    ///
    /// `None` when the caller closed between requests, sent nothing within the idle
    /// timeout, or no request can follow the last answer. Dropping this call loses no
    /// bytes while the head is read; once the body is read it closes the connection.
    pub async fn next(&mut self) -> Result<Option<Request>, Error> {
        match self.phase {
            Phase::Ready => {}
            Phase::Closed => return Ok(None),
            _ => return Err(self.out_of_order()),
        }
        match self.read_request().await {
            Ok(Some(request)) => {
                self.phase = Phase::Answering;
                Ok(Some(request))
            }
            Ok(None) => {
                self.phase = Phase::Closed;
                Ok(None)
            }
            Err(error) => {
                self.phase = Phase::Refused;
                self.exchange = Exchange::REFUSED;
                Err(error)
            }
        }
    }

    /// Resolves when a read would give bytes of a next request, the end of the connection or an
    /// error, or when the idle timeout has passed. Safe to drop and repeat.
    pub async fn readable(&self) {
        if self.wire.buffer.is_empty() {
            wire::within(self.options.idle_timeout_ms, self.wire.readable()).await;
        }
    }

    /// Resolves when the caller closed its side or the connection failed.
    ///
    /// Meant to run beside the work for a request, to cancel it. A caller that closes
    /// only its sending side counts as gone. Bytes of a next request are kept, up to the
    /// head limit; behind more than that, the close is not seen. Safe to drop and repeat.
    pub async fn closed(&mut self) {
        while self.wire.buffer.len() < self.options.head_bytes {
            if self.wire.readable().await.is_err() {
                return;
            }
            if !self.wire.read_more().await.unwrap_or(false) {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    async fn read_request(&mut self) -> Result<Option<Request>, Error> {
        if self.wire.buffer.is_empty() && !self.wait_for_request().await? {
            return Ok(None);
        }
        let limit_ms = self.options.head_timeout_ms;
        let head = wire::within(limit_ms, self.read_head())
            .await
            .ok_or_else(|| self.timed_out(Step::Head))??;
        self.phase = Phase::Doubtful;
        self.exchange = Exchange {
            keep_alive: wants_keep_alive(&head),
            head_only: head.method == Method::HEAD,
            version: head.version,
        };
        let limit_ms = self.options.body_timeout_ms;
        let body = wire::within(limit_ms, self.read_body(&head))
            .await
            .ok_or_else(|| self.timed_out(Step::Body))??;
        Ok(Some(Request { head, body }))
    }

    /// Waits for the first byte of a request; `false` when none will come.
    async fn wait_for_request(&mut self) -> Result<bool, Error> {
        self.wire.release();
        let limit_ms = self.options.idle_timeout_ms;
        if wire::within(limit_ms, self.wire.readable()).await.is_none() {
            return Ok(false);
        }
        match self.wire.read_more().await {
            Ok(more) => Ok(more),
            Err(error) if error.kind() == io::ErrorKind::ConnectionReset => Ok(false),
            Err(error) => Err(self.io(Step::Head, error)),
        }
    }

    async fn read_head(&mut self) -> Result<http::request::Parts, Error> {
        let limit_bytes = self.options.head_bytes;
        loop {
            let split = self.scanner.split(&mut self.wire.buffer, limit_bytes);
            if let Some(text) = split.map_err(|error| self.head_error(error))? {
                return head::decode_request(text).map_err(|error| self.head_error(error));
            }
            self.read_more(Step::Head).await?;
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
        let mut whole = BytesMut::new();
        loop {
            let piece = body.next(&mut self.wire.buffer, limit_bytes);
            match piece.map_err(|error| self.body_error(error))? {
                Piece::Data(data) if whole.len() + data.len() > limit_bytes => {
                    return Err(self.body_too_large());
                }
                Piece::Data(data) => whole.extend_from_slice(&data),
                Piece::Insufficient => self.read_more(Step::Body).await?,
                Piece::End => return Ok(whole.freeze()),
            }
        }
    }

    async fn send_continue(&mut self, head: &http::request::Parts) -> Result<(), Error> {
        let expect = head.headers.get(header::EXPECT);
        let expected = expect.is_some_and(|value| {
            let value = value.as_bytes();
            value.eq_ignore_ascii_case(b"100-continue")
        });
        if !expected || !self.wire.buffer.is_empty() {
            return Ok(());
        }
        let text = Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n");
        self.write_bytes(text).await
    }

    async fn read_more(&mut self, step: Step) -> Result<(), Error> {
        match self.wire.read_more().await {
            Ok(true) => Ok(()),
            Ok(false) => Err(self.io(step, io::ErrorKind::UnexpectedEof.into())),
            Err(error) => Err(self.io(step, error)),
        }
    }
}

/// Errors.
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
