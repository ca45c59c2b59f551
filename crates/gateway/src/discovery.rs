//! Keeps what the store says in force: the configuration, the runners, the other daemons, this daemon's entry.

mod follow;
mod missing_runners;
mod runner_index;
mod runners;
mod store_health;

use std::sync::Arc;

use async_io::Timer;
use prost::Message;
use teaselcroft_parts::Millis;

use crate::backoff::{Backoff, spread};
use crate::dialect::Dialect;
use crate::gateway::Gateway;
use crate::heartbeat::MemberRecord;
use crate::store::{Change, LeaseId, Store, StoreError};
use crate::{Event, record};
use follow::{Follower, Said, WATCH_TIME};
pub use missing_runners::MissingRunners;
pub use runner_index::{RunnerIndex, Taken, news_of};
pub use runners::{drop_missing, follow_runners};
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

/// The time between looks at whether readers of the store still tell this daemon of new configurations.
const TOLD_LOOK: Millis = Millis(150);

/// The first pause after a registration that failed; it doubles up to `LONGEST_RETRY`.
const RETRY_TIME: Millis = Millis(400);

/// The longest pause between registrations; peers know this daemon by its heartbeats meanwhile.
const LONGEST_RETRY: Millis = Millis(3_200);

/// Entries of runners lapse while the store is away and return so soon after it; the users state two seconds.
const RETURN_TIME: Millis = Millis(2_200);

/// Follows the configuration for good.
pub async fn follow_configuration<D: Dialect, S: Store>(
    gate: Arc<Gateway<D>>,
    store: Arc<S>,
    health: Arc<StoreHealth>,
) {
    let key = gate.dialect.configuration_key();
    let mut follower = Follower::new(&*store, key, &health, &gate);
    loop {
        // A listener's runners show when the store is back: they are asked for all the while.
        let waits = gate.has_active_reader() || gate.is_listener() && health.is_away();
        if waits {
            Timer::after(TOLD_LOOK.into()).await;
            continue;
        }
        let changes = match follower.next(WATCH_TIME).await {
            Ok(Said::List(changes) | Said::Since(_, changes)) => changes,
            Err(pause) => {
                Timer::after(pause.into()).await;
                continue;
            }
        };
        for change in changes.changes.into_iter().filter(|change| change.key == key) {
            if let Some(value) = change.value {
                gate.apply_configuration(value, "store");
            }
        }
    }
}

/// Reads now and then which daemons are registered; heartbeats tell the rest.
pub async fn list_members<D: Dialect, S: Store>(gate: Arc<Gateway<D>>, store: Arc<S>) {
    loop {
        let is_known = match store.list_stale(MEMBER_PREFIX).await {
            Ok(changes) => learn_members(&gate, changes.changes),
            Err(error) => {
                log::debug!("the registered daemons could not be listed: {error}");
                false
            }
        };
        let pause = if is_known { MEMBERS_TIME } else { MEMBERS_FIRST_TIME };
        Timer::after(spread(pause).into()).await;
    }
}

/// Takes in a list of the registered daemons; true if it names others.
fn learn_members<D: Dialect>(gate: &Gateway<D>, changes: Vec<Change>) -> bool {
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
    gate: Arc<Gateway<D>>,
    store: Arc<S>,
    lease: Arc<std::sync::Mutex<Option<LeaseId>>>,
) {
    let mut backoff = Backoff::new(RETRY_TIME, LONGEST_RETRY);
    loop {
        match register(&gate, &*store).await {
            Ok(granted) => {
                backoff.reset();
                *lease.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = Some(granted);
                renew(&*store, granted).await;
            }
            Err(error) => {
                log::debug!("this daemon could not register: {error}");
                Timer::after(backoff.pause().into()).await;
            }
        }
    }
}

async fn register<D: Dialect, S: Store>(gate: &Gateway<D>, store: &S) -> Result<LeaseId, StoreError> {
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
