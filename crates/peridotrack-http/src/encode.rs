//! Renders message heads and chunks as bytes.

use std::fmt::Write;

use bytes::{BufMut, Bytes, BytesMut};
use http::{HeaderMap, HeaderName, header};

/// Bodies up to this size share one write with their head.
const JOIN_BYTES: usize = 16 * 1024;
/// Room for a head of usual size.
const HEAD_BYTES: usize = 512;

/// How the head announces the body's end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Length {
    /// `Content-Length` in bytes.
    Bytes(usize),
    /// `Transfer-Encoding: chunked`.
    Chunked,
    /// Neither header: the message has no body by its status or method.
    Unstated,
}

/// Renders a response head; `close` announces the connection's end.
pub(crate) fn response_head(head: &http::response::Parts, length: Length, close: bool) -> BytesMut {
    let mut text = BytesMut::with_capacity(HEAD_BYTES);
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
    put_end(&mut text, length);
    text
}

/// Renders a request head; `host` fills in a missing `Host`.
pub(crate) fn request_head(head: &http::request::Parts, length: Length, host: &str) -> BytesMut {
    let mut text = BytesMut::with_capacity(HEAD_BYTES);
    let target = head.uri.path_and_query().map_or("/", |path| path.as_str());
    text.put_slice(head.method.as_str().as_bytes());
    text.put_u8(b' ');
    text.put_slice(target.as_bytes());
    text.put_slice(b" HTTP/1.1\r\n");
    if !head.headers.contains_key(header::HOST) {
        put_header(&mut text, b"host", host.as_bytes());
    }
    put_headers(&mut text, &head.headers, is_framing);
    put_end(&mut text, length);
    text
}

/// Renders one chunk of a chunked body; `data` must not be empty.
pub(crate) fn chunk(data: &[u8]) -> Bytes {
    let mut text = BytesMut::with_capacity(data.len() + 20);
    write!(text, "{:x}\r\n", data.len()).expect("a growing buffer takes any text");
    text.put_slice(data);
    text.put_slice(b"\r\n");
    text.freeze()
}

/// The chunk that ends a chunked body.
pub(crate) const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Joins a head and its body when both are small; else gives them one after the other.
pub(crate) fn join(mut head: BytesMut, body: Bytes) -> [Bytes; 2] {
    if body.len() > JOIN_BYTES {
        return [head.freeze(), body];
    }
    head.put_slice(&body);
    [head.freeze(), Bytes::new()]
}

fn is_framing(name: &HeaderName) -> bool {
    name == header::CONTENT_LENGTH || name == header::TRANSFER_ENCODING
}

fn put_headers(text: &mut BytesMut, headers: &HeaderMap, skip: impl Fn(&HeaderName) -> bool) {
    for (name, value) in headers {
        if !skip(name) {
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

fn put_end(text: &mut BytesMut, length: Length) {
    match length {
        Length::Bytes(bytes) => {
            write!(text, "content-length: {bytes}\r\n").expect("a growing buffer takes any text");
        }
        Length::Chunked => text.put_slice(b"transfer-encoding: chunked\r\n"),
        Length::Unstated => {}
    }
    text.put_slice(b"\r\n");
}
