//! Lines of `record.txt`, each with the time since the start in milliseconds.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

pub struct Record {
    start: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Mutex::default(),
        }
    }

    /// Returns the time since the start of the case.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn now_ms(&self) -> u64 {
        self.now().as_millis() as u64
    }

    pub fn note(&self, text: String) {
        let line = format!("{:>7} {text}", self.now_ms());
        self.lines.lock().unwrap().push(line);
    }

    pub fn last(&self) -> String {
        self.lines.lock().unwrap().last().cloned().unwrap_or_default()
    }

    pub fn write(&self, path: &str) {
        let text = self.lines.lock().unwrap().join("\n");
        if let Err(error) = std::fs::write(path, text + "\n") {
            eprintln!("cannot write {path}: {error}");
        }
    }
}
