//! Structured logs: one JSON object a line.

use std::{io::Write, sync::Arc};

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
    /// Standard output.
    Stdout,
}

/// A logger for numbered events.
pub struct Log {
    logger: Option<Logger>,
}

impl Log {
    /// Opens a log on `output`.
    pub fn open(output: Output) -> Result<Self, spdlog::Error> {
        match output {
            Output::Off => Ok(Self { logger: None }),
            Output::Stderr => Self::open_target(std::io::stderr()),
            Output::Stdout => Self::open_target(std::io::stdout()),
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
        })
    }

    /// Writes one event, unless it is a detail of normal work.
    pub(crate) fn write(&self, recorded: &event::Recorded) {
        let Some(logger) = &self.logger else { return };
        if recorded.severity == event::Severity::Debug {
            return;
        }
        let Ok(line) = serde_json::to_string(recorded) else {
            return;
        };
        let level = match recorded.severity {
            event::Severity::Debug => Level::Debug,
            event::Severity::Info => Level::Info,
            event::Severity::Warn => Level::Warn,
            event::Severity::Error => Level::Error,
        };
        spdlog::log!(logger: logger, level, "{line}");
    }
}
