//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Mutex::new(BufWriter::new(File::create(path)?)),
        })
    }

    /// Writes a line with the seconds since the start.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("not poisoned");
        let seconds = self.start.elapsed().as_secs_f64();
        let _ = writeln!(file, "{seconds:9.3} {text}");
    }

    /// Writes a line that is also shown.
    pub fn show(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn finish(&self) {
        let _ = self.file.lock().expect("not poisoned").flush();
    }
}
