//! Handles the engine's calls and executes the runs of its requests.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Method, Response, StatusCode};
use peridotrack_http::server::{Connection, Request};

use crate::{
    endpoint::{Application, Disconnect, Incoming},
    engine::{
        Control, Counters, Load, LoadState,
        chat::{self, Cancelled},
        completion,
        queue::Queue,
        run::{Run, State},
        runs::Runs,
        stream::{self, Faults},
    },
    notify::Notify,
    response,
    settings::take_one,
    tally,
};

/// Default number of slots.
const SLOTS: u32 = 64;
/// Maximum number of queued requests; further ones are refused.
const MAX_QUEUED: usize = 1024;
/// Path of chat completions.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Path prefix of a request id whose stream is resumed or cancelled.
const STREAMS_PATH: &str = "/v1/streams/";

/// Application of the engine behind its listener.
pub(crate) struct Engine {
    settings: RefCell<Control>,
    queue: Queue,
    runs: RefCell<Runs>,
    tallies: RefCell<tally::Table>,
    counters: RefCell<Counters>,
    /// Cached load report with the time at which it was taken.
    load: RefCell<Option<(Instant, Load)>>,
    control_changed: Notify,
    unnamed_requests: Cell<u64>,
}

impl Default for Engine {
    fn default() -> Self {
        Self {
            settings: RefCell::default(),
            queue: Queue::new(SLOTS),
            runs: RefCell::default(),
            tallies: RefCell::default(),
            counters: RefCell::default(),
            load: RefCell::default(),
            control_changed: Notify::default(),
            unnamed_requests: Cell::new(0),
        }
    }
}

impl Application for Engine {
    type Control = Control;
    type Counters = Counters;

    fn control(&self, control: Control) {
        if let Some(slots) = control.slots {
            self.queue.set_slots(slots);
        }
        self.settings.borrow_mut().merge(control);
        self.control_changed.notify();
    }

    fn counters(&self) -> Counters {
        Counters {
            by_request_id: self.tallies.borrow().snapshot(),
            ..self.counters.borrow().clone()
        }
    }

    async fn handle(self: Rc<Self>, incoming: Incoming<'_>) -> Result<(), Disconnect> {
        let Incoming {
            request,
            connection,
            ..
        } = incoming;
        self.wait_while_frozen().await;
        let path = request.head.uri.path();
        let stream = path.strip_prefix(STREAMS_PATH);
        let response = match (&request.head.method, path, stream) {
            (&Method::POST, CHAT_PATH, _) => return self.complete(&request, connection).await,
            (&Method::GET, _, Some(id)) => return self.resume(id, &request, connection).await,
            (&Method::DELETE, _, Some(id)) => self.cancel(id),
            (&Method::GET, "/v1/load", _) => response::json(&self.load()),
            _ => response::failure(StatusCode::NOT_FOUND, "no such path"),
        };
        Ok(connection.respond(response).await?)
    }
}

/// Handles the calls of the API.
impl Engine {
    async fn complete(
        self: Rc<Self>,
        request: &Request,
        connection: &mut Connection,
    ) -> Result<(), Disconnect> {
        let chat: chat::Request = match serde_json::from_slice(&request.body) {
            Ok(chat) => chat,
            Err(error) => {
                let response = response::failure(StatusCode::BAD_REQUEST, &error.to_string());
                return Ok(connection.respond(response).await?);
            }
        };
        if let Some(refusal) = self.refusal() {
            return Ok(connection.respond(refusal).await?);
        }
        let run = self.start_run(self.request_id(request), &chat);
        let (faults, crossed, late_ms) = self.take_faults();
        let response_run = if crossed {
            self.runs.borrow().other_than(&run)
        } else {
            run.clone()
        };
        monoio::spawn(generate(self.clone(), run));
        if late_ms > 0 {
            monoio::time::sleep(Duration::from_millis(late_ms)).await;
        }
        if chat.stream {
            return stream::write(&response_run, 0, faults, connection).await;
        }
        let response = completion::respond(&response_run, faults, connection).await?;
        Ok(connection.respond(response).await?)
    }

    async fn resume(
        &self,
        request_id: &str,
        request: &Request,
        connection: &mut Connection,
    ) -> Result<(), Disconnect> {
        let query = request.head.uri.query().unwrap_or("offset=0");
        let offset = query.strip_prefix("offset=").map(str::parse);
        let run = self.runs.borrow().resumable(request_id);
        let (Some(Ok(offset)), Some(run)) = (offset, run) else {
            let response = response::failure(StatusCode::NOT_FOUND, "no such stream or offset");
            return Ok(connection.respond(response).await?);
        };
        self.counters.borrow_mut().resumed += 1;
        stream::write(&run, offset, Faults::default(), connection).await
    }

    fn cancel(&self, request_id: &str) -> Response<Bytes> {
        let run = self.runs.borrow().get(request_id);
        let Some(run) = run else {
            return response::failure(StatusCode::NOT_FOUND, "no such stream");
        };
        if run.cancel() {
            self.counters.borrow_mut().cancelled += 1;
        }
        response::json(&Cancelled {
            id: run.completion_id(),
            finished: run.state() == State::Finished,
            usage: run.usage(),
        })
    }

    /// Returns the cached load report, or a new one if the cached one is older than the lag.
    fn load(&self) -> Load {
        let lag_ms = self.settings.borrow().load_lag_ms.unwrap_or(0);
        let lag = Duration::from_millis(lag_ms);
        let mut cached = self.load.borrow_mut();
        let fresh = cached.take().filter(|(taken, _)| taken.elapsed() < lag);
        let (taken, load) = fresh.unwrap_or_else(|| (Instant::now(), self.load_now()));
        *cached = Some((taken, load.clone()));
        Load {
            age_ms: u64::try_from(taken.elapsed().as_millis()).unwrap_or(u64::MAX),
            ..load
        }
    }

    fn load_now(&self) -> Load {
        let leaving = self.settings.borrow().leaving == Some(true);
        Load {
            running: self.queue.running(),
            queued: u32::try_from(self.queue.queued()).unwrap_or(u32::MAX),
            slots: self.queue.slots(),
            state: if leaving {
                LoadState::Leaving
            } else {
                LoadState::Serving
            },
            age_ms: 0,
        }
    }
}

/// Admits requests, counts runs and injects faults.
impl Engine {
    /// Returns the refusal of a new request while the engine refuses, drains or is overloaded.
    fn refusal(&self) -> Option<Response<Bytes>> {
        let settings = self.settings.borrow();
        let leaving = settings.leaving == Some(true);
        let full = self.queue.queued() >= MAX_QUEUED;
        if !leaving && !full && settings.refuse != Some(true) {
            return None;
        }
        self.counters.borrow_mut().refused += 1;
        Some(response::not_run("the engine takes no new work", leaving))
    }

    fn request_id(&self, request: &Request) -> String {
        let header = request.head.headers.get(response::REQUEST_ID);
        if let Some(Ok(id)) = header.map(|value| value.to_str()) {
            return id.to_owned();
        }
        self.unnamed_requests.set(self.unnamed_requests.get() + 1);
        format!("unnamed-{}", self.unnamed_requests.get())
    }

    fn start_run(&self, request_id: String, chat: &chat::Request) -> Rc<Run> {
        let runs = self.count_run(&request_id);
        let mut settings = self.settings.borrow_mut();
        let varied = settings.vary_runs == Some(true);
        let run = Rc::new(Run::new(
            request_id,
            if varied { runs } else { 1 },
            chat,
            settings.natural_tokens,
            settings.die_after_tokens.take(),
        ));
        self.runs.borrow_mut().insert(run.clone());
        run
    }

    /// Counts a run and returns the number of runs of its request id.
    fn count_run(&self, request_id: &str) -> u64 {
        self.counters.borrow_mut().runs += 1;
        let mut tallies = self.tallies.borrow_mut();
        let tally = tallies.entry(request_id);
        tally.runs += 1;
        tally.runs
    }

    /// Takes the faults of the next response: those of its content, whether it is crossed (that of
    /// another request is sent instead), and its latency in milliseconds.
    fn take_faults(&self) -> (Faults, bool, u64) {
        let mut settings = self.settings.borrow_mut();
        let faults = Faults {
            cut_after_tokens: settings.cut_after_tokens.take(),
            omit_usage: take_one(&mut settings.omit_usage),
            truncate: take_one(&mut settings.truncate),
        };
        let crossed = take_one(&mut settings.cross_answers);
        (faults, crossed, settings.late_ms.unwrap_or(0))
    }

    fn count_tokens(&self, run: &Run, tokens: u64) {
        self.counters.borrow_mut().tokens += tokens;
        self.tallies.borrow_mut().entry(&run.request_id).tokens += tokens;
    }

    /// Waits until the engine is not frozen.
    async fn wait_while_frozen(&self) {
        loop {
            let seen = self.control_changed.generation();
            if self.settings.borrow().freeze != Some(true) {
                return;
            }
            self.control_changed.changed(seen).await;
        }
    }

    async fn sleep(&self, delay_ms: Option<u64>) {
        let delay_ms = delay_ms.unwrap_or(0);
        if delay_ms > 0 {
            monoio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        self.wait_while_frozen().await;
    }
}

/// Generates the tokens of one run, independently of the request's connection.
async fn generate(engine: Rc<Engine>, run: Rc<Run>) {
    let _slot = monoio::select! {
        slot = engine.queue.acquire(run.priority) => slot,
        () = run.ended() => return,
    };
    let first_token_ms = engine.settings.borrow().first_token_ms;
    engine.sleep(first_token_ms).await;
    let mut tokens = 0;
    while run.state() == State::Active {
        let token_delay_ms = engine.settings.borrow().token_delay_ms;
        if tokens > 0 {
            engine.sleep(token_delay_ms).await;
        }
        if run.state() != State::Active {
            return;
        }
        tokens = match token_delay_ms {
            None | Some(0) => u64::MAX,
            Some(_) => 1,
        };
        let generated = run.advance(tokens);
        engine.count_tokens(&run, generated);
    }
}
