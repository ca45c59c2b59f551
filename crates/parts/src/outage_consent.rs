//! A witness's time-limited consent to run calls while the journal cannot be written.

use crate::{LeaseClock, Millis};

const CONSENT_TTL_MS: Millis = Millis(5_000);
/// How long before its expiry the holder stops using a consent.
const CONSENT_MARGIN_MS: Millis = Millis(500);

/// A consent that a witness gives for a few seconds, renewed while the outage lasts.
///
/// ```
/// use teaselcroft_parts::{Millis, OutageConsent};
///
/// let mut consent = OutageConsent::default();
/// consent.granted(Millis(1_000));
/// assert!(consent.is_valid(Millis(5_000)));
/// assert!(!consent.is_valid(Millis(5_500)));
/// ```
#[derive(Debug, Clone)]
pub struct OutageConsent {
    lease: LeaseClock,
}

impl Default for OutageConsent {
    fn default() -> OutageConsent {
        OutageConsent { lease: LeaseClock::new(CONSENT_TTL_MS, CONSENT_MARGIN_MS) }
    }
}

impl OutageConsent {
    /// How long a consent can be valid after the witness last gave it.
    pub const TTL: Millis = CONSENT_TTL_MS;

    /// Records a consent that was requested at `sent`, from which its time to live counts.
    pub fn granted(&mut self, sent: Millis) {
        self.lease.renewed(sent);
    }

    /// Ends the consent at once.
    pub fn end(&mut self) {
        self.lease.lost();
    }

    /// Whether calls may run outside the journal at `now`.
    pub fn is_valid(&self, now: Millis) -> bool {
        self.lease.is_valid(now)
    }
}
