//! How many requests a runner ended and failed lately.

use teaselcroft_parts::Millis;

/// The time in which a count loses half of its weight; a runner that fails is judged by its last few answers.
const HALF_LIFE: Millis = Millis(1_000);

/// How many requests ended and failed lately; older ones weigh less.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OutcomeWindow {
    ended: f64,
    failed: f64,
    updated: Millis,
}

impl OutcomeWindow {
    /// Adds `ended` requests, `failed` of which failed.
    pub fn add(&mut self, ended: u32, failed: u32, now: Millis) {
        *self = self.at(now);
        self.ended += f64::from(ended);
        self.failed += f64::from(failed);
    }

    /// The window as of `now`.
    pub fn at(self, now: Millis) -> OutcomeWindow {
        let weight = (-(now.since(self.updated).0 as f64) / HALF_LIFE.0 as f64).exp2();
        OutcomeWindow { ended: self.ended * weight, failed: self.failed * weight, updated: now }
    }

    /// The weighted number of failed requests.
    pub fn failed(&self) -> f64 {
        self.failed
    }

    /// The share of requests that failed, or `None` if none ended lately.
    pub fn failure_rate(&self) -> Option<f64> {
        (self.ended > 0.0).then(|| self.failed / self.ended)
    }

    /// This window together with another one; both are as of the same time.
    pub fn plus(self, other: OutcomeWindow) -> OutcomeWindow {
        OutcomeWindow { ended: self.ended + other.ended, failed: self.failed + other.failed, ..self }
    }

    /// This window without another one that is part of it.
    pub fn without(self, other: OutcomeWindow) -> OutcomeWindow {
        let less = |whole: f64, part: f64| (whole - part).max(0.0);
        OutcomeWindow { ended: less(self.ended, other.ended), failed: less(self.failed, other.failed), ..self }
    }
}
