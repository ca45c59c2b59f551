//! What callers asked for, as counted by the daemons that place their prompts.

use std::collections::{BTreeMap, HashMap};

use teaselcroft_parts::{Millis, ModelName};
use teaselcroft_policy::scaling::DemandSample;

use crate::Priority;
use crate::heartbeat::{DemandCounts, DemandReport, ServiceLoad};

/// What callers asked of one service since the last sample.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServiceDemand {
    /// What they asked for.
    pub sample: DemandSample,
    /// Requests at the runners.
    pub busy: u32,
    /// Requests that the runners serve at once.
    pub slots: u32,
}

/// The counts of another daemon, as it reported them last.
#[derive(Debug, Default)]
struct Reported {
    incarnation: u64,
    counts: HashMap<String, DemandCounts>,
}

/// What callers asked for: this daemon's own counts since its start, and what others report while it holds the duties.
#[derive(Debug, Default)]
pub struct Demand {
    own: BTreeMap<ModelName, DemandCounts>,
    changed: bool,
    reported: HashMap<String, Reported>,
    pending: BTreeMap<ModelName, ServiceDemand>,
    loads: BTreeMap<ModelName, ServiceLoad>,
    heard: Option<Millis>,
}

impl Demand {
    /// Counts a prompt of which `prompt_tokens` are to be prefilled.
    pub fn count(
        &mut self,
        service: &ModelName,
        prompt_tokens: u32,
        output_tokens: u32,
        priority: Priority,
        is_refused: bool,
    ) {
        let (prompt, output) = (u64::from(prompt_tokens), u64::from(output_tokens));
        if !self.own.contains_key(service) {
            self.own.insert(service.clone(), DemandCounts { service: service.to_string(), ..DemandCounts::default() });
        }
        let Some(counts) = self.own.get_mut(service) else {
            return;
        };
        counts.prompt += prompt;
        counts.output += output;
        if priority == Priority(0) {
            counts.urgent_prompt += prompt;
            counts.urgent_output += output;
        }
        if is_refused {
            counts.refused += prompt + output;
        }
        self.changed = true;
    }

    /// The counts of this daemon, and whether they changed since the last call.
    pub fn own_counts(&mut self) -> (Vec<DemandCounts>, bool) {
        (self.own.values().cloned().collect(), std::mem::take(&mut self.changed))
    }

    /// Adds a daemon's report. The first one of a daemon, and of each of its starts, only says where counting begins.
    pub fn apply(&mut self, report: DemandReport, now: Millis) {
        self.heard = Some(now);
        let known = self.reported.entry(report.daemon).or_default();
        if known.incarnation > report.incarnation {
            return;
        }
        let is_continued = known.incarnation == report.incarnation;
        if !is_continued {
            *known = Reported { incarnation: report.incarnation, counts: HashMap::new() };
        }
        for counts in report.counts {
            let previous = known.counts.get(&counts.service);
            // A service that a known start counts for the first time was at zero before.
            let zero = DemandCounts::default();
            let Some(previous) = previous.or(is_continued.then_some(&zero)) else {
                known.counts.insert(counts.service.clone(), counts);
                continue;
            };
            // Datagrams may arrive out of order; counts only grow.
            if counts.prompt < previous.prompt || counts.output < previous.output {
                continue;
            }
            if let Ok(service) = counts.service.parse::<ModelName>() {
                self.pending.entry(service).or_default().sample += counts.since(previous);
            }
            known.counts.insert(counts.service.clone(), counts);
        }
        for load in report.loads {
            if let Ok(service) = load.service.parse() {
                self.loads.insert(service, load);
            }
        }
    }

    /// What callers asked of a service since the last call; `None` if no daemon reported within `max_age`.
    pub fn take(&mut self, service: &ModelName, max_age: Millis, now: Millis) -> Option<ServiceDemand> {
        self.heard.filter(|heard| now.since(*heard) <= max_age)?;
        let demand = self.pending.remove(service).unwrap_or_default();
        let load = self.loads.get(service).cloned().unwrap_or_default();
        Some(ServiceDemand { busy: load.busy, slots: load.slots, ..demand })
    }

    /// Discards what was reported before this daemon held the duties: it may be of any age.
    pub fn restart(&mut self) {
        self.pending.clear();
        self.loads.clear();
        self.heard = None;
    }
}

impl DemandCounts {
    fn since(&self, earlier: &DemandCounts) -> DemandSample {
        let tokens = |now: u64, before: u64| now.saturating_sub(before) as f64;
        DemandSample {
            prompt_tokens: tokens(self.prompt, earlier.prompt),
            output_tokens: tokens(self.output, earlier.output),
            urgent_prompt: tokens(self.urgent_prompt, earlier.urgent_prompt),
            urgent_output: tokens(self.urgent_output, earlier.urgent_output),
            refused_tokens: tokens(self.refused, earlier.refused),
        }
    }
}
