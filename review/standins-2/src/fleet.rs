//! The project's daemons, started with the command of the deploy file, and the operator's configuration.

use std::fs;
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{HOST, KEY, Request, send};
use crate::record::Record;
use crate::store::Store;

/// The bounds of the small sites, in milliseconds.
pub const CONTACT: Duration = Duration::from_millis(3_000);
pub const DRAIN: Duration = Duration::from_millis(2_000);

/// How long a case waits for the daemons to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// A daemon; its process ends with the value.
pub struct Daemon {
    child: Child,
    settings: PathBuf,
    program: PathBuf,
    pub front: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended already.
        let _killed = self.child.kill();
        let _ended = self.child.wait();
    }
}

fn spawn(program: &PathBuf, settings: &PathBuf) -> Result<Child, String> {
    let log = fs::File::options().create(true).append(true).open(settings.with_extension("log"));
    let child = Command::new(program)
        .env_clear()
        .env("TEASELCROFT_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(log.map_err(|error| error.to_string())?)
        .stderr(Stdio::null())
        .spawn()
        .map_err(|error| format!("the daemon cannot be started: {error}"))?;
    // The script that runs this program ends what it started, should it be ended itself.
    if let Some(path) = std::env::var_os("PIDS") {
        let list = fs::File::options().append(true).open(path);
        list.and_then(|mut list| writeln!(list, "{}", child.id())).map_err(|error| error.to_string())?;
    }
    Ok(child)
}

impl Daemon {
    /// Kills the process at once.
    pub fn kill(&mut self) {
        // It may have ended already.
        let _killed = self.child.kill();
        let _ended = self.child.wait();
    }

    /// Asks the process to stop, as the platform does before planned work.
    pub fn terminate(&self) -> Result<(), String> {
        let status = Command::new("kill").args(["-TERM", &self.child.id().to_string()]).status();
        status.map_err(|error| error.to_string())?.success().then_some(()).ok_or("no signal was sent".to_owned())
    }

    /// Starts the process anew, as the platform does.
    pub fn restart(&mut self) -> Result<(), String> {
        self.child = spawn(&self.program, &self.settings)?;
        Ok(())
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_none())
    }
}

/// A case's loopback network, with a temporary folder for settings and logs.
pub struct Site {
    pub subnet: String,
    folder: PathBuf,
    root: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            // What is left in a temporary folder does no harm.
            let _removed = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Site {
    /// A site whose daemons run the programs of the repository at `root`.
    pub fn new(root: PathBuf) -> Result<Site, String> {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-2-{id}"));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        Ok(Site { subnet: format!("127.{}.{}", 100 + id % 100, id / 100 % 250), folder, root })
    }

    pub fn ip(&self, number: usize) -> String {
        format!("{}.{number}", self.subnet)
    }

    /// Starts `count` daemons, and waits until all of them serve requests.
    pub fn start(&self, count: usize, store: &Store, record: &Record) -> Result<Vec<Daemon>, String> {
        let program = self.root.join("target/release/teaselcroft-entry");
        if !program.exists() {
            return Err("the daemon is not built".to_owned());
        }
        let first = free_ports(&self.ip(11))?;
        let mut daemons = Vec::new();
        for number in 1..=count {
            let ip = self.ip(10 + number);
            let [front, ready, directory, peer, heartbeat, metrics] = first;
            let (seed, store) = (format!("{}:{peer}", self.ip(11)), store.address);
            let text = format!(
                "daemon: \"front-fayon-{number}\"\nzone: \"fayon\"\nip: \"{ip}\"\nfront: \"{ip}:{front}\"\n\
                 ready: \"{ip}:{ready}\"\ndirectory: \"{ip}:{directory}\"\npeer: \"{ip}:{peer}\"\n\
                 heartbeat_port: {heartbeat}\nmetrics_port: {metrics}\nseeds: [\"{seed}\"]\nstore: \"{store}\"\n\
                 memory_mb: 260\ncpu_share: 0.25\nbounds:\n  grace: 8\n  drain_ms: 2000\n  retry_ratio: 0.2\n\
                 \x20 retry_window: 10\n  retry_slack: 52\n\
                 conditions: [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\"]\n"
            );
            let settings = self.folder.join(format!("front-{number}.yaml"));
            fs::write(&settings, text).map_err(|error| error.to_string())?;
            let child = spawn(&program, &settings)?;
            let front = format!("{ip}:{front}").parse().map_err(|_| "the address cannot be read")?;
            daemons.push(Daemon { child, settings, program: program.clone(), front });
        }
        wait_until_serving(&daemons, record)?;
        Ok(daemons)
    }
}

/// Waits until all daemons serve requests.
pub fn wait_until_serving(daemons: &[Daemon], record: &Record) -> Result<(), String> {
    let began = Instant::now();
    for (number, daemon) in daemons.iter().enumerate() {
        let request = |count: u32| Request {
            method: "GET",
            path: "/read/warm".to_owned(),
            id: format!("warm-{number}-{count}"),
            deadline_ms: 3_000,
            ..Request::default()
        };
        let mut count = 0;
        while send(daemon.front, &request(count), record) != 200 {
            count += 1;
            if began.elapsed() > READY_TIMEOUT {
                return Err("the daemons do not serve".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
    Ok(())
}

/// Ports that are free at `ip` now; other daemons of the case use the same ones at their own addresses.
fn free_ports(ip: &str) -> Result<[u16; 6], String> {
    let listeners: Vec<TcpListener> = (0..6).filter_map(|_| TcpListener::bind((ip, 0)).ok()).collect();
    let ports: Vec<u16> = listeners.iter().filter_map(|one| Some(one.local_addr().ok()?.port())).collect();
    ports.try_into().map_err(|_| "no port is free".to_owned())
}

/// Writes the operator's configuration: a stream of a model, a plain request that may run once, and a read.
pub fn configure(store: &Store) {
    let route = |name: &str, kind: &str, timeout: u32, service: &str, attempts: u32, rest: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":{timeout},\"target_latency_ms\":500,\"priority\":0,\"service\":\"{service}\",\
             \"max_attempts\":{attempts},\"public\":false,\"sticky\":false,\"resumable\":false{rest}}}"
        )
    };
    let routes = [
        route("ask", "streaming", 15_000, "asistente", 1, ",\"gap_aim_ms\":250"),
        route("sum", "streaming", 6_000, "asistente", 2, ",\"gap_aim_ms\":400")
            .replace("\"resumable\":false", "\"resumable\":true")
            .replace("\"target_latency_ms\":500,\"priority\":0", "\"target_latency_ms\":800,\"priority\":1"),
        route("book", "unsafe", 3_000, "agenda", 1, ""),
        route("read", "safe", 3_000, "agenda", 2, ""),
    ];
    let text = format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"asistente\",\"health_path\":\"/healthz\",\"max_conns\":360,\
         \"engine\":{{\"slots\":64,\"kv_capacity_tokens\":635897}}}},{{\"name\":\"agenda\",\"health_path\":\"/healthz\",\
         \"max_conns\":96}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"]}}]}}",
        routes.join(",")
    );
    store.put("op/config", &text);
}
