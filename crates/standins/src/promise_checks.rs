//! Checks the service promises against what the stand-ins and the callers recorded.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};
use teaselcroft_policy::Tier;

use crate::caller::Reply;
use crate::operator::SubmitOutcome;
use crate::recorder::RequestStart;
use crate::replay::RunResult;
use crate::scored_request::{RequestOutcome, ScoredRequest};
use crate::trace::EventKind;

/// How long after its announcement a leaving runner may still get new work.
const LEAVING_GRACE_MS: u64 = 5_000;
/// How soon an accepted revision must be applied at every runner of its team.
const APPLY_LIMIT_MS: u64 = 15_000;
/// Work started within this time of a refusal counts as concurrent with it.
const SHED_WINDOW_MS: u64 = 250;
/// The result code of requests that are shed.
const OVERLOADED: u32 = 2001;

/// A service promise with the result of its check; a row of the report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promise {
    /// The name of the promise.
    pub name: String,
    /// Number of cases that were checked.
    pub checked: u64,
    /// Number of cases that broke the promise.
    pub violations: u64,
}

/// Checks every promise; the second value explains each violation in a line.
pub fn check_promises(run: &RunResult, requests: &[ScoredRequest<'_>]) -> (Vec<Promise>, Vec<String>) {
    let checks: [(&str, PromiseCheck); 8] = [
        ("no-urgent-shed-for-lesser", check_urgent_shed),
        ("no-starvation", check_starvation),
        ("whole-own-answer", check_answers),
        ("not-run-is-true", check_not_run),
        ("at-most-once", check_at_most_once),
        ("leaving-runner-no-new-work", check_leaving_runners),
        ("planned-stop-cuts-nothing", check_planned_stops),
        ("config-never-reverts", check_configs),
    ];
    let mut promises = Vec::new();
    let mut reasons = Vec::new();
    for (name, check) in checks {
        let mut result = CheckResult::default();
        check(run, requests, &mut result);
        let violations = result.reasons.len() as u64;
        promises.push(Promise { name: name.to_owned(), checked: result.checked, violations });
        reasons.extend(result.reasons.into_iter().map(|reason| format!("{name}: {reason}")));
    }
    (promises, reasons)
}

type PromiseCheck = fn(&RunResult, &[ScoredRequest<'_>], &mut CheckResult);

#[derive(Default)]
struct CheckResult {
    checked: u64,
    reasons: Vec<String>,
}

impl CheckResult {
    fn check(&mut self, holds: bool, reason: impl FnOnce() -> String) {
        self.checked += 1;
        if !holds {
            self.reasons.push(reason());
        }
    }
}

fn tier_of(run: &RunResult, class: &str) -> Option<Tier> {
    run.rules.get(class).map(|rule| rule.tier)
}

/// An urgent request must not be shed while work of a lower tier is started at the same upstream.
fn check_urgent_shed(run: &RunResult, requests: &[ScoredRequest<'_>], result: &mut CheckResult) {
    for scored in requests.iter().filter(|scored| scored.rule.tier.is_urgent()) {
        let upstream = scored.rule.upstream.as_str();
        let refusals = scored
            .record
            .attempts
            .iter()
            .filter(|attempt| matches!(attempt.reply, Reply::Refused { code, .. } if code == OVERLOADED));
        let mut lower_start = None;
        for refusal in refusals {
            let window = refusal.sent_ms.saturating_sub(SHED_WINDOW_MS)..=refusal.ended_ms + SHED_WINDOW_MS;
            let started = run.records.starts.iter().find(|start| {
                let same_upstream = run.upstreams.get(&start.runner).is_some_and(|name| name == upstream);
                let is_lower = tier_of(run, &start.class).is_some_and(|tier| tier > scored.rule.tier);
                same_upstream && is_lower && window.contains(&start.at_ms)
            });
            lower_start = lower_start.or(started);
        }
        result.check(lower_start.is_none(), || {
            let id = &scored.record.request.id;
            format!("{id} was refused while {} was begun", lower_start.map_or("", |start| start.id.as_str()))
        });
    }
}

/// A request of a tier that is not urgent must be answered unless its caller hangs up.
fn check_starvation(_: &RunResult, requests: &[ScoredRequest<'_>], result: &mut CheckResult) {
    for scored in requests.iter().filter(|scored| scored.is_counted() && !scored.rule.tier.is_urgent()) {
        result.check(scored.outcome == RequestOutcome::Whole, || {
            format!("{} ended as {:?} after {} ms", scored.record.request.id, scored.outcome, scored.total_ms)
        });
    }
}

/// An answer that is marked as complete must be complete and belong to its request.
fn check_answers(_: &RunResult, requests: &[ScoredRequest<'_>], result: &mut CheckResult) {
    for scored in requests {
        for attempt in &scored.record.attempts {
            if matches!(attempt.reply, Reply::Whole | Reply::Wrong) {
                result.check(attempt.reply == Reply::Whole, || {
                    format!("{} got a wrong answer", scored.record.request.id)
                });
            }
        }
    }
}

/// A request that is refused as not run must not have been started by a runner before the refusal.
fn check_not_run(run: &RunResult, requests: &[ScoredRequest<'_>], result: &mut CheckResult) {
    let mut first_starts: HashMap<&str, u64> = HashMap::new();
    for start in &run.records.starts {
        let key = start.key.as_deref().unwrap_or(&start.id);
        let at = first_starts.entry(key).or_insert(start.at_ms);
        *at = (*at).min(start.at_ms);
    }
    for scored in requests {
        let request = &scored.record.request;
        let key = request.key.as_deref().unwrap_or(&request.id);
        for attempt in &scored.record.attempts {
            if !matches!(&attempt.reply, Reply::Refused { ran, .. } if ran == "not-run") {
                continue;
            }
            let earlier_start = first_starts.get(key).filter(|at| **at < attempt.sent_ms || **at <= attempt.ended_ms);
            let not_started = earlier_start.is_none_or(|at| *at > attempt.ended_ms);
            result
                .check(not_started, || format!("{} was told at {} that it had not run", request.id, attempt.ended_ms));
        }
    }
}

fn key_of(start: &RequestStart) -> &str {
    start.key.as_deref().unwrap_or(&start.id)
}

/// An action of a class that must not repeat must be executed once at most.
fn check_at_most_once(run: &RunResult, requests: &[ScoredRequest<'_>], result: &mut CheckResult) {
    let mut runs: BTreeMap<&str, u64> = BTreeMap::new();
    for start in &run.records.starts {
        if run.rules.get(&start.class).is_some_and(|rule| rule.never_repeat) {
            *runs.entry(key_of(start)).or_default() += 1;
        }
    }
    let keys: BTreeSet<&str> = requests
        .iter()
        .filter(|scored| scored.rule.never_repeat)
        .map(|scored| scored.record.request.key.as_deref().unwrap_or(&scored.record.request.id))
        .collect();
    for key in keys {
        let count = runs.get(key).copied().unwrap_or(0);
        result.check(count <= 1, || format!("{key} ran {count} times"));
    }
}

/// A runner announced as leaving must get no new work after the grace period.
fn check_leaving_runners(run: &RunResult, _: &[ScoredRequest<'_>], result: &mut CheckResult) {
    for event in &run.trace.events {
        let EventKind::RunnerLeaving { target } = &event.kind else {
            continue;
        };
        let late_start = run
            .records
            .starts
            .iter()
            .find(|start| start.runner == *target && start.at_ms > event.at_ms + LEAVING_GRACE_MS);
        result.check(late_start.is_none(), || {
            format!("{target} was given {}", late_start.map_or("", |start| start.id.as_str()))
        });
    }
}

/// A planned stop must not break a request in progress.
fn check_planned_stops(run: &RunResult, requests: &[ScoredRequest<'_>], result: &mut CheckResult) {
    for stop in &run.stops {
        for id in &stop.in_progress {
            let Some(scored) = requests.iter().find(|scored| scored.record.request.id == *id) else {
                continue;
            };
            if scored.record.abandoned || scored.record.request.poison {
                continue;
            }
            let attempt = scored.record.attempts.iter().find(|attempt| {
                attempt.address == stop.address && attempt.sent_ms <= stop.at_ms && attempt.ended_ms >= stop.at_ms
            });
            let cut = attempt.is_some_and(|attempt| attempt.reply == Reply::Broken);
            result.check(!cut, || format!("{id} was cut off"));
        }
    }
}

/// A runner must not go back to an older configuration, one of several concurrent revisions must win, and the winner
/// must reach every runner in time.
fn check_configs(run: &RunResult, _: &[ScoredRequest<'_>], result: &mut CheckResult) {
    check_revisions(run, result);
    check_race_winners(run, result);
    check_accepted_revisions(run, result);
}

/// A runner may go back to an older revision of a team's configuration only by restarting.
fn check_revisions(run: &RunResult, result: &mut CheckResult) {
    let mut held: BTreeMap<(&str, &str), (u64, u64)> = BTreeMap::new();
    for entry in &run.records.applied {
        let pair = (entry.runner.as_str(), entry.team.as_str());
        let (revision, at) = held.get(&pair).copied().unwrap_or_default();
        let restarted = run
            .records
            .restarts
            .iter()
            .any(|(restart, runner)| *runner == entry.runner && (at..=entry.at_ms).contains(restart));
        result.check(entry.revision >= revision || restarted, || {
            format!("{} went from revision {revision} of {} to {}", entry.runner, entry.team, entry.revision)
        });
        held.insert(pair, (entry.revision, entry.at_ms));
    }
}

/// Of the submissions against one revision exactly one must be accepted, or at most one if the outcome of any is
/// unknown.
fn check_race_winners(run: &RunResult, result: &mut CheckResult) {
    let mut by_base: BTreeMap<(&str, u64), Vec<SubmitOutcome>> = BTreeMap::new();
    for race in &run.races {
        if let Some(base) = race.base {
            by_base.entry((race.team.as_str(), base)).or_default().extend(&race.outcomes);
        }
    }
    for ((team, base), outcomes) in by_base {
        let winners = outcomes.iter().filter(|outcome| matches!(outcome, SubmitOutcome::Accepted(_))).count();
        let all_known = !outcomes.contains(&SubmitOutcome::Unknown);
        let is_valid = if all_known { winners == 1 } else { winners <= 1 };
        result.check(is_valid, || format!("revision {base} of {team} was revised by {winners} winners: {outcomes:?}"));
    }
}

/// An accepted revision must be applied in time at each runner of its team; runs that end earlier are not checked.
fn check_accepted_revisions(run: &RunResult, result: &mut CheckResult) {
    for race in &run.races {
        let accepted = race.outcomes.iter().find_map(|outcome| match outcome {
            SubmitOutcome::Accepted(revision) => Some(*revision),
            _ => None,
        });
        let Some(revision) = accepted else {
            continue;
        };
        if race.ended_ms + APPLY_LIMIT_MS > run.span_ms {
            continue;
        }
        for runner in runners_of_team(run, &race.team) {
            let applied = run.records.applied.iter().any(|entry| {
                entry.runner == runner
                    && entry.team == race.team
                    && entry.revision >= revision
                    && entry.at_ms <= race.ended_ms + APPLY_LIMIT_MS
            });
            result.check(applied, || format!("revision {revision} of {} was late at {runner}", race.team));
        }
    }
}

/// The runners that applied revision 1 of a team, except those that the trace announces as leaving.
fn runners_of_team(run: &RunResult, team: &str) -> Vec<String> {
    let leaving: BTreeSet<&str> = run
        .trace
        .events
        .iter()
        .filter_map(|event| match &event.kind {
            EventKind::RunnerLeaving { target } => Some(target.as_str()),
            _ => None,
        })
        .collect();
    let first_revisions = run.records.applied.iter().filter(|entry| entry.team == team && entry.revision == 1);
    let names: BTreeSet<String> = first_revisions.map(|entry| entry.runner.clone()).collect();
    names.into_iter().filter(|name| !leaving.contains(name.as_str())).collect()
}
