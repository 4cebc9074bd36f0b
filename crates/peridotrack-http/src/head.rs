//! Splitting, validation and decoding of message heads.
//!
//! `monoio-http` decodes the heads. The checks here reject what it accepts although two parsers
//! could disagree about where the message ends, which would allow request smuggling.

use bytes::{Buf, BytesMut};
use http::{HeaderMap, header};
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::{DecodeError, RequestHeadDecoder, ResponseHeadDecoder};

/// Maximum size of a head on any connection: `http::HeaderName` panics on longer names.
pub(crate) const MAX_HEAD_BYTES: usize = 65_535;

/// Largest status that belongs to a class.
const MAX_STATUS: u16 = 599;

/// Reason why a head is rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Error {
    /// The message is not HTTP/1.x, or its end is ambiguous; the text says what is wrong.
    Malformed(String),
    /// The head exceeds the size limit or has too many fields.
    TooLarge,
}

/// Incremental search for the empty line that ends a head.
///
/// Keeps the start of the current line between calls, so that a head that arrives byte by
/// byte takes linear time. Lines must end in CRLF: the decoder ends the head at a bare empty
/// line, so the bytes from there to the next CRLF empty line would be dropped silently.
#[derive(Debug, Default)]
pub(crate) struct Scanner {
    line_start: usize,
}

impl Scanner {
    /// Splits a complete head off `buffer`, or returns `None` if more bytes are needed.
    pub(crate) fn split(
        &mut self,
        buffer: &mut BytesMut,
        limit_bytes: usize,
    ) -> Result<Option<BytesMut>, Error> {
        let limit_bytes = limit_bytes.min(MAX_HEAD_BYTES);
        while let Some(line_end) = find(&buffer[self.line_start..], b'\n') {
            let end = self.line_start + line_end + 1;
            if end > limit_bytes {
                return Err(Error::TooLarge);
            }
            let line = &buffer[self.line_start..end];
            if !line.ends_with(b"\r\n") {
                return Err(malformed("a line of the head ends in LF without CR"));
            }
            if line.len() == 2 {
                self.line_start = 0;
                // Copied, because a decoded head that shares the read buffer keeps all of it alive.
                let head = BytesMut::from(&buffer[..end]);
                buffer.advance(end);
                return Ok(Some(head));
            }
            self.line_start = end;
        }
        if buffer.len() > limit_bytes {
            return Err(Error::TooLarge);
        }
        Ok(None)
    }
}

/// Framing of a body, as given by the headers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// `Content-Length` in bytes.
    Length(u64),
    /// `Transfer-Encoding: chunked`.
    Chunked,
    /// Neither header is present; what that means depends on the kind of message.
    Unstated,
}

/// Determines the framing and rejects headers that two parsers could interpret differently.
pub(crate) fn framing(headers: &HeaderMap) -> Result<Framing, Error> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    match (codings.next(), lengths.next()) {
        (Some(_), Some(_)) => Err(malformed("both Content-Length and Transfer-Encoding")),
        (None, None) => Ok(Framing::Unstated),
        (Some(coding), None) => {
            if codings.next().is_some() || !coding.as_bytes().eq_ignore_ascii_case(b"chunked") {
                return Err(malformed("Transfer-Encoding other than chunked"));
            }
            Ok(Framing::Chunked)
        }
        (None, Some(length)) => {
            if lengths.next().is_some() {
                return Err(malformed("more than one Content-Length"));
            }
            content_length(length.as_bytes()).map(Framing::Length)
        }
    }
}

/// Returns whether the `Connection` header contains `token`, in any case.
pub(crate) fn has_connection_token(headers: &HeaderMap, token: &str) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|item| item.trim().eq_ignore_ascii_case(token))
}

/// Decodes a request head that [`Scanner::split`] returned.
pub(crate) fn decode_request(mut text: BytesMut) -> Result<http::request::Parts, Error> {
    let head = into_head(RequestHeadDecoder.decode(&mut text))?;
    if head.version == http::Version::HTTP_11 {
        let mut hosts = head.headers.get_all(header::HOST).iter();
        if hosts.next().is_none() || hosts.next().is_some() {
            return Err(malformed("exactly one Host is required"));
        }
    } else if head.headers.contains_key(header::TRANSFER_ENCODING) {
        return Err(malformed("Transfer-Encoding in an HTTP/1.0 request"));
    }
    Ok(head)
}

/// Decodes a response head that [`Scanner::split`] returned.
///
/// The decoder accepts any status from 100 to 999, and one above 599 has no class (RFC 9110, section
/// 15): whether it is a failure, and whether the response may be forwarded, would be a guess.
pub(crate) fn decode_response(mut text: BytesMut) -> Result<http::response::Parts, Error> {
    let head = into_head(ResponseHeadDecoder.decode(&mut text))?;
    if head.status.as_u16() > MAX_STATUS {
        return Err(malformed("the status is above 599"));
    }
    Ok(head)
}

/// Maps the decoder's result. Its error for too many fields is recognized by its text only.
fn into_head<T>(outcome: Result<Decoded<T>, DecodeError>) -> Result<T, Error> {
    match outcome {
        Ok(Decoded::Some(head)) => Ok(head),
        Ok(_) => Err(malformed("the head is incomplete")),
        Err(error) if error.to_string().contains("too many headers") => Err(Error::TooLarge),
        Err(error) => Err(Error::Malformed(error.to_string())),
    }
}

fn content_length(text: &[u8]) -> Result<u64, Error> {
    let digits = std::str::from_utf8(text).ok();
    digits
        .filter(|digits| !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit()))
        .and_then(|digits| digits.parse().ok())
        .ok_or_else(|| malformed("Content-Length is not a number"))
}

fn find(bytes: &[u8], wanted: u8) -> Option<usize> {
    bytes.iter().position(|byte| *byte == wanted)
}

fn malformed(detail: &str) -> Error {
    Error::Malformed(detail.to_owned())
}
