//! Reads from the runners which prompt parts they have cached, as the first placement leader after all daemons restarted.
//!
//! What was sent to which runner is known to daemons only. When all of them end at once, the runners still have the parts,
//! and prefilling them anew takes seconds of the whole fleet's time. One call to each runner, by the daemon that leads
//! placement, finds them again.

use std::sync::Arc;

use async_io::Timer;
use futures_util::stream::{self, StreamExt};
use teaselcroft_parts::{Millis, ModelName};

use crate::dialect::Dialect;
use crate::fleet::RunnerKey;
use crate::gateway::Gateway;
use crate::http_client::{CallLimits, HttpClient};
use crate::peers::SETTLE_TIME;
use crate::{Event, RunnerRecord, log_event};

/// How often a starting daemon checks whether it leads placement and knows the runners.
const POLL_INTERVAL: Millis = Millis(25);

/// The calls to runners that are in flight at once.
const MAX_CALLS: usize = 24;

/// The timeout of one call; a runner that does not answer in time is used as if it had nothing cached.
const CALL_TIMEOUT: Millis = Millis(1_000);

/// The largest list that is read, in bytes: some ten thousand parts.
const MAX_LIST_BYTES: usize = 1 << 20;

/// Reads the caches of all runners with an engine if this daemon leads placement before it is settled, which it then is;
/// returns once it is settled.
pub async fn read_caches<D: Dialect>(gateway: Arc<Gateway<D>>) {
    while gateway.now() < SETTLE_TIME {
        let is_due = gateway.roster().is_unsettled_leader(gateway.now());
        let runners = if is_due { engines(&gateway) } else { Vec::new() };
        if !runners.is_empty() {
            read_all(&gateway, runners).await;
            gateway.roster().me.is_settled = true;
            return;
        }
        Timer::after(POLL_INTERVAL.into()).await;
    }
}

/// The ready runners that have an engine by the configuration.
fn engines<D: Dialect>(gateway: &Gateway<D>) -> Vec<(RunnerKey, Arc<RunnerRecord>)> {
    let Some(configuration) = gateway.configuration() else {
        return Vec::new();
    };
    let services = configuration.services.iter().filter(|(_, service)| service.engine.is_some());
    let services: Vec<&ModelName> = services.map(|(name, _)| name).collect();
    let fleet = gateway.fleet();
    fleet.ready_runners(services).map(|(key, record)| (key, record.clone())).collect()
}

async fn read_all<D: Dialect>(gateway: &Gateway<D>, runners: Vec<(RunnerKey, Arc<RunnerRecord>)>) {
    let began = gateway.now();
    let count = runners.len();
    let calls = runners.into_iter().map(|(key, record)| read_one(gateway, key, record));
    let parts: Vec<Option<usize>> = stream::iter(calls).buffer_unordered(MAX_CALLS).collect().await;
    log_event!(
        Event::CachesListed,
        runners = count,
        answered = parts.iter().flatten().count(),
        parts = parts.iter().flatten().sum::<usize>(),
        took = gateway.now().since(began)
    );
}

/// Reads one runner's cache; returns the number of parts in it, or `None` without a usable answer.
async fn read_one<D: Dialect>(gateway: &Gateway<D>, key: RunnerKey, record: Arc<RunnerRecord>) -> Option<usize> {
    let client = HttpClient::new(record.address);
    let limits = CallLimits { total: CALL_TIMEOUT, body_bytes: MAX_LIST_BYTES, ..CallLimits::default() };
    let mut reservation = gateway.body_memory.reservation();
    let receives = |bytes: usize| reservation.grow_to(bytes as u64);
    let reply = client.download(gateway.dialect.cached_parts_path(), &limits, receives).await;
    let parts = match reply {
        Ok(reply) if reply.status == 200 => gateway.dialect.cached_parts(&reply.body),
        Ok(reply) => {
            log::debug!("{} answered {} instead of its cached parts", record.name, reply.status);
            return None;
        }
        Err(error) => {
            log::debug!("{} did not list its cached parts: {error}", record.name);
            return None;
        }
    };
    let parts = parts.inspect_err(|error| log::debug!("{} lists no cached parts: {error}", record.name)).ok()?;
    gateway.fleet().note_listed_caches(key, &parts, gateway.now());
    Some(parts.len())
}
