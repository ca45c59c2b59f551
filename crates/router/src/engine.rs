//! The interface to model engines on runners and its wire types.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use teaselcroft_parts::{Millis, RequestId, TeamName};
use teaselcroft_policy::Tier;

use crate::http_client::HttpError;

/// A request to generate an answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GenerateWire {
    /// The request id, also used to cancel.
    pub request: RequestId,
    /// Its priority; lower is more urgent.
    pub priority: Tier,
    /// Number of answer tokens that the caller already has; generation resumes after them.
    pub resume_from: u32,
    /// The messages of the conversation, as in a chat completion request.
    pub messages: Value,
}

/// One token of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenWire {
    /// Its zero-based position in the answer.
    pub i: u32,
    /// Its text.
    pub t: String,
}

/// A runner's load report, with the configuration revisions in force there.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportWire {
    /// Number of requests that run or wait at the runner.
    pub running: u32,
    /// Duration of one decode step, which yields one token for each running request, in microseconds; zero
    /// when idle.
    pub step_us: u64,
    /// The configuration revision in force at the runner, by team.
    pub revisions: BTreeMap<TeamName, u64>,
}

/// An order to a runner to apply a configuration revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderWire {
    /// The team whose configuration is meant.
    pub team: TeamName,
    /// The revision to apply.
    pub revision: u64,
    /// The fencing token; a runner that checks it rejects one lower than the highest it has seen.
    pub fence: u64,
}

/// A stream of the tokens of one answer.
pub trait TokenStream: Send + 'static {
    /// The next token, or `None` at the end of the answer.
    ///
    /// # Errors
    ///
    /// The connection broke, the data is malformed, or nothing arrived within `limit`.
    fn next(&mut self, limit: Millis) -> impl Future<Output = Result<Option<TokenWire>, HttpError>> + Send;
}

/// A client of model engines; every call names the runner by its address.
pub trait Engine: Send + Sync + 'static {
    /// The token stream that `generate` returns.
    type Stream: TokenStream;

    /// Starts generating an answer; dropping the stream cancels it. `limit` bounds the wait for the reply head.
    ///
    /// # Errors
    ///
    /// The error says whether the runner may have started.
    fn generate(
        &self,
        address: &str,
        request: &GenerateWire,
        limit: Millis,
    ) -> impl Future<Output = Result<Self::Stream, HttpError>> + Send;

    /// Cancels a request by its id, independently of the connection on which it was started.
    ///
    /// # Errors
    ///
    /// The runner could not be reached or gave no usable answer in time.
    fn cancel(&self, address: &str, request: &RequestId) -> impl Future<Output = Result<(), HttpError>> + Send;

    /// Reads the load report.
    ///
    /// # Errors
    ///
    /// The runner could not be reached or gave no usable answer in time.
    fn report(&self, address: &str) -> impl Future<Output = Result<ReportWire, HttpError>> + Send;

    /// Sends an order; returns true if the runner applied it.
    ///
    /// # Errors
    ///
    /// The runner could not be reached or gave no usable answer in time.
    fn order(&self, address: &str, order: &OrderWire) -> impl Future<Output = Result<bool, HttpError>> + Send;
}
