//! The questionnaire by which a team states the service levels of its request classes.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use teaselcroft_parts::{ClassName, ModelName, TeamName};

use crate::UpstreamKind;

const MAX_CLASSES: usize = 64;
const MAX_SPAN_MS: u64 = 3_600_000;
const MAX_NEVER_REPEAT_MS: u64 = 60_000;
const MAX_TOKENS: u32 = 1_000_000;

/// How urgent a class is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// Someone is stranded without it: bookings and cancellations.
    Critical,
    /// Someone waits for the answer now.
    Urgent,
    /// Someone needs it within a minute or so.
    Soon,
    /// It belongs to the day's work.
    Routine,
    /// It may wait for quiet times.
    Background,
}

/// Whether a call may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Running it again does no harm.
    Harmless,
    /// It must never run twice.
    Never,
}

/// A team's answers for one request class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassAnswers {
    /// Whether a model engine or a plain service serves the class.
    pub kind: UpstreamKind,
    /// The name of that model or service.
    pub upstream: ModelName,
    /// How urgent the class is.
    pub urgency: Urgency,
    /// The target time from first sending to the whole answer, in milliseconds.
    pub target_ms: u64,
    /// How long callers keep retrying a request, in milliseconds.
    pub patience_ms: u64,
    /// Whether a call may run more than once.
    pub repeat: Repeat,
    /// The expected size of a prompt in tokens.
    pub prompt_tokens: u32,
    /// The expected size of an answer in tokens; zero for plain services.
    pub output_tokens: u32,
}

/// All answers of one team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Questionnaire {
    /// The team.
    pub team: TeamName,
    /// Its request classes by name; names are unique across teams.
    pub classes: BTreeMap<ClassName, ClassAnswers>,
}

/// An answer outside its valid range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuestionnaireError {
    /// The class with the invalid answer, or `None` if it concerns the whole questionnaire.
    pub class: Option<ClassName>,
    /// The key of the invalid answer.
    pub key: &'static str,
    /// What a valid answer is.
    pub reason: &'static str,
}

impl fmt::Display for QuestionnaireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.class {
            Some(class) => write!(f, "classes.{class}.{}: {}", self.key, self.reason),
            None => write!(f, "{}: {}", self.key, self.reason),
        }
    }
}

impl std::error::Error for QuestionnaireError {}

impl Questionnaire {
    /// Checks that every answer is valid.
    ///
    /// # Errors
    ///
    /// Returns the first invalid answer.
    pub fn check(&self) -> Result<(), QuestionnaireError> {
        if self.classes.is_empty() || self.classes.len() > MAX_CLASSES {
            let reason = "a team needs 1 to 64 classes";
            return Err(QuestionnaireError { class: None, key: "classes", reason });
        }
        for (name, answers) in &self.classes {
            check_class(answers).map_err(|(key, reason)| QuestionnaireError {
                class: Some(name.clone()),
                key,
                reason,
            })?;
        }
        Ok(())
    }
}

fn check_class(answers: &ClassAnswers) -> Result<(), (&'static str, &'static str)> {
    if !(1..=MAX_SPAN_MS).contains(&answers.target_ms) {
        return Err(("target_ms", "a target is 1 to 3600000 milliseconds"));
    }
    if !(answers.target_ms..=MAX_SPAN_MS).contains(&answers.patience_ms) {
        return Err(("patience_ms", "patience is at least the target and at most 3600000 milliseconds"));
    }
    if answers.repeat == Repeat::Never && answers.patience_ms > MAX_NEVER_REPEAT_MS {
        return Err(("patience_ms", "patience is at most 60000 milliseconds for an action that must never repeat"));
    }
    if answers.prompt_tokens > MAX_TOKENS || answers.output_tokens > MAX_TOKENS {
        return Err(("output_tokens", "an expected size is at most 1000000 tokens"));
    }
    if answers.kind == UpstreamKind::Model && answers.output_tokens == 0 {
        return Err(("output_tokens", "a model's answer has at least one token"));
    }
    if answers.kind == UpstreamKind::Model && answers.repeat == Repeat::Never {
        return Err(("repeat", "only plain services have actions that must never repeat"));
    }
    Ok(())
}
