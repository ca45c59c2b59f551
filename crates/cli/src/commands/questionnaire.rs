//! Writes, checks and applies questionnaires.

use std::path::Path;

use teaselcroft_policy::{Questionnaire, TeamConfig};

use crate::admin_client::{AdminClient, ApplyError};
use crate::cli::{Options, QuestionnaireCommand};
use crate::command_error::CommandError;
use crate::config::Config;
use crate::difference::differences;
use crate::output::{print_json, print_table};
use teaselcroft_parts::ExitCode;

const TEMPLATE: &str = include_str!("../template.yaml");

/// Runs a `questionnaire` subcommand.
///
/// # Errors
///
/// The file is not a valid questionnaire, or it cannot be put in force.
pub fn run(options: &Options, command: QuestionnaireCommand) -> Result<ExitCode, CommandError> {
    match command {
        QuestionnaireCommand::Template { team } => {
            print!("{}", TEMPLATE.replace("TEAM", team.as_str()));
            Ok(ExitCode::Success)
        }
        QuestionnaireCommand::Check { file } => check(options, &file),
        QuestionnaireCommand::Apply { file, base } => apply(Config::resolve(options)?, &file, base),
    }
}

fn read_questionnaire(file: &Path) -> Result<Questionnaire, CommandError> {
    let input_error = |reason: String| CommandError::Input(format!("{}: {reason}", file.display()));
    let text = std::fs::read_to_string(file).map_err(|error| input_error(error.to_string()))?;
    let questionnaire: Questionnaire = serde_saphyr::from_str(&text).map_err(|error| input_error(error.to_string()))?;
    questionnaire.check().map_err(|error| input_error(error.to_string()))?;
    Ok(questionnaire)
}

fn check(options: &Options, file: &Path) -> Result<ExitCode, CommandError> {
    let questionnaire = read_questionnaire(file)?;
    let config = TeamConfig::generate(questionnaire, 0, String::new());
    let config = config.map_err(|error| CommandError::Input(error.to_string()))?;
    if options.json {
        print_json(&config);
        return Ok(ExitCode::Success);
    }
    println!("{}: the answers are valid and generate these rules", file.display());
    print_rules(&config);
    Ok(ExitCode::Success)
}

/// Puts the questionnaire in `file` in force as the revision after `base`; 0 creates the team.
///
/// # Errors
///
/// `base` is not the revision in force, or the questionnaire is invalid or rejected.
pub fn apply(config: Config, file: &Path, base: u64) -> Result<ExitCode, CommandError> {
    let questionnaire = read_questionnaire(file)?;
    let body = serde_json::to_vec(&questionnaire).map_err(|error| CommandError::Input(error.to_string()))?;
    let json = config.json;
    match AdminClient::new(config).apply(questionnaire.team.as_str(), base, body) {
        Ok(accepted) => {
            if json {
                print_json(&accepted);
            } else {
                println!("team {}, revision {} accepted", accepted.team(), accepted.revision);
            }
            Ok(ExitCode::Success)
        }
        Err(ApplyError::Other(error)) => Err(error),
        Err(ApplyError::Conflict(message, current)) => {
            if let Some(current) = current {
                print_conflict(json, &questionnaire, &current);
            }
            Err(CommandError::Conflict(message))
        }
    }
}

fn print_conflict(json: bool, ours: &Questionnaire, current: &TeamConfig) {
    let differing = differences(ours, &current.questionnaire);
    if json {
        print_json(&differing);
        return;
    }
    println!("revision {} is in force; it differs from yours in:", current.revision);
    let rows = differing.into_iter().map(|row| vec![row.class, row.question, row.ours, row.theirs]);
    print_table(&["class", "question", "yours", "in force"], rows.collect());
}

/// Prints a configuration's rules as a table, a row per class.
pub fn print_rules(config: &TeamConfig) {
    let rows = config.classes.iter().map(|(name, rule)| {
        vec![
            name.to_string(),
            rule.tier.to_string(),
            rule.upstream.to_string(),
            rule.target.to_string(),
            rule.patience.to_string(),
            if rule.never_repeat { "never" } else { "harmless" }.to_owned(),
            rule.queue_limit.to_string(),
        ]
    });
    print_table(&["class", "tier", "served by", "target", "patience", "repeat", "queue"], rows.collect());
}
