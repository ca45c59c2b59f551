//! Exponential backoff with jitter, so that daemons do not retry at the same moment.

use teaselcroft_parts::Millis;

/// Adds jitter to a delay: returns between half and one and a half times `mean`, evenly distributed.
pub fn jittered(mean: Millis) -> Millis {
    Millis(mean.0 / 2 + fastrand::u64(0..=mean.0))
}

/// The delays between retries of a failing call.
#[derive(Debug)]
pub struct Backoff {
    first: Millis,
    longest: Millis,
    mean: Millis,
}

impl Backoff {
    /// A backoff whose mean delay starts at `first` and doubles up to `longest`.
    pub const fn new(first: Millis, longest: Millis) -> Backoff {
        Backoff { first, longest, mean: first }
    }

    /// The delay before the next retry, with jitter.
    pub fn next_delay(&mut self) -> Millis {
        let mean = self.mean;
        self.mean = Millis((mean.0 * 2).min(self.longest.0));
        jittered(mean)
    }

    /// Returns to the first delay after a successful call.
    pub fn reset(&mut self) {
        self.mean = self.first;
    }
}
