//! Service discovery through the store: follows the configuration, the runners and the other daemons, and keeps this
//! daemon registered.

mod check_configuration;
mod decoded_runners;
mod follow;
mod missing_runners;
mod runner_index;
mod runners;
mod store_health;
mod stored_crashes;

use std::sync::Arc;

use async_io::Timer;
use futures_lite::future::or;
use prost::Message;
use teaselcroft_parts::Millis;

use crate::backoff::{Backoff, jittered};
use crate::dialect::Dialect;
use crate::gateway::Gateway;
use crate::heartbeat::MemberRecord;
use crate::peers::send_to_peers;
use crate::roster::ReaderRole;
use crate::runner_news::RunnerNews;
use crate::store::{Change, Changes, Era, LeaseId, Revision, Store, StoreError, Transaction, Write};
use crate::{Event, log_event};
pub use check_configuration::check_configuration;
pub use decoded_runners::DecodedRunners;
use follow::{Follower, StoreUpdate, WATCH_TIMEOUT};
pub use missing_runners::MissingRunners;
pub use runner_index::{NewsOutcome, RunnerIndex, split_news};
pub use runners::{drop_missing, fetch_runners, follow_runners};
pub use store_health::StoreHealth;
use stored_crashes::{CRASH_PREFIX, learn_crashes};
pub use stored_crashes::{read_crashes, store_crashes};

/// The prefix of all keys that daemons write.
const OWN_PREFIX: &str = "teaselcroft/";

/// The key prefix under which daemons register themselves.
const MEMBER_PREFIX: &str = "teaselcroft/daemons/";

/// The time to live of the lease on this daemon's entry. Entries only name daemons to those that start; heartbeats show
/// which of them run.
const LEASE_TTL: Millis = Millis(20_000);

/// The time between lease renewals; two in a row may be lost.
const RENEWAL_INTERVAL: Millis = Millis(6_000);

/// The time between lists of the registered daemons once the store lists others.
const LIST_INTERVAL: Millis = Millis(8_000);

/// The time between lists while the store lists no other daemon.
const FIRST_LIST_INTERVAL: Millis = Millis(600);

/// How often a daemon checks whether it still gets new configurations from the readers of its zone.
const LISTENER_POLL_INTERVAL: Millis = Millis(150);

/// The mean delay after a first failed registration; it doubles up to `MAX_RETRY_DELAY`.
const MIN_RETRY_DELAY: Millis = Millis(400);

/// The longest mean delay between registrations; until one succeeds, peers know this daemon by its heartbeats.
const MAX_RETRY_DELAY: Millis = Millis(3_200);

/// Runners' entries expire while the store is unavailable; live runners register again within this time after it
/// recovers. The users specify two seconds.
const REREGISTER_TIME: Millis = Millis(2_200);

/// Follows the configuration in the store and applies each new version; never returns. `runners_health` is that of the
/// calls for runners.
pub async fn follow_configuration<D: Dialect, S: Store>(
    gateway: Arc<Gateway<D>>,
    store: Arc<S>,
    runners_health: Arc<StoreHealth>,
) {
    let key = gateway.dialect.configuration_key();
    let health = StoreHealth::new(key, Millis(0));
    let mut follower = Follower::new(&*store, key, &health, &gateway);
    loop {
        // Until the readers are known, a watch would be one for each daemon that starts.
        let is_early = follower.after.is_some() && !gateway.has_reader_role();
        if leaves_reading(&gateway, &runners_health) || is_early {
            Timer::after(LISTENER_POLL_INTERVAL.into()).await;
            continue;
        }
        let began = gateway.now();
        let (changes, at) = match follower.next(WATCH_TIMEOUT).await {
            Ok(StoreUpdate::List(changes)) => (changes, began),
            Ok(StoreUpdate::Since(_, changes)) => (changes, gateway.now()),
            Err(pause) => {
                Timer::after(pause.into()).await;
                continue;
            }
        };
        gateway.config_check().note_watched(changes.revision, at);
        apply_changes(&gateway, changes, "store").await;
    }
}

/// Whether this daemon leaves reading the configuration to the readers of its zone. While the store is unavailable, a
/// listener polls it for the runners and so notices when it recovers.
fn leaves_reading<D: Dialect>(gateway: &Gateway<D>, runners_health: &StoreHealth) -> bool {
    gateway.has_active_reader() || gateway.is_listener() && runners_health.is_unavailable()
}

/// Activates the configurations among `changes`; a reader tells its zone at once of a newer version. Returns the revision
/// of the last one.
async fn apply_changes<D: Dialect>(gateway: &Gateway<D>, changes: Changes, source: &str) -> Option<Revision> {
    let key = gateway.dialect.configuration_key();
    let version = |gateway: &Gateway<D>| gateway.configuration().map(|configuration| configuration.version);
    let before = version(gateway);
    let mut last = None;
    for change in changes.changes.into_iter().filter(|change| change.key == key) {
        last = last.max(Some(change.revision));
        if let Some(value) = change.value {
            gateway.apply_configuration(value, source);
        }
    }
    if version(gateway) > before && gateway.reader_role() == ReaderRole::Reader {
        // Without runners' changes, the message only carries the version.
        send_to_peers(gateway, RunnerNews::default(), &gateway.zone_peers()).await;
    }
    last
}

/// Lists the registered daemons, and what crashes runners, from time to time; heartbeats cover the changes in between.
/// Never returns.
pub async fn list_members<D: Dialect, S: Store>(gateway: Arc<Gateway<D>>, store: Arc<S>) {
    loop {
        let listed = store.list_stale(OWN_PREFIX).await;
        gateway.note_store_era(store.era(), "store");
        let is_known = match listed {
            Ok(changes) => learn_entries(&gateway, changes.changes),
            Err(error) => {
                log::debug!("failed to list the daemons' entries: {error}");
                false
            }
        };
        let pause = if is_known { LIST_INTERVAL } else { FIRST_LIST_INTERVAL };
        Timer::after(jittered(pause).into()).await;
    }
}

/// Adds the listed daemons to the roster, and the listed crashes to those that are known. Returns true if more than one
/// daemon is listed, that is, others than this one.
fn learn_entries<D: Dialect>(gateway: &Gateway<D>, changes: Vec<Change>) -> bool {
    let mut listed = Vec::new();
    for change in changes {
        if let Some(value) = change.value.as_deref().filter(|_| change.key.starts_with(CRASH_PREFIX)) {
            learn_crashes(gateway, &change.key, value);
        }
        let Some(name) = change.key.strip_prefix(MEMBER_PREFIX).map(str::to_owned) else {
            continue;
        };
        match change.value.as_deref().map(MemberRecord::decode) {
            Some(Ok(member)) if member.name != name => {
                log_event!(Event::EntryIgnored, key = name, reason = "it names another daemon", source = "store");
            }
            Some(Ok(member)) => {
                let is_new = gateway.roster().learn(member, true, gateway.now());
                if is_new {
                    log_event!(Event::PeerLearned, peer = name, source = "store");
                }
            }
            Some(Err(error)) => log_event!(Event::EntryIgnored, key = name, reason = error, source = "store"),
            None => {}
        }
        listed.push(name);
    }
    gateway.roster().set_registered(&listed);
    if gateway.roster().has_untold() {
        gateway.request_phase_heartbeats();
    }
    listed.len() > 1
}

/// Keeps this daemon registered and stores its lease in `lease`, until a planned stop revokes the lease.
pub async fn stay_registered<D: Dialect, S: Store>(
    gateway: Arc<Gateway<D>>,
    store: Arc<S>,
    lease: Arc<std::sync::Mutex<Option<LeaseId>>>,
) {
    let mut backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    while !gateway.is_stopping() {
        match register(&gateway, &*store).await {
            Ok((granted, _)) if gateway.is_stopping() => {
                let revoked = store.revoke(granted).await;
                log::debug!("the lease granted during the stop was revoked: {revoked:?}");
            }
            Ok((granted, era)) => {
                backoff.reset();
                *lease.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = Some(granted);
                renew(&gateway, &*store, granted, era).await;
            }
            Err(error) => {
                log::debug!("failed to register this daemon: {error}");
                Timer::after(backoff.next_delay().into()).await;
            }
        }
    }
}

/// Returns the lease of this daemon's entry, and the era in which the entry was written.
async fn register<D: Dialect, S: Store>(gateway: &Gateway<D>, store: &S) -> Result<(LeaseId, Era), StoreError> {
    let lease = store.grant(LEASE_TTL).await?;
    let me = gateway.roster().me.clone();
    let key = format!("{MEMBER_PREFIX}{}", me.name);
    let entry = Write { key, value: me.encode_to_vec(), lease: Some(lease) };
    let revision = store.commit(Transaction { writes: vec![entry], ..Transaction::default() }).await?;
    log_event!(Event::MemberRegistered, name = me.name, lease = lease);
    Ok((lease, revision.era()))
}

/// Renews the lease of an entry that was written in `era`, until the store may no longer have both; other errors are retried at
/// the next renewal.
async fn renew<D: Dialect, S: Store>(gateway: &Gateway<D>, store: &S, lease: LeaseId, era: Era) {
    let is_lost = || store.era() > Some(era);
    while !is_lost() {
        let risen = gateway.next_era();
        let pause = async {
            Timer::after(RENEWAL_INTERVAL.into()).await;
        };
        or(pause, risen).await;
        let renewed = store.renew(lease).await;
        gateway.note_store_era(store.era(), "store");
        if renewed == Err(StoreError::Missing) {
            return;
        }
    }
}
