//! A pool of connections to the peers of the cell.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use http::Uri;
use smol::Executor;
use teaselcroft_parts::DaemonName;

use crate::SecretKey;
use crate::generated::peer_client::PeerClient;
use crate::peer_channel::{PeerChannel, PeerError};

/// A generated gRPC client on a shared connection.
pub type Client = PeerClient<PeerChannel>;

#[derive(Debug, Clone)]
struct Entry {
    address: String,
    channel: PeerChannel,
}

/// Keeps one shared connection to each peer, opened on first use.
#[derive(Debug)]
pub struct PeerPool {
    executor: Arc<Executor<'static>>,
    key: SecretKey,
    entries: Mutex<HashMap<DaemonName, Entry>>,
}

impl PeerPool {
    /// Creates an empty pool; connections run on `executor` and authenticate with `key`.
    pub fn new(executor: Arc<Executor<'static>>, key: SecretKey) -> PeerPool {
        PeerPool { executor, key, entries: Mutex::default() }
    }

    /// A client for `peer` at `address`; reconnects if the connection has closed or the address changed.
    ///
    /// # Errors
    ///
    /// Says whether the peer refused the connection or did not answer.
    pub async fn client(&self, peer: &DaemonName, address: &str) -> Result<Client, PeerError> {
        if let Some(channel) = self.usable_channel(peer, address) {
            return Ok(PeerClient::with_origin(channel, Uri::from_static("http://peer")));
        }
        let channel = PeerChannel::connect(address, self.key.reveal(), self.executor.clone()).await?;
        let entry = Entry { address: address.to_owned(), channel: channel.clone() };
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).insert(peer.clone(), entry);
        Ok(PeerClient::with_origin(channel, Uri::from_static("http://peer")))
    }

    fn usable_channel(&self, peer: &DaemonName, address: &str) -> Option<PeerChannel> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = entries.get(peer)?;
        let usable = entry.address == address && !entry.channel.is_closed();
        usable.then(|| entry.channel.clone())
    }

    /// Removes the connection to `peer` from the pool, so that the next use opens a new one.
    pub fn forget(&self, peer: &DaemonName) {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).remove(peer);
    }
}
