//! Judges the promises from the stand-ins' ledgers and the callers' records.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};
use teaselcroft_policy::Tier;

use crate::caller::Reply;
use crate::operator::Told;
use crate::playback::Played;
use crate::recorder::Start;
use crate::scored_call::{Line, Verdict};
use crate::trace::EventKind;

const LEAVING_GRACE_MS: u64 = 5_000;
const IN_FORCE_WITHIN_MS: u64 = 15_000;
const SHED_WINDOW_MS: u64 = 250;
const OVERLOADED: u32 = 2001;

/// One promise, as judged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promise {
    /// Its name.
    pub name: String,
    /// How often it was put to the test.
    pub checked: u64,
    /// How often it was broken.
    pub violations: u64,
}

/// Judges every promise; the second part explains each violation.
pub fn judge(played: &Played, lines: &[Line<'_>]) -> (Vec<Promise>, Vec<String>) {
    let judges: [(&str, Judge); 8] = [
        ("no-urgent-shed-for-lesser", urgent_shed),
        ("no-starvation", starvation),
        ("whole-own-answer", whole_answers),
        ("not-run-is-true", not_run),
        ("at-most-once", at_most_once),
        ("leaving-runner-no-new-work", leaving_runners),
        ("planned-stop-cuts-nothing", planned_stops),
        ("config-never-reverts", configurations),
    ];
    let mut promises = Vec::new();
    let mut reasons = Vec::new();
    for (name, judge) in judges {
        let mut case = Case::default();
        judge(played, lines, &mut case);
        let violations = case.reasons.len() as u64;
        promises.push(Promise { name: name.to_owned(), checked: case.checked, violations });
        reasons.extend(case.reasons.into_iter().map(|reason| format!("{name}: {reason}")));
    }
    (promises, reasons)
}

type Judge = fn(&Played, &[Line<'_>], &mut Case);

#[derive(Default)]
struct Case {
    checked: u64,
    reasons: Vec<String>,
}

impl Case {
    fn check(&mut self, holds: bool, reason: impl FnOnce() -> String) {
        self.checked += 1;
        if !holds {
            self.reasons.push(reason());
        }
    }
}

fn tier_of(played: &Played, class: &str) -> Option<Tier> {
    played.rules.get(class).map(|rule| rule.tier)
}

/// An urgent request refused for want of room, while lesser work was begun at the same upstream.
fn urgent_shed(played: &Played, lines: &[Line<'_>], case: &mut Case) {
    for line in lines.iter().filter(|line| line.rule.tier.is_urgent()) {
        let upstream = line.rule.upstream.as_str();
        let refusals = line
            .call
            .attempts
            .iter()
            .filter(|attempt| matches!(attempt.reply, Reply::Refused { code, .. } if code == OVERLOADED));
        let mut lesser = None;
        for refusal in refusals {
            let window = refusal.sent_ms.saturating_sub(SHED_WINDOW_MS)..=refusal.ended_ms + SHED_WINDOW_MS;
            let begun = played.records.starts.iter().find(|start| {
                let same = played.upstreams.get(&start.runner).is_some_and(|name| name == upstream);
                let lower = tier_of(played, &start.class).is_some_and(|tier| tier > line.rule.tier);
                same && lower && window.contains(&start.at_ms)
            });
            lesser = lesser.or(begun);
        }
        case.check(lesser.is_none(), || {
            let id = &line.call.request.id;
            format!("{id} was refused while {} was begun", lesser.map_or("", |start| start.id.as_str()))
        });
    }
}

/// A request of a lesser tier that did not finish although its caller waited.
fn starvation(_: &Played, lines: &[Line<'_>], case: &mut Case) {
    for line in lines.iter().filter(|line| line.counts() && !line.rule.tier.is_urgent()) {
        case.check(line.verdict == Verdict::Whole, || {
            format!("{} ended as {:?} after {} ms", line.call.request.id, line.verdict, line.total_ms)
        });
    }
}

/// An answer that claims to be whole and is not, or is another's.
fn whole_answers(_: &Played, lines: &[Line<'_>], case: &mut Case) {
    for line in lines {
        for attempt in &line.call.attempts {
            if matches!(attempt.reply, Reply::Whole | Reply::Wrong) {
                case.check(attempt.reply == Reply::Whole, || format!("{} got a wrong answer", line.call.request.id));
            }
        }
    }
}

/// A request that its caller was told had not run, and that a runner began before.
fn not_run(played: &Played, lines: &[Line<'_>], case: &mut Case) {
    let mut first: HashMap<&str, u64> = HashMap::new();
    for start in &played.records.starts {
        let name = start.key.as_deref().unwrap_or(&start.id);
        let at = first.entry(name).or_insert(start.at_ms);
        *at = (*at).min(start.at_ms);
    }
    for line in lines {
        let request = &line.call.request;
        let name = request.key.as_deref().unwrap_or(&request.id);
        for attempt in &line.call.attempts {
            if !matches!(&attempt.reply, Reply::Refused { ran, .. } if ran == "not-run") {
                continue;
            }
            let began = first.get(name).filter(|at| **at < attempt.sent_ms || **at <= attempt.ended_ms);
            let only_here = began.is_none_or(|at| *at > attempt.ended_ms);
            case.check(only_here, || format!("{} was told at {} that it had not run", request.id, attempt.ended_ms));
        }
    }
}

fn key_of(start: &Start) -> &str {
    start.key.as_deref().unwrap_or(&start.id)
}

/// An action that must not repeat and ran twice.
fn at_most_once(played: &Played, lines: &[Line<'_>], case: &mut Case) {
    let mut runs: BTreeMap<&str, u64> = BTreeMap::new();
    for start in &played.records.starts {
        if played.rules.get(&start.class).is_some_and(|rule| rule.never_repeat) {
            *runs.entry(key_of(start)).or_default() += 1;
        }
    }
    let keys: BTreeSet<&str> = lines
        .iter()
        .filter(|line| line.rule.never_repeat)
        .map(|line| line.call.request.key.as_deref().unwrap_or(&line.call.request.id))
        .collect();
    for key in keys {
        let count = runs.get(key).copied().unwrap_or(0);
        case.check(count <= 1, || format!("{key} ran {count} times"));
    }
}

/// A runner that was given new work well after it was announced as leaving.
fn leaving_runners(played: &Played, _: &[Line<'_>], case: &mut Case) {
    for event in &played.trace.events {
        let EventKind::RunnerLeaving { target } = &event.kind else {
            continue;
        };
        let late = played
            .records
            .starts
            .iter()
            .find(|start| start.runner == *target && start.at_ms > event.at_ms + LEAVING_GRACE_MS);
        case.check(late.is_none(), || format!("{target} was given {}", late.map_or("", |start| start.id.as_str())));
    }
}

/// A request that a planned stop cut off.
fn planned_stops(played: &Played, lines: &[Line<'_>], case: &mut Case) {
    for stop in &played.stops {
        for id in &stop.in_progress {
            let Some(line) = lines.iter().find(|line| line.call.request.id == *id) else {
                continue;
            };
            if line.call.abandoned || line.call.request.poison {
                continue;
            }
            let attempt = line.call.attempts.iter().find(|attempt| {
                attempt.address == stop.address && attempt.sent_ms <= stop.at_ms && attempt.ended_ms >= stop.at_ms
            });
            let cut = attempt.is_some_and(|attempt| attempt.reply == Reply::Broken);
            case.check(!cut, || format!("{id} was cut off"));
        }
    }
}

/// A configuration that reverted at a runner or came into force late, or a race with two winners.
fn configurations(played: &Played, _: &[Line<'_>], case: &mut Case) {
    revisions_rise(played, case);
    races_have_one_winner(played, case);
    accepted_come_into_force(played, case);
}

fn revisions_rise(played: &Played, case: &mut Case) {
    let mut held: BTreeMap<(&str, &str), (u64, u64)> = BTreeMap::new();
    for entry in &played.records.in_force {
        let place = (entry.runner.as_str(), entry.team.as_str());
        let (revision, at) = held.get(&place).copied().unwrap_or_default();
        let restarted = played
            .records
            .restarts
            .iter()
            .any(|(restart, runner)| *runner == entry.runner && (at..=entry.at_ms).contains(restart));
        case.check(entry.revision >= revision || restarted, || {
            format!("{} went from revision {revision} of {} to {}", entry.runner, entry.team, entry.revision)
        });
        held.insert(place, (entry.revision, entry.at_ms));
    }
}

/// Of all that revised the same revision, exactly one may win; while some were told that nobody
/// knows, at most one.
fn races_have_one_winner(played: &Played, case: &mut Case) {
    let mut by_base: BTreeMap<(&str, u64), Vec<Told>> = BTreeMap::new();
    for race in &played.races {
        if let Some(base) = race.base {
            by_base.entry((race.team.as_str(), base)).or_default().extend(&race.told);
        }
    }
    for ((team, base), told) in by_base {
        let winners = told.iter().filter(|told| matches!(told, Told::Accepted(_))).count();
        let known = !told.contains(&Told::Unknown);
        let fits = if known { winners == 1 } else { winners <= 1 };
        case.check(fits, || format!("revision {base} of {team} was revised by {winners} winners: {told:?}"));
    }
}

fn accepted_come_into_force(played: &Played, case: &mut Case) {
    for race in &played.races {
        let accepted = race.told.iter().find_map(|told| match told {
            Told::Accepted(revision) => Some(*revision),
            _ => None,
        });
        let Some(revision) = accepted else {
            continue;
        };
        if race.ended_ms + IN_FORCE_WITHIN_MS > played.span_ms {
            continue;
        }
        for runner in runners_of_team(played, &race.team) {
            let in_force = played.records.in_force.iter().any(|entry| {
                entry.runner == runner
                    && entry.team == race.team
                    && entry.revision >= revision
                    && entry.at_ms <= race.ended_ms + IN_FORCE_WITHIN_MS
            });
            case.check(in_force, || format!("revision {revision} of {} was late at {runner}", race.team));
        }
    }
}

/// The runners of a team that are not leaving.
fn runners_of_team(played: &Played, team: &str) -> Vec<String> {
    let leaving: BTreeSet<&str> = played
        .trace
        .events
        .iter()
        .filter_map(|event| match &event.kind {
            EventKind::RunnerLeaving { target } => Some(target.as_str()),
            _ => None,
        })
        .collect();
    let first = played.records.in_force.iter().filter(|entry| entry.team == team && entry.revision == 1);
    let names: BTreeSet<String> = first.map(|entry| entry.runner.clone()).collect();
    names.into_iter().filter(|name| !leaving.contains(name.as_str())).collect()
}
