//! The platform's key-value store, as the gateway uses it.

use std::fmt;
use std::future::Future;

use teaselcroft_parts::Millis;

/// A point in the store's history.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A lease of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseId(pub u64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Why the store did not do what it was asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreError {
    /// No answer; a write may have been done.
    Silent,
    /// The store turned the call away; nothing was done.
    Busy,
    /// The history asked for is no longer kept.
    Compacted,
    /// There is no such key or lease.
    Missing,
    /// The answer cannot be read.
    Unreadable,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StoreError::Silent => "the store did not answer",
            StoreError::Busy => "the store turned the call away",
            StoreError::Compacted => "the store no longer has this history",
            StoreError::Missing => "the store has no such key or lease",
            StoreError::Unreadable => "the store's answer cannot be read",
        })
    }
}

impl std::error::Error for StoreError {}

/// A change of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: String,
    /// When it changed.
    pub revision: Revision,
    /// Its value, or `None` if it was removed.
    pub value: Option<Vec<u8>>,
}

/// Keys or changes, and the revision up to which they are complete.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// Where to go on.
    pub revision: Revision,
}

/// The platform's key-value store, as the gateway uses it.
pub trait Store: Send + Sync + 'static {
    /// Every key that begins with `prefix`.
    ///
    /// # Errors
    ///
    /// The store did not answer or turned the call away.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Changes, StoreError>> + Send;

    /// Every key that begins with `prefix`, as it was up to some seconds ago; costs the store little.
    ///
    /// # Errors
    ///
    /// The store did not answer or turned the call away.
    fn list_stale(&self, prefix: &str) -> impl Future<Output = Result<Changes, StoreError>> + Send;

    /// Waits up to `wait` for changes after `after` of keys that begin with `prefix`.
    ///
    /// # Errors
    ///
    /// The store did not answer, turned the call away or has forgotten the history.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Millis,
    ) -> impl Future<Output = Result<Changes, StoreError>> + Send;

    /// Grants a lease of `ttl`.
    ///
    /// # Errors
    ///
    /// The store did not answer or turned the call away.
    fn grant(&self, ttl: Millis) -> impl Future<Output = Result<LeaseId, StoreError>> + Send;

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// The lease is gone, or the store did not answer.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Ends a lease and removes its keys.
    ///
    /// # Errors
    ///
    /// The store did not answer or turned the call away.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Writes a key under a lease.
    ///
    /// # Errors
    ///
    /// The lease is gone, or the store did not answer.
    fn put(&self, key: &str, value: &[u8], lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;
}
