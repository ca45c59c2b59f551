//! The dispatchers that this daemon runs. Dispatching is sharded by upstream: each model or service is a shard
//! with one dispatcher in the cell.

use std::collections::BTreeMap;

use async_channel::{Receiver, Sender};
use slotmap::SecondaryMap;
use teaselcroft_parts::{Fingerprint, Millis, ModelName, RequestId, RunnerName, winner};
use teaselcroft_policy::{
    Descriptor, DispatchAction, DispatchSettings, Dispatcher, EndKind, LoadReport, Outcome, RequestKey, ResultCode,
    RunnerInfo,
};

use super::Control;
use crate::command::Command;
use crate::dispatch_event::DispatchEvent;
use crate::dispatch_request::DispatchRequest;
use crate::engine::ReportWire;
use crate::platform::Platform;
use crate::status::ShardStatus;
use crate::vm_list::{RunnerVm, Vms};
use crate::{Event, log_event};

/// The dispatcher of one model or service, and the requests that it queues or has granted a runner.
pub struct Shard {
    pub(super) dispatcher: Dispatcher,
    /// Whether this daemon currently dispatches the upstream; false after another daemon took over.
    pub(super) chosen: bool,
    /// Rises with each dispatcher that this daemon starts, so that a late `Leave` of an old one is ignored.
    generation: u64,
    requests: SecondaryMap<RequestKey, ActiveRequest>,
}

struct ActiveRequest {
    request: RequestId,
    events: Sender<DispatchEvent>,
}

fn runner_info(vm: &RunnerVm) -> RunnerInfo {
    RunnerInfo {
        name: vm.name.clone(),
        zone: vm.zone.clone(),
        address: vm.address.clone(),
        places: vm.places,
        leaving: vm.leaving,
    }
}

fn runners_of(vms: &Vms, upstream: &ModelName) -> Vec<RunnerInfo> {
    vms.runners.iter().filter(|vm| vm.upstream == *upstream).map(runner_info).collect()
}

impl<P: Platform> Control<P> {
    /// Starts and stops dispatchers here, as rendezvous hashing over the live daemons assigns them.
    pub(super) fn choose_dispatchers(&mut self, now: Millis) {
        let live = self.members.live(now);
        for upstream in self.classes.upstreams() {
            let names = live.iter().map(|member| member.name.as_str());
            let chosen = winner(&format!("dispatch/{upstream}"), names) == Some(self.node.me.name.as_str());
            let was_chosen = self.shards.get(&upstream).is_some_and(|shard| shard.chosen);
            match (was_chosen, chosen) {
                (false, true) => self.start_shard(now, upstream),
                (true, false) => self.stop_shard(&upstream),
                _ => {}
            }
        }
    }

    fn start_shard(&mut self, now: Millis, upstream: ModelName) {
        let mut dispatcher = Dispatcher::new(DispatchSettings::default(), now);
        for fingerprint in self.shards.values().flat_map(|shard| shard.dispatcher.condemned()) {
            dispatcher.condemn(fingerprint);
        }
        dispatcher.set_runners(now, runners_of(&self.vms, &upstream));
        self.last_generation += 1;
        let shard = Shard { dispatcher, chosen: true, generation: self.last_generation, requests: SecondaryMap::new() };
        self.shards.insert(upstream, shard);
    }

    /// Drops the event channel of every request, so that each one is submitted to the next dispatcher.
    fn stop_shard(&mut self, upstream: &ModelName) {
        if let Some(shard) = self.shards.get_mut(upstream) {
            shard.chosen = false;
            shard.requests.clear();
        }
    }

    pub(super) fn tick_shards(&mut self, now: Millis) {
        let names: Vec<ModelName> = self.shards.keys().cloned().collect();
        for name in names {
            let actions = match self.shards.get_mut(&name) {
                Some(shard) if shard.chosen => shard.dispatcher.tick(now),
                _ => continue,
            };
            self.run_shard_actions(&name, actions);
        }
    }

    pub(super) fn set_runners(&mut self, now: Millis) {
        let names: Vec<ModelName> = self.shards.keys().cloned().collect();
        for name in names {
            let list = runners_of(&self.vms, &name);
            let actions = match self.shards.get_mut(&name) {
                Some(shard) if shard.chosen => shard.dispatcher.set_runners(now, list),
                _ => continue,
            };
            self.run_shard_actions(&name, actions);
        }
    }

    /// Submits a request to the dispatcher. If this daemon does not dispatch its upstream, `events` is
    /// dropped without a message and the request tries the next dispatcher.
    pub(super) fn enter(
        &mut self,
        dispatch: DispatchRequest,
        events: Sender<DispatchEvent>,
        outcomes: Receiver<Outcome>,
    ) {
        let now = self.now();
        let upstream = dispatch.upstream.clone();
        let request = dispatch.request.clone();
        let Some(rule) = self.classes.rule(&dispatch.class).cloned() else {
            let refusal = DispatchEvent::Refused { code: ResultCode::NoConfiguration, retry: Millis(200) };
            super::reply_to(&events, refusal);
            return;
        };
        let Some(shard) = self.shards.get_mut(&upstream).filter(|shard| shard.chosen) else {
            return;
        };
        let descriptor = Descriptor {
            request: dispatch.request,
            customer: dispatch.customer,
            class: dispatch.class,
            rule,
            fingerprint: dispatch.fingerprint,
            prefix: dispatch.prefix,
            prompt_tokens: dispatch.prompt_tokens,
            arrival: now.since(dispatch.waited),
            holding: dispatch.holding,
            admitted: dispatch.admitted,
            avoid: dispatch.avoid,
            zone: dispatch.zone,
        };
        let (key, actions) = shard.dispatcher.add(now, descriptor);
        let generation = shard.generation;
        shard.requests.insert(key, ActiveRequest { request, events });
        let control = self.node.control.clone();
        let leave_upstream = upstream.clone();
        let wait = async move {
            let outcome = outcomes.recv().await.unwrap_or(Outcome::bare(EndKind::Cancelled));
            let leave = Command::Leave { upstream: leave_upstream, generation, request_key: key, outcome };
            // Fails only while the daemon ends.
            let _ = control.send(leave).await;
        };
        self.tasks.spawn(wait).detach();
        self.run_shard_actions(&upstream, actions);
    }

    pub(super) fn leave(&mut self, upstream: &ModelName, generation: u64, request_key: RequestKey, outcome: Outcome) {
        let now = self.now();
        let Some(shard) = self.shards.get_mut(upstream).filter(|shard| shard.generation == generation) else {
            return;
        };
        shard.requests.remove(request_key);
        let actions = shard.dispatcher.remove(now, request_key, outcome);
        self.run_shard_actions(upstream, actions);
    }

    pub(super) fn on_report(&mut self, upstream: &ModelName, runner: &RunnerName, report: ReportWire) {
        let now = self.now();
        self.pushes.on_report(runner, report.revisions);
        let load = LoadReport { running: report.running, step_us: report.step_us };
        let Some(shard) = self.shards.get_mut(upstream).filter(|shard| shard.chosen) else {
            return;
        };
        let actions = shard.dispatcher.apply_report(now, runner, load);
        self.run_shard_actions(upstream, actions);
    }

    fn run_shard_actions(&mut self, upstream: &ModelName, actions: Vec<DispatchAction>) {
        for action in actions {
            match action {
                DispatchAction::Grant { request_key, runner, waited, reason } => {
                    self.grant(upstream, request_key, runner, waited, reason);
                }
                DispatchAction::Refuse { request_key, code, retry } => self.refuse(upstream, request_key, code, retry),
                DispatchAction::Preempt { request_key } => {
                    self.notify_request(
                        upstream,
                        request_key,
                        Event::Preempted,
                        DispatchEvent::Preempted,
                        String::new(),
                    );
                }
                DispatchAction::Condemn { fingerprint } => self.condemn(fingerprint),
                DispatchAction::Eject { runner } => {
                    log_event!(Event::RunnerEjected, daemon = self.node.me.name, runner = runner);
                }
            }
        }
    }

    fn grant(
        &mut self,
        upstream: &ModelName,
        request_key: RequestKey,
        runner: RunnerInfo,
        waited: Millis,
        reason: &str,
    ) {
        let Some(shard) = self.shards.get(upstream) else {
            return;
        };
        let stats = shard.dispatcher.stats();
        let considered = shard.dispatcher.pool().len();
        let waiting: u32 = stats.waiting.iter().sum();
        let grounds = format!(
            "runner {} of {considered}: {reason}; waited {waited}, {} of {} places taken, {waiting} waiting",
            runner.name, stats.running, stats.places
        );
        self.notify_request(upstream, request_key, Event::Granted, DispatchEvent::granted(runner, waited), grounds);
    }

    fn refuse(&mut self, upstream: &ModelName, request_key: RequestKey, code: ResultCode, retry: Millis) {
        let grounds = format!("{code}, retry in {retry}");
        self.notify_request(upstream, request_key, Event::Refused, DispatchEvent::Refused { code, retry }, grounds);
        if let Some(shard) = self.shards.get_mut(upstream) {
            shard.requests.remove(request_key);
        }
    }

    fn notify_request(
        &mut self,
        upstream: &ModelName,
        request_key: RequestKey,
        event: Event,
        message: DispatchEvent,
        grounds: String,
    ) {
        let Some(active) = self.shards.get(upstream).and_then(|shard| shard.requests.get(request_key)) else {
            return;
        };
        self.node.record_decision(&active.request, event, grounds);
        super::reply_to(&active.events, message);
    }

    /// Makes all dispatchers refuse content: those here at once, others by heartbeat.
    pub(super) fn condemn(&mut self, fingerprint: Fingerprint) {
        for shard in self.shards.values_mut() {
            shard.dispatcher.condemn(fingerprint);
        }
        log_event!(Event::Condemned, daemon = self.node.me.name, fingerprint = fingerprint);
        self.send_heartbeats();
    }

    pub(super) fn shard_status(&self, name: &ModelName, shard: &Shard) -> ShardStatus {
        let stats = shard.dispatcher.stats();
        let runners = self.vms.runners.iter().filter(|vm| vm.upstream == *name);
        let runners: BTreeMap<_, _> = runners.map(|vm| (vm.name.clone(), self.pushes.acknowledged(&vm.name))).collect();
        ShardStatus { waiting: stats.waiting.to_vec(), running: stats.running, places: stats.places, runners }
    }
}
