//! The key-value service client over HTTP.

use std::net::SocketAddr;

use http_types::Method;
use serde::Deserialize;
use teaselcroft_parts::Millis;

use crate::http_client::HttpCall;
use crate::kv::{KeyValue, NoAnswer, Stored, SwapAnswer};

/// How long the service holds a watch open when nothing is written, in milliseconds.
const WATCH_MS: u64 = 10_000;

/// A [`KeyValue`] client over HTTP.
#[derive(Debug, Clone)]
pub struct KvHttp {
    address: String,
    timeout: Millis,
}

#[derive(Debug, Deserialize)]
struct WatchedWire {
    key: String,
    version: u64,
    value: String,
}

impl KvHttp {
    /// Creates a client for the service at `address` whose calls time out after `timeout`; a watch also
    /// waits as long as the service holds it open.
    pub fn new(address: SocketAddr, timeout: Millis) -> KvHttp {
        KvHttp { address: address.to_string(), timeout }
    }
}

impl KeyValue for KvHttp {
    async fn get(&self, key: &str) -> Result<Option<Stored>, NoAnswer> {
        let call = HttpCall::get(&self.address, format!("/kv/{key}"), self.timeout);
        let reply = call.send().await.map_err(|_| NoAnswer)?;
        match reply.status {
            200 => Ok(Some(Stored { version: reply.version, value: reply.body })),
            404 => Ok(None),
            _ => Err(NoAnswer),
        }
    }

    async fn swap(&self, key: &str, value: Vec<u8>, expected: u64) -> Result<SwapAnswer, NoAnswer> {
        let path = format!("/kv/{key}?expected={expected}");
        let call = HttpCall { method: Method::Put, body: value, ..HttpCall::get(&self.address, path, self.timeout) };
        let reply = call.send().await.map_err(|_| NoAnswer)?;
        match reply.status {
            200 => Ok(SwapAnswer::Done(reply.version)),
            409 if reply.version == 0 => Ok(SwapAnswer::Conflict(None)),
            409 => Ok(SwapAnswer::Conflict(Some(Stored { version: reply.version, value: reply.body }))),
            _ => Err(NoAnswer),
        }
    }

    async fn watch(&self, prefix: &str, after: u64) -> Result<Vec<(String, Stored)>, NoAnswer> {
        let path = format!("/watch/{prefix}?after={after}&wait_ms={WATCH_MS}");
        let call = HttpCall::get(&self.address, path, self.timeout + Millis(WATCH_MS));
        let reply = call.send().await.map_err(|_| NoAnswer)?;
        if reply.status != 200 {
            return Err(NoAnswer);
        }
        let watched: Vec<WatchedWire> = serde_json::from_slice(&reply.body).map_err(|_| NoAnswer)?;
        let stored = watched.into_iter().map(|wire| {
            let value = Stored { version: wire.version, value: wire.value.into_bytes() };
            (wire.key, value)
        });
        Ok(stored.collect())
    }
}
