//! The demand of the last minute, as rates of work.

use std::collections::VecDeque;

use teaselcroft_parts::Millis;

use super::{DemandSample, ScalingSettings};

/// The work that was asked for from `start` to `end`.
#[derive(Debug, Clone, Copy)]
struct Slice {
    start: Millis,
    end: Millis,
    work: f64,
    urgent: f64,
}

/// The work per second that is asked for, in prompt tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DemandRates {
    /// The mean of the window.
    pub mean: f64,
    /// The highest rate in the window.
    pub peak: f64,
    /// The latest rate.
    pub latest: f64,
    /// The highest rate of the most urgent priority.
    pub urgent: f64,
}

/// The demand of the last minute.
#[derive(Debug, Default)]
pub struct DemandHistory {
    slices: VecDeque<Slice>,
    /// Rates over `rate_span`, with the time of each.
    rates: VecDeque<(Millis, f64, f64)>,
    first: Option<Millis>,
}

impl DemandHistory {
    /// Adds what was asked for from `start` to `end`.
    pub fn add(&mut self, sample: &DemandSample, start: Millis, end: Millis, settings: &ScalingSettings) {
        let work = |prompt: f64, output: f64| (prompt + output * settings.output_weight).max(0.0);
        self.first.get_or_insert(start);
        self.slices.push_back(Slice {
            start,
            end,
            work: work(sample.prompt_tokens, sample.output_tokens),
            urgent: work(sample.urgent_prompt, sample.urgent_output),
        });
        let is_old = |at: Millis| end.since(at) >= settings.window;
        while self.slices.front().is_some_and(|slice| is_old(slice.end)) {
            self.slices.pop_front();
        }
        while self.rates.front().is_some_and(|(at, ..)| is_old(*at)) {
            self.rates.pop_front();
        }
        let span_start = Millis(end.0.saturating_sub(settings.rate_span.0));
        let recent = self.slices.iter().rev().take_while(|slice| slice.start >= span_start);
        let (work, urgent) = recent.fold((0.0, 0.0), |sum, slice| (sum.0 + slice.work, sum.1 + slice.urgent));
        // The first samples cover less than the span; dividing by all of it avoids a peak from a single request.
        let seconds = settings.rate_span.0 as f64 / 1_000.0;
        self.rates.push_back((end, work / seconds, urgent / seconds));
    }

    /// The rates of the window, or `None` without a sample in the last `max_age`.
    pub fn rates(&self, max_age: Millis, now: Millis) -> Option<DemandRates> {
        let (at, latest, _) = self.rates.back()?;
        if now.since(*at) > max_age {
            return None;
        }
        let span = self.slices.back()?.end.since(self.slices.front()?.start);
        let sum: f64 = self.slices.iter().map(|slice| slice.work).sum();
        let highest = |values: &mut dyn Iterator<Item = f64>| values.fold(0.0, f64::max);
        Some(DemandRates {
            mean: sum * 1_000.0 / span.0.max(1) as f64,
            peak: highest(&mut self.rates.iter().map(|(_, rate, _)| *rate)),
            latest: *latest,
            urgent: highest(&mut self.rates.iter().map(|(.., urgent)| *urgent)),
        })
    }

    /// Whether the samples cover the whole window.
    pub fn is_complete(&self, window: Millis, now: Millis) -> bool {
        self.first.is_some_and(|first| now.since(first) >= window)
    }
}
