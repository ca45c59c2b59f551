//! Routes and how a request finds its own.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use teaselcroft_parts::{Millis, ModelName};

use crate::Priority;

/// What may be repeated on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent: may run more than once.
    Safe,
    /// Runs at most once for each attempt of a caller.
    Unsafe,
    /// Answers with a stream of events.
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

/// A route kind that is not known.
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

/// A service's part of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Split {
    /// The service.
    pub service: ModelName,
    /// Its part, against the sum of all parts.
    pub weight: u32,
}

/// Where requests of a host and path prefix go, and how they are treated.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The host it belongs to, in lower case.
    pub host: String,
    /// The path prefix, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time until the whole answer.
    pub timeout: Millis,
    /// The time in which an answer, or a stream's first event, is on time.
    pub target: Millis,
    /// Runners that one request may be sent to.
    pub max_attempts: u32,
    /// How urgent its requests are.
    pub priority: Priority,
    /// Whether no key is asked for.
    pub is_public: bool,
    /// Whether a broken stream may go on at another runner.
    pub is_resumable: bool,
    /// The longest pause between events of a stream that is on time.
    pub longest_pause: Option<Millis>,
    /// The services that share its requests.
    pub splits: Vec<Split>,
}

impl Route {
    /// Whether a request may run a second time.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => self.is_resumable,
        }
    }

    /// The service that `draw`, a number below the sum of weights, falls to.
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

/// Routes by host and longest prefix.
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
    /// The route of `host` whose prefix is the longest that begins `path`.
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
