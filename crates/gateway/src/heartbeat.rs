//! What daemons tell each other: one datagram at a time.

use std::net::{SocketAddr, UdpSocket};

use async_io::Async;

use crate::runner_news::RunnerNews;

/// The state of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Phase {
    /// It has no configuration yet.
    Starting = 0,
    /// It serves callers.
    Ready = 1,
    /// A planned stop began.
    Leaving = 2,
}

/// A daemon as it is known to others.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MemberRecord {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Rises with each start.
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
    /// Its state.
    #[prost(enumeration = "Phase", tag = "7")]
    pub phase: i32,
    /// Its VM's processor share, in thousandths of a core.
    #[prost(uint32, tag = "8")]
    pub cpu_milli: u32,
    /// Whether it has run long enough to know what runners have in their caches.
    #[prost(bool, tag = "9")]
    pub is_settled: bool,
    /// The time between its heartbeats, in milliseconds.
    #[prost(uint32, tag = "10")]
    pub period_ms: u32,
}

/// One daemon's use of a runner.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct RunnerLoad {
    /// A hash of the runner's name.
    #[prost(fixed64, tag = "1")]
    pub runner: u64,
    /// Requests under way.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Prompt tokens that are still to be read.
    #[prost(uint32, tag = "3")]
    pub reading: u32,
    /// Milliseconds for which the runner is avoided, or 0.
    #[prost(uint32, tag = "4")]
    pub avoided_ms: u32,
}

/// A prompt's beginning that a daemon sent to a runner.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct CacheNews {
    /// A hash of the beginning.
    #[prost(fixed64, tag = "1")]
    pub chain: u64,
    /// A hash of the runner's name.
    #[prost(fixed64, tag = "2")]
    pub runner: u64,
}

/// A request after which runners broke off.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Crash {
    /// A hash of the request's content.
    #[prost(fixed64, tag = "1")]
    pub content: u64,
    /// A hash of the runner's name and start.
    #[prost(fixed64, tag = "2")]
    pub runner: u64,
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
}

/// What a daemon tells the others, several times a second.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// The sender.
    #[prost(message, optional, tag = "1")]
    pub member: Option<MemberRecord>,
    /// The newest configuration it has.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Its use of runners.
    #[prost(message, repeated, tag = "3")]
    pub loads: Vec<RunnerLoad>,
    /// Crashes that it saw lately.
    #[prost(message, repeated, tag = "4")]
    pub crashes: Vec<Crash>,
    /// Runners that the store lately said are leaving or gone.
    #[prost(message, repeated, tag = "8")]
    pub gone: Vec<RunnerLeft>,
    /// Prompt beginnings that it lately sent to runners.
    #[prost(message, repeated, tag = "7")]
    pub caches: Vec<CacheNews>,
    /// Some other members it knows, for daemons that lack the store.
    #[prost(message, repeated, tag = "6")]
    pub members: Vec<MemberRecord>,
}

/// Asks the placing daemon for a runner.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PlaceAsk {
    /// Who asks.
    #[prost(string, tag = "1")]
    pub daemon: String,
    /// The question's number; rises with each.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The service.
    #[prost(string, tag = "3")]
    pub service: String,
    /// The prompt's model.
    #[prost(string, tag = "4")]
    pub model: String,
    /// Ids of the prompt's parts in order.
    #[prost(fixed64, repeated, tag = "5")]
    pub parts: Vec<u64>,
    /// Their tokens.
    #[prost(uint32, repeated, tag = "6")]
    pub tokens: Vec<u32>,
    /// Tokens to read.
    #[prost(uint32, tag = "7")]
    pub input_tokens: u32,
    /// The most tokens to generate.
    #[prost(uint32, tag = "8")]
    pub output_tokens: u32,
    /// The longest pause between events that is on time, in milliseconds; 0 if none is stated.
    #[prost(uint64, tag = "9")]
    pub pause_ms: u64,
    /// How urgent the request is; 0 is the most urgent.
    #[prost(uint32, tag = "11")]
    pub priority: u32,
    /// The time in which its first event is on time, in milliseconds.
    #[prost(uint64, tag = "12")]
    pub target_ms: u64,
    /// Runners that the request was sent to before.
    #[prost(string, repeated, tag = "10")]
    pub tried: Vec<String>,
}

/// The placing daemon's answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PlaceGrant {
    /// The question's number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The runner's name; empty if none takes the request.
    #[prost(string, tag = "2")]
    pub runner: String,
    /// Whether all runners are full for a request of its priority.
    #[prost(bool, tag = "5")]
    pub is_full: bool,
    /// The address of a runner that has the prompt's beginning; empty if none is needed.
    #[prost(string, tag = "3")]
    pub source: String,
    /// Prompt tokens that the runner will have to read.
    #[prost(uint32, tag = "4")]
    pub reading: u32,
    /// How long what it was given to read before takes to be read, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub pressure_ms: u64,
}

/// A daemon's use of runners, for the placing daemon.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadReport {
    /// The sender.
    #[prost(string, tag = "1")]
    pub daemon: String,
    /// The newest question whose grant the counts include.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Its use of runners.
    #[prost(message, repeated, tag = "3")]
    pub loads: Vec<RunnerLoad>,
}

/// What one datagram between daemons carries.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Content {
    /// A heartbeat.
    #[prost(message, tag = "1")]
    Heartbeat(Heartbeat),
    /// A question for a runner.
    #[prost(message, tag = "2")]
    Ask(PlaceAsk),
    /// Its answer.
    #[prost(message, tag = "3")]
    Grant(PlaceGrant),
    /// Counts for the placing daemon.
    #[prost(message, tag = "4")]
    Report(LoadReport),
    /// Changes of runners' entries.
    #[prost(message, tag = "5")]
    News(RunnerNews),
}

/// A datagram between daemons.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Datagram {
    /// What it carries.
    #[prost(oneof = "Content", tags = "1, 2, 3, 4, 5")]
    pub content: Option<Content>,
}

impl From<Content> for Datagram {
    fn from(content: Content) -> Datagram {
        Datagram { content: Some(content) }
    }
}

impl Content {
    /// The datagram's bytes.
    pub fn into_bytes(self) -> Vec<u8> {
        prost::Message::encode_to_vec(&Datagram::from(self))
    }
}

/// Sends a datagram; one that cannot be sent counts as lost, which its receiver bears.
pub async fn send(socket: &Async<UdpSocket>, bytes: &[u8], target: SocketAddr) {
    if let Err(error) = socket.send_to(bytes, target).await {
        log::debug!("a datagram to {target} was not sent: {error}");
    }
}
