//! Writing of responses.
//!
//! A response is written in one call with [`Connection::respond`], or chunk by chunk with
//! [`Connection::start`], [`Connection::write`] and [`Connection::finish`].

use std::io;

use bytes::{Bytes, BytesMut};
use http::{StatusCode, Version};

use crate::{
    encode::{self, Length},
    head,
    server::{
        Error, Step,
        connection::{Connection, Exchange, Phase},
    },
};

/// Time limit for discarding bytes that follow the last request, in milliseconds.
const LINGER_MS: u64 = 500;
/// Maximum number of discarded bytes that follow the last request.
const LINGER_BYTES: usize = 1024 * 1024;

/// Writes responses, in one call or chunk by chunk.
impl Connection {
    /// Writes a complete response with `Content-Length`.
    ///
    /// A `Connection: close` header in `response` closes the connection after it. Before a close,
    /// bytes that follow the last request or belong to a refused one are discarded within limits,
    /// because a close with unread bytes could destroy the response before the caller reads it.
    ///
    /// # Errors
    ///
    /// Fails if no request awaits a response, or if the write fails or times out. After a failed
    /// or dropped call the connection is unusable.
    pub async fn respond(&mut self, response: http::Response<Bytes>) -> Result<(), Error> {
        let (head, body) = response.into_parts();
        let refused = self.phase == Phase::Refused;
        let keep_alive = self.begin_response(&head)?;
        let length = match head.status {
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED => Length::Unstated,
            _ => Length::Bytes(body.len()),
        };
        let body = if self.omit_body { Bytes::new() } else { body };
        let text = encode::response_head(&head, length, !keep_alive);
        for bytes in encode::join(text, body) {
            self.write_bytes(bytes).await?;
        }
        self.end_response(keep_alive, refused).await;
        Ok(())
    }

    /// Responds to a request that has not been read, and closes the connection. The bytes of the
    /// request are discarded as [`Connection::respond`] does before a close.
    ///
    /// # Errors
    ///
    /// Fails if a request is in progress, or if the write fails or times out.
    pub async fn refuse(&mut self, response: http::Response<Bytes>) -> Result<(), Error> {
        if self.phase != Phase::Ready {
            return Err(self.out_of_order());
        }
        self.phase = Phase::Refused;
        self.exchange = Exchange::REFUSED;
        self.respond(response).await
    }

    /// Writes the head of a chunked response.
    ///
    /// # Errors
    ///
    /// As [`Connection::respond`], and [`Error::StreamUnsupported`] if the caller uses HTTP/1.0;
    /// [`Connection::respond`] is then still possible.
    pub async fn start(&mut self, head: http::Response<()>) -> Result<(), Error> {
        self.start_with(head, Bytes::new()).await
    }

    /// Writes the head of a chunked response and its first chunk in one write. An empty `first` is
    /// skipped.
    ///
    /// # Errors
    ///
    /// As [`Connection::start`].
    pub async fn start_with(
        &mut self,
        head: http::Response<()>,
        first: Bytes,
    ) -> Result<(), Error> {
        if self.phase == Phase::AwaitingResponse && self.exchange.version != Version::HTTP_11 {
            return Err(Error::StreamUnsupported { peer: self.peer() });
        }
        let (head, ()) = head.into_parts();
        let keep_alive = self.begin_response(&head)?;
        self.exchange.keep_alive = keep_alive;
        let length = match head.status {
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED => Length::Unstated,
            _ => Length::Chunked,
        };
        let mut text = encode::response_head(&head, length, !keep_alive);
        if !self.omit_body && !first.is_empty() {
            text.extend_from_slice(&encode::chunk(&first));
        }
        self.write_bytes(text.freeze()).await?;
        self.stream.release_buffer();
        self.phase = Phase::Streaming;
        Ok(())
    }

    /// Writes one chunk. When this returns, the operating system has accepted all of it. An empty
    /// chunk is skipped.
    ///
    /// # Errors
    ///
    /// Fails if no chunked response is in progress, or if the write fails or times out.
    pub async fn write(&mut self, chunk: Bytes) -> Result<(), Error> {
        if self.phase != Phase::Streaming {
            return Err(self.out_of_order());
        }
        if self.omit_body || chunk.is_empty() {
            return Ok(());
        }
        self.phase = Phase::Interrupted;
        self.write_bytes(encode::chunk(&chunk)).await?;
        self.phase = Phase::Streaming;
        Ok(())
    }

    /// Writes the last chunk, which ends the response; without it the caller sees the response as
    /// truncated.
    ///
    /// # Errors
    ///
    /// As [`Connection::write`].
    pub async fn finish(&mut self) -> Result<(), Error> {
        self.finish_with(Bytes::new()).await
    }

    /// Writes `last` as a chunk, unless it is empty, and the end of the response in one write.
    ///
    /// # Errors
    ///
    /// As [`Connection::write`].
    pub async fn finish_with(&mut self, last: Bytes) -> Result<(), Error> {
        if self.phase != Phase::Streaming {
            return Err(self.out_of_order());
        }
        self.phase = Phase::Interrupted;
        if !self.omit_body {
            let mut text = BytesMut::new();
            if !last.is_empty() {
                text.extend_from_slice(&encode::chunk(&last));
            }
            text.extend_from_slice(encode::LAST_CHUNK);
            self.write_bytes(text.freeze()).await?;
        }
        self.end_response(self.exchange.keep_alive, false).await;
        Ok(())
    }

    /// Begins a response and returns whether the connection stays open after it.
    ///
    /// Until the response ends, a failed or dropped call leaves [`Phase::Interrupted`] behind.
    fn begin_response(&mut self, head: &http::response::Parts) -> Result<bool, Error> {
        if !matches!(self.phase, Phase::AwaitingResponse | Phase::Refused) {
            return Err(self.out_of_order());
        }
        self.phase = Phase::Interrupted;
        self.omit_body = self.exchange.head_only
            || matches!(
                head.status,
                StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
            );
        Ok(self.exchange.keep_alive && !head::has_connection_token(&head.headers, "close"))
    }

    /// Ends a response. If the connection is to close while the caller is still sending, its bytes
    /// are discarded first, so that the caller can read the response.
    async fn end_response(&mut self, keep_alive: bool, still_sending: bool) {
        if !keep_alive && (still_sending || self.stream.has_unread()) {
            self.stream.lingering_close(LINGER_MS, LINGER_BYTES).await;
        }
        self.phase = if keep_alive {
            Phase::Ready
        } else {
            Phase::Closed
        };
    }

    pub(super) async fn write_bytes(&mut self, bytes: Bytes) -> Result<(), Error> {
        let outcome = self
            .stream
            .write(bytes, self.options.write_timeout_ms)
            .await;
        outcome.map_err(|error| match error.kind() {
            io::ErrorKind::TimedOut => self.timed_out(Step::Write),
            _ => self.io(Step::Write, error),
        })
    }
}
