//! Shows daemons, runners and the configuration in force at each.

use std::collections::BTreeMap;

use serde::Serialize;
use teaselcroft_parts::TeamName;
use teaselcroft_router::DaemonStatus;

use crate::admin_client::AdminClient;
use crate::command_error::CommandError;
use crate::config::Config;
use crate::output::{print_json, print_table};
use teaselcroft_parts::ExitCode;

#[derive(Serialize)]
struct Row {
    address: String,
    status: Option<DaemonStatus>,
}

fn revisions(revisions: &BTreeMap<TeamName, u64>) -> String {
    let shown: Vec<String> = revisions.iter().map(|(team, revision)| format!("{team}:{revision}")).collect();
    shown.join(" ")
}

fn yes(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}

fn daemon_row(row: &Row) -> Vec<String> {
    let Some(status) = &row.status else {
        return vec![row.address.clone(), "does not answer".to_owned()];
    };
    let slots: Vec<String> = status.slots.iter().map(ToString::to_string).collect();
    let shards: Vec<String> = status.shards.keys().map(ToString::to_string).collect();
    vec![
        row.address.clone(),
        status.daemon.to_string(),
        status.zone.to_string(),
        yes(status.leaving).to_owned(),
        yes(status.store_reachable).to_owned(),
        status.live.len().to_string(),
        status.in_flight.to_string(),
        revisions(&status.revisions),
        slots.join(","),
        shards.join(" "),
    ]
}

fn runner_rows(rows: &[Row]) -> Vec<Vec<String>> {
    let shards = rows.iter().filter_map(|row| row.status.as_ref()).flat_map(|status| &status.shards);
    let runners = shards.flat_map(|(upstream, shard)| {
        shard.runners.iter().map(move |(runner, held)| vec![runner.to_string(), upstream.to_string(), revisions(held)])
    });
    runners.collect()
}

/// Shows the state of every daemon named.
///
/// # Errors
///
/// No daemon answers.
pub fn run(config: Config) -> Result<ExitCode, CommandError> {
    let json = config.json;
    let statuses = AdminClient::new(config).statuses();
    let rows: Vec<Row> = statuses.into_iter().map(|(address, status)| Row { address, status }).collect();
    if rows.iter().all(|row| row.status.is_none()) {
        return Err(CommandError::Unreachable("no daemon answers; check the addresses and the key".to_owned()));
    }
    if json {
        print_json(&rows);
        return Ok(ExitCode::Success);
    }
    let head =
        ["address", "daemon", "zone", "leaving", "store", "live", "in flight", "revisions", "slots", "dispatches"];
    print_table(&head, rows.iter().map(daemon_row).collect());
    print_table(&["runner", "offers", "revisions"], runner_rows(&rows));
    Ok(ExitCode::Success)
}
