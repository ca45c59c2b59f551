//! Pauses between calls that fail, each longer than the last and spread so that daemons do not call together.

use teaselcroft_parts::Millis;

/// A pause of `mean` on average, between half and one and a half of it.
pub fn spread(mean: Millis) -> Millis {
    Millis(mean.0 / 2 + fastrand::u64(0..=mean.0))
}

/// Pauses between calls that fail.
#[derive(Debug)]
pub struct Backoff {
    first: Millis,
    longest: Millis,
    mean: Millis,
}

impl Backoff {
    /// Pauses that begin at `first` and double up to `longest`, on average.
    pub const fn new(first: Millis, longest: Millis) -> Backoff {
        Backoff { first, longest, mean: first }
    }

    /// The next pause.
    pub fn pause(&mut self) -> Millis {
        let mean = self.mean;
        self.mean = Millis((mean.0 * 2).min(self.longest.0));
        spread(mean)
    }

    /// Begins anew after a call that succeeded.
    pub fn reset(&mut self) {
        self.mean = self.first;
    }
}
