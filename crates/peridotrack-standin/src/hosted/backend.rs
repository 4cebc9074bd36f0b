//! Stand-in of a backend server of the users' platform: plain responses and event streams.
//!
//! It records every request that it ran, so that a test can compare runs with what clients received.
//! [`Handle::set_mode`] injects faults.

mod record;

pub use record::{Cause, Content, PausedArrival, Run};

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use peridotrack_http::server::Connection;
use serde::{Deserialize, Serialize};

use crate::{
    endpoint::{self, Application, Disconnect, Incoming},
    response,
};

/// Number of events of a complete stream.
pub const STREAM_EVENTS: u64 = 6;
/// Time between two events of a stream unless [`Handle::set_event_interval`] changes it.
const EVENT_INTERVAL: Duration = Duration::from_millis(5);
/// Time between two events of a stream in the mode `Slow`.
const SLOW_EVENT_INTERVAL: Duration = Duration::from_secs(2);
/// Query field with which a request asks for another interval, in milliseconds.
pub(super) const INTERVAL_FIELD: &str = "interval_ms=";
/// Time from the arrival of a fatal request to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(60);

/// How the server responds to requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Runs requests and responds to them.
    #[default]
    Serve,
    /// Refuses requests with 503 and a header that states that they did not run.
    Refuse,
    /// Runs requests and responds with 503, without that header.
    RefuseAfterRun,
    /// Responds with 421 without running requests, as another incarnation at the same address does.
    Misdirect,
    /// Runs requests and responds with 500.
    Fail,
    /// Runs requests and closes the connection without a response.
    Reset,
    /// Runs requests and never responds.
    Mute,
    /// Runs requests and responds with the request id of another request.
    Cross,
    /// Runs requests and responds without the seal that authenticates the server.
    Unsigned,
    /// Closes the connection in the middle of the third event of a stream, unless the stream is
    /// resumed here.
    CutStream,
    /// Pauses for two seconds after each event of a stream.
    Slow,
}

impl Mode {
    /// All modes that inject a fault.
    pub const FAULTS: [Self; 10] = [
        Self::Refuse,
        Self::RefuseAfterRun,
        Self::Misdirect,
        Self::Fail,
        Self::Reset,
        Self::Mute,
        Self::Cross,
        Self::Unsigned,
        Self::CutStream,
        Self::Slow,
    ];
}

/// How the server responds to requests that continue a stream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Resumption {
    /// With the events after the last one.
    #[default]
    Events,
    /// With the events from the first one.
    AllEvents,
    /// With a status and a body that is no stream.
    Status(StatusCode),
}

struct Server {
    mode: Cell<Mode>,
    resumption: Cell<Resumption>,
    /// When the process started, as its reports state it.
    born_ms: Cell<Option<u64>>,
    report_delay: Cell<Duration>,
    response_delay: Cell<Duration>,
    event_interval: Cell<Duration>,
    runs: RefCell<Vec<Run>>,
    arrivals: Cell<u64>,
    cancelled: Cell<u64>,
    limit_per_s: Cell<Option<f64>>,
    is_leaving: Cell<bool>,
    pause_until: Cell<Option<Instant>>,
    paused_arrivals: RefCell<Vec<PausedArrival>>,
    name: RefCell<Option<String>>,
    fatal_part: Cell<Option<u64>>,
    fatal_request: RefCell<Option<Content>>,
    fatal_arrivals: RefCell<Vec<Instant>>,
    crash_cause: RefCell<Option<Cause>>,
}

impl Default for Server {
    fn default() -> Self {
        Self {
            mode: Cell::default(),
            resumption: Cell::default(),
            born_ms: Cell::default(),
            report_delay: Cell::default(),
            response_delay: Cell::default(),
            event_interval: Cell::new(EVENT_INTERVAL),
            runs: RefCell::default(),
            arrivals: Cell::default(),
            cancelled: Cell::default(),
            limit_per_s: Cell::default(),
            is_leaving: Cell::default(),
            pause_until: Cell::default(),
            paused_arrivals: RefCell::default(),
            name: RefCell::default(),
            fatal_part: Cell::default(),
            fatal_request: RefCell::default(),
            fatal_arrivals: RefCell::default(),
            crash_cause: RefCell::default(),
        }
    }
}

/// A running server; dropping it closes its listener and connections.
pub struct Handle(endpoint::Handle<Server>);

/// Starts a server on a free loopback port. Fails if none can be bound.
pub fn spawn() -> io::Result<Handle> {
    spawn_at(SocketAddr::from(([127, 0, 0, 1], 0)))
}

/// Starts a server at an address, which may be that of one that has ended. Fails if the address
/// cannot be bound.
pub fn spawn_at(address: SocketAddr) -> io::Result<Handle> {
    endpoint::spawn(&[address], Rc::new(Server::default())).map(Handle)
}

impl Handle {
    /// Returns the bound address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.0.addresses[0]
    }

    /// Changes the mode, for requests received from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.0.application.mode.set(mode);
    }

    /// Changes how requests that continue a stream are answered, for those received from now on.
    pub fn set_resumption(&self, resumption: Resumption) {
        self.0.application.resumption.set(resumption);
    }

    /// Sets when the process started, in milliseconds since the Unix epoch, as reports state it.
    pub fn set_born_ms(&self, born_ms: Option<u64>) {
        self.0.application.born_ms.set(born_ms);
    }

    /// Sets the time after which reports are sent.
    pub fn set_report_delay(&self, delay: Duration) {
        self.0.application.report_delay.set(delay);
    }

    /// Sets the time from the arrival of a request that the server runs to the beginning of its
    /// response, for requests received from now on.
    pub fn set_response_delay(&self, delay: Duration) {
        self.0.application.response_delay.set(delay);
    }

    /// Sets the time between two events of a stream, for streams that begin from now on.
    pub fn set_event_interval(&self, interval: Duration) {
        self.0.application.event_interval.set(interval);
    }

    /// Sets the limit that responses state, in requests per second of all routers together.
    pub fn set_limit(&self, limit_per_s: Option<f64>) {
        self.0.application.limit_per_s.set(limit_per_s);
    }

    /// Returns whether responses state a limit.
    pub fn is_limited(&self) -> bool {
        self.0.application.limit_per_s.get().is_some()
    }

    /// Sets whether responses state that the server is leaving.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.0.application.is_leaving.set(is_leaving);
    }

    /// Returns whether responses state that the server is leaving.
    pub fn is_leaving(&self) -> bool {
        self.0.application.is_leaving.get()
    }

    /// Refuses requests for a time, and states in each refusal how much of it is left.
    pub fn pause(&self, duration: Duration) {
        let until = Instant::now() + duration;
        self.0.application.pause_until.set(Some(until));
    }

    /// Returns the requests that arrived during pauses since the last call, and removes them.
    pub fn take_paused_arrivals(&self) -> Vec<PausedArrival> {
        self.0.application.paused_arrivals.take()
    }

    /// Sets the name under which the server is registered; requests for another one get 421.
    pub fn set_name(&self, name: Option<&str>) {
        let name = name.map(str::to_owned);
        self.0.application.name.replace(name);
    }

    /// Sets the prompt part under which the server crashes when it begins to write a response.
    pub fn set_fatal_part(&self, part: Option<u64>) {
        self.0.application.fatal_part.set(part);
    }

    /// Sets the request under which the server crashes before it sends a byte of a response.
    pub fn set_fatal_request(&self, content: Option<Content>) {
        self.0.application.fatal_request.replace(content);
    }

    /// Returns when requests under which the server crashes arrived since the last call, refused
    /// ones included.
    pub fn take_fatal_arrivals(&self) -> Vec<Instant> {
        self.0.application.fatal_arrivals.take()
    }

    /// Returns whether the server has crashed; its process ends when the handle is dropped.
    pub fn has_crashed(&self) -> bool {
        self.crash_cause().is_some()
    }

    /// Returns what the server has crashed under, `None` if it runs.
    pub fn crash_cause(&self) -> Option<Cause> {
        self.0.application.crash_cause.borrow().clone()
    }

    /// Returns the requests that the server ran, in order of arrival.
    pub fn runs(&self) -> Vec<Run> {
        self.0.application.runs.borrow().clone()
    }

    /// Returns the requests that the server ran since the last call, and removes them.
    pub fn take_runs(&self) -> Vec<Run> {
        self.0.application.runs.take()
    }

    /// Returns the number of requests received, refused ones included.
    pub fn arrivals(&self) -> u64 {
        self.0.application.arrivals.get()
    }

    /// Returns the number of requests whose connection the router closed before the response ended.
    pub fn cancelled(&self) -> u64 {
        self.0.application.cancelled.get()
    }
}

impl Server {
    /// Starts a response with the headers of a genuine server: request id, seal, load and what the
    /// server states about itself.
    fn signed(&self, request: &HeaderMap) -> http::response::Builder {
        let head = Response::builder()
            .header("peridotrack-request-id", &request["peridotrack-request-id"])
            .header("peridotrack-response-seal", "3e1b")
            .header("peridotrack-server-load", "1,0,8");
        let head = match self.limit_per_s.get() {
            Some(limit_per_s) => head.header("server-limit", limit_per_s.to_string()),
            None => head,
        };
        match self.is_leaving.get() {
            true => head.header("server-leaving", "1"),
            false => head,
        }
    }

    /// Returns the report of the server about itself.
    fn report(&self) -> Response<Bytes> {
        let report = match self.born_ms.get() {
            Some(born_ms) => format!(r#"{{"stage":"both","busy":false,"born":{born_ms}}}"#),
            None => r#"{"stage":"both","busy":false}"#.to_owned(),
        };
        response::finish(Response::builder(), Bytes::from(report))
    }

    /// Returns what is left of a pause, and counts the arrival of a request in it.
    fn arrive_in_pause(&self, run: &Run) -> Option<Duration> {
        let until = self.pause_until.get()?;
        let left = until.checked_duration_since(run.at)?;
        self.paused_arrivals.borrow_mut().push(PausedArrival {
            request_id: run.request_id().to_owned(),
            expected_server: run.expected_server().to_owned(),
            at: run.at,
            until,
        });
        Some(left)
    }

    /// Crashes, after the head of a response or without any of it; sends nothing more until the
    /// handle is dropped.
    async fn crash(&self, incoming: Incoming<'_>, cause: Cause) -> Result<(), Disconnect> {
        let head = self
            .signed(&incoming.request.head.headers)
            .header("content-type", "text/event-stream");
        monoio::time::sleep(CRASH_DELAY).await;
        if matches!(cause, Cause::Part(_)) {
            incoming
                .connection
                .start(response::finish(head, ()))
                .await?;
        }
        self.crash_cause.borrow_mut().get_or_insert(cause);
        std::future::pending().await
    }

    /// Waits until the response is to begin. Fails if the router closes the connection before.
    async fn delay_response(&self, connection: &mut Connection) -> Result<(), Disconnect> {
        let delay = self.response_delay.get();
        if delay.is_zero() {
            return Ok(());
        }
        let is_closed = monoio::select! {
            () = connection.closed() => true,
            () = monoio::time::sleep(delay) => false,
        };
        if is_closed {
            self.cancelled.set(self.cancelled.get() + 1);
            return Err(Disconnect);
        }
        Ok(())
    }

    /// Returns what the server crashes under if it runs the request.
    fn fatal_cause(&self, run: &Run) -> Option<Cause> {
        let part = self.fatal_part.get().filter(|part| run.shares_part(*part));
        let request = self.fatal_request.borrow();
        let request = request.as_ref().filter(|content| run.repeats(content));
        part.map(Cause::Part)
            .or_else(|| request.cloned().map(Cause::Request))
    }

    /// Returns whether the request is meant for a server with another name.
    fn is_misdirected(&self, run: &Run) -> bool {
        let (name, expected) = (self.name.borrow(), run.expected_server());
        let is_other = |name: &String| !expected.is_empty() && expected != name;
        name.as_ref().is_some_and(is_other)
    }

    async fn stream(&self, incoming: Incoming<'_>, mode: Mode) -> Result<(), Disconnect> {
        let headers = &incoming.request.head.headers;
        let query = incoming.request.head.uri.query().unwrap_or_default();
        let interval_ms = query.strip_prefix(INTERVAL_FIELD);
        let interval_ms = interval_ms.and_then(|interval_ms| interval_ms.parse().ok());
        let last = headers
            .get("last-event-id")
            .and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        let first = match (last, self.resumption.get()) {
            (None, _) | (Some(_), Resumption::AllEvents) => 0,
            (Some(last), _) => last + 1,
        };
        let head = self
            .signed(headers)
            .header("content-type", "text/event-stream");
        let connection = incoming.connection;
        let interval = match mode {
            Mode::Slow => SLOW_EVENT_INTERVAL,
            _ => interval_ms.map_or(self.event_interval.get(), Duration::from_millis),
        };
        connection.start(response::finish(head, ())).await?;
        for number in first..STREAM_EVENTS {
            if mode == Mode::CutStream && number == 2 && last.is_none() {
                connection.write(Bytes::from("id: 2\nda")).await?;
                return Err(Disconnect);
            }
            let event = format!("id: {number}\ndata: part {number}\n\n");
            if connection.write(event.into()).await.is_err() {
                self.cancelled.set(self.cancelled.get() + 1);
                return Err(Disconnect);
            }
            let is_closed = monoio::select! {
                () = connection.closed() => true,
                () = monoio::time::sleep(interval) => false,
            };
            if is_closed {
                self.cancelled.set(self.cancelled.get() + 1);
                return Err(Disconnect);
            }
        }
        Ok(connection.finish().await?)
    }
}

impl Application for Server {
    type Control = Mode;
    type Counters = u64;

    fn control(&self, mode: Mode) {
        self.mode.set(mode);
    }

    fn counters(&self) -> u64 {
        self.arrivals.get()
    }

    async fn handle(self: Rc<Self>, incoming: Incoming<'_>) -> Result<(), Disconnect> {
        self.arrivals.set(self.arrivals.get() + 1);
        let mode = self.mode.get();
        let request = &incoming.request;
        let headers = &request.head.headers;
        if request.head.uri.path() == "/report" {
            monoio::time::sleep(self.report_delay.get()).await;
            let response = self.report();
            return Ok(incoming.connection.respond(response).await?);
        }
        // If the system reuses the port, requests meant for its previous owner may arrive here.
        if !headers.contains_key("peridotrack-request-id") {
            let head = Response::builder()
                .status(StatusCode::BAD_REQUEST)
                .header("peridotrack-not-executed", "1");
            let response = response::finish(head, Bytes::new());
            return Ok(incoming.connection.respond(response).await?);
        }
        let run = Run {
            method: request.head.method.clone(),
            target: request.head.uri.to_string(),
            headers: headers.clone(),
            body: request.body.clone(),
            at: Instant::now(),
            has_stated_leaving: Rc::default(),
        };
        let fatal = self.fatal_cause(&run);
        if fatal.is_some() {
            self.fatal_arrivals.borrow_mut().push(run.at);
        }
        let mode = match self.is_misdirected(&run) {
            true => Mode::Misdirect,
            false => mode,
        };
        let refusal = |status| {
            self.signed(headers)
                .status(status)
                .header("peridotrack-not-executed", "1")
        };
        if let Some(left) = self.arrive_in_pause(&run) {
            let head = refusal(StatusCode::SERVICE_UNAVAILABLE)
                .header("retry-after", left.as_secs_f64().to_string());
            let response = response::finish(head, Bytes::new());
            return Ok(incoming.connection.respond(response).await?);
        }
        match mode {
            Mode::Refuse => {
                let response =
                    response::finish(refusal(StatusCode::SERVICE_UNAVAILABLE), Bytes::new());
                return Ok(incoming.connection.respond(response).await?);
            }
            Mode::Misdirect => {
                let head = Response::builder()
                    .status(StatusCode::MISDIRECTED_REQUEST)
                    .header("peridotrack-request-id", &headers["peridotrack-request-id"]);
                let response = response::finish(head, Bytes::new());
                return Ok(incoming.connection.respond(response).await?);
            }
            _ => {}
        }
        let is_continuation = run.continues().is_some();
        let has_stated_leaving = Rc::clone(&run.has_stated_leaving);
        self.runs.borrow_mut().push(run);
        if let Some(cause) = fatal {
            return self.crash(incoming, cause).await;
        }
        if self.crash_cause.borrow().is_some() {
            return std::future::pending().await;
        }
        self.delay_response(incoming.connection).await?;
        has_stated_leaving.set(self.is_leaving.get());
        let complete = |status: StatusCode| {
            response::finish(
                self.signed(headers).status(status),
                Bytes::from("the answer"),
            )
        };
        let response = match mode {
            Mode::Reset => return Err(Disconnect),
            Mode::Mute => {
                incoming.connection.closed().await;
                self.cancelled.set(self.cancelled.get() + 1);
                return Err(Disconnect);
            }
            _ if is_continuation && let Resumption::Status(status) = self.resumption.get() => {
                complete(status)
            }
            Mode::Fail => complete(StatusCode::INTERNAL_SERVER_ERROR),
            Mode::RefuseAfterRun => complete(StatusCode::SERVICE_UNAVAILABLE),
            Mode::Cross => {
                let mut response = complete(StatusCode::OK);
                let other = http::HeaderValue::from_static("another");
                response
                    .headers_mut()
                    .insert("peridotrack-request-id", other);
                response
            }
            Mode::Unsigned => {
                let mut response = complete(StatusCode::OK);
                response.headers_mut().remove("peridotrack-response-seal");
                response
            }
            _ if request.head.uri.path().starts_with("/stream/") => {
                return self.stream(incoming, mode).await;
            }
            _ => complete(StatusCode::OK),
        };
        Ok(incoming.connection.respond(response).await?)
    }
}
