//! Heartbeats with peers, polling of the VM list and of runners' load reports.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use teaselcroft_parts::{DaemonName, Millis, ModelName, PeerHealth, RunnerName};

use super::{Control, sleep};
use crate::command::Command;
use crate::engine::Engine;
use crate::http_client::with_timeout;
use crate::node::Node;
use crate::peer_channel::PeerError;
use crate::peer_heartbeat::PeerHeartbeat;
use crate::platform::Platform;
use crate::vm_list::{VmList, Vms};
use crate::{Event, log_event};

const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);

/// Bytes that one heartbeat exchange puts on the wire, both ways.
const EXCHANGE_BYTES: u64 = 360;

/// Budget for one daemon's heartbeat traffic in bytes per second, both ways.
const HEARTBEAT_BYTES_PER_SECOND: u64 = 2_000;

/// Heartbeat intervals without a heartbeat after which a peer counts as dead, unless the settings allow more.
const DEAD_AFTER_INTERVALS: u64 = 3;

/// The peers and runners that have a background task, and whether each peer was last logged as live.
#[derive(Debug, Default)]
pub struct BackgroundTasks {
    peers: BTreeSet<DaemonName>,
    runners: BTreeSet<RunnerName>,
    logged_live: BTreeMap<DaemonName, bool>,
}

/// The interval between heartbeats of each pair in a cell of `daemons`: as long as the traffic budget
/// requires, at least `min_interval`.
pub fn heartbeat_interval(min_interval: Millis, daemons: usize) -> Millis {
    let bytes = EXCHANGE_BYTES * daemons.saturating_sub(1) as u64;
    min_interval.max(Millis(bytes * 1_000 / HEARTBEAT_BYTES_PER_SECOND))
}

impl<P: Platform> Control<P> {
    pub(super) fn on_heartbeat(&mut self, heartbeat: PeerHeartbeat) {
        let now = self.now();
        self.members.record_heartbeat(now, &heartbeat.member, heartbeat.leaving);
        for member in &heartbeat.gone {
            self.members.mark_gone(member);
        }
        self.slots.update_peer_slots(&heartbeat.member, &heartbeat.slots);
        for fingerprint in heartbeat.condemned {
            for shard in self.shards.values_mut() {
                shard.dispatcher.condemn(fingerprint);
            }
        }
        if heartbeat.config_clock > self.register.clock() {
            self.pull_configs(&heartbeat.member.name);
        }
    }

    /// Records that a peer's process is gone and, if that is news, tells the other peers at once.
    pub(super) fn on_peer_refused(&mut self, peer: &DaemonName) {
        if self.members.record_refusal(peer) {
            self.send_heartbeats();
        }
    }

    /// Adjusts the failure detection timeout to the heartbeat interval, which grows with the cell.
    fn update_dead_after(&mut self) {
        let limits = &self.node.settings.limits;
        let min_interval = Millis(limits.heartbeat_ms);
        let interval = heartbeat_interval(min_interval, self.vms.entries.len());
        let configured_ms = limits.heartbeat_ms * limits.heartbeats_missed;
        self.members.set_dead_after(Millis(configured_ms.max(interval.0 * DEAD_AFTER_INTERVALS)));
    }

    /// Applies a new VM list and starts background tasks for new peers and runners.
    pub(super) fn on_vm_list(&mut self, vms: Vms) {
        if vms == self.vms {
            return;
        }
        self.vms = vms;
        let now = self.now();
        self.update_dead_after();
        self.set_runners(now);
        self.publish(now);
        let names: Vec<DaemonName> = self.vms.entries.iter().map(|vm| vm.name.clone()).collect();
        for name in names {
            if name != self.node.me.name && self.background.peers.insert(name.clone()) {
                self.tasks.spawn(exchange_periodically(self.node.clone(), name)).detach();
            }
        }
        for vm in self.vms.runners.clone() {
            if self.background.runners.insert(vm.name.clone()) {
                self.tasks.spawn(poll_reports(self.node.clone(), vm.upstream, vm.name)).detach();
            }
        }
    }

    /// Sends a heartbeat to every live peer without waiting for the interval.
    pub(super) fn send_heartbeats(&mut self) {
        self.node.set_heartbeat(self.heartbeat().into());
        let now = self.now();
        for peer in self.members.live_peers(now) {
            let node = self.node.clone();
            let send = async move {
                exchange(&node, &peer.name).await;
            };
            self.tasks.spawn(send).detach();
        }
    }

    /// Logs peers that became live or dead, and closes connections to dead ones.
    pub(super) fn log_peer_changes(&mut self, now: Millis) {
        for name in &self.background.peers {
            let health = self.members.health(now, name);
            let live = matches!(health, PeerHealth::Live(_) | PeerHealth::Leaving(_));
            let before = self.background.logged_live.insert(name.clone(), live);
            if before == Some(live) || (before.is_none() && !live) {
                continue;
            }
            let event = if live { Event::PeerLive } else { Event::PeerDead };
            log_event!(event, daemon = self.node.me.name, peer = name);
            if !live {
                self.node.peers.forget(name);
            }
        }
    }
}

/// Exchanges heartbeats with `peer` once; a failure drops the connection.
async fn exchange<P: Platform>(node: &Node<P>, peer: &DaemonName) {
    let heartbeat = node.heartbeat();
    let send = async {
        let mut client = node.client(peer).await?;
        let reply = client.exchange(heartbeat.clone()).await.map_err(|_| PeerError::Silent)?;
        Ok(reply.into_inner())
    };
    let reply: Result<_, PeerError> = with_timeout(EXCHANGE_TIMEOUT, Err(PeerError::Silent), send).await;
    match reply {
        Ok(wire) => {
            node.metrics.count_heartbeats(&heartbeat, &wire);
            if let Ok(heartbeat) = PeerHeartbeat::try_from(wire) {
                node.send_command(Command::HeartbeatReceived(heartbeat));
            }
        }
        Err(_) => node.peers.forget(peer),
    }
}

/// Exchanges heartbeats with `peer` at the heartbeat interval. In each pair, the daemon whose name sorts
/// first initiates; the other initiates only while the peer does not count as live.
async fn exchange_periodically<P: Platform>(node: Arc<Node<P>>, peer: DaemonName) {
    let min_interval = Millis(node.settings.limits.heartbeat_ms);
    loop {
        let snapshot = node.snapshot();
        let is_live = snapshot.entry_points.iter().any(|entry| entry.name == peer);
        if node.me.name < peer || !is_live {
            exchange(&node, &peer).await;
        }
        let interval = Duration::from(heartbeat_interval(min_interval, snapshot.entries.len()));
        sleep(interval.mul_f64(0.9 + 0.2 * fastrand::f64())).await;
    }
}

/// Polls a runner's load report at an interval, while this daemon dispatches its model or service.
async fn poll_reports<P: Platform>(node: Arc<Node<P>>, upstream: ModelName, runner: RunnerName) {
    let interval = Duration::from_millis(node.settings.limits.report_ms);
    loop {
        sleep(interval.mul_f64(0.9 + 0.2 * fastrand::f64())).await;
        let dispatches = node.snapshot().dispatchers.get(&upstream) == Some(&node.me.name);
        let address = if dispatches { node.runner_address(&runner) } else { None };
        let Some(address) = address else {
            continue;
        };
        if let Ok(report) = node.platform.engines().report(&address).await {
            node.send_command(Command::RunnerReported { upstream: upstream.clone(), runner: runner.clone(), report });
        }
    }
}

/// Polls the VM list at an interval and logs the first failure after a success.
pub async fn read_vm_list<P: Platform>(node: Arc<Node<P>>) {
    let interval = Duration::from_millis(node.settings.limits.vm_list_ms);
    let mut reachable = true;
    loop {
        match node.platform.vms().read().await {
            Ok(vms) => {
                reachable = true;
                node.send_command(Command::VmsListed(vms));
            }
            Err(_) if reachable => {
                reachable = false;
                log_event!(Event::VmListUnreachable, daemon = node.me.name);
            }
            Err(_) => {}
        }
        sleep(interval.mul_f64(0.9 + 0.2 * fastrand::f64())).await;
    }
}
