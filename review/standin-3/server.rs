//! Backend servers: model engines that stream events, and a plain service.

use std::{io, net::SocketAddr, thread, time::Duration};

use crate::{
    http::{self, Connection, Message},
    record::Record,
};

/// Tokens in one event, as the configuration states them.
const STRIDE: u64 = 5;

/// What a server does with a request.
#[derive(Clone, Copy)]
pub struct Work {
    /// Whether it streams events; a plain service answers at once.
    pub is_engine: bool,
    /// Time before the first event or the answer.
    pub first_ms: u64,
    /// Time between two events.
    pub gap_ms: u64,
}

/// A running server.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub service: String,
    pub born_ms: u64,
}

impl Server {
    pub fn start(
        (id, zone, service): (&str, &str, &str),
        address: SocketAddr,
        work: Work,
        record: &Record,
    ) -> io::Result<Self> {
        let born_ms = record.wall_ms();
        let serving = (id.to_owned(), record.clone());
        let address = http::listen(address, move |connection| {
            let (id, record) = &serving;
            let _ = serve(connection, id, born_ms, work, record);
        })?;
        Ok(Self {
            id: id.to_owned(),
            address,
            zone: zone.to_owned(),
            service: service.to_owned(),
            born_ms,
        })
    }

    /// The entry that the server writes to the store.
    pub fn entry(&self, state: &str) -> String {
        let Self {
            address,
            zone,
            service,
            born_ms,
            ..
        } = self;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":64,\"state\":\"{state}\",\"coldRemainingMs\":0,\
             \"sequence\":1,\"born\":{born_ms}}}"
        )
    }
}

fn serve(
    mut connection: Connection,
    id: &str,
    born_ms: u64,
    work: Work,
    record: &Record,
) -> io::Result<()> {
    while let Some(request) = connection.message()? {
        let request_id = request
            .header("peridotrack-request-id")
            .unwrap_or("")
            .to_owned();
        if request.word(1) == "/report" || request.word(1) == "/health" {
            let body = format!(
                "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                 \"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":0,\"kvUsed\":0,\
                 \"kvTotal\":90000,\"handles\":0,\"born\":{born_ms}}}"
            );
            let headers = format!("Peridotrack-Instance-Id: {id}\r\n");
            connection.respond("200 OK", &headers, body.as_bytes())?;
            continue;
        }
        let echo = format!("Peridotrack-Request-Id: {request_id}\r\n");
        let expected = request.header("peridotrack-expect-instance");
        if expected.is_some_and(|expected| expected != id) {
            record.note(&format!("{id} answers {request_id} with 421"));
            connection.respond("421 Misdirected Request", &echo, b"")?;
            continue;
        }
        let tenant = request
            .header("peridotrack-tenant-id")
            .unwrap_or("")
            .to_owned();
        let last = request
            .header("last-event-id")
            .and_then(|text| text.parse::<u64>().ok());
        record.note(&format!("{id} runs {request_id} of {tenant}"));
        let headers = format!("{echo}Peridotrack-Response-Seal: seal-{id}\r\n");
        thread::sleep(Duration::from_millis(work.first_ms));
        if work.is_engine {
            stream(
                &mut connection,
                &headers,
                work,
                last.unwrap_or(0),
                tokens(&request).1,
            )?;
        } else {
            connection.respond("200 OK", &headers, b"done")?;
        }
    }
    Ok(())
}

fn stream(
    connection: &mut Connection,
    headers: &str,
    work: Work,
    last: u64,
    max_tokens: u64,
) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{headers}Peridotrack-Weight-Versions: 1\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    connection.send(head.as_bytes())?;
    for number in last + 1..=max_tokens / STRIDE {
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        connection.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        thread::sleep(Duration::from_millis(work.gap_ms));
    }
    connection.send(b"0\r\n\r\n")
}

/// Returns the prompt tokens and the most output tokens of a request.
pub fn tokens(request: &Message) -> (u64, u64) {
    let usage = request.header("peridotrack-token-usage").unwrap_or("0,0");
    let (prompt, output) = usage.split_once(',').unwrap_or(("0", "0"));
    (prompt.parse().unwrap_or(0), output.parse().unwrap_or(0))
}
