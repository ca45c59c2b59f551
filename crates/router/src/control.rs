//! The control thread: a single event loop that owns membership, dispatchers, configurations and slots.

mod configs;
mod peer_calls;
mod peers;
mod shards;
mod slots;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use smol::{Executor, Timer};
use teaselcroft_parts::{ConfigRegister, KeyDigest, Membership, MembershipSettings, Millis, ModelName, winner};
use teaselcroft_policy::{ClassTable, EntryPoint, Executor as SlotExecutor, ExecutorSettings};

use crate::cell_snapshot::CellSnapshot;
use crate::command::{ClaimReply, Command};
use crate::http_client::with_timeout;
use crate::node::Node;
use crate::peer_heartbeat::PeerHeartbeat;
use crate::platform::Platform;
use crate::status::DaemonStatus;
use crate::vm_list::Vms;

use self::configs::PushState;
pub use self::configs::watch_configs;
pub use self::peers::read_vm_list;
use self::shards::Shard;
pub use self::slots::slot_proves_not_run;

const TICK_INTERVAL: Duration = Duration::from_millis(20);
const SHARD_TICK_INTERVAL: Millis = Millis(100);
/// A gap between ticks from which the process counts as having been suspended.
const SUSPEND_THRESHOLD: Millis = Millis(500);
/// Commands handled before the loop checks again whether a tick is due.
const MAX_COMMAND_BATCH: usize = 256;

/// The executor of the control thread's I/O tasks.
pub type ControlExecutor = Arc<Executor<'static>>;

/// The control state of a daemon; used by the control thread only, so it needs no locks.
pub struct Control<P> {
    node: Arc<Node<P>>,
    tasks: ControlExecutor,
    members: Membership,
    vms: Vms,
    classes: ClassTable,
    /// The newest accepted configuration of each team, to serve to peers.
    register: ConfigRegister,
    /// Whether configurations are being pulled from a peer.
    pull_pending: bool,
    pushes: PushState,
    shards: BTreeMap<ModelName, Shard>,
    /// The generation of the dispatcher started last.
    last_generation: u64,
    last_shard_tick: Millis,
    last_tick: Millis,
    slots: SlotExecutor,
    /// Who waits for the answer to each pending claim.
    claims: BTreeMap<KeyDigest, Vec<Sender<ClaimReply>>>,
    background: peers::BackgroundTasks,
    /// The snapshot published last; an equal one is not published again.
    published: CellSnapshot,
}

impl<P: Platform> Control<P> {
    /// Creates the control state of a daemon that has just started.
    pub fn new(node: Arc<Node<P>>, tasks: ControlExecutor) -> Control<P> {
        let limits = &node.settings.limits;
        let dead_after = Millis(limits.heartbeat_ms * limits.heartbeats_missed);
        let members = Membership::new(MembershipSettings { dead_after }, node.me.clone());
        let settings = ExecutorSettings { slots: limits.slots, ..ExecutorSettings::default() };
        let slots = SlotExecutor::new(settings, node.me.clone(), node.clock.now());
        Control {
            members,
            slots,
            node,
            tasks,
            vms: Vms::default(),
            classes: ClassTable::default(),
            register: ConfigRegister::default(),
            pull_pending: false,
            pushes: PushState::default(),
            shards: BTreeMap::new(),
            last_generation: 0,
            last_shard_tick: Millis(0),
            last_tick: Millis(0),
            claims: BTreeMap::new(),
            background: peers::BackgroundTasks::default(),
            published: CellSnapshot::default(),
        }
    }

    /// Handles commands and ticks until all command senders are dropped.
    pub async fn run(mut self, commands: Receiver<Command>) {
        let mut next_tick = std::time::Instant::now();
        loop {
            let now = std::time::Instant::now();
            if now >= next_tick {
                next_tick = now + TICK_INTERVAL;
                self.tick();
            }
            let command = with_timeout(next_tick - now, Ok(None), async { commands.recv().await.map(Some) }).await;
            match command {
                Ok(Some(command)) => self.handle_batch(command, &commands),
                Ok(None) => {}
                Err(_) => return,
            }
        }
    }

    fn handle_batch(&mut self, first: Command, commands: &Receiver<Command>) {
        self.handle(first);
        for _ in 1..MAX_COMMAND_BATCH {
            let Ok(command) = commands.try_recv() else {
                return;
            };
            self.handle(command);
        }
    }

    fn now(&self) -> Millis {
        self.node.clock.now()
    }

    /// Detects that this process was suspended. That time does not count as silence of peers, and slots are
    /// taken over only after waiting for heartbeats again.
    fn detect_suspension(&mut self, now: Millis) {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        if gap >= SUSPEND_THRESHOLD {
            self.members.record_suspension(gap);
            self.slots.restart_listening(now);
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        self.detect_suspension(now);
        let actions = self.slots.tick(now, &self.members);
        self.run_slot_actions(actions);
        self.choose_dispatchers(now);
        if now.since(self.last_shard_tick) >= SHARD_TICK_INTERVAL {
            self.last_shard_tick = now;
            self.tick_shards(now);
            self.push_configs();
        }
        self.choose_config_readers(now);
        self.log_peer_changes(now);
        self.publish(now);
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Enter { dispatch, events, outcomes } => self.enter(dispatch, events, outcomes),
            Command::Leave { upstream, generation, request_key, outcome } => {
                self.leave(&upstream, generation, request_key, outcome)
            }
            Command::HeartbeatReceived(heartbeat) => self.on_heartbeat(heartbeat),
            Command::PeerRefused(peer) => self.on_peer_refused(&peer),
            Command::VmsListed(vms) => self.on_vm_list(vms),
            Command::RunnerReported { upstream, runner, report } => self.on_report(&upstream, &runner, report),
            Command::OrderAnswered { runner, team, revision } => self.on_order_answer(runner, team, revision),
            Command::Claim { slot, key, answer } => self.claim(slot, key, answer),
            Command::CancelClaim { slot, key, answer } => self.cancel_claim(slot, key, &answer),
            Command::SlotRead { slot, result } => self.slot_read(slot, result),
            Command::SlotWritten { slot, result } => self.slot_written(slot, result),
            Command::GapRecorded(answer) => self.gap_recorded(&answer),
            Command::GapAnswered { slot, from, gap } => self.gap_answered(slot, &from, gap),
            Command::Witness { slot, epoch, through, owner, record, answer } => {
                let reply = match record {
                    true => self.slots.record_gap(slot, epoch, through, owner),
                    false => self.slots.ask_gap(slot, epoch, owner),
                };
                reply_to(&answer, reply);
            }
            Command::Configs(configs) => self.apply_configs(configs),
            Command::PullConfigs { after, answer } => {
                let newer = self.register.newer_than(after);
                reply_to(&answer, newer.map(|(team, config)| (team.clone(), config.clone())).collect());
            }
            Command::Status(answer) => reply_to(&answer, self.status()),
            Command::Leaving => self.begin_leaving(),
            Command::ReleaseSlots => self.slots.stop(),
        }
    }

    fn begin_leaving(&mut self) {
        self.members.set_leaving();
        let now = self.now();
        self.publish(now);
        self.send_heartbeats();
        self.choose_dispatchers(now);
    }

    /// Decides whether this daemon is among the few of its cell that watch the key-value service for
    /// configurations; live daemons are ranked by hash.
    fn choose_config_readers(&mut self, now: Millis) {
        let mut live = self.members.live(now);
        live.sort_by_key(|member| teaselcroft_parts::rank("config-reader", member.name.as_str()));
        live.truncate(self.node.settings.limits.config_readers);
        let chosen = live.iter().any(|member| *member == self.node.me);
        self.node.reads_configs.store(chosen, Ordering::Release);
    }

    /// Updates the heartbeat sent to peers and, if it changed, the snapshot for the traffic threads.
    fn publish(&mut self, now: Millis) {
        self.node.set_heartbeat(self.heartbeat().into());
        let snapshot = self.snapshot(now);
        if snapshot != self.published {
            self.published = snapshot.clone();
            self.node.publish(snapshot);
        }
    }

    fn heartbeat(&self) -> PeerHeartbeat {
        let condemned = self.shards.values().flat_map(|shard| shard.dispatcher.condemned());
        PeerHeartbeat {
            member: self.node.me.clone(),
            leaving: self.members.is_leaving(),
            config_clock: self.register.clock(),
            store_reachable: self.node.is_store_up(),
            slots: self.slots.owned(),
            condemned: condemned.collect(),
            gone: self.members.gone(),
        }
    }

    fn snapshot(&self, now: Millis) -> CellSnapshot {
        let entries = self.vms.entries.iter().map(|vm| (vm.name.clone(), vm.clone()));
        let live = self.members.live(now);
        let entry_points = self.vms.entries.iter().filter(|vm| live.iter().any(|member| member.name == vm.name));
        let entry_points = entry_points.map(|vm| EntryPoint {
            name: vm.name.clone(),
            zone: vm.zone.clone(),
            address: vm.address.clone(),
        });
        let runners = self.vms.runners.iter().map(|vm| (vm.name.clone(), vm.address.clone()));
        let names = || live.iter().map(|member| member.name.as_str());
        let dispatchers = self.classes.upstreams().into_iter().filter_map(|upstream| {
            let chosen = winner(&format!("dispatch/{upstream}"), names())?;
            Some((upstream, chosen.parse().ok()?))
        });
        let slots = (0..self.node.settings.limits.slots).map(teaselcroft_parts::SlotId);
        let executors = slots.filter_map(|slot| {
            let owner = self.slots.owner_of(slot)?;
            self.members.is_alive(now, owner).then(|| (slot, owner.clone()))
        });
        CellSnapshot {
            classes: self.classes.clone(),
            entries: entries.collect(),
            entry_points: entry_points.collect(),
            runners: runners.collect(),
            dispatchers: dispatchers.collect(),
            executors: executors.collect(),
        }
    }

    fn status(&self) -> DaemonStatus {
        let now = self.now();
        let shards = self.shards.iter().filter(|(_, shard)| shard.chosen);
        DaemonStatus {
            daemon: self.node.me.name.clone(),
            zone: self.node.settings.zone.clone(),
            incarnation: self.node.me.incarnation.to_string(),
            leaving: self.members.is_leaving(),
            store_reachable: self.node.is_store_up(),
            revisions: self.classes.revisions().clone(),
            live: self.members.live(now).into_iter().map(|member| member.name).collect(),
            slots: self.slots.owned().into_iter().map(|(slot, _)| slot.0).collect(),
            in_flight: self.node.in_flight.load(Ordering::Acquire),
            shards: shards.map(|(name, shard)| (name.clone(), self.shard_status(name, shard))).collect(),
        }
    }
}

/// Sends a reply; a receiver that has been dropped is ignored.
fn reply_to<T>(answer: &Sender<T>, value: T) {
    let _ = answer.try_send(value);
}

/// Waits for `span`, as between two rounds of a background task.
async fn sleep(span: Duration) {
    Timer::after(span).await;
}
