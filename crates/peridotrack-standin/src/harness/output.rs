//! Collects what a process prints.

use std::{
    collections::VecDeque,
    io::{BufRead, BufReader, Read},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

/// Lines kept of each stream; the oldest go first.
const MAX_LINES: usize = 10_000;

/// The last lines of one stream.
#[derive(Debug, Clone, Default)]
pub(crate) struct Output {
    lines: Arc<Mutex<VecDeque<String>>>,
    complete: Arc<AtomicBool>,
}

impl Output {
    /// Reads `stream` on a thread of its own until it ends, so that the process never blocks.
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

    /// The lines so far.
    pub(crate) fn lines(&self) -> Vec<String> {
        self.lock().iter().cloned().collect()
    }

    /// Whether the stream ended: no line will follow those that [`Output::lines`] gives next.
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
