//! A small deployment on loopback addresses: a store, runners and entry daemons.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Answer, read_answer, send};
use crate::record::Record;
use crate::runner::{Behavior, Run, Runner};
use crate::store::Store;

/// The longest wait for a daemon to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The engine of services that generate text.
const ENGINE: &str = ",\"engine\":{\"slots\":64,\"kv_capacity_tokens\":485157}";

/// The case could not run, for the stated reason.
#[derive(Debug)]
pub struct CannotRun(pub String);

impl From<std::io::Error> for CannotRun {
    fn from(error: std::io::Error) -> CannotRun {
        CannotRun(error.to_string())
    }
}

/// The daemons that run now, by process id.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the daemons and the process when the case takes longer than `limit`.
pub fn watch_time(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for id in RUNNING.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            let _killed = Command::new("kill").args(["-KILL", &id.to_string()]).status();
        }
        eprintln!("the case could not run: it took longer than {} s", limit.as_secs());
        std::process::exit(2);
    });
}

/// A running entry daemon; killed when dropped.
pub struct Daemon {
    pub name: String,
    pub child: Child,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have ended already.
        let _killed = self.child.kill();
        let _ended = self.child.wait();
        RUNNING.lock().unwrap_or_else(PoisonError::into_inner).retain(|id| *id != self.child.id());
    }
}

impl Daemon {
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500)) else {
            return false;
        };
        let _set = stream.set_read_timeout(Some(Duration::from_millis(1_000)));
        send(&mut stream, b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        read_answer(&mut stream, &mut Vec::new()).status == 200
    }
}

/// A store, runners and what they share.
pub struct Cell {
    pub store: Store,
    pub record: Record,
    pub runs: Arc<Mutex<Vec<Run>>>,
    subnet: String,
    folder: PathBuf,
    program: PathBuf,
}

impl Drop for Cell {
    fn drop(&mut self) {
        // A folder that stays behind does no harm.
        let _removed = std::fs::remove_dir_all(&self.folder);
    }
}

impl Cell {
    /// A deployment on a loopback subnet of its own; `program` is the daemon's.
    pub fn create(record: Record, program: &Path) -> Result<Cell, CannotRun> {
        let seed = std::process::id();
        for attempt in 0..200_u32 {
            let number = seed.wrapping_mul(7).wrapping_add(attempt * 131);
            let subnet = format!("127.{}.{}", 20 + number % 200, number / 200 % 250);
            let is_free = (11..=14).all(|host| {
                (7101..=7106).all(|port| TcpListener::bind((format!("{subnet}.{host}").as_str(), port)).is_ok())
            });
            if !is_free {
                continue;
            }
            let folder = std::env::temp_dir().join(format!("teaselcroft-review-{seed}-{attempt}"));
            std::fs::create_dir_all(&folder)?;
            let store = Store::start(&format!("{subnet}.1"))?;
            return Ok(Cell { store, record, runs: Arc::default(), subnet, folder, program: program.to_owned() });
        }
        Err(CannotRun("no free loopback addresses".to_owned()))
    }

    pub fn start_runner(&self, number: u8, service: &str, behavior: Behavior) -> Result<Runner, CannotRun> {
        let ip = format!("{}.{}", self.subnet, 100 + number);
        let shared = (&self.store, &self.record, &self.runs);
        Ok(Runner::start(&ip, &format!("i-{number}"), service, shared, behavior)?)
    }

    /// The requests that runners began to work on.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Starts an entry daemon, as the deploy file does, without waiting for it.
    pub fn start_daemon(&self, number: u8, memory_mb: u32) -> Result<Daemon, CannotRun> {
        let ip = format!("{}.{}", self.subnet, 10 + number);
        let path = self.folder.join(format!("entry-{number}.yaml"));
        let seeds = format!("[\"{0}.11:7104\",\"{0}.12:7104\"]", self.subnet);
        let settings = format!(
            "daemon: entry-{number}\nzone: fayon\nip: {ip}\nfront: {ip}:7101\nready: {ip}:7102\ndirectory: {ip}:7103\n\
             peer: {ip}:7104\nheartbeat_port: 7105\nmetrics_port: 7106\nseeds: {seeds}\nstore: {}\n\
             memory_mb: {memory_mb}\ncpu_share: 0.25\nbounds:\n  grace: 8\n  drain_ms: 2000\n  retry_ratio: 0.2\n  \
             retry_window: 10\n  retry_slack: 56\n",
            self.store.address
        );
        std::fs::File::create(&path)?.write_all(settings.as_bytes())?;
        let log = std::fs::File::create(self.folder.join(format!("entry-{number}.log")))?;
        let errors = log.try_clone()?;
        let child = Command::new(&self.program)
            .env("TEASELCROFT_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()?;
        RUNNING.lock().unwrap_or_else(PoisonError::into_inner).push(child.id());
        let at = |port: u16| SocketAddr::new(ip.parse().unwrap_or([127, 0, 0, 1].into()), port);
        self.record.note(format!("daemon entry-{number} started"));
        Ok(Daemon { name: format!("entry-{number}"), child, front: at(7101), ready: at(7102) })
    }

    /// What a daemon wrote to its standard output and error.
    pub fn log_of(&self, daemon: &Daemon) -> String {
        std::fs::read_to_string(self.folder.join(format!("{}.log", daemon.name))).unwrap_or_default()
    }

    /// Waits until the daemon is ready and serves a request for `path`.
    pub fn wait_until_serving(&self, daemon: &Daemon, path: &str) -> Result<(), CannotRun> {
        let began = Instant::now();
        while began.elapsed() < START_TIMEOUT {
            let id = format!("warm-{}-{}", daemon.name, began.elapsed().as_millis());
            if daemon.is_ready() && self.fetch(daemon, "GET", path, &id, "", 2_000).0.status == 200 {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(CannotRun(format!("{} did not become ready", daemon.name)))
    }

    /// Sends one request on a new connection; returns the answer, and how long it took. Gives up after `wait_ms`.
    pub fn fetch(
        &self,
        daemon: &Daemon,
        method: &str,
        path: &str,
        id: &str,
        body: &str,
        wait_ms: u64,
    ) -> (Answer, Duration) {
        fetch_from(&self.record, (&daemon.name, daemon.front), method, path, id, body, wait_ms)
    }
}

/// Sends one request on a new connection; returns the answer, and how long it took. Gives up after `wait_ms`.
pub fn fetch_from(
    record: &Record,
    daemon: (&str, SocketAddr),
    method: &str,
    path: &str,
    id: &str,
    body: &str,
    wait_ms: u64,
) -> (Answer, Duration) {
    let began = Instant::now();
    let Ok(mut stream) = TcpStream::connect_timeout(&daemon.1, Duration::from_millis(1_000)) else {
        record.note(format!("no connection to {} for {id}", daemon.0));
        return (Answer::default(), began.elapsed());
    };
    let _set = stream.set_read_timeout(Some(Duration::from_millis(wait_ms)));
    let message = format!(
        "{method} {path} HTTP/1.1\r\nHost: barges.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 3000\r\nX-Key: key-one\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    record.note(format!("sent {id} ({method} {path}) to {}", daemon.0));
    send(&mut stream, message.as_bytes());
    let answer = read_answer(&mut stream, &mut Vec::new());
    let took = began.elapsed();
    match answer.status {
        0 => record.note(format!("no answer to {id} from {} after {:.3} s", daemon.0, took.as_secs_f64())),
        status => record.note(format!(
            "answer to {id}: {status}, whole: {}, after {:.3} s",
            answer.is_whole,
            took.as_secs_f64()
        )),
    }
    (answer, took)
}

/// A route of the stand-in configuration; `more` holds further fields, each with a leading comma.
pub fn route(prefix: &str, kind: &str, attempts: u32, timeout_ms: u32, service: &str, more: &str) -> String {
    format!(
        "{{\"name\":\"r{prefix}\",\"host\":\"barges.example\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"timeout_ms\":{timeout_ms},\"target_latency_ms\":300,\"priority\":1,\"service\":\"{service}\",\
         \"max_attempts\":{attempts},\"public\":false,\"sticky\":false,\"resumable\":false{more}}}"
    )
}

/// A configuration with these routes and services.
pub fn configuration(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":370{}}}",
                if name.starts_with("asistente") { ENGINE } else { "" }
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"harvest\",\"api_keys\":[\"key-one\"],\"priority\":1}}]}}",
        routes.join(","),
        services.join(",")
    )
}
