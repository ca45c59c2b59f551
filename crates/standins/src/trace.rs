//! Traces: JSON Lines that say what callers send and what fails.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::Site;

/// A trace that was read and checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Trace {
    /// The site and size.
    pub head: TraceHead,
    /// Requests, the earliest first.
    pub requests: Vec<TraceRequest>,
    /// Events, the earliest first.
    pub events: Vec<TraceEvent>,
}

/// The first line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceHead {
    /// The site.
    pub site: Site,
    /// How many daemons run.
    pub daemons: usize,
    /// The seed of everything random.
    pub seed: u64,
}

/// A request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceRequest {
    /// When it is sent, in milliseconds from the start.
    pub at_ms: u64,
    /// Its id.
    pub id: String,
    /// Its customer.
    pub customer: String,
    /// Its class.
    pub class: String,
    /// Its caller's zone.
    pub zone: String,
    /// The size of its prompt.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// The size of its answer, known to the stand-in engine alone.
    #[serde(default)]
    pub output_tokens: u32,
    /// An id shared by prompts that begin alike.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefix: Option<String>,
    /// The length of that beginning.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub prefix_tokens: u32,
    /// Its idempotency key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Whether running it crashes the engine.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub poison: bool,
    /// When its caller hangs up, in milliseconds after sending.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub abandon_ms: Option<u64>,
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

/// An event with its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TraceEvent {
    /// When it happens, in milliseconds from the start.
    pub at_ms: u64,
    /// What happens.
    #[serde(flatten)]
    pub kind: EventKind,
}

/// What can happen.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum EventKind {
    /// The key-value service does not answer.
    KvDown {
        /// For how long.
        for_ms: u64,
    },
    /// The key-value service answers late.
    KvSlow {
        /// By how much.
        delay_ms: u64,
        /// For how long.
        for_ms: u64,
    },
    /// Writes take effect but their replies are dropped.
    KvLoseReplies {
        /// For how long.
        for_ms: u64,
    },
    /// A runner crashes and restarts.
    RunnerCrash {
        /// The runner.
        target: String,
    },
    /// A runner becomes slow.
    RunnerSlow {
        /// The runner.
        target: String,
        /// How many times slower.
        factor: f64,
    },
    /// A runner's open connections go silent for good.
    RunnerSilent {
        /// The runner.
        target: String,
    },
    /// A runner is about to be taken away.
    RunnerLeaving {
        /// The runner.
        target: String,
    },
    /// Load reports lag.
    ReportsLag {
        /// By how much.
        delay_ms: u64,
        /// For how long.
        for_ms: u64,
    },
    /// A daemon is killed.
    DaemonKill {
        /// The daemon.
        target: String,
    },
    /// A daemon is stopped as planned.
    DaemonStop {
        /// The daemon.
        target: String,
    },
    /// A daemon is paused and goes on later.
    DaemonPause {
        /// The daemon.
        target: String,
        /// For how long.
        for_ms: u64,
    },
    /// A daemon is started.
    DaemonStart {
        /// The daemon.
        target: String,
    },
    /// Operators revise a questionnaire.
    QuestionnaireRevised {
        /// The team.
        team: String,
        /// The answers changed, by class.
        set: Map<String, Value>,
        /// How many operators submit at once.
        #[serde(default = "one")]
        racers: usize,
    },
}

const fn one() -> usize {
    1
}

/// A line that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TraceError {
    /// Its number, from one.
    pub line: usize,
    /// Why.
    pub reason: String,
}

impl fmt::Display for TraceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.reason)
    }
}

impl std::error::Error for TraceError {}

impl Trace {
    /// Reads and checks a trace.
    ///
    /// # Errors
    ///
    /// Names the first line that cannot be used, and why.
    pub fn parse(text: &str) -> Result<Trace, TraceError> {
        let mut lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
        let Some((index, first)) = lines.next() else {
            return Err(TraceError { line: 1, reason: "the trace is empty".to_owned() });
        };
        let fail = |index: usize, reason: String| TraceError { line: index + 1, reason };
        let head: TraceHead = serde_json::from_str(first).map_err(|error| fail(index, error.to_string()))?;
        if head.daemons == 0 || head.daemons > 64 {
            return Err(fail(index, "daemons is not within 1 and 64".to_owned()));
        }
        let checker = Checker::new(&head).map_err(|reason| fail(index, reason))?;
        let mut trace = Trace { head, requests: Vec::new(), events: Vec::new() };
        for (index, line) in lines {
            trace.take_line(&checker, line).map_err(|reason| fail(index, reason))?;
        }
        trace.requests.sort_by_key(|request| request.at_ms);
        trace.events.sort_by_key(|event| event.at_ms);
        Ok(trace)
    }

    fn take_line(&mut self, checker: &Checker, line: &str) -> Result<(), String> {
        let value: Value = serde_json::from_str(line).map_err(|error| error.to_string())?;
        if value.get("event").is_some() {
            let event: TraceEvent = serde_json::from_value(value).map_err(|error| error.to_string())?;
            checker.check_event(&event)?;
            self.events.push(event);
            return Ok(());
        }
        let request: TraceRequest = serde_json::from_value(value).map_err(|error| error.to_string())?;
        checker.check_request(&request)?;
        self.requests.push(request);
        Ok(())
    }

    /// The trace as JSON Lines.
    ///
    /// # Errors
    ///
    /// A part cannot be written as JSON.
    pub fn to_text(&self) -> Result<String, serde_json::Error> {
        let mut lines: Vec<(u64, String)> = Vec::new();
        for request in &self.requests {
            lines.push((request.at_ms, serde_json::to_string(request)?));
        }
        for event in &self.events {
            lines.push((event.at_ms, serde_json::to_string(event)?));
        }
        lines.sort_by_key(|(at, _)| *at);
        let head = serde_json::to_string(&self.head)?;
        let body: Vec<String> = lines.into_iter().map(|(_, line)| line).collect();
        Ok(format!("{head}\n{}\n", body.join("\n")))
    }
}

/// The names that a site's trace may use.
struct Checker {
    classes: BTreeSet<String>,
    teams: BTreeSet<String>,
    zones: BTreeSet<String>,
    runners: BTreeSet<String>,
    daemons: BTreeSet<String>,
}

impl Checker {
    fn new(head: &TraceHead) -> Result<Checker, String> {
        let questionnaires = head.site.questionnaires().map_err(|error| error.to_string())?;
        let classes = questionnaires.iter().flat_map(|answers| answers.classes.keys().map(ToString::to_string));
        let runners = head
            .site
            .groups()
            .into_iter()
            .flat_map(|group| (1..=group.count).map(move |number| format!("{}-{number:02}", group.prefix)));
        Ok(Checker {
            classes: classes.collect(),
            teams: questionnaires.iter().map(|answers| answers.team.to_string()).collect(),
            zones: head.site.zones().iter().map(ToString::to_string).collect(),
            runners: runners.collect(),
            daemons: (1..=head.daemons).map(|number| format!("entry-{number}")).collect(),
        })
    }

    fn check_request(&self, request: &TraceRequest) -> Result<(), String> {
        known(&self.classes, "class", &request.class)?;
        known(&self.zones, "zone", &request.zone)?;
        if request.id.is_empty() || request.customer.is_empty() {
            return Err("id and customer must not be empty".to_owned());
        }
        if request.id.contains(char::is_whitespace) || request.id.contains('#') {
            return Err("an id has no blanks and no #".to_owned());
        }
        if request.prefix_tokens > request.prompt_tokens {
            return Err("prefix_tokens is more than prompt_tokens".to_owned());
        }
        Ok(())
    }

    fn check_event(&self, event: &TraceEvent) -> Result<(), String> {
        match &event.kind {
            EventKind::RunnerCrash { target }
            | EventKind::RunnerSilent { target }
            | EventKind::RunnerLeaving { target } => known(&self.runners, "target", target),
            EventKind::RunnerSlow { target, factor } => {
                if !factor.is_finite() || *factor <= 0.0 {
                    return Err("factor must be more than zero".to_owned());
                }
                known(&self.runners, "target", target)
            }
            EventKind::DaemonKill { target }
            | EventKind::DaemonStop { target }
            | EventKind::DaemonPause { target, .. }
            | EventKind::DaemonStart { target } => known(&self.daemons, "target", target),
            EventKind::QuestionnaireRevised { team, set, racers } => {
                if *racers == 0 {
                    return Err("racers must be at least 1".to_owned());
                }
                known(&self.teams, "team", team)?;
                set.keys().try_for_each(|class| known(&self.classes, "set", class))
            }
            EventKind::KvDown { .. }
            | EventKind::KvSlow { .. }
            | EventKind::KvLoseReplies { .. }
            | EventKind::ReportsLag { .. } => Ok(()),
        }
    }
}

fn known(names: &BTreeSet<String>, field: &str, name: &str) -> Result<(), String> {
    if names.contains(name) {
        return Ok(());
    }
    Err(format!("{field} {name:?} is not of this site"))
}
