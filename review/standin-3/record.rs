//! What was sent, answered and run: `record.txt` of a case, and the counts that its check reads.

use std::{
    collections::BTreeMap,
    fs::File,
    io::{self, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::{Instant, SystemTime, UNIX_EPOCH},
};

/// One arrival of a request at a server that ran it.
#[derive(Clone)]
pub struct Run {
    pub at_ms: u64,
    pub server: String,
    pub tenant: String,
    pub prompt_tokens: u64,
}

struct Inner {
    file: File,
    runs: Vec<Run>,
}

#[derive(Clone)]
pub struct Record {
    begin: Instant,
    inner: Arc<Mutex<Inner>>,
}

impl Record {
    pub fn create(directory: &Path) -> io::Result<Self> {
        let file = File::create(directory.join("record.txt"))?;
        let runs = Vec::new();
        Ok(Self {
            begin: Instant::now(),
            inner: Arc::new(Mutex::new(Inner { file, runs })),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.begin.elapsed().as_millis() as u64
    }

    pub fn wall_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |since| since.as_millis() as u64)
    }

    pub fn note(&self, text: &str) {
        let now_ms = self.now_ms();
        let mut inner = self.inner.lock().unwrap();
        let _ = writeln!(inner.file, "{:9.3} s  {text}", now_ms as f64 / 1e3);
    }

    /// A line that is also printed.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.note(text);
    }

    pub fn ran(&self, server: &str, request: &str, tenant: &str, prompt_tokens: u64) {
        self.note(&format!("{server} runs {request} of {tenant}"));
        let run = Run {
            at_ms: self.now_ms(),
            server: server.to_owned(),
            tenant: tenant.to_owned(),
            prompt_tokens,
        };
        self.inner.lock().unwrap().runs.push(run);
    }

    pub fn runs(&self) -> Vec<Run> {
        self.inner.lock().unwrap().runs.clone()
    }

    /// Prompt tokens that ran, by tenant.
    pub fn prompt_tokens(&self) -> BTreeMap<String, u64> {
        let mut sums = BTreeMap::new();
        for run in self.runs() {
            *sums.entry(run.tenant).or_default() += run.prompt_tokens;
        }
        sums
    }
}
