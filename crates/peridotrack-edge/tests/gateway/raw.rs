//! A client connection on which a test can send a request in pieces, or one ahead of a response.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::TcpStream,
};

/// Maximum wait for the next bytes of a response.
const READ_LIMIT: Duration = Duration::from_secs(20);
const READ_BYTES: usize = 4 * 1024;

/// Head of a response.
#[derive(Debug)]
pub struct Head {
    pub status: StatusCode,
    pub headers: HeaderMap,
}

impl Head {
    /// Returns whether the connection closes after the response.
    pub fn announces_close(&self) -> bool {
        self.text("connection").eq_ignore_ascii_case("close")
    }

    /// Returns whether the response states when to retry.
    pub fn has_retry_after(&self) -> bool {
        self.text("retry-after")
            .parse()
            .is_ok_and(|seconds: f64| seconds >= 0.0)
    }

    fn text(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default()
    }
}

/// Head and body of a response.
pub type Response = (Head, Vec<u8>);

/// A client connection with the bytes received and not yet read.
pub struct Connection {
    stream: TcpStream,
    received: Vec<u8>,
}

impl Connection {
    /// Connects. Fails if the listener refuses the connection.
    pub async fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        let received = Vec::new();
        Ok(Self { stream, received })
    }

    /// Writes bytes; returns whether all were accepted.
    pub async fn write(&mut self, bytes: &[u8]) -> bool {
        let (written, _) = self.stream.write_all(bytes.to_vec()).await;
        written.is_ok()
    }

    /// Reads the head of the next response; `None` if the connection ends before.
    pub async fn read_head(&mut self) -> Option<Head> {
        let line = self.read_line().await?;
        let status = line.split(' ').nth(1)?.parse().ok()?;
        let mut headers = HeaderMap::new();
        loop {
            let line = self.read_line().await?;
            let Some((name, value)) = line.split_once(':') else {
                return Some(Head { status, headers });
            };
            headers.append(
                HeaderName::from_bytes(name.as_bytes()).ok()?,
                HeaderValue::from_str(value.trim()).ok()?,
            );
        }
    }

    /// Reads the body after `head`; `None` if the connection ends before the body does.
    pub async fn read_body(&mut self, head: &Head) -> Option<Vec<u8>> {
        if !head.headers.contains_key("transfer-encoding") {
            return self
                .read_bytes(head.text("content-length").parse().ok()?)
                .await;
        }
        let (body, is_complete) = self.read_chunks().await;
        is_complete.then_some(body)
    }

    /// Reads the chunks of a body; returns also whether the last one arrived before the connection
    /// ended.
    pub async fn read_chunks(&mut self) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        while let Some(chunk) = self.read_chunk().await {
            if chunk.is_empty() {
                return (body, true);
            }
            body.extend(chunk);
        }
        (body, false)
    }

    async fn read_chunk(&mut self) -> Option<Vec<u8>> {
        let line = self.read_line().await?;
        let size = usize::from_str_radix(line.split(';').next()?, 16).ok()?;
        let chunk = self.read_bytes(size).await?;
        self.read_line().await?;
        Some(chunk)
    }

    /// Reads the next response; `None` if the connection ends before the response does.
    pub async fn read_response(&mut self) -> Option<Response> {
        let head = self.read_head().await?;
        let body = self.read_body(&head).await?;
        Some((head, body))
    }

    async fn read_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.received.windows(2).position(|two| two == b"\r\n") {
                let line = self.read_bytes(end + 2).await?;
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill().await?;
        }
    }

    async fn read_bytes(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.received.len() < count {
            self.fill().await?;
        }
        Some(self.received.drain(..count).collect())
    }

    async fn fill(&mut self) -> Option<()> {
        let reading = self.stream.read(vec![0; READ_BYTES]);
        let (count, bytes) = monoio::time::timeout(READ_LIMIT, reading).await.ok()?;
        let count = count.ok().filter(|count| *count > 0)?;
        self.received.extend_from_slice(&bytes[..count]);
        Some(())
    }
}

/// Encodes a request with the length of its body.
pub fn encode(request: &http::Request<Bytes>) -> Vec<u8> {
    let mut text = format!("{} {} HTTP/1.1\r\n", request.method(), request.uri());
    for (name, value) in request.headers() {
        text.push_str(&format!("{name}: {}\r\n", value.to_str().unwrap()));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n", request.body().len()));
    [text.as_bytes(), request.body()].concat()
}
