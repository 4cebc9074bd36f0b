//! Collects the output of a child process in memory.

use std::{
    collections::VecDeque,
    io::{BufRead, BufReader, Read},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

/// Maximum number of lines kept per stream; the oldest are dropped.
const MAX_LINES: usize = 10_000;

/// Last lines of one output stream, filled by a reader thread.
#[derive(Debug, Clone, Default)]
pub(crate) struct Output {
    lines: Arc<Mutex<VecDeque<String>>>,
    complete: Arc<AtomicBool>,
}

impl Output {
    /// Reads `stream` to its end on a separate thread, so that the process never blocks on a full
    /// pipe.
    pub(crate) fn collect(stream: impl Read + Send + 'static) -> Self {
        let output = Self::default();
        let collected = output.clone();
        thread::spawn(move || {
            for line in BufReader::new(stream).split(b'\n').map_while(Result::ok) {
                collected.push(String::from_utf8_lossy(&line).into_owned());
            }
            collected.complete.store(true, Ordering::Release);
        });
        output
    }

    /// Returns the lines read so far, as far as they are kept.
    pub(crate) fn lines(&self) -> Vec<String> {
        self.lock().iter().cloned().collect()
    }

    /// Returns whether the stream has ended, so that a later [`Output::lines`] returns all lines.
    pub(crate) fn is_complete(&self) -> bool {
        self.complete.load(Ordering::Acquire)
    }

    fn push(&self, line: String) {
        let mut lines = self.lock();
        if lines.len() == MAX_LINES {
            lines.pop_front();
        }
        lines.push_back(line);
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<String>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
