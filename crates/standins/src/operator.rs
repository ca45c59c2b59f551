//! Operators who create and revise questionnaires.

use std::time::Duration;

use http_types::Method;
use serde_json::{Map, Value};
use smol::Timer;
use teaselcroft_parts::Millis;
use teaselcroft_policy::Questionnaire;
use teaselcroft_router::http_client::{HttpCall, HttpReply};

use crate::fleet::OPERATOR_KEY;

const APPLY_TIMEOUT: Millis = Millis(60_000);
const SHOW_TIMEOUT: Millis = Millis(2_000);
const TRY_AGAIN: Duration = Duration::from_millis(100);
const CREATE_TRIES: u32 = 100;

/// How a submission ended, as its operator was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// It is in force as this revision.
    Accepted(u64),
    /// Another one was in force.
    Conflict,
    /// It cannot be accepted.
    Invalid,
    /// Nobody knows.
    Unknown,
}

/// A race of operators to revise one questionnaire.
#[derive(Debug, Clone)]
pub struct Race {
    /// When it ended, in milliseconds from the start of the trace.
    pub ended_ms: u64,
    /// The team.
    pub team: String,
    /// The revision that was revised, if it could be read.
    pub base: Option<u64>,
    /// What each operator was told.
    pub told: Vec<Told>,
}

fn admin(method: Method, address: &str, path: String, body: Vec<u8>) -> HttpCall {
    let headers = vec![("authorization", format!("Bearer {OPERATOR_KEY}"))];
    HttpCall { method, headers, body, ..HttpCall::get(address, path, APPLY_TIMEOUT) }
}

fn told(reply: Option<HttpReply>, base: u64) -> Told {
    match reply.map(|reply| reply.status) {
        Some(200) => Told::Accepted(base + 1),
        Some(409) => Told::Conflict,
        Some(400 | 422) => Told::Invalid,
        _ => Told::Unknown,
    }
}

/// Submits a questionnaire that revises `base`.
pub async fn apply(address: &str, team: &str, base: u64, questionnaire: &Value) -> Told {
    let path = format!("/admin/teams/{team}?base={base}");
    let call = admin(Method::Put, address, path, questionnaire.to_string().into_bytes());
    told(call.send().await.ok(), base)
}

/// Creates a team; tries again until a daemon answers.
pub async fn create(addresses: &[String], questionnaire: &Questionnaire) -> Told {
    let body = serde_json::to_value(questionnaire).unwrap_or_default();
    for attempt in 0..CREATE_TRIES {
        let address = &addresses[attempt as usize % addresses.len()];
        let told = apply(address, questionnaire.team.as_str(), 0, &body).await;
        if told != Told::Unknown {
            return told;
        }
        Timer::after(TRY_AGAIN).await;
    }
    Told::Unknown
}

/// Reads a team's questionnaire and revision.
async fn show(address: &str, team: &str) -> Option<(u64, Value)> {
    let call = admin(Method::Get, address, format!("/admin/teams/{team}"), Vec::new());
    let reply = HttpCall { timeout: SHOW_TIMEOUT, ..call }.send().await.ok()?;
    let config: Value = serde_json::from_slice(&reply.body).ok()?;
    Some((config["revision"].as_u64()?, config["questionnaire"].clone()))
}

/// Reads a team at any daemon that answers.
pub async fn show_any(addresses: &[String], team: &str) -> Option<(u64, Value)> {
    for address in addresses {
        if let Some(found) = show(address, team).await {
            return Some(found);
        }
    }
    None
}

/// Changes answers by class.
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
