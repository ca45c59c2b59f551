//! One version of the operators' configuration, as the gateway uses it.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;

use teaselcroft_parts::{CustomerName, Millis, ModelName};

use crate::RouteTable;

/// A configuration's number; higher ones replace lower ones.
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

/// How urgent a request is; 0 is the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Priority(pub u8);

impl Priority {
    /// The least urgent priority that runners know.
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
    /// Its own priority, which goes before a route's.
    pub priority: Option<Priority>,
}

/// What callers may send and how long they may take.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerLimits {
    /// Bytes of a head.
    pub head_bytes: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// Time for a head to arrive.
    pub head_time: Millis,
    /// Time a connection may stay idle.
    pub idle_time: Millis,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits { head_bytes: 16_384, body_bytes: 1 << 20, head_time: Millis(3_000), idle_time: Millis(15_000) }
    }
}

/// What a service's runners can bear.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Service {
    /// Connections that one runner accepts from all daemons together.
    pub connections: u32,
    /// Set where the runners are model engines.
    pub engine: Option<Engine>,
}

/// A model engine's figures.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Engine {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens that fit its KV cache.
    pub cache_tokens: u64,
}

/// One version of the operators' configuration.
#[derive(Debug, Clone, Default)]
pub struct Configuration {
    /// Its number.
    pub version: ConfigVersion,
    /// Its routes.
    pub routes: RouteTable,
    /// Its services.
    pub services: HashMap<ModelName, Service>,
    /// Its customers by key; empty where no keys are asked for.
    pub customers: HashMap<String, Customer>,
    /// Whether callers must show a key on routes that are not public.
    pub needs_key: bool,
    /// What callers may send.
    pub limits: CallerLimits,
}
