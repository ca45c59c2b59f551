//! Writes log lines from a thread of its own, so that a slow reader delays no request.

use std::io::{self, Write};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, json_format};
use log::Record;

/// Lines that wait for the reader; more are dropped.
const MOST_WAITING: usize = 4_096;

/// Lines a second; more are dropped.
const MOST_A_SECOND: u64 = 2_000;

/// How long a flush waits for the reader.
const FLUSH_TIME: Duration = Duration::from_millis(200);

static TOTAL_DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines dropped since the start.
pub fn lines_dropped() -> u64 {
    TOTAL_DROPPED.load(Ordering::Relaxed)
}

#[derive(Debug)]
struct Second {
    began: Instant,
    lines: u64,
}

/// Writes log lines from a thread of its own.
pub(super) struct LineWriter {
    lines: Sender<Vec<u8>>,
    second: Mutex<Second>,
    dropped: AtomicU64,
}

impl LineWriter {
    /// Starts the thread; without it all lines are dropped.
    pub fn start() -> LineWriter {
        let (lines, waiting) = async_channel::bounded(MOST_WAITING);
        let spawned = thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&waiting));
        if let Err(error) = spawned {
            eprintln!("the log thread cannot be started: {error}");
        }
        let second = Mutex::new(Second { began: Instant::now(), lines: 0 });
        LineWriter { lines, second, dropped: AtomicU64::new(0) }
    }

    fn has_room(&self) -> bool {
        let Ok(mut second) = self.second.lock() else {
            return false;
        };
        if second.began.elapsed() >= Duration::from_secs(1) {
            *second = Second { began: Instant::now(), lines: 0 };
        }
        second.lines += 1;
        second.lines <= MOST_A_SECOND
    }

    fn send(&self, mut line: Vec<u8>) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let event = crate::Event::LinesDropped;
            let note = format!("\n{{\"event\":{},\"text\":\"{}\",\"lines\":{dropped}}}", event.number(), event.name());
            line.extend_from_slice(note.as_bytes());
        }
        line.push(b'\n');
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
            TOTAL_DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_lines(waiting: &Receiver<Vec<u8>>) {
    while let Ok(mut batch) = waiting.recv_blocking() {
        while let Ok(line) = waiting.try_recv() {
            batch.extend_from_slice(&line);
        }
        // Nobody is left to be told when standard output is closed.
        let _written = io::stdout().write_all(&batch);
    }
}

impl LogWriter for LineWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        if !self.has_room() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            TOTAL_DROPPED.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = Vec::with_capacity(256);
        json_format(&mut line, now, record)?;
        self.send(line);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let began = Instant::now();
        while !self.lines.is_empty() && began.elapsed() < FLUSH_TIME {
            thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }
}
