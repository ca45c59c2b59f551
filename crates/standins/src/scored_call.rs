//! Scores each request line from its caller's record: how it ended and how long it took.

use std::collections::BTreeMap;

use teaselcroft_policy::ClassRule;

use crate::caller::{CallRecord, Reply};

/// How a request line ended, as its caller knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The caller received the complete answer to its own request.
    Whole,
    /// Every attempt was refused as not run.
    NotRun,
    /// The caller was told that it may have run, got a wrong answer, or had attempts that ended in different ways.
    Unknown,
    /// No attempt got a definite reply.
    Lost,
}

/// A request line with its rule, outcome and times.
#[derive(Debug, Clone)]
pub struct ScoredCall<'a> {
    /// What the caller recorded.
    pub record: &'a CallRecord,
    /// The rule of the request class.
    pub rule: &'a ClassRule,
    /// How it ended.
    pub outcome: CallOutcome,
    /// Time from the first send to the first token received, in milliseconds; `None` without a token.
    pub first_ms: Option<u64>,
    /// Time from the first send to the end of the last attempt, in milliseconds.
    pub total_ms: u64,
}

impl ScoredCall<'_> {
    /// Whether it counts for attainment: abandoned and poison requests do not.
    pub fn is_counted(&self) -> bool {
        !self.record.abandoned && !self.record.request.poison
    }

    /// Whether the complete answer arrived within the target of its class.
    pub fn in_target(&self) -> bool {
        self.outcome == CallOutcome::Whole && self.total_ms <= self.rule.target.0
    }

    /// The name of the request class.
    pub fn class(&self) -> &str {
        &self.record.request.class
    }
}

fn outcome(record: &CallRecord) -> CallOutcome {
    let replies = || record.attempts.iter().map(|attempt| &attempt.reply);
    if replies().any(|reply| *reply == Reply::Whole) {
        return CallOutcome::Whole;
    }
    let not_run = |reply: &Reply| matches!(reply, Reply::Refused { ran, .. } if ran == "not-run");
    if replies().all(not_run) {
        return CallOutcome::NotRun;
    }
    if replies().all(|reply| *reply == Reply::Broken) {
        return CallOutcome::Lost;
    }
    CallOutcome::Unknown
}

/// Scores every call whose class has a rule.
pub fn score_calls<'a>(records: &'a [CallRecord], rules: &'a BTreeMap<String, ClassRule>) -> Vec<ScoredCall<'a>> {
    let calls = records.iter().filter_map(|record| {
        let rule = rules.get(&record.request.class)?;
        let sent = record.request.at_ms;
        let first = record.attempts.iter().find_map(|attempt| attempt.first_ms);
        let ended = record.attempts.last().map_or(sent, |attempt| attempt.ended_ms);
        Some(ScoredCall {
            record,
            rule,
            outcome: outcome(record),
            first_ms: first.map(|first| first.saturating_sub(sent)),
            total_ms: ended.saturating_sub(sent),
        })
    });
    calls.collect()
}
