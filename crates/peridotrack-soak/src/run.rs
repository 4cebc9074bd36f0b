//! One run from start to end.

use std::{
    cell::{Cell, RefCell},
    path::PathBuf,
    rc::Rc,
    time::{Duration, Instant},
};

use peridotrack_http::client::Connection;
use peridotrack_standin::{
    harness::relay::Link,
    hosted::{
        backend, client,
        deployment::{self, Kind, bounds},
        store,
    },
};

use crate::{
    check::{self, Record, Sent},
    fleet::{self, Fleet},
    schedule::{self, Fault, Shape, Step},
};

/// Tokens that each client account has at first: some runs have accounts at their end.
const PREPAID_TOKENS: [u64; 2] = [30_000, 2_000_000];
/// Tokens that are added for the requests that show recovery.
const LAST_TOP_UP_TOKENS: u64 = 1_000_000;
/// Tokens that a top-up adds to each account.
const TOP_UP_TOKENS: u64 = 10_000;
/// Most tokens of a prompt.
const PROMPT_TOKENS_MAX: u64 = 200;
/// Pause of a client between two requests, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..60;
/// Pause between two probes of the newest configuration.
const PROBE_PAUSE: Duration = Duration::from_millis(50);
/// Time for which a killed router stays away, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 100..1_200;
/// Time after the draining of a backend server until its entry goes.
const LEAVE: Duration = Duration::from_millis(bounds::DRAIN_MS + 700);
/// Time after the last fault in which requests still count towards recovery.
const TAIL_MS: u64 = bounds::RECOVER_MS + 2_000;
/// Period in which the end of a process is looked for.
const POLL: Duration = Duration::from_millis(20);

/// What a run needs.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of the schedule and of the clients.
    pub seed: u64,
    /// Size.
    pub shape: Shape,
    /// Clients.
    pub clients: usize,
    /// The daemon.
    pub program: PathBuf,
    /// Where time line and logs go if a promise is broken.
    pub logs: PathBuf,
}

/// What a run came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// Broken promises.
    pub breaches: Vec<String>,
    /// Requests sent.
    pub requests: usize,
    /// Requests served.
    pub served: usize,
    /// Faults.
    pub faults: usize,
}

struct Run {
    options: Options,
    started: Instant,
    fleet: RefCell<Fleet>,
    record: RefCell<Record>,
    version: Cell<u64>,
    prepaid_tokens: Cell<u64>,
    next_id: Cell<u64>,
    is_ending: Cell<bool>,
}

/// Runs one seed on the running loop.
pub async fn run(options: Options) -> eyre::Result<Outcome> {
    let Shape {
        routers, engines, ..
    } = options.shape;
    let prepaid_tokens = PREPAID_TOKENS[usize::from(options.seed.is_multiple_of(2))];
    let fleet = Fleet::spawn(&options.program, routers, engines, prepaid_tokens).await?;
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
        is_ending: Cell::new(false),
        options,
    });
    let mut tasks = Vec::new();
    for number in 0..run.options.clients {
        tasks.push(monoio::spawn(clients(Rc::clone(&run), number as u64)));
    }
    tasks.push(monoio::spawn(probes(Rc::clone(&run))));
    disturb(&run).await?;
    monoio::time::sleep(Duration::from_millis(TAIL_MS)).await;
    run.is_ending.set(true);
    for task in tasks {
        task.await;
    }
    finish(&run)
}

/// Carries out the schedule and ends every fault.
async fn disturb(run: &Rc<Run>) -> eyre::Result<()> {
    let steps = schedule::plan(run.options.seed, &run.options.shape);
    let mut tasks = Vec::new();
    for step in steps {
        let wait_ms = step.at_ms.saturating_sub(run.now_ms());
        monoio::time::sleep(Duration::from_millis(wait_ms)).await;
        tasks.push(monoio::spawn(apply(Rc::clone(run), step)));
    }
    for task in tasks {
        task.await?;
    }
    fleet::heal(&run.fleet.borrow());
    // Everybody gets tokens for the requests that show recovery.
    run.configure(LAST_TOP_UP_TOKENS);
    run.record.borrow_mut().healed_ms = run.now_ms();
    Ok(())
}

/// Carries out one step and notes how long it lasted.
async fn apply(run: Rc<Run>, step: Step) -> eyre::Result<()> {
    let at_ms = run.now_ms();
    let length = Duration::from_millis(step.for_ms);
    // A fault counts from its beginning, also while it lasts.
    let index = {
        let mut record = run.record.borrow_mut();
        record.steps.push(Step {
            at_ms,
            for_ms: u64::MAX / 2,
            ..step
        });
        record.steps.len() - 1
    };
    match step.fault {
        Fault::Store(mode) => {
            run.fleet.borrow().store.set_mode(mode);
            monoio::time::sleep(length).await;
            run.fleet.borrow().store.set_mode(store::Mode::Serve);
        }
        Fault::StoreForgets => run.fleet.borrow().store.clear_history(),
        Fault::StoreLink(router, link) => {
            run.fleet.borrow().routers[router].link.set(link);
            monoio::time::sleep(length).await;
            run.fleet.borrow().routers[router].link.set(Link::Open);
        }
        Fault::EngineLink(engine, link) => {
            run.fleet.borrow().engines[engine].link.set(link);
            monoio::time::sleep(length).await;
            run.fleet.borrow().engines[engine].link.set(Link::Open);
        }
        Fault::Engine(engine, mode) => {
            run.fleet.borrow().engines[engine].handle.set_mode(mode);
            monoio::time::sleep(length).await;
            let mode = backend::Mode::Serve;
            run.fleet.borrow().engines[engine].handle.set_mode(mode);
        }
        Fault::Replace(engine) => replace(&run, engine).await,
        Fault::Pause(router) => pause(&run, router, length).await?,
        Fault::Kill(router) => kill(&run, &[router]).await?,
        Fault::KillAll => {
            let all: Vec<usize> = (0..run.options.shape.routers).collect();
            kill(&run, &all).await?;
        }
        Fault::Stop(router) => stop(&run, router).await?,
        Fault::HangUp(router) => {
            let router = &mut run.fleet.borrow_mut().routers[router];
            if !router.is_down {
                router.process.reload()?;
            }
        }
        Fault::Configure => run.configure(0),
        Fault::TopUp => run.configure(TOP_UP_TOKENS),
    }
    let for_ms = run.now_ms() - at_ms;
    run.record.borrow_mut().steps[index].for_ms = for_ms;
    Ok(())
}

async fn replace(run: &Rc<Run>, engine: usize) {
    let name = run.fleet.borrow().engines[engine].name.clone();
    if run
        .record
        .borrow()
        .draining
        .iter()
        .any(|(drained, _)| *drained == name)
    {
        return;
    }
    run.fleet.borrow().drain(engine);
    let at_ms = run.now_ms();
    run.record.borrow_mut().draining.push((name.clone(), at_ms));
    monoio::time::sleep(LEAVE).await;
    let mut fleet = run.fleet.borrow_mut();
    fleet.store.remove("servers", &name);
    fleet.enter(engine);
}

async fn pause(run: &Rc<Run>, router: usize, length: Duration) -> eyre::Result<()> {
    {
        let router = &mut run.fleet.borrow_mut().routers[router];
        if router.is_down {
            return Ok(());
        }
        router.is_down = true;
        router.process.suspend()?;
    }
    monoio::time::sleep(length).await;
    let router = &mut run.fleet.borrow_mut().routers[router];
    router.is_down = false;
    router.process.resume()?;
    Ok(())
}

/// Kills routers at once and starts each again.
async fn kill(run: &Rc<Run>, routers: &[usize]) -> eyre::Result<()> {
    let mut killed = Vec::new();
    for &number in routers {
        let router = &mut run.fleet.borrow_mut().routers[number];
        if !router.is_down {
            router.is_down = true;
            router.kill()?;
            killed.push(number);
        }
    }
    let down_ms = fastrand::u64(DOWN_MS);
    monoio::time::sleep(Duration::from_millis(down_ms)).await;
    for number in killed {
        run.restart(number)?;
    }
    Ok(())
}

async fn stop(run: &Rc<Run>, number: usize) -> eyre::Result<()> {
    {
        let router = &mut run.fleet.borrow_mut().routers[number];
        if router.is_down {
            return Ok(());
        }
        router.is_down = true;
        router.process.terminate()?;
    }
    let end = Instant::now() + Duration::from_millis(bounds::GRACE_MS);
    while Instant::now() < end && run.fleet.borrow_mut().routers[number].process.is_running() {
        monoio::time::sleep(POLL).await;
    }
    if run.fleet.borrow_mut().routers[number].process.is_running() {
        run.fleet.borrow_mut().routers[number].kill()?;
    }
    run.restart(number)
}

impl Run {
    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn restart(&self, number: usize) -> eyre::Result<()> {
        let router = &mut self.fleet.borrow_mut().routers[number];
        router.restart(&self.options.program)?;
        router.is_down = false;
        Ok(())
    }

    /// Writes a new configuration with more tokens.
    fn configure(&self, more_tokens: u64) {
        let version = self.version.get() + fastrand::u64(1..4);
        let prepaid_tokens = self.prepaid_tokens.get() + more_tokens;
        self.version.set(version);
        self.prepaid_tokens.set(prepaid_tokens);
        let config = deployment::config(version, prepaid_tokens);
        let acked_ms = self.now_ms();
        self.fleet.borrow().store.put("config", "main", config);
        let mut record = self.record.borrow_mut();
        record.versions.push((version, acked_ms));
        record.prepaid.push((acked_ms, prepaid_tokens));
    }

    /// Sends one request to a router and records what became of it.
    async fn request(
        &self,
        router: usize,
        kept: &mut Option<(u64, Connection)>,
        request: client::Request,
    ) {
        let (address, life) = {
            let router = &self.fleet.borrow().routers[router];
            (router.client_address(), router.life)
        };
        let mut connection = kept
            .take()
            .filter(|(of, _)| *of == life)
            .map(|(_, kept)| kept);
        let at_ms = self.now_ms();
        let seen = client::send(address, &mut connection, &request).await;
        *kept = connection.map(|connection| (life, connection));
        self.record.borrow_mut().sent.push(Sent {
            id: request.id,
            kind: request.kind,
            account: request.account,
            router,
            life,
            at_ms,
            end_ms: self.now_ms(),
            prompt_tokens: request.prompt_tokens,
            events: seen.events,
            version: request.version,
            answer: seen.outcome,
        });
    }

    fn new_request(&self, kind: Kind, account: usize, prompt_tokens: u64) -> client::Request {
        let number = self.next_id.get();
        self.next_id.set(number + 1);
        client::Request {
            id: format!("r-{number}"),
            kind,
            account,
            prompt_tokens,
            version: self.version.get(),
        }
    }
}

/// One client: requests of all kinds, on kept connections, to routers at random.
async fn clients(run: Rc<Run>, number: u64) {
    let mut rng = fastrand::Rng::with_seed(run.options.seed ^ (number << 32));
    let routers = run.options.shape.routers;
    let mut kept: Vec<Option<(u64, Connection)>> = (0..routers).map(|_| None).collect();
    while !run.is_ending.get() {
        let kind = [Kind::Safe, Kind::Unsafe, Kind::Stream, Kind::Resumable][rng.usize(..4)];
        let account = rng.usize(..deployment::ACCOUNTS.len());
        let request = run.new_request(kind, account, rng.u64(1..PROMPT_TOKENS_MAX));
        let router = rng.usize(..routers);
        run.request(router, &mut kept[router], request).await;
        monoio::time::sleep(Duration::from_millis(rng.u64(PAUSE_MS))).await;
    }
}

/// Asks each router in turn for the newest configuration.
async fn probes(run: Rc<Run>) {
    while !run.is_ending.get() {
        for router in 0..run.options.shape.routers {
            let request = run.new_request(Kind::Probe, 0, 0);
            run.request(router, &mut None, request).await;
            monoio::time::sleep(PROBE_PAUSE).await;
        }
    }
}

/// Collects what the backend servers saw, checks, and writes logs of a failed run.
fn finish(run: &Run) -> eyre::Result<Outcome> {
    let mut record = run.record.take();
    let mut fleet = run.fleet.borrow_mut();
    for engine in &fleet.engines {
        for ran in engine.handle.take_runs() {
            let at_ms = ran.at.saturating_duration_since(run.started).as_millis();
            record.ran.push(check::Ran {
                id: ran.request_id().to_owned(),
                expected: ran.expected_server().to_owned(),
                account: ran.client_account().to_owned(),
                has_key: ran.has_credential(),
                at_ms: u64::try_from(at_ms).unwrap_or(u64::MAX),
            });
        }
    }
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
        .sent
        .iter()
        .filter(|sent| sent.answer == client::Outcome::Status(200));
    Ok(Outcome {
        requests: record.sent.len(),
        served: served.count(),
        faults: record.steps.len(),
        breaches,
    })
}
