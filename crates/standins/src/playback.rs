//! Plays a trace against daemons and stand-ins.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde_json::{Map, Value};
use smol::{Executor, Timer};
use teaselcroft_parts::{DaemonName, Millis};
use teaselcroft_policy::{ClassRule, TeamConfig};
use teaselcroft_router::http_client::HttpCall;

use crate::caller::{CallRecord, Callers};
use crate::fleet::{DaemonPlan, Fleet, plan_daemons};
use crate::operator::{self, Race, Told};
use crate::platform::{StandIns, list_daemons};
use crate::process_usage::{Usage, UsageMeter};
use crate::recorder::Records;
use crate::run_context::World;
use crate::trace::{EventKind, Trace};

const SETTLE_TRIES: u32 = 300;
const SETTLE_PAUSE: Duration = Duration::from_millis(50);

/// A planned stop that was played.
#[derive(Debug, Clone)]
pub struct StopRecord {
    /// When it began, in milliseconds from the start of the trace.
    pub at_ms: u64,
    /// The daemon's address for callers.
    pub address: String,
    /// Requests in progress there.
    pub in_progress: Vec<String>,
}

/// Everything seen in a run.
#[derive(Debug, Clone)]
pub struct Played {
    /// The trace.
    pub trace: Trace,
    /// The rules that the questionnaires state.
    pub rules: BTreeMap<String, ClassRule>,
    /// The model or service of each runner.
    pub upstreams: BTreeMap<String, String>,
    /// What the stand-ins saw.
    pub records: Records,
    /// What the callers saw.
    pub calls: Vec<CallRecord>,
    /// Planned stops.
    pub stops: Vec<StopRecord>,
    /// Races of operators.
    pub races: Vec<Race>,
    /// What each daemon's process used, where it has one.
    pub usage: BTreeMap<String, Usage>,
    /// Bytes of control messages that each daemon counted during the run.
    pub control_bytes: BTreeMap<String, f64>,
    /// How long the run took, in milliseconds.
    pub span_ms: u64,
}

/// Why a trace could not be played.
#[derive(Debug)]
pub enum PlayError {
    /// A stand-in or daemon could not be started.
    Start(io::Error),
    /// The site's questionnaires were not accepted.
    Questionnaires,
}

impl std::fmt::Display for PlayError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            PlayError::Start(error) => write!(f, "the run could not be started: {error}"),
            PlayError::Questionnaires => {
                f.write_str("the site's questionnaires did not come into force at every runner")
            }
        }
    }
}

impl std::error::Error for PlayError {}

impl From<io::Error> for PlayError {
    fn from(error: io::Error) -> PlayError {
        PlayError::Start(error)
    }
}

/// A run under way.
struct Run<F> {
    world: Arc<World>,
    standins: StandIns,
    fleet: F,
    plans: Vec<DaemonPlan>,
    callers: Arc<Callers>,
    stops: Mutex<Vec<StopRecord>>,
    races: Mutex<Vec<Race>>,
    killed: Mutex<BTreeSet<DaemonName>>,
}

/// Plays `trace` with the daemons of `fleet`; `progress` hears each event.
///
/// # Errors
///
/// Stand-ins or daemons cannot be started, or the questionnaires do not come into force.
pub async fn play<F: Fleet>(
    executor: Arc<Executor<'static>>,
    trace: Trace,
    fleet: F,
    progress: impl Fn(&str),
) -> Result<Played, PlayError> {
    let world = Arc::new(World::new(executor.clone()));
    let site = trace.head.site;
    let standins = StandIns::start(&world, site).await?;
    let mut customers: Vec<String> = trace.requests.iter().map(|request| request.customer.clone()).collect();
    customers.sort();
    customers.dedup();
    let (store, vm_list) = (standins.store_line.address, standins.vm_line.address);
    let plans = plan_daemons(site, trace.head.daemons, store, vm_list, &customers)?;
    list_daemons(&world, &plans).map_err(io::Error::other)?;
    for plan in &plans {
        fleet.start(plan)?;
    }
    let addresses: Vec<String> = plans.iter().map(|plan| plan.listen.to_string()).collect();
    let callers = Arc::new(Callers::new(world.clone(), addresses));
    let run = Arc::new(Run {
        world,
        standins,
        fleet,
        plans,
        callers,
        stops: Mutex::default(),
        races: Mutex::default(),
        killed: Mutex::default(),
    });
    let rules = run.put_in_force(&trace).await?;
    progress("daemons are up and the questionnaires are in force at every runner");
    run.play_all(trace, rules, progress).await
}

impl<F: Fleet> Run<F> {
    fn addresses(&self) -> Vec<String> {
        let killed = self.killed.lock().unwrap_or_else(PoisonError::into_inner);
        let alive = self.plans.iter().filter(|plan| !killed.contains(&plan.name));
        alive.map(|plan| plan.listen.to_string()).collect()
    }

    /// Creates the site's teams and waits until every runner has their configurations.
    async fn put_in_force(&self, trace: &Trace) -> Result<BTreeMap<String, ClassRule>, PlayError> {
        let questionnaires = trace.head.site.questionnaires().map_err(|_| PlayError::Questionnaires)?;
        let addresses = self.addresses();
        let mut rules = BTreeMap::new();
        for questionnaire in questionnaires {
            if operator::create(&addresses, &questionnaire).await != Told::Accepted(1) {
                return Err(PlayError::Questionnaires);
            }
            let config = TeamConfig::generate(questionnaire, 1, String::new());
            let config = config.map_err(|_| PlayError::Questionnaires)?;
            rules.extend(config.classes.into_iter().map(|(class, rule)| (class.to_string(), rule)));
        }
        for _ in 0..SETTLE_TRIES {
            let in_force = self.world.ledger.read().in_force;
            let runners: BTreeSet<&String> = in_force.iter().map(|entry| &entry.runner).collect();
            if runners.len() == self.standins.runners.len() {
                Timer::after(Duration::from_millis(1_500)).await;
                return Ok(rules);
            }
            Timer::after(SETTLE_PAUSE).await;
        }
        Err(PlayError::Questionnaires)
    }

    async fn play_all(
        self: Arc<Self>,
        trace: Trace,
        rules: BTreeMap<String, ClassRule>,
        progress: impl Fn(&str),
    ) -> Result<Played, PlayError> {
        let names: Vec<DaemonName> = self.plans.iter().map(|plan| plan.name.clone()).collect();
        let bytes_before = self.control_bytes().await;
        let mut meter = UsageMeter::begin(&names, |name| self.fleet.process(name));
        self.world.ledger.write(|records| {
            let in_force = std::mem::take(&mut records.in_force).into_iter();
            let in_force = in_force.map(|entry| crate::recorder::InForce { at_ms: 0, ..entry });
            *records = Records { in_force: in_force.collect(), ..Records::default() };
        });
        self.world.begin();
        let mut tasks = Vec::new();
        let mut events = trace.events.iter().peekable();
        for request in &trace.requests {
            while let Some(event) = events.next_if(|event| event.at_ms <= request.at_ms) {
                self.wait_until(event.at_ms).await;
                progress(&format!("{:>6} ms  {:?}", event.at_ms, event.kind));
                self.bring_about(&event.kind)?;
            }
            self.wait_until(request.at_ms).await;
            let known = self.world.know(request.clone());
            let Some(rule) = rules.get(&request.class).cloned() else {
                continue;
            };
            let callers = self.callers.clone();
            tasks.push(self.world.executor.spawn(async move { callers.send(known, &rule).await }));
        }
        for event in events {
            self.wait_until(event.at_ms).await;
            progress(&format!("{:>6} ms  {:?}", event.at_ms, event.kind));
            self.bring_about(&event.kind)?;
        }
        progress("the trace has been sent; waiting for the last answers");
        for task in tasks {
            task.await;
        }
        let span_ms = self.world.now_ms();
        let mut control_bytes = self.control_bytes().await;
        for (name, bytes) in &mut control_bytes {
            *bytes -= bytes_before.get(name).copied().unwrap_or(0.0);
        }
        let usage = meter.end(|name| self.fleet.process(name));
        let upstreams = self.world.vms().runners.into_iter().map(|vm| (vm.name.to_string(), vm.upstream.to_string()));
        Ok(Played {
            trace,
            rules,
            upstreams: upstreams.collect(),
            records: self.world.ledger.read(),
            calls: self.callers.records(),
            stops: self.stops.lock().unwrap_or_else(PoisonError::into_inner).clone(),
            races: self.races.lock().unwrap_or_else(PoisonError::into_inner).clone(),
            usage,
            control_bytes,
            span_ms,
        })
    }

    /// The control bytes that each daemon has counted since its start.
    async fn control_bytes(&self) -> BTreeMap<String, f64> {
        let mut counted = BTreeMap::new();
        for plan in &self.plans {
            let call = HttpCall::get(&plan.listen.to_string(), "/metrics".to_owned(), Millis(1_000));
            let Ok(reply) = call.send().await else {
                continue;
            };
            let text = String::from_utf8_lossy(&reply.body);
            let line = text.lines().find_map(|line| line.strip_prefix("teaselcroft_control_bytes_total "));
            if let Some(bytes) = line.and_then(|value| value.parse().ok()) {
                counted.insert(plan.name.to_string(), bytes);
            }
        }
        counted
    }

    async fn wait_until(&self, at_ms: u64) {
        let left = at_ms.saturating_sub(self.world.now_ms());
        if left > 0 {
            Timer::after(Duration::from_millis(left)).await;
        }
    }

    fn bring_about(self: &Arc<Self>, kind: &EventKind) -> Result<(), PlayError> {
        match kind {
            EventKind::KvDown { for_ms } => self.standins.store.go_down(*for_ms),
            EventKind::KvSlow { delay_ms, for_ms } => self.standins.store.go_slow(*delay_ms, *for_ms),
            EventKind::KvLoseReplies { for_ms } => self.standins.store.lose_replies(*for_ms),
            EventKind::ReportsLag { delay_ms, for_ms } => self.world.lag_reports(*delay_ms, *for_ms),
            EventKind::RunnerCrash { target } => self.with_runner(target, |runner| runner.crash()),
            EventKind::RunnerSlow { target, factor } => self.with_runner(target, |runner| runner.slow(*factor)),
            EventKind::RunnerSilent { target } => self.with_runner(target, |runner| runner.silence()),
            EventKind::RunnerLeaving { target } => self.world.change_vms(|vms| {
                let leaving = vms.runners.iter_mut().filter(|vm| vm.name.as_str() == target);
                leaving.for_each(|vm| vm.leaving = true);
            }),
            EventKind::DaemonKill { target }
            | EventKind::DaemonStop { target }
            | EventKind::DaemonPause { target, .. }
            | EventKind::DaemonStart { target } => self.on_daemon(kind, target)?,
            EventKind::QuestionnaireRevised { team, set, racers } => {
                let race = self.clone().race(team.clone(), set.clone(), *racers);
                self.world.executor.spawn(race).detach();
            }
        }
        Ok(())
    }

    fn with_runner(&self, target: &str, work: impl FnOnce(&crate::platform::Runner)) {
        if let Some(runner) = self.standins.runners.get(target) {
            work(runner);
        }
    }

    fn on_daemon(self: &Arc<Self>, kind: &EventKind, target: &str) -> Result<(), PlayError> {
        let Some(plan) = self.plans.iter().find(|plan| plan.name.as_str() == target) else {
            return Ok(());
        };
        let name = &plan.name;
        match kind {
            EventKind::DaemonKill { .. } => {
                self.fleet.kill(name)?;
                self.killed.lock().unwrap_or_else(PoisonError::into_inner).insert(name.clone());
            }
            EventKind::DaemonStop { .. } => {
                let address = plan.listen.to_string();
                let in_progress = self.callers.in_progress_at(&address);
                let stop = StopRecord { at_ms: self.world.now_ms(), address, in_progress };
                self.stops.lock().unwrap_or_else(PoisonError::into_inner).push(stop);
                self.fleet.stop(name)?;
                self.killed.lock().unwrap_or_else(PoisonError::into_inner).insert(name.clone());
            }
            EventKind::DaemonPause { for_ms, .. } => {
                self.fleet.pause(name)?;
                let run = self.clone();
                let name = name.clone();
                let span = Duration::from_millis(*for_ms);
                let resume = async move {
                    Timer::after(span).await;
                    // A daemon that was killed meanwhile cannot go on.
                    let _ = run.fleet.resume(&name);
                };
                self.world.executor.spawn(resume).detach();
            }
            _ => {
                self.fleet.start(plan)?;
                self.killed.lock().unwrap_or_else(PoisonError::into_inner).remove(name);
            }
        }
        Ok(())
    }

    /// Lets `racers` operators submit against the same revision at once.
    async fn race(self: Arc<Self>, team: String, set: Map<String, Value>, racers: usize) {
        let addresses = self.addresses();
        let Some((base, questionnaire)) = operator::show_any(&addresses, &team).await else {
            let told = vec![Told::Unknown; racers];
            self.note_race(team, None, told);
            return;
        };
        let revised = operator::revise(questionnaire, &set);
        let submissions = (0..racers).map(|racer| {
            let address = addresses[racer % addresses.len()].clone();
            let (team, revised) = (team.clone(), revised.clone());
            self.world.executor.spawn(async move { operator::apply(&address, &team, base, &revised).await })
        });
        let submissions: Vec<_> = submissions.collect();
        let mut told = Vec::new();
        for submission in submissions {
            told.push(submission.await);
        }
        self.note_race(team, Some(base), told);
    }

    fn note_race(&self, team: String, base: Option<u64>, told: Vec<Told>) {
        let race = Race { ended_ms: self.world.now_ms(), team, base, told };
        self.races.lock().unwrap_or_else(PoisonError::into_inner).push(race);
    }
}
