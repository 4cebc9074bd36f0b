//! The structured log: one JSON object per line for each event above `debug`.
//!
//! A log on standard error writes every line; a log on standard output is rate-limited and drops
//! lines rather than block, see [`bounded`].

pub mod bounded;

use std::{cell::RefCell, collections::BTreeMap, io::Write, os::fd::AsFd, sync::Arc};

use spdlog::{Level, LevelFilter, Logger, formatter, sink, sink::Sink};

use crate::event;

/// Destination of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Output {
    /// Nothing is logged.
    #[default]
    Off,
    /// Standard error; writing blocks while its reader is slow.
    Stderr,
    /// Standard output, rate-limited; lines that would block are dropped.
    Stdout,
}

/// Writes recorded events as JSON lines.
pub struct Log {
    logger: Option<Logger>,
    rate_limiter: Option<RefCell<bounded::RateLimiter>>,
    dropped: bounded::DroppedLines,
}

impl Log {
    /// Opens a log on `output`.
    ///
    /// # Errors
    ///
    /// Fails if the logger cannot be built.
    pub fn open(output: Output) -> Result<Self, spdlog::Error> {
        match output {
            Output::Off => Ok(Self {
                logger: None,
                rate_limiter: None,
                dropped: bounded::DroppedLines::default(),
            }),
            Output::Stderr => Self::open_target(std::io::stderr()),
            Output::Stdout => Self::open_bounded(std::io::stdout()),
        }
    }

    /// Opens a log that writes every line to `target`, and blocks while `target` does.
    ///
    /// # Errors
    ///
    /// Fails if the logger cannot be built.
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
            rate_limiter: None,
            dropped: bounded::DroppedLines::default(),
        })
    }

    /// Opens a log that writes lines to `target` within [`bounded::BYTES_PER_S`] and drops those
    /// that `target` does not accept at once.
    ///
    /// # Errors
    ///
    /// Fails if the logger cannot be built.
    pub fn open_bounded<W: AsFd + Send + 'static>(target: W) -> Result<Self, spdlog::Error> {
        let dropped = bounded::DroppedLines::default();
        let log = Self::open_target(bounded::NonBlockingWriter::new(target, dropped.clone()))?;
        Ok(Self {
            rate_limiter: Some(RefCell::new(bounded::RateLimiter::new(0))),
            dropped,
            ..log
        })
    }

    /// Returns the lines dropped since they were stated last, by number of the event; none if it is
    /// too soon to state them again.
    pub(crate) fn take_dropped_lines(&self, now_us: u64) -> BTreeMap<u16, u64> {
        self.dropped.take(now_us)
    }

    /// Writes one event unless its severity is `debug`.
    ///
    /// `now_us` is the monotonic time, which the rate limit uses.
    pub(crate) fn write(&self, now_us: u64, recorded: &event::Recorded) {
        let Some(logger) = &self.logger else { return };
        let level = match recorded.severity {
            event::Severity::Debug => return,
            event::Severity::Info => Level::Info,
            event::Severity::Warn => Level::Warn,
            event::Severity::Error => Level::Error,
        };
        self.dropped.begin(recorded.number);
        let Ok(line) = serde_json::to_string(recorded) else {
            return self.dropped.add();
        };
        let is_urgent = recorded.severity > event::Severity::Info;
        if let Some(rate_limiter) = &self.rate_limiter
            && !rate_limiter
                .borrow_mut()
                .try_take(now_us, recorded.number, line.len(), is_urgent)
        {
            return self.dropped.add();
        }
        spdlog::log!(logger: logger, level, "{line}");
    }
}
