//! The runners' entries as the store had them at one revision.

use std::collections::BTreeMap;

use teaselcroft_parts::RunnerName;

use crate::RunnerRecord;
use crate::runner_news::{ChangeWire, RunnerChange, RunnerNews};
use crate::store::Revision;

/// Bytes of changes in one datagram.
const MOST_NEWS_BYTES: usize = 12 * 1024;

/// How a peer's news relates to what is known.
#[derive(Debug, PartialEq)]
pub enum NewsOutcome {
    /// The changes that were not known, oldest first; the index is complete up to the news' revision.
    New(Vec<RunnerChange>),
    /// Nothing in it is new, and it says nothing of the present.
    Old,
    /// Changes before it are missing.
    Gap,
}

/// The runners' entries as the store had them at one revision.
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

    /// Takes in all entries there are; returns the changes against what was known.
    pub fn replace(&mut self, list: &[RunnerChange], revision: Revision) -> Vec<RunnerChange> {
        let old = std::mem::take(&mut self.entries);
        self.apply(list, revision);
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

    /// Takes in changes up to a revision.
    pub fn apply(&mut self, changes: &[RunnerChange], revision: Revision) {
        for change in changes {
            match &change.record {
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

    /// Takes in what a peer hands on. News with a change that cannot be read counts as missing.
    pub fn take_news(&mut self, news: RunnerNews) -> NewsOutcome {
        let Some(known) = self.revision else {
            return NewsOutcome::Gap;
        };
        if Revision(news.revision) < known {
            return NewsOutcome::Old;
        }
        // What a list changes against its reader's last revision says nothing of what came and went since.
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

    /// All entries, for a daemon that has none.
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

/// Changes after a revision as news for peers, each small enough for a datagram. Changes of a list are not in the
/// order of their revisions: if they need several datagrams, peers are left to notice the gap.
pub fn split_news(after: Revision, changes: &[RunnerChange], revision: Revision, is_listed: bool) -> Vec<RunnerNews> {
    let empty =
        |after: Revision| RunnerNews { after: after.0, revision: revision.0, is_listed, ..RunnerNews::default() };
    let mut all = Vec::new();
    let mut open = empty(after);
    let (mut bytes, mut last) = (0, after);
    for change in changes {
        let wire = ChangeWire::from(change);
        bytes += prost::Message::encoded_len(&wire);
        if bytes > MOST_NEWS_BYTES && is_listed {
            return Vec::new();
        }
        // Changes of one revision stay together.
        if bytes > MOST_NEWS_BYTES && change.revision > last {
            bytes = 0;
            open.revision = last.0;
            all.push(std::mem::replace(&mut open, empty(last)));
        }
        last = change.revision;
        open.changes.push(wire);
    }
    all.push(open);
    all
}
