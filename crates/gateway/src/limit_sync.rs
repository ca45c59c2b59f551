//! Learns at the start from a peer which rate limits runners stated to the other daemons.
//!
//! Heartbeats carry a limit only from the daemon that received the runner's answer, once a period, and not at all after that
//! daemon ended. Until it knows a limit, a daemon uses the runner as if it had none.

use std::net::SocketAddr;
use std::sync::Arc;

use async_io::Timer;
use prost::Message;
use teaselcroft_parts::Millis;

use crate::dialect::Dialect;
use crate::gateway::Gateway;
use crate::heartbeat::LimitList;
use crate::http_client::HttpClient;
use crate::peers::log_limit;
use crate::{Event, log_event};

/// The path at which a daemon serves the rate limits that it knows to peers.
pub const LIMITS_PATH: &str = "/limits";

/// How long a starting daemon asks; by then heartbeats have brought what running daemons were told.
const ASK_TIME: Millis = Millis(3_000);

/// The delay before peers are asked again.
const RETRY_DELAY: Millis = Millis(60);

/// The timeout of one call.
const CALL_TIMEOUT: Millis = Millis(500);

/// The timeout for connecting to a peer, which may have no power.
const CONNECT_TIMEOUT: Millis = Millis(150);

/// The peers that are asked before the next delay.
const MAX_ASKED_PEERS: usize = 2;

/// Asks peers for the rate limits that they know, until one sends them.
pub async fn learn_limits<D: Dialect>(gateway: Arc<Gateway<D>>) {
    let is_other = |seed: &SocketAddr| seed.ip() != gateway.settings.ip;
    // Peers that are heard are ready; before any is heard, the seeds may be.
    let mut peers: Vec<SocketAddr> = gateway.settings.seeds.iter().copied().filter(is_other).collect();
    peers.truncate(MAX_ASKED_PEERS);
    while gateway.now() < ASK_TIME {
        for peer in peers {
            if let Some(list) = fetch(peer).await {
                apply(&gateway, &list, peer);
                return;
            }
        }
        Timer::after(RETRY_DELAY.into()).await;
        peers = gateway.peer_addresses(MAX_ASKED_PEERS);
    }
}

fn apply<D: Dialect>(gateway: &Gateway<D>, list: &LimitList, peer: SocketAddr) {
    let now = gateway.now();
    let changed = gateway.fleet().apply_peer_limits(&list.limits, now);
    log_event!(Event::LimitsLearned, peer = peer, limits = list.limits.len());
    let source = peer.to_string();
    changed.iter().for_each(|(runner, rate)| log_limit(runner, *rate, &source));
}

async fn fetch(peer: SocketAddr) -> Option<LimitList> {
    let client = HttpClient::with_connect_timeout(peer, CONNECT_TIMEOUT);
    let reply = client.call("GET", LIMITS_PATH, &[], CALL_TIMEOUT).await.ok()?;
    LimitList::decode(&*reply.body).ok().filter(|_| reply.status == 200)
}
