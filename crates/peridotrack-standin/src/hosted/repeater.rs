//! A relay in front of the metadata store that sends responses twice, so that the second one stands
//! where the response to a later call is expected.

use std::{io, net::SocketAddr, time::Duration};

use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::{ListenerOpts, TcpListener, TcpStream},
};

/// Maximum number of bytes of one read.
const READ_BYTES: usize = 64 * 1024;
/// Number of calls on a connection of which one is refused, see [`Repeated::Refusals`].
const CALLS_PER_REFUSAL: usize = 3;

/// Which responses are sent twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeated {
    /// Those of the store to all calls.
    All,
    /// Those of the store to watches.
    Watches,
    /// Refusals with this status, which every third call on a connection gets in place of the response
    /// of the store.
    Refusals(u16),
}

/// When a response is sent for the second time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum When {
    /// Together with the first time.
    AtOnce,
    /// After this time, whether or not the next call has arrived.
    After(Duration),
    /// After this time, if no other call has arrived.
    Idle(Duration),
    /// Together with the response to the next call, and before it.
    WithNext,
}

/// Starts a relay to the store at `store` on a free loopback port, which runs until the end of the
/// runtime. Returns its address. Fails if none can be bound.
pub fn spawn(store: SocketAddr, repeated: Repeated, when: When) -> io::Result<SocketAddr> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind_with_config(any, &ListenerOpts::default())?;
    let address = listener.local_addr()?;
    monoio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            monoio::spawn(forward(stream, store, repeated, when));
        }
    });
    Ok(address)
}

/// Forwards the calls of one connection one by one; `None` once either side has ended.
async fn forward(
    mut client: TcpStream,
    store: SocketAddr,
    repeated: Repeated,
    when: When,
) -> Option<()> {
    let mut upstream = TcpStream::connect(store).await.ok()?;
    let (mut requests, mut responses) = (Vec::new(), Vec::new());
    let mut pending = Vec::new();
    for call in 1_usize.. {
        let request = read_message(&mut client, &mut requests).await?;
        let (response, is_repeated) = match repeated {
            Repeated::Refusals(status) if call.is_multiple_of(CALLS_PER_REFUSAL) => {
                let refusal = format!("HTTP/1.1 {status} Refused\r\ncontent-length: 0\r\n\r\n");
                (refusal.into_bytes(), true)
            }
            _ => {
                let line = request.split(|byte| *byte == b'\r').next();
                let is_watch = String::from_utf8_lossy(line?).contains("watch=");
                upstream.write_all(request).await.0.ok()?;
                let response = read_message(&mut upstream, &mut responses).await?;
                let is_repeated = repeated == Repeated::All;
                (
                    response,
                    is_repeated || repeated == Repeated::Watches && is_watch,
                )
            }
        };
        let mut sent = std::mem::take(&mut pending);
        sent.extend_from_slice(&response);
        if is_repeated && when == When::AtOnce {
            sent.extend_from_slice(&response);
        }
        client.write_all(sent).await.0.ok()?;
        if !is_repeated {
            continue;
        }
        match when {
            When::AtOnce => {}
            When::WithNext => pending = response,
            When::After(delay) => {
                monoio::time::sleep(delay).await;
                client.write_all(response).await.0.ok()?;
            }
            When::Idle(delay) => {
                let next = client.readable(false);
                if monoio::time::timeout(delay, next).await.is_err() {
                    client.write_all(response).await.0.ok()?;
                }
            }
        }
    }
    None
}

/// Reads a message whose length is stated, or that has no body; `None` at the end of the stream.
async fn read_message(stream: &mut TcpStream, received: &mut Vec<u8>) -> Option<Vec<u8>> {
    loop {
        if let Some(bytes) = message_bytes(received)
            && received.len() >= bytes
        {
            return Some(received.drain(..bytes).collect());
        }
        let (count, bytes) = stream.read(Vec::with_capacity(READ_BYTES)).await;
        count.ok().filter(|count| *count > 0)?;
        received.extend_from_slice(&bytes);
    }
}

/// Returns the length of the message that `received` begins with; `None` before the end of its head.
fn message_bytes(received: &[u8]) -> Option<usize> {
    let head_bytes = received.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&received[..head_bytes]).to_ascii_lowercase();
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok());
    Some(head_bytes + length.unwrap_or(0))
}
