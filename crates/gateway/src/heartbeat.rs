//! The datagrams between daemons: heartbeats, placement queries and grants, load reports and runner updates.

use std::net::{SocketAddr, UdpSocket};

use async_io::Async;

use crate::runner_news::RunnerNews;
use crate::usage::UsageNews;

/// The lifecycle phase of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Phase {
    /// It has no configuration yet, so callers are not sent there.
    Starting = 0,
    /// It serves callers.
    Ready = 1,
    /// A planned stop has begun; callers are no longer sent there.
    Leaving = 2,
}

/// What a daemon publishes of itself, in its store entry and its heartbeats.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MemberRecord {
    /// Its name, the same across restarts.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Increases with each start; a record with a lower one is outdated.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Its availability zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Its VM's address.
    #[prost(string, tag = "4")]
    pub ip: String,
    /// The port for callers.
    #[prost(uint32, tag = "5")]
    pub front_port: u32,
    /// The port for other daemons.
    #[prost(uint32, tag = "6")]
    pub peer_port: u32,
    /// Its lifecycle phase.
    #[prost(enumeration = "Phase", tag = "7")]
    pub phase: i32,
    /// Its VM's processor share, in thousandths of a core.
    #[prost(uint32, tag = "8")]
    pub cpu_milli: u32,
    /// Whether it has run long enough to know most of the prefixes in the runners' caches.
    #[prost(bool, tag = "9")]
    pub is_settled: bool,
    /// The time between its heartbeats to this receiver, in milliseconds.
    #[prost(uint32, tag = "10")]
    pub period_ms: u32,
}

/// The load that one daemon puts on a runner.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct RunnerLoad {
    /// A hash of the runner's name and start.
    #[prost(fixed64, tag = "1")]
    pub runner: u64,
    /// Requests that have not ended.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Prompt tokens that are not prefilled yet.
    #[prost(uint32, tag = "3")]
    pub reading: u32,
    /// How much longer the sender avoids the runner, in milliseconds; 0 if it does not.
    #[prost(uint32, tag = "4")]
    pub avoided_ms: u32,
    /// Requests to it that ended since the sender started.
    #[prost(uint32, tag = "5")]
    pub ended: u32,
    /// Those of them that failed.
    #[prost(uint32, tag = "6")]
    pub failed: u32,
}

/// The load that all daemons put on a runner of a plain service, as the placement leader counts it.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct RunnerTotal {
    /// A hash of the runner's name and start.
    #[prost(fixed64, tag = "1")]
    pub runner: u64,
    /// Requests that have not ended.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
}

/// A runner that fails most of its requests and gets none for a while.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct RunnerEjection {
    /// A hash of the runner's name and start.
    #[prost(fixed64, tag = "1")]
    pub runner: u64,
    /// How much longer it gets no requests, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub left_ms: u32,
}

/// The rate limit that a runner stated last, as one daemon received it.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct RunnerLimit {
    /// A hash of the runner's name and start.
    #[prost(fixed64, tag = "1")]
    pub runner: u64,
    /// The requests per second that it takes from all daemons together; absent if it no longer has a limit.
    #[prost(double, optional, tag = "2")]
    pub per_second: Option<f64>,
    /// How long ago it stated that, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
}

/// All rate limits of runners that a daemon knows.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LimitList {
    /// The limits.
    #[prost(message, repeated, tag = "1")]
    pub limits: Vec<RunnerLimit>,
}

/// How many requests a daemon let pass to a runner with a rate limit, as the placement leader.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct RunnerPermits {
    /// A hash of the runner's name and start.
    #[prost(fixed64, tag = "1")]
    pub runner: u64,
    /// The requests since the daemon started.
    #[prost(uint32, tag = "2")]
    pub count: u32,
}

/// A prompt prefix that a daemon sent to a runner.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct CacheNews {
    /// A hash of the prefix.
    #[prost(fixed64, tag = "1")]
    pub chain: u64,
    /// A hash of the runner's name and start.
    #[prost(fixed64, tag = "2")]
    pub runner: u64,
}

/// A request after which a runner broke the connection, or a part of its prompt.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Crash {
    /// A hash of the request's content, or the part's id.
    #[prost(fixed64, tag = "1")]
    pub suspect: u64,
    /// A hash of the runner's name and start.
    #[prost(fixed64, tag = "2")]
    pub runner: u64,
    /// Whether `suspect` is a part's id.
    #[prost(bool, tag = "3")]
    pub is_part: bool,
    /// How long ago it happened, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
}

/// A request's content or a part of its prompt that was suspected of a crash and then answered.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Clearance {
    /// A hash of the request's content, or the part's id.
    #[prost(fixed64, tag = "1")]
    pub suspect: u64,
    /// Whether `suspect` is a part's id.
    #[prost(bool, tag = "2")]
    pub is_part: bool,
    /// How long ago it was answered, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
}

/// All crashes and clearances that a daemon knows.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CrashList {
    /// The crashes.
    #[prost(message, repeated, tag = "1")]
    pub crashes: Vec<Crash>,
    /// The suspects that answers cleared.
    #[prost(message, repeated, tag = "2")]
    pub cleared: Vec<Clearance>,
}

/// A runner that is leaving or gone.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct RunnerLeft {
    /// A hash of the runner's name and start.
    #[prost(fixed64, tag = "1")]
    pub runner: u64,
    /// The store's revision that says so.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Whether the runner itself said so, which no later entry of this start takes back.
    #[prost(bool, tag = "3")]
    pub is_stated: bool,
}

/// What a daemon sends to each other daemon several times a second.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// The sender.
    #[prost(message, optional, tag = "1")]
    pub member: Option<MemberRecord>,
    /// The version of the sender's configuration, 0 if it has none.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// The load that it puts on runners; only in heartbeats to the first placement candidates.
    #[prost(message, repeated, tag = "3")]
    pub loads: Vec<RunnerLoad>,
    /// Crashes that it saw recently.
    #[prost(message, repeated, tag = "4")]
    pub crashes: Vec<Crash>,
    /// Suspects that it saw answered. Tag 9 had only the ids of prompt parts.
    #[prost(message, repeated, tag = "10")]
    pub cleared: Vec<Clearance>,
    /// A hash of all crashes and clearances that it knows, 0 if there are none.
    #[prost(fixed64, tag = "11")]
    pub crash_digest: u64,
    /// Rate limits that runners stated to it.
    #[prost(message, repeated, tag = "12")]
    pub limits: Vec<RunnerLimit>,
    /// How many requests it let pass to runners with a rate limit.
    #[prost(message, repeated, tag = "13")]
    pub permits: Vec<RunnerPermits>,
    /// Runners that the sender ejected because they fail.
    #[prost(message, repeated, tag = "18")]
    pub ejections: Vec<RunnerEjection>,
    /// How long ago the store showed the sender that `version` is not older than the store's, in milliseconds.
    #[prost(uint32, optional, tag = "14")]
    pub config_age_ms: Option<u32>,
    /// The loads of plain services' runners; only from the placement leader.
    #[prost(message, repeated, tag = "21")]
    pub totals: Vec<RunnerTotal>,
    /// Runners that are leaving or gone by recent changes in the store.
    #[prost(message, repeated, tag = "8")]
    pub gone: Vec<RunnerLeft>,
    /// Prompt prefixes that it recently sent to runners; only in heartbeats to the first placement candidates.
    #[prost(message, repeated, tag = "7")]
    pub caches: Vec<CacheNews>,
    /// The fencing token of the sender while it holds the duties, otherwise 0.
    #[prost(uint64, tag = "16")]
    pub duty: u64,
    /// Some other members that it knows, so that daemons that cannot reach the store learn of them.
    #[prost(message, repeated, tag = "6")]
    pub members: Vec<MemberRecord>,
    /// What the sender's clock shows, in milliseconds of Unix time; absent where no usage is reported.
    #[prost(uint64, optional, tag = "17")]
    pub unix_ms: Option<u64>,
    /// The highest era of the store that the sender knows; a watch that waits does not show that it rose.
    #[prost(uint64, optional, tag = "22")]
    pub store_era: Option<u64>,
}

/// Asks the placement leader for a runner.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PlaceQuery {
    /// The name of the daemon that asks.
    #[prost(string, tag = "1")]
    pub daemon: String,
    /// The query's number, which increases with each query of the daemon.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The service whose runners can take the request.
    #[prost(string, tag = "3")]
    pub service: String,
    /// The prompt's model.
    #[prost(string, tag = "4")]
    pub model: String,
    /// The ids of the prompt's first parts, in order.
    #[prost(fixed64, repeated, tag = "5")]
    pub parts: Vec<u64>,
    /// The tokens of each of these parts.
    #[prost(uint32, repeated, tag = "6")]
    pub tokens: Vec<u32>,
    /// Prompt tokens in all.
    #[prost(uint32, tag = "7")]
    pub input_tokens: u32,
    /// The most tokens to generate.
    #[prost(uint32, tag = "8")]
    pub output_tokens: u32,
    /// The longest pause between two events that meets the service level, in milliseconds; 0 if none is set.
    #[prost(uint64, tag = "9")]
    pub pause_ms: u64,
    /// How urgent the request is; 0 is the most urgent.
    #[prost(uint32, tag = "11")]
    pub priority: u32,
    /// The target time to the first event, in milliseconds.
    #[prost(uint64, tag = "12")]
    pub target_ms: u64,
    /// The runners that earlier attempts were sent to.
    #[prost(string, repeated, tag = "10")]
    pub tried: Vec<String>,
    /// Whether the request has no prompt; it asks only for a runner with a rate limit.
    #[prost(bool, tag = "13")]
    pub is_plain: bool,
    /// Whether the request has a runner already, which is silent.
    #[prost(bool, tag = "14")]
    pub is_placed: bool,
}

/// The placement leader's reply to a query.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PlaceGrant {
    /// The number of the query that this replies to.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The chosen runner's name; empty if no runner takes the request.
    #[prost(string, tag = "2")]
    pub runner: String,
    /// Whether no runner has capacity left for a request of its priority.
    #[prost(bool, tag = "5")]
    pub is_full: bool,
    /// The address of a runner from which to fetch the prompt's prefix; empty if nothing is to be fetched.
    #[prost(string, tag = "3")]
    pub source: String,
    /// Prompt tokens that the runner has to prefill.
    #[prost(uint32, tag = "4")]
    pub reading: u32,
    /// How long the runner's prefill pressure takes to drain, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub pressure_ms: u64,
}

/// The load that a daemon puts on runners, for the placement leader.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadReport {
    /// The sender.
    #[prost(string, tag = "1")]
    pub daemon: String,
    /// The latest query whose grant the counts include.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The load on each runner that the sender uses or avoids.
    #[prost(message, repeated, tag = "3")]
    pub loads: Vec<RunnerLoad>,
}

/// What callers asked of a service, as counted by one daemon since its start.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct DemandCounts {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Prompt tokens to prefill.
    #[prost(uint64, tag = "2")]
    pub prompt: u64,
    /// Output tokens.
    #[prost(uint64, tag = "3")]
    pub output: u64,
    /// Prompt tokens of the most urgent priority.
    #[prost(uint64, tag = "4")]
    pub urgent_prompt: u64,
    /// Output tokens of the most urgent priority.
    #[prost(uint64, tag = "5")]
    pub urgent_output: u64,
    /// Prompt and output tokens of refused requests.
    #[prost(uint64, tag = "6")]
    pub refused: u64,
}

/// How many of a service's slots are in use, as the placement leader counts.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ServiceLoad {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Requests at ready runners.
    #[prost(uint32, tag = "2")]
    pub busy: u32,
    /// Requests that these serve at once.
    #[prost(uint32, tag = "3")]
    pub slots: u32,
}

/// What callers asked for, for the daemon that orders runners.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct DemandReport {
    /// The sender.
    #[prost(string, tag = "1")]
    pub daemon: String,
    /// The sender's start; counts of a later one begin anew.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The counts of each service.
    #[prost(message, repeated, tag = "3")]
    pub counts: Vec<DemandCounts>,
    /// The slots in use; only from the placement leader.
    #[prost(message, repeated, tag = "4")]
    pub loads: Vec<ServiceLoad>,
}

/// The content of one datagram between daemons.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Content {
    /// The state of the sender, several times a second.
    #[prost(message, boxed, tag = "1")]
    Heartbeat(Box<Heartbeat>),
    /// A query to the placement leader.
    #[prost(message, tag = "2")]
    Ask(PlaceQuery),
    /// The leader's reply to a query.
    #[prost(message, tag = "3")]
    Grant(PlaceGrant),
    /// Load counts for the placement leader.
    #[prost(message, tag = "4")]
    Report(LoadReport),
    /// Changes of runners' store entries, from a daemon that reads the store.
    #[prost(message, tag = "5")]
    News(RunnerNews),
    /// A daemon's counts of requests by customer, for the duty holder and the next candidate.
    #[prost(message, tag = "6")]
    Usage(UsageNews),
    /// What callers asked for, for the daemon that orders runners.
    #[prost(message, tag = "7")]
    Demand(DemandReport),
}

/// A datagram between daemons.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Datagram {
    /// The content, or `None` for a kind that this version does not know.
    #[prost(oneof = "Content", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub content: Option<Content>,
}

impl From<Content> for Datagram {
    fn from(content: Content) -> Datagram {
        Datagram { content: Some(content) }
    }
}

impl Content {
    /// Encodes the datagram.
    pub fn into_bytes(self) -> Vec<u8> {
        prost::Message::encode_to_vec(&Datagram::from(self))
    }
}

/// Sends a datagram. A failure is only logged: receivers tolerate lost datagrams.
pub async fn send(socket: &Async<UdpSocket>, bytes: &[u8], target: SocketAddr) {
    if let Err(error) = socket.send_to(bytes, target).await {
        log::debug!("failed to send a datagram to {target}: {error}");
    }
}
