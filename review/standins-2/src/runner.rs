//! Stand-ins for runners.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Message, Peer};
use crate::record::Record;
use crate::store::Store;

/// Three heartbeats of the small sites, after which a silent runner's entry is removed.
const ENTRY_TTL: Duration = Duration::from_millis(3_600);

/// The prompt tokens that an engine of the small sites reads in a second.
const TOKENS_READ_PER_S: f64 = 54_600.0;

/// A request that reached a runner and was not turned away.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    pub runner: String,
    pub id: String,
}

/// What all runners of a case share.
#[derive(Default)]
pub struct Behavior {
    /// A request with this text in its prompt's parts or its body crashes the runner that begins to run it.
    pub crashing: String,
    /// How long a runner is down after a crash.
    pub down: Duration,
    /// Whether a runner that crashes goes dark: it accepts nothing more, and is silent on its open connections.
    pub goes_dark: bool,
    /// The share of requests, in hundredths, that runners fail with a 500 before they begin with them.
    pub error_share: AtomicU32,
    /// The time that a plain request takes.
    pub work: Duration,
    /// The bytes of an event's text beside its number.
    pub event_bytes: usize,
    /// The requests that a runner serves at once, if not as many as on the small sites.
    pub slots: Option<u32>,
    pub arrivals: Mutex<Vec<Arrival>>,
    /// When a runner crashed, in order.
    pub crashes: Mutex<Vec<Instant>>,
    /// Sound requests that were lost because their runner crashed.
    pub lost: AtomicU32,
    /// All requests so far, to decide which ones fail.
    pub count: AtomicU32,
}

impl Behavior {
    /// Whether the next request fails: evenly spread, without a pattern of two or three.
    fn fails(&self) -> bool {
        let number = self.count.fetch_add(1, Ordering::SeqCst);
        let draw = number.wrapping_mul(2_654_435_761).rotate_left(13) % 100;
        draw < self.error_share.load(Ordering::SeqCst)
    }

    pub fn arrivals_of(&self, is_counted: impl Fn(&Arrival) -> bool) -> Vec<Arrival> {
        self.arrivals.lock().expect("no panic").iter().filter(|arrival| is_counted(arrival)).cloned().collect()
    }
}

struct State {
    name: String,
    service: &'static str,
    address: SocketAddr,
    behavior: Arc<Behavior>,
    store: Store,
    record: Record,
    is_down: AtomicBool,
    is_listening: AtomicBool,
    is_leaving: AtomicBool,
    has_ended: AtomicBool,
    running: AtomicU32,
    /// The ids of the streams that run, oldest first.
    streaming: Mutex<Vec<String>>,
    /// The streams that are preempted, and until when.
    preempted: Mutex<(Vec<String>, Option<Instant>)>,
    born: AtomicU64,
    streams: Mutex<Vec<TcpStream>>,
}

/// A stand-in for a runner.
#[derive(Clone)]
pub struct Runner {
    state: Arc<State>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64)
}

impl Runner {
    /// Starts a runner at `ip` and registers it.
    pub fn start(
        ip: &str,
        name: &str,
        service: &'static str,
        behavior: &Arc<Behavior>,
        store: &Store,
        record: &Record,
    ) -> Runner {
        let listener = TcpListener::bind((ip, 0)).expect("a runner's address is free");
        let state = Arc::new(State {
            name: name.to_owned(),
            service,
            address: listener.local_addr().expect("it is bound"),
            behavior: behavior.clone(),
            store: store.clone(),
            record: record.clone(),
            is_down: AtomicBool::new(false),
            is_listening: AtomicBool::new(true),
            is_leaving: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            running: AtomicU32::new(0),
            streaming: Mutex::default(),
            preempted: Mutex::default(),
            born: AtomicU64::new(unix_ms()),
            streams: Mutex::default(),
        });
        let runner = Runner { state };
        runner.write_entry("ready");
        let server = runner.clone();
        thread::spawn(move || server.listen(listener));
        runner
    }

    pub fn name(&self) -> &str {
        &self.state.name
    }

    fn write_entry(&self, state: &str) {
        let State { name, service, address, born, .. } = &*self.state;
        let usual = if *service == "asistente" { 64 } else { 6 };
        let (slots, born) = (self.state.behavior.slots.unwrap_or(usual), born.load(Ordering::SeqCst));
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"fayon\",\"version\":\"v1\",\"slots\":{slots},\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":{born}}}"
        );
        self.state.store.put(&format!("servers/{name}"), &entry);
    }

    /// Reports that it leaves; from then on all its answers say so too. Returns when the store has accepted the report.
    pub fn drain(&self) -> Instant {
        self.state.is_leaving.store(true, Ordering::SeqCst);
        self.write_entry("draining");
        self.state.record.note(format!("runner   {} is draining", self.name()));
        Instant::now()
    }

    /// Leaves without a report: its entry is removed. Returns when the store has accepted the removal.
    pub fn withdraw(&self) -> Instant {
        self.state.is_leaving.store(true, Ordering::SeqCst);
        self.state.store.remove(&format!("servers/{}", self.name()));
        self.state.record.note(format!("runner   {} leaves; its entry is removed", self.name()));
        Instant::now()
    }

    /// Exits for good.
    pub fn end(&self) {
        self.state.has_ended.store(true, Ordering::SeqCst);
        self.go_down();
        self.state.record.note(format!("runner   {} has exited", self.name()));
    }

    /// Preempts the newest streams whose ids begin with `kind`, as a runner does whose memory runs out: it reads them in again,
    /// and goes on with them after `span`. Returns how many there are.
    pub fn preempt(&self, kind: &str, most: usize, span: Duration) -> usize {
        let running = self.state.streaming.lock().expect("no panic");
        let ids: Vec<String> = running.iter().rev().filter(|id| id.starts_with(kind)).take(most).cloned().collect();
        let count = ids.len();
        if count > 0 {
            self.state.record.note(format!(
                "runner   {} preempts {} for {} ms",
                self.name(),
                ids.join(", "),
                span.as_millis()
            ));
        }
        *self.state.preempted.lock().expect("no panic") = (ids, Some(Instant::now() + span));
        count
    }

    /// The number of streams that run and whose ids begin with `kind`.
    pub fn count_of(&self, kind: &str) -> usize {
        self.state.streaming.lock().expect("no panic").iter().filter(|id| id.starts_with(kind)).count()
    }

    fn go_down(&self) {
        self.state.is_down.store(true, Ordering::SeqCst);
        while self.state.is_listening.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
        for stream in self.state.streams.lock().expect("no panic").drain(..) {
            // It may be closed already.
            let _closed = stream.shutdown(Shutdown::Both);
        }
    }

    fn crash(&self, id: &str) {
        if self.state.is_down.load(Ordering::SeqCst) {
            return;
        }
        let lost = self.state.running.load(Ordering::SeqCst);
        self.state.behavior.lost.fetch_add(lost, Ordering::SeqCst);
        self.state.behavior.crashes.lock().expect("no panic").push(Instant::now());
        self.state
            .record
            .note(format!("runner   {} crashes as it begins with {id}; {lost} others are lost", self.name()));
        if self.state.behavior.goes_dark {
            return self.go_dark();
        }
        self.go_down();
        let runner = self.clone();
        thread::spawn(move || {
            thread::sleep(runner.state.behavior.down);
            if runner.state.has_ended.load(Ordering::SeqCst) {
                return;
            }
            let listener = TcpListener::bind(runner.state.address).expect("its address is still free");
            runner.state.born.store(unix_ms(), Ordering::SeqCst);
            runner.state.is_listening.store(true, Ordering::SeqCst);
            runner.state.is_down.store(false, Ordering::SeqCst);
            runner.write_entry("ready");
            runner.state.record.note(format!("runner   {} is back", runner.name()));
            runner.listen(listener);
        });
    }

    /// Accepts nothing more, and says nothing more, also not to the store. Its next start has another id, and the entry of this one
    /// is removed after three heartbeats of silence.
    fn go_dark(&self) {
        self.state.is_down.store(true, Ordering::SeqCst);
        let runner = self.clone();
        thread::spawn(move || {
            let State { name, service, address, behavior, store, record, .. } = &*runner.state;
            thread::sleep(behavior.down);
            let (base, start) = name.rsplit_once('.').unwrap_or((name, "0"));
            let next = format!("{base}.{}", start.parse::<u32>().unwrap_or(0) + 1);
            Runner::start(&address.ip().to_string(), &next, service, behavior, store, record);
            record.note(format!("runner   {next} starts in place of {name}"));
            thread::sleep(ENTRY_TTL.saturating_sub(behavior.down));
            store.remove(&format!("servers/{name}"));
            record.note(format!("store    the entry of {name} has lapsed"));
            runner.go_down();
        });
    }

    fn listen(&self, listener: TcpListener) {
        listener.set_nonblocking(true).expect("the option is known");
        while !self.state.is_down.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            stream.set_nonblocking(false).expect("the option is known");
            let copy = stream.try_clone().expect("descriptors are left");
            self.state.streams.lock().expect("no panic").push(copy);
            let runner = self.clone();
            thread::spawn(move || runner.serve(Peer::new(stream)));
        }
        drop(listener);
        self.state.is_listening.store(false, Ordering::SeqCst);
    }

    fn serve(&self, mut peer: Peer) {
        while let Some(request) = peer.read() {
            if self.state.is_down.load(Ordering::SeqCst) {
                while self.state.behavior.goes_dark && peer.read().is_some() {}
                return;
            }
            if !self.answer(&mut peer, &request) {
                return;
            }
        }
    }

    /// Answers a request; false if the connection is over.
    fn answer(&self, peer: &mut Peer, request: &Message) -> bool {
        let state = &*self.state;
        let (_, target) = request.request_line();
        if target == "/-/kv-list" {
            let body = "{\"epoch\":1,\"next_token\":1,\"held\":[]}";
            return peer.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
        }
        let id = request.field("x-request-id").unwrap_or("").to_owned();
        if request.field("x-expect-instance").is_some_and(|name| name != state.name) {
            return peer.write("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
        }
        let arrival = Arrival { at: Instant::now(), runner: state.name.clone(), id: id.clone() };
        state.behavior.arrivals.lock().expect("no panic").push(arrival);
        state.record.note(format!("runner   {} gets {id}", state.name));
        let leaving = if state.is_leaving.load(Ordering::SeqCst) { "Server-Leaving: 1\r\n" } else { "" };
        let head = |status: &str| {
            format!("HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\nX-Response-Stamp: 3e1b.{id}\r\n{leaving}")
        };
        if state.behavior.fails() {
            state.record.note(format!("runner   {} fails {id} with 500 before it begins with it", state.name));
            return peer.write(&(head("500 Internal Server Error") + "Content-Length: 7\r\n\r\nfailed\n"));
        }
        let crashing = &state.behavior.crashing;
        let is_crashing = !crashing.is_empty()
            && (request.field("x-prompt-prefix").is_some_and(|parts| parts.contains(crashing))
                || String::from_utf8_lossy(&request.body).contains(crashing));
        if is_crashing {
            thread::sleep(Duration::from_millis(40));
            self.crash(&id);
            if state.behavior.goes_dark {
                // Says nothing and reads on, until the other side closes the connection.
                while peer.read().is_some() {}
            }
            return false;
        }
        state.running.fetch_add(1, Ordering::SeqCst);
        let sent = if request.field("x-prompt-prefix").is_some() {
            state.streaming.lock().expect("no panic").push(id.clone());
            let sent = self.stream(peer, &head("200 OK"), request, &id);
            state.streaming.lock().expect("no panic").retain(|other| *other != id);
            state.record.note(format!("runner   {} {} {id}", state.name, if sent { "has ended" } else { "drops" }));
            sent
        } else {
            thread::sleep(state.behavior.work);
            if state.is_down.load(Ordering::SeqCst) {
                state.running.fetch_sub(1, Ordering::SeqCst);
                while state.behavior.goes_dark && peer.read().is_some() {}
                return false;
            }
            let body = format!("answer to {id}\n");
            peer.write(&(head("200 OK") + &format!("Content-Length: {}\r\n\r\n{body}", body.len())))
        };
        state.running.fetch_sub(1, Ordering::SeqCst);
        sent
    }

    /// Sends a stream. How many events it has, and the milliseconds between them, stand in the path: `/ask/EVENTS/MS/NAME`.
    fn stream(&self, peer: &mut Peer, head: &str, request: &Message, id: &str) -> bool {
        let (_, target) = request.request_line();
        let mut numbers = target.split('/').skip(2).map(|word| word.parse::<u64>().unwrap_or(10));
        let (count, interval) = (numbers.next().unwrap_or(10), numbers.next().unwrap_or(30));
        let after: u64 = request.field("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        let usage = request.field("x-token-usage").and_then(|text| text.split(',').next());
        let prompt_tokens: f64 = usage.and_then(|text| text.parse().ok()).unwrap_or(0.0);
        thread::sleep(Duration::from_secs_f64(prompt_tokens / TOKENS_READ_PER_S));
        if !peer.write(&format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
            return false;
        }
        for number in after + 1..=count {
            if !self.wait_while_preempted(peer, id) {
                return false;
            }
            let text = "x".repeat(self.state.behavior.event_bytes);
            let event = format!("id: {number}\ndata: token {number} {text}\n\n");
            if !peer.write(&format!("{:x}\r\n{event}\r\n", event.len())) {
                return false;
            }
            thread::sleep(Duration::from_millis(interval));
        }
        peer.write("0\r\n\r\n")
    }

    /// Waits while a stream is preempted; false if its connection closes meanwhile.
    fn wait_while_preempted(&self, peer: &Peer, id: &str) -> bool {
        loop {
            let until = {
                let preempted = self.state.preempted.lock().expect("no panic");
                preempted.1.filter(|_| preempted.0.iter().any(|other| other == id))
            };
            if until.is_none_or(|until| until <= Instant::now()) {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
            if peer.is_closed() {
                return false;
            }
        }
    }
}
