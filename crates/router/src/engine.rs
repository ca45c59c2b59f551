//! Model engines.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use teaselcroft_parts::{Millis, RequestId, TeamName};
use teaselcroft_policy::Tier;

use crate::http_client::HttpError;

/// A request to generate.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GenerateWire {
    /// The request.
    pub request: RequestId,
    /// Its priority; lower is more urgent.
    pub priority: Tier,
    /// Tokens of the answer that the caller already has.
    pub resume_from: u32,
    /// The conversation, in the form of chat completions.
    pub messages: Value,
}

/// One token of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenWire {
    /// Its position in the answer.
    pub i: u32,
    /// Its text.
    pub t: String,
}

/// A runner's report of its load and of the configurations in force there.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportWire {
    /// Requests that run or wait there.
    pub running: u32,
    /// Time for one token of every running request, in microseconds; zero when idle.
    pub step_us: u64,
    /// The configuration revision in force there, by team.
    pub revisions: BTreeMap<TeamName, u64>,
}

/// An order to put a configuration in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderWire {
    /// The team.
    pub team: TeamName,
    /// The revision.
    pub revision: u64,
    /// The fencing number; a runner that checks it refuses a lower one than it has seen.
    pub fence: u64,
}

/// An answer in progress.
pub trait TokenStream: Send + 'static {
    /// The next token, or `None` at the end of the answer.
    ///
    /// # Errors
    ///
    /// The connection broke, or was silent for `limit`.
    fn next(&mut self, limit: Millis) -> impl Future<Output = Result<Option<TokenWire>, HttpError>> + Send;
}

/// What the system needs of runners.
pub trait Engine: Send + Sync + 'static {
    /// An answer in progress.
    type Stream: TokenStream;

    /// Begins to generate; dropping the stream cancels.
    ///
    /// # Errors
    ///
    /// Says whether the runner may have begun.
    fn generate(
        &self,
        address: &str,
        request: &GenerateWire,
        limit: Millis,
    ) -> impl Future<Output = Result<Self::Stream, HttpError>> + Send;

    /// Cancels a request, whatever connection it began on.
    ///
    /// # Errors
    ///
    /// The runner did not answer.
    fn cancel(&self, address: &str, request: &RequestId) -> impl Future<Output = Result<(), HttpError>> + Send;

    /// Reads the load report.
    ///
    /// # Errors
    ///
    /// The runner did not answer.
    fn report(&self, address: &str) -> impl Future<Output = Result<ReportWire, HttpError>> + Send;

    /// Gives an order; true if it was obeyed.
    ///
    /// # Errors
    ///
    /// The runner did not answer.
    fn order(&self, address: &str, order: &OrderWire) -> impl Future<Output = Result<bool, HttpError>> + Send;
}
