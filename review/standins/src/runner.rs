//! A stand-in for a runner: registers in the store, answers requests and notes which it ran.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Request, read_request, send};
use crate::record::Record;
use crate::store::Store;

/// The time between a runner's writes to its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// How a runner answers one request; returns whether the connection stays open.
pub type Behavior = Arc<dyn Fn(&Runner, &Request, &mut TcpStream) -> bool + Send + Sync>;

/// A request that a runner began to work on.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub runner: String,
    pub at: Duration,
}

/// A stand-in for a runner.
#[derive(Clone)]
pub struct Runner {
    pub name: String,
    pub service: String,
    pub address: SocketAddr,
    born: Arc<AtomicU64>,
    slots: u32,
    store: Store,
    record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
    is_leaving: Arc<AtomicBool>,
    has_left: Arc<AtomicBool>,
    is_down: Arc<AtomicBool>,
    is_dark: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    sequence: Arc<AtomicU64>,
    written: Arc<Mutex<Duration>>,
}

impl Runner {
    pub fn start(
        ip: &str,
        name: &str,
        service: &str,
        shared: (&Store, &Record, &Arc<Mutex<Vec<Run>>>),
        behavior: Behavior,
    ) -> std::io::Result<Runner> {
        let listener = TcpListener::bind((ip, 0))?;
        let runner = Runner {
            name: name.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr()?,
            born: Arc::new(AtomicU64::new(unix_ms())),
            slots: 16,
            store: shared.0.clone(),
            record: shared.1.clone(),
            runs: shared.2.clone(),
            is_leaving: Arc::default(),
            has_left: Arc::default(),
            is_down: Arc::default(),
            is_dark: Arc::default(),
            streams: Arc::default(),
            sequence: Arc::default(),
            written: Arc::default(),
        };
        let server = runner.clone();
        thread::spawn(move || server.accept(listener, &behavior));
        runner.write_entry();
        let writer = runner.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if writer.has_left() {
                    return;
                }
                if !writer.is_down() {
                    writer.write_entry();
                }
            }
        });
        Ok(runner)
    }

    /// Accepts connections until the runner exits; while it is down nothing listens at its address.
    fn accept(&self, listener: TcpListener, behavior: &Behavior) {
        let mut listener = Some(listener);
        loop {
            if self.is_down() || self.has_left() {
                listener = None;
            }
            if self.is_down() && !self.is_dark.load(Ordering::SeqCst) || self.has_left() {
                self.close_streams();
            }
            if self.has_left() {
                return;
            }
            if !self.is_down() && listener.is_none() {
                self.close_streams();
                listener = TcpListener::bind(self.address).ok();
            }
            let accepted = listener.as_ref().and_then(|listener| {
                listener.set_nonblocking(true).ok()?;
                listener.accept().ok()
            });
            let Some((stream, _)) = accepted else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            if stream.set_nonblocking(false).is_err() {
                continue;
            }
            if let Ok(clone) = stream.try_clone() {
                self.streams.lock().unwrap_or_else(PoisonError::into_inner).push(clone);
            }
            let (server, behavior) = (self.clone(), behavior.clone());
            thread::spawn(move || server.serve(stream, &behavior));
        }
    }

    fn close_streams(&self) {
        for stream in self.streams.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
            // The other side may have closed it already.
            let _closed = stream.shutdown(Shutdown::Both);
        }
    }

    /// Ends the runner at once, as a crash does; it starts again after `down`, under its name.
    pub fn crash(&self, down: Duration) {
        if self.is_down.swap(true, Ordering::SeqCst) {
            return;
        }
        self.record.note(format!("runner {} crashes", self.name));
        let runner = self.clone();
        thread::spawn(move || {
            thread::sleep(down);
            runner.born.store(unix_ms(), Ordering::SeqCst);
            runner.is_down.store(false, Ordering::SeqCst);
            runner.record.note(format!("runner {} is back", runner.name));
            runner.write_entry();
        });
    }

    /// Ends the runner as `crash` does, but dark: its open connections stay silent until it starts again.
    pub fn go_dark(&self, down: Duration) {
        self.is_dark.store(true, Ordering::SeqCst);
        self.crash(down);
    }

    fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    /// The runner's entry, with another service's name in it if one is given.
    pub fn entry(&self, service: &str) -> String {
        let state = if self.is_leaving.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"fayon\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.address,
            self.slots,
            self.born.load(Ordering::SeqCst)
        )
    }

    /// The time since the runner last wrote its entry.
    pub fn since_write(&self) -> Duration {
        let at = *self.written.lock().unwrap_or_else(PoisonError::into_inner);
        self.record.now().saturating_sub(at)
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.name)
    }

    fn write_entry(&self) {
        *self.written.lock().unwrap_or_else(PoisonError::into_inner) = self.record.now();
        self.store.put(&self.key(), &self.entry(&self.service));
    }

    /// Reports that the runner is about to leave.
    pub fn drain(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
        self.write_entry();
        self.record.note(format!("runner {} reports draining", self.name));
    }

    /// Ends the runner: it accepts no further connections and writes no further entries.
    pub fn exit(&self) {
        self.has_left.store(true, Ordering::SeqCst);
        self.record.note(format!("runner {} exits", self.name));
    }

    pub fn has_left(&self) -> bool {
        self.has_left.load(Ordering::SeqCst)
    }

    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::SeqCst)
    }

    /// Notes that a request began to run.
    pub fn note_run(&self, request: &Request) {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        self.record.note(format!("run {id} by {} ({} {})", self.name, request.method, request.target));
        let run = Run { id, runner: self.name.clone(), at: self.record.now() };
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).push(run);
    }

    fn serve(&self, mut stream: TcpStream, behavior: &Behavior) {
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer) {
            if self.has_left() || self.is_down() {
                return;
            }
            match request.path() {
                "/-/kv-list" => {
                    let body = "{\"epoch\":1,\"next_token\":1,\"held\":[]}";
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                    send(&mut stream, (head + body).as_bytes());
                }
                _ if request.header("x-expect-instance").is_some_and(|name| name != self.name) => {
                    let id = request.header("x-request-id").unwrap_or("");
                    let answer = format!(
                        "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: {id}\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                        self.name
                    );
                    send(&mut stream, answer.as_bytes());
                }
                _ => {
                    if !behavior(self, &request, &mut stream) {
                        return;
                    }
                }
            }
        }
    }
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis());
    u64::try_from(now).unwrap_or(0)
}

/// The head of a runner's own answer; `fields` are whole lines.
pub fn head(request: &Request, status: &str, fields: &str) -> String {
    let id = request.header("x-request-id").unwrap_or("");
    format!("HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\nX-Response-Stamp: stamp.{id}\r\n{fields}\r\n")
}

/// Runs a request for `work` and answers it with a body that names it.
pub fn plain(work: Duration) -> Behavior {
    Arc::new(move |runner, request, stream| {
        runner.note_run(request);
        thread::sleep(work);
        if runner.has_left() {
            return false;
        }
        let body = format!("answer to {}", request.header("x-request-id").unwrap_or(""));
        let leaving = if runner.is_leaving() { "Server-Leaving: 1\r\n" } else { "" };
        let fields = format!("{leaving}Content-Length: {}\r\n", body.len());
        send(stream, (head(request, "200 OK", &fields) + &body).as_bytes());
        true
    })
}
