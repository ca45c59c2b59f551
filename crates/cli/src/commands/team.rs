//! Creates, lists and shows teams and their revisions.

use teaselcroft_parts::TeamName;
use teaselcroft_policy::TeamConfig;
use teaselcroft_router::TeamRow;

use crate::admin_client::AdminClient;
use crate::cli::TeamCommand;
use crate::command_error::CommandError;
use crate::commands::questionnaire;
use crate::config::Config;
use crate::output::{print_json, print_table};
use teaselcroft_parts::ExitCode;

/// Runs a `team` subcommand.
///
/// # Errors
///
/// No daemon answers, or one rejects the request.
pub fn run(config: Config, command: TeamCommand) -> Result<ExitCode, CommandError> {
    match command {
        TeamCommand::Create { file } => questionnaire::apply(config, &file, 0),
        TeamCommand::List => list(config),
        TeamCommand::Show { team } => show(config, &team),
        TeamCommand::History { team } => history(config, &team),
    }
}

fn list(config: Config) -> Result<ExitCode, CommandError> {
    let json = config.json;
    let rows: Vec<TeamRow> = AdminClient::new(config).get("/admin/teams")?;
    if json {
        print_json(&rows);
        return Ok(ExitCode::Success);
    }
    let rows = rows.into_iter().map(|row| vec![row.team.to_string(), row.revision.to_string()]);
    print_table(&["team", "revision"], rows.collect());
    Ok(ExitCode::Success)
}

fn show(config: Config, team: &TeamName) -> Result<ExitCode, CommandError> {
    let json = config.json;
    let current: TeamConfig = AdminClient::new(config).get(&format!("/admin/teams/{team}"))?;
    if json {
        print_json(&current);
        return Ok(ExitCode::Success);
    }
    println!("team {}, revision {}", current.team(), current.revision);
    questionnaire::print_rules(&current);
    Ok(ExitCode::Success)
}

fn history(config: Config, team: &TeamName) -> Result<ExitCode, CommandError> {
    let json = config.json;
    let client = AdminClient::new(config);
    let current: TeamConfig = client.get(&format!("/admin/teams/{team}"))?;
    let revisions = 1..=current.revision;
    let path = |revision| format!("/admin/teams/{team}/history/{revision}");
    let stored: Vec<TeamConfig> = revisions.filter_map(|revision| client.get(&path(revision)).ok()).collect();
    if json {
        print_json(&stored);
        return Ok(ExitCode::Success);
    }
    let row = |config: &TeamConfig| vec![config.revision.to_string(), config.submission.clone()];
    print_table(&["revision", "submission"], stored.iter().map(row).collect());
    Ok(ExitCode::Success)
}
