//! The interface to the platform's key-value store.

mod era;
mod revision;

use std::fmt;
use std::future::Future;

use teaselcroft_parts::Millis;

pub use era::Era;
pub use revision::Revision;

/// The id of a lease; the keys written under it are removed when it expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseId(pub u64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Why a call to the store failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreError {
    /// There was no answer; a write may have been applied.
    Silent,
    /// The store rejected the call; nothing was applied.
    Busy,
    /// The requested revisions were compacted, or belong to an earlier era; the keys must be listed again.
    Compacted,
    /// There is no such key or lease.
    Missing,
    /// A condition of a transaction does not hold; nothing was applied.
    Conflict,
    /// The answer cannot be decoded.
    Unreadable,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StoreError::Silent => "the store did not answer",
            StoreError::Busy => "the store rejected the call",
            StoreError::Compacted => "the store no longer has this history",
            StoreError::Missing => "the store has no such key or lease",
            StoreError::Conflict => "a condition of the transaction does not hold",
            StoreError::Unreadable => "the store's answer cannot be read",
        })
    }
}

impl std::error::Error for StoreError {}

/// A key and its value at a revision, or its removal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The revision of the change.
    pub revision: Revision,
    /// Its value, or `None` if it was removed.
    pub value: Option<Vec<u8>>,
}

/// Listed keys or watched changes, and the revision up to which they are complete.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// The revision after which the next watch continues.
    pub revision: Revision,
}

/// A key with its value, as read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Its value.
    pub value: Vec<u8>,
    /// The revision of its last change.
    pub revision: Revision,
    /// The revision at which it was created.
    pub created: Revision,
}

/// One write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: String,
    /// Its new value.
    pub value: Vec<u8>,
    /// The lease under which it is written; without one it stays until it is removed.
    pub lease: Option<LeaseId>,
}

/// Writes and removals that are applied together if all conditions hold, or not at all. The store accepts 32 entries.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys and the revisions of their last change; `None` if the key must not exist.
    pub conditions: Vec<(String, Option<Revision>)>,
    /// The writes.
    pub writes: Vec<Write>,
    /// The keys to remove.
    pub removals: Vec<String>,
}

/// The calls that the gateway makes to the platform's key-value store.
pub trait Store: Send + Sync + 'static {
    /// The highest era of the answers so far; `None` before the first one.
    fn era(&self) -> Option<Era> {
        None
    }

    /// Lists every key that begins with `prefix`, as of now.
    ///
    /// # Errors
    ///
    /// The store did not answer or rejected the call.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Changes, StoreError>> + Send;

    /// Lists every key that begins with `prefix`; the result may be some seconds old, and the read is cheap for the store.
    ///
    /// # Errors
    ///
    /// The store did not answer or rejected the call.
    fn list_stale(&self, prefix: &str) -> impl Future<Output = Result<Changes, StoreError>> + Send;

    /// Waits up to `wait` for changes after revision `after` of keys that begin with `prefix`.
    ///
    /// # Errors
    ///
    /// The store did not answer, rejected the call or has compacted the requested revisions.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Millis,
    ) -> impl Future<Output = Result<Changes, StoreError>> + Send;

    /// Returns the changes after revision `after` of keys that begin with `prefix`, without waiting for further ones. The
    /// call opens a connection, since those that are open may be silent.
    ///
    /// # Errors
    ///
    /// The store did not answer, rejected the call or has compacted the requested revisions.
    fn changes_since(&self, prefix: &str, after: Revision) -> impl Future<Output = Result<Changes, StoreError>> + Send;

    /// Closes the idle connections, since they may be silent; later calls open new ones.
    fn forget_connections(&self);

    /// Makes a cheap call that shows whether the store answers.
    ///
    /// # Errors
    ///
    /// The store did not answer or rejected the call.
    fn ping(&self) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Creates a lease that expires after `ttl` unless it is renewed.
    ///
    /// # Errors
    ///
    /// The store did not answer or rejected the call.
    fn grant(&self, ttl: Millis) -> impl Future<Output = Result<LeaseId, StoreError>> + Send;

    /// Renews a lease for another of its time to live.
    ///
    /// # Errors
    ///
    /// The lease has expired, or the store did not answer or rejected the call.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Revokes a lease, which removes its keys.
    ///
    /// # Errors
    ///
    /// The store did not answer or rejected the call.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Writes a key whose lifetime is that of a lease.
    ///
    /// # Errors
    ///
    /// The lease has expired, or the store did not answer or rejected the call.
    fn put(&self, key: &str, value: &[u8], lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Reads one key, as of now.
    ///
    /// # Errors
    ///
    /// There is no such key, or the store did not answer or rejected the call.
    fn get(&self, key: &str) -> impl Future<Output = Result<Item, StoreError>> + Send;

    /// Applies a transaction and returns its revision.
    ///
    /// # Errors
    ///
    /// A condition does not hold, a lease has expired, or the store did not answer or rejected the call. After
    /// [`StoreError::Silent`] the transaction may have been applied, or may be applied later if its conditions still hold.
    fn commit(&self, transaction: Transaction) -> impl Future<Output = Result<Revision, StoreError>> + Send;
}
