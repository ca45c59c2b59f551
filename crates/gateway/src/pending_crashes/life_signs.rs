//! When each runner was heard last.

use std::collections::HashMap;

use teaselcroft_parts::{Millis, ModelName, RunnerName};

use crate::RunnerRecord;

/// A runner that was not heard for this long is forgotten.
const LIFE_SIGN_TTL: Millis = Millis(10_000);

/// The last sign of life of one start of a runner.
#[derive(Debug, Clone)]
struct LifeSign {
    started_at: i64,
    service: ModelName,
    at: Millis,
}

/// When each runner was heard last: its answers and events, as this daemon received them.
#[derive(Debug, Default)]
pub struct LifeSigns {
    signs: HashMap<RunnerName, LifeSign>,
    expired_at: Millis,
}

impl LifeSigns {
    /// Records that a runner was heard.
    pub fn note(&mut self, record: &RunnerRecord, now: Millis) {
        match self.signs.get_mut(&record.name) {
            Some(sign) if sign.started_at == record.started_at => sign.at = now,
            _ => {
                let sign = LifeSign { started_at: record.started_at, service: record.service.clone(), at: now };
                self.signs.insert(record.name.clone(), sign);
            }
        }
        if now.since(self.expired_at) >= LIFE_SIGN_TTL {
            self.expired_at = now;
            self.signs.retain(|_, sign| now.since(sign.at) < LIFE_SIGN_TTL);
        }
    }

    /// When a runner was heard last, 0 if it was not heard lately.
    pub fn last_at(&self, runner: &RunnerName) -> Millis {
        self.signs.get(runner).map_or(Millis(0), |sign| sign.at)
    }

    /// Whether most of a service's runners for which `is_asked` holds were heard after `at`.
    pub fn are_most_heard(&self, service: &ModelName, is_asked: impl Fn(&RunnerName) -> bool, at: Millis) -> bool {
        let asked = self.signs.iter().filter(|(name, sign)| sign.service == *service && is_asked(name));
        let (heard, all) = asked.fold((0, 0), |(heard, all), (_, sign)| (heard + usize::from(sign.at > at), all + 1));
        heard * 2 > all
    }
}
