//! The kernel object that all services of a process share.
//!
//! It owns the clock, the timer, the registry, the timeline, the log and the metrics, and records
//! events. It relies on a running `monoio` runtime from [`Kernel::spawn_timer`] on.

use std::{cell::Cell, rc::Rc};

use crate::{clock, event, log, meter, registry, timeline, timer};

/// Options for opening a kernel.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the process in recorded events.
    pub process: Rc<str>,
    /// Maximum number of events in the timeline; the oldest are dropped first.
    pub timeline_events: usize,
    /// Destination of log lines; [`Kernel::open_with_log`] ignores it.
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

/// Reason why a kernel cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The log cannot be opened.
    #[error("cannot open the log: {0}")]
    Log(#[from] spdlog::Error),
}

/// Facilities that all services of a process share.
pub struct Kernel {
    process: Rc<str>,
    clock: clock::Clock,
    timer: timer::Timer,
    registry: registry::Registry,
    timeline: timeline::Timeline,
    log: log::Log,
    meter: meter::Meter,
    /// Sequence number of the last recorded event; 0 before the first.
    last_sequence: Cell<u64>,
}

/// Opens and stops the kernel.
impl Kernel {
    /// Opens a kernel. Its timer calls no subscriber before [`Kernel::spawn_timer`].
    ///
    /// # Errors
    ///
    /// Fails if the log cannot be opened.
    pub fn open(options: Options) -> Result<Rc<Self>, Error> {
        let log = log::Log::open(options.log)?;
        Ok(Self::open_with_log(options, log))
    }

    /// Opens a kernel that writes to `log`; `options.log` is ignored.
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
            last_sequence: Cell::new(0),
        })
    }

    /// Spawns the timer's task on the current `monoio` runtime.
    pub fn spawn_timer(&self) {
        self.timer.spawn();
    }

    /// Stops the timer and unregisters all services.
    pub fn stop(&self) {
        self.timer.stop();
        self.registry.clear();
    }
}

/// Returns the shared facilities.
impl Kernel {
    /// Returns the monotonic time in microseconds.
    pub fn now_us(&self) -> u64 {
        self.clock.now_us()
    }

    /// Returns whether [`Kernel::stop`] was called.
    pub fn is_stopped(&self) -> bool {
        self.timer.is_stopped()
    }

    /// Returns a copy of the clock.
    pub fn clock(&self) -> clock::Clock {
        self.clock
    }

    /// Returns the timer service for periodic callbacks and waits.
    pub fn timer(&self) -> &timer::Timer {
        &self.timer
    }

    /// Returns the registry in which services look each other up.
    pub fn registry(&self) -> &registry::Registry {
        &self.registry
    }

    /// Returns the timeline of recorded events.
    pub fn timeline(&self) -> &timeline::Timeline {
        &self.timeline
    }

    /// Returns the meter, which creates and renders metrics.
    pub fn meter(&self) -> &meter::Meter {
        &self.meter
    }
}

/// Records events.
impl Kernel {
    /// Records an event in the timeline and the log and returns its sequence number.
    ///
    /// If log lines were dropped, an event that counts them is recorded first, at most once a second.
    pub fn note(&self, event: event::Event) -> u64 {
        let dropped = self.log.take_dropped_lines(self.clock.now_us());
        if !dropped.is_empty() {
            let lines: u64 = dropped.values().sum();
            let kinds = event::Kind::ALL.iter();
            let events: Vec<_> = kinds
                .filter_map(|kind| Some((kind.name(), dropped.get(&kind.number())?)))
                .map(|(name, lines)| format!("{name}={lines}"))
                .collect();
            let notice = event::Event::new(event::Kind::LogLinesDropped)
                .with("lines", lines)
                .with("events", events.join(" "));
            self.record(notice);
        }
        self.record(event)
    }

    /// Assigns the next sequence number, then writes the event to the log and the timeline.
    fn record(&self, event: event::Event) -> u64 {
        let sequence = self.last_sequence.get() + 1;
        self.last_sequence.set(sequence);
        let recorded = event.record(Rc::clone(&self.process), sequence, self.clock.wall_us());
        self.log.write(self.clock.now_us(), &recorded);
        self.timeline.push(recorded);
        sequence
    }
}
