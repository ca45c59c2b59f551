//! Keeps the known runners as the store says they are, read there or handed on by a peer that reads.

use std::net::SocketAddr;
use std::sync::Arc;

use async_io::Timer;
use futures_lite::future::or;
use prost::Message;
use teaselcroft_parts::{Millis, ModelName, RunnerName};

use super::follow::{Follower, NO_WAIT, Said, WATCH_TIME};
use super::{StoreHealth, Taken, news_of};
use crate::dialect::Dialect;
use crate::gateway::Gateway;
use crate::http_client::HttpClient;
use crate::peers::{RUNNERS_PATH, send_to_peers};
use crate::roster::ReaderRole;
use crate::runner_news::{RunnerChange, RunnerNews};
use crate::store::{Change, Changes, Revision, Store};
use crate::{Event, record};

/// How long a start waits to learn which daemons there are, before it reads the store itself.
const ROSTER_WAIT: Millis = Millis(300);

/// The time between looks at whether the other daemons are known.
const ROSTER_LOOK: Millis = Millis(15);

/// How long a start asks peers for the runners before it reads the store itself.
const PEERS_WAIT: Millis = Millis(1_500);

/// The pause between questions to peers that do not know the runners yet.
const PEERS_PAUSE: Millis = Millis(120);

/// The longest time for a peer to send the runners.
const LIST_TIME: Millis = Millis(1_000);

/// Listeners ask a store that does not answer so many times less often than readers do.
const LISTENERS_PATIENCE: u64 = 3;

/// Word of a reader is waited for half as long as a runner may be used after its entry vanished, and a reader
/// speaks up twice in that time.
const SPEAKS_UP: u64 = 2;

/// Follows the runners for good.
pub async fn follow_runners<D: Dialect, S: Store>(
    gate: Arc<Gateway<D>>,
    store: Arc<S>,
    health: Arc<StoreHealth>,
    hold: Millis,
) {
    let began = gate.now();
    while !gate.roster().is_listed() && gate.now().since(began) < ROSTER_WAIT {
        Timer::after(ROSTER_LOOK.into()).await;
    }
    let longest_silence = Millis(hold.0 / SPEAKS_UP);
    let follower = Follower::new(&*store, gate.dialect.runner_prefix(), &health, &gate);
    let mut runners = Runners {
        gate: &gate,
        health: &health,
        follower,
        ask_at: gate.now() + longest_silence,
        told: Millis(0),
        longest_silence,
    };
    let mut role = ReaderRole::Alone;
    loop {
        let now = gate.now();
        let next = gate.roster().reader_role(now);
        if next != role {
            role = next;
            record!(Event::ReaderRole, role = role.name());
        }
        gate.set_active_reader(role == ReaderRole::Listener && now.since(runners.told) <= longest_silence);
        let read = match role {
            ReaderRole::Alone => runners.read(WATCH_TIME, false).await,
            ReaderRole::Reader => runners.read(Millis(longest_silence.0 / SPEAKS_UP), true).await,
            ReaderRole::Listener => {
                runners.listen().await;
                Ok(())
            }
        };
        if let Err(pause) = read {
            Timer::after(pause.into()).await;
        }
    }
}

struct Runners<'a, D, S> {
    gate: &'a Gateway<D>,
    health: &'a StoreHealth,
    follower: Follower<'a, D, S>,
    /// When the store is asked, unless a reader speaks up before.
    ask_at: Millis,
    /// When a reader last handed something on.
    told: Millis,
    longest_silence: Millis,
}

impl<D: Dialect, S: Store> Runners<'_, D, S> {
    /// Takes in what the store says next, and hands it on if others rely on it.
    /// What failed is asked again after the pause that is returned.
    async fn read(&mut self, longest: Millis, hands_on: bool) -> Result<(), Millis> {
        let said = self.follower.next(longest).await?;
        self.ask_at = self.gate.now() + self.longest_silence;
        let decode = |changes: Changes| -> (Vec<RunnerChange>, Revision) {
            (changes.changes.into_iter().filter_map(|change| self.decode(change)).collect(), changes.revision)
        };
        let (after, changes, revision, is_listed) = match said {
            Said::List(list) => {
                let before = self.gate.runner_index().revision();
                let (list, revision) = decode(list);
                (before, self.listed(&list, revision, "store"), revision, true)
            }
            Said::Since(after, changes) => {
                let (changes, revision) = decode(changes);
                self.gate.runner_index().apply(&changes, revision);
                (Some(after), changes, revision, false)
            }
        };
        if let Some(after) = after.filter(|_| hands_on) {
            for news in news_of(after, &changes, revision, is_listed) {
                send_to_peers(self.gate, news, &self.gate.zone_mates()).await;
            }
        }
        self.take_in(changes);
        Ok(())
    }

    /// Reads at once what has changed; after a failure, goes on listening until it is time to ask again.
    async fn catch_up(&mut self) {
        if let Err(pause) = self.read(NO_WAIT, false).await {
            self.ask_at = self.gate.now() + self.longest_silence.min(Millis(pause.0 * LISTENERS_PATIENCE));
        }
    }

    /// Takes in what peers hand on, and asks the store itself where they fell silent or something is missing.
    async fn listen(&mut self) {
        if self.follower.after.is_none() && self.fetch_list().await {
            return;
        }
        let left = self.ask_at.since(self.gate.now());
        let news = or(async { self.gate.next_runner_changes().await }, async {
            Timer::after(left.into()).await;
            None
        })
        .await;
        let Some(news) = news else {
            return self.catch_up().await;
        };
        let is_listed = news.is_listed;
        let taken = self.gate.runner_index().take_news(news);
        match taken {
            Taken::New(changes) => {
                self.follower.after = self.gate.runner_index().revision();
                self.told = self.gate.now();
                self.ask_at = self.told + self.longest_silence;
                self.health.answered(self.told);
                self.take_in(changes);
            }
            Taken::Old => {}
            // The reader had cause to list anew: watches may have missed something.
            Taken::Gap if is_listed => self.follower.after = None,
            Taken::Gap => self.catch_up().await,
        }
    }

    /// Fetches all runners from the peers that read the store.
    async fn fetch_list(&mut self) -> bool {
        let began = self.gate.now();
        while self.gate.now().since(began) < PEERS_WAIT {
            for reader in self.gate.reader_addresses() {
                let known = self.gate.runner_index().revision();
                let list = fetch(reader).await.filter(|list| Some(Revision(list.revision)) >= known);
                if let Some(list) = list {
                    let revision = Revision(list.revision);
                    let list: Vec<RunnerChange> =
                        list.changes.into_iter().filter_map(|change| change.try_into().ok()).collect();
                    let changes = self.listed(&list, revision, "peer");
                    self.take_in(changes);
                    self.follower.after = Some(revision);
                    // The peer may have lost the store itself: what it missed is asked for at once.
                    self.ask_at = self.gate.now();
                    return true;
                }
            }
            Timer::after(PEERS_PAUSE.into()).await;
        }
        false
    }

    fn decode(&self, change: Change) -> Option<RunnerChange> {
        let name = change.key.strip_prefix(self.gate.dialect.runner_prefix())?;
        let record = match change.value.map(|value| self.gate.dialect.runner(name, &value)) {
            Some(Ok(record)) => Some(record),
            Some(Err(error)) => {
                record!(Event::EntryIgnored, key = name, reason = error, source = "store");
                None
            }
            None => None,
        };
        Some(RunnerChange { name: name.parse().ok()?, revision: change.revision, record })
    }

    /// Takes in a list; returns the changes against what was known. The first list is logged in one line.
    fn listed(&self, list: &[RunnerChange], revision: Revision, source: &str) -> Vec<RunnerChange> {
        let changes = self.gate.runner_index().replace(list, revision);
        let is_first = self.gate.fleet().counts().0 == 0;
        if !is_first {
            return changes;
        }
        for change in changes {
            if let Some(record) = change.record {
                self.gate.fleet().seen(record, change.revision);
            }
        }
        let (known, ready) = self.gate.fleet().counts();
        record!(Event::RunnersListed, runners = known, ready = ready, revision = revision, source = source);
        Vec::new()
    }

    fn take_in(&self, changes: Vec<RunnerChange>) {
        for change in changes {
            match change.record {
                Some(record) => {
                    self.health.present(&change.name);
                    let is_news = self.gate.fleet().seen(record, change.revision);
                    if is_news {
                        self.announce(&change.name, change.revision);
                    }
                }
                None => self.lost(change.name, change.revision),
            }
        }
        drop_missing(self.gate, self.health);
        self.count();
    }

    fn count(&self) {
        self.gate.metrics.runners.set(i64::try_from(self.gate.fleet().counts().1).unwrap_or(i64::MAX));
    }

    fn lost(&self, name: RunnerName, revision: Revision) {
        let known = self.gate.fleet().find(&name);
        if let Some((_, record, _)) = known {
            self.health.missing(name, record.service.clone(), revision, self.gate.now());
        }
    }

    /// Logs what a runner's entry now says and remembers to tell peers if it leaves.
    fn announce(&self, name: &RunnerName, revision: Revision) {
        let known = self.gate.fleet().find(name);
        let Some((_, record, _)) = known else {
            return;
        };
        if !record.is_ready {
            self.gate.fleet().note_left(name, revision, self.gate.now());
        }
        record!(
            Event::RunnerSeen,
            runner = name,
            service = record.service,
            address = record.address,
            ready = record.is_ready
        );
    }
}

async fn fetch(reader: SocketAddr) -> Option<RunnerNews> {
    let reply = HttpClient::new(reader).call("GET", RUNNERS_PATH, &[], LIST_TIME).await.ok()?;
    RunnerNews::decode(&*reply.body).ok().filter(|_| reply.status == 200)
}

/// Forgets runners whose entries are missing and will not return.
pub fn drop_missing<D: Dialect>(gate: &Gateway<D>, health: &StoreHealth) {
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
