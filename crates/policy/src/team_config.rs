//! A team's configuration, generated from its questionnaire.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use teaselcroft_parts::{ClassName, Millis, TeamName};

use crate::{ClassAnswers, ClassRule, Questionnaire, QuestionnaireError, Repeat, Tier, Urgency};

const URGENT_QUEUE_LIMIT: u32 = 2_000;
const DEFAULT_QUEUE_LIMIT: u32 = 20_000;

/// A team's generated configuration, stored with the answers that it came from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamConfig {
    /// The number of this configuration among the team's accepted ones, from one.
    pub revision: u64,
    /// The id of the submission, by which its author recognizes it after a lost reply.
    pub submission: String,
    /// The answers that it was generated from.
    pub questionnaire: Questionnaire,
    /// The generated rule of each class.
    pub classes: BTreeMap<ClassName, ClassRule>,
}

impl TeamConfig {
    /// Generates the configuration of `questionnaire`; equal answers give equal rules.
    ///
    /// # Errors
    ///
    /// Returns the first invalid answer.
    pub fn generate(
        questionnaire: Questionnaire,
        revision: u64,
        submission: String,
    ) -> Result<TeamConfig, QuestionnaireError> {
        questionnaire.check()?;
        let rules = questionnaire.classes.iter().map(|(name, answers)| (name.clone(), rule_of(answers)));
        let classes = rules.collect();
        Ok(TeamConfig { revision, submission, questionnaire, classes })
    }

    /// The team whose configuration this is.
    pub fn team(&self) -> &TeamName {
        &self.questionnaire.team
    }
}

fn rule_of(answers: &ClassAnswers) -> ClassRule {
    let tier = tier_of(answers.urgency);
    ClassRule {
        tier,
        kind: answers.kind,
        upstream: answers.upstream.clone(),
        target: Millis(answers.target_ms),
        patience: Millis(answers.patience_ms),
        never_repeat: answers.repeat == Repeat::Never,
        prompt_tokens: answers.prompt_tokens,
        output_tokens: answers.output_tokens,
        queue_limit: if tier.is_urgent() { URGENT_QUEUE_LIMIT } else { DEFAULT_QUEUE_LIMIT },
    }
}

const fn tier_of(urgency: Urgency) -> Tier {
    match urgency {
        Urgency::Critical => Tier(0),
        Urgency::Urgent => Tier(1),
        Urgency::Soon => Tier(2),
        Urgency::Routine => Tier(3),
        Urgency::Background => Tier(4),
    }
}
