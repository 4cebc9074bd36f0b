//! A connection to a server: its state, the writing of requests and the reading of responses.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode, Version};
use monoio::net::TcpStream;
use peridotrack_capacity::account;

use crate::{
    body::{self, Body, Piece},
    client::{Error, Kind, Options, Step},
    encode::{self, Length},
    head::{self, Framing, Scanner},
    memory::{Memory, Share},
    tcp::{self, BufferedStream, End},
};

/// Number of unacknowledged TCP keep-alive probes that ends a connection.
const KEEPALIVE_PROBES: u32 = 3;

/// State of the current exchange.
enum Phase {
    /// No exchange is in progress; the next one can begin.
    Ready,
    /// A call is in progress, or an earlier one failed or was dropped: no exchange can follow.
    Interrupted,
    /// The response's body is being read.
    Body { body: Body, keep_alive: bool },
    /// The response is complete and no exchange can follow.
    Ended,
}

/// A connection to a server, which carries one exchange at a time.
///
/// A connection that is dropped within an exchange is reset, so that no byte of the request arrives
/// afterwards.
pub struct Connection {
    stream: BufferedStream,
    options: Options,
    scanner: Scanner,
    phase: Phase,
    /// Memory for bodies that are read whole; `None` if only the limits bound them.
    memory: Option<Memory>,
    /// Bytes written to the stream before the current exchange.
    written_before_exchange_bytes: u64,
    /// Whether the stream leads to the server through another process.
    is_tunnel: bool,
}

/// Opens a connection and reports its state.
impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be opened within the timeout, or if keep-alive probes cannot
    /// be enabled.
    pub async fn connect(address: SocketAddr, options: Options) -> Result<Self, Error> {
        let error = |kind| Error {
            step: Step::Connect,
            peer: address,
            bytes_written: false,
            kind,
        };
        let connecting = TcpStream::connect_addr(address);
        let stream = tcp::with_timeout(options.connect_timeout_ms, connecting)
            .await
            .ok_or_else(|| error(Kind::TimedOut))?
            .map_err(|source| error(Kind::Io(source)))?;
        if let Some(period_ms) = options.keepalive_ms {
            let period = Some(Duration::from_millis(period_ms));
            stream
                .set_tcp_keepalive(period, period, Some(KEEPALIVE_PROBES))
                .map_err(|source| error(Kind::Io(source)))?;
        }
        Ok(Self::over(stream, address, options))
    }

    /// Returns a connection over an established stream that leads to `server`, such as a tunnel
    /// through another process. Keep-alive probes are left as the stream has them.
    pub fn over(stream: TcpStream, server: SocketAddr, options: Options) -> Self {
        Self {
            stream: BufferedStream::new(stream, server),
            options,
            scanner: Scanner::default(),
            phase: Phase::Ready,
            memory: None,
            written_before_exchange_bytes: 0,
            is_tunnel: false,
        }
    }

    /// Marks the connection as one that leads to the server through another process.
    pub(crate) fn set_tunnel(&mut self) {
        self.is_tunnel = true;
    }

    /// Returns whether the connection leads to the server through another process.
    pub fn is_tunnel(&self) -> bool {
        self.is_tunnel
    }

    /// Sets the memory that bodies read by [`Connection::read_body`] count towards.
    pub fn set_memory(&mut self, memory: Memory) {
        self.memory = Some(memory);
    }

    /// Returns the address of the server.
    pub fn peer(&self) -> SocketAddr {
        self.stream.peer()
    }

    /// Returns whether another request can be sent: the last exchange is complete, the server
    /// keeps the connection open, and no bytes followed the response.
    pub fn is_reusable(&self) -> bool {
        matches!(self.phase, Phase::Ready) && self.stream.buffer.is_empty()
    }

    /// Sets [`Options::response_timeout_ms`] for the next exchanges.
    pub fn set_response_timeout(&mut self, timeout_ms: u64) {
        self.options.response_timeout_ms = timeout_ms;
    }

    /// Returns whether the connection is reusable and neither data nor a close has arrived from the
    /// server since the last response.
    pub fn is_idle(&self) -> bool {
        self.is_reusable() && self.check_silence().is_ok()
    }

    /// Fails if bytes or the end of the stream have arrived that no response accounts for.
    fn check_silence(&self) -> Result<(), Kind> {
        match self.stream.peek() {
            Ok(None) => Ok(()),
            Ok(Some(0)) => Err(Kind::Closed),
            Ok(Some(_)) => Err(Kind::Unsolicited),
            Err(error) => Err(Kind::Io(error)),
        }
    }
}

/// Sends requests and reads responses.
impl Connection {
    /// Sends a request and reads the response's head.
    ///
    /// Sets `Content-Length`, and `Host` if missing. Interim responses (1xx) are skipped.
    /// Read the body with [`Connection::next_chunk`] or [`Connection::read_body`].
    ///
    /// # Errors
    ///
    /// Fails without writing if the connection is not reusable, if the server has closed it, or if
    /// bytes have arrived: none of them can belong to the response. Otherwise fails if the write or
    /// the read fails or times out, or if the head is invalid or too large. After a failed or dropped
    /// call the connection is unusable.
    pub async fn send(
        &mut self,
        request: http::Request<Bytes>,
    ) -> Result<http::response::Parts, Error> {
        self.written_before_exchange_bytes = self.stream.written_bytes();
        if !self.is_reusable() {
            return Err(self.error(Step::Write, Kind::OutOfOrder));
        }
        self.phase = Phase::Interrupted;
        self.check_silence()
            .map_err(|kind| self.error(Step::Write, kind))?;
        let (request, body) = request.into_parts();
        self.write_request(&request, body).await?;
        let timeout_ms = self.options.response_timeout_ms;
        let head = tcp::with_timeout(timeout_ms, self.read_head())
            .await
            .ok_or_else(|| self.error(Step::Head, Kind::TimedOut))??;
        let body = response_body(&request.method, &head, self.options.accept_close_delimited)
            .map_err(|error| self.head_error(Step::Head, error))?;
        let keep_alive = head.version == Version::HTTP_11
            && !head::has_connection_token(&head.headers, "close")
            && !head::has_connection_token(&request.headers, "close");
        self.phase = Phase::Body { body, keep_alive };
        self.finish_complete_body();
        Ok(head)
    }

    /// Reads the next bytes of the response's body as they arrive.
    ///
    /// Returns `None` only at the end that the framing defines. Dropping the future loses no
    /// bytes.
    ///
    /// # Errors
    ///
    /// Fails if the body is malformed, has a chunk above the limit or ends early, or if the read
    /// fails or times out. The connection is unusable afterwards.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            match self.next_piece() {
                Ok(Piece::Data(data)) => {
                    self.finish_complete_body();
                    return Ok(Some(data));
                }
                Ok(Piece::End) => return Ok(None),
                Ok(Piece::Insufficient) => {}
                Err(kind) => return Err(self.fail(Step::Body, kind)),
            }
            let timeout_ms = self.options.chunk_timeout_ms;
            let kind = match tcp::with_timeout(timeout_ms, self.stream.read_more()).await {
                Some(Ok(true)) => continue,
                Some(Ok(false)) if self.is_close_delimited() => {
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

    /// Returns the next bytes of the response's body that are already buffered, without waiting.
    ///
    /// Returns `None` if there are none; only [`Connection::next_chunk`] reports the end of the
    /// body. Under load one read returns many chunks, and forwarding them together saves a write
    /// for each.
    ///
    /// # Errors
    ///
    /// Fails if the buffered bytes are malformed or a chunk exceeds the limit.
    pub fn buffered_chunk(&mut self) -> Result<Option<Bytes>, Error> {
        match self.next_piece() {
            Ok(Piece::Data(data)) => {
                self.finish_complete_body();
                Ok(Some(data))
            }
            Ok(Piece::Insufficient | Piece::End) => Ok(None),
            Err(kind) => Err(self.fail(Step::Body, kind)),
        }
    }

    /// Reads the rest of the response's body, up to [`Options::body_bytes`].
    ///
    /// # Errors
    ///
    /// As [`Connection::next_chunk`], and if the body exceeds the limit.
    pub async fn read_body(&mut self) -> Result<Bytes, Error> {
        let memory = self.memory.as_ref();
        let mut share = memory.map(|memory| memory.open(account::Kind::Response));
        let mut complete = Vec::new();
        if let Some(bytes) = self.remaining_bytes() {
            if bytes > self.options.body_bytes {
                return Err(self.fail(Step::Body, Kind::BodyTooLarge));
            }
            self.grow(&mut share, bytes, true).await?;
            complete.reserve_exact(bytes);
        }
        while let Some(chunk) = self.next_chunk().await? {
            let bytes = complete.len() + chunk.len();
            if bytes > self.options.body_bytes {
                return Err(self.fail(Step::Body, Kind::BodyTooLarge));
            }
            if bytes > complete.capacity() {
                let limit_bytes = self.options.body_bytes;
                let capacity_bytes = body::grown_capacity_bytes(bytes, limit_bytes);
                let held_bytes = complete.capacity() + self.stream.buffer.capacity();
                self.grow(&mut share, capacity_bytes + held_bytes, false)
                    .await?;
                complete.reserve_exact(capacity_bytes - complete.len());
            }
            complete.extend_from_slice(&chunk);
        }
        self.stream.shrink_buffer();
        Ok(match share {
            Some(share) => share.into_bytes(complete),
            None => complete.into(),
        })
    }

    /// Returns the announced bytes of the body that have not been consumed, if it announced any.
    fn remaining_bytes(&self) -> Option<usize> {
        match &self.phase {
            Phase::Body {
                body: Body::Fixed { remaining_bytes },
                ..
            } => Some(usize::try_from(*remaining_bytes).unwrap_or(usize::MAX)),
            _ => None,
        }
    }

    /// Waits until the memory, if any, has room for `bytes` of the body in all.
    async fn grow(
        &mut self,
        share: &mut Option<Share>,
        bytes: usize,
        is_exact: bool,
    ) -> Result<(), Error> {
        let Some(share) = share else { return Ok(()) };
        match share.grow_to(bytes, is_exact).await {
            Ok(()) => Ok(()),
            Err(_) => Err(self.fail(Step::Body, Kind::Dropped)),
        }
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
                .stream
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
        // Interim responses count towards the limit: a server may send them without end, faster
        // than they are read, and then no timeout would be checked.
        let mut limit_bytes = self.options.head_bytes;
        loop {
            let split = self.scanner.split(&mut self.stream.buffer, limit_bytes);
            let text = split.map_err(|error| self.head_error(Step::Head, error))?;
            let Some(text) = text else {
                self.read_more_of_head().await?;
                continue;
            };
            limit_bytes = limit_bytes.saturating_sub(text.len());
            let head =
                head::decode_response(text).map_err(|error| self.head_error(Step::Head, error))?;
            if !head.status.is_informational() {
                return Ok(head);
            }
        }
    }

    async fn read_more_of_head(&mut self) -> Result<(), Error> {
        match self.stream.read_more().await {
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
        let piece = body.next(&mut self.stream.buffer, limit_bytes)?;
        if piece == Piece::End {
            self.phase = if keep_alive {
                Phase::Ready
            } else {
                Phase::Ended
            };
        }
        Ok(piece)
    }

    fn is_close_delimited(&self) -> bool {
        matches!(
            self.phase,
            Phase::Body {
                body: Body::CloseDelimited,
                ..
            }
        )
    }

    /// Ends the exchange if its body is already complete.
    fn finish_complete_body(&mut self) {
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

/// Creates errors that state how far the exchange got.
impl Connection {
    fn error(&self, step: Step, kind: Kind) -> Error {
        Error {
            step,
            peer: self.peer(),
            bytes_written: self.stream.written_bytes() > self.written_before_exchange_bytes,
            kind,
        }
    }

    /// Makes the connection unusable and returns the error.
    fn fail(&mut self, step: Step, kind: Kind) -> Error {
        self.phase = Phase::Interrupted;
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

/// A request whose response is not complete is given up with its connection: if it has not arrived,
/// it must not arrive later, when another one may have taken its place.
impl Drop for Connection {
    fn drop(&mut self) {
        self.stream.set_end(match self.phase {
            Phase::Ready | Phase::Ended => End::Deliver,
            Phase::Interrupted | Phase::Body { .. } => End::Discard,
        });
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

/// Determines the framing of a response's body.
///
/// A close-delimited response is rejected unless the options accept it, because its truncation
/// cannot be detected.
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
        Framing::Unstated if accept_close_delimited => Ok(Body::CloseDelimited),
        Framing::Unstated => Err(head::Error::Malformed(
            "neither Content-Length nor Transfer-Encoding".to_owned(),
        )),
    }
}
