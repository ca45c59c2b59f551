//! RPCs to peers that the control thread runs as tasks.

use std::time::Duration;

use teaselcroft_parts::{ConfigValue, DaemonName, Member, TeamName};

use crate::generated::{PullConfigRequest, WitnessRequest};
use crate::http_client::with_timeout;
use crate::node::Node;
use crate::platform::Platform;

const WITNESS_TIMEOUT: Duration = Duration::from_millis(200);
const PULL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Sends a request to a witness; `None` if it does not answer in time, or answers with another incarnation
/// because it has restarted.
pub async fn ask_witness<P: Platform>(node: &Node<P>, request: WitnessRequest, to: &Member) -> Option<bool> {
    let ask = async {
        let mut client = node.client(&to.name).await.ok()?;
        let reply = client.witness(request).await.ok()?.into_inner();
        (reply.incarnation == to.incarnation.0).then_some(reply.agreed)
    };
    with_timeout(WITNESS_TIMEOUT, None, ask).await
}

/// Reads the configurations with a version above `after` from a peer; empty if it does not answer.
pub async fn pull_configs<P: Platform>(node: &Node<P>, from: &DaemonName, after: u64) -> Vec<(TeamName, ConfigValue)> {
    let pull = async {
        let mut client = node.client(from).await.ok()?;
        let reply = client.pull_config(PullConfigRequest { after }).await.ok()?.into_inner();
        let entries = reply.entries.into_iter().filter_map(|entry| {
            let config = ConfigValue { version: entry.version, value: entry.value };
            Some((entry.team.parse().ok()?, config))
        });
        Some(entries.collect())
    };
    with_timeout(PULL_TIMEOUT, None, pull).await.unwrap_or_default()
}
