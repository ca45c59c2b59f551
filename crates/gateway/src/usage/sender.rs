//! Sends this daemon's counts to the duty holder and to the next candidate.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use async_io::{Async, Timer};
use teaselcroft_parts::{UsageSettings, UsageStatement};

use super::UsageNews;
use crate::dialect::Dialect;
use crate::duties::boot_time;
use crate::gateway::{Gateway, unix_ms};
use crate::heartbeat::{Content, send};

/// States this daemon's counts whenever they changed, as often as the number of daemons allows; returns at once where the
/// settings do not ask for reports, and never otherwise.
pub async fn state_usage<D: Dialect>(gateway: Arc<Gateway<D>>, socket: Arc<Async<UdpSocket>>) {
    while gateway.has_usage() {
        let daemons = gateway.roster().size();
        Timer::after(UsageSettings::interval_for(daemons).into()).await;
        let receivers = gateway.usage_receivers();
        let now = boot_time();
        let statement = gateway.usage().and_then(|mut usage| {
            usage.update_clock(unix_ms(), now);
            usage.statement(&receivers, daemons, now)
        });
        if let Some(statement) = statement {
            deliver(&gateway, &socket, &receivers, statement).await;
        }
    }
}

/// States this daemon's last counts when it stops.
pub async fn state_last_usage<D: Dialect>(gateway: &Gateway<D>) {
    if !gateway.has_usage() {
        return;
    }
    let receivers = gateway.usage_receivers();
    let now = boot_time();
    let statement = gateway.usage().and_then(|mut usage| usage.last_statement(now));
    if let (Some(statement), Some(socket)) = (statement, gateway.placer.socket()) {
        deliver(gateway, socket, &receivers, statement).await;
    }
}

async fn deliver<D: Dialect>(
    gateway: &Gateway<D>,
    socket: &Async<UdpSocket>,
    receivers: &[SocketAddr],
    statement: UsageStatement,
) {
    for news in UsageNews::split(&statement) {
        let bytes = Content::Usage(news).into_bytes();
        for receiver in receivers.iter().filter(|receiver| receiver.ip() != gateway.settings.ip) {
            send(socket, &bytes, *receiver).await;
        }
    }
    if receivers.iter().any(|receiver| receiver.ip() == gateway.settings.ip) {
        let now = boot_time();
        if let Some(mut usage) = gateway.usage() {
            usage.merge(statement, now);
        }
    }
}
