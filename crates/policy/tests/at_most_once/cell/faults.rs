//! What a schedule brings about.

use teaselcroft_parts::Millis;

/// How often things fail, in thousandths a step.
#[derive(Debug, Clone)]
pub struct Faults {
    /// The store goes down or comes back.
    pub store: u64,
    /// Replies begin or cease to be lost.
    pub replies: u64,
    /// A daemon is killed and started anew.
    pub kill: u64,
    /// A daemon is paused.
    pub pause: u64,
    /// Two daemons are cut from one another or joined again.
    pub cut: u64,
    /// A single message is lost.
    pub loss: u64,
    /// The longest delay of a message, in milliseconds.
    pub delay_ms: u64,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults { store: 15, replies: 10, kill: 10, pause: 10, cut: 10, loss: 50, delay_ms: 120 }
    }
}

/// The guards that at-most-once execution rests on.
#[derive(Debug, Clone)]
pub struct Guards {
    /// The store compares before it swaps.
    pub compares: bool,
    /// Witnesses tell of gaps.
    pub witnesses_tell: bool,
    /// "Not run" is confirmed by the store.
    pub attests: bool,
    /// How long unknown keys are refused after a gap, beyond the consent.
    pub window: Millis,
    /// How long claims are remembered.
    pub retention: Millis,
}

impl Default for Guards {
    fn default() -> Guards {
        Guards {
            compares: true,
            witnesses_tell: true,
            attests: true,
            window: Millis(10_000),
            retention: Millis(40_000),
        }
    }
}

/// What schedules brought about.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    /// Calls that ran.
    pub executions: u64,
    /// Slots taken over.
    pub takeovers: u64,
    /// Slots taken over with a gap.
    pub gaps: u64,
    /// Witnesses' consents.
    pub consents: u64,
    /// Calls granted outside the journal.
    pub unjournaled_runs: u64,
    /// Callers told that their call did not run.
    pub told_not_run: u64,
}

impl Seen {
    /// Adds what another schedule brought about.
    pub fn add(&mut self, other: &Seen) {
        self.executions += other.executions;
        self.takeovers += other.takeovers;
        self.gaps += other.gaps;
        self.consents += other.consents;
        self.unjournaled_runs += other.unjournaled_runs;
        self.told_not_run += other.told_not_run;
    }
}
