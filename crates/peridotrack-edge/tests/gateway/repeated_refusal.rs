//! A backend server that writes an earlier refusal once more on a kept connection: clients must not
//! take it for the outcome of a request that has run, and no such request may run twice.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::{ListenerOpts, TcpListener, TcpStream},
};
use peridotrack_standin::harness::http::block_on;
use rstest::rstest;

use crate::fixture::{self, Fixture, request};

/// Requests that each client sends.
const REQUESTS: usize = 60;

/// Pause of a client between two requests.
const INTERVAL: Duration = Duration::from_millis(20);

/// Where the server writes the refusal once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Copied {
    /// Ahead of the response to a request that it runs.
    Before,
    /// After that response, so that it stands where the next one is expected.
    After,
    /// Between an informational response and that response.
    AfterContinue,
}

/// Identifier that the copy carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CopiedId {
    Refused,
    Missing,
}

/// Servers that refuse every fourth request and copy the latest refusal at the others.
struct Server {
    copied: Copied,
    copied_id: CopiedId,
    status: &'static str,
    arrivals: Cell<usize>,
    refused: RefCell<Option<String>>,
    runs: RefCell<Vec<String>>,
}

impl Server {
    /// Listens on a free port, and returns the address.
    fn listen(self: Rc<Self>) -> SocketAddr {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind_with_config(any, &ListenerOpts::default()).unwrap();
        let address = listener.local_addr().unwrap();
        monoio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                monoio::spawn(Rc::clone(&self).serve(stream));
            }
        });
        address
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let mut received = Vec::new();
        while let Some(id) = read_request(&mut stream, &mut received).await {
            let number = self.arrivals.get();
            self.arrivals.set(number + 1);
            let text = if number.is_multiple_of(4) {
                self.refused.replace(Some(id.clone()));
                self.refusal(Some(&id))
            } else {
                self.runs.borrow_mut().push(id.clone());
                self.response(&id)
            };
            if stream.write_all(text.into_bytes()).await.0.is_err() {
                return;
            }
        }
    }

    fn refusal(&self, id: Option<&str>) -> String {
        let id = id.map_or(String::new(), |id| {
            format!("peridotrack-request-id: {id}\r\n")
        });
        let status = self.status;
        format!("HTTP/1.1 {status}\r\n{id}peridotrack-not-executed: 1\r\ncontent-length: 0\r\n\r\n")
    }

    fn response(&self, id: &str) -> String {
        let refused = self.refused.borrow();
        let copy = match self.copied_id {
            CopiedId::Refused => self.refusal(refused.as_deref()),
            CopiedId::Missing => self.refusal(None),
        };
        let response = format!(
            "HTTP/1.1 200 OK\r\nperidotrack-request-id: {id}\r\nperidotrack-response-seal: 3e1b\r\n\
             content-length: 3\r\n\r\nyes"
        );
        match self.copied {
            Copied::Before => copy + &response,
            Copied::After => response + &copy,
            Copied::AfterContinue => format!("HTTP/1.1 100 Continue\r\n\r\n{copy}{response}"),
        }
    }
}

/// Reads a request; returns its identifier, `None` at the end of the connection.
async fn read_request(stream: &mut TcpStream, received: &mut Vec<u8>) -> Option<String> {
    loop {
        let text = String::from_utf8_lossy(received).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let field = |name: &str| {
                let mut lines = head.lines();
                lines.find_map(|line| Some(line.strip_prefix(name)?.trim().to_owned()))
            };
            let length: usize = field("content-length:").map_or(0, |text| text.parse().unwrap());
            if body.len() >= length {
                received.drain(..head.len() + 4 + length);
                return Some(field("peridotrack-request-id:").unwrap_or_default());
            }
        }
        let (count, bytes) = stream.read(vec![0; 4_096]).await;
        let count = count.ok().filter(|count| *count > 0)?;
        received.extend_from_slice(&bytes[..count]);
    }
}

#[rstest]
fn a_refusal_written_once_more_is_taken_for_that_of_a_request_that_ran(
    #[values(Copied::Before, Copied::After, Copied::AfterContinue)] copied: Copied,
    #[values(CopiedId::Refused, CopiedId::Missing)] copied_id: CopiedId,
    #[values(
        "503 Service Unavailable",
        "429 Too Many Requests",
        "421 Misdirected Request"
    )]
    status: &'static str,
) {
    block_on(async {
        let fixture = Rc::new(Fixture::spawn_before_config(0));
        let server = Rc::new(Server {
            copied,
            copied_id,
            status,
            arrivals: Cell::default(),
            refused: RefCell::default(),
            runs: RefCell::default(),
        });
        for number in 0..2 {
            let address = Rc::clone(&server).listen();
            let entry = fixture::entry_at(address);
            fixture.store.put("servers", &format!("i-{number}"), entry);
        }
        let config = fixture::config(4, 1_000_000);
        fixture.store.put("config", "main", config);
        fixture.ready().await;
        let mut clients = Vec::new();
        for path in ["/safe/x", "/unsafe/x"] {
            for client in 0..2 {
                let fixture = Rc::clone(&fixture);
                clients.push(monoio::spawn(async move {
                    let mut outcomes = Vec::new();
                    for number in 0..REQUESTS {
                        let id = format!("{}-{client}-{number}", &path[1..3]);
                        let mut request = request(path, &[]);
                        let value = id.parse().unwrap();
                        request
                            .headers_mut()
                            .insert("peridotrack-request-id", value);
                        let response = fixture.send(request).await;
                        let status = response.map_or(0, |response| response.status().as_u16());
                        outcomes.push((path, id, status));
                        monoio::time::sleep(INTERVAL).await;
                    }
                    outcomes
                }));
            }
        }
        let mut outcomes = Vec::new();
        for client in clients {
            outcomes.extend(client.await);
        }
        let ran = server.runs.borrow();
        // A server that answers 421 gets no further request.
        assert!(ran.len() >= 3, "{} requests ran", ran.len());
        for (path, id, status) in outcomes {
            let runs = ran.iter().filter(|ran| **ran == id).count();
            if path == "/unsafe/x" {
                assert!(runs <= 1, "{id} ran {runs} times");
                let is_refusal = [408, 421, 429, 503].contains(&status);
                assert!(!is_refusal || runs == 0, "{id} ran and got {status}");
            }
            assert!(status != 200 || runs > 0, "{id} got 200 and did not run");
        }
    });
}
