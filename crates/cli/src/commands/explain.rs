//! Shows the scheduling decisions about a request.

use teaselcroft_router::Decision;

use crate::admin_client::AdminClient;
use crate::command_error::CommandError;
use crate::config::Config;
use crate::output::{print_json, print_table};
use teaselcroft_parts::ExitCode;

/// Shows the recent decisions about `request` at every daemon.
///
/// # Errors
///
/// No daemon answers, or none has a decision about the request.
pub fn run(config: Config, request: &str) -> Result<ExitCode, CommandError> {
    let json = config.json;
    let replies: Vec<(String, Option<Vec<Decision>>)> =
        AdminClient::new(config).get_from_all(&format!("/admin/explain/{request}"));
    if replies.iter().all(|(_, decisions)| decisions.is_none()) {
        return Err(CommandError::Unreachable("no daemon answers; check the addresses".to_owned()));
    }
    let rows: Vec<(String, Decision)> = replies
        .into_iter()
        .flat_map(|(address, decisions)| {
            decisions.unwrap_or_default().into_iter().map(move |decision| (address.clone(), decision))
        })
        .collect();
    if rows.is_empty() {
        return Err(CommandError::Refused(format!(
            "no daemon has a decision about {request}; only recent requests are kept"
        )));
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
