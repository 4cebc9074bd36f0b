//! Application of the faults and planned changes of a schedule to a running fleet.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use peridotrack_standin::{
    harness::relay::Link,
    hosted::{
        backend, client,
        deployment::{self, Kind, bounds},
        store,
    },
};

use crate::{
    check,
    fleet::Restart,
    run::{FIRST_PART, Run},
    schedule::{Fault, Step},
    stated,
};

/// Tokens that a top-up adds to each account during the run.
const TOP_UP_TOKENS: u64 = 10_000;
/// Prompt tokens of a request under which backend servers crash: it is sent also for an account that
/// has run out.
const FATAL_PROMPT_TOKENS: u64 = 0;
/// Time between the kill of a router and its restart, in milliseconds.
const RESTART_DELAY_MS: std::ops::Range<u64> = 100..1_200;
/// Time between the start of a backend server's drain and the removal of its registry entry.
const REMOVAL_DELAY: Duration = Duration::from_millis(bounds::DRAIN_MS + 700);
/// Time after which the registry entry of a backend server that has crashed disappears.
const ENTRY_LIFETIME: Duration = Duration::from_secs(3);
/// Time after which a backend server that has crashed starts again at its address, in milliseconds.
const RETURN_DELAY_MS: std::ops::Range<u64> = 1_000..3_000;
/// Time in which a request that was sent crashes its server.
const CRASH_TIME: Duration = Duration::from_millis(300);
/// Interval between checks whether a backend server has crashed.
const CRASH_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Interval between checks whether a stopping process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Applies one step, waits for its end and records its actual duration.
pub(crate) async fn apply_step(run: Rc<Run>, step: Step) -> eyre::Result<()> {
    let at_ms = run.now_ms();
    let duration = Duration::from_millis(step.duration_ms);
    // The fault is recorded when it starts. Until it ends, its duration counts as unbounded: half of
    // the maximum, so that adding the start does not overflow.
    let index = {
        let mut record = run.record.borrow_mut();
        record.steps.push(Step {
            at_ms,
            duration_ms: u64::MAX / 2,
            ..step
        });
        record.steps.len() - 1
    };
    match step.fault {
        Fault::Store(mode) => {
            run.fleet.borrow().store.set_mode(mode);
            monoio::time::sleep(duration).await;
            run.fleet.borrow().store.set_mode(store::Mode::Serve);
        }
        Fault::ClearStoreHistory => run.fleet.borrow().store.clear_history(),
        Fault::CompactStoreHistory(change_ms) => {
            run.fleet.borrow().store.compact(duration);
            let until_change = Duration::from_millis(change_ms);
            monoio::time::sleep(until_change).await;
            run.write_config(0);
            monoio::time::sleep(duration.saturating_sub(until_change)).await;
        }
        Fault::StoreLink(router, link) => {
            run.fleet.borrow().routers[router].link.set(link);
            monoio::time::sleep(duration).await;
            run.fleet.borrow().routers[router].link.set(Link::Open);
        }
        Fault::BackendLink(backend, link) => {
            run.fleet.borrow().backends[backend].paths.set(link);
            monoio::time::sleep(duration).await;
            run.fleet.borrow().backends[backend].paths.set(Link::Open);
        }
        Fault::Partition(domain, link) => {
            run.fleet.borrow().partition(domain, link);
            monoio::time::sleep(duration).await;
            run.fleet.borrow().partition(domain, Link::Open);
        }
        Fault::Backend(backend, mode) => {
            run.fleet.borrow().backends[backend].handle.set_mode(mode);
            monoio::time::sleep(duration).await;
            let mode = backend::Mode::Serve;
            run.fleet.borrow().backends[backend].handle.set_mode(mode);
        }
        Fault::SlowBackends(delay_ms) => {
            let set = |delay_ms| {
                for backend in &run.fleet.borrow().backends {
                    backend
                        .handle
                        .set_response_delay(Duration::from_millis(delay_ms));
                }
            };
            set(delay_ms);
            monoio::time::sleep(duration).await;
            set(0);
        }
        Fault::Replace(backend) => replace(&run, backend).await,
        Fault::Pause(router) => pause(&run, router, duration).await?,
        Fault::Kill(router) => kill(&run, &[router]).await?,
        Fault::KillAll => {
            let all: Vec<usize> = (0..run.options.shape.routers).collect();
            kill(&run, &all).await?;
        }
        Fault::Stop(router) => stop(&run, router).await?,
        Fault::Reload(router) => {
            let router = &mut run.fleet.borrow_mut().routers[router];
            if !router.is_down {
                router.process.reload()?;
            }
        }
        Fault::Configure => run.write_config(0),
        Fault::TopUp => run.write_config(TOP_UP_TOKENS),
        Fault::StatedRate(backend, per_10_s) => {
            let limit_per_s = f64::from(per_10_s) / 10.0;
            let server = state_rate(&run, backend, Some(limit_per_s));
            let from_ms = run.now_ms();
            monoio::time::sleep(duration).await;
            state_rate(&run, backend, None);
            run.record.borrow_mut().limits.push(check::StatedLimit {
                server,
                limit_per_s,
                from_ms,
                to_ms: run.now_ms(),
            });
        }
        Fault::StateLeaving(backend) => state_leaving(&run, backend, duration).await,
        Fault::PauseBackend(backend) => {
            run.fleet.borrow().backends[backend].handle.pause(duration);
            monoio::time::sleep(duration).await;
        }
        Fault::FatalPart(part) => {
            run.fatal_part.set(Some(part));
            set_fatal(&run);
            monoio::time::sleep(duration).await;
            run.fatal_part.set(None);
            set_fatal(&run);
            wait_for_backends(&run).await;
        }
        Fault::FatalRequest {
            number,
            kind,
            keeps_name,
        } => {
            let request = fatal_request(&run, number, kind);
            run.fatal_request.replace(Some(request));
            run.keeps_name.set(keeps_name);
            set_fatal(&run);
            monoio::time::sleep(duration).await;
            run.fatal_request.take();
            set_fatal(&run);
            wait_for_backends(&run).await;
        }
    }
    let duration_ms = run.now_ms() - at_ms;
    run.record.borrow_mut().steps[index].duration_ms = duration_ms;
    Ok(())
}

/// Drains a backend server, removes its registry entry and registers a new incarnation; does nothing
/// if a drain is in progress.
async fn replace(run: &Rc<Run>, backend: usize) {
    let name = run.fleet.borrow().backends[backend].name.clone();
    if run.fleet.borrow().backends[backend].is_down {
        return;
    }
    if run
        .record
        .borrow()
        .draining
        .iter()
        .any(|drain| drain.server == name)
    {
        return;
    }
    run.fleet.borrow().drain(backend);
    let at_ms = run.now_ms();
    run.record.borrow_mut().draining.push(check::Drain {
        server: name.clone(),
        backend,
        at_ms,
    });
    monoio::time::sleep(REMOVAL_DELAY).await;
    let mut fleet = run.fleet.borrow_mut();
    fleet.store.remove("servers", &name);
    let server = &fleet.backends[backend];
    if !server.is_down && server.name == name {
        fleet.register(backend);
    }
}

/// Lets a backend server state that it leaves, then removes its entry and registers a new
/// incarnation; does nothing if it has crashed or states it already.
async fn state_leaving(run: &Rc<Run>, backend: usize, duration: Duration) {
    let name = {
        let backend = &run.fleet.borrow().backends[backend];
        if backend.is_down || backend.handle.is_leaving() {
            return;
        }
        backend.handle.set_leaving(true);
        backend.name.clone()
    };
    let from_ms = run.now_ms();
    let leaving = stated::StatedLeaving {
        server: name.clone(),
        from_ms,
    };
    run.record.borrow_mut().leaving.push(leaving);
    monoio::time::sleep(duration).await;
    let mut fleet = run.fleet.borrow_mut();
    if fleet.backends[backend].name == name && !fleet.backends[backend].is_down {
        fleet.store.remove("servers", &name);
        let removal = check::Drain {
            server: name,
            backend,
            at_ms: run.now_ms(),
        };
        run.record.borrow_mut().draining.push(removal);
        fleet.register(backend);
        fleet.backends[backend].handle.set_leaving(false);
    }
}

/// Sets the limit that a backend server states; returns the server's name.
fn state_rate(run: &Run, backend: usize, limit_per_s: Option<f64>) -> String {
    let backend = &run.fleet.borrow().backends[backend];
    backend.handle.set_limit(limit_per_s);
    backend.name.clone()
}

/// Returns the request under which backend servers crash, which clients repeat.
fn fatal_request(run: &Run, number: u64, kind: Kind) -> client::Request {
    let account = number as usize % deployment::ACCOUNTS.len();
    let mut request = run.new_request(kind, account, FATAL_PROMPT_TOKENS);
    if kind.is_stream() {
        request.prompt_parts = vec![FIRST_PART, number];
    }
    client::Request {
        repeated: Some(number),
        ..request
    }
}

/// Tells all backend servers what they crash under at this time.
fn set_fatal(run: &Run) {
    let request = run.fatal_request.borrow();
    let content = request.as_ref().map(client::Request::content);
    for backend in &run.fleet.borrow().backends {
        backend.handle.set_fatal_part(run.fatal_part.get());
        backend.handle.set_fatal_request(content.clone());
    }
}

/// Waits until all backend servers that have crashed run again.
async fn wait_for_backends(run: &Run) {
    monoio::time::sleep(CRASH_TIME).await;
    while run
        .fleet
        .borrow()
        .backends
        .iter()
        .any(|backend| backend.is_down)
    {
        monoio::time::sleep(CRASH_POLL_INTERVAL).await;
    }
}

/// A restart of a backend server that is due.
struct DueRestart {
    at: Instant,
    backend: usize,
    restart: Restart,
}

/// Ends backend servers that have crashed and starts them again, until the run ends.
pub(crate) async fn run_backends(run: Rc<Run>) -> eyre::Result<()> {
    let mut due: Vec<DueRestart> = Vec::new();
    while !run.is_ending.get() {
        for number in 0..run.options.shape.backends {
            let cause = run.fleet.borrow().backends[number].handle.crash_cause();
            if let Some(cause) = cause {
                due.push(crash(&run, number, cause)?);
            }
        }
        for DueRestart {
            backend, restart, ..
        } in due.extract_if(.., |due| Instant::now() >= due.at)
        {
            run.fleet.borrow_mut().restart_backend(backend, restart)?;
        }
        monoio::time::sleep(CRASH_POLL_INTERVAL).await;
    }
    Ok(())
}

/// Records the crash of a backend server and ends it; returns when and how it starts again.
fn crash(run: &Rc<Run>, number: usize, cause: backend::Cause) -> eyre::Result<DueRestart> {
    run.collect_executions(number);
    let (name, has_statement) = {
        let backend = &run.fleet.borrow().backends[number];
        let has_statement = backend.handle.is_limited() || backend.handle.is_leaving();
        (backend.name.clone(), has_statement)
    };
    let mut record = run.record.borrow_mut();
    let is_draining = record.draining.iter().any(|drain| drain.server == name);
    // What is recorded of the drain or the statements of a name ends with its incarnation.
    let keeps_name = run.keeps_name.get() && !is_draining && !has_statement;
    let restart = match &cause {
        backend::Cause::Part(_) => Restart::NewAddress,
        backend::Cause::Request(_) if keeps_name => Restart::SameName,
        backend::Cause::Request(_) => Restart::NewName,
    };
    let delay = match restart {
        Restart::NewAddress => ENTRY_LIFETIME,
        Restart::NewName | Restart::SameName => {
            Duration::from_millis(fastrand::u64(RETURN_DELAY_MS))
        }
    };
    record.crashes.push((cause, run.now_ms()));
    drop(record);
    run.fleet.borrow_mut().end_backend(number)?;
    set_fatal(run);
    if restart != Restart::SameName {
        let run = Rc::clone(run);
        monoio::spawn(async move {
            monoio::time::sleep(ENTRY_LIFETIME).await;
            run.fleet.borrow().store.remove("servers", &name);
        });
    }
    Ok(DueRestart {
        at: Instant::now() + delay,
        backend: number,
        restart,
    })
}

/// Suspends a router for `duration`.
async fn pause(run: &Rc<Run>, router: usize, duration: Duration) -> eyre::Result<()> {
    {
        let router = &mut run.fleet.borrow_mut().routers[router];
        if router.is_down {
            return Ok(());
        }
        router.is_down = true;
        router.process.suspend()?;
    }
    monoio::time::sleep(duration).await;
    let router = &mut run.fleet.borrow_mut().routers[router];
    router.is_down = false;
    router.process.resume()?;
    Ok(())
}

/// Kills routers at once and restarts them after a random delay.
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
    let restart_delay_ms = fastrand::u64(RESTART_DELAY_MS);
    monoio::time::sleep(Duration::from_millis(restart_delay_ms)).await;
    for number in killed {
        run.restart(number)?;
    }
    Ok(())
}

/// Shuts a router down gracefully, kills it if it exceeds its grace period, and restarts it.
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
        monoio::time::sleep(EXIT_POLL_INTERVAL).await;
    }
    if run.fleet.borrow_mut().routers[number].process.is_running() {
        run.fleet.borrow_mut().routers[number].kill()?;
    }
    run.restart(number)
}
