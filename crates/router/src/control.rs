//! The control thread: one loop that owns all control state.

mod configs;
mod io;
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

use crate::command::{Claimed, Command};
use crate::http_client::with_timeout;
use crate::node::Node;
use crate::platform::Platform;
use crate::pulse::Pulse;
use crate::status::DaemonStatus;
use crate::view::View;
use crate::vm_list::Vms;

use self::configs::Pushes;
pub use self::configs::watch_configs;
pub use self::peers::read_vm_list;
use self::shards::Shard;
pub use self::slots::slot_attests;

const TICK: Duration = Duration::from_millis(20);
const SHARD_TICK: Millis = Millis(100);
const PAUSE: Millis = Millis(500);
const MAX_BATCH: usize = 256;

/// A task runner for the control thread's own I/O.
pub type ControlExecutor = Arc<Executor<'static>>;

/// All control state of a daemon.
pub struct Control<P> {
    node: Arc<Node<P>>,
    tasks: ControlExecutor,
    members: Membership,
    vms: Vms,
    classes: ClassTable,
    register: ConfigRegister,
    pulling: bool,
    pushes: Pushes,
    shards: BTreeMap<ModelName, Shard>,
    lives: u64,
    shards_ticked: Millis,
    ticked: Millis,
    slots: SlotExecutor,
    claims: BTreeMap<KeyDigest, Vec<Sender<Claimed>>>,
    heartbeats: peers::Heartbeats,
    published: View,
}

impl<P: Platform> Control<P> {
    /// The state of a daemon that has just started.
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
            pulling: false,
            pushes: Pushes::default(),
            shards: BTreeMap::new(),
            lives: 0,
            shards_ticked: Millis(0),
            ticked: Millis(0),
            claims: BTreeMap::new(),
            heartbeats: peers::Heartbeats::default(),
            published: View::default(),
        }
    }

    /// Runs until the last sender of commands is gone.
    pub async fn run(mut self, commands: Receiver<Command>) {
        let mut next_tick = std::time::Instant::now();
        loop {
            let now = std::time::Instant::now();
            if now >= next_tick {
                next_tick = now + TICK;
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
        for _ in 1..MAX_BATCH {
            let Ok(command) = commands.try_recv() else {
                return;
            };
            self.handle(command);
        }
    }

    fn now(&self) -> Millis {
        self.node.clock.now()
    }

    /// Notices that this process did not run for a while.
    fn note_pause(&mut self, now: Millis) {
        let gap = now.since(self.ticked);
        self.ticked = now;
        if gap >= PAUSE {
            self.members.resumed(gap);
            self.slots.listen(now);
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        self.note_pause(now);
        let actions = self.slots.tick(now, &self.members);
        self.act_on_slots(actions);
        self.choose_dispatchers(now);
        if now.since(self.shards_ticked) >= SHARD_TICK {
            self.shards_ticked = now;
            self.tick_shards(now);
            self.push_configs();
        }
        self.choose_readers(now);
        self.note_peers(now);
        self.publish(now);
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Enter { place, events, ends } => self.enter(place, events, ends),
            Command::Leave { upstream, life, place, outcome } => self.leave(&upstream, life, place, outcome),
            Command::Heard(pulse) => self.heard(pulse),
            Command::PeerRefused(peer) => self.peer_refused(&peer),
            Command::Listed(vms) => self.listed(vms),
            Command::Reported { upstream, runner, report } => self.reported(&upstream, &runner, report),
            Command::Ordered { runner, team, revision } => self.ordered(runner, team, revision),
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
            Command::Configs(configs) => self.take_configs(configs),
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
        self.members.leave();
        let now = self.now();
        self.publish(now);
        self.heartbeat_all();
        self.choose_dispatchers(now);
    }

    /// Lets the configurations be watched by a few daemons of the cell.
    fn choose_readers(&mut self, now: Millis) {
        let mut live = self.members.live(now);
        live.sort_by_key(|member| teaselcroft_parts::rank("config-reader", member.name.as_str()));
        live.truncate(self.node.settings.limits.config_readers);
        let chosen = live.iter().any(|member| *member == self.node.me);
        self.node.reads_configs.store(chosen, Ordering::Release);
    }

    /// Shows the traffic threads and the peers what changed.
    fn publish(&mut self, now: Millis) {
        self.node.set_pulse(self.pulse().into());
        let view = self.view(now);
        if view != self.published {
            self.published = view.clone();
            self.node.publish(view);
        }
    }

    fn pulse(&self) -> Pulse {
        let condemned = self.shards.values().flat_map(|shard| shard.dispatcher.condemned());
        Pulse {
            member: self.node.me.clone(),
            leaving: self.members.is_leaving(),
            config_clock: self.register.clock(),
            store_reachable: self.node.is_store_up(),
            slots: self.slots.owned(),
            condemned: condemned.collect(),
            gone: self.members.gone(),
        }
    }

    fn view(&self, now: Millis) -> View {
        let entries = self.vms.entries.iter().map(|vm| (vm.name.clone(), vm.clone()));
        let live = self.members.live(now);
        let open = self.vms.entries.iter().filter(|vm| live.iter().any(|member| member.name == vm.name));
        let open =
            open.map(|vm| EntryPoint { name: vm.name.clone(), zone: vm.zone.clone(), address: vm.address.clone() });
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
        View {
            classes: self.classes.clone(),
            entries: entries.collect(),
            open: open.collect(),
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

/// Answers a question; nobody minds if the asker is gone.
fn reply_to<T>(answer: &Sender<T>, value: T) {
    let _ = answer.try_send(value);
}

/// Waits between two rounds of a background task.
async fn pause(span: Duration) {
    Timer::after(span).await;
}
