//! Application of the faults and planned changes of a schedule to a running fleet.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use peridotrack_standin::{
    harness::relay::Link,
    hosted::{backend, deployment::bounds, store},
};

use crate::{
    check,
    run::Run,
    schedule::{Fault, Step},
};

/// Tokens that a top-up adds to each account during the run.
const TOP_UP_TOKENS: u64 = 10_000;
/// Time between the kill of a router and its restart, in milliseconds.
const RESTART_DELAY_MS: std::ops::Range<u64> = 100..1_200;
/// Time between the start of a backend server's drain and the removal of its registry entry.
const REMOVAL_DELAY: Duration = Duration::from_millis(bounds::DRAIN_MS + 700);
/// Time after which a backend server that has crashed is registered again.
const RETURN_DELAY: Duration = Duration::from_secs(3);
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
        Fault::StoreLink(router, link) => {
            run.fleet.borrow().routers[router].link.set(link);
            monoio::time::sleep(duration).await;
            run.fleet.borrow().routers[router].link.set(Link::Open);
        }
        Fault::BackendLink(backend, link) => {
            run.fleet.borrow().backends[backend].link.set(link);
            monoio::time::sleep(duration).await;
            run.fleet.borrow().backends[backend].link.set(Link::Open);
        }
        Fault::Backend(backend, mode) => {
            run.fleet.borrow().backends[backend].handle.set_mode(mode);
            monoio::time::sleep(duration).await;
            let mode = backend::Mode::Serve;
            run.fleet.borrow().backends[backend].handle.set_mode(mode);
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
        Fault::FatalPart(part) => crash_backends(&run, part, duration).await?,
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
    if !fleet.backends[backend].is_down {
        fleet.register(backend);
    }
}

/// Sets the limit that a backend server states; returns the server's name.
fn state_rate(run: &Run, backend: usize, limit_per_s: Option<f64>) -> String {
    let backend = &run.fleet.borrow().backends[backend];
    backend.handle.set_limit(limit_per_s);
    backend.name.clone()
}

/// Has clients send requests with a part under which backend servers crash, and registers each that
/// has crashed again. Waits until all are registered.
async fn crash_backends(run: &Rc<Run>, part: u64, duration: Duration) -> eyre::Result<()> {
    let set = |part| {
        run.fatal_part.set(part);
        for backend in &run.fleet.borrow().backends {
            backend.handle.set_fatal_part(part);
        }
    };
    set(Some(part));
    let end = Instant::now() + duration;
    let mut returns: Vec<(Instant, usize)> = Vec::new();
    while Instant::now() < end || !returns.is_empty() {
        if Instant::now() >= end && run.fatal_part.get().is_some() {
            set(None);
        }
        let backends = run.options.shape.backends;
        let has_crashed =
            |number: &usize| run.fleet.borrow().backends[*number].handle.has_crashed();
        for number in (0..backends).filter(has_crashed).collect::<Vec<_>>() {
            run.collect_executions(number);
            let mut fleet = run.fleet.borrow_mut();
            fleet.end_backend(number)?;
            fleet.backends[number]
                .handle
                .set_fatal_part(run.fatal_part.get());
            run.record.borrow_mut().crashes.push((part, run.now_ms()));
            returns.push((Instant::now() + RETURN_DELAY, number));
        }
        let is_due = |(at, _): &mut (Instant, usize)| Instant::now() >= *at;
        for (_, number) in returns.extract_if(.., is_due) {
            let mut fleet = run.fleet.borrow_mut();
            let name = fleet.backends[number].name.clone();
            fleet.store.remove("servers", &name);
            fleet.register(number);
        }
        monoio::time::sleep(CRASH_POLL_INTERVAL).await;
    }
    set(None);
    Ok(())
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
