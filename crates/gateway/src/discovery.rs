//! Keeps what the store says in force: the configuration, the runners, the other daemons, this daemon's entry.

mod follow;
mod missing_runners;
mod store_health;

use std::collections::HashSet;
use std::sync::Arc;

use async_io::Timer;
use prost::Message;
use teaselcroft_parts::{Millis, ModelName, RunnerName};

use crate::dialect::Dialect;
use crate::gate::Gate;
use crate::heartbeat::MemberRecord;
use crate::store::{Change, Changes, LeaseId, Revision, Store, StoreError};
use crate::{Event, record};
use follow::{Follower, follow};
pub use missing_runners::MissingRunners;
pub use store_health::StoreHealth;

/// Where daemons register themselves.
const MEMBER_PREFIX: &str = "teaselcroft/daemons/";

/// How long a daemon stays registered after its last renewal.
const LEASE_TIME: Millis = Millis(5_000);

/// The time between renewals; two may be lost.
const RENEWAL_TIME: Millis = Millis(1_500);

/// The time between lists of the registered daemons, once others are known.
const MEMBERS_TIME: Millis = Millis(8_000);

/// The time between lists while nobody else is known.
const MEMBERS_FIRST_TIME: Millis = Millis(600);

/// The pause after a call that the store did not answer.
const RETRY_TIME: Millis = Millis(400);

/// Entries of runners lapse while the store is away and return so soon after it; the users state two seconds.
const RETURN_TIME: Millis = Millis(2_200);

/// Follows the configuration for good.
pub async fn follow_configuration<D: Dialect, S: Store>(gate: Arc<Gate<D>>, store: Arc<S>, health: Arc<StoreHealth>) {
    let key = gate.dialect.configuration_key();
    follow(&*store, key, &health, &gate, &mut ConfigurationFollower { gate: &gate, key }).await;
}

struct ConfigurationFollower<'a, D> {
    gate: &'a Gate<D>,
    key: &'static str,
}

impl<D: Dialect> Follower for ConfigurationFollower<'_, D> {
    fn listed(&mut self, list: Changes) {
        self.changed(list.changes);
    }

    fn changed(&mut self, changes: Vec<Change>) {
        for change in changes.into_iter().filter(|change| change.key == self.key) {
            if let Some(value) = change.value {
                self.gate.apply_configuration(value, "store");
            }
        }
    }
}

/// Follows the runners for good.
pub async fn follow_runners<D: Dialect, S: Store>(gate: Arc<Gate<D>>, store: Arc<S>, health: Arc<StoreHealth>) {
    let prefix = gate.dialect.runner_prefix();
    follow(&*store, prefix, &health, &gate, &mut RunnerFollower { gate: &gate, prefix, health: &health }).await;
}

struct RunnerFollower<'a, D> {
    gate: &'a Arc<Gate<D>>,
    prefix: &'static str,
    health: &'a Arc<StoreHealth>,
}

impl<D: Dialect> RunnerFollower<'_, D> {
    fn lost(&self, name: &str, revision: Revision) {
        let Ok(name) = name.parse::<RunnerName>() else {
            return;
        };
        let known = self.gate.fleet().find(&name);
        if let Some((_, record, _)) = known {
            self.health.missing(name, record.service.clone(), revision, self.gate.now());
        }
    }

    fn seen(&self, name: &str, value: &[u8], revision: Revision) {
        match self.gate.dialect.runner(name, value) {
            Ok(runner) => {
                self.health.present(&runner.name);
                let line = (runner.name.clone(), runner.service.clone(), runner.address, runner.is_ready);
                let is_news = self.gate.fleet().seen(runner, revision);
                if is_news {
                    if !line.3 {
                        self.gate.fleet().note_left(&line.0, revision, self.gate.now());
                    }
                    record!(Event::RunnerSeen, runner = line.0, service = line.1, address = line.2, ready = line.3);
                }
            }
            Err(error) => {
                record!(Event::EntryIgnored, key = name, reason = error, source = "store");
                self.lost(name, revision);
            }
        }
    }
}

impl<D: Dialect> Follower for RunnerFollower<'_, D> {
    fn listed(&mut self, list: Changes) {
        let listed: HashSet<String> = list.changes.iter().map(|change| change.key.clone()).collect();
        let known = self.gate.fleet().names();
        for name in known.iter().filter(|name| !listed.contains(&format!("{}{name}", self.prefix))) {
            self.lost(name.as_str(), list.revision);
        }
        self.changed(list.changes);
    }

    fn changed(&mut self, changes: Vec<Change>) {
        for change in changes {
            let Some(name) = change.key.strip_prefix(self.prefix) else {
                continue;
            };
            match change.value {
                Some(value) => self.seen(name, &value, change.revision),
                None => self.lost(name, change.revision),
            }
        }
        drop_missing(self.gate, self.health);
        self.gate.metrics.runners.set(i64::try_from(self.gate.fleet().ready_count()).unwrap_or(i64::MAX));
    }
}

/// Forgets runners whose entries are missing and will not return.
pub fn drop_missing<D: Dialect>(gate: &Gate<D>, health: &StoreHealth) {
    let known = |service: &ModelName| gate.fleet().count_of(service);
    for (name, revision) in health.take_gone(known, gate.now()) {
        gate.fleet().note_left(&name, revision, gate.now());
        let key = gate.fleet().gone(&name);
        if let Some(key) = key {
            gate.pool().forget(key);
            record!(Event::RunnerLeft, runner = name, source = "store");
        }
    }
}

/// Reads now and then which daemons are registered; heartbeats tell the rest.
pub async fn list_members<D: Dialect, S: Store>(gate: Arc<Gate<D>>, store: Arc<S>) {
    loop {
        let is_known = match store.list_stale(MEMBER_PREFIX).await {
            Ok(changes) => learn_members(&gate, changes.changes),
            Err(error) => {
                log::debug!("the registered daemons could not be listed: {error}");
                false
            }
        };
        let pause = if is_known { MEMBERS_TIME } else { MEMBERS_FIRST_TIME };
        Timer::after(Millis(pause.0 / 2 + fastrand::u64(0..=pause.0)).into()).await;
    }
}

/// Takes in a list of the registered daemons; true if it names others.
fn learn_members<D: Dialect>(gate: &Gate<D>, changes: Vec<Change>) -> bool {
    let mut listed = Vec::new();
    for change in changes {
        let name = change.key.strip_prefix(MEMBER_PREFIX).unwrap_or(&change.key).to_owned();
        match change.value.as_deref().map(MemberRecord::decode) {
            Some(Ok(member)) => gate.roster().learn(member, true, gate.now()),
            Some(Err(error)) => record!(Event::EntryIgnored, key = name, reason = error, source = "store"),
            None => {}
        }
        listed.push(name);
    }
    gate.roster().registered(&listed);
    listed.len() > 1
}

/// Keeps this daemon registered for good.
pub async fn stay_registered<D: Dialect, S: Store>(
    gate: Arc<Gate<D>>,
    store: Arc<S>,
    lease: Arc<std::sync::Mutex<Option<LeaseId>>>,
) {
    loop {
        match register(&gate, &*store).await {
            Ok(granted) => {
                *lease.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = Some(granted);
                renew(&*store, granted).await;
            }
            Err(error) => {
                log::debug!("this daemon could not register: {error}");
                Timer::after(RETRY_TIME.into()).await;
            }
        }
    }
}

async fn register<D: Dialect, S: Store>(gate: &Gate<D>, store: &S) -> Result<LeaseId, StoreError> {
    let lease = store.grant(LEASE_TIME).await?;
    let me = gate.roster().me.clone();
    store.put(&format!("{MEMBER_PREFIX}{}", me.name), &me.encode_to_vec(), lease).await?;
    record!(Event::MemberRegistered, name = me.name, lease = lease);
    Ok(lease)
}

/// Renews a lease until it has ended.
async fn renew<S: Store>(store: &S, lease: LeaseId) {
    loop {
        Timer::after(RENEWAL_TIME.into()).await;
        if store.renew(lease).await == Err(StoreError::Missing) {
            return;
        }
    }
}
