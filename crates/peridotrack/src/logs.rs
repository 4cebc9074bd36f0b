//! Reads events from the log files of router processes.

use std::{collections::BTreeMap, fs, path::PathBuf, rc::Rc};

use peridotrack_kernel::event;

use crate::timeline::{ClockOffset, MergedEvent, ProcessEvents, merge};

/// A log file that cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("cannot read the log {}: {source}", path.display())]
pub struct Error {
    /// Path of the file.
    pub path: PathBuf,
    /// Error of the operating system.
    pub source: std::io::Error,
}

/// Merged events of several log files.
#[derive(Debug, Clone, Default)]
pub struct Logs {
    /// Events by time; those of one process keep their logged order, even if its clock was set
    /// back.
    pub events: Vec<MergedEvent>,
    /// Number of lines that hold no event.
    pub other_lines: usize,
}

/// Reads log files. A line may have a prefix before its event, as log collectors add.
///
/// Event times are not corrected, as logs do not show the offsets of the processes' clocks.
///
/// # Errors
///
/// Returns an error for the first file that cannot be read.
pub fn read(paths: &[PathBuf]) -> Result<Logs, Error> {
    let mut processes: BTreeMap<Rc<str>, Vec<event::Recorded>> = BTreeMap::new();
    let mut other_lines = 0;
    for path in paths {
        let text = fs::read(path).map_err(|source| Error {
            path: path.clone(),
            source,
        })?;
        for line in String::from_utf8_lossy(&text).lines() {
            match parse_line(line) {
                Some(event) => {
                    let process = Rc::clone(&event.process);
                    processes.entry(process).or_default().push(event);
                }
                None => other_lines += 1,
            }
        }
    }
    let offset = ClockOffset {
        ahead_us: 0,
        bound_us: 0,
    };
    let sources = processes
        .into_values()
        .map(|events| ProcessEvents { offset, events });
    Ok(Logs {
        events: merge(sources.collect()),
        other_lines,
    })
}

fn parse_line(line: &str) -> Option<event::Recorded> {
    let begin = line.find("{\"process\"")?;
    serde_json::from_str(&line[begin..]).ok()
}
