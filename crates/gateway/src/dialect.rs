//! How callers, runners and the store of one platform name things.

use std::error::Error;

use teaselcroft_parts::{CustomerName, Millis, RunnerName};

use crate::http::Fields;
use crate::{Configuration, Priority, Prompt, RunnerRecord};

/// What a caller says of its request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallerFields {
    /// The attempt's id.
    pub request: String,
    /// How long the caller waits from sending on.
    pub patience: Option<Millis>,
    /// The caller's key.
    pub key: Option<String>,
    /// The prompt, where the request has one.
    pub prompt: Option<Prompt>,
    /// The last event that the caller has of an earlier stream.
    pub resume_after: Option<String>,
}

/// What the gateway tells a runner beside the caller's own fields.
#[derive(Debug, Clone, Copy)]
pub struct RunnerFields<'a> {
    /// The attempt's id.
    pub request: &'a str,
    /// The time left.
    pub patience: Millis,
    /// The runner that is meant.
    pub runner: &'a RunnerName,
    /// The customer whose key the caller showed.
    pub customer: Option<&'a CustomerName>,
    /// How urgent the request is, where the runner schedules by it.
    pub priority: Option<Priority>,
    /// A runner that has the prompt's shared parts in its cache.
    pub fetch_from: Option<std::net::SocketAddr>,
    /// The event after which the stream goes on.
    pub resume_after: Option<&'a str>,
}

/// What a runner says of its answer.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RunnerReply {
    /// The request that it answers.
    pub request: Option<String>,
    /// Whether the answer bears the runner's signature.
    pub is_signed: bool,
    /// Whether the runner states that it did not run the request.
    pub not_run: bool,
}

/// How callers, runners and the store of one platform name things.
pub trait Dialect: Send + Sync + 'static {
    /// Why bytes from the store cannot be used.
    type Unreadable: Error + Send + Sync + 'static;

    /// Reads a caller's fields.
    fn caller(&self, fields: &Fields) -> CallerFields;

    /// Whether a caller's field is not passed on to runners.
    fn is_withheld(&self, name: &[u8]) -> bool;

    /// Appends the fields for a runner as header lines.
    fn write_runner_fields(&self, fields: &RunnerFields<'_>, out: &mut Vec<u8>);

    /// Reads a runner's fields.
    fn reply(&self, fields: &Fields) -> RunnerReply;

    /// Whether a runner's status says that another runner was meant, so that the request did not run.
    fn means_other_runner(&self, status: u16) -> bool;

    /// The path of an address question.
    fn directory_path(&self) -> &'static str;

    /// The body of an address answer.
    fn directory_body(&self, addresses: &[std::net::SocketAddr], keep: Millis) -> Vec<u8>;

    /// The query parameter that holds the caller's availability zone.
    fn zone_parameter(&self) -> &'static str;

    /// The store's key of the operators' configuration.
    fn configuration_key(&self) -> &'static str;

    /// The prefix of runners' keys in the store.
    fn runner_prefix(&self) -> &'static str;

    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// The bytes are no configuration.
    fn configuration(&self, bytes: &[u8]) -> Result<Configuration, Self::Unreadable>;

    /// Reads a runner's entry.
    ///
    /// # Errors
    ///
    /// The bytes name no runner that can be used.
    fn runner(&self, name: &str, bytes: &[u8]) -> Result<RunnerRecord, Self::Unreadable>;
}
