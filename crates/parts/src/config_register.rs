//! The newest accepted configuration of each team, independent of the order in which versions arrive.

use std::collections::BTreeMap;

use crate::TeamName;

/// One accepted configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigValue {
    /// The store's version of the write that accepted it; it increases with every accepted write.
    pub version: u64,
    /// The serialized configuration.
    pub value: Vec<u8>,
}

/// Keeps for each team the configuration with the highest version seen so far.
///
/// ```
/// use teaselcroft_parts::{ConfigRegister, ConfigValue, TeamName};
///
/// let team: TeamName = "harvest".parse()?;
/// let mut register = ConfigRegister::default();
/// assert!(register.offer(team.clone(), ConfigValue { version: 2, value: b"new".to_vec() }));
/// assert!(!register.offer(team, ConfigValue { version: 1, value: b"old".to_vec() }));
/// assert_eq!(register.clock(), 2);
/// # Ok::<(), teaselcroft_parts::NameError>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct ConfigRegister {
    teams: BTreeMap<TeamName, ConfigValue>,
}

impl ConfigRegister {
    /// Stores `config` if its version is higher than the stored one; returns true if so.
    pub fn offer(&mut self, team: TeamName, config: ConfigValue) -> bool {
        let held = self.teams.get(&team).map_or(0, |held| held.version);
        if config.version <= held {
            return false;
        }
        self.teams.insert(team, config);
        true
    }

    /// The configuration in force for `team`.
    pub fn get(&self, team: &TeamName) -> Option<&ConfigValue> {
        self.teams.get(team)
    }

    /// The highest version of all teams; a peer with a lower clock lacks some configuration.
    pub fn clock(&self) -> u64 {
        self.teams.values().map(|held| held.version).max().unwrap_or(0)
    }

    /// All configurations with a version above `clock`, to send to a peer with that clock.
    pub fn newer_than(&self, clock: u64) -> impl Iterator<Item = (&TeamName, &ConfigValue)> {
        self.teams.iter().filter(move |(_, held)| held.version > clock)
    }
}
