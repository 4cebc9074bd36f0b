//! The course of the demonstration.

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
    load::{self, Seen},
    summary::Summary,
};

/// Index of the failure domain that is cut from the platform.
const CUT_DOMAIN: usize = 1;
/// Index of the router that is killed.
const KILLED_ROUTER: usize = 1;
/// What the budget that runs out is topped up to, in tokens.
const TOP_UP_TOKENS: u64 = 40_000;
/// Longest wait for the callers to end after the load, in steps.
const CALLER_STEPS: u32 = 20;

/// How long and how hard the demonstration runs.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Callers that make requests at the same time.
    pub callers: usize,
    /// Time between two steps of the course, in milliseconds.
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

/// What happened.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Counts.
    pub summary: Summary,
    /// Events of all processes, by time.
    pub timeline: Vec<event::Recorded>,
}

/// Runs the demonstration on a loop of its own.
pub fn run(options: Options) -> Result<Outcome> {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .wrap_err("build the event loop")?;
    runtime.block_on(course(options))
}

/// What the steps of the course work on.
struct Course {
    options: Options,
    operator: Rc<Kernel>,
    seen: Rc<RefCell<Seen>>,
    is_cut: bool,
    false_refusals: u64,
}

async fn course(options: Options) -> Result<Outcome> {
    let operator_options = peridotrack_kernel::Options {
        process: "operator".into(),
        ..Default::default()
    };
    let mut course = Course {
        options,
        operator: Kernel::open(operator_options)?,
        seen: Rc::default(),
        is_cut: false,
        false_refusals: 0,
    };
    let mut fleet = Fleet::spawn().await?;
    course.act("started the fleet");
    let is_over = Rc::new(Cell::new(false));
    let running = start_callers(&fleet, &course, &is_over);
    course.step(&fleet).await;
    course.cut(&fleet, true);
    course.step(&fleet).await;
    course.kill(&mut fleet);
    course.step(&fleet).await;
    let trial = &fleet::ACCOUNTS[1];
    fleet.top_up(trial.budget, TOP_UP_TOKENS).await?;
    course.act("topped up the budget that ran out");
    course.step(&fleet).await;
    course.cut(&fleet, false);
    course.step(&fleet).await;
    is_over.set(true);
    for _ in 0..CALLER_STEPS {
        if running.get() == 0 {
            break;
        }
        course.step(&fleet).await;
    }
    course.finish(&fleet).await
}

fn start_callers(fleet: &Fleet, course: &Course, is_over: &Rc<Cell<bool>>) -> Rc<Cell<usize>> {
    let addresses: Vec<SocketAddr> = fleet
        .routers
        .iter()
        .map(|router| router.daemon.caller_address())
        .collect();
    let addresses = Rc::new(addresses);
    let running = Rc::new(Cell::new(course.options.callers));
    for caller in 0..course.options.callers {
        let (is_over, running) = (Rc::clone(is_over), Rc::clone(&running));
        let until: Rc<dyn Fn() -> bool> = Rc::new(move || is_over.get());
        let load = load::run(
            caller,
            Rc::clone(&addresses),
            Rc::clone(&course.seen),
            until,
        );
        monoio::spawn(async move {
            load.await;
            running.set(running.get() - 1);
        });
    }
    running
}

impl Course {
    fn act(&self, text: &str) {
        let event = event::Event::new(event::Kind::OperatorAction);
        self.operator.note(event.with("action", text));
    }

    fn cut(&mut self, fleet: &Fleet, is_cut: bool) {
        self.is_cut = is_cut;
        let cut_listeners = if is_cut { vec![CUT_DOMAIN] } else { Vec::new() };
        let control = platform::Control {
            cut_listeners: Some(cut_listeners),
            ..Default::default()
        };
        fleet.platform.control(control);
        self.act(if is_cut {
            "cut java-east from the platform"
        } else {
            "joined java-east to the platform again"
        });
    }

    fn kill(&self, fleet: &mut Fleet) {
        let router = &mut fleet.routers[KILLED_ROUTER];
        router.daemon.kill();
        router.is_killed = true;
        self.act("killed java-west-2 without warning");
    }

    /// Lets time pass and looks at each refusal for lack of tokens soon after it came.
    async fn step(&mut self, fleet: &Fleet) {
        const LOOKS: u64 = 24;
        for _ in 0..LOOKS {
            monoio::time::sleep(Duration::from_millis(self.options.step_ms / LOOKS)).await;
            let shortages = std::mem::take(&mut self.seen.borrow_mut().short_of_tokens);
            for shortage in shortages {
                let domain = fleet.routers[shortage.router].domain;
                let budget = fleet::ACCOUNTS[shortage.account].budget;
                let is_cut = self.is_cut && domain == CUT_DOMAIN;
                let reachable_tokens = fleet
                    .reachable_tokens(shortage.router, budget, is_cut)
                    .await;
                self.false_refusals += u64::from(reachable_tokens >= shortage.bound_tokens);
            }
        }
    }

    async fn finish(self, fleet: &Fleet) -> Result<Outcome> {
        let mut summary = Summary {
            false_refusals: self.false_refusals,
            held_after_crash_tokens: held_tokens(fleet),
            ..Summary::default()
        };
        self.act("stopped the fleet");
        for router in fleet.live_routers() {
            router.daemon.begin_stop();
        }
        for router in fleet.live_routers() {
            summary.cut_by_shutdown += router.daemon.stop().await.cut_requests as u64;
        }
        let seen = self.seen.take();
        audit::check(fleet, &seen, &mut summary).await?;
        let mut timeline = self.operator.timeline().after(0);
        for router in &fleet.routers {
            timeline.extend(router.daemon.kernel().timeline().after(0));
        }
        timeline.sort_by_key(|event| event.wall_us);
        Ok(Outcome { summary, timeline })
    }
}

fn held_tokens(fleet: &Fleet) -> u64 {
    let killed = fleet.routers.iter().filter(|router| router.is_killed);
    killed
        .flat_map(|router| router.daemon.budget().snapshot())
        .map(|report| report.available_tokens + report.reserved_tokens)
        .sum()
}
