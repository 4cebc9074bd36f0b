//! The kernel object that services are given.

use std::{cell::Cell, rc::Rc};

use crate::{clock, event, log, meter, registry, timeline, timer};

/// How to open a kernel.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the process in events.
    pub process: Rc<str>,
    /// Events kept in the time line.
    pub timeline_events: usize,
    /// Where log lines go.
    pub log: log::Output,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            process: "router".into(),
            timeline_events: 1_024,
            log: log::Output::Off,
        }
    }
}

/// A kernel that cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The log cannot be opened.
    #[error("open the log: {0}")]
    Log(#[from] spdlog::Error),
}

/// What every service of a process shares.
pub struct Kernel {
    process: Rc<str>,
    clock: clock::Clock,
    timer: timer::Timer,
    registry: registry::Registry,
    timeline: timeline::Timeline,
    log: log::Log,
    meter: meter::Meter,
    sequence: Cell<u64>,
}

/// Construction and end.
impl Kernel {
    /// Opens a kernel. Its timer runs after [`Kernel::spawn_timer`].
    pub fn open(options: Options) -> Result<Rc<Self>, Error> {
        let log = log::Log::open(options.log)?;
        Ok(Self::open_with_log(options, log))
    }

    /// Opens a kernel that writes to an open log.
    pub fn open_with_log(options: Options, log: log::Log) -> Rc<Self> {
        let clock = clock::Clock::start();
        Rc::new(Self {
            process: options.process,
            clock,
            timer: timer::Timer::new(clock),
            registry: registry::Registry::default(),
            timeline: timeline::Timeline::new(options.timeline_events),
            log,
            meter: meter::Meter::open(),
            sequence: Cell::new(0),
        })
    }

    /// Starts the timer service on the running loop.
    pub fn spawn_timer(&self) {
        self.timer.spawn();
    }

    /// Stops the timer and drops every service.
    pub fn stop(&self) {
        self.timer.stop();
        self.registry.clear();
    }
}

/// Access.
impl Kernel {
    /// Returns monotonic microseconds.
    pub fn now_us(&self) -> u64 {
        self.clock.now_us()
    }

    /// Returns whether the kernel was stopped.
    pub fn is_stopped(&self) -> bool {
        self.timer.is_stopped()
    }

    /// Returns the clock.
    pub fn clock(&self) -> clock::Clock {
        self.clock
    }

    /// Returns the timer service.
    pub fn timer(&self) -> &timer::Timer {
        &self.timer
    }

    /// Returns the registry of services.
    pub fn registry(&self) -> &registry::Registry {
        &self.registry
    }

    /// Returns the time line.
    pub fn timeline(&self) -> &timeline::Timeline {
        &self.timeline
    }

    /// Returns the metrics.
    pub fn meter(&self) -> &meter::Meter {
        &self.meter
    }
}

/// Events.
impl Kernel {
    /// Records an event in the time line and the log and returns its sequence number.
    pub fn note(&self, event: event::Event) -> u64 {
        let dropped_lines = self.log.take_dropped();
        if dropped_lines > 0 {
            let dropped = event::Event::new(event::Kind::LogLinesDropped);
            self.record(dropped.with("lines", dropped_lines));
        }
        self.record(event)
    }

    fn record(&self, event: event::Event) -> u64 {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        let recorded = event.record(Rc::clone(&self.process), sequence, self.clock.wall_us());
        self.log.write(self.clock.now_us(), &recorded);
        self.timeline.push(recorded);
        sequence
    }
}
