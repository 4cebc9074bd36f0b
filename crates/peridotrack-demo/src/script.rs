//! The scripted steps of the demonstration, from the start of the fleet to the audit.
//!
//! Callers send requests in the background throughout. After each step the script waits, and checks
//! refusals for lack of tokens soon after they occur, because token balances keep changing.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use eyre::{Result, WrapErr};
use peridotrack_kernel::{Kernel, event};
use peridotrack_standin::platform;

use crate::{
    audit, fleet,
    fleet::Fleet,
    load::{self, Observations},
    summary::Summary,
};

/// Index of the failure domain that is partitioned from the platform for a while.
const PARTITIONED_DOMAIN: usize = 1;
/// Index of the router that is killed, in the other domain.
const KILLED_ROUTER: usize = 1;
/// Purchased tokens, after the top-up, of the budget that runs out.
const TOP_UP_TOKENS: u64 = 40_000;
/// Longest wait for the callers to finish their last requests, in steps.
const MAX_EXIT_STEPS: u32 = 20;

/// Load and pace of the demonstration.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Number of callers that send requests concurrently.
    pub callers: usize,
    /// Time between two steps of the script, in milliseconds.
    pub step_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            callers: 16,
            step_ms: 1_200,
        }
    }
}

/// Result of the demonstration.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Counts of requests and of breaches of promises.
    pub summary: Summary,
    /// Timeline events of the operator and of all routers, ordered by wall-clock time.
    pub timeline: Vec<event::Recorded>,
}

/// Runs the demonstration on a new event loop.
///
/// A breach of a promise is reported in the summary, not as an error.
///
/// # Errors
///
/// Returns an error if a part of the fleet cannot start, or the configuration or the usage records
/// cannot be accessed.
pub fn run(options: Options) -> Result<Outcome> {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .wrap_err("build the event loop")?;
    runtime.block_on(run_script(options))
}

/// State that the steps of the script share.
struct Script {
    options: Options,
    operator: Rc<Kernel>,
    observations: Rc<RefCell<Observations>>,
    is_partitioned: bool,
    false_refusals: u64,
}

/// Runs all steps.
async fn run_script(options: Options) -> Result<Outcome> {
    let operator_options = peridotrack_kernel::Options {
        process: "operator".into(),
        ..Default::default()
    };
    let mut script = Script {
        options,
        operator: Kernel::open(operator_options)?,
        observations: Rc::default(),
        is_partitioned: false,
        false_refusals: 0,
    };
    let mut fleet = Fleet::spawn().await?;
    script.record_action("started the fleet");
    let is_load_over = Rc::new(Cell::new(false));
    let running_callers = start_callers(&fleet, &script, &is_load_over);
    script.observe_step(&fleet).await;
    script.set_partitioned(&fleet, true);
    script.observe_step(&fleet).await;
    script.kill_router(&mut fleet);
    script.observe_step(&fleet).await;
    let trial = &fleet::ACCOUNTS[1];
    fleet.top_up(trial.budget, TOP_UP_TOKENS).await?;
    script.record_action("topped up the budget that ran out");
    script.observe_step(&fleet).await;
    script.set_partitioned(&fleet, false);
    script.observe_step(&fleet).await;
    is_load_over.set(true);
    for _ in 0..MAX_EXIT_STEPS {
        if running_callers.get() == 0 {
            break;
        }
        script.observe_step(&fleet).await;
    }
    script.finish(&fleet).await
}

/// Starts the callers and returns the number of those that still run.
fn start_callers(fleet: &Fleet, script: &Script, is_load_over: &Rc<Cell<bool>>) -> Rc<Cell<usize>> {
    let addresses: Vec<SocketAddr> = fleet
        .routers
        .iter()
        .map(|router| router.daemon.caller_address())
        .collect();
    let addresses = Rc::new(addresses);
    let running_callers = Rc::new(Cell::new(script.options.callers));
    for caller in 0..script.options.callers {
        let (is_load_over, running_callers) =
            (Rc::clone(is_load_over), Rc::clone(&running_callers));
        let should_stop: Rc<dyn Fn() -> bool> = Rc::new(move || is_load_over.get());
        let load = load::run(
            caller,
            Rc::clone(&addresses),
            Rc::clone(&script.observations),
            should_stop,
        );
        monoio::spawn(async move {
            load.await;
            running_callers.set(running_callers.get() - 1);
        });
    }
    running_callers
}

impl Script {
    /// Records an operator action on the timeline.
    fn record_action(&self, text: &str) {
        let event = event::Event::new(event::Kind::OperatorAction);
        self.operator.note(event.with("action", text));
    }

    /// Cuts or restores the connection between [`PARTITIONED_DOMAIN`] and the platform.
    fn set_partitioned(&mut self, fleet: &Fleet, is_partitioned: bool) {
        self.is_partitioned = is_partitioned;
        let cut_listeners = if is_partitioned {
            vec![PARTITIONED_DOMAIN]
        } else {
            Vec::new()
        };
        let control = platform::Control {
            cut_listeners: Some(cut_listeners),
            ..Default::default()
        };
        fleet.platform.control(control);
        self.record_action(if is_partitioned {
            "cut java-east from the platform"
        } else {
            "joined java-east to the platform again"
        });
    }

    fn kill_router(&self, fleet: &mut Fleet) {
        let router = &mut fleet.routers[KILLED_ROUTER];
        router.daemon.kill();
        router.is_killed = true;
        self.record_action("killed java-west-2 without warning");
    }

    /// Waits for the duration of a step. Checks each refusal for lack of tokens soon after it occurred
    /// and counts it as false if the request's token bound is available to the router's failure domain.
    async fn observe_step(&mut self, fleet: &Fleet) {
        const CHECKS: u64 = 24;
        for _ in 0..CHECKS {
            monoio::time::sleep(Duration::from_millis(self.options.step_ms / CHECKS)).await;
            let shortages = std::mem::take(&mut self.observations.borrow_mut().unchecked_shortages);
            for shortage in shortages {
                let domain = fleet.routers[shortage.router].domain;
                let budget = fleet::ACCOUNTS[shortage.account].budget;
                let is_partitioned = self.is_partitioned && domain == PARTITIONED_DOMAIN;
                let reachable_tokens = fleet
                    .reachable_tokens(shortage.router, budget, is_partitioned)
                    .await;
                self.false_refusals += u64::from(reachable_tokens >= shortage.bound_tokens);
            }
        }
    }

    /// Stops the live routers, audits the promises and merges the timelines.
    async fn finish(self, fleet: &Fleet) -> Result<Outcome> {
        let mut summary = Summary {
            false_refusals: self.false_refusals,
            held_after_crash_tokens: killed_router_tokens(fleet),
            ..Summary::default()
        };
        self.record_action("stopped the fleet");
        for router in fleet.live_routers() {
            router.daemon.begin_stop();
        }
        for router in fleet.live_routers() {
            summary.cut_by_shutdown += router.daemon.stop().await.cut_requests as u64;
        }
        let observations = self.observations.take();
        audit::check(fleet, &observations, &mut summary).await?;
        let mut timeline = self.operator.timeline().after(0);
        for router in &fleet.routers {
            timeline.extend(router.daemon.kernel().timeline().after(0));
        }
        timeline.sort_by_key(|event| event.wall_us);
        Ok(Outcome { summary, timeline })
    }
}

/// Returns the tokens that killed routers held, reserved ones included.
fn killed_router_tokens(fleet: &Fleet) -> u64 {
    let killed = fleet.routers.iter().filter(|router| router.is_killed);
    killed
        .flat_map(|router| router.daemon.budget().snapshot())
        .map(|report| report.available_tokens + report.reserved_tokens)
        .sum()
}
