//! The daemons of a run.

use std::io;
use std::net::{SocketAddr, TcpListener};

use teaselcroft_parts::{DaemonName, NameError};

use crate::Site;
use crate::caller::customer_key;

/// The operators' key in every run of the stand-ins.
pub const OPERATOR_KEY: &str = "operator-key-of-the-stand-ins";

const PEER_KEY: &str = "peer-key-of-the-stand-ins";

/// Where a daemon of a run listens, and its settings.
#[derive(Debug, Clone)]
pub struct DaemonPlan {
    /// Its name.
    pub name: DaemonName,
    /// Its zone.
    pub zone: &'static str,
    /// Its address for callers.
    pub listen: SocketAddr,
    /// Its address for peers.
    pub peer_listen: SocketAddr,
    /// Its settings file's text.
    pub settings: String,
}

/// What a run does to its daemons.
pub trait Fleet: Send + Sync + 'static {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// It cannot be started.
    fn start(&self, plan: &DaemonPlan) -> io::Result<()>;

    /// Kills a daemon.
    ///
    /// # Errors
    ///
    /// This fleet cannot kill.
    fn kill(&self, name: &DaemonName) -> io::Result<()>;

    /// Begins a planned stop.
    ///
    /// # Errors
    ///
    /// The daemon cannot be told.
    fn stop(&self, name: &DaemonName) -> io::Result<()>;

    /// Pauses a daemon.
    ///
    /// # Errors
    ///
    /// This fleet cannot pause.
    fn pause(&self, name: &DaemonName) -> io::Result<()>;

    /// Lets a paused daemon go on.
    ///
    /// # Errors
    ///
    /// This fleet cannot pause.
    fn resume(&self, name: &DaemonName) -> io::Result<()>;

    /// The process of a daemon, if it has one of its own.
    fn process(&self, name: &DaemonName) -> Option<u32>;
}

/// Plans the daemons of a site around the platform's stand-ins.
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

fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
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
