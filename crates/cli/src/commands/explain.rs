//! Shows why a request went where it went.

use teaselcroft_router::Decision;

use crate::admin_client::AdminClient;
use crate::command_error::CommandError;
use crate::config::Config;
use crate::output::{print_json, print_table};
use teaselcroft_parts::ExitCode;

/// Shows what every daemon remembers of `request`.
///
/// # Errors
///
/// No daemon answers, or none remembers the request.
pub fn run(config: Config, request: &str) -> Result<ExitCode, CommandError> {
    let json = config.json;
    let found: Vec<(String, Option<Vec<Decision>>)> =
        AdminClient::new(config).get_each(&format!("/admin/explain/{request}"));
    if found.iter().all(|(_, decisions)| decisions.is_none()) {
        return Err(CommandError::Unreachable("no daemon answers; check the addresses".to_owned()));
    }
    let rows: Vec<(String, Decision)> = found
        .into_iter()
        .flat_map(|(address, decisions)| {
            decisions.unwrap_or_default().into_iter().map(move |one| (address.clone(), one))
        })
        .collect();
    if rows.is_empty() {
        return Err(CommandError::Refused(format!("no daemon remembers {request}; only recent requests are kept")));
    }
    if json {
        print_json(&rows);
        return Ok(ExitCode::Success);
    }
    let row = |(address, decision): (String, Decision)| {
        let event = format!("{} {}", decision.event, decision.name);
        vec![address, format!("{} ms", decision.at_ms), event, decision.grounds]
    };
    print_table(&["daemon", "at", "decision", "grounds"], rows.into_iter().map(row).collect());
    Ok(ExitCode::Success)
}
