//! Which calls of the duties may still arrive.

use teaselcroft_parts::Millis;

/// Counts the calls of the duties that are under way, and notes those that ended without an answer: they may still arrive.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallLedger {
    under_way: usize,
    unanswered: Option<Millis>,
}

impl CallLedger {
    /// Notes that a call begins.
    pub fn begin(&mut self) {
        self.under_way += 1;
    }

    /// Notes that a call ended at `now`, with or without an answer.
    pub fn end(&mut self, is_answered: bool, now: Millis) {
        self.under_way = self.under_way.saturating_sub(1);
        if !is_answered {
            self.unanswered = Some(now);
        }
    }

    /// Whether no call is under way.
    pub fn is_idle(&self) -> bool {
        self.under_way == 0
    }

    /// Whether no call is under way, and none has ended without an answer within `window`.
    pub fn has_settled(&self, window: Millis, now: Millis) -> bool {
        self.is_idle() && self.unanswered.is_none_or(|ended| now.since(ended) > window)
    }
}
