//! The writing of answers.

use std::io;

use bytes::{Bytes, BytesMut};
use http::{StatusCode, Version};

use crate::{
    encode::{self, Length},
    head,
    server::{
        Error, Step,
        connection::{Connection, Phase},
    },
};

/// Longest wait for the bytes behind the last request to be discarded.
const LINGER_MS: u64 = 500;
/// Most bytes behind the last request that are discarded.
const LINGER_BYTES: usize = 1024 * 1024;

/// Answers.
impl Connection {
    /// Writes a whole answer with `Content-Length`.
    ///
    /// A `Connection: close` header in `response` closes the connection after it. Bytes that
    /// the caller sent behind the last request, or behind a refused one, are discarded for
    /// a bounded time, so that the caller gets to read the answer.
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
        self.end(keep_alive, refused).await;
        Ok(())
    }

    /// Writes the head of a chunked answer.
    pub async fn start(&mut self, head: http::Response<()>) -> Result<(), Error> {
        self.start_with(head, Bytes::new()).await
    }

    /// Writes the head of a chunked answer together with its first chunk, unless that is empty.
    pub async fn start_with(
        &mut self,
        head: http::Response<()>,
        first: Bytes,
    ) -> Result<(), Error> {
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
        let mut text = encode::response_head(&head, length, !keep_alive);
        if !self.omit_body && !first.is_empty() {
            text.extend_from_slice(&encode::chunk(&first));
        }
        self.write_bytes(text.freeze()).await?;
        self.wire.release();
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
        self.finish_with(Bytes::new()).await
    }

    /// Writes a last chunk, unless that is empty, together with the one that ends the answer.
    pub async fn finish_with(&mut self, last: Bytes) -> Result<(), Error> {
        if self.phase != Phase::Streaming {
            return Err(self.out_of_order());
        }
        self.phase = Phase::Doubtful;
        if !self.omit_body {
            let mut text = BytesMut::new();
            if !last.is_empty() {
                text.extend_from_slice(&encode::chunk(&last));
            }
            text.extend_from_slice(encode::LAST_CHUNK);
            self.write_bytes(text.freeze()).await?;
        }
        self.end(self.exchange.keep_alive, false).await;
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

    /// Ends an answer. If the connection closes while the caller is still sending, what it
    /// sends is discarded first, so that it gets to read the answer.
    async fn end(&mut self, keep_alive: bool, still_sending: bool) {
        if !keep_alive && (still_sending || self.wire.has_unread()) {
            self.wire.linger(LINGER_MS, LINGER_BYTES).await;
        }
        self.phase = if keep_alive {
            Phase::Ready
        } else {
            Phase::Closed
        };
    }

    pub(super) async fn write_bytes(&mut self, bytes: Bytes) -> Result<(), Error> {
        let outcome = self.wire.write(bytes, self.options.write_timeout_ms).await;
        outcome.map_err(|error| match error.kind() {
            io::ErrorKind::TimedOut => self.timed_out(Step::Write),
            _ => self.io(Step::Write, error),
        })
    }
}
