//! Configuration that is known late: changes in quick succession, with troubles of the store, of the
//! links to it and of the processes. From the time in which a change must be applied, no router in
//! contact handles a request by an older version, and no process ends by itself.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    path::{Path, PathBuf},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use fastrand::Rng;
use http::StatusCode;
use peridotrack_soak::fleet::Fleet;
use peridotrack_standin::{
    harness::{
        http::{block_on, fetch},
        relay::Link,
    },
    hosted::{
        deployment::{self, bounds},
        store,
    },
};
use serde_json::json;

/// Seeds of the runs.
const SEEDS: [u64; 3] = [1, 2, 212];
const ROUTERS: usize = 6;
const BACKENDS: usize = 2;
const PREPAID_TOKENS: u64 = 2_000_000;
/// Length of a run.
const RUN: Duration = Duration::from_secs(20);
/// Versions whose routes a configuration holds, the newest one included.
const PROBED_VERSIONS: usize = 8;
/// Time between two changes of the configuration, in milliseconds.
const CHANGE_INTERVAL_MS: std::ops::Range<u64> = 700..2_000;
/// Time between the starts of two troubles, in milliseconds.
const TROUBLE_INTERVAL_MS: std::ops::Range<u64> = 200..1_800;
/// Length of a trouble, in milliseconds.
const TROUBLE_MS: std::ops::Range<u64> = 50..4_000;
/// Bytes that a run adds to its configurations: with many, a relay sends their revision only, and the
/// changes of some seconds exceed the limit of a response.
const ADDED_BYTES: [usize; 3] = [0, 40_000, 400_000];
/// Time between the end of a compaction, or the start of the run, and the next compaction, in
/// milliseconds.
const COMPACTION_INTERVAL_MS: std::ops::Range<u64> = 2_000..8_000;
/// Time for which watches hear nothing while the store compacts its history, in milliseconds.
const SILENCE_MS: u64 = 1_000;
/// Time after a compaction in which nothing changes: a router that missed the last change stays
/// behind until the next one.
const QUIET: Duration = Duration::from_millis(bounds::CONTACT_MS + 1_500);
/// Time between two probes of a router.
const PROBE_INTERVAL: Duration = Duration::from_millis(120);
const CONTACT: Duration = Duration::from_millis(bounds::CONTACT_MS);
const APPLY: Duration = Duration::from_millis(bounds::CONFIG_APPLY_MS);

/// Routers that a trouble takes out of contact.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope {
    All,
    Router(usize),
}

/// Trouble of the store, of a link to it or of a process; numbers are those of routers.
#[derive(Debug, Clone, Copy)]
enum Trouble {
    Store(store::Mode),
    ClearHistory,
    /// The store compacts its history, and a version is written so many milliseconds after the start,
    /// while watches hear nothing.
    Compact(u64),
    /// The store ends the watches that have waited for 100 ms; it is not disturbed by that.
    CutWatches,
    Link(usize, Link),
    /// The open connections of a router to the store fall silent; new ones work.
    Silence(usize),
    SilenceAll,
    Suspend(usize),
    Kill(usize),
    Reload(usize),
}

impl Trouble {
    fn draw(rng: &mut Rng) -> Self {
        let router = rng.usize(..ROUTERS);
        let links = [
            Link::Stalled,
            Link::ResponsesStalled,
            Link::Delayed,
            Link::Cut,
        ];
        let modes = [store::Mode::Reset, store::Mode::Busy, store::Mode::Mute];
        match rng.u32(..24) {
            0 => Self::Store(modes[rng.usize(..modes.len())]),
            1 => Self::SilenceAll,
            2..=5 => Self::ClearHistory,
            6..=8 => Self::CutWatches,
            9..=13 => Self::Link(router, links[rng.usize(..links.len())]),
            14 | 15 => Self::Silence(router),
            16..=18 => Self::Suspend(router),
            19..=21 => Self::Kill(router),
            _ => Self::Reload(router),
        }
    }

    /// Returns the router that the trouble acts on, `None` if it acts on the store or on all routers.
    fn target(self) -> Option<usize> {
        match self {
            Self::Link(router, _)
            | Self::Silence(router)
            | Self::Suspend(router)
            | Self::Kill(router)
            | Self::Reload(router) => Some(router),
            Self::Store(_)
            | Self::SilenceAll
            | Self::ClearHistory
            | Self::Compact(_)
            | Self::CutWatches => None,
        }
    }

    /// Returns the routers that are out of contact, if any.
    fn scope(self) -> Option<Scope> {
        match self {
            Self::Store(_) | Self::SilenceAll | Self::Compact(_) => Some(Scope::All),
            Self::Link(router, _)
            | Self::Silence(router)
            | Self::Suspend(router)
            | Self::Kill(router) => Some(Scope::Router(router)),
            Self::ClearHistory | Self::CutWatches | Self::Reload(_) => None,
        }
    }
}

/// State shared by the tasks of a run.
struct Run {
    program: PathBuf,
    /// Bytes that are added to each configuration.
    added_bytes: usize,
    started: Instant,
    fleet: RefCell<Fleet>,
    /// Versions with the times at which they were acknowledged, oldest first.
    versions: RefCell<Vec<(u64, Instant)>>,
    /// Versions before the newest one whose routes the next version keeps, oldest first.
    previous_versions: RefCell<VecDeque<u64>>,
    /// Whether no versions are written, as after a compaction.
    is_quiet: Cell<bool>,
    /// Troubles with their starts and ends; an end is `None` while the trouble lasts.
    troubles: RefCell<Vec<(Trouble, Instant, Option<Instant>)>>,
    /// Number of probes in contact that were served.
    served: Cell<u64>,
    breaches: RefCell<Vec<String>>,
    is_ending: Cell<bool>,
}

impl Run {
    fn since_start_ms(&self, at: Instant) -> u128 {
        at.saturating_duration_since(self.started).as_millis()
    }

    fn is_in_contact(&self, router: usize, at: Instant) -> bool {
        !self.troubles.borrow().iter().any(|(trouble, _, end)| {
            let is_recent = end.is_none_or(|end| at < end + CONTACT);
            let scope = trouble.scope();
            is_recent && (scope == Some(Scope::All) || scope == Some(Scope::Router(router)))
        })
    }

    /// Records the start of a trouble; returns its number.
    fn begin(&self, trouble: Trouble) -> usize {
        let mut troubles = self.troubles.borrow_mut();
        troubles.push((trouble, Instant::now(), None));
        troubles.len() - 1
    }

    /// Records the end of a trouble.
    fn end(&self, number: usize) {
        self.troubles.borrow_mut()[number].2 = Some(Instant::now());
    }

    /// Writes the version that is `step` after the newest one. Its routes include those of the versions
    /// before it.
    fn write_version(&self, step: u64) {
        let mut previous = self.previous_versions.borrow_mut();
        let version = previous.back().copied().unwrap_or_default() + step;
        let mut config = deployment::config(version, PREPAID_TOKENS);
        let routes = config["routes"].as_array_mut().unwrap();
        let probe = routes.last().unwrap().clone();
        for version in previous.iter() {
            let mut route = probe.clone();
            route["name"] = json!(format!("probe-{version}"));
            route["pathPrefix"] = json!(deployment::probe_path(*version));
            routes.push(route);
        }
        config["comment"] = json!("x".repeat(self.added_bytes));
        previous.push_back(version);
        if previous.len() >= PROBED_VERSIONS {
            previous.pop_front();
        }
        self.fleet.borrow().store.put("config", "main", config);
        self.versions.borrow_mut().push((version, Instant::now()));
    }
}

async fn change_configurations(run: Rc<Run>, seed: u64) {
    let mut rng = Rng::with_seed(seed ^ (1 << 40));
    while !run.is_ending.get() {
        monoio::time::sleep(Duration::from_millis(rng.u64(CHANGE_INTERVAL_MS))).await;
        let step = rng.u64(1..4);
        if !run.is_quiet.get() {
            run.write_version(step);
        }
    }
}

/// Compacts the history of the store again and again, with about half of the seeds. The times are drawn
/// by themselves, so that the other troubles of a seed stay the same.
async fn compact_history(run: Rc<Run>, seed: u64) {
    let mut rng = Rng::with_seed(seed.rotate_left(16));
    if rng.bool() {
        return;
    }
    while !run.is_ending.get() {
        monoio::time::sleep(Duration::from_millis(rng.u64(COMPACTION_INTERVAL_MS))).await;
        let trouble = Trouble::Compact(rng.u64(..SILENCE_MS));
        let number = run.begin(trouble);
        cause(&run, trouble, Duration::from_millis(SILENCE_MS)).await;
        run.end(number);
        monoio::time::sleep(QUIET).await;
        run.is_quiet.set(false);
    }
}

async fn cause_troubles(run: Rc<Run>, seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let mut tasks = Vec::new();
    while !run.is_ending.get() {
        monoio::time::sleep(Duration::from_millis(rng.u64(TROUBLE_INTERVAL_MS))).await;
        let trouble = Trouble::draw(&mut rng);
        let duration = Duration::from_millis(rng.u64(TROUBLE_MS));
        let is_busy = run
            .troubles
            .borrow()
            .iter()
            .any(|(other, _, end)| end.is_none() && other.target() == trouble.target());
        if is_busy {
            continue;
        }
        let number = run.begin(trouble);
        let run = Rc::clone(&run);
        tasks.push(monoio::spawn(async move {
            cause(&run, trouble, duration).await;
            run.end(number);
        }));
    }
    for task in tasks {
        task.await;
    }
}

async fn cause(run: &Run, trouble: Trouble, duration: Duration) {
    let sleep = || monoio::time::sleep(duration);
    match trouble {
        Trouble::Store(mode) => {
            run.fleet.borrow().store.set_mode(mode);
            sleep().await;
            run.fleet.borrow().store.set_mode(store::Mode::Serve);
        }
        Trouble::ClearHistory => run.fleet.borrow().store.clear_history(),
        Trouble::Compact(change_ms) => {
            run.fleet.borrow().store.compact(duration);
            let until_change = Duration::from_millis(change_ms);
            monoio::time::sleep(until_change).await;
            run.is_quiet.set(true);
            run.write_version(1);
            monoio::time::sleep(duration - until_change).await;
        }
        Trouble::CutWatches => {
            let limit = Duration::from_millis(100);
            run.fleet.borrow().store.cut_watches_after(Some(limit));
            sleep().await;
            run.fleet.borrow().store.cut_watches_after(None);
        }
        Trouble::Link(router, link) => {
            run.fleet.borrow().routers[router].link.set(link);
            sleep().await;
            run.fleet.borrow().routers[router].link.set(Link::Open);
        }
        Trouble::Silence(router) => run.fleet.borrow().routers[router]
            .link
            .silence_connections(),
        Trouble::SilenceAll => {
            for router in &run.fleet.borrow().routers {
                router.link.silence_connections();
            }
        }
        Trouble::Suspend(router) => {
            run.fleet.borrow_mut().routers[router]
                .process
                .suspend()
                .unwrap();
            sleep().await;
            run.fleet.borrow_mut().routers[router]
                .process
                .resume()
                .unwrap();
        }
        Trouble::Kill(router) => {
            run.fleet.borrow_mut().routers[router].kill().unwrap();
            sleep().await;
            let fleet = &mut run.fleet.borrow_mut();
            fleet.routers[router].restart(&run.program).unwrap();
        }
        Trouble::Reload(router) => {
            run.fleet.borrow_mut().routers[router]
                .process
                .reload()
                .unwrap();
        }
    }
}

/// Probes a router for the newest version that must be in force.
async fn probe(run: Rc<Run>, router: usize) {
    let address = run.fleet.borrow().routers[router].client_address();
    let (_, key) = deployment::ACCOUNTS[0];
    let mut number = 0;
    while !run.is_ending.get() {
        monoio::time::sleep(PROBE_INTERVAL).await;
        number += 1;
        let sent = Instant::now();
        let due = |(_, at): &&(u64, Instant)| *at + APPLY < sent;
        let version = run.versions.borrow().iter().rfind(due).copied();
        let Some((version, acknowledged)) = version else {
            continue;
        };
        let request = http::Request::post(deployment::probe_path(version))
            .header("host", "a.example")
            .header(
                "peridotrack-request-id",
                format!("{router:04x}{number:012x}"),
            )
            .header("peridotrack-deadline-ms", "2000")
            .header("peridotrack-credential", key)
            .body(Bytes::new())
            .unwrap();
        let result = fetch(address, request).await;
        if !run.is_in_contact(router, sent) {
            continue;
        }
        let status = result.ok().map(|response| response.status());
        let is_served = status == Some(StatusCode::OK);
        run.served.set(run.served.get() + u64::from(is_served));
        if status == Some(StatusCode::NOT_FOUND) {
            run.breaches.borrow_mut().push(format!(
                "front-{router} at {} ms: 404 for version {version}, acknowledged at {} ms",
                run.since_start_ms(sent),
                run.since_start_ms(acknowledged),
            ));
        }
    }
}

/// Watches for processes that end by themselves.
async fn watch_processes(run: Rc<Run>) {
    while !run.is_ending.get() {
        monoio::time::sleep(Duration::from_millis(20)).await;
        for router in 0..ROUTERS {
            let killed = run.troubles.borrow().iter().any(|(trouble, _, end)| {
                matches!(trouble, Trouble::Kill(number) if *number == router) && end.is_none()
            });
            if !killed && !run.fleet.borrow_mut().routers[router].process.is_running() {
                let now_ms = run.since_start_ms(Instant::now());
                let breach = format!("front-{router} has ended by {now_ms} ms");
                run.breaches.borrow_mut().push(breach);
                run.is_ending.set(true);
            }
        }
    }
}

async fn play(program: &Path, seed: u64) -> Rc<Run> {
    let fleet = Fleet::spawn(program, ROUTERS, BACKENDS, PREPAID_TOKENS).await;
    let run = Rc::new(Run {
        program: program.to_owned(),
        added_bytes: ADDED_BYTES[seed as usize % ADDED_BYTES.len()],
        started: Instant::now(),
        fleet: RefCell::new(fleet.unwrap()),
        versions: RefCell::default(),
        previous_versions: RefCell::new(VecDeque::from([1])),
        is_quiet: Cell::new(false),
        troubles: RefCell::default(),
        served: Cell::new(0),
        breaches: RefCell::default(),
        is_ending: Cell::new(false),
    });
    let mut tasks = vec![
        monoio::spawn(change_configurations(Rc::clone(&run), seed)),
        monoio::spawn(cause_troubles(Rc::clone(&run), seed)),
        monoio::spawn(compact_history(Rc::clone(&run), seed)),
        monoio::spawn(watch_processes(Rc::clone(&run))),
    ];
    for router in 0..ROUTERS {
        tasks.push(monoio::spawn(probe(Rc::clone(&run), router)));
    }
    monoio::time::sleep(RUN).await;
    run.is_ending.set(true);
    for task in tasks {
        task.await;
    }
    run
}

/// The runs follow one another, because their routers use the same settings files.
#[test]
fn changes_are_in_force_in_time_despite_troubles() {
    for seed in SEEDS {
        block_on(async {
            let run = play(Path::new(env!("CARGO_BIN_EXE_peridotrackd")), seed).await;
            let breaches = run.breaches.borrow();
            assert!(run.served.get() > 0, "seed {seed}: no probe was served");
            assert!(
                breaches.is_empty(),
                "seed {seed}:\n{}\n{:#?}\n{:?}",
                breaches.join("\n"),
                run.troubles.borrow(),
                run.versions.borrow(),
            );
        });
    }
}
