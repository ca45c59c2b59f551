//! Scores each request line from its caller's record: how it ended and how long it took.

use std::collections::BTreeMap;

use teaselcroft_policy::ClassRule;

use crate::caller::{CallerRecord, Reply};

/// How a request line ended, as its caller knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
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
pub struct ScoredRequest<'a> {
    /// What the caller recorded.
    pub record: &'a CallerRecord,
    /// The rule of the request class.
    pub rule: &'a ClassRule,
    /// How it ended.
    pub outcome: RequestOutcome,
    /// Time from the first send to the first token received, in milliseconds; `None` without a token.
    pub first_ms: Option<u64>,
    /// Time from the first send to the end of the last attempt, in milliseconds.
    pub total_ms: u64,
}

impl ScoredRequest<'_> {
    /// Whether it counts for attainment: abandoned and poison requests do not.
    pub fn is_counted(&self) -> bool {
        !self.record.abandoned && !self.record.request.poison
    }

    /// Whether the complete answer arrived within the target of its class.
    pub fn in_target(&self) -> bool {
        self.outcome == RequestOutcome::Whole && self.total_ms <= self.rule.target.0
    }

    /// The name of the request class.
    pub fn class(&self) -> &str {
        &self.record.request.class
    }
}

fn outcome(record: &CallerRecord) -> RequestOutcome {
    let replies = || record.attempts.iter().map(|attempt| &attempt.reply);
    if replies().any(|reply| *reply == Reply::Whole) {
        return RequestOutcome::Whole;
    }
    let not_run = |reply: &Reply| matches!(reply, Reply::Refused { ran, .. } if ran == "not-run");
    if replies().all(not_run) {
        return RequestOutcome::NotRun;
    }
    if replies().all(|reply| *reply == Reply::Broken) {
        return RequestOutcome::Lost;
    }
    RequestOutcome::Unknown
}

/// Scores every request whose class has a rule.
pub fn score_requests<'a>(
    records: &'a [CallerRecord],
    rules: &'a BTreeMap<String, ClassRule>,
) -> Vec<ScoredRequest<'a>> {
    let requests = records.iter().filter_map(|record| {
        let rule = rules.get(&record.request.class)?;
        let sent = record.request.at_ms;
        let first = record.attempts.iter().find_map(|attempt| attempt.first_ms);
        let ended = record.attempts.last().map_or(sent, |attempt| attempt.ended_ms);
        Some(ScoredRequest {
            record,
            rule,
            outcome: outcome(record),
            first_ms: first.map(|first| first.saturating_sub(sent)),
            total_ms: ended.saturating_sub(sent),
        })
    });
    requests.collect()
}
