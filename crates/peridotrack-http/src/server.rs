//! Connections accepted from callers.

use std::{io, net::SocketAddr};

use bytes::{Bytes, BytesMut};
use http::{Method, StatusCode, Version, header};
use monoio::net::TcpStream;

use crate::{
    body::{self, Body, Piece},
    encode::{self, Length},
    head::{self, Framing, Scanner},
    wire::{self, Wire},
};

/// Longest wait for the rest of a refused request to be discarded.
const LINGER_MS: u64 = 500;
/// Most bytes of a refused request that are discarded.
const LINGER_BYTES: usize = 1024 * 1024;

/// Limits of one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Largest request head in bytes, at most 65,535.
    pub head_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Longest wait for a request's first byte, and then again for the rest of its head.
    pub head_timeout_ms: u64,
    /// Longest wait for a whole body after its head.
    pub body_timeout_ms: u64,
    /// Longest wait for the caller to take 64 KiB of an answer.
    pub write_timeout_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            head_timeout_ms: 15_000,
            body_timeout_ms: 30_000,
            write_timeout_ms: 10_000,
        }
    }
}

/// What a connection was doing when an error arose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Reading a request's head.
    Head,
    /// Reading a request's body.
    Body,
    /// Writing an answer.
    Write,
}

/// Why a request could not be read or an answer not be written.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request is not HTTP/1.x, or ambiguous about where it ends: answer 400.
    #[error("malformed request from {peer}: {detail}")]
    Malformed {
        /// The caller.
        peer: SocketAddr,
        /// What is wrong, without any part of the request's body.
        detail: String,
    },
    /// The head is longer than the limit or has more than 96 fields: answer 431.
    #[error("request head from {peer} exceeds {limit_bytes} bytes or 96 fields")]
    HeadTooLarge {
        /// The caller.
        peer: SocketAddr,
        /// The limit in bytes.
        limit_bytes: usize,
    },
    /// The body is longer than the limit: answer 413.
    #[error("request body from {peer} exceeds {limit_bytes} bytes")]
    BodyTooLarge {
        /// The caller.
        peer: SocketAddr,
        /// The limit in bytes.
        limit_bytes: usize,
    },
    /// The caller was too slow: answer 408, unless the step is [`Step::Write`].
    #[error("timeout at step {step:?} with {peer}")]
    TimedOut {
        /// Where the time ran out.
        step: Step,
        /// The caller.
        peer: SocketAddr,
    },
    /// The connection failed, or ended within a request.
    #[error("connection failed at step {step:?} with {peer}: {source}")]
    Io {
        /// Where it failed.
        step: Step,
        /// The caller.
        peer: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// An HTTP/1.0 caller cannot take a streamed answer; a whole one may still be sent.
    #[error("{peer} speaks HTTP/1.0 and cannot take a streamed answer")]
    StreamUnsupported {
        /// The caller.
        peer: SocketAddr,
    },
    /// The call does not fit the state of the exchange.
    #[error("call out of order on the connection with {peer}")]
    OutOfOrder {
        /// The caller.
        peer: SocketAddr,
    },
}

/// One request, its body read whole.
#[derive(Debug)]
pub struct Request {
    /// Method, target and headers.
    pub head: http::request::Parts,
    /// The body; empty if there is none.
    pub body: Bytes,
}

/// Where an exchange stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
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
struct Exchange {
    keep_alive: bool,
    head_only: bool,
    version: Version,
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
    wire: Wire,
    options: Options,
    scanner: Scanner,
    phase: Phase,
    exchange: Exchange,
    omit_body: bool,
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
    /// `None` when the caller closed between requests, sent nothing within the head
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

    /// Resolves when the caller closed its side or the connection failed.
    ///
    /// Meant to run beside the work for a request, to cancel it. A caller that closes
    /// only its sending side counts as gone. Bytes of a next request are kept, up to the
    /// head limit; behind more than that, the close is not seen. Safe to drop and repeat.
    pub async fn closed(&mut self) {
        while self.wire.buffer.len() < self.options.head_bytes {
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
        let limit_ms = self.options.head_timeout_ms;
        match wire::within(limit_ms, self.wire.read_more()).await {
            None => Ok(false),
            Some(Ok(more)) => Ok(more),
            Some(Err(error)) if error.kind() == io::ErrorKind::ConnectionReset => Ok(false),
            Some(Err(error)) => Err(self.io(Step::Head, error)),
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

/// Answers.
impl Connection {
    /// Writes a whole answer with `Content-Length`.
    ///
    /// A `Connection: close` header in `response` closes the connection after it. After a
    /// failed [`Connection::next`] the rest of the refused request is discarded for a
    /// bounded time, so that the caller gets to read the answer.
    pub async fn respond(&mut self, response: http::Response<Bytes>) -> Result<(), Error> {
        let (head, body) = response.into_parts();
        let refused = self.phase == Phase::Refused;
        let keep_alive = self.begin(&head)?;
        let length = match head.status {
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED => Length::Unstated,
            _ => Length::Bytes(body.len()),
        };
        let body = if self.omit_body { Bytes::new() } else { body };
        let text = encode::response_head(&head, length, !keep_alive);
        for bytes in encode::join(text, body) {
            self.write_bytes(bytes).await?;
        }
        if refused {
            self.wire.linger(LINGER_MS, LINGER_BYTES).await;
        }
        self.end(keep_alive);
        Ok(())
    }

    /// Writes the head of a chunked answer.
    pub async fn start(&mut self, head: http::Response<()>) -> Result<(), Error> {
        if self.phase == Phase::Answering && self.exchange.version != Version::HTTP_11 {
            return Err(Error::StreamUnsupported { peer: self.peer() });
        }
        let (head, ()) = head.into_parts();
        let keep_alive = self.begin(&head)?;
        self.exchange.keep_alive = keep_alive;
        let length = match head.status {
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED => Length::Unstated,
            _ => Length::Chunked,
        };
        let text = encode::response_head(&head, length, !keep_alive);
        self.write_bytes(text.freeze()).await?;
        self.phase = Phase::Streaming;
        Ok(())
    }

    /// Writes one chunk; it is on the wire when this returns. An empty one writes nothing.
    pub async fn write(&mut self, chunk: Bytes) -> Result<(), Error> {
        if self.phase != Phase::Streaming {
            return Err(self.out_of_order());
        }
        if self.omit_body || chunk.is_empty() {
            return Ok(());
        }
        self.phase = Phase::Doubtful;
        self.write_bytes(encode::chunk(&chunk)).await?;
        self.phase = Phase::Streaming;
        Ok(())
    }

    /// Writes the chunk that ends the answer; without it the answer looks cut.
    pub async fn finish(&mut self) -> Result<(), Error> {
        if self.phase != Phase::Streaming {
            return Err(self.out_of_order());
        }
        self.phase = Phase::Doubtful;
        if !self.omit_body {
            self.write_bytes(Bytes::from_static(encode::LAST_CHUNK))
                .await?;
        }
        self.end(self.exchange.keep_alive);
        Ok(())
    }

    /// Begins an answer; until it ends, a failed or dropped call leaves the phase doubtful.
    fn begin(&mut self, head: &http::response::Parts) -> Result<bool, Error> {
        if !matches!(self.phase, Phase::Answering | Phase::Refused) {
            return Err(self.out_of_order());
        }
        self.phase = Phase::Doubtful;
        self.omit_body = self.exchange.head_only
            || matches!(
                head.status,
                StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
            );
        Ok(self.exchange.keep_alive && !head::has_connection_token(&head.headers, "close"))
    }

    fn end(&mut self, keep_alive: bool) {
        self.phase = if keep_alive {
            Phase::Ready
        } else {
            Phase::Closed
        };
    }

    async fn write_bytes(&mut self, bytes: Bytes) -> Result<(), Error> {
        let outcome = self.wire.write(bytes, self.options.write_timeout_ms).await;
        outcome.map_err(|error| match error.kind() {
            io::ErrorKind::TimedOut => self.timed_out(Step::Write),
            _ => self.io(Step::Write, error),
        })
    }
}

/// Errors.
impl Connection {
    fn timed_out(&self, step: Step) -> Error {
        let peer = self.peer();
        Error::TimedOut { step, peer }
    }

    fn io(&self, step: Step, source: io::Error) -> Error {
        let peer = self.peer();
        Error::Io { step, peer, source }
    }

    fn out_of_order(&self) -> Error {
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
