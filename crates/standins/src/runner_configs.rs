//! The team configurations that one stand-in runner holds.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use teaselcroft_parts::TeamName;
use teaselcroft_router::engine::OrderWire;

use crate::recorder::AppliedConfig;
use crate::run_context::RunContext;

/// Accepts configuration orders from the router; with `fencing`, refuses those with an outdated fencing number.
#[derive(Debug)]
pub struct RunnerConfigs {
    runner: String,
    fencing: bool,
    revisions: Mutex<BTreeMap<TeamName, u64>>,
}

impl RunnerConfigs {
    /// The configurations of `runner`, at first none.
    pub fn new(runner: String, fencing: bool) -> RunnerConfigs {
        RunnerConfigs { runner, fencing, revisions: Mutex::default() }
    }

    /// Applies an order and records it; false if fencing is on and the order's fence is below the revision held.
    pub fn apply(&self, context: &RunContext, order: OrderWire) -> bool {
        let mut revisions = self.revisions.lock().unwrap_or_else(PoisonError::into_inner);
        let held = revisions.get(&order.team).copied().unwrap_or(0);
        if self.fencing && order.fence < held {
            return false;
        }
        let config = AppliedConfig {
            at_ms: context.now_ms(),
            runner: self.runner.clone(),
            team: order.team.to_string(),
            revision: order.revision,
        };
        context.recorder.write(|records| records.applied.push(config));
        revisions.insert(order.team, order.revision);
        true
    }

    /// The revision held for each team.
    pub fn revisions(&self) -> BTreeMap<TeamName, u64> {
        self.revisions.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Drops all configurations and records a restart.
    pub fn reset(&self, context: &RunContext) {
        self.revisions.lock().unwrap_or_else(PoisonError::into_inner).clear();
        let at = context.now_ms();
        context.recorder.write(|records| records.restarts.push((at, self.runner.clone())));
    }
}
