//! Replays a trace against daemons and stand-ins and collects what was observed.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde_json::{Map, Value};
use smol::{Executor, Timer};
use teaselcroft_parts::{DaemonName, Millis};
use teaselcroft_policy::{ClassRule, TeamConfig};
use teaselcroft_router::http_client::HttpCall;

use crate::caller::{CallerRecord, Callers};
use crate::fleet::{DaemonPlan, Fleet, plan_daemons};
use crate::operator::{self, Race, SubmitOutcome};
use crate::platform::{StandIns, register_daemons};
use crate::process_usage::{Usage, UsageMeter};
use crate::recorder::Records;
use crate::run_context::RunContext;
use crate::trace::{EventKind, Trace};

/// Number of checks for a configuration at every runner before the run fails.
const CONFIG_POLLS: u32 = 300;
const CONFIG_POLL_PAUSE: Duration = Duration::from_millis(50);

/// A planned stop of a daemon and the work that was in progress there.
#[derive(Debug, Clone)]
pub struct StopRecord {
    /// When it began, in milliseconds from the start of the trace.
    pub at_ms: u64,
    /// The address on which the daemon serves callers.
    pub address: String,
    /// The ids of the requests in progress at that daemon.
    pub in_progress: Vec<String>,
}

/// Everything observed in a run; the input of the report.
#[derive(Debug, Clone)]
pub struct RunResult {
    /// The trace that was replayed.
    pub trace: Trace,
    /// The class rules generated from the questionnaires at revision 1, by class.
    pub rules: BTreeMap<String, ClassRule>,
    /// The upstream (model or service) that each runner offers, by runner.
    pub upstreams: BTreeMap<String, String>,
    /// What the stand-ins observed.
    pub records: Records,
    /// What the callers observed.
    pub caller_records: Vec<CallerRecord>,
    /// The planned stops of daemons.
    pub stops: Vec<StopRecord>,
    /// The questionnaire revisions and their outcomes.
    pub races: Vec<Race>,
    /// CPU and memory use by daemon; only daemons that ran in one process of their own throughout.
    pub usage: BTreeMap<String, Usage>,
    /// Bytes of control messages during the run by daemon, from its metrics.
    pub control_bytes: BTreeMap<String, f64>,
    /// Time from the start of the trace to the last answer, in milliseconds.
    pub span_ms: u64,
}

/// Why a trace could not be replayed.
#[derive(Debug)]
pub enum ReplayError {
    /// A stand-in or daemon could not be started, or the fleet could not carry out an event.
    Io(io::Error),
    /// The site's questionnaires were refused or did not reach every runner in time.
    Questionnaires,
}

impl std::fmt::Display for ReplayError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ReplayError::Io(error) => write!(f, "cannot start a stand-in or control a daemon: {error}"),
            ReplayError::Questionnaires => f.write_str("the site's questionnaires were not applied at every runner"),
        }
    }
}

impl std::error::Error for ReplayError {}

impl From<io::Error> for ReplayError {
    fn from(error: io::Error) -> ReplayError {
        ReplayError::Io(error)
    }
}

/// A run in progress.
struct Run<F> {
    context: Arc<RunContext>,
    standins: StandIns,
    fleet: F,
    plans: Vec<DaemonPlan>,
    callers: Arc<Callers>,
    stops: Mutex<Vec<StopRecord>>,
    races: Mutex<Vec<Race>>,
    /// Daemons that were killed or stopped and not started again.
    stopped: Mutex<BTreeSet<DaemonName>>,
}

/// Replays `trace` with the daemons of `fleet`; `progress` receives a line of text for each phase and event.
///
/// # Errors
///
/// Stand-ins or daemons cannot be started, the questionnaires are not applied at every runner, or `fleet` cannot
/// carry out an event of the trace.
pub async fn replay<F: Fleet>(
    executor: Arc<Executor<'static>>,
    trace: Trace,
    fleet: F,
    progress: impl Fn(&str),
) -> Result<RunResult, ReplayError> {
    let context = Arc::new(RunContext::new(executor.clone()));
    let site = trace.head.site;
    let standins = StandIns::start(&context, site).await?;
    let mut customers: Vec<String> = trace.requests.iter().map(|request| request.customer.clone()).collect();
    customers.sort();
    customers.dedup();
    let (store, vm_list) = (standins.store_server.address, standins.vm_server.address);
    let plans = plan_daemons(site, trace.head.daemons, store, vm_list, &customers)?;
    register_daemons(&context, &plans).map_err(io::Error::other)?;
    for plan in &plans {
        fleet.start(plan)?;
    }
    let addresses: Vec<String> = plans.iter().map(|plan| plan.listen.to_string()).collect();
    let callers = Arc::new(Callers::new(context.clone(), addresses));
    let run = Arc::new(Run {
        context,
        standins,
        fleet,
        plans,
        callers,
        stops: Mutex::default(),
        races: Mutex::default(),
        stopped: Mutex::default(),
    });
    let rules = run.apply_questionnaires(&trace).await?;
    progress("daemons are running and the questionnaires are applied at every runner");
    run.replay_trace(trace, rules, progress).await
}

impl<F: Fleet> Run<F> {
    fn addresses(&self) -> Vec<String> {
        let stopped = self.stopped.lock().unwrap_or_else(PoisonError::into_inner);
        let running = self.plans.iter().filter(|plan| !stopped.contains(&plan.name));
        running.map(|plan| plan.listen.to_string()).collect()
    }

    /// Creates the site's teams and waits until every runner has applied a configuration.
    async fn apply_questionnaires(&self, trace: &Trace) -> Result<BTreeMap<String, ClassRule>, ReplayError> {
        let questionnaires = trace.head.site.questionnaires().map_err(|_| ReplayError::Questionnaires)?;
        let addresses = self.addresses();
        let mut rules = BTreeMap::new();
        for questionnaire in questionnaires {
            if operator::create_team(&addresses, &questionnaire).await != SubmitOutcome::Accepted(1) {
                return Err(ReplayError::Questionnaires);
            }
            let config = TeamConfig::generate(questionnaire, 1, String::new());
            let config = config.map_err(|_| ReplayError::Questionnaires)?;
            rules.extend(config.classes.into_iter().map(|(class, rule)| (class.to_string(), rule)));
        }
        for _ in 0..CONFIG_POLLS {
            let applied = self.context.recorder.read().applied;
            let runners: BTreeSet<&String> = applied.iter().map(|entry| &entry.runner).collect();
            if runners.len() == self.standins.runners.len() {
                Timer::after(Duration::from_millis(1_500)).await;
                return Ok(rules);
            }
            Timer::after(CONFIG_POLL_PAUSE).await;
        }
        Err(ReplayError::Questionnaires)
    }

    async fn replay_trace(
        self: Arc<Self>,
        trace: Trace,
        rules: BTreeMap<String, ClassRule>,
        progress: impl Fn(&str),
    ) -> Result<RunResult, ReplayError> {
        let names: Vec<DaemonName> = self.plans.iter().map(|plan| plan.name.clone()).collect();
        let bytes_before = self.control_bytes().await;
        let mut meter = UsageMeter::begin(&names, |name| self.fleet.process_id(name));
        self.context.recorder.write(|records| {
            let applied = std::mem::take(&mut records.applied).into_iter();
            let applied = applied.map(|entry| crate::recorder::AppliedConfig { at_ms: 0, ..entry });
            *records = Records { applied: applied.collect(), ..Records::default() };
        });
        self.context.restart_clock();
        let mut tasks = Vec::new();
        let mut events = trace.events.iter().peekable();
        for request in &trace.requests {
            while let Some(event) = events.next_if(|event| event.at_ms <= request.at_ms) {
                self.wait_until(event.at_ms).await;
                progress(&format!("{:>6} ms  {:?}", event.at_ms, event.kind));
                self.inject(&event.kind)?;
            }
            self.wait_until(request.at_ms).await;
            let registered = self.context.register(request.clone());
            let Some(rule) = rules.get(&request.class).cloned() else {
                continue;
            };
            let callers = self.callers.clone();
            tasks.push(self.context.executor.spawn(async move { callers.send(registered, &rule).await }));
        }
        for event in events {
            self.wait_until(event.at_ms).await;
            progress(&format!("{:>6} ms  {:?}", event.at_ms, event.kind));
            self.inject(&event.kind)?;
        }
        progress("all requests are sent; waiting for the last answers");
        for task in tasks {
            task.await;
        }
        let span_ms = self.context.now_ms();
        let mut control_bytes = self.control_bytes().await;
        for (name, bytes) in &mut control_bytes {
            *bytes -= bytes_before.get(name).copied().unwrap_or(0.0);
        }
        let usage = meter.end(|name| self.fleet.process_id(name));
        let upstreams = self.context.vms().runners.into_iter().map(|vm| (vm.name.to_string(), vm.upstream.to_string()));
        Ok(RunResult {
            trace,
            rules,
            upstreams: upstreams.collect(),
            records: self.context.recorder.read(),
            caller_records: self.callers.records(),
            stops: self.stops.lock().unwrap_or_else(PoisonError::into_inner).clone(),
            races: self.races.lock().unwrap_or_else(PoisonError::into_inner).clone(),
            usage,
            control_bytes,
            span_ms,
        })
    }

    /// Bytes of control messages that each daemon has counted since its start; a daemon without an answer is left out.
    async fn control_bytes(&self) -> BTreeMap<String, f64> {
        let mut bytes_by_daemon = BTreeMap::new();
        for plan in &self.plans {
            let call = HttpCall::get(&plan.listen.to_string(), "/metrics".to_owned(), Millis(1_000));
            let Ok(reply) = call.send().await else {
                continue;
            };
            let text = String::from_utf8_lossy(&reply.body);
            let line = text.lines().find_map(|line| line.strip_prefix("teaselcroft_control_bytes_total "));
            if let Some(bytes) = line.and_then(|value| value.parse().ok()) {
                bytes_by_daemon.insert(plan.name.to_string(), bytes);
            }
        }
        bytes_by_daemon
    }

    /// Sleeps until `at_ms` milliseconds after the start of the trace.
    async fn wait_until(&self, at_ms: u64) {
        let remaining_ms = at_ms.saturating_sub(self.context.now_ms());
        if remaining_ms > 0 {
            Timer::after(Duration::from_millis(remaining_ms)).await;
        }
    }

    /// Injects a fault, or starts an operator action without waiting for its end.
    fn inject(self: &Arc<Self>, kind: &EventKind) -> Result<(), ReplayError> {
        match kind {
            EventKind::KvDown { for_ms } => self.standins.store.go_down(*for_ms),
            EventKind::KvSlow { delay_ms, for_ms } => self.standins.store.go_slow(*delay_ms, *for_ms),
            EventKind::KvLoseReplies { for_ms } => self.standins.store.lose_replies(*for_ms),
            EventKind::ReportsLag { delay_ms, for_ms } => self.context.delay_reports(*delay_ms, *for_ms),
            EventKind::RunnerCrash { target } => self.with_runner(target, |runner| runner.crash()),
            EventKind::RunnerSlow { target, factor } => self.with_runner(target, |runner| runner.slow(*factor)),
            EventKind::RunnerSilent { target } => self.with_runner(target, |runner| runner.silence()),
            EventKind::RunnerLeaving { target } => self.context.change_vms(|vms| {
                let leaving = vms.runners.iter_mut().filter(|vm| vm.name.as_str() == target);
                leaving.for_each(|vm| vm.leaving = true);
            }),
            EventKind::DaemonKill { target }
            | EventKind::DaemonStop { target }
            | EventKind::DaemonPause { target, .. }
            | EventKind::DaemonStart { target } => self.control_daemon(kind, target)?,
            EventKind::QuestionnaireRevised { team, set, racers } => {
                let race = self.clone().race(team.clone(), set.clone(), *racers);
                self.context.executor.spawn(race).detach();
            }
        }
        Ok(())
    }

    fn with_runner(&self, target: &str, action: impl FnOnce(&crate::platform::Runner)) {
        if let Some(runner) = self.standins.runners.get(target) {
            action(runner);
        }
    }

    fn control_daemon(self: &Arc<Self>, kind: &EventKind, target: &str) -> Result<(), ReplayError> {
        let Some(plan) = self.plans.iter().find(|plan| plan.name.as_str() == target) else {
            return Ok(());
        };
        let name = &plan.name;
        match kind {
            EventKind::DaemonKill { .. } => {
                self.fleet.kill(name)?;
                self.stopped.lock().unwrap_or_else(PoisonError::into_inner).insert(name.clone());
            }
            EventKind::DaemonStop { .. } => {
                let address = plan.listen.to_string();
                let in_progress = self.callers.in_progress_at(&address);
                let stop = StopRecord { at_ms: self.context.now_ms(), address, in_progress };
                self.stops.lock().unwrap_or_else(PoisonError::into_inner).push(stop);
                self.fleet.stop(name)?;
                self.stopped.lock().unwrap_or_else(PoisonError::into_inner).insert(name.clone());
            }
            EventKind::DaemonPause { for_ms, .. } => {
                self.fleet.pause(name)?;
                let run = self.clone();
                let name = name.clone();
                let pause_time = Duration::from_millis(*for_ms);
                let resume = async move {
                    Timer::after(pause_time).await;
                    // A daemon that was killed in the meantime cannot be resumed.
                    let _ = run.fleet.resume(&name);
                };
                self.context.executor.spawn(resume).detach();
            }
            _ => {
                self.fleet.start(plan)?;
                self.stopped.lock().unwrap_or_else(PoisonError::into_inner).remove(name);
            }
        }
        Ok(())
    }

    /// Lets `racers` operators submit the same revised questionnaire at once, each to the next daemon in turn.
    async fn race(self: Arc<Self>, team: String, set: Map<String, Value>, racers: usize) {
        let addresses = self.addresses();
        let Some((base, questionnaire)) = operator::fetch_any(&addresses, &team).await else {
            let outcomes = vec![SubmitOutcome::Unknown; racers];
            self.record_race(team, None, outcomes);
            return;
        };
        let revised = operator::revise(questionnaire, &set);
        let submissions = (0..racers).map(|racer| {
            let address = addresses[racer % addresses.len()].clone();
            let (team, revised) = (team.clone(), revised.clone());
            self.context.executor.spawn(async move { operator::apply(&address, &team, base, &revised).await })
        });
        let submissions: Vec<_> = submissions.collect();
        let mut outcomes = Vec::new();
        for submission in submissions {
            outcomes.push(submission.await);
        }
        self.record_race(team, Some(base), outcomes);
    }

    fn record_race(&self, team: String, base: Option<u64>, outcomes: Vec<SubmitOutcome>) {
        let race = Race { ended_ms: self.context.now_ms(), team, base, outcomes };
        self.races.lock().unwrap_or_else(PoisonError::into_inner).push(race);
    }
}
