//! A model of many daemons that choose runners from old load reports, to compare the rules of [`Balancer`].
//!
//! A runner is a count of requests and a rate at which they end. Time passes in steps of a millisecond.

use std::collections::VecDeque;

use teaselcroft_parts::Millis;
use teaselcroft_policy::{BalanceRule, Balancer, LoadView};

/// The time between two states of the runners that are kept for reports.
const SNAPSHOT_MS: u64 = 10;
/// How long loads are averaged before the busiest runner is compared with the mean.
const WINDOW_MS: u64 = 1_000;
/// The time before the first window that counts.
const WARMUP_MS: u64 = 1_000;
/// How often daemons restart or are cut off in a case with churn.
const CHURN_MS: u64 = 1_000;
/// One runner out of this many has the hot prompt part cached.
const HOT_RUNNERS: usize = 8;
/// The share of requests with the hot prompt part. Elsewhere such a request is as much work as two.
const HOT_SHARE: f64 = 0.3;
/// The time between reports to the placement leader when it chooses for all.
const PLACER_REPORT_MS: u64 = 40;

/// Who chooses, and how.
#[derive(Debug, Clone, Copy)]
pub struct Alternative {
    /// The rule.
    pub rule: BalanceRule,
    /// Whether one daemon chooses for all of them.
    pub is_placed: bool,
}

/// The conditions of one run.
#[derive(Debug, Clone, Copy)]
pub struct BalanceCase {
    /// Its name in tables.
    pub name: &'static str,
    /// Daemons that choose.
    pub daemons: usize,
    /// Runners.
    pub runners: usize,
    /// Requests that a runner serves at once.
    pub slots: usize,
    /// The mean time that a request is served at speed 1.
    pub hold: Millis,
    /// The age of reported loads.
    pub age: Millis,
    /// Requests as a share of what the runners can serve.
    pub load: f64,
    /// The speeds of runners, by turns.
    pub speeds: &'static [f64],
    /// Whether daemons know the speeds.
    pub knows_speeds: bool,
    /// How much more requests come in every third second.
    pub burst: f64,
    /// Whether some requests have a prompt part that few runners have cached.
    pub has_hot: bool,
    /// Whether daemons restart and are partitioned.
    pub has_churn: bool,
    /// Whether the daemon that collects loads or chooses for all dies after a third of the time.
    pub loses_leader: bool,
    /// The simulated time.
    pub span: Millis,
}

impl Default for BalanceCase {
    fn default() -> BalanceCase {
        BalanceCase {
            name: "",
            daemons: 88,
            runners: 140,
            slots: 24,
            hold: Millis(600),
            age: Millis(200),
            load: 0.8,
            speeds: &[1.0],
            knows_speeds: true,
            burst: 1.0,
            has_hot: false,
            has_churn: false,
            loses_leader: false,
            span: Millis(6_000),
        }
    }
}

/// What a run measured.
#[derive(Debug, Clone, Copy, Default, serde::Serialize)]
pub struct BalanceResult {
    /// The busiest runner's load over the mean, averaged over windows of a second.
    pub busiest: f64,
    /// The share of requests that waited while another runner had a free slot.
    pub queued: f64,
    /// The 99th percentile of the wait, in milliseconds.
    pub wait_ms: f64,
    /// Messages between daemons per second.
    pub messages: f64,
}

struct Daemon {
    balancer: Balancer,
    credits: Vec<f64>,
    /// When each recent request was sent, when it is expected to end, and its runner.
    sends: VecDeque<(u64, u64, usize)>,
    /// It has no report from before this time.
    started: u64,
    /// It gets no later report than of this time.
    cut: u64,
}

/// Runs one case and returns what it measured.
pub fn run_balance(case: &BalanceCase, alternative: Alternative, seed: u64) -> BalanceResult {
    let mut random = fastrand::Rng::with_seed(seed);
    let fallback = BalanceRule::default();
    let rule = if alternative.is_placed { fallback } else { alternative.rule };
    let new_daemon = |rule, random: &mut fastrand::Rng| Daemon {
        balancer: Balancer::new(rule, case.hold),
        credits: (0..case.runners).map(|_| random.f64()).collect(),
        sends: VecDeque::new(),
        started: 0,
        cut: u64::MAX,
    };
    let mut daemons: Vec<Daemon> = (0..case.daemons).map(|_| new_daemon(rule, &mut random)).collect();
    let mut placer = new_daemon(alternative.rule, &mut random);
    let speeds: Vec<f64> = case.speeds.iter().copied().cycle().take(case.runners).collect();
    let slots = case.slots as f64;
    let rate = speeds.iter().sum::<f64>() * slots * case.load / case.hold.0 as f64;
    let mut counts = vec![0.0_f64; case.runners];
    let mut snapshots: Vec<Vec<f64>> = Vec::new();
    let mut sums = vec![0.0; case.runners];
    let mut views = Vec::with_capacity(case.runners);
    let (mut waits, mut ratios) = (Vec::new(), Vec::new());
    let (mut queued, mut next_arrival) = (0_u64, 0.0);
    for now in 0..case.span.0 {
        if now % SNAPSHOT_MS == 0 {
            snapshots.push(counts.clone());
        }
        let leader_is_dead = case.loses_leader && now > case.span.0 / 3;
        if case.has_churn && now % CHURN_MS == 0 {
            for daemon in &mut daemons {
                daemon.cut = if random.f64() < 0.1 { now } else { u64::MAX };
                if random.f64() < 0.1 {
                    *daemon = Daemon { started: now, ..new_daemon(rule, &mut random) };
                }
            }
        }
        let is_burst = now / 1_000 % 3 == 2;
        while next_arrival <= now as f64 {
            let share = if is_burst { case.burst } else { 1.0 };
            next_arrival += -(1.0 - random.f64()).ln() / (rate * share);
            // Squared, so that a few daemons get much more than others.
            let daemon = (random.f64().powi(2) * case.daemons as f64) as usize;
            let is_placing = alternative.is_placed && !leader_is_dead;
            let age = if is_placing { PLACER_REPORT_MS } else { case.age.0 };
            let daemon = if is_placing { &mut placer } else { &mut daemons[daemon] };
            let is_hot = case.has_hot && random.f64() < HOT_SHARE;
            let cut = if leader_is_dead { daemon.cut.min(case.span.0 / 3) } else { daemon.cut };
            let seen = now.min(cut).saturating_sub(age);
            let report = &snapshots[(seen / SNAPSHOT_MS) as usize];
            let knows_report = seen >= daemon.started;
            views.clear();
            views.extend(report.iter().enumerate().map(|(runner, count)| LoadView {
                capacity: slots * if case.knows_speeds { speeds[runner] } else { 1.0 },
                reported: if knows_report { *count } else { 0.0 },
                unreported: 0.0,
                penalty: f64::from(u8::from(is_hot && runner % HOT_RUNNERS != 0)),
                credit: daemon.credits[runner],
            }));
            daemon.sends.retain(|(sent, ends, _)| *ends > now && (*sent >= seen || !knows_report));
            daemon.sends.iter().for_each(|(_, _, runner)| views[*runner].unreported += 1.0);
            let Some(runner) = daemon.balancer.choose(&mut views, Millis(now - seen), &mut random) else {
                continue;
            };
            let pace = speeds[runner] / case.hold.0 as f64;
            daemon.credits.iter_mut().zip(&views).for_each(|(credit, view)| *credit = view.credit);
            let wait = (counts[runner] - slots + 1.0).max(0.0) / (slots * pace);
            daemon.sends.push_back((now, now + (wait + 1.0 / pace) as u64, runner));
            if now >= WARMUP_MS {
                waits.push(wait);
                queued += u64::from(wait > 0.0 && counts.iter().any(|count| *count <= slots - 1.0));
            }
            counts[runner] += 1.0 + views[runner].penalty;
        }
        for ((count, speed), sum) in counts.iter_mut().zip(&speeds).zip(&mut sums) {
            *count -= count.min(slots) * speed / case.hold.0 as f64;
            *sum += *count / speed;
        }
        if (now + 1) % WINDOW_MS == 0 {
            let mean = sums.iter().sum::<f64>() / case.runners as f64;
            if now >= WARMUP_MS {
                ratios.push(sums.iter().copied().fold(0.0, f64::max) / mean);
            }
            sums.fill(0.0);
        }
    }
    waits.sort_by(f64::total_cmp);
    let daemons = case.daemons as f64;
    let messages = match alternative.rule {
        _ if alternative.is_placed => 2_000.0 * rate + daemons * 1_000.0 / PLACER_REPORT_MS as f64,
        BalanceRule::DaemonOrder => 0.0,
        // Each daemon sends its counts to one that collects them, and gets the sums.
        _ => 2.0 * daemons * 1_000.0 / case.age.0 as f64,
    };
    BalanceResult {
        busiest: ratios.iter().sum::<f64>() / ratios.len().max(1) as f64,
        queued: queued as f64 / waits.len().max(1) as f64,
        wait_ms: waits.get(waits.len() * 99 / 100).copied().unwrap_or(0.0),
        messages,
    }
}
