//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Record of a case; clones share it.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    started: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &str) -> std::io::Result<Self> {
        let file = BufWriter::new(File::create(path)?);
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        })
    }

    /// Returns the seconds since the start of the case.
    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Adds a line.
    pub fn add(&self, line: &str) {
        let mut file = self.file.lock().expect("record");
        let _ = writeln!(file, "{:8.3} {line}", self.seconds());
    }

    /// Adds a line and prints it.
    pub fn say(&self, line: &str) {
        self.add(line);
        println!("{:8.3} {line}", self.seconds());
    }

    /// Writes out what is buffered.
    pub fn flush(&self) {
        let _ = self.file.lock().expect("record").flush();
    }
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
