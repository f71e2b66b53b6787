//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Returns the milliseconds since the start of the record.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Writes a line with the time in seconds.
    pub fn line(&self, text: &str) {
        let ms = self.now_ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:3}.{:03} {text}", ms / 1000, ms % 1000);
    }

    /// Writes a line and prints it.
    pub fn tell(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
