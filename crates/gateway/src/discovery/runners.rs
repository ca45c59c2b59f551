//! Keeps the known runners in line with the store, which the daemon reads itself or through peers that read it.

use std::net::SocketAddr;
use std::sync::Arc;

use async_io::Timer;
use futures_lite::future::or;
use prost::Message;
use teaselcroft_parts::{Millis, ModelName, RunnerName};

use super::follow::{Follower, NO_WAIT, StoreUpdate, WATCH_TIMEOUT};
use super::{DecodedRunners, NewsOutcome, StoreHealth, split_news};
use crate::dialect::Dialect;
use crate::gateway::Gateway;
use crate::http_client::{CallLimits, HttpClient};
use crate::peers::{RUNNERS_PATH, send_to_peers};
use crate::roster::ReaderRole;
use crate::runner_news::{RunnerChange, RunnerNews};
use crate::store::{Changes, Revision, Store};
use crate::{Event, log_event};

/// How long a starting daemon waits for the list of daemons before it reads the runners from the store itself.
const ROSTER_TIMEOUT: Millis = Millis(300);

/// How often a starting daemon checks whether the other daemons are known.
const ROSTER_POLL_INTERVAL: Millis = Millis(15);

/// How long a listener asks peers for the list of runners before it reads the store itself.
const PEERS_TIMEOUT: Millis = Millis(1_500);

/// The delay before peers that do not have the list of runners yet are asked again.
const PEERS_RETRY_DELAY: Millis = Millis(120);

/// The time until a peer begins to send the list of runners.
const LIST_TIMEOUT: Millis = Millis(1_000);

/// The timeout for connecting to a peer that may have the list of runners. After a power loss some peers are not back yet,
/// and a connection to a VM without power is not established when the VM returns either.
const LIST_CONNECT_TIMEOUT: Millis = Millis(150);

/// The peers that a daemon asks for the list of runners after the store did not send it.
const MAX_ASKED_PEERS: usize = 2;

/// Listeners retry an unavailable store less often than readers do, by this factor.
const LISTENER_RETRY_FACTOR: u64 = 3;

/// A listener waits for news for half of the time that a runner may be used after its entry vanished. A reader sends
/// news at least twice in the time that a listener waits.
const SILENCE_DIVISOR: u64 = 2;

/// Follows the runners in the store, itself or through readers of its zone; never returns. A runner whose entry
/// vanished may be used for `hold`.
pub async fn follow_runners<D: Dialect, S: Store>(
    gateway: Arc<Gateway<D>>,
    store: Arc<S>,
    health: Arc<StoreHealth>,
    hold: Millis,
) {
    let began = gateway.now();
    while !gateway.roster().is_listed() && gateway.now().since(began) < ROSTER_TIMEOUT {
        Timer::after(ROSTER_POLL_INTERVAL.into()).await;
    }
    let longest_silence = Millis(hold.0 / SILENCE_DIVISOR);
    let follower = Follower::new(&*store, gateway.dialect.runner_prefix(), &health, &gateway);
    let mut runners = RunnerFollower {
        gateway: &gateway,
        health: &health,
        follower,
        read_at: gateway.now() + longest_silence,
        news_at: Millis(0),
        longest_silence,
    };
    let mut role = ReaderRole::Alone;
    loop {
        let now = gateway.now();
        let next = gateway.roster().reader_role(now);
        if next != role {
            role = next;
            log_event!(Event::ReaderRole, role = role.name());
        }
        gateway.set_active_reader(role == ReaderRole::Listener && now.since(runners.news_at) <= longest_silence);
        let read = match role {
            ReaderRole::Alone => runners.read(WATCH_TIMEOUT, false).await,
            ReaderRole::Reader => runners.read(Millis(longest_silence.0 / SILENCE_DIVISOR), true).await,
            ReaderRole::Listener => {
                runners.listen().await;
                Ok(())
            }
        };
        if let Err(pause) = read {
            if gateway.runner_index().revision().is_none() {
                // Callers may come already: peers give out this daemon's address once it has a configuration.
                let peers = gateway.peer_addresses(MAX_ASKED_PEERS);
                runners.fetch_list_from(&peers).await;
            }
            Timer::after(pause.into()).await;
        }
    }
}

/// Follows the runners in whichever role the daemon has.
struct RunnerFollower<'a, D, S> {
    gateway: &'a Gateway<D>,
    health: &'a StoreHealth,
    follower: Follower<'a, D, S>,
    /// When a listener reads the store itself, unless news arrives before.
    read_at: Millis,
    /// When news from a reader was last applied.
    news_at: Millis,
    /// How long a listener waits for news before it reads the store itself.
    longest_silence: Millis,
}

impl<D: Dialect, S: Store> RunnerFollower<'_, D, S> {
    /// Applies the store's next answer, and forwards it to the zone if `is_forwarding`.
    ///
    /// # Errors
    ///
    /// The call failed; the next one is due after the returned delay.
    async fn read(&mut self, longest: Millis, is_forwarding: bool) -> Result<(), Millis> {
        let update = self.follower.next(longest).await?;
        self.read_at = self.gateway.now() + self.longest_silence;
        self.note_revision(&update);
        let decode =
            |changes: Changes| (DecodedRunners::decode(&self.gateway.dialect, changes.changes), changes.revision);
        let (after, changes, revision, is_listed) = match update {
            StoreUpdate::List(list) => {
                let before = self.gateway.runner_index().revision();
                let (list, revision) = decode(list);
                (before, self.apply_list(&list, revision, "store"), revision, true)
            }
            StoreUpdate::Since(after, changes) => {
                let (DecodedRunners { changes, .. }, revision) = decode(changes);
                self.gateway.runner_index().apply(&changes, revision);
                (Some(after), changes, revision, false)
            }
        };
        if let Some(after) = after.filter(|_| is_forwarding) {
            for news in split_news(after, &changes, revision, is_listed) {
                send_to_peers(self.gateway, news, &self.gateway.zone_peers()).await;
            }
        }
        self.apply_changes(changes);
        Ok(())
    }

    /// Records that the configuration is unchanged, if the answer accounts for all revisions since it was last read.
    fn note_revision(&self, update: &StoreUpdate) {
        if let StoreUpdate::Since(_, changes) = update {
            let changed = changes.changes.iter().map(|change| change.revision);
            self.gateway.config_check().note_other(changed, changes.revision, self.gateway.now());
        }
    }

    /// Reads past changes from the store without waiting for new ones; after a failure, listens until the retry is due.
    async fn catch_up(&mut self) {
        if let Err(pause) = self.read(NO_WAIT, false).await {
            self.read_at = self.gateway.now() + self.longest_silence.min(Millis(pause.0 * LISTENER_RETRY_FACTOR));
        }
    }

    /// Applies news from readers, and reads the store itself if they fall silent or changes are missing.
    async fn listen(&mut self) {
        if self.follower.after.is_none() && self.fetch_list().await {
            return;
        }
        let remaining = self.read_at.since(self.gateway.now());
        let news = or(async { self.gateway.next_runner_changes().await }, async {
            Timer::after(remaining.into()).await;
            None
        })
        .await;
        let Some(news) = news else {
            return self.catch_up().await;
        };
        let is_listed = news.is_listed;
        let outcome = self.gateway.runner_index().take_news(news);
        match outcome {
            NewsOutcome::New(changes) => {
                self.follower.after = self.gateway.runner_index().revision();
                self.news_at = self.gateway.now();
                self.read_at = self.news_at + self.longest_silence;
                self.health.answered(self.news_at);
                self.apply_changes(changes);
            }
            NewsOutcome::Old => {}
            // The reader had a reason to list again: watches may have missed changes.
            NewsOutcome::Gap if is_listed => self.follower.after = None,
            NewsOutcome::Gap => self.catch_up().await,
        }
    }

    /// Fetches the list of runners from a reader of the zone; false if none has sent one in time.
    async fn fetch_list(&mut self) -> bool {
        let began = self.gateway.now();
        while self.gateway.now().since(began) < PEERS_TIMEOUT {
            if self.fetch_list_from(&self.gateway.reader_addresses()).await {
                return true;
            }
            Timer::after(PEERS_RETRY_DELAY.into()).await;
        }
        false
    }

    /// Fetches the list of runners from the first of `peers` that has one; false if none sends it.
    async fn fetch_list_from(&mut self, peers: &[SocketAddr]) -> bool {
        let era = self.gateway.store_era();
        let is_current = |list: &RunnerNews| {
            let revision = Revision(list.revision);
            Some(revision.era()) >= era && Some(revision) >= self.gateway.runner_index().revision()
        };
        let Some(list) = fetch_runners(peers, is_current).await else {
            return false;
        };
        let revision = Revision(list.revision);
        let changes = list.changes.into_iter().filter_map(|change| change.try_into().ok()).collect();
        let list = DecodedRunners { changes, unreadable: Vec::new() };
        let changes = self.apply_list(&list, revision, "peer");
        self.apply_changes(changes);
        self.follower.after = Some(revision);
        // The peer may have lost the store itself, so changes that it missed are read at once.
        self.read_at = self.gateway.now();
        true
    }

    /// Applies a list and returns the differences from the previous entries. The first list is added to the fleet here
    /// and logged as one event, so nothing is returned.
    fn apply_list(&self, list: &DecodedRunners, revision: Revision, source: &str) -> Vec<RunnerChange> {
        let changes = self.gateway.runner_index().replace(&list.changes, &list.unreadable, revision);
        let is_first = self.gateway.fleet().counts().0 == 0;
        if !is_first {
            return changes;
        }
        for change in changes {
            if let Some(record) = change.record {
                self.gateway.fleet().upsert(record, change.revision);
            }
        }
        self.gateway.set_has_runners();
        let (known, ready) = self.gateway.fleet().counts();
        log_event!(Event::RunnersListed, runners = known, ready = ready, revision = revision, source = source);
        Vec::new()
    }

    fn apply_changes(&self, changes: Vec<RunnerChange>) {
        for change in changes {
            match change.record {
                Some(record) if self.gateway.fleet().is_outdated(&record) => {
                    log_event!(
                        Event::EntryOutdated,
                        runner = change.name,
                        start = record.started_at,
                        revision = change.revision
                    );
                }
                Some(record) => {
                    self.health.present(&change.name);
                    self.gateway.note_runner_entry(&record);
                    let is_changed = self.gateway.fleet().upsert(record, change.revision);
                    if is_changed {
                        self.announce(&change.name, change.revision);
                    }
                }
                None => {
                    self.gateway.note_runner_removal(&change.name);
                    self.note_missing(change.name, change.revision);
                }
            }
        }
        drop_missing(self.gateway, self.health);
        self.update_metric();
    }

    fn update_metric(&self) {
        self.gateway.metrics.runners.set(i64::try_from(self.gateway.fleet().counts().1).unwrap_or(i64::MAX));
    }

    fn note_missing(&self, name: RunnerName, revision: Revision) {
        let known = self.gateway.fleet().find(&name);
        if let Some((_, record, _)) = known {
            self.health.missing(name, record.service.clone(), revision, self.gateway.now());
        }
    }

    /// Logs a runner's changed entry, and queues a report to peers if the runner is leaving.
    fn announce(&self, name: &RunnerName, revision: Revision) {
        let known = self.gateway.fleet().find(name);
        let Some((_, record, _)) = known else {
            return;
        };
        if !record.is_ready {
            self.gateway.fleet().note_departure(name, revision, self.gateway.now());
        }
        log_event!(
            Event::RunnerSeen,
            runner = name,
            service = record.service,
            address = record.address,
            ready = record.is_ready
        );
    }
}

/// Fetches the list of runners from the first of `peers` that sends one which `is_current`.
pub async fn fetch_runners(peers: &[SocketAddr], is_current: impl Fn(&RunnerNews) -> bool) -> Option<RunnerNews> {
    for peer in peers {
        let list = fetch(*peer).await.filter(&is_current);
        if list.is_some() {
            return list;
        }
    }
    None
}

async fn fetch(peer: SocketAddr) -> Option<RunnerNews> {
    let client = HttpClient::with_connect_timeout(peer, LIST_CONNECT_TIMEOUT);
    let limits = CallLimits { answer: LIST_TIMEOUT, ..CallLimits::default() };
    let reply = client.download(RUNNERS_PATH, &limits, |_| true).await.ok()?;
    RunnerNews::decode(&*reply.body).ok().filter(|_| reply.status == 200)
}

/// Removes the runners whose entries are missing and not expected to return.
pub fn drop_missing<D: Dialect>(gateway: &Gateway<D>, health: &StoreHealth) {
    let known = |service: &ModelName| gateway.fleet().count_of(service);
    for (name, revision) in health.take_gone(known, gateway.now()) {
        gateway.fleet().note_departure(&name, revision, gateway.now());
        gateway.note_runner_gone(&name);
        let key = gateway.fleet().remove_runner(&name);
        if let Some(key) = key {
            gateway.pool().forget(key);
            log_event!(Event::RunnerLeft, runner = name, source = "store");
        }
    }
}
