//! What was sent, answered and run, with the time since the start of the script.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Writes `record.txt`; clones share the file.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(BufWriter::new(File::create(path)?)));
        let started = Instant::now();
        Ok(Self { started, file })
    }

    /// Time since the start of the script.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let at = self.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    /// Writes one line, also to standard output.
    pub fn say(&self, text: &str) {
        println!("{:9.3} {text}", self.elapsed().as_secs_f64());
        self.line(text);
        self.flush();
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
