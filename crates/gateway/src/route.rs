//! Routes, and how a request is matched to one.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use teaselcroft_parts::{Millis, ModelName};

use crate::Priority;

/// How a route's requests are retried and answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent: may be executed more than once.
    Safe,
    /// Not idempotent: executed at most once for each request that a caller sends.
    Unsafe,
    /// Answered with a stream of server-sent events, which may resume at another runner if the route says so.
    Streaming,
}

impl RouteKind {
    /// The kind's name in configurations, logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            RouteKind::Safe => "safe",
            RouteKind::Unsafe => "unsafe",
            RouteKind::Streaming => "streaming",
        }
    }
}

impl fmt::Display for RouteKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The text names no route kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownKind;

impl fmt::Display for UnknownKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the route kind is not known")
    }
}

impl std::error::Error for UnknownKind {}

impl FromStr for RouteKind {
    type Err = UnknownKind;

    fn from_str(text: &str) -> Result<RouteKind, UnknownKind> {
        match text {
            "safe" => Ok(RouteKind::Safe),
            "unsafe" => Ok(RouteKind::Unsafe),
            "streaming" => Ok(RouteKind::Streaming),
            _ => Err(UnknownKind),
        }
    }
}

/// A service that gets a weighted share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Split {
    /// The service that gets the share.
    pub service: ModelName,
    /// Its weight, relative to the sum of the route's weights.
    pub weight: u32,
}

/// Where requests of a host and path prefix go, and how they are treated.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The host that it matches, in lower case and without a port.
    pub host: String,
    /// The path prefix that it matches, with a slash at both ends.
    pub prefix: String,
    /// How its requests are retried and answered.
    pub kind: RouteKind,
    /// The longest time until the complete answer.
    pub timeout: Millis,
    /// The target latency of an answer or of a stream's first event.
    pub target: Millis,
    /// The most runners that may execute one request; 1 means no retries.
    pub max_attempts: u32,
    /// The priority of its requests, unless their customer has one of its own.
    pub priority: Priority,
    /// Whether requests need no API key.
    pub is_public: bool,
    /// Whether a broken stream may resume at another runner.
    pub is_resumable: bool,
    /// The target for the longest pause between two events of a stream.
    pub longest_pause: Option<Millis>,
    /// The services among which its requests are divided.
    pub splits: Vec<Split>,
}

impl Route {
    /// Whether a request may be executed again after an attempt that may have executed it.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => self.is_resumable,
        }
    }

    /// Picks a service by weight from the random number `draw`; the first one if all weights are 0.
    pub fn service(&self, draw: u32) -> Option<&ModelName> {
        let total: u32 = self.splits.iter().map(|split| split.weight).sum();
        let mut left = draw % total.max(1);
        for split in &self.splits {
            if left < split.weight {
                return Some(&split.service);
            }
            left -= split.weight;
        }
        self.splits.first().map(|split| &split.service)
    }
}

/// Routes by host and path prefix.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    hosts: HashMap<String, HashMap<String, Arc<Route>>>,
}

impl FromIterator<Route> for RouteTable {
    fn from_iter<I: IntoIterator<Item = Route>>(routes: I) -> RouteTable {
        let mut table = RouteTable::default();
        for route in routes {
            let host = table.hosts.entry(route.host.to_ascii_lowercase()).or_default();
            host.insert(route.prefix.clone(), Arc::new(route));
        }
        table
    }
}

impl RouteTable {
    /// The route of `host` with the longest prefix of `path`, ignoring the host's port and letter case.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let routes = self.hosts.get(&host)?;
        path.rmatch_indices('/').find_map(|(slash, _)| routes.get(&path[..=slash]))
    }

    /// The number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }

    /// Whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
