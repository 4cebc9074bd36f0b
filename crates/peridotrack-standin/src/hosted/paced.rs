//! Client that sends the body of a request in two pieces, or the next request ahead on a connection
//! whose stream is still running.

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use http::Response;
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::TcpStream,
};

use super::client::{self, Exchange, Outcome, RESPONSE_TIMEOUT_MS, Request};

/// Maximum number of bytes of one read.
const READ_BYTES: usize = 4 * 1024;

/// A connection whose bytes are sent when the test decides.
struct Connection {
    stream: TcpStream,
    received: Vec<u8>,
    /// Whether a response has announced that the connection closes.
    is_closing: bool,
}

/// What the next read of a connection returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Read {
    Bytes,
    /// The router closed the connection after it had read all that was sent.
    Closed,
    /// The connection failed, or nothing arrived in time.
    Failed,
}

/// The head of a response and the part of its body that has arrived.
struct Received {
    head: http::response::Parts,
    body: Vec<u8>,
    is_complete: bool,
    /// Bytes of the response that have arrived.
    bytes: usize,
}

/// Sends a request whose body arrives in two pieces, `pause` apart.
pub async fn send_in_pieces(address: SocketAddr, request: &Request, pause: Duration) -> Exchange {
    let not_sent = Exchange::without_events(Outcome::NotSent);
    let Ok(mut connection) = Connection::connect(address).await else {
        return not_sent;
    };
    let (head, body) = encode(request);
    let (first, second) = body.split_at(body.len() / 2);
    if connection.write([&head[..], first].concat()).await.is_err() {
        return not_sent;
    }
    match monoio::time::timeout(pause, connection.stream.readable(false)).await {
        Err(_) => {}
        // An early response makes the rest of the request pointless.
        Ok(_) if connection.read().await == Read::Bytes => {
            return connection.exchange(request, Instant::now()).await;
        }
        Ok(_) => return not_sent,
    }
    if connection.write(second.to_vec()).await.is_err() {
        return not_sent;
    }
    connection.exchange(request, Instant::now()).await
}

/// Sends a stream, and another request as soon as the response to the first has begun.
pub async fn send_ahead(address: SocketAddr, stream: &Request, next: &Request) -> [Exchange; 2] {
    let not_sent = Exchange::without_events(Outcome::NotSent);
    let Ok(mut connection) = Connection::connect(address).await else {
        return [not_sent.clone(), not_sent];
    };
    let (head, body) = encode(stream);
    if connection.write([head, body].concat()).await.is_err() {
        return [not_sent.clone(), not_sent];
    }
    let sent = Instant::now();
    if connection.read().await != Read::Bytes {
        let outcome = connection.exchange(stream, sent).await;
        return [outcome, not_sent];
    }
    let (head, body) = encode(next);
    let is_written = connection.write([head, body].concat()).await.is_ok();
    let next_sent = Instant::now();
    let first = connection.exchange(stream, sent).await;
    let may_follow = matches!(first.outcome, Outcome::Status(_)) && is_written;
    let second = match may_follow {
        true => connection.exchange(next, next_sent).await,
        false => not_sent,
    };
    [first, second]
}

impl Connection {
    async fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_addr(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            received: Vec::new(),
            is_closing: false,
        })
    }

    async fn write(&mut self, bytes: Vec<u8>) -> io::Result<()> {
        let (outcome, _) = self.stream.write_all(bytes).await;
        outcome.map(drop)
    }

    async fn read(&mut self) -> Read {
        let limit = Duration::from_millis(RESPONSE_TIMEOUT_MS);
        let reading = self.stream.read(vec![0; READ_BYTES]);
        match monoio::time::timeout(limit, reading).await {
            Ok((Ok(0), _)) => Read::Closed,
            Ok((Ok(count), buffer)) => {
                self.received.extend_from_slice(&buffer[..count]);
                Read::Bytes
            }
            Ok((Err(_), _)) | Err(_) => Read::Failed,
        }
    }

    /// Reads the response to a request whose last byte was written at `sent`.
    async fn exchange(&mut self, request: &Request, sent: Instant) -> Exchange {
        loop {
            let received = decode(&self.received);
            if let Some(received) = received.as_ref().filter(|received| received.is_complete) {
                let connection = received.head.headers.get("connection");
                self.is_closing |= connection.is_some_and(|value| value == "close");
                self.received.drain(..received.bytes);
                return client::classify(request, &received.head, &received.body, true);
            }
            match (self.read().await, received) {
                (Read::Bytes, _) => {}
                (_, Some(received)) => {
                    return client::classify(request, &received.head, &received.body, false);
                }
                (read, None) => {
                    let is_closed = read == Read::Closed && !self.is_closing;
                    return Exchange::without_events(client::unanswered(sent, is_closed));
                }
            }
        }
    }
}

/// Returns the bytes of the head and of the body of a request.
fn encode(request: &Request) -> (Vec<u8>, Vec<u8>) {
    let (parts, body) = client::encode(request).into_parts();
    let mut head = format!("{} {} HTTP/1.1\r\n", parts.method, parts.uri);
    for (name, value) in &parts.headers {
        let value = value.to_str().expect("the headers are text");
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    (head.into_bytes(), body.to_vec())
}

/// Decodes what has arrived of a response, `None` before the end of its head.
fn decode(bytes: &[u8]) -> Option<Received> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let text = String::from_utf8_lossy(&bytes[..end]);
    let mut lines = text.lines();
    let status = lines.next()?.split(' ').nth(1)?.to_owned();
    let mut head = Response::builder().status(&*status);
    for (name, value) in lines.filter_map(|line| line.split_once(": ")) {
        head = head.header(name, value);
    }
    let (head, ()) = head.body(()).ok()?.into_parts();
    let length = head.headers.get("content-length");
    let length = length.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    let rest = &bytes[end..];
    let (body, consumed, is_complete) = match length {
        Some(length) => {
            let arrived = length.min(rest.len());
            (rest[..arrived].to_vec(), arrived, arrived == length)
        }
        None => decode_chunks(rest),
    };
    Some(Received {
        head,
        body,
        is_complete,
        bytes: end + consumed,
    })
}

/// Returns the data of the chunks that have arrived, the number of bytes that they take and whether
/// the last one is among them.
fn decode_chunks(bytes: &[u8]) -> (Vec<u8>, usize, bool) {
    let (mut data, mut consumed) = (Vec::new(), 0);
    loop {
        let rest = &bytes[consumed..];
        let Some(line_end) = rest.windows(2).position(|window| window == b"\r\n") else {
            return (data, consumed, false);
        };
        let size = std::str::from_utf8(&rest[..line_end]).ok();
        let size = size.and_then(|size| usize::from_str_radix(size, 16).ok());
        let start = line_end + 2;
        let Some(chunk) = size.and_then(|size| rest.get(start..start + size)) else {
            return (data, consumed, false);
        };
        let end = start + chunk.len() + 2;
        if rest.len() < end {
            return (data, consumed, false);
        }
        data.extend_from_slice(chunk);
        consumed += end;
        if chunk.is_empty() {
            return (data, consumed, true);
        }
    }
}
