//! The rules in force for all classes of all teams.

use std::collections::BTreeMap;
use std::fmt;

use teaselcroft_parts::{ClassName, Millis, ModelName, TeamName};

use crate::{ClassRule, TeamConfig};

/// A class name that two teams use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClassTableError {
    /// The class name.
    pub class: ClassName,
    /// The team whose configuration in force has it.
    pub owner: TeamName,
}

impl fmt::Display for ClassTableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "class {} belongs to team {}; choose another name", self.class, self.owner)
    }
}

impl std::error::Error for ClassTableError {}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Entry {
    team: TeamName,
    rule: ClassRule,
}

/// The rules in force for all classes; a class name belongs to one team.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClassTable {
    classes: BTreeMap<ClassName, Entry>,
    revisions: BTreeMap<TeamName, u64>,
}

impl ClassTable {
    /// Replaces the team's classes by those of `config` if its revision is newer; true if replaced.
    ///
    /// # Errors
    ///
    /// Returns a class that another team has; nothing is changed then.
    pub fn apply(&mut self, config: &TeamConfig) -> Result<bool, ClassTableError> {
        self.check(config)?;
        if self.revision(config.team()) >= config.revision {
            return Ok(false);
        }
        self.classes.retain(|_, entry| entry.team != *config.team());
        for (name, rule) in &config.classes {
            let entry = Entry { team: config.team().clone(), rule: rule.clone() };
            self.classes.insert(name.clone(), entry);
        }
        self.revisions.insert(config.team().clone(), config.revision);
        Ok(true)
    }

    /// Checks that no other team has a class of `config`.
    ///
    /// # Errors
    ///
    /// Returns the first class that another team has.
    pub fn check(&self, config: &TeamConfig) -> Result<(), ClassTableError> {
        let taken = config.classes.keys().find_map(|name| {
            let entry = self.classes.get(name)?;
            (entry.team != *config.team()).then(|| ClassTableError { class: name.clone(), owner: entry.team.clone() })
        });
        taken.map_or(Ok(()), Err)
    }

    /// The rule of `class`, if a configuration in force has it.
    pub fn rule(&self, class: &ClassName) -> Option<&ClassRule> {
        self.classes.get(class).map(|entry| &entry.rule)
    }

    /// The revision in force for `team`; zero if none is.
    pub fn revision(&self, team: &TeamName) -> u64 {
        self.revisions.get(team).copied().unwrap_or(0)
    }

    /// The revision in force for each team.
    pub const fn revisions(&self) -> &BTreeMap<TeamName, u64> {
        &self.revisions
    }

    /// The models and services that serve any class, sorted.
    pub fn upstreams(&self) -> Vec<ModelName> {
        let mut names: Vec<ModelName> = self.classes.values().map(|entry| entry.rule.upstream.clone()).collect();
        names.sort();
        names.dedup();
        names
    }

    /// The teams of which `upstream` serves a class, sorted.
    pub fn teams_of(&self, upstream: &ModelName) -> Vec<TeamName> {
        let entries = self.classes.values().filter(|entry| entry.rule.upstream == *upstream);
        let mut teams: Vec<TeamName> = entries.map(|entry| entry.team.clone()).collect();
        teams.sort();
        teams.dedup();
        teams
    }

    /// The longest patience of the classes that must not repeat; zero if there is none.
    pub fn longest_patience(&self) -> Millis {
        let rules = self.classes.values().map(|entry| &entry.rule);
        let spans = rules.filter(|rule| rule.never_repeat).map(|rule| rule.patience);
        spans.max().unwrap_or_default()
    }
}
