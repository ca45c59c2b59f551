//! A stand-in for the platform's store, as PROTOCOL.md and the news pages describe it.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, Peer, json_answer};
use crate::json::{Value, parse};

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let number = three.iter().fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte)) << (8 * (3 - three.len()));
        for place in 0..4 {
            let digit = BASE64[(number >> (18 - 6 * place) & 63) as usize] as char;
            text.push(if place > three.len() { '=' } else { digit });
        }
    }
    text
}

#[derive(Clone)]
struct Item {
    /// In base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// The items as they were after each change.
    copies: Vec<(Instant, u64, BTreeMap<String, Item>)>,
    /// The revision and text of each change.
    history: Vec<(u64, String, String)>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
    /// How often all connections that were open went silent.
    silenced: u64,
    /// Waiting watches are cut after this time.
    cut_after: Option<Duration>,
}

impl State {
    fn copy(&mut self) {
        let (revision, items) = (self.revision, self.items.clone());
        self.copies.push((Instant::now(), revision, items));
    }

    fn set(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.history.push((revision, key.to_owned(), describe(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            let event = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}");
            self.history.push((revision, key.to_owned(), event));
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, item)| item.lease == id).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.delete(&key);
        }
        self.copy();
    }
}

fn describe(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created_rev\":{created},\"lease\":{lease}}}"
    )
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    /// How old reads with `serializable` are.
    stale_by: Duration,
}

/// A stand-in for the platform's store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

impl Store {
    /// A store at `ip` whose reads with `serializable` are `stale_by` old.
    pub fn start(ip: &str, stale_by: Duration) -> Store {
        let listener = TcpListener::bind((ip, 0)).expect("the store's address is free");
        let address = listener.local_addr().expect("it is bound");
        let state = State { revision: 10, next_lease: 70_000, ..State::default() };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new(), stale_by });
        let store = Store { shared, address };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(Peer::new(stream)));
            }
        });
        store
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().expect("no thread of the store panics")
    }

    /// Writes a key, as the operator and the runners do.
    pub fn put(&self, key: &str, text: &str) {
        let mut state = self.state();
        state.revision += 1;
        state.set(key, base64(text.as_bytes()), 0);
        state.copy();
        self.shared.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state();
        state.revision += 1;
        state.delete(key);
        state.copy();
        self.shared.changed.notify_all();
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.state().items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Nothing more comes back on the connections that are open now; new ones work.
    pub fn silence(&self) {
        self.state().silenced += 1;
    }

    /// From now on watches that wait are cut after `span`.
    pub fn cut_watches(&self, span: Duration) {
        self.state().cut_after = Some(span);
    }

    fn serve(&self, mut peer: Peer) {
        let silenced = self.state().silenced;
        while let Some(request) = peer.read() {
            thread::sleep(Duration::from_millis(4));
            let Some((status, body)) = self.answer(&request) else { return };
            if self.state().silenced > silenced {
                // Reads on until the other side closes the connection.
                while peer.read().is_some() {}
                return;
            }
            if !peer.write(&json_answer(status, "Store-Era: 1\r\n", &body)) {
                return;
            }
        }
    }

    /// The answer to a call; `None` if its connection is closed without one.
    fn answer(&self, request: &Message) -> Option<(u16, String)> {
        self.expire_leases();
        let (method, target) = request.request_line();
        let path = target.split('?').next().unwrap_or("");
        let body = parse(&String::from_utf8_lossy(&request.body));
        match (method, path) {
            ("GET", "/-/kv-range") => Some((200, self.range(request))),
            ("GET", "/-/kv-key") => Some(self.read(&request.query("key"))),
            ("GET", "/-/kv-watch") => self.watch(request),
            ("POST", "/-/kv-txn") => Some(self.transact(&body)),
            ("POST", "/-/kv-lease") => {
                let ttl = body.get("ttl_ms").number().clamp(1_000, 600_000);
                let mut state = self.state();
                state.next_lease += 1;
                let id = state.next_lease;
                state.leases.insert(id, (Duration::from_millis(ttl), Instant::now()));
                Some((200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}")))
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                let id: u64 = path["/-/kv-keep/".len()..].parse().unwrap_or(0);
                let mut state = self.state();
                let Some(lease) = state.leases.get_mut(&id) else { return Some((404, "{}".to_owned())) };
                lease.1 = Instant::now();
                Some((200, format!("{{\"ttl_ms\":{}}}", lease.0.as_millis())))
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                self.state().end_lease(path["/-/kv-lease-end/".len()..].parse().unwrap_or(0));
                self.shared.changed.notify_all();
                Some((200, "{}".to_owned()))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn expire_leases(&self) {
        let mut state = self.state();
        let is_over = |(ttl, at): &(Duration, Instant)| at.elapsed() > *ttl;
        let ended: Vec<u64> = state.leases.iter().filter(|(_, lease)| is_over(lease)).map(|(id, _)| *id).collect();
        for id in ended {
            state.end_lease(id);
            self.shared.changed.notify_all();
        }
    }

    fn range(&self, request: &Message) -> String {
        let (prefix, after) = (request.query("prefix"), request.query("after"));
        let state = self.state();
        let list = |items: &BTreeMap<String, Item>, revision: u64| {
            let found = items.iter().filter(|(key, _)| key.starts_with(&prefix) && key.as_str() > after.as_str());
            let texts: Vec<String> = found.map(|(key, item)| describe(key, item)).collect();
            format!("{{\"items\":[{}],\"more_pages\":false,\"store_revision\":{revision}}}", texts.join(","))
        };
        if request.query("serializable") != "1" {
            return list(&state.items, state.revision);
        }
        let old = state.copies.iter().rev().find(|(at, ..)| at.elapsed() >= self.shared.stale_by);
        let (_, revision, items) = old.or(state.copies.first()).expect("something was written");
        list(items, *revision)
    }

    fn read(&self, key: &str) -> (u16, String) {
        let state = self.state();
        state.items.get(key).map_or((404, "{}".to_owned()), |item| (200, describe(key, item)))
    }

    fn watch(&self, request: &Message) -> Option<(u16, String)> {
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let began = Instant::now();
        let wait = Duration::from_millis(request.query("wait_ms").parse().unwrap_or(0));
        let mut state = self.state();
        loop {
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                .map(|(_, _, event)| event.clone())
                .collect();
            if !events.is_empty() || began.elapsed() >= wait {
                let revision = state.revision;
                return Some((200, format!("{{\"events\":[{}],\"store_revision\":{revision}}}", events.join(","))));
            }
            let cut_after = state.cut_after.filter(|span| *span < wait);
            if cut_after.is_some_and(|span| began.elapsed() >= span) {
                return None;
            }
            let left = cut_after.unwrap_or(wait).saturating_sub(began.elapsed()).min(Duration::from_millis(200));
            state = self.shared.changed.wait_timeout(state, left.max(Duration::from_millis(1))).expect("no panic").0;
        }
    }

    fn transact(&self, body: &Value) -> (u16, String) {
        let mut state = self.state();
        let is_met = |row: &Value| {
            let known = state.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            known == row.get("revision").number()
        };
        if !body.get("expected_revision").rows().iter().all(is_met) {
            return (412, "{\"items\":[]}".to_owned());
        }
        let writes = body.get("writes").rows();
        let has_lease =
            |row: &Value| row.get("lease").number() == 0 || state.leases.contains_key(&row.get("lease").number());
        if !writes.iter().all(has_lease) {
            return (404, "{}".to_owned());
        }
        state.revision += 1;
        for row in writes {
            state.set(row.get("key").text(), row.get("value").text().to_owned(), row.get("lease").number());
        }
        for key in body.get("remove").rows() {
            state.delete(key.text());
        }
        state.copy();
        self.shared.changed.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}
