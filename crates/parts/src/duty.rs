//! One daemon as the holder of, or a candidate for, the duties that one daemon at a time performs.

use crate::duty_phase::{Attempt, Hold, Phase};
use crate::{
    DaemonName, DutyAction, DutyAnswer, DutyClaim, DutyHistory, DutyPermit, DutyTimes, DutyView, FencingToken, Millis,
};

/// One daemon as the holder of, or a candidate for, the duties. All times are of a clock that counts suspended time.
///
/// Two holders cannot act at the same time: a holder acts only while its lease is certainly valid, and its successor,
/// unless the holder released the duties, only after the longest time for which the holder could still have acted.
#[derive(Debug, Clone)]
pub struct DutyHolder {
    name: DaemonName,
    times: DutyTimes,
    phase: Phase,
    /// When the call that is under way was sent.
    sent: Option<Millis>,
    /// The time of the last permit. Before the first one, the start: an earlier process may have acted until then.
    acted: Millis,
    /// Since when no other holder is known.
    vacant: Option<Millis>,
    /// The next look at the holder's key is made no earlier,
    turn_at: Millis,
    /// and the next call of any kind.
    resume_at: Millis,
    /// Since when this daemon ends its part.
    leaving: Option<Millis>,
    /// Tells the claims of this process from all others; increases with each.
    nonce: u64,
}

impl DutyHolder {
    /// A daemon that starts at `now` and holds nothing. `nonce` is a random number.
    pub fn new(name: DaemonName, times: DutyTimes, nonce: u64, now: Millis) -> DutyHolder {
        DutyHolder {
            name,
            times,
            phase: Phase::Waiting,
            sent: None,
            acted: now,
            vacant: None,
            turn_at: now,
            resume_at: now,
            leaving: None,
            nonce,
        }
    }

    /// A permit for one call, if this daemon holds the duties and its lease is certainly valid at `now`.
    pub fn permit(&mut self, now: Millis) -> Option<DutyPermit> {
        let token = self.token(now)?;
        self.acted = self.acted.max(now);
        Some(DutyPermit::new(token))
    }

    /// The token with which this daemon may act at `now`.
    pub fn token(&self, now: Millis) -> Option<FencingToken> {
        self.valid_hold(now).filter(|hold| hold.acts_from <= now).map(|hold| hold.token)
    }

    /// The token of this daemon's key while its lease is certainly valid, even if it does not act yet.
    pub fn claimed(&self, now: Millis) -> Option<FencingToken> {
        self.valid_hold(now).map(|hold| hold.token)
    }

    /// The token of this daemon's key, although its lease may have lapsed.
    pub const fn key_token(&self) -> Option<FencingToken> {
        match &self.phase {
            Phase::Holding(hold) => Some(hold.token),
            _ => None,
        }
    }

    fn valid_hold(&self, now: Millis) -> Option<&Hold> {
        let Phase::Holding(hold) = &self.phase else {
            return None;
        };
        (self.leaving.is_none() && now < hold.valid_until).then_some(hold)
    }

    /// Ends this daemon's part for good: it gives no permit any more, and gives back what it holds.
    pub fn leave(&mut self, now: Millis) {
        self.leaving.get_or_insert(now);
    }

    /// Whether this daemon ends its part.
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// Whether a daemon that leaves has given back what it held.
    pub fn has_left(&self) -> bool {
        self.leaving.is_some() && self.phase == Phase::Waiting
    }

    /// The store call to make now; its answer goes to [`DutyHolder::answered`] before there is another one.
    pub fn step(&mut self, now: Millis, view: DutyView) -> Option<DutyAction> {
        if self.sent.is_some() {
            return None;
        }
        if let Some(since) = self.leaving {
            self.step_back(now, view.has_settled || now >= since + self.times.call, view.has_settled);
        }
        self.note_vacancy(now, view);
        if now < self.resume_at && self.leaving.is_none() {
            return None;
        }
        let action = match &self.phase {
            Phase::Waiting => {
                if !self.is_due(now, view) {
                    return None;
                }
                self.phase = Phase::Looking;
                DutyAction::ReadHolder
            }
            Phase::Looking | Phase::Confirming(..) => DutyAction::ReadHolder,
            Phase::Recalling => DutyAction::ReadHistory,
            Phase::Granting(..) => DutyAction::Grant,
            Phase::Claiming(attempt) => DutyAction::Claim(attempt.claim.clone()),
            Phase::Holding(hold) if self.leaving.is_none() && now >= hold.renew_at => {
                DutyAction::Renew(hold.claim.lease)
            }
            Phase::Holding(_) => return None,
            Phase::Releasing(hold) => DutyAction::Release(hold.token, hold.claim.history.released()),
            Phase::Revoking(lease) => DutyAction::Revoke(*lease),
        };
        self.sent = Some(now);
        Some(action)
    }

    /// Notes whether another holder is known. When its announcements end, this candidate's turn is counted from then.
    fn note_vacancy(&mut self, now: Millis, view: DutyView) {
        if view.rank.is_none() || view.is_held {
            self.vacant = None;
        } else if self.vacant.is_none() {
            self.vacant = Some(now);
            self.turn_at = now;
        }
    }

    fn is_due(&self, now: Millis, view: DutyView) -> bool {
        let (Some(rank), Some(vacant), None) = (view.rank, self.vacant, self.leaving) else {
            return false;
        };
        now >= self.turn_at && now.since(vacant) >= Millis(self.times.rank.0 * u64::from(rank))
    }

    /// Chooses how a daemon that leaves gives back what it has. A holder whose calls all ended tells its successor to
    /// act at once; otherwise the successor waits until none of them can arrive any more.
    fn step_back(&mut self, now: Millis, is_due: bool, has_settled: bool) {
        self.phase = match std::mem::replace(&mut self.phase, Phase::Waiting) {
            Phase::Holding(hold) if !is_due => Phase::Holding(hold),
            Phase::Holding(hold) if has_settled && hold.acts_from <= now && now < hold.valid_until => {
                Phase::Releasing(hold)
            }
            Phase::Holding(hold) => Phase::Revoking(hold.claim.lease),
            Phase::Claiming(attempt) | Phase::Confirming(attempt, _) => Phase::Revoking(attempt.claim.lease),
            Phase::Releasing(hold) => Phase::Releasing(hold),
            Phase::Revoking(lease) => Phase::Revoking(lease),
            Phase::Waiting | Phase::Looking | Phase::Recalling | Phase::Granting(..) => Phase::Waiting,
        };
    }

    /// Takes the answer to the call that is under way.
    pub fn answered(&mut self, now: Millis, answer: DutyAnswer) {
        let Some(sent) = self.sent.take() else {
            return;
        };
        // A call that failed at once is repeated as late as one that timed out.
        let has_failed = matches!(answer, DutyAnswer::Silent | DutyAnswer::Rejected);
        self.resume_at = if has_failed { sent + self.times.answer() } else { now };
        let phase = std::mem::replace(&mut self.phase, Phase::Waiting);
        self.phase = match phase {
            Phase::Waiting => Phase::Waiting,
            Phase::Looking => match answer {
                DutyAnswer::Missing => Phase::Recalling,
                _ => self.try_later(now),
            },
            Phase::Recalling => self.recalled(now, answer),
            Phase::Granting(read_at, history) => match answer {
                DutyAnswer::Granted(lease) => self.begin_claim(sent, lease, read_at, &history),
                _ => self.try_later(now),
            },
            Phase::Claiming(attempt) => match answer {
                // Without the lease, no earlier sending of this claim can be applied any more either.
                DutyAnswer::Missing => self.try_later(now),
                DutyAnswer::Silent | DutyAnswer::Rejected => Phase::Confirming(attempt, true),
                _ => Phase::Confirming(attempt, false),
            },
            Phase::Confirming(attempt, is_open) => self.confirmed(now, attempt, is_open, answer),
            Phase::Holding(hold) => self.renewed(now, sent, hold, &answer),
            Phase::Releasing(hold) => Phase::Revoking(hold.claim.lease),
            // A lease that was not revoked expires.
            Phase::Revoking(_) => Phase::Waiting,
        };
    }

    fn try_later(&mut self, now: Millis) -> Phase {
        self.turn_at = now + self.times.retry;
        Phase::Waiting
    }

    fn recalled(&mut self, now: Millis, answer: DutyAnswer) -> Phase {
        let (read_at, history) = match answer {
            DutyAnswer::Missing => (None, DutyHistory::default()),
            DutyAnswer::Found { value, revision, .. } => {
                let text = String::from_utf8(value).unwrap_or_default();
                (Some(revision), text.parse().unwrap_or_else(|_| DutyHistory::unknown()))
            }
            _ => return self.try_later(now),
        };
        let returns_at = self.acted + self.times.return_wait();
        if history.may_return(&self.name) && now < returns_at {
            self.turn_at = returns_at;
            return Phase::Waiting;
        }
        Phase::Granting(read_at, history)
    }

    fn begin_claim(&mut self, asked: Millis, lease: u64, read_at: Option<u64>, history: &DutyHistory) -> Phase {
        self.nonce = self.nonce.wrapping_add(1);
        let claim =
            DutyClaim { name: self.name.clone(), nonce: self.nonce, lease, read_at, history: history.with(&self.name) };
        let valid_until = asked + self.times.validity();
        Phase::Claiming(Attempt { claim, valid_until, is_clean: history.is_released() })
    }

    /// Takes the holder's key as read after a claim. `is_open` says that the claim may still be applied.
    fn confirmed(&mut self, now: Millis, attempt: Attempt, is_open: bool, answer: DutyAnswer) -> Phase {
        let is_valid = now < attempt.valid_until;
        match answer {
            DutyAnswer::Found { value, created, .. } if value == attempt.claim.holder_value().as_bytes() => {
                let acts_from = if attempt.is_clean { now } else { now + self.times.quarantine() };
                let Attempt { claim, valid_until, .. } = attempt;
                Phase::Holding(Hold { claim, token: FencingToken(created), acts_from, valid_until, renew_at: now })
            }
            DutyAnswer::Missing if is_open && is_valid => Phase::Claiming(attempt),
            DutyAnswer::Silent | DutyAnswer::Rejected if is_valid => Phase::Confirming(attempt, is_open),
            _ => {
                self.turn_at = now + self.times.retry;
                Phase::Revoking(attempt.claim.lease)
            }
        }
    }

    /// Takes the answer to a renewal. A lease that is renewed after its validity lapsed never expired, so that nobody else
    /// held the duties in between.
    fn renewed(&mut self, now: Millis, sent: Millis, mut hold: Hold, answer: &DutyAnswer) -> Phase {
        match answer {
            DutyAnswer::Done => {
                hold.valid_until = hold.valid_until.max(sent + self.times.validity());
                hold.renew_at = sent + self.times.renewal();
            }
            DutyAnswer::Missing => {
                self.vacant = None;
                return Phase::Waiting;
            }
            _ => hold.renew_at = now.max(sent + self.times.answer()),
        }
        Phase::Holding(hold)
    }
}
