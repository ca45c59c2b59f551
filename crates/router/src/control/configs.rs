//! Applies accepted configurations here and orders runners to apply them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use teaselcroft_parts::{ConfigValue, Millis, RunnerName, TeamName};
use teaselcroft_policy::TeamConfig;

use super::{Control, sleep};
use crate::command::Command;
use crate::engine::{Engine, OrderWire};
use crate::node::Node;
use crate::platform::Platform;
use crate::{Event, log_event};

/// Delay before checking again whether this daemon is a config reader, and after a failed order.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Age from which a runner's report is too old to send an order on, as when this daemon was suspended in between.
const MAX_REPORT_AGE: Millis = Millis(1_000);
/// Mean delay, before jitter of ±50 %, until a failed watch is repeated.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// The key prefix of accepted configurations in the key-value service.
pub const CONFIG_PREFIX: &str = "config/";

/// The revisions that each runner has acknowledged, and the orders in flight.
#[derive(Debug, Default)]
pub struct PushState {
    acknowledged: BTreeMap<RunnerName, BTreeMap<TeamName, u64>>,
    in_flight: BTreeSet<(RunnerName, TeamName)>,
}

impl PushState {
    /// Records the revisions that a runner reports as in force.
    pub fn on_report(&mut self, runner: &RunnerName, revisions: BTreeMap<TeamName, u64>) {
        self.acknowledged.insert(runner.clone(), revisions);
    }

    /// The revisions in force at `runner`, by team; empty if it never reported.
    pub fn acknowledged(&self, runner: &RunnerName) -> BTreeMap<TeamName, u64> {
        self.acknowledged.get(runner).cloned().unwrap_or_default()
    }

    /// Whether an order is due; false for a runner that never reported and while an order is in flight.
    fn needs_push(&self, runner: &RunnerName, team: &TeamName, revision: u64) -> bool {
        let Some(revisions) = self.acknowledged.get(runner) else {
            return false;
        };
        let current = revisions.get(team).copied().unwrap_or(0);
        current < revision && !self.in_flight.contains(&(runner.clone(), team.clone()))
    }
}

impl<P: Platform> Control<P> {
    /// Applies accepted configurations; they may arrive in any order, and older ones are ignored.
    pub(super) fn apply_configs(&mut self, configs: Vec<(TeamName, ConfigValue)>) {
        self.pull_pending = false;
        for (team, config) in configs {
            let version = config.version;
            let parsed: Result<TeamConfig, _> = serde_json::from_slice(&config.value);
            if !self.register.offer(team.clone(), config) {
                continue;
            }
            let Ok(parsed) = parsed else {
                log::warn!(team:% = team, version = version; "cannot parse the accepted configuration");
                continue;
            };
            match self.classes.apply(&parsed) {
                Ok(true) => {
                    log_event!(
                        Event::ConfigInForce,
                        daemon = self.node.me.name,
                        team = team,
                        revision = parsed.revision
                    );
                }
                Ok(false) => {}
                Err(error) => log::warn!(team:% = team; "{error}"),
            }
        }
        let now = self.now();
        self.choose_dispatchers(now);
        self.publish(now);
    }

    /// Pulls the configurations that are newer than the newest one known here from a peer, one pull at a time.
    pub(super) fn pull_configs(&mut self, from: &teaselcroft_parts::DaemonName) {
        if self.pull_pending {
            return;
        }
        self.pull_pending = true;
        let node = self.node.clone();
        let from = from.clone();
        let after = self.register.clock();
        let pull = async move {
            let configs = super::peer_calls::pull_configs(&node, &from, after).await;
            node.send_command(Command::Configs(configs));
        };
        self.tasks.spawn(pull).detach();
    }

    /// Orders runners that this daemon dispatches to apply configurations they have not acknowledged.
    pub(super) fn push_configs(&mut self) {
        let shards = self.shards.iter().filter(|(_, shard)| shard.chosen);
        let mut orders = Vec::new();
        for (upstream, _) in shards {
            let teams = self.classes.teams_of(upstream);
            for vm in self.vms.runners.iter().filter(|vm| vm.upstream == *upstream) {
                let due =
                    teams.iter().filter(|team| self.pushes.needs_push(&vm.name, team, self.classes.revision(team)));
                orders.extend(due.map(|team| (vm.clone(), team.clone())));
            }
        }
        for (vm, team) in orders {
            let revision = self.classes.revision(&team);
            self.pushes.in_flight.insert((vm.name.clone(), team.clone()));
            let order = OrderWire { team, revision, fence: revision };
            let push = push_config(self.node.clone(), vm.name, vm.address, order);
            self.tasks.spawn(push).detach();
        }
    }

    pub(super) fn on_order_answer(&mut self, runner: RunnerName, team: TeamName, revision: Option<u64>) {
        self.pushes.in_flight.remove(&(runner.clone(), team.clone()));
        let Some(revision) = revision else {
            return;
        };
        log_event!(Event::ConfigPushed, daemon = self.node.me.name, runner = runner, team = team, revision = revision);
        self.pushes.acknowledged.entry(runner).or_default().insert(team, revision);
    }
}

/// Sends an order if a fresh report shows that the runner has an older revision, and returns the answer to
/// the control thread.
async fn push_config<P: Platform>(node: Arc<Node<P>>, runner: RunnerName, address: String, order: OrderWire) {
    let engines = node.platform.engines();
    let started = node.clock.now();
    let current = engines.report(&address).await.ok().map(|report| report.revisions);
    let outdated = current.is_some_and(|current| current.get(&order.team).copied().unwrap_or(0) < order.revision);
    let fresh = node.clock.now().since(started) < MAX_REPORT_AGE;
    let applied = outdated && fresh && engines.order(&address, &order).await == Ok(true);
    let revision = applied.then_some(order.revision);
    if revision.is_none() {
        sleep(IDLE_INTERVAL).await;
    }
    node.send_command(Command::OrderAnswered { runner, team: order.team, revision });
}

/// Watches the key-value service for configurations while this daemon is one of the config readers.
pub async fn watch_configs<P: Platform>(node: Arc<Node<P>>) {
    let mut last_version = 0;
    loop {
        if !node.reads_configs.load(std::sync::atomic::Ordering::Acquire) {
            sleep(IDLE_INTERVAL).await;
            continue;
        }
        match node.store_watch(CONFIG_PREFIX, last_version).await {
            Ok(found) => {
                last_version = found.iter().map(|(_, stored)| stored.version).fold(last_version, u64::max);
                let configs = found.into_iter().filter_map(|(key, stored)| {
                    let team = key.strip_prefix(CONFIG_PREFIX)?.parse().ok()?;
                    Some((team, ConfigValue { version: stored.version, value: stored.value }))
                });
                node.send_command(Command::Configs(configs.collect()));
            }
            Err(_) => sleep(WATCH_RETRY_DELAY.mul_f64(0.5 + fastrand::f64())).await,
        }
    }
}
