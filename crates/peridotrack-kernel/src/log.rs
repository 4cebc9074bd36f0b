//! Structured logs: one JSON object a line.

pub mod bounded;

use std::{cell::RefCell, io::Write, os::fd::AsFd, sync::Arc};

use spdlog::{Level, LevelFilter, Logger, formatter, sink, sink::Sink};

use crate::event;

/// Where log lines go.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Output {
    /// Nowhere.
    #[default]
    Off,
    /// Standard error.
    Stderr,
    /// Standard output, bounded and without ever waiting for its reader.
    Stdout,
}

/// A logger for numbered events.
pub struct Log {
    logger: Option<Logger>,
    allowance: Option<RefCell<bounded::Allowance>>,
    dropped: bounded::Dropped,
}

impl Log {
    /// Opens a log on `output`.
    pub fn open(output: Output) -> Result<Self, spdlog::Error> {
        match output {
            Output::Off => Ok(Self {
                logger: None,
                allowance: None,
                dropped: bounded::Dropped::default(),
            }),
            Output::Stderr => Self::open_target(std::io::stderr()),
            Output::Stdout => Self::open_bounded(std::io::stdout()),
        }
    }

    /// Opens a log that writes lines to `target`.
    pub fn open_target<W: Write + Send + 'static>(target: W) -> Result<Self, spdlog::Error> {
        let line = formatter::PatternFormatter::new(formatter::pattern!("{payload}{eol}"));
        let sink: Arc<dyn Sink> = sink::WriteSink::builder()
            .target(target)
            .formatter(line)
            .build_arc()?;
        let logger = Logger::builder()
            .sink(sink)
            .level_filter(LevelFilter::All)
            .flush_level_filter(LevelFilter::All)
            .build()?;
        Ok(Self {
            logger: Some(logger),
            allowance: None,
            dropped: bounded::Dropped::default(),
        })
    }

    /// Opens a log that writes lines to `target` as far as it takes them at once, within
    /// [`bounded::BYTES_PER_S`].
    pub fn open_bounded<W: AsFd + Send + 'static>(target: W) -> Result<Self, spdlog::Error> {
        let dropped = bounded::Dropped::default();
        let log = Self::open_target(bounded::Ready::new(target, dropped.clone()))?;
        Ok(Self {
            allowance: Some(RefCell::new(bounded::Allowance::new(0))),
            dropped,
            ..log
        })
    }

    /// Returns the lines that were left out since the last call.
    pub(crate) fn take_dropped(&self) -> u64 {
        self.dropped.take()
    }

    /// Writes one event at a monotonic time, unless it is a detail of normal work.
    pub(crate) fn write(&self, now_us: u64, recorded: &event::Recorded) {
        let Some(logger) = &self.logger else { return };
        let level = match recorded.severity {
            event::Severity::Debug => return,
            event::Severity::Info => Level::Info,
            event::Severity::Warn => Level::Warn,
            event::Severity::Error => Level::Error,
        };
        let Ok(line) = serde_json::to_string(recorded) else {
            return self.dropped.add();
        };
        let is_urgent = recorded.severity > event::Severity::Info;
        if let Some(allowance) = &self.allowance
            && !allowance.borrow_mut().take(now_us, line.len(), is_urgent)
        {
            return self.dropped.add();
        }
        spdlog::log!(logger: logger, level, "{line}");
    }
}
