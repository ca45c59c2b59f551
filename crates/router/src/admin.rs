//! The admin API for operators: status, explanations and team configurations.

use std::sync::Arc;
use std::time::Duration;

use async_channel::bounded;
use http_types::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use teaselcroft_parts::{ConfigValue, RequestId, TeamName};
use teaselcroft_policy::{Questionnaire, TeamConfig};

use crate::command::Command;
use crate::kv::{Stored, SwapAnswer};
use crate::node::Node;
use crate::platform::Platform;
use crate::{Event, log_event, reply};

/// Attempts to write a questionnaire before its outcome counts as unknown.
const MAX_SUBMIT_ATTEMPTS: u32 = 20;
const SUBMIT_RETRY_DELAY: Duration = Duration::from_millis(250);

/// The body of an admin API reply that reports a failure.
#[derive(Debug, Serialize, Deserialize)]
pub struct AdminError {
    /// What happened and what to do next.
    pub message: String,
    /// The configuration in force, after a conflict.
    pub current: Option<TeamConfig>,
}

/// A row of the team list.
#[derive(Debug, Serialize, Deserialize)]
pub struct TeamRow {
    /// The team's name.
    pub team: TeamName,
    /// The revision in force at the answering daemon.
    pub revision: u64,
}

fn refuse(status: StatusCode, message: impl Into<String>, current: Option<TeamConfig>) -> Response {
    reply::json(status, &AdminError { message: message.into(), current })
}

/// Serves one request under `/admin/`, after checking the operator key.
pub async fn serve<P: Platform>(node: Arc<Node<P>>, mut request: Request) -> Response {
    let offered = request.header("authorization").map(|values| values.as_str().to_owned());
    let offered = offered.as_deref().and_then(|text| text.strip_prefix("Bearer "));
    if !offered.is_some_and(|offered| node.settings.operator_key.matches(offered)) {
        return refuse(StatusCode::Unauthorized, "this is not the operators' key", None);
    }
    let path = request.url().path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').skip(1).collect();
    match (request.method(), parts.as_slice()) {
        (Method::Get, ["status"]) => status(&node).await,
        (Method::Get, ["explain", id]) => explain(&node, id),
        (Method::Get, ["teams"]) => teams(&node),
        (Method::Get, ["teams", team]) => show_config(&node, &format!("config/{team}")).await,
        (Method::Get, ["teams", team, "history", revision]) => {
            show_config(&node, &format!("history/{team}/{revision}")).await
        }
        (Method::Put, ["teams", team]) => {
            let team = (*team).to_owned();
            let base = request.url().query_pairs().find(|(name, _)| name == "base");
            let base = base.and_then(|(_, base)| base.parse().ok());
            let body = request.body_bytes().await.unwrap_or_default();
            apply(&node, &team, base, &body).await
        }
        _ => refuse(StatusCode::NotFound, "no such path; see the operators' page", None),
    }
}

async fn status<P: Platform>(node: &Node<P>) -> Response {
    let (answer, answer_receiver) = bounded(1);
    node.send_command(Command::Status(answer));
    match answer_receiver.recv().await {
        Ok(status) => reply::json(StatusCode::Ok, &status),
        Err(_) => refuse(StatusCode::ServiceUnavailable, "the daemon is ending", None),
    }
}

fn explain<P: Platform>(node: &Node<P>, id: &str) -> Response {
    let decisions = RequestId::try_from(id.to_owned()).map(|id| node.explanations.find(&id));
    reply::json(StatusCode::Ok, &decisions.unwrap_or_default())
}

fn teams<P: Platform>(node: &Node<P>) -> Response {
    let snapshot = node.snapshot();
    let rows = snapshot.classes.revisions().iter();
    let rows: Vec<TeamRow> = rows.map(|(team, revision)| TeamRow { team: team.clone(), revision: *revision }).collect();
    reply::json(StatusCode::Ok, &rows)
}

async fn show_config<P: Platform>(node: &Node<P>, key: &str) -> Response {
    match node.store_get(key).await {
        Ok(Some(stored)) => match serde_json::from_slice::<TeamConfig>(&stored.value) {
            Ok(config) => reply::json(StatusCode::Ok, &config),
            Err(_) => refuse(StatusCode::InternalServerError, "the stored configuration cannot be read", None),
        },
        Ok(None) => refuse(StatusCode::NotFound, "there is no such team or revision; list the teams", None),
        Err(error) => refuse(StatusCode::ServiceUnavailable, format!("{error}; try again later"), None),
    }
}

/// The result of writing a questionnaire's configuration to the key-value service.
enum Submission {
    Accepted(u64, Box<TeamConfig>),
    Conflict(Option<TeamConfig>),
    Unknown,
}

async fn apply<P: Platform>(node: &Node<P>, team: &str, base: Option<u64>, body: &[u8]) -> Response {
    let Some(base) = base else {
        return refuse(StatusCode::BadRequest, "name the revision that this revises with ?base=N; zero for none", None);
    };
    let questionnaire: Questionnaire = match serde_json::from_slice(body) {
        Ok(questionnaire) => questionnaire,
        Err(error) => {
            return refuse(StatusCode::BadRequest, format!("the questionnaire cannot be read: {error}"), None);
        }
    };
    if questionnaire.team.as_str() != team {
        return refuse(StatusCode::BadRequest, "the questionnaire is another team's; check its first line", None);
    }
    let submission = format!("{}-{:016x}", node.me, fastrand::u64(..));
    let config = match TeamConfig::generate(questionnaire, base + 1, submission) {
        Ok(config) => config,
        Err(error) => return refuse(StatusCode::UnprocessableEntity, error.to_string(), None),
    };
    if let Err(error) = node.snapshot().classes.check(&config) {
        return refuse(StatusCode::UnprocessableEntity, error.to_string(), None);
    }
    match submit(node, config, base).await {
        Submission::Accepted(version, config) => publish_accepted(node, version, *config).await,
        Submission::Conflict(current) => {
            log_event!(Event::QuestionnaireConflict, daemon = node.me.name, team = team, base = base);
            let message = format!("revision {base} is not the one in force; merge the difference and apply again");
            refuse(StatusCode::Conflict, message, current)
        }
        Submission::Unknown => {
            let message = "the key-value service does not answer; the questionnaire may have been accepted: \
                           show the team before you apply it again";
            refuse(StatusCode::GatewayTimeout, message, None)
        }
    }
}

/// Writes the configuration by compare-and-swap. If the reply is lost, the next attempt reads the key and
/// recognizes its own write by the submission id.
async fn submit<P: Platform>(node: &Node<P>, config: TeamConfig, base: u64) -> Submission {
    let key = format!("config/{}", config.team());
    let value = serde_json::to_vec(&config).unwrap_or_default();
    for _ in 0..MAX_SUBMIT_ATTEMPTS {
        let Ok(stored) = node.store_get(&key).await else {
            smol::Timer::after(SUBMIT_RETRY_DELAY).await;
            continue;
        };
        let current = stored.as_ref().and_then(parse);
        if let Some((version, current_config)) = &current
            && current_config.submission == config.submission
        {
            return Submission::Accepted(*version, Box::new(config));
        }
        let revision = current.as_ref().map_or(0, |(_, current_config)| current_config.revision);
        if revision != base {
            return Submission::Conflict(current.map(|(_, current_config)| current_config));
        }
        let expected = stored.map_or(0, |stored| stored.version);
        if let Ok(SwapAnswer::Done(version)) = node.store_swap(&key, value.clone(), expected).await {
            return Submission::Accepted(version, Box::new(config));
        }
    }
    Submission::Unknown
}

fn parse(stored: &Stored) -> Option<(u64, TeamConfig)> {
    Some((stored.version, serde_json::from_slice(&stored.value).ok()?))
}

async fn publish_accepted<P: Platform>(node: &Node<P>, version: u64, config: TeamConfig) -> Response {
    let (team, revision) = (config.team().clone(), config.revision);
    log_event!(Event::QuestionnaireAccepted, daemon = node.me.name, team = team, revision = revision);
    let value = serde_json::to_vec(&config).unwrap_or_default();
    let history = format!("history/{team}/{revision}");
    if node.store_swap(&history, value.clone(), 0).await.is_err() {
        log::warn!(team:% = team, revision = revision; "the revision is in force but its history entry was not written");
    }
    node.send_command(Command::Configs(vec![(team, ConfigValue { version, value })]));
    reply::json(StatusCode::Ok, &config)
}
