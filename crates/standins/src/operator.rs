//! Simulated operators, who create and revise questionnaires through the admin API.

use std::time::Duration;

use http_types::Method;
use serde_json::{Map, Value};
use smol::Timer;
use teaselcroft_parts::Millis;
use teaselcroft_policy::Questionnaire;
use teaselcroft_router::http_client::{HttpCall, HttpReply};

use crate::fleet::OPERATOR_KEY;

const APPLY_TIMEOUT: Millis = Millis(60_000);
const FETCH_TIMEOUT: Millis = Millis(2_000);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const CREATE_ATTEMPTS: u32 = 100;

/// The outcome of a submission as its operator knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// It was accepted as this revision.
    Accepted(u64),
    /// Its base revision was no longer the current one.
    Conflict,
    /// The questionnaire is invalid.
    Invalid,
    /// There was no conclusive reply; it may have been accepted.
    Unknown,
}

/// Concurrent submissions of several operators against one revision.
#[derive(Debug, Clone)]
pub struct Race {
    /// When it ended, in milliseconds from the start of the trace.
    pub ended_ms: u64,
    /// The team whose questionnaire they revise.
    pub team: String,
    /// The revision they started from; `None` if no daemon could show it.
    pub base: Option<u64>,
    /// The outcome for each operator.
    pub outcomes: Vec<SubmitOutcome>,
}

fn admin_call(method: Method, address: &str, path: String, body: Vec<u8>) -> HttpCall {
    let headers = vec![("authorization", format!("Bearer {OPERATOR_KEY}"))];
    HttpCall { method, headers, body, ..HttpCall::get(address, path, APPLY_TIMEOUT) }
}

fn submit_outcome(reply: Option<HttpReply>, base: u64) -> SubmitOutcome {
    match reply.map(|reply| reply.status) {
        Some(200) => SubmitOutcome::Accepted(base + 1),
        Some(409) => SubmitOutcome::Conflict,
        Some(400 | 422) => SubmitOutcome::Invalid,
        _ => SubmitOutcome::Unknown,
    }
}

/// Submits a questionnaire that revises `base`.
pub async fn apply(address: &str, team: &str, base: u64, questionnaire: &Value) -> SubmitOutcome {
    let path = format!("/admin/teams/{team}?base={base}");
    let call = admin_call(Method::Put, address, path, questionnaire.to_string().into_bytes());
    submit_outcome(call.send().await.ok(), base)
}

/// Creates a team at revision 1, retrying at the next daemon while the outcome is unknown.
pub async fn create_team(addresses: &[String], questionnaire: &Questionnaire) -> SubmitOutcome {
    let body = serde_json::to_value(questionnaire).unwrap_or_default();
    for attempt in 0..CREATE_ATTEMPTS {
        let address = &addresses[attempt as usize % addresses.len()];
        let outcome = apply(address, questionnaire.team.as_str(), 0, &body).await;
        if outcome != SubmitOutcome::Unknown {
            return outcome;
        }
        Timer::after(RETRY_PAUSE).await;
    }
    SubmitOutcome::Unknown
}

/// Reads the revision and questionnaire of a team from one daemon.
async fn fetch(address: &str, team: &str) -> Option<(u64, Value)> {
    let call = admin_call(Method::Get, address, format!("/admin/teams/{team}"), Vec::new());
    let reply = HttpCall { timeout: FETCH_TIMEOUT, ..call }.send().await.ok()?;
    let config: Value = serde_json::from_slice(&reply.body).ok()?;
    Some((config["revision"].as_u64()?, config["questionnaire"].clone()))
}

/// Reads the revision and questionnaire of a team from the first daemon that answers.
pub async fn fetch_any(addresses: &[String], team: &str) -> Option<(u64, Value)> {
    for address in addresses {
        if let Some(team_state) = fetch(address, team).await {
            return Some(team_state);
        }
    }
    None
}

/// Replaces the answers that `set` lists by class and question.
pub fn revise(mut questionnaire: Value, set: &Map<String, Value>) -> Value {
    for (class, answers) in set {
        let Some(answers) = answers.as_object() else {
            continue;
        };
        for (question, answer) in answers {
            questionnaire["classes"][class][question] = answer.clone();
        }
    }
    questionnaire
}
