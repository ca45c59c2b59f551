//! The interface to one platform's header names, paths and wire formats.

use std::error::Error;

use teaselcroft_parts::{CustomerName, Millis, RunnerName};

use crate::http::Fields;
use crate::{CachedPart, Configuration, Priority, Prompt, RequestRate, RunnerRecord};

/// The platform's header fields of a caller's request, decoded.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallerFields {
    /// The id that the caller gave this attempt; empty if it gave none.
    pub request_id: String,
    /// How long the caller waits for the answer, from when it sent the request.
    pub max_wait: Option<Millis>,
    /// The API key that the caller presents.
    pub key: Option<String>,
    /// The prompt's size and shared parts, if the request states them.
    pub prompt: Option<Prompt>,
    /// The id of the last event that the caller has of an earlier stream.
    pub resume_after: Option<String>,
}

/// Values that the gateway adds to a request as header fields for the runner.
#[derive(Debug, Clone, Copy)]
pub struct RunnerFields<'a> {
    /// The id that the caller gave this attempt.
    pub request_id: &'a str,
    /// The time left until the request's deadline.
    pub time_left: Millis,
    /// The runner that the request is for; any other at this address answers that it is misdirected.
    pub runner: &'a RunnerName,
    /// The customer that the caller's key belongs to.
    pub customer: Option<&'a CustomerName>,
    /// The request's priority; set only for requests with a prompt.
    pub priority: Option<Priority>,
    /// Another runner's address from which the KV cache of the prompt's shared parts can be fetched.
    pub fetch_from: Option<std::net::SocketAddr>,
    /// The id of the event after which the stream resumes.
    pub resume_after: Option<&'a str>,
}

/// The platform's header fields of a runner's answer, decoded.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RunnerReply {
    /// The id of the request that it answers.
    pub request_id: Option<String>,
    /// Whether the answer carries the runner's signature field; its value is not checked.
    pub is_signed: bool,
    /// Whether the runner states that it did not execute the request.
    pub not_run: bool,
    /// How long the runner wants no request from this daemon.
    pub retry_after: Option<Millis>,
    /// Whether the runner states that it is about to leave.
    pub is_leaving: bool,
    /// The requests that the runner takes from all daemons together, if it states a limit.
    pub rate_limit: Option<RequestRate>,
}

/// The interface to one platform's header names, paths and wire formats.
pub trait Dialect: Send + Sync + 'static {
    /// Why a value from the store cannot be decoded.
    type DecodeError: Error + Send + Sync + 'static;

    /// Decodes the platform's fields of a caller's request.
    fn caller(&self, fields: &Fields) -> CallerFields;

    /// Whether a field of a caller's request is not forwarded to runners.
    fn is_withheld(&self, name: &[u8]) -> bool;

    /// Appends the fields for a runner to `out`, as header lines that each end with CRLF.
    fn write_runner_fields(&self, fields: &RunnerFields<'_>, out: &mut Vec<u8>);

    /// Decodes the platform's fields of a runner's answer.
    fn reply(&self, fields: &Fields) -> RunnerReply;

    /// Whether a status says that the request was meant for another runner, so that it was not executed.
    fn is_misdirected(&self, status: u16) -> bool;

    /// The path at which callers ask for the addresses of gateway daemons.
    fn directory_path(&self) -> &'static str;

    /// Encodes the body of the answer to an address request; callers may cache it for `ttl`.
    fn directory_body(&self, addresses: &[std::net::SocketAddr], ttl: Millis) -> Vec<u8>;

    /// The query parameter of an address request that holds the caller's availability zone.
    fn zone_parameter(&self) -> &'static str;

    /// The store's key of the operators' configuration.
    fn configuration_key(&self) -> &'static str;

    /// The prefix of the store's keys under which runners register.
    fn runner_prefix(&self) -> &'static str;

    /// Decodes a configuration from the store or from a peer.
    ///
    /// # Errors
    ///
    /// The bytes are not a valid configuration.
    fn configuration(&self, bytes: &[u8]) -> Result<Configuration, Self::DecodeError>;

    /// Decodes the entry of the runner called `name`.
    ///
    /// # Errors
    ///
    /// The bytes are not a valid entry, or a name in it is invalid.
    fn runner(&self, name: &str, bytes: &[u8]) -> Result<RunnerRecord, Self::DecodeError>;

    /// The path at which a runner with a KV cache lists the prompt parts in it.
    fn cached_parts_path(&self) -> &'static str;

    /// Decodes such a list; parts that cannot be read are left out.
    ///
    /// # Errors
    ///
    /// The bytes are no list.
    fn cached_parts(&self, bytes: &[u8]) -> Result<Vec<CachedPart>, Self::DecodeError>;
}
