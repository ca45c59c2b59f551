//! Writes log lines from a separate thread, so that a slow reader of standard output delays no request.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, json_format};
use log::Record;

/// The most lines that wait for the reader; further ones are dropped.
const MAX_QUEUED_LINES: usize = 4_096;

/// The most lines per second; further ones are dropped.
const MAX_LINES_PER_SECOND: u64 = 2_000;

/// How long a flush waits until all lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

static TOTAL_DROPPED: AtomicU64 = AtomicU64::new(0);

/// The number of lines dropped since the process started.
pub fn lines_dropped() -> u64 {
    TOTAL_DROPPED.load(Ordering::Relaxed)
}

/// Lines counted in the current second.
#[derive(Debug)]
struct RateWindow {
    began: Instant,
    lines: u64,
}

/// Queues log lines for the writing thread, and drops those over the limits.
pub(super) struct LineWriter {
    lines: Sender<Vec<u8>>,
    /// Lines that the writing thread has not written yet.
    unwritten: Arc<AtomicU64>,
    window: Mutex<RateWindow>,
    dropped: AtomicU64,
}

impl LineWriter {
    /// Starts the writing thread; if that fails all lines are dropped.
    pub fn start() -> LineWriter {
        let (lines, queue) = async_channel::bounded(MAX_QUEUED_LINES);
        let unwritten = Arc::new(AtomicU64::new(0));
        let counted = unwritten.clone();
        let spawned = thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&queue, &counted));
        if let Err(error) = spawned {
            eprintln!("the log thread cannot be started: {error}");
        }
        let window = Mutex::new(RateWindow { began: Instant::now(), lines: 0 });
        LineWriter { lines, unwritten, window, dropped: AtomicU64::new(0) }
    }

    fn is_within_rate(&self) -> bool {
        let Ok(mut window) = self.window.lock() else {
            return false;
        };
        if window.began.elapsed() >= Duration::from_secs(1) {
            *window = RateWindow { began: Instant::now(), lines: 0 };
        }
        window.lines += 1;
        window.lines <= MAX_LINES_PER_SECOND
    }

    fn send(&self, mut line: Vec<u8>) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let event = crate::Event::LinesDropped;
            let note = format!("\n{{\"event\":{},\"text\":\"{}\",\"lines\":{dropped}}}", event.number(), event.name());
            line.extend_from_slice(note.as_bytes());
        }
        line.push(b'\n');
        self.unwritten.fetch_add(1, Ordering::SeqCst);
        if self.lines.try_send(line).is_err() {
            self.unwritten.fetch_sub(1, Ordering::SeqCst);
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
            TOTAL_DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_lines(queue: &Receiver<Vec<u8>>, unwritten: &AtomicU64) {
    while let Ok(mut batch) = queue.recv_blocking() {
        let mut lines = 1;
        while let Ok(line) = queue.try_recv() {
            batch.extend_from_slice(&line);
            lines += 1;
        }
        // Once standard output is closed there is nowhere to report the error.
        let _written = io::stdout().write_all(&batch);
        unwritten.fetch_sub(lines, Ordering::SeqCst);
    }
}

impl LogWriter for LineWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        if !self.is_within_rate() {
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
        while self.unwritten.load(Ordering::SeqCst) > 0 && began.elapsed() < FLUSH_TIMEOUT {
            thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }
}
