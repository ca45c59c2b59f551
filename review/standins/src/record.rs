//! The record of a case: what was sent, answered and run, with times.

use std::fmt::Display;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Collects lines and writes each to the record's file.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record { began: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    /// The time since the case began.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn note(&self, line: impl Display) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = writeln!(file, "{at:8.3} s  {line}") {
            eprintln!("the record cannot be written: {error}");
        }
    }
}
