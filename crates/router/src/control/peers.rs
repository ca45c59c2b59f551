//! Heartbeats, the VM list and load reports.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use teaselcroft_parts::{DaemonName, Millis, ModelName, PeerHealth, RunnerName};

use super::{Control, pause};
use crate::command::Command;
use crate::engine::Engine;
use crate::http_client::with_timeout;
use crate::node::Node;
use crate::peer_channel::PeerError;
use crate::platform::Platform;
use crate::pulse::Pulse;
use crate::vm_list::{VmList, Vms};
use crate::{Event, emit};

const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);

/// Bytes that one exchange of heartbeats puts on the wire, both ways.
const EXCHANGE_BYTES: u64 = 360;

/// Bytes a second that one daemon's heartbeats may take, both ways.
const HEARTBEAT_BUDGET: u64 = 2_000;

/// Rounds of heartbeats without a word after which a peer counts as dead.
const SILENT_ROUNDS: u64 = 3;

/// Background tasks of the control thread and what they last saw.
#[derive(Debug, Default)]
pub struct Heartbeats {
    peers: BTreeSet<DaemonName>,
    runners: BTreeSet<RunnerName>,
    health: BTreeMap<DaemonName, bool>,
}

/// The time between heartbeats of each pair in a cell of `daemons`, at least `shortest`.
pub fn heartbeat_every(shortest: Millis, daemons: usize) -> Millis {
    let bytes = EXCHANGE_BYTES * daemons.saturating_sub(1) as u64;
    shortest.max(Millis(bytes * 1_000 / HEARTBEAT_BUDGET))
}

impl<P: Platform> Control<P> {
    pub(super) fn heard(&mut self, pulse: Pulse) {
        let now = self.now();
        self.members.heard(now, &pulse.member, pulse.leaving);
        for member in &pulse.gone {
            self.members.said_gone(member);
        }
        self.slots.peer_owns(&pulse.member, &pulse.slots);
        for fingerprint in pulse.condemned {
            for shard in self.shards.values_mut() {
                shard.dispatcher.condemn(fingerprint);
            }
        }
        if pulse.config_clock > self.register.clock() {
            self.pull_configs(&pulse.member.name);
        }
    }

    /// Takes in that a peer's process is gone, and tells the others at once.
    pub(super) fn peer_refused(&mut self, peer: &DaemonName) {
        if self.members.refused(peer) {
            self.heartbeat_all();
        }
    }

    /// Lets peers be silent for as long as the time between heartbeats allows.
    fn judge_silence(&mut self) {
        let limits = &self.node.settings.limits;
        let shortest = Millis(limits.heartbeat_ms);
        let every = heartbeat_every(shortest, self.vms.entries.len());
        let least = limits.heartbeat_ms * limits.heartbeats_missed;
        self.members.set_dead_after(Millis(least.max(every.0 * SILENT_ROUNDS)));
    }

    /// Takes in the VM list and starts to talk to what is new on it.
    pub(super) fn listed(&mut self, vms: Vms) {
        if vms == self.vms {
            return;
        }
        self.vms = vms;
        let now = self.now();
        self.judge_silence();
        self.set_runners(now);
        self.publish(now);
        let names: Vec<DaemonName> = self.vms.entries.iter().map(|vm| vm.name.clone()).collect();
        for name in names {
            if name != self.node.me.name && self.heartbeats.peers.insert(name.clone()) {
                self.tasks.spawn(exchange_forever(self.node.clone(), name)).detach();
            }
        }
        for vm in self.vms.runners.clone() {
            if self.heartbeats.runners.insert(vm.name.clone()) {
                self.tasks.spawn(poll_reports(self.node.clone(), vm.upstream, vm.name)).detach();
            }
        }
    }

    /// Sends a heartbeat to every live peer at once.
    pub(super) fn heartbeat_all(&mut self) {
        self.node.set_pulse(self.pulse().into());
        let now = self.now();
        for peer in self.members.live_peers(now) {
            let node = self.node.clone();
            let send = async move {
                exchange(&node, &peer.name).await;
            };
            self.tasks.spawn(send).detach();
        }
    }

    /// Logs peers that came or went.
    pub(super) fn note_peers(&mut self, now: Millis) {
        for name in &self.heartbeats.peers {
            let health = self.members.health(now, name);
            let live = matches!(health, PeerHealth::Live(_) | PeerHealth::Leaving(_));
            let before = self.heartbeats.health.insert(name.clone(), live);
            if before == Some(live) || (before.is_none() && !live) {
                continue;
            }
            let event = if live { Event::PeerLive } else { Event::PeerDead };
            emit!(event, daemon = self.node.me.name, peer = name);
            if !live {
                self.node.peers.forget(name);
            }
        }
    }
}

/// Exchanges heartbeats with `peer` once.
async fn exchange<P: Platform>(node: &Node<P>, peer: &DaemonName) {
    let pulse = node.pulse();
    let send = async {
        let mut client = node.client(peer).await?;
        let reply = client.exchange(pulse.clone()).await.map_err(|_| PeerError::Silent)?;
        Ok(reply.into_inner())
    };
    let reply: Result<_, PeerError> = with_timeout(EXCHANGE_TIMEOUT, Err(PeerError::Silent), send).await;
    match reply {
        Ok(wire) => {
            node.metrics.count_heartbeats(&pulse, &wire);
            if let Ok(pulse) = Pulse::try_from(wire) {
                node.tell(Command::Heard(pulse));
            }
        }
        Err(_) => node.peers.forget(peer),
    }
}

/// Exchanges heartbeats with `peer` again and again. Of each pair the first by name begins; the
/// other begins while it does not hear the first.
async fn exchange_forever<P: Platform>(node: Arc<Node<P>>, peer: DaemonName) {
    let shortest = Millis(node.settings.limits.heartbeat_ms);
    loop {
        let view = node.view();
        let heard = view.open.iter().any(|entry| entry.name == peer);
        if node.me.name < peer || !heard {
            exchange(&node, &peer).await;
        }
        let every = Duration::from(heartbeat_every(shortest, view.entries.len()));
        pause(every.mul_f64(0.9 + 0.2 * fastrand::f64())).await;
    }
}

/// Polls a runner's load report while this daemon dispatches its model or service.
async fn poll_reports<P: Platform>(node: Arc<Node<P>>, upstream: ModelName, runner: RunnerName) {
    let every = Duration::from_millis(node.settings.limits.report_ms);
    loop {
        pause(every.mul_f64(0.9 + 0.2 * fastrand::f64())).await;
        let dispatches = node.view().dispatchers.get(&upstream) == Some(&node.me.name);
        let address = if dispatches { node.runner_address(&runner) } else { None };
        let Some(address) = address else {
            continue;
        };
        if let Ok(report) = node.platform.engines().report(&address).await {
            node.tell(Command::Reported { upstream: upstream.clone(), runner: runner.clone(), report });
        }
    }
}

/// Reads the VM list again and again.
pub async fn read_vm_list<P: Platform>(node: Arc<Node<P>>) {
    let every = Duration::from_millis(node.settings.limits.vm_list_ms);
    let mut reachable = true;
    loop {
        match node.platform.vms().read().await {
            Ok(vms) => {
                reachable = true;
                node.tell(Command::Listed(vms));
            }
            Err(_) if reachable => {
                reachable = false;
                emit!(Event::VmListUnreachable, daemon = node.me.name);
            }
            Err(_) => {}
        }
        pause(every.mul_f64(0.9 + 0.2 * fastrand::f64())).await;
    }
}
