//! The last order of one kind of runner in one zone.

use std::collections::VecDeque;

use teaselcroft_parts::Millis;

use super::{OrderResult, ScalingSettings};

/// What became of the last order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// The count is in force, or was never ordered because the runners were there.
    Settled,
    /// It is to be sent, at this time or later.
    Due(Millis),
    /// It was handed out at this time and has no result yet.
    Sent(Millis),
}

/// A result that takes longer than this is not waited for; a call's timeout is shorter.
const MAX_RESULT_WAIT: Millis = Millis(5_000);

/// Leaving runners keep their entries for up to this long.
pub const LEAVE_TIME: Millis = Millis(12_000);

/// How long reclaimed runners stay; the notice is 2.0 to 2.7 s.
const RECLAIM_NOTICE: Millis = Millis(3_000);

/// The last order of one kind of runner in one zone, and the runners that are there.
#[derive(Debug)]
pub struct KindOrder {
    /// The number of runners ordered.
    pub count: u32,
    progress: Progress,
    /// When an order that raised the count, or repeated it, was accepted.
    raised_at: Option<Millis>,
    /// When an order was last accepted.
    accepted_at: Option<Millis>,
    /// Whether the last change lowered the count and was not accepted yet.
    is_lowered: bool,
    /// When the count was last lowered.
    pub lowered_at: Option<Millis>,
    /// Until when none are available.
    blocked_until: Millis,
    /// Runners that take requests, for the last `settle` time; the latest is last.
    ready: VecDeque<(Millis, u32)>,
    /// The counts ordered before the latest reductions, since the runners leave only some time later.
    earlier: Vec<(Millis, u32)>,
}

impl KindOrder {
    /// A kind of which `count` runners are there or were ordered; `is_due` if a predecessor's order is to be repeated.
    pub fn new(count: u32, is_due: bool) -> KindOrder {
        KindOrder {
            count,
            progress: if is_due { Progress::Due(Millis(0)) } else { Progress::Settled },
            raised_at: None,
            accepted_at: None,
            is_lowered: false,
            lowered_at: None,
            blocked_until: Millis(0),
            ready: VecDeque::new(),
            earlier: Vec::new(),
        }
    }

    /// Notes how many runners take requests.
    pub fn observe(&mut self, ready: u32, settle: Millis, now: Millis) {
        self.ready.push_back((now, ready));
        // The entry before the settling time is kept, as it says what was true at its start.
        while self.ready.get(1).is_some_and(|(at, _)| now.since(*at) >= settle) {
            self.ready.pop_front();
        }
    }

    /// Runners that take requests now.
    pub fn ready(&self) -> u32 {
        self.ready.back().map_or(0, |(_, ready)| *ready)
    }

    /// Runners that have taken requests for the whole settling time.
    pub fn settled(&self, settle: Millis, now: Millis) -> u32 {
        let is_covered = self.ready.front().is_some_and(|(at, _)| now.since(*at) >= settle);
        if is_covered { self.ready.iter().map(|(_, ready)| *ready).min().unwrap_or(0) } else { 0 }
    }

    /// Runners that were ordered and have had no time yet to appear.
    pub fn booting(&self, boot: Millis, now: Millis) -> u32 {
        let is_awaited = match self.progress {
            Progress::Sent(_) => true,
            Progress::Settled => self.raised_at.is_some_and(|at| now.since(at) < boot),
            Progress::Due(_) => false,
        };
        if is_awaited { self.count.saturating_sub(self.ready()) } else { 0 }
    }

    /// The runners that may be there or may come: what was ordered, and any beyond that that still take requests.
    pub fn committed(&self) -> u32 {
        self.count.max(self.ready())
    }

    /// The highest count that was in force within the last `span`.
    pub fn highest_since(&mut self, span: Millis, now: Millis) -> u32 {
        self.earlier.retain(|(at, _)| now.since(*at) < span);
        self.earlier.iter().map(|(_, count)| *count).fold(self.count, u32::max)
    }

    /// Whether some may be available.
    pub fn is_available(&self, now: Millis) -> bool {
        now >= self.blocked_until
    }

    /// Sets another count, to be ordered at once.
    pub fn set(&mut self, count: u32, now: Millis) {
        if count < self.count {
            self.lowered_at = Some(now);
            self.earlier.push((now, self.count));
        }
        self.is_lowered = count < self.count;
        self.count = count;
        self.progress = Progress::Due(now);
    }

    /// Takes the runners that are there as ordered, as long as nothing was ordered.
    pub fn adopt(&mut self, ready: u32) {
        self.count = self.count.max(ready);
    }

    /// Repeats an order whose runners did not appear in time or are gone, or whose surplus does not leave: an earlier order
    /// that got no answer may have been executed late. Returns whether it is to be repeated.
    pub fn repeat_if_ignored(&mut self, boot: Millis, now: Millis) -> bool {
        let is_missing = self.ready() < self.count && self.raised_at.is_none_or(|at| now.since(at) >= boot);
        let is_surplus = self.ready() > self.count && self.accepted_at.is_some_and(|at| now.since(at) >= LEAVE_TIME);
        let is_ignored = self.progress == Progress::Settled && (is_missing || is_surplus);
        if is_ignored {
            self.progress = Progress::Due(now);
        }
        is_ignored
    }

    /// Repeats an order whose runners are being reclaimed: at once, and again once they are gone, since a provider may
    /// count those that leave.
    pub fn repeat(&mut self, now: Millis) {
        let is_recent = self.raised_at.is_some_and(|at| now.since(at) < RECLAIM_NOTICE);
        if self.progress == Progress::Settled && !is_recent {
            self.progress = Progress::Due(now);
        }
    }

    /// Whether the order is to be sent now; it then counts as sent.
    pub fn take_due(&mut self, now: Millis) -> bool {
        if let Progress::Sent(at) = self.progress
            && now.since(at) >= MAX_RESULT_WAIT
        {
            self.progress = Progress::Due(now);
        }
        let is_due = matches!(self.progress, Progress::Due(at) if now >= at);
        // A reduction needs none to be available.
        let is_due = is_due && (self.is_available(now) || self.count <= self.ready());
        if is_due {
            self.progress = Progress::Sent(now);
        }
        is_due
    }

    /// Notes the result of the order for `count` runners.
    pub fn apply(&mut self, count: u32, result: OrderResult, settings: &ScalingSettings, now: Millis) {
        if count != self.count {
            return;
        }
        match result {
            OrderResult::Accepted => {
                (self.is_lowered, self.progress) = (false, Progress::Settled);
                self.accepted_at = Some(now);
                self.raised_at = (self.ready() < self.count).then_some(now);
                self.blocked_until = Millis(0);
            }
            OrderResult::NoneAvailable => {
                self.blocked_until = now + settings.none_pause;
                self.progress = Progress::Due(self.blocked_until);
            }
            OrderResult::NoAnswer => self.progress = Progress::Due(now + settings.retry_pause),
            OrderResult::NotSent if self.is_lowered => {
                self.count = self.earlier.pop().map_or(self.count, |(_, earlier)| earlier.max(self.count));
                (self.is_lowered, self.progress) = (false, Progress::Settled);
            }
            OrderResult::NotSent => self.progress = Progress::Due(now + settings.retry_pause),
        }
    }
}
