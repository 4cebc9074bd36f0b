//! What was sent, answered and run: `record.txt` of a case.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::{Instant, SystemTime, UNIX_EPOCH},
};

#[derive(Clone)]
pub struct Record {
    begin: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(directory: &Path) -> io::Result<Self> {
        Ok(Self {
            begin: Instant::now(),
            file: Arc::new(Mutex::new(File::create(directory.join("record.txt"))?)),
        })
    }

    pub fn wall_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |since| since.as_millis() as u64)
    }

    pub fn note(&self, text: &str) {
        let seconds = self.begin.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:9.3} s  {text}");
    }

    /// A line that is also printed.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.note(text);
    }
}
