//! The trace format: JSON Lines that list the requests that callers send and the faults to inject.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::Site;

/// A parsed trace; its site has every class, zone, runner, daemon and team that the trace names.
#[derive(Debug, Clone, PartialEq)]
pub struct Trace {
    /// The first line.
    pub head: TraceHead,
    /// Requests, ordered by time.
    pub requests: Vec<TraceRequest>,
    /// Faults and operator actions, ordered by time.
    pub events: Vec<TraceEvent>,
}

/// The first line of a trace: where it runs and how large the fleet is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceHead {
    /// The site, which determines runners, zones and teams.
    pub site: Site,
    /// Number of daemons, from 1 to 64.
    pub daemons: usize,
    /// The seed from which the trace was generated.
    pub seed: u64,
}

/// One request line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceRequest {
    /// When it is first sent, in milliseconds from the start of the trace.
    pub at_ms: u64,
    /// The request id, without whitespace and `#`; every token of its answer carries it.
    pub id: String,
    /// The customer that sends it.
    pub customer: String,
    /// The request class.
    pub class: String,
    /// The availability zone of its caller.
    pub zone: String,
    /// Prompt length in tokens, `prefix_tokens` included.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Answer length in tokens; the caller and the stand-in engine know it, the router does not.
    #[serde(default)]
    pub output_tokens: u32,
    /// The id of a prompt prefix that several requests share, for the prefix cache.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefix: Option<String>,
    /// The length of that prefix in tokens.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub prefix_tokens: u32,
    /// The idempotency key; requests with the same key are the same action.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Whether its execution crashes the engine.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub poison: bool,
    /// When its caller hangs up, in milliseconds after sending.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub abandon_ms: Option<u64>,
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

/// A fault or operator action with its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TraceEvent {
    /// When it happens, in milliseconds from the start of the trace.
    pub at_ms: u64,
    /// What happens.
    #[serde(flatten)]
    pub kind: EventKind,
}

/// A fault to inject or an action of an operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum EventKind {
    /// The key-value service stops answering; requests hang until the outage ends and then fail.
    KvDown {
        /// For how long.
        for_ms: u64,
    },
    /// The key-value service delays every answer.
    KvSlow {
        /// The additional delay.
        delay_ms: u64,
        /// For how long.
        for_ms: u64,
    },
    /// The key-value service carries out writes but closes the connection without a reply.
    KvLoseReplies {
        /// For how long.
        for_ms: u64,
    },
    /// A runner crashes, losing all work, caches and configurations, and restarts.
    RunnerCrash {
        /// Name of the runner.
        target: String,
    },
    /// A runner becomes slower until another such event resets it.
    RunnerSlow {
        /// Name of the runner.
        target: String,
        /// How many times slower than usual; 1.0 is the usual speed.
        factor: f64,
    },
    /// A runner stops sending on its open connections for good, without closing them.
    RunnerSilent {
        /// Name of the runner.
        target: String,
    },
    /// The platform announces on the VM list that a runner will be removed.
    RunnerLeaving {
        /// Name of the runner.
        target: String,
    },
    /// Load reports of the model engines are outdated.
    ReportsLag {
        /// The age of the reports.
        delay_ms: u64,
        /// For how long.
        for_ms: u64,
    },
    /// A daemon is killed without warning.
    DaemonKill {
        /// Name of the daemon.
        target: String,
    },
    /// A daemon is told to drain and stop.
    DaemonStop {
        /// Name of the daemon.
        target: String,
    },
    /// A daemon is suspended and resumed later.
    DaemonPause {
        /// Name of the daemon.
        target: String,
        /// For how long.
        for_ms: u64,
    },
    /// A stopped or killed daemon is started again.
    DaemonStart {
        /// Name of the daemon.
        target: String,
    },
    /// Operators submit a revised questionnaire.
    QuestionnaireRevised {
        /// Name of the team.
        team: String,
        /// The changed answers, by class and question.
        set: Map<String, Value>,
        /// Number of operators that submit against the same revision at once.
        #[serde(default = "one")]
        racers: usize,
    },
}

const fn one() -> usize {
    1
}

/// The first invalid line of a trace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TraceError {
    /// The line number, from one.
    pub line: usize,
    /// Why it is invalid.
    pub reason: String,
}

impl fmt::Display for TraceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.reason)
    }
}

impl std::error::Error for TraceError {}

impl Trace {
    /// Parses and validates a trace; blank lines are skipped.
    ///
    /// # Errors
    ///
    /// Reports the first invalid line and the reason.
    pub fn parse(text: &str) -> Result<Trace, TraceError> {
        let mut lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
        let Some((index, first)) = lines.next() else {
            return Err(TraceError { line: 1, reason: "the trace is empty".to_owned() });
        };
        let invalid = |index: usize, reason: String| TraceError { line: index + 1, reason };
        let head: TraceHead = serde_json::from_str(first).map_err(|error| invalid(index, error.to_string()))?;
        if head.daemons == 0 || head.daemons > 64 {
            return Err(invalid(index, "daemons must be between 1 and 64".to_owned()));
        }
        let checker = Checker::new(&head).map_err(|reason| invalid(index, reason))?;
        let mut trace = Trace { head, requests: Vec::new(), events: Vec::new() };
        for (index, line) in lines {
            trace.add_line(&checker, line).map_err(|reason| invalid(index, reason))?;
        }
        trace.requests.sort_by_key(|request| request.at_ms);
        trace.events.sort_by_key(|event| event.at_ms);
        Ok(trace)
    }

    fn add_line(&mut self, checker: &Checker, line: &str) -> Result<(), String> {
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

    /// The trace as JSON Lines, requests and events merged by time.
    ///
    /// # Errors
    ///
    /// A line cannot be serialized.
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

/// Validates requests and events against the names that exist at the site of the trace.
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
            .runner_groups()
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
        check_known(&self.classes, "class", &request.class)?;
        check_known(&self.zones, "zone", &request.zone)?;
        if request.id.is_empty() || request.customer.is_empty() {
            return Err("id and customer must not be empty".to_owned());
        }
        if request.id.contains(char::is_whitespace) || request.id.contains('#') {
            return Err("id must not contain whitespace or #".to_owned());
        }
        if request.prefix_tokens > request.prompt_tokens {
            return Err("prefix_tokens must not exceed prompt_tokens".to_owned());
        }
        Ok(())
    }

    fn check_event(&self, event: &TraceEvent) -> Result<(), String> {
        match &event.kind {
            EventKind::RunnerCrash { target }
            | EventKind::RunnerSilent { target }
            | EventKind::RunnerLeaving { target } => check_known(&self.runners, "target", target),
            EventKind::RunnerSlow { target, factor } => {
                if !factor.is_finite() || *factor <= 0.0 {
                    return Err("factor must be a finite number above zero".to_owned());
                }
                check_known(&self.runners, "target", target)
            }
            EventKind::DaemonKill { target }
            | EventKind::DaemonStop { target }
            | EventKind::DaemonPause { target, .. }
            | EventKind::DaemonStart { target } => check_known(&self.daemons, "target", target),
            EventKind::QuestionnaireRevised { team, set, racers } => {
                if *racers == 0 {
                    return Err("racers must be at least 1".to_owned());
                }
                check_known(&self.teams, "team", team)?;
                set.keys().try_for_each(|class| check_known(&self.classes, "set", class))
            }
            EventKind::KvDown { .. }
            | EventKind::KvSlow { .. }
            | EventKind::KvLoseReplies { .. }
            | EventKind::ReportsLag { .. } => Ok(()),
        }
    }
}

fn check_known(names: &BTreeSet<String>, field: &str, name: &str) -> Result<(), String> {
    if names.contains(name) {
        return Ok(());
    }
    Err(format!("{field} {name:?} does not exist at this site"))
}
