//! The faults of a schedule, the safeguards under test, and what schedules covered.

use teaselcroft_parts::Millis;

/// The probability of each fault per step, or of a loss per message, in thousandths.
#[derive(Debug, Clone)]
pub struct Faults {
    /// The store goes down or comes back.
    pub store: u64,
    /// The store's replies to writes start or stop being lost.
    pub replies: u64,
    /// A daemon is killed and restarted.
    pub kill: u64,
    /// A daemon's process is paused.
    pub pause: u64,
    /// The link between two daemons is cut or restored.
    pub cut: u64,
    /// A single message to a witness, or reply to a write, is lost.
    pub loss: u64,
    /// The maximum delay of a message, in milliseconds.
    pub delay_ms: u64,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults { store: 15, replies: 10, kill: 10, pause: 10, cut: 10, loss: 50, delay_ms: 120 }
    }
}

/// The safeguards on which at-most-once execution depends.
#[derive(Debug, Clone)]
pub struct Guards {
    /// The store compares the version before it writes.
    pub compares: bool,
    /// Witnesses report gaps.
    pub witnesses_report: bool,
    /// "Not run" is reported only after the store's record confirms it.
    pub confirms_not_run: bool,
    /// How long unknown keys are refused after a gap, beyond the consent: not at all if zero, else for
    /// the callers' patience.
    pub window: Millis,
    /// How long the record keeps claims.
    pub retention: Millis,
}

impl Default for Guards {
    fn default() -> Guards {
        Guards {
            compares: true,
            witnesses_report: true,
            confirms_not_run: true,
            window: Millis(10_000),
            retention: Millis(40_000),
        }
    }
}

/// Counts of the events that schedules covered.
#[derive(Debug, Clone, Default)]
pub struct Coverage {
    /// Calls that ran.
    pub executions: u64,
    /// Slots taken over.
    pub takeovers: u64,
    /// Slots taken over while unknown keys may have run.
    pub gaps: u64,
    /// Consents given by witnesses.
    pub consents: u64,
    /// Calls granted while not in the journal.
    pub unjournaled_runs: u64,
    /// Calls reported as not run.
    pub reported_not_run: u64,
}

impl Coverage {
    /// Adds the counts of another schedule.
    pub fn add(&mut self, other: &Coverage) {
        self.executions += other.executions;
        self.takeovers += other.takeovers;
        self.gaps += other.gaps;
        self.consents += other.consents;
        self.unjournaled_runs += other.unjournaled_runs;
        self.reported_not_run += other.reported_not_run;
    }
}
