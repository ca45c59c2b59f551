//! Limits retries to a share of first attempts over all daemons together, without calls between the daemons.

use std::collections::{HashMap, VecDeque};

use teaselcroft_parts::{Millis, ModelName};

use crate::settings::Bounds;

/// The share of the configured budget that is used; the rest covers daemons whose counts briefly differ.
const BUDGET_SHARE: f64 = 0.8;

/// The attempts for one service within the retry window.
#[derive(Debug, Default)]
struct Window {
    /// Each second with attempts, oldest first: the second, its first attempts and its retries.
    seconds: VecDeque<(u64, u32, u32)>,
}

impl Window {
    /// The counts of the current second; drops the seconds that are older than `span`.
    fn current_second(&mut self, now: Millis, span: Millis) -> &mut (u64, u32, u32) {
        let second = now.0 / 1_000;
        while self.seconds.front().is_some_and(|(first, _, _)| first * 1_000 + span.0 < now.0) {
            self.seconds.pop_front();
        }
        if self.seconds.back().is_none_or(|(last, _, _)| *last != second) {
            self.seconds.push_back((second, 0, 0));
        }
        let last = self.seconds.len() - 1;
        &mut self.seconds[last]
    }

    /// The first attempts and the retries within the window.
    fn sums(&self) -> (u32, u32) {
        self.seconds.iter().fold((0, 0), |(firsts, retries), (_, one, more)| (firsts + one, retries + more))
    }
}

/// Counts first attempts and retries per service in a sliding window.
#[derive(Debug)]
pub struct RetryLimiter {
    bounds: Bounds,
    windows: HashMap<ModelName, Window>,
}

impl RetryLimiter {
    /// A limiter with the retry ratio, window and slack of `bounds`.
    pub fn new(bounds: Bounds) -> RetryLimiter {
        RetryLimiter { bounds, windows: HashMap::new() }
    }

    /// Counts a request's first attempt.
    pub fn count_request(&mut self, service: &ModelName, now: Millis) {
        let span = self.bounds.retry_window.into();
        self.windows.entry(service.clone()).or_default().current_second(now, span).1 += 1;
    }

    /// Counts a retry and returns true if the budget allows it; the slack is divided among `daemons` daemons.
    pub fn try_retry(&mut self, service: &ModelName, daemons: usize, now: Millis) -> bool {
        let is_allowed = self.has_retry(service, daemons, now);
        if is_allowed {
            let span = self.bounds.retry_window.into();
            self.windows.entry(service.clone()).or_default().current_second(now, span).2 += 1;
        }
        is_allowed
    }

    /// Whether the budget allows a retry, which is not counted.
    pub fn has_retry(&mut self, service: &ModelName, daemons: usize, now: Millis) -> bool {
        let span = self.bounds.retry_window.into();
        let window = self.windows.entry(service.clone()).or_default();
        window.current_second(now, span);
        let (firsts, retries) = window.sums();
        let slack = self.bounds.retry_slack / daemons.max(1) as f64;
        let allowed = BUDGET_SHARE * (self.bounds.retry_ratio * f64::from(firsts) + slack);
        f64::from(retries) + 1.0 <= allowed
    }
}
