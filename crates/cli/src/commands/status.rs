//! Shows the status of daemons and runners, with the configuration revisions in force at each.

use std::collections::BTreeMap;

use serde::Serialize;
use teaselcroft_parts::TeamName;
use teaselcroft_router::DaemonStatus;

use crate::admin_client::AdminClient;
use crate::command_error::CommandError;
use crate::config::Config;
use crate::output::{print_json, print_table};
use teaselcroft_parts::ExitCode;

/// The reply of one daemon, or `None` if it did not answer.
#[derive(Serialize)]
struct StatusRow {
    address: String,
    status: Option<DaemonStatus>,
}

fn revisions(revisions: &BTreeMap<TeamName, u64>) -> String {
    let entries: Vec<String> = revisions.iter().map(|(team, revision)| format!("{team}:{revision}")).collect();
    entries.join(" ")
}

fn yes_or_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}

fn daemon_row(row: &StatusRow) -> Vec<String> {
    let Some(status) = &row.status else {
        return vec![row.address.clone(), "does not answer".to_owned()];
    };
    let slots: Vec<String> = status.slots.iter().map(ToString::to_string).collect();
    let shards: Vec<String> = status.shards.keys().map(ToString::to_string).collect();
    vec![
        row.address.clone(),
        status.daemon.to_string(),
        status.zone.to_string(),
        yes_or_no(status.leaving).to_owned(),
        yes_or_no(status.store_reachable).to_owned(),
        status.live.len().to_string(),
        status.in_flight.to_string(),
        revisions(&status.revisions),
        slots.join(","),
        shards.join(" "),
    ]
}

fn runner_rows(rows: &[StatusRow]) -> Vec<Vec<String>> {
    let shards = rows.iter().filter_map(|row| row.status.as_ref()).flat_map(|status| &status.shards);
    let runners = shards.flat_map(|(upstream, shard)| {
        shard
            .runners
            .iter()
            .map(move |(runner, acknowledged)| vec![runner.to_string(), upstream.to_string(), revisions(acknowledged)])
    });
    runners.collect()
}

/// Shows the status of every given daemon and of the runners of its dispatchers.
///
/// # Errors
///
/// No daemon answers.
pub fn run(config: Config) -> Result<ExitCode, CommandError> {
    let json = config.json;
    let statuses = AdminClient::new(config).statuses();
    let rows: Vec<StatusRow> = statuses.into_iter().map(|(address, status)| StatusRow { address, status }).collect();
    if rows.iter().all(|row| row.status.is_none()) {
        return Err(CommandError::Unreachable("no daemon answers; check the addresses and the key".to_owned()));
    }
    if json {
        print_json(&rows);
        return Ok(ExitCode::Success);
    }
    let titles =
        ["address", "daemon", "zone", "leaving", "store", "live", "in flight", "revisions", "slots", "dispatches"];
    print_table(&titles, rows.iter().map(daemon_row).collect());
    print_table(&["runner", "offers", "revisions"], runner_rows(&rows));
    Ok(ExitCode::Success)
}
