//! The runners' store entries as of one revision, updated by lists, watches and news from peers.

use std::collections::{BTreeMap, HashSet};

use teaselcroft_parts::RunnerName;

use crate::RunnerRecord;
use crate::runner_news::{ChangeWire, RunnerChange, RunnerNews};
use crate::store::Revision;

/// The size of changes in bytes beyond which a datagram takes no further revision.
const MAX_NEWS_BYTES: usize = 12 * 1024;

/// The outcome of applying a peer's news to a [`RunnerIndex`].
#[derive(Debug, PartialEq)]
pub enum NewsOutcome {
    /// The news was applied: these changes are new, and the index is complete up to the news' revision.
    New(Vec<RunnerChange>),
    /// The news ends before the index's revision and was ignored.
    Old,
    /// Changes before the news are missing, or a change is invalid; the news was not applied.
    Gap,
}

/// The runners' store entries as of one revision.
#[derive(Debug, Default)]
pub struct RunnerIndex {
    entries: BTreeMap<RunnerName, (RunnerRecord, Revision)>,
    revision: Option<Revision>,
}

impl RunnerIndex {
    /// The revision up to which the index is complete, or `None` before the first list.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Replaces all entries by a list, but keeps those that are `unreadable` now; returns the differences from the previous
    /// entries. Of a runner's starts the latest one that was listed since its last removal stays.
    pub fn replace(
        &mut self,
        list: &[RunnerChange],
        unreadable: &[RunnerName],
        revision: Revision,
    ) -> Vec<RunnerChange> {
        let old = self.entries.clone();
        self.apply(list, revision);
        let present: HashSet<&RunnerName> = list.iter().map(|change| &change.name).chain(unreadable).collect();
        self.entries.retain(|name, _| present.contains(name));
        let gone = old.keys().filter(|name| !self.entries.contains_key(*name));
        let mut changes: Vec<RunnerChange> =
            gone.map(|name| RunnerChange { name: name.clone(), revision, record: None }).collect();
        let fresh = self.entries.iter().filter(|(name, entry)| old.get(*name) != Some(*entry));
        changes.extend(fresh.map(|(name, (record, revision))| RunnerChange {
            name: name.clone(),
            revision: *revision,
            record: Some(record.clone()),
        }));
        changes
    }

    /// Applies changes that are complete up to `revision`. An entry of an earlier start than the known one is ignored: it
    /// was written late.
    pub fn apply(&mut self, changes: &[RunnerChange], revision: Revision) {
        for change in changes {
            let known = self.entries.get(&change.name).map(|(record, _)| record.started_at);
            match &change.record {
                Some(record) if known.is_some_and(|start| start > record.started_at) => {}
                Some(record) => {
                    self.entries.insert(change.name.clone(), (record.clone(), change.revision));
                }
                None => {
                    self.entries.remove(&change.name);
                }
            }
        }
        self.revision = Some(revision);
    }

    /// Applies news from a peer. News with a change that cannot be decoded counts as a gap.
    pub fn take_news(&mut self, news: RunnerNews) -> NewsOutcome {
        let Some(known) = self.revision else {
            return NewsOutcome::Gap;
        };
        if Revision(news.revision) < known {
            return NewsOutcome::Old;
        }
        // The differences between a list and its reader's previous entries omit runners that came and went in between, so a
        // listener at another revision cannot apply them.
        let follows = if news.is_listed { Revision(news.after) == known } else { Revision(news.after) <= known };
        if !follows {
            return NewsOutcome::Gap;
        }
        let is_listed = news.is_listed;
        let fresh = news.changes.into_iter().filter(|change| is_listed || Revision(change.revision) > known);
        let Ok(changes) = fresh.map(RunnerChange::try_from).collect::<Result<Vec<_>, _>>() else {
            return NewsOutcome::Gap;
        };
        self.apply(&changes, Revision(news.revision));
        NewsOutcome::New(changes)
    }

    /// All entries as news for a daemon without any, or `None` before the first list.
    pub fn list(&self) -> Option<RunnerNews> {
        let revision = self.revision?;
        let change = |(record, revision): &(RunnerRecord, Revision)| RunnerChange {
            name: record.name.clone(),
            revision: *revision,
            record: Some(record.clone()),
        };
        let changes = self.entries.values().map(|entry| ChangeWire::from(&change(entry))).collect();
        Some(RunnerNews { revision: revision.0, changes, is_listed: true, ..RunnerNews::default() })
    }
}

/// Splits the changes after a revision into news that fit into one datagram each. The changes of a list are not
/// ordered by revision: if they do not fit into one datagram, nothing is sent and peers notice the gap.
pub fn split_news(after: Revision, changes: &[RunnerChange], revision: Revision, is_listed: bool) -> Vec<RunnerNews> {
    let empty =
        |after: Revision| RunnerNews { after: after.0, revision: revision.0, is_listed, ..RunnerNews::default() };
    let mut messages = Vec::new();
    let mut current = empty(after);
    let (mut bytes, mut last) = (0, after);
    for change in changes {
        let wire = ChangeWire::from(change);
        bytes += prost::Message::encoded_len(&wire);
        if bytes > MAX_NEWS_BYTES && is_listed {
            return Vec::new();
        }
        // Changes of one revision must be in the same datagram.
        if bytes > MAX_NEWS_BYTES && change.revision > last {
            bytes = 0;
            current.revision = last.0;
            messages.push(std::mem::replace(&mut current, empty(last)));
        }
        last = change.revision;
        current.changes.push(wire);
    }
    messages.push(current);
    messages
}
