//! One connection to a server.

use std::{io, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{Method, StatusCode, Version};
use monoio::net::TcpStream;

use crate::{
    body::{self, Body, Piece},
    client::{Error, Kind, Options, Step},
    encode::{self, Length},
    head::{self, Framing, Scanner},
    wire::{self, Wire},
};

/// Keep-alive probes without an answer that end a connection.
const KEEPALIVE_PROBES: u32 = 3;

/// Where an exchange stands.
enum Phase {
    /// No exchange is under way and the connection can take one.
    Ready,
    /// Left behind by a call that failed or was dropped: not usable any more.
    Doubtful,
    /// The answer's body is being read.
    Body { body: Body, keep_alive: bool },
    /// The answer is whole; the connection takes no further one.
    Ended,
}

/// One connection to a server; carries one exchange at a time.
pub struct Connection {
    wire: Wire,
    options: Options,
    scanner: Scanner,
    phase: Phase,
    written_before_bytes: u64,
}

/// Construction and access.
impl Connection {
    /// Opens a connection.
    pub async fn connect(address: SocketAddr, options: Options) -> Result<Self, Error> {
        let error = |kind| Error {
            step: Step::Connect,
            peer: address,
            bytes_written: false,
            kind,
        };
        let connecting = TcpStream::connect_addr(address);
        let stream = wire::within(options.connect_timeout_ms, connecting)
            .await
            .ok_or_else(|| error(Kind::TimedOut))?
            .map_err(|source| error(Kind::Io(source)))?;
        if let Some(period_ms) = options.keepalive_ms {
            let period = Some(Duration::from_millis(period_ms));
            stream
                .set_tcp_keepalive(period, period, Some(KEEPALIVE_PROBES))
                .map_err(|source| error(Kind::Io(source)))?;
        }
        Ok(Self {
            wire: Wire::new(stream, address),
            options,
            scanner: Scanner::default(),
            phase: Phase::Ready,
            written_before_bytes: 0,
        })
    }

    /// The server's address.
    pub fn peer(&self) -> SocketAddr {
        self.wire.peer()
    }

    /// Whether another request can be sent: the last exchange was whole, the server keeps
    /// the connection open, and nothing arrived beyond the answer.
    pub fn is_reusable(&self) -> bool {
        matches!(self.phase, Phase::Ready) && self.wire.buffer.is_empty()
    }

    /// Sets the longest wait for the head of the next answers, in milliseconds.
    pub fn set_response_timeout(&mut self, limit_ms: u64) {
        self.options.response_timeout_ms = limit_ms;
    }

    /// Whether an idle connection has not been closed or written to by the server, as far
    /// as the event loop has seen.
    pub fn is_idle(&self) -> bool {
        self.is_reusable() && !self.wire.is_readable_now()
    }
}

/// Exchanges.
impl Connection {
    /// Sends a request and reads the answer's head.
    ///
    /// Sets `Content-Length`, and `Host` if missing. Interim answers (1xx) are skipped.
    /// The body follows by [`Connection::next_chunk`] or [`Connection::read_body`].
    pub async fn send(
        &mut self,
        request: http::Request<Bytes>,
    ) -> Result<http::response::Parts, Error> {
        self.written_before_bytes = self.wire.written_bytes();
        if !self.is_reusable() {
            return Err(self.error(Step::Write, Kind::OutOfOrder));
        }
        self.phase = Phase::Doubtful;
        let (request, body) = request.into_parts();
        self.write_request(&request, body).await?;
        let limit_ms = self.options.response_timeout_ms;
        let head = wire::within(limit_ms, self.read_head())
            .await
            .ok_or_else(|| self.error(Step::Head, Kind::TimedOut))??;
        let body = response_body(&request.method, &head, self.options.accept_close_delimited)
            .map_err(|error| self.head_error(Step::Head, error))?;
        let keep_alive = head.version == Version::HTTP_11
            && !head::has_connection_token(&head.headers, "close")
            && !head::has_connection_token(&request.headers, "close");
        self.phase = Phase::Body { body, keep_alive };
        self.skip_empty_body();
        Ok(head)
    }

    /// Reads the next bytes of the answer's body as they arrive.
    ///
    /// `None` only at the end that the framing announced; a stream that ends before it is
    /// an error. Dropping this call loses no bytes.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            match self.next_piece() {
                Ok(Piece::Data(data)) => {
                    self.skip_empty_body();
                    return Ok(Some(data));
                }
                Ok(Piece::End) => return Ok(None),
                Ok(Piece::Insufficient) => {}
                Err(kind) => return Err(self.fail(Step::Body, kind)),
            }
            let limit_ms = self.options.chunk_timeout_ms;
            let kind = match wire::within(limit_ms, self.wire.read_more()).await {
                Some(Ok(true)) => continue,
                Some(Ok(false)) if self.ends_with_connection() => {
                    self.phase = Phase::Ended;
                    return Ok(None);
                }
                Some(Ok(false)) => Kind::Closed,
                Some(Err(error)) => Kind::Io(error),
                None => Kind::TimedOut,
            };
            return Err(self.fail(Step::Body, kind));
        }
    }

    /// Gives the next bytes of the answer's body that were read already, without any wait.
    ///
    /// `None` if there are none now; the end of the body is told by [`Connection::next_chunk`]
    /// alone. Under load one read brings many chunks: passing them on together saves a write
    /// for each.
    pub fn buffered_chunk(&mut self) -> Result<Option<Bytes>, Error> {
        match self.next_piece() {
            Ok(Piece::Data(data)) => {
                self.skip_empty_body();
                Ok(Some(data))
            }
            Ok(Piece::Insufficient | Piece::End) => Ok(None),
            Err(kind) => Err(self.fail(Step::Body, kind)),
        }
    }

    /// Reads the rest of the answer's body whole, up to the limit.
    pub async fn read_body(&mut self) -> Result<Bytes, Error> {
        let mut whole = BytesMut::new();
        while let Some(chunk) = self.next_chunk().await? {
            if whole.len() + chunk.len() > self.options.body_bytes {
                return Err(self.fail(Step::Body, Kind::BodyTooLarge));
            }
            whole.extend_from_slice(&chunk);
        }
        Ok(whole.freeze())
    }

    async fn write_request(
        &mut self,
        request: &http::request::Parts,
        body: Bytes,
    ) -> Result<(), Error> {
        let length = match request.method {
            Method::GET | Method::HEAD | Method::DELETE if body.is_empty() => Length::Unstated,
            _ => Length::Bytes(body.len()),
        };
        let text = encode::request_head(request, length, &self.peer().to_string());
        for bytes in encode::join(text, body) {
            let outcome = self
                .wire
                .write(bytes, self.options.response_timeout_ms)
                .await;
            outcome.map_err(|error| match error.kind() {
                io::ErrorKind::TimedOut => self.error(Step::Write, Kind::TimedOut),
                _ => self.error(Step::Write, Kind::Io(error)),
            })?;
        }
        Ok(())
    }

    async fn read_head(&mut self) -> Result<http::response::Parts, Error> {
        let limit_bytes = self.options.head_bytes;
        loop {
            let split = self.scanner.split(&mut self.wire.buffer, limit_bytes);
            let text = split.map_err(|error| self.head_error(Step::Head, error))?;
            let Some(text) = text else {
                self.read_more_of_head().await?;
                continue;
            };
            let head =
                head::decode_response(text).map_err(|error| self.head_error(Step::Head, error))?;
            if !head.status.is_informational() {
                return Ok(head);
            }
        }
    }

    async fn read_more_of_head(&mut self) -> Result<(), Error> {
        match self.wire.read_more().await {
            Ok(true) => Ok(()),
            Ok(false) => Err(self.error(Step::Head, Kind::Closed)),
            Err(error) => Err(self.error(Step::Head, Kind::Io(error))),
        }
    }

    fn next_piece(&mut self) -> Result<Piece, Kind> {
        let limit_bytes = self.options.body_bytes;
        let Phase::Body { body, keep_alive } = &mut self.phase else {
            return match self.phase {
                Phase::Ready | Phase::Ended => Ok(Piece::End),
                _ => Err(Kind::OutOfOrder),
            };
        };
        let keep_alive = *keep_alive;
        let piece = body.next(&mut self.wire.buffer, limit_bytes)?;
        if piece == Piece::End {
            self.phase = if keep_alive {
                Phase::Ready
            } else {
                Phase::Ended
            };
        }
        Ok(piece)
    }

    fn ends_with_connection(&self) -> bool {
        matches!(
            self.phase,
            Phase::Body {
                body: Body::UntilClose,
                ..
            }
        )
    }

    /// Ends the exchange at once when its body is already complete.
    fn skip_empty_body(&mut self) {
        if let Phase::Body { body, keep_alive } = &self.phase
            && body.is_complete()
        {
            self.phase = if *keep_alive {
                Phase::Ready
            } else {
                Phase::Ended
            };
        }
    }
}

/// Errors.
impl Connection {
    fn error(&self, step: Step, kind: Kind) -> Error {
        Error {
            step,
            peer: self.peer(),
            bytes_written: self.wire.written_bytes() > self.written_before_bytes,
            kind,
        }
    }

    fn fail(&mut self, step: Step, kind: Kind) -> Error {
        self.phase = Phase::Doubtful;
        self.error(step, kind)
    }

    fn head_error(&self, step: Step, error: head::Error) -> Error {
        let kind = match error {
            head::Error::Malformed(detail) => Kind::Malformed { detail },
            head::Error::TooLarge => Kind::HeadTooLarge,
        };
        self.error(step, kind)
    }
}

impl From<body::Error> for Kind {
    fn from(error: body::Error) -> Self {
        match error {
            body::Error::TooLarge => Self::BodyTooLarge,
            body::Error::Chunk => Self::Malformed {
                detail: "a chunk is malformed".to_owned(),
            },
        }
    }
}

/// An answer that ends only with its connection is refused unless it is asked for: a cut one
/// would look whole.
fn response_body(
    method: &Method,
    head: &http::response::Parts,
    accept_close_delimited: bool,
) -> Result<Body, head::Error> {
    let framing = head::framing(&head.headers)?;
    let bodiless = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    if bodiless || method == Method::HEAD {
        return Ok(Body::EMPTY);
    }
    match framing {
        Framing::Length(bytes) => Ok(Body::fixed(bytes)),
        Framing::Chunked => Ok(Body::chunked()),
        Framing::Unstated if accept_close_delimited => Ok(Body::UntilClose),
        Framing::Unstated => Err(head::Error::Malformed(
            "neither Content-Length nor Transfer-Encoding".to_owned(),
        )),
    }
}
