//! The metrics of a gateway daemon, in the Prometheus text format.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::duties::ScalingGauges;
use crate::fleet::Placement;
use crate::log_setup::lines_dropped;

/// Labels of an ended request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// The route's kind, by `RouteKind::name`.
    pub kind: &'static str,
    /// How it ended, by `Ending::name`.
    pub outcome: &'static str,
}

/// Labels of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreLabels {
    /// The store operation.
    pub call: &'static str,
    /// Whether it succeeded, or why not.
    pub outcome: &'static str,
}

/// Labels of a fetch of a configuration from a peer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct FetchLabels {
    /// Whether the peer sent it: `done` or `failed`.
    pub outcome: &'static str,
}

/// Labels of a call to the control API that failed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RefusalLabels {
    /// Why, by `ControlError::name`.
    pub reason: &'static str,
}

/// Labels of a usage window.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct UsageLabels {
    /// How it ended: `reported` in time, `late`, `estimated` in part, or `missing`.
    pub outcome: &'static str,
}

/// Labels of a choice of a runner by load counts of other daemons.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ChoiceLabels {
    /// The age of these counts, by its upper bound in milliseconds.
    pub age: &'static str,
}

/// The metrics of a gateway daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Ended requests, by route kind and ending.
    pub requests: Family<RequestLabels, Counter>,
    /// Failed attempts: connection failures, declined requests and unusable or partial answers.
    pub failed_attempts: Counter,
    /// Retries that the budget allowed.
    pub retries: Counter,
    /// Retries that the budget denied.
    pub retries_denied: Counter,
    /// Ejections of runners that fail most of their requests.
    pub ejections: Counter,
    /// Plain requests' choices of a runner by load counts of other daemons, by their age.
    pub choices: Family<ChoiceLabels, Counter>,
    /// Those of them for which every slot of the runner was known to be in use.
    pub overruns: Counter,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// Time from arrival to the first complete event of a stream, in seconds.
    pub first_seconds: Histogram,
    /// Time from arrival to the end of a forwarded request, in seconds.
    pub seconds: Histogram,
    /// Calls to the store, by operation and result.
    pub store_calls: Family<StoreLabels, Counter>,
    /// Fetches of newer configurations from peers, by outcome.
    pub config_fetches: Family<FetchLabels, Counter>,
    /// How often the store came back from an older copy, as it states.
    pub store_era: Gauge,
    /// The version of the active configuration.
    pub version: Gauge,
    /// Known runners that accept requests.
    pub runners: Gauge,
    /// Peers that are ready and send heartbeats.
    pub peers: Gauge,
    /// Connections opened to runners, failed ones included.
    pub connects: Counter,
    /// 1 while this daemon holds the duties and acts.
    pub duty_held: Gauge,
    /// The fencing token with which this daemon acted last.
    pub duty_fence: Gauge,
    /// Calls to the control API that failed, by reason.
    pub duty_refusals: Family<RefusalLabels, Counter>,
    /// Usage windows that this daemon brought to an end as the duty holder, by outcome.
    pub usage_windows: Family<UsageLabels, Counter>,
    /// The runners that are ordered and present, where this daemon holds the duties.
    pub scaling: ScalingGauges,
    /// Connections and calls that a panic ended.
    pub panics: Counter,
    /// Log lines dropped since the start; set when the metrics are read.
    pub lines_dropped: Gauge,
}

fn buckets() -> Histogram {
    Histogram::new([0.01, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.0, 2.0, 4.0, 8.0, 16.0])
}

impl Default for Metrics {
    fn default() -> Metrics {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("teaselcroft_gateway"),
            requests: Family::default(),
            failed_attempts: Counter::default(),
            retries: Counter::default(),
            retries_denied: Counter::default(),
            ejections: Counter::default(),
            choices: Family::default(),
            overruns: Counter::default(),
            in_flight: Gauge::default(),
            panics: Counter::default(),
            first_seconds: buckets(),
            seconds: buckets(),
            store_calls: Family::default(),
            config_fetches: Family::default(),
            store_era: Gauge::default(),
            version: Gauge::default(),
            runners: Gauge::default(),
            peers: Gauge::default(),
            connects: Counter::default(),
            duty_held: Gauge::default(),
            duty_fence: Gauge::default(),
            duty_refusals: Family::default(),
            usage_windows: Family::default(),
            scaling: ScalingGauges::default(),
            lines_dropped: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests ended", self.requests.clone());
        registry.register("failed_attempts", "Attempts at runners that failed", self.failed_attempts.clone());
        registry.register("repeats", "Second sends", self.retries.clone());
        registry.register("repeats_denied", "Second sends over the budget", self.retries_denied.clone());
        registry.register("runner_ejections", "Runners taken out of use because they fail", self.ejections.clone());
        registry.register("balance_choices", "Choices by reported loads, by their age", self.choices.clone());
        registry.register("balance_overruns", "Choices of runners without a free slot", self.overruns.clone());
        registry.register("requests_in_flight", "Requests being served", self.in_flight.clone());
        registry.register("first_byte_seconds", "Time to the answer's first byte", self.first_seconds.clone());
        registry.register("request_seconds", "Time to the end", self.seconds.clone());
        registry.register("store_calls", "Calls to the store", self.store_calls.clone());
        registry.register("config_fetches", "Fetches of configurations from peers", self.config_fetches.clone());
        registry.register("store_era", "How often the store came back from an older copy", self.store_era.clone());
        registry.register("configuration_version", "The configuration in force", self.version.clone());
        registry.register("runners_ready", "Runners that take requests", self.runners.clone());
        registry.register("peers_live", "Peers that are ready and heard", self.peers.clone());
        registry.register("runner_connections", "New connections to runners", self.connects.clone());
        registry.register("duty_held", "1 while this daemon holds the duties", self.duty_held.clone());
        registry.register("duty_fence", "The last fencing token of this daemon", self.duty_fence.clone());
        registry.register("duty_refusals", "Failed calls to the control API", self.duty_refusals.clone());
        registry.register("usage_windows", "Usage windows by outcome", self.usage_windows.clone());
        self.scaling.register(registry);
        registry.register("panics", "Connections and calls that a panic ended", self.panics.clone());
        registry.register("log_lines_dropped", "Log lines dropped", self.lines_dropped.clone());
    }

    /// Counts a choice that load counts of other daemons were used for.
    pub fn note_choice(&self, placement: &Placement) {
        let Some(age) = placement.age else {
            return;
        };
        let label = match age.0 {
            0..100 => "100",
            100..500 => "500",
            500..2_000 => "2000",
            _ => "older",
        };
        self.choices.get_or_create(&ChoiceLabels { age: label }).inc();
        if placement.load.requests >= placement.record.slots {
            self.overruns.inc();
        }
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        self.lines_dropped.set(i64::try_from(lines_dropped()).unwrap_or(i64::MAX));
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => format!("# metrics cannot be written: {error}\n"),
        }
    }
}
