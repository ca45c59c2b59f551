//! What a case saw, with times since its start.

use std::fmt::Write as _;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A log of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<(u128, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { began: Instant::now(), lines: Arc::default() }
    }

    /// Milliseconds since the case began.
    pub fn now(&self) -> u128 {
        self.began.elapsed().as_millis()
    }

    pub fn note(&self, line: impl Into<String>) {
        let at = self.now();
        self.lines.lock().expect("no thread panics").push((at, line.into()));
    }

    /// All lines in the order of their times.
    pub fn text(&self) -> String {
        let mut lines = self.lines.lock().expect("no thread panics").clone();
        lines.sort_by_key(|(at, _)| *at);
        lines.iter().fold(String::new(), |mut text, (at, line)| {
            // Writing to a string cannot fail.
            let _written = writeln!(text, "{at:>6} ms  {line}");
            text
        })
    }
}
