//! One run of a seed: starts the fleet, applies the schedule, sends requests and checks the promises.
//!
//! Everything runs as tasks on one thread. Clients and the prober add to a shared [`Record`], which
//! is checked after a phase without faults.

use std::{
    cell::{Cell, RefCell},
    path::PathBuf,
    rc::Rc,
    time::{Duration, Instant},
};

use peridotrack_http::client::Connection;
use peridotrack_standin::hosted::{
    client,
    deployment::{self, Kind, bounds},
    paced,
};

use crate::{
    apply,
    check::{self, Record, SentRequest},
    fleet::{self, Fleet},
    schedule::{self, Shape},
    stated::PausedArrival,
};

/// Tokens that each client account starts with. Odd seeds use the first value, with which accounts
/// run out during the run.
const PREPAID_TOKENS: [u64; 2] = [30_000, 2_000_000];
/// Tokens added to each account after the last fault, so that none runs out while recovery is
/// checked.
const RECOVERY_TOP_UP_TOKENS: u64 = 1_000_000;
/// Exclusive upper bound of the tokens of a prompt.
const MAX_PROMPT_TOKENS: u64 = 200;
/// Pause of a client between two requests, in milliseconds.
const CLIENT_PAUSE_MS: std::ops::Range<u64> = 5..60;
/// Pause between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// First part of all prompts.
pub(crate) const FIRST_PART: u64 = 1;
/// Number of second parts, which several requests have in common.
const SECOND_PARTS: u64 = 8;
/// Time between the two pieces of a request that is sent in pieces, in milliseconds.
const PIECE_PAUSE_MS: std::ops::Range<u64> = 1_000..4_000;
/// Number of tasks that send requests in pieces or ahead, for each client.
const PACED_TASKS: usize = 5;
/// Times that a client takes a stream up after it broke off.
const MAX_TAKE_UPS: usize = 3;
/// Interval between the events of a stream behind which the next request is sent ahead.
const AHEAD_INTERVAL_MS: u64 = 200;
/// One in this many requests has the fatal part while there is one.
const REQUESTS_PER_FATAL: u32 = 8;
/// One in this many requests repeats the fatal one while there is one.
const REQUESTS_PER_REPETITION: u32 = 64;
/// Time in which clients keep sending after the last fault, in milliseconds; the part after
/// [`bounds::RECOVER_MS`] is checked for recovery.
const RECOVERY_PHASE_MS: u64 = bounds::RECOVER_MS + 2_000;

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of the schedule and of the clients.
    pub seed: u64,
    /// Size of the fleet and length of the run.
    pub shape: Shape,
    /// Number of clients that send requests concurrently.
    pub clients: usize,
    /// Path of the daemon, `peridotrackd`.
    pub program: PathBuf,
    /// Directory for the timeline and the logs, written if a promise is broken.
    pub logs: PathBuf,
}

/// Result of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// Descriptions of the breaches of promises; empty if all were kept.
    pub breaches: Vec<String>,
    /// Number of requests sent, probes included.
    pub requests: usize,
    /// Number of requests with status 200.
    pub served: usize,
    /// Number of faults and planned changes applied.
    pub faults: usize,
    /// Number of crashes of backend servers.
    pub crashes: usize,
}

/// State shared by the tasks of a run.
pub(crate) struct Run {
    pub(crate) options: Options,
    started: Instant,
    pub(crate) fleet: RefCell<Fleet>,
    pub(crate) record: RefCell<Record>,
    /// Newest configuration version.
    version: Cell<u64>,
    /// Tokens of each account in that version.
    prepaid_tokens: Cell<u64>,
    next_id: Cell<u64>,
    /// Prompt part under which backend servers crash at this time.
    pub(crate) fatal_part: Cell<Option<u64>>,
    /// Request under which backend servers crash at this time.
    pub(crate) fatal_request: RefCell<Option<client::Request>>,
    /// Whether backend servers start again under their name after that request.
    pub(crate) keeps_name: Cell<bool>,
    /// Whether the clients and the prober end after their current request.
    pub(crate) is_ending: Cell<bool>,
}

/// Runs one seed on the current runtime.
///
/// # Errors
///
/// Returns an error if the fleet does not start, a process cannot be controlled or the logs cannot
/// be written.
pub async fn run(options: Options) -> eyre::Result<Outcome> {
    let Shape {
        routers, backends, ..
    } = options.shape;
    let prepaid_tokens = PREPAID_TOKENS[usize::from(options.seed.is_multiple_of(2))];
    let fleet = Fleet::spawn(&options.program, routers, backends, prepaid_tokens).await?;
    let run = Rc::new(Run {
        started: Instant::now(),
        fleet: RefCell::new(fleet),
        record: RefCell::new(Record {
            accounts: deployment::ACCOUNTS.iter().map(|(name, _)| *name).collect(),
            versions: vec![(1, 0)],
            prepaid: vec![(0, prepaid_tokens)],
            ..Record::default()
        }),
        version: Cell::new(1),
        prepaid_tokens: Cell::new(prepaid_tokens),
        next_id: Cell::new(0),
        fatal_part: Cell::new(None),
        fatal_request: RefCell::new(None),
        keeps_name: Cell::new(false),
        is_ending: Cell::new(false),
        options,
    });
    let mut tasks = Vec::new();
    for number in 0..run.options.clients {
        tasks.push(monoio::spawn(run_client(Rc::clone(&run), number as u64)));
    }
    for number in 0..PACED_TASKS * run.options.clients {
        let run = Rc::clone(&run);
        tasks.push(monoio::spawn(run_paced_client(run, number as u64)));
    }
    tasks.push(monoio::spawn(run_prober(Rc::clone(&run))));
    let backends = monoio::spawn(apply::run_backends(Rc::clone(&run)));
    run_schedule(&run).await?;
    monoio::time::sleep(Duration::from_millis(RECOVERY_PHASE_MS)).await;
    run.is_ending.set(true);
    for task in tasks {
        task.await;
    }
    backends.await?;
    evaluate(&run)
}

/// Applies the schedule, waits for the end of all faults and tops up every account.
async fn run_schedule(run: &Rc<Run>) -> eyre::Result<()> {
    let steps = schedule::plan(run.options.seed, &run.options.shape);
    let mut tasks = Vec::new();
    for step in steps {
        let wait_ms = step.at_ms.saturating_sub(run.now_ms());
        monoio::time::sleep(Duration::from_millis(wait_ms)).await;
        tasks.push(monoio::spawn(apply::apply_step(Rc::clone(run), step)));
    }
    for task in tasks {
        task.await?;
    }
    fleet::clear_faults(&run.fleet.borrow());
    // Accounts that have run out would otherwise count as not recovered.
    run.write_config(RECOVERY_TOP_UP_TOKENS);
    run.record.borrow_mut().faults_cleared_ms = run.now_ms();
    Ok(())
}

impl Run {
    pub(crate) fn now_ms(&self) -> u64 {
        self.ms_at(Instant::now())
    }

    /// Returns a time in milliseconds since the start of the run.
    fn ms_at(&self, at: Instant) -> u64 {
        let elapsed = at.saturating_duration_since(self.started);
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }

    pub(crate) fn restart(&self, number: usize) -> eyre::Result<()> {
        let router = &mut self.fleet.borrow_mut().routers[number];
        router.restart(&self.options.program)?;
        router.is_down = false;
        Ok(())
    }

    /// Writes a new configuration version that adds tokens to each account.
    pub(crate) fn write_config(&self, added_tokens: u64) {
        let version = self.version.get() + fastrand::u64(1..4);
        let prepaid_tokens = self.prepaid_tokens.get() + added_tokens;
        self.version.set(version);
        self.prepaid_tokens.set(prepaid_tokens);
        let config = deployment::config(version, prepaid_tokens);
        let written_ms = self.now_ms();
        self.fleet.borrow().store.put("config", "main", config);
        let mut record = self.record.borrow_mut();
        record.versions.push((version, written_ms));
        record.prepaid.push((written_ms, prepaid_tokens));
    }

    /// Sends one request to a router, on `idle_connection` if the router has not restarted since, and
    /// records the outcome.
    async fn request(
        &self,
        router: usize,
        idle_connection: &mut Option<(u64, Connection)>,
        request: client::Request,
    ) -> client::Exchange {
        let (address, incarnation) = {
            let router = &self.fleet.borrow().routers[router];
            (router.client_address(), router.incarnation)
        };
        let mut connection = idle_connection
            .take()
            .filter(|(opened_to, _)| *opened_to == incarnation)
            .map(|(_, connection)| connection);
        let at_ms = self.now_ms();
        let exchange = client::send(address, &mut connection, &request).await;
        *idle_connection = connection.map(|connection| (incarnation, connection));
        self.record_request((router, incarnation), at_ms, request, exchange.clone());
        exchange
    }

    /// Sends the body of a request in two pieces, or two requests of which the second one is sent
    /// ahead, and records the outcomes.
    async fn paced_request(&self, router: usize, rng: &mut fastrand::Rng) {
        let (address, incarnation) = {
            let router = &self.fleet.borrow().routers[router];
            (router.client_address(), router.incarnation)
        };
        let account = rng.usize(..deployment::ACCOUNTS.len());
        let kind = [Kind::Safe, Kind::Unsafe, Kind::Stream][rng.usize(..3)];
        // Without prompt tokens, requests are served also for an account that has run out.
        let request = self.new_request(kind, account, 0);
        let at_ms = self.now_ms();
        if rng.bool() {
            // The longer of two draws: a router that stops drops a request that is still arriving
            // when nothing else is open.
            let pause_ms = rng.u64(PIECE_PAUSE_MS).max(rng.u64(PIECE_PAUSE_MS));
            let pause = Duration::from_millis(pause_ms);
            let exchange = paced::send_in_pieces(address, &request, pause).await;
            return self.record_request((router, incarnation), at_ms, request, exchange);
        }
        let stream = client::Request {
            event_interval_ms: Some(AHEAD_INTERVAL_MS),
            ..self.new_request(Kind::Stream, account, 0)
        };
        let [first, second] = paced::send_ahead(address, &stream, &request).await;
        self.record_request((router, incarnation), at_ms, stream, first);
        self.record_request((router, incarnation), at_ms, request, second);
    }

    fn record_request(
        &self,
        (router, incarnation): (usize, u64),
        at_ms: u64,
        request: client::Request,
        exchange: client::Exchange,
    ) {
        self.record.borrow_mut().requests.push(SentRequest {
            content: request.content(),
            id: request.id,
            kind: request.kind,
            account: request.account,
            router,
            incarnation,
            at_ms,
            end_ms: self.now_ms(),
            prompt_tokens: request.prompt_tokens,
            events: exchange.events,
            prompt_parts: request.prompt_parts,
            version: request.version,
            outcome: exchange.outcome,
        });
    }

    pub(crate) fn new_request(
        &self,
        kind: Kind,
        account: usize,
        prompt_tokens: u64,
    ) -> client::Request {
        let number = self.next_id.get();
        self.next_id.set(number + 1);
        client::Request {
            id: format!("r-{number}"),
            kind,
            account,
            prompt_tokens,
            prompt_parts: Vec::new(),
            version: self.version.get(),
            event_interval_ms: None,
            repeated: None,
            resumed: None,
        }
    }

    /// Returns a repetition of the fatal request.
    fn repetition(&self) -> Option<client::Request> {
        let fatal = self.fatal_request.borrow();
        let fatal = fatal.as_ref()?;
        let id = self.new_request(fatal.kind, fatal.account, 0).id;
        Some(client::Request {
            id,
            ..fatal.clone()
        })
    }

    /// Returns the prompt of a stream, in some cases with the fatal part.
    fn prompt_parts(&self, rng: &mut fastrand::Rng) -> Vec<u64> {
        let mut parts = vec![FIRST_PART, 100 + rng.u64(..SECOND_PARTS)];
        if rng.u32(..REQUESTS_PER_FATAL) == 0 {
            parts.extend(self.fatal_part.get());
        }
        parts.push(rng.u64(..));
        parts
    }

    /// Moves the executions of a backend server, and the requests that it refused during pauses, to
    /// the record.
    pub(crate) fn collect_executions(&self, backend: usize) {
        let (runs, paused_arrivals) = {
            let handle = &self.fleet.borrow().backends[backend].handle;
            (handle.take_runs(), handle.take_paused_arrivals())
        };
        let paused_arrivals = paused_arrivals.into_iter().map(|arrival| PausedArrival {
            id: arrival.request_id,
            server: arrival.expected_server,
            backend,
            at_ms: self.ms_at(arrival.at),
            until_ms: self.ms_at(arrival.until),
        });
        self.record
            .borrow_mut()
            .paused_arrivals
            .extend(paused_arrivals);
        for run in runs {
            self.record.borrow_mut().executions.push(check::Execution {
                id: run.request_id().to_owned(),
                continues: run.continues().map(str::to_owned),
                expected_server: run.expected_server().to_owned(),
                account: run.client_account().to_owned(),
                has_credential: run.has_credential(),
                states_leaving: run.has_stated_leaving(),
                at_ms: self.ms_at(run.at),
            });
        }
    }
}

/// Sends requests of random kinds to random routers, reusing connections, until the run ends.
async fn run_client(run: Rc<Run>, number: u64) {
    let mut rng = fastrand::Rng::with_seed(run.options.seed ^ (number << 32));
    // Drawn by themselves, so that the other choices of a seed stay the same.
    let mut repeat_rng = fastrand::Rng::with_seed(!run.options.seed ^ (number << 32));
    let routers = run.options.shape.routers;
    let mut idle_connections: Vec<Option<(u64, Connection)>> = (0..routers).map(|_| None).collect();
    while !run.is_ending.get() {
        let kind = [Kind::Safe, Kind::Unsafe, Kind::Stream, Kind::Resumable][rng.usize(..4)];
        let account = rng.usize(..deployment::ACCOUNTS.len());
        let mut request = run.new_request(kind, account, rng.u64(1..MAX_PROMPT_TOKENS));
        if kind.is_stream() {
            request.prompt_parts = run.prompt_parts(&mut rng);
        }
        if repeat_rng.u32(..REQUESTS_PER_REPETITION) == 0
            && let Some(repetition) = run.repetition()
        {
            request = repetition;
        }
        let router = rng.usize(..routers);
        let mut exchange = run
            .request(router, &mut idle_connections[router], request.clone())
            .await;
        for _ in 0..MAX_TAKE_UPS {
            let Some(resumed) = interrupted(&request, &exchange) else {
                break;
            };
            request = client::Request {
                id: run.new_request(kind, account, 0).id,
                resumed: Some(resumed),
                ..request
            };
            let router = repeat_rng.usize(..routers);
            exchange = run.request(router, &mut None, request.clone()).await;
        }
        monoio::time::sleep(Duration::from_millis(rng.u64(CLIENT_PAUSE_MS))).await;
    }
}

/// Returns how a client takes up the stream of a request, if it broke off after its first event.
fn interrupted(request: &client::Request, exchange: &client::Exchange) -> Option<client::Resumed> {
    if request.kind != Kind::Resumable || exchange.outcome != client::Outcome::Incomplete {
        return None;
    }
    let received = request.resumed.as_ref();
    let received = received.map_or(0, |resumed| resumed.last_event + 1) + exchange.events;
    let first_id = received_first(request);
    Some(client::Resumed {
        first_id,
        last_event: received.checked_sub(1)?,
    })
}

fn received_first(request: &client::Request) -> String {
    let resumed = request.resumed.as_ref();
    resumed.map_or_else(|| request.id.clone(), |resumed| resumed.first_id.clone())
}

/// Sends requests in pieces and requests ahead of a running stream, until the run ends.
async fn run_paced_client(run: Rc<Run>, number: u64) {
    let mut rng = fastrand::Rng::with_seed(!run.options.seed ^ (number << 32) ^ 1);
    while !run.is_ending.get() {
        let router = rng.usize(..run.options.shape.routers);
        run.paced_request(router, &mut rng).await;
        monoio::time::sleep(Duration::from_millis(rng.u64(CLIENT_PAUSE_MS))).await;
    }
}

/// Probes each router in turn for the newest configuration until the run ends.
async fn run_prober(run: Rc<Run>) {
    while !run.is_ending.get() {
        for router in 0..run.options.shape.routers {
            let request = run.new_request(Kind::Probe, 0, 0);
            run.request(router, &mut None, request).await;
            monoio::time::sleep(PROBE_INTERVAL).await;
        }
    }
}

/// Collects the executions of the backend servers, checks the record and, after a breach, writes the
/// timeline and the logs.
fn evaluate(run: &Run) -> eyre::Result<Outcome> {
    for backend in 0..run.options.shape.backends {
        run.collect_executions(backend);
    }
    let mut record = run.record.take();
    let mut fleet = run.fleet.borrow_mut();
    record.software_versions = std::mem::take(&mut fleet.software_versions);
    let breaches = check::check(&record);
    if !breaches.is_empty() {
        std::fs::create_dir_all(&run.options.logs)?;
        let steps: Vec<String> = record
            .steps
            .iter()
            .map(|step| format!("{step:?}"))
            .collect();
        let text = [breaches.join("\n"), steps.join("\n")].join("\n\n");
        std::fs::write(run.options.logs.join("timeline.txt"), text)?;
        for router in &mut fleet.routers {
            router.write_log(&run.options.logs)?;
        }
    }
    let served = record
        .requests
        .iter()
        .filter(|sent| sent.outcome == client::Outcome::Status(200));
    Ok(Outcome {
        requests: record.requests.len(),
        served: served.count(),
        faults: record.steps.len(),
        crashes: record.crashes.len(),
        breaches,
    })
}
