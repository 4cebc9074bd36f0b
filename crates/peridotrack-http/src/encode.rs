//! Encoding of message heads and chunks.
//!
//! The connections pass the encoded bytes to the socket. Framing headers are always set from
//! [`Length`]; those in the head given by the user are skipped.

use std::fmt::Write;

use bytes::{BufMut, Bytes, BytesMut};
use http::{HeaderMap, HeaderName, header};

/// Maximum size of a body that is appended to its head, so that both need a single write.
const MAX_JOINED_BODY_BYTES: usize = 16 * 1024;
/// Initial capacity for an encoded head; most heads fit.
const HEAD_CAPACITY_BYTES: usize = 512;

/// Framing header that a head is encoded with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Length {
    /// `Content-Length` in bytes.
    Bytes(usize),
    /// `Transfer-Encoding: chunked`.
    Chunked,
    /// Neither header, for messages that have no body because of their status or method.
    Unstated,
}

/// Encodes a response head, with `Connection: close` if `close` is set.
pub(crate) fn response_head(head: &http::response::Parts, length: Length, close: bool) -> BytesMut {
    let mut text = BytesMut::with_capacity(HEAD_CAPACITY_BYTES);
    let reason = head.status.canonical_reason().unwrap_or("");
    text.put_slice(b"HTTP/1.1 ");
    text.put_slice(head.status.as_str().as_bytes());
    text.put_u8(b' ');
    text.put_slice(reason.as_bytes());
    text.put_slice(b"\r\n");
    put_headers(&mut text, &head.headers, |name| {
        is_framing(name) || name == header::CONNECTION
    });
    if close {
        text.put_slice(b"connection: close\r\n");
    }
    put_framing(&mut text, length);
    text
}

/// Encodes a request head; `host` is the value of `Host` if the request has none.
pub(crate) fn request_head(head: &http::request::Parts, length: Length, host: &str) -> BytesMut {
    let mut text = BytesMut::with_capacity(HEAD_CAPACITY_BYTES);
    let target = head.uri.path_and_query().map_or("/", |path| path.as_str());
    text.put_slice(head.method.as_str().as_bytes());
    text.put_u8(b' ');
    text.put_slice(target.as_bytes());
    text.put_slice(b" HTTP/1.1\r\n");
    if !head.headers.contains_key(header::HOST) {
        put_header(&mut text, b"host", host.as_bytes());
    }
    put_headers(&mut text, &head.headers, is_framing);
    put_framing(&mut text, length);
    text
}

/// Encodes one chunk of a chunked body. `data` must not be empty: that would end the body.
pub(crate) fn chunk(data: &[u8]) -> Bytes {
    let mut text = BytesMut::with_capacity(data.len() + 20);
    write!(text, "{:x}\r\n", data.len()).expect("writing to a BytesMut cannot fail");
    text.put_slice(data);
    text.put_slice(b"\r\n");
    text.freeze()
}

/// Last chunk, which ends a chunked body.
pub(crate) const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Joins a head with a small body into one buffer, or returns the two separately.
pub(crate) fn join(mut head: BytesMut, body: Bytes) -> [Bytes; 2] {
    if body.len() > MAX_JOINED_BODY_BYTES {
        return [head.freeze(), body];
    }
    head.put_slice(&body);
    [head.freeze(), Bytes::new()]
}

fn is_framing(name: &HeaderName) -> bool {
    name == header::CONTENT_LENGTH || name == header::TRANSFER_ENCODING
}

fn put_headers(text: &mut BytesMut, headers: &HeaderMap, is_skipped: impl Fn(&HeaderName) -> bool) {
    for (name, value) in headers {
        if !is_skipped(name) {
            put_header(text, name.as_str().as_bytes(), value.as_bytes());
        }
    }
}

fn put_header(text: &mut BytesMut, name: &[u8], value: &[u8]) {
    text.put_slice(name);
    text.put_slice(b": ");
    text.put_slice(value);
    text.put_slice(b"\r\n");
}

fn put_framing(text: &mut BytesMut, length: Length) {
    match length {
        Length::Bytes(bytes) => {
            write!(text, "content-length: {bytes}\r\n").expect("writing to a BytesMut cannot fail");
        }
        Length::Chunked => text.put_slice(b"transfer-encoding: chunked\r\n"),
        Length::Unstated => {}
    }
    text.put_slice(b"\r\n");
}
