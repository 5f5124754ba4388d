//! `record.txt`: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<File>,
    lines: Mutex<Vec<(f64, String)>>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        let file = File::create(path).expect("the folder of the case can be written");
        Arc::new(Self {
            start: Instant::now(),
            file: Mutex::new(file),
            lines: Mutex::default(),
        })
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let at = self.now();
        self.lines.lock().unwrap().push((at, text.to_owned()));
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }

    /// Returns the lines that begin with `start`.
    pub fn lines_with(&self, start: &str) -> Vec<(f64, String)> {
        let lines = self.lines.lock().unwrap();
        lines
            .iter()
            .filter(|(_, text)| text.starts_with(start))
            .cloned()
            .collect()
    }
}
