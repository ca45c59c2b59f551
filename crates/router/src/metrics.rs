//! The daemon's metrics in the Prometheus text format.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use prost::Message;

use crate::generated::Heartbeat;

/// Estimated protocol overhead of one heartbeat in bytes: TCP, IP and HTTP/2 headers and
/// acknowledgements.
const FRAMING_BYTES: usize = 130;

/// Labels of the counter of ended requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EndLabels {
    /// The request's class.
    pub class: String,
    /// The number of its result code.
    pub code: u32,
}

/// Labels of the counter of calls to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreLabels {
    /// The kind of call: `get`, `swap` or `watch`.
    pub call: &'static str,
    /// Whether it was answered: `yes` or `no`.
    pub answered: &'static str,
}

/// The daemon's counters, gauges and histograms.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Number of chat completions ended, by class and result code.
    pub ended: Family<EndLabels, Counter>,
    /// Number of chat completions being served.
    pub in_flight: Gauge,
    /// Time from the arrival of a chat completion to its end, in seconds.
    pub request_seconds: Histogram,
    /// Time to first token, in seconds.
    pub first_token_seconds: Histogram,
    /// Number of calls to the key-value service, by kind and whether they were answered.
    pub store_calls: Family<StoreLabels, Counter>,
    /// Bytes of heartbeats exchanged with peers, both ways, including estimated protocol overhead.
    pub control_bytes: Counter,
    /// Number of times a broken or silent stream was resumed.
    pub resumed: Counter,
}

fn latency_histogram() -> Histogram {
    Histogram::new([0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0])
}

impl Default for Metrics {
    fn default() -> Metrics {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("teaselcroft"),
            ended: Family::default(),
            in_flight: Gauge::default(),
            request_seconds: latency_histogram(),
            first_token_seconds: latency_histogram(),
            store_calls: Family::default(),
            control_bytes: Counter::default(),
            resumed: Counter::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests ended", self.ended.clone());
        registry.register("requests_in_flight", "Requests being served", self.in_flight.clone());
        registry.register("request_seconds", "Time from arrival to the end", self.request_seconds.clone());
        registry.register(
            "first_token_seconds",
            "Time from arrival to the first token",
            self.first_token_seconds.clone(),
        );
        registry.register("store_calls", "Calls to the key-value service", self.store_calls.clone());
        registry.register(
            "control_bytes",
            "Bytes of heartbeats exchanged with peers, both ways",
            self.control_bytes.clone(),
        );
        registry.register("streams_resumed", "Streams that went on elsewhere", self.resumed.clone());
    }

    /// Counts the bytes of both heartbeats of an exchange.
    pub fn count_heartbeats(&self, one: &Heartbeat, other: &Heartbeat) {
        let bytes = one.encoded_len() + other.encoded_len() + 2 * FRAMING_BYTES;
        self.control_bytes.inc_by(bytes as u64);
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => format!("# metrics cannot be written: {error}\n"),
        }
    }
}
