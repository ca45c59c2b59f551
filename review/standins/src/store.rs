//! A stand-in for the platform's store: keys, watches, transactions and leases.

use std::collections::{BTreeMap, HashMap};
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, read_request, send};

/// The most items in one page of a list.
const PAGE_ITEMS: usize = 500;

struct Item {
    /// Encoded as standard base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key and watch event of each change.
    history: Vec<(u64, String, String)>,
    /// How often all open connections went silent.
    silenced: u64,
    /// Time to live and last renewal.
    leases: HashMap<u64, (Duration, Instant)>,
}

/// A stand-in for the platform's store.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
    pub address: SocketAddr,
}

fn text(value: &str) -> String {
    format!("\"{}\"", value.replace('\\', "\\\\").replace('"', "\\\""))
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created_rev\":{},\"lease\":{}}}",
        text(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

/// The string or number that follows `"name":` in `json`.
fn field<'a>(json: &'a str, name: &str) -> Option<&'a str> {
    let rest = json.split_once(&format!("\"{name}\":"))?.1;
    match rest.strip_prefix('"') {
        Some(rest) => rest.split('"').next(),
        None => rest.split([',', '}', ']']).next().map(str::trim),
    }
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.history.push((revision, key.to_owned(), item_json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = format!("{{\"key\":{},\"revision\":{},\"deleted\":true}}", text(key), self.revision);
            self.history.push((self.revision, key.to_owned(), event));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, item)| item.lease == lease).map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }
}

impl Store {
    pub fn start(ip: &str) -> std::io::Result<Store> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let state = State { revision: 10, ..State::default() };
        let store = Store { state: Arc::new(Mutex::new(state)), changed: Arc::default(), address };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(store)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a key, as the operator or a runner does.
    pub fn put(&self, key: &str, value: &str) {
        self.state().write(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.state().remove(key);
        self.changed.notify_all();
    }

    /// Nothing more comes back on the connections that are open now, and none of them is reset; new ones work.
    pub fn silence_connections(&self) {
        self.state().silenced += 1;
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        let silenced = self.state().silenced;
        while let Some(request) = read_request(&mut stream, &mut buffer) {
            self.expire_leases();
            let (status, body) = self.answer(&request);
            if self.state().silenced != silenced {
                // Reads on, until the other side closes.
                while stream.read(&mut [0; 1024]).is_ok_and(|count| count > 0) {}
                return;
            }
            let answer = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            send(&mut stream, answer.as_bytes());
        }
    }

    fn expire_leases(&self) {
        let mut state = self.state();
        let ended: Vec<u64> =
            state.leases.iter().filter(|(_, (ttl, at))| at.elapsed() > *ttl).map(|(id, _)| *id).collect();
        ended.iter().for_each(|lease| state.end_lease(*lease));
        drop(state);
        if !ended.is_empty() {
            self.changed.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let path = request.path().to_owned();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let id_in = |prefix: &str| path.strip_prefix(prefix).and_then(|id| id.parse::<u64>().ok());
        match (request.method.as_str(), path.as_str()) {
            ("GET", "/-/kv-key") => {
                let state = self.state();
                let key = request.query("key");
                state.items.get(&key).map_or((404, "{}".to_owned()), |item| (200, item_json(&key, item)))
            }
            ("GET", "/-/kv-range") => (200, self.range(&request.query("prefix"), &request.query("after"))),
            ("GET", "/-/kv-watch") => (200, self.watch(request)),
            ("POST", "/-/kv-txn") => self.transact(&body),
            ("POST", "/-/kv-lease") => {
                let ttl: u64 = field(&body, "ttl_ms").and_then(|value| value.parse().ok()).unwrap_or(1_000);
                let mut state = self.state();
                state.revision += 1;
                let lease = 70_000 + state.revision;
                state.leases.insert(lease, (Duration::from_millis(ttl), Instant::now()));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", _) if path.starts_with("/-/kv-keep/") => {
                let mut state = self.state();
                match id_in("/-/kv-keep/").and_then(|id| state.leases.get_mut(&id)) {
                    Some(lease) => {
                        lease.1 = Instant::now();
                        (200, format!("{{\"ttl_ms\":{}}}", lease.0.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", _) if path.starts_with("/-/kv-lease-end/") => {
                if let Some(id) = id_in("/-/kv-lease-end/") {
                    self.state().end_lease(id);
                    self.changed.notify_all();
                }
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.state();
        let in_range: Vec<String> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, item)| item_json(key, item))
            .collect();
        let more_pages = in_range.len() > PAGE_ITEMS;
        let items = in_range[..in_range.len().min(PAGE_ITEMS)].join(",");
        format!("{{\"items\":[{items}],\"more_pages\":{more_pages},\"store_revision\":{}}}", state.revision)
    }

    fn watch(&self, request: &Request) -> String {
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("wait_ms").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state();
        let events = loop {
            let events: Vec<&str> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                .map(|(_, _, event)| event.as_str())
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                break events.join(",");
            }
            state = self.changed.wait_timeout(state, left).unwrap_or_else(PoisonError::into_inner).0;
        };
        format!("{{\"events\":[{events}],\"store_revision\":{}}}", state.revision)
    }

    /// Writes and removals only; the daemons state no expected revisions.
    fn transact(&self, body: &str) -> (u16, String) {
        let writes = body.split_once("\"writes\":[").map_or("", |(_, rest)| rest.split(']').next().unwrap_or(""));
        let mut state = self.state();
        for write in writes.split("},{").filter(|write| !write.is_empty()) {
            let lease = field(write, "lease").and_then(|value| value.parse().ok()).unwrap_or(0);
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
            let (key, value) = (field(write, "key").unwrap_or(""), field(write, "value").unwrap_or(""));
            state.write(key, value.to_owned(), lease);
        }
        let revision = state.revision;
        drop(state);
        self.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let word = group.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - group.len()));
        for place in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * place) & 63) as usize];
            out.push(if place <= group.len() { char::from(digit) } else { '=' });
        }
    }
    out
}
