//! Fetches newer configurations from the peers that announce them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use async_io::Timer;
use smol::Executor;
use teaselcroft_parts::Millis;

use super::CONFIGURATION_PATH;
use crate::containment::run_contained;
use crate::dialect::Dialect;
use crate::gateway::Gateway;
use crate::http_client::{CallLimits, HttpClient};
use crate::metrics::FetchLabels;
use crate::{ConfigFetches, ConfigVersion, Event, log_event};

/// How long to wait for the store to deliver a newer configuration before it is fetched from the peer that has it.
pub const STORE_DELAY: Millis = Millis(150);

/// The timeout for connecting to a peer. On a link that callers nearly fill, this takes longer than the usual timeout.
const CONNECT_TIMEOUT: Millis = Millis(1_500);

/// Starts to fetch a configuration from a peer after `delay` if it is newer and no other peer is expected to send it soon.
pub fn fetch_newer<D: Dialect>(
    gateway: &Arc<Gateway<D>>,
    source: SocketAddr,
    version: u64,
    delay: Millis,
    executor: &Executor<'static>,
    fetching: &Arc<Mutex<ConfigFetches>>,
) {
    if !is_newer(gateway, version) {
        return;
    }
    let is_due = fetching.lock().unwrap_or_else(PoisonError::into_inner).try_begin(source, version, gateway.now());
    if !is_due {
        return;
    }
    log_event!(Event::ConfigAnnounced, version = version, source = source, delay = delay);
    let (gateway, fetching) = (gateway.clone(), fetching.clone());
    let fetch_task = async move {
        Timer::after(delay.into()).await;
        run_contained(&gateway, "configuration fetch", fetch(&gateway, source, version, &fetching)).await;
        fetching.lock().unwrap_or_else(PoisonError::into_inner).end(source, !is_newer(&gateway, version));
    };
    executor.spawn(fetch_task).detach();
}

/// Whether `version` is newer than the active configuration.
pub fn is_newer<D: Dialect>(gateway: &Gateway<D>, version: u64) -> bool {
    let current = gateway.configuration().map(|configuration| configuration.version);
    current.unwrap_or_default() < ConfigVersion(version)
}

/// Fetches a configuration from a peer unless it has arrived through the store.
async fn fetch<D: Dialect>(gateway: &Gateway<D>, source: SocketAddr, version: u64, fetching: &Mutex<ConfigFetches>) {
    if !is_newer(gateway, version) {
        return;
    }
    let began = gateway.now();
    let patience = fetching.lock().unwrap_or_else(PoisonError::into_inner).patience();
    let client = HttpClient::with_connect_timeout(source, CONNECT_TIMEOUT);
    let limits = CallLimits { answer: patience, ..CallLimits::default() };
    let receives = |_| {
        fetching.lock().unwrap_or_else(PoisonError::into_inner).progressed(gateway.now());
        is_newer(gateway, version)
    };
    let failure = match client.download(CONFIGURATION_PATH, &limits, receives).await {
        Ok(reply) if reply.status == 200 => {
            gateway.apply_configuration(reply.body, &source.to_string());
            None
        }
        Ok(reply) => Some(format!("status {}", reply.status)),
        Err(error) => Some(error.to_string()),
    };
    let outcome = if is_newer(gateway, version) { "failed" } else { "done" };
    gateway.metrics.config_fetches.get_or_create(&FetchLabels { outcome }).inc();
    // A transfer ends early when another peer was faster.
    if let Some(reason) = failure.filter(|_| is_newer(gateway, version)) {
        let waited = gateway.now().since(began);
        log_event!(Event::ConfigNotFetched, version = version, source = source, reason = reason, waited = waited);
    }
}
