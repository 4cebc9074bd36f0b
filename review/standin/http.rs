//! Reading of HTTP/1.1 messages from blocking streams.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
};

/// A stream with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// A request with its whole body.
pub struct Request {
    pub method: String,
    /// Path with the query.
    pub target: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// Head of a response.
pub struct Head {
    pub status: u16,
    pub headers: Vec<(String, String)>,
}

pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let header = headers.iter().find(|(known, _)| known == name);
    header.map(|(_, value)| value.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Returns a parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn malformed() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "malformed message")
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads more bytes; `false` at the end of the stream.
    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    /// Reads the lines of a head, `None` if the stream ends before it.
    fn head(&mut self) -> io::Result<Option<Vec<String>>> {
        loop {
            let end = self.buffer.windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(end) = end {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                return Ok(Some(text.split("\r\n").map(str::to_owned).collect()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = self.exactly(end + 2)?;
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a request; `None` if the peer closed the connection before it.
    pub fn request(&mut self) -> io::Result<Option<Request>> {
        let Some(lines) = self.head()? else {
            return Ok(None);
        };
        let mut words = lines[0].split(' ');
        let (method, target) = (words.next(), words.next());
        let (Some(method), Some(target)) = (method, target) else {
            return Err(malformed());
        };
        let headers = headers(&lines[1..]);
        let length = find(&headers, "content-length").and_then(|text| text.parse().ok());
        let body = self.exactly(length.unwrap_or(0))?;
        Ok(Some(Request {
            method: method.to_owned(),
            target: target.to_owned(),
            headers,
            body,
        }))
    }

    pub fn response_head(&mut self) -> io::Result<Head> {
        let lines = self.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = lines[0].split(' ').nth(1).and_then(|text| text.parse().ok());
        Ok(Head {
            status: status.ok_or_else(malformed)?,
            headers: headers(&lines[1..]),
        })
    }

    /// Passes the pieces of a body to `take`; fails if the body is not complete.
    pub fn body(&mut self, head: &Head, mut take: impl FnMut(&[u8])) -> io::Result<()> {
        if let Some(length) = head.header("content-length") {
            let length = length.parse().map_err(|_| malformed())?;
            take(&self.exactly(length)?);
            return Ok(());
        }
        loop {
            let size = usize::from_str_radix(&self.line()?, 16).map_err(|_| malformed())?;
            let piece = self.exactly(size)?;
            self.exactly(2)?;
            if size == 0 {
                return Ok(());
            }
            take(&piece);
        }
    }

    pub fn write(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }
}

fn headers(lines: &[String]) -> Vec<(String, String)> {
    let pairs = lines.iter().filter_map(|line| line.split_once(':'));
    pairs
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect()
}
