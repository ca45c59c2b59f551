//! Outlier detection: takes work away from a runner that fails most of its requests while others answer theirs.
//!
//! It answers the load of a runner whose health check is good and whose answers are errors. Such a runner ends its
//! requests at once, so that it seems idle, draws more requests than any other and uses up the retry budget.

use teaselcroft_parts::Millis;

use crate::OutcomeWindow;

/// Failed requests from which on a runner is judged.
const MIN_FAILED: f64 = 2.5;

/// How much higher than that of the other runners a failure rate must be. Runners of one service that all fail a part of
/// their requests are no outliers.
const MIN_EXCESS: f64 = 0.4;

/// The first time for which an outlier gets no requests; it doubles with each time that its trial fails.
const MIN_EJECTION: Millis = Millis(500);

/// The longest such time.
const MAX_EJECTION: Millis = Millis(4_000);

/// The time between trial requests after an ejection, until one is answered.
const TRIAL_INTERVAL: Millis = Millis(300);

/// Whether one runner gets requests, by how its last ones ended.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OutlierState {
    window: OutcomeWindow,
    ejected_until: Millis,
    /// Consecutive ejections; zero while it is used as usual.
    ejections: u32,
    next_trial: Millis,
}

impl OutlierState {
    /// The outcomes of its requests lately, as of `now`.
    pub fn window(&self, now: Millis) -> OutcomeWindow {
        self.window.at(now)
    }

    /// Records that `ended` of its requests ended, `failed` of which failed, where `others` are the outcomes of all other
    /// runners of the service. Returns for how long it is ejected if it is from now on.
    pub fn note(&mut self, ended: u32, failed: u32, others: OutcomeWindow, now: Millis) -> Option<Millis> {
        self.window.add(ended, failed, now);
        let was_answered = ended > failed;
        if self.ejections > 0 && now >= self.ejected_until {
            if failed > 0 {
                return Some(self.eject(now));
            }
            if was_answered {
                *self = OutlierState::default();
            }
            return None;
        }
        let rate = self.window.failure_rate().unwrap_or(0.0);
        let usual = others.failure_rate().unwrap_or(0.0);
        let is_outlier = self.window.failed() >= MIN_FAILED && rate >= usual + MIN_EXCESS;
        (is_outlier && now >= self.ejected_until).then(|| self.eject(now))
    }

    fn eject(&mut self, now: Millis) -> Millis {
        let span = Millis(MIN_EJECTION.0 << self.ejections.min(8)).min(MAX_EJECTION);
        self.ejections += 1;
        self.ejected_until = now + span;
        self.next_trial = self.ejected_until;
        self.window = OutcomeWindow::default();
        span
    }

    /// Ejects it until `until`, since another daemon did.
    pub fn eject_until(&mut self, until: Millis) {
        if until > self.ejected_until {
            self.ejections = self.ejections.max(1);
            self.ejected_until = until;
            self.next_trial = until;
        }
    }

    /// Whether it is used as usual: neither ejected nor on trial.
    pub fn is_usual(&self) -> bool {
        self.ejections == 0
    }

    /// How much longer it is ejected, zero if it is not.
    pub fn ejected_for(&self, now: Millis) -> Millis {
        self.ejected_until.since(now)
    }

    /// Whether it may get a request: it is not ejected, or a trial request is due.
    pub fn is_usable(&self, now: Millis) -> bool {
        self.ejections == 0 || now >= self.next_trial
    }

    /// Records that it was chosen for a request; until a trial is answered the next one has to wait.
    pub fn note_chosen(&mut self, now: Millis) {
        if self.ejections > 0 {
            self.next_trial = self.next_trial.max(now + TRIAL_INTERVAL);
        }
    }
}
