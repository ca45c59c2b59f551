//! One version of the operators' configuration, decoded.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;

use teaselcroft_parts::{CustomerName, Millis, ModelName};
use teaselcroft_policy::ScalingRule;

use crate::{RouteTable, ScalingFault};

/// A configuration's version number; a higher one replaces a lower one, never the reverse.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigVersion(pub u64);

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for ConfigVersion {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<ConfigVersion, Self::Err> {
        text.parse().map(ConfigVersion)
    }
}

/// A request's priority; 0 is the highest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Priority(pub u8);

impl Priority {
    /// The lowest priority that runners know.
    pub const LEAST: Priority = Priority(9);
}

impl Default for Priority {
    fn default() -> Priority {
        Priority(5)
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Priority {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Priority, Self::Err> {
        text.parse().map(Priority)
    }
}

/// A customer, found by one of its keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Customer {
    /// Its name.
    pub name: CustomerName,
    /// The priority of all its requests, which overrides the route's.
    pub priority: Option<Priority>,
}

/// Size limits and timeouts for callers' connections.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerLimits {
    /// The largest request head, in bytes.
    pub head_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The longest wait for more bytes of a head that has begun to arrive.
    pub head_time: Millis,
    /// How long a connection may stay idle between requests.
    pub idle_time: Millis,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits { head_bytes: 16_384, body_bytes: 1 << 20, head_time: Millis(3_000), idle_time: Millis(15_000) }
    }
}

/// A service and the capacity of its runners.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Service {
    /// The most connections that one runner accepts, from all daemons together.
    pub connections: u32,
    /// The engine's capacity, if the runners are model engines.
    pub engine: Option<Engine>,
    /// How many runners may be ordered; without it none are.
    pub scaling: Option<ScalingRule>,
}

/// The capacity of a model engine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Engine {
    /// The most requests in one batch.
    pub slots: u32,
    /// The size of its KV cache, in tokens.
    pub cache_tokens: u64,
}

/// One version of the operators' configuration, decoded.
#[derive(Debug, Clone, Default)]
pub struct Configuration {
    /// Its version number.
    pub version: ConfigVersion,
    /// Its routes, by host and path prefix.
    pub routes: RouteTable,
    /// Its services, by name.
    pub services: HashMap<ModelName, Service>,
    /// Rules for ordering runners that cannot be used.
    pub scaling_faults: Vec<ScalingFault>,
    /// Its customers by API key; empty if no keys are in use.
    pub customers: HashMap<String, Customer>,
    /// Whether callers must present a known key on routes that are not public.
    pub needs_key: bool,
    /// Size limits and timeouts for callers' connections.
    pub limits: CallerLimits,
}
