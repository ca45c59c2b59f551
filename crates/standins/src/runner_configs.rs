//! The configurations in force at one stand-in runner.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use teaselcroft_parts::TeamName;
use teaselcroft_router::engine::OrderWire;

use crate::recorder::InForce;
use crate::run_context::World;

/// Obeys orders; refuses old ones only if it checks fencing numbers.
#[derive(Debug)]
pub struct Orders {
    runner: String,
    fencing: bool,
    revisions: Mutex<BTreeMap<TeamName, u64>>,
}

impl Orders {
    /// The orders of `runner`, with nothing in force.
    pub fn new(runner: String, fencing: bool) -> Orders {
        Orders { runner, fencing, revisions: Mutex::default() }
    }

    /// Carries out an order; false if it carries an old fencing number and those are checked.
    pub fn obey(&self, world: &World, order: OrderWire) -> bool {
        let mut revisions = self.revisions.lock().unwrap_or_else(PoisonError::into_inner);
        let held = revisions.get(&order.team).copied().unwrap_or(0);
        if self.fencing && order.fence < held {
            return false;
        }
        let in_force = InForce {
            at_ms: world.now_ms(),
            runner: self.runner.clone(),
            team: order.team.to_string(),
            revision: order.revision,
        };
        world.ledger.write(|records| records.in_force.push(in_force));
        revisions.insert(order.team, order.revision);
        true
    }

    /// What is in force.
    pub fn revisions(&self) -> BTreeMap<TeamName, u64> {
        self.revisions.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Forgets everything, as in a restart.
    pub fn forget(&self, world: &World) {
        self.revisions.lock().unwrap_or_else(PoisonError::into_inner).clear();
        let at = world.now_ms();
        world.ledger.write(|records| records.restarts.push((at, self.runner.clone())));
    }
}
