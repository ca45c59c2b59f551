//! The daemons of a run: their settings, and the operations on them that a trace can ask for.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

use teaselcroft_parts::{DaemonName, NameError};

use crate::Site;
use crate::caller::customer_key;

/// The operator key in the settings of all daemons.
pub const OPERATOR_KEY: &str = "operator-key-of-the-stand-ins";

const PEER_KEY: &str = "peer-key-of-the-stand-ins";

/// The addresses and settings of a daemon.
#[derive(Debug, Clone)]
pub struct DaemonPlan {
    /// The name, `entry-` and a number.
    pub name: DaemonName,
    /// The availability zone.
    pub zone: &'static str,
    /// The address on which it serves callers and operators.
    pub listen: SocketAddr,
    /// The address on which it serves other daemons.
    pub peer_listen: SocketAddr,
    /// The settings as YAML.
    pub settings: String,
}

/// Runs daemons and sends them signals.
pub trait Fleet: Send + Sync + 'static {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// The settings are refused, or the process or thread cannot be started.
    fn start(&self, plan: &DaemonPlan) -> io::Result<()>;

    /// Kills a daemon without warning.
    ///
    /// # Errors
    ///
    /// This fleet cannot kill single daemons, or the signal fails.
    fn kill(&self, name: &DaemonName) -> io::Result<()>;

    /// Begins a planned stop without waiting for its end.
    ///
    /// # Errors
    ///
    /// The signal fails.
    fn stop(&self, name: &DaemonName) -> io::Result<()>;

    /// Suspends a daemon.
    ///
    /// # Errors
    ///
    /// This fleet cannot suspend single daemons, or the signal fails.
    fn pause(&self, name: &DaemonName) -> io::Result<()>;

    /// Resumes a suspended daemon.
    ///
    /// # Errors
    ///
    /// This fleet cannot suspend single daemons, or the signal fails.
    fn resume(&self, name: &DaemonName) -> io::Result<()>;

    /// The process id of a running daemon; `None` if it does not run in a process of its own.
    fn process_id(&self, name: &DaemonName) -> Option<u32>;
}

/// Assigns addresses, zones (in turn) and settings to `count` daemons that use the given store and VM list.
///
/// # Errors
///
/// No loopback port is free.
pub fn plan_daemons(
    site: Site,
    count: usize,
    store: SocketAddr,
    vm_list: SocketAddr,
    customers: &[String],
) -> io::Result<Vec<DaemonPlan>> {
    (1..=count).map(|number| plan_daemon(site, number, store, vm_list, customers)).collect()
}

/// The ports that daemons get: below those that the kernel gives to connections, which would take a port between its choice
/// and the daemon's start.
const DAEMON_PORTS: std::ops::Range<u16> = 15_000..32_000;

/// The number of ports tried so far; processes that run at the same time begin at different ones.
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// The ports between the first ones of two processes with consecutive ids.
const PORTS_PER_PROCESS: u32 = 40;

fn free_address() -> io::Result<SocketAddr> {
    let first = std::process::id().wrapping_mul(PORTS_PER_PROCESS);
    let count = u32::from(DAEMON_PORTS.end - DAEMON_PORTS.start);
    let free = (0..count).find_map(|_| {
        let offset = first.wrapping_add(NEXT_PORT.fetch_add(1, Ordering::Relaxed)) % count;
        let port = DAEMON_PORTS.start + u16::try_from(offset).ok()?;
        TcpListener::bind(("127.0.0.1", port)).ok()?.local_addr().ok()
    });
    free.ok_or_else(|| io::Error::other("no port for a daemon is free; end other programs that listen"))
}

fn plan_daemon(
    site: Site,
    number: usize,
    store: SocketAddr,
    vm_list: SocketAddr,
    customers: &[String],
) -> io::Result<DaemonPlan> {
    let name: Result<DaemonName, NameError> = format!("entry-{number}").parse();
    let name = name.map_err(io::Error::other)?;
    let zones = site.zones();
    let zone = zones[(number - 1) % zones.len()];
    let listen = free_address()?;
    let peer_listen = free_address()?;
    let customers =
        customers.iter().map(|customer| format!("  - name: {customer}\n    key: {}\n", customer_key(customer)));
    let customers: String = customers.collect();
    let settings = format!(
        "daemon: {name}\ncell: {}\nzone: {zone}\nlisten: {listen}\npeer_listen: {peer_listen}\n\
         store: {store}\nvm_list: {vm_list}\npeer_key: {PEER_KEY}\noperator_key: {OPERATOR_KEY}\n\
         customers:\n{customers}",
        site.region()
    );
    Ok(DaemonPlan { name, zone, listen, peer_listen, settings })
}
