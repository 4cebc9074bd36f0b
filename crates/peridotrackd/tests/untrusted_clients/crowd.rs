//! A crowd of clients on plain sockets, driven by one thread of its own.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use peridotrack_standin::harness::wait;

/// Time without progress of any client after which the crowd has sent what it can.
const SETTLED: Duration = Duration::from_millis(1_500);
/// Pause of the thread when no client can go on.
const PAUSE: Duration = Duration::from_millis(5);
/// Limit of the wait for the crowd, so that a failed test ends.
const LIMIT: Duration = Duration::from_secs(60);
/// Timeout of a connection; a process that doesn't accept any more refuses or drops it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the head of a request with one more header field.
pub fn head(field: &str) -> Vec<u8> {
    format!(
        "POST /x/1 HTTP/1.1\r\nhost: a.example\r\nperidotrack-request-id: 9c41\r\n\
         peridotrack-deadline-ms: 3000\r\n{field}\r\n"
    )
    .into_bytes()
}

/// What one client sends.
pub struct Client {
    bytes: Vec<u8>,
    piece_bytes: usize,
}

impl Client {
    /// Returns a client that sends `head` and `body` in pieces of at most `piece_bytes`.
    pub fn new(head: Vec<u8>, body: &[u8], piece_bytes: usize) -> Self {
        let mut bytes = head;
        bytes.extend_from_slice(body);
        Self { bytes, piece_bytes }
    }
}

/// A client with its connection; dropped once the gateway has closed it.
struct Open {
    stream: TcpStream,
    client: Client,
    sent_bytes: usize,
}

impl Open {
    /// Sends the next piece and reads what there is. Returns whether there was progress; `None` if
    /// the connection has ended.
    fn step(&mut self) -> Option<bool> {
        let mut received = [0; 4096];
        let mut has_progress = false;
        match self.stream.read(&mut received) {
            Ok(0) => return None,
            Ok(_) => has_progress = true,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return None,
        }
        let rest = &self.client.bytes[self.sent_bytes..];
        if rest.is_empty() {
            return Some(has_progress);
        }
        match self
            .stream
            .write(&rest[..rest.len().min(self.client.piece_bytes)])
        {
            Ok(count) => {
                self.sent_bytes += count;
                Some(true)
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => Some(has_progress),
            Err(_) => None,
        }
    }
}

/// Clients that send and stay open until the crowd is closed.
pub struct Crowd {
    settled: mpsc::Receiver<()>,
    stop: mpsc::Sender<()>,
    thread: thread::JoinHandle<()>,
}

impl Crowd {
    /// Connects all clients and lets them send.
    pub fn send(address: SocketAddr, clients: Vec<Client>) -> Self {
        let (settled_sender, settled) = mpsc::channel();
        let (stop, stopped) = mpsc::channel();
        let thread = thread::spawn(move || run(address, clients, &settled_sender, &stopped));
        Self {
            settled,
            stop,
            thread,
        }
    }

    /// Waits until no client can send any more.
    pub async fn wait(&self) {
        let is_settled = || self.settled.try_recv().is_ok();
        wait::until(LIMIT, "the crowd", is_settled).await.unwrap();
    }

    /// Closes all connections that are still open.
    pub async fn close(self) {
        let _ = self.stop.send(());
        let is_finished = || self.thread.is_finished();
        wait::until(LIMIT, "the end of the crowd", is_finished)
            .await
            .unwrap();
    }
}

fn run(
    address: SocketAddr,
    clients: Vec<Client>,
    settled: &mpsc::Sender<()>,
    stopped: &mpsc::Receiver<()>,
) {
    let mut open = Vec::new();
    for client in clients {
        // A refused connection counts as a client that was turned away.
        if let Ok(stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
            stream.set_nonblocking(true).unwrap();
            open.push(Open {
                stream,
                client,
                sent_bytes: 0,
            });
        }
    }
    let mut progressed = Instant::now();
    let mut is_settled = false;
    while matches!(stopped.try_recv(), Err(mpsc::TryRecvError::Empty)) {
        let mut has_progress = false;
        open.retain_mut(|client| {
            let step = client.step();
            has_progress |= step != Some(false);
            step.is_some()
        });
        if has_progress {
            progressed = Instant::now();
        } else {
            thread::sleep(PAUSE);
        }
        if !is_settled && progressed.elapsed() >= SETTLED {
            is_settled = true;
            let _ = settled.send(());
        }
    }
}
