//! How each request line ended, from its caller's record.

use std::collections::BTreeMap;

use teaselcroft_policy::ClassRule;

use crate::caller::{CallRecord, Reply};

/// How a request line ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Its caller has the whole own answer.
    Whole,
    /// Its caller was told, and only told, that it did not run.
    NotRun,
    /// Its caller was told that it may have run, or cannot tell.
    Unknown,
    /// Its caller never had a definite reply.
    Lost,
}

/// A request line as it is counted.
#[derive(Debug, Clone)]
pub struct Line<'a> {
    /// The caller's record.
    pub call: &'a CallRecord,
    /// The rule of its class.
    pub rule: &'a ClassRule,
    /// How it ended.
    pub verdict: Verdict,
    /// Time from first sending to the first token, in milliseconds.
    pub first_ms: Option<u64>,
    /// Time from first sending to the end, in milliseconds.
    pub total_ms: u64,
}

impl Line<'_> {
    /// Whether the line counts for attainment.
    pub fn counts(&self) -> bool {
        !self.call.abandoned && !self.call.request.poison
    }

    /// Whether the whole answer came within the class's target.
    pub fn in_target(&self) -> bool {
        self.verdict == Verdict::Whole && self.total_ms <= self.rule.target.0
    }

    /// The class's name.
    pub fn class(&self) -> &str {
        &self.call.request.class
    }
}

fn verdict(call: &CallRecord) -> Verdict {
    let replies = || call.attempts.iter().map(|attempt| &attempt.reply);
    if replies().any(|reply| *reply == Reply::Whole) {
        return Verdict::Whole;
    }
    let not_run = |reply: &Reply| matches!(reply, Reply::Refused { ran, .. } if ran == "not-run");
    if replies().all(not_run) {
        return Verdict::NotRun;
    }
    if replies().all(|reply| *reply == Reply::Broken) {
        return Verdict::Lost;
    }
    Verdict::Unknown
}

/// Counts every line.
pub fn lines<'a>(calls: &'a [CallRecord], rules: &'a BTreeMap<String, ClassRule>) -> Vec<Line<'a>> {
    let lines = calls.iter().filter_map(|call| {
        let rule = rules.get(&call.request.class)?;
        let sent = call.request.at_ms;
        let first = call.attempts.iter().find_map(|attempt| attempt.first_ms);
        let ended = call.attempts.last().map_or(sent, |attempt| attempt.ended_ms);
        Some(Line {
            call,
            rule,
            verdict: verdict(call),
            first_ms: first.map(|first| first.saturating_sub(sent)),
            total_ms: ended.saturating_sub(sent),
        })
    });
    lines.collect()
}
